import unittest
from unittest import mock

import gatewaycases
import msgspec
from twisted.internet import error, task, testing
from twisted.python import failure

from wasabiknot_entry import gateways, send_attempts
from wasabiknot_kernel import (
    arrivals,
    assignments,
    crash_records,
    exceptions,
    outcomes,
    registrations,
    routes,
)
from wasabiknot_platform import headers as platform_headers

Outcome = outcomes.Outcome
Kind = exceptions.ErrorKind


def build_configuration(rate=0.0):
    route = routes.Route(
        name="draft",
        host="a.example",
        prefix="/draft/",
        retry_rule=routes.RetryRule.ONCE,
        shares=(routes.TrafficShare("desk", 1),),
        timeout_ms=1_000,
        objective_ms=300,
        gap_ms=0,
        rank=1,
        attempts=1,
        is_public=False,
        is_resumable=False,
    )
    customer = routes.Customer("graz", ("k1",), 0, rate, rate, 200)
    services = (routes.Service("desk", "/", 10, None),)
    return routes.Configuration(1, (route,), services, (customer,), routes.Limits())


CHUNKED_HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"


class BodyTests(unittest.TestCase):
    def setUp(self):
        deployment = gatewaycases.build_deployment()
        self.gateway = gatewaycases.build_gateway(task.Clock(), deployment)

    def connect(self):
        channel = self.gateway.create_factory().buildProtocol(None)
        transport = testing.StringTransport()
        transport.setTcpNoDelay = lambda value: None
        channel.callLater = task.Clock().callLater
        channel.makeConnection(transport)
        channel.dataReceived(CHUNKED_HEAD)
        return channel, transport

    def test_largest_body_is_refused_when_all_that_arrive_are_too_large(self):
        self.gateway.buffers.max_bytes = 100_000
        started = []
        for size in (30_000, 50_000, 30_000):
            channel, transport = self.connect()
            started.append((channel, transport))
            channel.dataReceived(b"%x\r\n%s\r\n" % (size, b"x" * size))
        values = [transport.value() for _, transport in started]
        self.assertEqual((values[0], values[2]), (b"", b""))
        self.assertTrue(values[1].startswith(b"HTTP/1.1 503 "))
        self.assertIn(b"\r\nretry-after: 1.00\r\n", values[1])
        self.assertTrue(values[1].endswith(b"\r\n\r\nqueue-full\n"))
        self.assertEqual(self.gateway.buffers.total_bytes, 60_000)
        started[0][0].dataReceived(b"0\r\n\r\n")
        started[2][0].connectionLost(failure.Failure(error.ConnectionDone()))
        self.assertEqual(self.gateway.buffers.total_bytes, 0)

    def test_body_without_end_is_refused_while_it_arrives(self):
        gateway = self.gateway
        channel, transport = self.connect()
        chunk = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
        count = 0
        while not transport.disconnecting and count < 1_000:
            channel.dataReceived(chunk)
            count += 1
        self.assertLess(count * 65_536, 2 * gateway.limits.body_bytes)
        self.assertTrue(transport.value().startswith(b"HTTP/1.1 413 "))
        self.assertTrue(transport.value().endswith(b"\r\n\r\nbody-too-large\n"))
        channel.dataReceived(chunk + b"0\r\n\r\n")
        self.assertEqual(len(gateway), 0)
        self.assertEqual(transport.value().count(b"HTTP/1.1"), 1)


class HeadTests(gatewaycases.GatewayCase):
    def send(self, extra, limit=16_384):
        limits = routes.Limits(header_bytes=limit)
        configuration = gatewaycases.build_configuration(2, limits=limits)
        self.configure(configuration)
        channel = self.connect(gatewaycases.build_head(extra=extra))
        # Input that takes long to handle, as on a busy machine, is handled in parts.
        self.advance(1.0)
        return channel

    def test_many_fields_within_the_limit_of_bytes_are_passed_on(self):
        # Guards against 400 for a proper request with over 500 header fields.
        channel = self.send([b"x-%d: a" % number for number in range(1_500)])
        connection = self.accept(0)
        self.assertIn(b"x-1499: a\r\n", connection.transport.value())
        self.respond(connection)
        self.assertEqual(self.read_answer(channel).status, 200)

    def test_limit_on_heads_is_that_of_the_configuration(self):
        channel = self.send([b"x: " + b"a" * 30_000], limit=65_536)
        self.respond(self.accept(0))
        self.assertEqual(self.read_answer(channel).status, 200)

    def test_head_beyond_the_limit_is_refused_with_431(self):
        heads = {
            "fields": [b"x-%d: a" % number for number in range(4_000)],
            "line": [b"x: " + b"a" * 17_000],
            "small limit": [b"x: " + b"a" * 1_500],
        }
        for name, extra in heads.items():
            with self.subTest(name):
                self.setUp()
                limit = 1_024 if name == "small limit" else 16_384
                channel = self.send(extra, limit)
                self.assertEqual(self.read_answer(channel).status, 431)
                self.assertTrue(channel.transport.disconnecting)

    def test_first_line_without_end_is_refused_with_431(self):
        channel = self.connect(b"GET /" + b"a" * 20_000)
        self.advance(1.0)
        self.assertEqual(self.read_answer(channel).status, 431)
        self.assertTrue(channel.transport.disconnecting)


class AdmissionTests(unittest.TestCase):
    def setUp(self):
        self.clock = task.Clock()
        self.deployment = gatewaycases.build_deployment()
        self.gateway = gatewaycases.build_gateway(self.clock, self.deployment)

    def configure(self, rate=0.0):
        table = routes.RouteTable(build_configuration(rate))
        self.deployment.apply_configuration(table, 0.0)
        self.deployment.has_servers = True
        self.deployment.has_crashes = True
        self.deployment.apply_registration(
            registrations.Registration(
                "w1",
                "desk",
                "10.0.0.9:80",
                "d",
                "v1",
                4,
                registrations.ServerState.READY,
            ),
            0.0,
        )

    def admit(self, path="/draft/x", key="k1", request_id="q1", deadline_ms=600.0):
        arrival = arrivals.Arrival(request_id, "a.example", path, key, deadline_ms)
        request = mock.Mock(uri=path.encode())
        request.channel.readable_since_s = self.gateway.reactor.seconds()
        return self.gateway._admit(arrival, request, b"")

    def test_request_before_first_configuration_gets_not_ready(self):
        error = self.admit(key="odd")
        self.assertEqual((error.kind, error.status), (Kind.NOT_READY, 503))
        self.assertGreater(error.retry_after_s, 0)

    def test_unknown_route_unknown_key_and_missing_request_id(self):
        self.configure()
        self.assertEqual(self.admit(path="/other/").status, 404)
        self.assertEqual(self.admit(key="odd").status, 401)
        self.assertEqual(self.admit(request_id="").status, 400)

    def test_ticket_gets_customer_rank_and_shorter_timeout(self):
        self.configure()
        ticket = self.admit(deadline_ms=5_000.0)
        self.assertEqual((ticket.rank, ticket.customer), (0, "graz"))
        self.assertAlmostEqual(ticket.deadline_s, 1.0 - gateways.RESPONSE_MARGIN_S)

    def test_exhausted_allowance_returns_429_with_retry_after(self):
        self.configure(rate=100.0)
        self.assertIsInstance(self.admit(), arrivals.Ticket)
        error = self.admit(request_id="q2")
        self.assertEqual((error.kind, error.status), (Kind.OVER_ALLOWANCE, 429))
        self.assertGreater(error.retry_after_s, 0.9)

    def test_request_that_crashes_servers_is_quarantined(self):
        self.configure()
        ticket = self.admit()
        for number in range(3):
            crash = crash_records.Crash(ticket.fingerprint, f"w{number}/1")
            self.deployment.crashes.add(crash, 0.0)
        self.assertEqual(self.admit().kind, Kind.QUARANTINED)

    def test_misdirected_response_shows_that_the_server_has_ended(self):
        self.configure()
        lost, other = self.admit(), self.admit(request_id="q2")
        server = self.deployment.find_server("w1")
        losing = send_attempts.Result(Outcome.RESPONSE_LOST, detail="silent")
        self.gateway.record_result(lost, server, losing, 0.1)
        head = platform_headers.decode_response(421, ())
        misdirected = send_attempts.Result(Outcome.REJECTED, head)
        self.gateway.record_result(other, server, misdirected, 1.1)
        self.assertEqual(self.deployment.crashes.count(lost.fingerprint), 1)

    def test_server_whose_address_another_one_has_gets_no_further_request(self):
        self.configure()
        server = self.deployment.find_server("w1")
        dispatcher = self.deployment.get_dispatcher("desk")
        head = platform_headers.decode_response(421, ())
        misdirected = send_attempts.Result(Outcome.REJECTED, head)
        (assignment,) = dispatcher.submit(self.admit(), 0.0)
        dispatcher.record_end(assignment.ticket, server, misdirected.outcome, 0.0)
        self.gateway.record_result(assignment.ticket, server, misdirected, 0.0)
        for at_s in (5.0, 10.0):
            (decision,) = dispatcher.submit(self.admit(request_id=f"q{at_s}"), at_s)
            self.assertIsInstance(decision, assignments.Refusal)
        moved = msgspec.structs.replace(server.registration, address="10.0.0.10:80")
        self.deployment.apply_registration(moved, 10.0)
        (decision,) = dispatcher.submit(self.admit(request_id="q9"), 15.0)
        self.assertIsInstance(decision, assignments.Assignment)

    def test_limit_in_a_misdirected_response_is_of_another_server(self):
        self.configure()
        server = self.deployment.find_server("w1")
        stated = ((platform_headers.SERVER_LIMIT, b"2.5"),)
        misdirected = platform_headers.decode_response(421, stated)
        self.gateway.record_statement(server, misdirected, 0.0)
        self.assertIsNone(self.deployment.eligibility.limits.find_rate("w1"))
        rejected = platform_headers.decode_response(503, stated)
        self.gateway.record_statement(server, rejected, 0.0)
        self.assertEqual(self.deployment.eligibility.limits.find_rate("w1"), 2.5)

    def test_load_in_a_head_counts_unless_it_is_of_another_server(self):
        # Guards against a pace that is known only when a stream has ended.
        self.configure()
        server = self.deployment.find_server("w1")
        stated = ((platform_headers.SERVER_LOAD, b"3,2,8,250"),)
        misdirected = platform_headers.decode_response(421, stated)
        self.gateway.record_statement(server, misdirected, 0.0)
        self.assertFalse(server.pace.is_known(self.clock.seconds()))
        head = platform_headers.decode_response(200, stated)
        self.gateway.record_statement(server, head, 0.0)
        self.assertTrue(server.pace.is_known(self.clock.seconds()))
        self.assertEqual(server.reported_load, 5)

    def test_stopping_gateway_rejects_requests_after_delay(self):
        # A request admitted 3 s after SIGTERM was cut off when the grace period of the
        # shutdown ended.
        self.configure()
        self.gateway.stop(2.7)
        self.assertIsInstance(self.admit(), arrivals.Ticket)
        self.clock.advance(2.69)
        self.assertIsInstance(self.admit(), arrivals.Ticket)
        self.clock.advance(0.02)
        error = self.admit()
        self.assertEqual((error.kind, error.status), (Kind.STOPPING, 503))
