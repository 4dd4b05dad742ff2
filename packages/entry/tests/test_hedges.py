"""Hedges from end to end: callers and backend servers are in memory."""

import unittest
from unittest import mock

import hedgecases
from hypothesis import given, settings, strategies
from twisted.internet import defer, error
from twisted.python import failure

from wasabiknot_entry import hedge_sends, hedges, request_metrics
from wasabiknot_kernel import (
    budgets,
    crash_records,
    dispatch,
    events,
    hedging,
    outcomes,
    registrations,
)

Event = events.Event
WON = Event.HEDGE_WON
LOST = Event.HEDGE_LOST
FAILED = Event.HEDGE_FAILED
OVERLAP_S = hedging.MAX_STREAM_OVERLAP_S


class PlainTests(hedgecases.HedgeCase):
    def test_first_whole_response_wins_and_the_other_send_is_cancelled(self):
        transport, first, second = self.hedge(b"lookup")
        self.respond(second, b"second")
        self.assertTrue(first.is_aborted)
        self.check_body(transport, b"second")
        self.check_events((WON, hedge_sends.WHOLE_RESPONSE))
        self.check_idle()

    def test_send_that_answers_after_all_wins_over_its_hedge(self):
        transport, first, second = self.hedge(b"lookup")
        self.respond(first, b"first")
        self.assertTrue(second.is_aborted)
        self.check_body(transport, b"first")
        self.check_events((LOST, hedge_sends.OTHER_ANSWERED))
        self.check_idle()

    def test_bytes_of_the_cancelled_send_never_reach_the_caller(self):
        # Guards against a mixed body, whichever send has begun to answer.
        transport, first, second = self.hedge(b"lookup")
        self.start_response(first)
        first.deliver(b"the first half of one response")
        self.assertEqual(transport.value(), b"")
        self.respond(second, b"whole")
        first.deliver(b"the other half")
        first.end()
        self.check_body(transport, b"whole")

    def test_error_of_the_hedge_leaves_the_first_send_alone(self):
        for status, reason in ((500, outcomes.Outcome.FAILED), (503, None)):
            with self.subTest(status=status):
                self.setUp()
                transport, first, second = self.hedge(b"lookup")
                if reason is None:
                    second.reject()
                    reason = outcomes.Outcome.REJECTED
                else:
                    self.respond(second, b"broken", status)
                self.assertEqual(transport.value(), b"")
                self.check_slots("desk", 1)
                self.respond(first, b"first")
                self.check_body(transport, b"first")
                self.check_events((FAILED, reason.value))
                self.check_idle()

    def test_hedge_is_the_retry_of_a_send_that_fails(self):
        # A second retry would be a third run of the request.
        transport, first, second = self.hedge(b"lookup")
        self.lose(first)
        self.assertEqual(transport.value(), b"")
        self.wait(0.1)
        self.assertEqual(len(self.pool.opened), 2)
        self.respond(second, b"second")
        self.check_body(transport, b"second")
        self.check_events((WON, hedge_sends.FIRST_FAILED))
        budget = self.deployment.get_budget("desk")
        self.assertEqual(len(budget._retries), 1)
        self.check_idle()

    def test_hedge_counts_against_the_attempts(self):
        transport, first, second = self.hedge(b"lookup")
        self.lose(second)
        self.lose(first)
        self.wait(0.1)
        self.assertEqual(len(self.pool.opened), 2)
        self.assertTrue(transport.value().startswith(b"HTTP/1.1 502 "))
        self.assertEqual(self.count_sends(), 2)
        self.check_idle()

    def test_request_is_sent_again_after_both_sends_have_failed(self):
        self.replace_routes(attempts=3)
        transport, first, second = self.hedge(b"lookup")
        self.lose(first)
        self.lose(second)
        third = self.pool.opened[2]
        self.respond(third, b"third")
        self.check_body(transport, b"third")
        self.check_idle()

    def test_request_leaves_a_silent_server_if_its_hedge_is_silent_as_well(self):
        # Guards against a request that waits for two servers that are both gone.
        self.replace_routes(attempts=3)
        self.send_quick()
        transport, first, second = self.hedge(b"lookup")
        self.wait(1.0)
        third = self.pool.opened[-1]
        self.assertTrue(first.is_aborted)
        self.assertFalse(second.is_aborted)
        self.respond(third, b"third")
        self.assertTrue(second.is_aborted)
        self.check_body(transport, b"third")
        self.check_idle()

    def test_request_stays_at_a_silent_server_while_its_hedge_may_answer(self):
        self.replace_routes(attempts=3)
        self.send_quick()
        opened = len(self.pool.opened)
        _, first, second = self.hedge(b"lookup")
        # Bytes of the hedge wait to be read.
        second.has_input = True
        self.wait(1.0)
        self.assertFalse(first.is_aborted)
        self.assertFalse(second.is_aborted)
        self.assertEqual(len(self.pool.opened), opened + 2)

    def send_quick(self):
        """Has so many quick responses that the next slow one can't be sound."""
        for number in range(64):
            self.request(b"lookup", b"quick-%d" % number)
            self.wait(0.01)
            self.respond(self.pool.opened[-1], b"quick")


class StreamTests(hedgecases.HedgeCase):
    def check_whole(self, transport):
        for number in range(1, 6):
            count = transport.value().count(b"data: part-%d\n" % number)
            self.assertEqual(count, 1)
        self.assertTrue(transport.value().endswith(b"\r\n0\r\n\r\n"))

    def test_first_event_of_the_hedge_wins(self):
        transport, first, second = self.hedge(b"summary")
        first.respond()
        self.stream(second, 1, 2)
        self.assertTrue(first.is_aborted)
        self.stream(first, 1, 1)
        self.stream(second, 3, 5)
        second.end()
        self.check_whole(transport)
        self.check_events((WON, hedge_sends.FIRST_EVENT))
        self.check_idle()

    def test_first_event_of_the_first_send_ends_the_hedge(self):
        transport, first, second = self.hedge(b"summary")
        self.stream(first, 1, 1)
        self.assertTrue(second.is_aborted)
        self.check_slots("pool", 1)
        self.wait(OVERLAP_S + 0.1)
        self.assertFalse(first.is_aborted)
        self.stream(first, 2, 5)
        first.end()
        self.check_whole(transport)
        self.check_events((LOST, hedge_sends.OTHER_ANSWERED))
        self.check_idle()

    def test_two_servers_work_on_one_stream_for_a_bounded_time(self):
        transport, first, second = self.hedge(b"summary")
        self.wait(OVERLAP_S - 0.03)
        self.assertFalse(first.is_aborted)
        self.wait(0.04)
        self.assertTrue(first.is_aborted)
        self.check_slots("pool", 1)
        self.stream(second, 1, 5)
        second.end()
        self.check_whole(transport)
        self.check_events((WON, hedge_sends.OVERLAP_ENDED))
        self.check_idle()

    def test_first_event_that_is_not_handled_yet_wins_over_the_bound(self):
        transport, first, second = self.hedge(b"summary")
        self.wait(OVERLAP_S - 0.03)
        first.has_input = True
        self.wait(0.06)
        self.assertFalse(first.is_aborted)
        self.stream(first, 1, 5)
        self.assertTrue(second.is_aborted)
        first.end()
        self.check_whole(transport)

    def test_hedge_that_does_not_connect_leaves_the_first_send_alone(self):
        # Until it is connected, only one server works on the stream.
        transport = self.request(b"summary")
        self.pool.is_slow = True
        self.wait(hedgecases.DUE_S + OVERLAP_S + 0.1)
        first = self.pool.opened[0]
        self.assertFalse(first.is_aborted)
        self.stream(first, 1, 5)
        first.end()
        self.check_whole(transport)
        self.assertEqual(self.count_sends(), 1)
        self.check_idle()

    def test_stream_that_has_begun_gets_no_hedge(self):
        self.request(b"summary")
        self.stream(self.pool.opened[0], 1, 1)
        self.wait(1.0)
        self.assertEqual(self.list_events(), [])

    def test_stream_that_a_caller_resumes_gets_no_hedge(self):
        self.request(b"summary", extra=(b"last-event-id: 3",))
        self.wait(0.5)
        self.assertEqual(self.list_events(), [])

    def test_stream_is_resumed_after_its_hedge_has_won_and_failed(self):
        self.replace_routes(attempts=3)
        transport, _, second = self.hedge(b"summary")
        self.stream(second, 1, 2)
        self.lose(second)
        third = self.pool.opened[2]
        self.assertEqual(third.next_event, 2)
        self.stream(third, 3, 5)
        third.end()
        self.check_whole(transport)
        self.check_idle()


class EndTests(hedgecases.HedgeCase):
    """Requests that end while both sends are in flight."""

    def check_ended(self, first, second):
        self.assertTrue(first.is_aborted)
        self.assertTrue(second.is_aborted)
        self.check_events((LOST, hedge_sends.REQUEST_ENDED))
        self.check_idle()
        # No timer of the request acts later.
        self.wait(1.0)
        self.assertEqual(len(self.pool.opened), 2)

    def test_caller_that_leaves_ends_both_sends_at_once(self):
        for route in (b"lookup", b"summary"):
            with self.subTest(route=route):
                self.setUp()
                transport, first, second = self.hedge(route)
                transport.protocol = None
                (flow,) = self.gateway._flows.values()
                flow.handle_disconnect()
                self.check_ended(first, second)

    def test_deadline_ends_both_sends(self):
        self.replace_routes(timeout_ms=200.0)
        transport, first, second = self.hedge(b"lookup")
        self.wait(0.2)
        self.assertTrue(transport.value().startswith(b"HTTP/1.1 504 "))
        self.check_ended(first, second)

    def test_end_of_the_process_ends_both_sends(self):
        transport, first, second = self.hedge(b"lookup")
        self.gateway.stop(0.0, 1.0)
        self.gateway.end_requests()
        self.assertTrue(transport.value().startswith(b"HTTP/1.1 502 "))
        self.check_ended(first, second)

    def test_entry_that_stops_waits_for_both_but_sends_no_hedge(self):
        self.request(b"lookup")
        self.gateway.stop(0.0, 10.0)
        self.wait(hedgecases.DUE_S)
        self.check_withheld(hedges.STOPPING)
        self.assertFalse(self.gateway.is_drained)

    def test_request_that_ends_before_its_hedge_is_due_gets_none(self):
        self.request(b"lookup")
        self.respond(self.pool.opened[0], b"first")
        self.wait(1.0)
        self.assertEqual(self.list_events(), [])
        self.assertEqual(len(self.pool.opened), 1)

    def test_failure_while_a_hedge_is_sent_ends_the_request_with_an_answer(self):
        # Guards against a request that nobody owns after an unexpected failure.
        transport = self.request(b"lookup")
        fault = mock.patch.object(
            self.deployment.hedging, "decide", side_effect=RuntimeError
        )
        with fault:
            self.wait(hedgecases.DUE_S)
        self.assertTrue(transport.value().startswith(b"HTTP/1.1 502 "))
        self.check_idle()


class WithheldTests(hedgecases.HedgeCase):
    def check_none(self, route=b"lookup"):
        self.request(route)
        self.wait(0.11)
        self.assertEqual(len(self.pool.opened), 1)
        self.assertEqual(self.list_events(), [])

    def test_request_that_may_run_once_is_never_hedged(self):
        self.replace_routes(retry_rule=hedgecases.STREAM, is_resumable=False)
        self.check_none()

    def test_request_with_one_attempt_is_never_hedged(self):
        self.replace_routes(attempts=1)
        self.check_none()

    def test_nothing_is_hedged_before_there_are_samples(self):
        self.replace_routes(name="other")
        self.check_none()

    def test_request_of_a_peer_is_not_hedged(self):
        # Its sends are limited by what the peer has granted.
        charge = self.gateway._charge

        def take_over(ticket, *arguments):
            ticket.is_taken_over = True
            return charge(ticket, *arguments)

        with mock.patch.object(self.gateway, "_charge", take_over):
            self.request(b"lookup")
        self.wait(0.11)
        self.assertEqual(self.list_events(), [])

    def test_no_hedge_while_a_request_of_the_group_waits(self):
        self.request(b"lookup")
        dispatcher = self.deployment.get_dispatcher("desk")
        dispatcher.waiting_entries = ("e1", "e2")
        self.wait(hedgecases.DUE_S)
        self.check_withheld(hedging.WAITING)

    def test_no_hedge_without_another_server(self):
        self.deployment.store_reads.record_read(100.0)
        for number in range(1, hedgecases.SERVERS):
            self.deployment.apply_removal(f"desk-{number}", 100.0)
        self.request(b"lookup")
        self.wait(hedgecases.DUE_S)
        self.check_withheld(dispatch.NO_SERVER)

    def test_hedge_after_its_time_waits_for_bytes_that_are_not_read_yet(self):
        # The response may be there already while the event loop is behind.
        self.request(b"lookup")
        first = self.pool.opened[0]
        first.has_input = True
        self.wait(0.1)
        self.assertEqual(len(self.pool.opened), 1)
        self.respond(first, b"first")
        self.wait(0.5)
        self.assertEqual(self.list_events(), [])

    def test_hedge_that_is_due_during_a_pause_is_not_sent_at_its_end(self):
        # After a pause all timers are due at once, and responses wait in the sockets.
        self.request(b"lookup")
        self.clock.advance(3.0)
        self.assertEqual(self.list_events(), [])
        self.respond(self.pool.opened[0], b"first")
        self.wait(1.0)
        self.assertEqual(self.list_events(), [])

    def test_no_hedge_while_the_entry_is_held_after_a_pause(self):
        self.request(b"lookup")
        with mock.patch.object(type(self.gateway._deployment), "is_held", True):
            self.wait(1.0)
        self.assertEqual(self.list_events(), [])
        self.wait(0.05)
        self.assertEqual(len(self.pool.opened), 2)

    def test_no_hedge_while_no_server_answers(self):
        self.request(b"lookup")
        with mock.patch.object(self.deployment.paths, "is_unreached"):
            self.wait(hedgecases.DUE_S)
        self.check_withheld(hedges.UNREACHED)

    def test_request_that_may_crash_servers_is_not_hedged(self):
        # A hedge would show it to a second server before the first one has ended.
        crash = crash_records.Crash("c" * 16, "desk-9/1")
        self.request(b"lookup")
        (flow,) = self.gateway._flows.values()
        flow.ticket.fingerprint = crash.fingerprint
        evidence = crash_records.Evidence.REFUSED
        self.deployment.crashes.record(crash, self.clock.seconds(), evidence)
        self.wait(hedgecases.DUE_S)
        self.check_withheld(hedging.SUSPECTED)

    def test_limit_of_the_operators_is_used_up(self):
        for number in range(8):
            self.request(b"lookup", b"q%d" % number)
            self.wait(hedgecases.DUE_S)
        reasons = [reason for _, reason in self.list_events()]
        self.assertIn(outcomes.NO_BUDGET, reasons)

    def test_caller_that_has_left_gets_no_hedge(self):
        self.request(b"lookup")
        (flow,) = self.gateway._flows.values()
        with mock.patch.object(flow.request.channel, "has_caller_left"):
            self.wait(hedgecases.DUE_S)
        self.assertTrue(self.pool.opened[0].is_aborted)
        self.assertEqual(self.list_events(), [])
        self.check_idle()


class MetricTests(unittest.TestCase):
    def test_hedges_are_counted_by_step_and_reason(self):
        metrics = request_metrics.RequestMetrics()
        metrics.count_hedge(hedge_sends.Step.WON.value, hedge_sends.FIRST_EVENT)
        expected = b'wasabiknot_hedges_total{reason="first event",step="won"} 1.0\n'
        self.assertIn(expected, metrics.render(mock.Mock()))


class OffTests(hedgecases.HedgeCase):
    hedge_share = 0.0

    def test_nothing_is_sent_logged_or_learned(self):
        known = self.deployment.hedging.durations.count_series()
        transport = self.request(b"lookup")
        self.wait(0.11)
        self.respond(self.pool.opened[0], b"first")
        self.check_body(transport, b"first")
        self.assertEqual(len(self.pool.opened), 1)
        self.assertEqual(self.list_events(), [])
        self.metrics.count_hedge.assert_not_called()
        durations = self.deployment.hedging.durations
        self.assertEqual(durations.count_series(), known)

    def test_hedges_end_when_the_setting_is_taken_back(self):
        self.set_share(0.5)
        self.earn_hedges("desk")
        self.request(b"lookup")
        self.set_share(0.0)
        self.wait(hedgecases.DUE_S)
        self.check_withheld(hedging.SHARE_USED_UP)


class CancelledSendTests(hedgecases.HedgeCase):
    """What a cancelled send says of its server."""

    def setUp(self):
        super().setUp()
        recording = mock.patch.object(self.deployment.releases, "record_outcome")
        self.record_outcome = recording.start()
        self.addCleanup(recording.stop)

    def test_it_is_no_evidence_and_teaches_no_duration(self):
        for is_hedge_faster in (True, False):
            with self.subTest(is_hedge_faster=is_hedge_faster):
                self.setUp()
                _, first, second = self.hedge(b"lookup")
                self.wait(0.05)
                winner, loser = first, second
                if is_hedge_faster:
                    winner, loser = second, first
                server = self.find_server(loser, "desk")
                pace_ms = server.pace_ms
                self.respond(winner, b"whole")
                self.wait(0.1)
                self.assertEqual(server.pace_ms, pace_ms)
                self.assertEqual(server.failure_rate, 0.0)
                self.assertFalse(server.is_avoided(self.clock.seconds()))
                (call,) = self.record_outcome.call_args_list
                self.assertIsNot(call.args[1], server)

    def test_it_is_no_failure_of_the_path(self):
        with mock.patch.object(self.gateway, "record_path_failure") as record:
            _, _, second = self.hedge(b"lookup")
            self.respond(second, b"whole")
            self.wait(0.1)
        record.assert_not_called()

    def test_crash_of_its_server_during_it_counts(self):
        # Without it a request that crashes its servers slowly would look harmless.
        _, first, second = self.hedge(b"lookup")
        (flow,) = self.gateway._flows.values()
        fingerprint = flow.ticket.fingerprint
        server = self.find_server(first, "desk")
        self.respond(second, b"whole")
        monitor = self.deployment.crash_monitor
        monitor.record_failed_connection(server, True, self.clock.seconds())
        self.assertEqual(self.deployment.crashes.count(fingerprint), 1)

    def test_hedge_that_finds_its_server_gone_counts_as_not_sent(self):
        transport = self.request(b"lookup")
        refused = failure.Failure(error.ConnectionRefusedError())
        with mock.patch.object(self.pool, "acquire", lambda *_: defer.fail(refused)):
            self.wait(hedgecases.DUE_S)
        self.check_events((FAILED, outcomes.Outcome.UNREACHABLE.value))
        self.respond(self.pool.opened[0], b"first")
        self.check_body(transport, b"first")
        self.assertEqual(self.count_sends(), 1)
        self.check_idle()

    def test_time_of_a_cancelled_send_keeps_the_percentile_where_it_is(self):
        # Guards against hedges that are sent earlier and earlier.
        durations = self.deployment.hedging.durations
        with mock.patch.object(durations, "add") as add:
            _, _, second = self.hedge(b"lookup")
            self.respond(second, b"whole")
        (call,) = add.call_args_list
        self.assertGreaterEqual(call.args[1], hedgecases.USUAL_S)

    def test_slot_that_it_frees_is_used_by_a_waiting_request(self):
        self.register("pool", hedgecases.SERVERS, slots=1)
        _, first, second = self.hedge(b"summary")
        for number in range(hedgecases.SERVERS - 1):
            self.request(b"summary", b"other-%d" % number)
        opened = len(self.pool.opened)
        self.assertEqual(opened, hedgecases.SERVERS)
        self.stream(first, 1, 1)
        self.clock.advance(0.0)
        self.assertEqual(len(self.pool.opened), opened + 1)
        self.assertEqual(self.pool.opened[-1].address, second.address)


ACTIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            (
                "request-lookup",
                "request-summary",
                "wait",
                "wait",
                "answer",
                "answer",
                "lose",
                "reject",
                "leave",
                "remove",
            )
        ),
        strategies.integers(0, 1_000),
    ),
    max_size=60,
)


class DrawnTests(hedgecases.HedgeCase):
    @settings(max_examples=120)
    @given(ACTIONS, strategies.integers(2, 4))
    def test_each_caller_gets_one_whole_response_of_one_send(self, actions, attempts):
        # Guards against mixed bytes, requests without an end, slots that stay taken
        # and more sends than the route allows.
        self.setUp()
        self.replace_routes(attempts=attempts)
        self.transports = {}
        self.left = set()
        for name, number in actions:
            action = getattr(self, f"do_{name.partition('-')[0]}")
            action(name.partition("-")[2].encode(), number)
            self.clock.advance(0.01)
        self.finish()
        self.check_idle()
        sends = {}
        for connection in self.pool.opened:
            sends[connection.request_id] = sends.get(connection.request_id, 0) + 1
        # Those that a server rejects may return to it once their attempts are used up.
        self.assertLessEqual(max(sends.values(), default=0), attempts)
        for request_id, transport in self.transports.items():
            if request_id not in self.left:
                self.check_response(transport.value())

    def do_request(self, route, number):
        request_id = b"%s-%d" % (route, len(self.transports))
        self.transports[request_id] = self.request(route, request_id)

    def do_wait(self, _, number):
        self.wait(0.01 + number % 9 / 100)

    def list_open(self):
        return [
            item
            for item in self.pool.opened
            if item.handler is not None and not (item.is_aborted or item.is_ended)
        ]

    def do_answer(self, _, number):
        connections = self.list_open()
        if connections:
            self.answer(connections[number % len(connections)])

    def answer(self, connection):
        if connection.request_id.startswith(b"summary"):
            connection.step(5)
            return
        connection.is_ended = True
        self.respond(connection, b"whole-%s" % connection.address.encode())

    def do_lose(self, _, number):
        connections = self.list_open()
        if connections:
            connection = connections[number % len(connections)]
            connection.is_ended = True
            self.lose(connection)

    def do_reject(self, _, number):
        unanswered = [item for item in self.list_open() if not item.is_responding]
        if unanswered:
            connection = unanswered[number % len(unanswered)]
            connection.is_ended = True
            connection.reject()

    def do_leave(self, _, number):
        flows = list(self.gateway._flows.values())
        if flows:
            flow = flows[number % len(flows)]
            self.left.add(flow.ticket.request_id.encode())
            flow.handle_disconnect()

    def do_remove(self, _, number):
        server_id = f"desk-{number % hedgecases.SERVERS}"
        server = self.deployment.find_server(server_id)
        if server is not None:
            leaving = registrations.ServerState.LEAVING
            server.registration = server.registration.__class__(
                server_id, "desk", server.registration.address, "d", "v1", 4, leaving
            )

    def finish(self):
        for _ in range(1_200):
            if not len(self.gateway):
                return
            for connection in self.list_open():
                self.answer(connection)
            self.clock.advance(0.01)

    def check_response(self, value):
        self.assertEqual(value.count(b"HTTP/1.1 "), 1)
        head, _, body = value.partition(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 200 "):
            return
        if b"whole-" in body:
            self.assertEqual(body.count(b"whole-"), 1)
        elif body.endswith(b"0\r\n\r\n"):
            for number in range(1, 6):
                self.assertEqual(body.count(b"data: part-%d\n" % number), 1)


class LimitTests(hedgecases.HedgeCase):
    def test_sends_earn_hedges_again(self):
        for limit in ("share", "budget"):
            with self.subTest(limit=limit):
                self.setUp()
                if limit == "share":
                    self.deployment.hedging._share._saved = 0.0
                    self.set_share(0.1)
                    count = 11
                else:
                    self.deployment.get_budget("desk")._saved_hedges = 0.0
                    count = 26
                for number in range(count - 1):
                    self.request(b"lookup", b"q%d" % number)
                    self.respond(self.pool.opened[-1], b"x")
                self.request(b"lookup")
                self.wait(hedgecases.DUE_S)
                self.check_events()

    @settings(max_examples=40)
    @given(
        strategies.floats(0.0, 1.0),
        strategies.lists(strategies.booleans(), max_size=60),
    )
    def test_hedges_stay_within_both_limits(self, share, answers):
        self.setUp()
        self.set_share(share)
        self.deployment.hedging._share._saved = 0.0
        self.deployment.get_budget("desk")._saved_hedges = 0.0
        for number, is_slow in enumerate(answers):
            self.request(b"lookup", b"q%d" % number)
            if is_slow:
                self.wait(hedgecases.DUE_S)
            for connection in list(self.pool.opened):
                if not connection.is_aborted and not connection.is_ended:
                    connection.is_ended = True
                    self.respond(connection, b"x")
            sent = [item for item in self.list_events() if item[0] is Event.HEDGE_SENT]
            self.assertLessEqual(len(sent), share * len(self.pool.opened) + 1e-9)
            earned = budgets.HEDGE_FRACTION * 0.2 * (number + 1)
            self.assertLessEqual(len(sent), earned + 1e-9)


if __name__ == "__main__":
    unittest.main()
