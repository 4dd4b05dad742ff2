"""Retry budgets, shared by all entries."""

import collections

# Fraction of the ratio and slack that is used. The margin covers requests that leave
# the sliding window before the retries that they permitted.
SAFETY_FACTOR = 0.8


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
    It uses no slack during the first window after its start, as it does not know what
    its previous run has used.

    :param ratio: retries allowed per request.
    :param window_s: length of the window in seconds.
    :param slack: retries that all entries together may send beyond the ratio.
    """

    def __init__(self, ratio, window_s, slack):
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack
        self._requests = collections.deque()
        self._retries = collections.deque()
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
        self._drop_expired(now_s)

    def try_acquire(self, now_s):
        """Uses one retry of the budget, if any is left.

        :param now_s: current time in seconds.
        :return: whether the request may be retried.
        """
        self._drop_expired(now_s)
        slack = self._slack / self.entry_count if self.has_slack else 0.0
        allowed = self._ratio * len(self._requests) + slack
        if len(self._retries) + 1 > SAFETY_FACTOR * allowed:
            return False
        self._retries.append(now_s)
        return True

    def _drop_expired(self, now_s):
        for times in (self._requests, self._retries):
            while times and times[0] < now_s - self._window_s:
                times.popleft()
