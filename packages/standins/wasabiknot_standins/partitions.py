"""Plays entries that reach no backend server, while callers and peers reach them.

The cuts are those of ``entrycuts``. Each first try comes on a new connection.
"""

import math
import pathlib
import random
import sys
import tempfile

import msgspec
from twisted.internet import defer, reactor

from wasabiknot_standins import entrycuts, soakchecks, soaks

LOAD_PER_S = 60.0
MORE_SERVERS = 2
# Start of the cut, and time from its end to the end of the load.
BEFORE_S = 5.0
AFTER_S = 3.0
# Time from the start of the cut after which requests count.
STABILITY_S = 3.0
# Bounds on what callers of the entries that are cut off see: the least share of what is
# served elsewhere, and the failed requests, which are a number and a share of all.
MIN_SERVED_RATIO = 2 / 3
MAX_FAILED = 10
MAX_FAILED_SHARE = 1 / 50


class Tally(msgspec.Struct):
    """First tries that count, and those of them that were served.

    :param sent: number of requests.
    :param served: complete successful responses.
    """

    sent: int = 0
    served: int = 0

    @property
    def failed(self):
        """Number of requests that weren't served."""
        return self.sent - self.served

    @property
    def share(self):
        """Share of the requests that were served; 1 without requests."""
        return self.served / self.sent if self.sent else 1.0


class Summary(msgspec.Struct):
    """What callers saw from ``STABILITY_S`` after the start of the cut to its end.

    :param cut: ``Tally`` of the entries that were cut off.
    :param elsewhere: ``Tally`` of the others.
    """

    cut: Tally
    elsewhere: Tally

    @property
    def max_failed(self):
        """Number of requests that may fail at the entries that are cut off."""
        total = self.cut.sent + self.elsewhere.sent
        return MAX_FAILED + MAX_FAILED_SHARE * total

    @property
    def is_violation(self):
        """Whether both bounds on what the cut costs are exceeded."""
        ratio = self.cut.share / self.elsewhere.share if self.elsewhere.served else 1.0
        return ratio < MIN_SERVED_RATIO and self.cut.failed > self.max_failed


class PartitionRun(soaks.Soak):
    """One run in which some entries are cut off from the servers.

    :param seed: seed of the requests, and of the entries that are cut off.
    :param duration_s: length of the cut in seconds.
    :param entry_count: number of entries.
    :param directory: directory for settings and log files.
    :param cut: ``entrycuts.Cut``.
    :param cut_count: number of entries that are cut off.
    """

    departure_share = 0.0
    max_idle_s = -1.0

    def __init__(self, seed, duration_s, entry_count, directory, cut, cut_count):
        super().__init__(seed, duration_s, entry_count, directory)
        self._cut = cut
        self._cut_numbers = self._cuts.choose_entries(entry_count, cut_count)
        self._cut_s = (math.inf, math.inf)
        self.summary = Summary(Tally(), Tally())

    def _start_platform(self):
        super()._start_platform()
        for _ in range(MORE_SERVERS):
            self._add_worker("desk", False)

    @defer.inlineCallbacks
    def _generate_load(self):
        duration_s = BEFORE_S + self._duration_s + AFTER_S
        end_s = reactor.seconds() + duration_s
        reactor.callLater(BEFORE_S, self._start_cut)
        yield self._send_requests(end_s, LOAD_PER_S)
        yield self._wait_for_responses()

    def _start_cut(self):
        now_s = reactor.seconds()
        self._cut_s = (now_s, now_s + self._duration_s)
        if self._cut is not entrycuts.Cut.NONE:
            self._cuts.start(self._cut, self._cut_numbers, self._duration_s)

    def _check_results(self):
        super()._check_results()
        start_s, end_s = self._cut_s
        counted = [
            item
            for item in self._responses
            if start_s + STABILITY_S <= item.sent_s < end_s and not item.revoked_key
        ]
        for item in counted:
            is_cut = item.entry in self._cut_numbers
            tally = self.summary.cut if is_cut else self.summary.elsewhere
            tally.sent += 1
            tally.served += item.status == soakchecks.OK and item.is_complete
        if self.summary.is_violation:
            self.violations.append(
                f"{self.summary.cut.failed} requests failed at entries that were cut"
                f" off, allowed {self.summary.max_failed:.0f}"
            )


def play(cut, seed, duration_s=10.0, entry_count=4, cut_count=1):
    """Plays one run and prints what was seen.

    :param cut: ``entrycuts.Cut``.
    :param seed: seed of the requests, and of the entries that are cut off.
    :param duration_s: length of the cut in seconds.
    :param entry_count: number of entries.
    :param cut_count: number of entries that are cut off.
    :return: list of violations.
    """
    directory = pathlib.Path(tempfile.mkdtemp(prefix="wasabiknot-partitions-"))
    run = PartitionRun(seed, duration_s, entry_count, directory, cut, cut_count)

    def describe():
        cut_tally, elsewhere = run.summary.cut, run.summary.elsewhere
        return (
            f"{cut.value} {cut_count} of {entry_count} seed {seed}:"
            f" served {cut_tally.share:.3f} of {cut_tally.sent} at entries cut off,"
            f" {elsewhere.share:.3f} of {elsewhere.sent} elsewhere;"
            f" failed {cut_tally.failed}, bound {run.summary.max_failed:.0f}"
        )

    return soaks.play_and_report(run, directory, describe)


def main():
    """Plays one run from the command line.

    The arguments are the cut, the seed, its length in seconds, the number of entries
    and the number of those that are cut off.

    :return: exit code; 1 if a check failed.
    """
    cut = entrycuts.Cut(sys.argv[1]) if len(sys.argv) > 1 else entrycuts.Cut.SILENT
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else random.randrange(1_000_000)
    duration_s = float(sys.argv[3]) if len(sys.argv) > 3 else 10.0
    entry_count = int(sys.argv[4]) if len(sys.argv) > 4 else 4
    cut_count = int(sys.argv[5]) if len(sys.argv) > 5 else 1
    return 1 if play(cut, seed, duration_s, entry_count, cut_count) else 0


if __name__ == "__main__":
    sys.exit(main())
