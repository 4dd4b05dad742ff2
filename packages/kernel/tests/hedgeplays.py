"""Plays plain requests at servers with slow spells on the decisions of entries.

One load may be played several times: arrivals, and how long a request takes at which
server, follow from the seed alone, whatever the entries decide.
"""

import collections
import heapq
import itertools
import random

import builders
import msgspec

from wasabiknot_kernel import assignments, outcomes, routes, send_durations

ENTRIES = 6
SERVERS = 8
SLOTS = 6
# Mean time of a request at a server that does nothing else, and its spread.
WORK_S = 0.06
WORK_SIGMA = 0.25
# Time for which a server keeps its pace, and factors of the pace.
SPELL_S = 0.25
PACES = (1.0, 1.0, 1.3, 1.8, 2.5)
# Share of the sends that take far longer than others on the same server.
STUCK_SHARE = 0.03
STUCK_FACTOR = 12.0
# Requests a second that all servers bear together, stuck sends included.
MEAN_WORK_S = WORK_S * sum(PACES) / len(PACES) * (1 + STUCK_SHARE * (STUCK_FACTOR - 1))
CAPACITY_PER_S = SERVERS * SLOTS / MEAN_WORK_S
TICK_S = 0.1
OBJECTIVE_S = 0.3
START_S = 100.0

ROUTE = builders.build_route(
    name="lookup",
    retry_rule=routes.RetryRule.IDEMPOTENT,
    timeout_ms=4_000.0,
    objective_ms=1_000 * OBJECTIVE_S,
    attempts=2,
)


class Load(msgspec.Struct, frozen=True):
    """A load that is played.

    :param seed: seed of all that happens.
    :param share_of_capacity: requests a second, as a share of what the servers bear.
    :param duration_s: duration in seconds.
    :param stuck_share: share of the sends that take far longer than others.
    :param slow_spell: start and end in seconds of a spell in which all servers are
        slow at once, from the start.
    :param digest_loss: share of the digests that are lost.
    """

    seed: int
    share_of_capacity: float
    duration_s: float = 30.0
    stuck_share: float = STUCK_SHARE
    slow_spell: tuple[float, float] = (0.0, 0.0)
    digest_loss: float = 0.0


class Send(msgspec.Struct, eq=False):
    """A request at a server, or in its queue.

    :param entry: ``deployments.Deployment`` that has sent it.
    :param ticket: the request.
    :param server: ``servers.Server``.
    :param sent_s: time of the send in seconds.
    :param is_hedge: whether it is the second one of its request.
    :param expectation: ``send_durations.Expectation``.
    :param is_over: whether it is answered or cancelled.
    """

    entry: object
    ticket: object
    server: object
    sent_s: float
    is_hedge: bool
    expectation: object
    is_over: bool = False


class Machine:
    """A server that runs as many requests as it has slots, and queues the others."""

    def __init__(self):
        self.running = set()
        self.queue = collections.deque()


class Play:
    """Entries before plain servers, with or without hedges.

    :param load: ``Load``.
    :param hedge_share: the operators' setting.
    """

    def __init__(self, load, hedge_share):
        self.load = load
        self.now_s = START_S
        self.waits_s = []
        self.refused = self.sends = self.hedges = self.won = 0
        self.withheld = collections.Counter()
        self.busy_s = 0.0
        self._sends = collections.defaultdict(list)
        self._events = []
        self._numbers = itertools.count()
        self._loss = random.Random(f"{load.seed}/loss")
        self._machines = {f"w{number}": Machine() for number in range(SERVERS)}
        policy = msgspec.structs.replace(builders.POLICY, hedge_share=hedge_share)
        self.entries = {}
        for number in range(ENTRIES):
            entry = builders.build_deployment(f"e{number}", number)
            entry.set_policy(policy)
            self.entries[entry.member.name] = entry
            for server_id in self._machines:
                registration = builders.build_registration(server_id, slots=SLOTS)
                entry.apply_registration(registration, START_S)
        builders.connect_entries(self.entries.values(), START_S)

    def _schedule(self, at_s, step, *arguments):
        heapq.heappush(self._events, (at_s, next(self._numbers), step, arguments))

    def play(self):
        """Plays the load to its end.

        :return: the play.
        """
        self._schedule_arrivals()
        end_s = START_S + self.load.duration_s
        self._schedule(START_S, self._tick, end_s)
        while self._events:
            self.now_s, _, step, arguments = heapq.heappop(self._events)
            step(*arguments)
        return self

    def _schedule_arrivals(self):
        rng = random.Random(f"{self.load.seed}/arrivals")
        rate_per_s = self.load.share_of_capacity * CAPACITY_PER_S
        names = sorted(self.entries)
        at_s = START_S
        for number in itertools.count():
            at_s += rng.expovariate(rate_per_s)
            if at_s > START_S + self.load.duration_s:
                return
            self._schedule(at_s, self._arrive, rng.choice(names), f"q{number}")

    def _tick(self, end_s):
        for entry in self.entries.values():
            entry.tick(self.now_s)
            for digests, peers in builders.list_datagrams(entry, self.now_s):
                if self._loss.random() >= self.load.digest_loss:
                    builders.deliver(digests, peers, self.entries, self.now_s)
            dispatcher = entry.get_dispatcher("pool")
            self._apply(entry, dispatcher.refuse_expired(self.now_s))
            self._apply(entry, dispatcher.dispatch_waiting(self.now_s))
        if self.now_s < end_s or self._sends:
            self._schedule(self.now_s + TICK_S, self._tick, end_s)

    def _arrive(self, name, request_id):
        entry = self.entries[name]
        ticket = builders.build_ticket(request_id, self.now_s, ROUTE, 0, 0)
        entry.get_budget("pool").record_request(self.now_s)
        dispatcher = entry.get_dispatcher("pool")
        self._apply(entry, dispatcher.submit(ticket, self.now_s))

    def _apply(self, entry, decisions):
        for decision in decisions:
            if isinstance(decision, assignments.Refusal):
                self.refused += 1
            else:
                self._send(entry, decision, is_hedge=False)

    def _send(self, entry, assignment, is_hedge):
        ticket = assignment.ticket
        ticket.sends += 1
        self.sends += 1
        send_class = send_durations.classify(ticket, assignment.server, self.now_s)
        expectation = send_durations.Expectation(send_class, assignment.score_ms)
        send = Send(entry, ticket, assignment.server, self.now_s, is_hedge, expectation)
        self._sends[ticket.request_id].append(send)
        entry.hedging.record_send()
        if not is_hedge:
            delay_s = entry.hedging.find_delay_s(ticket, expectation)
            if delay_s is not None:
                self._schedule(self.now_s + delay_s, self._consider, send)
        machine = self._machines[send.server.server_id]
        machine.queue.append(send)
        self._start_queued(machine)

    def _start_queued(self, machine):
        while machine.queue and len(machine.running) < SLOTS:
            send = machine.queue.popleft()
            if send.is_over:
                continue
            machine.running.add(send)
            work_s = self._draw_work_s(send)
            self._schedule(self.now_s + work_s, self._answer, send, self.now_s)

    def _draw_work_s(self, send):
        seed = self.load.seed
        server_id = send.server.server_id
        request = random.Random(f"{seed}/{send.ticket.request_id}")
        work_s = WORK_S * request.lognormvariate(0.0, WORK_SIGMA)
        spell = int((self.now_s - START_S) / SPELL_S)
        pace = random.Random(f"{seed}/{server_id}/{spell}").choice(PACES)
        stuck = random.Random(f"{seed}/{send.ticket.request_id}/{server_id}")
        if stuck.random() < self.load.stuck_share:
            pace *= STUCK_FACTOR
        start_s, end_s = self.load.slow_spell
        if start_s <= self.now_s - START_S < end_s:
            pace *= 3.0
        return work_s * pace

    def _consider(self, send):
        if send.is_over:
            return
        entry = send.entry
        decision = entry.hedging.decide(
            send.ticket,
            entry.get_dispatcher("pool"),
            entry.get_budget("pool"),
            True,
            self.now_s,
        )
        if isinstance(decision, assignments.Stay):
            self.withheld[decision.reason] += 1
            return
        self.hedges += 1
        self._send(entry, decision, is_hedge=True)

    def _answer(self, send, started_s):
        if send.is_over:
            return
        machine = self._machines[send.server.server_id]
        self._end(send, outcomes.Outcome.COMPLETE, started_s)
        send.server.reported_load = len(machine.running) + len(machine.queue)
        for other in self._sends.pop(send.ticket.request_id):
            if other is not send:
                self._end(other, outcomes.Outcome.CANCELLED, other.sent_s)
            if not other.is_hedge:
                duration_s = self.now_s - other.sent_s
                send.entry.hedging.durations.add(other.expectation, duration_s)
        self.won += send.is_hedge
        self.waits_s.append(self.now_s - send.ticket.arrived_s)
        dispatcher = send.entry.get_dispatcher("pool")
        self._apply(send.entry, dispatcher.dispatch_waiting(self.now_s))

    def _end(self, send, outcome, started_s):
        send.is_over = True
        machine = self._machines[send.server.server_id]
        if send in machine.running:
            machine.running.discard(send)
            self.busy_s += self.now_s - started_s
        dispatcher = send.entry.get_dispatcher("pool")
        dispatcher.record_end(send.ticket, send.server, outcome, self.now_s)
        self._start_queued(machine)

    def find_percentile_s(self, percent):
        """Finds a percentile of the times from arrival to the response.

        :param percent: 0 to 100.
        :return: seconds.
        """
        ordered = sorted(self.waits_s)
        return ordered[min(len(ordered) - 1, int(percent / 100 * len(ordered)))]

    def count_late(self):
        """Counts the responses after the objective of their route."""
        return sum(item > OBJECTIVE_S for item in self.waits_s)
