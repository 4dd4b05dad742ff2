import collections
import unittest

import builders
from hypothesis import settings, stateful, strategies

from wasabiknot_kernel import allowances, routes

RATE = 20_000.0
BURST = 20_000.0
LARGEST = 5_000


def build_allowances():
    built = allowances.Allowances(builders.TOLERANCE)
    customer = routes.Customer("graz", (), None, RATE, BURST, 200)
    built.set_customers({"graz": customer}, 0.0)
    return built


class AllowancesTests(unittest.TestCase):
    def test_large_request_goes_in_with_little_left(self):
        built = build_allowances()
        built.take("graz", BURST - 1, 0.0)
        self.assertEqual(built.take("graz", 50_000, 0.0), 0.0)
        self.assertGreater(built.take("graz", 1, 0.0), 1.0)

    def test_return_time_finds_room(self):
        built = build_allowances()
        built.take("graz", BURST * 2, 0.0)
        wait_s = built.take("graz", 100, 0.0)
        self.assertEqual(built.take("graz", 100, wait_s + 0.001), 0.0)

    def test_first_digest_of_a_run_charges_nothing(self):
        # An entry that starts late must not pay for what was let in before.
        built = build_allowances()
        built.take_peer("e2", "run-1", {"graz": 5_000_000}, 0.0, built.relayed)
        self.assertEqual(built.take("graz", 100, 0.0), 0.0)

    def test_two_leaders_of_a_group_are_not_both_charged(self):
        built = build_allowances()
        built.take_peer("graz/0", "run-1", {"graz": 1_000}, 0.0)
        built.take_peer("graz/0", "run-2", {"graz": 900}, 0.1)
        built.take_peer("graz/0", "run-1", {"graz": 2_000_000}, 0.2)
        self.assertEqual(built.take("graz", 100, 0.2), 0.0)

    def test_lost_digest_is_made_up_for(self):
        built = build_allowances()
        built.take_peer("e2", "run-1", {"graz": 0}, 0.0, built.relayed)
        built.take_peer("e2", "run-1", {"graz": 30_000}, 0.0, built.relayed)
        self.assertGreater(built.take("graz", 100, 0.0), 0.0)
        self.assertEqual(built.relayed["graz"], 30_000)

    def test_lower_limit_holds_at_once(self):
        built = build_allowances()
        lower = routes.Customer("graz", (), None, 100.0, 100.0, 200)
        built.set_customers({"graz": lower}, 1.0)
        self.assertEqual(built.take("graz", 200, 1.0), 0.0)
        self.assertGreater(built.take("graz", 200, 1.0), 0.9)

    def test_minority_shares_what_is_tolerated(self):
        built = build_allowances()
        built.set_members(5, 8, 0.0)
        majority = built.find_rate(RATE, BURST)
        built.set_members(3, 8, 0.0)
        minority = built.find_rate(RATE, BURST)
        spare = 0.1 * (RATE * 8 + BURST) + 140_000
        self.assertEqual(majority, RATE)
        self.assertLess(minority * 8, spare)


class UnheardTests(unittest.TestCase):
    GROUPS = 10
    DELAY_S = 0.8

    def play(self, unheard):
        # A customer asks for six times its limit, at all groups alike; each hears
        # of the others' use after a while.
        groups = [build_allowances() for _ in range(self.GROUPS)]
        for group in groups:
            group.set_unheard(self.GROUPS - 1 if unheard else 0, self.DELAY_S)
        now_s = 0.0
        admitted = []
        for step in range(200):
            now_s += 0.05
            if step % 16 == 15:
                for group in groups:
                    for number, other in enumerate(groups):
                        if other is not group:
                            used = {"graz": other.used["graz"]}
                            group.take_peer(f"g{number}", "r", used, now_s, group.rest)
            for group in groups:
                for _ in range(6):
                    tokens = RATE * 0.05 / self.GROUPS
                    if group.take("graz", tokens, now_s) == 0.0:
                        admitted.append((now_s, tokens))
        return sum(tokens for at_s, tokens in admitted if at_s <= 8.0)

    def test_use_that_is_not_heard_yet_is_reckoned_with(self):
        limit = (RATE * 8 + BURST) * 1.1
        self.assertGreater(self.play(unheard=False), limit)
        self.assertLess(self.play(unheard=True), limit)

    def test_limit_itself_can_be_used(self):
        self.assertGreater(self.play(unheard=True), 0.85 * RATE * 8)


class SharedAllowances(stateful.RuleBasedStateMachine):
    """Entries that let requests in, with cuts between them."""

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
            entry.take_configuration(table, 0.0)
        self.cut = set()
        self.taken = collections.deque()
        self.talk(rounds=2)

    def talk(self, rounds=1):
        for _ in range(rounds):
            self.now_s += 0.1
            for entry in self.entries:
                entry.tick(self.now_s)
                digest = entry.build_digest(self.now_s)
                for other in self.entries:
                    same_side = (entry in self.cut) == (other in self.cut)
                    if other is not entry and same_side:
                        other.take_digest(digest, self.now_s)

    @stateful.rule(size=strategies.integers(0, 2))
    def cut_off(self, size):
        self.cut = set(self.entries[:size])

    @stateful.rule(rounds=strategies.integers(1, 15))
    def wait(self, rounds):
        self.talk(rounds)

    @stateful.rule(
        entry=strategies.integers(0, COUNT - 1), tokens=strategies.integers(1, LARGEST)
    )
    def ask(self, entry, tokens):
        for _ in range(20):
            limits = self.entries[entry].allowances
            if limits.take("graz", tokens, self.now_s) == 0.0:
                self.taken.append((self.now_s, tokens))

    @stateful.invariant()
    def use_stays_within_the_tolerance(self):
        tolerance = builders.TOLERANCE
        start_s = self.now_s - tolerance.window_s
        while self.taken and self.taken[0][0] <= start_s:
            self.taken.popleft()
        allowed = (RATE * tolerance.window_s + BURST) * (1 + tolerance.ratio)
        used = sum(tokens for _, tokens in self.taken)
        assert used <= allowed + tolerance.slack_tokens, used


SharedAllowances.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)
SharedAllowancesTests = SharedAllowances.TestCase
