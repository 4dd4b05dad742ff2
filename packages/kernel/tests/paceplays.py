"""Plays of entries before servers that share their machines with other work."""

import heapq
import itertools
import random

import builders
import msgspec

from wasabiknot_kernel import (
    arrivals,
    assignments,
    dispatch,
    outcomes,
    routes,
    server_paces,
    service_times,
    summaries,
)

ENTRIES_PER_DOMAIN = 10
DOMAINS = 3
ENGINES = 12
PLAIN_SERVERS = 3
SLOTS = 6
DIGEST_S = 0.05
LATENCY_S = 0.001
WARM_UP_S = 2.0
PLAY_S = 12.0
# Speeds of the servers, relative to each other.
SPEEDS = (0.8, 1.0, 1.25)
# A machine is calm or busy for some seconds. Other work comes in bursts, which take
# most of the time of a busy machine and little of a calm one's.
PHASE_S = 2.5
BUSY_SHARE = 0.35
BURST_S = 0.04
CALM_GAP_S = 0.4
BUSY_GAP_S = 0.02
BURST_PACES = (2.0, 4.0)
# Length of the steps in which the pace of a machine is given.
STEP_S = 0.01
# Demand of each failure domain: mean share of the slots, and its swing out of phase.
ENGINE_UTILIZATION = 0.55
PLAIN_UTILIZATION = 0.75
SWING = 0.5
SWING_PERIOD_S = 15.0
EVENTS = 12
PROMPT_TOKENS = 2_000
PLAIN_S = 0.08
ENGINE_OBJECTIVE_S = 0.3
PLAIN_OBJECTIVE_S = 0.3
ENGINE_SERVICE = "pool"
PLAIN_SERVICE = "counter"


class Arrival(msgspec.Struct, frozen=True):
    """A request of the load.

    :param at_s: time in seconds.
    :param entry: number of the entry that gets it.
    :param service: name of the service.
    """

    at_s: float
    entry: int
    service: str


class Load(msgspec.Struct, frozen=True):
    """A load that is played with several placements.

    :param arrivals: list of ``Arrival``.
    :param paces: paces of each machine in steps of ``STEP_S``, by id of its server.
    """

    arrivals: list[Arrival]
    paces: dict[str, list[float]]


def draw_load(seed):
    """Draws the requests and the paces of all machines.

    :param seed: seed of the load.
    :return: ``Load``.
    """
    rng = random.Random(seed)
    found = []
    engine_s = 1.5 * (
        compute_first_s() + EVENTS * service_times.EVENT_INTERVAL_MS / 1_000
    )
    rate_per_s = ENGINE_UTILIZATION * ENGINES * SLOTS / engine_s
    found += _draw_arrivals(rng, ENGINE_SERVICE, rate_per_s)
    rate_per_s = PLAIN_UTILIZATION * PLAIN_SERVERS * SLOTS / (1.5 * PLAIN_S)
    found += _draw_arrivals(rng, PLAIN_SERVICE, rate_per_s)
    found.sort(key=lambda item: item.at_s)
    return Load(found, {item: _draw_paces(rng) for item in list_server_ids()})


def list_server_ids():
    """Lists the ids of all servers: engines have a "w", plain servers a "p"."""
    engines = [f"w{number}" for number in range(ENGINES)]
    return engines + [f"p{number}" for number in range(PLAIN_SERVERS)]


def compute_first_s():
    """Computes the time to the first event of an engine at the usual pace."""
    return service_times.predict_first_event_ms(PROMPT_TOKENS) / 1_000


def _draw_arrivals(rng, service, rate_per_s):
    drawn = []
    for domain in range(DOMAINS):
        at_s = 0.0
        while at_s < PLAY_S:
            phase = at_s / SWING_PERIOD_S + domain / DOMAINS
            is_high = phase % 1.0 < 0.5
            factor = 1 + SWING if is_high else 1 - SWING
            at_s += rng.expovariate(factor * rate_per_s / DOMAINS)
            number = domain + DOMAINS * rng.randrange(ENTRIES_PER_DOMAIN)
            drawn.append(Arrival(at_s, number, service))
    return drawn


def _draw_paces(rng):
    paces = []
    gap_s = CALM_GAP_S
    phase_end_s = 0.0
    while len(paces) * STEP_S < 2 * PLAY_S:
        if len(paces) * STEP_S >= phase_end_s:
            gap_s = BUSY_GAP_S if rng.random() < BUSY_SHARE else CALM_GAP_S
            phase_end_s += rng.expovariate(1 / PHASE_S)
        steps = round(rng.expovariate(1 / gap_s) / STEP_S)
        paces += [1.0] * min(steps, round(PHASE_S / STEP_S))
        steps = round(rng.expovariate(1 / BURST_S) / STEP_S)
        paces += [rng.uniform(*BURST_PACES)] * steps
    return paces


class Machine:
    """A server and the requests that it runs, and those that wait there.

    :param server_id: id of the server.
    :param speed: its own speed, relative to the others.
    :param paces: paces of its machine in steps of ``STEP_S``.
    """

    def __init__(self, server_id, speed, paces):
        self.server_id = server_id
        self.speed = speed
        self.paces = paces
        self.running = 0
        self.waiting = []

    def find_pace(self, at_s):
        return self.paces[int(at_s / STEP_S)]

    def find_end_s(self, start_s, work_s):
        """Finds the time at which work ends that takes so long at the usual pace."""
        left_s = work_s / self.speed
        at_s = start_s
        while True:
            step_end_s = (int(at_s / STEP_S) + 1) * STEP_S
            pace = self.find_pace(at_s)
            if left_s * pace <= step_end_s - at_s:
                return at_s + left_s * pace
            left_s -= (step_end_s - at_s) / pace
            at_s = step_end_s + 1e-9

    def state_load(self, at_s, has_pace):
        pace = round(100 * self.find_pace(at_s)) if has_pace else None
        return arrivals.ReportedLoad(self.running, len(self.waiting), SLOTS, pace)


class NewestPace(server_paces.ServerPace):
    """The newest figure, without mean, age and reports of peers."""

    __slots__ = ("_newest",)

    def __init__(self):
        super().__init__()
        self._newest = 1.0

    def record(self, pace, now_s):
        self._newest = pace / 100

    def estimate(self, now_s, prior_weight=0.0):
        return self._newest


class Times:
    """Times in seconds from an arrival to the first event or response, by service."""

    def __init__(self):
        self.by_service = {ENGINE_SERVICE: [], PLAIN_SERVICE: []}

    def add(self, others):
        """Adds the times of another play."""
        for service, times_s in others.by_service.items():
            self.by_service[service] += times_s

    def count_late(self, service):
        """Counts the responses after the objective."""
        limit_s = ENGINE_OBJECTIVE_S if service == ENGINE_SERVICE else PLAIN_OBJECTIVE_S
        return sum(time_s > limit_s for time_s in self.by_service[service])

    def find_quantile_s(self, service, share):
        """Finds the time below which a share of the times is."""
        ordered = sorted(self.by_service[service])
        return ordered[int(share * (len(ordered) - 1))]

    def find_excess_s(self, service):
        """Finds the excess of p99 over p50."""
        p50_s = self.find_quantile_s(service, 0.5)
        return self.find_quantile_s(service, 0.99) - p50_s


class PaceWorld:
    """Entries in several failure domains before engines and plain servers.

    :param load: ``Load``.
    :param has_pace: whether servers state their pace.
    :param is_newest: whether the newest figure counts instead of the estimate.
    :param is_lossy: whether digests are lost, doubled, late and out of order.
    """

    def __init__(self, load, has_pace, is_newest=False, is_lossy=False):
        self.load = load
        self.has_pace = has_pace
        self.is_newest = is_newest
        self.is_lossy = is_lossy
        self.rng = random.Random(7)
        self.now_s = 0.0
        self.machines = {
            server_id: Machine(server_id, SPEEDS[number % len(SPEEDS)], paces)
            for number, (server_id, paces) in enumerate(load.paces.items())
        }
        self.entries = []
        self.times = Times()
        self.refused = 0
        self.overfilled = 0
        self._events = []
        self._count = itertools.count()
        for number in range(ENTRIES_PER_DOMAIN * DOMAINS):
            self._start(number)
        builders.connect_entries(self.entries, 0.0)

    def _start(self, number):
        entry = builders.build_deployment(
            f"e{number:03}", number, f"d{number % DOMAINS}", 1
        )
        entry.apply_configuration(
            routes.RouteTable(builders.build_configuration()), 0.0
        )
        for index, server_id in enumerate(self.machines):
            service = ENGINE_SERVICE if server_id[0] == "w" else PLAIN_SERVICE
            entry.apply_registration(
                builders.build_registration(
                    server_id,
                    service=service,
                    slots=SLOTS,
                    domain=f"d{index % DOMAINS}",
                ),
                0.0,
            )
            if self.is_newest:
                entry.find_server(server_id).pace = NewestPace()
        self.entries.append(entry)

    def schedule(self, at_s, step, *arguments):
        heapq.heappush(self._events, (at_s, next(self._count), step, arguments))

    def play(self):
        for arrival in self.load.arrivals:
            self.schedule(arrival.at_s, self._arrive, arrival)
        for number in range(len(self.entries)):
            self.schedule(DIGEST_S * self.rng.random(), self._tick, number, 0)
        while self._events and self.now_s < PLAY_S:
            self.now_s, _, step, arguments = heapq.heappop(self._events)
            step(*arguments)
        return self

    def _tick(self, number, count):
        entry = self.entries[number]
        entry.store_reads.record_read(self.now_s)
        entry.tick(self.now_s)
        for dispatcher in entry.list_dispatchers():
            self._apply(number, dispatcher.refuse_expired(self.now_s))
            self._apply(number, dispatcher.dispatch_waiting(self.now_s))
        is_due = count % (2 * entry.roster.digests_per_summary) == 0
        due = summaries.Due(group=is_due, remote=is_due)
        for digests, peers in builders.list_datagrams(entry, self.now_s, due):
            for peer in peers:
                self._send(digests, int(peer.member.name[1:]))
        self.schedule(self.now_s + DIGEST_S, self._tick, number, count + 1)

    def _send(self, digests, number):
        if not self.is_lossy:
            self.schedule(self.now_s + LATENCY_S, self._receive, digests, number)
            return
        for _ in range(self.rng.choice((0, 1, 1, 2))):
            late_s = self.rng.choice((LATENCY_S, LATENCY_S, 0.2))
            self.schedule(self.now_s + late_s, self._receive, digests, number)

    def _receive(self, digests, number):
        for digest in digests:
            self.entries[number].apply_digest(digest, self.now_s)

    def _arrive(self, arrival):
        is_engine = arrival.service == ENGINE_SERVICE
        objective_s = ENGINE_OBJECTIVE_S if is_engine else PLAIN_OBJECTIVE_S
        route = builders.build_route(
            name=arrival.service,
            objective_ms=objective_s * 1_000,
            retry_rule=routes.RetryRule.STREAM
            if is_engine
            else routes.RetryRule.IDEMPOTENT,
        )
        ticket = builders.build_ticket(
            f"q{next(self._count)}",
            self.now_s,
            route,
            prompt=PROMPT_TOKENS,
            output=EVENTS * builders.ENGINE.event_tokens,
        )
        ticket = msgspec.structs.replace(ticket, service=arrival.service)
        dispatcher = self.entries[arrival.entry].get_dispatcher(arrival.service)
        self._apply(arrival.entry, dispatcher.submit(ticket, self.now_s))

    def _apply(self, number, decisions):
        for decision in decisions:
            if isinstance(decision, assignments.Refusal):
                self.refused += 1
                continue
            at_s = self.now_s + LATENCY_S
            self.schedule(at_s, self._reach, number, decision)

    def _reach(self, number, decision):
        machine = self.machines[decision.server.server_id]
        if machine.running >= SLOTS:
            self.overfilled += 1
            machine.waiting.append((number, decision))
        else:
            self._run(machine, number, decision)

    def _run(self, machine, number, decision):
        machine.running += 1
        if decision.ticket.service == PLAIN_SERVICE:
            end_s = machine.find_end_s(self.now_s, PLAIN_S)
            self.schedule(end_s, self._respond, machine, number, decision)
            self.schedule(end_s, self._end, machine, number, decision)
            return
        usage = 1 + 0.5 * machine.running / SLOTS
        first_s = machine.find_end_s(self.now_s, compute_first_s() * usage)
        self.schedule(first_s, self._respond, machine, number, decision)
        self._schedule_event(machine, number, decision, 1, first_s)

    def _schedule_event(self, machine, number, decision, count, at_s):
        if count > EVENTS:
            self.schedule(at_s, self._end, machine, number, decision)
            return
        interval_s = service_times.EVENT_INTERVAL_MS / 1_000
        at_s = machine.find_end_s(at_s, interval_s)
        self.schedule(at_s, self._emit, machine, number, decision, count)

    def _emit(self, machine, number, decision, count):
        self._schedule_event(machine, number, decision, count + 1, self.now_s)
        if count % dispatch.PROGRESS_EVENTS == 0:
            dispatcher = self._find_dispatcher(number, decision)
            dispatcher.record_progress(
                decision.ticket, decision.server, count, self.now_s + LATENCY_S
            )

    def _find_dispatcher(self, number, decision):
        return self.entries[number].get_dispatcher(decision.ticket.service)

    def _respond(self, machine, number, decision):
        load = machine.state_load(self.now_s, self.has_pace)
        at_s = self.now_s + LATENCY_S
        self.schedule(at_s, self._read_head, number, decision, load)

    def _read_head(self, number, decision, load):
        ticket = decision.ticket
        server = decision.server
        self.entries[number].record_load(server, load, self.now_s)
        dispatcher = self._find_dispatcher(number, decision)
        dispatcher.record_first_event(ticket, server, self.now_s)
        if WARM_UP_S < ticket.arrived_s < PLAY_S - 1.0:
            self.times.by_service[ticket.service].append(self.now_s - ticket.arrived_s)

    def _end(self, machine, number, decision):
        machine.running -= 1
        if machine.waiting:
            self._run(machine, *machine.waiting.pop(0))
        self.schedule(self.now_s + 2 * LATENCY_S, self._complete, number, decision)

    def _complete(self, number, decision):
        dispatcher = self._find_dispatcher(number, decision)
        complete = outcomes.Outcome.COMPLETE
        dispatcher.record_end(decision.ticket, decision.server, complete, self.now_s)
        self._apply(number, dispatcher.dispatch_waiting(self.now_s))
