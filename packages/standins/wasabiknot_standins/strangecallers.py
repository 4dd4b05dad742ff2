"""Callers that send what no entry waits for, drawn by a seed."""

import enum

from wasabiknot_standins import floodingcallers, floodingworkers, strangebehaviours

# Share of the runs that have such callers.
SHARE = 0.4
CALLERS_PER_ENTRY = 6
NOTHING = b"GET /nothing HTTP/1.1\r\nhost: nobody\r\n\r\n"


class Input(enum.Enum):
    """What comes without end."""

    CHUNKS = "chunks"
    EXTENSION = "extension"
    TRAILER = "trailer"
    SIZE = "size"
    HEAD = "head"
    FOLDED_LINES = "folded-lines"
    EMPTY_LINES = "empty-lines"
    REQUESTS = "requests"
    BINARY = "binary"


# Inputs that begin a body in chunks, or a head that doesn't end.
IN_CHUNKS = frozenset((Input.CHUNKS, Input.EXTENSION, Input.TRAILER, Input.SIZE))
IN_HEAD = frozenset((Input.HEAD, Input.FOLDED_LINES))
BLOCKS = {
    Input.CHUNKS: b"1\r\nx\r\n",
    Input.EXTENSION: b"1;a=b\r\nx\r\n",
    Input.TRAILER: b"a: b\r\n",
    Input.SIZE: b"0",
    Input.HEAD: b"x-a: b\r\n",
    Input.FOLDED_LINES: b" folded\r\n",
    Input.EMPTY_LINES: b"\r\n",
    Input.REQUESTS: NOTHING,
    Input.BINARY: b"\x00\xff",
}


def draw_input(seed):
    """Draws what the callers of a run send without end.

    :param seed: seed of the run.
    :return: ``Input``, or ``None`` if the run has no such callers.
    """
    rng = strangebehaviours.create_random(seed, "callers")
    return rng.choice(list(Input)) if rng.random() < SHARE else None


class StrangeCaller(floodingcallers.Caller):
    """Sends one kind of input without end, on one connection after the other.

    :param address: host and port of the entry, separated by a colon.
    :param request_id: id of its requests.
    :param kind: ``Input``.
    :param block_bytes: about the size in bytes of what is written at once.
    """

    def __init__(
        self,
        address,
        request_id,
        kind,
        block_bytes=strangebehaviours.ENDLESS_BLOCK_BYTES,
    ):
        super().__init__(address, request_id, "transfer-encoding: chunked")
        block = BLOCKS[kind]
        self._block = block * (block_bytes // len(block))
        self._start = b""
        if kind in IN_CHUNKS:
            self._start = self.head + b"0\r\n" * (kind is Input.TRAILER)
        elif kind in IN_HEAD:
            self._start = self.head.removesuffix(b"\r\n")

    def send(self, transport):
        """Sends the input.

        :param transport: transport of the connection.
        """
        transport.write(self._start)
        producer = floodingworkers.Producer(transport, self._block)
        transport.registerProducer(producer, False)
