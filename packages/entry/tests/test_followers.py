import struct
import unittest
from unittest import mock

import loglines
import msgspec
from twisted.internet import defer, task

from wasabiknot_entry import calls, followers
from wasabiknot_kernel import events, facts, positions


class FakeStore:
    """Returns the scripted responses, then the default one."""

    def __init__(self):
        self.responses = []
        self.targets = []
        self.default = calls.Response(503, b"")
        self.watchers = []

    def watch_era(self, handle_era):
        self.watchers.append(handle_era)

    def call(self, call, wait_s=0.0):
        self.targets.append(call.target)
        response = self.responses.pop(0) if self.responses else self.default
        if isinstance(response, defer.Deferred):
            return response
        if isinstance(response, Exception):
            return defer.fail(response)
        return defer.succeed(response)


class FakeHealth:
    def __init__(self):
        self.failures = 0

    def record_success(self, topic_name):
        pass

    def record_failure(self, topic_name, error):
        self.failures += 1


def build_listing(entries, end, era=0):
    page = {"entries": entries, "morePages": False, "end": end}
    return calls.Response(200, msgspec.json.encode(page), era=era)


def build_read(end, contents, era=0):
    body = b"".join(struct.pack(">I", len(item)) + item for item in contents)
    return calls.Response(200, struct.pack(">QQ", end, 0) + body, era=era)


class FollowerTestCase(unittest.TestCase):
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


class FollowerTests(FollowerTestCase):
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

    def test_unexpected_failure_does_not_end_the_task(self):
        failures = [RecursionError("odd"), OverflowError("odd")]

        def apply(changed, source):
            if failures:
                raise failures.pop()
            self.applied.extend(changed)

        self.follower._apply_facts = apply
        self.store.responses = [
            build_listing([{"key": "a", "value": "MQ==", "offset": 4}], 5),
            build_read(6, [b"\x01b2"]),
            build_read(7, [b"\x01c3"]),
        ]
        with mock.patch.object(followers.journal, "log_failure") as log_failure:
            self.follower.start()
            self.advance(4.0)
        self.assertEqual(log_failure.call_count, 2)
        self.assertEqual([fact.key for fact in self.applied], ["c"])

    def test_odd_entry_of_a_listing_is_logged_and_the_others_hold(self):
        odd = {"key": "b", "value": "M", "offset": 5}
        self.store.responses = [
            build_listing([{"key": "a", "value": "MQ==", "offset": 4}, odd], 6)
        ]
        with self.assertLogs("wasabiknot", "ERROR") as logs:
            self.follower.start()
        self.assertEqual(len(loglines.list_lines(logs, "WK1109")), 1)
        self.assertEqual([fact.key for fact in self.applied], ["a"])

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


class RestorationTests(FollowerTestCase):
    LISTING = {"key": "a", "value": "MQ==", "offset": 4}

    def start_with_long_poll(self):
        self.waiting = defer.Deferred(
            lambda deferred: deferred.errback(calls.CallError("cancelled"))
        )
        self.store.responses = [build_listing([self.LISTING], 5, 1), self.waiting]
        self.follower.start()
        self.advance(0.6)
        self.applied.clear()

    def test_read_of_a_later_era_makes_the_topic_listed_anew(self):
        self.store.responses = [
            build_listing([self.LISTING], 5, 1),
            build_read(6, [b"\x01z9"], era=2),
            build_listing([{"key": "b", "value": "Mg==", "offset": 6}], 7, 2),
        ]
        self.follower.start()
        self.advance(1.1)
        self.assertEqual([fact.key for fact in self.applied], ["a", "b"])
        self.assertEqual(self.topic.facts["a"].value, b"1")
        self.assertEqual(self.topic.position, positions.create_position(2, 7))

    def test_read_from_an_offset_that_the_copy_lacks_makes_it_listed_anew(self):
        self.store.responses = [
            build_listing([self.LISTING], 5, 1),
            calls.Response(410, b"{}", era=2),
            build_listing([], 2, 2),
            build_read(3, [b"\x01c3"], era=2),
        ]
        self.follower.start()
        self.advance(1.6)
        self.assertEqual([fact.key for fact in self.applied], ["a", "c"])
        self.assertIn("from=2", self.store.targets[3])

    def test_long_poll_of_the_previous_era_is_given_up(self):
        self.start_with_long_poll()
        self.store.default = build_listing([], 0, 2)
        for handle_era in self.store.watchers:
            handle_era()
        self.advance(0.1)
        self.assertIn("/log-newest", self.store.targets[2])
        self.assertEqual(self.health.failures, 0)


class EraTests(unittest.TestCase):
    def setUp(self):
        self.clock = task.Clock()
        self.client = followers.StoreClient(self.clock, None, "10.0.0.1:80")
        self.raised = []
        self.client.watch_era(lambda: self.raised.append(self.client.era))

    def receive(self, *values):
        headers = tuple((b"store-era", value) for value in values)
        response = defer.succeed(calls.Response(200, b"", headers))
        results = []
        with (
            mock.patch.object(followers.calls, "call", return_value=response),
            mock.patch.object(followers.journal, "write") as write,
        ):
            self.client.call(followers.stores.build_list_call("t")).addBoth(
                results.append
            )
        logged = [item.args[0] for item in write.call_args_list]
        return results[0], logged

    def test_era_rises_with_the_header(self):
        for value in (b"3", b"3", b"4"):
            response, _ = self.receive(value)
        self.assertEqual((response.era, self.raised), (4, [3, 4]))

    def test_response_of_an_older_era_fails(self):
        self.receive(b"3")
        failure, logged = self.receive(b"2")
        self.assertIsNotNone(failure.check(followers.StoreError))
        self.assertEqual((self.client.era, logged), (3, [events.Event.ERA_BAD]))

    def test_missing_and_malformed_headers_change_nothing_and_are_logged_once(self):
        self.receive(b"3")
        lines = []
        for values in ((), (b"",), (b"x",), (b"-1",), (b"9" * 30,), ()):
            response, logged = self.receive(*values)
            lines.extend(logged)
            self.assertEqual((response.status, response.era), (200, 3))
        self.assertEqual(lines, [events.Event.ERA_BAD])
        self.assertEqual(self.raised, [3])

    def test_store_without_eras_is_era_zero(self):
        response, logged = self.receive()
        self.assertEqual((response.era, logged, self.raised), (0, [], []))
