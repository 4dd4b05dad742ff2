"""Draws how a backend server behaves from a grammar, and encodes its responses.

Sound behaviours are those that the platform allows; callers get whole responses from
them. The others harm only the requests that meet them.
"""

import enum
import math
import random

import msgspec

from wasabiknot_standins import spoiltheads, strangeplays

Part = strangeplays.Part
CHUNK_BYTES = (1, 2, 7, 64, 65_536)
MAX_INTERIM_HEADS = 3
MAX_EXTRA_FIELDS = 300
# Statements at the edge of what they may say; all of them say nothing.
ODD_FIELDS = (
    "keep-alive: timeout=0",
    "keep-alive: timeout=99999999999",
    "keep-alive: timeout=soon",
    "server-limit: nan",
    "server-limit: -1",
    "server-limit: 1e308",
    "server-brittle: many",
    "server-leaving: 0",
    "retry-after: later",
    "x-empty:",
)
# Longest stop within a response, in seconds.
MAX_STOP_S = 0.5
# Most drops of a part that comes drop by drop, and the time between them in seconds.
MAX_DROPS = 20
DROP_INTERVAL_S = 0.001
# Bytes without end come in blocks of about this size, and floods in ones of this.
ENDLESS_BLOCK_BYTES = 20_000
FLOOD_BLOCK_BYTES = 65_536
SOUND_SHARE = 0.5
SPOILT_SHARE = 0.5
CUT_EARLY_SHARE = 0.5
# Longest time from the end of a response that is cut early to the reset, in seconds.
MAX_RESET_DELAY_S = 0.06


class Framing(enum.Enum):
    """How a response tells where it ends."""

    LENGTH = "length"
    CHUNKED = "chunked"
    NONE = "none"
    HTTP_1_0 = "http/1.0"


class Pace(enum.Enum):
    """How the bytes of a response come."""

    WHOLE = "whole"
    DROPS = "drops"
    STOPS = "stops"


class End(enum.Enum):
    """What the server does with the connection after its response."""

    KEPT = "kept"
    CLOSED = "closed"
    CLOSED_SILENTLY = "closed-silently"
    SECOND_COPY = "second-copy"
    RESET = "reset"


class Endless(enum.Enum):
    """What comes without end instead of a response."""

    HEAD = "head"
    INTERIM_HEADS = "interim-heads"
    CHUNKS = "chunks"
    EXTENSION = "extension"
    TRAILER = "trailer"
    EMPTY_LINES = "empty-lines"
    COMMENTS = "comments"
    EXTRA = "extra"
    # Of each of these, one piece that doesn't end.
    FIELD = "field"
    TRAILER_FIELD = "trailer-field"
    CHUNK_SIZE = "chunk-size"
    BODY = "body"
    EVENT = "event"
    EVENTS = "events"


class Behaviour(msgspec.Struct, frozen=True):
    """How a server reads one request and answers it.

    :param framing: ``Framing``.
    :param pace: ``Pace``.
    :param end: ``End``.
    :param chunk_bytes: size of chunks.
    :param has_extensions: whether chunks have extensions.
    :param has_trailer: whether a trailer follows the chunks.
    :param interim_heads: number of heads before that of the response.
    :param fields: further header fields.
    :param reads_late: whether a long body is read after the response, if the connection
        is kept.
    :param endless: ``Endless``, or ``None`` for a response.
    :param spoil: ``spoiltheads.Spoil`` of a head that can't be read, before a part of
        the body; ``None`` for a sound head.
    :param is_cut_early: whether a long request is answered before its body is read, by
        a part without a length, the end of it and then a reset.
    """

    framing: Framing = Framing.LENGTH
    pace: Pace = Pace.WHOLE
    end: End = End.KEPT
    chunk_bytes: int = 64
    has_extensions: bool = False
    has_trailer: bool = False
    interim_heads: int = 0
    fields: tuple[str, ...] = ()
    reads_late: bool = False
    endless: Endless | None = None
    spoil: spoiltheads.Spoil | None = None
    is_cut_early: bool = False

    @property
    def is_sound(self):
        """Whether the caller gets a whole response."""
        if self.is_cut_early or self.spoil is not None:
            return False
        return self.endless is None and self.end is not End.RESET

    @property
    def ends_with_connection(self):
        """Whether the connection can't be kept after the response."""
        is_open = self.framing in (Framing.NONE, Framing.HTTP_1_0)
        is_closed = self.end in (End.CLOSED, End.CLOSED_SILENTLY, End.RESET)
        return is_open or is_closed or self.spoil is not None

    @property
    def answers_early(self):
        """Whether a long request is answered before its body is read."""
        # A close with unread bytes resets the connection, so the response may be lost.
        return self.is_cut_early or self.reads_late and not self.ends_with_connection


class Piece(msgspec.Struct, frozen=True):
    """Bytes that are written at once.

    :param data: bytes.
    :param delay_s: time in seconds from the piece before.
    """

    data: bytes
    delay_s: float = 0.0


class Flood(msgspec.Struct, frozen=True):
    """Bytes without end.

    :param start: bytes that come first.
    :param block: bytes that are repeated.
    """

    start: bytes
    block: bytes


# Fields of a behaviour that are as usual without a part.
PART_FIELDS = {
    Part.FRAMINGS: ("framing",),
    Part.PACES: ("pace",),
    Part.ENDS: ("end",),
    Part.CHUNKS: ("chunk_bytes", "has_extensions", "has_trailer"),
    Part.INTERIM_HEADS: ("interim_heads",),
    Part.FIELDS: ("fields",),
    Part.LATE_READS: ("reads_late", "is_cut_early"),
    Part.ENDLESS: ("endless",),
    Part.SPOILT: ("spoil",),
}


def leave_out(behaviour, parts):
    """Leaves parts out of a behaviour.

    :param behaviour: ``Behaviour``.
    :param parts: iterable of ``strangeplays.Part``.
    :return: ``Behaviour`` with the rest as it was.
    """
    usual = Behaviour()
    names = [name for part in parts for name in PART_FIELDS.get(part, ())]
    changes = {name: getattr(usual, name) for name in names}
    return msgspec.structs.replace(behaviour, **changes)


def draw_behaviour(rng, is_sound):
    """Draws a behaviour.

    :param rng: ``random.Random``.
    :param is_sound: whether only sound ones are drawn.
    :return: ``Behaviour``.
    """
    ends = [end for end in End if not is_sound or end is not End.RESET]
    is_endless = not is_sound and rng.random() >= SOUND_SHARE
    return Behaviour(
        framing=rng.choice(list(Framing)),
        pace=rng.choice(list(Pace)),
        end=rng.choice(ends),
        chunk_bytes=rng.choice(CHUNK_BYTES),
        has_extensions=rng.random() < 0.5,
        has_trailer=rng.random() < 0.5,
        interim_heads=rng.choice((0, 0, MAX_INTERIM_HEADS)),
        fields=_draw_fields(rng),
        reads_late=rng.random() < 0.5,
        endless=rng.choice(list(Endless)) if is_endless else None,
        spoil=_draw_spoil(rng) if not is_sound and not is_endless else None,
        is_cut_early=(
            not is_sound and not is_endless and rng.random() < CUT_EARLY_SHARE
        ),
    )


def _draw_spoil(rng):
    if rng.random() >= SPOILT_SHARE:
        return None
    return rng.choice(list(spoiltheads.Spoil))


def _draw_fields(rng):
    fields = rng.sample(ODD_FIELDS, rng.randint(0, 3))
    count = rng.choice((0, 0, MAX_EXTRA_FIELDS))
    return (*fields, *(f"x-{number}: {number}" for number in range(count)))


def encode_head(behaviour, fields, size_bytes, rng=None):
    """Encodes the heads of a response.

    :param behaviour: ``Behaviour``.
    :param fields: header fields that each response of the server has.
    :param size_bytes: length of the body.
    :param rng: ``random.Random`` for a spoilt head.
    :return: bytes.
    """
    is_old = behaviour.framing is Framing.HTTP_1_0
    interim = "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n" * behaviour.interim_heads
    lines = [
        f"HTTP/{'1.0' if is_old else '1.1'} 200 OK",
        *fields,
        *behaviour.fields,
        *_list_framing_fields(behaviour, size_bytes),
    ]
    interim = interim.encode() * (not is_old)
    if behaviour.spoil is not None:
        return interim + spoiltheads.encode_head(behaviour.spoil, lines, rng)
    return interim + "\r\n".join([*lines, "", ""]).encode()


def _list_framing_fields(behaviour, size_bytes):
    fields = {
        Framing.LENGTH: [f"content-length: {size_bytes}"],
        Framing.CHUNKED: ["transfer-encoding: chunked"],
    }.get(behaviour.framing, [])
    if behaviour.end is End.CLOSED:
        fields.append("connection: close")
    return fields


def cut_body(parts):
    """Cuts the parts of a body off in the middle.

    :param parts: list of bytes.
    :return: list of bytes.
    """
    if len(parts) > 1:
        return parts[: len(parts) // 2]
    return [part[: len(part) // 2] for part in parts]


def encode_body(behaviour, body):
    """Encodes a part of a body.

    :param behaviour: ``Behaviour``.
    :param body: bytes.
    :return: bytes with the framing.
    """
    if behaviour.framing is not Framing.CHUNKED:
        return body
    extension = b";name=value" * behaviour.has_extensions
    size = behaviour.chunk_bytes
    parts = [body[start : start + size] for start in range(0, len(body), size)]
    return b"".join(b"%x%s\r\n%s\r\n" % (len(item), extension, item) for item in parts)


def encode_end(behaviour):
    """Encodes what follows the last part of a body.

    :param behaviour: ``Behaviour``.
    :return: bytes.
    """
    if behaviour.framing is not Framing.CHUNKED:
        return b""
    trailer = b"x-trailer: 1\r\n" * behaviour.has_trailer
    return b"0\r\n" + trailer + b"\r\n"


def split(behaviour, data, rng):
    """Splits bytes by the pace of a behaviour.

    :param behaviour: ``Behaviour``.
    :param data: bytes.
    :param rng: ``random.Random``.
    :return: list of ``Piece``.
    """
    if behaviour.pace is Pace.DROPS:
        size = max(1, math.ceil(len(data) / MAX_DROPS))
        starts = range(0, len(data), size)
        return [Piece(data[start : start + size], DROP_INTERVAL_S) for start in starts]
    if behaviour.pace is Pace.STOPS and len(data) > 1:
        middle = rng.randrange(1, len(data))
        stop_s = rng.uniform(0.0, MAX_STOP_S)
        return [Piece(data[:middle]), Piece(data[middle:], stop_s)]
    return [Piece(data)]


def encode_endless(kind, fields, block_bytes=ENDLESS_BLOCK_BYTES, body=b""):
    """Encodes a response without end.

    :param kind: ``Endless``.
    :param fields: header fields that each response of the server has.
    :param block_bytes: about the size of the block in bytes.
    :param body: body of the response that extra bytes follow.
    :return: ``Flood``.
    """
    lines = "\r\n".join(["HTTP/1.1 200 OK", *fields, ""]).encode()
    chunked = lines + b"transfer-encoding: chunked\r\n\r\n"
    whole = lines + b"content-length: %d\r\n\r\n" % len(body) + body
    start, block = {
        Endless.HEAD: (lines, b"x-a: b\r\n"),
        Endless.FIELD: (lines + b"x: ", b"x"),
        Endless.INTERIM_HEADS: (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        Endless.CHUNKS: (chunked, b"1\r\nx\r\n"),
        Endless.CHUNK_SIZE: (chunked, b"0"),
        Endless.EXTENSION: (chunked + b"1;a=", b"x"),
        Endless.TRAILER: (chunked + b"0\r\n", b"a: b\r\n"),
        Endless.TRAILER_FIELD: (chunked + b"0\r\nx: ", b"x"),
        Endless.EMPTY_LINES: (chunked, b"1\r\n\n\r\n"),
        Endless.COMMENTS: (chunked, b"2\r\n:\n\r\n"),
        Endless.EXTRA: (whole, b"x"),
        Endless.BODY: (lines + b"\r\n", b"x"),
        Endless.EVENT: (lines + b"\r\nid: 1\ndata: ", b"x"),
        Endless.EVENTS: (lines + b"\r\n", b"data: x\n\n"),
    }[kind]
    return Flood(start, block * (block_bytes // len(block)))


def create_random(seed, *names):
    """Creates a generator for one purpose, so that draws don't depend on their order.

    :param seed: seed of the run.
    :param names: texts that tell the purposes apart.
    :return: ``random.Random``.
    """
    return random.Random("/".join(["strangers", str(seed), *map(str, names)]))
