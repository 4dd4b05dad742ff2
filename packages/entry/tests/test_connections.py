import unittest

from twisted.internet import error, task
from twisted.internet.testing import StringTransport
from twisted.python import failure

from wasabiknot_entry import connections

REQUEST = connections.Request(b"GET", b"/a", ((b"host", b"h"),))
WHOLE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class Handler:
    def __init__(self):
        self.seen = []

    def take_head(self, head):
        self.seen.append(head.status)

    def take_data(self, data):
        self.seen.append(data)

    def take_end(self):
        self.seen.append("end")

    def take_loss(self, loss):
        self.seen.append(loss)


class Transport(StringTransport):
    def setTcpNoDelay(self, value):  # noqa: N802
        pass

    def getHandle(self):  # noqa: N802
        return self

    def setsockopt(self, *options):
        pass

    def abortConnection(self):  # noqa: N802
        self.disconnecting = True


def lose(connection, reason):
    connection.connectionLost(failure.Failure(reason))


class ConnectionTests(unittest.TestCase):
    def setUp(self):
        self.clock = task.Clock()
        self.pool = connections.Pool(self.clock, 1.0)
        self.connection = connections.Connection(self.pool, "10.0.0.1:80")
        self.transport = Transport()
        self.connection.makeConnection(self.transport)
        self.handler = Handler()

    def send(self):
        self.connection.send(REQUEST, self.handler)

    def find_idle(self):
        return self.pool._take_idle("10.0.0.1:80", 10.0)

    def test_whole_answer_leaves_the_connection_for_the_next(self):
        self.send()
        self.connection.dataReceived(WHOLE)
        self.assertEqual(self.handler.seen, [200, b"ok", "end"])
        self.assertIs(self.find_idle(), self.connection)

    def test_bytes_behind_an_answer_end_the_connection(self):
        self.send()
        self.connection.dataReceived(WHOLE + b"HTTP/1.1 200 OK\r\n\r\n")
        self.assertEqual(self.handler.seen, [200, b"ok", "end"])
        self.assertTrue(self.transport.disconnecting)
        self.assertIsNone(self.find_idle())

    def test_late_second_answer_ends_the_connection(self):
        self.send()
        self.connection.dataReceived(WHOLE)
        self.connection.dataReceived(WHOLE)
        self.assertTrue(self.transport.disconnecting)
        self.assertIsNone(self.find_idle())

    def test_short_answer_is_lost(self):
        self.send()
        self.connection.dataReceived(WHOLE[:-1])
        lose(self.connection, error.ConnectionDone())
        self.assertNotIn("end", self.handler.seen)

    def test_answer_without_a_length_ends_with_the_connection(self):
        self.send()
        self.connection.dataReceived(b"HTTP/1.1 200 OK\r\n\r\nok")
        lose(self.connection, error.ConnectionDone())
        self.assertEqual(self.handler.seen[-1], "end")

    def test_answer_without_a_length_that_is_reset_is_lost(self):
        self.send()
        self.connection.dataReceived(b"HTTP/1.1 200 OK\r\n\r\nok")
        lose(self.connection, error.ConnectionLost())
        self.assertEqual(self.handler.seen[-1], connections.Loss.RESET)

    def test_bytes_that_are_no_answer_are_a_loss(self):
        self.send()
        self.connection.dataReceived(b"\x00\x01garbage\r\n\r\n")
        self.assertEqual(self.handler.seen, [connections.Loss.GARBLED])
        self.assertTrue(self.transport.disconnecting)

    def test_stated_idle_time_bounds_the_use(self):
        self.send()
        self.connection.state_idle_time(1.0)
        self.connection.dataReceived(WHOLE)
        self.clock.advance(0.9)
        self.assertIsNone(self.find_idle())

    def test_connection_that_rested_is_too_old_for_some(self):
        self.send()
        self.connection.dataReceived(WHOLE)
        self.clock.advance(2.5)
        self.assertIsNone(self.pool._take_idle("10.0.0.1:80", 2.0))

    def test_closed_connection_is_forgotten(self):
        self.send()
        self.connection.dataReceived(WHOLE)
        lose(self.connection, error.ConnectionDone())
        self.assertIsNone(self.find_idle())
