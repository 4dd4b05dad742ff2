"""Limits the rate at which an entry sends requests to a backend server."""

MAX_SAVED_REQUESTS = 1.0


class RateLimiter:
    """A token bucket with room for one request.

    It starts empty, as it isn't known how many requests were sent just before.

    :param now_s: current time in seconds.
    """

    def __init__(self, now_s):
        self.rate_per_s = 0.0
        self._saved = 0.0
        self._counted_s = now_s

    def set_rate(self, rate_per_s, now_s):
        """Sets the rate from now on.

        :param rate_per_s: requests a second; 0 for none.
        :param now_s: current time in seconds.
        """
        if rate_per_s != self.rate_per_s:
            self.count_saved(now_s)
            self.rate_per_s = rate_per_s

    def count_saved(self, now_s):
        """Counts the requests that are saved up.

        :param now_s: current time in seconds.
        :return: number of requests with fractions, at most ``MAX_SAVED_REQUESTS``.
        """
        if now_s <= self._counted_s:
            return self._saved
        elapsed_s = now_s - self._counted_s
        saved = self._saved + self.rate_per_s * elapsed_s
        self._saved = min(MAX_SAVED_REQUESTS, saved)
        self._counted_s = now_s
        return self._saved

    def hold(self, until_s):
        """Saves up nothing until a time.

        :param until_s: time in seconds.
        """
        self._saved = 0.0
        self._counted_s = max(self._counted_s, until_s)

    def may_send(self, now_s):
        """Tells whether a request may be sent now.

        :param now_s: current time in seconds.
        :return: ``True`` if a whole request is saved up and the rate is not 0.
        """
        return self.rate_per_s > 0.0 and self.count_saved(now_s) >= 1.0

    def record_send(self, now_s):
        """Records that a request is sent.

        :param now_s: current time in seconds.
        """
        self._saved = max(0.0, self.count_saved(now_s) - 1.0)
