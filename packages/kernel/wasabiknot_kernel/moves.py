"""Moves of traffic: share of each version, steps, and their end."""

import msgspec

from wasabiknot_kernel import evidence, fold, records

PLAN_FRACTION = 0.75
MIN_STEP_MS = 1_500
GOOD_AFTER_STEP = (0, 1, 3, 6, 12, 24)
WATCH_MS = 60_000
TAKEOVER_MS = 1_000


class MoveReport(msgspec.Struct, frozen=True):
    """A move as the operators see it.

    :param service: service that moves.
    :param target: version that receives the traffic.
    :param state: state of the move.
    :param share_percent: present share of the target.
    :param due_ms: time by which the wanted share is due.
    :param ended_ms: time of its end; 0 while it runs.
    :param reason: why it ended or what it waits for.
    :param late: whether it runs or ended after its time.
    """

    service: str
    target: str
    state: str
    share_percent: float
    due_ms: int
    ended_ms: int
    reason: str
    late: bool


class VersionChooser:
    """Spreads a service's requests over versions by their shares.

    Uses error diffusion: each request adds every version's share to its balance
    and goes to the largest balance, so a small share is small at any moment.
    """

    def __init__(self):
        self._balances = {}

    def choose(self, service, shares, allowed):
        """Chooses the version of the next request.

        :param service: service name.
        :param shares: versions with their shares in force.
        :param allowed: names of versions that may be used.
        :return: version name, or ``None``.
        """
        usable = [item for item in shares if item.name in allowed]
        usable = [item for item in usable if item.share_percent > 0] or usable
        if not usable:
            return None
        total = sum(item.share_percent for item in usable) or 1.0
        balances = self._balances.setdefault(service, {})
        for item in usable:
            gained = item.share_percent / total
            balances[item.name] = balances.get(item.name, 0.0) + gained
        name = max(usable, key=lambda item: balances[item.name]).name
        balances[name] -= 1.0
        return name


def plan_step_ms(move, step):
    """Works out when a step is due, backwards from the time of the move.

    :param move: the move.
    :param step: number of the step, counted from 1.
    :return: log time in milliseconds.
    """
    steps = len(fold.MOVE_STEPS_PERCENT)
    span = max(0, move.due_ms - move.started_ms) * PLAN_FRACTION
    planned = move.started_ms + span * (step - 1) / steps
    earliest = move.stepped_ms + MIN_STEP_MS if step > 1 else move.started_ms
    return max(planned, earliest)


def is_watched(move, now_ms):
    """Whether faults of the target still end the move.

    :param move: the move.
    :param now_ms: present time.
    :return: ``True`` while it runs and for a while after it has finished.
    """
    if move.state is records.MoveState.RUNNING:
        return True
    if move.state is not records.MoveState.FINISHED:
        return False
    return now_ms - move.ended_ms < WATCH_MS


def decide(move, verdict, now_ms):
    """Decides on the next record of a move.

    :param move: the move.
    :param verdict: judgement on its target.
    :param now_ms: present time.
    :return: a record, or ``None`` if nothing is due.
    """
    prefix = f"{move.service}/{move.offset}"
    if verdict.is_bad:
        return records.MoveEnd(
            record_id=f"{prefix}/taken-back",
            service=move.service,
            move=move.offset,
            state=records.MoveState.ROLLED_BACK,
            reason=verdict.reason,
        )
    if move.state is not records.MoveState.RUNNING:
        return None
    if not _has_evidence(move, verdict):
        return None
    step = move.step + 1
    if now_ms < plan_step_ms(move, step):
        return None
    if move.is_complete:
        return records.MoveEnd(
            record_id=f"{prefix}/finished",
            service=move.service,
            move=move.offset,
            state=records.MoveState.FINISHED,
            reason=f"{verdict.good} whole answers",
        )
    return records.MoveStep(
        record_id=f"{prefix}/step/{step}",
        service=move.service,
        move=move.offset,
        step=step,
    )


def _has_evidence(move, verdict):
    return verdict.good >= GOOD_AFTER_STEP[move.step]


def describe(move, now_ms, verdict=None):
    """Describes a move for the operators.

    :param move: the move.
    :param now_ms: present time.
    :param verdict: judgement on its target, if it runs.
    :return: a ``MoveReport``.
    """
    shares = {item.name: item.share_percent for item in fold.shares_in_force(move)}
    ended = move.ended_ms or now_ms
    reason = move.reason
    if move.state is records.MoveState.RUNNING and verdict is not None:
        reason = _describe_wait(move, verdict, now_ms)
    return MoveReport(
        service=move.service,
        target=move.target,
        state=move.state.value,
        share_percent=shares[move.target],
        due_ms=move.due_ms,
        ended_ms=move.ended_ms,
        reason=reason,
        late=ended > move.due_ms,
    )


def _describe_wait(move, verdict, now_ms):
    if not _has_evidence(move, verdict):
        wanted = GOOD_AFTER_STEP[move.step]
        return f"waits for evidence: {verdict.good} of {wanted} whole answers"
    return "on plan" if now_ms <= move.due_ms else "growing step by step"


def select_watched(state, now_ms):
    """Lists the moves whose target is being judged.

    :param state: folded state.
    :param now_ms: present time.
    :return: list of moves.
    """
    return [move for move in state.moves.values() if is_watched(move, now_ms)]


def select_target_key(move, request):
    """Names what a finished attempt is evidence of.

    :param move: the move of its service.
    :param request: the request.
    :return: ``VersionStatsKey``.
    """
    return evidence.VersionStatsKey(
        service=move.service,
        version=request.version,
        call=request.call.name,
        move=move.offset,
    )
