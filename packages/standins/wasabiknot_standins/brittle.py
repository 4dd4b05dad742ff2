"""Counts how often brittle backend servers fall over, with real entry processes.

Callers send about what the servers can take, or more, while all servers state that they
fall over if they have to reject requests. They let no request wait meanwhile.
"""

import enum
import pathlib
import sys
import tempfile
import time

from twisted.internet import defer, reactor

from wasabiknot_standins import soakchecks, soaks

MORE_SERVERS = 2
SLOTS = 4
PLAIN_DELAYS_S = (0.05, 0.3)
# Time from the start of the load to the first statement, and from it to the loss of the
# room to wait.
BEFORE_S = 3.0
STABILITY_S = 3.0
# Interval at which the platform asks whether an entry is ready.
QUESTION_INTERVAL_S = 1.0
MAX_FALLS = 2
MAX_FALLS_SHARE = 0.1
LOADS_PER_S = {"calm": 40.0, "overload": 220.0, "restart": 120.0}


class Situation(enum.Enum):
    """How much callers send, and what happens."""

    CALM = "calm"
    OVERLOAD = "overload"
    RESTART = "restart"


class BrittleRun(soaks.Soak):
    """One run with brittle servers.

    :param seed: seed of the requests.
    :param duration_s: time in seconds during which requests are sent.
    :param entry_count: number of entries.
    :param directory: directory for settings and log files.
    :param situation: ``Situation``.
    :param bears_per_s: rejections a second that a server bears.
    """

    departure_share = 0.0
    has_worker_proxies = False

    def __init__(
        self, seed, duration_s, entry_count, directory, situation, bears_per_s
    ):
        super().__init__(seed, duration_s, entry_count, directory)
        self._situation = situation
        self._bears_per_s = bears_per_s
        self.served = 0
        self.sent = 0

    def _start_platform(self):
        super()._start_platform()
        for _ in range(MORE_SERVERS):
            self._add_worker("desk", False)
        for worker in self._workers:
            worker.slots = SLOTS
            worker.plain_delays_s = PLAIN_DELAYS_S
            worker.handle_fall = self._faults.record_fault
            worker.send_heartbeat()

    def _choose_entry(self):
        # The platform sends callers to a new process once it has asked it.
        entry = super()._choose_entry()
        while time.monotonic() - entry.started_s < QUESTION_INTERVAL_S:
            entry = super()._choose_entry()
        return entry

    @property
    def falls(self):
        """Number of times that a server fell over."""
        return sum(worker.falls for worker in self._workers)

    @property
    def max_falls(self):
        """Number of times that they may fall over."""
        return MAX_FALLS + MAX_FALLS_SHARE * len(self._workers)

    @defer.inlineCallbacks
    def _generate_load(self):
        end_s = reactor.seconds() + self._duration_s
        reactor.callLater(BEFORE_S, self._state)
        if self._situation is Situation.RESTART:
            middle_s = BEFORE_S + STABILITY_S + 1.0
            for number in range(2):
                reactor.callLater(middle_s + 2.0 * number, self._faults.stop_entry)
        yield self._send_requests(end_s, LOADS_PER_S[self._situation.value])
        yield self._wait_for_responses()

    def _state(self):
        for worker in self._workers:
            worker.bears_per_s = self._bears_per_s
            worker.room_until_s = reactor.seconds() + STABILITY_S

    def _check_results(self):
        super()._check_results()
        proper = [item for item in self._responses if not item.revoked_key]
        self.sent = len(proper)
        self.served = sum(
            item.status == soakchecks.OK and item.is_complete for item in proper
        )
        if self.falls > self.max_falls:
            self.violations.append(
                f"servers fell over {self.falls} times, allowed {self.max_falls:.1f}"
            )


def play(situation, seed, duration_s=14.0, entry_count=4, bears_per_s=1):
    """Plays one run and prints what was seen.

    :param situation: ``Situation``.
    :param seed: seed of the requests.
    :param duration_s: time in seconds during which requests are sent.
    :param entry_count: number of entries.
    :param bears_per_s: rejections a second that a server bears.
    :return: list of violations.
    """
    directory = pathlib.Path(tempfile.mkdtemp(prefix="wasabiknot-brittle-"))
    run = BrittleRun(seed, duration_s, entry_count, directory, situation, bears_per_s)

    def describe():
        return (
            f"{situation.value} seed {seed}: {run.falls} falls, allowed"
            f" {run.max_falls:.1f}, served {run.served} of {run.sent}"
        )

    return soaks.play_and_report(run, directory, describe)


def main():
    """Plays one run from the command line.

    The arguments are the situation, the seed, the duration in seconds, the number of
    entries, and the rejections a second that a server bears.

    :return: exit code; 1 if a check failed.
    """
    situation = Situation(sys.argv[1]) if len(sys.argv) > 1 else Situation.OVERLOAD
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    duration_s = float(sys.argv[3]) if len(sys.argv) > 3 else 14.0
    entry_count = int(sys.argv[4]) if len(sys.argv) > 4 else 4
    bears_per_s = int(sys.argv[5]) if len(sys.argv) > 5 else 1
    return 1 if play(situation, seed, duration_s, entry_count, bears_per_s) else 0


if __name__ == "__main__":
    sys.exit(main())
