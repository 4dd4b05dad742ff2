import unittest
from unittest import mock

from twisted.internet import defer, task

from wasabiknot_entry import calls, crash_writers
from wasabiknot_kernel import crash_records, crashes

Evidence = crash_records.Evidence


class FakeStore:
    def __init__(self):
        self.bodies = []
        self.responses = []

    def call(self, call, wait_s=0.0):
        self.bodies.append(call.body)
        response = self.responses.pop(0) if self.responses else calls.Response(200, b"")
        if isinstance(response, Exception):
            return defer.fail(response)
        return defer.succeed(response)


class FakeDeployment:
    def __init__(self):
        self.crashes = crashes.CrashRegister()

    def should_read_store(self, now_s):
        return False


class CrashWriterTests(unittest.TestCase):
    def setUp(self):
        self.clock = task.Clock()
        self.store = FakeStore()
        self.deployment = FakeDeployment()
        self.register = self.deployment.crashes
        self.writer = crash_writers.CrashWriter(self.clock, self.deployment, self.store)

    def record(self, *servers):
        for server in servers:
            crash = crash_records.Crash("f", server)
            self.register.record(crash, self.clock.seconds(), Evidence.REFUSED)

    def check(self, after_s=0.0):
        self.clock.advance(after_s)
        self.writer.check()
        return len(self.store.bodies)

    def test_writes_nothing_without_crashes(self):
        self.assertEqual(self.check(60.0), 0)

    def test_writes_all_due_crashes_in_one_call(self):
        self.record("w1/1", "w2/1")
        self.assertEqual(self.check(), 1)
        self.assertIn(b"f/w1/1", self.store.bodies[0])
        self.assertIn(b"f/w2/1", self.store.bodies[0])
        self.assertEqual(self.check(60.0), 1)

    def test_time_of_day_is_stored_for_operators(self):
        with mock.patch("time.time", return_value=1_796_000_000.5):
            self.record("w1/1", "w2/1")
            self.check()
        self.assertEqual(self.store.bodies[0].count(b"1796000000.5"), 2)

    def test_write_is_repeated_until_it_is_acknowledged(self):
        self.record("w1/1", "w2/1")
        self.store.responses = [calls.CallError("reset"), calls.Response(503, b"")]
        self.assertEqual([self.check(), self.check(0.5)], [1, 1])
        self.assertEqual([self.check(0.6), self.check(1.1)], [2, 3])
        self.assertEqual(self.check(60.0), 3)

    def test_crashes_are_kept_after_a_complete_response(self):
        self.record("w1/1", "w2/1")
        self.check()
        self.register.record_response("f")
        self.assertEqual(self.check(60.0), 1)

    def test_single_crash_of_a_request_that_completed_is_not_written(self):
        self.record("w1/1")
        self.register.record_response("f")
        self.assertEqual(self.check(60.0), 0)

    def test_crashes_that_a_restored_store_brings_back_are_deleted(self):
        self.register.delete(["f/w2/1"])
        self.assertEqual(self.check(), 1)
        self.assertTrue(self.store.bodies[0].endswith(b"f/w2/1"))
        self.assertEqual(self.check(60.0), 1)
