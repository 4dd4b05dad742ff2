"""Durations of sends to backend servers, from which a slow send is recognized.

A send is compared with those of its class: the same route, about the same length of
the prompt, and a backend server of about the same pace. While a class has too few
samples, it is compared with all sends of its route, by the factor by which they have
exceeded the time that was expected of them.
"""

import collections

import msgspec
from hdrh import histogram

from wasabiknot_kernel import routes

# Percentile of the comparable sends beyond which a send counts as slow.
SLOW_PERCENTILE = 95.0
# Samples without which nothing is slow: two of them are beyond the percentile.
MIN_SAMPLES = 40
# Samples after which a new period begins, so that the percentile follows the load.
PERIOD_SAMPLES = 256
# Bound on the classes and on the routes that are remembered. Prompts and paces fall
# into a few bands each, and versions of the configuration change routes.
MAX_SERIES = 128
# Range and resolution of the histograms: tenths of a millisecond, or hundredths of the
# expected time. The counters have 16 bits, as a period is short.
MAX_VALUE = 1_200_000
SIGNIFICANT_DIGITS = 2
COUNTER_BYTES = 2
TENTHS_PER_MS = 10
TENTHS_PER_S = 10_000
HUNDREDTHS = 100


class SendClass(msgspec.Struct, frozen=True):
    """A class of sends that take about the same time.

    :param route: name of the route.
    :param size_band: band of the length of the prompt; each is twice as wide as the
        one before it.
    :param pace_band: band of the pace of the backend server, likewise.
    """

    route: routes.RouteName
    size_band: int
    pace_band: int


class Expectation(msgspec.Struct, frozen=True):
    """What a send is compared with.

    :param send_class: ``SendClass``.
    :param expected_ms: milliseconds that were expected of it when it was sent.
    """

    send_class: SendClass
    expected_ms: float


def classify(ticket, server):
    """Finds the class of a send.

    :param ticket: ``arrivals.Ticket``.
    :param server: ``servers.Server`` that it is sent to.
    :return: ``SendClass``.
    """
    return SendClass(
        ticket.route.name,
        int(ticket.prompt_tokens).bit_length(),
        int(server.pace_ms).bit_length(),
    )


class _Series:
    # The samples of the running period and of the one before it.

    def __init__(self):
        self._current = _create_histogram()
        self._previous = None
        self._slow_value = None

    def add(self, value):
        if self._current.total_count >= PERIOD_SAMPLES:
            self._previous = self._current
            self._current = _create_histogram()
        self._current.record_value(min(max(1, round(value)), MAX_VALUE))
        self._slow_value = None

    def find_slow_value(self):
        if self._slow_value is None:
            self._slow_value = self._compute_slow_value()
        return self._slow_value

    def _compute_slow_value(self):
        if self._current.total_count >= MIN_SAMPLES:
            return self._current.get_value_at_percentile(SLOW_PERCENTILE)
        if self._previous is None:
            return None
        return self._previous.get_value_at_percentile(SLOW_PERCENTILE)


def _create_histogram():
    return histogram.HdrHistogram(
        1, MAX_VALUE, SIGNIFICANT_DIGITS, word_size=COUNTER_BYTES
    )


class _SeriesTable:
    # Series by key; the one that got no sample for longest is dropped.

    def __init__(self):
        self._series = collections.OrderedDict()

    def __len__(self):
        return len(self._series)

    def add(self, key, value):
        if key not in self._series:
            self._series[key] = _Series()
        self._series.move_to_end(key)
        if len(self._series) > MAX_SERIES:
            self._series.popitem(last=False)
        self._series[key].add(value)

    def find_slow_value(self, key):
        series = self._series.get(key)
        return series.find_slow_value() if series is not None else None


class SendDurations:
    """Times from the send to the response, or to the first event of a stream."""

    def __init__(self):
        self._by_class = _SeriesTable()
        # Factors by which the expected time was exceeded, in hundredths.
        self._by_route = _SeriesTable()

    def count_series(self):
        """Counts the classes and routes that are remembered.

        :return: number of both.
        """
        return len(self._by_class) + len(self._by_route)

    def add(self, expectation, duration_s):
        """Adds a send.

        A send that was cancelled because it was slow is added with the time that it
        had taken by then. Without it the percentile would fall with each slow send.

        :param expectation: ``Expectation``.
        :param duration_s: seconds from the send to its response, or to its cancelling.
        """
        tenths = duration_s * TENTHS_PER_S
        send_class = expectation.send_class
        self._by_class.add(send_class, tenths)
        factor = tenths / (TENTHS_PER_MS * max(1.0, expectation.expected_ms))
        self._by_route.add(send_class.route, HUNDREDTHS * factor)

    def find_slow_s(self, expectation):
        """Finds the time after which a send is slower than nearly all comparable ones.

        :param expectation: ``Expectation``.
        :return: seconds from the send; ``None`` while there are too few samples.
        """
        slow_tenths = self._by_class.find_slow_value(expectation.send_class)
        if slow_tenths is not None:
            return slow_tenths / TENTHS_PER_S
        slow_factor = self._by_route.find_slow_value(expectation.send_class.route)
        if slow_factor is None:
            return None
        expected_ms = max(1.0, expectation.expected_ms)
        return slow_factor / HUNDREDTHS * expected_ms / 1_000
