"""Compares three placements on one replayed load, before servers with varying paces.

The load: 30 entries in three failure domains before 12 engines and 3 plain servers,
each on a machine that is calm or busy for 2.5 s on average. Other work slows a machine
down to 2 to 4 times the usual time, in bursts of 40 ms: several times a second on a
calm machine, most of the time on a busy one. The demand of the domains swings by half.
"""

import functools
import unittest
from unittest import mock

import paceplays

from wasabiknot_kernel import server_scores, servers

SEEDS = (1, 2)
# Share of the excess of p99 over p50 by learned durations only that is left.
PLAIN_EXCESS = 0.6
ENGINE_EXCESS = 1.0


@functools.cache
def play_learned(seed):
    """Plays with learned durations only, as no server states a pace."""
    return paceplays.PaceWorld(paceplays.draw_load(seed), has_pace=False).play()


@functools.cache
def play_newest(seed):
    """Plays with the newest figure, and the best of all servers."""
    load = paceplays.draw_load(seed)
    with (
        mock.patch.object(servers.Server, "estimate_other_load", lambda *_: 0.0),
        mock.patch.object(server_scores, "sample", lambda candidates, *_: candidates),
    ):
        return paceplays.PaceWorld(load, has_pace=True, is_newest=True).play()


@functools.cache
def play_smoothed(seed, is_lossy=False):
    """Plays with the estimate, the reported load and the draw by score."""
    load = paceplays.draw_load(seed)
    return paceplays.PaceWorld(load, has_pace=True, is_lossy=is_lossy).play()


def merge(worlds):
    """Merges the times of several plays."""
    merged = paceplays.Times()
    for world in worlds:
        merged.add(world.times)
    return merged


class PlacementTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.learned = merge([play_learned(seed) for seed in SEEDS])
        cls.newest = merge([play_newest(seed) for seed in SEEDS])
        cls.smoothed = merge([play_smoothed(seed) for seed in SEEDS])

    def test_plain_responses_are_late_less_often(self):
        service = paceplays.PLAIN_SERVICE
        late = self.smoothed.count_late(service)
        self.assertLess(late, 0.5 * self.learned.count_late(service))
        self.assertLess(late, 0.5 * self.newest.count_late(service))

    def test_slowest_plain_responses_are_less_slow(self):
        service = paceplays.PLAIN_SERVICE
        excess_s = self.smoothed.find_excess_s(service)
        self.assertLess(excess_s, PLAIN_EXCESS * self.learned.find_excess_s(service))
        self.assertLess(excess_s, PLAIN_EXCESS * self.newest.find_excess_s(service))

    def test_slowest_first_events_of_engines_are_no_slower(self):
        service = paceplays.ENGINE_SERVICE
        excess_s = self.smoothed.find_excess_s(service)
        self.assertLess(excess_s, ENGINE_EXCESS * self.learned.find_excess_s(service))
        late = self.smoothed.count_late(service)
        self.assertLess(late, 1.2 * self.learned.count_late(service))

    def test_lost_doubled_and_late_digests_do_no_harm(self):
        service = paceplays.PLAIN_SERVICE
        lossy = play_smoothed(SEEDS[0], is_lossy=True).times
        learned = play_learned(SEEDS[0]).times
        self.assertLess(lossy.count_late(service), learned.count_late(service))
        self.assertLess(lossy.find_excess_s(service), learned.find_excess_s(service))


if __name__ == "__main__":
    unittest.main()
