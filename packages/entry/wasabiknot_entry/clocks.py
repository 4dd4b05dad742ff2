"""The clock of an entry: Unix time that never goes back."""

import time

MS_PER_S = 1000


class Clock:
    """Counts on from the wall clock at the start by the monotonic clock.

    :param reactor: source of monotonic seconds.
    """

    def __init__(self, reactor):
        self._reactor = reactor
        self._base_s = time.time() - reactor.seconds()
        self._last_ms = 0

    def now_ms(self):
        """Returns the present time.

        :return: Unix milliseconds.
        """
        now_ms = int((self._base_s + self._reactor.seconds()) * MS_PER_S)
        self._last_ms = max(self._last_ms, now_ms)
        return self._last_ms
