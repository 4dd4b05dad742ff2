import unittest

import partplays
import test_harmful_load as harmfulplays
from hypothesis import given, settings, strategies

Shape = partplays.Shape
# Sends of requests with the part that may follow long after its fifth crash.
MAX_LATE_SENDS = 3
# Sound requests are to be served at least this share as often as before.
MIN_SOUND_SHARE = 0.95
HARMFUL_SHAPES = [shape for shape in Shape if shape is not Shape.POWER]


class PartLoadTests(unittest.TestCase):
    def check(self, world):
        world.play()
        self.assertGreaterEqual(len(world.harmful_runs), 3)
        # Of two parts, each has its own bound.
        allowed = MAX_LATE_SENDS * (1 + (world.shape is Shape.IN_TURN))
        self.assertLessEqual(len(world.list_late()), allowed)
        self.assertGreaterEqual(world.compute_sound_share(), MIN_SOUND_SHARE)

    def test_requests_that_share_only_a_harmful_prompt_part_are_refused(self):
        self.check(partplays.PartWorld(1))

    def test_harmful_part_is_refused_from_its_third_crash_on(self):
        world = partplays.PartWorld(1, shape=Shape.SLOW)
        self.check(world)
        self.assertEqual(len(world.harmful_runs), 3)

    def test_harmful_part_is_refused_in_all_shapes_of_traffic(self):
        for shape in HARMFUL_SHAPES:
            for seed in range(3):
                with self.subTest(shape=shape, seed=seed):
                    self.check(partplays.PartWorld(seed, shape=shape))

    def test_harmful_part_stays_refused_after_all_entries_restart(self):
        for shape in HARMFUL_SHAPES:
            with self.subTest(shape=shape):
                self.check(partplays.PartWorld(2, shape=shape, kills_after=True))

    def test_sound_requests_of_equal_content_are_served_after_entries_restart(self):
        for seed in (*range(8), 33, 36, 42, 47, 70):
            with self.subTest(seed=seed):
                self.check(partplays.EqualWorld(seed, server_count=3))
        self.check(partplays.EqualWorld(34, server_count=4))

    @harmfulplays.SETTINGS
    @given(
        strategies.integers(0, 1_000),
        strategies.sampled_from(HARMFUL_SHAPES),
        strategies.booleans(),
        harmfulplays.DISTURBANCES,
    )
    def test_sends_after_the_fifth_crash_stay_within_bound(
        self, seed, shape, kills_after, disturbances
    ):
        self.check(partplays.PartWorld(seed, disturbances, shape, kills_after))

    @settings(harmfulplays.SETTINGS, max_examples=10)
    @given(strategies.integers(0, 1_000), harmfulplays.DISTURBANCES)
    def test_servers_that_lose_power_together_have_no_part_refused(
        self, seed, disturbances
    ):
        world = partplays.PartWorld(seed, disturbances, Shape.POWER)
        world.play()
        self.assertGreaterEqual(world.compute_sound_share(), MIN_SOUND_SHARE)
