"""One attempt to send a request to a backend server."""

import enum

import msgspec
from twisted.internet import error
from twisted.python import failure

from wasabiknot_entry import eventstreams
from wasabiknot_kernel import outcomes
from wasabiknot_platform import headers as platform_headers

Outcome = outcomes.Outcome
OK = 200
FIRST_SERVER_ERROR = 500
# Maximum idle time of a reused connection. It is shorter for requests that must not
# run twice: if the backend server closes the connection while such a request is sent,
# the request cannot be retried.
MAX_IDLE_NON_REPEATABLE_S = 2.0
MAX_IDLE_REPEATABLE_S = 10.0
# Time without the first event of a stream, or the head of a plain response, after
# which a request that may be retried counts as silent: a multiple of the expected
# time, and its lower bounds.
FIRST_EVENT_TIMEOUT_FACTOR = 4.0
MIN_STREAM_TIMEOUT_S = 0.8
MIN_PLAIN_TIMEOUT_S = 0.12
# Gap between two events after which a stream that may be resumed counts as silent.
STREAM_STALL_TIMEOUT_S = 1.2
# Interval of the checks whether another backend server can take a silent request.
SILENCE_CHECK_INTERVAL_S = 0.2
# Bounds on a response that isn't relayed as events, and on one event.
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_EVENT_BYTES = 256 * 1024
# Events of a stream beyond the output tokens of its request: each event but the last
# ones, which only end the stream, has at least one token.
EXTRA_EVENTS = 16


class Phase(enum.Enum):
    """Phases of an attempt."""

    CONNECTING = "connecting"
    SENT = "sent"
    RESPONDING = "answering"
    ENDED = "ended"


class Result(msgspec.Struct, frozen=True):
    """The result of an attempt.

    :param outcome: ``outcomes.Outcome``.
    :param head: ``platform_headers.ResponseHead``, or ``None``.
    :param body: body of a response that was not relayed as events.
    :param detail: short text for the log.
    :param is_refused: whether the backend server refused the connection.
    :param is_new_connection: whether no response to an earlier request has come over
        the connection.
    :param ends_with_connection: whether the connection was closed with the end of the
        response, which then may not be the end that the server meant.
    :param is_connection_lost: whether the connection ended before the response.
    """

    outcome: Outcome
    head: platform_headers.ResponseHead | None = None
    body: bytes = b""
    detail: str = ""
    is_refused: bool = False
    is_new_connection: bool = True
    ends_with_connection: bool = False
    is_connection_lost: bool = False


class SendAttempt:
    """Sends a request, validates the response and relays its events.

    :param reactor: Twisted reactor.
    :param pool: ``pools.Pool``.
    :param assignment: ``assignments.Assignment``.
    :param build_request: function that returns the ``connections.Request``; it is
        called once there is a connection.
    :param receiver: object with ``handle_head``, ``handle_event``, ``handle_silence``
        and ``handle_result``.
    """

    def __init__(self, reactor, pool, assignment, build_request, receiver):
        self._reactor = reactor
        self._assignment = assignment
        self._ticket = assignment.ticket
        self._build_request = build_request
        self._receiver = receiver
        self._connection = None
        self._pool = pool
        self._buffers = pool.buffers
        self._head = None
        self._body = bytearray()
        # Weight of the body, or of what came of a stream since its newest event.
        self._weight_bytes = 0
        self._event_reader = None
        self._is_relayed = False
        self._event_count = 0
        self.phase = Phase.CONNECTING
        self._timer = None
        # Time of the send or of the newest event, in seconds.
        self._heard_s = reactor.seconds()
        self._connecting = pool.acquire(
            assignment.address, self._find_max_idle_s(), self._ticket.request_id
        )
        self._connecting.addCallbacks(self._send, self._handle_connect_failure)

    def _find_max_idle_s(self):
        is_repeatable = self._ticket.route.is_repeatable
        return MAX_IDLE_REPEATABLE_S if is_repeatable else MAX_IDLE_NON_REPEATABLE_S

    def _send(self, connection):
        if self.phase is Phase.ENDED:
            connection.abort()
            return
        if self._is_withdrawn():
            self._pool.release(connection, None)
            self._finish(Result(Outcome.WITHDRAWN, detail="drained"))
            return
        self._connection = connection
        try:
            connection.send(self._build_request(), self)
        except Exception:
            self._receiver.handle_failure(failure.Failure())
            self.cancel()
            return
        self.phase = Phase.SENT
        self._heard_s = self._reactor.seconds()
        self._start_first_event_timer()

    def _is_withdrawn(self):
        return self._assignment.server.is_drained

    def _handle_connect_failure(self, failure):
        if self.phase is not Phase.ENDED:
            is_refused = failure.check(error.ConnectionRefusedError) is not None
            detail = "refused" if is_refused else "no connection"
            self._finish(
                Result(Outcome.UNREACHABLE, detail=detail, is_refused=is_refused)
            )

    def _start_first_event_timer(self):
        route = self._ticket.route
        if not route.is_repeatable:
            return
        expected_s = self._assignment.score_ms / 1_000
        min_timeout_s = MIN_STREAM_TIMEOUT_S if route.is_stream else MIN_PLAIN_TIMEOUT_S
        if not self._assignment.is_measured:
            min_timeout_s = max(min_timeout_s, route.objective_ms / 1_000)
        self._start_timer(max(min_timeout_s, FIRST_EVENT_TIMEOUT_FACTOR * expected_s))

    def _start_timer(self, delay_s):
        self._stop_timer()
        self._timer = self._reactor.callLater(delay_s, self.check_silence)

    def _stop_timer(self):
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    @property
    def has_response(self):
        """Whether the head of a response has arrived."""
        return self._head is not None

    @property
    def is_new_connection(self):
        """Whether no response to an earlier request has come over the connection."""
        return self._connection is None or not self._connection.earlier_requests

    @property
    def has_input(self):
        """Whether received bytes of the response aren't handled yet."""
        return self._connection is not None and self._connection.has_input

    def check_silence(self):
        """Ends the attempt if another server takes its request, as this one is silent.

        Otherwise the server may go on.
        """
        if self.has_input:
            self._start_timer(SILENCE_CHECK_INTERVAL_S)
            return
        silent_s = self._reactor.seconds() - self._heard_s
        is_replaced = self._receiver.handle_silence(silent_s)
        if self.phase is Phase.ENDED:
            return
        if not is_replaced:
            self._start_timer(SILENCE_CHECK_INTERVAL_S)
            return
        self._abort_connection()
        self._finish(
            Result(
                Outcome.TIMED_OUT,
                self._head,
                detail="silent",
                is_new_connection=self.is_new_connection,
            )
        )

    def handle_head(self, head):
        """Handles the head of the response; rejects a response to another request."""
        decoded = platform_headers.decode_response(head.status, head.headers)
        if self._is_late_copy(decoded):
            self._connection.skip_response()
            return
        self._head = decoded
        self._connection.set_idle_timeout(self._head.idle_s)
        self.phase = Phase.RESPONDING
        if not self._is_valid_response():
            self._abort_connection()
            self._finish(
                Result(Outcome.RESPONSE_LOST, detail="another request's answer")
            )
            return
        self._receiver.handle_head(self._head)
        if self._ticket.route.is_stream and self._head.status == OK:
            self._event_reader = eventstreams.EventReader()
        if not self._ticket.route.is_stream:
            self._stop_timer()

    def _is_late_copy(self, head):
        # The server has responded to an earlier request on this connection once more.
        is_own = head.attempt_id == self._ticket.request_id
        return not is_own and head.attempt_id in self._connection.earlier_requests

    def _is_valid_response(self):
        head = self._head
        if head.attempt_id == self._ticket.request_id:
            return not (
                head.status < 300 and (not head.stamp or head.has_content_encoding)
            )
        # A refusal without an id may be a copy of that of an earlier request.
        is_anonymous = head.is_not_executed and not head.attempt_id
        return is_anonymous and not self._connection.earlier_requests

    def handle_data(self, data, weight_bytes=0):
        """Handles a part of the body.

        :param data: bytes.
        :param weight_bytes: bytes that they count as, if more than there are.
        """
        if self.phase is Phase.ENDED:
            return
        self._weight_bytes += max(len(data), weight_bytes)
        if self._event_reader is None:
            self._body += data
            self._buffers.add(self, len(data))
            max_bytes = MAX_BODY_BYTES
        else:
            for event in self._event_reader.feed(data):
                self._relay(event)
            max_bytes = MAX_EVENT_BYTES
        if self._weight_bytes > max_bytes:
            self._fail(Outcome.ENDLESS, "response too long")

    def drop_buffer(self):
        """Ends the attempt, as buffers hold too much and its response the most."""
        self._fail(Outcome.RESPONSE_LOST, "responses held in memory are too large")

    def _fail(self, outcome, detail):
        if self.phase is not Phase.ENDED:
            self._abort_connection()
            self._finish(Result(outcome, self._head, detail=detail))

    def pause(self):
        """Stops reading the response while the caller doesn't take what it got."""
        if self.phase is Phase.RESPONDING:
            self._stop_timer()
            self._connection.pause()

    def resume(self):
        """Continues reading the response."""
        if self.phase is not Phase.RESPONDING:
            return
        if self._is_relayed and self._ticket.route.is_resumable:
            self._start_timer(STREAM_STALL_TIMEOUT_S)
        self._connection.resume()

    def _relay(self, event):
        if self.phase is Phase.ENDED:
            return
        if self._ticket.route.is_resumable:
            self._start_timer(STREAM_STALL_TIMEOUT_S)
        else:
            self._stop_timer()
        self._is_relayed = True
        self._heard_s = self._reactor.seconds()
        self._event_count += 1
        self._weight_bytes = self._event_reader.size_bytes
        output_tokens = self._ticket.arrival.output_tokens
        if output_tokens and self._event_count > output_tokens + EXTRA_EVENTS:
            self._fail(Outcome.ENDLESS, "too many events")
            return
        if not self._receiver.handle_event(event, self._head):
            self._fail(Outcome.RESPONSE_LOST, "event missing")

    def handle_end(self):
        """Handles the end of the response."""
        if self.phase is Phase.ENDED:
            return
        self._connection.earlier_requests.append(self._ticket.request_id)
        if self._event_reader is not None and self._event_reader.remainder:
            detail = "ends within an event"
            self._finish(Result(Outcome.RESPONSE_LOST, self._head, detail=detail))
            return
        if self._event_reader is not None and not self._may_end_stream():
            self._finish(Result(Outcome.RESPONSE_LOST, self._head, detail="no event"))
            return
        self._finish(self._classify_response())

    def _may_end_stream(self):
        # A server that adds nothing may not know that events are missing.
        return self._event_count > 0 or not self._ticket.is_begun

    def _classify_response(self):
        head = self._head
        body = bytes(self._body)
        if head.is_not_executed:
            return Result(Outcome.REJECTED, head, body, f"status {head.status}")
        # Only a stream may continue one that has begun.
        is_error = head.status >= FIRST_SERVER_ERROR or head.is_promise
        if is_error or self._ticket.is_begun and self._event_reader is None:
            return Result(Outcome.FAILED, head, body, f"status {head.status}")
        is_lost = self._connection.is_lost
        return Result(Outcome.COMPLETE, head, body, ends_with_connection=is_lost)

    def handle_loss(self, reason):
        """Handles the loss of the connection."""
        if self.phase is not Phase.ENDED:
            result = Result(
                Outcome.RESPONSE_LOST,
                self._head,
                detail=reason.value,
                is_new_connection=self.is_new_connection,
                is_connection_lost=True,
            )
            self._finish(result)

    def cancel(self):
        """Ends the attempt without a result.

        Closes the connection, so that the backend server stops processing.
        """
        if self.phase is Phase.ENDED:
            return
        self._end()
        self._abort_connection()

    def _end(self):
        self.phase = Phase.ENDED
        self._stop_timer()
        self._buffers.release(self)
        self._body = bytearray()

    def _abort_connection(self):
        if self._connection is None:
            self._connecting.addErrback(lambda _: None)
            self._connecting.cancel()
        else:
            self._connection.abort()

    def _finish(self, result):
        if self.phase is Phase.ENDED:
            return
        self._end()
        self._receiver.handle_result(result)
