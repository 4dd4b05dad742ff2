"""Servers that behave in ways drawn from a grammar, and how an entry serves others.

By its seed, a run has the servers of one service behave strangely, soundly or not. The
servers of the other service are as usual. Some runs have strange callers as well.
"""

import collections
import pathlib
import subprocess
import sys
import tempfile

from twisted.internet import defer, reactor, task

from wasabiknot_standins import (
    entryprocesses,
    floods,
    soakchecks,
    soakconfigurations,
    soaks,
    strangebehaviours,
    strangecallers,
    strangeoperations,
    strangeplays,
    strangeservers,
)

Part = strangeplays.Part
START_S = strangeplays.START_S
QUIET_S = strangeplays.QUIET_S
SHARES = (0.3, 1.0)
# Slots of each server, enough for all requests at once.
SLOTS = 32
LONG_BODY_SHARE = 0.2
LONG_BODY_BYTES = (60_000, 1_000_000)
# Time that a play needs beside its load, in seconds.
MAX_OVERHEAD_S = 60.0
# What a play prints once its checks were made.
JUDGED = " violations\n"
HERD_SHARE = 0.3
# Share of the plays with unsound servers in which requests with a harmful part come.
HARM_SHARE = 0.3
HERD_REQUESTS = 100
# Time that an entry may take for its part of a herd and what comes behind, in seconds.
HERD_S = 1.5
SERVICES = {"desk": False, "pool": True}


class StrangerRun(floods.FloodRun):
    """One run.

    :param play: ``strangeplays.Play``.
    :param directory: directory for settings and log files.
    """

    has_worker_proxies = False

    def __init__(self, play, directory):
        seed = play.seed
        self._play = play
        rng = strangebehaviours.create_random(seed, "run")
        self.strange_service = rng.choice(list(SERVICES))
        self.is_sound = rng.random() < strangebehaviours.SOUND_SHARE
        self._share = rng.choice(SHARES)
        self._input = None
        if play.has(Part.CALLERS):
            self._input = strangecallers.draw_input(seed)
        harm_rng = strangebehaviours.create_random(seed, "harm")
        # Sound servers are to answer all requests.
        may_harm = not self.is_sound and play.has(Part.HARM)
        self._has_harm = may_harm and harm_rng.random() < HARM_SHARE
        self._body_rng = strangebehaviours.create_random(seed, "bodies")
        herd_rng = strangebehaviours.create_random(seed, "herd")
        self._has_herd = herd_rng.random() < HERD_SHARE and play.has(Part.HERD)
        self._herd_s = float("inf")
        # Notes how long this process, all its callers and servers, stood still.
        self._watch = None
        self._events = strangeoperations.draw_events(play)
        flooder = (
            floods.Flooder.ENGINE
            if SERVICES[self.strange_service]
            else floods.Flooder.PLAIN
        )
        super().__init__(
            seed, play.duration_s, play.entry_count, directory, None, flooder
        )
        self._has_harmful_part = True
        self._part_path = harm_rng.choice(
            [
                path
                for _, path, _, service, *_ in soakconfigurations.ROUTES
                if service == self.strange_service
            ]
        )
        self._operations = strangeoperations.Operations(self._events, self._faults)

    def describe(self):
        """Describes the run.

        :return: short text.
        """
        manner = "sound" if self.is_sound else "unsound"
        callers = f", callers {self._input.value}" if self._input else ""
        herd = ", herd" if self._has_herd else ""
        herd += f", harm {self._part_path}" if self._has_harm else ""
        events = "".join(f", {item.operation.value}" for item in self._events)
        return (
            f"{self.strange_service} {manner}, share {self._share}{callers}"
            f"{herd}{events}"
        )

    def describe_stall(self):
        """Describes for how long the callers and servers themselves stood still.

        :return: short text.
        """
        return f"rig still for up to {self._watch.longest_s:.2f} s"

    def _create_entry(self, number, store_address):
        return entryprocesses.EntryProcess(
            number,
            self._directory,
            store_address,
            "wasabiknot_standins.steppedentries",
        )

    def _add_worker(self, service, is_engine):
        worker = strangeservers.StrangeServer(
            self._store, self._recorder, service, is_engine, SLOTS
        )
        worker.number = len(self._workers)
        worker.start()
        self._workers.append(worker)
        return worker

    def _draw_body(self):
        if self._body_rng.random() >= LONG_BODY_SHARE:
            return b"ok"
        size_bytes = self._body_rng.randint(*LONG_BODY_BYTES)
        return b"x" * size_bytes if self._play.has(Part.LONG_BODIES) else b"ok"

    @defer.inlineCallbacks
    def _generate_load(self):
        end_s = reactor.seconds() + self._duration_s
        self._watch = entryprocesses.StallWatch(reactor.seconds())
        checks = task.LoopingCall(lambda: self._watch.check(reactor.seconds()))
        checks.start(entryprocesses.CHECK_INTERVAL_S)
        reactor.callLater(START_S, self._start_behaviours, end_s - QUIET_S)
        reactor.callLater(START_S, self._start_strange_callers, end_s - QUIET_S)
        reactor.callLater(START_S, self._operations.start)
        if self._has_harm:
            reactor.callLater(START_S, self._start_harmful_caller)
        if self._has_herd:
            reactor.callLater(self._duration_s / 2, self._send_herd)
        yield self._send_requests(end_s, floods.LOAD_PER_S)
        yield self._wait_for_responses()
        yield self._operations.wait()
        yield self._wait_until_ready()

    def _send_herd(self):
        self._herd_s = reactor.seconds()
        for _ in range(HERD_REQUESTS):
            sent = self._send_random_request()
            sent.addErrback(self._record_internal_error)

    def _start_behaviours(self, until_s):
        for worker in self._workers:
            if worker.service == self.strange_service:
                worker.seed = self._seed
                worker.share = self._share
                worker.until_s = until_s
                worker.is_sound = self.is_sound
                worker.without = self._play.without
        if not self.is_sound:
            # Whatever such a server does to its own requests has a cause.
            self._record_faults(until_s + soaks.CALL_TIMEOUT_S)

    def _start_strange_callers(self, until_s):
        if self._input is None:
            return
        for entry in self._entries:
            for number in range(strangecallers.CALLERS_PER_ENTRY):
                caller = strangecallers.StrangeCaller(
                    entry.caller_address, f"strange-{number}", self._input
                )
                caller.connect()
                reactor.callLater(until_s - reactor.seconds(), caller.stop)

    def _record_faults(self, until_s):
        self._faults.record_fault()
        if reactor.seconds() < until_s:
            reactor.callLater(START_S, self._record_faults, until_s)

    def _list_counted(self):
        return [
            item for item in self._responses if not self._operations.is_excused(item)
        ]

    def _is_due_soon(self, response):
        is_herd = 0.0 <= response.sent_s - self._herd_s < HERD_S
        return super()._is_due_soon(response) and not is_herd

    def _check_results(self):
        super()._check_results()
        self.violations.extend(self._build_checker().list_violations())
        if self._harmful_caller is not None:
            self._check_harmful(self._harmful_caller)
        if self.is_sound:
            self._check_all_served()

    def _check_all_served(self):
        statuses = collections.Counter(
            item.status if item.is_complete else "incomplete"
            for item in self._list_counted()
        )
        if statuses[soakchecks.OK] < floods.MIN_SERVED_SHARE * statuses.total():
            self.violations.append(f"by sound servers: {dict(statuses)}")


def play(wanted):
    """Plays one run and prints what was seen.

    :param wanted: ``strangeplays.Play``.
    :return: list of violations.
    """
    directory = pathlib.Path(tempfile.mkdtemp(prefix="wasabiknot-strangers-"))
    run = StrangerRun(wanted, directory)

    def describe():
        soon = "" if run.soon_share is None else f", soon {run.soon_share:.3f}"
        return (
            f"seed {wanted.seed}: {run.describe()}:"
            f" others served {run.served_share:.3f}{soon}, peak {run.peak_mb:.0f} MB,"
            f" {run.describe_stall()}"
        )

    return soaks.play_and_report(run, directory, describe)


def fails(wanted):
    """Plays one run as a process of its own, and prints what it was.

    :param wanted: ``strangeplays.Play``.
    :return: whether a check failed.
    :raises subprocess.TimeoutExpired: if it doesn't end.
    :raises RuntimeError: if it ended for another reason than a check.
    """
    result = subprocess.run(
        [sys.executable, "-m", strangeplays.MODULE, *wanted.list_arguments()],
        stdout=subprocess.PIPE,
        text=True,
        timeout=wanted.duration_s + MAX_OVERHEAD_S,
    )
    if JUDGED not in result.stdout:
        raise RuntimeError(f"{wanted.format()}: no result")
    has_failed = result.returncode != 0
    print("fails:" if has_failed else "passes:", wanted.format(), flush=True)
    return has_failed


def main():
    """Plays one run from the command line.

    :return: exit code; 1 if a check failed, 2 if an argument is wrong.
    """
    try:
        command = strangeplays.read_arguments(sys.argv[1:])
    except ValueError as error:
        print(f"strangers: {error}", file=sys.stderr)
        return 2
    if not play(command.play):
        return 0
    if command.shrinks:
        smallest = strangeplays.shrink(command.play, fails)
        print(f"smallest: {smallest.format()}")
    return 1


if __name__ == "__main__":
    sys.exit(main())
