"""Tests of the catalogue of log events and of the error templates."""

import pathlib
import unittest

from wasabiknot_kernel import events, exceptions

CATALOGUE = pathlib.Path(__file__).resolve().parents[3] / "docs" / "EVENTS.md"


class CatalogueTests(unittest.TestCase):
    def test_every_event_is_documented(self):
        text = CATALOGUE.read_text(encoding="utf-8")
        for event in events.Event:
            self.assertIn(f"| WK{event.value.number} |", text)
            self.assertIn(event.value.text, text)

    def test_numbers_are_unique(self):
        numbers = [event.value.number for event in events.Event]
        self.assertEqual(len(numbers), len(set(numbers)))


class ErrorTemplateTests(unittest.TestCase):
    def test_every_error_kind_has_a_template(self):
        self.assertEqual(set(exceptions.ERROR_TEMPLATES), set(exceptions.ErrorKind))


if __name__ == "__main__":
    unittest.main()
