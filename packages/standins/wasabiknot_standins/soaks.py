"""Randomized soak test: runs entry processes under load and injected faults."""

import collections
import pathlib
import random
import signal
import sys
import tempfile

from twisted.internet import defer, reactor, task
from twisted.web import server

from wasabiknot_entry import connections, pools
from wasabiknot_standins import (
    entryprocesses,
    floodingworkers,
    harmfulcallers,
    keyedlogs,
    platformworkers,
    proxies,
    soakchecks,
    soakconfigurations,
    soakcuts,
    soakdepartures,
    soakfaults,
    soaksilences,
    soakstatements,
)

START_TIMEOUT_S = 20.0
# Interval of the copies to which the store is put back.
COPY_INTERVAL_S = 1.0
# A proxy holds what it delays; this bounds it to some MB.
FLOOD_BLOCK_DELAY_S = 0.002
CALL_TIMEOUT_S = 5.0
# Fraction of the requests that are sent with a revoked key.
REVOKED_SHARE = 0.15
# Number of newest revoked keys that are used.
RECENT_KEYS = 5
# Fraction of the requests that go to a route that versions add and drop.
OPTIONAL_SHARE = 0.2
# Share of the runs whose harmful requests have only a part of their prompts in common.
HARMFUL_PART_SHARE = 0.5
# A long soak begins with a time in which only planned operations take place.
MIN_DURATION_WITH_CALM_S = 15.0
CALM_S = (4.0, 8.0)


class _ResponseHandler:
    """Records the response to one request and enforces its timeout."""

    def __init__(self, response, connection, request, on_finished):
        self._response = response
        self._on_finished = on_finished
        self._connection = connection
        self._timer = reactor.callLater(CALL_TIMEOUT_S, self._handle_timeout)
        connection.send(request, self)
        response.whole_s = reactor.seconds()

    def handle_head(self, head):
        """Records the status code and the headers."""
        self._response.status = head.status
        self._response.headers = dict(head.headers)

    def handle_data(self, data, weight_bytes):
        """Appends a part of the body."""
        self._response.body += data

    def handle_end(self):
        """Marks the response as complete."""
        self._response.is_complete = True
        self._finish()

    def handle_loss(self, reason):
        """Ends the request when the connection is lost."""
        self._finish()

    def _handle_timeout(self):
        self._connection.abort()
        self._finish()

    def _finish(self):
        if self._timer.active():
            self._timer.cancel()
        self._response.ended_s = reactor.seconds()
        self._on_finished(self._response)


class Soak:
    """One run of the soak test.

    :param seed: seed of the random faults and requests.
    :param duration_s: time in seconds during which load and faults are generated.
    :param entry_count: number of entries.
    :param directory: directory for settings and log files.
    """

    # Whether faults can be injected into connections to backend servers.
    has_worker_proxies = True
    # Peak memory that an entry may need, in MB.
    max_peak_mb = soakstatements.MAX_PEAK_MB
    # Share of the callers that leave before their response.
    departure_share = soakdepartures.SOAK_SHARE
    # Longest idle time of a caller's connection that is used again, in seconds.
    max_idle_s = 30.0

    def __init__(self, seed, duration_s, entry_count, directory):
        self._rng = random.Random(seed)
        # Drawn apart, so that a seed keeps its other draws.
        self._harm = random.Random(f"harm/{seed}").choice(harmfulcallers.REQUEST_HARMS)
        part_rng = random.Random(f"part/{seed}")
        self._has_harmful_part = part_rng.random() < HARMFUL_PART_SHARE
        # All its requests have this route, so they run on servers of one service.
        self._part_path = part_rng.choice(soakconfigurations.ROUTES)[1]
        self._seed = seed
        self._optional_rng = random.Random(f"optional/{seed}")
        self._duration_s = duration_s
        self._store = keyedlogs.Store()
        self._recorder = platformworkers.RunRecorder()
        self._pool = pools.Pool(reactor, 1.0)
        self._responses = []
        self._in_flight = 0
        self._request_count = 0
        self._configurations = soakconfigurations.Configurations(
            self._store, self._rng, seed
        )
        self._faults = soakfaults.Faults(
            self._rng, self._store, self._configurations, self._start_harmful_caller
        )
        self._entries = self._faults.entries
        self._workers = self._faults.workers
        self._statements = soakstatements.Statements(
            seed, duration_s, self._workers, self._faults.record_fault
        )
        # Servers of the services that the first configuration sends nothing to.
        self._more_workers = []
        self._silences = soaksilences.Silences(seed, self._list_workers)
        self._cuts = soakcuts.Cuts(seed, self._entries, self._faults.record_fault)
        self._departures = soakdepartures.Departures(
            seed, self.departure_share, self._recorder
        )
        self._harmful_caller = None
        self._entry_count = entry_count
        self._directory = directory
        self.violations = self._faults.violations
        # Largest memory of an entry at the end, in MB.
        self.peak_mb = 0.0

    @property
    def actions(self):
        """Counts of the faults and statements that were drawn."""
        actions = self._faults.actions + self._statements.actions
        return actions + self._silences.actions + self._cuts.actions

    @defer.inlineCallbacks
    def run(self):
        """Starts the deployment, generates load and faults, and checks the results.

        :return: deferred that fires with the list of violations.
        """
        self._start_platform()
        store_proxies = [self._add_proxy(self._store_address) for _ in range(3)]
        for number in range(self._entry_count):
            address = store_proxies[number % 3].address
            entry = self._create_entry(number, address)
            self._entries.append(entry)
            entry.start()
        try:
            yield self._wait_until_ready()
            yield self._generate_load()
            self.peak_mb = max(map(soakstatements.read_peak_mb, self._entries))
        finally:
            # A restart that still waits for its process must not start another one.
            self._faults.is_over = True
            for entry in self._entries:
                entry.send_signal(signal.SIGCONT)
                entry.send_signal(signal.SIGKILL)
                entry.process.wait()
        self._check_results()
        return self.violations

    def _create_entry(self, number, store_address):
        return entryprocesses.EntryProcess(number, self._directory, store_address)

    def _start_platform(self):
        site = server.Site(self._store)
        site.noisy = False
        site.log = lambda request: None
        listener = reactor.listenTCP(0, site, interface="127.0.0.1")
        self._store_address = f"127.0.0.1:{listener.getHost().port}"
        for service, is_engine, count in (("desk", False, 2), ("pool", True, 3)):
            for _ in range(count):
                self._add_worker(service, is_engine)
        self._configurations.publish()
        heartbeats = task.LoopingCall(self._send_heartbeats)
        heartbeats.start(entryprocesses.HEARTBEAT_INTERVAL_S, now=False)
        copies = task.LoopingCall(self._faults.copy_store)
        copies.start(COPY_INTERVAL_S)

    def _add_worker(self, service, is_engine):
        worker = floodingworkers.FloodingWorker(
            self._store, self._recorder, service, is_engine
        )
        worker.start()
        if self.has_worker_proxies:
            worker.block_delay_s = FLOOD_BLOCK_DELAY_S
            proxy = self._cuts.add_proxy(worker.address, service)
            self._faults.proxies.append(proxy)
            worker.address = proxy.address
            worker.find_sender = proxy.find_sender
            worker.send_heartbeat()
        self._workers.append(worker)
        return worker

    def _start_more_services(self):
        # They have no proxies and no faults, so that a seed keeps its other draws.
        for kind, services in soakconfigurations.SERVICES.items():
            for service in services[1:]:
                for _ in range(2):
                    worker = platformworkers.Worker(
                        self._store, self._recorder, service, kind == "pool"
                    )
                    worker.start()
                    self._more_workers.append(worker)

    def _add_proxy(self, target):
        proxy = proxies.Proxy(target)
        self._faults.proxies.append(proxy)
        return proxy

    def _list_workers(self):
        return [*self._workers, *self._more_workers]

    def _send_heartbeats(self):
        for worker in self._list_workers():
            if worker.listener.connected:
                worker.send_heartbeat()

    @defer.inlineCallbacks
    def _wait_until_ready(self):
        deadline_s = reactor.seconds() + START_TIMEOUT_S
        for entry in self._entries:
            while not (yield self._is_ready(entry)):
                if reactor.seconds() > deadline_s:
                    raise TimeoutError(f"entry {entry.number} did not become ready")
                yield sleep(0.1)

    @defer.inlineCallbacks
    def _is_ready(self, entry):
        response = soakchecks.Response(
            "ready", "ready", entry.number, reactor.seconds()
        )
        request = connections.Request(b"GET", b"/", ((b"host", b"soak"),))
        yield self._send_request(entry.ready_address, request, response)
        return response.status == 200

    @defer.inlineCallbacks
    def _send_request(self, address, request, response):
        finished = defer.Deferred()
        try:
            # Like real clients, reuse a connection until the entry closes it.
            connection = yield self._pool.acquire(address, self.max_idle_s)
            _ResponseHandler(response, connection, request, finished.callback)
            yield finished
        except Exception as error:
            response.headers = {b"error": str(error).encode()}
            response.ended_s = reactor.seconds()

    @defer.inlineCallbacks
    def _send_random_request(self):
        self._request_count += 1
        self._in_flight += 1
        name, prefix = self._choose_route()
        entry = self._choose_entry()
        response = soakchecks.Response(
            f"q{self._request_count:06}", name, entry.number, reactor.seconds()
        )
        response.process_id = entry.process.pid
        revoked_keys = list(self._configurations.revoked_s)
        if revoked_keys and self._rng.random() < REVOKED_SHARE:
            response.revoked_key = self._rng.choice(revoked_keys[-RECENT_KEYS:])
        key = response.revoked_key or soakconfigurations.API_KEY
        request = soakconfigurations.build_request(
            f"{prefix}x", response.request_id, self._draw_body(), key
        )
        departure = self._departures.draw()
        if departure is not None:
            departure.request_id, departure.route = response.request_id, name
            yield self._departures.send(entry.caller_address, request, departure)
            self._in_flight -= 1
            return
        yield self._send_request(entry.caller_address, request, response)
        sent_s = response.sent_s
        response.timeout_s = self._configurations.find_timeout_s(name, sent_s)
        response.may_lack_route = self._configurations.may_lack(
            name, sent_s, response.ended_s
        )
        response.services = self._configurations.list_services(
            name, sent_s, response.ended_s
        )
        self._record_response(response)
        self._in_flight -= 1

    def _draw_body(self):
        return b"ok"

    def _choose_route(self):
        name, prefix, *_ = self._rng.choice(soakconfigurations.ROUTES)
        optional = soakconfigurations.OPTIONAL_ROUTES.get(name)
        is_known = optional and self._configurations.has_had(optional[0])
        if is_known and self._optional_rng.random() < OPTIONAL_SHARE:
            name, prefix, *_ = optional
        return name, prefix

    def _record_response(self, response):
        self._responses.append(response)

    @defer.inlineCallbacks
    def _generate_load(self):
        end_s = reactor.seconds() + self._duration_s
        next_fault_s = reactor.seconds() + 0.5
        self._start_more_services()
        self._statements.draw()
        self._silences.draw(self._duration_s)
        self._cuts.draw(self._entry_count, self._duration_s)
        self._draw_calm()
        while reactor.seconds() < end_s:
            self._send_random_request().addErrback(self._record_internal_error)
            if reactor.seconds() >= next_fault_s:
                next_fault_s = reactor.seconds() + self._rng.uniform(0.1, 1.2)
                self._faults.run_random_action()
            yield sleep(self._rng.expovariate(40.0))
        yield self._wait_for_responses()

    def _draw_calm(self):
        if self._duration_s >= MIN_DURATION_WITH_CALM_S:
            calm_s = random.Random(f"calm/{self._seed}").uniform(*CALM_S)
            self._faults.calm_until_s = reactor.seconds() + calm_s

    @defer.inlineCallbacks
    def _send_requests(self, end_s, load_per_s):
        while reactor.seconds() < end_s:
            self._send_random_request().addErrback(self._record_internal_error)
            yield sleep(self._rng.expovariate(load_per_s))

    @defer.inlineCallbacks
    def _repeat(self, end_s, interval_s, work):
        yield sleep(interval_s)
        while reactor.seconds() < end_s:
            work()
            yield sleep(interval_s)

    @defer.inlineCallbacks
    def _wait_for_responses(self):
        deadline_s = reactor.seconds() + CALL_TIMEOUT_S + 1.0
        while self._in_flight and reactor.seconds() < deadline_s:
            yield sleep(0.05)
        yield self._departures.wait()

    def _record_internal_error(self, failure):
        self.violations.append(f"soak test error: {failure.getTraceback()}")

    def _choose_entry(self):
        return self._rng.choice(self._entries)

    def _start_harmful_caller(self):
        if self._harmful_caller is not None:
            return
        self._harmful_caller = self._create_harmful_caller()
        running = self._harmful_caller.run(reactor.seconds() + self._duration_s)
        running.addErrback(self._record_internal_error)

    def _create_harmful_caller(self):
        if self._has_harmful_part:
            return harmfulcallers.PartCaller(self._send_harmful_part, self._recorder)
        return harmfulcallers.HarmfulCaller(
            self._send_harmful, self._recorder, self._harm
        )

    def _send_harmful_part(self, request_id):
        more_parts = (platformworkers.HARMFUL_PART,)
        request = soakconfigurations.build_request(
            f"{self._part_path}x",
            request_id,
            request_id.encode(),
            more_parts=more_parts,
        )
        return self._send_crashing(request_id, request)

    def _send_harmful(self, request_id):
        body = platformworkers.HARMFUL_BODY
        request = soakconfigurations.build_request("/cash/harmful", request_id, body)
        return self._send_crashing(request_id, request)

    @defer.inlineCallbacks
    def _send_crashing(self, request_id, request):
        if self._faults.is_over:
            return
        # Each run of the request crashes a backend server.
        self._faults.record_fault()
        entry = self._choose_entry()
        response = soakchecks.Response(
            request_id, "cash", entry.number, reactor.seconds()
        )
        yield self._send_request(entry.caller_address, request, response)

    def _check_harmful(self, caller):
        late_sends = caller.list_late_sends()
        if len(late_sends) > harmfulcallers.MAX_LATE_SENDS:
            self.violations.append(
                f"{caller.prefix}requests: {len(late_sends)} sends long after crash"
                f" {caller.crashes_before_bound}, {len(caller.list_runs())} in all"
            )

    def _build_checker(self):
        return soakchecks.Checker(
            self._recorder,
            self._responses,
            self._faults.times_s,
            self._configurations.revoked_s,
            self._configurations.published_s,
            self._faults.stops,
        )

    def _check_results(self):
        checker = self._build_checker()
        self.violations.extend(checker.list_violations())
        self.violations.extend(
            self._statements.list_violations(
                self._recorder.contacts,
                self._responses,
                self._faults.signals,
                self._departures.find_times_s(),
            )
        )
        self.violations.extend(self._departures.list_violations(self._faults.times_s))
        if self._harmful_caller is not None:
            self._check_harmful(self._harmful_caller)
        self._check_entries()

    def describe_departures(self):
        """Describes the callers that left.

        :return: short text.
        """
        return self._departures.describe()

    def _check_entries(self):
        if self.peak_mb > self.max_peak_mb:
            self.violations.append(f"an entry needed {self.peak_mb:.0f} MB")
        for entry in self._entries:
            for line in entry.list_error_lines():
                self.violations.append(f"entry {entry.number}: {line[:300]}")


def sleep(delay_s):
    """Waits.

    :param delay_s: time in seconds.
    :return: deferred.
    """
    return task.deferLater(reactor, delay_s)


def play(soak):
    """Runs the reactor until a soak test has ended.

    :param soak: ``Soak``.
    :return: list of violations.
    """
    violations = []

    def record_result(result):
        violations.extend(result if isinstance(result, list) else [str(result)])
        reactor.stop()

    def start():
        soak.run().addBoth(record_result)

    reactor.callWhenRunning(start)
    reactor.run()
    return violations


def play_and_report(soak, directory, describe):
    """Plays a run and prints what was seen.

    :param soak: ``Soak``.
    :param directory: directory of its log files.
    :param describe: function without parameters that returns a line on the run.
    :return: list of violations.
    """
    violations = play(soak)
    print(describe())
    for violation in violations:
        print(violation)
    print(f"{len(violations)} violations")
    print(f"logs in {directory}")
    return violations


def play_command(play_situation, situations, default):
    """Plays a situation by the command line.

    The arguments are the situation, the seed, the duration in seconds and the number
    of entries.

    :param play_situation: function of these four that returns a list of violations.
    :param situations: ``enum.Enum`` of the situations.
    :param default: situation without an argument.
    :return: exit code; 1 if a check failed.
    """
    situation = situations(sys.argv[1]) if len(sys.argv) > 1 else default
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else random.randrange(1_000_000)
    duration_s = float(sys.argv[3]) if len(sys.argv) > 3 else 25.0
    entry_count = int(sys.argv[4]) if len(sys.argv) > 4 else 3
    return 1 if play_situation(situation, seed, duration_s, entry_count) else 0


def run_soak(seed, duration_s, entry_count, directory=None):
    """Runs one soak test and prints its results.

    :param seed: seed of the random faults and requests.
    :param duration_s: time in seconds during which load and faults are generated.
    :param entry_count: number of entries.
    :param directory: directory for settings and log files; a temporary one if ``None``.
    :return: list of violations.
    """
    path = pathlib.Path(directory or tempfile.mkdtemp(prefix="wasabiknot-soak-"))
    path.mkdir(parents=True, exist_ok=True)
    soak = Soak(seed, duration_s, entry_count, path)
    violations = play(soak)
    statuses = collections.Counter(
        (response.route, response.status if response.is_complete else "incomplete")
        for response in soak._responses
    )
    print(f"seed {seed}: {dict(soak.actions)}, peak {soak.peak_mb:.0f} MB")
    print(f"seed {seed}: {soak.describe_departures()}")
    print(f"seed {seed}: responses {dict(statuses)}")
    print(f"seed {seed}: logs in {path}")
    for violation in violations:
        print(f"seed {seed}: {violation}")
    print(f"seed {seed}: {len(violations)} violations")
    return violations


def main():
    """Runs one soak test from the command line.

    :return: exit code; 1 if a check failed.
    """
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else random.randrange(1_000_000)
    duration_s = float(sys.argv[2]) if len(sys.argv) > 2 else 20.0
    entry_count = int(sys.argv[3]) if len(sys.argv) > 3 else 3
    return 1 if run_soak(seed, duration_s, entry_count) else 0


if __name__ == "__main__":
    sys.exit(main())
