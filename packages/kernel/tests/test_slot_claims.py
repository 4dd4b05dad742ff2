import unittest

import builders
from hypothesis import given, strategies

from wasabiknot_kernel import assignments, outcomes, servers, slot_claims


def build_head(rank=1, is_above_share=False, is_late=False, waited_ms=0, count=1):
    return slot_claims.QueueHead(rank, True, is_above_share, is_late, waited_ms, count)


HEADS = strategies.dictionaries(
    strategies.sampled_from([f"e{number}" for number in range(6)]),
    strategies.builds(
        build_head,
        rank=strategies.integers(0, 2),
        is_above_share=strategies.booleans(),
        is_late=strategies.booleans(),
        waited_ms=strategies.integers(0, 2_000),
        count=strategies.integers(1, 5),
    ),
    min_size=1,
)
FREE_SLOTS = strategies.dictionaries(
    strategies.sampled_from(["w1", "w2", "w3"]), strategies.integers(0, 4)
)


class CountSlotsTests(unittest.TestCase):
    @given(HEADS, FREE_SLOTS)
    def test_each_free_slot_has_one_owner(self, heads, free_slots):
        # Guards against overfilled servers, and against slots that nobody may use.
        won = [slot_claims.count_slots(heads, free_slots, name) for name in heads]
        for server_id, count in free_slots.items():
            self.assertEqual(sum(item[server_id] for item in won), count)

    @given(HEADS)
    def test_single_slot_goes_to_one_of_the_most_urgent_heads(self, heads):
        first = min(head.order for head in heads.values())
        for name, head in heads.items():
            if slot_claims.count_slots(heads, {"w1": 1}, name)["w1"]:
                self.assertEqual(head.order, first)

    def test_urgent_entry_gets_as_many_slots_as_it_has_requests(self):
        heads = {"e1": build_head(rank=0, count=2), "e2": build_head(count=9)}
        won = slot_claims.count_slots(heads, {"w1": 2, "w2": 3}, "e1")
        self.assertEqual(won.total(), 2)

    def test_order_of_heads(self):
        # An earlier one goes before all later ones.
        heads = [
            build_head(rank=0, is_late=True),
            build_head(waited_ms=300),
            build_head(waited_ms=0),
            build_head(is_late=True, waited_ms=900),
            build_head(is_above_share=True, waited_ms=900),
            build_head(rank=2, waited_ms=2_000),
        ]
        self.assertEqual(sorted(heads, key=lambda head: head.order), heads)


class SlotClaimsTests(unittest.TestCase):
    def setUp(self):
        self.claims = slot_claims.SlotClaims("e1")
        registration = builders.build_registration("w1", slots=1)
        self.server = servers.Server(registration, True, None)

    def count_claimable(self, now_s):
        self.claims.divide(build_head(), [self.server], now_s)
        return self.claims.count_claimable(self.server)

    def test_claim_of_a_silent_entry_expires(self):
        # Guards against a slot that is left to an entry that has died.
        self.claims.record_head("e2", build_head(rank=0), 0.0)
        self.assertEqual(self.count_claimable(0.1), 0)
        self.assertEqual(self.count_claimable(slot_claims.HEAD_LIFETIME_S + 0.01), 1)
        self.assertLess(slot_claims.HEAD_LIFETIME_S, 0.4)

    def test_empty_queue_claims_nothing(self):
        self.claims.record_head("e2", build_head(rank=0), 0.0)
        self.claims.record_head("e2", None, 0.1)
        self.assertEqual(self.count_claimable(0.1), 1)

    def test_slots_of_other_groups_are_not_divided(self):
        self.assertFalse(self.claims.covers(self.server))
        self.count_claimable(0.0)
        self.assertTrue(self.claims.covers(self.server))


class DispatcherClaimsTests(unittest.TestCase):
    def build(self):
        dispatcher = builders.build_dispatcher(1, 1)
        dispatcher.name = "e1"
        dispatcher.set_fair_queueing(True)
        dispatcher.submit(builders.build_ticket("running"), 0.0)
        dispatcher.servers["w0"].advertised_sends = 1
        return dispatcher

    def end(self, dispatcher, now_s):
        server = dispatcher.servers["w0"]
        send = next(iter(server.sends.values()))
        dispatcher.record_end(send.ticket, server, outcomes.Outcome.COMPLETE, now_s)

    def test_released_slot_is_left_to_a_more_urgent_request_of_a_peer(self):
        dispatcher = self.build()
        dispatcher.submit(builders.build_ticket("q1", 0.1), 0.1)
        dispatcher.record_peer_head("e2", build_head(rank=0), 0.2)
        self.end(dispatcher, 0.2)
        self.assertEqual(dispatcher.dispatch_waiting(0.2), [])
        (sent,) = dispatcher.dispatch_waiting(0.6)
        self.assertIsInstance(sent, assignments.Assignment)

    def test_urgent_request_takes_the_slot_of_a_peer(self):
        dispatcher = self.build()
        server = dispatcher.servers["w0"]
        self.end(dispatcher, 0.1)
        server.advertised_sends = 0
        server.peer_loads["e2"] = servers.PeerLoad(1, 0)
        dispatcher.record_peer_head("e2", build_head(), 0.1)
        self.assertEqual(
            dispatcher.submit(builders.build_ticket("q1", 0.1, rank=0), 0.1), []
        )
        del server.peer_loads["e2"]
        self.assertEqual(len(dispatcher.dispatch_waiting(0.15)), 1)

    def test_more_urgent_head_is_announced_at_once(self):
        dispatcher = self.build()
        announced = []
        dispatcher.handle_load_change = lambda: announced.append(1)
        dispatcher.submit(builders.build_ticket("q1", 0.1), 0.1)
        self.assertEqual(len(announced), 1)
        dispatcher.advertise_queue_head(0.1)
        dispatcher.submit(builders.build_ticket("q2", 0.1), 0.1)
        self.assertEqual(len(announced), 1)
        dispatcher.submit(builders.build_ticket("q3", 0.1, rank=0), 0.1)
        self.assertEqual(len(announced), 2)


if __name__ == "__main__":
    unittest.main()
