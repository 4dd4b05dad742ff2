import unittest
from unittest import mock

from twisted.internet import defer, task

from wasabiknot_entry import calls, followers, gossip, responses, subscriptions
from wasabiknot_kernel import members
from wasabiknot_platform import stores


class FakeConnection:
    def __init__(self):
        self.handler = None
        self.is_aborted = False

    def send(self, request, handler):
        self.handler = handler

    def abort(self):
        self.is_aborted = True


class Pool:
    def __init__(self, connection):
        self.connection = connection

    def acquire(self, address, idle_s):
        return defer.succeed(self.connection)


class SilentPool:
    """The kept connection hangs; new ones answer, if they are to."""

    def __init__(self, answers):
        self.answers = answers
        self.kept = FakeConnection()
        self.opened = []
        self.closed = []

    def acquire(self, address, idle_s):
        return defer.succeed(self.kept)

    def connect(self, address):
        connection = FakeConnection()
        self.opened.append(connection)
        if self.answers:
            connection.send = lambda request, handler: answer(handler)
        return defer.succeed(connection)

    def close_idle(self, address):
        self.closed.append(address)


def answer(handler, body=b"new"):
    handler.handle_head(responses.Head(200, ()))
    handler.handle_data(body, len(body))
    handler.handle_end()


class HungReadTests(unittest.TestCase):
    # A change must be known to all within 2 s: it is read, told in a digest and copied.
    MAX_READ_S = 1.4
    MAX_COPY_S = 0.5

    def setUp(self):
        self.clock = task.Clock()
        self.results = []

    def wait(self, called, bound_s):
        called.addBoth(self.results.append)
        self.clock.pump([0.05] * round(bound_s / 0.05))

    def test_configuration_is_read_in_time_though_its_connection_fell_silent(self):
        pool = SilentPool(answers=True)
        store = followers.StoreClient(self.clock, pool, "10.0.0.9:80")
        wait_ms = subscriptions.CONFIGURATION_LONG_POLL_MS
        call = stores.build_read_call(stores.OPERATOR_TOPIC, 3, wait_ms)
        self.wait(store.call(call, wait_ms / 1_000), self.MAX_READ_S)
        self.assertEqual([item.body for item in self.results], [b"new"])
        self.assertTrue(pool.kept.is_aborted)
        self.assertEqual(pool.closed, ["10.0.0.9:80"])

    def test_facts_are_copied_in_time_though_the_connection_fell_silent(self):
        pool = SilentPool(answers=True)
        entry = mock.Mock(topics={})
        peer = members.Member("e2", "run", "10.0.0.2", 7000, "d1")
        with mock.patch.object(gossip.journal, "write"):
            copier = gossip.Gossip(self.clock, entry, pool, mock.Mock(), mock.Mock())
            copier._fetch(peer)
            self.clock.pump([0.05] * round(self.MAX_COPY_S / 0.05))
        self.assertEqual(len(pool.opened), 1)

    def test_answer_in_time_opens_no_second_connection(self):
        pool = SilentPool(answers=True)
        request = calls.build_request("GET", "/", "a:1")
        called = calls.call(self.clock, pool, "a:1", request, 5.0, 0.3)
        self.clock.advance(0.2)
        answer(pool.kept.handler, b"kept")
        self.wait(called, 6.0)
        self.assertEqual([item.body for item in self.results], [b"kept"])
        self.assertEqual((pool.opened, pool.closed), ([], []))
        self.assertEqual(self.clock.getDelayedCalls(), [])

    def test_first_answer_counts_although_it_is_late(self):
        pool = SilentPool(answers=False)
        request = calls.build_request("GET", "/", "a:1")
        called = calls.call(self.clock, pool, "a:1", request, 5.0, 0.3)
        self.clock.advance(0.4)
        answer(pool.kept.handler, b"late")
        self.wait(called, 6.0)
        self.assertEqual([item.body for item in self.results], [b"late"])
        self.assertTrue(pool.opened[0].is_aborted)
        self.assertEqual(self.clock.getDelayedCalls(), [])

    def test_call_without_any_answer_fails_once(self):
        pool = SilentPool(answers=False)
        request = calls.build_request("GET", "/", "a:1")
        called = calls.call(self.clock, pool, "a:1", request, 1.0, 0.3)
        self.wait(called, 2.0)
        self.assertEqual(len(self.results), 1)
        self.assertTrue(self.results[0].check(calls.CallError))
        self.assertEqual(self.clock.getDelayedCalls(), [])

    def test_cancelled_call_ends_both(self):
        pool = SilentPool(answers=False)
        request = calls.build_request("GET", "/", "a:1")
        for wait_s in (0.1, 0.5):
            with self.subTest(wait_s=wait_s):
                called = calls.call(self.clock, pool, "a:1", request, 5.0, 0.3)
                called.addErrback(self.results.append)
                self.clock.advance(wait_s)
                called.cancel()
                self.assertTrue(self.results.pop().check(calls.CallError))
                self.assertEqual(self.clock.getDelayedCalls(), [])

    def test_change_is_not_written_twice(self):
        pool = SilentPool(answers=True)
        store = followers.StoreClient(self.clock, pool, "10.0.0.9:80")
        call = stores.build_append_call("keyed.t", "a", b"1", 3)
        self.wait(store.call(call), 0.9)
        self.assertEqual(pool.opened, [])


class CallTests(unittest.TestCase):
    def test_body_without_end_fails_the_call(self):
        connection = FakeConnection()
        request = calls.build_request("GET", "/", "10.0.0.1:80")
        called = calls.call(task.Clock(), Pool(connection), "10.0.0.1:80", request, 5.0)
        errors = []
        called.addErrback(errors.append)
        connection.handler.handle_head(responses.Head(200, ()))
        for _ in range(300):
            if connection.is_aborted:
                break
            connection.handler.handle_data(b"x" * 65_536, 65_536)
        self.assertTrue(connection.is_aborted)
        self.assertTrue(errors[0].check(calls.CallError))
