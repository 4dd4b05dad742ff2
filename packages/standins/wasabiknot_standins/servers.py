"""HTTP helpers of the simulated services."""

import msgspec
from twisted.internet import reactor
from twisted.web import server

JSON_TYPE = "application/json"
HOST = "127.0.0.1"
LISTEN_BACKLOG = 512


class HttpServer:
    """An HTTP server on the loopback interface that can stop and restart listening.

    :param app: ``klein.Klein`` application.
    :param port: TCP port.
    """

    def __init__(self, app, port):
        self._site = server.Site(app.resource(), timeout=120)
        self._port = port
        self._listener = None
        self.connections = set()

    def open(self):
        """Starts listening if it is not listening."""
        if self._listener is None:
            self._listener = reactor.listenTCP(
                self._port, self._site, backlog=LISTEN_BACKLOG, interface=HOST
            )

    def close(self):
        """Stops listening; the OS refuses new connections, and open ones remain."""
        if self._listener is not None:
            self._listener.stopListening()
            self._listener = None


def wait_for_end(request):
    """Builds a return value for a handler whose response is finished elsewhere.

    :param request: Twisted web request.
    :return: deferred that fires when the request is finished or its connection is lost.
    """
    return request.notifyFinish().addBoth(lambda _: None)


def send_json(request, value):
    """Encodes a JSON response and sets its content type.

    :param request: Twisted web request.
    :param value: structure to encode.
    :return: JSON bytes.
    """
    request.setHeader("Content-Type", JSON_TYPE)
    return msgspec.json.encode(value)


def read_json(request, schema):
    """Decodes a request body.

    :param request: Twisted web request.
    :param schema: type of the body.
    :return: the decoded body.
    :raises msgspec.ValidationError: if the body does not match the type.
    """
    return msgspec.json.decode(request.content.read(), type=schema)


def run(app, port):
    """Serves an application until the process is stopped.

    :param app: ``klein.Klein`` application.
    :param port: TCP port.
    """
    HttpServer(app, port).open()
    reactor.run()
