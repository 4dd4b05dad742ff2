"""Compares the paces of the backend servers of two versions at equal load.

An engine slows down with each further request that it runs, and a new version has few
of them. So the paces of the old version are carried over to the load of the new one,
by the slope that the servers themselves show between their busy and their idle times.
"""

import math
import statistics

import msgspec

# Events of a stream from which the interval between them is a sample.
MIN_EVENTS = 4
# Samples that a backend server needs to be compared.
MIN_NEW_SAMPLES = 3
MIN_OLD_SAMPLES = 8
# Backend servers needed on each side, as single ones may differ in speed.
MIN_SERVERS_PER_SIDE = 3
# Sum of the squared deviations of a server's load from which its slope is known.
MIN_LOAD_SPREAD = 8.0
MAX_SLOPE = 0.12
# Standard error of a median, as a multiple of that of a mean.
MEDIAN_ERROR = 1.25
# A version is slow if its paces are longer by this factor and this many standard
# errors.
MAX_SLOWDOWN = 1.25
MAX_Z_SCORE = 4.0
# Lower bound of the standard deviation of logarithmic paces.
MIN_DEVIATION = 0.1
# Chance below which a version isn't slow just because none of its backend servers
# happens to be one of the fast ones.
MIN_CHANCE = 0.02
# Unit of the sums: whole numbers add up exactly and are short in a digest.
UNITS = 1_000


class PaceStats(msgspec.Struct, array_like=True):
    """Sums over the samples of one backend server, as for a linear regression.

    All sums are in thousandths.

    :param samples: number of samples.
    :param load_sum: sum of the mean loads, in requests.
    :param load_square_sum: sum of their squares.
    :param pace_sum: sum of the logarithms of the paces.
    :param pace_square_sum: sum of the squares of these logarithms.
    :param product_sum: sum of the products of load and logarithm.
    """

    samples: int = 0
    load_sum: int = 0
    load_square_sum: int = 0
    pace_sum: int = 0
    pace_square_sum: int = 0
    product_sum: int = 0

    def add_sample(self, load, pace_ms):
        """Adds a sample.

        :param load: mean number of requests at the backend server.
        :param pace_ms: time between two events, or of a plain request, in milliseconds.
        """
        pace = math.log(pace_ms)
        values = (load, load * load, pace, pace * pace, load * pace)
        self.add(PaceStats(1, *(round(UNITS * value) for value in values)))

    def add(self, other):
        """Adds the sums of other statistics.

        :param other: ``PaceStats``.
        """
        self.samples += other.samples
        self.load_sum += other.load_sum
        self.load_square_sum += other.load_square_sum
        self.pace_sum += other.pace_sum
        self.pace_square_sum += other.pace_square_sum
        self.product_sum += other.product_sum

    @property
    def mean_load(self):
        """Mean load of the samples, in requests."""
        return self.load_sum / UNITS / self.samples

    @property
    def mean_pace(self):
        """Mean logarithm of the paces."""
        return self.pace_sum / UNITS / self.samples

    @property
    def load_spread(self):
        """Sum of the squared deviations of the load from its mean."""
        return max(0.0, self.load_square_sum / UNITS - self.samples * self.mean_load**2)

    @property
    def pace_spread(self):
        """Sum of the squared deviations of the logarithmic pace from its mean."""
        return max(0.0, self.pace_square_sum / UNITS - self.samples * self.mean_pace**2)

    @property
    def joint_spread(self):
        """Sum of the products of both deviations."""
        means = self.mean_load * self.mean_pace
        return self.product_sum / UNITS - self.samples * means

    def find_level(self, slope, load):
        """Estimates the logarithmic pace at a load.

        :param slope: increase of the logarithm with each request.
        :param load: number of requests.
        :return: logarithm of the pace in milliseconds.
        """
        return self.mean_pace + slope * (load - self.mean_load)


class Slope(msgspec.Struct, frozen=True):
    """By how much the logarithm of a pace grows with each request.

    :param value: increase with each request.
    :param spread: sum of the squared deviations of the load that it was found from.
    """

    value: float
    spread: float


class Level(msgspec.Struct, frozen=True, order=True):
    """The pace of a backend server at the load of the new version.

    :param log_pace: logarithm of the pace in milliseconds.
    :param samples: number of samples.
    :param distance: requests by which the load of the samples differs.
    """

    log_pace: float
    samples: int
    distance: float


def compute_pace_ms(elapsed_s, first_event_s, event_count, is_stream):
    """Computes the pace of a complete response.

    :param elapsed_s: time in seconds since the request was sent.
    :param first_event_s: time in seconds from the send to the first event.
    :param event_count: number of events.
    :param is_stream: whether the response is a stream.
    :return: milliseconds; ``None`` if the stream is too short to tell.
    """
    if not is_stream:
        return max(1.0, elapsed_s * 1_000)
    if event_count < MIN_EVENTS or first_event_s is None:
        return None
    return max(0.1, (elapsed_s - first_event_s) * 1_000 / (event_count - 1))


def find_fast_fraction(paces_ms):
    """Finds which fraction of some backend servers is as fast as the fastest.

    :param paces_ms: list of their paces in milliseconds.
    :return: fraction; 0 without any.
    """
    if not paces_ms:
        return 0.0
    limit_ms = MAX_SLOWDOWN * min(paces_ms)
    return sum(item < limit_ms for item in paces_ms) / len(paces_ms)


def find_slowdown(new, old, fast_fraction=0.0):
    """Finds by which factor a new version is slower than the old ones.

    :param new: list of the ``PaceStats`` of its backend servers.
    :param old: list of the ``PaceStats`` of the other backend servers.
    :param fast_fraction: fraction of those that were fast before the release; some may
        have turned slow since.
    :return: factor; 0 if it isn't slower, or if that isn't certain.
    """
    new = [item for item in new if item.samples >= MIN_NEW_SAMPLES]
    old = [item for item in old if item.samples >= MIN_OLD_SAMPLES]
    if min(len(new), len(old)) < MIN_SERVERS_PER_SIDE:
        return 0.0
    slope = _find_slope(old)
    if slope is None:
        return 0.0
    samples = sum(item.samples for item in new)
    load = sum(item.load_sum for item in new) / UNITS / samples
    new_levels = _list_levels(new, slope.value, load)
    old_levels = _list_levels(old, slope.value, load)
    excess = new_levels[0].log_pace - old_levels[0].log_pace
    # Servers that were slowed for a time would make any difference look uncertain.
    compared = [
        item for side in (new, old) for item in _list_fast(side, slope.value, load)
    ]
    deviation = _compute_deviation(compared, slope.value)
    error = deviation * _compute_relative_error(new_levels[0], old_levels[0], slope)
    if excess < max(math.log(MAX_SLOWDOWN), MAX_Z_SCORE * error):
        return 0.0
    if not _is_whole_version(new_levels, old_levels, fast_fraction):
        return 0.0
    return math.exp(excess)


def _find_slope(stats_list):
    # The median, as a server that has turned slow meanwhile has a load that grew too.
    known = [item for item in stats_list if item.load_spread >= MIN_LOAD_SPREAD]
    if not known:
        return None
    value = statistics.median_low(
        item.joint_spread / item.load_spread for item in known
    )
    value = min(max(value, 0.0), MAX_SLOPE)
    return Slope(value, sum(item.load_spread for item in known))


def _compute_relative_error(new_level, old_level, slope):
    # Of the difference of both levels, as a multiple of the deviation of a sample.
    distance = old_level.distance - new_level.distance
    return math.sqrt(
        1 / new_level.samples
        + 1 / old_level.samples
        + (MEDIAN_ERROR * distance) ** 2 / slope.spread
    )


def _list_levels(stats_list, slope, load):
    return sorted(
        Level(item.find_level(slope, load), item.samples, item.mean_load - load)
        for item in stats_list
    )


def _list_fast(stats_list, slope, load):
    levels = [item.find_level(slope, load) for item in stats_list]
    limit = min(levels) + math.log(MAX_SLOWDOWN)
    return [
        item for item, level in zip(stats_list, levels, strict=True) if level < limit
    ]


def _compute_deviation(stats_list, slope):
    squares = sum(
        item.pace_spread
        - 2 * slope * item.joint_spread
        + slope * slope * item.load_spread
        for item in stats_list
    )
    count = sum(item.samples - 1 for item in stats_list)
    return max(MIN_DEVIATION, math.sqrt(max(0.0, squares) / count))


def _is_whole_version(new_levels, old_levels, fast_fraction):
    # The fastest old server may be one of few fast ones, which the new version lacks.
    present = find_fast_fraction([math.exp(item.log_pace) for item in old_levels])
    chance = (1 - max(fast_fraction, present)) ** len(new_levels)
    if chance < MIN_CHANCE:
        return True
    medians = [
        statistics.median(item.log_pace for item in levels)
        for levels in (new_levels, old_levels)
    ]
    return medians[0] - medians[1] > math.log(MAX_SLOWDOWN)
