import unittest

import builders


def build_entries(count, domains=3):
    entries = [
        builders.build_deployment(f"e{number:03}", domain=f"d{number % domains}")
        for number in range(count)
    ]
    builders.connect_entries(entries, 0.0)
    return entries


def exchange_digests(entries, now_s, stopped=()):
    """Exchanges digests within groups, and summaries between their leaders."""
    running = [entry for entry in entries if entry not in stopped]
    by_name = {entry.member.name: entry for entry in running}
    for entry in running:
        for digests, peers in builders.list_datagrams(entry, now_s):
            builders.deliver(digests, peers, by_name, now_s)
    for entry in running:
        entry.tick(now_s)


class GroupTests(unittest.TestCase):
    def test_small_system_is_one_group(self):
        entries = build_entries(8)
        self.assertEqual(len(entries[0].roster.list_group_peers()), 7)
        self.assertFalse(entries[0].roster.has_several_groups)

    def test_groups_are_small_and_cover_all_entries(self):
        for count in (30, 63, 80, 330):
            entries = build_entries(count)
            roster = entries[0].roster
            groups = [roster.group, *roster.list_other_groups()]
            names = [name for group in groups for name in group.members]
            self.assertEqual(len(names), count)
            self.assertEqual(len(set(names)), count)
            self.assertLessEqual(max(len(group.members) for group in groups), 15)

    def test_each_entry_counts_all_entries(self):
        entries = build_entries(40)
        for step in range(6):
            exchange_digests(entries, 0.1 * step)
        for entry in entries:
            count = entry.roster.count(0.5)
            self.assertEqual((count.reachable, count.members), (40, 40))

    def test_failed_leader_is_replaced(self):
        entries = build_entries(40)
        exchange_digests(entries, 0.0)
        failed = [entry for entry in entries if entry.roster.is_leader(0.0)][:1]
        for step in range(1, 30):
            exchange_digests(entries, 0.1 * step, stopped=failed)
        running = [entry for entry in entries if entry not in failed]
        for entry in running:
            self.assertEqual(entry.roster.count(2.9).reachable, 39)

    def test_loads_reach_other_groups(self):
        entries = build_entries(40)
        registration = builders.build_registration(slots=30)
        for entry in entries:
            entry.apply_registration(registration, 0.0)
            entry.apply_configuration(
                builders.routes.RouteTable(builders.build_configuration()), 0.0
            )
        dispatcher = entries[0].get_dispatcher("pool")
        for number in range(5):
            dispatcher.submit(builders.build_ticket(f"q{number}"), 0.0)
        for step in range(6):
            exchange_digests(entries, 0.1 * step)
        for entry in entries:
            self.assertEqual(entry.find_server("w1").count_running(), 5)


class StoreReaderTests(unittest.TestCase):
    def test_one_entry_per_group_reads_the_store(self):
        entries = build_entries(8)
        for entry in entries:
            entry.store_reads.record_read(0.0)
        exchange_digests(entries, 0.1)
        readers = [entry for entry in entries if entry.should_read_store(0.2)]
        self.assertEqual([entry.member.name for entry in readers], ["e000"])

    def test_all_read_when_the_reader_fails(self):
        entries = build_entries(8)
        for entry in entries:
            entry.store_reads.record_read(0.0)
        for step in range(1, 15):
            exchange_digests(entries, 0.1 * step)
        self.assertTrue(all(entry.should_read_store(1.4) for entry in entries))

    def test_entries_of_large_fleets_try_in_turn_when_the_reader_fails(self):
        # Guards against all entries asking a store that is down or busy.
        entries = build_entries(40)
        for entry in entries:
            entry.store_reads.record_read(0.0)
        tried = set()
        for step in range(1, 80):
            exchange_digests(entries, 0.1 * step)
            readers = [
                entry.member.name
                for entry in entries
                if entry.should_read_store(0.1 * step)
            ]
            groups = 1 + len(entries[0].roster.list_other_groups())
            self.assertEqual(len(readers), groups)
            tried.update(readers)
        self.assertEqual(len(tried), 40)

    def test_entry_reads_the_store_after_a_failed_fetch(self):
        # Guards against an entry that never gets a large configuration because its
        # transfer from the reader times out on a slow link.
        entries = build_entries(8)
        for entry in entries:
            entry.store_reads.record_read(0.0)
        exchange_digests(entries, 0.1)
        entries[5].record_fetch_failure(0.2)
        self.assertTrue(entries[5].should_read_store(0.3))
        self.assertFalse(entries[6].should_read_store(0.3))

    def test_entry_with_fresh_read_takes_over(self):
        entries = build_entries(8)
        for step in range(1, 15):
            entries[3].store_reads.record_read(0.1 * step)
            exchange_digests(entries, 0.1 * step)
        readers = [
            entry.member.name for entry in entries if entry.should_read_store(1.4)
        ]
        self.assertEqual(readers, ["e003"])
