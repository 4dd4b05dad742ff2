"""Plays a service whose servers are all silent at once, with full queues."""

import random
import unittest

import builders
import test_harmful_load
from hypothesis import given, settings, strategies

from wasabiknot_kernel import assignments, dispatch, outcomes, routes

STEP_S = 0.025
SERVERS = 3
SLOTS = 6
START_S = 6.0
# Time after the silence from which callers find room again.
RESUMED_S = 1.5
DURATION_S = 14.0


class QueueWorld:
    """One entry before a service that is silent once.

    :param seed: seed of the load.
    :param load: requests as a share of what the servers can run.
    :param silence_s: duration of the silence in seconds.
    :param timeout_s: time in seconds that a caller gives a request.
    :param is_engine: whether the service has model engines.
    """

    def __init__(self, seed, load, silence_s, timeout_s, is_engine):
        self.rng = random.Random(seed)
        self.run_s = 0.6
        self.load_per_s = load * SERVERS * SLOTS / self.run_s
        self.silence_s = silence_s
        self.timeout_s = timeout_s
        self.is_engine = is_engine
        self.now_s = 0.0
        self.requests = 0
        self.in_flight = []
        # Times of arrival of all requests, and of those that were refused.
        self.arrived_s = []
        self.refused_s = []
        self.dispatcher = dispatch.Dispatcher("pool", random.Random(seed))
        if is_engine:
            self.dispatcher.set_engine(builders.ENGINE)
        for number in range(SERVERS):
            registration = builders.build_registration(f"w{number}", slots=SLOTS)
            self.dispatcher.register(registration)

    @property
    def is_silent(self):
        return START_S <= self.now_s < START_S + self.silence_s

    def play(self):
        while self.now_s < DURATION_S:
            self.now_s += STEP_S
            self.work()
            if self.rng.random() < self.load_per_s * STEP_S:
                self.arrive()
            self.apply(self.dispatcher.refuse_expired(self.now_s))
            self.apply(self.dispatcher.dispatch_waiting(self.now_s))
        return self

    def work(self):
        for item in list(self.in_flight):
            assignment = item[0]
            ticket, server = assignment.ticket, assignment.server
            if self.now_s >= ticket.deadline_s:
                self.end(item, outcomes.Outcome.CANCELLED)
                continue
            if self.is_silent:
                continue
            item[1] -= STEP_S
            if item[1] < self.run_s - 0.1:
                self.dispatcher.record_first_event(ticket, server, self.now_s)
            if item[1] <= 0:
                self.end(item, outcomes.Outcome.COMPLETE)

    def end(self, item, outcome):
        self.in_flight.remove(item)
        assignment = item[0]
        self.dispatcher.record_end(
            assignment.ticket, assignment.server, outcome, self.now_s
        )

    def arrive(self):
        self.requests += 1
        rule = routes.RetryRule.STREAM if self.is_engine else routes.RetryRule.ONCE
        route = builders.build_route(retry_rule=rule, timeout_ms=self.timeout_s * 1_000)
        ticket = builders.build_ticket(f"q{self.requests}", self.now_s, route)
        self.arrived_s.append(self.now_s)
        self.apply(self.dispatcher.submit(ticket, self.now_s))

    def apply(self, decisions):
        for decision in decisions:
            if isinstance(decision, assignments.Refusal):
                self.refused_s.append(decision.ticket.arrived_s)
            else:
                run_s = self.run_s * self.rng.uniform(0.8, 1.2)
                self.in_flight.append([decision, run_s])


SETTINGS = settings(test_harmful_load.SETTINGS, max_examples=25)


class QueueTests(unittest.TestCase):
    @SETTINGS
    @given(
        strategies.integers(0, 1_000),
        strategies.floats(0.2, 0.7),
        strategies.floats(0.8, 2.0),
        strategies.sampled_from([3.5, 10.0]),
        strategies.booleans(),
    )
    def test_callers_find_room_when_the_servers_go_on(
        self, seed, load, silence_s, timeout_s, is_engine
    ):
        world = QueueWorld(seed, load, silence_s, timeout_s, is_engine).play()
        resumed_s = START_S + silence_s + RESUMED_S
        late = [at_s for at_s in world.refused_s if at_s > resumed_s]
        self.assertEqual(late, [])
        self.assertGreater(max(world.arrived_s), resumed_s + 1.0)
