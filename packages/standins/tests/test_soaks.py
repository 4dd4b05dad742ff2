import subprocess
import sys
import unittest

# Starting and stopping the processes adds several seconds to the duration.
DURATION_S = 6
TIMEOUT_S = 90
# Seed 1 guards against no particular failure. The others reproduced these:
# 4: a second SIGTERM during shutdown raised an error in the entry.
# 20: a port was already in use, and the entry kept running without listening.
SEEDS = (1, 4, 20)


class SoakTests(unittest.TestCase):
    def test_guarantees_hold_under_faults(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                arguments = ["-m", "wasabiknot_standins.soaks"]
                result = subprocess.run(
                    [sys.executable, *arguments, str(seed), str(DURATION_S), "3"],
                    capture_output=True,
                    text=True,
                    timeout=TIMEOUT_S,
                )
                self.assertEqual(result.returncode, 0, result.stdout + result.stderr)
