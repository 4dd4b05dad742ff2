"""An incremental parser for server-sent events."""

import re

import msgspec

# The end of a line and a blank line. Lines may end with a carriage return and a line
# feed.
_SEPARATOR = re.compile(rb"\n\r?\n")
# Bytes of a separator that may have been received before the rest of it.
_BEGUN_SEPARATOR_BYTES = 2


class Event(msgspec.Struct, frozen=True):
    """A complete server-sent event.

    :param event_id: value of the ``id`` field; ``None`` if absent or not a number.
    :param data: bytes of the event as received, with the blank line that ends it.
    """

    event_id: int | None
    data: bytes


class EventReader:
    """Buffers the bytes of a stream and splits them into complete events."""

    def __init__(self):
        self._buffer = bytearray()

    @property
    def remainder(self):
        """Bytes of the incomplete event at the end of the data."""
        return bytes(self._buffer)

    @property
    def size_bytes(self):
        """Number of bytes of the incomplete event."""
        return len(self._buffer)

    def feed(self, data):
        """Adds data and returns the events that it completes.

        :param data: next bytes of the stream.
        :return: list of ``Event``.
        """
        searched = max(0, len(self._buffer) - _BEGUN_SEPARATOR_BYTES)
        self._buffer += data
        parsed = []
        start = 0
        for separator in _SEPARATOR.finditer(self._buffer, searched):
            event = bytes(self._buffer[start : separator.end()])
            parsed.append(Event(_parse_id(event), event))
            start = separator.end()
        del self._buffer[:start]
        return parsed


def _parse_id(text):
    for line in text.split(b"\n"):
        if line.startswith(b"id:"):
            value = line[3:].strip()
            return int(value) if value.isdigit() else None
    return None
