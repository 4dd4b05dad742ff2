"""Writes responses to callers, with backpressure and a bounded write buffer."""

import msgspec
from twisted.internet import interfaces
from zope.interface import implementer

from wasabiknot_entry import problems

MAX_UNSENT_BYTES = 1_048_576
STREAM_CONTENT_TYPE = "text/event-stream"


@implementer(interfaces.IPushProducer)
class Listener:
    """Writes a response to one caller and buffers a bounded amount of unsent data.

    :param request: Twisted web request.
    """

    def __init__(self, request):
        self._request = request
        self._unsent = []
        self._unsent_bytes = 0
        self._is_paused = False
        self._is_started = False
        self._is_finishing = False
        self.is_closed = False
        request.registerProducer(self, True)

    def pauseProducing(self):  # noqa: N802
        """Starts buffering because the send buffer of the connection is full."""
        self._is_paused = True

    def resumeProducing(self):  # noqa: N802
        """Writes the buffered data."""
        self._is_paused = False
        pending, self._unsent = self._unsent, []
        self._unsent_bytes = 0
        for data in pending:
            self._request.write(data)
        if self._is_finishing:
            self._finish_request()

    def stopProducing(self):  # noqa: N802
        """Stops writing because the connection is closed."""
        self.is_closed = True

    def write(self, data, content_type):
        """Writes a part of the response, or buffers it while writing is paused.

        :param data: bytes to write.
        :param content_type: content type of the response.
        """
        if self.is_closed:
            return
        if not self._is_started:
            self._is_started = True
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
        """Sets the status of the response, unless the response has started.

        :param status: HTTP status code.
        :param retry_after: value of the ``Retry-After`` header, or ``None``.
        """
        if self.is_closed or self._is_started:
            return
        self._request.setResponseCode(status)
        if retry_after is not None:
            self._request.setHeader("Retry-After", retry_after)

    def finish(self):
        """Finishes the response once all buffered data is written."""
        self._is_finishing = True
        if not self._is_paused:
            self._finish_request()

    def fail(self, problem):
        """Ends the response with problem details.

        Before the first byte they become the response. In a stream they are sent as
        the last event, and the end marker is left out.

        :param problem: ``problems.Problem``.
        """
        if self.is_closed:
            return
        data = msgspec.json.encode(problem)
        if self._is_started:
            self.write(b"event: error\ndata: " + data + b"\n\n", STREAM_CONTENT_TYPE)
        else:
            retry_after = problem.retry_after_s
            text = None if retry_after is None else str(retry_after)
            self.set_status(problem.status, text)
            self.write(data, problems.CONTENT_TYPE)
        self.finish()

    def abort(self):
        """Drops the connection of a caller that reads too slowly."""
        self.is_closed = True
        self._unsent.clear()
        transport = self._request.transport
        if transport is not None:
            transport.abortConnection()

    def _finish_request(self):
        if self.is_closed:
            return
        self.is_closed = True
        self._request.unregisterProducer()
        self._request.finish()
