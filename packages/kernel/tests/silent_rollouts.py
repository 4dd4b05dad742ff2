"""A release whose servers may fall silent, on the decisions of entries."""

import random

import builders
import msgspec

from wasabiknot_kernel import (
    assignments,
    outcomes,
    registrations,
    release_records,
    releases,
    routes,
    service_times,
)

Outcome = outcomes.Outcome
STEP_S = 0.05
DIGEST_STEPS = 2
ORDER = registrations.ReleaseOrder("pool", "v2", 16.0, 5)
DURATION_S = 15.5
SERVERS_PER_SIDE = 3
SLOTS = 200
EVENT_S = 0.02
FIRST_EVENT_TIMEOUT_S = 0.8
PLAIN_TIMEOUT_S = 0.12
PLAIN_MS = 200.0
STALL_TIMEOUT_S = 1.2
CALLER_TIMEOUT_S = 2.0
ROUTE_TIMEOUT_S = 8.0


class Stream:
    """A request in flight at a server."""

    def __init__(self, number, ticket, assignment, now_s, events, first_s, kind):
        self.number = number
        self.ticket = ticket
        self.server = assignment.server
        self.sent_s = now_s
        self.heard_s = now_s
        min_s = FIRST_EVENT_TIMEOUT_S if ticket.route.is_stream else PLAIN_TIMEOUT_S
        self.first_event_timeout_s = max(min_s, 4 * assignment.score_ms / 1_000)
        # Events that are left, and seconds of work until the first one.
        self.left = events
        self.first_s = first_s
        self.count = 0
        self.credit = 0.0
        self.kind = kind
        self.first_event_s = None


class RolloutWorld:
    """Entries, old and new servers and a release in virtual time.

    :param seed: seed of the load.
    :param entries: number of entries.
    :param load_per_s: requests a second.
    :param silences: triples of start, duration in seconds and numbers of new servers.
    :param draw_fault: function of a random number generator that returns how the new
        version responds to a request: ``""`` soundly, ``"hang"`` not at all,
        ``"stall"`` not after some events, or a number by which it is slower.
    :param moves_always: whether silent streams are moved although no other server of
        their side responds.
    :param events: mean number of events of a stream.
    :param is_plain: whether the requests are plain and idempotent instead of streams.
    :param servers_per_side: servers of each version.
    """

    def __init__(
        self,
        seed,
        entries=4,
        load_per_s=60.0,
        silences=(),
        draw_fault=lambda rng: "",
        moves_always=False,
        events=100,
        is_plain=False,
        servers_per_side=SERVERS_PER_SIDE,
    ):
        self.rng = random.Random(seed)
        self.load_per_s = load_per_s
        self.silences = silences
        self.draw_fault = draw_fault
        self.moves_always = moves_always
        self.events = events
        self.is_plain = is_plain
        self.now_s = self.start_s = 1_000.0
        self.streams = []
        self.requests = 0
        self.sent_to_new = 0
        # Times of the bad answers and sends of the new version, and those at which the
        # first and the last entry left it.
        self.bad_s = []
        self.sent_to_new_s = []
        self.blocked_s = None
        self.left_s = None
        self.reason = ""
        self.entry_count = entries
        self.servers_per_side = servers_per_side
        # Record of the release in the store.
        self.record = None
        self.start_entries(is_news=True)

    def start_entries(self, is_news):
        """Starts all entries; they read the order now, or as it is given."""
        self.entries = [
            builders.build_deployment(f"e{n:02}", n, f"domain-{n % 3}")
            for n in range(self.entry_count)
        ]
        self.by_name = {entry.member.name: entry for entry in self.entries}
        builders.connect_entries(self.entries, self.now_s)
        table = self.build_table()
        for entry in self.entries:
            entry.apply_configuration(table, self.now_s)
            for version in ("v1", "v2"):
                for number in range(self.servers_per_side):
                    entry.apply_registration(
                        builders.build_registration(
                            f"{version}-{number}",
                            version=version,
                            slots=SLOTS,
                            address=f"10.0.0.{version[1]}{number}:80",
                        ),
                        self.now_s,
                    )
            entry.releases.apply_order(ORDER, self.now_s, is_news)
            # As learned before the release.
            for server in entry.get_dispatcher("pool").servers.values():
                server.service_times = service_times.create_service_times(
                    plain_ms=PLAIN_MS
                )

    def build_table(self):
        table = routes.RouteTable(builders.build_configuration())
        if not self.is_plain:
            return table
        plain = msgspec.structs.replace(
            table.configuration,
            services=(routes.Service("pool", "/healthz", 100, None),),
        )
        return routes.RouteTable(plain)

    def restart_entries(self):
        """Kills all entries, with all that they know, and starts them anew."""
        self.streams = []
        self.start_entries(is_news=False)
        if self.record is not None:
            self.apply_record()

    def apply_record(self):
        now_ms = round(self.now_s * 1_000)
        for entry in self.entries:
            entry.releases.apply_record(self.record, self.now_s, now_ms)

    def is_new(self, server):
        return server.registration.version == "v2"

    def is_silent(self, server):
        if not self.is_new(server):
            return False
        elapsed_s = self.now_s - self.start_s
        number = int(server.server_id[-1])
        return any(
            start_s <= elapsed_s < start_s + duration_s and number in numbers
            for start_s, duration_s, numbers in self.silences
        )

    def play(self):
        steps = 0
        while self.now_s < self.start_s + DURATION_S and self.left_s is None:
            self.now_s += STEP_S
            steps += 1
            for stream in list(self.streams):
                self.advance(stream)
            self.arrive()
            for entry in self.entries:
                entry.tick(self.now_s)
            if steps % DIGEST_STEPS == 0:
                self.exchange()
        return self

    def send_digests(self, entry):
        roster = entry.roster
        digests = [entry.build_digest(self.now_s)]
        peers = [peer.member.name for peer in roster.list_group_peers()]
        if roster.has_several_groups and roster.is_leader(self.now_s):
            digests.append(entry.build_remote_summary(self.now_s))
            self.send_summary(entry)
        for digest in digests:
            for name in peers:
                self.by_name[name].apply_digest(digest, self.now_s)

    def send_summary(self, entry):
        summary = entry.build_group_summary(self.now_s)
        for group in entry.roster.list_other_groups():
            for peer in entry.roster.list_summary_recipients(group, self.now_s):
                self.by_name[peer.member.name].apply_digest(summary, self.now_s)

    def exchange(self):
        for entry in self.entries:
            self.send_digests(entry)
        for entry in self.entries:
            for blocked in entry.releases.block_bad_versions():
                self.reason = self.reason or blocked.reason
                self.blocked_s = self.blocked_s or self.now_s - self.start_s
        if all(map(self.is_left, self.entries)):
            self.left_s = self.now_s - self.start_s
        now_ms = round(self.now_s * 1_000)
        due = self.entries[0].releases.find_due_record("pool", self.now_s, now_ms, 1)
        if due is not None:
            self.record = due
            self.apply_record()

    def is_left(self, entry):
        phase = entry.releases.find_phase("pool")
        return phase is release_records.Phase.ROLLED_BACK or entry.releases.is_blocked(
            "pool"
        )

    def arrive(self):
        for _ in range(self.rng.randint(0, round(2 * self.load_per_s * STEP_S))):
            self.requests += 1
            number = self.rng.randrange(len(self.entries))
            rule = routes.RetryRule.STREAM
            if self.is_plain:
                rule = routes.RetryRule.IDEMPOTENT
            route = builders.build_route(
                is_resumable=not self.is_plain,
                retry_rule=rule,
                timeout_ms=ROUTE_TIMEOUT_S * 1_000,
            )
            ticket = builders.build_ticket(f"q{self.requests}", self.now_s, route)
            self.submit(number, ticket)

    def submit(self, number, ticket):
        dispatcher = self.entries[number].get_dispatcher("pool")
        self.apply(number, dispatcher.submit(ticket, self.now_s))

    def apply(self, number, decisions):
        for decision in decisions:
            if isinstance(decision, assignments.Refusal):
                continue
            decision.ticket.sends += 1
            if self.is_new(decision.server):
                self.sent_to_new += 1
                self.sent_to_new_s.append(self.now_s - self.start_s)
            kind = self.draw_kind(decision.server)
            events = self.rng.randint(self.events // 2, self.events * 3 // 2)
            first_s = 0.08
            if self.is_plain:
                first_s = self.rng.uniform(0.1, 0.3)
            self.streams.append(
                Stream(
                    number, decision.ticket, decision, self.now_s, events, first_s, kind
                )
            )

    def draw_kind(self, server):
        """Draws how a server responds to a request, as ``draw_fault`` does."""
        return self.draw_fault(self.rng) if self.is_new(server) else ""

    def find_slowness(self, stream):
        """Finds by how much a request is slower now than on an idle sound server."""
        return 1.0 if stream.kind == "stall" else stream.kind or 1.0

    def advance(self, stream):
        if self.is_silent(stream.server) or stream.kind == "hang":
            self.wait(stream)
            return
        if stream.kind == "stall" and stream.count > 5:
            self.wait(stream)
            return
        pace = STEP_S / self.find_slowness(stream)
        if stream.first_s > 0:
            stream.first_s -= pace
            self.wait(stream)
            return
        if self.is_plain:
            self.end(stream, Outcome.COMPLETE)
            return
        stream.credit += pace / EVENT_S
        entry = self.entries[stream.number]
        dispatcher = entry.get_dispatcher("pool")
        while stream.credit >= 1.0 and stream.left:
            stream.credit -= 1.0
            stream.left -= 1
            stream.count += 1
            stream.heard_s = self.now_s
            if stream.first_event_s is None:
                stream.first_event_s = self.now_s - stream.sent_s
            dispatcher.record_first_event(stream.ticket, stream.server, self.now_s)
            dispatcher.record_progress(
                stream.ticket, stream.server, stream.count, self.now_s
            )
            entry.record_response(stream.ticket, stream.server, False, self.now_s)
        if not stream.left:
            self.end(stream, Outcome.COMPLETE)

    def wait(self, stream):
        elapsed_s = self.now_s - stream.sent_s
        silent_s = self.now_s - stream.heard_s
        if self.now_s >= stream.ticket.deadline_s:
            self.leave(stream, True)
        elif not stream.count and elapsed_s > CALLER_TIMEOUT_S:
            self.leave(stream, False)
        elif silent_s > (
            STALL_TIMEOUT_S if stream.count else stream.first_event_timeout_s
        ):
            if self.may_move(stream):
                self.end(stream, Outcome.TIMED_OUT)
                self.submit(stream.number, stream.ticket)

    def may_move(self, stream):
        if stream.ticket.sends >= 2:
            return False
        if self.moves_always:
            return True
        entry = self.entries[stream.number]
        others = entry.get_dispatcher("pool").servers.values()
        return any(
            item is not stream.server
            and self.is_new(item) == self.is_new(stream.server)
            and not item.is_avoided(self.now_s)
            for item in others
        )

    def leave(self, stream, is_timed_out):
        outcome = releases.classify_unfinished(
            stream.count, self.now_s - stream.sent_s, is_timed_out
        )
        self.end(stream, outcome, Outcome.CANCELLED)

    def end(self, stream, outcome, send_outcome=None):
        self.streams.remove(stream)
        entry = self.entries[stream.number]
        dispatcher = entry.get_dispatcher("pool")
        dispatcher.record_end(
            stream.ticket, stream.server, send_outcome or outcome, self.now_s
        )
        elapsed_s = self.now_s - stream.sent_s
        entry.record_evidence(
            stream.ticket,
            stream.server,
            outcome,
            elapsed_s,
            stream.count,
            self.now_s,
            stream.first_event_s,
        )
        if outcome is Outcome.COMPLETE:
            entry.record_response(stream.ticket, stream.server, True, self.now_s)
        else:
            entry.crash_monitor.record_loss(stream.ticket, stream.server, self.now_s)
        if self.is_new(stream.server) and (
            outcome is not Outcome.COMPLETE or stream.kind
        ):
            self.bad_s.append(self.now_s - self.start_s)
        self.apply(stream.number, dispatcher.dispatch_waiting(self.now_s))

    def count_late(self):
        """Counts sends to the new version 5 s after its 50th bad answer."""
        if len(self.bad_s) < 50:
            return 0
        return sum(at_s > self.bad_s[49] + 5.0 for at_s in self.sent_to_new_s)
