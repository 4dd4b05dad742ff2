import unittest

from twisted.internet import epollreactor

from wasabiknot_entry import eventloops


class Clock:
    def __init__(self):
        self.now_s = 10.0

    def read(self):
        return self.now_s


class LoopClockTests(unittest.TestCase):
    def setUp(self):
        self.time = Clock()
        self.clock = eventloops.LoopClock(self.time.read)

    def poll(self, waited_s, timeout_s=-1):
        begun_s = self.time.now_s
        self.time.now_s += waited_s
        self.clock.record_poll(begun_s, timeout_s)

    def test_input_after_an_idle_poll_has_just_come(self):
        self.poll(0.0)
        self.time.now_s = 11.0
        self.poll(2.0)
        self.assertEqual(self.clock.readable_since_s, 13.0)

    def test_input_after_a_long_turn_may_have_waited_as_long(self):
        self.poll(0.0)
        self.time.now_s = 11.2
        self.poll(0.0)
        self.assertEqual(self.clock.readable_since_s, 10.0)
        self.assertAlmostEqual(self.clock.pop_longest_delay_s(), 1.2)
        self.assertEqual(self.clock.pop_longest_delay_s(), 0.0)

    def test_input_may_have_waited_for_the_processor(self):
        self.poll(0.0)
        self.poll(1.3, 0.1)
        self.assertEqual(self.clock.readable_since_s, 10.0)
        self.assertAlmostEqual(self.clock.pop_longest_delay_s(), 1.2)

    def test_poll_that_ends_at_its_timeout_is_not_late(self):
        self.poll(0.0)
        self.poll(0.11, 0.1)
        self.assertAlmostEqual(self.clock.readable_since_s, 10.11)
        self.assertLess(self.clock.pop_longest_delay_s(), 0.02)

    def test_present_turn_counts(self):
        self.poll(0.0)
        self.time.now_s = 10.7
        self.assertAlmostEqual(self.clock.pop_longest_delay_s(), 0.7)

    def test_loop_that_is_not_watched_is_never_behind(self):
        self.time.now_s = 20.0
        self.assertEqual(self.clock.readable_since_s, 20.0)
        self.assertEqual(self.clock.pop_longest_delay_s(), 0.0)


class WatchTests(unittest.TestCase):
    def test_turns_of_a_reactor_are_seen(self):
        reactor = epollreactor.EPollReactor()
        clock = eventloops.watch(reactor)
        reactor.iterate(0)
        reactor.iterate(0)
        self.assertGreaterEqual(clock.turn, 2)

    def test_reactor_of_another_kind_is_not_watched(self):
        class Reactor:
            def seconds(self):
                return 5.0

        clock = eventloops.watch(Reactor())
        self.assertEqual(clock.turn, 0)
