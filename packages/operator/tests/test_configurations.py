"""Tests of the validation of configuration files and of report formats."""

import contextlib
import io
import pathlib
import tempfile
import unittest

from returns import pipeline

from wasabiknot_kernel import moves, reports
from wasabiknot_operator import configurations, formats, main

EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / "examples"


class ConfigurationTests(unittest.TestCase):
    def test_examples_are_valid(self):
        for name in ("marktgeld", "saddle-road"):
            paths = configurations.list_files(EXAMPLES / name)
            loaded = configurations.load_configuration(paths)
            self.assertTrue(pipeline.is_successful(loaded), name)
            self.assertEqual(len(loaded.unwrap().services), 2)

    def test_faults_of_all_files_are_reported_together(self):
        with tempfile.TemporaryDirectory() as directory:
            for name in ("a.yaml", "b.yaml"):
                path = pathlib.Path(directory) / name
                path.write_text("service: 3\n", encoding="utf-8")
            paths = configurations.list_files(directory)
            report = str(configurations.load_configuration(paths).failure())
        self.assertIn("a.yaml:1: service: expected `str`", report)
        self.assertIn("b.yaml:1: service: expected `str`", report)

    def test_missing_deployment_file_is_a_fault(self):
        path = EXAMPLES / "marktgeld" / "torwache.yaml"
        failed = configurations.load_configuration([path])
        self.assertIn("expected one deployment.yaml", str(failed.failure()))


class CheckTests(unittest.TestCase):
    def run_check(self, *paths):
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            code = main.check(*paths)
        return code, printed.getvalue()

    def test_exit_codes(self):
        good = EXAMPLES / "marktgeld" / "torwache.yaml"
        self.assertEqual(self.run_check(good)[0], main.ExitCode.OK)
        code, printed = self.run_check(pathlib.Path("missing.yaml"))
        self.assertEqual(code, main.ExitCode.BAD_INPUT)
        self.assertIn("missing.yaml:1: document: expected a readable", printed)


class FormatTests(unittest.TestCase):
    def test_move_is_formatted_as_one_line(self):
        for state, expected in (
            ("running", "s: moving to v2, 25%, late for"),
            ("finished", "s: v2 finished"),
            ("taken-back", "s: v2 taken-back"),
        ):
            move = moves.MoveReport("s", "v2", state, 25.0, 1_000, 2_000, "why", True)
            status = reports.Status("e", True, 3, 1, "p", 10, (move,))
            lines = formats.format_lines(status)
            self.assertEqual(len(lines), 2)
            self.assertTrue(lines[1].startswith(expected), lines[1])
            self.assertIn("why", lines[1])


if __name__ == "__main__":
    unittest.main()
