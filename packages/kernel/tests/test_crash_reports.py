"""How often digests repeat the crashes of backend servers."""

import unittest

import builders
import msgspec

from wasabiknot_kernel import crash_records, crashes, members, routes, statements

Evidence = crash_records.Evidence
Channel = statements.Channel
ENTRIES = 9
# Crashes in the group: eleven engines with seven requests each.
CRASHES = 77
INTERVAL_S = 0.05
SECONDS = 4.0
# What control may send on a VM, in bytes a second.
MAX_BYTES_PER_S = 27_000


def crash(number):
    """Builds a crash of its own request."""
    item = f"{number:016x}", f"i-{number % 11:010}/1781712117633", 0.5
    return crash_records.Crash(*item)


class ReportTests(unittest.TestCase):
    def setUp(self):
        self.register = crashes.CrashRegister()

    def count_reports(self, seconds, channels):
        times = range(round(seconds / INTERVAL_S))
        return sum(
            len(self.register.list_reported(time * INTERVAL_S, channels))
            for time in times
        )

    def test_crash_is_repeated_a_few_times(self):
        self.register.record(crash(1), 0.0, Evidence.REFUSED)
        self.register.mark_stored([crash(1)])
        count = self.count_reports(SECONDS, frozenset({Channel.OWN}))
        self.assertIn(count, range(4, 7))

    def test_reports_of_peers_are_not_repeated_at_once(self):
        self.register.add(crash(1), 0.0, Channel.GROUP)
        own = frozenset({Channel.OWN})
        self.assertEqual(self.count_reports(crashes.TAKEOVER_S, own), 0)
        self.assertGreater(self.count_reports(10.0, own), 0)

    def test_all_of_many_crashes_are_reported(self):
        for number in range(CRASHES):
            self.register.record(crash(number), 0.0, Evidence.REFUSED)
        listed = set()
        for time in range(4):
            listed.update(self.register.list_reported(time * INTERVAL_S))
        self.assertEqual(len(listed), CRASHES)


class TrafficTests(unittest.TestCase):
    def build_group(self):
        entries = [builders.build_deployment(f"e{number}") for number in range(ENTRIES)]
        builders.connect_entries(entries, 0.0)
        table = routes.RouteTable(builders.build_configuration())
        for entry in entries:
            entry.apply_configuration(table, 0.0)
        return entries

    def play(self, count):
        """Plays the digests of a group.

        :param count: number of crashes that its entries see.
        :return: bytes that the busiest entry sends in a second to all its peers.
        """
        entries = self.build_group()
        for number in range(count):
            register = entries[number % ENTRIES].crashes
            register.record(crash(number), 0.5, Evidence.REFUSED)
        sent = dict.fromkeys(range(ENTRIES), 0)
        for step in range(round(SECONDS / INTERVAL_S)):
            now_s = 0.5 + step * INTERVAL_S
            digests = [entry.build_digest(now_s) for entry in entries]
            for number, digest in enumerate(digests):
                data = msgspec.json.encode(members.Bundle((digest,)))
                sent[number] += len(data) * (ENTRIES - 1)
            for entry in entries:
                for digest in digests:
                    entry.apply_digest(digest, now_s)
        known = [entry.crashes.count(crash(0).fingerprint) for entry in entries]
        self.assertEqual(known, [min(1, count)] * ENTRIES)
        return max(sent.values()) / SECONDS

    def test_crashes_of_many_servers_do_not_fill_the_link(self):
        # Guards against digests that repeat the crashes of all peers and fill a link.
        self.assertLess(self.play(CRASHES) - self.play(0), MAX_BYTES_PER_S)
