"""Plays a large fleet in which one group a failure domain reads the store."""

import unittest
from unittest import mock

import fleets

from wasabiknot_entry import followers
from wasabiknot_platform import stores

# Two failure domains with three groups each.
DOMAINS = 2
ENTRIES = [f"e{number:03}" for number in range(66)]
DOMAIN_ENTRIES = [ENTRIES[domain::DOMAINS] for domain in range(DOMAINS)]
POLL_INTERVAL_S = 0.75
# What one reader needs a second: its long-polls, and the polls of the registrations.
CALLS_PER_READER_S = 1 / 0.8 + 1 / 5 + 2 / 10 + 1 / POLL_INTERVAL_S
MARGIN = 1.1
# Its record, and the listing of the members.
CALLS_PER_START = 2
# Entries that list the other four topics at a start, and read each of them once: those
# that see a single group, and the first readers of each failure domain.
LISTERS_PER_START = 12 + 4 * DOMAINS
CALLS_PER_LISTER = 4 + 4
# Time within which all entries must know what the store has accepted.
BOUND_S = 3.0
# The same while nothing is wrong.
USUAL_S = 2.0
READER_AGE_S = 1.9
PHASES_S = (0.0, 0.2, 0.4, 0.6, 0.8)
TOPICS = (stores.OPERATOR_TOPIC, stores.SERVER_TOPIC)


class LargeFleetCase(unittest.TestCase):
    def setUp(self):
        patcher = mock.patch.object(followers.journal, "write")
        patcher.start()
        self.addCleanup(patcher.stop)

    def start_fleet(self, settle_s=4.0):
        fleet = fleets.Fleet(1, POLL_INTERVAL_S, DOMAINS)
        fleet.start(ENTRIES)
        self.start_calls = fleet.play(settle_s)
        return fleet

    def list_readers(self, fleet):
        since_s = fleet.now_s - READER_AGE_S
        return {name for at_s, name in fleet.store.callers if at_s > since_s}

    def append(self, fleet, key="a"):
        for topic in TOPICS:
            fleet.store.append(topic, key, b"{}")

    def list_outdated(self, fleet):
        return {name for topic in TOPICS for name in fleet.list_outdated(topic)}


class CallTests(LargeFleetCase):
    def test_one_group_a_domain_reads_and_few_entries_list_at_a_start(self):
        # Guards against calls that grow with the number of entries or groups.
        fleet = self.start_fleet()
        steady = MARGIN * CALLS_PER_READER_S * DOMAINS
        listings = CALLS_PER_LISTER * LISTERS_PER_START
        allowed = CALLS_PER_START * len(ENTRIES) + listings + 4.0 * steady
        self.assertLessEqual(self.start_calls, allowed)
        self.assertEqual(fleet.count_groups(), 6)
        self.assertLessEqual(fleet.play(8.0), 8.0 * steady)
        self.assertEqual(len(self.list_readers(fleet)), DOMAINS)

    def test_all_entries_learn_a_record_soon(self):
        fleet = self.start_fleet()
        self.append(fleet)
        fleet.play(USUAL_S)
        self.assertEqual(self.list_outdated(fleet), set())

    def test_restart_of_a_third_of_the_entries_needs_few_calls(self):
        fleet = self.start_fleet()
        killed = ENTRIES[::3]
        fleet.kill(killed)
        called = fleet.play(1.0)
        fleet.start(killed)
        called += fleet.play(4.0)
        # Readers were killed too, so others list all topics.
        listings = 5 * 4 * DOMAINS
        steady = 5.0 * MARGIN * CALLS_PER_READER_S * DOMAINS
        self.assertLessEqual(called, CALLS_PER_START * len(killed) + listings + steady)
        self.assertEqual(fleet.list_outdated(stores.MEMBER_TOPIC), [])

    def test_entries_that_all_start_again_know_everything_soon(self):
        # Guards against a wait for peers that have ended together with the entry.
        fleet = self.start_fleet()
        self.append(fleet)
        fleet.kill(ENTRIES)
        fleet.play(1.0)
        fleet.start(ENTRIES)
        fleet.play(USUAL_S)
        self.assertEqual(self.list_outdated(fleet), set())

    def test_store_that_is_down_is_asked_by_one_entry_a_domain(self):
        fleet = self.start_fleet()
        fleet.store.is_available = False
        called = fleet.play(10.0)
        # Two tries in each turn of 0.4 s, and those of the readers until they give up.
        self.assertLessEqual(called, DOMAINS * (10.0 / 0.2 + 10))
        fleet.store.is_available = True
        self.append(fleet)
        fleet.play(BOUND_S)
        self.assertEqual(self.list_outdated(fleet), set())


class TroubleTests(LargeFleetCase):
    """All readers get into trouble at once, in several phases of their polls."""

    def check(self, begin, is_told=lambda name, readers: name not in readers):
        late = {}
        for phase_s in PHASES_S:
            fleet = self.start_fleet(4.0 + phase_s)
            readers = self.list_readers(fleet)
            begin(fleet, readers)
            self.append(fleet)
            fleet.play(BOUND_S)
            outdated = {
                name for name in self.list_outdated(fleet) if is_told(name, readers)
            }
            if outdated:
                late[phase_s] = sorted(outdated)
        self.assertEqual(late, {})

    def test_readers_are_cut_off(self):
        def begin(fleet, readers):
            fleet.store.cut = fleet.cut = readers

        self.check(begin)

    def test_readers_are_paused(self):
        def begin(fleet, readers):
            fleet.store.cut = fleet.paused = readers

        self.check(begin)

    def test_readers_end(self):
        self.check(lambda fleet, readers: fleet.kill(readers))

    def test_readers_lose_their_peers(self):
        def begin(fleet, readers):
            fleet.cut = readers

        self.check(begin)

    def test_readers_are_turned_away(self):
        def begin(fleet, readers):
            fleet.store.turned_away = readers

        self.check(begin, lambda name, readers: True)

    def test_connections_of_the_readers_fall_silent(self):
        def begin(fleet, readers):
            fleet.store.silent_connections = {
                (name, topic) for name in readers for topic in TOPICS
            }

        self.check(begin, lambda name, readers: True)

    def test_most_entries_of_each_group_are_turned_away(self):
        # Three of four, so that several groups have no reader for some time.
        def begin(fleet, readers):
            turned_away = {name for number, name in enumerate(ENTRIES) if number % 4}
            fleet.store.turned_away = turned_away | readers

        self.check(begin, lambda name, readers: True)


class DomainTests(LargeFleetCase):
    def test_failure_domain_that_the_store_turns_away_copies_from_the_other(self):
        fleet = self.start_fleet()
        fleet.store.turned_away = set(DOMAIN_ENTRIES[0])
        self.append(fleet)
        fleet.play(BOUND_S)
        self.assertEqual(self.list_outdated(fleet), set())
        self.append(fleet, "b")
        fleet.play(BOUND_S)
        self.assertEqual(self.list_outdated(fleet), set())

    def test_failure_domains_that_are_parted_read_on_their_own(self):
        for phase_s in PHASES_S:
            with self.subTest(phase_s=phase_s):
                fleet = self.start_fleet(4.0 + phase_s)
                fleet.parted = set(DOMAIN_ENTRIES[0])
                self.append(fleet)
                fleet.play(BOUND_S)
                self.assertEqual(self.list_outdated(fleet), set())

    def test_groups_that_are_parted_from_the_reading_group_read_on_their_own(self):
        fleet = self.start_fleet()
        readers = self.list_readers(fleet)
        fleet.parted = {
            peer.member.name
            for name in readers
            for peer in fleet.entries[name].deployment.roster.list_group_peers()
        } | readers
        self.append(fleet)
        fleet.play(BOUND_S)
        self.assertEqual(self.list_outdated(fleet), set())

    def test_no_entry_takes_the_store_for_unavailable_while_another_reads(self):
        # Guards against delayed removals: reads of other groups are known late.
        fleet = self.start_fleet()
        for _ in range(40):
            fleet.play(0.05)
            for name, entry in fleet.entries.items():
                reads = entry.deployment.store_reads
                self.assertFalse(reads.is_unavailable(fleet.now_s), name)
