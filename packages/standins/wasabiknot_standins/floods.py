"""Input that never ends, and how an entry serves others beside it."""

import enum
import pathlib
import random
import sys
import tempfile

from twisted.internet import defer, reactor

from wasabiknot_standins import (
    floodingcallers,
    floodingworkers,
    soakconfigurations,
    soaks,
    strangebehaviours,
    strangecallers,
)

FLOOD_START_S = 2.0
LOAD_PER_S = 40.0
# Share of the unharmed requests that must be served, and of the plain ones among them
# that must be served within a time, in seconds.
MIN_SERVED_SHARE = 0.98
MIN_SOON_SHARE = 0.95
SOON_S = 0.5
CALLERS_PER_ENTRY = 8
# Callers with long bodies leave after some seconds, so these send ten a second.
UPLOADERS_PER_ENTRY = 30
# Peak memory that an entry may need beside long bodies that no server reads, in MB.
MAX_UPLOAD_PEAK_MB = 150.0
PLAIN_ROUTES = ("cash", "lookup", "visit")


class Flooder(enum.Enum):
    """Who sends input without end."""

    PLAIN = "plain"
    ENGINE = "engine"
    CALLER = "caller"


# The service whose servers flood.
SERVICES = {Flooder.PLAIN: "desk", Flooder.ENGINE: "pool", Flooder.CALLER: None}


def create_chunk_caller(address, request_id):
    """Creates a caller that sends chunks of a byte without end.

    :param address: host and port of the entry, separated by a colon.
    :param request_id: id of its requests.
    :return: ``strangecallers.StrangeCaller``.
    """
    return strangecallers.StrangeCaller(
        address,
        request_id,
        strangecallers.Input.CHUNKS,
        strangebehaviours.FLOOD_BLOCK_BYTES,
    )


class FloodRun(soaks.Soak):
    """One run in which all servers of a service, or some callers, flood the entries.

    :param seed: seed of the requests.
    :param duration_s: time in seconds during which requests are sent.
    :param entry_count: number of entries.
    :param directory: directory for settings and log files.
    :param flood: ``floodingworkers.Flood``; of those of callers, either
        ``SMALL_CHUNKS`` or ``UNREAD_BODIES``, for which servers are needed as well.
    :param flooder: ``Flooder``.
    """

    has_worker_proxies = False

    def __init__(self, seed, duration_s, entry_count, directory, flood, flooder):
        super().__init__(seed, duration_s, entry_count, directory)
        self._flood = flood
        self._flooder = flooder
        if flood is floodingworkers.Flood.UNREAD_BODIES:
            self.max_peak_mb = MAX_UPLOAD_PEAK_MB
        self._callers = []
        self.served_share = 0.0
        # ``None`` if all plain requests were harmed.
        self.soon_share = None

    @defer.inlineCallbacks
    def _generate_load(self):
        end_s = reactor.seconds() + self._duration_s
        reactor.callLater(FLOOD_START_S, self._start_flood)
        yield self._send_requests(end_s, LOAD_PER_S)
        yield self._wait_for_responses()
        for caller in self._callers:
            caller.stop()

    def _start_flood(self):
        if self._flood is floodingworkers.Flood.UNREAD_BODIES:
            self._start_callers(floodingcallers.UploadingCaller, UPLOADERS_PER_ENTRY)
        elif self._flooder is Flooder.CALLER:
            self._start_callers(create_chunk_caller, CALLERS_PER_ENTRY)
            return
        is_engine = self._flooder is Flooder.ENGINE
        for worker in self._workers:
            if worker.is_engine is is_engine:
                worker.flood = self._flood

    def _start_callers(self, create_caller, count):
        for entry in self._entries:
            for number in range(count):
                request_id = f"flood-{entry.number}-{number}"
                caller = create_caller(entry.caller_address, request_id)
                # One after the other, so that bodies come evenly.
                reactor.callLater(number / count, caller.connect)
                self._callers.append(caller)

    def _check_results(self):
        unharmed = {
            name
            for name, _, _, service, *_ in soakconfigurations.ROUTES
            if service != SERVICES[self._flooder]
        }
        sent = [item for item in self._list_counted() if item.route in unharmed]
        served = [item for item in sent if item.status == 200 and item.is_complete]
        if not self._responses:
            self.violations.append("no request was sent")
        # Others may all be excused, as all entries were stopped.
        self.served_share = len(served) / len(sent) if sent else 1.0
        self._check_share("served", self.served_share, MIN_SERVED_SHARE)
        plain = [item for item in sent if self._is_due_soon(item)]
        if plain:
            soon = [
                item
                for item in served
                if self._is_due_soon(item) and item.ended_s - item.sent_s <= SOON_S
            ]
            self.soon_share = len(soon) / len(plain)
            self._check_share(f"within {SOON_S} s", self.soon_share, MIN_SOON_SHARE)
        self._check_entries()
        for entry in self._entries:
            if entry.process.returncode != -9:
                self.violations.append(f"entry {entry.number} ended by itself")

    def _list_counted(self):
        return self._responses

    def _is_due_soon(self, response):
        return response.route in PLAIN_ROUTES

    def _check_share(self, name, share, bound):
        if share < bound:
            self.violations.append(f"others {name}: {share:.3f}, bound {bound}")


def play(flood, flooder, seed, duration_s=10.0, entry_count=2):
    """Plays one run and prints what was seen.

    :param flood: ``floodingworkers.Flood``.
    :param flooder: ``Flooder``.
    :param seed: seed of the requests.
    :param duration_s: time in seconds during which requests are sent.
    :param entry_count: number of entries.
    :return: list of violations.
    """
    directory = pathlib.Path(tempfile.mkdtemp(prefix="wasabiknot-flood-"))
    run = FloodRun(seed, duration_s, entry_count, directory, flood, flooder)
    violations = soaks.play(run)
    print(f"{flood.value}, {flooder.value}: peak {run.peak_mb:.0f} MB")
    print(f"others served: {run.served_share:.3f}")
    if run.soon_share is not None:
        print(f"plain ones of them within {SOON_S} s: {run.soon_share:.3f}")
    print(f"{violations or 'bounds kept'}")
    print(f"logs in {directory}")
    return violations


def main():
    """Plays one run from the command line.

    The arguments are the flood, ``plain``, ``engine`` or ``caller``, the seed, the
    duration in seconds and the number of entries.

    :return: exit code; 1 if others weren't served, or an entry needed too much memory
        or ended.
    """
    flood = (
        floodingworkers.Flood(sys.argv[1])
        if len(sys.argv) > 1
        else floodingworkers.Flood.BODY
    )
    flooder = Flooder(sys.argv[2]) if len(sys.argv) > 2 else Flooder.PLAIN
    seed = int(sys.argv[3]) if len(sys.argv) > 3 else random.randrange(1_000_000)
    duration_s = float(sys.argv[4]) if len(sys.argv) > 4 else 10.0
    entry_count = int(sys.argv[5]) if len(sys.argv) > 5 else 2
    return 1 if play(flood, flooder, seed, duration_s, entry_count) else 0


if __name__ == "__main__":
    sys.exit(main())
