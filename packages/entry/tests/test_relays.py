import unittest
from unittest import mock

import gatewaycases
import loglines
import msgspec
import relaycases
from twisted.internet import address, error
from twisted.python import failure

from wasabiknot_entry import error_responses, relays
from wasabiknot_kernel import exceptions, outcomes, routes

RESET = failure.Failure(error.ConnectionLost())
STREAM_HEAD = b"\r\n".join(
    [
        b"HTTP/1.1 200 OK",
        b"x-wasabiknot-attempt-id: q1",
        b"x-wasabiknot-server-stamp: s1",
        b"content-type: text/event-stream",
        b"transfer-encoding: chunked",
        b"",
        b"",
    ]
)


def build_event(number):
    data = b"id: %d\ndata: %d\n\n" % (number, number)
    return b"%x\r\n%s\r\n" % (len(data), data)


class HandoverTests(relaycases.RelayCase):
    def test_entry_without_a_path_to_any_server_serves_through_a_peer(self):
        self.cut_off()
        caller = self.connect(gatewaycases.build_head())
        connection = self.accept_relay(0)
        sent = self.accept(1)
        self.assertEqual(self.list_ports(), [7001, 80])
        self.assertNotIn(b"wasabiknot-relay", sent.transport.value())
        self.assertNotIn(b"x-api-key", sent.transport.value())
        self.assertIn(b"x-wasabiknot-tenant: graz", sent.transport.value())
        self.respond(sent)
        self.carry(connection)
        answer = self.read_answer(caller)
        self.assertEqual((answer.status, answer.body), (200, b"ok"))
        self.assertEqual(answer.head[b"x-wasabiknot-server-stamp"], b"s1")
        self.assertEqual(len(self.helper), 0)
        self.assertEqual(self.helper.handovers.taken_over, 0)
        self.assertFalse(self.gateway.helpers._in_flight)

    def test_request_is_charged_and_counted_for_retries_once(self):
        self.configure_both(
            gatewaycases.build_configuration(
                version=2,
                customers=(routes.Customer("graz", ("k1",), 0, 1e6, 1e6, 200),),
            )
        )
        self.reactor.advance(0.5)
        self.tell()
        self.cut_off()
        self.deployment.get_budget("desk").has_slack = True
        self.connect(gatewaycases.build_head())
        self.accept_relay(0)
        used = [
            sum(item.allowances.used.values())
            for item in (self.deployment, self.helper_deployment)
        ]
        counted = [
            len(item.get_budget("desk")._requests)
            for item in (self.deployment, self.helper_deployment)
        ]
        self.assertEqual((used, counted), ([200, 0], [1, 0]))

    def test_taken_over_request_goes_to_no_third_entry(self):
        self.cut_off()
        self.connect(gatewaycases.build_head())
        now_s = self.reactor.seconds()
        for name in ("w1", "w2"):
            server = self.helper_deployment.find_server(name)
            self.helper_deployment.record_path_failure(server, True, now_s)
        self.helper_deployment.apply_digest(self.deployment.build_digest(now_s), now_s)
        self.accept_relay(0)
        self.assertEqual(self.list_ports(), [7001, 80])

    def test_waiting_requests_go_to_a_peer_once_no_server_answers(self):
        for number in range(4):
            self.connect(gatewaycases.build_head(f"q{number}"))
        self.connect(gatewaycases.build_head("q4"))
        self.assertEqual(self.list_ports(), [80] * 4)
        self.cut_off()
        self.advance(0.05)
        self.assertEqual(self.list_ports(), [80] * 4 + [7001])

    def test_request_whose_connections_failed_goes_to_a_peer(self):
        self.connect(gatewaycases.build_head())
        for number in range(2):
            client = self.reactor.tcpClients[number]
            client[2].clientConnectionFailed(
                None, failure.Failure(error.TimeoutError())
            )
        self.assertEqual(self.list_ports(), [80, 80, 7001])

    def test_without_a_peer_the_entry_goes_on_by_itself(self):
        self.reactor.advance(5.0)
        self.cut_off()
        self.connect(gatewaycases.build_head())
        self.assertEqual(self.list_ports(), [80])

    def test_response_lost_between_entries_is_not_called_unrun(self):
        self.cut_off()
        caller = self.connect(gatewaycases.build_head())
        connection = self.accept_relay(0)
        connection.connectionLost(RESET)
        self.assertEqual(self.read_answer(caller).status, 502)
        self.assertEqual(self.list_ports(), [7001, 80])

    def test_peer_that_is_not_reached_has_not_run_it_and_another_way_is_tried(self):
        self.cut_off()
        caller = self.connect(gatewaycases.build_head())
        self.reactor.tcpClients[0][2].clientConnectionFailed(
            None, failure.Failure(error.TimeoutError())
        )
        self.assertEqual(self.list_ports(), [7001, 80])
        self.respond(self.accept(1))
        self.assertEqual(self.read_answer(caller).status, 200)

    def test_refusal_of_the_peer_reaches_the_caller_with_its_retry_time(self):
        self.helper_deployment.crashes.find_refused = lambda *_: "f"
        self.helper_deployment.try_start_trial = lambda *_: False
        self.cut_off()
        caller = self.connect(gatewaycases.build_head())
        self.accept_relay(0)
        answer = self.read_answer(caller)
        self.assertEqual((answer.status, answer.body), (503, b"quarantined\n"))
        self.assertEqual(answer.head[b"retry-after"], b"10.00")

    def test_charge_is_given_back_if_the_peer_refuses(self):
        self.configure_both(
            gatewaycases.build_configuration(
                version=2,
                customers=(routes.Customer("graz", ("k1",), 0, 1e6, 1e6, 200),),
            )
        )
        self.reactor.advance(0.5)
        self.tell()
        self.helper_deployment.crashes.find_refused = lambda *_: "f"
        self.helper_deployment.try_start_trial = lambda *_: False
        self.cut_off()
        self.connect(gatewaycases.build_head())
        self.accept_relay(0)
        self.assertEqual(sum(self.deployment.allowances.used.values()), 0)

    def test_caller_that_leaves_ends_the_work_at_the_server(self):
        self.cut_off()
        caller = self.connect(gatewaycases.build_head())
        connection = self.accept_relay(0)
        sent = self.accept(1)
        caller.connectionLost(gatewaycases.CLOSED)
        self.assertTrue(connection.transport.is_aborted)
        self.channels[connection].connectionLost(gatewaycases.CLOSED)
        self.assertTrue(sent.transport.is_aborted)
        self.assertFalse(self.gateway.helpers._in_flight)
        self.assertEqual(self.helper.handovers.taken_over, 0)

    def test_deadline_of_the_caller_holds_over_both_entries(self):
        self.cut_off()
        deadline = b"x-wasabiknot-deadline-ms: 600"
        self.connect(gatewaycases.build_head(extra=(deadline,)))
        self.reactor.advance(0.2)
        self.accept_relay(0)
        sent = self.accept(1).transport.value()
        fields = dict(
            line.split(b": ", 1) for line in sent.split(b"\r\n") if b": " in line
        )
        self.assertLessEqual(int(fields[b"x-wasabiknot-deadline-ms"]), 400)

    def test_peer_that_stops_takes_nothing_over(self):
        self.helper.stop(2.0, 8.0)
        self.cut_off()
        self.connect(gatewaycases.build_head())
        self.accept_relay(0)
        self.assertEqual(self.list_ports(), [7001, 80])
        self.assertEqual(len(self.helper), 0)

    def test_peer_that_stops_ends_what_it_has_taken_over(self):
        self.cut_off()
        caller = self.connect(gatewaycases.build_head())
        connection = self.accept_relay(0)
        self.helper.stop(2.0, 8.0)
        self.assertEqual(len(self.helper), 1)
        self.respond(self.accept(1))
        self.carry(connection)
        self.assertEqual(self.read_answer(caller).status, 200)

    def test_stop_of_the_entry_waits_for_the_peer_and_then_answers(self):
        for is_answered, status in ((True, 200), (False, 502)):
            with self.subTest(is_answered=is_answered):
                self.setUp()
                self.cut_off()
                caller = self.connect(gatewaycases.build_head())
                connection = self.accept_relay(0)
                self.gateway.stop(0.0, 4.0)
                self.assertFalse(self.gateway.is_drained)
                if is_answered:
                    self.respond(self.accept(1))
                    self.carry(connection)
                    self.assertTrue(self.gateway.is_drained)
                else:
                    self.gateway.end_requests()
                self.assertEqual(self.read_answer(caller).status, status)

    def test_peer_with_an_older_configuration_takes_nothing_over(self):
        self.configure(gatewaycases.build_configuration(version=2))
        self.cut_off()
        self.connect(gatewaycases.build_head())
        self.accept_relay(0)
        self.assertEqual(self.list_ports(), [7001, 80])
        self.assertEqual(len(self.helper), 0)

    def test_number_of_requests_taken_over_is_bounded(self):
        self.helper.handovers.taken_over = 256
        self.cut_off()
        self.connect(gatewaycases.build_head())
        self.accept_relay(0)
        self.assertEqual(len(self.helper), 0)


class RunningWorkTests(relaycases.RelayCase):
    def setUp(self):
        super().setUp()
        route = gatewaycases.build_route(
            retry_rule=routes.RetryRule.IDEMPOTENT, attempts=3
        )
        self.configure_both(
            gatewaycases.build_configuration(version=2, routes=(route,))
        )

    def play(self, learned_s):
        for number in range(60 if learned_s else 0):
            self.connect(gatewaycases.build_head(f"s{number}"))
            connection = self.accept(-1)
            self.reactor.advance(learned_s)
            self.respond(connection, f"s{number}")
            connection.connectionLost(gatewaycases.CLOSED)
        opened = len(self.list_ports())
        self.connect(gatewaycases.build_head())
        self.accept(-1)
        self.reactor.advance(0.5)
        if len(self.list_ports()) > opened + 1:
            # It has moved to the other server, which is silent as well.
            self.accept(-1)
        self.cut_off()
        self.deployment.get_budget("desk").has_slack = True
        self.hear_peer(8)
        return self.list_ports()[opened:]

    def hear_peer(self, count):
        for _ in range(count):
            self.reactor.advance(0.2)
            now_s = self.reactor.seconds()
            digest = self.helper_deployment.build_digest(now_s)
            digest = msgspec.structs.replace(digest, heard_ms={"desk": 0})
            self.deployment.apply_digest(digest, now_s)

    def test_plain_request_that_may_still_run_is_not_begun_again_by_a_peer(self):
        self.assertEqual(self.play(learned_s=0.0), [80])

    def test_request_that_tries_a_lost_path_does_not_wait_for_its_time(self):
        self.cut_off()
        self.deployment.get_budget("desk").has_slack = True
        self.deployment.paths.record_probe("desk", self.reactor.seconds())
        self.connect(gatewaycases.build_head())
        self.accept(0)
        self.hear_peer(5)
        self.assertEqual(self.list_ports(), [80, 7001])

    def test_plain_request_that_runs_far_too_long_goes_to_a_peer(self):
        self.assertEqual(self.play(learned_s=0.01)[-1], 7001)


class SlotOwnerTests(relaycases.RelayCase):
    def make_brittle(self):
        now_s = self.reactor.seconds()
        for item in (self.deployment, self.helper_deployment):
            item.brittleness.record("desk", 0, now_s, now_s)
            item.tick(now_s)

    def test_entry_without_a_slot_of_brittle_servers_hands_over_to_one_that_has(self):
        for name in ("w1", "w2"):
            for item in (self.deployment, self.helper_deployment):
                item.get_dispatcher("desk").remove(name)
        origin = self.deployment
        for item in (self.helper_deployment, origin):
            self.deployment = item
            self.register("w3", slots=1)
        self.make_brittle()
        owners = self.deployment.get_dispatcher("desk").list_slot_owners()
        self.assertEqual(owners, ("e2",))
        caller = self.connect(gatewaycases.build_head())
        connection = self.accept_relay(0)
        self.respond(self.accept(1))
        self.carry(connection)
        self.assertEqual(self.read_answer(caller).status, 200)

    def test_entry_with_a_slot_sends_itself_and_only_as_many(self):
        self.make_brittle()
        for number in range(4):
            self.connect(gatewaycases.build_head(f"q{number}"))
        self.assertEqual(self.list_ports(), [80, 80])


class StrangerTests(relaycases.RelayCase):
    def check_refused(self, peer_address, headers):
        with self.assertLogs("wasabiknot", "WARNING") as logs:
            channel = self.relay_factory.buildProtocol(None)
            channel.callLater = self.reactor.callLater
            channel.makeConnection(gatewaycases.Transport(peer_address))
            channel.dataReceived(gatewaycases.build_head(extra=headers))
        self.assertEqual(len(loglines.list_lines(logs, "WK1413")), 1)
        self.assertEqual(self.read_answer(channel).status, 503)
        self.assertEqual(len(self.helper), 0)
        self.assertFalse(self.reactor.tcpClients)

    def build_headers(self, sender=b"e1/r1", attempts=b"1"):
        return (
            b"wasabiknot-relay-from: " + sender,
            b"wasabiknot-relay-version: 1",
            b"wasabiknot-relay-attempts: " + attempts,
        )

    def test_stranger_is_refused(self):
        self.check_refused(relaycases.PEER_ADDRESS, self.build_headers(b"e9/r1"))

    def test_earlier_run_of_a_peer_is_refused(self):
        self.check_refused(relaycases.PEER_ADDRESS, self.build_headers(b"e1/r0"))

    def test_peer_at_another_address_is_refused(self):
        other = address.IPv4Address("TCP", "10.0.0.9", 40_000)
        self.check_refused(other, self.build_headers())

    def test_request_without_the_headers_of_a_handover_is_refused(self):
        self.check_refused(relaycases.PEER_ADDRESS, ())

    def test_unreadable_headers_are_refused(self):
        for attempts in (b"x", b"0", b"-1", b"9999999999"):
            with self.subTest(attempts=attempts):
                headers = self.build_headers(attempts=attempts)
                self.check_refused(relaycases.PEER_ADDRESS, headers)

    def test_caller_cannot_pretend_to_be_a_peer(self):
        caller = self.connect(gatewaycases.build_head(extra=self.build_headers()))
        self.respond(self.accept(0))
        self.assertEqual(self.read_answer(caller).status, 200)
        self.assertEqual(self.gateway.handovers.taken_over, 0)
        self.assertEqual(self.deployment.get_budget("desk")._requests[0], 0.0)


class StreamTests(relaycases.RelayCase):
    def setUp(self):
        super().setUp()
        route = gatewaycases.build_route(
            retry_rule=routes.RetryRule.STREAM, is_resumable=True, attempts=2
        )
        self.configure_both(
            gatewaycases.build_configuration(version=2, routes=(route,))
        )

    def test_stream_that_breaks_off_goes_on_through_a_peer(self):
        caller = self.connect(gatewaycases.build_head())
        first = self.accept(0)
        first.dataReceived(STREAM_HEAD + build_event(1) + build_event(2))
        self.cut_off_after_answer()
        first.connectionLost(RESET)
        connection = self.accept_relay(2)
        second = self.accept(3)
        self.assertIn(b"last-event-id: 2", second.transport.value())
        second.dataReceived(
            STREAM_HEAD + build_event(3) + build_event(4) + b"0\r\n\r\n"
        )
        self.carry(connection)
        body = caller.transport.value()
        for number in (1, 2, 3, 4):
            self.assertEqual(body.count(b"id: %d\n" % number), 1)
        self.assertEqual(body.count(b"HTTP/1.1"), 1)
        self.assertTrue(body.endswith(b"0\r\n\r\n"))

    def test_stream_goes_on_at_a_server_if_the_peer_refuses_it(self):
        caller = self.connect(gatewaycases.build_head())
        first = self.accept(0)
        first.dataReceived(STREAM_HEAD + build_event(1))
        self.cut_off_after_answer()
        self.helper_deployment.crashes.find_refused = lambda *_: "f"
        self.helper_deployment.try_start_trial = lambda *_: False
        first.connectionLost(RESET)
        self.accept_relay(2)
        self.assertFalse(caller.transport.disconnecting)
        self.assertEqual(self.list_ports()[3:], [80])

    def test_peer_lets_a_stream_that_has_begun_wait_for_a_slot(self):
        for number in range(4):
            ticket = mock.Mock(request_id=f"busy-{number}", prompt_tokens=0)
            server = self.helper_deployment.find_server(f"w{number % 2 + 1}")
            server.sends[ticket.request_id] = mock.Mock(
                ticket=ticket,
                prefill_tokens=0,
                sent_s=0.0,
                first_event_s=0.0,
                expected_first_event_s=0.1,
            )
        caller = self.connect(gatewaycases.build_head())
        first = self.accept(0)
        first.dataReceived(STREAM_HEAD + build_event(1))
        self.cut_off_after_answer()
        first.connectionLost(RESET)
        self.accept_relay(2)
        dispatcher = self.helper_deployment.get_dispatcher("desk")
        self.assertEqual([item.is_begun for item in dispatcher.list_waiting()], [True])
        self.assertFalse(caller.transport.disconnecting)

    def test_events_pass_through_the_peer_as_they_come(self):
        self.cut_off()
        caller = self.connect(gatewaycases.build_head())
        connection = self.accept_relay(0)
        sent = self.accept(1)
        sent.dataReceived(STREAM_HEAD)
        for number in (1, 2, 3):
            sent.dataReceived(build_event(number))
            self.carry(connection)
            self.assertIn(b"id: %d\n" % number, caller.transport.value())

    def cut_off_after_answer(self):
        self.reactor.advance(0.5)
        self.tell()
        self.cut_off()
        self.deployment.get_budget("desk").has_slack = True


class DecisionTests(unittest.TestCase):
    def decide(self, outcome, kind=None, **changes):
        ticket = mock.Mock(**{"is_begun": False, "may_have_run": False, **changes})
        return relays.decide_next_step(relays.Result(outcome, kind=kind), ticket)

    def test_refusal_that_another_entry_may_not_share_goes_on(self):
        for kind in relays.PASSING_KINDS:
            decision = self.decide(outcomes.Outcome.REJECTED, kind)
            self.assertIs(decision.step, outcomes.Step.RESEND)

    def test_other_refusals_are_final(self):
        kind = exceptions.ErrorKind.QUEUE_FULL
        decision = self.decide(outcomes.Outcome.REJECTED, kind)
        self.assertIs(decision.step, outcomes.Step.REFUSE)
        self.assertIs(decision.kind, kind)

    def test_refusal_of_what_was_sent_before_goes_on(self):
        for changes in ({"is_begun": True}, {"may_have_run": True}):
            kind = exceptions.ErrorKind.QUEUE_FULL
            decision = self.decide(outcomes.Outcome.REJECTED, kind, **changes)
            self.assertIs(decision.step, outcomes.Step.RESEND)

    def test_lost_response_is_unknown(self):
        decision = self.decide(outcomes.Outcome.RESPONSE_LOST)
        self.assertIs(decision.kind, exceptions.ErrorKind.OUTCOME_UNKNOWN)

    def test_unknown_error_kind_of_a_later_version_is_not_called_unrun(self):
        self.assertIs(
            relays._decode_kind(b"something-new"),
            exceptions.ErrorKind.OUTCOME_UNKNOWN,
        )
        self.assertTrue(error_responses.KIND_HEADER)
