"""Tests of the catalogue of log events and of error answers."""

import pathlib
import unittest

from wasabiknot_kernel import events, exceptions

CATALOGUE = pathlib.Path(__file__).resolve().parents[3] / "docs" / "EVENTS.md"


class CatalogueTests(unittest.TestCase):
    def test_every_event_is_in_the_docs(self):
        text = CATALOGUE.read_text(encoding="utf-8")
        for event in events.Event:
            self.assertIn(f"| WK{event.value.number} |", text)
            self.assertIn(event.value.text, text)

    def test_numbers_are_used_once(self):
        numbers = [event.value.number for event in events.Event]
        self.assertEqual(len(numbers), len(set(numbers)))


class ReplyTests(unittest.TestCase):
    def test_every_kind_has_an_answer(self):
        self.assertEqual(set(exceptions.ERROR_RESPONSES), set(exceptions.ErrorKind))


if __name__ == "__main__":
    unittest.main()
