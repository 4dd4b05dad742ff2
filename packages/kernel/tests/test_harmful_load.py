"""Plays a harmful request on the decisions of several entries, without a network."""

import enum
import random
import unittest

import builders
import hypothesis
from hypothesis import given, settings, strategies

from wasabiknot_kernel import suspects

STEP_S = 0.05
DURATION_S = 30.0
ENTRIES = 4
SERVERS = 6
HARMFUL_INTERVAL_S = 0.4
HARMLESS_INTERVAL_S = 0.1
HARMLESS_DURATION_S = 0.2
HARMLESS = ("hot", "warm", "mild")
SERVER_RESTART_S = 2.0
ENTRY_RESTART_S = 1.0
DIGEST_LOSS = 0.1
SETTLING_S = 3.0
MAX_LATE_SENDS = 3
# For Harm.LATER: time for which the request is harmless. For Harm.MIXED: one in this
# many sends is harmless.
HARMLESS_START_S = 3.0
HARMLESS_SHARE = 4


class Harm(enum.Enum):
    """Which sends of the harmful request end the backend server that runs them."""

    ALWAYS = "always"
    LATER = "later"
    MIXED = "mixed"


class World:
    """Entries, a store and backend servers in virtual time."""

    def __init__(self, seed, disturbances, harm=Harm.ALWAYS):
        self.harm = harm
        self.harmful_count = 0
        self.rng = random.Random(seed)
        self.disturbances = sorted(disturbances)
        self.now_s = 1_000.0
        self.start_s = self.now_s
        self.records = {}
        self.store_away_until_s = 0.0
        self.cut_until_s = [0.0] * ENTRIES
        self.down_until_s = [0.0] * ENTRIES
        self.servers = {f"w{number}": self.now_s for number in range(SERVERS)}
        self.starts = dict.fromkeys(self.servers, 1)
        self.dead_until_s = dict.fromkeys(self.servers, 0.0)
        self.in_flight = []
        self.harmful_runs = []
        self.refused_harmless = []
        self.entries = [None] * ENTRIES
        for number in range(ENTRIES):
            self.start(number)

    def start(self, number):
        entry = builders.build_deployment(f"e{number}")
        self.entries[number] = entry
        for other in self.entries:
            if other is not None:
                builders.connect_entries([entry, other], self.now_s)
        for server_id in self.servers:
            self.register(entry, server_id)

    def register(self, entry, server_id):
        entry.apply_registration(
            builders.build_registration(
                server_id, address=f"{server_id}:80", started_ms=self.starts[server_id]
            ),
            self.now_s,
        )

    @property
    def store_is_up(self):
        return self.now_s >= self.store_away_until_s

    def is_running(self, number):
        return self.now_s >= self.down_until_s[number]

    def is_cut(self, number):
        return self.now_s < self.cut_until_s[number]

    def disturb(self, kind, duration_s):
        number = self.rng.randrange(ENTRIES)
        if kind == "store":
            self.store_away_until_s = self.now_s + duration_s
        elif kind == "cut":
            self.cut_until_s[number] = self.now_s + duration_s
        else:
            numbers = range(ENTRIES) if kind == "restart all" else [number]
            for item in numbers:
                self.down_until_s[item] = self.now_s + ENTRY_RESTART_S
                self.entries[item] = None

    def play(self):
        while self.now_s < self.start_s + DURATION_S:
            self.now_s += STEP_S
            elapsed_s = self.now_s - self.start_s
            while self.disturbances and self.disturbances[0][0] <= elapsed_s:
                _, kind, duration_s = self.disturbances.pop(0)
                self.disturb(kind, duration_s)
            self.step(round(elapsed_s / STEP_S))

    def step(self, count):
        for number in range(ENTRIES):
            if self.entries[number] is None and self.is_running(number):
                self.start(number)
        self.restart_servers()
        self.end_requests()
        if count % round(HARMFUL_INTERVAL_S / STEP_S) == 0:
            self.send("harmful")
        if count % round(HARMLESS_INTERVAL_S / STEP_S) == 0:
            self.send(self.rng.choice(HARMLESS))
        for number, entry in enumerate(self.entries):
            if entry is not None:
                self.exchange(number, entry)

    def restart_servers(self):
        for server_id, due_s in self.dead_until_s.items():
            if due_s and self.now_s >= due_s:
                self.dead_until_s[server_id] = 0.0
                self.starts[server_id] += 1
                for number, entry in enumerate(self.entries):
                    if entry is not None and not self.is_cut(number):
                        self.register(entry, server_id)

    def send(self, fingerprint):
        number = self.rng.randrange(ENTRIES)
        entry = self.entries[number]
        if entry is None or not entry.has_crashes:
            return
        ticket = builders.build_ticket(fingerprint)
        is_refused = entry.crashes.is_refused(fingerprint, self.now_s)
        if is_refused and not entry.try_start_trial(ticket, self.now_s):
            if fingerprint != "harmful":
                self.refused_harmless.append(self.now_s)
            return
        alive = [name for name, due_s in self.dead_until_s.items() if not due_s]
        if not alive:
            return
        server_id = self.rng.choice(alive)
        server = entry.find_server(server_id)
        ends_s = self.now_s + HARMLESS_DURATION_S
        self.in_flight.append((ends_s, entry, server, ticket))
        if fingerprint == "harmful" and self.is_harmful_now():
            self.harmful_runs.append(self.now_s)
            self.crash(server_id)

    def is_harmful_now(self):
        self.harmful_count += 1
        if self.harm is Harm.LATER:
            return self.now_s - self.start_s > HARMLESS_START_S
        if self.harm is Harm.MIXED:
            return self.harmful_count % HARMLESS_SHARE != 1
        return True

    def crash(self, server_id):
        self.dead_until_s[server_id] = self.now_s + SERVER_RESTART_S
        remaining = []
        for item in self.in_flight:
            _, entry, server, ticket = item
            if server.server_id != server_id:
                remaining.append(item)
                continue
            entry.crash_monitor.record_loss(ticket, server, self.now_s)
            if entry.crash_monitor.should_check(server, self.now_s):
                entry.crash_monitor.record_failed_connection(server, True, self.now_s)
        self.in_flight = remaining

    def end_requests(self):
        for item in list(self.in_flight):
            ends_s, entry, server, ticket = item
            if self.now_s >= ends_s:
                self.in_flight.remove(item)
                entry.crash_monitor.record_response(ticket, server, True, self.now_s)

    def exchange(self, number, entry):
        entry.tick(self.now_s)
        if self.is_cut(number):
            return
        if self.store_is_up:
            self.synchronize(entry)
        elif not entry.has_crashes:
            self.copy_from_peer(entry)
        self.send_digests(entry)

    def send_digests(self, entry):
        for other in self.draw_recipients(entry):
            other.apply_digest(entry.build_digest(self.now_s), self.now_s)

    def draw_recipients(self, entry):
        for number, other in enumerate(self.entries):
            if other is None or other is entry or self.is_cut(number):
                continue
            if self.rng.random() >= DIGEST_LOSS:
                yield other

    def synchronize(self, entry):
        entry.store_reads.record_read(self.now_s)
        register = entry.crashes
        due = register.list_due(self.now_s, True)
        self.records.update({crash.key: crash for crash in due})
        register.mark_stored(due)
        deletions = register.list_deletions()
        for key in deletions:
            self.records.pop(key, None)
        register.mark_deleted(deletions)
        known = getattr(entry, "stored_keys", set())
        for key in known - self.records.keys():
            register.remove_stored(key)
        for crash in self.records.values():
            register.add_stored(crash, self.now_s)
        entry.stored_keys = set(self.records)
        entry.has_crashes = True

    def copy_from_peer(self, entry):
        for other in self.entries:
            if other is not None and other.has_crashes:
                for key in other.stored_keys:
                    if key in self.records:
                        entry.crashes.add_stored(self.records[key], self.now_s)
                entry.stored_keys = set(other.stored_keys)
                entry.has_crashes = True
                return


# Without shrinking, as an example takes up to a second.
SETTINGS = settings(
    derandomize=True,
    max_examples=40,
    deadline=None,
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
)
DISTURBANCES = strategies.lists(
    strategies.tuples(
        strategies.floats(0, 25),
        strategies.sampled_from(["restart all", "restart", "cut", "store"]),
        strategies.floats(0.5, 8.0),
    ),
    max_size=6,
)


class HarmfulLoadTests(unittest.TestCase):
    def check_late_sends(self, world):
        world.play()
        if len(world.harmful_runs) >= suspects.MAX_CRASHES:
            settled_s = world.harmful_runs[suspects.MAX_CRASHES - 1] + SETTLING_S
            late = [at_s for at_s in world.harmful_runs if at_s > settled_s]
            self.assertLessEqual(len(late), MAX_LATE_SENDS)
        self.assertEqual(world.refused_harmless, [])

    @settings(SETTINGS, max_examples=60)
    @given(strategies.integers(0, 1_000), DISTURBANCES)
    def test_sends_after_the_third_crash_stay_within_bound(self, seed, disturbances):
        self.check_late_sends(World(seed, disturbances))

    @SETTINGS
    @given(strategies.integers(0, 1_000), DISTURBANCES)
    def test_success_before_the_first_crash_does_not_absolve(self, seed, disturbances):
        self.check_late_sends(World(seed, disturbances, Harm.LATER))

    @SETTINGS
    @given(strategies.integers(0, 1_000), DISTURBANCES)
    def test_harmless_sends_of_the_same_request_do_not_absolve(self, seed, mishaps):
        self.check_late_sends(World(seed, mishaps, Harm.MIXED))

    def test_harmful_request_is_refused_and_harmless_ones_are_not(self):
        world = World(1, [])
        world.play()
        self.assertEqual(len(world.harmful_runs), suspects.MAX_CRASHES)
        self.assertEqual(world.refused_harmless, [])
        self.assertEqual(len(world.records), suspects.MAX_CRASHES)
