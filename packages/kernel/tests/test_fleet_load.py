"""Plays the load of a large fleet before few engines a group, against one queue."""

import heapq
import unittest

import builders
import plays

from wasabiknot_kernel import assignments, routes, statements, summaries

DOMAINS = 5
SLOTS = 6
# Share of the slots that the load keeps busy, if nothing waits.
UTILIZATION = 0.72
# Speeds of the engines, relative to each other.
SPEEDS = (0.7, 1.0, 1.4)
PLAY_S = 10.0
WARM_UP_S = 3.0
OBJECTIVE_S = 0.4
# Time to the first event at speed 1, and mean and largest time of all of them.
FIRST_S = 0.1
MEAN_S = 1.1
MAX_S = 9.0


class Fleet(plays.World):
    """Entries in five failure domains before engines of unequal speed.

    :param seed: seed of the load.
    :param count: number of entries.
    :param engines: number of engines.
    :param utilization: share of the slots that the load keeps busy.
    """

    play_s = PLAY_S

    def __init__(self, seed, count, engines, utilization=UTILIZATION):
        self.speeds = {
            f"w{number}": SPEEDS[number % len(SPEEDS)] for number in range(engines)
        }
        capacity = SLOTS * sum(self.speeds.values()) / MEAN_S
        super().__init__(
            seed, count, engines, load_per_s=utilization * capacity, has_engines=True
        )
        # Requests after the warm-up: arrival and duration at speed 1, by their ids.
        self.asked = {}
        # Durations at speed 1 of all requests.
        self.durations = {}
        # Time in seconds from the arrival to the first event, by id.
        self.first_events_s = {}
        self.busy = dict.fromkeys(self.speeds, 0)
        self.sends = 0
        self.overfilled = 0
        self.counted_refusals = 0

    def start(self, number):
        self.runs[number] += 1
        entry = builders.build_deployment(
            f"e{number:03}", number, f"d{number % DOMAINS}", self.runs[number]
        )
        self.entries[number] = entry
        for other in self.entries:
            if other is not None and other is not entry:
                builders.connect_entries([entry, other], self.now_s)
        table = routes.RouteTable(builders.build_configuration())
        entry.apply_configuration(table, self.now_s)
        for server_id in self.servers:
            self.register(entry, server_id)

    def register(self, entry, server_id):
        domain = f"d{int(server_id[1:]) % DOMAINS}"
        entry.apply_registration(
            builders.build_registration(server_id, slots=SLOTS, domain=domain),
            self.now_s,
        )

    def play(self):
        steps = 0
        while self.elapsed_s < self.play_s:
            self.now_s += plays.STEP_S
            steps += 1
            self.advance_flights()
            self.arrive()
            for number in range(self.count):
                self.advance_entry(number, steps)
        return self

    def arrive(self):
        expected = self.load_per_s * plays.STEP_S
        left = self.rng.expovariate(1.0)
        while left < expected:
            left += self.rng.expovariate(1.0)
            self.requests += 1
            number = self.rng.randrange(self.count)
            duration_s = min(MAX_S, self.rng.expovariate(1 / MEAN_S))
            ticket = self.create_ticket(number, f"q{self.requests}")
            # Those at the end have no time to be answered.
            if WARM_UP_S < self.elapsed_s < self.play_s - OBJECTIVE_S:
                self.asked[ticket.request_id] = (self.now_s, duration_s)
            self.durations[ticket.request_id] = duration_s
            dispatcher = self.entries[number].get_dispatcher("pool")
            self.apply(number, dispatcher.submit(ticket, self.now_s))

    def apply(self, number, decisions):
        for decision in decisions:
            if isinstance(decision, assignments.Refusal):
                self.counted_refusals += decision.ticket.request_id in self.asked
        super().apply(number, decisions)
        if decisions:
            self.announce(number)

    def announce(self, number):
        """Sends the digest of an entry as its loads have changed."""
        entry = self.entries[number]
        peers = entry.roster.list_group_peers()
        self.deliver([entry.build_digest(self.now_s)], peers)

    def respond(self, number, decision):
        server_id = decision.server.server_id
        speed = self.speeds[server_id]
        ticket = decision.ticket
        queued_s = 0.0
        self.sends += 1
        if self.busy[server_id] >= SLOTS:
            # The engine runs it when a slot is free.
            self.overfilled += 1
            queued_s = MEAN_S / speed / SLOTS
        self.busy[server_id] += 1
        head_s = queued_s + FIRST_S / speed
        waited_s = self.now_s - ticket.arrived_s
        self.first_events_s[ticket.request_id] = waited_s + head_s
        return plays.Response(
            statements.Statement(),
            head_s=head_s,
            duration_s=head_s + self.durations[ticket.request_id] / speed,
        )

    def read_head(self, flight):
        decision = flight.decision
        flight.entry.get_dispatcher("pool").record_first_event(
            decision.ticket, decision.server, self.now_s
        )

    def end(self, flight):
        self.busy[flight.decision.server.server_id] -= 1
        super().end(flight)
        number = flight.number
        self.announce(number)
        dispatcher = self.entries[number].get_dispatcher("pool")
        self.apply(number, dispatcher.dispatch_waiting(self.now_s))

    def advance_entry(self, number, steps):
        entry = self.entries[number]
        entry.tick(self.now_s)
        dispatcher = entry.get_dispatcher("pool")
        if len(dispatcher):
            self.apply(number, dispatcher.refuse_expired(self.now_s))
            self.apply(number, dispatcher.dispatch_waiting(self.now_s))
        if steps % plays.DIGEST_STEPS == number % plays.DIGEST_STEPS:
            per_summary = entry.roster.digests_per_summary
            is_due = steps // plays.DIGEST_STEPS % per_summary == 0
            due = summaries.Due(group=is_due, remote=is_due)
            for digests, peers in builders.list_datagrams(entry, self.now_s, due):
                self.deliver(digests, peers)

    def count_served(self):
        """Counts the requests whose first event met the objective."""
        return sum(
            self.first_events_s.get(request_id, self.play_s) <= OBJECTIVE_S
            for request_id in self.asked
        )

    def count_served_by_one_queue(self):
        """Counts those of one queue over all slots, fastest free slot first."""
        busy = []
        free = [
            (1 / speed, number)
            for number, speed in enumerate(sorted(self.speeds.values()))
            for _ in range(SLOTS)
        ]
        heapq.heapify(free)
        served = 0
        for arrived_s, duration_s in self.asked.values():
            while busy and busy[0][0] <= arrived_s:
                heapq.heappush(free, heapq.heappop(busy)[1])
            start_s = arrived_s
            if not free:
                start_s, slot = heapq.heappop(busy)
                heapq.heappush(free, slot)
            slowness, number = heapq.heappop(free)
            first_s = FIRST_S * slowness
            if start_s - arrived_s + first_s > OBJECTIVE_S:
                heapq.heappush(busy, (start_s, (slowness, number)))
                continue
            served += 1
            end_s = start_s + first_s + duration_s * slowness
            heapq.heappush(busy, (end_s, (slowness, number)))
        return served


class SharesTests(unittest.TestCase):
    """At least 0.95 of what one queue over all entries would serve in time."""

    def play(self, count, engines, utilization):
        fleet = Fleet(1, count, engines, utilization).play()
        return fleet, fleet.count_served() / fleet.count_served_by_one_queue()

    def test_groups_serve_what_one_queue_serves(self):
        for count, engines, utilization in ((60, 20, 0.72), (120, 38, 0.6)):
            with self.subTest(count=count, utilization=utilization):
                fleet, ratio = self.play(count, engines, utilization)
                self.assertGreater(ratio, 0.95)
                self.assertEqual(fleet.counted_refusals, 0)

    def test_engines_are_hardly_overfilled(self):
        # Guards against peers that hear of a send only with the next digest.
        fleet, _ = self.play(60, 20, 0.72)
        self.assertLess(fleet.overfilled, 0.1 * fleet.sends)
