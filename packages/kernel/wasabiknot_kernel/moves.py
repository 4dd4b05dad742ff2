"""Rollouts: gradual moves of a service's traffic to a new version.

The log contains each step of a rollout and its end, so all entries use the same
shares.
"""

import msgspec

from wasabiknot_kernel import evidence, fold, records

# Part of the time of a rollout over which its steps are spread.
SCHEDULE_FRACTION = 0.75
# Minimum time between two steps.
MIN_STEP_MS = 1_500
# Complete responses of the target version that are required to continue, by number of
# steps taken.
MIN_SUCCESSES_AFTER_STEP = (0, 1, 3, 6, 12, 24)
# Time after its end during which a finished rollout can still be rolled back.
MONITORING_MS = 60_000
# Delay per rank before an entry appends a record. The entry of the next rank takes over
# if those before it have failed.
TAKEOVER_DELAY_MS = 1_000


class MoveReport(msgspec.Struct, frozen=True):
    """The status of a rollout, as shown to operators.

    :param service: service name.
    :param target: version that receives the traffic.
    :param state: value of ``records.MoveState``.
    :param share_percent: current share of the target version.
    :param due_ms: Unix time in milliseconds by which the rollout should be finished.
    :param ended_ms: log time of its end; 0 while it runs.
    :param reason: why it ended, or what it waits for.
    :param late: whether it ended, or still runs, after its due time.
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
    """Distributes the requests of a service over its versions by their shares.

    This is smooth weighted round-robin: each request adds the share of every version
    to the version's balance and goes to the version with the largest balance. So the
    requests of each version are spread evenly, even if its share is small.
    """

    def __init__(self):
        self._balances = {}

    def choose(self, service, shares, allowed):
        """Chooses the version of the next request.

        :param service: service name.
        :param shares: ``services.Version`` items with the shares in force.
        :param allowed: names of the versions that may be used.
        :return: version name, or ``None`` if none of the versions is allowed.
        """
        usable = [item for item in shares if item.name in allowed]
        usable = [item for item in usable if item.share_percent > 0] or usable
        if not usable:
            return None
        total = sum(item.share_percent for item in usable) or 1.0
        balances = self._balances.setdefault(service, {})
        for item in usable:
            fraction = item.share_percent / total
            balances[item.name] = balances.get(item.name, 0.0) + fraction
        name = max(usable, key=lambda item: balances[item.name]).name
        balances[name] -= 1.0
        return name


def compute_step_due_ms(move, step):
    """Computes when a step of a rollout is due.

    The steps are spread evenly over ``SCHEDULE_FRACTION`` of the rollout's time.

    :param move: ``fold.Move``.
    :param step: number of the step, counted from 1.
    :return: log time in milliseconds.
    """
    steps = len(fold.MOVE_STEPS_PERCENT)
    span_ms = max(0, move.due_ms - move.started_ms) * SCHEDULE_FRACTION
    planned_ms = move.started_ms + span_ms * (step - 1) / steps
    earliest_ms = move.stepped_ms + MIN_STEP_MS if step > 1 else move.started_ms
    return max(planned_ms, earliest_ms)


def is_monitored(move, now_ms):
    """Tells whether a rollout is rolled back if its target version is bad.

    :param move: ``fold.Move``.
    :param now_ms: current time in Unix milliseconds.
    :return: ``True`` while it runs and for ``MONITORING_MS`` after it has finished.
    """
    if move.state is records.MoveState.RUNNING:
        return True
    if move.state is not records.MoveState.FINISHED:
        return False
    return now_ms - move.ended_ms < MONITORING_MS


def decide_next_record(move, analysis, now_ms):
    """Decides which record continues or ends a rollout.

    :param move: ``fold.Move``.
    :param analysis: ``evidence.Analysis`` of its target version.
    :param now_ms: current time in Unix milliseconds.
    :return: ``records.MoveStep``, ``records.MoveEnd``, or ``None`` if nothing is due.
    """
    prefix = f"{move.service}/{move.offset}"
    if analysis.is_bad:
        return records.MoveEnd(
            record_id=f"{prefix}/taken-back",
            service=move.service,
            move=move.offset,
            state=records.MoveState.ROLLED_BACK,
            reason=analysis.reason,
        )
    if move.state is not records.MoveState.RUNNING:
        return None
    if not _has_enough_evidence(move, analysis):
        return None
    step = move.step + 1
    if now_ms < compute_step_due_ms(move, step):
        return None
    if move.is_complete:
        return records.MoveEnd(
            record_id=f"{prefix}/finished",
            service=move.service,
            move=move.offset,
            state=records.MoveState.FINISHED,
            reason=f"{analysis.successes} whole answers",
        )
    return records.MoveStep(
        record_id=f"{prefix}/step/{step}",
        service=move.service,
        move=move.offset,
        step=step,
    )


def _has_enough_evidence(move, analysis):
    return analysis.successes >= MIN_SUCCESSES_AFTER_STEP[move.step]


def describe(move, now_ms, analysis=None):
    """Describes a rollout for operators.

    :param move: ``fold.Move``.
    :param now_ms: current time in Unix milliseconds.
    :param analysis: ``evidence.Analysis`` of its target version, or ``None``.
    :return: ``MoveReport``.
    """
    shares = {item.name: item.share_percent for item in fold.compute_shares(move)}
    end_ms = move.ended_ms or now_ms
    reason = move.reason
    if move.state is records.MoveState.RUNNING and analysis is not None:
        reason = _describe_wait(move, analysis, now_ms)
    return MoveReport(
        service=move.service,
        target=move.target,
        state=move.state.value,
        share_percent=shares[move.target],
        due_ms=move.due_ms,
        ended_ms=move.ended_ms,
        reason=reason,
        late=end_ms > move.due_ms,
    )


def _describe_wait(move, analysis, now_ms):
    if not _has_enough_evidence(move, analysis):
        required = MIN_SUCCESSES_AFTER_STEP[move.step]
        return f"waits for evidence: {analysis.successes} of {required} whole answers"
    return "on plan" if now_ms <= move.due_ms else "growing step by step"


def list_monitored(state, now_ms):
    """Lists the rollouts whose target version is monitored.

    :param state: ``fold.State``.
    :param now_ms: current time in Unix milliseconds.
    :return: list of ``fold.Move``.
    """
    return [move for move in state.moves.values() if is_monitored(move, now_ms)]


def build_stats_key(move, request):
    """Builds the key of the statistics to which an ended attempt counts.

    :param move: ``fold.Move`` of the request's service.
    :param request: ``requests.Request``.
    :return: ``evidence.VersionStatsKey``.
    """
    return evidence.VersionStatsKey(
        service=move.service,
        version=request.version,
        call=request.call.name,
        move=move.offset,
    )
