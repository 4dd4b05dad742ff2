"""What a dispatcher looks for while hardly any backend server has room."""

import unittest
from unittest import mock

import builders
from hypothesis import given, strategies

SERVERS = 6
SLOTS = 4
LOADS = strategies.lists(
    strategies.integers(0, SLOTS), min_size=SERVERS, max_size=SERVERS
)
SERVER_SETS = strategies.sets(
    strategies.sampled_from([f"w{number}" for number in range(SERVERS)])
)


def build_dispatcher(loads):
    """Builds a dispatcher with some requests at each engine."""
    dispatcher = builders.build_dispatcher(len(loads), SLOTS)
    for number, load in enumerate(loads):
        for index in range(load):
            ticket = builders.build_ticket(f"w{number}-{index}")
            server = dispatcher.servers[f"w{number}"]
            dispatcher.record_send(ticket, server, 0.0, 100.0)
    return dispatcher


class CapacityTests(unittest.TestCase):
    @given(LOADS, SERVER_SETS, SERVER_SETS, SERVER_SETS)
    def test_no_request_finds_a_server_without_capacity(
        self, loads, group, known, avoided
    ):
        dispatcher = build_dispatcher(loads)
        dispatcher.group_servers = group
        dispatcher.remote_servers = known
        for server_id in avoided:
            dispatcher.servers[server_id].avoid_until_s = 1.0
        ticket = builders.build_ticket("new")
        if not dispatcher.has_capacity(0.0):
            self.assertIsNone(dispatcher.choose(ticket, 0.0))
        elif not avoided:
            self.assertIsNotNone(dispatcher.choose(ticket, 0.0))

    def test_full_group_is_not_searched_for_each_waiting_request(self):
        # Guards against an overload that costs more the more requests wait.
        dispatcher = build_dispatcher([SLOTS, SLOTS, SLOTS - 1])
        dispatcher.group_servers = {"w0", "w1"}
        for number in range(5):
            dispatcher.submit(builders.build_ticket(f"q{number}"), 0.0)
        self.assertEqual(len(dispatcher), 5)
        with mock.patch.object(dispatcher, "choose") as choose:
            dispatcher.dispatch_waiting(0.1)
            dispatcher.submit(builders.build_ticket("q5"), 0.1)
        choose.assert_not_called()
