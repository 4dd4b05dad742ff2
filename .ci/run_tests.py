"""Runs the tests; failures listed in KNOWN-RED.txt don't fail the run."""

import pathlib
import sys
import unittest

import hypothesis

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
TEST_PREFIX = "test: "


def load_hypothesis_profile():
    """Loads the settings that all property tests share.

    How long an example takes depends on the machine, and is no verdict on the code.
    """
    hypothesis.settings.register_profile(
        "ci",
        derandomize=True,
        deadline=None,
        suppress_health_check=[hypothesis.HealthCheck.too_slow],
    )
    hypothesis.settings.load_profile("ci")


def list_known_red():
    """Lists the tests that are known to fail.

    :return: set of test ids.
    """
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix(TEST_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    }


def list_directories():
    """Lists the test directories of all packages.

    :return: sorted list of paths.
    """
    return sorted([*ROOT.glob("packages/*/tests"), *ROOT.glob("platform/tests")])


def load_tests(directory, pattern):
    """Loads the tests of one directory or of all packages.

    :param directory: directory of tests, or ``None`` for all packages.
    :param pattern: file name pattern.
    :return: ``unittest.TestSuite``.
    """
    suite = unittest.TestSuite()
    directories = [directory] if directory else list_directories()
    for item in directories:
        tests = unittest.TestLoader().discover(
            str(item), pattern=pattern, top_level_dir=str(item)
        )
        suite.addTests(tests)
    return suite


def list_ids(suite):
    """Lists the ids of the tests of a suite.

    :param suite: ``unittest.TestSuite`` or test case.
    :return: set of test ids, without those of subtests.
    """
    if isinstance(suite, unittest.TestSuite):
        return set().union(*map(list_ids, suite))
    return {suite.id()}


def main():
    """Runs the tests and prints a summary.

    The optional command-line arguments are a directory and a file name pattern.

    :return: exit code.
    """
    directory = sys.argv[1] if len(sys.argv) > 1 else None
    pattern = sys.argv[2] if len(sys.argv) > 2 else "test_*.py"
    load_hypothesis_profile()
    suite = load_tests(directory, pattern)
    selected = list_ids(suite)
    outcome = unittest.TextTestRunner(verbosity=1).run(suite)
    failures = [*outcome.failures, *outcome.errors]
    failed = {test.id() for test, _ in failures}
    failed |= {test.id() for test in outcome.unexpectedSuccesses}
    known = list_known_red()
    for name in sorted(failed & known):
        print(f"known red: {name}")
    # The id of a subtest begins with that of its test.
    played = {name for name in known if name.partition(" ")[0] in selected}
    for name in sorted(played - failed):
        print(f"known red passes now, remove its entry: {name}")
    unexpected = failed - known
    skipped = len(outcome.skipped)
    # Several subtests of one test may fail.
    failed_tests = {name.partition(" ")[0] for name in failed}
    passed = outcome.testsRun - len(failed_tests) - skipped
    print(f"{passed} passed, {len(unexpected)} failed")
    return 1 if unexpected or not outcome.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
