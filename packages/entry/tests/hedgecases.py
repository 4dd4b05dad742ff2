"""A gateway that hedges, whose backend servers answer as the test says."""

import unittest
from unittest import mock

import gatewaycases
import msgspec
import test_silent_servers
from twisted.internet import defer, task

from wasabiknot_entry import connections, journal, responses
from wasabiknot_kernel import (
    events,
    registrations,
    routes,
    send_durations,
)

STREAM = routes.RetryRule.STREAM
IDEMPOTENT = routes.RetryRule.IDEMPOTENT
HEDGE_SHARE = 0.5
# Duration of the sends that were learned, and delay after which a hedge is due.
USUAL_S = 0.05
DUE_S = 0.06
STEP_S = 0.01
SERVERS = 4


class Pool(test_silent_servers.Pool):
    """A pool whose connections may stay in the making."""

    def __init__(self):
        super().__init__()
        self.is_slow = False

    def acquire(self, address, max_idle_s, request_id):
        acquired = super().acquire(address, max_idle_s, request_id)
        return defer.Deferred() if self.is_slow else acquired


class HedgeCase(unittest.TestCase):
    """A test with callers, a gateway that hedges and servers of two services.

    :cvar hedge_share: the operators' setting.
    """

    hedge_share = HEDGE_SHARE

    def setUp(self):
        self.clock = task.Clock()
        self.clock.advance(100.0)
        self.deployment = gatewaycases.build_deployment()
        self.set_share(self.hedge_share)
        self.configure(test_silent_servers.build_configuration())
        self.deployment.has_servers = True
        self.deployment.has_crashes = True
        self.metrics = mock.Mock()
        self.gateway = gatewaycases.build_gateway(
            self.clock, self.deployment, self.metrics
        )
        self.pool = self.gateway.pool = Pool()
        writing = mock.patch.object(journal, "write")
        self.write = writing.start()
        self.addCleanup(writing.stop)
        for service in ("pool", "desk"):
            self.register(service, SERVERS)
            self.earn_hedges(service)
            self.deployment.get_budget(service).has_slack = True
        self.learn("summary")
        self.learn("lookup")

    def set_share(self, share):
        policy = msgspec.structs.replace(gatewaycases.POLICY, hedge_share=share)
        self.deployment.set_policy(policy)

    def configure(self, configuration):
        table = routes.RouteTable(configuration)
        self.assertTrue(self.deployment.apply_configuration(table, 0.0))

    def replace_routes(self, **changes):
        """Puts a configuration in force whose routes differ in some fields."""
        configuration = test_silent_servers.build_configuration()
        changed = tuple(
            msgspec.structs.replace(item, **changes) for item in configuration.routes
        )
        self.configure(
            msgspec.structs.replace(configuration, version=2, routes=changed)
        )

    def register(self, service, count, slots=4):
        for number in range(count):
            registration = registrations.Registration(
                server_id=f"{service}-{number}",
                service=service,
                address=f"10.0.1.{number}:80",
                domain="d",
                version="v1",
                slots=slots,
                state=registrations.ServerState.READY,
            )
            self.deployment.apply_registration(registration, 0.0)

    def earn_hedges(self, service):
        """Lets both limits save up what they may."""
        budget = self.deployment.get_budget(service)
        for _ in range(40):
            budget.record_request(self.clock.seconds())
            self.deployment.hedging.record_send()

    def learn(self, route):
        """Teaches how long sends of a route usually take, for any server."""
        for pace_band in range(16):
            send_class = send_durations.SendClass(route, 8, pace_band)
            expectation = send_durations.Expectation(send_class, 1_000 * USUAL_S)
            for _ in range(send_durations.MIN_SAMPLES):
                self.deployment.hedging.durations.add(expectation, USUAL_S)

    def request(self, route, request_id=b"q1", extra=()):
        return gatewaycases.send_stream_request(
            self.gateway, self.clock, route, request_id, extra
        )

    def hedge(self, route, request_id=b"q1"):
        """Sends a request and waits for its hedge.

        :return: transport of the caller and the connections of both sends.
        """
        known = len(self.pool.opened)
        transport = self.request(route, request_id)
        self.wait(DUE_S)
        first, second = self.pool.opened[known:]
        self.assertNotEqual(first.address, second.address)
        return transport, first, second

    def wait(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)

    def respond(self, connection, body, status=200):
        """Sends a whole plain response."""
        self.start_response(connection, status)
        connection.deliver(body)
        connection.end()

    def check_body(self, transport, body):
        """Checks that a caller has got one response, with this body."""
        head, _, chunks = transport.value().partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 200 "), head)
        self.assertEqual(chunks, b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body))

    def start_response(self, connection, status=200):
        request_id = (b"x-wasabiknot-attempt-id", connection.request_id)
        headers = (request_id, test_silent_servers.STREAM_HEAD)
        connection.handler.handle_head(responses.Head(status, headers))

    def stream(self, connection, first, last):
        """Sends the events of a stream with these ids, its head before the first."""
        if not connection.is_responding:
            connection.respond()
        for number in range(first, last + 1):
            connection.deliver(test_silent_servers.build_event(number))

    def lose(self, connection):
        connection.handler.handle_loss(connections.LossReason.RESET)

    def list_events(self):
        """Lists the log events of hedges.

        :return: list of pairs of the event and its reason.
        """
        return [
            (item.args[0], item.kwargs.get("reason"))
            for item in self.write.call_args_list
            if item.args[0].name.startswith("HEDGE_")
        ]

    def check_events(self, *expected):
        """Checks the log events of hedges and their reasons after the first one."""
        self.assertEqual(
            self.list_events(), [(events.Event.HEDGE_SENT, None), *expected]
        )

    def check_withheld(self, reason):
        """Checks that one send was made, and why there is no hedge."""
        self.assertEqual(len(self.pool.opened), 1)
        self.assertEqual(self.list_events(), [(events.Event.HEDGE_WITHHELD, reason)])

    def count_sends(self):
        """Returns the sends of the only request that has ended, by the log."""
        (ended,) = [
            item
            for item in self.write.call_args_list
            if item.args[0] is events.Event.ENDED
        ]
        return ended.kwargs["sends"]

    def find_server(self, connection, service):
        number = connection.address.removeprefix("10.0.1.").partition(":")[0]
        return self.deployment.find_server(f"{service}-{number}")

    def check_slots(self, service, count):
        """Checks how many sends occupy slots."""
        dispatcher = self.deployment.get_dispatcher(service)
        sends = sum(len(item.sends) for item in dispatcher.servers.values())
        self.assertEqual(sends, count)

    def check_idle(self):
        """Checks that nothing is left of any request."""
        self.check_slots("pool", 0)
        self.check_slots("desk", 0)
        self.assertEqual(len(self.gateway), 0)
