import random
import unittest

from hypothesis import given, settings, strategies

from wasabiknot_kernel import engine_paces

SLOW_ENGINE = 4.4


def build_stats(rng, speeds, loads, slope, count, noise=0.1):
    """Builds the statistics of servers whose pace grows with their load."""
    servers = []
    for speed in speeds:
        stats = engine_paces.PaceStats()
        for _ in range(count):
            load = rng.uniform(*loads)
            pace_ms = 13.0 * speed * (1 + slope * (load - 1))
            stats.add_sample(load, pace_ms * rng.uniform(1 - noise, 1 + noise))
        servers.append(stats)
    return servers


class FindSlowdownTests(unittest.TestCase):
    def find(self, seed, slowness, slope, new_slow=1, old_slow=1, new_loads=(1, 2)):
        rng = random.Random(seed)
        new_speeds = [slowness] * (5 - new_slow) + [slowness * SLOW_ENGINE] * new_slow
        old_speeds = [1.0] * (5 - old_slow) + [SLOW_ENGINE] * old_slow
        new = build_stats(rng, new_speeds, new_loads, slope, 6)
        old = build_stats(rng, old_speeds, (2, 10), slope, 60)
        return engine_paces.find_slowdown(new, old)

    @settings(max_examples=100, deadline=None)
    @given(
        strategies.integers(0, 1_000),
        strategies.floats(1.5, 6.0),
        strategies.floats(0.02, 0.08),
        strategies.integers(0, 2),
    )
    def test_slow_version_on_idle_servers_is_found(self, seed, slowness, slope, slow):
        slowdown = self.find(seed, slowness, slope, slow, 1)
        self.assertGreater(slowdown, engine_paces.MAX_SLOWDOWN)

    @settings(max_examples=100, deadline=None)
    @given(
        strategies.integers(0, 1_000),
        strategies.floats(0.3, 1.05),
        strategies.floats(0.0, 0.08),
        strategies.integers(0, 4),
        strategies.integers(0, 4),
        strategies.sampled_from([(1, 2), (2, 10), (8, 13)]),
    )
    def test_sound_version_is_not_slow_whatever_its_load(
        self, seed, slowness, slope, new_slow, old_slow, new_loads
    ):
        found = self.find(seed, slowness, slope, new_slow, old_slow, new_loads)
        self.assertEqual(found, 0.0)

    @settings(max_examples=300, deadline=None)
    @given(strategies.integers(0, 1_000), strategies.integers(8, 14))
    def test_few_answers_of_old_servers_do_not_make_a_version_slow(self, seed, count):
        rng = random.Random(seed)
        new = build_stats(rng, [1.0] * 3 + [SLOW_ENGINE] * 2, (1, 2), 0.05, 5)
        old = build_stats(rng, [1.0] * 4 + [SLOW_ENGINE], (3, 7), 0.05, count, 0.35)
        self.assertEqual(engine_paces.find_slowdown(new, old, 0.8), 0.0)

    def test_version_without_fast_servers_is_not_taken_for_slow(self):
        # Only one of five old servers is a fast one.
        self.assertEqual(self.find(1, 1.0, 0.05, new_slow=5, old_slow=4), 0.0)

    def test_slow_version_is_found_though_most_old_servers_have_turned_slow(self):
        rng = random.Random(1)
        new_speeds = [1.4] * 3 + [1.4 * SLOW_ENGINE] * 3
        old_speeds = [1.0] * 2 + [4.0] * 2 + [SLOW_ENGINE] * 2
        new = build_stats(rng, new_speeds, (1, 2), 0.05, 6)
        old = build_stats(rng, old_speeds, (2, 10), 0.05, 60)
        self.assertEqual(engine_paces.find_slowdown(new, old), 0.0)
        fast_fraction = engine_paces.find_fast_fraction([13, 14, 13, 13, 57, 60])
        slowdown = engine_paces.find_slowdown(new, old, fast_fraction)
        self.assertGreater(slowdown, engine_paces.MAX_SLOWDOWN)

    def test_nothing_is_said_while_the_load_of_the_old_servers_stands_still(self):
        rng = random.Random(1)
        new = build_stats(rng, [2.0] * 5, (1, 1), 0.05, 20)
        old = build_stats(rng, [1.0] * 5, (7, 7), 0.05, 20)
        self.assertEqual(engine_paces.find_slowdown(new, old), 0.0)

    def test_short_streams_have_no_pace(self):
        self.assertIsNone(engine_paces.compute_pace_ms(0.2, 0.1, 3, True))
        self.assertEqual(engine_paces.compute_pace_ms(0.5, 0.1, 5, True), 100.0)
        self.assertEqual(engine_paces.compute_pace_ms(0.5, None, 0, False), 500.0)
