"""Compares the responses of a new version with those of the old versions.

The evidence of a side maps keys to ``response_stats.ResponseStats``: "r/" and the name
of a route, or "s/" and the id of a backend server.
"""

import math
import statistics

import msgspec

from wasabiknot_kernel import engine_paces, failure_rates, response_stats

# A version is slow if it has this many timed responses and if they take longer than
# those of the slowest old backend server by this factor.
MIN_DURATION_SAMPLES = 5
MAX_SLOWDOWN = 1.6
# Backend servers needed on each side to compare the fastest and median servers.
MIN_SERVERS_PER_SIDE = 3
# Some responses of a version are slow if it has this many timed responses and if
# the deviation of their durations exceeds that of the old backend servers by this
# factor.
MIN_DEVIATION_SAMPLES = 20
MAX_DEVIATION_FACTOR = 1.6
# Lower bound of the expected standard deviation of logarithmic duration ratios.
MIN_BASELINE_DEVIATION = 0.45


class Analysis(msgspec.Struct, frozen=True):
    """The result of comparing a new version with the old ones.

    :param is_bad: whether the version must get no more traffic.
    :param successes: complete responses of the version, counted by all entries.
    :param reason: why the version is bad; empty if it is not.
    """

    is_bad: bool
    successes: int
    reason: str = ""


def compare_versions(new, old, running, fast_fraction=0.0):
    """Compares a new version with the old versions.

    :param new: evidence of the new version.
    :param old: evidence of the old versions.
    :param running: requests in flight at the servers of the new version.
    :param fast_fraction: fraction of the old servers that were fast before the release.
    :return: ``Analysis``.
    """
    successes = sum(
        stats.successes for key, stats in new.items() if key.startswith("r/")
    )
    reason = (
        failure_rates.find_excess(new, old, running)
        or _check_paces(new, old, fast_fraction)
        or _check_durations(new, old)
        or _check_deviation(new, old)
    )
    return Analysis(bool(reason), successes, reason)


def describe_durations(stats_list):
    """Describes the duration ratios of backend servers.

    :param stats_list: ``response_stats.ResponseStats`` of each backend server.
    :return: text for the log, with ``MEAN~DEVIATIONxSAMPLES`` for each server.
    """
    server_rows = sorted(
        (
            response_stats.compute_log_deviation([item]),
            item.samples,
            item.log_ratio_sum / item.samples,
        )
        for item in stats_list
        if item.samples
    )
    texts = [f"{math.exp(row[2]):.2f}~{row[0]:.2f}x{row[1]}" for row in server_rows]
    return " ".join(texts)


def describe_counts(stats_list):
    """Describes the outcomes of the responses of backend servers.

    :param stats_list: ``response_stats.ResponseStats`` of each backend server.
    :return: text for the log.
    """
    parts = [f"{sum(item.successes for item in stats_list)} whole"]
    for kind in response_stats.FailureKind:
        count = sum(item.count_failures(kind) for item in stats_list)
        parts.append(f"{count} {kind.value}")
    return ", ".join(parts)


def describe_paces(stats_list):
    """Describes the paces of backend servers and the loads at which they were seen.

    :param stats_list: ``response_stats.ResponseStats`` of each backend server.
    :return: text for the log, with ``MILLISECONDS@REQUESTS`` for each server.
    """
    known = [
        item.pace_stats
        for item in stats_list
        if item.pace_stats is not None and item.pace_stats.samples
    ]
    rows = sorted((item.find_level(0.0, 0.0), item.mean_load) for item in known)
    return " ".join(f"{math.exp(level):.1f}@{load:.1f}" for level, load in rows)


def _check_paces(new, old, fast_fraction):
    slowdown = engine_paces.find_slowdown(
        _list_paces(new), _list_paces(old), fast_fraction
    )
    return f"{slowdown:.1f} times slower at equal load" if slowdown else ""


def _list_paces(evidence):
    return [
        item.pace_stats for item in evidence.values() if item.pace_stats is not None
    ]


def _check_durations(new, old):
    old_means = _list_log_means(old)
    if not old_means:
        return ""
    samples = sum(item.samples for key, item in new.items() if key.startswith("r/"))
    if samples < MIN_DURATION_SAMPLES:
        return ""
    total = sum(item.log_ratio_sum for key, item in new.items() if key.startswith("r/"))
    excess = total / samples - old_means[-1]
    if excess > math.log(MAX_SLOWDOWN):
        return f"{math.exp(excess):.1f} times slower than the slowest beside it"
    return _compare_servers(_list_log_means(new), old_means)


def _compare_servers(new, old):
    if min(len(new), len(old)) < MIN_SERVERS_PER_SIDE:
        return ""
    # Single backend servers may differ in speed. The version itself is slow only if
    # both its fastest and its median server are slower than those of the old side.
    fastest = new[0] - old[0]
    median = statistics.median(new) - statistics.median(old)
    if min(fastest, median) > math.log(MAX_SLOWDOWN):
        return f"{math.exp(median):.1f} times slower than the middle one beside it"
    return ""


def _list_log_means(stats_list):
    return sorted(
        item.log_ratio_sum / item.samples
        for key, item in stats_list.items()
        if key.startswith("s/") and item.samples >= MIN_DURATION_SAMPLES
    )


def _check_deviation(new, old):
    baseline_deviations = [
        response_stats.compute_log_deviation([item])
        for key, item in old.items()
        if key.startswith("s/") and item.samples >= MIN_DEVIATION_SAMPLES
    ]
    if not baseline_deviations:
        return ""
    new_stats = [
        item for key, item in new.items() if key.startswith("s/") and item.samples
    ]
    samples = sum(item.samples for item in new_stats)
    if samples < MIN_DEVIATION_SAMPLES:
        return ""
    baseline_deviation = max(MIN_BASELINE_DEVIATION, *baseline_deviations)
    deviation = response_stats.compute_log_deviation(new_stats)
    slow_log_ratio = sum(item.log_ratio_sum for item in new_stats) / samples + deviation
    # A larger deviation is accepted if even the slow responses, one deviation above
    # the mean, are faster than the old mean.
    is_slower = slow_log_ratio > _compute_log_mean(old)
    if is_slower and deviation > MAX_DEVIATION_FACTOR * baseline_deviation:
        return (
            f"paces spread {deviation:.2f} against {baseline_deviation:.2f} beside it"
        )
    return ""


def _compute_log_mean(stats_list):
    route_stats = [item for key, item in stats_list.items() if key.startswith("r/")]
    return sum(item.log_ratio_sum for item in route_stats) / max(
        1, sum(item.samples for item in route_stats)
    )
