import collections
import math
import random
import unittest

import builders
from hypothesis import given, settings, stateful, strategies

from wasabiknot_kernel import allowances, deployments, routes

RATE = 20_000.0
BURST = 20_000.0
MAX_TOKENS = 5_000


def build_allowances():
    limiter = allowances.Allowances(builders.TOLERANCE)
    customer = routes.Customer("graz", (), None, RATE, BURST, 200)
    limiter.set_customers({"graz": customer}, -10.0)
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


class RefundTests(unittest.TestCase):
    def test_use_that_peers_take_back_leaves_the_limit_usable(self):
        # Guards against an exception for each request of a customer whose requests a
        # peer has refused: they are refunded, and its reported use falls.
        limiter = build_allowances()
        limiter.set_reporting_delay(5, 0.4)
        for used in (0, 4_000, 1_000):
            report = {"graz": used}
            limiter.charge_peer_use("e2", "r", report, 0.0, limiter.group_used)
        self.assertEqual(limiter.charge("graz", 100, 5.0), 0.0)
        limiter.charge_peer_use("e2", "r", {"graz": 0}, 5.0, limiter.group_used)
        self.assertEqual(limiter.charge("graz", 100, 5.0), 0.0)

    @settings(derandomize=True)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["charge", "refund", "peer", "group"]),
                strategies.integers(0, 60_000),
                strategies.floats(0.0, 3.0),
            ),
            max_size=40,
        ),
        strategies.integers(0, 40),
    )
    def test_any_order_of_charges_refunds_and_reports_is_answered(self, steps, groups):
        limiter = build_allowances()
        limiter.set_reporting_delay(groups, 0.8)
        now_s = 0.0
        for kind, tokens, pause_s in steps:
            now_s += pause_s
            if kind == "charge":
                self.assertGreaterEqual(limiter.charge("graz", tokens, now_s), 0.0)
            elif kind == "refund":
                limiter.refund("graz", tokens)
            else:
                counter = limiter.group_used if kind == "peer" else None
                limiter.charge_peer_use(kind, "r", {"graz": tokens}, now_s, counter)
        self.assertGreaterEqual(limiter.charge("graz", 100, now_s + 1.0), 0.0)


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


class RestartLoad:
    """One customer at seven entries, which are killed and started again."""

    ENTRIES = 7
    RATE = 175_000.0
    STEP_S = 0.01
    RESTART_S = 1.0

    def __init__(self, load, cost, kills):
        self.load = load
        self.cost = cost
        self.kills = list(kills)
        self.now_s = 0.0
        self.rng = random.Random(1)
        self.entries = {}
        self.runs = collections.Counter()
        self.due_s = dict.fromkeys(range(self.ENTRIES), 0.0)
        self.admitted_s = []
        self.refused = 0

    def start(self, number):
        entry = allowances.Allowances(builders.TOLERANCE)
        customer = routes.Customer("graz", ("k",), None, self.RATE, self.RATE, 200)
        entry.set_customers({"graz": customer}, self.now_s)
        entry.set_member_counts(self.ENTRIES, self.ENTRIES, self.now_s)
        self.entries[number] = entry
        self.runs[number] += 1

    def play(self, duration_s=24.0):
        for step in range(round(duration_s / self.STEP_S)):
            self.now_s = step * self.STEP_S
            while self.kills and self.kills[0][0] <= self.now_s:
                _, number = self.kills.pop(0)
                self.entries.pop(number, None)
                self.due_s[number] = self.now_s + self.RESTART_S
            for number, due_s in self.due_s.items():
                if number not in self.entries and self.now_s >= due_s:
                    self.start(number)
            # The traffic starts when the buckets of the first start have filled.
            if self.now_s > 3.0:
                self.send()
            if step % 10 == 0:
                self.exchange()

    def send(self):
        count = self.load * self.RATE * self.STEP_S / self.cost
        for _ in range(int(count) + (self.rng.random() < count % 1)):
            entry = self.entries.get(self.rng.randrange(self.ENTRIES))
            if entry is None:
                continue
            if entry.charge("graz", self.cost, self.now_s) == 0:
                self.admitted_s.append(self.now_s)
            else:
                self.refused += 1

    def exchange(self):
        for number, entry in self.entries.items():
            for other_number, other in self.entries.items():
                if other_number != number:
                    run = str(self.runs[number])
                    used = dict(entry.used)
                    other.charge_peer_use(str(number), run, used, self.now_s)

    def find_most_tokens(self):
        window = collections.deque()
        most = 0
        for at_s in self.admitted_s:
            window.append(at_s)
            while window[0] < at_s - builders.TOLERANCE.window_s:
                window.popleft()
            most = max(most, len(window))
        return most * self.cost


class RestartTests(unittest.TestCase):
    IN_TURN = [(10.0 + number, number) for number in range(7)]
    QUICK = [(10.0 + number / 2, number % 7) for number in range(14)]
    HERDS = [(at_s, number) for at_s in (10.0, 12.0, 14.0) for number in range(7)]

    def test_busy_customer_stays_within_its_limit_while_entries_restart(self):
        limit = RestartLoad.RATE * (builders.TOLERANCE.window_s + 1)
        bound = limit * (1 + builders.TOLERANCE.ratio)
        bound += builders.TOLERANCE.slack_tokens
        for kills in (self.IN_TURN, self.QUICK, self.HERDS):
            load = RestartLoad(5.0, 1_000, kills)
            load.play()
            self.assertLessEqual(load.find_most_tokens(), bound)

    def test_customer_within_its_limit_is_hardly_refused_after_restarts(self):
        for kills in (self.IN_TURN, self.HERDS):
            load = RestartLoad(0.5, 7_000, kills)
            load.play()
            self.assertLess(load.refused, 0.02 * len(load.admitted_s))


class LargeFleetTests(unittest.TestCase):
    """Groups before one customer, with requests of very unequal sizes."""

    GROUPS = 20
    STEP_S = 0.05
    DURATION_S = 30.0
    WINDOW_S = 8.0
    # Reports of other groups arrive once in this time, and are as old then.
    REPORT_S = 0.4
    MEAN_TOKENS = 2_000
    # Length of the sizes' distribution, as of prompts of some tokens to some thousands.
    SIGMA = 1.2
    # Fraction of the tolerance that use without a report may take.
    UNREPORTED_FRACTION = 0.0

    def play(self, rate, use, hot_from_s=math.inf, hot_factor=1.0, seed=1):
        """Plays a customer; returns the refused share and what was admitted, by time.

        :param use: use as a fraction of the limit.
        """
        rng = random.Random(seed)
        customer = routes.Customer("graz", (), None, rate, rate, 200)
        groups = [allowances.Allowances(builders.TOLERANCE) for _ in range(self.GROUPS)]
        for group in groups:
            group.set_customers({"graz": customer}, -10.0)
            group.set_reporting_delay(self.GROUPS - 1, 2 * self.REPORT_S)
            group.unreported_fraction = self.UNREPORTED_FRACTION
        asked = refused = 0
        admitted = []
        now_s = 0.0
        due_s = [rng.uniform(0, self.REPORT_S) for _ in groups]
        on_way = []
        while now_s < self.DURATION_S:
            now_s += self.STEP_S
            self._report(groups, due_s, on_way, now_s)
            factor = hot_factor if now_s >= hot_from_s else 1.0
            expected = factor * use * rate * self.STEP_S / self.MEAN_TOKENS
            for _ in range(self._draw_count(rng, expected)):
                mu = math.log(self.MEAN_TOKENS) - self.SIGMA**2 / 2
                tokens = rng.lognormvariate(mu, self.SIGMA)
                asked += 1
                group = rng.choice(groups)
                if group.charge("graz", tokens, now_s):
                    refused += 1
                else:
                    admitted.append((now_s, tokens))
        return refused / asked, admitted

    def _draw_count(self, rng, expected):
        count = 0
        left = rng.expovariate(1.0)
        while left < expected:
            count += 1
            left += rng.expovariate(1.0)
        return count

    def _report(self, groups, due_s, on_way, now_s):
        for number, group in enumerate(groups):
            if now_s >= due_s[number]:
                due_s[number] += self.REPORT_S
                used = {"graz": group.used["graz"]}
                on_way.append((now_s + self.REPORT_S, number, used))
        while on_way and on_way[0][0] <= now_s:
            _, number, used = on_way.pop(0)
            for other in groups:
                if other is not groups[number]:
                    other.charge_peer_use(f"g{number}", "r", used, now_s)

    def find_most_used(self, admitted):
        """Finds the most tokens that were admitted in one window."""
        most = 0.0
        first = 0
        total = 0.0
        for at_s, tokens in admitted:
            total += tokens
            while admitted[first][0] < at_s - self.WINDOW_S:
                total -= admitted[first][1]
                first += 1
            most = max(most, total)
        return most

    def test_customer_well_below_its_limit_is_hardly_refused(self):
        # Guards against extrapolating a single request of a group to all groups.
        for rate in (36_000.0, 106_000.0, 500_000.0):
            with self.subTest(rate=rate):
                refused, _ = self.play(rate, 1 / 1.8)
                self.assertLess(refused, 0.02)

    def test_customer_far_beyond_its_limit_stays_within_the_bound(self):
        for rate in (36_000.0, 106_000.0, 500_000.0):
            for seed in range(3):
                with self.subTest(rate=rate, seed=seed):
                    _, admitted = self.play(rate, 1 / 1.8, 10.0, 7.5, seed)
                    bound = (rate * self.WINDOW_S + rate) * 1.1 + 140_000
                    self.assertLess(self.find_most_used(admitted), bound)


class UnreportedUseTests(LargeFleetTests):
    """The same bounds hold where use without a report takes part of the tolerance."""

    UNREPORTED_FRACTION = deployments.UNREPORTED_FRACTION


class HeldBackTests(unittest.TestCase):
    """A customer with a large limit at few groups, with six times its usual load."""

    def play(self, fraction):
        play = LargeFleetTests()
        play.GROUPS = 6
        play.REPORT_S = 0.2
        play.DURATION_S = 14.0
        play.UNREPORTED_FRACTION = fraction
        rate = 1_078_472.0
        _, admitted = play.play(rate, 1 / 1.8, 8.0, 6.1)
        bound = (rate * play.WINDOW_S + rate) * 1.1 + 140_000
        self.assertLess(play.find_most_used(admitted), bound)
        surge = [tokens for at_s, tokens in admitted if 8.0 <= at_s < 10.0]
        return sum(surge) / rate

    def test_fewer_tokens_are_held_back(self):
        # Guards against refusals while the limit leaves tokens in the bucket.
        before = self.play(0.0)
        after = self.play(deployments.UNREPORTED_FRACTION)
        self.assertGreater(after, before + 0.1)

    def test_nothing_is_spent_beside_entries_that_are_not_reached(self):
        limiter = build_allowances()
        limiter.unreported_fraction = deployments.UNREPORTED_FRACTION
        limiter.set_reporting_delay(5, 0.4)
        limiter.set_member_counts(8, 8, 0.0)
        for _ in range(100):
            limiter.charge("graz", BURST / 200, 0.0)
        self.assertEqual(limiter.charge("graz", 100, 0.0), 0.0)
        limiter.set_member_counts(7, 8, 0.0)
        self.assertGreater(limiter.charge("graz", 100, 0.0), 0.0)
