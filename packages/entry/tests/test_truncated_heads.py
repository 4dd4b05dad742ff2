"""Servers that stop within the head of a response, or within its body, and close."""

import gatewaycases
from twisted.internet import error
from twisted.python import failure

from wasabiknot_kernel import routes

FIELDS = (
    b"HTTP/1.1 200 OK",
    b"x-wasabiknot-attempt-id: q1",
    b"x-wasabiknot-server-stamp: s1",
)
BODIES = {
    "length": (b"content-length: 20", b"part-1 part-2 part-3"),
    "chunks": (b"transfer-encoding: chunked", b"6\r\npart-1\r\n0\r\n\r\n"),
    "close": (b"connection: close", b"part-1"),
    "empty": (b"content-length: 0", b""),
}
ENDS = {
    "closed": failure.Failure(error.ConnectionDone()),
    "reset": failure.Failure(error.ConnectionLost()),
}


class TruncatedResponseTests(gatewaycases.GatewayCase):
    def play(self, data, end):
        """Plays a server that sends something and ends the connection.

        :return: what the caller has got, and whether its connection is closed.
        """
        self.setUp()
        channel = self.connect(gatewaycases.build_head())
        connection = self.accept(0)
        connection.dataReceived(data)
        connection.connectionLost(end)
        self.advance(0.2)
        return channel.transport.value(), channel.transport.disconnecting

    def check_not_whole(self, data, end):
        written, is_closed = self.play(data, end)
        if written.startswith(b"HTTP/1.1 502"):
            return
        self.assertFalse(written.endswith(b"0\r\n\r\n"), written)
        self.assertNotIn(b"content-length", written.lower())
        self.assertTrue(is_closed)

    def test_response_cut_within_its_head_never_looks_whole(self):
        # Guards against a success with an empty or short body, framed as whole.
        for kind, (field, _) in BODIES.items():
            head = b"\r\n".join([*FIELDS, field, b"", b""])
            for size in range(1, len(head) - 1):
                for name, end in ENDS.items():
                    with self.subTest(kind=kind, size=size, end=name):
                        self.check_not_whole(head[:size], end)

    def test_response_cut_within_its_body_never_looks_whole(self):
        for kind in ("length", "chunks"):
            field, body = BODIES[kind]
            head = b"\r\n".join([*FIELDS, field, b"", b""])
            for size in range(len(body)):
                for name, end in ENDS.items():
                    with self.subTest(kind=kind, size=size, end=name):
                        self.check_not_whole(head + body[:size], end)

    def test_response_without_length_that_is_reset_is_not_whole(self):
        field, body = BODIES["close"]
        head = b"\r\n".join([*FIELDS, field, b"", b""])
        self.check_not_whole(head + body, ENDS["reset"])

    def test_response_without_length_that_is_closed_is_whole(self):
        field, body = BODIES["close"]
        head = b"\r\n".join([*FIELDS, field, b"", b""])
        written, _ = self.play(head + body, ENDS["closed"])
        self.assertTrue(written.startswith(b"HTTP/1.1 200"), written)

    def test_request_after_a_response_without_length_gets_a_connection(self):
        # Guards against a request that hangs on the connection which ended before it.
        self.connect(gatewaycases.build_head("q0"))
        head = [*FIELDS[:1], FIELDS[1].replace(b"q1", b"q0"), FIELDS[2], b"", b"part-1"]
        connection = self.accept(0)
        connection.dataReceived(b"\r\n".join(head))
        connection.connectionLost(ENDS["closed"])
        channel = self.connect(gatewaycases.build_head())
        # The first new connection only shows that the server goes on.
        self.respond(self.accept(2))
        self.assertEqual(self.read_answer(channel).status, 200)


class TruncatedStreamTests(TruncatedResponseTests):
    """The same of streams, which are relayed as they arrive."""

    def setUp(self):
        super().setUp()
        rule = routes.RetryRule.STREAM
        route = gatewaycases.build_route(retry_rule=rule)
        self.configure(gatewaycases.build_configuration(2, routes=(route,)))

    def test_request_after_a_response_without_length_gets_a_connection(self):
        self.connect(gatewaycases.build_head("q0"))
        head = [*FIELDS[:1], FIELDS[1].replace(b"q1", b"q0"), FIELDS[2], b"", b""]
        connection = self.accept(0)
        connection.dataReceived(b"\r\n".join(head) + b"id: 1\ndata: x\n\n")
        connection.connectionLost(ENDS["closed"])
        channel = self.connect(gatewaycases.build_head())
        self.respond(self.accept(2), body=b"id: 1\ndata: x\n\n")
        self.assertTrue(channel.transport.value().startswith(b"HTTP/1.1 200"))

    def test_response_without_length_that_is_closed_is_whole(self):
        field, _ = BODIES["close"]
        head = b"\r\n".join([*FIELDS, field, b"", b""])
        written, _ = self.play(head + b"id: 1\ndata: x\n\n", ENDS["closed"])
        self.assertTrue(written.endswith(b"0\r\n\r\n"), written)
