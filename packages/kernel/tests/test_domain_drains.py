import unittest

import builders

from wasabiknot_kernel import (
    assignments,
    domain_drains,
    exceptions,
    outcomes,
    registrations,
    routes,
)

Step = domain_drains.DrainStep
LEAVING = registrations.ServerState.LEAVING


class DrainTests(unittest.TestCase):
    """One entry with one engine in each of two failure domains."""

    def setUp(self):
        self.entry = builders.build_deployment()
        table = routes.RouteTable(builders.build_configuration())
        self.entry.apply_configuration(table, 0.0)
        self.register("w1", "graz")
        self.register("w2", "linz")
        self.dispatcher = self.entry.get_dispatcher("pool")

    def register(self, server_id, domain, **changes):
        registration = builders.build_registration(
            server_id, domain=domain, slots=1, **changes
        )
        self.entry.apply_registration(registration, 0.0)

    def submit(self, request_id, now_s=0.0, **changes):
        ticket = builders.build_ticket(request_id, now_s, **changes)
        return ticket, self.dispatcher.submit(ticket, now_s)

    def list_kinds(self, decisions):
        return [decision.kind for decision in decisions]

    def test_nothing_is_sent_to_a_drained_domain(self):
        # Guards against requests that reach a domain which operators have emptied.
        self.entry.order_drain("graz")
        _, decisions = self.submit("q1")
        self.assertEqual([item.server.server_id for item in decisions], ["w2"])
        _, decisions = self.submit("q2")
        self.assertEqual(decisions, [])

    def test_server_that_registers_after_the_order_is_drained_as_well(self):
        self.entry.order_drain("graz")
        self.register("w3", "graz")
        self.submit("q1")
        self.assertEqual(self.submit("q2")[1], [])

    def test_domain_without_servers_can_be_drained(self):
        change = self.entry.order_drain("wien")
        self.assertEqual((change.step, change.servers), (Step.ORDERED, 0))
        self.register("w3", "wien")
        self.assertTrue(self.dispatcher.servers["w3"].is_retired)

    def test_order_that_is_repeated_ends_with_one_lift(self):
        self.assertIs(self.entry.order_drain("graz").step, Step.ORDERED)
        self.assertIs(self.entry.order_drain("graz").step, Step.REPEATED)
        self.assertIs(self.entry.lift_drain("graz", 1.0).step, Step.LIFTED)
        self.assertFalse(self.dispatcher.servers["w1"].is_retired)
        self.assertIsNone(self.entry.lift_drain("graz", 1.0))

    def test_request_in_flight_goes_on_and_its_end_is_recorded(self):
        ticket, (decision,) = self.submit("q1")
        self.entry.order_drain(decision.server.registration.domain)
        self.assertEqual(len(decision.server.sends), 1)
        outcome = outcomes.Outcome.COMPLETE
        self.dispatcher.record_end(ticket, decision.server, outcome, 1.0)
        self.assertEqual(len(decision.server.sends), 0)

    def test_service_without_other_servers_refuses_at_once(self):
        self.submit("q1")
        self.submit("q2")
        _, waiting = self.submit("q3")
        self.assertEqual(waiting, [])
        self.entry.order_drain("graz")
        self.assertEqual(self.dispatcher.refuse_expired(0.1), [])
        self.entry.order_drain("linz")
        (refusal,) = self.dispatcher.refuse_expired(0.1)
        no_worker = exceptions.ErrorKind.NO_WORKER
        self.assertIs(refusal.kind, no_worker)
        self.assertGreater(refusal.retry_after_s, 0.0)
        self.assertEqual(self.list_kinds(self.submit("q4")[1]), [no_worker])

    def test_drained_servers_beside_leaving_ones_are_no_server(self):
        self.submit("q1")
        self.submit("q2")
        self.submit("q3")
        self.entry.order_drain("graz")
        self.register("w2", "linz", state=LEAVING)
        self.assertEqual(len(self.dispatcher.refuse_expired(0.1)), 1)

    def test_requests_wait_as_before_while_no_domain_is_drained(self):
        self.submit("q1")
        self.submit("q2")
        self.submit("q3")
        self.register("w1", "graz", state=LEAVING)
        self.register("w2", "linz", state=LEAVING)
        self.assertEqual(self.dispatcher.refuse_expired(0.1), [])

    def test_response_that_has_begun_waits_and_is_not_resumed_in_the_domain(self):
        ticket, _ = self.submit("q1")
        ticket.is_begun = True
        self.entry.order_drain("graz")
        self.entry.order_drain("linz")
        self.assertIsNone(self.dispatcher.choose(ticket, 0.1))
        self.dispatcher.submit(ticket, 0.1)
        self.assertEqual(self.dispatcher.refuse_expired(0.2), [])

    def test_silent_server_is_not_replaced_by_a_drained_one(self):
        route = builders.build_route(is_resumable=True)
        ticket, (decision,) = self.submit("q1", route=route)
        ticket.sends = 1
        other = {"graz": "linz", "linz": "graz"}[decision.server.registration.domain]
        budget = self.entry.get_budget("pool")
        self.entry.order_drain(other)
        stay = self.dispatcher.replace_silent_server(ticket, budget, True, 1.0)
        self.assertIsInstance(stay, assignments.Stay)

    def test_crash_of_a_drained_server_still_counts(self):
        # Guards against a request that crashes servers and goes unnoticed in a drain.
        self.entry.order_drain("graz")
        server = self.dispatcher.servers["w1"]
        self.assertTrue(server.is_retired)
        self.assertFalse(server.is_ending)


class GroupTests(unittest.TestCase):
    """Entries in three groups, one in each of three failure domains."""

    def setUp(self):
        self.entries = [
            builders.build_deployment(f"e{number:02}", number, f"d{number % 3}")
            for number in range(24)
        ]
        builders.connect_entries(self.entries, 0.0)
        table = routes.RouteTable(builders.build_configuration())
        for entry in self.entries:
            entry.apply_configuration(table, 0.0)
            for number in range(9):
                registration = builders.build_registration(
                    f"w{number}", domain=f"d{number % 3}"
                )
                entry.apply_registration(registration, 0.0)
            entry.tick(0.0)

    def find_own(self, entry):
        return entry.get_dispatcher("pool").group_servers

    def test_drained_engines_are_no_group_s_own(self):
        # Guards against a group that is left without any engine of its own.
        self.assertTrue(self.entries[0].roster.has_several_groups)
        for entry in self.entries:
            entry.order_drain("d0")
        drained = {"w0", "w3", "w6"}
        owned = set()
        for entry in self.entries:
            own = self.find_own(entry)
            self.assertTrue(own)
            self.assertFalse(own & drained)
            owned |= own
        self.assertEqual(len(owned), 6)

    def test_engines_are_assigned_as_before_after_the_drain(self):
        before = [self.find_own(entry) for entry in self.entries]
        for entry in self.entries:
            entry.order_drain("d0")
            entry.lift_drain("d0", 1.0)
        self.assertEqual([self.find_own(entry) for entry in self.entries], before)
