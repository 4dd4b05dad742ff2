"""Durations of sends to backend servers, from which a slow send is recognized.

A send is compared with those of its class: the same route, about the same length of
the prompt, and a backend server of about the same pace. While a class has too few
samples, it is compared with all sends of its route, by the factor by which they have
exceeded the time that was expected of them.
"""

import collections
import math

import msgspec

from wasabiknot_kernel import routes

# Fraction of the comparable sends that a slow send has exceeded.
SLOW_FRACTION = 0.95
# Least number of samples for a comparison: two of these are beyond the fraction.
MIN_SAMPLES = 40
# Newest samples that are compared with, so that the comparison follows the load.
RECENT_SAMPLES = 256
# Longer samples are clipped to this value.
MAX_DURATION_S = 120.0
# Bound on the classes and on the routes that are remembered. Prompts and paces fall
# into a few bands each, and versions of the configuration change routes.
MAX_SERIES = 128


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


def classify(ticket, server, now_s):
    """Finds the class of a send.

    Its band of the pace is that of the learned duration times the pace that the server
    states, as learned durations don't include the latter.

    :param ticket: ``arrivals.Ticket``.
    :param server: ``servers.Server`` that it is sent to.
    :param now_s: current time in seconds.
    :return: ``SendClass``.
    """
    duration_ms = server.pace_ms * server.pace.estimate(now_s)
    return SendClass(
        ticket.route.name,
        int(ticket.prompt_tokens).bit_length(),
        int(duration_ms).bit_length(),
    )


class _Series:
    # The newest samples of one key, and their ``SLOW_FRACTION`` quantile.

    def __init__(self):
        self._samples = collections.deque(maxlen=RECENT_SAMPLES)
        self._slow_value = None

    def add(self, value):
        self._samples.append(value)
        self._slow_value = None

    def find_slow_value(self):
        if self._slow_value is None and len(self._samples) >= MIN_SAMPLES:
            self._slow_value = self._compute_slow_value()
        return self._slow_value

    def _compute_slow_value(self):
        # So few samples are sorted faster than a histogram of their range is scanned.
        ordered = sorted(self._samples)
        return ordered[math.ceil(SLOW_FRACTION * len(ordered)) - 1]


class _SeriesTable:
    # Series by key; the one whose newest sample is the oldest is dropped first.

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
        # Ratios of the durations to the expected ones.
        self._by_route = _SeriesTable()

    def count_series(self):
        """Counts the classes and routes that are remembered.

        :return: number of both.
        """
        return len(self._by_class) + len(self._by_route)

    def add(self, expectation, duration_s):
        """Adds a send.

        A send that was cancelled because it was slow is added with the time that it
        had taken by then. Without that sample the percentile would be too low.

        :param expectation: ``Expectation``.
        :param duration_s: seconds from the send to its response, or to its cancelling.
        """
        duration_s = min(max(0.0, duration_s), MAX_DURATION_S)
        send_class = expectation.send_class
        self._by_class.add(send_class, duration_s)
        factor = 1_000 * duration_s / max(1.0, expectation.expected_ms)
        self._by_route.add(send_class.route, factor)

    def find_slow_s(self, expectation):
        """Finds the time after which a send is slower than nearly all comparable ones.

        :param expectation: ``Expectation``.
        :return: seconds from the send; ``None`` while there are too few samples.
        """
        slow_s = self._by_class.find_slow_value(expectation.send_class)
        if slow_s is not None:
            return slow_s
        slow_factor = self._by_route.find_slow_value(expectation.send_class.route)
        if slow_factor is None:
            return None
        return slow_factor * max(1.0, expectation.expected_ms) / 1_000
