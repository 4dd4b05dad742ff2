"""HTTP servers that limit the size of request bodies."""

import msgspec
from twisted.web import server

from wasabiknot_entry import problems
from wasabiknot_kernel import exceptions

IDLE_TIMEOUT_S = 60


class LimitedRequest(server.Request):
    """A request whose body is rejected above a maximum size."""

    max_body_bytes = 1_048_576
    _received_bytes = 0

    def gotLength(self, length):  # noqa: N802
        """Rejects a too large ``Content-Length`` and closes the connection."""
        if length is not None and length > self.max_body_bytes:
            self._reject()
            length = 0
        super().gotLength(length)

    def handleContentChunk(self, data):  # noqa: N802
        """Rejects a body once it is too large and closes the connection."""
        self._received_bytes += len(data)
        if self._received_bytes > self.max_body_bytes:
            self._reject()
            return
        super().handleContentChunk(data)

    def _reject(self):
        kind = exceptions.ErrorKind.BODY_TOO_LARGE
        detail = f"body: expected at most {self.max_body_bytes} bytes"
        body = msgspec.json.encode(problems.build_problem("", kind, detail=detail))
        head = (
            "HTTP/1.1 413 Content Too Large\r\n"
            f"Content-Type: {problems.CONTENT_TYPE}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        transport = self.channel.transport
        if not getattr(transport, "disconnecting", False):
            transport.write(head.encode() + body)
            transport.loseConnection()


def create_site(app, max_body_bytes):
    """Creates the protocol factory that serves an application.

    :param app: ``klein.Klein`` application.
    :param max_body_bytes: maximum size of a request body, in bytes.
    :return: a Twisted protocol factory.
    """

    class Request(LimitedRequest):
        pass

    Request.max_body_bytes = max_body_bytes
    site = server.Site(app.resource(), timeout=IDLE_TIMEOUT_S)
    site.requestFactory = Request
    site.displayTracebacks = False
    return site
