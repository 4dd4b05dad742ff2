import unittest
import zlib
from unittest import mock

import msgspec
from twisted.internet import defer, task

from wasabiknot_entry import calls, gossip
from wasabiknot_kernel import allowances, deployments, facts, members

POLICY = deployments.Policy(
    0.2, 10.0, 50.0, allowances.Tolerance(8.0, 0.1, 140_000), 0.1
)


def build_deployment(name):
    member = members.Member(name, f"run-{name}", "10.0.0.1", 7000)
    return deployments.Deployment(member, POLICY, mock.Mock())


def build_copy(topic, value):
    copied = facts.TopicUpdate(topic, 5, True, (facts.Fact("config", value, 4),))
    return calls.Response(200, zlib.compress(msgspec.json.encode([copied])))


class GossipTests(unittest.TestCase):
    def setUp(self):
        self.clock = task.Clock()
        self.clock.advance(100.0)
        self.deployment = build_deployment("e1")
        self.taken = []
        self.gossip = gossip.Gossip(
            self.clock,
            self.deployment,
            None,
            lambda topic, changed, source: self.taken.append((topic, source)),
        )

    def receive(self, sender, answer):
        digest = sender.build_digest(self.clock.seconds())
        data = msgspec.json.encode(members.Bundle((digest,)))
        with mock.patch.object(gossip.calls, "call", return_value=answer) as call:
            self.gossip.datagramReceived(data, ("10.0.0.2", 7001))
        return [item.args[2] for item in call.call_args_list]

    def test_started_entry_asks_a_peer_that_it_does_not_know(self):
        # The store is away, so no record of a peer can be read.
        answer = defer.succeed(build_copy("t", b"{}"))
        asked = self.receive(build_deployment("e2"), answer)
        self.assertEqual(asked, ["10.0.0.2:7001"])
        self.assertEqual(self.taken, [("t", "e2")])
        self.assertEqual(self.deployment.get_topic("t").facts["config"].value, b"{}")

    def test_peer_that_is_ahead_is_asked(self):
        sender = build_deployment("e2")
        self.deployment.roster.apply_member(sender.member, self.clock.seconds())
        sender.get_topic("t").record_change(4)
        asked = self.receive(sender, defer.succeed(build_copy("t", b"{}")))
        self.assertEqual(asked, ["10.0.0.1:7000"])
        self.assertEqual(self.deployment.get_topic("t").change_position, 5)

    def test_peer_that_is_not_ahead_is_not_asked(self):
        sender = build_deployment("e2")
        self.deployment.roster.apply_member(sender.member, self.clock.seconds())
        self.assertEqual(self.receive(sender, defer.succeed(None)), [])

    def test_failed_copy_makes_the_entry_read_itself(self):
        sender = build_deployment("e2")
        self.deployment.roster.apply_member(sender.member, self.clock.seconds())
        sender.get_topic("t").record_change(4)
        self.receive(sender, defer.fail(calls.CallError("reset")))
        self.assertTrue(self.deployment.should_read_store(self.clock.seconds()))
        self.assertEqual(self.taken, [])

    def test_broken_datagram_changes_nothing(self):
        self.gossip.datagramReceived(b"\x00{", ("10.0.0.2", 7001))
        self.assertEqual(self.taken, [])

    def count_sent(self, turns):
        self.gossip.transport = mock.Mock()
        for _ in range(turns):
            self.clock.advance(members.DIGEST_INTERVAL_S)
            self.gossip.send_digest()
        return self.gossip.transport.write.call_count

    def test_what_says_nothing_new_is_sent_seldom(self):
        # A profile of 63 entries: most of 95 digests a second said nothing new.
        first = build_deployment("e0")
        self.deployment.roster.apply_member(first.member, self.clock.seconds())
        self.receive(first, defer.succeed(None))
        self.assertLessEqual(self.count_sent(9), 4)

    def test_change_is_sent_at_once(self):
        first = build_deployment("e0")
        self.deployment.roster.apply_member(first.member, self.clock.seconds())
        self.receive(first, defer.succeed(None))
        self.count_sent(2)
        self.deployment.get_topic("t").record_change(9)
        self.assertEqual(self.count_sent(1), 1)

    def test_leader_sends_in_every_turn(self):
        # Its group goes by the age of what it has read.
        second = build_deployment("e2")
        self.deployment.roster.apply_member(second.member, self.clock.seconds())
        self.assertEqual(self.count_sent(9), 9)
