import heapq
import itertools
import random
import unittest

import builders
import msgspec
from hypothesis import given, settings, strategies

from wasabiknot_kernel import (
    arrivals,
    assignments,
    budgets,
    dispatch,
    exceptions,
    outcomes,
    registrations,
    routes,
    servers,
    service_times,
)


def list_assignments(decisions):
    return [item for item in decisions if isinstance(item, assignments.Assignment)]


# Seconds from a send to its first event.
FIRST_EVENT_S = 0.07


class LoadSimulation:
    """Simulates arrivals at a dispatcher whose engines have a fixed service time.

    :param dispatcher: ``dispatch.Dispatcher``.
    :param hold_s: seconds for which a request occupies its slot.
    """

    def __init__(self, dispatcher, hold_s):
        self.dispatcher = dispatcher
        self.hold_s = hold_s
        self.now_s = 0.0
        self.send_times = {}
        self.refused = {}
        self._ends = []
        self._count = itertools.count()

    def arrive(self, ticket):
        self.advance(ticket.arrived_s)
        self._apply_decisions(self.dispatcher.submit(ticket, self.now_s))

    def advance(self, until_s):
        while self._ends and self._ends[0][0] <= until_s:
            self.now_s, _, is_first, assignment = heapq.heappop(self._ends)
            if is_first:
                self.dispatcher.record_first_event(
                    assignment.ticket, assignment.server, self.now_s
                )
                continue
            complete = outcomes.Outcome.COMPLETE
            self.dispatcher.record_end(
                assignment.ticket, assignment.server, complete, self.now_s
            )
            self._apply_decisions(self.dispatcher.refuse_expired(self.now_s))
            self._apply_decisions(self.dispatcher.dispatch_waiting(self.now_s))
        self.now_s = until_s

    def _apply_decisions(self, decisions):
        for item in decisions:
            if isinstance(item, assignments.Refusal):
                self.refused[item.ticket.request_id] = (self.now_s, item)
                continue
            self.send_times[item.ticket.request_id] = self.now_s
            for delay_s, is_first in ((FIRST_EVENT_S, True), (self.hold_s, False)):
                entry = (self.now_s + delay_s, next(self._count), is_first, item)
                heapq.heappush(self._ends, entry)


class AssignmentTests(unittest.TestCase):
    @settings(derandomize=True, max_examples=60)
    @given(strategies.integers(1, 4), strategies.integers(1, 6), strategies.data())
    def test_engines_never_run_more_than_their_slots(self, count, slots, data):
        dispatcher = builders.build_dispatcher(count, slots)
        assigned = []
        for number in range(40):
            ticket = builders.build_ticket(f"q{number}")
            assigned += list_assignments(dispatcher.submit(ticket, 0.0))
            if assigned and data.draw(strategies.booleans()):
                done = assigned.pop(0)
                complete = outcomes.Outcome.COMPLETE
                dispatcher.record_end(done.ticket, done.server, complete, 0.1)
                assigned += list_assignments(dispatcher.dispatch_waiting(0.1))
            for server in dispatcher.servers.values():
                self.assertLessEqual(len(server.sends), slots)

    def test_long_prompt_goes_to_the_faster_engine_not_to_the_preferred_one(self):
        # Prompts of 55,000 tokens were sent to the engine that all entries prefer for
        # the last part, although it rarely had that part cached, and missed their
        # objective by 100 ms.
        for number in range(20):
            dispatcher = builders.build_dispatcher(2, 4)
            parts = (arrivals.PromptPart(f"part-{number}", 55_000),)
            ticket = builders.build_ticket(prompt=55_000)
            arrival = msgspec.structs.replace(ticket.arrival, parts=parts)
            ticket = msgspec.structs.replace(ticket, arrival=arrival)
            preferred = dispatcher.find_preferred_server(ticket)
            dispatcher.servers[
                preferred
            ].service_times = service_times.create_service_times(first_event_factor=1.2)
            (assignment,) = dispatcher.submit(ticket, 0.0)
            self.assertNotEqual(assignment.server.server_id, preferred)

    def test_requests_of_peers_occupy_slots(self):
        dispatcher = builders.build_dispatcher(1, 4)
        dispatcher.servers["w0"].peer_loads["e2"] = servers.PeerLoad(3, 0)
        sent = [
            len(
                list_assignments(dispatcher.submit(builders.build_ticket(f"q{n}"), 0.0))
            )
            for n in range(3)
        ]
        self.assertEqual(sent, [1, 0, 0])

    def test_entry_in_a_minority_uses_its_share_of_slots(self):
        dispatcher = builders.build_dispatcher(1, 8)
        dispatcher.slot_share = 0.25
        sent = sum(
            len(
                list_assignments(dispatcher.submit(builders.build_ticket(f"q{n}"), 0.0))
            )
            for n in range(8)
        )
        self.assertEqual(sent, 2)

    def test_leaving_backend_server_gets_no_requests(self):
        dispatcher = builders.build_dispatcher(2)
        leaving = builders.build_registration(
            "w0", state=registrations.ServerState.LEAVING
        )
        dispatcher.register(leaving)
        for number in range(4):
            ticket = builders.build_ticket(f"q{number}")
            (assignment,) = dispatcher.submit(ticket, 0.0)
            self.assertEqual(assignment.server.server_id, "w1")

    def test_fast_engine_gets_the_long_answer(self):
        dispatcher = builders.build_dispatcher(2, 8)
        dispatcher.servers["w0"].service_times.event_interval_ms.value = 100.0
        ticket = builders.build_ticket(output=1_200)
        (assignment,) = dispatcher.submit(ticket, 0.0)
        self.assertEqual(assignment.server.server_id, "w1")

    def test_slow_engine_is_detected_before_its_streams_end(self):
        # Streams on a slow engine may never end before their deadline, so the speed
        # must be sampled while they run.
        dispatcher = builders.build_dispatcher(2, 8)
        ticket = builders.build_ticket("slow", output=1_200)
        (assignment,) = dispatcher.submit(ticket, 0.0)
        dispatcher.record_first_event(ticket, assignment.server, 0.1)
        for events in range(1, 9):
            at_s = 0.1 + 0.2 * events
            dispatcher.record_progress(ticket, assignment.server, events, at_s)
        (other,) = dispatcher.submit(builders.build_ticket(output=1_200), 2.0)
        self.assertIsNot(other.server, assignment.server)
        self.assertGreater(
            assignment.server.service_times.event_interval_ms.value, 100.0
        )

    def test_stalled_backend_server_is_avoided(self):
        dispatcher = builders.build_dispatcher(2, 8)
        (assignment,) = dispatcher.submit(builders.build_ticket("q0"), 0.0)
        stalled = assignment.server.server_id
        for number in range(1, 5):
            ticket = builders.build_ticket(f"q{number}", now_s=5.0)
            (assignment,) = dispatcher.submit(ticket, 5.0)
            self.assertNotEqual(assignment.server.server_id, stalled)

    def test_avoided_server_is_used_if_there_is_no_other(self):
        dispatcher = builders.build_dispatcher(1)
        dispatcher.servers["w0"].avoid_until_s = 10.0
        (assignment,) = dispatcher.submit(builders.build_ticket(), 0.0)
        self.assertEqual(assignment.server.server_id, "w0")

    def test_request_between_its_tries_takes_a_sound_server_at_once(self):
        # Guards against a backoff that costs time although a server has room, and
        # against a claim on slots by a queue with no other request.
        dispatcher = builders.build_dispatcher(1)
        dispatcher.set_fair_queueing(True)
        dispatcher.servers["w0"].avoid_until_s = 10.0
        ticket = builders.build_ticket()
        ticket.resend_s = 0.3
        self.assertEqual(dispatcher.submit(ticket, 0.2), [])
        self.assertEqual(dispatcher.dispatch_waiting(0.2), [])
        self.assertEqual(dispatcher.refuse_expired(0.2), [])
        dispatcher.register(builders.build_registration("w1"))
        (assignment,) = dispatcher.dispatch_waiting(0.2)
        self.assertEqual(assignment.server.server_id, "w1")

    def test_server_that_answers_without_end_is_left_alone_for_longer_each_time(self):
        # Guards against one such answer after the other, each of which costs time.
        dispatcher = builders.build_dispatcher(2)
        server = dispatcher.servers["w0"]
        now_s = 0.0
        for backoff_s in (0.3, 0.6, 1.2, 2.4, 4.0, 4.0):
            ticket = builders.build_ticket()
            dispatcher.record_send(ticket, server, now_s, 0.0)
            endless = outcomes.Outcome.ENDLESS
            dispatcher.record_end(ticket, server, endless, now_s)
            self.assertTrue(server.is_avoided(now_s + backoff_s - 0.01))
            now_s += backoff_s
            self.assertFalse(server.is_avoided(now_s))

    def test_second_send_goes_to_another_server(self):
        dispatcher = builders.build_dispatcher(2)
        ticket = builders.build_ticket()
        (first,) = dispatcher.submit(ticket, 0.0)
        lost = outcomes.Outcome.RESPONSE_LOST
        dispatcher.record_end(ticket, first.server, lost, 0.1)
        (second,) = dispatcher.submit(ticket, 0.1)
        self.assertIsNot(second.server, first.server)

    def test_own_group_is_used_before_other_groups_with_free_slots(self):
        dispatcher = builders.build_dispatcher(2, 4)
        dispatcher.group_servers = {"w0"}
        assigned = []
        for number in range(8):
            ticket = builders.build_ticket(f"q{number}")
            assigned += list_assignments(dispatcher.submit(ticket, 0.0))
        servers_used = [item.server.server_id for item in assigned]
        self.assertEqual(servers_used[:4], ["w0"] * 4)
        # The server of the other group is used until fewer than two of its four
        # slots are free.
        self.assertEqual(servers_used[4:], ["w1"] * 3)

    def test_servers_of_the_same_speed_are_used_within_the_domain(self):
        dispatcher = builders.build_dispatcher(0)
        dispatcher.domain = "linz"
        for number in range(6):
            domain = "linz" if number == 3 else "graz"
            dispatcher.register(
                builders.build_registration(f"w{number}", domain=domain, slots=4)
            )
        for number in range(3):
            (sent,) = list_assignments(
                dispatcher.submit(builders.build_ticket(f"q{number}"), 0.0)
            )
            if not number:
                self.assertEqual(sent.server.server_id, "w3")
        used = {
            server_id for server_id, item in dispatcher.servers.items() if item.sends
        }
        # Its own requests slow it down more than the distance to another one.
        self.assertGreater(len(used), 1)

    def test_configuration_marks_registered_servers_as_engines(self):
        # A registration may be read before the configuration that defines its
        # service as an engine service.
        entry = builders.build_deployment()
        entry.apply_registration(builders.build_registration(), 0.0)
        configuration = builders.build_configuration()
        entry.apply_configuration(routes.RouteTable(configuration), 0.1)
        self.assertTrue(entry.get_dispatcher("pool").is_engine)
        self.assertTrue(entry.find_server("w1").is_engine)


class ContentionTests(unittest.TestCase):
    COUNT = 6
    SLOTS = 4

    def test_entries_with_queued_requests_do_not_overfill_servers(self):
        # Every entry sees the same free slots; two entries must not fill one slot.
        entries = [
            builders.build_deployment(f"e{number}", seed=number)
            for number in range(self.COUNT)
        ]
        builders.connect_entries(entries, 0.0)
        table = routes.RouteTable(builders.build_configuration(rate=0.0))
        for entry in entries:
            entry.apply_configuration(table, 0.0)
            for number in range(3):
                registration = builders.build_registration(
                    f"w{number}", slots=self.SLOTS
                )
                entry.apply_registration(registration, 0.0)
        now_s = 0.0
        in_flight = []
        peak = 0
        for step in range(60):
            now_s += 0.05
            if step % 2 == 0:
                self.exchange_digests(entries, now_s)
            for number, entry in enumerate(entries):
                ticket = builders.build_ticket(f"q{step}-{number}", now_s=now_s)
                dispatcher = entry.get_dispatcher("pool")
                decisions = dispatcher.submit(
                    ticket, now_s
                ) + dispatcher.dispatch_waiting(now_s)
                in_flight += [
                    (now_s + 0.4, entry, item) for item in list_assignments(decisions)
                ]
            if step > 20:
                peak = max(peak, len(in_flight))
            for end in [item for item in in_flight if item[0] <= now_s]:
                in_flight.remove(end)
                _, entry, assignment = end
                complete = outcomes.Outcome.COMPLETE
                dispatcher = entry.get_dispatcher("pool")
                dispatcher.record_end(
                    assignment.ticket, assignment.server, complete, now_s
                )
        self.assertGreater(peak, 0.8 * 3 * self.SLOTS)
        self.assertLessEqual(peak, 1.25 * 3 * self.SLOTS)

    def exchange_digests(self, entries, now_s):
        for entry in entries:
            digest = entry.build_digest(now_s)
            for other in entries:
                if other is not entry:
                    other.apply_digest(digest, now_s)
        for entry in entries:
            entry.tick(now_s)

    def test_server_that_a_group_peer_found_faulty_is_avoided(self):
        entries = [builders.build_deployment(f"e{number}") for number in range(2)]
        builders.connect_entries(entries, 0.0)
        for entry in entries:
            entry.store_reads.record_read(0.0)
            for number in range(2):
                entry.apply_registration(builders.build_registration(f"w{number}"), 0.0)
        entries[0].find_server("w0").record_failure(0.0, True)
        self.exchange_digests(entries, 0.1)
        self.assertTrue(entries[1].find_server("w0").is_avoided(0.1))
        self.assertFalse(entries[1].find_server("w1").is_avoided(0.1))
        self.exchange_digests(entries, 1.0)
        self.assertFalse(entries[1].find_server("w0").is_avoided(1.0))

    def test_load_received_before_the_registration_counts(self):
        # Digests with unchanged loads are skipped, so load that was received before
        # the registration must be kept until then.
        first, second = (builders.build_deployment(f"e{number}") for number in (0, 1))
        builders.connect_entries([first, second], 0.0)
        first.store_reads.record_read(0.0)
        first.apply_registration(builders.build_registration("w0"), 0.0)
        first.get_dispatcher("pool").set_engine(builders.ENGINE)
        first.get_dispatcher("pool").submit(builders.build_ticket("q"), 0.0)
        self.exchange_digests([first, second], 0.1)
        second.apply_registration(builders.build_registration("w0"), 0.15)
        self.exchange_digests([first, second], 0.2)
        self.assertEqual(second.find_server("w0").count_running(), 1)


class QueueTests(unittest.TestCase):
    def fill(self, dispatcher):
        for number in range(4):
            dispatcher.submit(builders.build_ticket(f"f{number}"), 0.0)

    def test_customer_rank_precedes_arrival_order(self):
        dispatcher = builders.build_dispatcher(1, 1)
        dispatcher.submit(builders.build_ticket("running"), 0.0)
        low = builders.build_ticket("low", rank=2)
        high = builders.build_ticket("high", now_s=0.01, rank=0)
        dispatcher.submit(low, 0.0)
        dispatcher.submit(high, 0.01)
        server = dispatcher.servers["w0"]
        running = next(iter(server.sends.values())).ticket
        dispatcher.record_end(running, server, outcomes.Outcome.COMPLETE, 0.1)
        (assignment,) = dispatcher.dispatch_waiting(0.1)
        self.assertEqual(assignment.ticket.request_id, "high")

    def test_entry_that_sends_little_counts_on_the_slots_of_its_group(self):
        # Guards against refusals because one entry has sent nothing for a second.
        dispatcher = builders.build_dispatcher(4, 4)
        dispatcher.group_servers = set(dispatcher.servers)
        for server in dispatcher.servers.values():
            server.peer_loads["e2"] = servers.PeerLoad(4, 0)
        dispatcher.waiting_entries = ("e1", "e2", "e3")
        decisions = []
        for number in range(4):
            ticket = builders.build_ticket(f"q{number}", 10.0 + number / 1_000)
            decisions += dispatcher.submit(ticket, 10.004)
        self.assertEqual(decisions, [])
        # A slot is free each 60 ms or so, for one of three entries.
        for number in range(20):
            ticket = builders.build_ticket(f"more{number}", 10.004 + number / 1_000)
            decisions += dispatcher.submit(ticket, 10.03)
        self.assertGreater(len(decisions), 10)

    def test_request_is_not_refused_while_a_slot_is_free(self):
        dispatcher = builders.build_dispatcher(2, 2)
        for number in range(4):
            (item,) = dispatcher.submit(builders.build_ticket(f"q{number}"), 0.0)
            self.assertIsInstance(item, assignments.Assignment)

    def test_request_is_refused_at_once_without_servers(self):
        dispatcher = builders.build_dispatcher(0)
        (refused,) = dispatcher.submit(builders.build_ticket(), 0.0)
        self.assertIs(refused.kind, exceptions.ErrorKind.NO_WORKER)
        self.assertGreater(refused.retry_after_s, 0)

    def test_queued_request_is_refused_before_its_caller_times_out(self):
        # Callers abandon a stream after two seconds without an event.
        dispatcher = builders.build_dispatcher(1, 1)
        dispatcher.submit(builders.build_ticket("running"), 0.0)
        dispatcher.submit(builders.build_ticket("waiting"), 0.0)
        self.assertEqual(dispatcher.refuse_expired(0.5), [])
        (refused,) = dispatcher.refuse_expired(1.5)
        self.assertEqual(refused.ticket.request_id, "waiting")

    def test_burst_serves_more_in_time_than_arrival_order(self):
        # In arrival order, a burst of twice the capacity would make every request
        # late.
        dispatcher = builders.build_dispatcher(2, 4)
        simulation = LoadSimulation(dispatcher, hold_s=0.4)
        count = 160
        arrival_times = [number / 40.0 for number in range(count)]
        for number, at_s in enumerate(arrival_times):
            simulation.arrive(builders.build_ticket(f"q{number}", now_s=at_s))
        simulation.advance(20.0)
        waits = {
            name: at_s - arrival_times[int(name[1:])]
            for name, at_s in simulation.send_times.items()
        }
        in_time = sum(wait_s + FIRST_EVENT_S <= 0.3 for wait_s in waits.values())
        self.assertGreater(in_time, 0.4 * count)
        self.assertEqual(len(simulation.send_times) + len(simulation.refused), count)

    def test_every_request_is_assigned_or_refused(self):
        dispatcher = builders.build_dispatcher(1, 2)
        simulation = LoadSimulation(dispatcher, hold_s=0.3)
        for number in range(100):
            simulation.arrive(builders.build_ticket(f"q{number}", now_s=number * 0.01))
        simulation.advance(30.0)
        decided = set(simulation.send_times) | set(simulation.refused)
        self.assertEqual(decided, {f"q{number}" for number in range(100)})
        self.assertEqual(len(dispatcher), 0)


class HarmfulRequestTests(unittest.TestCase):
    def setUp(self):
        self.dispatcher = builders.build_dispatcher(servers=1, slots=1)
        self.harmful = set()
        self.dispatcher.find_refused = lambda ticket, now_s: (
            ticket.fingerprint if ticket.fingerprint in self.harmful else None
        )
        self.running = builders.build_ticket("running")
        self.dispatcher.submit(self.running, 0.0)
        self.queued = builders.build_ticket("queued")
        self.assertEqual(self.dispatcher.submit(self.queued, 0.0), [])
        self.harmful.add("queued")

    def check_refused(self, decisions):
        self.assertEqual([item.ticket for item in decisions], [self.queued])
        kind = exceptions.ErrorKind.QUARANTINED
        self.assertEqual(decisions[0].kind, kind)
        self.assertEqual(len(self.dispatcher), 0)

    def test_queued_request_is_not_sent_once_it_is_known_to_be_harmful(self):
        server = self.dispatcher.servers["w0"]
        complete = outcomes.Outcome.COMPLETE
        self.dispatcher.record_end(self.running, server, complete, 0.1)
        self.check_refused(self.dispatcher.dispatch_waiting(0.1))

    def test_queued_request_is_refused_while_no_slot_is_free(self):
        self.check_refused(self.dispatcher.refuse_expired(0.1))

    def test_harmful_request_is_not_sent_again(self):
        self.dispatcher.withdraw(self.queued)
        self.check_refused(self.dispatcher.submit(self.queued, 0.1))


class NewServerTests(unittest.TestCase):
    def test_new_plain_server_starts_with_the_times_of_the_others(self):
        dispatcher = dispatch.Dispatcher("desk", random.Random(1))
        for number in range(3):
            dispatcher.register(builders.build_registration(f"w{number}"))
        for server in dispatcher.servers.values():
            for _ in range(3):
                server.service_times.plain_ms.add(400.0)
        dispatcher.register(builders.build_registration("new"))
        times = dispatcher.servers["new"].service_times
        self.assertEqual(times.plain_ms.value, 400.0)
        self.assertFalse(times.is_measured)


class SilenceTests(unittest.TestCase):
    def setUp(self):
        self.dispatcher = builders.build_dispatcher(servers=2, slots=2)
        self.budget = budgets.RetryBudget(0.0, 10.0, 100.0)
        self.ticket, self.server = self.send("q1")

    def send(self, request_id, rank=1):
        route = builders.build_route(is_resumable=True)
        ticket = builders.build_ticket(request_id, route=route, rank=rank)
        decisions = self.dispatcher.submit(ticket, 0.0)
        if not decisions:
            return ticket, None
        ticket.sends = 1
        return ticket, decisions[0].server

    def fill(self):
        count = 0
        while self.send(f"other-{count}")[1] is not None:
            count += 1

    def decide(self, now_s=1.2, has_time=True):
        return self.dispatcher.replace_silent_server(
            self.ticket, self.budget, has_time, now_s
        )

    def check_stays(self, decision):
        self.assertIsInstance(decision, assignments.Stay)
        self.assertIn("q1", self.server.sends)
        others = [item for item in self.dispatcher.servers.values()]
        others.remove(self.server)
        self.assertTrue(all("q1" not in item.sends for item in others))

    def test_request_moves_to_a_server_that_can_take_it(self):
        decision = self.decide()
        self.assertIsInstance(decision, assignments.Assignment)
        self.assertIsNot(decision.server, self.server)
        self.assertIn("q1", decision.server.sends)

    def test_request_stays_if_anything_is_missing_and_uses_no_budget(self):
        self.check_stays(self.decide(has_time=False))
        self.ticket.sends = 2
        self.check_stays(self.decide())
        self.ticket.sends = 1
        self.fill()
        self.check_stays(self.decide())
        self.assertTrue(all(self.budget.try_acquire(1.2) for _ in range(80)))

    def test_request_stays_without_retry_budget(self):
        self.budget.set_bounds(0.0, 10.0, 0.0)
        self.check_stays(self.decide())

    def test_request_is_not_moved_to_a_server_that_is_silent_too(self):
        (other,) = set(self.dispatcher.servers.values()) - {self.server}
        while not other.sends:
            self.send(f"other-{len(self.server.sends)}")
        other.record_silence(0.0)
        self.check_stays(self.decide(now_s=0.9))
        other.record_life(0.5)
        self.assertIsInstance(self.decide(now_s=0.9), assignments.Assignment)

    def test_room_is_left_to_more_urgent_requests_that_wait(self):
        self.fill()
        urgent, _ = self.send("urgent", rank=0)
        (other,) = set(self.dispatcher.servers.values()) - {self.server}
        other.sends.popitem()
        # Before the other server counts as stalled.
        self.check_stays(self.decide(now_s=0.9))
        self.dispatcher.withdraw(urgent)
        self.assertIsInstance(self.decide(now_s=0.9), assignments.Assignment)

    def wait_for_a_server_that_is_gone(self):
        route = builders.build_route(is_resumable=True)
        ticket = builders.build_ticket("begun", route=route)
        ticket.sends = route.attempts
        ticket.is_begun = True
        ticket.tried.add("gone")
        self.assertEqual(self.dispatcher.submit(ticket, 0.0), [])

    def test_stream_that_has_no_server_keeps_silent_ones_from_moving(self):
        self.wait_for_a_server_that_is_gone()
        self.assertIsInstance(self.decide(now_s=0.9), assignments.Assignment)

    def test_request_is_refused_while_a_stream_waits_for_its_own_server(self):
        self.wait_for_a_server_that_is_gone()
        self.assertIsNotNone(self.send("q2")[1])

    def test_request_that_may_run_once_stays(self):
        self.ticket.route = builders.build_route(is_resumable=False)
        self.check_stays(self.decide())

    def test_request_that_crashes_servers_stays(self):
        self.dispatcher.find_refused = lambda ticket, now_s: ticket.fingerprint
        self.check_stays(self.decide())

    def test_request_is_not_moved_to_its_own_server_if_that_answers_others(self):
        (other,) = set(self.dispatcher.servers) - {self.server.server_id}
        self.dispatcher.remove(other)
        self.server.record_silence(0.0)
        self.server.record_life(0.5)
        self.check_stays(self.decide(now_s=0.9))

    def test_silent_server_gets_no_request_until_it_goes_on(self):
        self.server.record_silence(0.0)
        self.assertIsNot(self.send("q2")[1], self.server)
        self.assertIsNot(self.send("q3")[1], self.server)
        self.server.record_life(0.5)
        self.assertIs(self.send("q4")[1], self.server)

    def test_server_that_stays_silent_is_tried_again(self):
        self.server.record_silence(0.0)
        self.server.sends["q1"].first_event_s = 0.0
        self.assertTrue(self.server.is_avoided(1.9))
        self.assertFalse(self.server.is_avoided(2.1))

    def test_older_silence_does_not_hide_a_newer_one_of_the_same_server(self):
        self.server.record_life(0.5)
        self.server.record_silence(0.5)
        self.server.record_silence(0.3)
        self.assertTrue(self.server.is_avoided(0.9))

    def test_server_that_answers_others_is_not_silent(self):
        self.server.record_life(0.5)
        self.server.record_silence(0.0)
        self.assertFalse(self.server.is_avoided(0.9))
