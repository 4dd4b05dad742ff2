"""Analysis of the target version of a rollout.

Each entry collects statistics of the responses of each version during a rollout and
sends them to its peers. The target version is compared with the other versions.
"""

import collections
import enum
import math

import msgspec

from wasabiknot_kernel import digests

# Failures with distinct contents that an entry reports for a version and route.
MAX_REPORTED_FAILURES = 8
# Most recent service times that are kept for a version and route.
MAX_SAMPLES = 32
# Prompt tokens that count as much work as one output token.
PROMPT_TOKENS_PER_UNIT = 16.0
# A version is failing if the weight of its failures, which is the number of distinct
# contents that failed, reaches this minimum and its failure rate exceeds the limit.
MIN_FAILURE_WEIGHT = 3
# Maximum weight of a customer whose requests fail on other versions too.
MAX_CUSTOMER_WEIGHT = 2
# The limit is the other versions' failure rate times the factor, plus the margin.
MAX_FAILURE_RATE_FACTOR = 2.0
MAX_FAILURE_RATE_MARGIN = 0.02
# A version is slow if its service times exceed those of the other versions by this
# factor and by this number of standard errors.
MAX_SLOWDOWN = 1.5
MAX_SLOWDOWN_Z_SCORE = 4.0
# Service times needed of the target version and of the other versions.
MIN_NEW_SAMPLES = 4
MIN_OLD_SAMPLES = 8
# Lower bound of the expected standard deviation of logarithmic service times.
MIN_BASELINE_DEVIATION = 0.15


class Health(enum.Enum):
    """Results of analyzing a version."""

    GOOD = "good"
    FAILING = "failing"
    SLOW = "slow"


class Analysis(msgspec.Struct, frozen=True):
    """The result of comparing the target version of a rollout with the others.

    :param health: ``Health`` of the target version.
    :param successes: complete responses of the version, counted by all entries.
    :param reason: explanation for the operators; empty if the version is good.
    """

    health: Health
    successes: int
    reason: str

    @property
    def is_bad(self):
        """Whether the version must get no more traffic."""
        return self.health is not Health.GOOD


class VersionStats(msgspec.Struct):
    """Responses of one version on one route, as observed by this entry.

    :param successes: number of complete responses.
    :param failures: failed requests by content hash.
    :param service_times_ms: most recent service times, in milliseconds per unit of
        work.
    """

    successes: int = 0
    failures: dict[str, digests.Failure] = {}
    service_times_ms: collections.deque = msgspec.field(
        default_factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )


class VersionStatsKey(msgspec.Struct, frozen=True):
    """Identifies the statistics of a version on a route during a rollout.

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
    """Collects the statistics of the versions of services with a rollout."""

    def __init__(self):
        self._stats = {}

    def record_success(self, key, service_time_ms):
        """Records a complete response.

        :param key: ``VersionStatsKey``.
        :param service_time_ms: milliseconds per unit of work; ``None`` if unknown.
        """
        stats = self._stats.setdefault(key, VersionStats())
        stats.successes += 1
        if service_time_ms is not None:
            stats.service_times_ms.append(service_time_ms)

    def record_failure(self, key, failure):
        """Records a failed request; requests with the same content count once.

        :param key: ``VersionStatsKey``.
        :param failure: ``digests.Failure``.
        """
        stats = self._stats.setdefault(key, VersionStats())
        if len(stats.failures) < MAX_REPORTED_FAILURES:
            stats.failures.setdefault(failure.content, failure)

    def list_evidence(self):
        """Summarizes the statistics for the digest.

        :return: tuple of ``digests.Evidence``.
        """
        return tuple(_summarize(key, stats) for key, stats in self._stats.items())

    def retain_moves(self, moves):
        """Drops the statistics of rollouts that are no longer monitored.

        :param moves: offsets of the monitored rollouts.
        """
        for key in [key for key in self._stats if key.move not in moves]:
            del self._stats[key]


def _summarize(key, stats):
    log_times = [math.log(time_ms) for time_ms in stats.service_times_ms]
    service_times = digests.ServiceTimeStats(
        samples=len(log_times),
        log_sum=round(sum(log_times), 4),
        log_squares=round(sum(value * value for value in log_times), 4),
    )
    return digests.Evidence(
        service=key.service,
        version=key.version,
        call=key.call,
        move=key.move,
        good=stats.successes,
        failures=tuple(stats.failures.values()),
        service_times=service_times,
    )


def measure_service_time(request, now_ms):
    """Computes the service time of an attempt per unit of work.

    :param request: ``requests.Request`` whose response is complete.
    :param now_ms: end of the attempt in Unix milliseconds.
    :return: milliseconds per unit of work, or ``None`` if the request was paused.
    """
    if request.pauses:
        return None
    prompt = request.message.prompt_tokens / PROMPT_TOKENS_PER_UNIT
    duration_ms = max(1, now_ms - request.dispatched_ms)
    return duration_ms / (prompt + request.tokens + 1)


def analyze(move, evidence, is_excused):
    """Compares the target version of a rollout with the other versions.

    Routes are analyzed separately, and service times also for each entry alone, so
    that a fault on one route or at one entry is not averaged away. Failures with the
    same content count once, and the weight of a customer is limited if its requests
    fail on other versions too.

    :param move: ``fold.Move``.
    :param evidence: ``digests.Evidence`` items of all entries.
    :param is_excused: function that takes the content of a failure and tells whether
        it does not count against the version.
    :return: ``Analysis``.
    """
    relevant = [item for item in evidence if item.move == move.offset]
    new = [item for item in relevant if item.version == move.target]
    old = [item for item in relevant if item.version != move.target]
    successes = sum(item.good for item in new)
    for call in sorted({item.call for item in new}):
        route_new = [item for item in new if item.call == call]
        route_old = [item for item in old if item.call == call]
        reason = _find_failing(route_new, route_old, is_excused)
        if reason:
            return Analysis(Health.FAILING, successes, f"{call}: {reason}")
        reason = _find_slow(route_new, route_old)
        if reason:
            return Analysis(Health.SLOW, successes, f"{call}: {reason}")
    return Analysis(Health.GOOD, successes, "")


def _collect_failures(evidence, is_excused):
    contents = {}
    for item in evidence:
        for failure in item.failures:
            if not is_excused(failure.content):
                contents[failure.content] = failure.customer
    return collections.Counter(contents.values())


def _find_failing(new, old, is_excused):
    failed = _collect_failures(new, is_excused)
    baseline_failed = _collect_failures(old, is_excused)
    weight = 0
    for customer, count in failed.items():
        fails_elsewhere = baseline_failed[customer] > 0
        weight += min(count, MAX_CUSTOMER_WEIGHT) if fails_elsewhere else count
    if weight < MIN_FAILURE_WEIGHT:
        return ""
    rate = weight / (weight + sum(item.good for item in new))
    baseline_count = baseline_failed.total()
    baseline_rate = baseline_count / max(
        1, baseline_count + sum(item.good for item in old)
    )
    if rate <= MAX_FAILURE_RATE_FACTOR * baseline_rate + MAX_FAILURE_RATE_MARGIN:
        return ""
    return f"{weight} failed requests, {rate:.0%} against {baseline_rate:.0%}"


def _find_slow(new, old):
    baseline = _merge_service_times(item.service_times for item in old)
    if baseline.samples < MIN_OLD_SAMPLES:
        return ""
    for times in [
        *(item.service_times for item in new),
        _merge_service_times(item.service_times for item in new),
    ]:
        if times.samples >= MIN_NEW_SAMPLES and _is_slower(times, baseline):
            ratio = math.exp(times.mean_log - baseline.mean_log)
            return f"{ratio:.1f} times slower"
    return ""


def _is_slower(times, baseline):
    # A z-test on the logarithms that uses the deviation of the other versions: if
    # durations vary a lot, a few slow responses are not significant.
    excess = times.mean_log - baseline.mean_log
    if excess < math.log(MAX_SLOWDOWN):
        return False
    deviation = max(MIN_BASELINE_DEVIATION, baseline.log_deviation)
    error = deviation * math.sqrt(1 / times.samples + 1 / baseline.samples)
    return excess / error > MAX_SLOWDOWN_Z_SCORE


def _merge_service_times(all_times):
    all_times = list(all_times)
    return digests.ServiceTimeStats(
        samples=sum(times.samples for times in all_times),
        log_sum=sum(times.log_sum for times in all_times),
        log_squares=sum(times.log_squares for times in all_times),
    )
