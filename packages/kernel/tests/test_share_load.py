"""Plays competing customers before engines that are too few for all of them."""

import collections
import functools
import heapq
import math
import random
import statistics
import unittest

import builders
import msgspec
import plays
import test_fleet_load as fleet_load

from wasabiknot_kernel import assignments

CUSTOMERS = tuple(f"c{number:02}" for number in range(16))
GREEDY = CUSTOMERS[0]
# Usual load of the customer that sends more and of all others together, and the load
# of all while it does, as shares of the capacity.
GREEDY_USUAL = 0.1
OTHERS_USUAL = 0.8
GREEDY_FACTOR = 7
# The nominal capacity leaves out the time to the first event and the step of the play.
HOLD_RATIO = fleet_load.MEAN_S / (fleet_load.MEAN_S + fleet_load.FIRST_S + plays.STEP_S)
URGENT_SHARE = 0.1
CUT_S = (6.0, 11.0)
RESTART_EVERY_S = 5.0
# Time before their deadlines at which callers give up returning.
GIVE_UP_S = 8.5
ENTRIES = 8
ENGINES = 9


class Market(fleet_load.Fleet):
    """Entries that customers with unequal demands share.

    :param seed: seed of the load.
    :param greedy_factor: load of one customer as a multiple of its usual one.
    :param is_fair: whether customers have shares.
    :param count: number of entries.
    :param engines: number of engines.
    :param retries: whether callers of that customer return at once when refused.
    :param loss: share of the digests that are lost.
    :param restarts: number of entries that restart with their requests lost, one after
        the other.
    :param cut_s: times in seconds between which one entry exchanges no digests.
    """

    play_s = 16.0

    def __init__(
        self,
        seed,
        greedy_factor,
        is_fair,
        count=ENTRIES,
        engines=ENGINES,
        retries=False,
        loss=plays.DIGEST_LOSS,
        restarts=0,
        cut_s=(0.0, 0.0),
    ):
        self.is_fair = is_fair
        self.retries = retries
        self.loss = loss
        # Separate, so that all plays with one seed have the same requests.
        self.losses = random.Random(seed)
        self.left_restarts = restarts
        self.cut_s = cut_s
        self.returning = []
        self.restarted = 0
        self.owners = {}
        # Number of the entry at which each request arrives.
        self.numbers = {}
        self.changed = set()
        self.refused_by_customer = collections.Counter()
        self.retry_after_s = []
        others = len(CUSTOMERS) - 1
        weights = [OTHERS_USUAL / others] * len(CUSTOMERS)
        weights[0] = GREEDY_USUAL * greedy_factor
        self.weights = weights
        super().__init__(seed, count, engines, sum(weights) * HOLD_RATIO)

    def start(self, number):
        super().start(number)
        entry = self.entries[number]
        entry.handle_load_change = lambda: self.changed.add(number)
        entry.set_policy(
            msgspec.structs.replace(entry.policy, fair_queueing=self.is_fair)
        )

    def create_ticket(self, number, request_id):
        ticket = super().create_ticket(number, request_id)
        ticket.customer = self.rng.choices(CUSTOMERS, self.weights)[0]
        self.owners[request_id] = ticket.customer
        self.numbers[request_id] = number
        return ticket

    def apply(self, number, decisions):
        super().apply(number, decisions)
        for decision in decisions:
            if isinstance(decision, assignments.Refusal):
                self.note_refusal(decision)

    def note_refusal(self, refusal):
        customer = refusal.ticket.customer
        self.refused_by_customer[customer] += 1
        self.retry_after_s.append(refusal.retry_after_s)
        is_persistent = self.now_s < refusal.ticket.deadline_s - GIVE_UP_S
        if self.retries and customer == GREEDY and is_persistent:
            self.load_again(refusal.ticket)

    def load_again(self, ticket):
        # It returns with the next step, at any entry.
        self.requests += 1
        request_id = f"r{self.requests}"
        again = builders.build_ticket(request_id, self.now_s)
        again.customer = GREEDY
        again.fingerprint = ticket.fingerprint
        again.deadline_s = ticket.deadline_s
        self.owners[request_id] = GREEDY
        self.durations[request_id] = self.durations[ticket.request_id]
        number = self.rng.randrange(self.count)
        self.returning.append((number, again))

    def advance_entry(self, number, steps):
        # A changed load or queue is announced at once.
        if number in self.changed:
            self.announce(number)
            self.changed.discard(number)
        super().advance_entry(number, steps)

    def is_cut(self, name):
        start_s, end_s = self.cut_s
        return name == "e000" and start_s <= self.elapsed_s < end_s

    def deliver(self, digests, peers):
        for peer in peers:
            if self.is_cut(peer.member.name) or self.is_cut(digests[0].name):
                continue
            if self.losses.random() >= self.loss:
                entry = self.entries[int(peer.member.name[1:])]
                for digest in digests:
                    entry.apply_digest(digest, self.now_s)

    def arrive(self):
        self.restart_one()
        self.returning, returning = [], self.returning
        super().arrive()
        for number, ticket in returning:
            ticket.arrived_s = self.now_s
            dispatcher = self.entries[number].get_dispatcher("pool")
            self.apply(number, dispatcher.submit(ticket, self.now_s))

    def restart_one(self):
        if self.left_restarts and self.elapsed_s > RESTART_EVERY_S * (
            1 + self.restarted
        ):
            number = self.restarted
            self.restarted += 1
            self.left_restarts -= 1
            for flight in self.flights:
                if flight.number == number:
                    self.busy[flight.decision.server.server_id] -= 1
            self.flights = [item for item in self.flights if item.number != number]
            self.start(number)

    def measure_shares(self):
        """Measures by customer which part of its requests was served in time."""
        asked = collections.Counter(self.owners[item] for item in self.asked)
        served = collections.Counter(
            self.owners[item]
            for item in self.asked
            if self.first_events_s.get(item, self.play_s) <= fleet_load.OBJECTIVE_S
        )
        return {name: served[name] / asked[name] for name in asked}

    def measure_answered(self):
        """Measures which part of the requests of the others was served at all."""
        asked = [item for item in self.asked if self.owners[item] != GREEDY]
        return sum(item in self.first_events_s for item in asked) / len(asked)

    def measure_share_by_one_queue(self):
        """Measures which part of the others' requests one queue would serve in time.

        It sends a request of the customer that sends more only if no other waits.
        """
        free = sorted(
            (1 / speed, number)
            for number, speed in enumerate(self.speeds.values())
            for _ in range(fleet_load.SLOTS)
        )
        heapq.heapify(free)
        arrivals = collections.deque(
            (arrived_s, duration_s, self.owners[request_id] == GREEDY)
            for request_id, (arrived_s, duration_s) in self.asked.items()
        )
        busy = []
        waiting = []
        served = asked = 0
        while arrivals or waiting:
            next_end_s = busy[0][0] if busy else math.inf
            if arrivals and (arrivals[0][0] <= next_end_s):
                arrived_s, duration_s, is_greedy = arrivals.popleft()
                now_s = arrived_s
                heapq.heappush(waiting, (is_greedy, arrived_s, duration_s))
                asked += not is_greedy
            else:
                now_s, slot = heapq.heappop(busy)
                heapq.heappush(free, slot)
            while waiting and free:
                is_greedy, arrived_s, duration_s = heapq.heappop(waiting)
                slowness = free[0][0]
                first_s = fleet_load.FIRST_S * slowness
                if now_s - arrived_s + first_s > fleet_load.OBJECTIVE_S:
                    continue
                served += not is_greedy
                end_s = now_s + first_s + duration_s * slowness + plays.STEP_S
                heapq.heappush(busy, (end_s, heapq.heappop(free)))
        return served / asked


def average_others(shares):
    return statistics.fmean(share for name, share in shares.items() if name != GREEDY)


class Ranks(Market):
    """A market in which a tenth of the requests are urgent, from any customer."""

    def __init__(self, *arguments, **options):
        # Waiting times in seconds of urgent requests that others were sent before.
        self.passed_over_s = []
        self.urgent_waits_s = []
        super().__init__(*arguments, **options)

    def create_ticket(self, number, request_id):
        ticket = super().create_ticket(number, request_id)
        if self.rng.random() < URGENT_SHARE:
            ticket.rank = 0
        return ticket

    def apply(self, number, decisions):
        for decision in decisions:
            if isinstance(decision, assignments.Refusal):
                continue
            if decision.ticket.rank == 0:
                self.urgent_waits_s.append(decision.waited_s)
            else:
                self.passed_over_s += self.list_urgent_waits_s()
        super().apply(number, decisions)

    def list_urgent_waits_s(self):
        return [
            self.now_s - ticket.arrived_s
            for entry in self.entries
            for ticket in entry.get_dispatcher("pool").list_waiting()
            if ticket.rank == 0
        ]


@functools.cache
def play_competition():
    return Market(1, GREEDY_FACTOR, True).play()


class CompetitionTests(unittest.TestCase):
    """One customer sends seven times its usual load, 1.5 times the capacity in all."""

    def test_others_are_served_as_often_as_without_that_customer(self):
        # Guards against a customer that is served the more often the more it sends.
        alone = Market(1, 0, True).play().measure_answered()
        today = Market(1, GREEDY_FACTOR, False).play()
        fair = play_competition()
        self.assertLess(today.measure_answered(), 0.8 * alone)
        self.assertGreater(fair.measure_answered(), 0.95 * alone)
        in_time = average_others(fair.measure_shares())
        self.assertGreater(in_time, 0.9 * fair.measure_share_by_one_queue())
        self.assertGreater(min(fair.measure_shares().values()), 0.1)
        self.assertGreater(fair.sends, 0.95 * today.sends)

    def test_callers_that_return_at_once_harm_only_their_own_customer(self):
        fair = Market(1, GREEDY_FACTOR, True, retries=True).play()
        refused = fair.refused_by_customer
        self.assertGreater(fair.measure_answered(), 0.95)
        self.assertGreater(refused[GREEDY], 0.95 * refused.total())

    def test_shares_cost_nobody_anything_while_capacity_suffices(self):
        today = Market(1, 1, False).play()
        fair = Market(1, 1, True).play()
        in_time = average_others(fair.measure_shares())
        self.assertGreater(in_time, 0.98 * average_others(today.measure_shares()))

    def test_shares_refuse_no_more_while_capacity_suffices(self):
        # Guards against refusals for a shortage that there isn't.
        today = Market(1, 1, False).play().refused_by_customer.total()
        fair = Market(1, 1, True).play().refused_by_customer.total()
        self.assertLessEqual(fair, today)

    def test_engines_are_hardly_overfilled(self):
        # Guards against two entries that claim the same slot.
        fair = play_competition()
        self.assertLess(fair.overfilled, 0.1 * fair.sends)


class RankTests(unittest.TestCase):
    def test_urgent_requests_are_not_passed_over_for_long(self):
        # Guards against an entry that sends what is less urgent on its own slots.
        for loss in (plays.DIGEST_LOSS, 0.3):
            with self.subTest(loss=loss):
                fair = Ranks(1, GREEDY_FACTOR, True, loss=loss).play()
                self.assertGreater(len(fair.urgent_waits_s), 50)
                self.assertLessEqual(max(fair.passed_over_s, default=0.0), 0.4)

    def test_urgent_requests_wait_less_than_today(self):
        today = Ranks(1, GREEDY_FACTOR, False).play()
        fair = Ranks(1, GREEDY_FACTOR, True).play()
        mean_s = statistics.fmean(fair.urgent_waits_s)
        self.assertLess(mean_s, 0.5 * statistics.fmean(today.urgent_waits_s))


class FailureTests(unittest.TestCase):
    def test_others_are_served_while_digests_are_lost(self):
        for loss in (0.3, 0.6):
            with self.subTest(loss=loss):
                fair = Market(1, GREEDY_FACTOR, True, loss=loss).play()
                self.assertGreater(fair.measure_answered(), 0.9)

    def test_entry_that_was_cut_off_goes_on_with_what_it_hears(self):
        # Guards against claims and totals that are kept from before.
        whole = play_competition()
        fair = Market(1, GREEDY_FACTOR, True, cut_s=CUT_S).play()
        self.assertGreater(fair.measure_answered(), 0.9)
        self.assertGreater(fair.sends, 0.9 * whole.sends)

    def test_entry_that_was_cut_off_overfills_engines_no_more_than_today(self):
        # What it sends meanwhile overfills engines, with or without shares.
        today = Market(1, GREEDY_FACTOR, False, cut_s=CUT_S).play()
        fair = Market(1, GREEDY_FACTOR, True, cut_s=CUT_S).play()
        self.assertLessEqual(fair.overfilled, today.overfilled)

    def test_slots_left_to_an_entry_that_has_died_are_used(self):
        # Guards against slots that stay free for a queue that nobody sends from.
        whole = play_competition()
        broken = Market(1, GREEDY_FACTOR, True, restarts=2).play()
        self.assertGreater(broken.sends, 0.9 * whole.sends)


class Groups(Market):
    """A market with several groups in each of five failure domains."""

    play_s = 9.0


class GroupTests(unittest.TestCase):
    def test_others_are_served_in_all_groups(self):
        # Guards against shares that hold in one group only.
        today = Groups(1, GREEDY_FACTOR, False, count=40, engines=36).play()
        fair = Groups(1, GREEDY_FACTOR, True, count=40, engines=36).play()
        self.assertLess(today.measure_answered(), 0.8)
        self.assertGreater(fair.measure_answered(), 0.95)
        self.assertGreater(fair.sends, 0.95 * today.sends)
        by_domain = collections.Counter()
        asked = collections.Counter()
        for request_id in fair.asked:
            if fair.owners[request_id] != GREEDY:
                domain = fair.numbers[request_id] % fleet_load.DOMAINS
                asked[domain] += 1
                by_domain[domain] += request_id in fair.first_events_s
        for domain, count in asked.items():
            with self.subTest(domain=domain):
                self.assertGreater(by_domain[domain], 0.9 * count)
