"""Collects results of versions during a rollout and detects bad versions."""

import collections
import enum
import math

import msgspec

from wasabiknot_kernel import digests

# Maximum number of failed requests in the evidence of a version on a route.
MAX_FAILURES = 8
# Number of the latest complete responses whose service times are kept.
MAX_SERVICE_TIMES = 32
# Prompt tokens that count as much work as one response token.
PROMPT_TOKENS_PER_UNIT = 16.0
# A version is failing if its weighted number of failures reaches this minimum and its
# failure rate exceeds the limit that follows from the rate of the other versions.
MIN_FAILURE_WEIGHT = 3
# Maximum weight of a customer whose requests fail on the other versions too.
CUSTOMER_WEIGHT_CAP = 2
# The limit is the failure rate of the other versions times the factor, plus the margin.
FAILURE_RATIO_FACTOR = 2.0
FAILURE_RATIO_MARGIN = 0.02
# A version is slow if its mean service time exceeds that of the other versions by this
# factor and the z-score of the difference exceeds the maximum.
MAX_SLOWDOWN = 1.5
MAX_SLOWDOWN_Z_SCORE = 4.0
# Samples needed to compare service times, of the new and of the other versions.
MIN_NEW_SAMPLES = 4
MIN_OLD_SAMPLES = 8
# Lower bound of the expected standard deviation of logarithmic service times.
MIN_LOG_DEVIATION = 0.15


class Finding(enum.Enum):
    """Findings of the analysis of a version."""

    GOOD = "good"
    FAILING = "failing"
    SLOW = "slow"


class Analysis(msgspec.Struct, frozen=True):
    """The analysis of the target version of a rollout.

    :param finding: whether the version is good, failing or slow.
    :param good: number of complete responses of the version, from all entries.
    :param reason: explanation for the operators; empty for a good version.
    """

    finding: Finding
    good: int
    reason: str

    @property
    def is_bad(self):
        """Whether the version must receive no more traffic."""
        return self.finding is not Finding.GOOD


class VersionStats(msgspec.Struct):
    """Results of one version on one route at this entry.

    :param good: number of complete responses.
    :param failures: failed requests, by content hash.
    :param service_times: milliseconds per unit of work of the latest complete
        responses.
    """

    good: int = 0
    failures: dict[str, digests.Failure] = {}
    service_times: collections.deque = msgspec.field(
        default_factory=lambda: collections.deque(maxlen=MAX_SERVICE_TIMES)
    )


class VersionStatsKey(msgspec.Struct, frozen=True):
    """Identifies a version on a route during a rollout.

    :param service: service name.
    :param version: version name.
    :param call: call name, which is the route.
    :param move: offset of the publication that started the rollout.
    """

    service: str
    version: str
    call: str
    move: int


class VersionStatsCollector:
    """Collects the results of versions at this entry during rollouts."""

    def __init__(self):
        self._stats = {}

    def record_success(self, key, service_time_ms):
        """Records a complete response.

        :param key: ``VersionStatsKey``.
        :param service_time_ms: milliseconds per unit of work; ``None`` if unknown.
        """
        stats = self._stats.setdefault(key, VersionStats())
        stats.good += 1
        if service_time_ms is not None:
            stats.service_times.append(service_time_ms)

    def record_failure(self, key, failure):
        """Records a failed request; repeated failures of one content count once.

        :param key: ``VersionStatsKey``.
        :param failure: ``digests.Failure``.
        """
        stats = self._stats.setdefault(key, VersionStats())
        if len(stats.failures) < MAX_FAILURES:
            stats.failures.setdefault(failure.content, failure)

    def list_evidence(self):
        """Lists the collected results.

        :return: tuple of ``digests.Evidence``.
        """
        return tuple(_summarize(key, stats) for key, stats in self._stats.items())

    def retain_moves(self, moves):
        """Discards the results of all rollouts but the given ones.

        :param moves: offsets of the publications that started these rollouts.
        """
        for key in [key for key in self._stats if key.move not in moves]:
            del self._stats[key]


def _summarize(key, stats):
    logs = [math.log(service_time_ms) for service_time_ms in stats.service_times]
    service_times = digests.ServiceTimeStats(
        samples=len(logs),
        log_sum=round(sum(logs), 4),
        log_squares=round(sum(value * value for value in logs), 4),
    )
    return digests.Evidence(
        service=key.service,
        version=key.version,
        call=key.call,
        move=key.move,
        good=stats.good,
        failures=tuple(stats.failures.values()),
        service_times=service_times,
    )


def measure_service_time(request, now_ms):
    """Divides the duration of an attempt by its amount of work.

    :param request: ``requests.Request`` with a complete response.
    :param now_ms: time of the end of the response, in milliseconds.
    :return: milliseconds per unit of work, or ``None`` if the request was paused.
    """
    if request.pauses:
        return None
    prompt = request.message.prompt_tokens / PROMPT_TOKENS_PER_UNIT
    duration_ms = max(1, now_ms - request.dispatched_ms)
    return duration_ms / (prompt + request.tokens + 1)


def analyze(move, evidence, is_excused):
    """Compares the target version of a rollout with the other versions.

    Each route is analyzed separately, and a slow version also at each entry, so that
    an average does not hide faults on one route or at one entry. Failures of the same
    content count once, and the weight of a customer is capped if its requests fail on
    other versions too.

    :param move: ``fold.Move``.
    :param evidence: ``digests.Evidence`` items of all entries.
    :param is_excused: function of ``Failure.content`` that tells whether the failure
        does not count against the version.
    :return: ``Analysis``.
    """
    relevant = [item for item in evidence if item.move == move.offset]
    new = [item for item in relevant if item.version == move.target]
    old = [item for item in relevant if item.version != move.target]
    good = sum(item.good for item in new)
    for call in sorted({item.call for item in new}):
        route_new = [item for item in new if item.call == call]
        route_old = [item for item in old if item.call == call]
        reason = _check_failures(route_new, route_old, is_excused)
        if reason:
            return Analysis(Finding.FAILING, good, f"{call}: {reason}")
        reason = _check_service_times(route_new, route_old)
        if reason:
            return Analysis(Finding.SLOW, good, f"{call}: {reason}")
    return Analysis(Finding.GOOD, good, "")


def _count_failures(evidence, is_excused):
    contents = {}
    for item in evidence:
        for failure in item.failures:
            if not is_excused(failure.content):
                contents[failure.content] = failure.customer
    return collections.Counter(contents.values())


def _check_failures(new, old, is_excused):
    new_failures = _count_failures(new, is_excused)
    old_failures = _count_failures(old, is_excused)
    weight = 0
    for customer, count in new_failures.items():
        fails_on_old = old_failures[customer] > 0
        weight += min(count, CUSTOMER_WEIGHT_CAP) if fails_on_old else count
    if weight < MIN_FAILURE_WEIGHT:
        return ""
    ratio = weight / (weight + sum(item.good for item in new))
    old_count = old_failures.total()
    old_ratio = old_count / max(1, old_count + sum(item.good for item in old))
    if ratio <= FAILURE_RATIO_FACTOR * old_ratio + FAILURE_RATIO_MARGIN:
        return ""
    return f"{weight} failed requests, {ratio:.0%} against {old_ratio:.0%}"


def _check_service_times(new, old):
    baseline = _merge(item.service_times for item in old)
    if baseline.samples < MIN_OLD_SAMPLES:
        return ""
    for stats in [
        *(item.service_times for item in new),
        _merge(item.service_times for item in new),
    ]:
        if stats.samples >= MIN_NEW_SAMPLES and _is_slower(stats, baseline):
            ratio = math.exp(stats.mean_log - baseline.mean_log)
            return f"{ratio:.1f} times slower"
    return ""


def _is_slower(stats, baseline):
    # A z-test on logarithms with the deviation of the other versions. Where service
    # times vary widely, a few slow responses are not significant.
    excess = stats.mean_log - baseline.mean_log
    if excess < math.log(MAX_SLOWDOWN):
        return False
    deviation = max(MIN_LOG_DEVIATION, baseline.log_deviation)
    error = deviation * math.sqrt(1 / stats.samples + 1 / baseline.samples)
    return excess / error > MAX_SLOWDOWN_Z_SCORE


def _merge(stats_list):
    stats_list = list(stats_list)
    return digests.ServiceTimeStats(
        samples=sum(stats.samples for stats in stats_list),
        log_sum=sum(stats.log_sum for stats in stats_list),
        log_squares=sum(stats.log_squares for stats in stats_list),
    )
