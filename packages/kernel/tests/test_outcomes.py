import unittest

import builders
from hypothesis import given, settings, strategies

from wasabiknot_kernel import budgets, outcomes, routes

Outcome = outcomes.Outcome
Step = outcomes.Step
FAILURES = [
    Outcome.FAILED,
    Outcome.REJECTED,
    Outcome.RESPONSE_LOST,
    Outcome.UNREACHABLE,
    Outcome.TIMED_OUT,
]
ROUTES = [
    builders.build_route(retry_rule=routes.RetryRule.ONCE),
    builders.build_route(retry_rule=routes.RetryRule.IDEMPOTENT),
    builders.build_route(is_resumable=False),
    builders.build_route(is_resumable=True),
]


def run_sends(route, sequence, slack=100.0):
    """Runs one request through a sequence of send outcomes.

    :return: the last decision, the number of runs, and the number of sends that reached
        a backend server.
    """
    ticket = builders.build_ticket(route=route)
    budget = budgets.RetryBudget(0.2, 10.0, slack)
    runs = 0
    reached = 0
    decision = None
    for step, outcome in enumerate(sequence):
        ticket.sends += 1
        if outcome is Outcome.UNREACHABLE:
            ticket.sends -= 1
        else:
            reached += 1
        if outcome not in outcomes.NOT_EXECUTED:
            ticket.may_have_run = True
            runs += 1
        decision = outcomes.decide_next_step(ticket, outcome, 0.01 * step, 0.02, budget)
        if decision.step is not Step.RESEND:
            break
    return decision, runs, reached


class DecideNextStepTests(unittest.TestCase):
    @settings(derandomize=True, max_examples=400)
    @given(
        strategies.sampled_from(ROUTES),
        strategies.lists(strategies.sampled_from(FAILURES), min_size=1, max_size=12),
    )
    def test_guarantees_hold_for_every_sequence(self, route, sequence):
        decision, runs, reached = run_sends(route, sequence)
        if not route.is_repeatable:
            self.assertLessEqual(runs, 1)
        self.assertLessEqual(reached, route.attempts)
        if decision.step is Step.REFUSE:
            self.assertEqual(runs, 0)
        if runs == 0 and decision.step is not Step.RESEND:
            self.assertIs(decision.step, Step.REFUSE)

    def test_rejected_request_is_resent(self):
        decision, _, _ = run_sends(ROUTES[0], [Outcome.REJECTED])
        self.assertIs(decision.step, Step.RESEND)

    def test_lost_request_is_not_resent_unless_repeatable(self):
        decision, _, _ = run_sends(ROUTES[0], [Outcome.RESPONSE_LOST])
        self.assertIs(decision.step, Step.REPORT_UNKNOWN)

    def test_request_is_not_resent_without_retry_budget(self):
        decision, _, _ = run_sends(ROUTES[1], [Outcome.RESPONSE_LOST], slack=0.0)
        self.assertIs(decision.step, Step.REPORT_UNKNOWN)

    def test_error_response_is_forwarded(self):
        decision, _, _ = run_sends(ROUTES[0], [Outcome.FAILED])
        self.assertIs(decision.step, Step.FORWARD_RESPONSE)

    def test_unexecuted_request_is_refused_without_time_left(self):
        ticket = builders.build_ticket()
        budget = budgets.RetryBudget(0.2, 10.0, 100.0)
        decision = outcomes.decide_next_step(
            ticket, Outcome.UNREACHABLE, ticket.deadline_s, 0.02, budget
        )
        self.assertIs(decision.step, Step.REFUSE)


class ReturnTests(unittest.TestCase):
    """A stream whose last attempt was rejected, with an earlier server to return to."""

    def setUp(self):
        route = builders.build_route(is_resumable=True)
        self.ticket = builders.build_ticket(route=route)
        self.ticket.sends = route.attempts
        self.ticket.tried = {"w1", "w2"}
        self.ticket.rejected_by = {"w2"}
        self.ticket.may_have_run = self.ticket.is_begun = True

    def decide(self, outcome=Outcome.REJECTED, slack=100.0):
        budget = budgets.RetryBudget(0.0, 10.0, slack)
        return outcomes.decide_next_step(self.ticket, outcome, 0.0, 0.02, budget)

    def test_stream_returns_to_a_server_that_has_not_rejected_it(self):
        self.assertIs(self.decide().step, Step.RESEND)
        self.ticket.rejected_by.add("w1")
        self.assertEqual(self.decide().reason, outcomes.NO_ATTEMPTS)

    def test_return_needs_retry_budget(self):
        self.assertEqual(self.decide(slack=0.0).reason, outcomes.NO_BUDGET)

    def test_stream_does_not_return_after_another_outcome(self):
        for outcome in (Outcome.RESPONSE_LOST, Outcome.TIMED_OUT, Outcome.FAILED):
            decision = self.decide(outcome)
            self.assertEqual(decision.reason, outcomes.NO_ATTEMPTS)

    def test_request_that_is_not_sent_again_uses_retry_budget(self):
        budget = budgets.RetryBudget(0.0, 10.0, 1.01 / budgets.SAFETY_FACTOR)
        for now_s in (0.0, self.ticket.deadline_s):
            lost = Outcome.RESPONSE_LOST
            outcomes.decide_next_step(self.ticket, lost, now_s, 0.02, budget)
            self.assertTrue(budget.try_acquire(now_s))
            budget = budgets.RetryBudget(0.0, 10.0, 1.01 / budgets.SAFETY_FACTOR)

    def test_response_that_has_not_begun_does_not_return(self):
        self.ticket.is_begun = False
        self.assertEqual(self.decide().reason, outcomes.NO_ATTEMPTS)
