import struct
import unittest

import msgspec
from twisted.internet import defer, task

from wasabiknot_entry import calls, followers
from wasabiknot_kernel import facts


class Store:
    """Answers the calls of a follower as the test says."""

    def __init__(self):
        self.answers = []
        self.targets = []
        self.default = calls.Response(503, b"")

    def call(self, call, wait_s=0.0):
        self.targets.append(call.target)
        answer = self.answers.pop(0) if self.answers else self.default
        if isinstance(answer, Exception):
            return defer.fail(answer)
        return defer.succeed(answer)


class Health:
    def __init__(self):
        self.failures = 0

    def note_answer(self):
        pass

    def note_failure(self, call, error):
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
        self.store = Store()
        self.topic = facts.Topic("t")
        self.seen = []
        self.health = Health()
        self.is_reader = True
        self.turn = followers.Turn(lambda: self.is_reader)
        self.follower = followers.Follower(
            self.clock,
            self.store,
            self.topic,
            lambda changed, source: self.seen.extend(changed),
            self.health,
            0,
            self.turn,
            lambda: 0.5,
        )

    def advance(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)
            self.turn.review()

    def test_lists_once_and_reads_on(self):
        self.store.answers = [
            build_listing([{"key": "a", "value": "MQ==", "offset": 4}], 5),
            build_read(6, [b"\x01b2"]),
        ]
        self.follower.start()
        self.advance(0.6)
        self.assertEqual([fact.key for fact in self.seen], ["a", "b"])
        self.assertEqual(self.topic.position, 6)
        self.assertIn("from=5", self.store.targets[1])

    def test_forgotten_history_leads_to_a_listing(self):
        self.store.answers = [
            build_listing([], 0),
            calls.Response(410, b"{}"),
            build_listing([{"key": "a", "value": "MQ==", "offset": 9}], 10),
        ]
        self.follower.start()
        self.advance(1.2)
        self.assertEqual([fact.key for fact in self.seen], ["a"])

    def test_first_listing_is_tried_again_soon(self):
        # After a power loss with the topic away, each second counts.
        self.follower.start()
        self.advance(3.0)
        self.assertGreaterEqual(len(self.store.targets), 9)

    def test_known_topic_is_left_alone_longer_while_it_fails(self):
        self.store.answers = [build_listing([], 0)]
        self.follower.start()
        self.advance(5.0)
        self.assertLessEqual(len(self.store.targets), 9)

    def test_entry_that_does_not_read_for_its_group_waits(self):
        self.store.answers = [build_listing([], 0)]
        self.store.default = build_read(0, [])
        self.is_reader = False
        self.follower.start()
        self.advance(3.0)
        self.assertEqual(len(self.store.targets), 1)
        # Waiting costs nothing: of 63 entries, 54 wait all day.
        self.assertEqual(self.clock.getDelayedCalls(), [])
        self.is_reader = True
        self.advance(0.2)
        self.assertEqual(len(self.store.targets), 2)

    def test_broken_answers_change_nothing(self):
        self.store.answers = [
            build_listing([{"key": "a", "value": "MQ==", "offset": 4}], 5),
            calls.Response(200, b"short"),
            calls.CallError("reset"),
        ]
        self.follower.start()
        self.advance(1.5)
        self.assertEqual(self.topic.position, 5)
        self.assertGreaterEqual(self.health.failures, 2)
