"""Measures how far the event loop is behind, and how long its input has waited."""

# A poll that returns later than this has waited for its events.
MIN_WAIT_S = 0.000_5
# Time by which a sound poll may exceed its timeout. Beyond it, the process has waited
# for the processor, perhaps with readable sockets.
MAX_OVERRUN_S = 0.02


class LoopClock:
    """Knows since when what the event loop reads now may have been readable.

    The operating system lists all readable sockets at each poll. Those that it lists
    first at this poll became readable after the one before.

    :param seconds: function that returns the current time, in seconds.
    """

    def __init__(self, seconds):
        self._seconds = seconds
        now_s = seconds()
        self._polled_s = now_s
        self._longest_delay_s = 0.0
        self._readable_since_s = now_s
        # Number of the turn of the loop; 0 if the loop isn't watched.
        self.turn = 0

    def record_poll(self, begun_s, timeout_s):
        """Records that a poll has returned, so that a turn begins.

        :param begun_s: time at which the poll began, in seconds.
        :param timeout_s: time after which it was to return, in seconds; negative for
            none.
        """
        now_s = self._seconds()
        waited_s = now_s - begun_s
        overrun_s = waited_s - timeout_s if timeout_s >= 0 else 0.0
        self._record_delay(begun_s - self._polled_s)
        self._record_delay(overrun_s)
        if overrun_s > MAX_OVERRUN_S:
            self._readable_since_s = begun_s
        elif waited_s > MIN_WAIT_S:
            self._readable_since_s = now_s
        else:
            self._readable_since_s = self._polled_s
        self._polled_s = now_s
        self.turn += 1

    def _record_delay(self, delay_s):
        self._longest_delay_s = max(self._longest_delay_s, delay_s)

    @property
    def readable_since_s(self):
        """Earliest time at which what is read in this turn came, in seconds."""
        return self._readable_since_s if self.turn else self._seconds()

    def pop_longest_delay_s(self):
        """Returns the longest delay since the last call.

        It is a turn of the loop, the present one included, or the time by which the
        process got the processor late.

        :return: seconds.
        """
        if self.turn:
            self._record_delay(self._seconds() - self._polled_s)
        longest_s, self._longest_delay_s = self._longest_delay_s, 0.0
        return longest_s


class _TimedPoller:
    # Stands in for the epoll object of the reactor, which has no hook for this.
    def __init__(self, poller, clock, seconds):
        self._poller = poller
        self._clock = clock
        self._seconds = seconds
        self.register = poller.register
        self.modify = poller.modify
        self.unregister = poller.unregister

    def poll(self, timeout, max_events):
        begun_s = self._seconds()
        ready = self._poller.poll(timeout, max_events)
        self._clock.record_poll(begun_s, timeout)
        return ready


def watch(reactor):
    """Watches the turns of a reactor.

    :param reactor: Twisted reactor; turns of others than epoll reactors aren't seen.
    :return: ``LoopClock``.
    """
    clock = LoopClock(reactor.seconds)
    poller = getattr(reactor, "_poller", None)
    if poller is not None:
        reactor._poller = _TimedPoller(poller, clock, reactor.seconds)
    return clock
