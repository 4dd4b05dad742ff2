"""Simulated backend servers whose responses never end, or that leave bodies unread."""

import enum

from twisted.internet import reactor

from wasabiknot_standins import platformworkers, strangebehaviours

Endless = strangebehaviours.Endless

# Requests with a body of this length in bytes are rejected early.
LONG_BODY_BYTES = 100_000
# Interval of the single reads of a body that was rejected, in seconds.
READ_INTERVAL_S = 0.5
REJECTION = (
    b"HTTP/1.1 503 Service Unavailable\r\nx-wasabiknot-attempt-id: %s\r\n"
    b"x-wasabiknot-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
)


class Flood(enum.Enum):
    """What comes without end."""

    HEAD = "head"
    INTERIM_HEADS = "interim-heads"
    BODY = "body"
    EVENT = "event"
    EVENTS = "events"
    CHUNK_SIZE = "chunk-size"
    TRAILER = "trailer"
    EXTRA = "extra"
    SMALL_CHUNKS = "small-chunks"
    # Of requests: long ones are rejected by their heads, and read slowly.
    UNREAD_BODIES = "unread-bodies"


# Those that the soak draws; the list isn't changed, so that its seeds keep their draws.
DRAWN_FLOODS = tuple(Flood)[: list(Flood).index(Flood.SMALL_CHUNKS)]


ENDLESS = {
    Flood.HEAD: Endless.FIELD,
    Flood.INTERIM_HEADS: Endless.INTERIM_HEADS,
    Flood.BODY: Endless.BODY,
    Flood.EVENT: Endless.EVENT,
    Flood.EVENTS: Endless.EVENTS,
    Flood.CHUNK_SIZE: Endless.CHUNK_SIZE,
    Flood.TRAILER: Endless.TRAILER_FIELD,
    Flood.EXTRA: Endless.EXTRA,
    Flood.SMALL_CHUNKS: Endless.CHUNKS,
}


def build_flood(flood, request_id):
    """Builds the bytes of a response without end.

    :param flood: ``Flood`` of responses.
    :param request_id: id of the request.
    :return: ``strangebehaviours.Flood``.
    """
    fields = [
        f"x-wasabiknot-attempt-id: {request_id}",
        "x-wasabiknot-server-stamp: s",
    ]
    return strangebehaviours.encode_endless(
        ENDLESS[flood],
        fields,
        strangebehaviours.FLOOD_BLOCK_BYTES,
        platformworkers.build_body(request_id),
    )


class Producer:
    """Writes a block whenever the entry has taken the last one.

    :param transport: transport of the connection.
    :param block: bytes.
    :param delay_s: time before each block but the first one, in seconds.
    """

    def __init__(self, transport, block, delay_s=0.0):
        self._transport = transport
        self._block = block
        self._delay_s = delay_s

    def resumeProducing(self):  # noqa: N802
        """Writes the next block, after a delay if there is one."""
        if self._delay_s:
            reactor.callLater(self._delay_s, self._transport.write, self._block)
        else:
            self._transport.write(self._block)

    def stopProducing(self):  # noqa: N802
        """Does nothing, as the connection is gone."""


class FloodingWorker(platformworkers.Worker):
    """A backend server that answers without end while ``flood`` is set.

    ``block_delay_s`` is the time between two blocks, in seconds.
    """

    flood = None
    block_delay_s = 0.0

    def handle_head(self, request, length):
        """Rejects a long request before its body is read, if that is the flood.

        :param request: ``platformworkers.Request``.
        :param length: length of its body in bytes; ``None`` if it isn't known.
        """
        is_long = length is not None and length >= LONG_BODY_BYTES
        if self.flood is not Flood.UNREAD_BODIES or not is_long:
            return
        request_id = request.getHeader("x-wasabiknot-attempt-id") or ""
        channel = request.channel
        channel.transport.write(REJECTION % request_id.encode())
        self._read_slowly(channel)

    def _read_slowly(self, channel):
        # What a turn of the event loop brings, at most a read, then nothing for a time.
        if channel in self._channels:
            channel.transport.pauseProducing()
            reactor.callLater(READ_INTERVAL_S, self._read_once, channel)

    def _read_once(self, channel):
        if channel in self._channels:
            channel.transport.resumeProducing()
            reactor.callLater(0, self._read_slowly, channel)

    def handle_request(self, request):
        """Floods the connection, or responds as usual.

        :param request: ``platformworkers.Request``.
        """
        expected_id = request.getHeader("x-wasabiknot-expect-instance")
        is_foreign = expected_id != self.server_id
        if self.flood in (None, Flood.UNREAD_BODIES) or is_foreign:
            super().handle_request(request)
            return
        request_id = request.getHeader("x-wasabiknot-attempt-id") or ""
        self._record_flooded_run(request_id)
        disconnects = []
        request.notifyFinish().addErrback(disconnects.append)
        self._start_flood(request, request_id, self.flood, disconnects)

    def _start_flood(self, request, request_id, flood, disconnects):
        if disconnects:
            return
        if self.is_silent:
            arguments = (request, request_id, flood, disconnects)
            reactor.callLater(
                platformworkers.SILENCE_CHECK_S, self._start_flood, *arguments
            )
            return
        endless = build_flood(flood, request_id)
        transport = request.channel.transport
        request.channel.unregisterProducer()
        transport.unregisterProducer()
        transport.write(endless.start)
        producer = Producer(transport, endless.block, self.block_delay_s)
        transport.registerProducer(producer, False)

    def _record_flooded_run(self, request_id):
        run = platformworkers.Run(request_id, self.server_id, reactor.seconds())
        self._recorder.runs[request_id].append(run)
        if self.flood is Flood.EVENTS:
            # Its callers get events that no other response has.
            self._recorder.flooded_ids.add(request_id)
