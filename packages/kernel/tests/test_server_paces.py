import unittest

import builders
from hypothesis import given, settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from wasabiknot_kernel import arrivals, server_paces


class ServerPaceTests(unittest.TestCase):
    def setUp(self):
        self.pace = server_paces.ServerPace()

    def record(self, paces, start_s=0.0, step_s=0.1):
        for number, pace in enumerate(paces):
            self.pace.record(pace, start_s + number * step_s)

    def test_pace_is_usual_until_one_is_stated(self):
        self.assertEqual(self.pace.estimate(5.0), 1.0)
        self.assertEqual(self.pace.estimate_deviation(5.0), 0.0)
        self.assertFalse(self.pace.is_known(5.0))

    def test_one_value_counts_by_half(self):
        # Guards against sending all requests away for one burst of other work.
        self.record([300])
        self.assertAlmostEqual(self.pace.estimate(0.0), 2.0)

    def test_mean_follows_a_lasting_change_within_a_second(self):
        self.record([100] * 20)
        self.record([300] * 10, start_s=2.0)
        self.assertGreater(self.pace.estimate(3.0), 2.0)
        self.assertLess(self.pace.estimate(3.0), 3.0)

    def test_old_knowledge_returns_to_the_usual_pace(self):
        # Guards against a server that looked slow once and is never tried again.
        self.record([400] * 10)
        values = [self.pace.estimate(0.9 + age_s) for age_s in (0.0, 1.0, 2.0, 5.0)]
        self.assertEqual(values, sorted(values, reverse=True))
        self.assertGreater(values[0], 3.0)
        self.assertLess(values[2], 2.0)
        self.assertEqual(values[3], 1.0)
        self.assertFalse(self.pace.is_known(6.9))

    def test_knowledge_from_before_a_pause_is_old(self):
        self.record([400] * 10)
        self.record([100], start_s=9.0)
        self.assertLess(self.pace.estimate(9.0), 1.01)

    def test_burst_of_responses_counts_as_one_value(self):
        # Guards against a mean of one moment only where responses come in bursts.
        self.record([100] * 10)
        self.record([500] * 50, start_s=0.95, step_s=0.0001)
        self.assertLess(self.pace.estimate(0.955), 2.0)

    def test_deviation(self):
        self.record([200] * 30)
        steady = self.pace.estimate_deviation(3.0)
        self.record([100, 300] * 15, start_s=3.0)
        self.assertGreater(self.pace.estimate_deviation(6.0), 2 * steady + 0.5)

    def test_change_to_slow_and_back_is_told_once(self):
        # Guards against a log line for each response of a server near the bound.
        paces = [100] * 5 + [350] * 20 + [180] * 10 + [100] * 30
        changes = [
            number
            for number, pace in enumerate(paces)
            if self.pace.record(pace, 0.1 * number)
        ]
        self.assertEqual(len(changes), 2)
        self.assertTrue(5 < changes[0] < 25 < changes[1])

    def test_values_beyond_the_bounds_are_clipped(self):
        self.record([100_000, 1])
        self.assertLessEqual(self.pace.estimate(0.1), server_paces.MAX_PACE)
        self.assertGreater(self.pace.estimate(0.1), server_paces.MIN_PACE)


class ReportTests(unittest.TestCase):
    def report(self, pace, age_ms):
        return server_paces.PaceReport("w1", pace, age_ms)

    def test_doubled_late_and_reordered_reports_count_once(self):
        # Guards against one old value that digests keep alive.
        pace = server_paces.ServerPace()
        self.assertTrue(pace.apply_report("e2", self.report(300, 0), 1.0))
        known = pace.estimate(1.1)
        self.assertFalse(pace.apply_report("e2", self.report(300, 100), 1.1))
        self.assertFalse(pace.apply_report("e2", self.report(900, 200), 1.15))
        self.assertEqual(pace.estimate(1.1), known)
        self.assertTrue(pace.apply_report("e2", self.report(100, 0), 1.3))

    def test_reports_of_several_peers_are_averaged(self):
        pace = server_paces.ServerPace()
        for number in range(5):
            report = self.report(300, 100 * number)
            self.assertTrue(pace.apply_report(f"e{number}", report, 1.0))
        self.assertGreater(pace.estimate(1.0), 2.5)

    def test_old_report_counts_little(self):
        pace = server_paces.ServerPace()
        pace.apply_report("e2", self.report(400, 5_000), 10.0)
        self.assertLess(pace.estimate(10.0), 1.05)

    def test_negative_age_is_not_of_the_future(self):
        pace = server_paces.ServerPace()
        pace.apply_report("e2", self.report(400, -60_000), 1.0)
        self.assertLess(pace.estimate(3.0), 1.5)

    def test_only_recent_values_of_the_sender_are_reported(self):
        # Guards against reports that are passed on from entry to entry.
        pace = server_paces.ServerPace()
        pace.apply_report("e2", self.report(300, 0), 1.0)
        self.assertIsNone(pace.build_report("w1", 1.0))
        pace.record(250, 1.0)
        self.assertEqual(pace.build_report("w1", 1.1), self.report(250, 100))
        self.assertIsNone(pace.build_report("w1", 2.0))

    def test_digest_has_the_servers_that_differ_most(self):
        reports = [
            server_paces.PaceReport(f"w{number}", 90 + 5 * number, 0)
            for number in range(40)
        ]
        selected = server_paces.select_reports(reports)
        self.assertEqual(len(selected), server_paces.MAX_REPORTS)
        self.assertEqual(
            {item.server_id for item in selected},
            {f"w{number}" for number in range(24, 40)},
        )


class DigestTests(unittest.TestCase):
    def setUp(self):
        self.entries = [builders.build_deployment(f"e{number}") for number in range(3)]
        builders.connect_entries(self.entries, 0.0)
        for entry in self.entries:
            entry.apply_registration(builders.build_registration("w1"), 0.0)

    def state(self, entry, pace, now_s):
        load = arrivals.ReportedLoad(1, 0, 4, pace)
        entry.record_load(entry.find_server("w1"), load, now_s)

    def test_group_learns_the_pace_by_digests(self):
        self.state(self.entries[0], 300, 1.0)
        digest = self.entries[0].build_digest(1.1)
        self.assertEqual(digest.paces, (server_paces.PaceReport("w1", 300, 100),))
        self.entries[1].apply_digest(digest, 1.1)
        own = self.entries[0].find_server("w1").pace.estimate(1.1)
        told = self.entries[1].find_server("w1").pace.estimate(1.1)
        self.assertAlmostEqual(own, told)
        self.assertEqual(self.entries[1].build_digest(1.1).paces, ())

    def test_report_of_an_unknown_server_is_ignored(self):
        self.state(self.entries[0], 300, 1.0)
        other = builders.build_deployment("e1")
        builders.connect_entries([other, self.entries[0]], 0.0)
        other.apply_digest(self.entries[0].build_digest(1.1), 1.1)
        self.assertIsNone(other.find_server("w1"))

    def test_pace_of_an_earlier_start_is_forgotten(self):
        self.state(self.entries[0], 300, 1.0)
        restarted = builders.build_registration("w1", started_ms=2)
        self.entries[0].apply_registration(restarted, 1.0)
        self.assertFalse(self.entries[0].find_server("w1").pace.is_known(1.0))

    def test_load_without_a_pace_changes_nothing(self):
        self.state(self.entries[0], None, 1.0)
        server = self.entries[0].find_server("w1")
        self.assertFalse(server.pace.is_known(1.0))
        self.assertEqual(server.estimate_other_load(1.0), 0.0)
        self.assertEqual(self.entries[0].build_digest(1.0).paces, ())
        self.assertEqual(server.reported_load, 1)


class PaceMachine(RuleBasedStateMachine):
    """Any order of values, reports and pauses leaves an estimate within the values."""

    def __init__(self):
        super().__init__()
        self.pace = server_paces.ServerPace()
        self.now_s = 0.0
        self.lowest = self.highest = 1.0

    def note(self, pace):
        value = min(max(pace / 100, server_paces.MIN_PACE), server_paces.MAX_PACE)
        self.lowest = min(self.lowest, value)
        self.highest = max(self.highest, value)

    @rule(pace=strategies.integers(1, 100_000))
    def record(self, pace):
        self.note(pace)
        self.pace.record(pace, self.now_s)

    @rule(
        source=strategies.sampled_from(("e2", "e3")),
        pace=strategies.integers(-5, 100_000),
        age_ms=strategies.integers(-1_000, 20_000),
    )
    def report(self, source, pace, age_ms):
        self.note(pace)
        report = server_paces.PaceReport("w1", pace, age_ms)
        self.pace.apply_report(source, report, self.now_s)

    @rule(pause_s=strategies.floats(0.0, 30.0))
    def wait(self, pause_s):
        self.now_s += pause_s

    @invariant()
    def estimate_is_within_the_values(self):
        margin = 1e-6 * self.highest
        estimate = self.pace.estimate(self.now_s)
        self._check(self.lowest - margin <= estimate <= self.highest + margin)
        self._check(self.pace.estimate_deviation(self.now_s) >= 0.0)
        self._check(abs(self.pace.estimate(self.now_s + 1_000.0) - 1.0) < 1e-6)

    def _check(self, holds):
        if not holds:
            raise AssertionError(self.pace.estimate(self.now_s))


PaceMachine.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=30, deadline=None
)
PaceMachineTests = PaceMachine.TestCase


class WeightTests(unittest.TestCase):
    @settings(derandomize=True, max_examples=100)
    @given(strategies.lists(strategies.integers(10, 2_000), min_size=1, max_size=30))
    def test_estimate_lies_between_the_usual_pace_and_the_values(self, paces):
        pace = server_paces.ServerPace()
        for number, value in enumerate(paces):
            pace.record(value, 0.1 * number)
        values = [1.0, *(value / 100 for value in paces)]
        estimate = pace.estimate(0.1 * len(paces))
        self.assertLessEqual(min(values) - 1e-9, estimate)
        self.assertGreaterEqual(max(values) + 1e-9, estimate)


if __name__ == "__main__":
    unittest.main()
