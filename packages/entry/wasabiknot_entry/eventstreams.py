"""An incremental parser for server-sent events."""

import msgspec

_SEPARATOR = b"\n\n"


class Event(msgspec.Struct, frozen=True):
    """A complete server-sent event.

    :param event_id: value of the ``id`` field; ``None`` if absent or not a number.
    :param data: bytes of the event, including the blank line that ends it.
    """

    event_id: int | None
    data: bytes


class EventReader:
    """Buffers the bytes of a stream and splits them into complete events."""

    def __init__(self):
        self._buffer = b""

    @property
    def remainder(self):
        """Bytes of the incomplete event at the end of the data."""
        return self._buffer

    def feed(self, data):
        """Adds data and returns the events that it completes.

        :param data: next bytes of the stream.
        :return: list of ``Event``.
        """
        self._buffer += data.replace(b"\r\n", b"\n") if b"\r" in data else data
        parsed = []
        while True:
            head, separator, remainder = self._buffer.partition(_SEPARATOR)
            if not separator:
                return parsed
            self._buffer = remainder
            parsed.append(Event(_parse_id(head), head + separator))


def _parse_id(text):
    for line in text.split(b"\n"):
        if line.startswith(b"id:"):
            value = line[3:].strip()
            return int(value) if value.isdigit() else None
    return None
