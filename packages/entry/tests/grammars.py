"""The grammar of responses, apart from the product's, and ways to spoil responses.

RFC 9112 sections 2 to 7, RFC 9110 sections 5.5, 5.6, 8.6 and 15; where a recipient may
repair or refuse, it refuses.
"""

import collections
import enum

from hypothesis import strategies

DIGITS = frozenset(b"0123456789")
HEX_DIGITS = DIGITS | frozenset(b"abcdefABCDEF")
ALPHA = frozenset(b"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")
TOKEN = DIGITS | ALPHA | frozenset(b"!#$%&'*+-.^_`|~")
TEXT = frozenset(range(0x20, 0x7F)) | frozenset(range(0x80, 0x100)) | {0x09}
QUOTED = TEXT - frozenset(b'"\\')


class State(enum.Enum):
    """What bytes are, read as a response."""

    BROKEN = "broken"
    INCOMPLETE = "incomplete"
    COMPLETE = "complete"
    # The body ends with the connection.
    OPEN = "open"


class Broken(Exception):
    """The bytes are not in the grammar."""


class Missing(Exception):
    """The bytes are a part of what may become a response."""


Reading = collections.namedtuple("Reading", ("state", "status", "body", "remainder"))


def require(condition):
    if not condition:
        raise Broken


class Cursor:
    """Reads bytes from left to right."""

    def __init__(self, data):
        self.data = data
        self.position = 0

    def pop_line(self):
        feed = self.data.find(b"\n", self.position)
        if feed < 0:
            raise Missing
        line = self.data[self.position : feed]
        self.position = feed + 1
        require(line[-1:] == b"\r")
        return line[:-1]

    def pop(self, size):
        part = self.data[self.position : self.position + size]
        self.position += len(part)
        return part


def read_status(line):
    require(line[:7] == b"HTTP/1." and line[7:8].isdigit() and line[8:9] == b" ")
    status = line[9:12]
    require(len(status) == 3 and DIGITS.issuperset(status))
    rest = line[12:]
    require(rest[:1] in (b"", b" ") and TEXT.issuperset(rest))
    number = int(status)
    require(100 <= number <= 599 and number != 101)
    return number, line[7:8] == b"0"


def read_field(line):
    name, colon, value = line.partition(b":")
    require(colon and name and TOKEN.issuperset(name) and TEXT.issuperset(value))
    return name.lower(), value.strip(b" \t")


def read_head(cursor):
    """Reads one head.

    :return: status, whether it is of HTTP/1.0, and a list of fields.
    """
    status, is_old = read_status(cursor.pop_line())
    fields = []
    while line := cursor.pop_line():
        fields.append(read_field(line))
    return status, is_old, fields


def read_framing(is_old, fields):
    """Reads the framing: a length, "chunked", or ``None``."""
    codings = [value for name, value in fields if name == b"transfer-encoding"]
    values = [value for name, value in fields if name == b"content-length"]
    lengths = b",".join(values).split(b",") if values else []
    lengths = [item.strip(b" \t") for item in lengths]
    for length in lengths:
        require(length and DIGITS.issuperset(length) and length == lengths[0])
        require(len(length) <= 20)
    if codings:
        require(len(codings) == 1 and codings[0].lower() == b"chunked")
        require(not is_old and not lengths)
        return "chunked"
    return int(lengths[0]) if lengths else None


def read_extensions(text):
    """Reads chunk extensions: `*( BWS ";" BWS name [ BWS "=" BWS value ] )`."""
    while text:
        text = text.lstrip(b" \t")
        require(text[:1] == b";")
        text = skip_token(text[1:].lstrip(b" \t"))
        after = text.lstrip(b" \t")
        if after[:1] == b"=":
            text = skip_value(after[1:].lstrip(b" \t"))


def skip_token(text):
    size = next((n for n, byte in enumerate(text) if byte not in TOKEN), len(text))
    require(size)
    return text[size:]


def skip_value(text):
    if text[:1] != b'"':
        return skip_token(text)
    position = 1
    while text[position : position + 1] != b'"':
        require(position < len(text))
        if text[position] == 0x5C:
            position += 1
            require(position < len(text) and text[position] in TEXT)
        else:
            require(text[position] in QUOTED)
        position += 1
    return text[position + 1 :]


def read_chunk_size(line):
    size = next((n for n, byte in enumerate(line) if byte not in HEX_DIGITS), len(line))
    require(0 < size <= 16)
    read_extensions(line[size:])
    return int(line[:size], 16)


def read_chunks(cursor, body):
    """Reads a body in chunks, and adds its parts to a list."""
    while size := read_chunk_size(cursor.pop_line()):
        part = cursor.pop(size)
        body.append(part)
        if len(part) < size:
            raise Missing
        end = cursor.pop(2)
        require(b"\r\n".startswith(end))
        if len(end) < 2:
            raise Missing
    while line := cursor.pop_line():
        read_field(line)


def read_response(method, data):
    """Reads bytes as a response.

    :return: ``Reading``; its status is ``None`` without a final head.
    """
    cursor = Cursor(data)
    status, body = None, []
    try:
        number, is_old, fields = read_head(cursor)
        framing = read_framing(is_old, fields)
        while number < 200:
            number, is_old, fields = read_head(cursor)
            framing = read_framing(is_old, fields)
        status = number
        if method == b"HEAD" or status in (204, 304):
            framing = 0
        if framing is None:
            body.append(cursor.pop(len(data)))
            return Reading(State.OPEN, status, b"".join(body), b"")
        if framing == "chunked":
            read_chunks(cursor, body)
        else:
            body.append(cursor.pop(framing))
            if len(body[0]) < framing:
                raise Missing
    except Broken:
        return Reading(State.BROKEN, status, b"".join(body), b"")
    except Missing:
        return Reading(State.INCOMPLETE, status, b"".join(body), b"")
    rest = data[cursor.position :]
    return Reading(State.COMPLETE, status, b"".join(body), rest)


# Sound responses, some of which look odd.
STATUS_LINES = strategies.sampled_from(
    (
        b"HTTP/1.1 200 OK",
        b"HTTP/1.1 200 ",
        b"HTTP/1.1 200",
        b"HTTP/1.0 200 OK",
        b"HTTP/1.1 204 No Content",
        b"HTTP/1.1 304 Not Modified",
        b"HTTP/1.1 503 F\xfcll \t up",
        b"HTTP/1.1 599 x",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK",
        b"HTTP/1.1 103 Hints\r\nlink: x\r\n\r\nHTTP/1.1 500 Broken",
    )
)
FIELD_LINES = strategies.sampled_from(
    (
        b"x-empty:",
        b"x-blank: \t ",
        b"X-Odd:\t\xe4 b\tc ",
        b"!#$%&'*+.^_`|~9-a: 1",
        b"connection: close",
        b"Connection: Keep-Alive",
        b"set-cookie: a=1",
        b"set-cookie: b=2",
    )
)
FRAMINGS = strategies.sampled_from(
    (
        (b"content-length: 9", b"nine more"),
        (b"Content-Length:9", b"nine more"),
        (b"content-length: 9\r\nCONTENT-LENGTH: 9", b"nine more"),
        (b"content-length: 9, 9 ", b"nine more"),
        (b"content-length: 0", b""),
        (b"transfer-encoding: chunked", b"4\r\nnine\r\n5\r\n more\r\n0\r\n\r\n"),
        (
            b"Transfer-Encoding:\tChunked ",
            b'A;a;b=c ; d = "e\\"f"\r\nnine\r\nmore\r\n00\r\nx: 1\r\ny:\r\n\r\n',
        ),
        (b"x-open: 1", b"nine more"),
    )
)


@strategies.composite
def draw_responses(draw):
    """Draws a sound response.

    :return: list of its lines without their ends, and the body.
    """
    framing, body = draw(FRAMINGS)
    fields = draw(strategies.lists(FIELD_LINES, max_size=3))
    fields.insert(draw(strategies.integers(0, len(fields))), framing)
    status_line = draw(STATUS_LINES)
    if status_line.startswith(b"HTTP/1.0") and b"chunked" in framing.lower():
        status_line = b"HTTP/1.1 200 OK"
    return b"\r\n".join([status_line, *fields]).split(b"\r\n"), body


LINE_ENDS = (b"\n", b"\r", b"", b"\n\r", b"\r\r\n", b"\r\n\r\n", b"\r\n ", b"\n\n")
ODD_LINES = (
    b"no field",
    b" content-length: 9",
    b" folded: 1",
    b"\tfolded: 1",
    b"content-length: 5",
    b"content-length: -9",
    b"content-length: +9",
    b"content-length: 9x",
    b"content-length: 0x9",
    b"content-length: 9 9",
    b"content-length: 9;",
    b"content-length: 9,",
    b"content-length: 999999999999999999999",
    b"content-length : 9",
    b"content length: 9",
    b"content-\x00length: 9",
    b"content-length\x0b: 9",
    b"content-length",
    b"content-length:",
    b": 9",
    b"transfer-encoding: gzip, chunked",
    b"transfer-encoding: chunked, chunked",
    b"transfer-encoding: chunked",
    b"transfer-encoding:",
    b"transfer-encoding : chunked",
    b"x-a: \x00",
    b"x-a: \x7f",
    b"x-a: b\rc",
    b"x-a: b\nc: d",
    b"HTTP/1.1 200 OK",
    b"HTTP/1.1 000 OK",
)
ODD_STATUS_LINES = (
    b"HTTP/1.1 000 OK",
    b"HTTP/1.1 099 OK",
    b"HTTP/1.1 600 OK",
    b"HTTP/1.1 999 OK",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1 2000 OK",
    b"HTTP/1.1 200OK",
    b"HTTP/1.1  200 OK",
    b"HTTP/1.1\t200 OK",
    b"HTTP/1.1 -20 OK",
    b"HTTP/1.1 2 0 OK",
    b"HTTP/1.1 101 Switching Protocols",
    b"HTTP/2.0 200 OK",
    b"HTTP/0.9 200 OK",
    b"HTTP/1 200 OK",
    b"HTTP/1.10 200 OK",
    b"http/1.1 200 OK",
    b" HTTP/1.1 200 OK",
    b"ICY 200 OK",
    b"200 OK",
    b"HTTP/1.1 200 O\x00K",
    b"HTTP/1.1 200 O\x7fK",
    b"HTTP/1.1 200 O\rK",
    b"",
)


@strategies.composite
def spoil_responses(draw):
    """Draws a response of which a byte, a line end or a line of the head is spoilt.

    Some chunk lines are spoilt as well, and a few responses stay sound.
    """
    lines, body = draw(draw_responses())
    ends = [b"\r\n"] * (len(lines) + 1)
    lines.append(b"")
    number = draw(strategies.integers(0, len(lines) - 1))
    way = draw(
        strategies.sampled_from(
            ("byte", "insert", "drop", "end", "line", "odd", "status", "chunk")
        )
    )
    if way == "end":
        ends[number] = draw(strategies.sampled_from(LINE_ENDS))
    elif way == "line":
        count = draw(strategies.sampled_from((0, 2)))
        lines[number : number + 1] = [lines[number]] * count
        ends[number : number + 1] = [b"\r\n"] * count
    elif way == "odd":
        lines.insert(number, draw(strategies.sampled_from(ODD_LINES)))
        ends.append(b"\r\n")
    elif way == "status":
        lines[0] = draw(strategies.sampled_from(ODD_STATUS_LINES))
    head = b"".join(line + end for line, end in zip(lines, ends, strict=True))
    if way == "chunk":
        body = _spoil_byte(draw, body, "byte")
    elif way in ("byte", "insert", "drop"):
        head = _spoil_byte(draw, head, way)
    return head + body


# Bytes that mean something in a head or a chunk line, and some that never occur.
ODD_BYTES = strategies.one_of(
    strategies.sampled_from(b' \t\r\n:;,=x"0\x00\x0b\x7f\xff'),
    strategies.integers(0, 255),
)


def _spoil_byte(draw, data, way):
    if not data:
        return data
    position = draw(strategies.integers(0, len(data) - 1))
    byte = b"" if way == "drop" else bytes([draw(ODD_BYTES)])
    following = position if way == "insert" else position + 1
    return data[:position] + byte + data[following:]
