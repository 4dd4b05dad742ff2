import unittest
from unittest import mock

import rigcases

from wasabiknot_standins import soakfaults

# Starting and stopping the processes adds several seconds to the duration.
DURATION_S = 6
# Soaks of this duration begin with planned work and silences only.
CALM_START_DURATION_S = 15
ENTRIES = 3
# Seed 1 guards against no particular failure. The others reproduced these:
# 4: a second SIGTERM during shutdown raised an error in the entry.
# 20: a port was already in use, and the entry kept running without listening.
# 861: a key was rejected before its configuration had arrived; the check was wrong.
# 318: streams were cut because their servers were silent for about a second.
SEEDS = (1, 4, 20, 861)
CALM_START_SEEDS = (318,)


class SoakTests(rigcases.RigCase):
    module = "wasabiknot_standins.soaks"
    plays = {
        **{seed: (seed, DURATION_S, ENTRIES) for seed in SEEDS},
        **{seed: (seed, CALM_START_DURATION_S, ENTRIES) for seed in CALM_START_SEEDS},
    }

    def test_guarantees_hold_under_faults(self):
        for seed in self.plays:
            with self.subTest(seed=seed):
                self.check(seed)


class RestartTests(unittest.TestCase):
    def restart(self, is_over):
        faults = soakfaults.Faults(mock.Mock(), None, None, None)
        faults.is_over = is_over
        entry = mock.Mock(is_paused=False)
        entry.process.poll.return_value = 0
        faults.restart(entry)
        return entry.start.called

    def test_entry_that_has_stopped_is_started_again(self):
        self.assertTrue(self.restart(is_over=False))

    def test_no_entry_outlives_the_soak(self):
        self.assertFalse(self.restart(is_over=True))
