"""Durations of complete responses, learned by route."""

import collections

import msgspec

from wasabiknot_kernel import estimates

SAMPLE_WEIGHT = 0.05
# A response counts as late after the average, plus this multiple of the average
# deviation from it, but not before this multiple of the average.
DEVIATIONS = 3.0
MIN_MARGIN = 1.5
# Newest responses from which the share of long ones is estimated, and least number of
# them that say anything about it.
RECENT_RESPONSES = 128
MIN_RESPONSES = 24
# Factor by which a response may exceed the longest one so far.
LONGEST_MARGIN = 1.25
# Bounds the number of averages while versions of the configuration change routes.
MAX_ROUTES = 1_024


class _Averages(msgspec.Struct):
    duration_s: estimates.MovingAverage
    deviation_s: estimates.MovingAverage
    recent_s: collections.deque


class Durations:
    """Averages of the durations of complete responses at one service."""

    def __init__(self):
        self._by_route = collections.OrderedDict()

    def add(self, route_name, duration_s):
        """Adds a complete response.

        :param route_name: name of the route.
        :param duration_s: seconds from the send to the end of the response.
        """
        if route_name not in self._by_route:
            self._by_route[route_name] = _Averages(
                estimates.MovingAverage(duration_s, SAMPLE_WEIGHT),
                estimates.MovingAverage(0.0, SAMPLE_WEIGHT),
                collections.deque(maxlen=RECENT_RESPONSES),
            )
        self._by_route.move_to_end(route_name)
        if len(self._by_route) > MAX_ROUTES:
            self._by_route.popitem(last=False)
        averages = self._by_route[route_name]
        averages.deviation_s.add(abs(duration_s - averages.duration_s.value))
        averages.duration_s.add(duration_s)
        averages.recent_s.append(duration_s)

    def estimate_share_above(self, route_name, waited_s):
        """Estimates the share of responses that take longer than a time.

        :param route_name: name of the route.
        :param waited_s: seconds since the send.
        :return: fraction above 0; 1 while there are too few responses.
        """
        averages = self._by_route.get(route_name)
        if averages is None or len(averages.recent_s) < MIN_RESPONSES:
            return 1.0
        limit_s = waited_s / LONGEST_MARGIN
        longer = sum(duration_s > limit_s for duration_s in averages.recent_s)
        return (longer + 0.5) / (len(averages.recent_s) + 1)

    def estimate_longest_s(self, route_name):
        """Estimates the time after which a response of a route counts as late.

        :param route_name: name of the route.
        :return: seconds from the send; ``None`` before the first response.
        """
        averages = self._by_route.get(route_name)
        if averages is None:
            return None
        average_s = averages.duration_s.value
        margin_s = DEVIATIONS * averages.deviation_s.value
        return max(MIN_MARGIN * average_s, average_s + margin_s)
