import random
import unittest
from unittest import mock

from twisted.internet import defer, task

from wasabiknot_entry import start_copies


class FakeFollower:
    """Records whether it was started, and whether it may rely on a copy."""

    def __init__(self):
        self.is_loaded = False
        self.handle_listed = None
        self.started = []

    def start(self, may_be_copied=False):
        self.started.append(may_be_copied and self.is_loaded)


class StartCopierTests(unittest.TestCase):
    def setUp(self):
        patcher = mock.patch.object(start_copies.journal, "write")
        patcher.start()
        self.addCleanup(patcher.stop)
        self.clock = task.Clock()
        self.members = FakeFollower()
        self.others = [FakeFollower() for _ in range(4)]
        self.asked = []
        self.loaded_after = 1
        self.deployment = mock.MagicMock()
        self.deployment.roster.has_several_groups = True
        peers = [mock.Mock(member=mock.Mock()) for _ in range(20)]
        self.deployment.roster.__iter__.side_effect = lambda: iter(peers)
        self.copier = start_copies.StartCopier(
            self.clock, self.deployment, random.Random(1), self.copy_facts
        )

    def copy_facts(self, member):
        self.asked.append(member)
        if len(self.asked) >= self.loaded_after:
            for follower in self.others:
                follower.is_loaded = True
        return defer.succeed(None)

    def start(self):
        self.copier.start(self.members, self.others)
        self.members.handle_listed()

    def list_started(self):
        return [follower.started for follower in self.others]

    def test_topics_that_a_peer_has_sent_are_not_listed(self):
        self.start()
        self.clock.pump([0.1] * 20)
        self.assertEqual(len(self.asked), 1)
        self.assertEqual(self.list_started(), [[True]] * 4)

    def test_other_peers_are_asked_while_one_has_not_loaded_its_topics(self):
        self.loaded_after = 3
        self.start()
        self.clock.pump([0.05] * 4)
        self.assertEqual(len(self.asked), 3)
        self.assertEqual(self.list_started(), [[True]] * 4)

    def test_topics_are_listed_once_no_peer_has_sent_them_in_time(self):
        # Guards against an entry that waits for peers that have ended like itself.
        self.loaded_after = 1_000
        self.start()
        self.clock.pump([0.05] * 20)
        self.assertEqual(self.list_started(), [[False]] * 4)
        asked = len(self.asked)
        self.clock.pump([0.05] * 20)
        self.assertEqual(len(self.asked), asked)

    def test_small_systems_list_all_topics_at_once(self):
        self.deployment.roster.has_several_groups = False
        self.start()
        self.assertEqual(self.list_started(), [[False]] * 4)
        self.assertEqual(self.asked, [])

    def test_members_that_cannot_be_listed_delay_the_others_briefly(self):
        self.deployment.roster.has_several_groups = False
        self.copier.start(self.members, self.others)
        self.clock.advance(start_copies.MEMBER_WAIT_S)
        self.assertEqual(self.list_started(), [[False]] * 4)
