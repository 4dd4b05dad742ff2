"""What an entry has seen of moving versions, and the judgement on it."""

import collections
import enum
import math

import msgspec

from wasabiknot_kernel import digests

MAX_FAILURES = 8
PACE_SAMPLES = 32
PROMPT_TOKENS_PER_UNIT = 16.0
CONDEMN_WEIGHT = 3
CUSTOMER_WEIGHT_CAP = 2
FAILURE_RATIO_FACTOR = 2.0
FAILURE_RATIO_MARGIN = 0.02
SLOW_FACTOR = 1.5
SLOW_SCORE = 4.0
MIN_NEW_SAMPLES = 4
MIN_OLD_SAMPLES = 8
MIN_LOG_DEVIATION = 0.15


class Judgement(enum.Enum):
    """Results of judging a version."""

    GOOD = "good"
    FAILING = "failing"
    SLOW = "slow"


class Analysis(msgspec.Struct, frozen=True):
    """The judgement on the target version of a move.

    :param judgement: good, failing or slow.
    :param good: whole answers behind it, of all entries.
    :param reason: text for the operators.
    """

    judgement: Judgement
    good: int
    reason: str

    @property
    def is_bad(self):
        """Whether the version must receive no more traffic."""
        return self.judgement is not Judgement.GOOD


class Sight(msgspec.Struct):
    """What this entry has seen of one version on one route."""

    good: int = 0
    failures: dict[str, digests.Failure] = {}
    paces: collections.deque = msgspec.field(
        default_factory=lambda: collections.deque(maxlen=PACE_SAMPLES)
    )


class VersionStatsKey(msgspec.Struct, frozen=True):
    """Names a version on a route during a move."""

    service: str
    version: str
    call: str
    move: int


class VersionStatsCollector:
    """Collects what this entry sees of versions while their service moves."""

    def __init__(self):
        self._sights = {}

    def record_success(self, key, pace):
        """Notes a whole answer.

        :param key: ``VersionStatsKey``.
        :param pace: time per unit of work, in milliseconds; ``None`` if unknown.
        """
        sight = self._sights.setdefault(key, Sight())
        sight.good += 1
        if pace is not None:
            sight.paces.append(pace)

    def record_failure(self, key, failure):
        """Notes a failed request; the same content counts once.

        :param key: ``VersionStatsKey``.
        :param failure: customer and content.
        """
        sight = self._sights.setdefault(key, Sight())
        if len(sight.failures) < MAX_FAILURES:
            sight.failures.setdefault(failure.content, failure)

    def list_evidence(self):
        """Summarizes all sights.

        :return: tuple of ``Evidence``.
        """
        return tuple(_summarize(key, sight) for key, sight in self._sights.items())

    def retain_moves(self, moves):
        """Drops what belongs to moves that are no longer watched.

        :param moves: offsets of the watched moves.
        """
        for key in [key for key in self._sights if key.move not in moves]:
            del self._sights[key]


def _summarize(key, sight):
    logs = [math.log(pace) for pace in sight.paces]
    pace = digests.ServiceTimeStats(
        samples=len(logs),
        log_sum=round(sum(logs), 4),
        log_squares=round(sum(value * value for value in logs), 4),
    )
    return digests.Evidence(
        service=key.service,
        version=key.version,
        call=key.call,
        move=key.move,
        good=sight.good,
        failures=tuple(sight.failures.values()),
        pace=pace,
    )


def measure_service_time(request, now_ms):
    """Divides the duration of an attempt by its amount of work.

    :param request: a request whose answer is whole.
    :param now_ms: time of its end.
    :return: milliseconds per unit of work, or ``None`` if it was paused.
    """
    if request.pauses:
        return None
    prompt = request.message.prompt_tokens / PROMPT_TOKENS_PER_UNIT
    duration_ms = max(1, now_ms - request.dispatched_ms)
    return duration_ms / (prompt + request.tokens + 1)


def analyze(move, evidence, is_excused):
    """Judges the target version of a move against the versions beside it.

    Every entry's evidence is looked at by itself, so that faults on one entry or
    one route are not averaged away. Contents count once and a customer's weight
    is bounded if its requests fail on other versions too.

    :param move: the move.
    :param evidence: ``Evidence`` of all entries.
    :param is_excused: function that tells whether a failure says nothing about the
        version.
    :return: a ``Analysis``.
    """
    relevant = [item for item in evidence if item.move == move.offset]
    new = [item for item in relevant if item.version == move.target]
    old = [item for item in relevant if item.version != move.target]
    good = sum(item.good for item in new)
    for call in sorted({item.call for item in new}):
        route_new = [item for item in new if item.call == call]
        route_old = [item for item in old if item.call == call]
        reason = _find_failing(route_new, route_old, is_excused)
        if reason:
            return Analysis(Judgement.FAILING, good, f"{call}: {reason}")
        reason = _find_slow(route_new, route_old)
        if reason:
            return Analysis(Judgement.SLOW, good, f"{call}: {reason}")
    return Analysis(Judgement.GOOD, good, "")


def _collect_failures(evidence, is_excused):
    contents = {}
    for item in evidence:
        for failure in item.failures:
            if not is_excused(failure.content):
                contents[failure.content] = failure.customer
    return collections.Counter(contents.values())


def _find_failing(new, old, is_excused):
    failed = _collect_failures(new, is_excused)
    failed_before = _collect_failures(old, is_excused)
    weight = 0
    for customer, count in failed.items():
        also_before = failed_before[customer] > 0
        weight += min(count, CUSTOMER_WEIGHT_CAP) if also_before else count
    if weight < CONDEMN_WEIGHT:
        return ""
    ratio = weight / (weight + sum(item.good for item in new))
    before = failed_before.total()
    before_ratio = before / max(1, before + sum(item.good for item in old))
    if ratio <= FAILURE_RATIO_FACTOR * before_ratio + FAILURE_RATIO_MARGIN:
        return ""
    return f"{weight} failed requests, {ratio:.0%} against {before_ratio:.0%}"


def _find_slow(new, old):
    usual = _pool(item.pace for item in old)
    if usual.samples < MIN_OLD_SAMPLES:
        return ""
    for pace in [*(item.pace for item in new), _pool(item.pace for item in new)]:
        if pace.samples >= MIN_NEW_SAMPLES and _is_slower(pace, usual):
            ratio = math.exp(pace.mean_log - usual.mean_log)
            return f"{ratio:.1f} times slower"
    return ""


def _is_slower(pace, usual):
    # A z-test on logarithms, with the deviation of the versions beside it: a few
    # slow answers among durations that differ a lot prove nothing.
    excess = pace.mean_log - usual.mean_log
    if excess < math.log(SLOW_FACTOR):
        return False
    deviation = max(MIN_LOG_DEVIATION, usual.log_deviation)
    error = deviation * math.sqrt(1 / pace.samples + 1 / usual.samples)
    return excess / error > SLOW_SCORE


def _pool(paces):
    paces = list(paces)
    return digests.ServiceTimeStats(
        samples=sum(pace.samples for pace in paces),
        log_sum=sum(pace.log_sum for pace in paces),
        log_squares=sum(pace.log_squares for pace in paces),
    )
