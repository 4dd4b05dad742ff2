"""The task that keeps histograms and sends metrics."""

import collections

import msgspec
import statsd
from hdrh import histogram

from wasabiknot_entry import addresses
from wasabiknot_kernel import effects

LOWEST_MS = 1
HIGHEST_MS = 3_600_000
DIGITS = 2
MAX_CUSTOMERS = 64
PERCENTILES = (50.0, 95.0, 99.0)
PREFIX = "wasabiknot"


class Summary(msgspec.Struct, frozen=True):
    """A histogram in numbers.

    :param name: tier or customer.
    :param count: finished requests.
    :param good: whole answers within their deadline.
    :param endings: number of requests by ending.
    :param first_ms: percentiles of the time to the first token.
    :param total_ms: percentiles of the time to the end.
    """

    name: str
    count: int
    good: int
    endings: dict[str, int]
    first_ms: dict[str, float]
    total_ms: dict[str, float]


class Series:
    """Histograms of one tier or customer.

    :param name: its name.
    """

    def __init__(self, name):
        self._name = name
        self._first = histogram.HdrHistogram(LOWEST_MS, HIGHEST_MS, DIGITS)
        self._total = histogram.HdrHistogram(LOWEST_MS, HIGHEST_MS, DIGITS)
        self._endings = collections.Counter()
        self._good = 0

    def add(self, observation):
        """Adds a finished request.

        :param observation: ``effects.ObserveRequest``.
        """
        self._endings[observation.ended] += 1
        self._good += observation.good
        if observation.ended == "whole":
            self._first.record_value(_clamp(observation.first_ms))
            self._total.record_value(_clamp(observation.total_ms))

    def summarize(self):
        """Puts the histograms into numbers.

        :return: ``Summary``.
        """
        return Summary(
            name=self._name,
            count=self._endings.total(),
            good=self._good,
            endings=dict(self._endings),
            first_ms=_list_percentiles(self._first),
            total_ms=_list_percentiles(self._total),
        )


def _clamp(value_ms):
    return min(max(int(value_ms), LOWEST_MS), HIGHEST_MS)


def _list_percentiles(values):
    return {f"p{p:g}": values.get_value_at_percentile(p) for p in PERCENTILES}


class Metrics:
    """Histograms by tier and customer, and statsd counters and timers.

    Only the customers seen last have a histogram, so memory is bounded.

    :param settings: settings of the entry.
    :param post: message delivery.
    """

    def __init__(self, settings, post):
        self._tiers = {}
        self._customers = collections.OrderedDict()
        self._statsd = _create_client(settings)
        post.subscribe(effects.ObserveRequest, self._observe)

    def _observe(self, observation):
        tier = self._tiers.setdefault(observation.tier, Series(observation.tier))
        tier.add(observation)
        self._find_customer(observation.customer).add(observation)
        if self._statsd is None:
            return
        name = f"tier.{observation.tier}"
        self._statsd.incr(f"{name}.{observation.ended}")
        self._statsd.timing(f"{name}.total", observation.total_ms)
        self._statsd.timing(f"{name}.first", observation.first_ms)

    def _find_customer(self, name):
        if name not in self._customers:
            self._customers[name] = Series(name)
        self._customers.move_to_end(name)
        if len(self._customers) > MAX_CUSTOMERS:
            self._customers.popitem(last=False)
        return self._customers[name]

    def list_tiers(self):
        """Summarizes the tiers.

        :return: list of ``Summary``.
        """
        return [series.summarize() for series in self._tiers.values()]

    def list_customers(self):
        """Summarizes the customers seen last.

        :return: list of ``Summary``.
        """
        return [series.summarize() for series in self._customers.values()]


def _create_client(settings):
    if settings.statsd_address is None:
        return None
    endpoint = addresses.parse_address(settings.statsd_address)
    return statsd.StatsClient(endpoint.host, endpoint.port, prefix=PREFIX)
