"""Paces of backend servers: how long work takes on their machines at this moment.

A pace is a multiple of the usual time: 1 as usual, 2.5 for two and a half times as
long. Response headers and digests state it in hundredths (250). It changes many times a
second with the other work on the machine, so a single value is out of date when it is
read. The estimate is the weighted mean of the values that this entry and its group have
read recently; it returns to 1 as they age.
"""

import heapq
import math

import msgspec

# Time in which the weight of a value falls to 1/e.
TIME_CONSTANT_S = 1.0
# Weight of the usual pace in the estimate. A single value is a noisy sample, so it
# moves the estimate only half of the way.
PRIOR_WEIGHT = 1.0
# Weight of the usual pace where the pace during a past response is estimated. The head
# of that response has stated it, so the prior has a small weight.
PAST_PRIOR_WEIGHT = 0.1
# Values that are closer together in time are correlated, so their weight is lower.
CORRELATION_S = 0.1
# Bounds on a value. Those beyond them are due to a fault of the measurement.
MIN_PACE = 0.1
MAX_PACE = 20.0
USUAL_PACE = 1.0
# Age from which a pace counts as usual. A small remaining difference would otherwise
# keep requests away from the server, as the lowest score is chosen.
MAX_AGE_S = 4 * TIME_CONSTANT_S
HUNDREDTHS = 100
# Paces above which a server is logged as slow, and below which it no longer is. The gap
# between them keeps a pace near one of them from being logged repeatedly.
SLOW_PACE = 2.0
RECOVERED_PACE = 1.25
# Largest number of backend servers in the reports of one digest.
MAX_REPORTS = 16
# Age up to which a value is reported. Several digests are sent within this time.
MAX_REPORT_AGE_S = 0.3
# Largest number of peers for which the time of the newest report on a server is kept.
MAX_SOURCES = 64
# Reports of one peer whose times differ by less are taken to be of the same value: ages
# are rounded to milliseconds, and digests take different times to arrive.
MIN_NEWER_S = 0.01


class PaceReport(msgspec.Struct, frozen=True, array_like=True):
    """The pace of a backend server in a digest.

    :param server_id: id of the server.
    :param pace: mean of the values that the sender has read itself, in hundredths.
    :param age_ms: time in milliseconds since it read the newest of them.
    """

    server_id: str
    pace: int
    age_ms: int


class Samples(msgspec.Struct):
    """Sums of paces, weighted by age.

    :param weight: sum of the weights at the time of the newest value.
    :param total: weighted sum of the values.
    :param squares: weighted sum of their squares.
    :param newest_s: time of the newest value, in seconds.
    """

    weight: float = 0.0
    total: float = 0.0
    squares: float = 0.0
    newest_s: float = -math.inf

    def add(self, value, stated_s):
        """Adds a value.

        :param value: pace as a multiple of the usual time.
        :param stated_s: time in seconds at which it was stated.
        """
        gap_s = stated_s - self.newest_s
        weight = min(1.0, abs(gap_s) / CORRELATION_S)
        if gap_s > 0.0:
            fading = math.exp(-gap_s / TIME_CONSTANT_S)
            self.weight *= fading
            self.total *= fading
            self.squares *= fading
            self.newest_s = stated_s
        else:
            weight *= math.exp(gap_s / TIME_CONSTANT_S)
        self.weight += weight
        self.total += weight * value
        self.squares += weight * value * value

    def fade(self, now_s):
        """Computes the factor by which the weights have decayed since the newest value.

        :param now_s: current time in seconds.
        :return: factor from 0 to 1; 0 if all values are too old to count.
        """
        age_s = max(0.0, now_s - self.newest_s)
        if age_s > MAX_AGE_S:
            return 0.0
        return math.exp(-age_s / TIME_CONSTANT_S)


class ServerPace:
    """The pace of one backend server, as known to this entry."""

    __slots__ = ("_all", "_own", "_stated_s", "is_slow")

    def __init__(self):
        self.is_slow = False
        self._own = Samples()
        self._all = Samples()
        # Time of the newest value that each peer has reported.
        self._stated_s = {}

    @property
    def newest(self):
        """The pace as estimated at the time of the newest value; 1 without one."""
        return self.estimate(self._all.newest_s)

    def record(self, pace, now_s):
        """Records a value that the server has stated in a response to this entry.

        :param pace: hundredths of the usual time.
        :param now_s: current time in seconds.
        :return: whether the server has become slow or has recovered.
        """
        value = _clip(pace)
        self._own.add(value, now_s)
        self._all.add(value, now_s)
        was_slow = self.is_slow
        bound = RECOVERED_PACE if was_slow else SLOW_PACE
        self.is_slow = self.estimate(now_s) > bound
        return self.is_slow is not was_slow

    def apply_report(self, source, report, now_s):
        """Applies the report of a peer, unless its value is already known.

        :param source: name of the peer.
        :param report: ``PaceReport``.
        :param now_s: current time in seconds.
        :return: whether the value is new.
        """
        stated_s = now_s - max(0, report.age_ms) / 1_000
        if stated_s < self._stated_s.get(source, -math.inf) + MIN_NEWER_S:
            return False
        if len(self._stated_s) >= MAX_SOURCES:
            self._stated_s.clear()
        self._stated_s[source] = stated_s
        self._all.add(_clip(report.pace), stated_s)
        return True

    def is_known(self, now_s):
        """Tells whether a value is recent enough to count.

        :param now_s: current time in seconds.
        :return: ``False`` if the pace counts as usual for lack of values.
        """
        return self._all.fade(now_s) > 0.0

    def estimate(self, now_s, prior_weight=PRIOR_WEIGHT):
        """Estimates the pace.

        :param now_s: current time in seconds.
        :param prior_weight: weight of the usual pace; a new value has weight 1.
        :return: multiple of the usual time; 1 if nothing is known.
        """
        samples = self._all
        fading = samples.fade(now_s)
        if not fading:
            return USUAL_PACE
        difference = samples.total - USUAL_PACE * samples.weight
        return USUAL_PACE + fading * difference / (prior_weight + samples.weight)

    def estimate_deviation(self, now_s):
        """Estimates how much the pace varies about its mean.

        :param now_s: current time in seconds.
        :return: standard deviation, as a multiple of the usual time.
        """
        samples = self._all
        fading = samples.fade(now_s)
        if not fading:
            return 0.0
        mean = samples.total / samples.weight
        variance = samples.squares / samples.weight - mean * mean
        return fading * math.sqrt(max(0.0, variance))

    def build_report(self, server_id, now_s):
        """Builds the report of what this entry has read itself.

        :param server_id: id of the server.
        :param now_s: current time in seconds.
        :return: ``PaceReport``; ``None`` without a recent value.
        """
        age_s = now_s - self._own.newest_s
        if age_s > MAX_REPORT_AGE_S:
            return None
        mean = self._own.total / self._own.weight
        age_ms = round(max(0.0, age_s) * 1_000)
        return PaceReport(server_id, round(mean * HUNDREDTHS), age_ms)


def _clip(hundredths):
    return min(max(hundredths / HUNDREDTHS, MIN_PACE), MAX_PACE)


def select_reports(reports):
    """Selects the reports of a digest: those that differ most from the usual pace.

    :param reports: iterable of ``PaceReport``.
    :return: tuple of at most ``MAX_REPORTS``.
    """

    def compute_difference(report):
        return abs(report.pace - HUNDREDTHS)

    return tuple(heapq.nlargest(MAX_REPORTS, reports, key=compute_difference))
