"""Latency histograms and statsd metrics of finished requests."""

import collections

import msgspec
import statsd
from hdrh import histogram

from wasabiknot_entry import addresses
from wasabiknot_kernel import effects

MIN_LATENCY_MS = 1
MAX_LATENCY_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
MAX_CUSTOMERS = 64
PERCENTILES = (50.0, 95.0, 99.0)
STATSD_PREFIX = "wasabiknot"


class Summary(msgspec.Struct, frozen=True):
    """Counts and latency percentiles of the requests of one tier or customer.

    :param name: name of the tier or customer.
    :param count: number of finished requests.
    :param good: number of complete responses within the deadline.
    :param endings: number of requests by how they ended.
    :param first_ms: percentiles of the time to the first token, in milliseconds.
    :param total_ms: percentiles of the total latency, in milliseconds.
    """

    name: str
    count: int
    good: int
    endings: dict[str, int]
    first_ms: dict[str, float]
    total_ms: dict[str, float]


class LatencyHistograms:
    """Counts and latency histograms of one tier or customer.

    :param name: name of the tier or customer.
    """

    def __init__(self, name):
        self._name = name
        self._first_ms = histogram.HdrHistogram(
            MIN_LATENCY_MS, MAX_LATENCY_MS, SIGNIFICANT_DIGITS
        )
        self._total_ms = histogram.HdrHistogram(
            MIN_LATENCY_MS, MAX_LATENCY_MS, SIGNIFICANT_DIGITS
        )
        self._endings = collections.Counter()
        self._good = 0

    def add(self, observation):
        """Adds a finished request.

        :param observation: ``effects.ObserveRequest``.
        """
        self._endings[observation.ended] += 1
        self._good += observation.good
        if observation.ended == "whole":
            self._first_ms.record_value(_clamp(observation.first_ms))
            self._total_ms.record_value(_clamp(observation.total_ms))

    def summarize(self):
        """Computes counts and percentiles.

        :return: ``Summary``.
        """
        return Summary(
            name=self._name,
            count=self._endings.total(),
            good=self._good,
            endings=dict(self._endings),
            first_ms=_compute_percentiles(self._first_ms),
            total_ms=_compute_percentiles(self._total_ms),
        )


def _clamp(value_ms):
    return min(max(int(value_ms), MIN_LATENCY_MS), MAX_LATENCY_MS)


def _compute_percentiles(latencies):
    return {f"p{p:g}": latencies.get_value_at_percentile(p) for p in PERCENTILES}


class Metrics:
    """Histograms by tier and customer, and statsd counters and timers.

    Histograms are kept only for the customers with the most recent requests, which
    bounds the memory use.

    :param settings: ``settings.Settings``.
    :param bus: ``mailboxes.MessageBus``.
    """

    def __init__(self, settings, bus):
        self._tiers = {}
        self._customers = collections.OrderedDict()
        self._statsd = _create_client(settings)
        bus.subscribe(effects.ObserveRequest, self._observe)

    def _observe(self, observation):
        histograms = self._tiers.setdefault(
            observation.tier, LatencyHistograms(observation.tier)
        )
        histograms.add(observation)
        self._get_customer(observation.customer).add(observation)
        if self._statsd is None:
            return
        name = f"tier.{observation.tier}"
        self._statsd.incr(f"{name}.{observation.ended}")
        self._statsd.timing(f"{name}.total", observation.total_ms)
        self._statsd.timing(f"{name}.first", observation.first_ms)

    def _get_customer(self, name):
        if name not in self._customers:
            self._customers[name] = LatencyHistograms(name)
        self._customers.move_to_end(name)
        if len(self._customers) > MAX_CUSTOMERS:
            self._customers.popitem(last=False)
        return self._customers[name]

    def list_tiers(self):
        """Summarizes the tiers.

        :return: list of ``Summary``.
        """
        return [histograms.summarize() for histograms in self._tiers.values()]

    def list_customers(self):
        """Summarizes the customers with the most recent requests.

        :return: list of ``Summary``.
        """
        return [histograms.summarize() for histograms in self._customers.values()]


def _create_client(settings):
    if settings.statsd_address is None:
        return None
    endpoint = addresses.parse_address(settings.statsd_address)
    return statsd.StatsClient(endpoint.host, endpoint.port, prefix=STATSD_PREFIX)
