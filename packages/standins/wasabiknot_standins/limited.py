"""Counts the requests that reach backend servers beyond what they have stated.

Callers send requests through entry processes, while some backend servers state a limit
of requests a second, that they are leaving, or for how long they want no request.
"""

import collections
import enum
import pathlib
import random
import signal
import sys
import tempfile

from twisted.internet import defer, reactor

from wasabiknot_standins import limitchecks, soaks

# Time after the start of the load at which the limits begin.
LIMIT_DELAY_S = 3.0
# Plain backend servers beside those of every soak.
MORE_SERVERS = 2
RESTART_DELAY_S = 6.0
CHANGE_INTERVAL_S = 5.0
# Share of the requests that the first entry gets when demand is uneven.
UNEVEN_SHARE = 0.6
RETRY_AFTER_S = 3.0


class Situation(enum.Enum):
    """How the load and the limits are in a run."""

    EVEN = "even"
    UNEVEN = "uneven"
    ALL_LIMITED = "all-limited"
    CHANGING = "changing"
    RESTART = "restart"
    LEAVING = "leaving"
    DEFERRING = "deferring"
    DEFERRING_UNCLEAR = "deferring-unclear"


DEFERRING = (Situation.DEFERRING, Situation.DEFERRING_UNCLEAR)


class LimitedRun(soaks.Soak):
    """One run with backend servers that state limits.

    :param seed: seed of the requests.
    :param duration_s: time in seconds during which requests are sent.
    :param entry_count: number of entries.
    :param directory: directory for settings and log files.
    :param situation: ``Situation``.
    :param limit_per_s: limit that the servers state, in requests a second.
    :param load_per_s: requests a second.
    """

    has_worker_proxies = False

    def __init__(
        self,
        seed,
        duration_s,
        entry_count,
        directory,
        situation,
        limit_per_s,
        load_per_s,
    ):
        super().__init__(seed, duration_s, entry_count, directory)
        self._situation = situation
        self._limit_per_s = limit_per_s
        self._load_per_s = load_per_s
        self._entry_by_request = {}
        self.peaks = []
        self.statuses = collections.Counter()

    def _start_platform(self):
        super()._start_platform()
        for _ in range(MORE_SERVERS):
            self._add_worker("desk", False)

    def _choose_entry(self):
        is_uneven = self._situation is Situation.UNEVEN
        if is_uneven and self._rng.random() < UNEVEN_SHARE:
            return self._entries[0]
        return super()._choose_entry()

    def _record_response(self, response):
        super()._record_response(response)
        self.statuses[response.status] += 1

    @defer.inlineCallbacks
    def _generate_load(self):
        end_s = reactor.seconds() + self._duration_s
        reactor.callLater(LIMIT_DELAY_S, self._set_limits, self._limit_per_s)
        if self._situation is Situation.CHANGING:
            self._change_limits().addErrback(self._record_internal_error)
        elif self._situation is Situation.RESTART:
            reactor.callLater(RESTART_DELAY_S, self._restart_one)
        yield self._send_requests(end_s, self._load_per_s)
        yield self._wait_for_responses()

    def _set_limits(self, limit_per_s):
        limited = self._workers
        if self._situation is not Situation.ALL_LIMITED:
            engines = [worker for worker in self._workers if worker.is_engine]
            plain = [worker for worker in self._workers if not worker.is_engine]
            limited = [engines[0], plain[0]]
        for worker in limited:
            self._set_statement(worker, limit_per_s)

    def _set_statement(self, worker, limit_per_s):
        if self._situation is Situation.LEAVING:
            worker.is_leaving = True
        elif self._situation in DEFERRING:
            worker.retry_after_s = RETRY_AFTER_S
            worker.states_not_executed = self._situation is Situation.DEFERRING
        else:
            worker.limit_per_s = limit_per_s

    @defer.inlineCallbacks
    def _change_limits(self):
        # Falls to half, ends, and comes back.
        yield soaks.sleep(LIMIT_DELAY_S)
        for limit_per_s in (self._limit_per_s / 2, None, self._limit_per_s):
            yield soaks.sleep(CHANGE_INTERVAL_S)
            self._set_limits(limit_per_s)

    def _restart_one(self):
        entry = self._entries[0]
        entry.send_signal(signal.SIGKILL)
        entry.process.wait()
        entry.start()

    def _find_entry(self, contact):
        entry = self._entry_by_request.get(contact.request_id)
        # A restart excuses an entry.
        if self._situation is Situation.RESTART and entry == 0:
            return None
        return entry

    def _check_results(self):
        self._entry_by_request = {
            response.request_id: response.entry for response in self._responses
        }
        contacts = self._recorder.contacts
        if self._situation is Situation.LEAVING:
            count = limitchecks.count_after_leaving(contacts, self._find_entry)
            self._check_count("requests to leaving servers", count, 0)
            return
        if self._situation in DEFERRING:
            self._check_deferral(
                limitchecks.find_most_deferred(
                    contacts, self._find_entry, self._departures.find_times_s()
                )
            )
            return
        self.peaks = limitchecks.find_peaks(contacts, self._find_entry)
        if not self.peaks:
            self.violations.append("no server got a request within its limit")
        for peak in self.peaks:
            if peak.is_violation:
                self.violations.append(
                    f"{peak.server_id}: {peak.count} requests in"
                    f" {limitchecks.WINDOW_S:.0f} s, allowed {peak.allowed:.0f}"
                )

    def _check_deferral(self, deferral):
        print(f"most within a time named: {deferral}")
        if deferral is None:
            self.violations.append("no server has named a time")
        elif deferral.is_violation:
            self.violations.append(str(deferral))

    def _check_count(self, what, count, allowed):
        print(f"{what}: {count}, allowed {allowed}")
        if count > allowed:
            self.violations.append(f"{what}: {count}, allowed {allowed}")


def play(situation, seed, limit_per_s=5.5, duration_s=16.0, entry_count=4, load=70.0):
    """Plays one run and prints what was seen.

    :param situation: ``Situation``.
    :param seed: seed of the requests.
    :param limit_per_s: limit that the servers state, in requests a second.
    :param duration_s: time in seconds during which requests are sent.
    :param entry_count: number of entries.
    :param load: requests a second.
    :return: list of violations.
    """
    directory = pathlib.Path(tempfile.mkdtemp(prefix="wasabiknot-limited-"))
    run = LimitedRun(
        seed, duration_s, entry_count, directory, situation, limit_per_s, load
    )
    violations = soaks.play(run)
    for peak in run.peaks:
        print(f"{peak.server_id}: most {peak.count}, allowed {peak.allowed:.0f}")
    print(f"{situation.value} seed {seed}: statuses {dict(run.statuses)}")
    print(f"{violations or 'bound kept'}")
    print(f"logs in {directory}")
    return violations


def main():
    """Plays one run from the command line.

    The arguments are the situation, the seed, the limit and the load in requests a
    second, the duration in seconds, and the number of entries.

    :return: exit code; 1 if a backend server got too many requests.
    """
    situation = Situation(sys.argv[1]) if len(sys.argv) > 1 else Situation.EVEN
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else random.randrange(1_000_000)
    limit_per_s = float(sys.argv[3]) if len(sys.argv) > 3 else 5.5
    load = float(sys.argv[4]) if len(sys.argv) > 4 else 70.0
    duration_s = float(sys.argv[5]) if len(sys.argv) > 5 else 16.0
    entry_count = int(sys.argv[6]) if len(sys.argv) > 6 else 4
    return 1 if play(situation, seed, limit_per_s, duration_s, entry_count, load) else 0


if __name__ == "__main__":
    sys.exit(main())
