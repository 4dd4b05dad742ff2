"""One send of a request to a backend server, up to its end."""

import enum

import msgspec
from twisted.internet import error

from wasabiknot_entry import eventstreams
from wasabiknot_kernel import outcomes
from wasabiknot_platform import headers as platform_headers

Outcome = outcomes.Outcome
OK = 200
FIRST_ERROR = 500
# Longest time for which a connection may have been idle before it carries a
# request that may run once: a late close by the other end would lose it.
ONCE_IDLE_S = 2.0
REPEATABLE_IDLE_S = 10.0
# Share of the expected time to the first byte after which a repeatable request
# is given up at this backend server, and the least such time.
SILENCE_FACTOR = 4.0
LEAST_SILENCE_S = 0.8
PLAIN_SILENCE_S = 0.12
# Pause within a stream after which it goes on elsewhere.
PAUSE_S = 1.2


class Phase(enum.Enum):
    """Phases of a send."""

    CONNECTING = "connecting"
    SENT = "sent"
    ANSWERING = "answering"
    ENDED = "ended"


class Result(msgspec.Struct, frozen=True):
    """How a send ended.

    :param outcome: ``outcomes.Outcome``.
    :param head: head of the answer, or ``None``.
    :param body: body of an answer that was not relayed.
    :param detail: short text for the log.
    """

    outcome: Outcome
    head: platform_headers.ResponseHead | None = None
    body: bytes = b""
    detail: str = ""


class Sending:
    """Sends a request, checks the answer and relays its events.

    :param reactor: Twisted reactor.
    :param pool: ``connections.Pool``.
    :param placed: ``dispatch.Placed``.
    :param request: ``connections.Request``.
    :param receiver: object with ``take_event`` and ``take_result``.
    """

    def __init__(self, reactor, pool, placed, request, receiver):
        self._reactor = reactor
        self._placed = placed
        self._ticket = placed.ticket
        self._request = request
        self._receiver = receiver
        self._connection = None
        self._head = None
        self._body = []
        self._events = None
        self._is_relayed = False
        self.phase = Phase.CONNECTING
        self._timer = None
        is_repeatable = self._ticket.route.is_repeatable
        idle_s = REPEATABLE_IDLE_S if is_repeatable else ONCE_IDLE_S
        address = placed.server.registration.address
        self._opening = pool.acquire(address, idle_s)
        self._opening.addCallbacks(self._send, self._fail_opening)

    def _send(self, connection):
        if self.phase is Phase.ENDED:
            connection.abort()
            return
        self._connection = connection
        self.phase = Phase.SENT
        self._watch_first()
        connection.send(self._request, self)

    def _fail_opening(self, failure):
        if self.phase is not Phase.ENDED:
            is_reset = failure.check(error.ConnectionRefusedError) is not None
            detail = "refused" if is_reset else "no connection"
            self._finish(Result(Outcome.UNREACHED, detail=detail))

    # Silence

    def _watch_first(self):
        route = self._ticket.route
        if not route.is_repeatable or self._ticket.sends >= route.attempts:
            return
        expected_s = self._placed.score_ms / 1_000
        least_s = LEAST_SILENCE_S if route.is_stream else PLAIN_SILENCE_S
        self._start_timer(max(least_s, SILENCE_FACTOR * expected_s))

    def _start_timer(self, delay_s):
        self._stop_timer()
        self._timer = self._reactor.callLater(delay_s, self._note_silence)

    def _stop_timer(self):
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _note_silence(self):
        self._drop()
        self._finish(Result(Outcome.SILENT, self._head, detail="silent"))

    # Answer

    def take_head(self, head):
        """Takes the head of the answer."""
        self._head = platform_headers.decode_response(head.status, head.headers)
        self._connection.state_idle_time(self._head.idle_s)
        self.phase = Phase.ANSWERING
        if not self._is_own_answer():
            self._drop()
            self._finish(Result(Outcome.LOST, detail="another request's answer"))
            return
        if self._ticket.route.is_stream and self._head.status == OK:
            self._events = eventstreams.EventReader()
        if not self._ticket.route.is_stream:
            self._stop_timer()

    def _is_own_answer(self):
        head = self._head
        if head.attempt_id == self._ticket.request_id:
            return not (
                head.status < 300 and (not head.stamp or head.has_content_encoding)
            )
        return head.is_not_executed and not head.attempt_id

    def take_data(self, data):
        """Takes a part of the body."""
        if self.phase is Phase.ENDED:
            return
        if self._events is None:
            self._body.append(data)
            return
        for event in self._events.feed(data):
            self._relay(event)

    def _relay(self, event):
        if self.phase is Phase.ENDED:
            return
        if self._ticket.route.is_resumable:
            self._start_timer(PAUSE_S)
        else:
            self._stop_timer()
        self._is_relayed = True
        if not self._receiver.take_event(event, self._head):
            self._drop()
            self._finish(Result(Outcome.LOST, self._head, detail="event missing"))

    def take_end(self):
        """Takes the end of the answer."""
        if self.phase is Phase.ENDED:
            return
        if self._events is not None and self._events.rest:
            detail = "ends within an event"
            self._finish(Result(Outcome.LOST, self._head, detail=detail))
            return
        self._finish(self._judge())

    def _judge(self):
        head = self._head
        body = b"".join(self._body)
        if head.is_not_executed:
            return Result(Outcome.REJECTED, head, body, f"status {head.status}")
        if head.status >= FIRST_ERROR:
            return Result(Outcome.FAILED, head, body, f"status {head.status}")
        return Result(Outcome.WHOLE, head, body)

    def take_loss(self, loss):
        """Takes the loss of the connection."""
        if self.phase is not Phase.ENDED:
            self._finish(Result(Outcome.LOST, self._head, detail=loss.value))

    def cancel(self):
        """Ends the send without a result; the backend server stops its work."""
        if self.phase is Phase.ENDED:
            return
        self.phase = Phase.ENDED
        self._stop_timer()
        self._drop()

    def _drop(self):
        if self._connection is None:
            self._opening.addErrback(lambda _: None)
            self._opening.cancel()
        else:
            self._connection.abort()

    def _finish(self, result):
        if self.phase is Phase.ENDED:
            return
        self.phase = Phase.ENDED
        self._stop_timer()
        self._receiver.take_result(result)
