import unittest

import builders
from hypothesis import given, settings, strategies

from wasabiknot_kernel import budgets, outcomes, routes

Outcome = outcomes.Outcome
Step = outcomes.Step
ENDS = [
    Outcome.FAILED,
    Outcome.REJECTED,
    Outcome.CONNECTION_LOST,
    Outcome.UNREACHABLE,
    Outcome.TIMED_OUT,
]
ROUTES = [
    builders.build_route(repetition=routes.Repetition.ONCE),
    builders.build_route(repetition=routes.Repetition.IDEMPOTENT),
    builders.build_route(is_resumable=False),
    builders.build_route(is_resumable=True),
]


def play(route, ends, slack=100.0):
    """Plays the sends of one request.

    :return: the last verdict, the runs, and the sends that reached a server.
    """
    ticket = builders.build_ticket(route=route)
    budget = budgets.RetryBudget(0.2, 10.0, slack)
    runs = 0
    arrived = 0
    verdict = None
    for step, outcome in enumerate(ends):
        ticket.sends += 1
        if outcome is Outcome.UNREACHABLE:
            ticket.sends -= 1
        else:
            arrived += 1
        if outcome not in outcomes.NOT_EXECUTED:
            ticket.may_have_run = True
            runs += 1
        verdict = outcomes.decide_next_step(ticket, outcome, 0.01 * step, 0.02, budget)
        if verdict.step is not Step.RESEND:
            break
    return verdict, runs, arrived


class DecideStepTests(unittest.TestCase):
    @settings(derandomize=True, max_examples=400)
    @given(
        strategies.sampled_from(ROUTES),
        strategies.lists(strategies.sampled_from(ENDS), min_size=1, max_size=12),
    )
    def test_promises_of_every_sequence(self, route, ends):
        verdict, runs, arrived = play(route, ends)
        if not route.is_repeatable:
            self.assertLessEqual(runs, 1)
        self.assertLessEqual(arrived, route.attempts)
        if verdict.step is Step.REFUSE:
            self.assertEqual(runs, 0)
        if runs == 0 and verdict.step is not Step.RESEND:
            self.assertIs(verdict.step, Step.REFUSE)

    def test_rejected_request_goes_elsewhere(self):
        verdict, _, _ = play(ROUTES[0], [Outcome.REJECTED])
        self.assertIs(verdict.step, Step.RESEND)

    def test_lost_request_that_may_run_once_ends_at_once(self):
        verdict, _, _ = play(ROUTES[0], [Outcome.CONNECTION_LOST])
        self.assertIs(verdict.step, Step.REPORT_UNKNOWN)

    def test_without_budget_nothing_is_repeated(self):
        verdict, _, _ = play(ROUTES[1], [Outcome.CONNECTION_LOST], slack=0.0)
        self.assertIs(verdict.step, Step.REPORT_UNKNOWN)

    def test_answer_of_a_failure_is_passed_on(self):
        verdict, _, _ = play(ROUTES[0], [Outcome.FAILED])
        self.assertIs(verdict.step, Step.FORWARD_ANSWER)

    def test_without_time_a_request_that_did_not_run_is_refused(self):
        ticket = builders.build_ticket()
        budget = budgets.RetryBudget(0.2, 10.0, 100.0)
        verdict = outcomes.decide_next_step(
            ticket, Outcome.UNREACHABLE, ticket.deadline_s, 0.02, budget
        )
        self.assertIs(verdict.step, Step.REFUSE)
