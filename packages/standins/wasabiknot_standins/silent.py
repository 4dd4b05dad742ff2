"""Counts the requests that end without a complete response while servers are silent.

Callers send requests on kept connections through entry processes, while sound backend
servers say nothing for about a second and go on, beside new versions of the
configuration. There are no faults.
"""

import enum
import pathlib
import sys
import tempfile

import msgspec
from twisted.internet import defer, reactor

from wasabiknot_standins import soakchecks, soakconfigurations, soaks, soaksilences

LOAD_PER_S = 40.0
# Plain backend servers beside those of every soak.
MORE_SERVERS = 2
PLAIN_DELAYS_S = (0.05, 2.2)
# Length of the silence of one server, and of all at the same time.
ONE_SILENT_S = 1.2
ALL_SILENT_S = 1.6
VERSION_INTERVAL_S = 0.3
MOVE_INTERVAL_S = 4.0
SIGHUP_INTERVAL_S = 1.0
SIGTERM_INTERVAL_S = 7.0
BAD_GATEWAY = 502


class Situation(enum.Enum):
    """Which servers fall silent, and what the operator does."""

    NONE = "none"
    ONE = "one"
    ALL = "all"
    VERSIONS = "versions"
    ONE_VERSIONS = "one-versions"
    ALL_VERSIONS = "all-versions"
    ALL_MOVES = "all-moves"
    ALL_RELOADS = "all-reloads"
    ALL_STOPS = "all-stops"


ONE_SILENT = (Situation.ONE, Situation.ONE_VERSIONS)
ALL_SILENT = (
    Situation.ALL,
    Situation.ALL_VERSIONS,
    Situation.ALL_MOVES,
    Situation.ALL_RELOADS,
    Situation.ALL_STOPS,
)
WITH_VERSIONS = (
    Situation.VERSIONS,
    Situation.ONE_VERSIONS,
    Situation.ALL_VERSIONS,
)


class Summary(msgspec.Struct):
    """What the callers of one run saw.

    :param sent: number of requests with a valid key to a route of all versions.
    :param served: complete successful responses to them.
    :param lost: requests that ended without a complete response and an excuse.
    :param excused: requests that ended so with an excuse.
    :param unanswered: responses with status 502 to requests that may be repeated.
    :param served_per_s: the same a second.
    """

    sent: int = 0
    served: int = 0
    lost: int = 0
    excused: int = 0
    unanswered: int = 0
    served_per_s: float = 0.0


class SilentRun(soaks.Soak):
    """One run with backend servers that fall silent.

    :param seed: seed of the requests, silences and versions.
    :param duration_s: time in seconds during which requests are sent.
    :param entry_count: number of entries.
    :param directory: directory for settings and log files.
    :param situation: ``Situation``.
    """

    has_worker_proxies = False

    def __init__(self, seed, duration_s, entry_count, directory, situation):
        super().__init__(seed, duration_s, entry_count, directory)
        self._situation = situation
        silent_s = ALL_SILENT_S if situation in ALL_SILENT else ONE_SILENT_S
        self._silences = soaksilences.Silences(
            seed, self._list_workers, (silent_s, silent_s)
        )
        self._unused_services = iter(soakconfigurations.SERVICES["pool"][1:])
        self.summary = Summary()

    def _start_platform(self):
        super()._start_platform()
        for _ in range(MORE_SERVERS):
            self._add_worker("desk", False)
        self._start_more_services()
        for worker in self._list_workers():
            worker.plain_delays_s = PLAIN_DELAYS_S

    @defer.inlineCallbacks
    def _generate_load(self):
        end_s = reactor.seconds() + self._duration_s
        self._start_silences()
        self._start_planned_work(end_s)
        yield self._send_requests(end_s, LOAD_PER_S)
        yield self._wait_for_responses()

    def _start_silences(self):
        who = soaksilences.Who.NONE
        if self._situation in ONE_SILENT:
            who = soaksilences.Who.ONE
        elif self._situation in ALL_SILENT:
            who = soaksilences.Who.ALL
        self._silences.schedule(who, self._duration_s)

    def _start_planned_work(self, end_s):
        works = {
            Situation.ALL_MOVES: (MOVE_INTERVAL_S, self._move_streams),
            Situation.ALL_RELOADS: (SIGHUP_INTERVAL_S, self._faults.send_sighup),
            Situation.ALL_STOPS: (SIGTERM_INTERVAL_S, self._faults.stop_entry),
        }
        for situation in WITH_VERSIONS:
            works[situation] = (VERSION_INTERVAL_S, self._configurations.publish)
        if self._situation in works:
            working = self._repeat(end_s, *works[self._situation])
            working.addErrback(self._record_internal_error)

    def _move_streams(self):
        # To a service that no route has named before, as long as there is one.
        service = next(self._unused_services, None)
        if service is None:
            return
        for name in ("draft", "summary"):
            self._configurations.move_route(name, service)
        self._configurations.publish(is_changing=False)

    def _check_results(self):
        super()._check_results()
        proper = [
            item
            for item in self._responses
            if not item.revoked_key and not item.may_lack_route
        ]
        served = [
            item for item in proper if item.status == soakchecks.OK and item.is_complete
        ]
        unanswered = [
            item
            for item in self._responses
            if item.status == BAD_GATEWAY and item.route in soakchecks.REPEATABLE_ROUTES
        ]
        incomplete = [
            item
            for item in self._responses
            if item.whole_s is not None and not item.is_complete
        ]
        lost = self._build_checker().list_lost()
        self.summary = Summary(
            len(proper),
            len(served),
            len(lost),
            len(incomplete) - len(lost),
            len(unanswered),
            len(served) / self._duration_s,
        )


def play(situation, seed, duration_s=25.0, entry_count=3):
    """Plays one run and prints what was seen.

    :param situation: ``Situation``.
    :param seed: seed of the requests, silences and versions.
    :param duration_s: time in seconds during which requests are sent.
    :param entry_count: number of entries.
    :return: list of violations.
    """
    directory = pathlib.Path(tempfile.mkdtemp(prefix="wasabiknot-silent-"))
    run = SilentRun(seed, duration_s, entry_count, directory, situation)

    def describe():
        summary = run.summary
        return (
            f"{situation.value} seed {seed}: lost {summary.lost},"
            f" excused {summary.excused},"
            f" 502 to repeatable requests {summary.unanswered},"
            f" served {summary.served} of {summary.sent},"
            f" {summary.served_per_s:.1f} a second"
        )

    return soaks.play_and_report(run, directory, describe)


def main():
    """Plays one run from the command line.

    :return: exit code; 1 if a check failed.
    """
    return soaks.play_command(play, Situation, Situation.ALL)


if __name__ == "__main__":
    sys.exit(main())
