import unittest

import gatewaycases
import loglines
import msgspec
from twisted.internet import error
from twisted.python import failure

from wasabiknot_entry import change_logs, drain_orders
from wasabiknot_kernel import facts, registrations, routes
from wasabiknot_platform import configurations


def build_fact(domain, value, offset=3):
    return facts.Fact(configurations.DRAIN_PREFIX + domain, value, offset)


class RecordTests(unittest.TestCase):
    def setUp(self):
        self.deployment = gatewaycases.build_deployment()

    def apply(self, domain, value):
        with self.assertLogs("wasabiknot", "INFO") as logs:
            fact = build_fact(domain, value)
            drain_orders.apply_record(self.deployment, fact, 1.0, "store")
        lines = loglines.list_lines(logs, '"name":"drain_')
        return [msgspec.json.decode(line[line.index("{") :]) for line in lines]

    def list_domains(self):
        return self.deployment.eligibility.drains.list_domains()

    def test_order_and_its_end_are_logged(self):
        (event,) = self.apply("graz", b"{}")
        self.assertEqual(event["name"], "drain_ordered")
        self.assertEqual(event["domain"], "graz")
        self.assertEqual(self.list_domains(), ["graz"])
        (event,) = self.apply("graz", None)
        self.assertEqual(event["name"], "drain_lifted")
        self.assertEqual(self.list_domains(), [])

    def test_unreadable_repeated_and_unknown_orders_hold_and_are_logged(self):
        # Guards against a drain that is ignored as its record is odd.
        self.deployment.has_servers = True
        for value in (b"{", b"[]", b"null", b"\xff", b"[" * 100_000, b"\x00"):
            events = self.apply("graz", value)
            self.assertEqual(self.list_domains(), ["graz"])
            problems = [event.get("problem", "") for event in events[1:]]
            self.assertTrue(any("unreadable" in item for item in problems), value)
            self.assertIn("no server is registered there", problems)
        self.assertIn("ordered again", problems)

    def test_record_with_an_empty_value_ends_the_drain(self):
        self.apply("graz", b"{}")
        self.apply("graz", b"")
        self.assertEqual(self.list_domains(), [])

    def test_long_names_are_cut_in_the_log(self):
        (event,) = self.apply("g" * 100_000, b"{}")
        self.assertEqual(len(event["domain"]), drain_orders.MAX_LOGGED_DOMAIN)


class DrainCase(gatewaycases.GatewayCase):
    def register_in(self, server_id, domain, port):
        registration = registrations.Registration(
            server_id,
            "desk",
            f"10.0.0.9:{port}",
            domain,
            "v1",
            1,
            registrations.ServerState.READY,
        )
        self.deployment.apply_registration(registration, self.reactor.seconds())

    def setUp(self):
        super().setUp()
        self.deployment.apply_removal("w1", self.reactor.seconds())
        self.deployment.store_reads.record_read(self.reactor.seconds())
        self.deployment.apply_removal("w1", self.reactor.seconds())
        self.register_in("w2", "graz", 81)

    def drain(self, domain):
        self.deployment.order_drain(domain)

    def send(self, number):
        return self.connect(gatewaycases.build_head(f"q{number}"))


class WaitingTests(DrainCase):
    def test_waiting_requests_get_503_with_a_retry_time_at_once(self):
        # Guards against callers that wait for servers which get nothing.
        running = self.send(1)
        connection = self.accept(0)
        waiting = self.send(2)
        self.drain("graz")
        self.advance(0.1)
        answer = self.read_answer(waiting)
        self.assertEqual(answer.status, 503)
        self.assertIn(b"retry-after", answer.head)
        self.respond(connection, "q1")
        self.assertEqual(self.read_answer(running).status, 200)

    def test_new_requests_get_503_with_a_retry_time(self):
        self.drain("graz")
        answer = self.read_answer(self.send(1))
        self.assertEqual(answer.status, 503)
        self.assertIn(b"retry-after", answer.head)

    def test_waiting_requests_go_to_another_domain(self):
        self.send(1)
        waiting = self.send(2)
        self.drain("graz")
        self.register_in("w3", "linz", 82)
        self.advance(0.1)
        self.respond(self.accept(1), "q2")
        self.assertEqual(self.read_answer(waiting).status, 200)


class ConnectingTests(DrainCase):
    def test_request_is_not_sent_if_its_server_is_drained_while_connecting(self):
        # Guards against a send by what was known before the connection was opened.
        channel = self.send(1)
        self.register_in("w3", "linz", 82)
        self.drain("graz")
        drained = self.accept(0)
        self.assertEqual(drained.transport.value(), b"")
        self.respond(self.accept(1), "q1")
        answer = self.read_answer(channel)
        self.assertEqual(answer.status, 200)

    def test_request_that_was_not_sent_is_refused_without_another_server(self):
        channel = self.send(1)
        self.drain("graz")
        drained = self.accept(0)
        self.assertEqual(drained.transport.value(), b"")
        answer = self.read_answer(channel)
        self.assertEqual(answer.status, 503)
        self.assertIn(b"retry-after", answer.head)

    def test_withdrawn_request_says_nothing_of_the_server(self):
        self.send(1)
        server = self.deployment.find_server("w2")
        self.drain("graz")
        self.accept(0)
        self.deployment.lift_drain("graz", self.reactor.seconds())
        self.assertEqual(server.failure_rate, 0.0)
        self.assertFalse(server.is_avoided(self.reactor.seconds()))
        self.assertEqual(len(server.sends), 0)


class ColdServerTests(gatewaycases.GatewayCase):
    """A server whose service limits cold ones."""

    def setUp(self):
        super().setUp()
        service = routes.Service("desk", "/", 10, None, 3.0, 9.3)
        self.configure(gatewaycases.build_configuration(2, services=(service,)))
        self.send = self.connect(gatewaycases.build_head())

    def is_cold(self):
        return self.deployment.eligibility.warmups.is_cold("w1")

    def test_reset_connection_makes_its_server_count_as_cold(self):
        # Guards against a burst to a server that has restarted meanwhile.
        connection = self.accept(0)
        connection.connectionLost(gatewaycases.CLOSED)
        self.assertTrue(self.is_cold())

    def test_refused_connection_makes_its_server_count_as_cold(self):
        factory = self.reactor.tcpClients[0][2]
        refused = failure.Failure(error.ConnectionRefusedError())
        factory.clientConnectionFailed(None, refused)
        self.assertTrue(self.is_cold())

    def test_complete_response_leaves_its_server_warm(self):
        self.respond(self.accept(0))
        self.assertFalse(self.is_cold())

    def test_change_is_logged(self):
        self.accept(0).connectionLost(gatewaycases.CLOSED)
        with self.assertLogs("wasabiknot", "INFO") as logs:
            for change in self.deployment.eligibility.pop_changes():
                change_logs.log_statement(change)
            self.deployment.eligibility.tick(60.0, {"w1"})
            for change in self.deployment.eligibility.pop_changes():
                change_logs.log_statement(change)
        self.assertEqual(len(loglines.list_lines(logs, "WK1804")), 1)
        self.assertEqual(len(loglines.list_lines(logs, "WK1805")), 1)
