import unittest

import builders


def build_entries(count, domains=3):
    entries = [
        builders.build_deployment(f"e{number:03}", domain=f"d{number % domains}")
        for number in range(count)
    ]
    builders.connect_entries(entries, 0.0)
    return entries


def talk(entries, now_s, silent=()):
    """Exchanges digests within groups, and sums between their leaders."""
    live = [entry for entry in entries if entry not in silent]
    by_name = {entry.member.name: entry for entry in live}
    for entry in live:
        digest = entry.build_digest(now_s)
        for mate in entry.roster.list_mates():
            if mate.member.name in by_name:
                by_name[mate.member.name].take_digest(digest, now_s)
    leaders = [
        entry
        for entry in live
        if entry.roster.is_grouped and entry.roster.is_leader(now_s)
    ]
    for total in [entry.build_sum(now_s) for entry in leaders]:
        for entry in live:
            entry.take_digest(total, now_s)
    for leader in leaders:
        rest = leader.build_rest(now_s)
        for mate in leader.roster.list_mates():
            if mate.member.name in by_name:
                by_name[mate.member.name].take_digest(rest, now_s)
    for entry in live:
        entry.tick(now_s)


class GroupTests(unittest.TestCase):
    def test_few_entries_are_one_group(self):
        entries = build_entries(8)
        self.assertEqual(len(entries[0].roster.list_mates()), 7)
        self.assertFalse(entries[0].roster.is_grouped)

    def test_groups_stay_small_and_cover_all(self):
        for count in (30, 63, 80, 330):
            entries = build_entries(count)
            roster = entries[0].roster
            groups = [roster.group, *roster.list_other_groups()]
            names = [name for group in groups for name in group.members]
            self.assertEqual(len(names), count)
            self.assertEqual(len(set(names)), count)
            self.assertLessEqual(max(len(group.members) for group in groups), 15)

    def test_everyone_counts_everyone(self):
        entries = build_entries(40)
        for step in range(6):
            talk(entries, 0.1 * step)
        for entry in entries:
            found = entry.roster.count(0.5)
            self.assertEqual((found.heard, found.members), (40, 40))

    def test_dead_leader_is_replaced(self):
        entries = build_entries(40)
        talk(entries, 0.0)
        dead = [entry for entry in entries if entry.roster.is_leader(0.0)][:1]
        for step in range(1, 30):
            talk(entries, 0.1 * step, silent=dead)
        live = [entry for entry in entries if entry not in dead]
        for entry in live:
            self.assertEqual(entry.roster.count(2.9).heard, 39)

    def test_loads_reach_other_groups(self):
        entries = build_entries(40)
        registration = builders.build_registration(slots=30)
        for entry in entries:
            entry.take_registration(registration, 0.0)
            entry.take_configuration(
                builders.routes.RouteTable(builders.build_configuration()), 0.0
            )
        dispatcher = entries[0].find_dispatcher("pool")
        for number in range(5):
            dispatcher.submit(builders.build_ticket(f"q{number}"), 0.0)
        for step in range(6):
            talk(entries, 0.1 * step)
        for entry in entries:
            self.assertEqual(entry.find_server("w1").count_running(), 5)


class ReaderTests(unittest.TestCase):
    def test_one_entry_of_a_group_reads(self):
        entries = build_entries(8)
        for entry in entries:
            entry.note_read(0.0)
        talk(entries, 0.1)
        readers = [entry for entry in entries if entry.is_reader(0.2)]
        self.assertEqual([entry.member.name for entry in readers], ["e000"])

    def test_all_read_once_the_reader_is_turned_away(self):
        entries = build_entries(8)
        for entry in entries:
            entry.note_read(0.0)
        for step in range(1, 15):
            talk(entries, 0.1 * step)
        self.assertTrue(all(entry.is_reader(1.4) for entry in entries))

    def test_entry_reads_itself_once_a_copy_failed(self):
        # A large configuration did not pass the reader's narrow link in time.
        entries = build_entries(8)
        for entry in entries:
            entry.note_read(0.0)
        talk(entries, 0.1)
        entries[5].note_fetch_failed(0.2)
        self.assertTrue(entries[5].is_reader(0.3))
        self.assertFalse(entries[6].is_reader(0.3))

    def test_next_one_takes_over(self):
        entries = build_entries(8)
        for step in range(1, 15):
            entries[3].note_read(0.1 * step)
            talk(entries, 0.1 * step)
        readers = [entry.member.name for entry in entries if entry.is_reader(1.4)]
        self.assertEqual(readers, ["e003"])
