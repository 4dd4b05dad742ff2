"""A play of entries before backend servers, on their decisions, without a network."""

import random

import builders
import hypothesis
import msgspec
from hypothesis import settings, strategies

from wasabiknot_kernel import assignments, outcomes, routes, statements

STEP_S = 0.05
DIGEST_STEPS = 2
DURATION_S = 30.0
RESPONSE_S = 0.1
ENTRY_RESTART_S = 1.0
DIGEST_LOSS = 0.1
SLOTS = 40
# Time in which a disturbance excuses an entry.
EXCUSE_S = 4.0

SETTINGS = settings(
    derandomize=True,
    max_examples=25,
    deadline=None,
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
)
DISTURBANCES = strategies.lists(
    strategies.tuples(
        strategies.floats(2, 25),
        strategies.sampled_from(["restart", "cut", "freeze"]),
        strategies.floats(0.3, 8.0),
    ),
    max_size=4,
)


class Response(msgspec.Struct, frozen=True):
    """What a backend server answers to one request.

    :param statement: ``statements.Statement`` in the head.
    :param outcome: ``outcomes.Outcome``.
    :param head_s: time in seconds from the request to the head.
    :param duration_s: time in seconds from the request to the end.
    """

    statement: statements.Statement
    outcome: outcomes.Outcome = outcomes.Outcome.COMPLETE
    head_s: float = RESPONSE_S
    duration_s: float = RESPONSE_S


class Flight(msgspec.Struct, eq=False):
    """A request at a backend server.

    :param number: number of the entry.
    :param entry: this start of the entry.
    :param decision: ``assignments.Assignment``.
    :param response: ``Response``.
    :param sent_s: time in seconds at which the request was sent.
    :param is_head_read: whether the entry has read the head.
    """

    number: int
    entry: object
    decision: assignments.Assignment
    response: Response
    sent_s: float
    is_head_read: bool = False


class World:
    """Entries before backend servers.

    :param seed: seed of the load.
    :param count: number of entries.
    :param servers: number of servers.
    :param disturbances: triples of time in seconds, kind and duration in seconds.
    :param load_per_s: requests a second.
    :param uneven_share: share of the requests that the first entry gets.
    :param has_engines: whether the servers are model engines.
    """

    def __init__(
        self,
        seed,
        count,
        servers,
        disturbances=(),
        load_per_s=60.0,
        uneven_share=0.0,
        has_engines=False,
    ):
        self.rng = random.Random(seed)
        self.count = count
        self.servers = [f"w{number}" for number in range(servers)]
        self.disturbances = sorted(disturbances)
        self.load_per_s = load_per_s
        self.uneven_share = uneven_share
        self.has_engines = has_engines
        self.now_s = 1_000.0
        self.start_s = self.now_s
        self.cut_until_s = [0.0] * count
        self.frozen_until_s = [0.0] * count
        self.excused_until_s = [0.0] * count
        self.down_until_s = [0.0] * count
        self.flights = []
        self.refused = 0
        self.requests = 0
        self.runs = [0] * count
        self.entries = [None] * count
        for number in range(count):
            self.start(number)

    def start(self, number):
        domain = f"domain-{number % 3}"
        self.runs[number] += 1
        run = self.runs[number]
        entry = builders.build_deployment(f"e{number:03}", number, domain, run)
        self.entries[number] = entry
        for other in self.entries:
            if other is not None and other is not entry:
                builders.connect_entries([entry, other], self.now_s)
        if self.has_engines:
            table = routes.RouteTable(builders.build_configuration())
            entry.apply_configuration(table, self.now_s)
        for server_id in self.servers:
            self.register(entry, server_id)

    def register(self, entry, server_id):
        registration = builders.build_registration(server_id, slots=SLOTS)
        entry.apply_registration(registration, self.now_s)

    @property
    def elapsed_s(self):
        return self.now_s - self.start_s

    def is_up(self, number):
        entry = self.entries[number]
        return entry is not None and self.now_s >= self.frozen_until_s[number]

    def disturb(self, kind, duration_s):
        number = self.rng.randrange(self.count)
        if kind == "restart":
            self.entries[number] = None
            self.down_until_s[number] = self.now_s + ENTRY_RESTART_S
            duration_s = ENTRY_RESTART_S
        elif kind == "cut":
            self.cut_until_s[number] = self.now_s + duration_s
        else:
            self.frozen_until_s[number] = self.now_s + duration_s
        self.excused_until_s[number] = self.now_s + duration_s + EXCUSE_S

    def play(self):
        steps = 0
        while self.now_s < self.start_s + DURATION_S:
            self.now_s += STEP_S
            steps += 1
            self.advance_servers()
            self.advance_mishaps()
            self.advance_flights()
            self.arrive()
            for number in range(self.count):
                if self.is_up(number):
                    self.advance(number, steps % DIGEST_STEPS == number % DIGEST_STEPS)
        return self

    def advance_servers(self):
        """Lets the servers change; overridden by plays with such changes."""

    def advance_mishaps(self):
        while self.disturbances and self.disturbances[0][0] <= self.elapsed_s:
            self.disturb(*self.disturbances.pop(0)[1:])
        for number in range(self.count):
            due_s = self.down_until_s[number]
            if self.entries[number] is None and self.now_s >= due_s:
                self.start(number)

    def arrive(self):
        for _ in range(self.rng.randint(0, round(2 * self.load_per_s * STEP_S))):
            is_first = self.rng.random() < self.uneven_share
            number = 0 if is_first else self.rng.randrange(self.count)
            if not self.is_up(number):
                continue
            self.requests += 1
            ticket = self.create_ticket(number, f"q{self.requests}")
            dispatcher = self.entries[number].get_dispatcher("pool")
            self.apply(number, dispatcher.submit(ticket, self.now_s))

    def create_ticket(self, number, request_id):
        return builders.build_ticket(request_id, self.now_s)

    def apply(self, number, decisions):
        for decision in decisions:
            if isinstance(decision, assignments.Refusal):
                self.refused += 1
                continue
            response = self.respond(number, decision)
            entry = self.entries[number]
            flight = Flight(number, entry, decision, response, self.now_s)
            self.flights.append(flight)

    def respond(self, number, decision):
        """Returns the ``Response`` of the server that a request is sent to."""
        raise NotImplementedError

    def advance_flights(self):
        flights = self.flights
        self.flights = []
        for flight in flights:
            if self.now_s < self.frozen_until_s[flight.number]:
                self.flights.append(flight)
            elif flight.entry is self.entries[flight.number]:
                self.advance_flight(flight)

    def advance_flight(self, flight):
        response = flight.response
        if not flight.is_head_read and self.now_s >= flight.sent_s + response.head_s:
            flight.is_head_read = True
            self.read_head(flight)
        if self.now_s >= flight.sent_s + response.duration_s:
            self.end(flight)
        else:
            self.flights.append(flight)

    def read_head(self, flight):
        server = flight.decision.server
        statement = flight.response.statement
        flight.entry.record_statement(server, statement, flight.sent_s, self.now_s)

    def end(self, flight):
        decision = flight.decision
        flight.entry.get_dispatcher("pool").record_end(
            decision.ticket, decision.server, flight.response.outcome, self.now_s
        )

    def advance(self, number, sends_digest):
        entry = self.entries[number]
        entry.tick(self.now_s)
        dispatcher = entry.get_dispatcher("pool")
        self.apply(number, dispatcher.refuse_expired(self.now_s))
        self.apply(number, dispatcher.dispatch_waiting(self.now_s))
        if sends_digest and self.is_in_touch(number):
            for digests, peers in builders.list_datagrams(entry, self.now_s):
                self.deliver(digests, peers)

    def is_in_touch(self, number):
        return self.is_up(number) and self.now_s >= self.cut_until_s[number]

    def deliver(self, digests, peers):
        for peer in peers:
            number = int(peer.member.name[1:])
            if self.is_in_touch(number) and self.rng.random() >= DIGEST_LOSS:
                for digest in digests:
                    self.entries[number].apply_digest(digest, self.now_s)
