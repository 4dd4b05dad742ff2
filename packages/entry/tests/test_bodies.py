"""Tests for parsing request bodies and idempotency keys."""

import unittest

import uuid6
from returns import pipeline

from wasabiknot_entry import bodies


class BodyTests(unittest.TestCase):
    def parse(self, data):
        return bodies.parse_body(data, "s", "c")

    def test_fingerprint_is_independent_of_the_order_of_fields(self):
        first = self.parse(b'{"prompt": "a", "max_tokens": 3}').unwrap()
        second = self.parse(b'{"max_tokens": 3, "prompt": "a"}').unwrap()
        self.assertEqual(first.fingerprint, second.fingerprint)

    def test_fingerprint_depends_on_the_call(self):
        first = bodies.parse_body(b'{"prompt": "a"}', "s", "c").unwrap()
        second = bodies.parse_body(b'{"prompt": "a"}', "s", "d").unwrap()
        self.assertNotEqual(first.fingerprint, second.fingerprint)

    def test_errors_name_the_field(self):
        for data, expected in (
            (b"{}", "prompt"),
            (b'{"prompt": 3}', "$.prompt"),
            (b'{"prompt": "a", "max_tokens": -1}', "$.max_tokens"),
            (b"[", "body"),
        ):
            failed = self.parse(data)
            self.assertFalse(pipeline.is_successful(failed))
            self.assertIn(expected, str(failed.failure()))


class KeyTests(unittest.TestCase):
    def test_issue_time_of_uuid7_is_its_timestamp(self):
        key = uuid6.uuid7()
        self.assertEqual(bodies.parse_issue_time(str(key)), key.time)

    def test_other_keys_have_no_issue_time(self):
        for key in ("", "x", "123e4567-e89b-42d3-a456-426614174000", "z" * 36):
            self.assertIsNone(bodies.parse_issue_time(key))


if __name__ == "__main__":
    unittest.main()
