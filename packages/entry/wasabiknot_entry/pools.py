"""Pools of connections to servers, by address."""

import functools

from twisted.internet import defer, endpoints, protocol

from wasabiknot_entry import buffers, connections, inputs, liveness

# Idle timeout of connections whose server sends no ``Keep-Alive`` timeout.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# Connections are reused only within this fraction of the server's idle timeout: the
# server's timer starts at a different time.
IDLE_TIMEOUT_FRACTION = 0.6
MAX_IDLE_PER_ADDRESS = 32
# Interval of the checks of all connections.
CHECK_INTERVAL_S = 0.2


class Pool:
    """A pool of idle connections by address.

    :param reactor: Twisted reactor.
    :param connect_timeout_s: timeout for opening a connection, in seconds.
    :param held: ``buffers.Budget`` for responses; one of its own if ``None``.
    :param silence: ``liveness.SilenceLimits`` of the connections.
    :param input_scheduler: ``inputs.InputScheduler``; one of its own if ``None``.
    :param source: ``inputs.Source`` at the other end of the connections.
    """

    def __init__(
        self,
        reactor,
        connect_timeout_s,
        held=None,
        silence=liveness.PEER_SILENCE,
        input_scheduler=None,
        source=inputs.Source.CONTROL,
    ):
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s
        self._idle = {}
        # Connections with a long request in flight.
        self._watched = set()
        self.buffers = held if held is not None else buffers.Budget()
        self.silence = silence
        self.input_scheduler = input_scheduler or inputs.InputScheduler(reactor)
        self.source = source

    def acquire(self, address, max_idle_s, request_id=""):
        """Takes an idle connection from the pool or opens a new one.

        A late copy of a response to the same request could not be told from the one
        that is due, so a request never returns to a connection.

        :param address: host and port, separated by a colon.
        :param max_idle_s: longest idle time of a pooled connection, in seconds.
        :param request_id: id of the request; empty if responses carry none.
        :return: deferred ``connections.Connection``; cancelling it stops the attempt.
        """
        connection = self._pop_idle(address, max_idle_s, request_id)
        if connection is not None:
            return defer.succeed(connection)
        return self.connect(address)

    def has_idle(self, address):
        """Tells whether a connection is kept open to an address.

        :param address: host and port, separated by a colon.
        """
        return bool(self._idle.get(address))

    def connect(self, address):
        """Opens a new connection.

        :param address: host and port, separated by a colon.
        :return: deferred ``connections.Connection``; cancelling it stops the attempt.
        """
        host, _, port = address.rpartition(":")
        endpoint = endpoints.TCP4ClientEndpoint(
            self._reactor, host, int(port), timeout=self._connect_timeout_s
        )
        factory = protocol.Factory.forProtocol(
            functools.partial(connections.Connection, self, address)
        )
        factory.noisy = False
        return endpoint.connect(factory)

    def _pop_idle(self, address, max_idle_s, request_id=""):
        idle = self._idle.get(address, [])
        now_s = self._reactor.seconds()
        while idle:
            connection, expires_s = idle.pop()
            is_fresh = now_s - connection.idle_since_s <= max_idle_s
            is_new_to_it = request_id not in connection.earlier_requests
            if is_fresh and is_new_to_it and now_s < expires_s:
                return connection
            connection.close()
        return None

    def release(self, connection, idle_timeout_s):
        """Returns a connection to the pool, or closes it if it cannot be reused.

        :param connection: ``connections.Connection``.
        :param idle_timeout_s: the server's idle timeout in seconds, or ``None``.
        """
        idle = self._idle.setdefault(connection.address, [])
        if idle_timeout_s is None:
            lifetime_s = DEFAULT_IDLE_TIMEOUT_S
        else:
            lifetime_s = idle_timeout_s * IDLE_TIMEOUT_FRACTION
        if lifetime_s <= 0 or len(idle) >= MAX_IDLE_PER_ADDRESS:
            connection.close()
            return
        now_s = self._reactor.seconds()
        connection.idle_since_s = now_s
        idle.append((connection, now_s + lifetime_s))

    def discard(self, connection):
        """Removes a connection from the pool without closing it.

        :param connection: ``connections.Connection``.
        """
        idle = self._idle.get(connection.address)
        if not idle:
            return
        idle[:] = [item for item in idle if item[0] is not connection]
        if not idle:
            del self._idle[connection.address]

    def close_idle(self, address):
        """Closes all idle connections to an address.

        :param address: host and port, separated by a colon.
        """
        for connection, _ in self._idle.pop(address, ()):
            connection.abort()

    def seconds(self):
        """Returns the current time.

        :return: seconds of the reactor's clock.
        """
        return self._reactor.seconds()

    def call_later(self, delay_s, function):
        """Calls a function later.

        :param delay_s: delay in seconds.
        :param function: function without parameters.
        :return: delayed call, which can be cancelled.
        """
        return self._reactor.callLater(delay_s, function)

    def watch(self, connection):
        """Adds a connection whose server may leave its request unread.

        :param connection: ``connections.Connection``.
        """
        self._watched.add(connection)

    def unwatch(self, connection):
        """Removes a connection whose request has ended.

        :param connection: ``connections.Connection``.
        """
        self._watched.discard(connection)

    def check(self):
        """Closes idle connections, and ends those to hosts that are gone."""
        self.close_expired()
        for connection in list(self._watched):
            connection.check_window()

    def close_expired(self):
        """Closes the connections whose idle timeout has passed."""
        now_s = self._reactor.seconds()
        for address in list(self._idle):
            for connection, expires_s in list(self._idle.get(address, ())):
                if now_s >= expires_s:
                    self.discard(connection)
                    connection.close()
