"""Callers that leave while the event loop or their connection is behind."""

import socket
import struct
import unittest
from unittest import mock

import gatewaycases
from twisted.internet import error
from twisted.python import failure

from wasabiknot_entry import journal, sockets

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Loop:
    """An event loop with a delay."""

    def __init__(self, reactor):
        self._reactor = reactor
        self.turn = 10
        self.delay_s = 0.0

    @property
    def readable_since_s(self):
        return self._reactor.seconds() - self.delay_s


class DepartureCase(gatewaycases.GatewayCase):
    def setUp(self):
        super().setUp()
        self.loop = Loop(self.reactor)
        self.gateway.loop_clock = self.loop

    def connect_caller(self, data):
        """Sends data on a connection whose caller holds the other end of a socket.

        :return: pair of channel and the caller's socket.
        """
        here, caller = socket.socketpair()
        self.addCleanup(here.close)
        self.addCleanup(caller.close)
        channel = self.connect()
        channel.transport.handle = here
        self.loop.turn += 2
        channel.dataReceived(data)
        return channel, caller

    def count_sends(self):
        return len(self.reactor.tcpClients)


class UnreadCloseTests(DepartureCase):
    def free_slot(self):
        """Completes the first request.

        :return: what is sent on its connection then.
        """
        connection = self.accept(0)
        connection.transport.clear()
        self.respond(connection, "q0")
        self.advance(0.1)
        return connection.transport.value()

    def test_waiting_request_is_not_sent_after_its_caller_has_closed(self):
        # Guards against sends for callers whose close the event loop hasn't read yet.
        for number in range(2):
            self.connect(gatewaycases.build_head(f"q{number}"))
        _, caller = self.connect_caller(gatewaycases.build_head("late"))
        caller.close()
        self.assertEqual(self.free_slot(), b"")
        self.assertEqual(self.count_sends(), 2)
        self.assertEqual(len(self.gateway), 1)

    def test_slot_of_a_request_that_is_not_sent_goes_to_the_next_one(self):
        for number in range(2):
            self.connect(gatewaycases.build_head(f"q{number}"))
        _, caller = self.connect_caller(gatewaycases.build_head("late"))
        self.connect(gatewaycases.build_head("next"))
        caller.close()
        self.assertIn(b"next", self.free_slot())

    def refuse_connection(self):
        factory = self.reactor.tcpClients[0][2]
        refused = failure.Failure(error.ConnectionRefusedError())
        factory.clientConnectionFailed(None, refused)
        self.advance(0.5)

    def test_refused_connection_is_followed_by_another_send(self):
        self.register("w2")
        self.connect_caller(gatewaycases.build_head())
        self.refuse_connection()
        self.assertEqual(self.count_sends(), 2)

    def test_request_is_not_sent_again_after_its_caller_has_closed(self):
        self.register("w2")
        _, caller = self.connect_caller(gatewaycases.build_head())
        caller.close()
        self.refuse_connection()
        self.assertEqual(self.count_sends(), 1)
        self.assertEqual(len(self.gateway), 0)

    def test_close_behind_requests_that_are_not_read_ends_the_work(self):
        # Guards against a close that is hidden behind pipelined data.
        channel, caller = self.connect_caller(gatewaycases.build_head())
        connection = self.accept(0)
        channel.dataReceived(b"x" * 20_000)
        self.assertEqual(channel.transport.producerState, "paused")
        self.gateway.check_departures()
        self.assertFalse(channel.transport.is_aborted)
        caller.send(b"x" * 20_000)
        caller.close()
        self.gateway.check_departures()
        self.assertTrue(channel.transport.is_aborted)
        channel.connectionLost(gatewaycases.CLOSED)
        self.assertTrue(connection.transport.is_aborted)
        self.assertEqual(len(self.gateway), 0)

    def test_connection_that_reads_on_is_not_asked_about_its_close(self):
        channel, caller = self.connect_caller(gatewaycases.build_head())
        channel.dataReceived(b"x" * 20_000)
        self.respond(self.accept(0))
        caller.close()
        self.gateway.check_departures()
        self.assertFalse(channel.transport.is_aborted)


class LateReadTests(DepartureCase):
    def test_time_in_the_socket_counts_against_the_deadline(self):
        # Guards against work for a caller whose time was over before the request ends.
        self.loop.delay_s = 1.2
        deadline = b"x-wasabiknot-deadline-ms: 2000"
        self.connect_caller(gatewaycases.build_head(extra=(deadline,)))
        sent = self.accept(0).transport.value()
        _, _, rest = sent.partition(b"deadline-ms: ")
        self.assertLessEqual(float(rest.partition(b"\r\n")[0]), 800)

    def test_request_whose_time_was_over_before_it_was_read_is_refused(self):
        self.loop.delay_s = 1.2
        deadline = b"x-wasabiknot-deadline-ms: 1000"
        head = gatewaycases.build_head(extra=(deadline,))
        channel, _ = self.connect_caller(head)
        (answer,) = self.read_answers(channel)
        self.assertEqual(answer.status, 503)
        self.assertIn(b"retry-after", answer.head)
        self.assertEqual(self.count_sends(), 0)

    def test_first_request_may_have_come_with_its_connection(self):
        self.loop.delay_s = 0.7
        channel = self.connect()
        self.loop.turn += 1
        self.loop.delay_s = 0.0
        deadline = b"x-wasabiknot-deadline-ms: 2000"
        self.reactor.advance(0.3)
        channel.dataReceived(gatewaycases.build_head(extra=(deadline,)))
        sent = self.accept(0).transport.value()
        _, _, rest = sent.partition(b"deadline-ms: ")
        self.assertLessEqual(float(rest.partition(b"\r\n")[0]), 1_000)


class DepartureLogTests(DepartureCase):
    def leave(self, number, accept):
        channel = self.connect(gatewaycases.build_head(f"q{number}"))
        if accept:
            self.accept(number)
        with mock.patch.object(journal, "write") as write:
            channel.connectionLost(gatewaycases.CLOSED)
        (phase,) = [item.kwargs["phase"] for item in write.call_args_list]
        self.metrics.count_departure.assert_called_with(phase)
        return phase

    def test_log_tells_how_far_the_request_was(self):
        self.assertEqual(self.leave(0, accept=True), "sent")
        self.assertEqual(self.leave(1, accept=False), "connecting")
        for number in (2, 3):
            self.connect(gatewaycases.build_head(f"q{number}"))
        self.assertEqual(self.leave(4, accept=False), "waiting")


class SocketTests(unittest.TestCase):
    def connect(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            caller = socket.create_connection(server.getsockname())
            here, _ = server.accept()
        self.addCleanup(caller.close)
        self.addCleanup(here.close)
        return here, caller

    def test_open_connection(self):
        here, caller = self.connect()
        caller.send(b"x" * 100)
        self.assertFalse(sockets.is_closed_by_peer(here))

    def test_close_behind_unread_bytes(self):
        here, caller = self.connect()
        caller.send(b"x" * 100)
        caller.close()
        self.assertTrue(sockets.is_closed_by_peer(here))

    def test_reset(self):
        here, caller = self.connect()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        caller.close()
        self.assertTrue(sockets.is_closed_by_peer(here))

    def test_socket_that_is_closed_here(self):
        here, _ = self.connect()
        here.close()
        self.assertFalse(sockets.is_closed_by_peer(here))
