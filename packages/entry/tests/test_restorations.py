import random
import unittest
from unittest import mock

from twisted.internet import task

from wasabiknot_entry import restorations
from wasabiknot_kernel import (
    allowances,
    crash_records,
    deployments,
    facts,
    members,
    positions,
)
from wasabiknot_platform import stores

POLICY = deployments.Policy(
    0.2, 10.0, 50.0, allowances.Tolerance(8.0, 0.1, 140_000), 0.1
)


class RestorationHandlerTests(unittest.TestCase):
    def setUp(self):
        self.clock = task.Clock()
        self.clock.advance(100.0)
        member = members.Member("e1", "r1", "10.0.0.1", 7000)
        self.deployment = deployments.Deployment(member, POLICY, random.Random(1))
        self.applied = []
        self.publish_member = mock.Mock()
        self.follower = mock.Mock()
        self.handler = restorations.RestorationHandler(
            self.clock,
            random.Random(1),
            self.deployment,
            lambda topic, changed, source: self.applied.append((topic, changed)),
            self.publish_member,
        )
        for name in (stores.SERVER_TOPIC, stores.CRASH_TOPIC):
            self.handler.add_follower(name, self.follower)

    def list_topic(self, name, era, keys):
        listed = [
            facts.Fact(key, b"v", positions.create_position(era, offset))
            for offset, key in enumerate(keys)
        ]
        end = positions.create_position(era, len(keys))
        self.deployment.get_topic(name).apply_listing(listed, end)
        self.handler.check_topic(name)
        self.handler.check_era()

    def advance(self, seconds):
        for _ in range(round(seconds * 10)):
            self.clock.advance(0.1)
            self.deployment.store_reads.record_read(self.clock.seconds())

    def test_nothing_happens_at_the_first_listing(self):
        self.list_topic(stores.SERVER_TOPIC, 3, ["w1"])
        self.advance(10.0)
        self.publish_member.assert_not_called()
        self.follower.list_again.assert_not_called()

    def test_member_record_is_written_again_once(self):
        self.list_topic(stores.SERVER_TOPIC, 1, ["w1"])
        self.list_topic(stores.SERVER_TOPIC, 2, ["w1"])
        self.handler.check_era()
        self.advance(restorations.MAX_REWRITE_DELAY_S + 0.1)
        self.publish_member.assert_called_once_with()

    def test_server_that_is_not_registered_again_is_removed(self):
        self.list_topic(stores.SERVER_TOPIC, 1, ["w1", "w2"])
        self.list_topic(stores.SERVER_TOPIC, 2, ["w1"])
        self.advance(2.1)
        self.assertEqual(self.applied, [])
        self.advance(0.2)
        ((topic, (removed,)),) = self.applied
        self.assertEqual((topic, removed.key), (stores.SERVER_TOPIC, "w2"))
        self.assertIsNone(removed.value)

    def test_no_server_is_removed_while_the_store_is_away(self):
        self.list_topic(stores.SERVER_TOPIC, 1, ["w1", "w2"])
        self.list_topic(stores.SERVER_TOPIC, 2, [])
        self.clock.advance(8.0)
        self.assertEqual(self.applied, [])
        self.advance(1.0)
        self.assertEqual(len(self.applied), 1)

    def test_topic_is_listed_once_more(self):
        self.list_topic(stores.SERVER_TOPIC, 1, ["w1"])
        self.list_topic(stores.SERVER_TOPIC, 2, ["w1"])
        self.advance(10.0)
        self.follower.list_again.assert_called_once_with()

    def test_lost_crash_is_stored_again(self):
        crash = crash_records.Crash("f", "w1/1")
        self.deployment.crashes.add_stored(crash, 100.0)
        self.list_topic(stores.CRASH_TOPIC, 1, [crash.key])
        self.list_topic(stores.CRASH_TOPIC, 2, [])
        self.assertEqual(self.deployment.crashes.list_due(101.0, False), [crash])
