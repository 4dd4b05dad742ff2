import random
import unittest

import builders
import msgspec

from wasabiknot_kernel import dispatch, durations, outcomes, routes, server_scores


class DurationTests(unittest.TestCase):
    def test_nine_of_ten_responses_end_before_the_estimate(self):
        rng = random.Random(1)
        draws = {
            "steady": lambda: 0.05,
            "uniform": lambda: rng.uniform(0.05, 2.2),
            "exponential": lambda: rng.expovariate(1 / 0.4),
        }
        for name, draw in draws.items():
            with self.subTest(name=name):
                learned = durations.Durations()
                for _ in range(400):
                    learned.add(name, draw())
                longest_s = learned.estimate_longest_s(name)
                later = [draw() for _ in range(400)]
                in_time = sum(1 for item in later if item <= longest_s)
                self.assertGreater(in_time, 360)
                self.assertLess(longest_s, 6 * sum(later) / len(later))

    def test_routes_are_learned_apart_and_are_bounded(self):
        learned = durations.Durations()
        self.assertIsNone(learned.estimate_longest_s("slow"))
        for number in range(2 * durations.MAX_ROUTES):
            learned.add(f"r{number}", 0.1)
            learned.add("slow", 2.0)
        self.assertEqual(learned.estimate_longest_s("slow"), 3.0)
        self.assertIsNone(learned.estimate_longest_s("r0"))


class EstimateTests(unittest.TestCase):
    def test_plain_requests_are_estimated_from_complete_responses(self):
        dispatcher = dispatch.Dispatcher("pool", random.Random(1))
        dispatcher.register(builders.build_registration())
        route = builders.build_route(
            retry_rule=routes.RetryRule.IDEMPOTENT, objective_ms=400.0
        )
        ticket = builders.build_ticket(route=route, output=0)
        self.assertEqual(dispatcher.estimate_longest_s(ticket), 0.4)
        for number in range(20):
            sent = builders.build_ticket(f"s{number}", route=route, output=0)
            (assignment,) = dispatcher.submit(sent, 0.0)
            dispatcher.record_end(
                sent, assignment.server, outcomes.Outcome.COMPLETE, 3.0
            )
        # Longer than the samples of the load balancing, which are clipped at 2 s.
        self.assertAlmostEqual(dispatcher.estimate_longest_s(ticket), 4.5)

    def test_streams_are_estimated_from_their_tokens(self):
        dispatcher = builders.build_dispatcher()
        short = builders.build_ticket(output=60)
        long = builders.build_ticket(output=600)
        short_s = dispatcher.estimate_longest_s(short)
        # 10 events of the reference engine take 0.2 s.
        self.assertGreater(short_s, 0.27)
        self.assertLess(short_s, 0.6)
        longer_s = dispatcher.estimate_longest_s(long) - short_s
        self.assertAlmostEqual(longer_s, 90 * 0.02 * server_scores.OUTPUT_LENGTH_MARGIN)

    def test_stream_may_take_as_long_as_its_maximum_length_whatever_its_caller_guesses(
        self,
    ):
        dispatcher = builders.build_dispatcher()
        ticket = builders.build_ticket(output=600)
        guessed = msgspec.structs.replace(ticket.arrival, expected_output_tokens=12.0)
        hinted = msgspec.structs.replace(ticket, arrival=guessed)
        self.assertEqual(
            dispatcher.estimate_longest_s(hinted), dispatcher.estimate_longest_s(ticket)
        )
