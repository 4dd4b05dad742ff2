"""Counts the backend servers that harmful requests reach after some crashes.

A caller sends the same harmful body, or different requests with a harmful part of
their prompts, beside ordinary requests, while entries are restarted or paused.
"""

import enum
import pathlib
import random
import signal
import sys
import tempfile

from twisted.internet import defer, reactor

from wasabiknot_standins import harmfulcallers, soaks

RESTART_PAUSE_S = 6.0
PAUSE_S = 4.0
# Delays of a start under a new id, and of its registration.
REBIRTH_DELAY_S = 0.0
REGISTRATION_DELAY_S = 1.0
# Plain backend servers beside those of every soak.
MORE_SERVERS = 3
# Body of the response to a request that is refused as harmful, and the largest share of
# the sound requests that may get it.
REFUSED_BODY = b"quarantined\n"
MAX_REFUSED_SHARE = 0.05


class Disturbance(enum.Enum):
    """What happens to the entries while the harmful request is sent."""

    NONE = "none"
    RESTART_ONE = "restart-one"
    RESTART_ALL = "restart-all"
    RESTART_ALL_TWICE = "restart-all-twice"
    PAUSE_ONE = "pause-one"
    STORE_AWAY = "store-away"
    REBORN_AT_ONCE = "reborn-at-once"


class HarmfulRun(soaks.Soak):
    """One run with a harmful request.

    :param seed: seed of the requests.
    :param duration_s: time in seconds during which requests are sent.
    :param entry_count: number of entries.
    :param directory: directory for settings and log files.
    :param disturbance: ``Disturbance``.
    :param load_per_s: ordinary requests a second.
    :param harm: ``harmfulcallers.Harm``.
    """

    # Connections are refused while a backend server is down.
    has_worker_proxies = False

    def __init__(
        self, seed, duration_s, entry_count, directory, disturbance, load_per_s, harm
    ):
        super().__init__(seed, duration_s, entry_count, directory)
        self._disturbance = disturbance
        self._load_per_s = load_per_s
        # Share of the sound requests that were refused as harmful.
        self.refused_share = 0.0
        self._harm = harm
        self._has_harmful_part = harm is harmfulcallers.Harm.PART
        self.caller = self._create_harmful_caller()

    def _start_platform(self):
        super()._start_platform()
        for _ in range(MORE_SERVERS):
            self._add_worker("desk", False)

    def _add_worker(self, service, is_engine):
        worker = super()._add_worker(service, is_engine)
        if self._disturbance is Disturbance.REBORN_AT_ONCE:
            worker.restart_delay_s = REBIRTH_DELAY_S
            worker.registration_delay_s = REGISTRATION_DELAY_S
        return worker

    @defer.inlineCallbacks
    def _generate_load(self):
        end_s = reactor.seconds() + self._duration_s
        self.caller.run(end_s).addErrback(self._record_internal_error)
        self._disturb().addErrback(self._record_internal_error)
        yield self._send_requests(end_s, self._load_per_s)

    @defer.inlineCallbacks
    def _disturb(self):
        if self._disturbance is Disturbance.STORE_AWAY:
            self._store.fault = "busy"
        elif self._disturbance is Disturbance.PAUSE_ONE:
            self._pause(self._entries[0])
        while not self.caller.has_been_refused():
            yield soaks.sleep(0.05)
        yield soaks.sleep(1.0)
        if self._disturbance in (Disturbance.RESTART_ONE, Disturbance.STORE_AWAY):
            self._restart_all(self._entries[:1])
        elif self._disturbance is Disturbance.RESTART_ALL:
            self._restart_all(self._entries)
        elif self._disturbance is Disturbance.RESTART_ALL_TWICE:
            self._restart_all(self._entries)
            yield soaks.sleep(RESTART_PAUSE_S)
            self._restart_all(self._entries)

    def _pause(self, entry):
        entry.send_signal(signal.SIGSTOP)
        reactor.callLater(PAUSE_S, entry.send_signal, signal.SIGCONT)

    def _restart_all(self, entries):
        for entry in entries:
            entry.send_signal(signal.SIGKILL)
        for entry in entries:
            entry.process.wait()
            entry.start()

    def _check_results(self):
        if not self.caller.has_been_refused():
            self.violations.append(f"only {len(self.caller.list_runs())} runs")
        self._check_harmful(self.caller)
        self._check_sound_requests()

    def _check_sound_requests(self):
        refused = [item for item in self._responses if item.body == REFUSED_BODY]
        self.refused_share = len(refused) / max(1, len(self._responses))
        if self.refused_share > MAX_REFUSED_SHARE:
            self.violations.append(f"{self.refused_share:.3f} of the others refused")


def play(
    disturbance,
    seed,
    duration_s=25.0,
    entry_count=3,
    load_per_s=40.0,
    harm=harmfulcallers.Harm.ALWAYS,
):
    """Plays one run and prints what was seen.

    :param disturbance: ``Disturbance``.
    :param seed: seed of the requests.
    :param duration_s: time in seconds during which requests are sent.
    :param entry_count: number of entries.
    :param load_per_s: ordinary requests a second.
    :param harm: ``harmfulcallers.Harm``.
    :return: list of violations.
    """
    directory = pathlib.Path(tempfile.mkdtemp(prefix="wasabiknot-harmful-"))
    run = HarmfulRun(
        seed, duration_s, entry_count, directory, disturbance, load_per_s, harm
    )
    violations = soaks.play(run)
    runs = run.caller.list_runs()
    times_s = [round(at_s - runs[0], 1) for at_s in runs]
    print(f"{disturbance.value} seed {seed}: runs at {times_s}")
    late_sends = run.caller.list_late_sends()
    print(f"{len(late_sends)} late sends, {violations or 'bound kept'}")
    print(f"{run.refused_share:.3f} of the sound requests refused")
    print(f"logs in {directory}")
    return violations


def main():
    """Plays one run from the command line.

    The arguments are the disturbance, the seed, the duration in seconds, the number of
    entries, the ordinary requests a second and the harm.

    :return: exit code; 1 if the harmful request was sent too often.
    """
    disturbance = Disturbance(sys.argv[1]) if len(sys.argv) > 1 else Disturbance.NONE
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else random.randrange(1_000_000)
    numbers = [float(text) for text in sys.argv[3:6]]
    if len(numbers) > 1:
        numbers[1] = int(numbers[1])
    harm = harmfulcallers.Harm(sys.argv[6] if len(sys.argv) > 6 else "always")
    return 1 if play(disturbance, seed, *numbers, harm=harm) else 0


if __name__ == "__main__":
    sys.exit(main())
