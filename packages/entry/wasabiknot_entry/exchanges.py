"""Responses in flight to callers, and responses cached for duplicate requests."""

import collections

import msgspec

MAX_CACHED_BYTES = 16 * 1024 * 1024


class Chunk(msgspec.Struct, frozen=True):
    """A validated part of a response.

    :param request_id: id of the request.
    :param data: bytes for the caller.
    :param content_type: content type of the response.
    """

    request_id: str
    data: bytes
    content_type: str


class Origin(msgspec.Struct, frozen=True):
    """Target, customer and idempotency key of a request.

    :param service: service name.
    :param call: call name.
    :param customer: customer name.
    :param key: idempotency key, or ``None``.
    """

    service: str
    call: str
    customer: str
    key: str | None


class Exchange:
    """A request, its response and the callers that receive the response.

    The response of a request with an idempotency key is buffered, so that it can be
    replayed to duplicates of the request.

    :param request_id: id of the request.
    :param body: ``bodies.CallBody``, which is sent to the backend server.
    :param origin: ``Origin``.
    """

    def __init__(self, request_id, body, origin):
        self.request_id = request_id
        self.body = body
        self.origin = origin
        self.is_keyed = origin.key is not None
        self.chunks = []
        self.content_type = None
        self.listeners = []
        self.is_complete = False
        self.relayed_tokens = 0
        self.size_bytes = 0

    def attach(self, listener):
        """Adds a caller and replays the buffered part of the response.

        :param listener: ``listeners.Listener``.
        """
        self.listeners.append(listener)
        for data in self.chunks:
            listener.write(data, self.content_type)
        if self.is_complete:
            self.finish()

    def write(self, chunk):
        """Relays a chunk to all callers.

        :param chunk: ``Chunk``.
        """
        self.content_type = chunk.content_type
        if self.is_keyed:
            self.chunks.append(chunk.data)
            self.size_bytes += len(chunk.data)
        for listener in list(self.listeners):
            listener.write(chunk.data, chunk.content_type)

    def finish(self):
        """Marks the response as complete and finishes it for all callers."""
        self.is_complete = True
        for listener in self.listeners:
            listener.finish()
        self.listeners.clear()


class Exchanges:
    """The open exchanges, and a bounded cache of completed ones."""

    def __init__(self):
        self._open = {}
        self._cached = collections.OrderedDict()
        self._cached_bytes = 0

    def __len__(self):
        return len(self._open)

    def open(self, exchange):
        """Adds an open exchange.

        :param exchange: ``Exchange``.
        """
        self._open[exchange.request_id] = exchange

    def find(self, request_id):
        """Finds an open or cached exchange.

        :param request_id: id of the request.
        :return: ``Exchange`` or ``None``.
        """
        return self._open.get(request_id) or self._cached.get(request_id)

    def list_open(self):
        """Lists the open exchanges.

        :return: list of ``Exchange``.
        """
        return list(self._open.values())

    def close(self, request_id):
        """Removes an open exchange.

        :param request_id: id of the request.
        :return: the removed ``Exchange``, or ``None`` if it was not open.
        """
        return self._open.pop(request_id, None)

    def cache(self, exchange):
        """Caches a completed exchange; evicts the oldest ones above the size limit.

        :param exchange: ``Exchange`` with a complete response.
        """
        self._cached[exchange.request_id] = exchange
        self._cached_bytes += exchange.size_bytes
        while self._cached_bytes > MAX_CACHED_BYTES:
            _, oldest = self._cached.popitem(last=False)
            self._cached_bytes -= oldest.size_bytes

    def discard(self, request_id):
        """Removes a cached exchange, if there is one.

        :param request_id: id of the request.
        """
        exchange = self._cached.pop(request_id, None)
        if exchange is not None:
            self._cached_bytes -= exchange.size_bytes
