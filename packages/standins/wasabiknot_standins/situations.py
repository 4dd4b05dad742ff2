"""Plays what operators of similar systems have seen, with real entry processes.

| situation | what happens |
| --- | --- |
| ``none`` | nothing: sound servers, requests of very unequal durations |
| ``late-copies`` | servers send responses once more, late, on kept connections |
| ``trickle`` | responses come a byte at a time and never end |
| ``slow-streams`` | sound streams with gaps of up to a second |
| ``lost-answers`` | servers run requests, and their responses are lost |
| ``pauses`` | entries are stopped for seconds and go on, beside new versions |
| ``lapses`` | registrations lapse and return while their servers work |
| ``departures`` | half of the callers leave early, in three manners |
| ``stops`` | entries get SIGTERM in turn, under load |
| ``slow-stops`` | the same, two at a time, while servers turn far slower |
| ``no-length`` | a third of the responses end with their connection |
| ``only-no-length`` | all of them do |
| ``odd-records`` | another writer leaves odd records beside those of the servers |
"""

import collections
import enum
import itertools
import pathlib
import random
import signal
import sys
import tempfile

import msgspec
from twisted.internet import defer, reactor

from wasabiknot_standins import (
    faultyworkers,
    oddrecords,
    platformworkers,
    soakchecks,
    soaks,
)

LOAD_PER_S = 40.0
# Slots of each server, enough for all requests at once.
SLOTS = 32
MORE_SERVERS = 2
PLAIN_DELAYS_S = (0.05, 2.2)
# Time beyond its timeout after which a request has outlived it.
LATE_S = 0.6
PAUSE_S = 4.0
PAUSE_INTERVAL_S = 6.0
VERSION_INTERVAL_S = 1.0
LAPSE_S = 3.0
LAPSE_INTERVAL_S = 4.0
STOP_INTERVAL_S = 6.0
# Time between stops that overlap, and how long plain requests take before and during
# them. Some take longer than the grace period.
SLOW_STOP_INTERVAL_S = 2.5
QUICK_DELAYS_S = (0.05, 0.3)
SLOW_DELAYS_S = (0.5, 6.0)
DEPARTURE_SHARE = 0.5
ODD_RECORD_INTERVAL_S = 0.2
# Time from the start of the load to that of new servers, and from there to the end of
# the old ones, which leave meanwhile.
REPLACEMENT_S = 3.0
LEAVING_S = 5.0
# Least share of the requests that is served where nearly all must be.
MIN_SERVED_SHARE = 0.98
# Bound on the share of sound repeatable requests whose running work is begun again, as
# the dispatcher leaves what a sound server takes less often than that.
MAX_BEGUN_AGAIN_SHARE = 0.01
PLAIN_ROUTES = ("lookup", "visit")
BAD_GATEWAY = 502


class Situation(enum.Enum):
    """What happens during a run."""

    NONE = "none"
    LATE_COPIES = "late-copies"
    TRICKLE = "trickle"
    SLOW_STREAMS = "slow-streams"
    LOST_ANSWERS = "lost-answers"
    PAUSES = "pauses"
    LAPSES = "lapses"
    STOPS = "stops"
    DEPARTURES = "departures"
    SLOW_STOPS = "slow-stops"
    ODD_RECORDS = "odd-records"
    NO_LENGTH = "no-length"
    ONLY_NO_LENGTH = "only-no-length"


_BEHAVIOURS = {
    Situation.LATE_COPIES: faultyworkers.Behaviour.LATE_COPIES,
    Situation.TRICKLE: faultyworkers.Behaviour.TRICKLE,
    Situation.SLOW_STREAMS: faultyworkers.Behaviour.SLOW_STREAMS,
    Situation.LOST_ANSWERS: faultyworkers.Behaviour.LOST_ANSWERS,
    Situation.NO_LENGTH: faultyworkers.Behaviour.NO_LENGTH,
    Situation.ONLY_NO_LENGTH: faultyworkers.Behaviour.NO_LENGTH,
}
# Situations in which each request that reaches a server gets its response.
_SOUND = (
    Situation.NONE,
    Situation.LATE_COPIES,
    Situation.SLOW_STREAMS,
    Situation.LAPSES,
    Situation.STOPS,
    Situation.DEPARTURES,
    Situation.ODD_RECORDS,
    Situation.NO_LENGTH,
    Situation.ONLY_NO_LENGTH,
)
# Situations in which nearly all requests must be served.
_SERVED = (Situation.ODD_RECORDS, Situation.NO_LENGTH, Situation.ONLY_NO_LENGTH)


class Summary(msgspec.Struct):
    """What one run counted.

    :param sent: requests with a valid key.
    :param served: complete successful responses to them.
    :param begun_again: repeatable plain requests that ran at several servers.
    :param given_up: responses with status 502.
    :param late: requests that ended after their time.
    """

    sent: int = 0
    served: int = 0
    begun_again: int = 0
    given_up: int = 0
    late: int = 0


class SituationRun(soaks.Soak):
    """One run of a situation.

    :param seed: seed of the requests and of what happens.
    :param duration_s: time in seconds during which requests are sent.
    :param entry_count: number of entries.
    :param directory: directory for settings and log files.
    :param situation: ``Situation``.
    """

    has_worker_proxies = False

    def __init__(self, seed, duration_s, entry_count, directory, situation):
        if situation is Situation.DEPARTURES:
            self.departure_share = DEPARTURE_SHARE
        super().__init__(seed, duration_s, entry_count, directory)
        self._situation = situation
        self._happening_rng = random.Random(f"situation/{seed}")
        self._odd_records = itertools.cycle(oddrecords.RECORDS)
        self.summary = Summary()

    def _add_worker(self, service, is_engine):
        worker = faultyworkers.FaultyWorker(
            self._store, self._recorder, service, is_engine
        )
        worker.slots = SLOTS
        worker.behaviour = _BEHAVIOURS.get(
            self._situation, faultyworkers.Behaviour.SOUND
        )
        if self._situation is Situation.ONLY_NO_LENGTH:
            worker.behaviour_share = 1.0
        is_quick = self._situation is Situation.SLOW_STOPS
        worker.plain_delays_s = QUICK_DELAYS_S if is_quick else PLAIN_DELAYS_S
        worker.start()
        self._workers.append(worker)
        return worker

    def _start_platform(self):
        super()._start_platform()
        for _ in range(MORE_SERVERS):
            self._add_worker("desk", False)

    @defer.inlineCallbacks
    def _generate_load(self):
        end_s = reactor.seconds() + self._duration_s
        works = {
            Situation.PAUSES: ((PAUSE_INTERVAL_S, self._pause_entry),),
            Situation.LAPSES: ((LAPSE_INTERVAL_S, self._lapse),),
            Situation.STOPS: ((STOP_INTERVAL_S, self._faults.stop_entry),),
            Situation.SLOW_STOPS: ((SLOW_STOP_INTERVAL_S, self._stop_slowly),),
            Situation.ODD_RECORDS: ((ODD_RECORD_INTERVAL_S, self._write_odd_record),),
        }
        for interval_s, work in works.get(self._situation, ()):
            working = self._repeat(end_s, interval_s, work)
            working.addErrback(self._record_internal_error)
        if self._situation is Situation.PAUSES:
            working = self._repeat(
                end_s, VERSION_INTERVAL_S, self._configurations.publish
            )
            working.addErrback(self._record_internal_error)
        if self._situation is Situation.ODD_RECORDS:
            reactor.callLater(REPLACEMENT_S, self._replace_servers)
        yield self._send_requests(end_s, LOAD_PER_S)
        yield self._wait_for_responses()

    def _stop_slowly(self):
        for worker in self._workers:
            worker.plain_delays_s = SLOW_DELAYS_S
        self._faults.stop_entry()

    def _write_odd_record(self):
        key, value = next(self._odd_records)
        self._store.put(platformworkers.SERVER_TOPIC, key, value)

    def _replace_servers(self):
        # Whoever has stopped to follow the records is left without any server.
        previous = list(self._workers)
        for worker in previous:
            self._add_worker(worker.service, worker.is_engine)
        for worker in previous:
            worker.state = "draining"
            worker.send_heartbeat()
            reactor.callLater(LEAVING_S, self._end_server, worker)

    def _end_server(self, worker):
        worker.crash()
        worker.deregister()

    def _pause_entry(self):
        entry = self._happening_rng.choice(self._entries)
        self._faults.record_fault()
        entry.send_signal(signal.SIGSTOP)
        reactor.callLater(PAUSE_S, self._resume_entry, entry)

    def _resume_entry(self, entry):
        self._faults.record_fault()
        entry.send_signal(signal.SIGCONT)

    def _lapse(self):
        worker = self._happening_rng.choice(self._workers)
        if not worker.is_lapsed:
            worker.lapse(LAPSE_S)

    def _check_results(self):
        super()._check_results()
        responses = [item for item in self._responses if not item.revoked_key]
        served = [
            item
            for item in responses
            if item.status == soakchecks.OK and item.is_complete
        ]
        self.summary = Summary(
            len(responses),
            len(served),
            len(self._list_begun_again()),
            sum(item.status == BAD_GATEWAY for item in responses),
            len(self._list_late()),
        )
        if self._situation is not Situation.PAUSES and self.summary.late:
            self.violations.append(f"{self.summary.late} requests outlived their time")
        if self._situation in _SOUND:
            self._check_sound()
        if self._situation in _SERVED:
            self._check_served()

    def _check_served(self):
        if self.summary.served < MIN_SERVED_SHARE * self.summary.sent:
            self.violations.append(
                f"served {self.summary.served} of {self.summary.sent}"
            )

    def _check_sound(self):
        plain = sum(item.route in PLAIN_ROUTES for item in self._responses)
        if self.summary.begun_again > MAX_BEGUN_AGAIN_SHARE * plain + 1:
            self.violations.append(
                f"running work of {self.summary.begun_again} of {plain} begun again"
            )
        if self.summary.given_up:
            self.violations.append(f"{self.summary.given_up} sound requests got 502")

    def _list_begun_again(self):
        routes = collections.defaultdict(str)
        for item in self._responses:
            routes[item.request_id] = item.route
        return [
            request_id
            for request_id, runs in self._recorder.runs.items()
            if routes[request_id] in PLAIN_ROUTES and len(runs) > 1
        ]

    def _list_late(self):
        return [
            item
            for item in self._responses
            if item.ended_s - item.sent_s > item.timeout_s + LATE_S
        ]


def play(situation, seed, duration_s=25.0, entry_count=3):
    """Plays one run and prints what was seen.

    :param situation: ``Situation``.
    :param seed: seed of the requests and of what happens.
    :param duration_s: time in seconds during which requests are sent.
    :param entry_count: number of entries.
    :return: list of violations.
    """
    directory = pathlib.Path(tempfile.mkdtemp(prefix="wasabiknot-situations-"))
    run = SituationRun(seed, duration_s, entry_count, directory, situation)

    def describe():
        summary = run.summary
        return (
            f"{situation.value} seed {seed}: served {summary.served} of"
            f" {summary.sent}, begun again {summary.begun_again}, 502"
            f" {summary.given_up}, late {summary.late}, {run.describe_departures()}"
        )

    return soaks.play_and_report(run, directory, describe)


def main():
    """Plays one run from the command line.

    :return: exit code; 1 if a check failed.
    """
    return soaks.play_command(play, Situation, Situation.NONE)


if __name__ == "__main__":
    sys.exit(main())
