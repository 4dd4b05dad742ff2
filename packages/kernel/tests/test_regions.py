import unittest

import builders
import msgspec

from wasabiknot_kernel import exceptions, members, regions, routes

MAP = regions.build_map(
    "north", "graz", {"linz": "north", "wien": "south", "pest": "east"}
)
NO_WORKER = exceptions.ErrorKind.NO_WORKER


class MapTests(unittest.TestCase):
    def test_lists_of_route_and_customer_both_apply(self):
        self.assertIsNone(regions.combine((), ()))
        self.assertEqual(regions.combine(("north",), ()), {"north"})
        both = regions.combine(("north", "south"), ("south", "east"))
        self.assertEqual(both, {"south"})
        self.assertEqual(regions.combine(("north",), ("south",)), frozenset())

    def test_own_domain_is_in_the_own_region(self):
        self.assertTrue(MAP.may_run(frozenset({"north"}), "graz"))
        self.assertTrue(MAP.may_run(frozenset({"south"}), "wien"))
        self.assertFalse(MAP.may_run(frozenset({"south"}), "graz"))

    def test_domain_of_unknown_region_is_in_no_allowed_one(self):
        # Guards against requests that leave their regions by an unlisted domain.
        empty = regions.build_map(None, "graz", None)
        for allowed in (frozenset({"north"}), frozenset({""}), frozenset()):
            self.assertFalse(MAP.may_run(allowed, "prag"))
            self.assertFalse(empty.may_run(allowed, "graz"))
            self.assertFalse(empty.may_hand_over(allowed, "graz"))
        self.assertTrue(empty.may_run(None, "prag"))

    def test_request_may_go_to_a_peer_in_the_own_region(self):
        south = frozenset({"south"})
        self.assertTrue(MAP.may_hand_over(south, "linz"))
        self.assertTrue(MAP.may_hand_over(south, "wien"))
        self.assertFalse(MAP.may_hand_over(south, "pest"))
        self.assertFalse(MAP.may_hand_over(south, "prag"))


class DispatchTests(unittest.TestCase):
    """An entry in the north, with one engine in the north and one in the south."""

    def setUp(self):
        policy = msgspec.structs.replace(builders.POLICY, region_map=MAP)
        self.entry = builders.build_deployment()
        self.entry.set_policy(policy)
        table = routes.RouteTable(builders.build_configuration())
        self.entry.apply_configuration(table, 0.0)
        self.register("w1", "linz")
        self.register("w2", "wien")
        self.dispatcher = self.entry.get_dispatcher("pool")

    def register(self, server_id, domain):
        registration = builders.build_registration(server_id, domain=domain, slots=2)
        self.entry.apply_registration(registration, 0.0)

    def build_ticket(self, request_id, *allowed, **changes):
        ticket = builders.build_ticket(request_id, **changes)
        ticket.allowed_regions = frozenset(allowed)
        return ticket

    def submit(self, request_id, *allowed, **changes):
        ticket = self.build_ticket(request_id, *allowed, **changes)
        return ticket, self.dispatcher.submit(ticket, 0.0)

    def test_request_goes_to_servers_in_its_regions_only(self):
        sent = set()
        for number in range(2):
            _, decisions = self.submit(f"q{number}", "south")
            sent |= {item.server.server_id for item in decisions}
        self.assertEqual(sent, {"w2"})
        # The next one waits, though the other server has room.
        self.assertEqual(self.submit("q3", "south")[1], [])
        self.assertEqual(len(self.dispatcher.submit(builders.build_ticket("q4"), 0)), 1)

    def test_request_without_a_server_in_its_regions_is_refused(self):
        for allowed in (("east",), ()):
            _, (refusal,) = self.submit("q1", *allowed)
            self.assertIs(refusal.kind, NO_WORKER)
            self.assertGreater(refusal.retry_after_s, 0.0)

    def test_request_that_waits_is_refused_when_its_region_is_drained(self):
        for number in range(3):
            self.submit(f"q{number}", "south")
        self.assertEqual(self.dispatcher.refuse_expired(0.1), [])
        self.entry.order_drain("wien")
        (refusal,) = self.dispatcher.refuse_expired(0.1)
        self.assertIs(refusal.kind, NO_WORKER)
        self.assertEqual(refusal.reason, "no server in an allowed region")

    def test_rest_of_a_response_and_substitutes_stay_in_the_regions(self):
        # Guards against a retry that leaves the regions of its request.
        route = builders.build_route(is_resumable=True)
        ticket, (decision,) = self.submit("q1", "south", route=route)
        ticket.sends = 1
        budget = self.entry.get_budget("pool")
        stay = self.dispatcher.replace_silent_server(ticket, budget, True, 1.0)
        self.assertEqual(stay.reason, "no other server")
        ticket.is_begun = True
        chosen, _ = self.dispatcher.choose(ticket, 1.0)
        self.assertIs(chosen, decision.server)

    def test_regions_of_new_settings_hold_for_the_next_send(self):
        swapped = regions.build_map("north", "graz", {"linz": "south"})
        policy = msgspec.structs.replace(builders.POLICY, region_map=swapped)
        self.entry.set_policy(policy)
        _, (decision,) = self.submit("q1", "south")
        self.assertEqual(decision.server.server_id, "w1")


class HandoverTests(unittest.TestCase):
    """An entry in the north with peers in four failure domains."""

    def setUp(self):
        policy = msgspec.structs.replace(builders.POLICY, region_map=MAP)
        self.entry = builders.build_deployment()
        self.entry.set_policy(policy)
        for number, domain in enumerate(("linz", "wien", "pest", "prag")):
            member = members.Member(
                f"e{number + 2}", "r", "10.0.0.2", 7000, domain, 1.0, 7001
            )
            self.entry.roster.apply_member(member, 0.0)
            digest = members.Digest(member.name, "r", 1, {}, {}, {})
            self.entry.apply_digest(digest, 0.0)

    def list_chosen(self, choose):
        chosen = set()
        for _ in range(4):
            member = choose()
            if member is None:
                break
            chosen.add(member.domain)
            self.entry.helpers.record_refusal(member.name, "pool", 0.0)
        return chosen

    def test_body_goes_to_peers_in_its_regions_or_the_own_one(self):
        # Guards against a body that leaves its regions on the way to a peer.
        ticket = builders.build_ticket()
        ticket.allowed_regions = frozenset({"south"})
        chosen = self.list_chosen(lambda: self.entry.choose_helper(ticket, 0.1))
        self.assertEqual(chosen, {"linz", "wien"})

    def test_body_of_other_requests_goes_to_any_peer(self):
        ticket = builders.build_ticket()
        chosen = self.list_chosen(lambda: self.entry.choose_helper(ticket, 0.1))
        self.assertEqual(chosen, {"linz", "wien", "pest", "prag"})

    def test_owners_of_slots_are_chosen_alike(self):
        ticket = builders.build_ticket()
        ticket.allowed_regions = frozenset({"south"})
        dispatcher = self.entry.get_dispatcher("pool")
        dispatcher.list_slot_owners = lambda: ("e2", "e3", "e4", "e5")
        chosen = self.list_chosen(lambda: self.entry.choose_slot_owner(ticket, 0.1))
        self.assertEqual(chosen, {"linz", "wien"})
