"""Tests for reading and validating the settings of an entry."""

import pathlib
import tempfile
import unittest

from returns import pipeline

from wasabiknot_entry import addresses, settings

VALID = """\
name: entry-1
region: ost
domain: graz
caller_address: 127.0.0.1:8080
control_address: 127.0.0.1:8081
datagram_address: 127.0.0.1:8082
log_url: http://127.0.0.1:9000
vms_url: http://127.0.0.1:9001
"""


class SettingsTests(unittest.TestCase):
    def load(self, text):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "entry.yaml"
            path.write_text(text, encoding="utf-8")
            return settings.load_settings(path)

    def test_valid_settings(self):
        loaded = self.load(VALID).unwrap()
        endpoint = addresses.parse_address(loaded.caller_address)
        self.assertEqual(endpoint, addresses.Endpoint("127.0.0.1", 8080))

    def test_all_errors_are_reported(self):
        text = VALID.replace("8080", "port").replace("region: ost\n", "")
        failed = self.load(text)
        self.assertFalse(pipeline.is_successful(failed))
        report = str(failed.failure())
        self.assertIn("entry.yaml:3: caller_address: expected", report)
        self.assertIn("region: expected a value", report)

    def test_error_for_unknown_placement_lists_the_known_ones(self):
        failed = self.load(VALID + "placement: best\n")
        self.assertIn("finish-time", str(failed.failure()))


if __name__ == "__main__":
    unittest.main()
