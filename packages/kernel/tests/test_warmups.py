import unittest

import builders
import msgspec
from hypothesis import given, settings, strategies

from wasabiknot_kernel import (
    limits,
    members,
    outcomes,
    routes,
    statements,
    warmups,
)

WARMUP_S = 3.0
WARMUP_PER_S = 9.3
COLD = statements.ChangeKind.COLD
WARM = statements.ChangeKind.WARM


def build_table(version=1, warmup_s=WARMUP_S, warmup_per_s=WARMUP_PER_S):
    """Builds a route table whose only service limits its cold servers."""
    configuration = builders.build_configuration(version)
    (service,) = configuration.services
    limited = msgspec.structs.replace(
        service, warmup_s=warmup_s, warmup_per_s=warmup_per_s
    )
    return routes.RouteTable(
        msgspec.structs.replace(configuration, services=(limited,))
    )


class ToleranceTests(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(
        strategies.floats(0.1, 200.0),
        strategies.floats(1.0, 3.0),
        strategies.floats(2.0, 50.0),
    )
    def test_any_second_stays_within_the_tolerance(self, rate_per_s, overrun, slack):
        # Guards against entries that save up more requests than a cold server bears.
        tolerance = warmups.Tolerance(overrun, slack)
        senders = tolerance.count_senders(rate_per_s)
        self.assertLessEqual(rate_per_s + senders, rate_per_s * overrun + slack)
        self.assertGreaterEqual(senders, 1)


class WarmupTests(unittest.TestCase):
    """One entry before two engines."""

    def setUp(self):
        self.entry = builders.build_deployment()
        self.entry.has_members = True
        self.entry.apply_configuration(build_table(), 0.0)
        for server_id in ("w1", "w2"):
            self.register(server_id, 0.0)
        self.entry.tick(0.0)
        self.dispatcher = self.entry.get_dispatcher("pool")
        self.warmups = self.entry.eligibility.warmups
        self.count = 0

    def register(self, server_id, now_s, **changes):
        fields = {"slots": 100, **changes}
        registration = builders.build_registration(server_id, **fields)
        self.entry.apply_registration(registration, now_s)

    def list_changes(self):
        changes = self.entry.eligibility.pop_changes()
        return [(change.server_id, change.kind) for change in changes]

    def count_sends(self, server_id, start_s, end_s, step_s=0.02):
        sent = 0
        for step in range(round((end_s - start_s) / step_s)):
            now_s = start_s + step * step_s
            self.entry.eligibility.tick(now_s, {"w1", "w2"})
            if self.entry.eligibility.may_send(server_id, now_s):
                self.count += 1
                request_id = f"q{self.count}"
                self.entry.eligibility.record_send(server_id, request_id, now_s)
                sent += 1
        return sent

    def test_cold_server_has_the_limit_of_its_service_until_it_is_warm(self):
        self.register("w1", 10.0, warmup_ms=3_000.0)
        self.assertTrue(self.warmups.is_cold("w1"))
        self.assertLessEqual(self.count_sends("w1", 10.0, 11.0), WARMUP_PER_S)
        self.assertGreaterEqual(self.count_sends("w1", 11.0, 12.0), WARMUP_PER_S - 2)
        self.assertGreater(self.count_sends("w1", 13.1, 14.0), 40)
        self.assertEqual(self.list_changes(), [("w1", COLD), ("w1", WARM)])

    def test_time_that_is_stated_later_replaces_that_stated_before(self):
        self.register("w1", 10.0, warmup_ms=3_000.0)
        self.register("w1", 11.0, warmup_ms=0.0)
        self.assertFalse(self.warmups.is_cold("w1"))
        self.register("w1", 12.0, warmup_ms=1_500.0)
        self.assertTrue(self.warmups.is_cold("w1"))
        self.assertEqual(self.warmups.find_left_s("w1", 12.5), 1.0)

    def test_server_may_become_cold_again_by_a_response(self):
        server = self.dispatcher.servers["w1"]
        statement = statements.Statement(cold_s=2.0)
        self.entry.record_statement(server, statement, 10.0, 10.1)
        self.assertTrue(self.warmups.is_cold("w1"))
        self.entry.tick(12.2)
        self.assertFalse(self.warmups.is_cold("w1"))

    def test_latency_of_a_server_that_is_cold_again_is_no_evidence(self):
        self.register("w1", 10.0, warmup_ms=3_000.0)
        self.assertEqual(self.dispatcher.servers["w1"].warm_until_s, 13.0)

    def test_lower_one_of_both_limits_holds(self):
        for stated_per_s, expected in ((2.0, 2.0), (50.0, WARMUP_PER_S)):
            self.setUp()
            self.register("w1", 10.0, warmup_ms=20_000.0)
            server = self.dispatcher.servers["w1"]
            statement = statements.Statement(limit_per_s=stated_per_s)
            self.entry.record_statement(server, statement, 10.0, 10.0)
            sent = self.count_sends("w1", 10.0, 20.0)
            self.assertLessEqual(sent, expected * 10.0 + 1)
            self.assertGreater(sent, expected * 10.0 * 0.7)

    def test_hedges_see_the_lowest_limit(self):
        # Guards against second sends to servers that are cold.
        self.assertIsNone(self.entry.eligibility.find_rate("w1"))
        self.register("w1", 10.0, warmup_ms=20_000.0)
        self.assertEqual(self.entry.eligibility.find_rate("w1"), WARMUP_PER_S)
        server = self.dispatcher.servers["w1"]
        statement = statements.Statement(limit_per_s=2.0)
        self.entry.record_statement(server, statement, 10.0, 10.0)
        self.assertEqual(self.entry.eligibility.find_rate("w1"), 2.0)

    def test_limit_ends_with_the_configuration_that_sets_it(self):
        self.register("w1", 10.0, warmup_ms=3_000.0)
        self.entry.apply_configuration(build_table(2, warmup_per_s=0.0), 10.5)
        self.assertFalse(self.warmups.is_cold("w1"))
        self.entry.apply_configuration(build_table(3), 11.0)
        self.assertTrue(self.warmups.is_cold("w1"))

    def test_registrations_may_be_known_before_the_configuration(self):
        # Guards against an entry that starts and takes cold servers for warm ones.
        self.entry = builders.build_deployment()
        self.entry.has_members = True
        self.register("w1", 10.0, warmup_ms=3_000.0)
        self.entry.apply_configuration(build_table(), 10.5)
        self.assertTrue(self.entry.eligibility.warmups.is_cold("w1"))

    def test_without_a_limit_of_the_service_nothing_changes(self):
        self.entry.apply_configuration(build_table(2, warmup_per_s=0.0), 1.0)
        self.register("w1", 10.0, warmup_ms=3_000.0)
        self.entry.record_broken_connection(self.dispatcher.servers["w1"], 10.0)
        self.entry.order_drain("graz")
        self.entry.lift_drain("graz", 10.0)
        self.assertFalse(self.entry.eligibility.has_waits)
        self.assertEqual(self.list_changes(), [])

    def test_entry_that_knows_no_others_sends_nothing_to_cold_servers(self):
        # Guards against each entry that starts taking itself for the only one.
        self.entry.has_members = False
        self.register("w1", 10.0, warmup_ms=30_000.0)
        self.entry.tick(10.0)
        self.assertEqual(self.count_sends("w1", 10.0, 12.0), 0)
        self.assertGreater(self.count_sends("w2", 10.0, 12.0), 0)
        self.entry.has_members = True
        self.entry.tick(12.0)
        self.assertGreater(self.count_sends("w1", 12.0, 15.0), 5)

    def test_servers_are_cold_after_a_drain(self):
        self.entry.order_drain("graz")
        self.entry.lift_drain("graz", 20.0)
        self.assertTrue(self.warmups.is_cold("w1"))
        self.assertLessEqual(self.count_sends("w1", 20.0, 21.0), WARMUP_PER_S)
        self.entry.tick(20.0 + WARMUP_S)
        self.assertFalse(self.warmups.is_cold("w1"))

    def test_longer_time_in_the_registration_outlasts_that_after_a_drain(self):
        self.entry.order_drain("graz")
        self.register("w1", 19.0, warmup_ms=9_000.0)
        self.entry.lift_drain("graz", 20.0)
        self.entry.tick(27.9)
        self.assertTrue(self.warmups.is_cold("w1"))
        self.assertFalse(self.warmups.is_cold("w2"))

    def test_shorter_time_in_the_registration_does_not_end_that_after_a_drain(self):
        self.entry.order_drain("graz")
        self.entry.lift_drain("graz", 20.0)
        self.register("w1", 20.5, warmup_ms=0.0)
        self.entry.tick(22.9)
        self.assertTrue(self.warmups.is_cold("w1"))

    def test_server_with_a_broken_connection_counts_as_cold(self):
        # Guards against a burst to a server that has restarted under its old id.
        self.entry.record_broken_connection(self.dispatcher.servers["w1"], 10.0)
        self.assertTrue(self.warmups.is_cold("w1"))
        self.entry.tick(14.9)
        self.assertTrue(self.warmups.is_cold("w1"))
        self.entry.tick(15.1)
        self.assertFalse(self.warmups.is_cold("w1"))

    def test_broken_connection_outlasts_a_lapse_of_the_registration(self):
        self.entry.record_broken_connection(self.dispatcher.servers["w1"], 10.0)
        self.entry.store_reads.record_read(10.5)
        self.entry.apply_removal("w1", 10.5)
        self.entry.tick(10.6)
        self.register("w1", 11.0)
        self.entry.tick(11.1)
        self.assertTrue(self.warmups.is_cold("w1"))

    def build_digest(self, started_ms, age_ms):
        report = statements.BrokenConnectionReport("w1", started_ms, age_ms)
        return members.Digest("e2", "r2", 1, {}, {}, {}, broken_servers=(report,))

    def test_broken_connection_that_a_peer_reports_counts_for_the_same_start(self):
        for started_ms, is_cold in ((1, True), (7, False)):
            self.setUp()
            peer = members.Member("e2", "r2", "10.0.0.2", 7000, "graz")
            self.entry.roster.apply_member(peer, 10.0)
            self.entry.apply_digest(self.build_digest(started_ms, 300), 10.0)
            self.assertIs(self.warmups.is_cold("w1"), is_cold)
            self.entry.tick(14.6)
            self.assertIs(self.warmups.is_cold("w1"), is_cold)
            self.entry.tick(14.8)
            self.assertFalse(self.warmups.is_cold("w1"))

    def test_report_is_passed_on_by_channel_and_ages(self):
        # Guards against entries that tell each other of the same break for ever.
        self.entry.record_broken_connection(self.dispatcher.servers["w1"], 10.0)
        own, group = statements.Channel.OWN, statements.Channel.GROUP
        (report,) = self.warmups.list_broken_connections(10.4, {own})
        self.assertEqual(report, statements.BrokenConnectionReport("w1", 1, 400))
        peer = builders.build_deployment("e2")
        peer.apply_configuration(build_table(), 0.0)
        peer.apply_registration(builders.build_registration("w1"), 0.0)
        peer.eligibility.apply_broken_connections([report], group, 10.4)
        self.assertEqual(
            peer.eligibility.warmups.list_broken_connections(10.5, {own}), ()
        )
        (passed,) = peer.eligibility.warmups.list_broken_connections(10.5, {own, group})
        self.assertEqual(passed.age_ms, 500)
        self.assertEqual(
            peer.eligibility.warmups.list_broken_connections(11.1, {group}), ()
        )

    def test_repeated_and_late_reports_change_nothing(self):
        # Guards against copies of a digest that keep a warm server limited.
        peer = members.Member("e2", "r2", "10.0.0.2", 7000, "graz")
        self.entry.roster.apply_member(peer, 10.0)
        reports = ((1, 0, 10.0), (2, 900, 10.9), (3, 5_000, 12.0))
        for sequence, age_ms, now_s in reports:
            digest = msgspec.structs.replace(
                self.build_digest(1, age_ms), sequence=sequence
            )
            self.entry.apply_digest(digest, now_s)
        self.entry.tick(15.1)
        self.assertFalse(self.warmups.is_cold("w1"))

    def test_waiting_requests_know_how_long_cold_servers_take(self):
        for server_id in ("w1", "w2"):
            self.register(server_id, 10.0, warmup_ms=9_000.0)
        wait_s = self.entry.eligibility.estimate_wait_s(["w1", "w2"], 10, 10.0)
        self.assertAlmostEqual(wait_s, 10 / (2 * WARMUP_PER_S))

    def test_request_goes_to_a_warm_server_instead(self):
        self.register("w1", 10.0, warmup_ms=9_000.0)
        for number in range(20):
            ticket = builders.build_ticket(f"q{number}", 10.0)
            (decision,) = self.dispatcher.submit(ticket, 10.0)
            self.assertEqual(decision.server.server_id, "w2")
            complete = outcomes.Outcome.COMPLETE
            self.dispatcher.record_end(ticket, decision.server, complete, 10.0)


class TakeoverTests(unittest.TestCase):
    def test_new_sender_waits_until_the_former_one_knows(self):
        # Guards against two sets of senders while entries have different views.
        table = limits.LimitTable("e1", [])
        table.takeover_s = 1.0
        names = ["e2"]
        table.find_candidates = lambda *_: limits.Candidates(tuple(names))
        table.record("w1", 10.0, 0.0, 0.0)
        names[:] = ["e1"]
        table.tick(5.0, {"w1"})
        self.assertFalse(table.may_send("w1", 5.9))
        self.assertFalse(table.may_send("w1", 6.05))
        self.assertTrue(table.may_send("w1", 6.15))
