import subprocess
import sys
import unittest

DURATION_S = 16
TIMEOUT_S = 90


class HarmfulRequestTests(unittest.TestCase):
    def play(self, disturbance, seed):
        arguments = ["-m", "wasabiknot_standins.harmful", disturbance, str(seed)]
        result = subprocess.run(
            [sys.executable, *arguments, str(DURATION_S)],
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
        self.assertEqual(result.returncode, 0, result.stdout + result.stderr)

    def test_request_stays_refused_after_all_entries_restart(self):
        self.play("restart-all-twice", 1)
