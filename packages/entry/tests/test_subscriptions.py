"""Plays how often a fleet calls the store, and how soon all entries know its news."""

import unittest
from unittest import mock

import fleets

from wasabiknot_entry import followers
from wasabiknot_platform import stores

ENTRIES = [f"e{number:03}" for number in range(40)]
# What one reader a group needs a second: its long-polls, and one poll of the
# registrations.
LONG_POLLS_PER_S = 1 / 0.8 + 1 / 5 + 2 / 10
POLL_INTERVALS_S = (0.5, 0.75, 1.0)
# A tenth more for readers that take turns.
MARGIN = 1.1
CALLS_PER_START = 6
# What an entry calls beyond that until its group has formed.
SETTLING_CALLS = 6
# Time after which an entry must know what the store says.
LEAVING_BOUND_S = 4.0
CONFIGURATION_BOUND_S = 2.0


class FleetTestCase(unittest.TestCase):
    def setUp(self):
        patcher = mock.patch.object(followers.journal, "write")
        patcher.start()
        self.addCleanup(patcher.stop)

    def start_fleet(self, poll_interval_s=1.0, seed=1, settle_s=4.0):
        fleet = fleets.Fleet(seed, poll_interval_s)
        fleet.start(ENTRIES)
        self.start_calls = fleet.play(settle_s)
        return fleet


class SteadyTests(FleetTestCase):
    def test_one_entry_a_group_reads_at_any_poll_interval(self):
        # Guards against readers that count as stopped between two of their polls.
        for interval_s in POLL_INTERVALS_S:
            with self.subTest(interval_s=interval_s):
                fleet = self.start_fleet(interval_s)
                called = fleet.play(6.0)
                per_group = 6.0 * (LONG_POLLS_PER_S + 1 / interval_s)
                self.assertLessEqual(called, MARGIN * per_group * fleet.count_groups())

    def test_all_entries_learn_a_record_within_the_bound(self):
        fleet = self.start_fleet()
        for topic in (stores.SERVER_TOPIC, stores.OPERATOR_TOPIC):
            fleet.store.append(topic, "a", b"{}")
        fleet.play(LEAVING_BOUND_S / 2)
        self.assertEqual(fleet.list_outdated(stores.SERVER_TOPIC), [])
        self.assertEqual(fleet.list_outdated(stores.OPERATOR_TOPIC), [])


class StartTests(FleetTestCase):
    def test_start_of_all_entries_needs_few_calls_an_entry(self):
        self.start_fleet()
        allowed = (CALLS_PER_START + SETTLING_CALLS) * len(ENTRIES)
        self.assertLessEqual(self.start_calls, allowed)

    def test_restart_of_half_of_the_entries_needs_few_calls_an_entry(self):
        fleet = self.start_fleet()
        killed = ENTRIES[::2]
        fleet.kill(killed)
        called = fleet.play(1.0)
        fleet.start(killed)
        called += fleet.play(4.0)
        steady = 5.0 * (LONG_POLLS_PER_S + 1) * fleet.count_groups()
        starts = (CALLS_PER_START + SETTLING_CALLS) * len(killed)
        self.assertLessEqual(called, starts + MARGIN * steady)
        self.assertEqual(fleet.list_outdated(stores.MEMBER_TOPIC), [])


class OutageTests(FleetTestCase):
    def test_entries_turned_away_are_served_by_the_others(self):
        fleet = self.start_fleet()
        fleet.store.turned_away = set(ENTRIES[::3])
        called = fleet.play(4.0)
        steady = 4.0 * (LONG_POLLS_PER_S + 1) * fleet.count_groups()
        self.assertLessEqual(called, 2 * steady)
        fleet.store.append(stores.SERVER_TOPIC, "a", b"{}")
        fleet.play(LEAVING_BOUND_S / 2)
        self.assertEqual(fleet.list_outdated(stores.SERVER_TOPIC), [])

    def test_store_that_is_down_is_asked_by_few_entries_at_a_time(self):
        fleet = self.start_fleet()
        fleet.store.is_available = False
        called = fleet.play(5.0)
        # One entry a group, with five topics, each tried at most four times a second.
        self.assertLessEqual(called, 5.0 * 5 * 4 * fleet.count_groups())
        fleet.store.is_available = True
        fleet.store.append(stores.SERVER_TOPIC, "a", b"{}")
        fleet.play(LEAVING_BOUND_S)
        self.assertEqual(fleet.list_outdated(stores.SERVER_TOPIC), [])

    def test_reader_that_cannot_read_the_configuration_is_not_relied_on(self):
        fleet = self.start_fleet(poll_interval_s=0.5)
        readers = {name for at_s, name in fleet.store.callers if at_s > fleet.now_s - 2}
        fleet.store.unreadable = {(name, stores.OPERATOR_TOPIC) for name in readers}
        fleet.play(2.0)
        fleet.store.append(stores.OPERATOR_TOPIC, "a", b"{}")
        fleet.play(CONFIGURATION_BOUND_S)
        self.assertEqual(fleet.list_outdated(stores.OPERATOR_TOPIC), [])

    def test_another_entry_reads_when_the_reader_ends(self):
        fleet = self.start_fleet()
        readers = {name for at_s, name in fleet.store.callers if at_s > fleet.now_s - 2}
        fleet.kill(readers)
        fleet.store.append(stores.SERVER_TOPIC, "a", b"{}")
        fleet.play(LEAVING_BOUND_S)
        self.assertEqual(fleet.list_outdated(stores.SERVER_TOPIC), [])


class ReaderTroubleTests(FleetTestCase):
    # Numbers of entries, and the phases of the reader's polls that are played for each.
    COUNTS = {8: 12, len(ENTRIES): 4}
    PHASES_S = 1.8

    def play_trouble(self, begin, count):
        """Begins a trouble of the readers as a configuration is confirmed.

        :return: names of the others that don't have it in time, by the phase.
        """
        outdated = {}
        phases = self.COUNTS[count]
        for phase_s in (number * self.PHASES_S / phases for number in range(phases)):
            fleet = fleets.Fleet(1, 0.5)
            fleet.start(ENTRIES[:count])
            fleet.play(4.0 + phase_s)
            readers = {
                name for at_s, name in fleet.store.callers if at_s > fleet.now_s - 1.9
            }
            begin(fleet, readers)
            fleet.store.append(stores.OPERATOR_TOPIC, "a", b"{}")
            fleet.play(CONFIGURATION_BOUND_S)
            late = set(fleet.list_outdated(stores.OPERATOR_TOPIC)) - readers
            if late:
                outdated[round(phase_s, 2)] = sorted(late)
        return outdated

    def check(self, begin):
        for count in self.COUNTS:
            with self.subTest(entries=count):
                self.assertEqual(self.play_trouble(begin, count), {})

    def test_others_know_a_configuration_in_time_if_a_connection_falls_silent(self):
        def begin(fleet, readers):
            pairs = {(name, stores.OPERATOR_TOPIC) for name in readers}
            fleet.store.silent_connections = pairs
            fleet.fetch_s = fleets.HUNG_FETCH_S

        self.check(begin)

    def test_others_know_a_configuration_in_time_if_the_reader_is_cut_off(self):
        def begin(fleet, readers):
            fleet.store.cut = readers

        self.check(begin)

    def test_others_know_a_configuration_in_time_if_the_reader_is_paused(self):
        def begin(fleet, readers):
            fleet.store.cut = fleet.paused = readers

        self.check(begin)

    def test_others_know_a_configuration_in_time_if_the_reader_is_turned_away(self):
        def begin(fleet, readers):
            fleet.store.unreadable = {(name, stores.OPERATOR_TOPIC) for name in readers}

        self.check(begin)

    def test_others_know_a_configuration_in_time_if_the_reader_loses_its_peers(self):
        def begin(fleet, readers):
            fleet.cut = readers

        self.check(begin)
