"""A gateway whose callers and backend servers are in memory."""

import collections
import random
import unittest
from unittest import mock

from twisted.internet import error, testing
from twisted.python import failure

from wasabiknot_entry import gateways
from wasabiknot_kernel import (
    allowances,
    deployments,
    members,
    registrations,
    routes,
)

POLICY = deployments.Policy(
    0.2, 10.0, 50.0, allowances.Tolerance(8.0, 0.1, 140_000), 0.1
)
STEP_S = 0.05
CLOSED = failure.Failure(error.ConnectionDone())

# A complete answer to a caller.
Answer = collections.namedtuple("Answer", ("status", "head", "body"))


class DeploymentView:
    """Stands in for ``deployment_views.DeploymentView``."""

    connect_timeout_s = 0.4

    def __init__(self, deployment):
        self.deployment = deployment

    def __getattr__(self, name):
        return getattr(self.deployment, name)

    def compute_known_age_ms(self):
        return 0

    def compute_read_age_ms(self):
        return 0

    @property
    def is_held(self):
        return self.pauses.is_held(0.0)


def build_deployment(member=None):
    """Builds the state of an entry without a configuration."""
    member = member or members.Member("e1", "r1", "10.0.0.1", 7000)
    return deployments.Deployment(member, POLICY, random.Random(1))


def build_gateway(reactor, deployment, metrics=None):
    """Builds a gateway over the state of an entry."""
    view = DeploymentView(deployment)
    return gateways.Gateway(reactor, random.Random(1), view, metrics or mock.Mock())


class Transport(testing.StringTransport):
    """A connection in memory."""

    def __init__(self, peer_address=None):
        super().__init__(peerAddress=peer_address)
        self.is_aborted = False
        # A socket that is closed here; a test may put an open one.
        self.handle = mock.Mock(fileno=lambda: -1)

    def setTcpNoDelay(self, value):  # noqa: N802
        pass

    def getHandle(self):  # noqa: N802
        return self.handle

    def abortConnection(self):  # noqa: N802
        self.is_aborted = True


def build_route(**changes):
    """Builds a route of plain requests that may run once."""
    fields = {
        "name": "draft",
        "host": "a.example",
        "prefix": "/draft/",
        "retry_rule": routes.RetryRule.ONCE,
        "shares": (routes.TrafficShare("desk", 1),),
        "timeout_ms": 10_000,
        "objective_ms": 300,
        "gap_ms": 0,
        "rank": 1,
        "attempts": 1,
        "is_public": False,
        "is_resumable": False,
    }
    return routes.Route(**{**fields, **changes})


def build_configuration(version=1, **changes):
    """Builds a configuration with one route, one service and one customer."""
    fields = {
        "version": version,
        "routes": (build_route(),),
        "services": (routes.Service("desk", "/", 10, None),),
        "customers": (routes.Customer("graz", ("k1",), 0, 0.0, 0.0, 200),),
        "limits": routes.Limits(),
    }
    return routes.Configuration(**{**fields, **changes})


def build_head(request_id="q1", method=b"GET", target=b"/draft/x", extra=()):
    """Builds the head of a request that is admitted."""
    fields = [
        b"%s %s HTTP/1.1" % (method, target),
        b"host: a.example",
        b"x-api-key: k1",
        b"x-wasabiknot-attempt-id: " + request_id.encode(),
        *extra,
    ]
    return b"\r\n".join([*fields, b"", b""])


class GatewayCase(unittest.TestCase):
    """A test with a gateway, its callers and one backend server with two slots."""

    def setUp(self):
        self.reactor = testing.MemoryReactorClock()
        self.deployment = build_deployment()
        self.metrics = mock.Mock()
        self.gateway = build_gateway(self.reactor, self.deployment, self.metrics)
        self.factory = self.gateway.create_factory()
        self.configure(build_configuration())
        self.deployment.has_servers = True
        self.deployment.has_crashes = True
        self.register("w1")

    def configure(self, configuration):
        """Puts a configuration in force."""
        now_s = self.reactor.seconds()
        table = routes.RouteTable(configuration)
        self.assertTrue(self.deployment.apply_configuration(table, now_s))

    def register(self, server_id, service="desk", slots=2):
        """Registers a backend server."""
        state = registrations.ServerState.READY
        registration = registrations.Registration(
            server_id, service, "10.0.0.9:80", "d", "v1", slots, state
        )
        self.deployment.apply_registration(registration, self.reactor.seconds())

    def connect(self, data=b""):
        """Opens a caller's connection and sends the data."""
        channel = self.factory.buildProtocol(None)
        channel.callLater = self.reactor.callLater
        transport = Transport()
        channel.makeConnection(transport)
        channel.dataReceived(data)
        return channel

    def advance(self, seconds):
        """Lets time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.reactor.advance(STEP_S)

    def accept(self, number):
        """Accepts a connection to a backend server.

        :param number: number of the connection, from 0.
        :return: its ``connections.Connection``, with the request sent.
        """
        factory = self.reactor.tcpClients[number][2]
        connection = factory.buildProtocol(None)
        connection.makeConnection(Transport())
        return connection

    def respond(self, connection, request_id="q1", body=b"ok", status=b"200 OK"):
        """Sends the complete response of a backend server."""
        head = [
            b"HTTP/1.1 " + status,
            b"x-wasabiknot-attempt-id: " + request_id.encode(),
            b"x-wasabiknot-server-stamp: s1",
            b"content-length: %d" % len(body),
        ]
        connection.dataReceived(b"\r\n".join([*head, b"", body]))

    def read_answers(self, channel):
        """Reads the complete answers that a caller has got.

        :return: list of ``Answer``.
        """
        data = channel.transport.value()
        answers = []
        while data:
            head, separator, rest = data.partition(b"\r\n\r\n")
            self.assertTrue(separator, data)
            lines = head.split(b"\r\n")
            fields = dict(line.lower().split(b": ", 1) for line in lines[1:])
            size = int(fields[b"content-length"])
            self.assertGreaterEqual(len(rest), size)
            status = int(lines[0].split()[1])
            answers.append(Answer(status, fields, rest[:size]))
            data = rest[size:]
        return answers

    def read_answer(self, channel):
        """Reads the only answer that a caller has got."""
        (answer,) = self.read_answers(channel)
        return answer


def send_stream_request(gateway, clock, route, request_id, extra=()):
    """Sends a request for a stream over a new connection of a caller.

    :return: ``Transport`` of the caller.
    """
    channel = gateway.create_factory().buildProtocol(None)
    transport = Transport()
    channel.callLater = clock.callLater
    channel.makeConnection(transport)
    lines = (
        b"POST /%s/x HTTP/1.1" % route,
        b"host: a.example",
        b"x-wasabiknot-attempt-id: %s" % request_id,
        b"x-wasabiknot-deadline-ms: 10000",
        b"x-wasabiknot-token-count: 200,60",
        b"content-length: 0",
        *extra,
        b"",
        b"",
    )
    channel.dataReceived(b"\r\n".join(lines))
    return transport
