"""Simulated backend servers that answer in ways drawn from a grammar."""

import functools

import msgspec
from twisted.internet import reactor

from wasabiknot_standins import floodingworkers, platformworkers, strangebehaviours

End = strangebehaviours.End
Pace = strangebehaviours.Pace
# Requests with a body of this size may be answered before it is read.
LONG_BODY_BYTES = 50_000
# Longest time after a response until the rest of its request is read, in seconds.
MAX_LATE_READ_S = 1.0
COPY_DELAY_S = 0.2


class StrangeServer(platformworkers.Worker):
    """Answers with a behaviour that it draws for each request.

    :cvar seed: seed of the run.
    :cvar number: number of the server in the run.
    :cvar is_sound: whether only sound behaviours are drawn; ``None`` for none at all.
    :cvar share: share of the responses that have one.
    :cvar until_s: time in seconds until which it behaves so.
    :cvar without: ``strangeplays.Part`` that are left out.
    """

    seed = 0
    number = 0
    is_sound = None
    share = 1.0
    until_s = float("inf")
    without = ()

    def _draw(self, request_id):
        rng = strangebehaviours.create_random(self.seed, request_id, self.number)
        is_over = reactor.seconds() >= self.until_s
        if self.is_sound is None or is_over or rng.random() >= self.share:
            return None
        behaviour = strangebehaviours.draw_behaviour(rng, self.is_sound)
        return strangebehaviours.leave_out(behaviour, self.without)

    def handle_head(self, request, length):
        """Answers a long request before its body is read, if that is drawn.

        :param request: ``platformworkers.Request``.
        :param length: length of its body in bytes; ``None`` if it isn't known.
        """
        request.is_answered = False
        if length is None or length < LONG_BODY_BYTES or self._is_misdirected(request):
            return
        request_id = request.getHeader("x-wasabiknot-attempt-id") or ""
        behaviour = self._draw(request_id)
        if behaviour is None or not behaviour.answers_early:
            return
        request.is_answered = True
        if behaviour.is_cut_early:
            behaviour = msgspec.structs.replace(
                behaviour,
                framing=strangebehaviours.Framing.NONE,
                end=End.CLOSED_SILENTLY,
            )
        run = platformworkers.Run(request_id, self.server_id, reactor.seconds())
        self._recorder.runs[request_id].append(run)
        channel = request.channel
        reactor.callLater(0, self._pause, channel)
        answered = functools.partial(self._read_later, channel, request_id)
        writer = ResponseWriter(self, request, request_id, behaviour, answered)
        writer.start()

    def _pause(self, channel):
        if channel in self._channels:
            channel.transport.pauseProducing()

    def _read_later(self, channel, request_id):
        rng = strangebehaviours.create_random(self.seed, request_id, "late")
        delay_s = rng.uniform(0.0, MAX_LATE_READ_S)
        reactor.callLater(delay_s, self._resume, channel)

    def _resume(self, channel):
        if channel in self._channels:
            channel.transport.resumeProducing()

    def handle_request(self, request):
        """Runs a request, unless it is answered already.

        :param request: ``platformworkers.Request``.
        """
        if request.is_answered:
            finish_silently(request)
        else:
            super().handle_request(request)

    def _send_response(self, request, request_id, disconnects):
        self._answer_strangely(request, request_id, disconnects, super()._send_response)

    def _start_stream(self, request, request_id, disconnects):
        self._answer_strangely(request, request_id, disconnects, super()._start_stream)

    def _answer_strangely(self, request, request_id, disconnects, answer_soundly):
        behaviour = self._draw(request_id)
        if behaviour is None or disconnects:
            answer_soundly(request, request_id, disconnects)
            return
        self._release()
        behaviour = msgspec.structs.replace(behaviour, is_cut_early=False)
        finish = functools.partial(finish_silently, request)
        writer = ResponseWriter(self, request, request_id, behaviour, finish)
        writer.start()

    def is_open(self, channel):
        """Tells whether a connection is open.

        :param channel: ``http.HTTPChannel``.
        """
        return channel in self._channels

    def is_idle(self, channel):
        """Tells whether a connection is open, and no request is on it.

        :param channel: ``http.HTTPChannel``.
        """
        return self.is_open(channel) and not channel.requests

    def record_flood(self, request_id):
        """Records that the response to a request is none.

        :param request_id: id of the request.
        """
        self._recorder.flooded_ids.add(request_id)

    def build_parts(self, request, request_id):
        """Builds the body of a response, event by event if it is a stream.

        :param request: ``platformworkers.Request``.
        :param request_id: id of the request.
        :return: list of bytes.
        """
        if not self.is_engine:
            return [platformworkers.build_body(request_id)]
        first = int(request.getHeader("last-event-id") or 0) + 1
        return [
            platformworkers.build_event(request_id, number)
            for number in range(first, platformworkers.count_events(request_id) + 1)
        ]

    def list_fields(self, request_id):
        """Lists the header fields that each of its responses has.

        :param request_id: id of the request.
        :return: list of texts.
        """
        kind = "text/event-stream" if self.is_engine else "text/plain"
        return [
            f"x-wasabiknot-attempt-id: {request_id}",
            f"x-wasabiknot-server-stamp: {self.server_id}",
            f"content-type: {kind}",
        ]


class ResponseWriter:
    """Writes one response by its behaviour.

    :param server: ``StrangeServer``.
    :param request: ``platformworkers.Request``.
    :param request_id: its id.
    :param behaviour: ``strangebehaviours.Behaviour``.
    :param finish: function called once the response is written on a connection that
        is kept.
    """

    def __init__(self, server, request, request_id, behaviour, finish):
        self._server = server
        self._channel = request.channel
        self._request_id = request_id
        self._behaviour = behaviour
        self._finish = finish
        self._fields = server.list_fields(request_id)
        self._body = server.build_parts(request, request_id)
        self._rng = strangebehaviours.create_random(server.seed, request_id, "pace")
        self._pieces = iter(())

    def start(self):
        """Begins to write."""
        if self._behaviour.endless is not None:
            self._flood()
            return
        self._pieces = self._encode()
        self._write_next()

    def _flood(self):
        if not self._server.is_open(self._channel):
            return
        self._server.record_flood(self._request_id)
        kind = self._behaviour.endless
        flood = strangebehaviours.encode_endless(kind, self._fields)
        transport = self._channel.transport
        transport.write(flood.start)
        producer = floodingworkers.Producer(transport, flood.block)
        # The connection itself is a producer of the HTTP server.
        transport.unregisterProducer()
        transport.registerProducer(producer, False)

    def _encode(self):
        behaviour = self._behaviour
        size_bytes = sum(map(len, self._body))
        head = strangebehaviours.encode_head(
            behaviour, self._fields, size_bytes, self._rng
        )
        body, end = self._body, strangebehaviours.encode_end(behaviour)
        if behaviour.spoil is not None or behaviour.is_cut_early:
            body, end = strangebehaviours.cut_body(body), b""
        parts = [
            head,
            *(strangebehaviours.encode_body(behaviour, part) for part in body),
            end,
        ]
        stop = self._rng.randrange(len(parts))
        for number, part in enumerate(parts):
            if behaviour.pace is not Pace.STOPS or number == stop:
                yield from strangebehaviours.split(behaviour, part, self._rng)
            else:
                yield strangebehaviours.Piece(part)

    def _write_next(self):
        for piece in self._pieces:
            if piece.delay_s:
                reactor.callLater(piece.delay_s, self._write, piece.data)
                return
            self._write_now(piece.data)
        self._end()

    def _write(self, data):
        self._write_now(data)
        self._write_next()

    def _write_now(self, data):
        if self._server.is_open(self._channel):
            self._channel.transport.write(data)

    def _end(self):
        if not self._server.is_open(self._channel):
            return
        end = self._behaviour.end
        if self._behaviour.is_cut_early:
            self._channel.transport.loseWriteConnection()
            delay_s = self._rng.uniform(0.0, strangebehaviours.MAX_RESET_DELAY_S)
            reactor.callLater(delay_s, self._channel.transport.abortConnection)
        elif end is End.RESET:
            self._channel.transport.abortConnection()
        elif self._behaviour.ends_with_connection:
            self._channel.transport.loseConnection()
        else:
            self._finish()
            if end is End.SECOND_COPY:
                reactor.callLater(COPY_DELAY_S, self._write_copy)

    def _write_copy(self):
        if not self._server.is_idle(self._channel):
            return
        body = b"".join(self._body)
        head = strangebehaviours.encode_head(
            strangebehaviours.Behaviour(), self._fields, len(body)
        )
        self._write_now(head + body)


def finish_silently(request):
    """Ends a request whose response was written past the HTTP server.

    :param request: ``platformworkers.Request``.
    """
    if request.channel is not None and not request.finished:
        request.startedWriting = 1
        request.finish()
