"""Compares the failures of a new version with those of the old versions.

Each kind of failure is compared with the same kind, as trouble of one kind on both
sides says nothing about another. Backend servers that fail far more often than the
others of their side are broken themselves, and are left out on both sides. If chance
hardly explains that only new ones are, the version is the likelier cause. A failure may
come sooner than a complete response, so requests in flight count as responses.
"""

import math

import msgspec

from wasabiknot_kernel import response_stats

# Failures from which a version may be failing.
MIN_FAILURES = 5
# Lower bound of the failure rate that is expected of any version.
MIN_EXPECTED_RATE = 0.01
MAX_EXPECTED_RATE = 0.5
# Chance of so many failures of a sound version, below which a version is failing.
MAX_CHANCE = 1e-4
# Expected failures from which their number is taken to be normally distributed.
MIN_NORMAL_COUNT = 50
# Increase of the logarithmic likelihood from which some backend servers of a side are
# broken, and the largest fraction of them.
MIN_LIKELIHOOD_GAIN = 3.5
MAX_BROKEN_FRACTION = 0.5
# Chance that all broken servers of both sides are on the new one, below which they are
# counted against the version.
MIN_ONE_SIDED_CHANCE = 0.1


class Count(msgspec.Struct, frozen=True):
    """Failures of one kind among the responses.

    :param failures: number of failures of that kind.
    :param total: number of responses that are complete or failed in that way.
    """

    failures: int
    total: int

    @property
    def rate(self):
        """Fraction of the responses that failed."""
        return self.failures / self.total if self.total else 0.0


def find_excess(new, old, running):
    """Finds a kind of failure that a new version shows more often than the old ones.

    :param new: evidence of the new version: ``response_stats.ResponseStats`` by key.
    :param old: evidence of the old versions.
    :param running: requests in flight at the servers of the new version.
    :return: text for the operators; empty if there is none.
    """
    for kind in response_stats.FailureKind:
        # Timeouts come later than complete responses.
        is_late = kind is response_stats.FailureKind.SILENT
        reason = _find_excess_of_kind(new, old, kind, 0 if is_late else running)
        if reason:
            return reason
    return ""


def _find_excess_of_kind(new, old, kind, running):
    old_servers = _list_counts(old, kind)
    old_sound = _drop_broken(old_servers, MIN_LIKELIHOOD_GAIN)
    # What breaks old servers may break new ones.
    has_broken = len(old_sound) < len(old_servers)
    new_servers = _list_counts(new, kind)
    new_sound = _drop_broken(new_servers, 0.0 if has_broken else MIN_LIKELIHOOD_GAIN)
    if not has_broken and _is_version_broken(new_servers, new_sound, old_servers):
        new_sound = new_servers
    new_total, old_total = _add(new_sound, running), _add(old_sound)
    reason = _compare("all routes", kind, new_total, old_total)
    if reason or has_broken or len(new_sound) < len(new_servers):
        # Counts by route include those of broken servers.
        return reason
    for key, stats in new.items():
        if not key.startswith("r/"):
            continue
        baseline = old.get(key, response_stats.ResponseStats())
        new_count = _add([_count(stats, kind)], running)
        route = key.removeprefix("r/")
        reason = _compare(route, kind, new_count, _count(baseline, kind))
        if reason:
            return reason
    return ""


def _is_version_broken(new, new_sound, old):
    # By the number of ways to choose the broken servers among all.
    broken = len(new) - len(new_sound)
    one_sided = math.comb(len(new), broken)
    chance = one_sided / math.comb(len(new) + len(old), broken)
    return chance < MIN_ONE_SIDED_CHANCE


def _count(stats, kind):
    failures = stats.count_failures(kind)
    return Count(failures, stats.successes + failures)


def _list_counts(evidence, kind):
    counts = [
        _count(stats, kind) for key, stats in evidence.items() if key.startswith("s/")
    ]
    return [item for item in counts if item.total]


def _add(counts, running=0):
    failures = sum(item.failures for item in counts)
    return Count(failures, sum(item.total for item in counts) + running)


def _drop_broken(counts, min_gain):
    """Leaves out the backend servers that are broken themselves."""
    ranked = sorted(counts, key=lambda item: item.rate)
    total = _add(ranked)
    if not total.failures:
        return ranked
    best, best_likelihood = ranked, _compute_likelihood(total) + min_gain
    failures = responses = 0
    for number in range(1, math.floor(MAX_BROKEN_FRACTION * len(ranked)) + 1):
        failures += ranked[-number].failures
        responses += ranked[-number].total
        sound = Count(total.failures - failures, total.total - responses)
        likelihood = _compute_likelihood(sound)
        likelihood += _compute_likelihood(Count(failures, responses))
        if likelihood > best_likelihood:
            best, best_likelihood = ranked[:-number], likelihood
    return best


def _compute_likelihood(count):
    parts = (count.failures, count.total - count.failures)
    return sum(part * math.log(part / count.total) for part in parts if part)


def _compare(subject, kind, new, old):
    if new.failures < MIN_FAILURES:
        return ""
    expected = (old.failures + 1 + math.sqrt(old.failures + 1)) / (old.total + 1)
    if not old.total:
        expected = 0.0
    expected = min(max(expected, MIN_EXPECTED_RATE), MAX_EXPECTED_RATE)
    if _compute_chance(new, expected) > MAX_CHANCE:
        return ""
    return (
        f"{subject}: {new.failures} {kind.value}, {new.rate:.0%} against {old.rate:.0%}"
    )


def _compute_chance(count, rate):
    """Computes the chance of so many failures or more."""
    expected = rate * count.total
    if expected > MIN_NORMAL_COUNT:
        excess = count.failures - 0.5 - expected
        deviation = math.sqrt(expected * (1 - rate))
        return math.erfc(excess / deviation / math.sqrt(2)) / 2
    chance = (1 - rate) ** count.total
    below = 0.0
    for number in range(count.failures):
        below += chance
        chance *= (count.total - number) / (number + 1) * rate / (1 - rate)
    return max(0.0, 1.0 - below)
