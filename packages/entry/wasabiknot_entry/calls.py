"""HTTP calls over pooled connections, with a timeout and a buffered response."""

import msgspec
from twisted.internet import defer
from twisted.python import failure

from wasabiknot_entry import connections, pools
from wasabiknot_kernel import exceptions

# Largest response; the store's pages and the facts of a peer are smaller.
MAX_BODY_BYTES = 16 * 1024 * 1024
# Time beyond that of a sound response after which a read is sent once more. A
# configuration must be known everywhere in time though connections fell silent.
HEDGE_DELAY_S = 0.35


class Response(msgspec.Struct, frozen=True):
    """A complete response.

    :param status: HTTP status code.
    :param body: the whole body.
    :param headers: pairs of lower-case names and values.
    :param era: era of the store's content that the response shows; 0 if unknown.
    """

    status: int
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()
    era: int = 0


class CallError(exceptions.WasabiknotError):
    """A call ended without a complete response."""


class _Call:
    """A call in flight.

    :param reactor: Twisted reactor.
    :param pool: ``pools.Pool``.
    :param address: host and port.
    :param request: ``connections.Request``.
    :param timeout_s: timeout of the whole call, in seconds.
    :param is_fresh: whether to open a new connection instead of taking a pooled one.
    """

    def __init__(self, reactor, pool, address, request, timeout_s, is_fresh=False):
        self._pool = pool
        self._address = address
        self._request = request
        self._connection = None
        self._status = 0
        self._headers = ()
        self._body = bytearray()
        self.response = defer.Deferred(self._cancel)
        self._timer = reactor.callLater(timeout_s, self._time_out)
        if is_fresh:
            self._connecting = pool.connect(address)
        else:
            self._connecting = pool.acquire(address, pools.DEFAULT_IDLE_TIMEOUT_S)
        self._connecting.addCallbacks(self._send, self._handle_connect_failure)

    def _send(self, connection):
        if self.response.called:
            connection.abort()
            return
        self._connection = connection
        connection.send(self._request, self)

    def _handle_connect_failure(self, reason):
        self._fail(reason.getErrorMessage())

    def _time_out(self):
        self._fail("timed out")
        self._connecting.cancel()
        if self._connection is not None:
            self._connection.abort()
        # Other pooled connections to the address may be unresponsive as well.
        self._pool.close_idle(self._address)

    def _cancel(self, _):
        self._fail("cancelled")
        self._connecting.cancel()
        if self._connection is not None:
            self._connection.abort()

    def handle_head(self, head):
        """Stores the status and the headers of the response."""
        self._status = head.status
        self._headers = head.headers

    def handle_data(self, data, weight_bytes):
        """Buffers a chunk of the body."""
        self._body += data
        if len(self._body) > MAX_BODY_BYTES:
            self._body.clear()
            self._connection.abort()
            self._fail("response too long")

    def handle_end(self):
        """Completes the call with the buffered response."""
        if not self.response.called:
            self._timer.cancel()
            body = bytes(self._body)
            self.response.callback(Response(self._status, body, self._headers))

    def handle_loss(self, reason):
        """Fails the call because the connection was lost."""
        self._fail(reason.value)

    def _fail(self, reason):
        if self.response.called:
            return
        if self._timer.active():
            self._timer.cancel()
        self.response.errback(CallError(reason))


class _HedgedCall:
    """A call that is repeated over a new connection if the first one seems to hang.

    A connection may fall silent for good although the host answers on others.

    :param reactor: Twisted reactor.
    :param pool: ``pools.Pool``.
    :param address: host and port.
    :param request: ``connections.Request`` without side effects.
    :param timeout_s: timeout of each of the two calls, in seconds.
    :param hedge_s: time in seconds after which the call is repeated.
    """

    def __init__(self, reactor, pool, address, request, timeout_s, hedge_s):
        self._pool = pool
        self._address = address
        self.response = defer.Deferred(self._cancel)
        self._pending = []
        self._is_done = False

        def start(is_fresh):
            sent = _Call(reactor, pool, address, request, timeout_s, is_fresh).response
            self._pending.append(sent)
            sent.addBoth(self._finish, sent)

        self._timer = reactor.callLater(hedge_s, start, True)
        start(is_fresh=False)

    def _finish(self, result, sent):
        self._pending.remove(sent)
        is_failed = isinstance(result, failure.Failure)
        if self._is_done or (is_failed and self._pending):
            return
        self._is_done = True
        if self._timer.active():
            self._timer.cancel()
        if self._pending:
            # Other pooled connections to the address may be unresponsive as well.
            self._pool.close_idle(self._address)
        self._cancel_pending()
        self.response.callback(result)

    def _cancel_pending(self):
        for sent in list(self._pending):
            sent.cancel()

    def _cancel(self, _):
        self._cancel_pending()


def call(reactor, pool, address, request, timeout_s, hedge_s=None):
    """Sends a request and waits for the complete response.

    :param reactor: Twisted reactor.
    :param pool: ``pools.Pool``.
    :param address: host and port.
    :param request: ``connections.Request``.
    :param timeout_s: timeout of the whole call, in seconds.
    :param hedge_s: time in seconds after which a request without side effects is sent
        once more, over a new connection; ``None`` for never.
    :return: deferred ``Response``; fails with ``CallError``, also when cancelled.
    """
    if hedge_s is not None:
        return _HedgedCall(reactor, pool, address, request, timeout_s, hedge_s).response
    return _Call(reactor, pool, address, request, timeout_s).response


def build_request(method, target, address, body=b""):
    """Builds a request with an optional binary body.

    :param method: HTTP method.
    :param target: path and query.
    :param address: host and port, for the ``Host`` header.
    :param body: the body.
    :return: ``connections.Request``.
    """
    headers = [(b"host", address.encode())]
    if body or method == "POST":
        headers.append((b"content-length", str(len(body)).encode()))
        headers.append((b"content-type", b"application/octet-stream"))
    return connections.Request(method.encode(), target.encode(), tuple(headers), body)
