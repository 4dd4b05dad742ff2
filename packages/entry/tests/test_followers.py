import struct
import unittest

import msgspec
from twisted.internet import defer, task

from wasabiknot_entry import calls, followers
from wasabiknot_kernel import facts


class FakeStore:
    """Returns the scripted responses, then the default one."""

    def __init__(self):
        self.responses = []
        self.targets = []
        self.default = calls.Response(503, b"")

    def call(self, call, wait_s=0.0):
        self.targets.append(call.target)
        response = self.responses.pop(0) if self.responses else self.default
        if isinstance(response, Exception):
            return defer.fail(response)
        return defer.succeed(response)


class FakeHealth:
    def __init__(self):
        self.failures = 0

    def record_success(self):
        pass

    def record_failure(self, topic_name, error):
        self.failures += 1


def build_listing(entries, end):
    page = {"entries": entries, "morePages": False, "end": end}
    return calls.Response(200, msgspec.json.encode(page))


def build_read(end, contents):
    body = b"".join(struct.pack(">I", len(item)) + item for item in contents)
    return calls.Response(200, struct.pack(">QQ", end, 0) + body)


class FollowerTests(unittest.TestCase):
    def setUp(self):
        self.clock = task.Clock()
        self.store = FakeStore()
        self.topic = facts.Topic("t")
        self.applied = []
        self.health = FakeHealth()
        self.should_read = True
        self.reader_role = followers.ReaderRole(lambda: self.should_read)
        self.follower = followers.Follower(
            self.clock,
            self.store,
            self.topic,
            lambda changed, source: self.applied.extend(changed),
            self.health,
            0,
            self.reader_role,
            lambda: 0.5,
        )

    def advance(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)
            self.reader_role.update()

    def test_reads_from_end_of_listing(self):
        self.store.responses = [
            build_listing([{"key": "a", "value": "MQ==", "offset": 4}], 5),
            build_read(6, [b"\x01b2"]),
        ]
        self.follower.start()
        self.advance(0.6)
        self.assertEqual([fact.key for fact in self.applied], ["a", "b"])
        self.assertEqual(self.topic.position, 6)
        self.assertIn("from=5", self.store.targets[1])

    def test_lists_again_when_records_are_gone(self):
        self.store.responses = [
            build_listing([], 0),
            calls.Response(410, b"{}"),
            build_listing([{"key": "a", "value": "MQ==", "offset": 9}], 10),
        ]
        self.follower.start()
        self.advance(1.2)
        self.assertEqual([fact.key for fact in self.applied], ["a"])

    def test_first_listing_is_retried_quickly(self):
        # After a power loss the topic may be unavailable, and the entry serves nothing
        # until it has listed it.
        self.follower.start()
        self.advance(3.0)
        self.assertGreaterEqual(len(self.store.targets), 9)

    def test_listed_topic_is_retried_less_often(self):
        self.store.responses = [build_listing([], 0)]
        self.follower.start()
        self.advance(5.0)
        self.assertLessEqual(len(self.store.targets), 9)

    def test_waits_while_another_entry_reads_for_the_group(self):
        self.store.responses = [build_listing([], 0)]
        self.store.default = build_read(0, [])
        self.should_read = False
        self.follower.start()
        self.advance(3.0)
        self.assertEqual(len(self.store.targets), 1)
        # A waiting follower schedules no timer: of 63 entries, 54 wait permanently.
        self.assertEqual(self.clock.getDelayedCalls(), [])
        self.should_read = True
        self.advance(0.2)
        self.assertEqual(len(self.store.targets), 2)

    def test_failed_reads_keep_the_position(self):
        self.store.responses = [
            build_listing([{"key": "a", "value": "MQ==", "offset": 4}], 5),
            calls.Response(200, b"short"),
            calls.CallError("reset"),
        ]
        self.follower.start()
        self.advance(1.5)
        self.assertEqual(self.topic.position, 5)
        self.assertGreaterEqual(self.health.failures, 2)
