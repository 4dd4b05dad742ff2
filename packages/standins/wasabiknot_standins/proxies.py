"""A loopback TCP proxy that delays, resets, cuts and silences connections."""

import enum

from twisted.internet import endpoints, protocol, reactor

DELAY_S = 0.3


class Fault(enum.Enum):
    """What a proxy does to the bytes that pass it."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    # Nothing passes towards the server.
    CUT = "cut"
    # Nothing passes back from the server.
    CUT_BACK = "cut-back"


class _Side(protocol.Protocol):
    def __init__(self, proxy, is_caller):
        self.proxy = proxy
        self.is_caller = is_caller
        self.other = None
        self.held = []
        self.is_dead = False

    def connectionMade(self):  # noqa: N802
        self.proxy.sides.add(self)
        self.transport.setTcpNoDelay(True)
        if not self.is_caller:
            return
        side = _Side(self.proxy, False)
        side.other = self
        host, _, port = self.proxy.target.rpartition(":")
        endpoint = endpoints.TCP4ClientEndpoint(reactor, host, int(port), timeout=2)
        opened = endpoints.connectProtocol(endpoint, side)
        opened.addCallbacks(self._link, lambda _: self.transport.abortConnection())

    def _link(self, side):
        self.other = side
        for data in self.held:
            side.transport.write(data)
        self.held = []
        if self.is_dead:
            side.transport.loseConnection()

    def dataReceived(self, data):  # noqa: N802
        fault = self.proxy.fault
        if fault is Fault.CUT and self.is_caller:
            return
        if fault is Fault.CUT_BACK and not self.is_caller:
            return
        delay_s = DELAY_S if fault is Fault.DELAY else 0.0
        # Bytes keep their order: all of them pass through the reactor's queue.
        self.proxy.due_s = max(self.proxy.due_s, reactor.seconds() + delay_s)
        if delay_s or self.proxy.due_s > reactor.seconds():
            wait_s = max(0.0, self.proxy.due_s - reactor.seconds())
            reactor.callLater(wait_s, self._pass_on, data)
        else:
            self._pass_on(data)

    def _pass_on(self, data):
        if self.other is None:
            self.held.append(data)
        elif not self.other.is_dead:
            self.other.transport.write(data)

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        self.is_dead = True
        self.proxy.sides.discard(self)
        if self.other is None or self.other.is_dead:
            return
        if reason.check(protocol.connectionDone.type):
            wait_s = max(0.0, self.proxy.due_s - reactor.seconds()) + 0.001
            reactor.callLater(wait_s, self.other.transport.loseConnection)
        else:
            self.other.transport.abortConnection()


class Proxy:
    """Passes connections on to one target.

    :param target: host and port.
    """

    def __init__(self, target):
        self.target = target
        self.fault = Fault.NONE
        self.due_s = 0.0
        self.sides = set()
        factory = protocol.Factory.forProtocol(lambda: _Side(self, True))
        factory.noisy = False
        self._port = reactor.listenTCP(0, factory, interface="127.0.0.1")

    @property
    def address(self):
        """Address that callers use."""
        return f"127.0.0.1:{self._port.getHost().port}"

    def apply(self, fault):
        """Applies a fault; open connections stay unless it resets them.

        :param fault: ``Fault``.
        """
        self.fault = fault
        if fault is Fault.RESET:
            for side in list(self.sides):
                side.transport.abortConnection()
            self.fault = Fault.NONE
