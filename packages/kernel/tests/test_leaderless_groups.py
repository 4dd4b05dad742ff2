"""What an entry sends for groups whose leaders it doesn't know."""

import unittest

import builders
import msgspec

from wasabiknot_kernel import members, routes, summaries

ENTRIES = 80
DOMAINS = 4
# Part of a narrow link of 5 megabits a second that peers may be told in.
MAX_BYTES_PER_S = 125_000
SECONDS = 3
# Size of a summary in trouble, with evidence of a release and crashes.
SUMMARY_BYTES = 2_000


def build_entries(count):
    """Builds entries that know each other and have heard from nobody."""
    entries = [
        builders.build_deployment(f"e{number:03}", number, f"d{number % DOMAINS}", 1)
        for number in range(count)
    ]
    table = routes.RouteTable(builders.build_configuration())
    for entry in entries:
        entry.apply_configuration(table, 0.0)
    builders.connect_entries(entries, 0.0)
    return entries


class LeaderlessGroupTests(unittest.TestCase):
    def setUp(self):
        self.entry = build_entries(ENTRIES)[0]
        self.roster = self.entry.roster

    def list_recipients(self, group, count):
        return [
            [peer.member.name for peer in self.roster.list_summary_recipients(group, 9)]
            for _ in range(count)
        ]

    def test_each_member_of_a_group_gets_a_summary_in_turn(self):
        for group in self.roster.list_other_groups():
            rounds = self.list_recipients(group, 2 * (len(group.members) - 1))
            self.assertTrue(all(len(names) == 1 for names in rounds))
            self.assertEqual(len({names[0] for names in rounds[::2]}), 1)
            named = {name for names in rounds for name in names}
            self.assertEqual(named, set(group.members))

    def test_entry_that_hears_nobody_does_not_fill_its_link(self):
        # Guards against frequent summaries for all members of all groups.
        sent_bytes = 0
        per_summary = self.roster.digests_per_summary
        for step in range(round(SECONDS / members.DIGEST_INTERVAL_S)):
            now_s = 9.0 + step * members.DIGEST_INTERVAL_S
            due = summaries.Due(group=step % per_summary == 0, remote=False)
            for digests, peers in builders.list_datagrams(self.entry, now_s, due):
                data = msgspec.json.encode(members.Bundle(tuple(digests)))
                is_summary = bool(digests[0].group)
                size_bytes = max(len(data), SUMMARY_BYTES if is_summary else 0)
                sent_bytes += size_bytes * len(peers)
        self.assertTrue(self.roster.is_leader(9.0))
        self.assertLess(sent_bytes / SECONDS, MAX_BYTES_PER_S)
