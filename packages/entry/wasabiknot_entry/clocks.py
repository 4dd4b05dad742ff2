"""Clock of an entry: Unix time that never goes backwards."""

import time

MS_PER_S = 1000


class Clock:
    """Adds monotonic elapsed time to the wall-clock time of its creation.

    :param reactor: Twisted reactor, as the source of monotonic time.
    """

    def __init__(self, reactor):
        self._reactor = reactor
        self._offset_s = time.time() - reactor.seconds()
        self._last_ms = 0

    def now_ms(self):
        """Returns the current time.

        :return: Unix time in milliseconds.
        """
        now_ms = int((self._offset_s + self._reactor.seconds()) * MS_PER_S)
        self._last_ms = max(self._last_ms, now_ms)
        return self._last_ms
