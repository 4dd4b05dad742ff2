"""Parses the heads of responses, see RFC 9112, sections 2 to 5.

A head that isn't in the grammar is refused, also where a recipient may repair it: what
is passed on must be what the server has said. docs/design/broken-responses.md lists
these choices.
"""

import enum
import re

import msgspec

# Bound on a head, and on all interim heads (1xx) before it, of which servers may send
# more without end.
MAX_HEAD_BYTES = 32 * 1024
MAX_INTERIM_HEADS = 8
# Bytes of a broken response that logs show.
MAX_EXCERPT_BYTES = 64
# Digits of a length; more than any body has.
MAX_LENGTH_DIGITS = 20
FIRST_FINAL_STATUS = 200
SWITCHING_PROTOCOLS = 101
CHUNKED = b"chunked"
LENGTH = b"content-length"
CODING = b"transfer-encoding"
BLANKS = b" \t"

TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
# Visible characters, those beyond ASCII, and blanks.
TEXT = rb"[\t \x21-\x7e\x80-\xff]*"
LINE_END = b"\r\n"

_VERSION = b"HTTP/1."
# Servers leave out the blank before an empty reason phrase as well.
_STATUS_LINE = re.compile(
    rb"HTTP/1\.([0-9]) ([1-5][0-9]{2})(?: " + TEXT + rb")?" + LINE_END
)
_FIELD_LINE = re.compile(rb"(" + TOKEN + rb"):(" + TEXT + rb")" + LINE_END)


class Rule(enum.Enum):
    """What a response that can't be read has broken. The values appear in logs."""

    STATUS_LINE = "status line"
    FIELD_LINE = "field line"
    LENGTH = "content-length"
    CODING = "transfer-encoding"
    UPGRADE = "upgrade not asked for"
    HEAD_SIZE = "head too long"
    INTERIM_COUNT = "too many interim responses"
    CHUNK = "chunk"
    COPIES = "late copies"


class ResponseError(ValueError):
    """The received bytes are no response.

    :param rule: ``Rule`` that they break.
    :param received: bytes that break it; the first of them are kept.
    """

    def __init__(self, rule, received=b""):
        self.rule = rule
        self.excerpt = bytes(received[:MAX_EXCERPT_BYTES])
        super().__init__(f"{rule.value}: {self.excerpt!r}")


class Head(msgspec.Struct, frozen=True):
    """The head of a response.

    :param status: HTTP status code.
    :param headers: pairs of lower-case names and values.
    :param is_http_1_0: whether the server speaks HTTP/1.0.
    :param length: length of the body in bytes that it states; ``None`` if it doesn't.
    :param is_chunked: whether it states that the body comes in chunks.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    is_http_1_0: bool = False
    length: int | None = None
    is_chunked: bool = False


def parse_field(line):
    """Parses a line of a head or a trailer.

    :param line: bytes with the end of the line.
    :return: pair of the lower-case name and the value.
    :raises ResponseError: if it is no field.
    """
    match = _FIELD_LINE.fullmatch(line)
    if match is None:
        raise ResponseError(Rule.FIELD_LINE, line)
    return match[1].lower(), match[2].strip(BLANKS)


def _parse_length(values):
    elements = {item.strip(BLANKS) for value in values for item in value.split(b",")}
    if not elements:
        return None
    # A length may be repeated as it is.
    length = elements.pop()
    is_number = length.isdigit() and len(length) <= MAX_LENGTH_DIGITS
    if elements or not is_number:
        raise ResponseError(Rule.LENGTH, b", ".join(values))
    return int(length)


def _parse_coding(values, is_http_1_0, length):
    if not values:
        return False
    is_chunked = len(values) == 1 and values[0].lower() == CHUNKED
    # Chunks of HTTP/1.0, or beside a length, leave open where the body ends.
    if not is_chunked or is_http_1_0 or length is not None:
        raise ResponseError(Rule.CODING, b", ".join(values))
    return True


class HeadReader:
    """Reads the final head of a response, line by line as they come."""

    def __init__(self):
        self._received = b""
        self._size_bytes = 0
        self._interim_count = 0
        self._begin()

    def _begin(self):
        self._status = None
        self._is_http_1_0 = False
        self._headers = []

    @property
    def remainder(self):
        """Bytes after the head."""
        return self._received

    def read(self, data):
        """Reads the next bytes.

        :param data: received bytes.
        :return: ``Head``; ``None`` if more bytes are needed.
        :raises ResponseError: if they are no head of a response.
        """
        received = self._received + data
        start = 0
        head = None
        while head is None and (end := received.find(b"\n", start) + 1):
            head = self._read_line(received[start:end])
            start = end
        self._received = received[start:]
        self._size_bytes += start
        if head is None:
            self._check_begun_line()
        elif self._size_bytes > MAX_HEAD_BYTES:
            raise ResponseError(Rule.HEAD_SIZE)
        return head

    def _check_begun_line(self):
        if self._size_bytes + len(self._received) > MAX_HEAD_BYTES:
            raise ResponseError(Rule.HEAD_SIZE)
        begun = self._received[: len(_VERSION)]
        if self._status is None and not _VERSION.startswith(begun):
            raise ResponseError(Rule.STATUS_LINE, self._received)

    def _read_line(self, line):
        if self._status is None:
            self._read_status(line)
        elif line == LINE_END:
            return self._finish()
        else:
            self._headers.append(parse_field(line))
        return None

    def _read_status(self, line):
        match = _STATUS_LINE.fullmatch(line)
        if match is None:
            raise ResponseError(Rule.STATUS_LINE, line)
        self._is_http_1_0 = match[1] == b"0"
        self._status = int(match[2])

    def _finish(self):
        head = self._build_head()
        if head.status >= FIRST_FINAL_STATUS:
            return head
        if head.status == SWITCHING_PROTOCOLS:
            raise ResponseError(Rule.UPGRADE)
        self._interim_count += 1
        if self._interim_count > MAX_INTERIM_HEADS:
            raise ResponseError(Rule.INTERIM_COUNT)
        self._begin()
        return None

    def _build_head(self):
        length = _parse_length(self._list_values(LENGTH))
        codings = self._list_values(CODING)
        is_chunked = _parse_coding(codings, self._is_http_1_0, length)
        headers = [field for field in self._headers if field[0] != LENGTH]
        if length is not None:
            headers.append((LENGTH, b"%d" % length))
        return Head(self._status, tuple(headers), self._is_http_1_0, length, is_chunked)

    def _list_values(self, wanted):
        return [value for name, value in self._headers if name == wanted]
