"""Starts an entry whose time of day jumps at each SIGUSR1."""

import signal
import sys
import time

from wasabiknot_entry import edge, start_signals

# Jumps that follow each other, in seconds.
STEPS_S = (3_600.0, -7_200.0, 3.0, -3.0, 30.0)


class SteppedClock:
    """A time of day that jumps.

    :param read: function that returns the Unix time in seconds.
    """

    def __init__(self, read):
        self._read = read
        self._offset_s = 0.0
        self._step_count = 0

    def step(self):
        """Makes the next jump."""
        self._offset_s += STEPS_S[self._step_count % len(STEPS_S)]
        self._step_count += 1

    def read(self):
        """Returns the Unix time in seconds."""
        return self._read() + self._offset_s

    def read_ns(self):
        """Returns the Unix time in nanoseconds."""
        return int(self.read() * 1e9)


def main():
    """Runs the entry, which handles SIGUSR1 from its first instruction on.

    :return: its exit code.
    """
    # What comes between that instruction and those of the entry ends no process.
    start_signals.StartSignals().install()
    clock = SteppedClock(time.time)
    # The entry imports nothing that reads the time before it runs.
    time.time = clock.read
    time.time_ns = clock.read_ns
    signal.signal(signal.SIGUSR1, lambda number, frame: clock.step())
    return edge.run()


if __name__ == "__main__":
    sys.exit(main())
