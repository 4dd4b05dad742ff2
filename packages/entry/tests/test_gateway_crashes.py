import gatewaycases
from twisted.internet import error
from twisted.python import failure

from wasabiknot_kernel import crash_records, part_suspects, prompt_parts, routes

PART = "5c1e07a2"
HEAD = (
    b"HTTP/1.1 200 OK\r\nx-wasabiknot-attempt-id: q1\r\n"
    b"x-wasabiknot-server-stamp: s1\r\n"
)
STREAM_HEAD = HEAD + b"content-type: text/event-stream\r\n"
CHUNKED_HEAD = STREAM_HEAD + b"transfer-encoding: chunked\r\n\r\n"
CHUNK = b"e\r\nid: 1\ndata: a\n\n\r\n"
CLOSED = failure.Failure(error.ConnectionDone())
REFUSED = failure.Failure(error.ConnectionRefusedError())


class PartCrashTests(gatewaycases.GatewayCase):
    """Crashes while a server answers a request with a part that others share."""

    def setUp(self):
        super().setUp()
        route = gatewaycases.build_route(
            retry_rule=routes.RetryRule.STREAM, gap_ms=300, attempts=2
        )
        self.configure(gatewaycases.build_configuration(version=2, routes=(route,)))
        self.deployment.tick(0.0)

    def send(self, request_id="q1"):
        prefix = f"e4402b7d:60,{PART}:400,{request_id}:30".encode()
        head = gatewaycases.build_head(
            request_id, extra=(b"x-wasabiknot-prefix-hash: " + prefix,)
        )
        return self.connect(head)

    def count(self):
        key = prompt_parts.build_key("desk", PART)
        return self.deployment.crashes.count(key)

    def refuse_last_connection(self):
        self.reactor.tcpClients[-1][2].clientConnectionFailed(None, REFUSED)

    def test_stream_that_is_closed_within_a_chunk_has_its_server_checked(self):
        self.send()
        connection = self.accept(0)
        connection.dataReceived(CHUNKED_HEAD + CHUNK + b"10\r\nid: 2")
        connection.connectionLost(CLOSED)
        self.assertEqual(len(self.reactor.tcpClients), 2)
        self.refuse_last_connection()
        self.assertEqual(self.count(), 1)

    def test_stream_without_a_length_that_is_closed_within_an_event_is_a_loss(self):
        self.send()
        connection = self.accept(0)
        connection.dataReceived(STREAM_HEAD + b"\r\nid: 1\ndata: a\n\nid: 2")
        connection.connectionLost(CLOSED)
        self.refuse_last_connection()
        self.assertEqual(self.count(), 1)

    def test_stream_without_a_length_that_ends_with_its_server_speaks_for_no_part(self):
        self.send()
        connection = self.accept(0)
        connection.dataReceived(STREAM_HEAD + b"\r\nid: 1\ndata: a\n\n")
        connection.connectionLost(CLOSED)
        self.assertEqual(len(self.reactor.tcpClients), 2)
        self.refuse_last_connection()
        self.assertEqual(self.count(), 1)

    def test_stream_without_a_length_of_a_server_that_goes_on_is_no_crash(self):
        self.send()
        connection = self.accept(0)
        connection.dataReceived(STREAM_HEAD + b"\r\nid: 1\ndata: a\n\n")
        connection.connectionLost(CLOSED)
        self.accept(1)
        self.advance(1.0)
        self.deployment.tick(self.reactor.seconds())
        self.assertEqual(self.count(), 0)

    def test_refused_request_names_the_part_and_has_not_run(self):
        key = prompt_parts.build_key("desk", PART)
        for number in range(3):
            crash = self.build_crash(key, number)
            self.deployment.crashes.add_stored(crash, self.reactor.seconds())
        answer = self.read_answer(self.send())
        self.assertEqual((answer.status, answer.body), (503, b"quarantined\n"))
        self.assertIn(b"retry-after", answer.head)
        self.assertEqual(self.reactor.tcpClients, [])

    def build_crash(self, key, number):
        return crash_records.Crash(
            key,
            f"w{number}/9",
            request=f"q{number}",
            responses=part_suspects.MIN_OTHER_RESPONSES,
        )
