"""Counts the backend servers that one harmful request reaches after three crashes.

Callers send the same harmful body every ``SEND_INTERVAL_S`` beside ordinary requests,
while entries are restarted or paused.
"""

import enum
import pathlib
import random
import signal
import sys
import tempfile

from twisted.internet import defer, reactor

from wasabiknot_standins import platformworkers, soaks

SEND_INTERVAL_S = 0.4
CRASHES_BEFORE_REFUSAL = 3
# Time for which the entries may still send the request after its third crash.
SETTLING_S = 3.0
# Sends that may follow even later.
MAX_LATE_SENDS = 3
RESTART_PAUSE_S = 6.0
PAUSE_S = 4.0
# Plain backend servers beside those of every soak.
MORE_SERVERS = 3


class Disturbance(enum.Enum):
    """What happens to the entries while the harmful request is sent."""

    NONE = "none"
    RESTART_ONE = "restart-one"
    RESTART_ALL = "restart-all"
    RESTART_ALL_TWICE = "restart-all-twice"
    PAUSE_ONE = "pause-one"
    STORE_AWAY = "store-away"


class HarmfulRun(soaks.Soak):
    """One run with a harmful request.

    :param seed: seed of the requests.
    :param duration_s: time in seconds during which requests are sent.
    :param entry_count: number of entries.
    :param directory: directory for settings and log files.
    :param disturbance: ``Disturbance``.
    :param load_per_s: ordinary requests a second.
    """

    def __init__(
        self, seed, duration_s, entry_count, directory, disturbance, load_per_s
    ):
        super().__init__(seed, duration_s, entry_count, directory)
        self._disturbance = disturbance
        self._load_per_s = load_per_s
        self._harmful_count = 0
        self.run_times_s = []
        self.late_sends = []

    def _start_platform(self):
        super()._start_platform()
        for _ in range(MORE_SERVERS):
            self._add_worker("desk", False)

    def _add_worker(self, service, is_engine):
        # Without a proxy, so that connections are refused while the worker is down.
        worker = platformworkers.Worker(self._store, self._recorder, service, is_engine)
        worker.start()
        self._workers.append(worker)

    @defer.inlineCallbacks
    def _generate_load(self):
        start_s = reactor.seconds()
        end_s = start_s + self._duration_s
        next_harmful_s = start_s + 0.5
        self._disturb_after_third_crash().addErrback(self._record_internal_error)
        while reactor.seconds() < end_s:
            if reactor.seconds() >= next_harmful_s:
                next_harmful_s += SEND_INTERVAL_S
                self._send_harmful().addErrback(self._record_internal_error)
            self._send_random_request().addErrback(self._record_internal_error)
            yield soaks._sleep(self._rng.expovariate(self._load_per_s))

    @defer.inlineCallbacks
    def _send_harmful(self):
        self._harmful_count += 1
        entry = self._rng.choice(self._entries)
        request_id = f"harmful-{self._harmful_count}"
        response = soaks.Response(request_id, "cash", entry.number, reactor.seconds())
        body = platformworkers.HARMFUL_BODY
        request = soaks.build_request("/cash/harmful", request_id, body)
        yield self._send_request(entry.caller_address, request, response)

    def _list_harmful_runs(self):
        return sorted(
            run.at_s
            for request_id, runs in self._recorder.runs.items()
            if request_id.startswith("harmful-")
            for run in runs
        )

    @defer.inlineCallbacks
    def _disturb_after_third_crash(self):
        if self._disturbance is Disturbance.STORE_AWAY:
            self._store.fault = "busy"
        while len(self._list_harmful_runs()) < CRASHES_BEFORE_REFUSAL:
            yield soaks._sleep(0.05)
            if self._disturbance is Disturbance.PAUSE_ONE:
                self._pause(self._entries[0])
                self._disturbance = Disturbance.NONE
        yield soaks._sleep(1.0)
        if self._disturbance is Disturbance.RESTART_ONE:
            yield self._restart_all(self._entries[:1])
        elif self._disturbance is Disturbance.RESTART_ALL:
            yield self._restart_all(self._entries)
        elif self._disturbance is Disturbance.RESTART_ALL_TWICE:
            yield self._restart_all(self._entries)
            yield soaks._sleep(RESTART_PAUSE_S)
            yield self._restart_all(self._entries)
        elif self._disturbance is Disturbance.STORE_AWAY:
            yield self._restart_all(self._entries[:1])

    def _pause(self, entry):
        entry.send_signal(signal.SIGSTOP)
        reactor.callLater(PAUSE_S, entry.send_signal, signal.SIGCONT)

    @defer.inlineCallbacks
    def _restart_all(self, entries):
        for entry in entries:
            entry.send_signal(signal.SIGKILL)
        for entry in entries:
            entry.process.wait()
            entry.start()
        yield soaks._sleep(0)

    def _check_results(self):
        self.run_times_s = self._list_harmful_runs()
        if len(self.run_times_s) < CRASHES_BEFORE_REFUSAL:
            self.violations.append(f"only {len(self.run_times_s)} runs")
            return
        settled_s = self.run_times_s[CRASHES_BEFORE_REFUSAL - 1] + SETTLING_S
        self.late_sends = [at_s for at_s in self.run_times_s if at_s > settled_s]
        if len(self.late_sends) > MAX_LATE_SENDS:
            self.violations.append(
                f"{len(self.late_sends)} sends long after the third crash, "
                f"{len(self.run_times_s)} in all"
            )


def play(disturbance, seed, duration_s=25.0, entry_count=3, load_per_s=40.0):
    """Plays one run and prints what was seen.

    :param disturbance: ``Disturbance``.
    :param seed: seed of the requests.
    :param duration_s: time in seconds during which requests are sent.
    :param entry_count: number of entries.
    :param load_per_s: ordinary requests a second.
    :return: list of violations.
    """
    directory = pathlib.Path(tempfile.mkdtemp(prefix="wasabiknot-harmful-"))
    run = HarmfulRun(seed, duration_s, entry_count, directory, disturbance, load_per_s)
    violations = soaks.play(run)
    times_s = [round(at_s - run.run_times_s[0], 1) for at_s in run.run_times_s]
    print(f"{disturbance.value} seed {seed}: runs at {times_s}")
    print(f"{len(run.late_sends)} late sends, {violations or 'bound kept'}")
    print(f"logs in {directory}")
    return violations


def main():
    """Plays one run from the command line.

    The arguments are the disturbance, the seed, the duration in seconds, the number of
    entries and the ordinary requests a second.

    :return: exit code; 1 if the harmful request was sent too often.
    """
    disturbance = Disturbance(sys.argv[1]) if len(sys.argv) > 1 else Disturbance.NONE
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else random.randrange(1_000_000)
    numbers = [float(text) for text in sys.argv[3:]]
    if len(numbers) > 1:
        numbers[1] = int(numbers[1])
    return 1 if play(disturbance, seed, *numbers) else 0


if __name__ == "__main__":
    sys.exit(main())
