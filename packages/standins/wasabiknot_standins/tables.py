"""Text tables that summarize responses."""

import collections
import statistics


def group_by_tier(responses):
    """Groups responses by tier.

    :param responses: list of ``clients.Response``.
    :return: mapping of tier names to lists of responses, in order of first appearance.
    """
    groups = collections.defaultdict(list)
    for response in responses:
        groups[response.tier].append(response)
    return groups


def compute_percentile(values, percent):
    """Returns a percentile without interpolation.

    :param values: list of numbers.
    :param percent: percentile from 0 to 100.
    :return: value at the percentile, or 0 for an empty list.
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


def format_tiers(responses, tiers):
    """Formats a table with counts, goodput and latencies per tier.

    :param responses: list of ``clients.Response``.
    :param tiers: tier names, most urgent first.
    :return: table as text.
    """
    lines = [
        f"{'tier':<12}{'sent':>6}{'whole':>7}{'good':>6}{'goodput':>9}"
        f"{'first p50':>11}{'first p95':>11}{'total p95':>11}"
    ]
    groups = group_by_tier(responses)
    for tier in tiers:
        group = groups[tier]
        complete = [item for item in group if item.complete]
        in_time = sum(item.in_time for item in group)
        goodput = in_time / len(group) if group else 0.0
        first_ms = [item.first_ms for item in complete]
        total_ms = [item.total_ms for item in complete]
        lines.append(
            f"{tier:<12}{len(group):>6}{len(complete):>7}{in_time:>6}{goodput:>9.1%}"
            f"{statistics.median(first_ms) if first_ms else 0:>8.0f} ms"
            f"{compute_percentile(first_ms, 95):>8.0f} ms"
            f"{compute_percentile(total_ms, 95):>8.0f} ms"
        )
    return "\n".join(lines)
