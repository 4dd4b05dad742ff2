import unittest

import test_gossip

from wasabiknot_entry import gossip
from wasabiknot_kernel import members

MARGIN_S = gossip.REGULAR_MARGIN_S


class AnnouncementTests(test_gossip.GossipCase):
    def setUp(self):
        super().setUp()
        self.gossip.transport = object()
        self.built_s = []
        build = self.deployment.build_digest
        self.deployment.build_digest = lambda now_s: self.record(build, now_s)
        self.gossip.send_digest()
        self.built_s.clear()

    def record(self, build, now_s):
        self.built_s.append(now_s)
        return build(now_s)

    def add_groups(self):
        for number in range(members.MAX_SINGLE_GROUP + 1):
            member = members.Member(
                f"p{number:02}", "run", "10.0.0.9", 7000, "a" if number % 2 else "b"
            )
            self.deployment.roster.apply_member(member, self.clock.seconds())
        self.assertTrue(self.deployment.roster.has_several_groups)

    def announce_after(self, delay_s):
        self.clock.advance(delay_s)
        self.gossip.announce_loads()
        self.clock.advance(members.DIGEST_INTERVAL_S)
        return len(self.built_s)

    def test_loads_are_told_between_regular_digests(self):
        # Guards against peers that use a slot for a whole interval after it is taken.
        self.add_groups()
        self.assertEqual(self.announce_after(0.01), 1)

    def test_loads_shortly_before_a_regular_digest_are_left_to_it(self):
        # Guards against two digests within a few milliseconds, to all of the group.
        self.add_groups()
        delay_s = members.DIGEST_INTERVAL_S - MARGIN_S / 2
        self.assertEqual(self.announce_after(delay_s), 0)

    def test_single_group_is_told_at_once(self):
        delay_s = members.DIGEST_INTERVAL_S - MARGIN_S / 2
        self.assertEqual(self.announce_after(delay_s), 1)


if __name__ == "__main__":
    unittest.main()
