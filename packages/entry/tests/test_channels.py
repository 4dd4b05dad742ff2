import random
import unittest
from unittest import mock

from twisted.internet import task, testing

from wasabiknot_entry import channels, gateways
from wasabiknot_kernel import routes

GET = b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n"
POST_HEAD = b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\n"
MARGIN_S = channels.IDLE_TIMEOUT_MARGIN_S


class IdleLimitTests(unittest.TestCase):
    def setUp(self):
        self.clock = task.Clock()
        self.deployment = mock.Mock(connect_timeout_s=0.4)
        self.metrics = mock.Mock()
        self.gateway = gateways.Gateway(
            self.clock, random.Random(1), self.deployment, self.metrics
        )
        self.requests = []
        self.gateway.handle_request = self.requests.append
        self.set_limit(10.0)
        self.channel = self.gateway.create_factory().buildProtocol(None)
        self.channel.callLater = self.clock.callLater
        self.transport = testing.StringTransport()
        self.transport.setTcpNoDelay = lambda value: None
        self.transport.abortConnection = mock.Mock()
        self.channel.makeConnection(self.transport)

    def set_limit(self, idle_s):
        limits = routes.Limits(idle_ms=idle_s * 1_000)
        configuration = routes.Configuration(1, (), (), (), limits)
        self.deployment.table.configuration = configuration

    def answer(self):
        request = self.requests.pop(0)
        request.setHeader(b"content-length", b"0")
        request.finish()

    def advance(self, seconds):
        for _ in range(round(seconds * 10)):
            self.clock.advance(0.1)

    def assert_closed_after(self, seconds):
        self.advance(seconds - 0.2)
        self.assertFalse(self.transport.disconnecting)
        self.advance(0.4)
        self.assertTrue(self.transport.disconnecting)
        self.metrics.count_idle_close.assert_called_once_with()

    def test_idle_connection_is_closed_at_the_limit_when_it_was_opened(self):
        # After a version with a longer limit, callers used connections being closed.
        self.channel.dataReceived(GET)
        self.answer()
        self.advance(8.0)
        self.set_limit(30.0)
        self.assert_closed_after(22.0 + MARGIN_S)

    def test_connection_without_a_request_is_closed_at_the_limit_when_it_was_opened(
        self,
    ):
        self.advance(8.0)
        self.set_limit(30.0)
        self.assert_closed_after(22.0 + MARGIN_S)

    def test_shorter_limit_applies_after_the_current_idle_time(self):
        self.channel.dataReceived(GET)
        self.answer()
        self.set_limit(1.0)
        self.advance(9.0)
        self.assertFalse(self.transport.disconnecting)
        self.channel.dataReceived(GET)
        self.answer()
        self.assert_closed_after(1.0 + MARGIN_S)

    def test_request_that_is_answered_is_not_cut_by_the_idle_limit(self):
        self.channel.dataReceived(GET)
        for limit_s in (1.0, 30.0, 0.5):
            self.set_limit(limit_s)
            self.advance(40.0)
        self.assertFalse(self.transport.disconnecting)
        self.answer()
        self.assert_closed_after(0.5 + MARGIN_S)

    def test_request_that_is_answered_is_not_cut_while_the_next_one_arrives(self):
        self.channel.dataReceived(GET + GET + GET[:10])
        self.channel.dataReceived(GET[10:])
        self.set_limit(1.0)
        self.advance(20.0)
        self.answer()
        self.advance(20.0)
        self.answer()
        self.advance(20.0)
        self.assertFalse(self.transport.disconnecting)
        self.assertEqual(len(self.requests), 1)
        self.answer()
        self.assertEqual(self.transport.value().count(b"200 OK"), 3)
        self.assert_closed_after(1.0 + MARGIN_S)

    def test_body_that_pauses_longer_than_the_idle_limit_is_cut_off(self):
        self.set_limit(0.5)
        self.channel.dataReceived(GET)
        self.answer()
        for data in (POST_HEAD[:20], POST_HEAD[20:], b"ab", b"cd"):
            self.advance(2.0 if data == POST_HEAD[:20] else 10.0)
            self.assertFalse(self.transport.disconnecting)
            self.channel.dataReceived(data)
        self.answer()
        self.assertEqual(self.transport.value().count(b"200 OK"), 2)
        self.assert_closed_after(0.5 + MARGIN_S)

    def test_request_that_never_becomes_whole_is_cut(self):
        self.set_limit(0.5)
        self.channel.dataReceived(POST_HEAD + b"ab")
        self.assert_closed_after(channels.MIN_READ_TIMEOUT_S)

    def test_request_that_arrives_while_the_process_is_paused_is_closed(self):
        # The timers run before the sockets are read.
        self.channel.dataReceived(GET)
        self.answer()
        self.clock.advance(30.0)
        self.assertFalse(self.transport.disconnecting)
        self.channel.dataReceived(GET)
        self.answer()
        self.assertFalse(self.transport.disconnecting)
        self.assert_closed_after(10.0 + MARGIN_S)

    def test_last_read_follows_every_idle_time(self):
        for _ in range(2):
            self.channel.dataReceived(GET)
            self.answer()
            self.clock.advance(30.0)
            self.assertFalse(self.transport.disconnecting)

    def test_idle_time_starts_with_the_request_instead_of_its_response(self):
        self.channel.dataReceived(GET)
        self.advance(20.0)
        self.answer()
        self.set_limit(30.0)
        self.assert_closed_after(30.0 + MARGIN_S)
