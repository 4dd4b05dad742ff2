"""Releases of bad and good versions under load, on the decisions of all entries."""

import itertools
import random
import unittest

import releaseplays

TROUBLES = {
    "none": {},
    "lost": {"lost": 0.2},
    "broken": {"broken": (0, 1)},
    "slowed": {"slowed": (0, 1)},
}
BAD = {
    "slow": {"slowness": 1.8},
    "slower by two fifths": {"slowness": 1.4},
    "failing": {"failing": 0.2},
    "failing later": {"failing": 0.5, "late_s": 6.0},
}
# Times at which all entries are killed, with all evidence.
KILLS_S = ((3.0,), (3.0, 6.0), (2.0, 4.0, 6.0))
GOOD_PLAYS = 200


class BadVersionTests(unittest.TestCase):
    def check(self, bad):
        for trouble, options in TROUBLES.items():
            for seed in range(3):
                with self.subTest(trouble=trouble, seed=seed):
                    world = releaseplays.ReleaseWorld(seed, **bad, **options).play()
                    self.assertEqual(world.count_excess(), 0)
                    self.assertEqual(world.count_late(), 0)
                    self.assertIsNotNone(world.left_s)

    def test_slow_version_on_idle_servers_is_not_promoted(self):
        self.check(BAD["slow"])

    def test_version_slower_by_two_fifths_on_idle_servers_is_not_promoted(self):
        self.check(BAD["slower by two fifths"])

    def test_slower_version_is_not_hidden_by_servers_that_were_slowed(self):
        for seed in range(12):
            with self.subTest(seed=seed):
                options = TROUBLES["slowed"]
                world = releaseplays.ReleaseWorld(seed, slowness=1.3, **options).play()
                self.assertEqual(world.count_excess(), 0)
                self.assertIsNotNone(world.left_s)

    def test_version_gets_no_more_requests_though_all_entries_are_killed(self):
        for name, kills_s in itertools.product(BAD, KILLS_S):
            for seed in range(3):
                with self.subTest(name=name, kills_s=kills_s, seed=seed):
                    options = {**BAD[name], "kills_s": kills_s}
                    world = releaseplays.ReleaseWorld(seed, **options).play()
                    self.assertEqual(world.count_excess(), 0)
                    self.assertEqual(world.count_late(), 0)
                    self.assertIsNotNone(world.left_s)

    def test_failing_version_is_not_hidden_by_trouble_of_the_old_one(self):
        self.check(BAD["failing"])

    def test_version_that_is_broken_on_half_of_its_servers_is_not_promoted(self):
        # Guards against servers that are left out though only the new side has them.
        for seed in range(12):
            with self.subTest(seed=seed):
                options = {"broken_new": (0, 1, 2), "servers_per_side": 6}
                world = releaseplays.ReleaseWorld(seed, **options).play()
                self.assertEqual(world.count_excess(), 0)
                self.assertEqual(world.count_late(), 0)
                self.assertIsNotNone(world.left_s)

    def test_version_that_fails_later_is_not_hidden_by_trouble_of_the_old_one(self):
        self.check(BAD["failing later"])


class GoodVersionTests(unittest.TestCase):
    def test_good_version_is_not_taken_back_beside_trouble(self):
        rng = random.Random(54)
        for seed in range(GOOD_PLAYS):
            trouble = rng.choice(sorted(TROUBLES))
            with self.subTest(trouble=trouble, seed=seed):
                world = releaseplays.ReleaseWorld(seed, **TROUBLES[trouble]).play()
                self.assertEqual(world.reason, "")
