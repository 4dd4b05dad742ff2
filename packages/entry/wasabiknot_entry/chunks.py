"""Decodes bodies that come in chunks, see RFC 9112, section 7.1.

All chunks of a read are decoded at once, as each may hold a single byte.
"""

import enum
import re

from wasabiknot_entry import heads

# Bounds on what isn't data: a line with the size of a chunk, and all trailer fields.
MAX_SIZE_LINE_BYTES = 16 * 1024
MAX_TRAILER_BYTES = 16 * 1024

_QUOTED = rb'"(?:[\t !#-\[\]-~\x80-\xff]|\\[\t -~\x80-\xff])*"'
_EXTENSION = rb"[ \t]*;[ \t]*%(token)s(?:[ \t]*=[ \t]*(?:%(token)s|%(quoted)s))?" % {
    b"token": heads.TOKEN,
    b"quoted": _QUOTED,
}
_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})(?:" + _EXTENSION + rb")*\r\n")
_LINE_END = heads.LINE_END


class ChunkError(ValueError):
    """A body isn't in valid chunks.

    :param text: what is wrong.
    :param received: bytes that are, if there are any.
    """

    def __init__(self, text, received=b""):
        super().__init__(text)
        self.received = received


class _State(enum.Enum):
    SIZE = "size"
    DATA = "data"
    DATA_END = "end of data"
    TRAILER = "trailer"
    DONE = "done"


class ChunkDecoder:
    """Decodes one body, read by read."""

    def __init__(self):
        self._state = _State.SIZE
        # Received bytes that can't be decoded without those that follow.
        self._pending = b""
        self._left_bytes = 0
        self._trailer_bytes = 0
        # Number of chunks that have begun, the last one without data included.
        self.count = 0

    @property
    def is_complete(self):
        """Whether the end of the body has been decoded."""
        return self._state is _State.DONE

    @property
    def remainder(self):
        """Bytes after the end of the body."""
        return self._pending if self.is_complete else b""

    def feed(self, data):
        """Decodes the next bytes.

        :param data: received bytes.
        :return: data of the body, without the framing.
        :raises ChunkError: if they are no valid chunks, or too much isn't data.
        """
        data = self._pending + data
        parts = []
        position = 0
        step = self._STEPS
        while self._state is not _State.DONE:
            next_position = step[self._state](self, data, position, parts)
            if next_position is None:
                break
            position = next_position
        self._pending = data[position:]
        return b"".join(parts)

    # Each step returns the position after what it has decoded, or ``None`` if more
    # bytes are needed.

    def _decode_size(self, data, position, parts):
        if data.find(b"\n", position) < 0:
            if len(data) - position > MAX_SIZE_LINE_BYTES:
                raise ChunkError("size of a chunk too long")
            return None
        # Small chunks come by the thousand, so complete ones are decoded in a loop.
        start = position
        while (match := _SIZE_LINE.match(data, position)) is not None:
            self.count += 1
            position = match.end()
            size = int(match[1], 16)
            end = position + size
            if not size or data[end : end + 2] != _LINE_END:
                self._left_bytes = size
                self._state = _State.DATA if size else _State.TRAILER
                return position
            parts.append(data[position:end])
            position = end + 2
        if position == start:
            raise ChunkError("invalid size of a chunk", data[position:])
        return position

    def _decode_data(self, data, position, parts):
        part = data[position : position + self._left_bytes]
        if not part:
            return None
        parts.append(part)
        self._left_bytes -= len(part)
        if not self._left_bytes:
            self._state = _State.DATA_END
        return position + len(part)

    def _decode_data_end(self, data, position, parts):
        end = data[position : position + 2]
        if not _LINE_END.startswith(end):
            raise ChunkError("chunk longer than its size", end)
        if end != _LINE_END:
            return None
        self._state = _State.SIZE
        return position + 2

    def _decode_trailer(self, data, position, parts):
        end = data.find(b"\n", position) + 1
        line = data[position : end or len(data)]
        if self._trailer_bytes + len(line) > MAX_TRAILER_BYTES:
            raise ChunkError("trailer too long")
        if not end:
            return None
        if line == _LINE_END:
            self._state = _State.DONE
        else:
            self._check_field(line)
        self._trailer_bytes += len(line)
        return end

    def _check_field(self, line):
        try:
            heads.parse_field(line)
        except heads.ResponseError as error:
            raise ChunkError("invalid trailer", line) from error

    _STEPS = {
        _State.SIZE: _decode_size,
        _State.DATA: _decode_data,
        _State.DATA_END: _decode_data_end,
        _State.TRAILER: _decode_trailer,
    }
