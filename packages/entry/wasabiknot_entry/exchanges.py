"""Answers on their way to callers, and answers kept for later copies."""

import collections

import msgspec

MAX_KEPT_BYTES = 16 * 1024 * 1024


class Chunk(msgspec.Struct, frozen=True):
    """A verified part of an answer.

    :param request_id: the request.
    :param data: bytes for the caller.
    :param content_type: content type of the whole answer.
    """

    request_id: str
    data: bytes
    content_type: str


class Origin(msgspec.Struct, frozen=True):
    """What a request asks for and who sent it.

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
    """One request's answer and the callers that listen to it.

    :param request_id: the request.
    :param body: request body for the backend server.
    :param origin: ``Origin``; answers of keyed requests are kept for copies.
    """

    def __init__(self, request_id, body, origin):
        self.request_id = request_id
        self.body = body
        self.origin = origin
        self.is_kept = origin.key is not None
        self.chunks = []
        self.content_type = None
        self.listeners = []
        self.is_whole = False
        self.tokens = 0
        self.size = 0

    def attach(self, listener):
        """Adds a caller and replays what was relayed before.

        :param listener: ``Listener``.
        """
        self.listeners.append(listener)
        for data in self.chunks:
            listener.write(data, self.content_type)
        if self.is_whole:
            self.finish()

    def write(self, chunk):
        """Relays a chunk to all callers.

        :param chunk: the ``Chunk``.
        """
        self.content_type = chunk.content_type
        if self.is_kept:
            self.chunks.append(chunk.data)
            self.size += len(chunk.data)
        for listener in list(self.listeners):
            listener.write(chunk.data, chunk.content_type)

    def finish(self):
        """Ends the answer as whole."""
        self.is_whole = True
        for listener in self.listeners:
            listener.finish()
        self.listeners.clear()


class Exchanges:
    """All open and kept exchanges, with a bound on the kept bytes."""

    def __init__(self):
        self._open = {}
        self._kept = collections.OrderedDict()
        self._kept_bytes = 0

    def __len__(self):
        return len(self._open)

    def open(self, exchange):
        """Adds an exchange.

        :param exchange: the exchange.
        """
        self._open[exchange.request_id] = exchange

    def find(self, request_id):
        """Finds an exchange.

        :param request_id: the request.
        :return: the ``Exchange``, or ``None``.
        """
        return self._open.get(request_id) or self._kept.get(request_id)

    def list_open(self):
        """Lists the open exchanges.

        :return: list of ``Exchange``.
        """
        return list(self._open.values())

    def close(self, request_id):
        """Removes an open exchange.

        :param request_id: the request.
        :return: the ``Exchange``, or ``None``.
        """
        return self._open.pop(request_id, None)

    def keep(self, exchange):
        """Keeps a whole answer within the bound.

        :param exchange: a whole exchange.
        """
        self._kept[exchange.request_id] = exchange
        self._kept_bytes += exchange.size
        while self._kept_bytes > MAX_KEPT_BYTES:
            _, oldest = self._kept.popitem(last=False)
            self._kept_bytes -= oldest.size

    def forget(self, request_id):
        """Drops a kept answer.

        :param request_id: the request.
        """
        exchange = self._kept.pop(request_id, None)
        if exchange is not None:
            self._kept_bytes -= exchange.size
