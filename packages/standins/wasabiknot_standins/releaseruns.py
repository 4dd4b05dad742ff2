"""Plays a release on the platform's store, with entries as processes of their own.

The operator orders a version of an engine's service. A good one has to be reported as
completed in time; a bad one has to be reverted, and must not get more requests than
the platform's pages allow, whatever happens to the entries and the store meanwhile.
"""

import enum
import pathlib
import random
import signal
import sys
import tempfile

import msgspec
from twisted.internet import defer, reactor

from wasabiknot_standins import releasedworkers, soaks

Quality = releasedworkers.Quality

SERVICE = "pool"
TARGET = "v2"
ENGINES_PER_VERSION = 4
OPERATOR_TOPIC = "keyed.op"
STATUS_TOPIC = "keyed.status"
RELEASE_KEY = f"rollout/{SERVICE}"
ORDER_DELAY_S = 1.5
ORDER_DURATION_S = 16.0
# What is allowed to a bad version, as in the settings of the entries.
CANARY_SHARE = 0.1
CANARY_SLACK = 50
BAD_ANSWERS_BEFORE_BOUND = 50
ROLLBACK_S = 5.0
# Time that the new engines of a reverted version go on.
DRAIN_S = 2.0
# Moments of the disturbances after the order, and the time until the operator writes
# again after a restoration of the store.
DISTURBANCE_S = 3.0
REWRITE_DELAY_S = 0.5
STORE_AWAY_S = 4.0
CHECK_INTERVAL_S = 0.1
BROKEN_SHARE = 0.25


class Disturbance(enum.Enum):
    """What happens beside the release."""

    NONE = "none"
    RESTORED_STORE = "restored-store"
    STORE_AWAY = "store-away"
    HERD_KILL = "herd-kill"
    BROKEN_SERVERS = "broken-servers"


class ReleaseRun(soaks.Soak):
    """One run with a release.

    :param seed: seed of the requests.
    :param duration_s: time in seconds during which requests are sent.
    :param entry_count: number of entries.
    :param directory: directory for settings and log files.
    :param quality: ``Quality`` of the new version.
    :param disturbance: ``Disturbance``.
    :param load_per_s: requests a second.
    """

    has_worker_proxies = False
    departure_share = 0.0

    def __init__(
        self, seed, duration_s, entry_count, directory, quality, disturbance, load_per_s
    ):
        super().__init__(seed, duration_s, entry_count, directory)
        self._quality = quality
        self._disturbance = disturbance
        self._load_per_s = load_per_s
        self._engines = {}
        self._bad_answers = []
        self._ordered_s = None
        self._ended_s = None
        self.state = "none"

    def _add_worker(self, service, is_engine):
        if not is_engine:
            return super()._add_worker(service, is_engine)
        return self._add_engine("v1", Quality.GOOD)

    def _add_engine(self, version, quality):
        engine = releasedworkers.ReleasedWorker(
            self._store, self._recorder, SERVICE, version, quality, self._bad_answers
        )
        engine.start()
        self._workers.append(engine)
        self._engines.setdefault(version, []).append(engine)
        return engine

    def _start_platform(self):
        super()._start_platform()
        while len(self._engines["v1"]) < ENGINES_PER_VERSION:
            self._add_engine("v1", Quality.GOOD)

    @defer.inlineCallbacks
    def _generate_load(self):
        end_s = reactor.seconds() + self._duration_s
        self._operate().addErrback(self._record_internal_error)
        checked = self._repeat(end_s, CHECK_INTERVAL_S, self._follow_status)
        checked.addErrback(self._record_internal_error)
        yield self._send_requests(end_s, self._load_per_s)
        yield self._wait_for_responses()

    @defer.inlineCallbacks
    def _operate(self):
        yield soaks.sleep(ORDER_DELAY_S)
        for _ in range(ENGINES_PER_VERSION):
            self._add_engine(TARGET, self._quality)
        if self._disturbance is Disturbance.BROKEN_SERVERS:
            self._break_servers()
        copies = self._store.copy()
        self._ordered_s = reactor.seconds()
        self._write_order()
        yield soaks.sleep(DISTURBANCE_S)
        if self._disturbance is Disturbance.RESTORED_STORE:
            self._store.restore(copies)
            yield soaks.sleep(REWRITE_DELAY_S)
            self._write_order()
        elif self._disturbance is Disturbance.STORE_AWAY:
            self._store.fault = "busy"
            yield soaks.sleep(STORE_AWAY_S)
            self._store.fault = None
        elif self._disturbance is Disturbance.HERD_KILL:
            self._restart_entries()

    def _write_order(self):
        order = {"service": SERVICE, "target": TARGET, "durationS": ORDER_DURATION_S}
        self._store.put(OPERATOR_TOPIC, RELEASE_KEY, msgspec.json.encode(order))

    def _break_servers(self):
        for engines in self._engines.values():
            for engine in engines[: round(BROKEN_SHARE * len(engines))]:
                engine.fault = "errors"

    def _restart_entries(self):
        for entry in self._entries:
            entry.send_signal(signal.SIGKILL)
        for entry in self._entries:
            entry.process.wait()
            entry.start()

    def _follow_status(self):
        records = self._store.get_topic(STATUS_TOPIC).newest_records
        value, _ = records.get(RELEASE_KEY, (b'{"state":"none"}', 0))
        state = msgspec.json.decode(value)["state"]
        if state == self.state or self._ended_s is not None:
            return
        self.state = state
        if state == "completed":
            self._ended_s = reactor.seconds()
            self._stop_engines("v1")
        elif state == "reverted":
            self._ended_s = reactor.seconds()
            reactor.callLater(DRAIN_S, self._stop_engines, TARGET)

    def _stop_engines(self, version):
        for engine in self._engines[version]:
            engine.deregister()
            engine.crash()

    def _list_runs_s(self, version):
        ids = {engine.server_id for engine in self._engines.get(version, ())}
        return sorted(
            run.at_s
            for runs in self._recorder.runs.values()
            for run in runs
            if run.server_id in ids
        )

    def count_allowed(self):
        """Counts the requests that a bad version may get until its time limit.

        :return: number of requests.
        """
        end_s = self._ordered_s + ORDER_DURATION_S
        all_s = self._list_runs_s("v1") + self._list_runs_s(TARGET)
        sent = sum(self._ordered_s <= at_s <= end_s for at_s in all_s)
        return CANARY_SHARE * sent + CANARY_SLACK

    def count_late(self):
        """Counts the requests that came too long after the last permitted bad answer.

        :return: number of requests.
        """
        if len(self._bad_answers) < BAD_ANSWERS_BEFORE_BOUND:
            return 0
        bound_s = self._bad_answers[BAD_ANSWERS_BEFORE_BOUND - 1].at_s + ROLLBACK_S
        return sum(at_s > bound_s for at_s in self._list_runs_s(TARGET))

    @property
    def sent_to_new(self):
        """Number of requests that the new version has run."""
        return len(self._list_runs_s(TARGET))

    def _check_results(self):
        took_s = (self._ended_s or reactor.seconds()) - self._ordered_s
        if self._quality is Quality.GOOD:
            if self.state != "completed" or took_s > ORDER_DURATION_S:
                self.violations.append(f"good version {self.state} after {took_s:.1f}")
            return
        if self.state != "reverted":
            self.violations.append(f"bad version {self.state} after {took_s:.1f} s")
        if self.sent_to_new > self.count_allowed():
            self.violations.append(
                f"{self.sent_to_new} requests to it, {self.count_allowed():.0f} allowed"
            )
        if self.count_late():
            self.violations.append(f"{self.count_late()} requests too late")


def play(quality, disturbance, seed, duration_s=19.0, entry_count=3, load_per_s=60.0):
    """Plays one run and prints what was seen.

    :param quality: ``Quality`` of the new version.
    :param disturbance: ``Disturbance``.
    :param seed: seed of the requests.
    :param duration_s: time in seconds during which requests are sent.
    :param entry_count: number of entries.
    :param load_per_s: requests a second.
    :return: list of violations.
    """
    directory = pathlib.Path(tempfile.mkdtemp(prefix="wasabiknot-release-"))
    run = ReleaseRun(
        seed, duration_s, entry_count, directory, quality, disturbance, load_per_s
    )
    violations = soaks.play(run)
    print(f"{quality.value} beside {disturbance.value}, seed {seed}: {run.state}")
    print(f"{run.sent_to_new} requests to it, {run.count_allowed():.0f} if it is bad")
    print(f"{violations or 'bounds kept'}, logs in {directory}")
    return violations


def main():
    """Plays one run from the command line.

    The arguments are the quality of the version, the disturbance, the seed, the
    duration in seconds, the number of entries and the requests a second.

    :return: exit code; 1 if a bound was broken.
    """
    quality = Quality(sys.argv[1]) if len(sys.argv) > 1 else Quality.GOOD
    disturbance = Disturbance(sys.argv[2]) if len(sys.argv) > 2 else Disturbance.NONE
    seed = int(sys.argv[3]) if len(sys.argv) > 3 else random.randrange(1_000_000)
    numbers = [float(text) for text in sys.argv[4:7]]
    if len(numbers) > 1:
        numbers[1] = int(numbers[1])
    return 1 if play(quality, disturbance, seed, *numbers) else 0


if __name__ == "__main__":
    sys.exit(main())
