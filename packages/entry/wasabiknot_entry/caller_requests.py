"""Callers' requests while they arrive, and their end without the gateway."""

import mmap
import pathlib

from twisted.web import http, http_headers

from wasabiknot_entry import error_responses
from wasabiknot_kernel import exceptions

Kind = exceptions.ErrorKind

# Retry time of a request that is refused because the bodies held are too large.
BUFFERS_FULL_RETRY_AFTER_S = 1.0
# Retry time of a request that is refused because this entry stops. The load balancer
# soon routes to other entries only.
STOPPING_RETRY_AFTER_S = 0.2
STOPPING = "shutting down"
BUFFERS_FULL = "bodies held in memory are too large"
# Bodies from this size on get pages of memory of their own.
MIN_LONG_BODY_BYTES = 64 * 1024
# Kernels without large pages know no advice on them.
HAS_LARGE_PAGES = pathlib.Path("/sys/kernel/mm/transparent_hugepage").exists()


def reserve_pages(size_bytes):
    """Reserves memory, which is used as it is written to.

    :param size_bytes: size in bytes.
    :return: ``mmap.mmap``.
    """
    flags = mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
    pages = mmap.mmap(-1, size_bytes, flags=flags)
    if HAS_LARGE_PAGES:
        # One of them would be in use for the first bytes.
        pages.madvise(mmap.MADV_NOHUGEPAGE)
    return pages


class BodyBuffer:
    """Collects a body in one piece, in place of the file that the base class uses.

    A long body lies in pages of its own. They use memory only as it comes, and the
    operating system has them back at once.

    :param max_bytes: length of the body, or the most that is taken of it.
    """

    def __init__(self, max_bytes=0):
        self._max_bytes = max_bytes
        self._data = bytearray()
        self._received_bytes = 0

    def write(self, data):
        """Adds a part of the body.

        :param data: bytes; not beyond the length.
        """
        start = self._received_bytes
        end = start + len(data)
        if start < MIN_LONG_BODY_BYTES <= end:
            received, self._data = self._data, reserve_pages(self._max_bytes)
            self._data[:start] = received
        self._data[start:end] = data
        self._received_bytes = end

    def tell(self):
        """Returns the number of received bytes."""
        return self._received_bytes

    def seek(self, offset, whence=0):
        """Does nothing: the body is taken as a whole."""

    def take(self):
        """Returns the body without a copy.

        :return: ``memoryview``.
        """
        return memoryview(self._data)[: self._received_bytes]

    def close(self):
        """Drops the body."""
        self._data = bytearray()
        self._received_bytes = 0


class CallerRequest(http.Request):
    """A caller's request, which is processed once its body is complete."""

    gateway = None
    flow = None
    # Whether a peer has handed the request over.
    is_taken_over = False
    received_bytes = 0
    # Limit on the body that was in force when the head came.
    max_bytes = 0
    is_refused = False

    def __init__(self, channel, queued):
        # Bodies are passed on as they are, so forms aren't parsed.
        super().__init__(channel, queued, parsePOSTFormSubmission=False)

    def gotLength(self, length):  # noqa: N802
        """Prepares to store the body in memory, where the budget counts it."""
        self.max_bytes = self.gateway.limits.body_bytes
        is_known = length is not None
        size_bytes = min(length, self.max_bytes) if is_known else self.max_bytes
        self.content = BodyBuffer(size_bytes)

    def handleContentChunk(self, data):  # noqa: N802
        """Stores a part of the body, up to the limit of the configuration."""
        if self.is_refused:
            return
        self.received_bytes += len(data)
        if self.received_bytes > self.max_bytes:
            reason = f"over {self.max_bytes} bytes"
            self._refuse(Kind.BODY_TOO_LARGE, 413, None, reason)
            return
        super().handleContentChunk(data)
        self.gateway.buffers.add(self, len(data))

    def _refuse(self, kind, status, retry_after_s, reason):
        error = error_responses.ErrorResponse(kind, status, retry_after_s, reason)
        self.is_refused = True
        self.gateway.buffers.release(self)
        self.content = BodyBuffer()
        self.gateway.record_refused_body(self, error)
        rendered = error_responses.render_error(error, self.is_taken_over)
        self.channel.transport.write(rendered)
        self.channel.loseConnection()

    def drop_buffer(self):
        """Ends the request, as buffers hold too much and its body the most."""
        if self.flow is not None:
            self.gateway.run_step(self, self.flow.drop, BUFFERS_FULL)
        elif not self.is_refused:
            kind = Kind.QUEUE_FULL
            self._refuse(kind, 503, BUFFERS_FULL_RETRY_AFTER_S, BUFFERS_FULL)

    def refuse_head(self):
        """Refuses the request, whose head is larger than the configuration allows."""
        reason = f"over {self.gateway.limits.header_bytes} bytes"
        self._refuse(Kind.HEAD_TOO_LARGE, 431, None, reason)

    def refuse_for_stop(self):
        """Refuses the request, which is still arriving, because the entry ends."""
        if not self.is_refused:
            self._refuse(Kind.STOPPING, 503, STOPPING_RETRY_AFTER_S, STOPPING)

    def take_body(self):
        """Returns the body without a copy, and holds it no longer itself.

        :return: ``memoryview``.
        """
        content, self.content = self.content, BodyBuffer()
        return content.take()

    def process(self):
        """Passes the request to the gateway."""
        if not self.is_refused:
            self.gateway.run_step(self, self.gateway.handle_request, self)

    def answer_failure(self, error):
        """Ends the request with an error response, unless it has one.

        :param error: ``error_responses.ErrorResponse``.
        """
        if self.finished or self.channel is None:
            return
        if self.producer is not None:
            self.unregisterProducer()
        if self.startedWriting:
            self.channel.loseConnection()
            return
        self.responseHeaders = http_headers.Headers()
        if not self.channel.persistent:
            self.setHeader(b"connection", b"close")
        error_responses.write_error(self, error)

    def finish(self):
        """Finishes the response; the body isn't needed any more."""
        self.gateway.buffers.release(self)
        super().finish()

    def connectionLost(self, reason):  # noqa: N802
        """Ends the request, as its caller has gone."""
        self.gateway.buffers.release(self)
        super().connectionLost(reason)
