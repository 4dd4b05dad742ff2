"""Retry budgets, shared by all entries."""

import bisect
import collections

# Fraction of the ratio and slack that is used. The margin covers entries whose loads
# peak at different times.
SAFETY_FACTOR = 0.8
# Fraction of the retries by the ratio that may be hedges, so that the larger part and
# all of the slack remain for failures. Within a window it allows at least one hedge, as
# few requests come to an entry of a large fleet.
HEDGE_FRACTION = 0.25
MIN_HEDGES_PER_WINDOW = 1
# Largest number of unused hedges that accumulate: slow sends come in bursts.
MAX_SAVED_HEDGES = 5.0
# Windows, by the delay from their end until now, of which the one with the most
# requests bounds the retries; in lengths of the window.
REQUEST_WINDOW_DELAYS = (0.0, 0.5, 1.0)
# Steps in which the time is divided for which a retry counts.
STEPS_PER_WINDOW = 20

# Time for which entries that have fallen silent keep their part of the slack. They may
# be cut off from this entry alone and go on retrying.
MEMBER_MEMORY_S = 300.0
MEMBER_SAMPLE_S = 10.0


class PeakCount:
    """The largest number of entries that was counted lately."""

    def __init__(self):
        self._samples = collections.deque()

    def record(self, count, now_s):
        """Records the current number of entries.

        :param count: number of entries.
        :param now_s: current time in seconds.
        :return: largest number within ``MEMBER_MEMORY_S``.
        """
        samples = self._samples
        if not samples or now_s - samples[-1][0] >= MEMBER_SAMPLE_S:
            samples.append((now_s, count))
        elif count > samples[-1][1]:
            samples[-1] = (samples[-1][0], count)
        while now_s - samples[0][0] > MEMBER_MEMORY_S:
            samples.popleft()
        return max(peak for _, peak in samples)


class RetryBudget:
    """Limits the retries to one service within a sliding window.

    Each entry may use the ratio of its own requests, plus an equal part of the slack.
    The requests are those of the window before a point in time, of the one before that
    or of the one between them, whichever has most. A retry counts for the length of a
    window, so it must be within the ratio at each point until then.

    An entry uses no slack during the first window after its start, as it does not know
    what its previous run has used.

    Hedges are retries too. Each request earns a part of one, and a fraction of the
    retries within a window may be hedges.

    :param ratio: retries allowed per request.
    :param window_s: length of the window in seconds.
    :param slack: retries that all entries together may send beyond the ratio.
    """

    def __init__(self, ratio, window_s, slack):
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack
        self._requests = []
        self._retries = collections.deque()
        self._hedges = collections.deque()
        self._saved_hedges = 0.0
        self.entry_count = 1
        self.has_slack = True

    def set_bounds(self, ratio, window_s, slack):
        """Replaces the limits.

        :param ratio: retries allowed per request.
        :param window_s: length of the window in seconds.
        :param slack: retries that all entries together may send beyond the ratio.
        """
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack

    def record_request(self, now_s):
        """Records a request to the service.

        :param now_s: current time in seconds.
        """
        self._requests.append(now_s)
        earned = HEDGE_FRACTION * SAFETY_FACTOR * self._ratio
        self._saved_hedges = min(MAX_SAVED_HEDGES, self._saved_hedges + earned)
        # Dropping is seldom worth it: it moves all that is left.
        if now_s - self._requests[0] > 2 * self._find_memory_s():
            self._drop_expired(now_s)

    def try_acquire(self, now_s):
        """Uses one retry of the budget, if any is left.

        :param now_s: current time in seconds.
        :return: whether the request may be retried.
        """
        self._drop_expired(now_s)
        slack = self._slack / self.entry_count if self.has_slack else 0.0
        allowed = self._ratio * self._count_lasting_requests(now_s) + slack
        if len(self._retries) + 1 > SAFETY_FACTOR * allowed:
            return False
        self._retries.append(now_s)
        return True

    def try_acquire_hedge(self, now_s):
        """Uses one retry of the budget for a hedge, if the part of hedges has one left.

        :param now_s: current time in seconds.
        :return: whether the hedge may be sent.
        """
        self._drop_expired(now_s)
        if self._saved_hedges < 1.0 or not self._has_window_hedge(now_s):
            return False
        if not self.try_acquire(now_s):
            return False
        self._saved_hedges -= 1.0
        self._hedges.append(now_s)
        return True

    def _has_window_hedge(self, now_s):
        allowed = SAFETY_FACTOR * self._ratio * self._count_lasting_requests(now_s)
        part = max(MIN_HEDGES_PER_WINDOW, HEDGE_FRACTION * allowed)
        return len(self._hedges) + 1 <= part

    def _count_lasting_requests(self, now_s):
        # Requests that permit a retry until it leaves the window, if no more come.
        return min(
            self._count_at_step(now_s, step / STEPS_PER_WINDOW)
            for step in range(STEPS_PER_WINDOW)
        )

    def _count_at_step(self, now_s, delay):
        # The windows that end at any point in the step have these requests in common.
        counts = []
        for window_delay in REQUEST_WINDOW_DELAYS:
            end_s = now_s + (delay - window_delay) * self._window_s
            start_s = end_s - (1.0 - 1.0 / STEPS_PER_WINDOW) * self._window_s
            start = bisect.bisect_right(self._requests, start_s)
            counts.append(bisect.bisect_right(self._requests, end_s) - start)
        return max(counts)

    def _drop_expired(self, now_s):
        oldest_s = now_s - self._find_memory_s()
        del self._requests[: bisect.bisect_right(self._requests, oldest_s)]
        for sends in (self._retries, self._hedges):
            while sends and sends[0] < now_s - self._window_s:
                sends.popleft()

    def _find_memory_s(self):
        return (1.0 + max(REQUEST_WINDOW_DELAYS)) * self._window_s
