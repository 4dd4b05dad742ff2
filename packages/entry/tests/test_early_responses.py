"""Servers that answer without a length before they have read the request."""

import contextlib
import socket
import struct
import threading
import unittest

import silent_servers
from twisted.internet import epollreactor, selectreactor

from wasabiknot_entry import connections, liveness, pools, response_ends

LONG_BYTES = 1_500_000
SHORT_BYTES = 10
HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
PART = b"part"
DELAYS_S = (0.0, 0.005, 0.06)
RESET = struct.pack("ii", 1, 0)
SUCCESS = [200, PART, "end"]


def reset(connection):
    """Ends a connection with a reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    connection.close()


class EarlyServer:
    """Reads the head of one request, answers without a length, and ends somehow.

    :param end: function of the connection and of the bytes that it hasn't read.
    :param body_bytes: length of the request body.
    """

    def __init__(self, end, body_bytes=LONG_BYTES):
        self.body_bytes = body_bytes
        self._end = end
        self._closed = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self):
        connection, _ = self._listener.accept()
        with connection, contextlib.suppress(OSError):
            received = b""
            while silent_servers.HEAD_END not in received:
                received += connection.recv(256)
            body = received.partition(silent_servers.HEAD_END)[2]
            connection.sendall(HEAD + PART)
            self._end(self, connection, self.body_bytes - len(body))

    def wait(self, delay_s):
        self._closed.wait(delay_s)

    def wait_for_accept(self):
        pass

    def close(self):
        self._closed.set()
        self._listener.close()
        self._thread.join(silent_servers.MAX_RUN_S)


def read_rest(server, connection, left_bytes):
    """Reads the rest of a request slowly."""
    while left_bytes > 0 and (data := connection.recv(65_536)):
        left_bytes -= len(data)
        server.wait(0.005)


def create_reset(delay_s, is_half_closed):
    """Creates an end with a reset, after the end of what the server sends or not."""

    def end(server, connection, left_bytes):
        if is_half_closed:
            connection.shutdown(socket.SHUT_WR)
        server.wait(delay_s)
        reset(connection)

    return end


def shut_down_and_close(server, connection, left_bytes):
    connection.shutdown(socket.SHUT_WR)


def close_unread(server, connection, left_bytes):
    pass


def stand_still(server, connection, left_bytes):
    connection.shutdown(socket.SHUT_WR)
    server.wait(silent_servers.MAX_RUN_S)


def read_and_close(server, connection, left_bytes):
    read_rest(server, connection, left_bytes)


def read_and_half_close(server, connection, left_bytes):
    read_rest(server, connection, left_bytes)
    connection.shutdown(socket.SHUT_WR)
    server.wait(1.0)


def half_close_and_read(server, connection, left_bytes):
    connection.shutdown(socket.SHUT_WR)
    server.wait(0.3)
    read_rest(server, connection, left_bytes)


SOUND_ENDS = (read_and_close, read_and_half_close, half_close_and_read)
BROKEN_ENDS = (
    *(create_reset(delay_s, True) for delay_s in DELAYS_S),
    *(create_reset(delay_s, False) for delay_s in DELAYS_S),
    shut_down_and_close,
    close_unread,
)


class EarlyResponseTests(unittest.TestCase):
    create_reactor = staticmethod(selectreactor.SelectReactor)

    def call_all(self, servers):
        reactor = self.create_reactor()
        pool = pools.Pool(reactor, 1.0, silence=liveness.SERVER_SILENCE)
        return silent_servers.call_all(reactor, pool, servers)

    def test_part_of_a_response_to_a_request_left_unread_is_not_complete(self):
        # Guards against a part that the caller gets as a complete response.
        servers = [
            EarlyServer(end, size_bytes)
            for end in BROKEN_ENDS
            for size_bytes in (20_000, 60_000, 200_000, LONG_BYTES)
        ]
        for number, receiver in enumerate(self.call_all(servers)):
            with self.subTest(number):
                self.assertIsInstance(
                    receiver.received[-1], connections.LossReason, receiver.received
                )

    def test_response_that_ends_in_order_is_complete_once_its_request_is_read(self):
        servers = [
            EarlyServer(end, size_bytes)
            for end in SOUND_ENDS
            for size_bytes in (SHORT_BYTES, 20_000, LONG_BYTES)
        ]
        for number, receiver in enumerate(self.call_all(servers)):
            with self.subTest(number):
                self.assertEqual(receiver.received, SUCCESS)

    def test_server_that_neither_reads_nor_resets_is_given_up(self):
        # Guards against a request that waits until its time is over.
        (receiver,) = self.call_all([EarlyServer(stand_still)])
        self.assertEqual(receiver.received[-1], connections.LossReason.UNREAD)
        self.assertLess(receiver.ended_after_s, response_ends.MAX_LINGER_S + 1.0)

    def test_part_held_back_for_a_slow_caller_is_not_complete_after_a_reset(self):
        reactor = self.create_reactor()
        pool = pools.Pool(reactor, 1.0, silence=liveness.SERVER_SILENCE)
        receivers = []
        resumed = []

        class PausingReceiver(silent_servers.Receiver):
            def handle_head(self, head):
                super().handle_head(head)
                self.connection.pause()
                reactor.callLater(0.3, resumed.append, self.connection)
                reactor.callLater(0.3, self.connection.resume)

        def stop_after_last():
            if all(item.ended_after_s is not None for item in receivers):
                reactor.stop()

        def send(connection, receiver):
            receiver.connection = connection
            headers = ((b"host", b"h"), (b"content-length", b"%d" % LONG_BYTES))
            body = b"x" * LONG_BYTES
            request = connections.Request(b"POST", b"/a", headers, body)
            connection.send(request, receiver)

        servers = [EarlyServer(end) for end in BROKEN_ENDS]
        for server in servers:
            receiver = PausingReceiver(0.0, stop_after_last)
            receivers.append(receiver)
            pool.connect(server.address).addCallback(send, receiver)
        timer = reactor.callLater(silent_servers.MAX_RUN_S, reactor.stop)
        reactor.run(installSignalHandlers=False)
        self.assertTrue(timer.active())
        timer.cancel()
        for server in servers:
            server.close()
        for number, receiver in enumerate(receivers):
            with self.subTest(number):
                self.assertIsInstance(receiver.received[-1], connections.LossReason)


class EpollEarlyResponseTests(EarlyResponseTests):
    """The same with the reactor of the entries, which learns of resets otherwise."""

    create_reactor = staticmethod(epollreactor.EPollReactor)
