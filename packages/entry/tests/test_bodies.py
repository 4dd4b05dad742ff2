"""Tests of request bodies and keys."""

import unittest

import uuid6
from returns import pipeline

from wasabiknot_entry import bodies


class BodyTests(unittest.TestCase):
    def read(self, data):
        return bodies.read_body(data, "s", "c")

    def test_same_content_has_the_same_fingerprint(self):
        first = self.read(b'{"prompt": "a", "max_tokens": 3}').unwrap()
        second = self.read(b'{"max_tokens": 3, "prompt": "a"}').unwrap()
        self.assertEqual(first.fingerprint, second.fingerprint)

    def test_another_call_has_another_fingerprint(self):
        first = bodies.read_body(b'{"prompt": "a"}', "s", "c").unwrap()
        second = bodies.read_body(b'{"prompt": "a"}', "s", "d").unwrap()
        self.assertNotEqual(first.fingerprint, second.fingerprint)

    def test_faults_name_the_field(self):
        for data, expected in (
            (b"{}", "prompt"),
            (b'{"prompt": 3}', "$.prompt"),
            (b'{"prompt": "a", "max_tokens": -1}', "$.max_tokens"),
            (b"[", "body"),
        ):
            failed = self.read(data)
            self.assertFalse(pipeline.is_successful(failed))
            self.assertIn(expected, str(failed.failure()))


class KeyTests(unittest.TestCase):
    def test_issue_time_of_a_uuid7(self):
        key = uuid6.uuid7()
        self.assertEqual(bodies.read_issue_time(str(key)), key.time)

    def test_other_texts_carry_no_issue_time(self):
        for key in ("", "x", "123e4567-e89b-42d3-a456-426614174000", "z" * 36):
            self.assertIsNone(bodies.read_issue_time(key))


if __name__ == "__main__":
    unittest.main()
