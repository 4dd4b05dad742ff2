"""HTTP server for peers, metrics and the platform's readiness checks.

It uses only ``twisted.web.http``. An entry restarts many times a day, and importing
``twisted.web.server`` would slow its startup.
"""

from twisted.web import http


class RoutedRequest(http.Request):
    """A request that is handled by the function found for its path."""

    find_handler = None

    def process(self):
        """Sends the response of the handler, or 404 if there is none."""
        handler = self.find_handler(self.path)
        if handler is None:
            self.setResponseCode(http.NOT_FOUND)
            body = b""
        else:
            body = handler(self)
        self.setHeader(b"content-length", str(len(body)).encode())
        self.write(body)
        self.finish()


def create_factory(find_handler):
    """Creates an HTTP server factory.

    :param find_handler: function of a path that returns a handler or ``None``. A
        handler takes the request and returns the response body.
    :return: a Twisted protocol factory.
    """

    class Request(RoutedRequest):
        pass

    Request.find_handler = staticmethod(find_handler)

    class Channel(http.HTTPChannel):
        requestFactory = Request

    factory = http.HTTPFactory()
    factory.protocol = Channel
    factory.log = lambda request: None
    factory.noisy = False
    return factory
