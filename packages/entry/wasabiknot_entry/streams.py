"""Checks the event stream of a model engine, piece by piece."""

import msgspec

from wasabiknot_kernel import wire

SEPARATOR = b"\n\n"
DATA_PREFIX = b"data: "
MAX_EVENT_BYTES = 262_144


_decoder = msgspec.json.Decoder(wire.StreamEvent)


class StreamReader:
    """Splits a stream into events and checks id and order.

    Tokens that were seen before are skipped, so a resumed stream may overlap.

    :param request_id: id that every event must carry.
    :param received: tokens received before.
    """

    def __init__(self, request_id, received=0):
        self._request_id = request_id
        self._buffer = b""
        self.received = received
        self.is_whole = False
        self.is_crossed = False

    def feed(self, data):
        """Takes bytes of the stream.

        :param data: bytes.
        :return: bytes of the checked new events, for the caller.
        """
        *complete, self._buffer = (self._buffer + data).split(SEPARATOR)
        if len(self._buffer) > MAX_EVENT_BYTES:
            self.is_crossed = True
        checked = []
        for raw in complete:
            if self.is_crossed or self.is_whole:
                break
            if raw.startswith(DATA_PREFIX) and self._accept(raw):
                checked.append(raw + SEPARATOR)
        return b"".join(checked)

    def _accept(self, raw):
        try:
            event = _decoder.decode(raw[len(DATA_PREFIX) :])
        except msgspec.MsgspecError:
            self.is_crossed = True
            return False
        if event.id != self._request_id or event.n > self.received:
            self.is_crossed = True
            return False
        if event.end:
            self.is_whole = event.n == self.received
            self.is_crossed = not self.is_whole
            return self.is_whole
        if event.n < self.received:
            return False
        self.received += 1
        return True
