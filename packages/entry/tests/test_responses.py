import unittest

import grammars
import h11
import hypothesis
from hypothesis import strategies

from wasabiknot_entry import connections, responses

METHODS = strategies.sampled_from((b"GET", b"HEAD"))
# What comes after the response.
EXTRAS = strategies.sampled_from((b"", b"x", b"HTTP/1.1 200 OK\r\n\r\n"))
SIZES = strategies.lists(strategies.integers(1, 40), min_size=1, max_size=4)


def build_request(method=b"GET"):
    return connections.Request(method, b"/a", ((b"host", b"h"),))


class Play:
    """What a reader makes of a response that comes in reads, and of its end."""

    def __init__(self, method, data, sizes):
        self.status = None
        self.body = b""
        self.is_complete = False
        self.is_refused = False
        reader = responses.ResponseReader(build_request(method))
        try:
            while data and not self.is_complete:
                size = sizes[len(data) % len(sizes)]
                reader.receive(data[:size])
                data = data[size:]
                self._read(reader)
        except responses.ResponseError:
            self.is_refused = True
            return
        self.is_persistent = self.is_complete and reader.is_persistent
        if self.status is not None and reader.ends_with_connection:
            self.is_complete = True
        self.remainder = (reader.remainder if self.is_complete else b"") + data

    def _read(self, reader):
        while not self.is_complete and (part := reader.read()) is not None:
            if isinstance(part, responses.Head):
                self.status = part.status
            elif isinstance(part, responses.Body):
                self.body += part.data
            else:
                self.is_complete = True


def read_by_codec(method, data):
    """Reads a response and the end of the connection with h11.

    :return: status, body, and whether the connection may be reused.
    """
    codec = h11.Connection(h11.CLIENT)
    codec.send(h11.Request(method=method, target="/a", headers=[("host", "h")]))
    codec.send(h11.EndOfMessage())
    codec.receive_data(data)
    status, body = None, b""
    while not isinstance(event := codec.next_event(), h11.EndOfMessage):
        if isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif event is h11.NEED_DATA:
            codec.receive_data(b"")
    return status, body, codec.their_state is h11.DONE


class ResponseReaderTests(unittest.TestCase):
    @hypothesis.settings(max_examples=3_000)
    @hypothesis.given(METHODS, grammars.spoil_responses(), EXTRAS, SIZES)
    def test_spoilt_response_is_read_only_if_the_grammar_has_it(
        self, method, data, extra, sizes
    ):
        # Guards against a body that isn't its server's, passed on as complete.
        data += extra
        expected = grammars.read_response(method, data)
        read = Play(method, data, sizes)
        if expected.state is grammars.State.BROKEN:
            self.assertTrue(read.is_refused, data)
            self.assertFalse(read.is_complete)
        elif expected.state is grammars.State.INCOMPLETE:
            self.assertFalse(read.is_complete, data)
        else:
            self.check_is_whole(read, expected)

    @hypothesis.settings(max_examples=1_000)
    @hypothesis.given(METHODS, grammars.draw_responses(), EXTRAS, SIZES)
    def test_sound_response_is_read_as_by_the_codec(
        self, method, response, extra, sizes
    ):
        # Guards against a sound answer that is refused, and one that ends elsewhere.
        lines, body = response
        data = b"\r\n".join([*lines, b"", body])
        expected = grammars.read_response(method, data + extra)
        self.assertIsNot(expected.state, grammars.State.BROKEN)
        read = Play(method, data + extra, sizes)
        self.check_is_whole(read, expected)
        is_open = expected.state is grammars.State.OPEN
        status, body, is_persistent = read_by_codec(method, data + extra * is_open)
        self.assertEqual((read.status, read.body), (status, body))
        self.assertEqual(read.is_persistent, is_persistent and not is_open)

    def check_is_whole(self, read, expected):
        self.assertFalse(read.is_refused)
        self.assertTrue(read.is_complete)
        self.assertEqual(read.status, expected.status)
        self.assertEqual(read.body, expected.body)
        self.assertEqual(read.remainder, expected.remainder)

    def test_chunk_counts_as_more_than_its_bytes(self):
        # Guards against a bound in bytes that does not bound the work.
        reader = responses.ResponseReader(build_request())
        reader.receive(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        self.assertIsInstance(reader.read(), responses.Head)
        reader.receive(b"1\r\nx\r\n" * 100)
        part = reader.read()
        self.assertEqual(part.data, b"x" * 100)
        self.assertEqual(part.weight_bytes, 100 * responses.MIN_CHUNK_BYTES)
        reader.receive(b"1000\r\n" + b"x" * 0x1000 + b"\r\n")
        self.assertEqual(reader.read().weight_bytes, 0x1000)

    def test_heads_before_the_final_one_are_bounded(self):
        reader = responses.ResponseReader(build_request())
        reader.receive(b"HTTP/1.1 100 Continue\r\n\r\n" * 9)
        with self.assertRaises(responses.ResponseError):
            reader.read()
