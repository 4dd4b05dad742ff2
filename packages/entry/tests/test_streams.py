"""Property tests of reading an engine's stream."""

import unittest

import hypothesis
import msgspec
from hypothesis import strategies as st

from wasabiknot_entry import streams
from wasabiknot_kernel import wire


def encode_stream(request_id, count, start=0):
    events = [wire.StreamEvent(request_id, n, f"t{n}") for n in range(start, count)]
    events.append(wire.StreamEvent(request_id, count, end=True))
    return b": ok\n\n" + b"".join(
        b"data: " + msgspec.json.encode(event) + b"\n\n" for event in events
    )


class StreamReaderTests(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(st.integers(0, 12), st.lists(st.integers(1, 40), max_size=30))
    def test_any_split_gives_the_whole_answer(self, count, sizes):
        data = encode_stream("r", count)
        reader = streams.StreamReader("r")
        for size in [*sizes, len(data)]:
            self.assertFalse(reader.is_crossed)
            reader.feed(data[:size])
            data = data[size:]
        self.assertTrue(reader.is_whole)
        self.assertEqual(reader.received, count)

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(st.integers(1, 12), st.integers(0, 11), st.integers(0, 11))
    def test_a_resumed_stream_may_overlap_but_not_skip(self, count, cut, start):
        cut = min(cut, count)
        start = min(start, count)
        first = encode_stream("r", cut).rsplit(b"data: ", 1)[0]
        reader = streams.StreamReader("r")
        reader.feed(first)
        resumed = streams.StreamReader("r", reader.received)
        relayed = resumed.feed(encode_stream("r", count, start))
        if start <= cut:
            self.assertTrue(resumed.is_whole)
            self.assertEqual(relayed.count(b"data: "), count - cut + 1)
        else:
            self.assertTrue(resumed.is_crossed)
            self.assertFalse(resumed.is_whole)

    def test_the_stream_of_another_request_is_not_relayed(self):
        reader = streams.StreamReader("r")
        self.assertEqual(reader.feed(encode_stream("other", 3)), b"")
        self.assertTrue(reader.is_crossed)

    def test_an_end_marker_with_the_wrong_count_is_not_whole(self):
        reader = streams.StreamReader("r")
        reader.feed(encode_stream("r", 3).replace(b'"n":3', b'"n":2'))
        self.assertFalse(reader.is_whole)

    def test_a_short_stream_is_not_whole(self):
        reader = streams.StreamReader("r")
        reader.feed(encode_stream("r", 3)[:-10])
        self.assertFalse(reader.is_whole)


if __name__ == "__main__":
    unittest.main()
