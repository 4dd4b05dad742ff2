"""A simulation of several nodes in virtual time, and a test oracle for their runs."""

import collections
import heapq
import itertools
import random

import msgspec

from wasabiknot_kernel import (
    digests,
    effects,
    exceptions,
    fold,
    messages,
    node as nodes,
    records,
    services,
)

START_MS = 1_700_000_000_000
TICK_MS = 50
LOG_DELAY_MS = 20
TIERS = ("urgent", "normal", "batch")

CALLS = {
    "tag": services.Call("tag", "normal", 20_000, repeatable=True),
    "ledger": services.Call("ledger", "batch", 30_000),
    "check": services.Call("check", "urgent", 4_000),
    "cash": services.Call("cash", "urgent", 5_000),
}
ENGINE_CALLS = ("tag", "ledger", "check")


def build_configuration(shares=(("v1", 100.0),), by=None, rule=services.KeyRule.HOMES):
    versions = tuple(services.Version(name, share, by) for name, share in shares)
    engine = services.Service(
        "engine",
        services.ServiceKind.ENGINE,
        tuple(CALLS[name] for name in ENGINE_CALLS),
        versions,
    )
    plain = services.Service(
        "plain",
        services.ServiceKind.PLAIN,
        (CALLS["cash"],),
        (services.Version("v1", 100.0),),
    )
    deployment = services.Deployment(TIERS, claim_retention_ms=120_000, key_rule=rule)
    return services.Configuration(deployment, (engine, plain))


class SentCopy(msgspec.Struct):
    """A copy of a request that a caller sent, with the answers it got."""

    identity: str
    call: str
    entry: str
    request_id: str
    sent_ms: int
    answers: list = []
    is_lost: bool = False


class Oracle:
    """Checks that non-repeatable requests run once, and that "not run" is true."""

    def __init__(self):
        self.runs = collections.Counter()
        self.reported_not_run = set()
        self.copies = []

    def record_run(self, identity, call):
        self.runs[identity] += 1
        if not CALLS[call].repeatable:
            assert self.runs[identity] == 1, f"{identity} ran twice"
        assert identity not in self.reported_not_run, f"{identity} ran after 'not run'"

    def record_refusal(self, copy, refusal):
        if refusal.ran is exceptions.Ran.NO:
            assert not self.runs[copy.identity], f"{copy.identity}: 'not run' is false"
            self.reported_not_run.add(copy.identity)


class FakeLog:
    """A log service with a total order, retention and outages."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.records = []
        self.oldest = 0
        self.is_unavailable = False
        self.loses_answers = False

    @property
    def head(self):
        return self.oldest + len(self.records)

    def append(self, record):
        if self.is_unavailable:
            return
        data = records.encode_record(record)
        decoded = records.decode_record(data)
        stamped = records.StampedRecord(self.head, self.simulation.now_ms, decoded)
        self.records.append(stamped)

    def read(self, offset):
        first = max(offset, self.oldest) - self.oldest
        return tuple(self.records[first : first + 100])

    def trim(self, keep):
        removed = max(0, len(self.records) - keep)
        del self.records[:removed]
        self.oldest += removed


class FakeWorker:
    """A backend server that runs requests and may crash or leave."""

    def __init__(self, simulation, vm):
        self.simulation = simulation
        self.vm = vm
        self.is_down = False
        self.is_leaving = False
        self.leaving_since_ms = None
        self.boot = 0
        self.running = {}
        self.fail_fraction = 0.0
        self.fail_calls = ()
        self.crash_on_run = False
        self.slow = 1.0

    def report(self):
        return digests.LoadReport(
            worker=self.vm.id,
            running=len(self.running),
            waiting=0,
            taken_ms=self.simulation.now_ms,
            leaving=self.is_leaving,
            boot=str(self.boot),
        )

    def crash(self):
        self.boot += 1
        self.is_down = True
        for attempt in list(self.running.values()):
            attempt.end(messages.Outcome.CRASHED)
        self.running.clear()
        self.simulation.schedule(1_500, self.recover)

    def recover(self):
        self.is_down = False


class FakeAttempt:
    """An attempt to run a request on a backend server."""

    def __init__(self, entry, worker, effect, call, content, identity):
        self.entry = entry
        self.worker = worker
        self.request_id = effect.request_id
        self.call = call
        self.content = content
        self.identity = identity
        self.is_ended = False
        self.tokens = 0
        self.generation = 0
        simulation = entry.simulation
        self.remaining_ms = simulation.rng.choice(simulation.durations_ms) * worker.slow
        self.started_ms = simulation.now_ms

    def run(self):
        self.generation += 1
        self.started_ms = self.entry.simulation.now_ms
        generation = self.generation
        simulation = self.entry.simulation
        if "poison" in self.content or self.worker.crash_on_run:
            simulation.schedule(30, self.crash_worker)
            return
        if self.should_fail():
            simulation.schedule(20, lambda: self.end(messages.Outcome.FAILED))
            return
        simulation.schedule(20, self.start_stream)
        simulation.schedule(self.remaining_ms, lambda: self.finish(generation))

    def start_stream(self):
        if not self.is_ended:
            self.tokens = 5
            self.entry.deliver(messages.AttemptStarted(self.request_id))

    def should_fail(self):
        failing_calls = self.worker.fail_calls
        if failing_calls and self.call not in failing_calls:
            return False
        return self.entry.simulation.rng.random() < self.worker.fail_fraction

    def crash_worker(self):
        if not self.is_ended:
            self.worker.crash()

    def finish(self, generation):
        if generation == self.generation:
            self.end(messages.Outcome.WHOLE)

    def pause(self):
        if self.is_ended:
            return
        self.generation += 1
        self.remaining_ms -= self.entry.simulation.now_ms - self.started_ms
        self.remaining_ms = max(10, self.remaining_ms)
        self.end(messages.Outcome.CANCELLED)

    def end(self, outcome):
        if self.is_ended:
            return
        self.is_ended = True
        self.worker.running.pop(self.request_id, None)
        message = messages.AttemptEnded(self.request_id, outcome, self.tokens)
        self.entry.simulation.schedule(5, lambda: self.entry.deliver(message))


class FakeEntry:
    """An entry: delivers messages to its node and carries out the effects."""

    def __init__(self, simulation, name):
        self.simulation = simulation
        self.name = name
        self.run = 0
        self.node = None
        self.is_alive = False
        self.is_paused = False
        self.is_log_unreachable = False
        self.inbox = []
        self.attempts = {}
        self.copies = {}
        self.publications = []
        self.start()

    def start(self):
        self.run += 1
        self.is_alive = True
        self.is_paused = False
        self.inbox = []
        self.attempts = {}
        self.copies = {}
        self.publications = []
        settings = nodes.NodeSettings(self.name, f"run{self.run}", queue_limit=12)
        self.node = nodes.create_node(settings, seed=self.run)
        self.deliver(self.simulation.list_vms())

    def kill(self):
        self.is_alive = False
        for copy in self.copies.values():
            copy.is_lost = True
        for attempt in self.attempts.values():
            attempt.is_ended = True
            attempt.worker.running.pop(attempt.request_id, None)

    def deliver(self, message):
        if not self.is_alive:
            return
        if self.is_paused:
            self.inbox.append(message)
            return
        for effect in self.node.handle(message, self.simulation.now_ms):
            self.handle_effect(effect)
        if self.publications[-1:] != [self.node.state.publication]:
            self.publications.append(self.node.state.publication)

    def unpause(self):
        self.is_paused = False
        waiting, self.inbox = self.inbox, []
        for message in waiting:
            self.deliver(message)

    def handle_effect(self, effect):
        name = f"on_{type(effect).__name__.lower()}"
        handler = getattr(self, name, None)
        if handler is not None:
            handler(effect)

    def on_dispatch(self, effect):
        copy = self.copies[effect.request_id]
        worker = self.simulation.workers[effect.worker]
        self.simulation.check_dispatch(self, worker, copy)
        if worker.is_down:
            ended = messages.AttemptEnded(effect.request_id, messages.Outcome.NOT_SENT)
            self.simulation.schedule(5, lambda: self.deliver(ended))
            return
        self.simulation.oracle.record_run(copy.identity, copy.call)
        content = self.simulation.contents[copy.identity]
        attempt = FakeAttempt(self, worker, effect, copy.call, content, copy.identity)
        self.attempts[effect.request_id] = attempt
        worker.running[effect.request_id] = attempt
        attempt.run()
        self.schedule_timeout(attempt, effect)

    def schedule_timeout(self, attempt, effect):
        generation = attempt.generation

        def time_out():
            if generation == attempt.generation:
                attempt.pause()

        self.simulation.schedule(effect.timeout_s * 1_000, time_out)

    def on_resume(self, effect):
        attempt = self.attempts[effect.request_id]
        if attempt.worker.is_down:
            ended = messages.AttemptEnded(effect.request_id, messages.Outcome.LOST, 5)
            self.simulation.schedule(5, lambda: self.deliver(ended))
            return
        attempt.is_ended = False
        attempt.worker.running[effect.request_id] = attempt
        attempt.run()
        self.schedule_timeout(attempt, effect)

    def on_cancel(self, effect):
        attempt = self.attempts.get(effect.request_id)
        if attempt is not None:
            attempt.pause()

    def on_refuse(self, effect):
        copy = self.copies.get(effect.request_id)
        if copy is None:
            return
        self.simulation.check_shedding(self, copy, effect)
        self.answer(effect.request_id, effect)

    def on_complete(self, effect):
        self.answer(effect.request_id, effect)

    def answer(self, request_id, effect):
        copy = self.copies[request_id]
        copy.answers.append(effect)
        assert len(copy.answers) == 1, f"{request_id} was answered twice"
        if isinstance(effect, effects.Refuse):
            self.simulation.oracle.record_refusal(copy, effect)
        for other in self.simulation.waiting_copies.pop(
            (self.name, self.run, request_id), ()
        ):
            other.copy_answer(effect)

    def on_join(self, effect):
        first = self.copies[effect.first]
        copy = self.copies[effect.request_id]
        if first.answers:
            copy.answers.append(first.answers[0])
            return
        waiting_copy = WaitingCopy(copy)
        self.simulation.waiting_copies[(self.name, self.run, effect.first)].append(
            waiting_copy
        )

    def on_forward(self, effect):
        copy = self.copies[effect.request_id]
        self.simulation.forward(self, copy, effect)

    def on_append(self, effect):
        if self.is_log_unreachable:
            return
        self.simulation.schedule(
            LOG_DELAY_MS, lambda: self.simulation.log.append(effect.record)
        )

    def on_senddigest(self, effect):
        for peer in self.simulation.entries.values():
            if peer is not self:
                message = messages.DigestReceived(effect.digest)
                self.simulation.send_datagram(self, peer, message)

    def on_sendyield(self, effect):
        peer = self.simulation.entries[effect.entry]
        self.simulation.send_datagram(self, peer, messages.YieldReceived(effect.demand))

    def on_sendcrash(self, effect):
        for peer in self.simulation.entries.values():
            if peer is not self:
                message = messages.CrashReceived(effect.crash)
                self.simulation.send_datagram(self, peer, message)

    def on_issuekey(self, effect):
        self.simulation.issued_keys.append(effect.key)


class WaitingCopy:
    """A copy that gets the answer of the first copy of its request."""

    def __init__(self, copy):
        self.copy = copy

    def copy_answer(self, effect):
        self.copy.answers.append(effect)


class Simulation:
    """Simulates entries, log, backend servers and callers in virtual time."""

    durations_ms = (50, 200, 1_000, 4_000)

    def __init__(self, seed=0, entries=3):
        self.rng = random.Random(seed)
        self.now_ms = START_MS
        self._events = []
        self._sequence = itertools.count()
        self._next_tick_ms = START_MS
        self._ids = itertools.count(1)
        self.oracle = Oracle()
        self.log = FakeLog(self)
        self.contents = {}
        self.keys = {}
        self.issued_keys = []
        self.waiting_copies = collections.defaultdict(list)
        self.partitions = set()
        self.is_network_lossy = True
        self.copies = []
        self.workers = {}
        for index, version in enumerate(("v1", "v1", "v2")):
            self.add_worker(f"engine-{index}", "engine", version, 2)
        self.add_worker("plain-0", "plain", "v1", 4)
        self.entry_names = [f"entry-{index}" for index in range(entries)]
        self.entries = {}
        for name in self.entry_names:
            self.entries[name] = FakeEntry(self, name)

    def add_worker(self, worker_id, service, version, slots):
        vm = messages.Vm(worker_id, "127.0.0.1:1", "d", service, version, slots)
        self.workers[worker_id] = FakeWorker(self, vm)

    def list_vms(self):
        vms = tuple(worker.vm for worker in self.workers.values())
        entries = tuple(
            messages.EntryVm(name, "127.0.0.1:1", "127.0.0.1:2", "d")
            for name in self.entry_names
        )
        return messages.VmsListed(vms, entries)

    def schedule(self, delay_ms, callback):
        due_ms = self.now_ms + int(delay_ms)
        heapq.heappush(self._events, (due_ms, next(self._sequence), callback))

    def advance(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while True:
            due_ms = min(
                self._next_tick_ms, self._events[0][0] if self._events else end_ms + 1
            )
            if due_ms > end_ms:
                break
            self.now_ms = max(self.now_ms, due_ms)
            if self._events and self._events[0][0] <= due_ms:
                heapq.heappop(self._events)[2]()
            else:
                self._next_tick_ms += TICK_MS
                self.tick()
        self.now_ms = end_ms

    def tick(self):
        step = (self.now_ms - START_MS) // TICK_MS
        for entry in self.entries.values():
            if not entry.is_alive or entry.is_paused:
                continue
            entry.deliver(messages.Tick())
            if (
                step % 2 == 0
                and not entry.is_log_unreachable
                and not self.log.is_unavailable
            ):
                self.read_log(entry)
            if step % 10 == 0:
                self.report_loads(entry)

    def read_log(self, entry):
        stamped_records = self.log.read(entry.node.replica.next_offset)
        entry.deliver(messages.LogRead(stamped_records, self.log.head, self.now_ms))

    def report_loads(self, entry):
        for worker in self.workers.values():
            if worker.is_down:
                entry.deliver(messages.WorkerUnreachable(worker.vm.id))
            else:
                entry.deliver(messages.LoadReported(worker.report()))

    def send_datagram(self, source, target, message):
        if frozenset((source.name, target.name)) in self.partitions:
            return
        copies = self.rng.choice((0, 1, 1, 1, 1, 2)) if self.is_network_lossy else 1
        for _ in range(copies):
            delay_ms = self.rng.choice((1, 5, 250) if self.is_network_lossy else (1,))
            self.schedule(delay_ms, lambda: target.deliver(message))

    def publish(self, configuration, based_on=None, copies=1):
        if based_on is None:
            based_on = self.find_publication()
        record = records.Publication(
            record_id=f"publication/{next(self._ids)}",
            based_on=based_on,
            configuration=configuration,
        )
        for _ in range(copies):
            self.log.append(record)
        return record.record_id

    def find_publication(self):
        return max(entry.node.state.publication for entry in self.entries.values())

    def call(self, entry_name, call, key=None, content=None, customer="c1"):
        entry = self.entries[entry_name]
        number = next(self._ids)
        identity = f"key/{customer}/{key}" if key else f"request/{number}"
        content = content or f"content-{number}"
        if self.contents.get(identity, content) != content:
            identity = f"{identity}#{content}"
        self.contents.setdefault(identity, content)
        return self.send_copy(entry, identity, call, key, content, customer)

    def send_copy(self, entry, identity, call, key, content, customer, forwarded=False):
        request_id = f"{entry.name}-r{entry.run}-{next(self._ids)}"
        copy = SentCopy(identity, call, entry.name, request_id, self.now_ms, answers=[])
        entry.copies[request_id] = copy
        is_engine = call in ENGINE_CALLS
        self.copies.append(copy)
        copy.is_lost = not entry.is_alive
        entry.deliver(
            messages.CallReceived(
                request_id=request_id,
                service="engine" if is_engine else "plain",
                call=call,
                customer=customer,
                content=content,
                prompt_tokens=100 if is_engine else 0,
                max_tokens=50 if is_engine else 0,
                key=key,
                key_issued_ms=self.keys.get(key),
                forwarded=forwarded,
            )
        )
        return copy

    def forward(self, source, copy, effect):
        target = self.entries[effect.entry]
        is_partitioned = frozenset((source.name, effect.entry)) in self.partitions
        if is_partitioned or not target.is_alive:
            self.fail_forward(source, copy)
            return
        timeout_ms = effect.timeout_s * 1_000
        self.schedule(timeout_ms, lambda: self.fail_forward(source, copy))
        _, customer, key = copy.identity.partition("#")[0].split("/", 2)
        content = self.contents[copy.identity]
        self.schedule(
            2,
            lambda: self.deliver_forwarded(
                target, source, copy, key, content, customer
            ),
        )

    def fail_forward(self, source, copy):
        if copy.answers or copy.request_id not in source.copies:
            return
        refusal = effects.Refuse(
            copy.request_id,
            exceptions.ErrorKind.KEY_ELSEWHERE,
            exceptions.Ran.UNKNOWN,
            2,
        )
        source.answer(copy.request_id, refusal)

    def deliver_forwarded(self, target, source, copy, key, content, customer):
        if not target.is_alive or copy.is_lost:
            copy.is_lost = True
            return
        forwarded_copy = self.send_copy(
            target, copy.identity, copy.call, key, content, customer, forwarded=True
        )
        self.schedule(
            100, lambda: self.relay_answer(target, source, copy, forwarded_copy)
        )

    def relay_answer(self, target, source, copy, forwarded_copy):
        if (
            forwarded_copy.answers
            and not copy.answers
            and copy.request_id in source.copies
        ):
            source.answer(copy.request_id, forwarded_copy.answers[0])
        elif forwarded_copy.is_lost:
            copy.is_lost = True
        elif not copy.answers:
            self.schedule(
                200, lambda: self.relay_answer(target, source, copy, forwarded_copy)
            )

    def encode_state(self, entry_name):
        return fold.encode_state(self.entries[entry_name].node.state)

    def create_key(self, age_ms=0):
        key = f"uuid-{next(self._ids)}"
        self.keys[key] = self.now_ms - age_ms
        return key

    def issue_key(self, entry_name):
        self.entries[entry_name].deliver(messages.KeyWanted(f"q{next(self._ids)}"))
        return self.issued_keys[-1] if self.issued_keys else None

    def check_dispatch(self, entry, worker, copy):
        """Hook for checks when a request is dispatched."""

    def check_shedding(self, entry, copy, refusal):
        """Hook for checks when a request is refused."""

    def end_faults(self, duration_ms=90_000):
        """Ends all faults and waits for the requests to finish."""
        self.log.is_unavailable = False
        self.partitions.clear()
        self.is_network_lossy = False
        for entry in self.entries.values():
            entry.is_log_unreachable = False
            if entry.is_paused:
                entry.unpause()
        self.advance(duration_ms)


def create_simulation(seed=0, entries=3, shares=(("v1", 100.0),)):
    """Creates a simulation in which all entries use the first configuration."""
    simulation = Simulation(seed, entries)
    simulation.publish(build_configuration(shares), based_on=-1)
    simulation.advance(1_000)
    return simulation
