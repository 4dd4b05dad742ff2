"""Plays sound servers that fall silent on the decisions of entries, without a network.

A silent server says nothing for a second or so and then goes on.
"""

import unittest

import test_harmful_load
from hypothesis import given, settings, strategies

STEP_S = test_harmful_load.STEP_S
CONNECT_TIMEOUT_S = 0.4
# Time without a byte after which an attempt is given up, and its caller leaves.
GIVE_UP_S = 1.0
MIN_SILENCE_S = 0.8
MAX_SILENCE_S = 2.0
MAX_SENDS = 3


class Attempt:
    """A request at a server, or on its way there."""

    def __init__(self, entry, server, ticket, connects, now_s):
        self.entry = entry
        self.server = server
        self.ticket = ticket
        self.connects = connects
        self.sent_s = now_s
        self.work_s = test_harmful_load.HARMLESS_DURATION_S
        self.heard_s = now_s


class SilentWorld(test_harmful_load.World):
    """Entries before servers that fall silent, with popular harmless requests.

    :param seed: seed of the load.
    :param silences: triples of start and duration in seconds and the number of servers
        that are silent.
    :param is_reachable: whether silent servers accept connections.
    """

    def __init__(self, seed, silences, is_reachable=False):
        self.silences = sorted(silences)
        self.is_reachable = is_reachable
        self.silent_until_s = {}
        super().__init__(seed, [])
        self.sent = 0

    def step(self, count):
        elapsed_s = self.now_s - self.start_s
        while self.silences and self.silences[0][0] <= elapsed_s:
            _, duration_s, servers = self.silences.pop(0)
            for server_id in self.rng.sample(sorted(self.servers), servers):
                until_s = self.silent_until_s.get(server_id, 0.0)
                if self.now_s > until_s + 0.1:
                    self.silent_until_s[server_id] = self.now_s + duration_s
        self.end_requests()
        if count % round(test_harmful_load.HARMLESS_INTERVAL_S / STEP_S) == 0:
            self.send(self.rng.choice(test_harmful_load.HARMLESS))
        for number, entry in enumerate(self.entries):
            self.exchange(number, entry)

    def count_crashes(self):
        return sum(
            entry.crashes.count(fingerprint)
            for entry in self.entries
            for fingerprint in test_harmful_load.HARMLESS
        )

    def is_silent(self, server):
        return self.now_s < self.silent_until_s.get(server.server_id, 0.0)

    def send(self, fingerprint):
        entry = self.rng.choice(self.entries)
        if not entry.has_crashes:
            return
        ticket = test_harmful_load.builders.build_ticket(fingerprint)
        if entry.crashes.is_refused(fingerprint, self.now_s):
            self.refused_harmless.append(self.now_s - self.start_s)
            return
        self.sent += 1
        self.resend(entry, ticket)

    def resend(self, entry, ticket):
        ticket.sends += 1
        server = entry.find_server(self.rng.choice(sorted(self.servers)))
        connects = self.rng.random() < 0.5
        self.in_flight.append(Attempt(entry, server, ticket, connects, self.now_s))

    def end_requests(self):
        for item in list(self.in_flight):
            if self.is_silent(item.server):
                self.wait(item)
            else:
                self.work(item)

    def wait(self, item):
        monitor = item.entry.crash_monitor
        waited_s = self.now_s - item.heard_s
        if item.connects and not self.is_reachable:
            if waited_s < CONNECT_TIMEOUT_S:
                return
            self.in_flight.remove(item)
            monitor.record_failed_connection(item.server, False, self.now_s)
            self.resend(item.entry, item.ticket)
        elif waited_s > GIVE_UP_S:
            self.in_flight.remove(item)
            monitor.record_loss(item.ticket, item.server, self.now_s)
            if item.ticket.sends < MAX_SENDS:
                self.resend(item.entry, item.ticket)

    def work(self, item):
        item.connects = False
        item.heard_s = self.now_s
        item.work_s -= STEP_S
        if item.work_s <= 0:
            self.in_flight.remove(item)
            item.entry.crash_monitor.record_response(
                item.ticket, item.server, True, self.now_s
            )


SILENCES = strategies.lists(
    strategies.tuples(
        strategies.floats(1, 25),
        strategies.floats(MIN_SILENCE_S, MAX_SILENCE_S),
        strategies.integers(1, test_harmful_load.SERVERS),
    ),
    min_size=1,
    max_size=6,
)
ALL_SILENT = [(at_s, 1.6, test_harmful_load.SERVERS) for at_s in (3, 9, 15, 21)]
SETTINGS = test_harmful_load.SETTINGS


class CrashTests(unittest.TestCase):
    def play(self, world):
        world.play()
        self.assertEqual(world.refused_harmless, [])
        self.assertEqual(world.count_crashes(), 0)

    def test_request_lost_in_several_silences_of_all_servers_is_not_refused(self):
        for seed in range(5):
            self.play(SilentWorld(seed, ALL_SILENT))

    @settings(SETTINGS, max_examples=25)
    @given(strategies.integers(0, 1_000), SILENCES, strategies.booleans())
    def test_silence_counts_as_no_crash(self, seed, silences, is_reachable):
        self.play(SilentWorld(seed, silences, is_reachable))
