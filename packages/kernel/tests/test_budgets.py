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
    def test_repeats_stay_within_ratio_and_slack(self, steps):
        members = 4
        budget = budgets.RetryBudget(0.2, 10.0, 54.0)
        budget.members = members
        now_s = 0.0
        requests = []
        repeats = []
        for gap_s, is_repeat in steps:
            now_s += gap_s
            if not is_repeat:
                requests.append(now_s)
                budget.record_request(now_s)
            elif budget.try_acquire(now_s):
                repeats.append(now_s)
            recent = [at_s for at_s in repeats if at_s > now_s - 10.0]
            asked = [at_s for at_s in requests if at_s > now_s - 10.0]
            self.assertLessEqual(len(recent), 0.2 * len(asked) + 54.0 / members)

    def test_lone_entry_has_the_whole_slack(self):
        budget = budgets.RetryBudget(0.2, 10.0, 54.0)
        taken = sum(budget.try_acquire(0.0) for _ in range(100))
        self.assertEqual(taken, int(54 * budgets.SAFETY_FACTOR))

    def test_new_bounds_hold_at_once(self):
        budget = budgets.RetryBudget(0.2, 10.0, 54.0)
        budget.set_bounds(0.0, 10.0, 0.0)
        self.assertFalse(budget.try_acquire(0.0))
