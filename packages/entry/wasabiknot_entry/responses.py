"""Reads the response to one request from the bytes of a connection.

Bodies are read by their framing, see RFC 9112, section 6.3.
"""

import msgspec

from wasabiknot_entry import chunks, heads

Head = heads.Head
ResponseError = heads.ResponseError

# Least bytes that a chunk counts as, since a small one takes longer than its bytes do.
MIN_CHUNK_BYTES = 32

BODILESS_STATUSES = frozenset((204, 304))


class Body(msgspec.Struct, frozen=True):
    """A part of the body of a response.

    :param data: bytes.
    :param weight_bytes: bytes that it counts as in bounds on responses.
    """

    data: bytes
    weight_bytes: int


class End(msgspec.Struct, frozen=True):
    """The end of a response."""


class LengthBody:
    """A body with a length.

    :param size_bytes: length in bytes.
    """

    def __init__(self, size_bytes):
        self._left_bytes = size_bytes
        self.remainder = b""

    @property
    def is_complete(self):
        """Whether the body has ended."""
        return not self._left_bytes

    def read(self, data):
        """Reads the next bytes.

        :param data: received bytes.
        :return: ``Body``.
        """
        part = data[: self._left_bytes]
        self._left_bytes -= len(part)
        self.remainder = data[len(part) :]
        return Body(part, len(part))


class ChunkedBody:
    """A body in chunks."""

    def __init__(self):
        self._decoder = chunks.ChunkDecoder()

    @property
    def is_complete(self):
        """Whether the body has ended."""
        return self._decoder.is_complete

    @property
    def remainder(self):
        """Bytes after the end of the body."""
        return self._decoder.remainder

    def read(self, data):
        """Reads the next bytes.

        :param data: received bytes.
        :return: ``Body``.
        :raises ResponseError: if they are no valid chunks.
        """
        count = self._decoder.count
        try:
            part = self._decoder.feed(data)
        except chunks.ChunkError as error:
            raise ResponseError(heads.Rule.CHUNK, error.received) from error
        weight_bytes = (self._decoder.count - count) * MIN_CHUNK_BYTES
        return Body(part, max(len(part), weight_bytes))


class OpenBody:
    """A body that ends with its connection."""

    is_complete = False
    remainder = b""

    def read(self, data):
        """Reads the next bytes.

        :param data: received bytes.
        :return: ``Body``.
        """
        return Body(data, len(data))


def create_body(method, head):
    """Creates the reader of a body.

    :param method: method of the request.
    :param head: ``Head``.
    :return: ``LengthBody``, ``ChunkedBody`` or ``OpenBody``.
    """
    if method == b"HEAD" or head.status in BODILESS_STATUSES:
        return LengthBody(0)
    if head.is_chunked:
        return ChunkedBody()
    if head.length is not None:
        return LengthBody(head.length)
    return OpenBody()


def _is_persistent(head):
    options = [
        option.strip().lower()
        for name, value in head.headers
        if name == b"connection"
        for option in value.split(b",")
    ]
    return b"close" not in options and not head.is_http_1_0


class ResponseReader:
    """Reads the response to one request.

    :param request: ``connections.Request``.
    """

    def __init__(self, request):
        self._method = request.method
        self._head_reader = heads.HeadReader()
        self._is_persistent = False
        self._body = None
        # Bytes that haven't been read.
        self._received = b""

    @property
    def remainder(self):
        """Bytes after the end of the response."""
        return self._body.remainder + self._received

    @property
    def is_persistent(self):
        """Whether the server keeps the connection after the response."""
        return self._is_persistent and not self.ends_with_connection

    @property
    def ends_with_connection(self):
        """Whether the body is the one that ends with the connection."""
        return isinstance(self._body, OpenBody)

    def receive(self, data):
        """Takes received bytes, for ``read``.

        :param data: bytes.
        """
        self._received += data

    def read(self):
        """Reads the next part of the response.

        :return: ``Head``, ``Body`` or ``End``; ``None`` if more bytes are needed.
        :raises ResponseError: if the received bytes are no response.
        """
        if self._body is None:
            return self._read_head()
        if self._received and not self._body.is_complete:
            received, self._received = self._received, b""
            part = self._body.read(received)
            if part.data:
                return part
        return End() if self._body.is_complete else None

    def _read_head(self):
        received, self._received = self._received, b""
        head = self._head_reader.read(received)
        if head is None:
            return None
        self._received = self._head_reader.remainder
        self._is_persistent = _is_persistent(head)
        self._body = create_body(self._method, head)
        return head
