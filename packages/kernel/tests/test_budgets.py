import unittest

from hypothesis import given, settings, strategies

from wasabiknot_kernel import budgets


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

    def test_single_entry_has_the_whole_slack(self):
        budget = budgets.RetryBudget(0.2, 10.0, 54.0)
        granted = sum(budget.try_acquire(0.0) for _ in range(100))
        self.assertEqual(granted, int(54 * budgets.SAFETY_FACTOR))

    def test_new_limits_apply_at_once(self):
        budget = budgets.RetryBudget(0.2, 10.0, 54.0)
        budget.set_bounds(0.0, 10.0, 0.0)
        self.assertFalse(budget.try_acquire(0.0))
