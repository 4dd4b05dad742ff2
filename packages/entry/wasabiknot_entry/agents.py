"""HTTP clients for calls between own processes, to the log and to backend servers.

The library that they use repairs responses, so each is held against the grammar that
the connections to backend servers have (``responses``) before it gets a byte.
"""

from treq import client as treq_client
from twisted.internet import endpoints
from twisted.protocols import policies
from twisted.web import client, iweb
from zope.interface import declarations

from wasabiknot_entry import connections, inputs, malformed_responses, responses

# The library doesn't say which request a response answers.
UNKNOWN = "unknown"
# Stands for any request whose response may have a body.
_REQUEST = connections.Request(b"GET", b"", ())


class _CheckedProtocol(policies.ProtocolWrapper):
    """Ends a connection on which a response comes that can't be read."""

    _reader = None

    def dataReceived(self, data):  # noqa: N802
        """Passes on received bytes if they are in the grammar."""
        try:
            self._read(data)
        except responses.ResponseError as fault:
            peer = self.getPeer()
            address = f"{peer.host}:{peer.port}"
            source = inputs.Source.CONTROL
            malformed_responses.record(source, address, UNKNOWN, fault)
            self.transport.abortConnection()
        else:
            super().dataReceived(data)

    def _read(self, data):
        if self._reader is None:
            self._reader = responses.ResponseReader(_REQUEST)
        self._reader.receive(data)
        while (part := self._reader.read()) is not None:
            if isinstance(part, responses.End):
                # The library ends connections on which more bytes come.
                self._reader = None
                return


class _CheckedFactory(policies.WrappingFactory):
    protocol = _CheckedProtocol
    noisy = False


class _CheckedEndpoint:
    """An endpoint whose protocols get checked responses only.

    :param endpoint: ``IStreamClientEndpoint``.
    """

    def __init__(self, endpoint):
        self._endpoint = endpoint

    def connect(self, factory):
        """Opens a connection.

        :param factory: factory of the protocol.
        :return: deferred protocol.
        """
        connected = self._endpoint.connect(_CheckedFactory(factory))
        return connected.addCallback(lambda checked: checked.wrappedProtocol)


@declarations.implementer(iweb.IAgentEndpointFactory)
class _Endpoints:
    def __init__(self, reactor, connect_timeout_s):
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s

    def endpointForURI(self, uri):  # noqa: N802
        """Returns the endpoint of a URI."""
        host = uri.host.decode("ascii")
        return _CheckedEndpoint(
            endpoints.HostnameEndpoint(
                self._reactor, host, uri.port, timeout=self._connect_timeout_s
            )
        )


def create_client(reactor, connect_timeout_s, pool=None):
    """Creates an HTTP client.

    A response that can't be read counts as one that was lost.

    :param reactor: Twisted reactor.
    :param connect_timeout_s: timeout for opening a connection, in seconds.
    :param pool: ``HTTPConnectionPool`` of kept connections; ``None`` keeps none.
    :return: ``treq.client.HTTPClient``.
    """
    factory = _Endpoints(reactor, connect_timeout_s)
    agent = client.Agent.usingEndpointFactory(reactor, factory, pool)
    return treq_client.HTTPClient(agent)
