"""Splits a stream of server-sent events into whole events."""

import msgspec

_END = b"\n\n"


class Event(msgspec.Struct, frozen=True):
    """One whole event.

    :param number: its id; ``None`` if it has none that is a number.
    :param data: its bytes, with the empty line behind it.
    """

    number: int | None
    data: bytes


class EventReader:
    """Collects bytes and returns the events that are whole."""

    def __init__(self):
        self._buffer = b""

    @property
    def rest(self):
        """Bytes of an event that is not whole."""
        return self._buffer

    def feed(self, data):
        """Takes bytes.

        :param data: bytes of the stream.
        :return: list of ``Event``.
        """
        self._buffer += data.replace(b"\r\n", b"\n") if b"\r" in data else data
        found = []
        while True:
            head, separator, rest = self._buffer.partition(_END)
            if not separator:
                return found
            self._buffer = rest
            found.append(Event(_read_number(head), head + separator))


def _read_number(text):
    for line in text.split(b"\n"):
        if line.startswith(b"id:"):
            value = line[3:].strip()
            return int(value) if value.isdigit() else None
    return None
