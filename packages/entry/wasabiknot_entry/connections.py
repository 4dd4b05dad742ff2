"""HTTP/1.1 connections to backend servers, the store and peers.

They are built on a codec and not on an HTTP client, because every byte behind an
answer counts: a connection that brings more than was asked for is never used
again.
"""

import enum
import functools
import socket

import h11
import msgspec
from twisted.internet import defer, endpoints, error, protocol

# Time after which unacknowledged bytes end a connection.
USER_TIMEOUT_MS = 1_500
# Keep-alive probes find an idle or waiting connection that has gone silent.
KEEP_ALIVE_IDLE_S = 2
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
# Longest time for which an idle connection is used again, if the other end
# states no time of its own.
DEFAULT_IDLE_S = 4.0
# Part of the stated time that is used, as both ends measure it.
IDLE_PART = 0.6
MAX_IDLE_PER_ADDRESS = 32


class Loss(enum.Enum):
    """Ways in which a connection fails a request."""

    UNREACHED = "unreached"
    RESET = "reset"
    CLOSED = "closed"
    GARBLED = "garbled"


class Head(msgspec.Struct, frozen=True):
    """The head of a response.

    :param status: HTTP status code.
    :param headers: pairs of lower-case names and values.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]


class Request(msgspec.Struct, frozen=True):
    """A request to send.

    :param method: HTTP method.
    :param target: path and query.
    :param headers: pairs of lower-case names and values.
    :param body: the whole body.
    """

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes = b""


class Connection(protocol.Protocol):
    """One connection, which carries one request at a time.

    :param pool: owning ``Pool``.
    :param address: host and port.
    """

    def __init__(self, pool, address):
        self.address = address
        self._pool = pool
        self._codec = h11.Connection(h11.CLIENT)
        self._handler = None
        self._stated_idle_s = None
        self.idle_since_s = None

    def connectionMade(self):  # noqa: N802
        """Sets the options that find silent connections."""
        self.transport.setTcpNoDelay(True)
        handle = self.transport.getHandle()
        options = (
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        )
        for level, option, value in options:
            handle.setsockopt(level, option, value)

    def send(self, request, handler):
        """Sends a request.

        :param request: ``Request``.
        :param handler: object with ``take_head``, ``take_data``, ``take_end`` and
            ``take_loss``.
        :raises h11.LocalProtocolError: if the request cannot be written.
        """
        self._handler = handler
        self.idle_since_s = None
        head = h11.Request(
            method=request.method, target=request.target, headers=request.headers
        )
        parts = [self._codec.send(head)]
        if request.body:
            parts.append(self._codec.send(h11.Data(data=request.body)))
        parts.append(self._codec.send(h11.EndOfMessage()))
        self.transport.write(b"".join(parts))

    def dataReceived(self, data):  # noqa: N802
        """Takes bytes of the response."""
        if self._handler is None:
            # Nothing was asked for: an answer that comes twice, or too late.
            self.abort()
            return
        self._codec.receive_data(data)
        self._read_events()

    def _read_events(self):
        try:
            while self._handler is not None:
                event = self._codec.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED):
                    return
                self._take_event(event)
        except h11.RemoteProtocolError:
            self._lose(Loss.GARBLED)
            self.abort()

    def _take_event(self, event):
        if isinstance(event, h11.Response):
            headers = tuple(
                (bytes(name), bytes(value)) for name, value in event.headers
            )
            self._handler.take_head(Head(event.status_code, headers))
        elif isinstance(event, h11.Data):
            self._handler.take_data(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._end()

    def _end(self):
        handler, self._handler = self._handler, None
        data, _ = self._codec.trailing_data
        is_reusable = (
            not data
            and self._codec.our_state is h11.DONE
            and self._codec.their_state is h11.DONE
        )
        if is_reusable:
            self._codec.start_next_cycle()
            self._pool.put_back(self, self._stated_idle_s)
        elif data:
            self.abort()
        else:
            self.transport.loseConnection()
        handler.take_end()

    def state_idle_time(self, idle_s):
        """Takes the time for which the other end keeps this connection idle.

        :param idle_s: seconds; ``None`` if it states none.
        """
        self._stated_idle_s = idle_s

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        """Ends the request that was on its way."""
        self._pool.forget(self)
        if self._handler is None:
            return
        if not reason.check(error.ConnectionDone):
            self._lose(Loss.RESET)
            return
        try:
            self._codec.receive_data(b"")
            self._read_events()
        except RuntimeError:
            pass
        self._lose(Loss.CLOSED)

    def _lose(self, loss):
        handler, self._handler = self._handler, None
        if handler is not None:
            handler.take_loss(loss)

    def abort(self):
        """Closes the connection at once; the handler hears no more."""
        self._handler = None
        self._pool.forget(self)
        if self.transport is not None:
            self.transport.abortConnection()


class Pool:
    """Open connections that wait for a request.

    :param reactor: Twisted reactor.
    :param connect_timeout_s: longest time to open a connection.
    """

    def __init__(self, reactor, connect_timeout_s):
        self._reactor = reactor
        self._timeout_s = connect_timeout_s
        self._idle = {}

    def acquire(self, address, max_idle_s):
        """Finds or opens a connection.

        :param address: host and port.
        :param max_idle_s: longest time that it may have been idle.
        :return: deferred ``Connection``; it may be cancelled.
        """
        connection = self._take_idle(address, max_idle_s)
        if connection is not None:
            return defer.succeed(connection)
        host, _, port = address.rpartition(":")
        endpoint = endpoints.TCP4ClientEndpoint(
            self._reactor, host, int(port), timeout=self._timeout_s
        )
        factory = protocol.Factory.forProtocol(
            functools.partial(Connection, self, address)
        )
        factory.noisy = False
        return endpoint.connect(factory)

    def _take_idle(self, address, max_idle_s):
        idle = self._idle.get(address, [])
        now_s = self._reactor.seconds()
        while idle:
            connection, until_s = idle.pop()
            is_fresh = now_s - connection.idle_since_s <= max_idle_s
            if is_fresh and now_s < until_s:
                return connection
            connection.transport.loseConnection()
        return None

    def put_back(self, connection, stated_idle_s):
        """Keeps a connection for the next request.

        :param connection: ``Connection``.
        :param stated_idle_s: time after which the other end closes it, or ``None``.
        """
        idle = self._idle.setdefault(connection.address, [])
        if stated_idle_s is None:
            keep_s = DEFAULT_IDLE_S
        else:
            keep_s = stated_idle_s * IDLE_PART
        if keep_s <= 0 or len(idle) >= MAX_IDLE_PER_ADDRESS:
            connection.transport.loseConnection()
            return
        now_s = self._reactor.seconds()
        connection.idle_since_s = now_s
        idle.append((connection, now_s + keep_s))

    def forget(self, connection):
        """Forgets a connection that has ended.

        :param connection: ``Connection``.
        """
        idle = self._idle.get(connection.address)
        if not idle:
            return
        idle[:] = [item for item in idle if item[0] is not connection]
        if not idle:
            del self._idle[connection.address]

    def drop(self, address):
        """Closes the idle connections to an address.

        :param address: host and port.
        """
        for connection, _ in self._idle.pop(address, ()):
            connection.transport.abortConnection()

    def sweep(self):
        """Closes the connections that have been idle for too long."""
        now_s = self._reactor.seconds()
        for address in list(self._idle):
            for connection, until_s in list(self._idle.get(address, ())):
                if now_s >= until_s:
                    self.forget(connection)
                    connection.transport.loseConnection()
