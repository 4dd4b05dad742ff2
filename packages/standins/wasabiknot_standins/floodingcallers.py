"""Callers that send one request after the other, or long ones that nobody reads."""

from twisted.internet import endpoints, protocol, reactor
from twisted.python import log

from wasabiknot_standins import soakconfigurations

RETRY_DELAY_S = 0.05
# Bodies that are just within what the configuration allows.
LONG_BODY = b"x" * 4_000_000
# Time after which a caller with a long body leaves, in seconds.
PATIENCE_S = 3.0


class _Connection(protocol.Protocol):
    def __init__(self, caller):
        self._caller = caller

    def connectionMade(self):  # noqa: N802
        self._caller.send(self.transport)

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        self._caller.connect_later()


class Caller:
    """Sends one request after the other to an entry, until it is stopped.

    :param address: host and port of the entry, separated by a colon.
    :param request_id: id of its requests.
    :param framing: header field that tells how long the body is.
    """

    def __init__(self, address, request_id, framing):
        self._host, _, self._port = address.rpartition(":")
        self._connection = None
        self._is_stopped = False
        self.head = (
            f"POST /lookup/x HTTP/1.1\r\nhost: {soakconfigurations.HOST}\r\n"
            f"x-api-key: {soakconfigurations.API_KEY}\r\n"
            f"x-wasabiknot-attempt-id: {request_id}\r\n"
            f"x-wasabiknot-deadline-ms: {soakconfigurations.CALLER_TIMEOUT_MS}\r\n"
            f"{framing}\r\n\r\n"
        ).encode()

    def connect(self):
        """Opens a connection and sends a request."""
        if self._is_stopped:
            return
        endpoint = endpoints.TCP4ClientEndpoint(reactor, self._host, int(self._port))
        opened = endpoints.connectProtocol(endpoint, _Connection(self))
        opened.addCallbacks(self._keep, lambda _: self.connect_later())
        opened.addErrback(log.err)

    def _keep(self, connection):
        self._connection = connection

    def send(self, transport):
        """Sends a request.

        :param transport: transport of the connection.
        """
        raise NotImplementedError

    def connect_later(self):
        """Opens the next connection after a short time."""
        reactor.callLater(RETRY_DELAY_S, self.connect)

    def stop(self):
        """Ends the request."""
        self._is_stopped = True
        if self._connection is not None:
            self._connection.transport.abortConnection()


class UploadingCaller(Caller):
    """Sends long bodies, and leaves after a time with or without a response.

    :param address: host and port of the entry, separated by a colon.
    :param request_id: id of its requests.
    """

    def __init__(self, address, request_id):
        super().__init__(address, request_id, f"content-length: {len(LONG_BODY)}")

    def send(self, transport):
        """Sends a request.

        :param transport: transport of the connection.
        """
        transport.write(self.head)
        transport.write(LONG_BODY)
        reactor.callLater(PATIENCE_S, transport.abortConnection)
