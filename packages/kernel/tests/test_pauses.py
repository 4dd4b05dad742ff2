import unittest

from hypothesis import given, strategies

from wasabiknot_kernel import pauses

TICK_S = 0.1


class PauseDetectorTests(unittest.TestCase):
    def setUp(self):
        self.detector = pauses.PauseDetector()
        self.now_s = 50.0

    def tick(self, count=1):
        paused_s = []
        for _ in range(count):
            self.now_s += TICK_S
            paused_s.append(self.detector.check(self.now_s))
        return max(paused_s)

    @given(strategies.floats(pauses.MAX_GAP_S + 0.01, 100.0))
    def test_entry_is_held_for_a_moment_after_a_pause(self, paused_s):
        self.setUp()
        self.tick(10)
        self.now_s += paused_s
        self.assertAlmostEqual(self.detector.check(self.now_s), paused_s)
        self.assertTrue(self.detector.is_held(self.now_s))
        self.tick(round(pauses.HOLD_S / TICK_S) + 1)
        self.assertFalse(self.detector.is_held(self.now_s))

    @given(strategies.lists(strategies.floats(0.0, pauses.MAX_GAP_S), max_size=50))
    def test_late_ticks_of_a_slow_vm_hold_nothing(self, gaps_s):
        self.setUp()
        self.tick()
        for gap_s in gaps_s:
            self.now_s += gap_s
            self.assertEqual(self.detector.check(self.now_s), 0.0)
            self.assertFalse(self.detector.is_held(self.now_s))

    def test_start_is_no_pause(self):
        self.assertEqual(self.detector.check(1e6), 0.0)
        self.assertFalse(self.detector.is_held(1e6))
