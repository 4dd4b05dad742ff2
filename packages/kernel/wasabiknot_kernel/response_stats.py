"""Counts and durations of responses, as evidence about a version."""

import enum
import math

import msgspec

from wasabiknot_kernel import engine_paces

# Decimals of a sum of logarithms that are worth their bytes in a digest.
SUM_DECIMALS = 3


class FailureKind(enum.Enum):
    """Kinds of failures, which have different causes. The values appear in logs."""

    FAILED = "failed"
    LOST = "lost"
    SILENT = "silent"


class ResponseStats(msgspec.Struct, array_like=True):
    """Counts and durations of responses.

    A duration ratio is the duration of a response divided by its predicted duration.

    :param successes: complete responses.
    :param failures: responses that failed or did not arrive.
    :param samples: responses with a known duration ratio.
    :param log_ratio_sum: sum of the logarithms of the duration ratios.
    :param log_ratio_square_sum: sum of the squares of these logarithms.
    :param losses: those of the failures that lost their response.
    :param timeouts: those of the failures that timed out.
    :param pace_stats: ``engine_paces.PaceStats`` of a backend server, or ``None``.
    """

    successes: int = 0
    failures: int = 0
    samples: int = 0
    log_ratio_sum: float = 0.0
    log_ratio_square_sum: float = 0.0
    losses: int = 0
    timeouts: int = 0
    pace_stats: engine_paces.PaceStats | None = None

    def add_failure(self, kind):
        """Adds a response that failed or did not arrive.

        :param kind: ``FailureKind``.
        """
        self.failures += 1
        self.losses += kind is FailureKind.LOST
        self.timeouts += kind is FailureKind.SILENT

    def count_failures(self, kind):
        """Counts the failures of one kind.

        :param kind: ``FailureKind``.
        :return: number of failures.
        """
        if kind is FailureKind.LOST:
            return self.losses
        if kind is FailureKind.SILENT:
            return self.timeouts
        return self.failures - self.losses - self.timeouts

    def add_pace(self, load, pace_ms):
        """Adds the pace of a response.

        :param load: mean number of requests at the backend server.
        :param pace_ms: time between two events, or of a plain request, in milliseconds.
        """
        if self.pace_stats is None:
            self.pace_stats = engine_paces.PaceStats()
        self.pace_stats.add_sample(load, pace_ms)

    def copy(self):
        """Copies the counts and sums.

        :return: ``ResponseStats``.
        """
        total = ResponseStats()
        total.add(self)
        return total

    def add_duration_ratio(self, duration_ratio):
        """Adds the duration ratio of a response.

        :param duration_ratio: actual divided by predicted duration.
        """
        logarithm = math.log(duration_ratio)
        self.samples += 1
        self.log_ratio_sum = round(self.log_ratio_sum + logarithm, SUM_DECIMALS)
        self.log_ratio_square_sum = round(
            self.log_ratio_square_sum + logarithm * logarithm, SUM_DECIMALS
        )

    def sum_squared_deviations(self):
        """Sums the squared deviations of the logarithmic ratios from their mean.

        :return: sum of squares; 0 without samples.
        """
        if not self.samples:
            return 0.0
        return max(
            0.0, self.log_ratio_square_sum - self.log_ratio_sum**2 / self.samples
        )

    def add(self, other):
        """Adds the counts and sums of other statistics.

        :param other: ``ResponseStats``.
        """
        self.successes += other.successes
        self.failures += other.failures
        self.samples += other.samples
        self.log_ratio_sum += other.log_ratio_sum
        self.log_ratio_square_sum += other.log_ratio_square_sum
        self.losses += other.losses
        self.timeouts += other.timeouts
        if other.pace_stats is not None:
            if self.pace_stats is None:
                self.pace_stats = engine_paces.PaceStats()
            self.pace_stats.add(other.pace_stats)


def compute_log_deviation(stats_list):
    """Computes the standard deviation of the logarithmic ratios within each item.

    :param stats_list: list of ``ResponseStats``.
    :return: standard deviation around the means of the items; 0 without samples.
    """
    degrees_of_freedom = sum(item.samples - 1 for item in stats_list)
    return math.sqrt(
        sum(map(ResponseStats.sum_squared_deviations, stats_list))
        / max(1, degrees_of_freedom)
    )
