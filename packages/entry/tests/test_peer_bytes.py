"""Plays entries under load whose digests are lost, and counts what they send."""

import unittest
from unittest import mock

import peerloads

from wasabiknot_entry import gossip, peer_traffic
from wasabiknot_kernel import members

# Three failure domains with two groups each. A burst keeps nearly all slots busy, and
# each entry sends a request every 36 ms.
SITE = peerloads.Site(entries=59, domains=3, engines=45, slots=7, requests_per_s=28.0)
SMALL_SITE = peerloads.Site(
    entries=26, domains=2, engines=12, slots=7, requests_per_s=10.0
)
START_S = 2.0
PLAY_S = 4.0
# Time after the last request until all entries must know that nothing runs: the longest
# request, and some digests that are lost.
SETTLE_S = peerloads.MAX_DURATION_S + 1.0
LOSS = 0.05
JSON_ONLY = (members.JSON_FORMAT,)
MIXED = (members.JSON_FORMAT, members.CHANGES_FORMAT, members.CHANGES_FORMAT)


class PeerBytesCase(unittest.TestCase):
    def setUp(self):
        patcher = mock.patch.object(gossip.journal, "write")
        self.write = patcher.start()
        self.addCleanup(patcher.stop)

    def play(self, site, **options):
        fleet = peerloads.LoadedFleet(site, **options)
        fleet.play(START_S)
        since_s = fleet.clock.seconds()
        fleet.play(PLAY_S)
        return fleet, max(fleet.list_most_sent(since_s))

    def check_loads(self, fleet):
        """Checks that all entries know the loads of their groups."""
        by_name = {entry.member.name: entry for entry in fleet.entries}
        for entry in fleet.entries:
            for peer in entry.deployment.roster.list_group_peers():
                known = {
                    server_id: load.running
                    for server_id, load in peer.digest.loads.items()
                }
                sender = by_name[peer.member.name].deployment
                self.assertEqual(known, list_running(sender), entry.member.name)

    def check_use(self, fleet):
        """Checks that all entries know what their groups have used."""
        by_name = {entry.member.name: entry for entry in fleet.entries}
        for entry in fleet.entries:
            for peer in entry.deployment.roster.list_group_peers():
                used = by_name[peer.member.name].deployment.allowances.used
                self.assertEqual(peer.digest.used, dict(used), entry.member.name)


def list_running(deployment):
    servers = deployment.get_dispatcher("pool").servers
    return {
        server_id: len(server.sends)
        for server_id, server in servers.items()
        if server.sends
    }


class LoadTests(PeerBytesCase):
    def test_entries_under_load_send_less_than_control_may(self):
        # Compared with digests that are sent in full each time, in the same run.
        fleet, most = self.play(SITE)
        self.assertLess(most, peer_traffic.MAX_BYTES_PER_S)
        fleet.play(SETTLE_S, has_load=False)
        self.check_loads(fleet)
        self.check_use(fleet)
        with mock.patch.object(gossip, "ANNOUNCED_BYTES_PER_S", 0):
            _, most_before = self.play(SITE, formats=JSON_ONLY)
        self.assertGreater(most_before, 4 * most)


class LossTests(PeerBytesCase):
    def check(self, **options):
        fleet, _ = self.play(SMALL_SITE, **options)
        for _ in range(3):
            fleet.play(SETTLE_S, has_load=False)
            self.check_loads(fleet)
            self.check_use(fleet)
            fleet.play(1.0)
        self.write.assert_not_called()
        return fleet

    def test_peers_agree_if_datagrams_are_lost(self):
        self.check(loss=LOSS)

    def test_peers_agree_if_datagrams_arrive_late_and_twice(self):
        self.check(delays=(0, 0, 1, 3, 12), repeats=0.1)

    def test_entries_of_the_previous_version_understand_and_are_understood(self):
        self.check(formats=MIXED, loss=LOSS)

    def test_all_peers_stay_reachable_if_a_fifth_of_the_datagrams_is_lost(self):
        # Guards against a lost full digest that makes all later ones useless.
        fleet, _ = self.play(SMALL_SITE, loss=0.2)
        for _ in range(20):
            fleet.play(0.1)
            now_s = fleet.clock.seconds()
            for entry in fleet.entries:
                peers = entry.deployment.roster.list_group_peers()
                self.assertEqual(
                    [peer for peer in peers if peer.is_unreachable(now_s)], []
                )

    def test_entry_that_was_paused_knows_its_peers_at_once(self):
        fleet, _ = self.play(SMALL_SITE)
        fleet.paused = {fleet.entries[0].address}
        # Longer than two full digests apart.
        fleet.play(11.0)
        fleet.paused = set()
        fleet.play(0.4)
        now_s = fleet.clock.seconds()
        peers = fleet.entries[0].deployment.roster.list_group_peers()
        self.assertEqual([peer for peer in peers if peer.is_unreachable(now_s)], [])

    def test_entry_that_starts_again_is_understood_at_once(self):
        fleet, _ = self.play(SMALL_SITE)
        entry = fleet.restart(0)
        fleet.play(0.6)
        now_s = fleet.clock.seconds()
        self.assertEqual(
            [
                peer.member.name
                for peer in entry.deployment.roster.list_group_peers()
                if peer.is_unreachable(now_s)
            ],
            [],
        )
        name = entry.member.name
        for other in fleet.entries:
            if name in other.deployment.roster.group.members and other is not entry:
                peer = other.deployment.roster.find(name)
                self.assertFalse(peer.is_unreachable(now_s))
