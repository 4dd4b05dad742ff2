"""Simulated backend servers with faults that operators of similar systems have seen."""

import enum
import hashlib

from twisted.internet import reactor

from wasabiknot_standins import platformworkers

# Time after a response until the server sends it once more.
COPY_DELAYS_S = (0.02, 0.5)
# A response that never ends comes a byte at a time.
TRICKLE_INTERVAL_S = 0.1
TRICKLE_LENGTH = 100_000
# Longest gap between two events of a slow stream, and duration of its events.
SLOW_GAP_S = 1.0
SLOW_DURATION_S = 2.0
# Share of the responses that a server with the fault loses or never ends.
FAULTY_SHARE = 0.3


class Behaviour(enum.Enum):
    """What a server does beside sound responses."""

    SOUND = "sound"
    LATE_COPIES = "late-copies"
    TRICKLE = "trickle"
    SLOW_STREAMS = "slow-streams"
    LOST_ANSWERS = "lost-answers"
    NO_LENGTH = "no-length"


def draw_fraction(request_id, purpose):
    """Draws a number for a request, the same for the same arguments.

    :param request_id: id of the request.
    :param purpose: text that tells draws for the same request apart.
    :return: number from 0 to 1.
    """
    digest = hashlib.sha256(f"{purpose}/{request_id}".encode()).digest()
    return int.from_bytes(digest[:4]) / 2**32


class FaultyWorker(platformworkers.Worker):
    """A simulated backend server with one behaviour and registrations that lapse.

    It doesn't know leaving by hand of the operator, floods or silences of all of its
    connections; ``floodingworkers`` and ``soaksilences`` play these.
    """

    behaviour = Behaviour.SOUND
    # Share of the responses that have it.
    behaviour_share = FAULTY_SHARE
    # Whether its heartbeats are missing although it serves requests.
    is_lapsed = False

    def send_heartbeat(self):
        """Writes the registration record, unless the heartbeats are missing."""
        if not self.is_lapsed:
            super().send_heartbeat()

    def lapse(self, duration_s):
        """Lets the registration lapse for a while; requests are served all the time.

        :param duration_s: time in seconds.
        """
        self.is_lapsed = True
        self.deregister()
        reactor.callLater(duration_s, self._return)

    def _return(self):
        self.is_lapsed = False
        self.send_heartbeat()

    def _has_fault(self, behaviour, request_id):
        if self.behaviour is not behaviour:
            return False
        return draw_fraction(request_id, "fault") < self.behaviour_share

    def _send_response(self, request, request_id, disconnects):
        if self._has_fault(Behaviour.TRICKLE, request_id) and not disconnects:
            request.setHeader("content-length", str(TRICKLE_LENGTH))
            self._trickle(request, disconnects, b"x")
            return
        if self._has_fault(Behaviour.NO_LENGTH, request_id) and not disconnects:
            body = platformworkers.build_body(request_id)
            self._send_without_length(request, request_id, body)
            return
        if self._has_fault(Behaviour.LOST_ANSWERS, request_id) and not disconnects:
            self._release()
            request.transport.abortConnection()
            return
        channel = request.channel
        super()._send_response(request, request_id, disconnects)
        if self._has_fault(Behaviour.LATE_COPIES, request_id) and not disconnects:
            shortest_s, longest_s = COPY_DELAYS_S
            fraction = draw_fraction(request_id, "copy")
            delay_s = shortest_s + fraction * (longest_s - shortest_s)
            copy = self._build_copy(request_id)
            reactor.callLater(delay_s, self._send_copy, channel, copy)

    def _build_copy(self, request_id):
        body = platformworkers.build_body(request_id)
        return self._build_head(request_id, f"content-length: {len(body)}") + body

    def _build_head(self, request_id, field):
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"x-wasabiknot-attempt-id: {request_id}\r\n"
            f"x-wasabiknot-server-stamp: {self.server_id}\r\n"
            f"{field}\r\n\r\n"
        )
        return head.encode()

    def _send_without_length(self, request, request_id, body):
        # The end of the connection is that of the body, and no header says so.
        self._release()
        transport = request.channel.transport
        transport.write(self._build_head(request_id, "x-framing: none") + body)
        transport.loseConnection()

    def _send_copy(self, channel, copy):
        if channel in self._channels:
            channel.transport.write(copy)

    def _start_stream(self, request, request_id, disconnects):
        if self._has_fault(Behaviour.LOST_ANSWERS, request_id) and not disconnects:
            self._release()
            request.transport.abortConnection()
            return
        if self._has_fault(Behaviour.TRICKLE, request_id) and not disconnects:
            request.setHeader("content-type", "text/event-stream")
            # A comment, or the first event, that never ends.
            start = (
                b":" if draw_fraction(request_id, "kind") < 0.5 else b"id: 1\ndata: "
            )
            request.write(start)
            self._trickle(request, disconnects, b"x")
            return
        if self._has_fault(Behaviour.NO_LENGTH, request_id) and not disconnects:
            sent_events = int(request.getHeader("last-event-id") or 0)
            last = platformworkers.count_events(request_id)
            body = b"".join(
                platformworkers.build_event(request_id, number)
                for number in range(sent_events + 1, last + 1)
            )
            self._send_without_length(request, request_id, body)
            return
        super()._start_stream(request, request_id, disconnects)

    def _trickle(self, request, disconnects, piece):
        if disconnects:
            self._release()
            return
        request.write(piece)
        reactor.callLater(
            TRICKLE_INTERVAL_S, self._trickle, request, disconnects, piece
        )

    def _write_event(self, request, request_id, event_id, disconnects):
        count = platformworkers.count_events(request_id)
        is_slow = self.behaviour is Behaviour.SLOW_STREAMS
        if not is_slow or event_id < 2 or disconnects:
            super()._write_event(request, request_id, event_id, disconnects)
            return
        gap_s = min(SLOW_GAP_S, SLOW_DURATION_S / (count - 1))
        event = (request, request_id, event_id, disconnects)
        reactor.callLater(gap_s, super()._write_event, *event)
