"""Plays loads with and without hedges; each names its load and what callers get."""

import unittest

import hedgeplays
import plays
from hypothesis import given, settings, strategies

from wasabiknot_kernel import budgets

SHARE = 0.05
SEEDS = (1, 2, 3)
DURATION_S = 20.0
# By how much plays differ that decide one send otherwise.
NOISE = 0.1


def play(load, share=SHARE):
    return hedgeplays.Play(load, share).play()


class Pair:
    """Several loads that differ by their seeds, played without and with hedges."""

    def __init__(self, share_of_capacity, **options):
        loads = [
            hedgeplays.Load(seed, share_of_capacity, DURATION_S, **options)
            for seed in SEEDS
        ]
        self.before = [play(load, 0.0) for load in loads]
        self.after = [play(load) for load in loads]

    @staticmethod
    def find_percentile_s(played, percent):
        merged = sorted(item for each in played for item in each.waits_s)
        return merged[int(percent / 100 * len(merged))]

    def compute_change(self, percent):
        after_s = self.find_percentile_s(self.after, percent)
        return after_s / self.find_percentile_s(self.before, percent)

    def compute_extra_work(self):
        before_s = sum(item.busy_s for item in self.before)
        return sum(item.busy_s for item in self.after) / before_s - 1.0

    def sum_after(self, name):
        return sum(getattr(item, name) for item in self.after)

    def sum_before(self, name):
        return sum(getattr(item, name) for item in self.before)


class HedgeLoadTests(unittest.TestCase):
    def check_limits(self, pair):
        for item in pair.after:
            self.assertLessEqual(item.hedges, SHARE * item.sends)
            requests = len(item.waits_s) + item.refused
            part = budgets.HEDGE_FRACTION * 0.2 * requests
            self.assertLessEqual(item.hedges, part)

    def test_slowest_responses_are_shorter_while_there_is_room(self):
        # Half of what the servers bear; one send in 33 takes twelve times as long.
        pair = Pair(0.5)
        self.check_limits(pair)
        self.assertLess(pair.compute_change(99), 0.8)
        self.assertLess(pair.compute_change(50), 1.0 + NOISE)
        late_before = sum(item.count_late() for item in pair.before)
        late_after = sum(item.count_late() for item in pair.after)
        self.assertLess(late_after, 0.8 * late_before)
        self.assertLess(pair.compute_extra_work(), SHARE)
        self.assertEqual(pair.sum_after("refused"), 0)

    def test_hardly_any_hedge_is_sent_beyond_the_capacity(self):
        # Guards against extra work that makes an overload worse.
        pair = Pair(1.3)
        self.assertLess(pair.sum_after("hedges"), 0.005 * pair.sum_after("sends"))
        before = pair.sum_before("refused")
        self.assertGreater(before, 0)
        self.assertLess(abs(pair.sum_after("refused") - before), NOISE * before)

    def test_spell_in_which_all_servers_are_slow_gets_no_storm_of_hedges(self):
        # All sends of 4 s are slow then; a hedge of each would double the load.
        pair = Pair(0.4, slow_spell=(8.0, 12.0))
        self.check_limits(pair)
        self.assertLess(pair.compute_extra_work(), SHARE)

    def test_spell_in_which_all_servers_are_slow_harms_no_caller(self):
        # Guards against hedges that take the slots of requests that wait.
        pair = Pair(0.4, slow_spell=(8.0, 12.0))
        self.assertLess(pair.compute_change(99), 1.0 + NOISE)
        self.assertLessEqual(pair.sum_after("refused"), pair.sum_before("refused"))

    def test_lost_digests_change_neither_limits_nor_effect(self):
        pair = Pair(0.5, digest_loss=0.7)
        self.check_limits(pair)
        self.assertLess(pair.compute_change(99), 0.8)

    def test_servers_without_stuck_sends_lose_nothing(self):
        pair = Pair(0.4, stuck_share=0.0)
        self.check_limits(pair)
        for percent in (50, 95, 99):
            self.assertLess(pair.compute_change(percent), 1.0 + NOISE)
        self.assertLess(pair.compute_extra_work(), SHARE)

    @settings(plays.SETTINGS, max_examples=12)
    @given(
        strategies.integers(0, 1_000),
        strategies.floats(0.1, 1.5),
        strategies.floats(0.0, 1.0),
        strategies.floats(0.0, 0.3),
    )
    def test_each_request_ends_once_and_no_slot_stays_taken(
        self, seed, share_of_capacity, hedge_share, stuck_share
    ):
        load = hedgeplays.Load(seed, share_of_capacity, 5.0, stuck_share=stuck_share)
        played = play(load, hedge_share)
        self.assertLessEqual(played.hedges, hedge_share * played.sends)
        self.assertEqual(len(played.waits_s), played.sends - played.hedges)
        for entry in played.entries.values():
            servers = entry.get_dispatcher("pool").servers.values()
            self.assertEqual(sum(len(item.sends) for item in servers), 0)
