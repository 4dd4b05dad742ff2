"""Plays plain requests of very unequal durations at servers that are sound or not."""

import random
import unittest

import builders
import msgspec

from wasabiknot_kernel import assignments, budgets, dispatch, outcomes, routes

STEP_S = 0.02
SERVERS = 4
SLOTS = 16
LOAD_PER_S = 20.0
DURATION_S = 40.0
TIMEOUT_S = 4.0
# When a sender first asks what to do about a silent request, and again after that.
SILENT_FACTOR = 4.0
MIN_SILENT_S = 0.12
ASK_INTERVAL_S = 0.2
NEVER_S = float("inf")
# Time after which the registration of a server that says nothing lapses.
LAPSE_S = 3.6

ROUTE = builders.build_route(
    name="lookup",
    retry_rule=routes.RetryRule.IDEMPOTENT,
    timeout_ms=1_000 * TIMEOUT_S,
    objective_ms=300.0,
    attempts=2,
)


class Run(msgspec.Struct, eq=False):
    """A request at a server.

    :param ticket: the request.
    :param server: its server.
    :param end_s: time at which its response is complete.
    :param ask_s: time at which its sender asks what to do.
    """

    ticket: object
    server: object
    end_s: float
    ask_s: float


class World:
    """One entry before plain servers.

    :param seed: seed of the load.
    :param draw: function of a random generator that returns the duration of a request.
    :param hang_share: share of the sends that get no response.
    :param dark: server id that says nothing, and since when.
    """

    def __init__(self, seed, draw, hang_share=0.0, dark=("", NEVER_S)):
        self.rng = random.Random(seed)
        self.draw = draw
        self.hang_share = hang_share
        self.dark = dark
        self.now_s = 100.0
        self.dispatcher = dispatch.Dispatcher("pool", random.Random(seed))
        self.budget = budgets.RetryBudget(0.2, 10.0, 50.0)
        for number in range(SERVERS):
            registration = builders.build_registration(f"w{number}", slots=SLOTS)
            self.dispatcher.register(registration)
        self.durations = {}
        self.hanging = set()
        self.runs = []
        self.requests = self.answered = self.begun_again = self.hung = 0
        self.hung_answered = 0

    def play(self, duration_s=DURATION_S):
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += STEP_S
            self.advance()
            if self.now_s >= self.dark[1] + LAPSE_S:
                self.dispatcher.remove(self.dark[0])
            if self.rng.random() < LOAD_PER_S * STEP_S:
                self.arrive()
        return self

    def arrive(self):
        self.requests += 1
        ticket = builders.build_ticket(f"q{self.requests}", self.now_s, ROUTE, 0, 0)
        self.durations[ticket.request_id] = self.draw(self.rng)
        self.budget.record_request(self.now_s)
        for decision in self.dispatcher.submit(ticket, self.now_s):
            self.send(decision)

    def send(self, assignment):
        ticket = assignment.ticket
        ticket.sends += 1
        end_s = self.now_s + self.durations[ticket.request_id]
        if ticket.sends == 1 and self.rng.random() < self.hang_share:
            self.hanging.add(ticket.request_id)
            self.hung += 1
            end_s = NEVER_S
        silent_s = max(MIN_SILENT_S, SILENT_FACTOR * assignment.score_ms / 1_000)
        run = Run(ticket, assignment.server, end_s, self.now_s + silent_s)
        self.runs.append(run)

    def is_dark(self, server):
        server_id, since_s = self.dark
        return server.server_id == server_id and self.now_s >= since_s

    def advance(self):
        runs, self.runs = self.runs, []
        for run in runs:
            if self.now_s >= run.ticket.deadline_s:
                self.end(run, outcomes.Outcome.CANCELLED)
            elif self.now_s >= run.end_s and not self.is_dark(run.server):
                self.answer(run)
            elif self.now_s >= run.ask_s:
                self.ask(run)
            else:
                self.runs.append(run)

    def end(self, run, outcome):
        self.dispatcher.record_end(run.ticket, run.server, outcome, self.now_s)

    def answer(self, run):
        run.server.record_life(self.now_s)
        self.end(run, outcomes.Outcome.COMPLETE)
        self.answered += 1
        self.hung_answered += run.ticket.request_id in self.hanging

    def ask(self, run):
        run.server.record_silence(run.server.sends[run.ticket.request_id].sent_s)
        decision = self.dispatcher.replace_silent_server(
            run.ticket, self.budget, True, self.now_s
        )
        if isinstance(decision, assignments.Stay):
            run.ask_s = self.now_s + ASK_INTERVAL_S
            self.runs.append(run)
            return
        is_running = run.end_s < NEVER_S and not self.is_dark(run.server)
        self.begun_again += is_running
        self.end(run, outcomes.Outcome.TIMED_OUT)
        self.send(decision)


def draw_bimodal(rng):
    return rng.choice((0.05, 0.3, 1.0, 2.2))


def draw_long_tailed(rng):
    return min(2.5, rng.lognormvariate(-2.5, 1.1))


def draw_steady(rng):
    return rng.uniform(0.02, 0.06)


class SoundServerTests(unittest.TestCase):
    def test_running_work_is_hardly_begun_again(self):
        # Guards against a request that leaves a server that answers others meanwhile.
        for draw in (draw_bimodal, draw_long_tailed, draw_steady):
            for seed in range(3):
                with self.subTest(draw=draw.__name__, seed=seed):
                    world = World(seed, draw).play()
                    self.assertLessEqual(world.begun_again, 0.01 * world.requests)
                    ended = world.requests - len(world.runs)
                    self.assertGreater(world.answered, 0.98 * ended)

    def test_new_service_begins_nothing_again(self):
        for seed in range(5):
            with self.subTest(seed=seed):
                world = World(seed, draw_bimodal).play(3.0)
                self.assertEqual(world.begun_again, 0)


class FaultyServerTests(unittest.TestCase):
    def test_request_without_a_response_is_sent_again_in_time(self):
        world = World(1, draw_steady, hang_share=0.05).play()
        self.assertGreater(world.hung, 20)
        self.assertGreater(world.hung_answered, 0.9 * world.hung)

    def test_requests_leave_a_server_that_says_nothing_to_any(self):
        for draw in (draw_steady, draw_bimodal):
            with self.subTest(draw=draw.__name__):
                world = World(1, draw, dark=("w1", 110.0)).play()
                lost = world.requests - world.answered - len(world.runs)
                self.assertLess(lost, 0.01 * world.requests)

    def test_without_budget_requests_stay(self):
        world = World(1, draw_steady, hang_share=0.05)
        world.budget = budgets.RetryBudget(0.0, 10.0, 0.0)
        world.play()
        self.assertEqual(world.hung_answered, 0)
