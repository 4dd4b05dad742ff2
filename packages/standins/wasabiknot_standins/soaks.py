"""A randomized soak: real entries as processes, faults from outside, checks."""

import collections
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile

import msgspec
from twisted.internet import defer, reactor, task
from twisted.web import server

from wasabiknot_entry import connections
from wasabiknot_standins import keyedlogs, platformworkers, processes, proxies

START_S = 20.0
GRACE_S = 4.0
BEAT_S = 0.5
STORE_FAULT_S = 2.0
# Time around a fault in which a broken answer is put down to it.
FAULT_SPAN_S = 3.0
LONGEST_CALL_S = 5.0
HOST = "soak.example"
KEY = "soak-key"
ROUTES = (
    ("cash", "/cash/", "non_idempotent", "desk", False, 1),
    ("lookup", "/lookup/", "idempotent", "desk", False, 2),
    ("draft", "/draft/", "streaming", "pool", False, 1),
    ("summary", "/summary/", "streaming", "pool", True, 2),
)
ONCE = ("cash", "draft")


class Reply(msgspec.Struct):
    """What a caller received.

    :param request_id: id of the request.
    :param route: name of its route.
    :param entry: number of the entry.
    :param sent_s: time at which it was sent.
    :param status: HTTP status code; 0 before the head.
    :param headers: headers of the answer.
    :param body: its bytes.
    :param is_whole: whether its end came.
    :param ended_s: time of its end.
    """

    request_id: str
    route: str
    entry: int
    sent_s: float
    status: int = 0
    headers: dict[bytes, bytes] = {}
    body: bytes = b""
    is_whole: bool = False
    ended_s: float = 0.0


class _Call:
    """One call of a caller."""

    def __init__(self, reply, connection, request, ended):
        self._reply = reply
        self._ended = ended
        self._connection = connection
        self._timer = reactor.callLater(LONGEST_CALL_S, self._give_up)
        connection.send(request, self)

    def handle_head(self, head):
        """Takes the head of the answer."""
        self._reply.status = head.status
        self._reply.headers = dict(head.headers)

    def handle_data(self, data):
        """Takes a part of the body."""
        self._reply.body += data

    def handle_end(self):
        """Takes the end of the answer."""
        self._reply.is_whole = True
        self._finish()

    def handle_loss(self, loss):
        """Takes the loss of the connection."""
        self._finish()

    def _give_up(self):
        self._connection.abort()
        self._finish()

    def _finish(self):
        if self._timer.active():
            self._timer.cancel()
        self._reply.ended_s = reactor.seconds()
        self._ended(self._reply)


class Entry:
    """One entry process.

    :param number: its number.
    :param folder: folder for its settings and log.
    :param store: address of the store, as it sees it.
    """

    def __init__(self, number, folder, store):
        self.number = number
        self.caller_port, ready, inner = processes.find_ports(3)
        self.caller_address = f"127.0.0.1:{self.caller_port}"
        self.ready_address = f"127.0.0.1:{ready}"
        self._path = folder / f"entry-{number}.yaml"
        self._log = folder / f"entry-{number}.log"
        self._path.write_text(
            f"""name: entry-{number}
domain: here
host: 127.0.0.1
caller_address: {self.caller_address}
ready_address: {self.ready_address}
ports: [{inner}, {inner + 1}]
store_address: {store}
link_mbps: 1000
cpu_cores: 1
beat_ms: {BEAT_S * 1_000}
bounds:
  configuration_ms: 2000
  leaving_ms: 2000
  grace_s: {GRACE_S}
  retry_ratio: 0.2
  retry_window_s: 10
  retry_slack: 50
  allowance_window_s: 8
  allowance_overrun: 0.1
  allowance_slack: 140000
  canary_share: 0.1
  rollback_ms: 5000
""",
            encoding="utf-8",
        )
        self.process = None
        self.paused_s = -100.0
        self.stopped_s = -100.0
        self.is_paused = False

    def start(self):
        """Starts the process."""
        environment = {**os.environ, "WASABIKNOT_SETTINGS": str(self._path)}
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "wasabiknot_entry.edge"],
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number):
        """Sends a signal to the process, if it runs.

        :param number: the signal.
        """
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def list_failures(self):
        """Lists the lines of its log that tell of a fault of the program.

        :return: list of texts.
        """
        text = self._log.read_text(encoding="utf-8") if self._log.exists() else ""
        lines = [
            line
            for line in text.splitlines()
            if '"WK1901"' in line or line.startswith(("Traceback", "  File"))
        ]
        return lines[:3]


class Soak:
    """One run.

    :param seed: seed of its faults and requests.
    :param duration_s: time for which faults come.
    :param entry_count: number of entries.
    :param folder: folder for settings and logs.
    """

    def __init__(self, seed, duration_s, entry_count, folder):
        self._rng = random.Random(seed)
        self._duration_s = duration_s
        self._store = keyedlogs.Store()
        self._registry = platformworkers.Registry()
        self._pool = connections.Pool(reactor, 1.0)
        self._replies = []
        self._pending = 0
        self._count = 0
        self._proxies = []
        self._workers = []
        self._fault_times_s = []
        self._version = 0
        self._entry_count = entry_count
        self._folder = folder
        self.faults = []
        self.actions = collections.Counter()

    @defer.inlineCallbacks
    def run(self):
        """Plays the whole run.

        :return: deferred list of broken promises.
        """
        self._start_platform()
        store_proxies = [self._add_proxy(self._store_address) for _ in range(3)]
        self._entries = [
            Entry(number, self._folder, store_proxies[number % 3].address)
            for number in range(self._entry_count)
        ]
        for entry in self._entries:
            entry.start()
        try:
            yield self._wait_ready()
            yield self._play()
        finally:
            for entry in self._entries:
                entry.send_signal(signal.SIGCONT)
                entry.send_signal(signal.SIGKILL)
        self._check()
        return self.faults

    # Platform

    def _start_platform(self):

        site = server.Site(self._store)
        site.noisy = False
        site.log = lambda request: None
        port = reactor.listenTCP(0, site, interface="127.0.0.1")
        self._store_address = f"127.0.0.1:{port.getHost().port}"
        for service, is_engine, count in (("desk", False, 2), ("pool", True, 3)):
            for _ in range(count):
                self._add_worker(service, is_engine)
        self._publish()
        beats = task.LoopingCall(self._beat)
        beats.start(BEAT_S, now=False)

    def _add_worker(self, service, is_engine):
        worker = platformworkers.Worker(self._store, self._registry, service, is_engine)
        worker.start()
        proxy = self._add_proxy(worker.address)
        worker.address = proxy.address
        worker.beat()
        self._workers.append(worker)

    def _add_proxy(self, target):
        proxy = proxies.Proxy(target)
        self._proxies.append(proxy)
        return proxy

    def _beat(self):
        for worker in self._workers:
            if worker.port.connected:
                worker.beat()

    def _publish(self):
        self._version += self._rng.randint(1, 3)
        routes = [
            {
                "name": name,
                "host": HOST,
                "pathPrefix": prefix,
                "type": kind,
                "timeoutMs": 4_000,
                "sloMs": 400,
                "gapSloMs": 300,
                "priority": 1,
                "service": service,
                "attempts": attempts,
                "resumable": resumable,
            }
            for name, prefix, kind, service, resumable, attempts in ROUTES
        ]
        engine = {"slots": 4, "kvCapacity": 100_000, "stride": 6}
        configuration = {
            "version": self._version,
            "routes": routes,
            "services": [
                {"name": "desk", "healthPath": "/healthz", "maxConns": 100},
                {
                    "name": "pool",
                    "healthPath": "/healthz",
                    "maxConns": 100,
                    "engine": engine,
                },
            ],
            "limits": {},
            "tenants": [
                {"name": "graz", "apiKeys": [KEY], "ratePerS": 0, "plainTokens": 10}
            ],
        }
        data = msgspec.json.encode(configuration)
        self._store.put("keyed.op", "config", data)

    @defer.inlineCallbacks
    def _wait_ready(self):
        until_s = reactor.seconds() + START_S
        for entry in self._entries:
            while not (yield self._is_ready(entry)):
                if reactor.seconds() > until_s:
                    raise TimeoutError(f"entry {entry.number} is not ready")
                yield _sleep(0.1)

    @defer.inlineCallbacks
    def _is_ready(self, entry):
        reply = Reply("ready", "ready", entry.number, reactor.seconds())
        request = connections.Request(b"GET", b"/", ((b"host", b"soak"),))
        yield self._call(entry.ready_address, request, reply)
        return reply.status == 200

    # Callers

    @defer.inlineCallbacks
    def _call(self, address, request, reply):
        ended = defer.Deferred()
        try:
            # Callers keep using their connections until these are closed.
            connection = yield self._pool.acquire(address, 30.0)
            _Call(reply, connection, request, ended.callback)
            yield ended
        except Exception as error:
            reply.headers = {b"error": str(error).encode()}
            reply.ended_s = reactor.seconds()

    @defer.inlineCallbacks
    def _ask(self):
        self._count += 1
        self._pending += 1
        name, prefix, *_ = self._rng.choice(ROUTES)
        entry = self._rng.choice(self._entries)
        reply = Reply(f"q{self._count:06}", name, entry.number, reactor.seconds())
        headers = (
            (b"host", HOST.encode()),
            (b"x-wasabiknot-attempt-id", reply.request_id.encode()),
            (b"x-wasabiknot-deadline-ms", b"4000"),
            (b"x-wasabiknot-token-count", b"200,40"),
            (b"x-api-key", KEY.encode()),
            (b"content-length", b"2"),
        )
        request = connections.Request(b"POST", f"{prefix}x".encode(), headers, b"ok")
        yield self._call(entry.caller_address, request, reply)
        self._replies.append(reply)
        self._pending -= 1

    # Faults

    @defer.inlineCallbacks
    def _play(self):
        end_s = reactor.seconds() + self._duration_s
        next_fault_s = reactor.seconds() + 0.5
        while reactor.seconds() < end_s:
            self._ask().addErrback(self._note_error)
            if reactor.seconds() >= next_fault_s:
                next_fault_s = reactor.seconds() + self._rng.uniform(0.1, 1.2)
                self._act()
            yield _sleep(self._rng.expovariate(40.0))
        until_s = reactor.seconds() + LONGEST_CALL_S + 1.0
        while self._pending and reactor.seconds() < until_s:
            yield _sleep(0.05)

    def _note_error(self, failure):
        self.faults.append(f"soak itself: {failure.getTraceback()}")

    def _act(self):
        actions = (
            self._stop_entry,
            self._kill_entry,
            self._pause_entry,
            self._hang_up,
            self._fault_proxy,
            self._fault_worker,
            self._crash_worker,
            self._replace_worker,
            self._fault_store,
            self._forget_history,
            self._publish,
        )
        action = self._rng.choice(actions)
        self.actions[action.__name__.strip("_")] += 1
        # Planned work excuses nothing: no answer may be cut off by it.
        if action not in (self._publish, self._hang_up, self._stop_entry):
            self._fault_times_s.append(reactor.seconds())
        action()

    def _choose_entry(self):
        return self._rng.choice(self._entries)

    def _stop_entry(self):
        entry = self._choose_entry()
        entry.stopped_s = reactor.seconds()
        entry.send_signal(signal.SIGTERM)
        self._restart(entry)

    def _kill_entry(self):
        entry = self._choose_entry()
        entry.send_signal(signal.SIGKILL)
        self._restart(entry)

    @defer.inlineCallbacks
    def _restart(self, entry):
        # Series of signals overlap: each waits for the process that it was sent to.
        process = entry.process
        until_s = reactor.seconds() + GRACE_S + 1.0
        while process.poll() is None and reactor.seconds() < until_s:
            yield _sleep(0.05)
            if entry.is_paused:
                until_s = reactor.seconds() + GRACE_S + 1.0
        if process.poll() is None:
            self.faults.append(f"entry {entry.number} outlives its grace")
            self._fault_times_s.append(reactor.seconds())
            process.kill()
            process.wait()
        if entry.process is process:
            entry.start()

    def _pause_entry(self):
        entry = self._choose_entry()
        entry.paused_s = reactor.seconds()
        entry.is_paused = True
        entry.send_signal(signal.SIGSTOP)
        reactor.callLater(self._rng.uniform(0.2, 2.5), self._resume_entry, entry)

    def _resume_entry(self, entry):
        entry.paused_s = reactor.seconds()
        entry.is_paused = False
        entry.send_signal(signal.SIGCONT)

    def _hang_up(self):
        self._choose_entry().send_signal(signal.SIGHUP)

    def _fault_proxy(self):
        proxy = self._rng.choice(self._proxies)
        faults = [item for item in proxies.Fault if item is not proxies.Fault.NONE]
        proxy.apply(self._rng.choice(faults))
        reactor.callLater(
            self._rng.uniform(0.3, 2.0), self._heal, proxy, proxies.Fault.NONE
        )

    def _heal(self, proxy, fault):
        self._fault_times_s.append(reactor.seconds())
        proxy.apply(fault)

    def _fault_worker(self):
        worker = self._rng.choice(self._workers)
        worker.fault = self._rng.choice(["errors", "lose", "cut", "extra"])
        reactor.callLater(self._rng.uniform(0.5, 2.0), self._mend, worker)

    def _mend(self, worker):
        self._fault_times_s.append(reactor.seconds())
        worker.fault = None

    def _crash_worker(self):
        worker = self._rng.choice(self._workers)
        if worker.port.connected:
            worker.crash()
            reactor.callLater(self._rng.uniform(0.3, 2.0), worker.start)

    def _replace_worker(self):
        worker = self._rng.choice(self._workers)
        if worker.port.connected:
            worker.crash()
            worker.remove()
            reactor.callLater(self._rng.uniform(0.3, 1.0), worker.start)

    def _fault_store(self):
        self._store.fault = self._rng.choice(["busy", "silent", "lost"])
        reactor.callLater(
            self._rng.uniform(0.3, STORE_FAULT_S), setattr, self._store, "fault", None
        )

    def _forget_history(self):
        for topic in list(self._store.topics):
            self._store.forget(topic)

    # Checks

    def _check(self):
        self.faults.extend(self._registry.faults)
        for reply in self._replies:
            self._check_reply(reply)
        for request_id, runs in self._registry.runs.items():
            self._check_runs(request_id, runs)
        for entry in self._entries:
            for line in entry.list_failures():
                self.faults.append(f"entry {entry.number}: {line[:300]}")
        served = sum(reply.status == 200 and reply.is_whole for reply in self._replies)
        if served < 0.3 * len(self._replies):
            self.faults.append(f"{served} of {len(self._replies)} were served")

    def _check_runs(self, request_id, runs):
        replies = [item for item in self._replies if item.request_id == request_id]
        route = replies[0].route if replies else ""
        if route in ONCE and len(runs) > 1:
            self.faults.append(f"{request_id} ({route}) ran {len(runs)} times")
        if route in ONCE and replies[0].status in (429, 503) and runs:
            is_own = b"x-wasabiknot-server-stamp" not in replies[0].headers
            if is_own:
                self.faults.append(f"{request_id} ({route}) was refused, and ran")

    def _check_reply(self, reply):
        if reply.status != 200 or not reply.is_whole:
            self._check_broken(reply)
            return
        if b"x-wasabiknot-server-stamp" not in reply.headers:
            self.faults.append(f"{reply.request_id}: success without a stamp")
        if reply.body != _build_expected(reply):
            self.faults.append(f"{reply.request_id}: another body than its own")

    def _is_excused(self, reply):
        start_s = reply.sent_s - FAULT_SPAN_S
        return any(start_s <= at_s <= reply.ended_s for at_s in self._fault_times_s)

    def _check_broken(self, reply):
        if reply.status and not reply.is_whole and not self._is_excused(reply):
            self.faults.append(f"{reply.request_id}: cut off with no fault near")
        events = reply.body.split(b"\n\n")[:-1]
        is_stream = reply.route in ("draft", "summary")
        if reply.status == 200 and is_stream:
            expected = _build_expected(reply).split(b"\n\n")[: len(events)]
            if events != expected:
                self.faults.append(f"{reply.request_id}: events out of order")
        if reply.status in (401, 403, 404):
            self.faults.append(f"{reply.request_id}: denied with {reply.status}")


def _build_expected(reply):
    if reply.route not in ("draft", "summary"):
        return platformworkers.build_body(reply.request_id)
    count = platformworkers.count_events(reply.request_id)
    return b"".join(
        f"id: {number}\ndata: {reply.request_id}/{number}\n\n".encode()
        for number in range(1, count + 1)
    )


def _sleep(delay_s):
    return task.deferLater(reactor, delay_s)


def run_soak(seed, duration_s, entry_count, folder=None):
    """Runs one soak in this process.

    :param seed: seed of its faults and requests.
    :param duration_s: time for which faults come.
    :param entry_count: number of entries.
    :param folder: folder for settings and logs; a temporary one if ``None``.
    :return: list of broken promises.
    """
    path = pathlib.Path(folder or tempfile.mkdtemp(prefix="wasabiknot-soak-"))
    path.mkdir(parents=True, exist_ok=True)
    soak = Soak(seed, duration_s, entry_count, path)
    found = []

    def note_end(result):
        found.extend(result if isinstance(result, list) else [str(result)])
        reactor.stop()

    def begin():
        soak.run().addBoth(note_end)

    reactor.callWhenRunning(begin)
    reactor.run()
    statuses = collections.Counter(
        (reply.route, reply.status if reply.is_whole else "broken")
        for reply in soak._replies
    )
    print(f"seed {seed}: {dict(soak.actions)}")
    print(f"seed {seed}: answers {dict(statuses)}")
    print(f"seed {seed}: logs in {path}")
    for fault in found:
        print(f"seed {seed}: {fault}")
    print(f"seed {seed}: {len(found)} broken promises")
    return found


def main():
    """Runs one soak from the command line.

    :return: exit code.
    """
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else random.randrange(1_000_000)
    duration_s = float(sys.argv[2]) if len(sys.argv) > 2 else 20.0
    entry_count = int(sys.argv[3]) if len(sys.argv) > 3 else 3
    return 1 if run_soak(seed, duration_s, entry_count) else 0


if __name__ == "__main__":
    sys.exit(main())
