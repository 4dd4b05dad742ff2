"""Logs and counts responses that can't be read."""

import collections

from prometheus_client import core

from wasabiknot_entry import journal
from wasabiknot_kernel import events

# Counts of this process, by source and by the rule that was broken.
_counts = collections.Counter()


def record(source, address, request, error):
    """Records a response that can't be read.

    :param source: ``inputs.Source`` at the other end.
    :param address: host and port of the other end.
    :param request: id of the request that it was to answer, or its target.
    :param error: ``heads.ResponseError``.
    """
    _counts[source, error.rule] += 1
    journal.write(
        events.Event.RESPONSE_MALFORMED,
        request=request,
        source=source.value,
        address=address,
        rule=error.rule.value,
        excerpt=repr(error.excerpt),
    )


class Collector:
    """A collector of the counts."""

    def collect(self):
        """Collects the metrics for a scrape.

        :return: iterator of metric families.
        """
        malformed = core.CounterMetricFamily(
            "wasabiknot_malformed_responses",
            "Responses that can't be read, by the rule that they break.",
            labels=["source", "rule"],
        )
        for (source, rule), value in _counts.items():
            malformed.add_metric([source.value, rule.value], value)
        yield malformed
