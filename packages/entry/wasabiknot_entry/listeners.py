"""One caller's connection, as the relay of an answer sees it."""

import msgspec
from twisted.internet import interfaces
from zope.interface import implementer

from wasabiknot_entry import problems

MAX_UNSENT_BYTES = 1_048_576
STREAM_TYPE = "text/event-stream"


@implementer(interfaces.IPushProducer)
class Listener:
    """Writes an answer to one caller and bounds what it has not read.

    :param request: Twisted web request.
    """

    def __init__(self, request):
        self._request = request
        self._unsent = []
        self._unsent_bytes = 0
        self._is_paused = False
        self._is_begun = False
        self._is_finishing = False
        self.is_gone = False
        request.registerProducer(self, True)

    def pauseProducing(self):  # noqa: N802
        """Holds chunks back while the caller's connection is full."""
        self._is_paused = True

    def resumeProducing(self):  # noqa: N802
        """Writes the chunks that were held back."""
        self._is_paused = False
        held, self._unsent = self._unsent, []
        self._unsent_bytes = 0
        for data in held:
            self._request.write(data)
        if self._is_finishing:
            self._end()

    def stopProducing(self):  # noqa: N802
        """Notes that the connection is gone."""
        self.is_gone = True

    def write(self, data, content_type):
        """Writes a part of the answer.

        :param data: bytes.
        :param content_type: content type of the whole answer.
        """
        if self.is_gone:
            return
        if not self._is_begun:
            self._is_begun = True
            self._request.setHeader("Content-Type", content_type)
            self._request.setHeader("Cache-Control", "no-store")
        if not self._is_paused:
            self._request.write(data)
            return
        self._unsent.append(data)
        self._unsent_bytes += len(data)
        if self._unsent_bytes > MAX_UNSENT_BYTES:
            self.abort()

    def set_status(self, status, retry_after):
        """Sets the status of an answer that another entry gave.

        :param status: HTTP status code.
        :param retry_after: value of ``Retry-After``, or ``None``.
        """
        if self.is_gone or self._is_begun:
            return
        self._request.setResponseCode(status)
        if retry_after is not None:
            self._request.setHeader("Retry-After", retry_after)

    def finish(self):
        """Ends the whole answer."""
        self._is_finishing = True
        if not self._is_paused:
            self._end()

    def fail(self, problem):
        """Ends the answer with problem details.

        Before the first byte they are the response; in a stream they are its last
        event, and the end marker is missing.

        :param problem: the ``Problem``.
        """
        if self.is_gone:
            return
        data = msgspec.json.encode(problem)
        if self._is_begun:
            self.write(b"event: error\ndata: " + data + b"\n\n", STREAM_TYPE)
        else:
            retry_after = problem.retry_after_s
            text = None if retry_after is None else str(retry_after)
            self.set_status(problem.status, text)
            self.write(data, problems.CONTENT_TYPE)
        self.finish()

    def abort(self):
        """Drops a caller that does not read."""
        self.is_gone = True
        self._unsent.clear()
        transport = self._request.transport
        if transport is not None:
            transport.abortConnection()

    def _end(self):
        if self.is_gone:
            return
        self.is_gone = True
        self._request.unregisterProducer()
        self._request.finish()
