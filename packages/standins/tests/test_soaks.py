import subprocess
import sys
import unittest

# A run takes its duration and some seconds to start and to end.
DURATION_S = 6
TIMEOUT_S = 90
# The first seed is a plain run; the others failed once:
# 4: a second SIGTERM during the shutdown raised an error in the entry.
# 20: a port was taken, and the entry went on without listening.
SEEDS = (1, 4, 20)


class SoakTests(unittest.TestCase):
    def test_promises_hold_under_faults(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                arguments = ["-m", "wasabiknot_standins.soaks"]
                done = subprocess.run(
                    [sys.executable, *arguments, str(seed), str(DURATION_S), "3"],
                    capture_output=True,
                    text=True,
                    timeout=TIMEOUT_S,
                )
                self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
