"""How many requests the backend servers of a release have run, over time."""

import bisect
import collections

# Longest time of a request whose mean load is known, at one sample a tick.
MAX_SAMPLES = 250


class LoadHistory:
    """The requests that all entries had in flight at one backend server."""

    def __init__(self):
        self._times_s = collections.deque(maxlen=MAX_SAMPLES)
        self._totals = collections.deque(maxlen=MAX_SAMPLES)

    def sample(self, running, now_s):
        """Adds a sample.

        :param running: requests in flight.
        :param now_s: current time in seconds.
        """
        self._times_s.append(now_s)
        self._totals.append(running + (self._totals[-1] if self._totals else 0))

    def compute_mean(self, since_s, until_s):
        """Computes the mean number of requests in flight.

        :param since_s: start of the time in seconds.
        :param until_s: end of the time in seconds.
        :return: number of requests; ``None`` without a sample within that time.
        """
        first = bisect.bisect_left(self._times_s, since_s)
        last = bisect.bisect_right(self._times_s, until_s) - 1
        if first > last or not first:
            return None
        return (self._totals[last] - self._totals[first - 1]) / (last - first + 1)


class LoadHistories:
    """The histories of the backend servers of all services with a release."""

    def __init__(self):
        self._histories = {}

    def sample(self, all_servers, now_s):
        """Adds a sample of each backend server, and forgets all others.

        :param all_servers: list of ``servers.Server``.
        :param now_s: current time in seconds.
        """
        histories = {}
        for server in all_servers:
            history = self._histories.get(server.server_id) or LoadHistory()
            history.sample(server.count_running(), now_s)
            histories[server.server_id] = history
        self._histories = histories

    def compute_mean(self, server_id, since_s, until_s):
        """Computes the mean number of requests in flight at a backend server.

        :param server_id: id of the backend server.
        :param since_s: start of the time in seconds.
        :param until_s: end of the time in seconds.
        :return: number of requests, with one at least; ``None`` if it isn't known.
        """
        history = self._histories.get(server_id)
        mean = None if history is None else history.compute_mean(since_s, until_s)
        return None if mean is None else max(1.0, mean)
