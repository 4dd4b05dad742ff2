"""Loopback TCP proxy that delays, drops or resets traffic."""

import enum

from twisted.internet import endpoints, protocol, reactor

DELAY_S = 0.3


class Fault(enum.Enum):
    """Faults that a proxy can inject."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    # Drops all bytes sent to the server.
    DROP_TO_SERVER = "cut"
    # Drops all bytes sent by the server.
    DROP_FROM_SERVER = "cut-back"


class _Connection(protocol.Protocol):
    def __init__(self, proxy, is_client):
        self.proxy = proxy
        self.is_client = is_client
        self.peer = None
        self.buffered = []
        self.is_closed = False

    def connectionMade(self):  # noqa: N802
        self.proxy.connections.add(self)
        self.transport.setTcpNoDelay(True)
        if not self.is_client:
            return
        if not self.proxy.admits(self):
            self.transport.abortConnection()
            return
        server_side = _Connection(self.proxy, False)
        server_side.peer = self
        host, _, port = self.proxy.target.rpartition(":")
        endpoint = endpoints.TCP4ClientEndpoint(reactor, host, int(port), timeout=2)
        connecting = endpoints.connectProtocol(endpoint, server_side)
        connecting.addCallbacks(
            self._attach_server, lambda _: self.transport.abortConnection()
        )

    def _attach_server(self, server_side):
        self.peer = server_side
        self.proxy.handle_attach(self, server_side)
        for data in self.buffered:
            server_side.transport.write(data)
        self.buffered = []
        if self.is_closed:
            server_side.transport.loseConnection()

    def dataReceived(self, data):  # noqa: N802
        fault = self.proxy.find_fault(self)
        if fault is Fault.DROP_TO_SERVER and self.is_client:
            return
        if fault is Fault.DROP_FROM_SERVER and not self.is_client:
            return
        delay_s = DELAY_S if fault is Fault.DELAY else 0.0
        # Bytes stay in order: none is forwarded before bytes that are delayed.
        self.proxy.next_delivery_s = max(
            self.proxy.next_delivery_s, reactor.seconds() + delay_s
        )
        if delay_s or self.proxy.next_delivery_s > reactor.seconds():
            wait_s = max(0.0, self.proxy.next_delivery_s - reactor.seconds())
            reactor.callLater(wait_s, self._forward, data)
        else:
            self._forward(data)

    def _forward(self, data):
        if self.peer is None:
            self.buffered.append(data)
        elif not self.peer.is_closed:
            self.peer.transport.write(data)

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        self.is_closed = True
        self.proxy.connections.discard(self)
        if self.peer is None or self.peer.is_closed:
            return
        if reason.check(protocol.connectionDone.type):
            wait_s = max(0.0, self.proxy.next_delivery_s - reactor.seconds()) + 0.001
            reactor.callLater(wait_s, self.peer.transport.loseConnection)
        else:
            self.peer.transport.abortConnection()


class Proxy:
    """Forwards TCP connections to one server.

    :param target: host and port of the server, separated by a colon.
    """

    def __init__(self, target):
        self.target = target
        self.fault = Fault.NONE
        self.next_delivery_s = 0.0
        self.connections = set()
        factory = protocol.Factory.forProtocol(lambda: _Connection(self, True))
        factory.noisy = False
        self._port = reactor.listenTCP(0, factory, interface="127.0.0.1")

    @property
    def address(self):
        """Host and port on which the proxy listens, separated by a colon."""
        return f"127.0.0.1:{self._port.getHost().port}"

    def admits(self, connection):
        """Tells whether a new connection is passed on; otherwise it is reset.

        :param connection: connection of a client.
        """
        return True

    def handle_attach(self, client_side, server_side):
        """Handles that a connection to the server is open.

        :param client_side: connection of the client.
        :param server_side: connection to the server.
        """

    def find_fault(self, connection):
        """Finds the fault that holds for a connection.

        :param connection: connection of a client or to the server.
        :return: ``Fault``.
        """
        return self.fault

    def set_fault(self, fault):
        """Sets the current fault.

        ``Fault.RESET`` resets all open connections once; other faults keep them open.

        :param fault: ``Fault``.
        """
        self.fault = fault
        if fault is Fault.RESET:
            for connection in list(self.connections):
                connection.transport.abortConnection()
            self.fault = Fault.NONE
