"""HTTP/1.1 connections to backend servers, the store and peers.

They don't use an HTTP client because bytes after the end of a response must be
detected: a connection that delivers any is never reused.
"""

import collections
import enum

import h11
import msgspec
from twisted.internet import error, interfaces, protocol
from zope.interface import declarations

from wasabiknot_entry import (
    connection_states,
    heads,
    inputs,
    liveness,
    malformed_responses,
    request_senders,
    response_ends,
    responses,
    sockets,
)

State = connection_states.State
Event = connection_states.Event
Verdict = response_ends.Verdict

# Requests of a connection whose late second responses are recognized, and bounds on
# such responses before the one that is due.
MAX_EARLIER_REQUESTS = 16
MAX_SKIPPED_RESPONSES = 4
MAX_SKIPPED_BYTES = 4 * 1024 * 1024

# After a response to this method, the connection isn't used for HTTP any more.
TUNNEL_METHOD = b"CONNECT"
FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))


class LossReason(enum.Enum):
    """Reasons for the loss of a connection with a request in flight."""

    UNREACHED = "unreached"
    RESET = "reset"
    MALFORMED = "garbled"
    UNREAD = "ended with the request unread"


class Request(msgspec.Struct, frozen=True):
    """A request to send.

    :param method: HTTP method.
    :param target: path with the query string.
    :param headers: pairs of lower-case names and values; the length of the body is
        among them, if it has any.
    :param body: complete request body, as bytes or ``memoryview``.
    :param name: what logs call it: its id, or empty for the target.
    """

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes | memoryview = b""
    name: str = ""


def find_fault(method, target, headers):
    """Finds out why a request can't be sent.

    :param method: HTTP method.
    :param target: path with the query string.
    :param headers: pairs of lower-case names and values; those of the framing are not
        looked at, as each connection has its own.
    :return: short text; empty if it can be sent.
    """
    if method == TUNNEL_METHOD:
        return "tunnels are not supported"
    fields = [field for field in headers if field[0] not in FRAMING_HEADERS]
    try:
        h11.Request(method=method, target=target, headers=fields)
    except h11.LocalProtocolError as fault:
        return str(fault)
    return ""


def encode_head(request):
    """Encodes the head of a request.

    :param request: ``Request``.
    :return: bytes.
    :raises h11.LocalProtocolError: if it is not valid HTTP/1.1.
    """
    head = h11.Request(
        method=request.method, target=request.target, headers=request.headers
    )
    return h11.Connection(h11.CLIENT).send(head)


@declarations.implementer(interfaces.IHalfCloseableProtocol)
class Connection(protocol.Protocol):
    """A connection that carries one request at a time.

    What may happen in which state is listed in ``connection_states``.

    :param pool: ``pools.Pool`` that the connection belongs to.
    :param address: host and port, separated by a colon.
    """

    def __init__(self, pool, address):
        self.address = address
        self._pool = pool
        self._state = State.IDLE
        self._request = None
        self._reader = None
        self._sender = None
        # Watches whether the server reads the request, if that is long.
        self._window = None
        self._handler = None
        self._input = None
        self._is_paused = False
        # Whether the transport is gone, maybe before all that it brought is handled.
        self._is_lost = False
        # Whether the server sends nothing more. It may still read the request.
        self._has_server_ended = False
        self._end_check = None
        self._server_ended_s = 0.0
        self._idle_timeout_s = None
        self.idle_since_s = None
        # Ids of the requests that were answered on this connection.
        self.earlier_requests = collections.deque(maxlen=MAX_EARLIER_REQUESTS)
        self._skipped_responses = 0
        self._skipped_bytes = 0

    def _advance(self, event):
        self._state = connection_states.find_next(self._state, event)

    @property
    def _is_in_flight(self):
        return self._state in connection_states.IN_FLIGHT

    def connectionMade(self):  # noqa: N802
        """Sets the socket options that detect an unreachable host."""
        self._input = inputs.Input(
            self._pool.input_scheduler,
            self._pool.source,
            self.transport,
            self._parse,
            lambda: not self._is_paused,
        )
        self.transport.setTcpNoDelay(True)
        liveness.set_options(self.transport.getHandle(), self._pool.silence)

    def send(self, request, handler):
        """Sends a request.

        :param request: ``Request``.
        :param handler: object with ``handle_head``, ``handle_data``, ``handle_end`` and
            ``handle_loss``.
        :raises h11.LocalProtocolError: if the request is not valid HTTP/1.1.
        """
        encoded_head = encode_head(request)
        self._reader = responses.ResponseReader(request)
        self._advance(Event.REQUEST)
        self._handler = handler
        self.idle_since_s = None
        self._request = request
        self._sender = request_senders.RequestSender(
            self.transport, encoded_head, request.body
        )
        if self._sender.is_long:
            handle = self.transport.getHandle()
            self._window = liveness.WindowWatch(handle, self._pool.silence)
            self._pool.watch(self)

    def check_window(self):
        """Ends the connection if its host is gone while its server didn't read."""
        if not self._is_lost and self._window.is_host_lost():
            self.transport.abortConnection()

    @property
    def has_input(self):
        """Whether received bytes aren't handled yet."""
        return self._input.is_waiting

    def dataReceived(self, data):  # noqa: N802
        """Parses received bytes and passes them to the handler."""
        if self._is_in_flight:
            self._input.receive(data)
        else:
            # This is a duplicate or late response.
            self.abort()

    def _parse(self, data):
        if not self._is_in_flight:
            self.abort()
            return
        try:
            self._reader.receive(data)
            self._read_parts()
        except responses.ResponseError as fault:
            self._record_fault(fault)
            self._fail(LossReason.MALFORMED)

    def _record_fault(self, fault):
        name = self._request.name or self._request.target.decode("latin-1")
        malformed_responses.record(self._pool.source, self.address, name, fault)

    def _read_parts(self):
        while self._is_in_flight:
            part = self._reader.read()
            if part is None:
                return
            self._handle_part(part)

    def _handle_part(self, part):
        is_skipping = self._state is State.SKIPPING
        if isinstance(part, responses.Head):
            self._advance(Event.HEAD)
            self._handler.handle_head(part)
        elif isinstance(part, responses.Body) and is_skipping:
            self._skip(part)
        elif isinstance(part, responses.Body):
            self._handler.handle_data(part.data, part.weight_bytes)
        elif is_skipping:
            self._expect_response()
        else:
            self._finish_response()

    def _skip(self, part):
        self._skipped_bytes += part.weight_bytes
        if self._skipped_bytes > MAX_SKIPPED_BYTES:
            raise responses.ResponseError(heads.Rule.COPIES)

    def skip_response(self):
        """Drops the response whose head has just arrived, and waits for another one.

        For a late second response to an earlier request. The connection is closed after
        the response that is due.

        :raises responses.ResponseError: if there were too many of them.
        """
        self._advance(Event.LATE)
        self._skipped_responses += 1
        if self._skipped_responses > MAX_SKIPPED_RESPONSES:
            raise responses.ResponseError(heads.Rule.COPIES)

    def _expect_response(self):
        if not self._reader.is_persistent:
            raise responses.ResponseError(heads.Rule.COPIES)
        self._advance(Event.SKIPPED)
        remainder = self._reader.remainder
        self._reader = responses.ResponseReader(self._request)
        if remainder:
            self._reader.receive(remainder)

    def pause(self):
        """Stops reading, so that the server slows down, until ``resume``."""
        if not self._is_paused:
            self._is_paused = True
            self.transport.pauseProducing()

    def resume(self):
        """Continues reading."""
        if self._is_paused:
            self._is_paused = False
            self._input.resume()

    @property
    def _has_more_bytes(self):
        return bool(self._reader.remainder) or self._input.is_waiting

    @property
    def _has_unsent_rest(self):
        # Another request would wait behind it until the server reads on.
        if not self._sender.is_done:
            return True
        if not self._sender.is_long:
            return False
        return sockets.read_send_queue(self.transport.getHandle()).unsent_bytes > 0

    @property
    def _may_be_reused(self):
        """Whether another request may be sent after the response that has ended."""
        return (
            self._reader.is_persistent
            and not self.is_lost
            and not self._has_more_bytes
            and not self._skipped_responses
            and not self._has_unsent_rest
        )

    def _finish_response(self):
        handler, self._handler = self._handler, None
        self.resume()
        if self._may_be_reused:
            self._advance(Event.KEPT)
            self._drop_request()
            self._pool.release(self, self._idle_timeout_s)
        elif self._has_more_bytes or (not self._is_lost and self._has_unsent_rest):
            # The server need not read the rest of the request.
            self.abort()
        else:
            self._advance(Event.LAST)
            self._drop_request()
            self.transport.loseConnection()
        handler.handle_end()

    def _drop_request(self):
        # The connection may be kept for long; the body isn't.
        if self._sender is not None:
            self._sender.stop()
        if self._end_check is not None:
            self._end_check.cancel()
            self._end_check = None
        if self._window is not None:
            self._window.stop()
            self._pool.unwatch(self)
        self._request = self._sender = self._reader = self._window = None

    def set_idle_timeout(self, idle_s):
        """Sets the server's idle timeout for this connection.

        :param idle_s: seconds; ``None`` if the server sent no timeout.
        """
        self._idle_timeout_s = idle_s

    def readConnectionLost(self):  # noqa: N802
        """Ends the request in flight, once all that has come is handled.

        A response without a length ends when the server closes the connection.
        """
        if self._has_server_ended:
            return
        self._pool.discard(self)
        self._has_server_ended = True
        self._input.finish(self._handle_server_end)

    def writeConnectionLost(self):  # noqa: N802
        """Does nothing: a connection isn't closed for writing alone."""

    def _handle_server_end(self):
        if self._ends_with_connection:
            self._server_ended_s = self._pool.seconds()
            self._check_end()
        elif self._is_in_flight:
            self._fail(LossReason.MALFORMED)
        elif self._state is State.IDLE:
            self.close()

    @property
    def _ends_with_connection(self):
        is_responding = self._state is State.RESPONDING
        return is_responding and self._reader.ends_with_connection

    def _check_end(self):
        self._end_check = None
        verdict = self._judge_end()
        if verdict is Verdict.COMPLETE:
            self._finish_response()
        elif verdict is Verdict.OPEN:
            self._end_check = self._pool.call_later(
                response_ends.CHECK_INTERVAL_S, self._check_end
            )
        else:
            is_reset = verdict is Verdict.RESET
            self._fail(LossReason.RESET if is_reset else LossReason.UNREAD)

    def _judge_end(self):
        return response_ends.judge(
            self._sender,
            self.transport.getHandle(),
            len(self._request.body),
            self._pool.seconds() - self._server_ended_s,
        )

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        """Ends the request in flight, once all that has come is handled."""
        self._pool.discard(self)
        self._is_lost = True
        self._input.finish(lambda: self._end(reason))

    def _end(self, reason):
        is_closed = reason.check(error.ConnectionDone) is not None
        if is_closed and self._ends_with_connection:
            # It was closed both ways at once, so nothing more can come.
            if self._judge_end() is Verdict.COMPLETE:
                self._finish_response()
        if self._is_in_flight:
            self._fail(LossReason.MALFORMED if is_closed else LossReason.RESET)
        self._advance(Event.LOST)

    def _fail(self, reason):
        handler = self._handler
        self.abort()
        handler.handle_loss(reason)

    @property
    def is_lost(self):
        """Whether the server has closed or reset the connection."""
        return self._is_lost or self._has_server_ended

    def close(self):
        """Closes an idle connection."""
        self._advance(Event.CLOSE)
        self.transport.loseConnection()

    def abort(self):
        """Closes the connection immediately without notifying the handler."""
        self._handler = None
        self._advance(Event.ABORT)
        self._input.close()
        self._drop_request()
        self._pool.discard(self)
        self.transport.abortConnection()
