import unittest

import builders
import msgspec
from hypothesis import given, stateful, strategies

from wasabiknot_kernel import (
    assignments,
    budgets,
    dispatch,
    hedging,
    outcomes,
    routes,
    send_durations,
    servers,
)

NOW_S = 100.0
ROUTE = builders.build_route(is_resumable=True)
PLAIN_ROUTE = builders.build_route(
    name="lookup", retry_rule=routes.RetryRule.IDEMPOTENT
)


def build_hedging(share=1.0):
    knowledge = hedging.Hedging(lambda ticket: False, lambda server_id: None)
    knowledge.set_share(share)
    for _ in range(100):
        knowledge.record_send()
    return knowledge


def build_budget():
    budget = budgets.RetryBudget(0.2, 10.0, 50.0)
    for _ in range(100):
        budget.record_request(NOW_S)
    return budget


def send(dispatcher, ticket, now_s=NOW_S):
    (assignment,) = dispatcher.submit(ticket, now_s)
    ticket.sends += 1
    return assignment


class RequestTests(unittest.TestCase):
    def check(self, is_hedged, ticket):
        self.assertIs(hedging.may_be_hedged(ticket), is_hedged)

    def test_resumable_streams_and_idempotent_requests_are_hedged(self):
        self.check(True, builders.build_ticket(route=ROUTE))
        self.check(True, builders.build_ticket(route=PLAIN_ROUTE))

    def test_request_that_may_run_once_is_not(self):
        for rule in (routes.RetryRule.ONCE, routes.RetryRule.STREAM):
            route = builders.build_route(retry_rule=rule)
            self.check(False, builders.build_ticket(route=route))

    def test_request_with_one_attempt_is_not(self):
        route = msgspec.structs.replace(ROUTE, attempts=1)
        self.check(False, builders.build_ticket(route=route))

    def test_request_that_is_one_send_by_its_purpose_is_not(self):
        for name, value in (
            ("is_begun", True),
            ("trial_key", "f"),
            ("is_path_trial", True),
            ("is_taken_over", True),
        ):
            with self.subTest(name=name):
                ticket = builders.build_ticket(route=ROUTE)
                setattr(ticket, name, value)
                self.check(False, ticket)

    def test_stream_that_its_caller_resumes_is_not(self):
        ticket = builders.build_ticket(route=ROUTE)
        arrival = msgspec.structs.replace(ticket.arrival, last_event_id=4)
        self.check(False, msgspec.structs.replace(ticket, arrival=arrival))


class DecisionTests(unittest.TestCase):
    def setUp(self):
        self.dispatcher = builders.build_dispatcher(servers=4)
        self.knowledge = build_hedging()
        self.budget = build_budget()
        self.ticket = builders.build_ticket(now_s=NOW_S, route=ROUTE)
        self.first = send(self.dispatcher, self.ticket)

    def decide(self, has_time=True):
        return self.knowledge.decide(
            self.ticket, self.dispatcher, self.budget, has_time, NOW_S
        )

    def check_stays(self, reason, **options):
        sends = [len(item.sends) for item in self.dispatcher.servers.values()]
        retries = len(self.budget._retries)
        self.assertEqual(self.decide(**options), assignments.Stay(reason))
        self.assertEqual(
            [len(item.sends) for item in self.dispatcher.servers.values()], sends
        )
        self.assertEqual(len(self.budget._retries), retries)

    def test_hedge_goes_to_another_server_and_takes_its_slot(self):
        hedge = self.decide()
        self.assertIsNot(hedge.server, self.first.server)
        self.assertIn(self.ticket.request_id, hedge.server.sends)
        self.assertIn(self.ticket.request_id, self.first.server.sends)

    def test_hedge_counts_against_the_attempts(self):
        self.ticket.sends = ROUTE.attempts
        self.check_stays(outcomes.NO_ATTEMPTS)

    def test_no_hedge_without_time(self):
        self.check_stays("no time left", has_time=False)

    def test_no_hedge_of_what_may_crash_servers(self):
        self.knowledge._is_suspected = lambda ticket: ticket is self.ticket
        self.check_stays(hedging.SUSPECTED)

    def test_no_hedge_to_an_unproven_version(self):
        # It would be a second request beyond the share that the version may get.
        self.ticket.is_canary = True
        self.check_stays(hedging.CANARY)

    def test_no_hedge_to_brittle_servers(self):
        self.dispatcher.is_brittle = True
        self.check_stays(hedging.BRITTLE)

    def test_no_hedge_while_a_request_waits_here(self):
        waiting = builders.build_ticket("q2", route=ROUTE)
        self.dispatcher._waiting[id(waiting)] = waiting
        self.check_stays(hedging.WAITING)

    def test_no_hedge_while_a_request_of_the_group_waits(self):
        self.dispatcher.waiting_entries = ("e1", "e2")
        self.check_stays(hedging.WAITING)

    def test_no_hedge_while_most_slots_are_busy(self):
        for server in self.dispatcher.servers.values():
            server.peer_loads["e2"] = servers.PeerLoad(3, 0)
        self.check_stays(hedging.BUSY)

    def test_full_servers_of_the_group_count_not_those_of_others(self):
        group = {self.first.server.server_id}
        self.dispatcher.group_servers = group
        self.first.server.peer_loads["e2"] = servers.PeerLoad(3, 0)
        self.check_stays(hedging.BUSY)

    def test_no_hedge_to_a_server_with_a_limit(self):
        self.knowledge._find_rate = lambda server_id: 5.0
        self.check_stays(dispatch.NO_SERVER)

    def test_no_hedge_to_an_avoided_server(self):
        for server in self.dispatcher.servers.values():
            server.avoid_until_s = NOW_S + 1.0
        self.check_stays(dispatch.NO_SERVER)

    def test_no_hedge_to_a_drained_failure_domain(self):
        for server in self.dispatcher.servers.values():
            if server is not self.first.server:
                server.registration = builders.build_registration(
                    server.server_id, domain="linz"
                )
        self.dispatcher._eligibility.drains.order("linz")
        self.check_stays(dispatch.NO_SERVER)
        self.dispatcher._eligibility.drains.lift("linz")
        self.assertIsInstance(self.decide(), assignments.Assignment)

    def test_no_hedge_to_a_region_that_is_not_allowed(self):
        # Guards against a body that leaves the regions of its customer.
        self.ticket.allowed_regions = frozenset(["south"])
        self.check_stays(dispatch.NO_SERVER)

    def test_plain_server_that_has_stated_that_it_is_full_gets_no_hedge(self):
        # Its load by peers is in no digest.
        self.dispatcher.set_engine(None)
        with_room = None
        for server in self.dispatcher.servers.values():
            if server is self.first.server:
                continue
            if with_room is None:
                with_room = server
            else:
                server.reported_load = server.slots
        self.assertIs(self.decide().server, with_room)

    def test_no_hedge_beyond_the_part_of_the_retry_budget(self):
        self.budget = budgets.RetryBudget(0.2, 10.0, 50.0)
        self.budget.has_slack = True
        self.check_stays(outcomes.NO_BUDGET)

    def test_no_hedge_after_the_retry_budget_is_used_up(self):
        while self.budget.try_acquire(NOW_S):
            pass
        self.check_stays(outcomes.NO_BUDGET)

    def test_no_hedge_beyond_the_share(self):
        self.knowledge = hedging.Hedging(lambda ticket: False, lambda server_id: None)
        self.check_stays(hedging.SHARE_USED_UP)
        self.knowledge.set_share(0.4)
        for _ in range(3):
            self.knowledge.record_send()
        self.assertIsInstance(self.decide(), assignments.Assignment)
        self.knowledge.record_send()
        self.check_stays(hedging.SHARE_USED_UP)

    def test_share_is_saved_up_to_a_bound(self):
        # An entry that was idle for long must not hedge all that comes next.
        share = hedging.HedgeShare()
        share.share = 1.0
        for _ in range(100):
            share.record_send()
        hedges = 0
        while share.has_hedge:
            share.use_hedge()
            hedges += 1
        self.assertEqual(hedges, hedging.MAX_SAVED_HEDGES)

    def test_delay_is_that_of_slow_sends(self):
        send_class = send_durations.classify(self.ticket, self.first.server, NOW_S)
        expectation = send_durations.Expectation(send_class, 100.0)
        find_delay_s = self.knowledge.find_delay_s
        self.assertIsNone(find_delay_s(self.ticket, expectation))
        for _ in range(send_durations.MIN_SAMPLES):
            self.knowledge.durations.add(expectation, 0.1)
        self.assertAlmostEqual(find_delay_s(self.ticket, expectation), 0.1, 2)
        self.knowledge.set_share(0.0)
        self.assertIsNone(find_delay_s(self.ticket, expectation))


class DeploymentTests(unittest.TestCase):
    def test_hedges_are_off_unless_the_policy_allows_them(self):
        deployment = builders.build_deployment("e1", 1)
        self.assertFalse(deployment.hedging.is_on)
        policy = msgspec.structs.replace(builders.POLICY, hedge_share=0.05)
        deployment.set_policy(policy)
        self.assertTrue(deployment.hedging.is_on)
        deployment.set_policy(builders.POLICY)
        self.assertFalse(deployment.hedging.is_on)


class HedgeMachine(stateful.RuleBasedStateMachine):
    """Requests, sends that end, peers and settings, in any order.

    Guards against a hedge to the same server, to a full one, beside a waiting request
    or beyond one of the limits, and against a slot that stays taken.
    """

    def __init__(self):
        super().__init__()
        self.now_s = NOW_S
        self.dispatcher = builders.build_dispatcher(servers=3, slots=2)
        self.knowledge = hedging.Hedging(lambda ticket: False, lambda server_id: None)
        self.budget = budgets.RetryBudget(0.2, 10.0, 50.0)
        self.budget.has_slack = True
        self.requests = 0
        self.sent = 0
        self.hedges = 0
        self.highest_share = 0.0
        self.flights = []

    @stateful.rule(share=strategies.floats(0.0, 1.0))
    def set_share(self, share):
        self.knowledge.set_share(share)
        self.highest_share = max(self.highest_share, share)

    @stateful.rule(seconds=strategies.floats(0.0, 3.0))
    def wait(self, seconds):
        self.now_s += seconds

    def start(self, decisions):
        for decision in decisions:
            if isinstance(decision, assignments.Assignment):
                decision.ticket.sends += 1
                self.sent += 1
                self.knowledge.record_send()
                self.flights.append(decision)

    @stateful.rule(count=strategies.integers(1, 8))
    def arrive(self, count):
        for _ in range(count):
            self.requests += 1
            self.budget.record_request(self.now_s)
            ticket = builders.build_ticket(f"q{self.requests}", self.now_s, ROUTE)
            self.start(self.dispatcher.submit(ticket, self.now_s))

    @stateful.rule(number=strategies.integers(0, 100))
    def end(self, number):
        if self.flights:
            flight = self.flights.pop(number % len(self.flights))
            self.dispatcher.record_end(
                flight.ticket, flight.server, outcomes.Outcome.COMPLETE, self.now_s
            )
            self.start(self.dispatcher.dispatch_waiting(self.now_s))

    @stateful.rule(number=strategies.integers(0, 2), running=strategies.integers(0, 2))
    def hear(self, number, running):
        server = self.dispatcher.servers[f"w{number}"]
        server.peer_loads["e2"] = servers.PeerLoad(running, 0)

    @stateful.rule(number=strategies.integers(0, 100))
    def hedge(self, number):
        if not self.flights:
            return
        ticket = self.flights[number % len(self.flights)].ticket
        running = {
            server_id: server.count_running()
            for server_id, server in self.dispatcher.servers.items()
        }
        at = {item.server for item in self.flights if item.ticket is ticket}
        decision = self.knowledge.decide(
            ticket, self.dispatcher, self.budget, True, self.now_s
        )
        if isinstance(decision, assignments.Stay):
            return
        self.hedges += 1
        assert not len(self.dispatcher)
        assert decision.server not in at
        assert running[decision.server.server_id] < decision.server.slots
        assert sum(running.values()) <= hedging.MAX_BUSY_SHARE * 6
        self.start([decision])
        assert ticket.sends <= ticket.route.attempts

    @stateful.invariant()
    def limits_hold(self):
        assert self.hedges <= self.highest_share * self.sent + 1e-6
        part = budgets.HEDGE_FRACTION * 0.2 * self.requests
        assert self.hedges <= part + 1e-6

    @stateful.invariant()
    def slots_are_those_of_the_flights(self):
        sends = sum(len(item.sends) for item in self.dispatcher.servers.values())
        assert sends == len(self.flights)


HedgeMachineTests = HedgeMachine.TestCase


class BudgetTests(unittest.TestCase):
    @given(
        strategies.lists(
            strategies.tuples(strategies.floats(0, 0.5), strategies.booleans()),
            max_size=200,
        )
    )
    def test_hedges_leave_the_larger_part_of_the_budget_to_failures(self, steps):
        budget = budgets.RetryBudget(0.2, 10.0, 0.0)
        now_s = 0.0
        requests = []
        hedges = []
        for gap_s, is_hedge in steps:
            now_s += gap_s
            for _ in range(5):
                budget.record_request(now_s)
                requests.append(now_s)
            if is_hedge and budget.try_acquire_hedge(now_s):
                hedges.append(now_s)
            count = sum(at_s > now_s - 10.0 for at_s in requests)
            recent = sum(at_s > now_s - 10.0 for at_s in hedges)
            # As the platform counts: the ratio of the requests in a window.
            part = budgets.HEDGE_FRACTION * 0.2 * count
            older = sum(at_s > now_s - 20.0 for at_s in requests) - count
            part = max(part, budgets.HEDGE_FRACTION * 0.2 * older)
            self.assertLessEqual(recent, max(budgets.MIN_HEDGES_PER_WINDOW, part))
            total = budgets.HEDGE_FRACTION * 0.2 * len(requests)
            self.assertLessEqual(len(hedges), total)

    def test_hedges_are_retries(self):
        budget = build_budget()
        budget.has_slack = False
        allowed = 0
        probe = build_budget()
        probe.has_slack = False
        while probe.try_acquire(NOW_S):
            allowed += 1
        self.assertTrue(budget.try_acquire_hedge(NOW_S))
        for _ in range(allowed - 1):
            self.assertTrue(budget.try_acquire(NOW_S))
        self.assertFalse(budget.try_acquire(NOW_S))
