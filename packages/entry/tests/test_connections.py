import random
import unittest
import weakref
from unittest import mock

import hypothesis
import silent_servers
from hypothesis import strategies
from twisted.internet import error, task, testing
from twisted.python import failure

from wasabiknot_entry import (
    connections,
    gateways,
    pools,
    request_senders,
    sockets,
)

REQUEST = connections.Request(b"GET", b"/a", ((b"host", b"h"),))
HOST = (b"host", b"h")
RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class RecordingHandler:
    def __init__(self):
        self.received = []

    def handle_head(self, head):
        self.received.append(head.status)

    def handle_data(self, data, weight_bytes):
        self.received.append(data)

    def handle_end(self):
        self.received.append("end")

    def handle_loss(self, reason):
        self.received.append(reason)


class CopySkipper(RecordingHandler):
    """Takes the first response for a copy of an earlier one."""

    def __init__(self, connection, copies=1):
        super().__init__()
        self._connection = connection
        self._copies = copies

    def handle_head(self, head):
        if self._copies:
            self._copies -= 1
            self._connection.skip_response()
        else:
            super().handle_head(head)


class FakeTransport(testing.StringTransport):
    producerState = "producing"  # noqa: N815

    def pauseProducing(self):  # noqa: N802
        self.producerState = "paused"

    def resumeProducing(self):  # noqa: N802
        self.producerState = "producing"

    def setTcpNoDelay(self, value):  # noqa: N802
        pass

    def getHandle(self):  # noqa: N802
        return self

    def setsockopt(self, *options):
        pass

    def fileno(self):
        return -1

    def abortConnection(self):  # noqa: N802
        self.disconnecting = True


def disconnect(connection, reason):
    connection.connectionLost(failure.Failure(reason))


class ConnectionCase(unittest.TestCase):
    """A test with a connection in memory."""

    def setUp(self):
        self.clock = task.Clock()
        self.pool = pools.Pool(self.clock, 1.0)
        self.connection = connections.Connection(self.pool, "10.0.0.1:80")
        self.transport = FakeTransport()
        self.connection.makeConnection(self.transport)
        self.handler = RecordingHandler()

    def send(self):
        self.connection.send(REQUEST, self.handler)

    def pop_idle(self):
        return self.pool._pop_idle("10.0.0.1:80", 10.0)


class ConnectionTests(ConnectionCase):
    def test_connection_is_reused_after_complete_response(self):
        self.send()
        self.connection.dataReceived(RESPONSE)
        self.assertEqual(self.handler.received, [200, b"ok", "end"])
        self.assertIs(self.pop_idle(), self.connection)

    def test_bytes_after_response_close_connection(self):
        self.send()
        self.connection.dataReceived(RESPONSE + b"HTTP/1.1 200 OK\r\n\r\n")
        self.assertEqual(self.handler.received, [200, b"ok", "end"])
        self.assertTrue(self.transport.disconnecting)
        self.assertIsNone(self.pop_idle())

    def test_late_second_response_is_skipped_and_the_due_one_delivered(self):
        # Guards against a lost response, and against that of another caller.
        for split in range(1, 2 * len(RESPONSE)):
            with self.subTest(split=split):
                self.setUp()
                self.handler = CopySkipper(self.connection)
                self.send()
                data = RESPONSE.replace(b"ok", b"no") + RESPONSE
                self.connection.dataReceived(data[:split])
                self.connection.dataReceived(data[split:])
                status, *body, end = self.handler.received
                self.assertEqual((status, b"".join(body), end), (200, b"ok", "end"))
                self.assertEqual(self.transport.value().count(b"GET /a"), 1)
                self.assertTrue(self.transport.disconnecting)
                self.assertIsNone(self.pop_idle())

    def test_second_responses_without_end_are_a_loss(self):
        floods = {
            "copies": RESPONSE * 10,
            "body": b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
            b"10000\r\n" + b"a" * 0x10000,
            "closed": b"HTTP/1.1 200 OK\r\nconnection: close\r\n"
            b"content-length: 0\r\n\r\n",
        }
        for name, data in floods.items():
            with self.subTest(name=name):
                self.setUp()
                self.handler = CopySkipper(self.connection, copies=100)
                self.send()
                self.connection.dataReceived(data)
                while name == "body" and not self.transport.disconnecting:
                    self.connection.dataReceived(b"\r\n10000\r\n" + b"a" * 0x10000)
                self.assertEqual(
                    self.handler.received, [connections.LossReason.MALFORMED]
                )
                self.assertTrue(self.transport.disconnecting)

    def test_bytes_without_end_before_the_body_end_the_connection(self):
        floods = {
            "head": (b"HTTP/1.1 200 OK\r\nx: ", b"a" * 4_096),
            "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
            "no response": (b"", b"\0" * 4_096),
            "chunk size": (
                b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
                b"0" * 4_096,
            ),
            "trailer": (
                b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\nx: ",
                b"a" * 4_096,
            ),
        }
        for name, (start, repeated) in floods.items():
            with self.subTest(name):
                self.setUp()
                self.send()
                self.connection.dataReceived(start + repeated)
                sent_bytes = 0
                while not self.transport.disconnecting and sent_bytes < 1_000_000:
                    self.connection.dataReceived(repeated)
                    sent_bytes += len(repeated)
                self.assertLess(sent_bytes, 100_000)
                lost = connections.LossReason.MALFORMED
                self.assertEqual(self.handler.received[-1], lost)

    def test_paused_connection_reads_again_once_its_response_has_ended(self):
        self.send()
        self.connection.pause()
        self.assertEqual(self.transport.producerState, "paused")
        self.connection.dataReceived(RESPONSE)
        self.assertEqual(self.transport.producerState, "producing")

    def test_unsolicited_response_closes_connection(self):
        self.send()
        self.connection.dataReceived(RESPONSE)
        self.connection.dataReceived(RESPONSE)
        self.assertTrue(self.transport.disconnecting)
        self.assertIsNone(self.pop_idle())

    def test_truncated_response_has_no_end(self):
        self.send()
        self.connection.dataReceived(RESPONSE[:-1])
        disconnect(self.connection, error.ConnectionDone())
        self.assertNotIn("end", self.handler.received)

    def test_response_without_length_ends_at_close(self):
        self.send()
        self.connection.dataReceived(b"HTTP/1.1 200 OK\r\n\r\nok")
        disconnect(self.connection, error.ConnectionDone())
        self.assertEqual(self.handler.received[-1], "end")

    def test_connection_that_has_ended_with_its_response_is_not_reused(self):
        # Guards against a request that is written into a closed connection and lost.
        self.send()
        self.connection.dataReceived(b"HTTP/1.1 200 OK\r\n\r\nok")
        disconnect(self.connection, error.ConnectionDone())
        self.assertIsNone(self.pop_idle())
        self.assertFalse(self.pool.has_idle("10.0.0.1:80"))

    def test_reset_of_response_without_length_is_loss(self):
        self.send()
        self.connection.dataReceived(b"HTTP/1.1 200 OK\r\n\r\nok")
        disconnect(self.connection, error.ConnectionLost())
        self.assertEqual(self.handler.received[-1], connections.LossReason.RESET)

    def test_malformed_response_is_loss(self):
        self.send()
        self.connection.dataReceived(b"\x00\x01garbage\r\n\r\n")
        self.assertEqual(self.handler.received, [connections.LossReason.MALFORMED])
        self.assertTrue(self.transport.disconnecting)

    def test_server_idle_timeout_limits_reuse(self):
        self.send()
        self.connection.set_idle_timeout(1.0)
        self.connection.dataReceived(RESPONSE)
        self.clock.advance(0.9)
        self.assertIsNone(self.pop_idle())

    def test_max_idle_time_limits_reuse(self):
        self.send()
        self.connection.dataReceived(RESPONSE)
        self.clock.advance(2.5)
        self.assertIsNone(self.pool._pop_idle("10.0.0.1:80", 2.0))

    def test_closed_connection_is_removed_from_pool(self):
        self.send()
        self.connection.dataReceived(RESPONSE)
        disconnect(self.connection, error.ConnectionDone())
        self.assertIsNone(self.pop_idle())

    def test_reused_connection_of_a_silent_server_stays_open_until_its_response(self):
        self.send()
        self.connection.set_idle_timeout(2.0)
        self.connection.dataReceived(RESPONSE)
        self.clock.advance(1.0)
        self.assertIs(self.pop_idle(), self.connection)
        self.send()
        for _ in range(20):
            self.clock.advance(0.2)
            self.pool.close_expired()
            self.pool.close_idle("10.0.0.1:80")
        self.assertFalse(self.transport.disconnecting)
        self.connection.dataReceived(RESPONSE)
        self.assertEqual(self.handler.received[-3:], [200, b"ok", "end"])

    def test_idle_connection_is_closed_once_its_time_has_passed(self):
        self.send()
        self.connection.set_idle_timeout(2.0)
        self.connection.dataReceived(RESPONSE)
        self.clock.advance(1.1)
        self.pool.close_expired()
        self.assertFalse(self.transport.disconnecting)
        self.clock.advance(0.2)
        self.pool.close_expired()
        self.assertTrue(self.transport.disconnecting)
        self.assertIsNone(self.pop_idle())


class LongRequestTests(ConnectionCase):
    BODY = bytes(range(256)) * 4_000

    def setUp(self):
        super().setUp()
        length = str(len(self.BODY)).encode()
        headers = ((b"host", b"h"), (b"content-length", length))
        request = connections.Request(b"POST", b"/a", headers, self.BODY)
        self.connection.send(request, self.handler)

    def take_all(self):
        """Has the transport write all that it gets."""
        written = b""
        while True:
            written += self.transport.value()
            self.transport.clear()
            if self.transport.producer is None:
                return written
            self.transport.producer.resumeProducing()

    def test_long_body_is_handed_to_the_transport_in_parts(self):
        # Guards against an entry that holds each body several times.
        parts = 2 * request_senders.PART_BYTES
        self.assertLess(len(self.transport.value()), parts)
        written = self.take_all()
        self.assertTrue(written.endswith(b"\r\n\r\n" + self.BODY))
        self.connection.dataReceived(RESPONSE)
        self.assertIs(self.pop_idle(), self.connection)

    def test_connection_with_an_unsent_rest_is_ended_with_the_response(self):
        # Guards against memory that fills with bodies which no server wants any more.
        self.connection.dataReceived(RESPONSE)
        self.assertEqual(self.handler.received, [200, b"ok", "end"])
        self.assertTrue(self.transport.disconnecting)
        self.assertIsNone(self.transport.producer)
        self.assertIsNone(self.pop_idle())

    def test_kept_or_ended_connection_does_not_hold_the_body(self):
        # Guards against a pool that holds the last body of each of its connections.
        for end in ("kept", "closed", "aborted"):
            with self.subTest(end=end):
                self.setUp()
                body = memoryview(self.BODY)
                held = weakref.ref(body)
                connection = connections.Connection(self.pool, "10.0.0.1:80")
                connection.makeConnection(FakeTransport())
                headers = ((b"content-length", str(len(body)).encode()), HOST)
                request = connections.Request(b"POST", b"/a", headers, body)
                connection.send(request, self.handler)
                del body, request
                if end == "kept":
                    self.transport = connection.transport
                    self.take_all()
                    connection.dataReceived(RESPONSE)
                elif end == "closed":
                    connection.dataReceived(RESPONSE)
                else:
                    connection.abort()
                self.assertIsNone(held())

    def test_lost_connection_drops_the_rest(self):
        sender = self.transport.producer
        sender.stopProducing()
        disconnect(self.connection, error.ConnectionLost())
        self.assertTrue(sender.is_done)
        self.assertEqual(self.handler.received, [connections.LossReason.RESET])


class ResponseEndTests(ConnectionCase):
    """Orders in which the end of a response meets the writing of its request."""

    BODY = bytes(100_000)
    EVENTS = ("data", "write", "acknowledge", "end", "reset", "pause", "resume", "tick")

    def setUp(self):
        super().setUp()
        self.queue = sockets.SendQueue(1, 1, 0, 0)
        self.is_written = self.is_ended = self.is_reset = False
        headers = (HOST, (b"content-length", str(len(self.BODY)).encode()))
        request = connections.Request(b"POST", b"/a", headers, self.BODY)
        self.connection.send(request, self.handler)
        self.connection.dataReceived(b"HTTP/1.1 200 OK\r\n\r\n")

    def play(self, event):
        """Plays an event, unless it can't happen any more."""
        producer = self.transport.producer
        if event == "write" and producer is not None:
            producer.resumeProducing()
            self.is_written = self.transport.producer is None
        elif event == "acknowledge":
            self.queue = sockets.SendQueue(0, 0, 0, 0, self.queue.is_closed)
        elif event == "data" and not self.is_ended and not self.is_reset:
            self.connection.dataReceived(b"x" * 5_000)
        elif event == "end" and not self.is_ended and not self.is_reset:
            self.is_ended = True
            self.connection.readConnectionLost()
        elif event == "reset" and not self.is_reset:
            self.is_reset = True
            self.queue = sockets.SendQueue(0, 0, 0, 0, is_closed=True)
            if not self.is_ended:
                disconnect(self.connection, error.ConnectionLost())
        elif event == "pause" and not self.transport.disconnecting:
            self.connection.pause()
        elif event == "resume" and not self.transport.disconnecting:
            self.connection.resume()
        elif event == "tick":
            self.clock.advance(0.1)

    @hypothesis.settings(max_examples=1_000)
    @hypothesis.given(strategies.lists(strategies.sampled_from(EVENTS), max_size=25))
    def test_response_is_complete_only_if_its_server_took_the_request(self, events):
        # Guards against a part that the caller gets as a complete response.
        self.setUp()
        with mock.patch.object(sockets, "read_send_queue", lambda handle: self.queue):
            for event in events:
                was_complete = "end" in self.handler.received
                self.play(event)
                if was_complete or "end" not in self.handler.received:
                    continue
                self.assertTrue(self.is_ended)
                self.assertFalse(self.is_reset)
                self.assertTrue(self.is_written)
                self.assertTrue(self.queue.is_empty)
            if self.is_ended or self.is_reset:
                self.connection.resume()
                self.clock.pump([0.1] * 40)
                last = self.handler.received[-1]
                self.assertTrue(last == "end" or type(last) is connections.LossReason)
                self.assertEqual(self.clock.getDelayedCalls(), [])


class RealSocketCase(unittest.TestCase):
    """A test with connections to servers on real sockets."""

    def setUp(self):
        self.reactor = silent_servers.create_reactor()
        deployment = mock.Mock(connect_timeout_s=1.0)
        gateway = gateways.Gateway(
            self.reactor, random.Random(1), deployment, mock.Mock()
        )
        self.pool = gateway.pool
        check = task.LoopingCall(gateway.check_connections)
        check.clock = self.reactor
        check.start(pools.CHECK_INTERVAL_S, now=False)

    def call_all(self, servers):
        return silent_servers.call_all(self.reactor, self.pool, servers)


class UnreadRequestTests(RealSocketCase):
    def test_connection_is_not_reused_while_its_server_leaves_the_request_unread(self):
        # Guards against a request that waits until the server reads an earlier one.
        early = silent_servers.SilentServer(body_bytes=1_000_000, is_early=True)
        with mock.patch.object(self.pool, "release") as release:
            (receiver,) = self.call_all([early])
        self.assertEqual(receiver.received, [200, b"ok", "end"])
        release.assert_not_called()


class SilenceTests(RealSocketCase):
    def test_request_is_not_lost_as_server_is_silent_for_two_seconds(self):
        servers = {
            "long body unread": {"body_bytes": 3_000_000, "unread_s": 2.0},
            "cut off at the request": {"cut_off_s": 2.0},
            "cut off at work": {"work_s": 1.9, "cut_off_s": 2.0},
            "cut off before the first probe": {"work_s": 0.9, "cut_off_s": 2.0},
        }
        started = [silent_servers.SilentServer(**item) for item in servers.values()]
        receivers = self.call_all(started)
        for name, receiver in zip(servers, receivers, strict=True):
            with self.subTest(name):
                self.assertEqual(receiver.received, [200, b"ok", "end"])

    def test_server_that_is_silent_for_good_is_found_within_five_seconds(self):
        servers = [
            silent_servers.SilentServer(cut_off_s=60.0),
            silent_servers.SilentServer(work_s=0.1, cut_off_s=60.0),
            silent_servers.SilentServer(body_bytes=3_000_000, cut_off_s=60.0),
        ]
        receivers = self.call_all(servers)
        for receiver in receivers:
            self.assertEqual(receiver.received, [connections.LossReason.RESET])
            self.assertLess(receiver.ended_after_s, 5.0)

    def test_request_is_not_lost_as_its_server_reads_the_body_later(self):
        # Guards against answers that are cut while a server leaves a long body unread.
        servers = [
            silent_servers.SilentServer(body_bytes=size, unread_s=6.0)
            for size in (100_000, 3_000_000)
        ]
        for receiver in self.call_all(servers):
            self.assertEqual(receiver.received, [200, b"ok", "end"])

    def test_host_that_is_gone_while_its_server_did_not_read_is_found(self):
        server = silent_servers.SilentServer(
            body_bytes=3_000_000, unread_s=60.0, dies_s=2.0
        )
        (receiver,) = self.call_all([server])
        self.assertEqual(receiver.received, [connections.LossReason.RESET])
        # Kernels that double the interval between probes take longer.
        self.assertLess(receiver.ended_after_s, 2.0 + 5.0)
