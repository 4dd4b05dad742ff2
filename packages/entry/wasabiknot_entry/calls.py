"""Whole calls over pooled connections, with a time limit."""

import msgspec
from twisted.internet import defer

from wasabiknot_entry import connections
from wasabiknot_kernel import exceptions


class Response(msgspec.Struct, frozen=True):
    """A whole response.

    :param status: HTTP status code.
    :param body: its body.
    """

    status: int
    body: bytes


class CallError(exceptions.WasabiknotError):
    """A call brought no whole response."""


class _Call:
    """One call.

    :param reactor: Twisted reactor.
    :param pool: ``connections.Pool``.
    :param address: host and port.
    :param request: ``connections.Request``.
    :param timeout_s: longest time for it.
    """

    def __init__(self, reactor, pool, address, request, timeout_s):
        self._pool = pool
        self._address = address
        self._request = request
        self._connection = None
        self._status = 0
        self._body = []
        self.answered = defer.Deferred()
        self._timer = reactor.callLater(timeout_s, self._time_out)
        self._opening = pool.acquire(address, connections.DEFAULT_IDLE_TIMEOUT_S)
        self._opening.addCallbacks(self._send, self._fail_opening)

    def _send(self, connection):
        if self.answered.called:
            connection.abort()
            return
        self._connection = connection
        connection.send(self._request, self)

    def _fail_opening(self, failure):
        self._fail(failure.getErrorMessage())

    def _time_out(self):
        self._fail("no answer in time")
        self._opening.cancel()
        if self._connection is not None:
            self._connection.abort()
        # Other connections to it may have gone silent in the same way.
        self._pool.close_idle(self._address)

    def handle_head(self, head):
        """Takes the head of the response."""
        self._status = head.status

    def handle_data(self, data):
        """Takes a part of the body."""
        self._body.append(data)

    def handle_end(self):
        """Takes the end of the response."""
        if not self.answered.called:
            self._timer.cancel()
            self.answered.callback(Response(self._status, b"".join(self._body)))

    def handle_loss(self, loss):
        """Takes the loss of the connection."""
        self._fail(loss.value)

    def _fail(self, text):
        if self.answered.called:
            return
        if self._timer.active():
            self._timer.cancel()
        self.answered.errback(CallError(text))


def call(reactor, pool, address, request, timeout_s):
    """Makes a call.

    :param reactor: Twisted reactor.
    :param pool: ``connections.Pool``.
    :param address: host and port.
    :param request: ``connections.Request``.
    :param timeout_s: longest time for it.
    :return: deferred ``Response``; fails with ``CallError``.
    """
    return _Call(reactor, pool, address, request, timeout_s).answered


def build_request(method, target, address, body=b""):
    """Builds a request with a JSON body or none.

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
