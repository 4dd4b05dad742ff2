import unittest

from hypothesis import given, settings, strategies

from wasabiknot_entry import eventstreams


class EventReaderTests(unittest.TestCase):
    @settings(derandomize=True)
    @given(strategies.data())
    def test_pieces_of_any_size_give_the_same_events(self, data):
        text = b"".join(f"id: {n}\ndata: t{n}\n\n".encode() for n in range(1, 8))
        reader = eventstreams.EventReader()
        found = []
        position = 0
        while position < len(text):
            size = data.draw(strategies.integers(1, 40))
            found += reader.feed(text[position : position + size])
            position += size
        self.assertEqual([event.number for event in found], list(range(1, 8)))
        self.assertEqual(b"".join(event.data for event in found), text)
        self.assertEqual(reader.rest, b"")

    def test_broken_event_is_not_passed_on(self):
        reader = eventstreams.EventReader()
        self.assertEqual(reader.feed(b"id: 1\ndata: a\n\nid: 2\nda")[0].number, 1)
        self.assertEqual(reader.rest, b"id: 2\nda")

    def test_event_without_a_number(self):
        reader = eventstreams.EventReader()
        (event,) = reader.feed(b"data: a\n\n")
        self.assertIsNone(event.number)
