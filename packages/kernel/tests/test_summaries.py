import unittest

import builders

from wasabiknot_kernel import statements, summaries

DIGEST_INTERVAL_S = 0.1


class System:
    """Entries that exchange digests and, by the schedule, summaries."""

    def __init__(self, count):
        self.now_s = 100.0
        self.entries = {}
        for number in range(count):
            name = f"e{number:03}"
            domain = f"d{number % 3}"
            self.entries[name] = builders.build_deployment(name, domain=domain)
        builders.connect_entries(list(self.entries.values()), self.now_s)
        self.schedules = {name: summaries.SummarySchedule() for name in self.entries}
        self.intervals = 0
        self.group_summaries = 0
        for entry in self.entries.values():
            entry.apply_registration(builders.build_registration("w1"), self.now_s)

    def warm_up(self):
        per_summary = self.list()[0].roster.digests_per_summary
        for _ in range(2 * per_summary):
            self.advance()
        self.group_summaries = 0
        return per_summary

    def count_groups(self):
        return len(self.list()[0].roster.list_other_groups()) + 1

    def advance(self):
        self.now_s += DIGEST_INTERVAL_S
        self.intervals += 1
        for name, entry in self.entries.items():
            due = self.find_due(name, entry)
            for digests, peers in builders.list_datagrams(entry, self.now_s, due):
                builders.deliver(digests, peers, self.entries, self.now_s)

    def find_due(self, name, entry):
        roster = entry.roster
        if not roster.is_leader(self.now_s):
            return summaries.Due(group=False, remote=False)
        is_regular = self.intervals % roster.digests_per_summary == 0
        changed_s = entry.eligibility.changed_s
        due = self.schedules[name].advance(is_regular, changed_s, self.now_s)
        self.group_summaries += due.group
        return due

    def record(self, entry, limit_per_s):
        server = entry.get_dispatcher("pool").servers["w1"]
        statement = statements.Statement(limit_per_s=limit_per_s)
        entry.record_statement(server, statement, self.now_s, self.now_s)

    def count_knowing(self, limit_per_s):
        rates = (item.eligibility.limits.find_rate("w1") for item in self.list())
        return sum(rate == limit_per_s for rate in rates)

    def list(self):
        return list(self.entries.values())


class PropagationTests(unittest.TestCase):
    def test_limit_reaches_all_entries_of_a_large_system_within_half_a_second(self):
        system = System(330)
        per_summary = system.list()[0].roster.digests_per_summary
        while system.intervals % per_summary != 1:
            system.advance()
        for limit_per_s in (5.5, None):
            system.record(system.list()[7], limit_per_s)
            for _ in range(5):
                system.advance()
            self.assertEqual(system.count_knowing(limit_per_s), 330)
            for _ in range(per_summary):
                system.advance()

    def test_limits_that_change_all_the_time_at_most_double_the_summaries(self):
        system = System(40)
        per_summary = system.warm_up()
        for number in range(20 * per_summary):
            for entry in system.list():
                system.record(entry, 1.0 + number % 5)
            system.advance()
        self.assertLessEqual(system.group_summaries, 2 * 20 * system.count_groups())

    def test_nothing_new_sends_no_further_summaries(self):
        system = System(40)
        per_summary = system.warm_up()
        for _ in range(10 * per_summary):
            system.advance()
        self.assertEqual(system.group_summaries, 10 * system.count_groups())


class ScheduleTests(unittest.TestCase):
    def test_one_summary_at_once_then_the_regular_one(self):
        schedule = summaries.SummarySchedule()
        changed_s = dict.fromkeys(statements.Channel, 5.0)
        due = [schedule.advance(step == 3, changed_s, 5.0 + step) for step in range(5)]
        self.assertEqual(
            [item.group for item in due], [True, False, False, True, False]
        )
        self.assertEqual([item.remote for item in due], [item.group for item in due])
