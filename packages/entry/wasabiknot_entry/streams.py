"""Incremental validation of a model engine's event stream."""

import msgspec

from wasabiknot_entry import eventstreams
from wasabiknot_kernel import wire

DATA_PREFIX = b"data: "
MAX_EVENT_BYTES = 262_144


_decoder = msgspec.json.Decoder(wire.StreamEvent)


class StreamReader:
    """Splits a stream into events and validates their request id and order.

    Tokens that were received before are skipped, so a resumed stream may overlap.

    :param request_id: request id that every event must carry.
    :param received_tokens: number of tokens received on earlier connections.
    """

    def __init__(self, request_id, received_tokens=0):
        self._request_id = request_id
        self._events = eventstreams.EventReader()
        self.received_tokens = received_tokens
        self.is_complete = False
        self.is_invalid = False

    def feed(self, data):
        """Processes a part of the stream.

        :param data: received bytes.
        :return: bytes of the new valid events, for the caller.
        """
        received = self._events.feed(data)
        if self._events.size_bytes > MAX_EVENT_BYTES:
            self.is_invalid = True
        accepted = []
        for event in received:
            if self.is_invalid or self.is_complete:
                break
            if event.data.startswith(DATA_PREFIX) and self._accept(event.data):
                accepted.append(event.data)
        return b"".join(accepted)

    def _accept(self, data):
        try:
            event = _decoder.decode(data[len(DATA_PREFIX) :])
        except msgspec.MsgspecError:
            self.is_invalid = True
            return False
        if event.id != self._request_id or event.n > self.received_tokens:
            self.is_invalid = True
            return False
        if event.end:
            self.is_complete = event.n == self.received_tokens
            self.is_invalid = not self.is_complete
            return self.is_complete
        if event.n < self.received_tokens:
            return False
        self.received_tokens += 1
        return True
