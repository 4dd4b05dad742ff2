"""Tests of the command that checks a configuration of routes."""

import base64
import contextlib
import io
import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

from wasabiknot_operator import main, route_configurations
from wasabiknot_platform import stores


def create_content(**changes):
    content = {
        "version": 7,
        "routes": [
            {
                "name": "r-1",
                "host": "desk.example",
                "pathPrefix": "/a/",
                "type": "streaming",
                "timeoutMs": 9000,
                "sloMs": 500,
                "service": "pool",
                "attempts": 2,
            }
        ],
        "services": [{"name": "pool", "healthPath": "/healthz"}],
    }
    return content | changes


class CheckRoutesTests(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self._directory = pathlib.Path(directory.name)

    def write(self, name, content):
        path = self._directory / name
        path.write_text(json.dumps(content), encoding="utf-8")
        return path

    def check(self, *paths, **options):
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            code = main.check_routes(*paths, **options)
        return code, printed.getvalue().splitlines()

    def test_sound_file(self):
        code, lines = self.check(self.write("new.json", create_content()))
        self.assertEqual((code, lines), (main.ExitCode.OK, ["no problems"]))

    def test_error_has_an_exit_code_of_its_own(self):
        path = self.write("new.json", create_content(services=[]))
        code, lines = self.check(path)
        self.assertEqual(code, main.ExitCode.BAD_INPUT)
        self.assertEqual(lines, ["route r-1: shares: error: there is no service pool"])

    def test_entry_that_never_matches_is_no_error(self):
        services = [{"name": "pool"}, {"name": "spare"}]
        code, lines = self.check(
            self.write("new.json", create_content(services=services))
        )
        self.assertEqual(code, main.ExitCode.HAS_WARNINGS)
        self.assertEqual(lines, ["service spare: never matches: no route names it"])

    def test_differences_from_another_version(self):
        before = self.write("old.json", create_content())
        services = [{"name": "pool", "maxConns": 9}]
        after = self.write("new.json", create_content(version=8, services=services))
        code, lines = self.check(after, against=before)
        self.assertEqual(code, main.ExitCode.OK)
        expected = [
            "no problems",
            "differences from version 7: 3",
            "version: 7 -> 8",
            "services[pool].health_path: /healthz -> /",
            "services[pool].max_connections: 0 -> 9",
        ]
        self.assertEqual(lines, expected)

    def test_file_that_cannot_be_read_or_decoded(self):
        unreadable = self.write("bad.json", {"version": "seven"})
        for path in (unreadable, self._directory / "missing.json"):
            with contextlib.redirect_stderr(io.StringIO()) as printed:
                code, _ = self.check(path)
            self.assertEqual(code, main.ExitCode.BAD_INPUT)
            self.assertIn(path.name, printed.getvalue())

    def test_store_that_cannot_be_reached(self):
        # Guards against a report without a comparison, as if nothing differed.
        path = self.write("new.json", create_content())
        command = [sys.executable, "-m", "wasabiknot_operator.main", "check-routes"]
        # A process of its own, as a reactor can't be run twice in one.
        process = subprocess.run(
            [*command, str(path), "--store", "127.0.0.1:1"],
            capture_output=True,
            check=False,
        )
        self.assertEqual(process.returncode, main.ExitCode.UNREACHABLE)
        self.assertEqual(process.stdout, b"")


class PageTests(unittest.TestCase):
    def test_configuration_is_found_among_other_records(self):
        value = base64.b64encode(b"{}").decode()
        entries = [
            {"key": key, "value": value, "offset": 1}
            for key in ("evacuate/a", "config")
        ]
        page = stores.decode_listing(
            json.dumps({"entries": entries, "end": 2}).encode()
        )
        self.assertEqual(route_configurations.find_configuration(page), b"{}")


if __name__ == "__main__":
    unittest.main()
