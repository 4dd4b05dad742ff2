"""What may continue or end a stream of which the caller has got a part."""

import gatewaycases
from twisted.internet import error
from twisted.python import failure

from wasabiknot_kernel import routes

RESET = failure.Failure(error.ConnectionLost())


def build_event(number):
    """Builds an event of a stream."""
    return b"id: %d\ndata: part-%d\n\n" % (number, number)


class BegunStreamTests(gatewaycases.GatewayCase):
    def setUp(self):
        super().setUp()
        route = gatewaycases.build_route(
            retry_rule=routes.RetryRule.STREAM, attempts=2, is_resumable=True
        )
        self.configure(gatewaycases.build_configuration(2, routes=(route,)))
        self.register("w2")
        budget = self.deployment.get_budget("desk")
        budget.has_slack = True

    def respond_in_chunks(self, connection, chunks, status=b"200 OK", is_whole=True):
        """Sends a chunked response with the request's id."""
        head = [
            b"HTTP/1.1 " + status,
            b"x-wasabiknot-attempt-id: q1",
            b"x-wasabiknot-server-stamp: s1",
            b"transfer-encoding: chunked",
        ]
        body = b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
        end = b"0\r\n\r\n" if is_whole else b""
        connection.dataReceived(b"\r\n".join([*head, b"", body]) + end)

    def break_off(self):
        """Starts a stream whose first server ends after two events.

        :return: the caller's channel and the connection to the second server.
        """
        for number in range(40):
            self.deployment.get_budget("desk").record_request(number / 100)
        channel = self.connect(gatewaycases.build_head())
        first = self.accept(0)
        self.respond_in_chunks(first, [build_event(1), build_event(2)], is_whole=False)
        first.connectionLost(RESET)
        self.advance(0.1)
        second = self.accept(len(self.reactor.tcpClients) - 1)
        self.assertIn(b"last-event-id: 2", second.transport.value().lower())
        return channel, second

    def check_cut(self, channel):
        written = channel.transport.value()
        self.assertTrue(written.endswith(b"part-2\n\n\r\n"), written)
        self.assertTrue(channel.transport.disconnecting)

    def test_events_of_the_next_server_continue_the_stream(self):
        channel, second = self.break_off()
        self.respond_in_chunks(second, [build_event(3)])
        written = channel.transport.value()
        self.assertIn(b"part-3", written)
        self.assertTrue(written.endswith(b"0\r\n\r\n"), written)

    def test_error_of_the_next_server_is_not_written_into_the_stream(self):
        # Guards against an error's text in the middle of a stream that looks complete.
        for status in (b"404 Not Found", b"409 Conflict", b"302 Found", b"204 Nothing"):
            with self.subTest(status=status):
                self.setUp()
                channel, second = self.break_off()
                self.respond_in_chunks(second, [b"no such stream\n"], status)
                self.check_cut(channel)

    def test_next_server_without_an_event_does_not_end_the_stream(self):
        # Guards against a stream that looks complete although events are missing.
        channel, second = self.break_off()
        self.respond_in_chunks(second, [])
        self.check_cut(channel)

    def test_failure_of_the_next_server_cuts_the_stream(self):
        channel, second = self.break_off()
        self.respond_in_chunks(second, [b"x"], b"500 Failed")
        self.check_cut(channel)
