"""How a request to a backend server ended, and what is done next."""

import enum

import msgspec

from wasabiknot_kernel import exceptions


class Outcome(enum.Enum):
    """Ends of one send to a backend server."""

    WHOLE = "whole"
    FAILED = "failed"
    REJECTED = "rejected"
    LOST = "lost"
    UNREACHED = "unreached"
    SILENT = "silent"
    CANCELLED = "cancelled"


# Ends after which the request has certainly not run.
NOT_RUN = frozenset({Outcome.REJECTED, Outcome.UNREACHED})


class Step(enum.Enum):
    """What is done after a send has ended."""

    RESEND = "resend"
    PASS_ON = "pass-on"
    REFUSE = "refuse"
    GIVE_UP = "give-up"


class Verdict(msgspec.Struct, frozen=True):
    """The decision after a send.

    :param step: what is done.
    :param kind: kind of error of the final answer, if there is one.
    :param reason: short text for the log.
    """

    step: Step
    kind: exceptions.ErrorKind | None = None
    reason: str = ""


def decide_step(ticket, outcome, now_s, least_s, budget):
    """Decides what follows the end of a send.

    A request that may run once is sent again only if it certainly did not run.
    Answers the load of workers that crash, reject and lose answers.

    :param ticket: ``arrivals.Ticket``; its sends include the one that ended.
    :param outcome: ``Outcome``.
    :param now_s: present time.
    :param least_s: least time in which another send can succeed.
    :param budget: ``budgets.RetryBudget`` of the service.
    :return: ``Verdict``.
    """
    if outcome in (Outcome.WHOLE, Outcome.CANCELLED):
        return Verdict(Step.PASS_ON)
    has_time = now_s + least_s < ticket.deadline_s
    if outcome is Outcome.UNREACHED:
        if has_time:
            return Verdict(Step.RESEND, reason="not sent")
        return _end_unrun(ticket, "no time left")
    if outcome is not Outcome.REJECTED and not ticket.route.is_repeatable:
        return _end_run(outcome, "may run once")
    blocked = _find_block(ticket, has_time, now_s, budget)
    if not blocked:
        return Verdict(Step.RESEND, reason=outcome.value)
    if outcome is Outcome.REJECTED:
        return _end_unrun(ticket, blocked)
    return _end_run(outcome, blocked)


def _find_block(ticket, has_time, now_s, budget):
    if not has_time:
        return "no time left"
    if ticket.sends >= ticket.route.attempts:
        return "no attempts left"
    if not budget.try_acquire(now_s):
        return "no retry budget left"
    return ""


def _end_unrun(ticket, reason):
    # An earlier send may have run; then the answer must not say that none has.
    if ticket.has_run:
        return Verdict(Step.GIVE_UP, exceptions.ErrorKind.OUTCOME_UNKNOWN, reason)
    return Verdict(Step.REFUSE, exceptions.ErrorKind.QUEUE_FULL, reason)


def _end_run(outcome, reason):
    if outcome is Outcome.FAILED:
        return Verdict(Step.PASS_ON, reason=reason)
    return Verdict(Step.GIVE_UP, exceptions.ErrorKind.OUTCOME_UNKNOWN, reason)
