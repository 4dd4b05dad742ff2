"""Clocks of an entry."""

import time

MS_PER_S = 1000
# Least difference between two checks that counts as a jump. Clocks that are slewed
# differ by less.
MIN_STEP_S = 0.1


def read_steady_clock():
    """Reads a clock that goes on evenly, also while the VM is suspended.

    It begins anew at each start of the VM, so its readings mean nothing to others.

    :return: seconds since the start of the VM.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def make_steady(reactor):
    """Makes a reactor measure time by a steady clock instead of the time of day.

    Its timers, and all that asks it for the time, then don't see the time of day jump.
    To be called before the first timer is set.

    :param reactor: Twisted reactor.
    """
    reactor.seconds = read_steady_clock


class WallClockWatch:
    """Detects that the time of day has jumped.

    :param read_wall_clock: function that returns the time of day, in Unix seconds.
    :param read_steady_clock: function that returns the time of a clock that goes on
        evenly, in seconds.
    """

    def __init__(self, read_wall_clock, read_steady_clock):
        self._read_wall_clock = read_wall_clock
        self._read_steady_clock = read_steady_clock
        self._offset_s = self._read_offset_s()

    def _read_offset_s(self):
        return self._read_wall_clock() - self._read_steady_clock()

    def pop_step_s(self):
        """Returns by how much the time of day has jumped since the last call.

        :return: seconds, negative if it went back; 0 for no jump.
        """
        previous_s, self._offset_s = self._offset_s, self._read_offset_s()
        step_s = self._offset_s - previous_s
        return step_s if abs(step_s) >= MIN_STEP_S else 0.0


class Clock:
    """Unix time that never goes backwards.

    Adds the time that has passed since its creation to the time of day then.

    :param reactor: Twisted reactor with a steady clock.
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
