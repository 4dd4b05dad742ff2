"""Plays requests with a harmful prompt part, without a network."""

import enum
import itertools
import math

import builders
import test_harmful_load as harmfulplays

HARMFUL_PARTS = ("5c1e07a2", "91bd3f06")
SHARED_PARTS = ("e4402b7d", "e4402b7e", "e4402b7f")
# Time for which only sound requests come.
WARMUP_S = 2.0
SOUND_INTERVAL_S = 0.1
INTERVAL_S = 0.4
SLOW_INTERVAL_S = 2.5
POWER_INTERVAL_S = 6.0
# Number of crashes after which the bound on further sends holds.
CRASHES = 5
SETTLING_S = 3.0
# Delays from the silent end of a server until requests there are given up, and until
# it is back.
STALL_S = 2.0
SILENT_RESTART_S = 4.0

# For EqualWorld.
SOUND_CONTENTS = ("draft", "summary")
SOUND_AT_ONCE = 2
KILL_DELAY_S = 1.0
KILL_INTERVAL_S = 6.0
MAX_WAIT_S = 2.0
DIGEST_INTERVAL_S = 0.4
STORE_INTERVAL_S = 0.5


class Shape(enum.Enum):
    """How the requests with the harmful part come."""

    STEADY = "steady"
    SLOW = "slow"
    AT_ONCE = "five at once"
    IN_TURN = "two parts in turn"
    FIRST = "the part is the first one"
    SILENT = "servers end silently"
    LATER = "the part is sound at first"
    POWER = "all servers end together, now and then, and no part is harmful"


class PartWorld(harmfulplays.World):
    """Entries and servers; all requests differ, and some share a harmful part."""

    warmup_s = WARMUP_S

    def __init__(self, seed, disturbances=(), shape=Shape.STEADY, kills_after=False):
        super().__init__(seed, disturbances)
        self.shape = shape
        self.kills_after = kills_after
        self.numbers = itertools.count()
        self.sound_sent = []
        self.ends = []

    def step(self, count):
        for number in range(harmfulplays.ENTRIES):
            if self.entries[number] is None and self.is_running(number):
                self.start(number)
        self.restart_servers()
        self.end_silent()
        self.end_requests()
        for _ in range(self.count_harmful(count)):
            self.send_harmful()
        if count % round(SOUND_INTERVAL_S / harmfulplays.STEP_S) == 0:
            self.send_sound()
        if self.shape is Shape.POWER:
            self.cut_power(count)
        if self.kills_after and len(self.harmful_runs) >= CRASHES:
            self.kills_after = False
            self.disturb("restart all", 0.0)
        for number, entry in enumerate(self.entries):
            if entry is not None:
                self.exchange(number, entry)

    def cut_power(self, count):
        if count % round(POWER_INTERVAL_S / harmfulplays.STEP_S) == 0:
            for server_id, due_s in self.dead_until_s.items():
                if not due_s:
                    self.crash(server_id)

    def count_harmful(self, count):
        elapsed_s = self.now_s - self.start_s
        if elapsed_s < self.warmup_s or self.shape is Shape.POWER:
            return 0
        is_slow = self.shape in (Shape.SLOW, Shape.SILENT)
        interval_s = SLOW_INTERVAL_S if is_slow else INTERVAL_S
        is_due = count % round(interval_s / harmfulplays.STEP_S) == 0
        if (
            self.shape is Shape.AT_ONCE
            and is_due
            and elapsed_s < self.warmup_s + INTERVAL_S
        ):
            return CRASHES
        return int(is_due)

    def send_harmful(self):
        number = next(self.numbers)
        is_second = self.shape is Shape.IN_TURN and number % 2
        part = HARMFUL_PARTS[1 if is_second else 0]
        shared = () if self.shape is Shape.FIRST else SHARED_PARTS[:1]
        self.send_parts(number, (*shared, part, f"{number:x}"), True)

    def send_sound(self):
        number = next(self.numbers)
        shared = self.rng.choice(SHARED_PARTS)
        self.send_parts(number, (shared, f"{number:x}"), False)

    def send_parts(self, number, parts, is_harmful):
        self.send_request(f"q{number}", parts, is_harmful)

    def send_request(self, request_id, parts, is_harmful):
        entry_number = self.rng.randrange(harmfulplays.ENTRIES)
        entry = self.entries[entry_number]
        alive = [name for name, due_s in self.dead_until_s.items() if not due_s]
        if entry is None or not entry.has_crashes or not alive:
            return
        ticket = builders.build_ticket(request_id, parts=parts)
        if not is_harmful:
            self.sound_sent.append(self.now_s)
        if entry.crashes.find_refused(ticket, self.now_s):
            if not entry.try_start_trial(ticket, self.now_s):
                if not is_harmful:
                    self.refused_harmless.append(self.now_s)
                return
        server_id = self.rng.choice(alive)
        server = entry.find_server(server_id)
        ends_s = self.now_s + self.draw_duration_s()
        self.in_flight.append((ends_s, entry, server, ticket))
        if is_harmful and self.is_harmful_yet():
            self.harmful_runs.append(self.now_s)
            self.end_server(server_id)

    def draw_duration_s(self):
        return harmfulplays.HARMLESS_DURATION_S

    def is_harmful_yet(self):
        is_late = (
            self.now_s - self.start_s > self.warmup_s + harmfulplays.HARMLESS_START_S
        )
        return is_late or self.shape is not Shape.LATER

    def end_server(self, server_id):
        if self.shape is not Shape.SILENT:
            self.crash(server_id)
            return
        self.dead_until_s[server_id] = self.now_s + SILENT_RESTART_S
        lost = [item for item in self.in_flight if item[2].server_id == server_id]
        self.in_flight = [item for item in self.in_flight if item not in lost]
        self.ends.append((self.now_s + STALL_S, lost))

    def end_silent(self):
        for end in list(self.ends):
            if self.now_s >= end[0]:
                self.ends.remove(end)
                for _, entry, server, ticket in end[1]:
                    entry.crash_monitor.record_loss(ticket, server, self.now_s)

    def send_digests(self, entry):
        digest = entry.build_digest(self.now_s)
        for other in self.draw_recipients(entry):
            other.apply_digest(digest, self.now_s)

    def list_late(self, crashes=CRASHES):
        """Lists the harmful runs that began long after so many crashes."""
        if len(self.harmful_runs) < crashes:
            return []
        settled_s = self.harmful_runs[crashes - 1] + SETTLING_S
        return [at_s for at_s in self.harmful_runs if at_s > settled_s]

    def compute_sound_share(self):
        """Returns the share of the sound requests that were not refused."""
        return 1 - len(self.refused_harmless) / len(self.sound_sent)


class EqualWorld(PartWorld):
    """Sound requests have few contents, and all entries are killed twice, early on.

    Each content is in flight at most crashes, and little is known of its responses.
    """

    warmup_s = 0.0

    def __init__(self, seed, server_count):
        self.killed_s = []
        self.waiting = []
        super().__init__(seed)
        for server_id in list(self.servers)[server_count:]:
            self.dead_until_s[server_id] = math.inf

    def step(self, count):
        super().step(count)
        if len(self.killed_s) == 2 or len(self.harmful_runs) < 3:
            return
        delays_s = self.killed_s or [self.harmful_runs[2]]
        pause_s = KILL_INTERVAL_S if self.killed_s else KILL_DELAY_S
        if self.now_s >= delays_s[0] + pause_s:
            self.killed_s.append(self.now_s)
            self.disturb("restart all", 0.0)

    def send_sound(self):
        for _ in range(SOUND_AT_ONCE):
            parts = (self.rng.choice(SHARED_PARTS), f"{next(self.numbers):x}")
            self.send_request(self.rng.choice(SOUND_CONTENTS), parts, False)

    def send_request(self, request_id, parts, is_harmful):
        if all(self.dead_until_s.values()):
            self.waiting.append((self.now_s, request_id, parts, is_harmful))
            return
        super().send_request(request_id, parts, is_harmful)

    def restart_servers(self):
        super().restart_servers()
        waiting, self.waiting = self.waiting, []
        for since_s, *request in waiting:
            if self.now_s - since_s < MAX_WAIT_S:
                self.send_request(*request)

    def draw_duration_s(self):
        return self.rng.uniform(0.05, 0.4)

    def send_digests(self, entry):
        if self.rng.random() < harmfulplays.STEP_S / DIGEST_INTERVAL_S:
            super().send_digests(entry)

    def synchronize(self, entry):
        is_due = self.rng.random() < harmfulplays.STEP_S / STORE_INTERVAL_S
        if is_due or not entry.has_crashes:
            super().synchronize(entry)
