"""Plays servers that leave, or want no request for a time, on entries' decisions."""

import collections
import enum
import unittest

import builders
import hypothesis
import msgspec
import plays
from hypothesis import given, strategies

from wasabiknot_kernel import outcomes, statements

SERVERS = 6
# Servers that state something; the others never do.
CHANGING_SERVERS = 4
# Time within which an entry learns what the store says of a server.
NEWS_S = 0.5
# The bounds. A request that a caller has sent later than this after a machine has
# passed on the word of leaving must not reach the server from there.
DRAIN_S = 2.0
# Requests that a server may get from one machine within the time it has named, from
# when that machine must have heard it.
MAX_DEFERRED = 2
HEARING_S = 0.5
# How soon entries that have not heard it themselves keep away from a leaving server.
SPREADING_S = 2.0
MIN_RETRY_AFTER_S = 0.6
MAX_RETRY_AFTER_S = 8.0
# Shares of slow heads and of streams among the responses, and their times.
LATE_SHARE = 0.2
MAX_HEAD_S = 0.6
STREAM_SHARE = 0.1
MAX_STREAM_S = 3.0
# A request is missing if it has not ended this long after its arrival.
MISSING_S = 5.0
MAX_WAIT_S = 0.5


class Mishap(enum.Enum):
    """What happens to a server."""

    LEAVE = "leave"
    REJECT = "reject"
    RESTART = "restart"
    LAPSE = "lapse"


class Server(msgspec.Struct):
    """A backend server and its registration.

    :param started_ms: number of its start.
    :param is_leaving: whether it says so in all responses.
    :param rejects_until_s: time in seconds until which it rejects all requests.
    :param registered_s: time in seconds from which it is registered.
    """

    started_ms: int = 1
    is_leaving: bool = False
    rejects_until_s: float = 0.0
    registered_s: float = 0.0


class Span(msgspec.Struct):
    """The time in which an entry must leave a server alone, by one rejection."""

    believed_ms: int
    started_ms: int
    heard_s: float
    due_s: float
    end_s: float
    count: int = 0


class World(plays.World):
    """Entries before servers of which some make statements.

    :param seed: seed of the load.
    :param count: number of entries.
    :param mishaps: tuples of time in seconds, number of the server, ``Mishap`` and
        duration in seconds.
    :param disturbances: as for ``plays.World``.
    :param options: as for ``plays.World``.
    """

    def __init__(self, seed, count, mishaps, disturbances=(), **options):
        self.mishaps = sorted(mishaps, key=lambda item: item[0])
        self.states = {f"w{number}": Server() for number in range(SERVERS)}
        self.news = []
        # When an entry has passed on that a start of a server leaves: by the start
        # that answered, and by the start that the entry took it for.
        self.told_s = {}
        self.believed = {}
        self.spans = collections.defaultdict(list)
        self.breaches = []
        self.unfinished = {}
        self.contacts = []
        super().__init__(seed, count, SERVERS, disturbances, **options)

    def register(self, entry, server_id):
        state = self.states[server_id]
        if self.now_s < state.registered_s:
            entry.apply_removal(server_id, self.now_s)
            return
        registration = builders.build_registration(
            server_id, slots=plays.SLOTS, started_ms=state.started_ms
        )
        entry.apply_registration(registration, self.now_s)

    def advance_servers(self):
        while self.mishaps and self.mishaps[0][0] <= self.elapsed_s:
            self.change(*self.mishaps.pop(0)[1:])
        news = self.news
        self.news = []
        for item in news:
            due_s, number, server_id = item
            if self.now_s < max(due_s, self.frozen_until_s[number]):
                self.news.append(item)
            elif self.entries[number] is not None:
                self.register(self.entries[number], server_id)
        for number, entry in enumerate(self.entries):
            if self.is_up(number):
                entry.store_reads.record_read(self.now_s)

    def change(self, server_number, mishap, duration_s):
        server_id = f"w{server_number}"
        state = self.states[server_id]
        if mishap is Mishap.LEAVE:
            state.is_leaving = True
        elif mishap is Mishap.REJECT:
            state.rejects_until_s = self.now_s + duration_s
        elif mishap is Mishap.RESTART:
            state.started_ms += 1
            state.is_leaving = False
            state.rejects_until_s = 0.0
            self.announce(server_id, self.now_s)
        else:
            state.registered_s = self.now_s + duration_s
            self.announce(server_id, self.now_s)
            self.announce(server_id, state.registered_s)

    def announce(self, server_id, at_s):
        for number in range(self.count):
            due_s = at_s + self.rng.uniform(0.0, NEWS_S)
            self.news.append((due_s, number, server_id))

    def create_ticket(self, number, request_id):
        ticket = super().create_ticket(number, request_id)
        self.unfinished[request_id] = (ticket, number, self.runs[number])
        return ticket

    def find_key(self, number, server_id):
        return number, self.runs[number], server_id

    def respond(self, number, decision):
        ticket, server = decision.ticket, decision.server
        state = self.states[server.server_id]
        key = self.find_key(number, server.server_id)
        self.check(key, state, server, ticket)
        if decision.waited_s > MAX_WAIT_S and self.is_undisturbed(number):
            self.breaches.append(("waited", decision.waited_s, key))
        self.contacts.append((self.now_s, number, server.server_id))
        if self.now_s < state.rejects_until_s:
            retry_after_s = self.rng.uniform(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S)
            statement = statements.Statement(
                is_leaving=state.is_leaving, retry_after_s=retry_after_s
            )
            return Response(
                statement, outcomes.Outcome.REJECTED, start=state.started_ms
            )
        statement = statements.Statement(is_leaving=state.is_leaving)
        head_s = duration_s = plays.RESPONSE_S
        if self.rng.random() < LATE_SHARE:
            head_s = duration_s = self.rng.uniform(0.0, MAX_HEAD_S)
        if self.rng.random() < STREAM_SHARE:
            duration_s += self.rng.uniform(0.0, MAX_STREAM_S)
        return Response(
            statement, head_s=head_s, duration_s=duration_s, start=state.started_ms
        )

    def check(self, key, state, server, ticket):
        believed_ms = server.registration.started_ms
        if (*key, believed_ms) in self.believed:
            self.breaches.append(("sent after leaving", self.elapsed_s, key))
        told_s = self.told_s.get((*key, state.started_ms))
        if told_s is not None and ticket.arrived_s > told_s + DRAIN_S:
            self.breaches.append(("DRAIN", self.elapsed_s, key))
        for span in self.spans[key]:
            if span.believed_ms == believed_ms and span.heard_s < self.now_s:
                if self.now_s < span.end_s:
                    self.breaches.append(("sent in a named time", self.elapsed_s, key))
            if span.started_ms != state.started_ms:
                continue
            span.count += span.due_s < self.now_s < span.end_s
            if span.count > MAX_DEFERRED:
                self.breaches.append(("BUDGET", self.elapsed_s, key))

    def read_head(self, flight):
        server, response = flight.decision.server, flight.response
        if self.is_lost(flight):
            return
        super().read_head(flight)
        dispatcher = flight.entry.get_dispatcher("pool")
        dispatcher.record_first_event(flight.decision.ticket, server, self.now_s)
        key = self.find_key(flight.number, server.server_id)
        believed_ms = server.registration.started_ms
        if response.statement.is_leaving:
            self.told_s.setdefault((*key, response.start), self.now_s)
            self.believed.setdefault((*key, believed_ms), self.now_s)
        retry_after_s = response.statement.retry_after_s
        if retry_after_s is None:
            return
        answered_s = flight.sent_s + response.head_s
        # An entry that was frozen has heard it later.
        due_s = max(answered_s + HEARING_S, self.now_s)
        end_s = answered_s + retry_after_s
        self.spans[key].append(
            Span(believed_ms, response.start, self.now_s, due_s, end_s)
        )

    def is_lost(self, flight):
        state = self.states[flight.decision.server.server_id]
        return flight.response.start != state.started_ms

    def end(self, flight):
        ticket, server = flight.decision.ticket, flight.decision.server
        dispatcher = flight.entry.get_dispatcher("pool")
        is_known = ticket.request_id in server.sends
        if self.is_lost(flight):
            lost = outcomes.Outcome.RESPONSE_LOST
            dispatcher.record_end(ticket, server, lost, self.now_s)
            self.unfinished.pop(ticket.request_id)
            return
        super().end(flight)
        if not is_known:
            self.breaches.append(("forgotten in flight", self.elapsed_s, server))
        if flight.response.outcome is outcomes.Outcome.REJECTED:
            self.apply(flight.number, dispatcher.submit(ticket, self.now_s))
        else:
            self.unfinished.pop(ticket.request_id)

    def is_undisturbed(self, number):
        return self.now_s > self.excused_until_s[number]

    def list_missing(self):
        return [
            ticket.request_id
            for ticket, number, run in self.unfinished.values()
            if run == self.runs[number]
            and self.is_undisturbed(number)
            and self.now_s - ticket.arrived_s > MISSING_S
        ]

    def count_sent(self, server_id, start_s, end_s):
        return sum(
            contact[2] == server_id and start_s <= contact[0] - self.start_s < end_s
            for contact in self.contacts
        )


class Response(plays.Response, frozen=True, kw_only=True):
    """A response of one start of a server.

    :param start: number of the start.
    """

    start: int


MISHAPS = strategies.lists(
    strategies.tuples(
        strategies.floats(1, 27),
        strategies.integers(0, CHANGING_SERVERS - 1),
        strategies.sampled_from(Mishap),
        strategies.floats(0.2, 8.0),
    ),
    min_size=1,
    max_size=12,
)


LEAVE, REJECT = Mishap.LEAVE, Mishap.REJECT
RESTART, LAPSE = Mishap.RESTART, Mishap.LAPSE


class StatementLoadTests(unittest.TestCase):
    def check(self, world):
        self.assertEqual(world.breaches, [])
        self.assertEqual(world.refused, 0)
        self.assertEqual(world.list_missing(), [])

    @hypothesis.settings(plays.SETTINGS, max_examples=15)
    @given(
        strategies.integers(0, 1_000),
        strategies.integers(1, 12),
        MISHAPS,
        plays.DISTURBANCES,
        strategies.booleans(),
    )
    def test_statements_are_kept_to_in_drawn_mixes(
        self, seed, count, mishaps, disturbances, has_engines
    ):
        world = World(
            seed, count, mishaps, disturbances, load_per_s=30.0, has_engines=has_engines
        )
        self.check(world.play())

    def test_restarts_that_become_known_late_end_no_statement_of_the_new_start(self):
        leaving = [(5, 0, LEAVE, 0), (5.2, 0, RESTART, 0), (5.4, 0, LEAVE, 0)]
        rejecting = [(5, 0, RESTART, 0), (5.1, 0, REJECT, 4)]
        for seed, mishaps in ((11, leaving), (14, leaving), (0, rejecting)):
            self.check(World(seed, 8, mishaps).play())

    def test_lapse_of_the_registration_does_not_end_a_time(self):
        world = World(1, 8, [(5, 0, REJECT, 1.0), (5.5, 0, LAPSE, 1.0)])
        self.check(world.play())

    def test_answers_that_are_late_do_not_end_a_time(self):
        for seed in range(3):
            world = World(seed, 2, [(5, 0, REJECT, 2.0)], load_per_s=200.0)
            self.check(world.play())

    def test_all_groups_keep_away_from_leaving_servers(self):
        mishaps = [(5, 0, LEAVE, 0), (6, 1, LEAVE, 0), (7, 0, LAPSE, 4)]
        disturbances = [(4, "freeze", 3), (5, "restart", 1), (6, "cut", 8)]
        world = World(1, 30, mishaps, disturbances, load_per_s=90.0).play()
        self.check(world)
        self.assertGreater(world.count_sent("w0", 2.0, 5.0), 20)

    def test_entries_that_have_not_heard_it_keep_away_from_a_leaving_server(self):
        world = World(1, 30, [(5, 0, LEAVE, 0)], load_per_s=90.0).play()
        self.assertGreater(world.count_sent("w0", 2.0, 5.0), 20)
        self.assertEqual(world.count_sent("w0", 5.0 + SPREADING_S, 30.0), 0)

    def test_servers_are_used_again_after_a_time_and_a_restart(self):
        mishaps = [(5, 0, REJECT, 1), (5, 1, LEAVE, 0), (10, 1, RESTART, 0)]
        world = World(1, 8, mishaps, load_per_s=60.0, has_engines=True).play()
        self.check(world)
        even_share = 60.0 * 12.0 / SERVERS
        for server_id in ("w0", "w1"):
            sent = world.count_sent(server_id, 18.0, 30.0)
            self.assertGreater(sent, even_share / 4)
