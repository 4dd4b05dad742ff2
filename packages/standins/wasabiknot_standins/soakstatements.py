"""What backend servers state and send without end in a soak test, and its checks."""

import collections
import pathlib
import random
import re

from twisted.internet import reactor

from wasabiknot_standins import floodingworkers, limitchecks

# Limits that backend servers state during a run.
MAX_LIMITS = 2
MAX_LIMIT_PER_S = 8.0
MAX_RETRY_AFTER_S = 3.0
# Time for which a signal to an entry excuses what it sends to limited servers.
LIMIT_EXCUSE_S = 5.0
# Peak memory that an entry may need, in MB.
MAX_PEAK_MB = 120.0
MAX_FLOOD_S = 2.0
PEAK_PATTERN = re.compile(r"VmHWM:\s+(\d+) kB")


class Statements:
    """Draws what the backend servers of one run state, and checks that it is kept to.

    Each kind is drawn by a generator of its own, so that a seed keeps its other draws.

    :param seed: seed of the run.
    :param duration_s: time in seconds during which load is generated.
    :param workers: list of ``floodingworkers.FloodingWorker``.
    :param record_fault: function called when a flood begins or ends.
    """

    def __init__(self, seed, duration_s, workers, record_fault):
        self._seed = seed
        self._duration_s = duration_s
        self._workers = workers
        self._record_fault = record_fault
        self.actions = collections.Counter()

    def draw(self):
        """Draws and schedules all statements and floods of the run."""
        self._draw_limits(random.Random(f"limit/{self._seed}"))
        self._draw_leaving_and_times(random.Random(f"statement/{self._seed}"))
        self._draw_flood(random.Random(f"flood/{self._seed}"))

    def _draw_limits(self, rng):
        for _ in range(rng.randint(0, MAX_LIMITS)):
            start_s = rng.uniform(0.5, self._duration_s / 2)
            duration_s = rng.uniform(3.0, self._duration_s)
            worker = rng.choice(self._workers)
            limit_per_s = round(rng.uniform(0.0, MAX_LIMIT_PER_S), 1)
            reactor.callLater(start_s, setattr, worker, "limit_per_s", limit_per_s)
            reactor.callLater(
                start_s + duration_s, setattr, worker, "limit_per_s", None
            )
            self.actions["state_limit"] += 1

    def _draw_leaving_and_times(self, rng):
        start_s = rng.uniform(0.5, self._duration_s / 2)
        if rng.random() < 0.5:
            worker = rng.choice(self._workers)
            reactor.callLater(start_s, setattr, worker, "is_leaving", True)
            self.actions["state_leaving"] += 1
        if rng.random() < 0.5:
            worker = rng.choice(self._workers)
            worker.states_not_executed = rng.random() < 0.5
            end_s = start_s + rng.uniform(1.0, self._duration_s / 2)
            retry_after_s = round(rng.uniform(0.2, MAX_RETRY_AFTER_S), 2)
            reactor.callLater(start_s, setattr, worker, "retry_after_s", retry_after_s)
            reactor.callLater(end_s, setattr, worker, "retry_after_s", None)
            self.actions["state_retry_after"] += 1

    def _draw_flood(self, rng):
        if rng.random() < 0.5:
            return
        flood = rng.choice(floodingworkers.DRAWN_FLOODS)
        start_s = rng.uniform(0.5, self._duration_s / 2)
        worker = rng.choice(self._workers)
        reactor.callLater(start_s, self._set_flood, worker, flood)
        end_s = start_s + rng.uniform(0.5, MAX_FLOOD_S)
        reactor.callLater(end_s, self._set_flood, worker, None)
        self.actions[f"flood_{flood.value}"] += 1

    def _set_flood(self, worker, flood):
        self._record_fault()
        worker.flood = flood

    def list_violations(self, contacts, responses, signals, left_s=None):
        """Lists the requests that servers got against what they had stated.

        :param contacts: list of ``platformworkers.Contact``.
        :param responses: list of ``soakchecks.Response``.
        :param signals: pairs of the number of an entry and the time in seconds of a
            signal to it.
        :param left_s: times in seconds at which callers left, by the ids of their
            requests.
        :return: list of texts.
        """
        entries = {item.request_id: item.entry for item in responses}

        def find_sender(contact):
            if contact.sender is not None:
                return contact.sender
            return entries.get(contact.request_id)

        def find_run(contact):
            # A signal to the entry excuses it from what it was told before.
            entry = find_sender(contact)
            own_signals = [at_s for number, at_s in signals if number == entry]
            count = sum(at_s <= contact.at_s for at_s in own_signals)
            return None if entry is None else (entry, count)

        def find_entry(contact):
            entry = find_sender(contact)
            is_excused = any(
                number == entry and 0.0 <= contact.at_s - at_s < LIMIT_EXCUSE_S
                for number, at_s in signals
            )
            return None if is_excused else entry

        violations = [
            f"{peak.server_id} beyond its limit: {peak}"
            for peak in limitchecks.find_peaks(contacts, find_entry)
            if peak.is_violation
        ]
        count = limitchecks.count_after_leaving(contacts, find_run)
        if count:
            violations.append(f"{count} requests to leaving servers")
        deferral = limitchecks.find_most_deferred(contacts, find_run, left_s)
        if deferral is not None and deferral.is_violation:
            violations.append(str(deferral))
        return violations


def read_peak_mb(entry):
    """Reads the peak memory of an entry.

    :param entry: ``entryprocesses.EntryProcess``.
    :return: MB; 0 if the process is not running.
    """
    path = pathlib.Path(f"/proc/{entry.process.pid}/status")
    try:
        found = PEAK_PATTERN.search(path.read_text(encoding="utf-8"))
    except OSError:
        return 0.0
    return int(found.group(1)) / 1_024 if found else 0.0
