import collections
import unittest

import builders
from hypothesis import settings, stateful, strategies

from wasabiknot_kernel import allowances, routes

RATE = 20_000.0
BURST = 20_000.0
MAX_TOKENS = 5_000


def build_allowances():
    limiter = allowances.Allowances(builders.TOLERANCE)
    customer = routes.Customer("graz", (), None, RATE, BURST, 200)
    limiter.set_customers({"graz": customer}, 0.0)
    return limiter


class AllowancesTests(unittest.TestCase):
    def test_large_request_is_admitted_with_few_tokens_left(self):
        limiter = build_allowances()
        limiter.charge("graz", BURST - 1, 0.0)
        self.assertEqual(limiter.charge("graz", 50_000, 0.0), 0.0)
        self.assertGreater(limiter.charge("graz", 1, 0.0), 1.0)

    def test_request_is_admitted_after_returned_time(self):
        limiter = build_allowances()
        limiter.charge("graz", BURST * 2, 0.0)
        wait_s = limiter.charge("graz", 100, 0.0)
        self.assertEqual(limiter.charge("graz", 100, wait_s + 0.001), 0.0)

    def test_first_report_of_a_run_charges_nothing(self):
        # A new entry must not charge use from before its start.
        limiter = build_allowances()
        limiter.charge_peer_use(
            "e2", "run-1", {"graz": 5_000_000}, 0.0, limiter.group_used
        )
        self.assertEqual(limiter.charge("graz", 100, 0.0), 0.0)

    def test_reports_of_two_leaders_are_not_both_charged(self):
        limiter = build_allowances()
        limiter.charge_peer_use("graz/0", "run-1", {"graz": 1_000}, 0.0)
        limiter.charge_peer_use("graz/0", "run-2", {"graz": 900}, 0.1)
        limiter.charge_peer_use("graz/0", "run-1", {"graz": 2_000_000}, 0.2)
        self.assertEqual(limiter.charge("graz", 100, 0.2), 0.0)

    def test_next_report_covers_a_lost_one(self):
        limiter = build_allowances()
        limiter.charge_peer_use("e2", "run-1", {"graz": 0}, 0.0, limiter.group_used)
        limiter.charge_peer_use(
            "e2", "run-1", {"graz": 30_000}, 0.0, limiter.group_used
        )
        self.assertGreater(limiter.charge("graz", 100, 0.0), 0.0)
        self.assertEqual(limiter.group_used["graz"], 30_000)

    def test_lower_limit_applies_at_once(self):
        limiter = build_allowances()
        lower = routes.Customer("graz", (), None, 100.0, 100.0, 200)
        limiter.set_customers({"graz": lower}, 1.0)
        self.assertEqual(limiter.charge("graz", 200, 1.0), 0.0)
        self.assertGreater(limiter.charge("graz", 200, 1.0), 0.9)

    def test_minority_stays_within_the_tolerance(self):
        limiter = build_allowances()
        limiter.set_member_counts(5, 8, 0.0)
        majority = limiter.compute_rate(RATE, BURST)
        limiter.set_member_counts(3, 8, 0.0)
        minority = limiter.compute_rate(RATE, BURST)
        excess_tokens = 0.1 * (RATE * 8 + BURST) + 140_000
        self.assertEqual(majority, RATE)
        self.assertLess(minority * 8, excess_tokens)


class ReportingDelayTests(unittest.TestCase):
    GROUPS = 10
    DELAY_S = 0.8

    def simulate(self, compensates):
        # A customer sends six times its limit, spread evenly over all groups. Each
        # group gets the reports of the others after a delay.
        groups = [build_allowances() for _ in range(self.GROUPS)]
        for group in groups:
            group.set_reporting_delay(
                self.GROUPS - 1 if compensates else 0, self.DELAY_S
            )
        now_s = 0.0
        admitted = []
        for step in range(200):
            now_s += 0.05
            if step % 16 == 15:
                for group in groups:
                    for number, other in enumerate(groups):
                        if other is not group:
                            used = {"graz": other.used["graz"]}
                            group.charge_peer_use(
                                f"g{number}", "r", used, now_s, group.remote_used
                            )
            for group in groups:
                for _ in range(6):
                    tokens = RATE * 0.05 / self.GROUPS
                    if group.charge("graz", tokens, now_s) == 0.0:
                        admitted.append((now_s, tokens))
        return sum(tokens for at_s, tokens in admitted if at_s <= 8.0)

    def test_unreported_use_is_estimated(self):
        limit = (RATE * 8 + BURST) * 1.1
        self.assertGreater(self.simulate(compensates=False), limit)
        self.assertLess(self.simulate(compensates=True), limit)

    def test_full_limit_can_be_used(self):
        self.assertGreater(self.simulate(compensates=True), 0.85 * RATE * 8)


class SharedAllowances(stateful.RuleBasedStateMachine):
    """Entries that admit requests, with network partitions between them."""

    COUNT = 5

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.entries = [
            builders.build_deployment(f"e{number}") for number in range(self.COUNT)
        ]
        table = routes.RouteTable(builders.build_configuration(1, RATE, BURST))
        builders.connect_entries(self.entries, 0.0)
        for entry in self.entries:
            entry.apply_configuration(table, 0.0)
        self.minority = set()
        self.admissions = collections.deque()
        self.exchange_digests(rounds=2)

    def exchange_digests(self, rounds=1):
        for _ in range(rounds):
            self.now_s += 0.1
            for entry in self.entries:
                entry.tick(self.now_s)
                digest = entry.build_digest(self.now_s)
                for other in self.entries:
                    is_connected = (entry in self.minority) == (other in self.minority)
                    if other is not entry and is_connected:
                        other.apply_digest(digest, self.now_s)

    @stateful.rule(size=strategies.integers(0, 2))
    def partition(self, size):
        self.minority = set(self.entries[:size])

    @stateful.rule(rounds=strategies.integers(1, 15))
    def wait(self, rounds):
        self.exchange_digests(rounds)

    @stateful.rule(
        entry=strategies.integers(0, COUNT - 1),
        tokens=strategies.integers(1, MAX_TOKENS),
    )
    def send_requests(self, entry, tokens):
        for _ in range(20):
            limiter = self.entries[entry].allowances
            if limiter.charge("graz", tokens, self.now_s) == 0.0:
                self.admissions.append((self.now_s, tokens))

    @stateful.invariant()
    def use_stays_within_tolerance(self):
        tolerance = builders.TOLERANCE
        start_s = self.now_s - tolerance.window_s
        while self.admissions and self.admissions[0][0] <= start_s:
            self.admissions.popleft()
        allowed = (RATE * tolerance.window_s + BURST) * (1 + tolerance.ratio)
        used = sum(tokens for _, tokens in self.admissions)
        assert used <= allowed + tolerance.slack_tokens, used


SharedAllowances.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)
SharedAllowancesTests = SharedAllowances.TestCase
