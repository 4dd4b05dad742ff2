"""Text tables of answers."""

import collections
import statistics


def group_by_tier(answers):
    """Groups answers by their tier.

    :param answers: list of ``clients.Answer``.
    :return: mapping of tier names to lists, in order of appearance.
    """
    groups = collections.defaultdict(list)
    for answer in answers:
        groups[answer.tier].append(answer)
    return groups


def find_percentile(values, percent):
    """Finds a percentile.

    :param values: list of numbers.
    :param percent: percentile from 0 to 100.
    :return: the number, or 0 for an empty list.
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


def format_tiers(answers, tiers):
    """Formats answers by tier.

    :param answers: list of ``clients.Answer``.
    :param tiers: tier names, most urgent first.
    :return: text.
    """
    lines = [
        f"{'tier':<12}{'sent':>6}{'whole':>7}{'good':>6}{'goodput':>9}"
        f"{'first p50':>11}{'first p95':>11}{'total p95':>11}"
    ]
    groups = group_by_tier(answers)
    for tier in tiers:
        group = groups[tier]
        whole = [item for item in group if item.complete]
        good = sum(item.in_time for item in group)
        share = good / len(group) if group else 0.0
        first = [item.first_ms for item in whole]
        total = [item.total_ms for item in whole]
        lines.append(
            f"{tier:<12}{len(group):>6}{len(whole):>7}{good:>6}{share:>9.1%}"
            f"{statistics.median(first) if first else 0:>8.0f} ms"
            f"{find_percentile(first, 95):>8.0f} ms"
            f"{find_percentile(total, 95):>8.0f} ms"
        )
    return "\n".join(lines)
