"""Plays drains of failure domains on the decisions of entries, without a network."""

import unittest

import builders
import plays
from hypothesis import given, strategies

from wasabiknot_kernel import statements

DOMAINS = ("graz", "linz", "wien")
# Longest time in which an entry in touch reads an order; the bound on the whole is 5 s.
LONGEST_READ_S = 3.0
BOUND_S = 5.0
DRAINS = strategies.lists(
    strategies.tuples(
        strategies.floats(1, 26),
        strategies.sampled_from(["order", "lift", "register"]),
        strategies.sampled_from([*DOMAINS, "unknown"]),
    ),
    min_size=1,
    max_size=6,
).map(lambda items: sorted(items, key=lambda item: item[0]))


class World(plays.World):
    """Entries before servers in failure domains that are drained and given back.

    Each entry in touch reads a record within ``LONGEST_READ_S``; one that starts has
    the records up to then.

    :param steps: triples of time in seconds, kind and failure domain.
    :param is_obeyed: whether entries read the orders, as opposed to before.
    """

    def __init__(self, seed, count, steps, mishaps=(), is_obeyed=True, **options):
        self.steps = list(steps)
        self.records = []
        self.read_counts = [0] * count
        self.is_obeyed = is_obeyed
        # Triples of failure domain, start and end of a drain, in seconds.
        self.drains = []
        self.contacts = []
        super().__init__(seed, count, 6, mishaps, **options)

    def register(self, entry, server_id):
        domain = DOMAINS[int(server_id[1:]) % len(DOMAINS)]
        registration = builders.build_registration(
            server_id, slots=plays.SLOTS, domain=domain
        )
        entry.apply_registration(registration, self.now_s)

    def start(self, number):
        super().start(number)
        self.read_counts[number] = 0
        self.read(number, len(self.records))

    def read(self, number, end):
        entry = self.entries[number]
        for _, kind, domain in self.records[self.read_counts[number] : end]:
            if self.is_obeyed and kind == "order":
                entry.order_drain(domain)
            elif self.is_obeyed:
                entry.lift_drain(domain, self.now_s)
        self.read_counts[number] = max(end, self.read_counts[number])

    def advance_servers(self):
        while self.steps and self.steps[0][0] <= self.elapsed_s:
            self.advance_step(*self.steps.pop(0)[1:])
        for number in range(self.count):
            if self.is_in_touch(number):
                delay_s = LONGEST_READ_S * (number + 1) / self.count
                due = [item for item in self.records if item[0] + delay_s <= self.now_s]
                self.read(number, len(due))

    def advance_step(self, kind, domain):
        if kind == "register":
            server_id = f"w{len(self.servers)}"
            self.servers.append(server_id)
            for entry in self.entries:
                if entry is not None:
                    self.register(entry, server_id)
            return
        self.records.append((self.now_s, kind, domain))
        is_open = any(item[0] == domain and item[2] is None for item in self.drains)
        if kind == "order" and not is_open:
            self.drains.append([domain, self.now_s, None])
        elif kind == "lift":
            for drain in self.drains:
                if drain[0] == domain and drain[2] is None:
                    drain[2] = self.now_s

    def respond(self, number, decision):
        domain = decision.server.registration.domain
        self.contacts.append((self.now_s, number, domain))
        return plays.Response(statements.Statement())

    def list_violations(self):
        return [
            (at_s - self.start_s, number, domain)
            for at_s, number, domain in self.contacts
            if at_s >= self.excused_until_s[number]
            for drained, start_s, end_s in self.drains
            if drained == domain
            and start_s + BOUND_S <= at_s < (end_s or self.now_s + 1.0)
        ]

    def count_contacts(self, domain, start_s, end_s):
        return sum(
            item == domain and start_s <= at_s - self.start_s < end_s
            for at_s, _, item in self.contacts
        )


class DrainLoadTests(unittest.TestCase):
    @plays.SETTINGS
    @given(
        strategies.integers(0, 1_000),
        strategies.integers(1, 12),
        DRAINS,
        plays.DISTURBANCES,
        strategies.booleans(),
    )
    def test_no_request_reaches_a_drained_domain(
        self, seed, count, steps, mishaps, has_engines
    ):
        # Guards against entries that restart, freeze or are cut off and forget a drain.
        world = World(seed, count, steps, mishaps, has_engines=has_engines).play()
        self.assertEqual(world.list_violations(), [])

    def test_load_of_a_drained_domain_goes_to_the_others_unlike_before(self):
        steps = [(8.0, "order", "graz"), (20.0, "lift", "graz")]
        counts = []
        for is_obeyed in (False, True):
            world = World(1, 12, steps, is_obeyed=is_obeyed, load_per_s=120.0).play()
            self.assertEqual(world.refused, 0)
            self.assertGreater(world.count_contacts("graz", 24.0, 30.0), 100)
            counts.append(world.count_contacts("graz", 8.0 + BOUND_S, 20.0))
        before, after = counts
        self.assertGreater(before, 100)
        self.assertEqual(after, 0)

    def test_drain_of_all_domains_refuses_until_one_returns(self):
        steps = [(8.0, "order", domain) for domain in DOMAINS]
        world = World(2, 8, [*steps, (18.0, "lift", "linz")]).play()
        self.assertEqual(world.list_violations(), [])
        self.assertGreater(world.refused, 100)
        self.assertGreater(world.count_contacts("linz", 22.0, 30.0), 100)
