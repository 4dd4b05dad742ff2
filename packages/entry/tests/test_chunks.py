import unittest

import hypothesis
from hypothesis import strategies
from twisted.web import http

from wasabiknot_entry import chunks

EXTENSIONS = strategies.sampled_from(
    (b"", b";a", b";a=b", b" ;\ta =\t1", b';a="b;\\"\xff";c;d=1')
)
TRAILERS = strategies.sampled_from((b"", b"a: b\r\n", b"a:\r\nb: c\r\n"))


def build_body(parts, extension=b"", trailer=b""):
    """Builds a body in chunks of the given parts."""
    framed = [
        b"%x%s\r\n%s\r\n" % (len(part), extension, part) for part in parts if part
    ]
    return b"".join(framed) + b"0\r\n" + trailer + b"\r\n"


def split(data, sizes):
    """Splits data into reads of the given sizes, in turn."""
    reads = []
    while data:
        size = sizes[len(reads) % len(sizes)]
        reads.append(data[:size])
        data = data[size:]
    return reads


def decode(reads):
    """Decodes a body that comes in the given reads."""
    decoder = chunks.ChunkDecoder()
    decoded = []
    remainder = b""
    for read in reads:
        if decoder.is_complete:
            remainder += read
        else:
            decoded.append(decoder.feed(read))
    return decoder, b"".join(decoded), decoder.remainder + remainder


class ChunkDecoderTests(unittest.TestCase):
    @hypothesis.given(
        strategies.lists(strategies.binary(max_size=40), max_size=8),
        EXTENSIONS,
        TRAILERS,
        strategies.binary(max_size=20),
        strategies.lists(strategies.integers(1, 30), min_size=1, max_size=5),
    )
    def test_body_is_decoded_however_it_is_split(
        self, parts, extension, trailer, remainder, sizes
    ):
        body = build_body(parts, extension, trailer)
        decoder, decoded, rest = decode(split(body + remainder, sizes))
        self.assertTrue(decoder.is_complete)
        self.assertEqual(decoded, b"".join(parts))
        self.assertEqual(rest, remainder)
        self.assertEqual(decoder.count, sum(map(bool, parts)) + 1)

    @hypothesis.given(
        strategies.lists(strategies.binary(min_size=1, max_size=20), max_size=4),
        strategies.integers(0, 200),
        strategies.sampled_from((b"", b"x", b"\r", b"\n", b"\r\n", b"0", b"-1", b" ")),
        strategies.lists(strategies.integers(1, 30), min_size=1, max_size=3),
    )
    def test_body_that_others_refuse_is_not_taken_for_a_complete_one(
        self, parts, position, change, sizes
    ):
        # Guards against a message that ends elsewhere than its sender meant.
        body = build_body(parts)
        position %= len(body)
        changed = body[:position] + change + body[position + 1 :]
        expected = self.decode_with_twisted(changed)
        try:
            decoder, decoded, rest = decode(split(changed, sizes))
        except chunks.ChunkError:
            return
        if decoder.is_complete:
            self.assertEqual((decoded, rest), expected)

    def decode_with_twisted(self, body):
        """Decodes a body as Twisted does.

        :return: decoded bytes and remainder; ``None`` if it is refused or incomplete.
        """
        decoded, remainders = [], []
        decoder = http._ChunkedTransferDecoder(decoded.append, remainders.append)
        try:
            decoder.dataReceived(body)
        except http._MalformedChunkedDataError:
            return None
        return (b"".join(decoded), remainders[0]) if remainders else None

    def test_invalid_bodies_are_refused(self):
        bodies = {
            "no size": b"\r\n",
            "sign": b"+1\r\nx\r\n",
            "negative": b"-1\r\nx\r\n",
            "prefix": b"0x1\r\nx\r\n",
            "underscore": b"1_0\r\n",
            "space before": b" 1\r\nx\r\n",
            "line feed": b"1\nx\r\n\r\n",
            "too long": b"1\r\nxx\r\n",
            "too short": b"2\r\nx\r\n0\r\n\r\n",
            "huge": b"1" * 17 + b"\r\n",
            "blank after": b"1 \r\nx\r\n",
            "blank after extension": b"1;a=\t1 \r\nx\r\n",
            "empty extension": b"1;\r\nx\r\n",
            "control byte": b"1;a\x01\r\nx\r\n",
            "open quotes": b'1;a="b\r\nx\r\n',
            "line feed after extension": b"1;a\nx\r\n\r\n",
            "no size yet": b"1\n",
            "trailer": b"0\r\nno field\r\n\r\n",
            "folded trailer": b"0\r\na: b\r\n c\r\n\r\n",
            "blank in a trailer's name": b"0\r\na : b\r\n\r\n",
            "control byte in a trailer": b"0\r\na: \x00\r\n\r\n",
            "line feed in a trailer": b"0\r\na: b\n\r\n",
            "line feed after the trailer": b"0\r\n\n",
        }
        for name, body in bodies.items():
            with self.subTest(name), self.assertRaises(chunks.ChunkError):
                decode([body])

    def test_what_is_not_data_is_bounded(self):
        # Guards against bytes without end that are no body.
        floods = {
            "size": (b"", b"0"),
            "extension": (b"1;", b"a"),
            "trailer": (b"0\r\n", b"a"),
            "trailers": (b"0\r\n", b"a: b\r\n"),
        }
        for name, (start, repeated) in floods.items():
            with self.subTest(name), self.assertRaises(chunks.ChunkError):
                decode([start, *[repeated * 100] * 1_000])

    def test_data_of_an_incomplete_chunk_is_returned_as_it_comes(self):
        decoder = chunks.ChunkDecoder()
        self.assertEqual(decoder.feed(b"a\r\n0123"), b"0123")
        self.assertEqual(decoder.feed(b"45"), b"45")
        self.assertFalse(decoder.is_complete)
