"""Plays cold servers on the decisions of entries, without a network."""

import collections
import unittest

import builders
import msgspec
import plays
import test_warmups
from hypothesis import given, strategies

from wasabiknot_kernel import outcomes, pauses, routes, statements, warmups

SERVERS = 6
DOMAINS = ("graz", "linz", "wien")
WARMUP_S = 4.0
WARMUP_PER_S = 9.3
TOLERANCE = warmups.Tolerance()
ALLOWED = WARMUP_PER_S * TOLERANCE.overrun + TOLERANCE.slack
LOAD_PER_S = 240.0
# Interval at which servers renew their registrations, and the time until the entries
# have read them.
BEAT_S = 1.2
READ_S = 0.5
# Time in which an entry in touch learns that a server has become cold while it runs.
NEWS_S = BEAT_S + READ_S + 0.3
REFUSAL_S = 0.01

CHANGES = strategies.lists(
    strategies.tuples(
        strategies.floats(3, 22),
        strategies.sampled_from(["restart", "again", "drain"]),
        strategies.integers(0, SERVERS - 1),
        strategies.floats(0.3, 4.0),
    ),
    min_size=1,
    max_size=4,
).map(lambda items: sorted(items, key=lambda item: item[0]))


def build_plain_table(table):
    """Builds a route table like another one, with a plain service."""
    (service,) = table.configuration.services
    plain = msgspec.structs.replace(service, engine=None)
    return routes.RouteTable(
        msgspec.structs.replace(table.configuration, services=(plain,))
    )


class Machine:
    """A server that may be down or cold.

    :param server_id: id of the server.
    :param domain: its failure domain.
    """

    def __init__(self, server_id, domain):
        self.server_id = server_id
        self.domain = domain
        self.started_ms = 1
        self.up_s = 0.0
        self.cold_from_s = 0.0
        self.cold_until_s = 0.0
        # Time from which entries can know that it is cold.
        self.known_s = 0.0
        self.is_drained = False


class World(plays.World):
    """Entries before servers that restart, become cold again, and are drained.

    :param changes: tuples of time in seconds, kind, number of the server and length of
        the outage or drain in seconds.
    :param has_limit: whether the service has a limit for cold servers.
    """

    def __init__(self, seed, count, changes, mishaps=(), has_limit=True, **options):
        self.changes = list(changes)
        self.machines = {}
        self.due = []
        self.contacts = []
        warmup_per_s = WARMUP_PER_S if has_limit else 0.0
        self.table = test_warmups.build_table(1, WARMUP_S, warmup_per_s)
        if not options.get("has_engines", True):
            self.table = build_plain_table(self.table)
        for number in range(SERVERS):
            domain = DOMAINS[number % len(DOMAINS)]
            self.machines[f"w{number}"] = Machine(f"w{number}", domain)
        options = {"load_per_s": LOAD_PER_S, "has_engines": True, **options}
        super().__init__(seed, count, SERVERS, mishaps, **options)

    def start(self, number):
        has_engines, self.has_engines = self.has_engines, False
        super().start(number)
        self.has_engines = has_engines
        entry = self.entries[number]
        entry.has_members = True
        entry.apply_configuration(self.table, self.now_s)
        for domain in {item.domain for item in self.machines.values()}:
            if self.list_domain(domain)[0].is_drained:
                entry.order_drain(domain)

    def is_up(self, number):
        # One that goes on after a pause catches up first.
        held_until_s = self.frozen_until_s[number] + pauses.HOLD_S
        return self.entries[number] is not None and self.now_s >= held_until_s

    def disturb(self, kind, duration_s):
        frozen = list(self.frozen_until_s)
        super().disturb(kind, duration_s)
        for number, until_s in enumerate(self.frozen_until_s):
            if until_s != frozen[number]:
                self.due.append((until_s, self.renew, None))

    def list_domain(self, domain):
        return [item for item in self.machines.values() if item.domain == domain]

    def register(self, entry, server_id):
        machine = self.machines[server_id]
        left_s = max(0.0, machine.cold_until_s - self.now_s)
        registration = builders.build_registration(
            server_id,
            slots=plays.SLOTS,
            domain=machine.domain,
            started_ms=machine.started_ms,
            warmup_ms=left_s * 1_000,
        )
        entry.apply_registration(registration, self.now_s)

    def advance_servers(self):
        while self.changes and self.changes[0][0] <= self.elapsed_s:
            _, kind, number, duration_s = self.changes.pop(0)
            machine = self.machines[f"w{number}"]
            getattr(self, f"begin_{kind}")(machine, duration_s)
        due = [item for item in self.due if item[0] <= self.now_s]
        self.due = [item for item in self.due if item[0] > self.now_s]
        for _, step, argument in due:
            step(argument)
        if round(self.elapsed_s / plays.STEP_S) % round(BEAT_S / plays.STEP_S) == 0:
            self.due.append((self.now_s + READ_S, self.renew, None))

    def renew(self, _=None):
        for number, entry in enumerate(self.entries):
            for server_id, machine in self.machines.items():
                is_up = self.now_s - READ_S >= machine.up_s
                if entry is not None and self.is_in_touch(number) and is_up:
                    self.register(entry, server_id)

    def warm(self, machine, from_s, known_s):
        if from_s >= machine.cold_until_s:
            machine.cold_from_s = from_s
            machine.known_s = known_s
        machine.cold_until_s = from_s + WARMUP_S

    def begin_restart(self, machine, duration_s):
        if self.now_s < machine.up_s:
            return
        machine.up_s = self.now_s + duration_s
        machine.started_ms += 1
        self.warm(machine, machine.up_s, machine.up_s)
        for flight in self.flights:
            if flight.decision.server.server_id == machine.server_id:
                flight.response = plays.Response(
                    statements.Statement(), outcomes.Outcome.RESPONSE_LOST, 1e9, 0.0
                )

    def begin_again(self, machine, duration_s):
        if self.now_s >= machine.up_s:
            self.warm(machine, self.now_s, self.now_s + NEWS_S)

    def begin_drain(self, machine, duration_s):
        machines = self.list_domain(machine.domain)
        if machines[0].is_drained:
            return
        for item in machines:
            item.is_drained = True
        self.announce(lambda entry: entry.order_drain(machine.domain))
        due_s = self.now_s + max(2.0, duration_s)
        self.due.append((due_s, self.end_drain, machine.domain))

    def end_drain(self, domain):
        for machine in self.list_domain(domain):
            machine.is_drained = False
            self.warm(machine, max(self.now_s, machine.up_s), self.now_s)
        self.announce(lambda entry: entry.lift_drain(domain, self.now_s))

    def announce(self, step):
        # Each entry reads the record at another time.
        for number in range(self.count):
            delay_s = READ_S * (number + 1) / self.count
            self.due.append((self.now_s + delay_s, self.tell, (number, step)))

    def tell(self, argument):
        number, step = argument
        entry = self.entries[number]
        if entry is not None and self.is_in_touch(number):
            step(entry)
        elif entry is not None:
            self.due.append((self.now_s + READ_S, self.tell, argument))

    def respond(self, number, decision):
        machine = self.machines[decision.server.server_id]
        if self.now_s < machine.up_s:
            unreachable = outcomes.Outcome.UNREACHABLE
            return plays.Response(statements.Statement(), unreachable, 1e9, REFUSAL_S)
        is_cold = machine.known_s <= self.now_s < machine.cold_until_s
        if is_cold and not self.is_unaware(number, machine):
            self.contacts.append((self.now_s, number, machine.server_id))
        return plays.Response(statements.Statement())

    def is_unaware(self, number, machine):
        # An entry that is cut off from the store and all peers may not learn of it.
        if self.now_s >= self.cut_until_s[number] + NEWS_S:
            return False
        warmups_known = self.entries[number].eligibility.warmups
        return not warmups_known.is_cold(machine.server_id)

    def end(self, flight):
        super().end(flight)
        server = flight.decision.server
        outcome = flight.response.outcome
        if outcome is outcomes.Outcome.COMPLETE:
            return
        flight.entry.record_broken_connection(server, self.now_s)

    def find_most_in_a_second(self):
        most = 0
        windows = collections.defaultdict(collections.deque)
        for at_s, _, server_id in self.contacts:
            window = windows[server_id]
            window.append(at_s)
            while window[0] <= at_s - 1.0:
                window.popleft()
            most = max(most, len(window))
        return most


class WarmupLoadTests(unittest.TestCase):
    @plays.SETTINGS
    @given(
        strategies.integers(0, 1_000),
        strategies.integers(2, 16),
        CHANGES,
        plays.DISTURBANCES,
        strategies.booleans(),
    )
    def test_cold_servers_are_not_overrun(
        self, seed, count, changes, mishaps, has_engines
    ):
        # Guards against a burst that ends a server which has just started.
        world = World(seed, count, changes, mishaps, has_engines=has_engines).play()
        self.assertLessEqual(world.find_most_in_a_second(), ALLOWED)

    def play_both(self, changes, count=24):
        worlds = [
            World(3, count, changes, has_limit=has_limit).play()
            for has_limit in (False, True)
        ]
        return [world.find_most_in_a_second() for world in worlds], worlds[1]

    def test_servers_of_a_drained_domain_return_at_their_limit_unlike_before(self):
        (before, after), world = self.play_both([(6.0, "drain", 0, 4.0)])
        self.assertGreater(before, ALLOWED)
        self.assertLessEqual(after, ALLOWED)
        self.assertGreater(len(world.contacts), 0.4 * 2 * WARMUP_PER_S * WARMUP_S)

    def test_restarted_server_returns_at_its_limit_unlike_before(self):
        (before, after), _ = self.play_both([(6.0, "restart", 0, 0.6)])
        self.assertGreater(before, ALLOWED)
        self.assertLessEqual(after, ALLOWED)

    def test_restarted_servers_are_spared_while_the_store_is_unavailable(self):
        # Guards against a limit that ends with the last registration that was read.
        changes = [
            (4.0, "drain", 1, 20.0),
            (4.0, "drain", 2, 20.0),
            (6.0, "restart", 0, 0.6),
            (6.0, "restart", 3, 0.6),
        ]
        most = []
        for has_limit in (False, True):
            world = World(3, 12, changes, has_limit=has_limit)
            world.renew = lambda _=None: None
            most.append(world.play().find_most_in_a_second())
        before, after = most
        self.assertGreater(before, ALLOWED)
        self.assertLessEqual(after, ALLOWED)
        self.assertGreater(after, 0)

    def test_server_that_becomes_cold_while_it_runs_is_spared_unlike_before(self):
        (before, after), _ = self.play_both([(6.0, "again", 0, 0.6)])
        self.assertGreater(before, ALLOWED)
        self.assertLessEqual(after, ALLOWED)
