"""Plays servers that state limits on the decisions of entries, without a network."""

import collections
import unittest

import builders
import plays
from hypothesis import given, strategies

from wasabiknot_kernel import statements

SERVERS = 3
URGENT = 0
ORDINARY = 1
COUNTED_AFTER_S = 8.0
# The bound: requests in any window, from entries that were told, once it has settled.
SETTLING_S = 3.0
HEARING_S = 0.5
WINDOW_S = 4.0
TOLERANCE = 1.5
SLACK = 5


class World(plays.World):
    """Entries before one limited server and others without a limit.

    :param seed: seed of the load.
    :param count: number of entries.
    :param limits: pairs of times in seconds and limits from then on.
    :param disturbances: triples of time in seconds, kind and duration in seconds.
    :param servers: number of servers; the first one states the limits.
    :param urgent_share: share of the requests that are urgent.
    :param options: as for ``plays.World``.
    """

    def __init__(
        self,
        seed,
        count,
        limits,
        disturbances=(),
        servers=SERVERS,
        urgent_share=0.0,
        **options,
    ):
        self.limits = limits
        self.urgent_share = urgent_share
        # Requests that arrived and that were sent after the limit has settled, by rank.
        self.arrived = collections.Counter()
        self.served = collections.Counter()
        self.contacts = []
        super().__init__(seed, count, servers, disturbances, **options)

    def find_limit(self):
        passed = [limit for at_s, limit in self.limits if at_s <= self.elapsed_s]
        return passed[-1] if passed else None

    def create_ticket(self, number, request_id):
        rank = self.draw_rank()
        ticket = builders.build_ticket(request_id, self.now_s, rank=rank)
        self.count_ticket(self.arrived, ticket)
        return ticket

    def draw_rank(self):
        # Nothing is drawn without urgent requests, so that the other tests keep theirs.
        is_urgent = self.urgent_share and self.rng.random() < self.urgent_share
        return URGENT if is_urgent else ORDINARY

    def count_ticket(self, counter, ticket):
        if self.elapsed_s > COUNTED_AFTER_S:
            counter[ticket.rank] += 1

    def find_served_share(self, rank):
        return self.served[rank] / self.arrived[rank]

    def respond(self, number, decision):
        self.count_ticket(self.served, decision.ticket)
        limit = None
        if decision.server.server_id == "w0":
            limit = self.find_limit()
            self.contacts.append((self.now_s, number, limit))
        return plays.Response(statements.Statement(limit))

    def list_excesses(self):
        stated_s = None
        window = collections.deque()
        excesses = []
        told_s = {}
        for at_s, number, limit in self.contacts:
            if limit is None:
                stated_s = None
                told_s.clear()
                continue
            stated_s = at_s if stated_s is None else stated_s
            since_s = told_s.setdefault(number, at_s + plays.RESPONSE_S)
            if at_s < self.excused_until_s[number]:
                continue
            if at_s < max(since_s + HEARING_S, stated_s + SETTLING_S):
                continue
            window.append((at_s, limit))
            while window[0][0] < at_s - WINDOW_S:
                window.popleft()
            allowed = TOLERANCE * WINDOW_S * max(item[1] for item in window) + SLACK
            if len(window) > allowed:
                excesses.append((at_s - self.start_s, len(window), allowed))
        return excesses

    def count_between(self, start_s, end_s):
        return sum(
            start_s <= at_s - self.start_s < end_s for at_s, _, _ in self.contacts
        )


LIMITS = strategies.lists(
    strategies.tuples(
        strategies.floats(1, 25),
        strategies.one_of(strategies.none(), strategies.floats(0.0, 12.0)),
    ),
    min_size=1,
    max_size=3,
).map(lambda items: sorted(items, key=lambda item: item[0]))


class LimitLoadTests(unittest.TestCase):
    @plays.SETTINGS
    @given(
        strategies.integers(0, 1_000),
        strategies.integers(1, 12),
        LIMITS,
        plays.DISTURBANCES,
        strategies.floats(0.0, 0.9),
    )
    def test_limit_holds_in_drawn_mixes(self, seed, count, limits, mishaps, uneven):
        world = World(seed, count, limits, mishaps, uneven_share=uneven)
        self.assertEqual(world.play().list_excesses(), [])

    def test_limit_holds_over_several_groups(self):
        world = World(1, 40, [(3.0, 1.1)], load_per_s=120.0).play()
        self.assertEqual(world.list_excesses(), [])
        self.assertGreater(world.count_between(8.0, 30.0), 0)

    def test_limit_of_an_engine_holds_over_several_groups(self):
        world = World(
            1, 40, [(3.0, 2.5)], load_per_s=120.0, servers=8, has_engines=True
        ).play()
        self.assertEqual(world.list_excesses(), [])
        self.assertGreater(world.count_between(8.0, 30.0), 0)

    def test_limit_below_one_request_an_entry_holds(self):
        for limit in (0.0, 0.3, 1.1):
            world = World(2, 8, [(3.0, limit)]).play()
            self.assertEqual(world.list_excesses(), [])

    def test_most_of_a_limit_is_used_when_no_other_server_is_left(self):
        world = World(3, 8, [(3.0, 5.5)], servers=1).play()
        used = world.count_between(8.0, 30.0) / (5.5 * 22.0)
        self.assertGreater(used, 0.8)
        self.assertLessEqual(used, 1.0 + 8 / (5.5 * 22.0))

    def test_server_is_used_again_once_it_states_no_limit(self):
        world = World(4, 8, [(3.0, 1.1), (15.0, None)]).play()
        before = world.count_between(8.0, 15.0) / 7.0
        after = world.count_between(20.0, 30.0) / 10.0
        self.assertLess(before, 1.7)
        self.assertGreater(after, 10.0)

    def test_other_servers_take_the_requests_of_a_limited_one(self):
        world = World(5, 8, [(3.0, 1.1)]).play()
        self.assertEqual(world.refused, 0)

    def test_urgent_requests_are_served_more_often_below_the_demand(self):
        for count in (1, 4, 8):
            for limit in (2.0, 5.5):
                with self.subTest(entries=count, limit=limit):
                    world = World(
                        6,
                        count,
                        [(3.0, limit)],
                        load_per_s=20.0,
                        servers=1,
                        urgent_share=0.25,
                    ).play()
                    urgent = world.find_served_share(URGENT)
                    ordinary = world.find_served_share(ORDINARY)
                    self.assertGreater(urgent, ordinary)

    def test_requests_beyond_all_limits_are_refused_early(self):
        world = World(6, 4, [(3.0, 2.0)], load_per_s=20.0, servers=1).play()
        self.assertEqual(world.list_excesses(), [])
        self.assertGreater(world.refused, world.requests // 2)
