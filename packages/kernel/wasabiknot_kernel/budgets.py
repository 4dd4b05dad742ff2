"""The budget of repeated sends, shared by all entries."""

import collections

# Part of the allowed ratio and slack that is used, for windows that slide.
SAFETY_FACTOR = 0.8


class RetryBudget:
    """Bounds the repeats of one service within a sliding window.

    Each entry spends the ratio of its own requests, and its part of the slack.

    :param ratio: repeats allowed for each request.
    :param window_s: length of the window in seconds.
    :param slack: repeats that all entries together may add.
    """

    def __init__(self, ratio, window_s, slack):
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack
        self._requests = collections.deque()
        self._repeats = collections.deque()
        self.members = 1

    def set_bounds(self, ratio, window_s, slack):
        """Takes other bounds.

        :param ratio: repeats allowed for each request.
        :param window_s: length of the window in seconds.
        :param slack: repeats that all entries together may add.
        """
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack

    def record_request(self, now_s):
        """Notes a request for the service.

        :param now_s: present time.
        """
        self._requests.append(now_s)
        self._drop_old(now_s)

    def try_acquire(self, now_s):
        """Takes one repeat, if there is one left.

        :param now_s: present time.
        :return: whether the request may be sent again.
        """
        self._drop_old(now_s)
        allowed = self._ratio * len(self._requests) + self._slack / self.members
        if len(self._repeats) + 1 > SAFETY_FACTOR * allowed:
            return False
        self._repeats.append(now_s)
        return True

    def _drop_old(self, now_s):
        for times in (self._requests, self._repeats):
            while times and times[0] < now_s - self._window_s:
                times.popleft()
