import itertools
import unittest

from hypothesis import given, strategies

from wasabiknot_kernel import pacing

LINK_MBPS = 5.0
RATE = LINK_MBPS * 1_000_000 / 8 * pacing.MAX_LINK_SHARE
TICK_S = 0.05


def play(pacer, sizes):
    """Sends digests as soon as they may be sent.

    :return: times and sizes of those that were sent.
    """
    sent = []
    for number, size in enumerate(sizes):
        now_s = number * TICK_S
        if pacer.compute_delay_s(now_s) <= 0:
            pacer.record_send(size, now_s)
            sent.append((now_s, size))
    return sent


class PacerTests(unittest.TestCase):
    def test_ordinary_digests_are_not_delayed(self):
        sizes = [4_000] * 200
        self.assertEqual(len(play(pacing.Pacer(LINK_MBPS), sizes)), 200)

    def test_large_digests_take_a_part_of_the_link(self):
        # Guards against control traffic that fills the link in trouble.
        sent = play(pacing.Pacer(LINK_MBPS), [20_000] * 200)
        # Ten seconds, the burst at the start, and one digest that overdraws it.
        allowed = (10 + pacing.BURST_S) * RATE + 20_000
        self.assertLessEqual(sum(size for _, size in sent), allowed)

    @given(strategies.lists(strategies.integers(100, 200_000), min_size=20))
    def test_peers_hear_often_enough(self, sizes):
        times = [now_s for now_s, _ in play(pacing.Pacer(LINK_MBPS), sizes)]
        gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
        self.assertLess(max(gaps), pacing.MAX_INTERVAL_S + 1.5 * TICK_S)

    def test_unknown_link_is_not_paced(self):
        self.assertEqual(len(play(pacing.Pacer(0), [1_000_000] * 20)), 20)

    def test_burst_after_a_quiet_time_is_sent_at_once(self):
        pacer = pacing.Pacer(LINK_MBPS)
        pacer.record_send(100, 0.0)
        pacer.record_send(RATE * pacing.BURST_S * 0.9, 10.0)
        self.assertEqual(pacer.compute_delay_s(10.0), 0.0)
