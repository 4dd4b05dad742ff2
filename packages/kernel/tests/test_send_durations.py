import random
import unittest

import builders
from hypothesis import given, strategies

from wasabiknot_kernel import send_durations

EXPECTED_MS = 100.0


def build_expectation(
    route="draft", size_band=10, pace_band=5, expected_ms=EXPECTED_MS
):
    send_class = send_durations.SendClass(route, size_band, pace_band)
    return send_durations.Expectation(send_class, expected_ms)


def add_samples(durations, expectation, duration_s, count=send_durations.MIN_SAMPLES):
    for _ in range(count):
        durations.add(expectation, duration_s)


class ClassTests(unittest.TestCase):
    def test_sends_are_classed_by_route_size_and_pace(self):
        server = builders.build_dispatcher().servers["w0"]
        short = builders.build_ticket(prompt=600)
        long = builders.build_ticket(prompt=6_000)
        kind = send_durations.classify(short, server, 0.0)
        self.assertNotEqual(kind, send_durations.classify(long, server, 0.0))
        server.service_times.event_interval_ms.value *= 3
        self.assertNotEqual(kind, send_durations.classify(short, server, 0.0))

    def test_pace_that_a_server_states_is_part_of_its_class(self):
        server = builders.build_dispatcher().servers["w0"]
        ticket = builders.build_ticket()
        kind = send_durations.classify(ticket, server, 10.0)
        for step in range(20):
            server.pace.record(400, 10.0 + step / 10)
        self.assertNotEqual(kind, send_durations.classify(ticket, server, 12.0))
        # The pace is forgotten; the class is that of the learned durations again.
        self.assertEqual(kind, send_durations.classify(ticket, server, 60.0))


class SlowTests(unittest.TestCase):
    def setUp(self):
        self.durations = send_durations.SendDurations()

    def test_nothing_is_slow_before_there_are_enough_samples(self):
        expectation = build_expectation()
        add_samples(self.durations, expectation, 0.1, send_durations.MIN_SAMPLES - 1)
        self.assertIsNone(self.durations.find_slow_s(expectation))
        self.durations.add(expectation, 0.1)
        self.assertIsNotNone(self.durations.find_slow_s(expectation))

    @given(strategies.integers(0, 1_000), strategies.floats(0.005, 5.0))
    def test_about_one_send_in_twenty_is_slow(self, seed, scale_s):
        # Guards against hedges of sends that take as long as most others.
        rng = random.Random(seed)
        expectation = build_expectation()
        for _ in range(send_durations.RECENT_SAMPLES):
            self.durations.add(expectation, scale_s * rng.uniform(1.0, 3.0))
        slow_s = self.durations.find_slow_s(expectation)
        later = [scale_s * rng.uniform(1.0, 3.0) for _ in range(500)]
        share = sum(item > slow_s for item in later) / len(later)
        self.assertLess(share, 0.13)
        self.assertGreater(share, 0.005)

    def test_class_without_samples_is_compared_by_the_expected_time(self):
        usual = build_expectation()
        add_samples(self.durations, usual, 0.15)
        other = build_expectation(size_band=14, expected_ms=400.0)
        self.assertAlmostEqual(self.durations.find_slow_s(other), 0.6, places=2)

    def test_samples_of_the_class_go_first(self):
        usual = build_expectation()
        other = build_expectation(size_band=14, expected_ms=400.0)
        add_samples(self.durations, usual, 0.15)
        add_samples(self.durations, other, 2.0)
        self.assertAlmostEqual(self.durations.find_slow_s(other), 2.0, delta=0.02)
        self.assertAlmostEqual(self.durations.find_slow_s(usual), 0.15, delta=0.002)

    def test_routes_are_apart(self):
        add_samples(self.durations, build_expectation(), 0.15)
        self.assertIsNone(self.durations.find_slow_s(build_expectation("other")))

    def test_percentile_follows_a_change_of_the_load(self):
        # Guards against a percentile of times that are long past.
        expectation = build_expectation()
        for _ in range(8):
            add_samples(self.durations, expectation, 0.1, send_durations.RECENT_SAMPLES)
        changed = send_durations.RECENT_SAMPLES + send_durations.MIN_SAMPLES
        add_samples(self.durations, expectation, 0.4, changed)
        self.assertAlmostEqual(self.durations.find_slow_s(expectation), 0.4, 2)

    def test_percentile_lasts_while_samples_are_replaced(self):
        expectation = build_expectation()
        for count in range(3 * send_durations.RECENT_SAMPLES):
            self.durations.add(expectation, 0.1)
            if count >= send_durations.MIN_SAMPLES:
                self.assertIsNotNone(self.durations.find_slow_s(expectation))

    def test_memory_is_bounded(self):
        for number in range(3 * send_durations.MAX_SERIES):
            self.durations.add(build_expectation(f"r{number}"), 0.1)
        bound = 2 * send_durations.MAX_SERIES
        self.assertEqual(self.durations.count_series(), bound)

    def test_odd_durations_are_clipped(self):
        expectation = build_expectation(expected_ms=0.0)
        for duration_s in (0.0, -1.0, 1e9):
            add_samples(self.durations, expectation, duration_s)
        self.assertGreater(self.durations.find_slow_s(expectation), 0.0)
