import random
import unittest

import builders

from wasabiknot_kernel import choosers, dispatch, outcomes


def build_dispatcher(name, slots=2):
    chooser = choosers.create_chooser(name)
    dispatcher = dispatch.Dispatcher("pool", random.Random(1), chooser)
    dispatcher.set_engine(builders.ENGINE)
    for number in range(3):
        registration = builders.build_registration(f"w{number}", slots=slots)
        dispatcher.register(registration)
    return dispatcher


def submit(dispatcher, count):
    assignments = []
    for number in range(count):
        assignments += dispatcher.submit(builders.build_ticket(f"q{number}"), 0.0)
    return assignments


class ChooserTests(unittest.TestCase):
    def test_default_policy_queues_requests_without_a_free_slot(self):
        dispatcher = build_dispatcher(choosers.DEFAULT_NAME)
        self.assertEqual(len(submit(dispatcher, 8)), 6)
        self.assertEqual(len(dispatcher), 2)

    def test_first_come_baselines_ignore_slots(self):
        for name in ("random", "fewest-reported"):
            with self.subTest(name):
                dispatcher = build_dispatcher(name)
                self.assertEqual(len(submit(dispatcher, 8)), 8)

    def test_fewest_reported_uses_the_newest_response(self):
        dispatcher = build_dispatcher("fewest-reported")
        for number, reported in enumerate((4, 0, 2)):
            dispatcher.servers[f"w{number}"].reported_load = reported
        names = {item.server.server_id for item in submit(dispatcher, 5)}
        self.assertEqual(names, {"w1"})

    def test_round_robin_rotates_and_respects_slots(self):
        dispatcher = build_dispatcher("tiered-round-robin")
        assignments = submit(dispatcher, 8)
        names = [item.server.server_id for item in assignments]
        self.assertEqual(sorted(names), ["w0", "w0", "w1", "w1", "w2", "w2"])

    def test_all_policies_release_their_slots(self):
        for name in choosers.list_names():
            with self.subTest(name):
                dispatcher = build_dispatcher(name)
                for item in submit(dispatcher, 4):
                    complete = outcomes.Outcome.COMPLETE
                    dispatcher.record_end(item.ticket, item.server, complete, 1.0)
                running = [len(item.sends) for item in dispatcher.servers.values()]
                self.assertEqual(running, [0, 0, 0])

    def test_unknown_name_is_an_error(self):
        with self.assertRaises(KeyError):
            choosers.create_chooser("best")
