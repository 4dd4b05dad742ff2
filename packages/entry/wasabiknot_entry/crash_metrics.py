"""Counters and gauges of crashes of backend servers."""

import collections

from prometheus_client import core

from wasabiknot_kernel import prompt_parts


class CrashMetrics:
    """A collector of what has been in flight when backend servers crashed."""

    def __init__(self):
        self._crashes = collections.Counter()
        self._verdicts = collections.Counter()
        self._refused_parts = 0

    def count_crash(self, crash, evidence):
        """Counts a crash that is known here.

        :param crash: ``crash_records.Crash``.
        :param evidence: ``crash_records.Evidence``.
        """
        is_part = prompt_parts.is_key(crash.fingerprint)
        self._crashes["part" if is_part else "request", evidence] += 1

    def count_verdict(self, verdict):
        """Counts a prompt part that is refused from now on, or no longer.

        :param verdict: ``crash_records.PartVerdict``.
        """
        self._verdicts["refused" if verdict.is_refused else "served"] += 1
        self._refused_parts += 1 if verdict.is_refused else -1

    def collect(self):
        """Collects the metrics for a scrape.

        :return: iterator of metric families.
        """
        crashes = core.CounterMetricFamily(
            "wasabiknot_crashes",
            "Crashes of backend servers by what was in flight and by evidence.",
            labels=["subject", "evidence"],
        )
        for (subject, evidence), value in self._crashes.items():
            crashes.add_metric([subject, evidence.value], value)
        verdicts = core.CounterMetricFamily(
            "wasabiknot_prompt_part_verdicts",
            "Prompt parts that were refused, or served again.",
            labels=["verdict"],
        )
        for verdict, value in self._verdicts.items():
            verdicts.add_metric([verdict], value)
        refused = core.GaugeMetricFamily(
            "wasabiknot_refused_prompt_parts",
            "Prompt parts that no request is sent with.",
            value=self._refused_parts,
        )
        yield from (crashes, verdicts, refused)
