"""Outcomes of sends to backend servers, and the retry decision."""

import enum

import msgspec

from wasabiknot_kernel import exceptions


class Outcome(enum.Enum):
    """Outcome of one send to a backend server.

    ``RESPONSE_LOST`` also covers a response to another request and a stream that ends
    within an event; ``ENDLESS`` is a response that is longer, or takes longer to read,
    than any that was asked for; ``WITHDRAWN`` was not sent, as the server was drained
    while the connection was opened. The values appear in logs and metrics.
    """

    COMPLETE = "whole"
    FAILED = "failed"
    REJECTED = "rejected"
    RESPONSE_LOST = "lost"
    ENDLESS = "endless"
    UNREACHABLE = "unreached"
    TIMED_OUT = "silent"
    CANCELLED = "cancelled"
    WITHDRAWN = "withdrawn"


# Outcomes after which the backend server certainly did not run the request.
NOT_EXECUTED = frozenset({Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.WITHDRAWN})
# Outcomes of requests that were not sent; they count as no attempt.
NOT_SENT = frozenset({Outcome.UNREACHABLE, Outcome.WITHDRAWN})
# Outcomes by which the backend server is not judged.
UNJUDGED = frozenset({Outcome.CANCELLED, Outcome.WITHDRAWN})
# Failures after which the backend server is left alone for a time.
BACKED_OFF = frozenset({Outcome.UNREACHABLE, Outcome.TIMED_OUT, Outcome.ENDLESS})
# Obstacles to another send, for the log.
NO_ATTEMPTS = "no attempts left"
NO_BUDGET = "no retry budget left"


class Step(enum.Enum):
    """What to do after a send has ended. The values appear in logs."""

    RESEND = "resend"
    WAIT_FOR_BUDGET = "wait"
    FORWARD_RESPONSE = "pass-on"
    REFUSE = "refuse"
    REPORT_UNKNOWN = "give-up"


class RetryDecision(msgspec.Struct, frozen=True):
    """The decision after a send has ended.

    :param step: what to do.
    :param kind: error kind of the response to the caller, if any.
    :param reason: short text for the log.
    """

    step: Step
    kind: exceptions.ErrorKind | None = None
    reason: str = ""


def decide_next_step(ticket, outcome, now_s, min_send_s, budget):
    """Decides whether to retry a request after a send has ended.

    A request that must not run twice is retried only if it certainly did not run.
    Attempts and the retry budget bound the extra load while backend servers crash,
    reject requests or lose responses. A response that has begun may return to an
    earlier server after the last attempt was rejected.

    :param ticket: ``arrivals.Ticket``; its sends include the one that ended.
    :param outcome: ``Outcome``.
    :param now_s: current time, in seconds.
    :param min_send_s: minimum seconds that another send needs to succeed.
    :param budget: ``budgets.RetryBudget`` of the service.
    :return: ``RetryDecision``.
    """
    if outcome in (Outcome.COMPLETE, Outcome.CANCELLED):
        return RetryDecision(Step.FORWARD_RESPONSE)
    has_time = now_s + min_send_s < ticket.deadline_s
    if outcome in NOT_SENT:
        if has_time:
            return RetryDecision(Step.RESEND, reason="not sent")
        return _end_not_run(ticket, "no time left")
    if outcome is not Outcome.REJECTED and not ticket.route.is_repeatable:
        return _end_possibly_run(outcome, "may run once")
    may_return = outcome is Outcome.REJECTED and bool(ticket.returnable_to)
    obstacle = _find_retry_obstacle(ticket, has_time, may_return, now_s, budget)
    if not obstacle:
        return RetryDecision(Step.RESEND, reason=outcome.value)
    if outcome is Outcome.REJECTED:
        return _end_not_run(ticket, obstacle)
    return _end_possibly_run(outcome, obstacle)


def find_resend_obstacle(ticket, has_time):
    """Tells what keeps a request from another send, whatever the retry budget.

    :param ticket: ``arrivals.Ticket``.
    :param has_time: whether there is time for another send before its deadline.
    :return: short text for the log; empty for nothing.
    """
    if not has_time:
        return "no time left"
    if ticket.sends >= ticket.route.attempts:
        return NO_ATTEMPTS
    return ""


def _find_retry_obstacle(ticket, has_time, may_return, now_s, budget):
    obstacle = find_resend_obstacle(ticket, has_time)
    if may_return and obstacle == NO_ATTEMPTS:
        obstacle = ""
    if not obstacle and not budget.try_acquire(now_s):
        return NO_BUDGET
    return obstacle


def _end_not_run(ticket, reason):
    # An earlier send may have run the request. The response must then not claim that
    # the request was not executed.
    if ticket.may_have_run:
        return RetryDecision(
            Step.REPORT_UNKNOWN, exceptions.ErrorKind.OUTCOME_UNKNOWN, reason
        )
    return RetryDecision(Step.REFUSE, exceptions.ErrorKind.QUEUE_FULL, reason)


def _end_possibly_run(outcome, reason):
    if outcome is Outcome.FAILED:
        return RetryDecision(Step.FORWARD_RESPONSE, reason=reason)
    return RetryDecision(
        Step.REPORT_UNKNOWN, exceptions.ErrorKind.OUTCOME_UNKNOWN, reason
    )
