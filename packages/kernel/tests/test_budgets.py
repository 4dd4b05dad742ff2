import math
import unittest

import builders
from hypothesis import example, given, settings, strategies

from wasabiknot_kernel import budgets

WINDOW_S = 10.0


def count_requests(requests, now_s):
    # The platform counts them in the window of the retries, in the one before it or in
    # the one half a window before it, whichever has most.
    ends_s = (now_s, now_s - WINDOW_S / 2, now_s - WINDOW_S)
    return max(
        sum(end_s - WINDOW_S < at_s <= end_s for at_s in requests) for end_s in ends_s
    )


class RetryBudgetTests(unittest.TestCase):
    @settings(derandomize=True)
    @given(
        strategies.lists(
            strategies.tuples(strategies.floats(0, 0.5), strategies.booleans()),
            max_size=300,
        )
    )
    def test_retries_stay_within_ratio_and_slack(self, events):
        entry_count = 4
        budget = budgets.RetryBudget(0.2, 10.0, 54.0)
        budget.entry_count = entry_count
        now_s = 0.0
        requests = []
        retries = []
        for gap_s, is_retry in events:
            now_s += gap_s
            if not is_retry:
                requests.append(now_s)
                budget.record_request(now_s)
            elif budget.try_acquire(now_s):
                retries.append(now_s)
            recent_retries = [at_s for at_s in retries if at_s > now_s - 10.0]
            recent_requests = [at_s for at_s in requests if at_s > now_s - 10.0]
            self.assertLessEqual(
                len(recent_retries), 0.2 * len(recent_requests) + 54.0 / entry_count
            )

    @settings(derandomize=True, deadline=None)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from([0.5, 1.0, 2.0, 3.0, 5.0]),
                strategies.booleans(),
                strategies.integers(1, 160),
            ),
            max_size=40,
        )
    )
    @example([(0.0, False, 150), (2.0, True, 70), (3.0, False, 150), (3.0, True, 70)])
    def test_retries_stay_within_bound_after_bursts_of_requests(self, events):
        budget = budgets.RetryBudget(0.2, WINDOW_S, 54.0)
        now_s = 100.0
        requests, retries = [], []
        for gap_s, is_retry, count in events:
            now_s += gap_s
            for _ in range(count):
                if not is_retry:
                    requests.append(now_s)
                    budget.record_request(now_s)
                elif budget.try_acquire(now_s):
                    retries.append(now_s)
            # A window may end at any time until the newest retry has left it.
            for end_s in (now_s + step for step in range(10)):
                recent = sum(end_s - WINDOW_S < at_s <= end_s for at_s in retries)
                bound = 0.2 * count_requests(requests, end_s) + 54.0
                self.assertLessEqual(recent, bound)

    def test_steady_requests_keep_most_of_the_ratio(self):
        budget = budgets.RetryBudget(0.2, WINDOW_S, 0.0)
        for number in range(4_000):
            budget.record_request(number / 100)
        granted = sum(budget.try_acquire(40.0) for _ in range(300))
        self.assertGreaterEqual(granted, 0.94 * budgets.SAFETY_FACTOR * 200)

    def test_single_entry_has_the_whole_slack(self):
        budget = budgets.RetryBudget(0.2, 10.0, 54.0)
        granted = sum(budget.try_acquire(0.0) for _ in range(100))
        self.assertEqual(granted, int(54 * budgets.SAFETY_FACTOR))

    def test_new_limits_apply_at_once(self):
        budget = budgets.RetryBudget(0.2, 10.0, 54.0)
        budget.set_bounds(0.0, 10.0, 0.0)
        self.assertFalse(budget.try_acquire(0.0))


class NewServiceTests(unittest.TestCase):
    def test_first_request_to_a_service_may_be_retried_at_once(self):
        entries = [builders.build_deployment(name) for name in ("e1", "e2")]
        builders.connect_entries(entries, 100.0)
        for tenth in range(1_000, 1_110):
            entries[0].tick(tenth / 10)
        budget = entries[0].get_budget("new")
        granted = sum(budget.try_acquire(111.0) for _ in range(100))
        self.assertEqual(granted, int(54 / 2 * budgets.SAFETY_FACTOR))

    def test_entry_that_has_just_started_has_no_slack_for_a_new_service(self):
        entry = builders.build_deployment()
        self.assertFalse(entry.get_budget("first").try_acquire(100.0))
        entry.tick(100.0)
        self.assertFalse(entry.get_budget("second").try_acquire(100.0))


class RestartTests(unittest.TestCase):
    def test_entries_that_are_cut_off_from_each_other_share_the_slack(self):
        entries = [builders.build_deployment(name) for name in ("e1", "e2", "e3")]
        builders.connect_entries(entries, 100.0)
        granted = 0
        for entry in entries:
            for tenth in range(1_000, 1_400):
                entry.tick(tenth / 10)
            budget = entry.get_budget("pool")
            entry.tick(140.0)
            granted += sum(budget.try_acquire(140.0) for _ in range(100))
        self.assertGreater(granted, 30)
        self.assertLessEqual(granted, 54)

    @settings(derandomize=True, deadline=None)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0, 3.0),
                strategies.sampled_from(["retry", "request", "restart", "restart all"]),
                strategies.integers(1, 40),
            ),
            max_size=40,
        )
    )
    def test_retries_stay_within_bound_when_entries_restart(self, events):
        names = ["e1", "e2", "e3", "e4"]
        entries = {}
        now_s = 100.0
        requests, retries = [], []

        def start(name):
            entries[name] = builders.build_deployment(name)
            builders.connect_entries(list(entries.values()), now_s)

        for name in names:
            start(name)
        for name in names:
            start(name)
        for gap_s, kind, count in events:
            for _ in range(math.ceil(gap_s / 0.5)):
                now_s += 0.5
                for entry in entries.values():
                    entry.tick(now_s)
            name = names[count % len(names)]
            if kind == "restart all":
                for item in names:
                    start(item)
            elif kind == "restart":
                start(name)
            for entry in entries.values():
                budget = entry.get_budget("pool")
                for _ in range(count):
                    if kind == "request":
                        budget.record_request(now_s)
                        requests.append(now_s)
                    elif kind == "retry" and budget.try_acquire(now_s):
                        retries.append(now_s)
            recent_retries = sum(at_s > now_s - WINDOW_S for at_s in retries)
            recent_requests = count_requests(requests, now_s)
            self.assertLessEqual(recent_retries, 0.2 * recent_requests + 54.0)
