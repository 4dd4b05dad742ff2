import unittest
from unittest import mock

import builders

from wasabiknot_kernel import (
    assignments,
    deferrals,
    eligibility,
    leaving_servers,
    outcomes,
    statements,
)

LEAVING = statements.Statement(is_leaving=True)
SILENT = statements.Statement()
LIMITED = statements.Statement(limit_per_s=5.5)


class LeavingTests(unittest.TestCase):
    def setUp(self):
        self.eligibility = eligibility.Eligibility("e1")

    def test_leaving_server_stays_so_whatever_it_says_later(self):
        self.eligibility.record("w1", 1, LEAVING, 0.0, 0.1)
        self.eligibility.record("w1", 1, SILENT, 0.2, 0.3)
        self.assertTrue(self.eligibility.is_leaving("w1", 1))

    def test_another_start_of_the_server_is_not_leaving(self):
        self.eligibility.record("w1", 1, LEAVING, 0.0, 0.1)
        self.assertFalse(self.eligibility.is_leaving("w1", 2))

    def test_late_report_of_an_earlier_start_ended_the_leaving_of_the_next(self):
        report = statements.LeavingReport("w1", 1)
        self.eligibility.record("w1", 2, LEAVING, 0.0, 0.1)
        self.eligibility.apply_reports((), (report,), statements.Channel.GROUP, 0.2)
        self.assertTrue(self.eligibility.is_leaving("w1", 2))

    def test_leaving_of_earlier_starts_is_not_kept_for_good(self):
        for started_ms in range(1, 100):
            now_s = 10.0 * started_ms
            self.eligibility.apply_start("w1", started_ms, now_s)
            self.eligibility.record("w1", started_ms, LEAVING, now_s, now_s)
            self.eligibility.tick(now_s, {"w1": "pool"})
        reports = self.eligibility.list_leaving_reports(now_s, statements.Channel)
        self.assertEqual(reports, (statements.LeavingReport("w1", 99),))
        kept = [self.eligibility.is_leaving("w1", number) for number in range(1, 100)]
        self.assertLessEqual(sum(kept), 1 + leaving_servers.LEAVING_MEMORY_S / 10.0)

    def test_lapse_of_the_registration_changes_nothing(self):
        self.eligibility.record("w1", 1, LEAVING, 0.0, 0.1)
        self.eligibility.apply_start("w1", 1, 0.2)
        self.eligibility.tick(10.0, {})
        self.assertTrue(self.eligibility.is_leaving("w1", 1))
        self.eligibility.tick(1.0 + leaving_servers.LEAVING_MEMORY_S, {})
        self.assertFalse(self.eligibility.is_leaving("w1", 1))

    def test_peers_learn_of_it_and_do_not_pass_it_on_as_their_own(self):
        peer = eligibility.Eligibility("e2")
        self.eligibility.record("w1", 1, LEAVING, 0.0, 0.1)
        own = {statements.Channel.OWN}
        reports = self.eligibility.list_leaving_reports(0.2, own)
        peer.apply_reports((), reports, statements.Channel.GROUP, 0.2)
        self.assertTrue(peer.is_leaving("w1", 1))
        self.assertEqual(peer.list_leaving_reports(0.3, own), ())

    def test_unreadable_limit_keeps_the_last_one(self):
        self.eligibility.record("w1", 1, LIMITED, 0.0, 0.1)
        unreadable = statements.Statement(is_limit_unreadable=True)
        self.eligibility.record("w1", 1, unreadable, 0.2, 0.3)
        self.assertEqual(self.eligibility.limits.find_rate("w1"), 5.5)
        kinds = [change.kind for change in self.eligibility.pop_changes()]
        self.assertEqual(kinds, [statements.ChangeKind.LIMITED])


class DispatchTests(unittest.TestCase):
    def setUp(self):
        self.entry = builders.build_deployment()
        for server_id in ("w1", "w2"):
            registration = builders.build_registration(server_id)
            self.entry.apply_registration(registration, 0.0)
        self.dispatcher = self.entry.get_dispatcher("pool")
        self.count = 0

    def record(self, server_id, statement, sent_s, now_s):
        server = self.dispatcher.servers[server_id]
        self.entry.record_statement(server, statement, sent_s, now_s)

    def defer(self, server_id, retry_after_s, now_s):
        statement = statements.Statement(retry_after_s=retry_after_s)
        self.record(server_id, statement, now_s, now_s)

    def submit(self, now_s):
        self.count += 1
        ticket = builders.build_ticket(f"q{self.count}", now_s)
        return self.dispatcher.submit(ticket, now_s)

    def submit_and_end(self, now_s):
        (decision,) = self.submit(now_s)
        complete = outcomes.Outcome.COMPLETE
        self.dispatcher.record_end(decision.ticket, decision.server, complete, now_s)
        return decision.server.server_id

    def test_requests_go_to_the_server_that_is_not_leaving(self):
        self.record("w1", LEAVING, 0.0, 0.0)
        sent = {self.submit_and_end(1.0) for _ in range(20)}
        self.assertEqual(sent, {"w2"})

    def test_leaving_is_remembered_over_a_lapse_of_the_registration(self):
        self.record("w1", LEAVING, 0.0, 0.0)
        self.entry.store_reads.record_read(0.0)
        self.entry.apply_removal("w1", 0.0)
        registration = builders.build_registration("w1")
        self.entry.apply_registration(registration, 1.0)
        sent = {self.submit_and_end(1.0) for _ in range(20)}
        self.assertEqual(sent, {"w2"})

    def lapse_and_return(self, server_id, started_ms=1):
        self.entry.store_reads.record_read(0.0)
        self.entry.apply_removal(server_id, 0.5)
        self.entry.tick(0.6)
        registration = builders.build_registration(server_id, started_ms=started_ms)
        self.entry.apply_registration(registration, 1.0)

    def test_time_named_is_remembered_over_a_lapse_of_the_registration(self):
        self.defer("w1", 5.0, 0.0)
        self.lapse_and_return("w1")
        decisions = [item for _ in range(6) for item in self.submit(1.5)]
        self.assertEqual({item.server.server_id for item in decisions}, {"w2"})

    def test_limit_is_remembered_over_a_lapse_of_the_registration(self):
        self.record("w1", LIMITED, 0.0, 0.0)
        self.lapse_and_return("w1")
        self.assertEqual(self.entry.eligibility.limits.find_rate("w1"), 5.5)

    def test_statements_end_with_a_restart_during_the_lapse(self):
        self.record("w1", LIMITED, 0.0, 0.0)
        self.defer("w1", 5.0, 0.0)
        self.lapse_and_return("w1", started_ms=2)
        self.record("w2", LEAVING, 0.0, 0.0)
        self.assertIsNone(self.entry.eligibility.limits.find_rate("w1"))
        self.assertEqual(self.submit_and_end(1.5), "w1")

    def test_statements_of_a_server_that_stays_away_are_forgotten(self):
        self.record("w1", LIMITED, 0.0, 0.0)
        self.entry.store_reads.record_read(0.0)
        self.entry.apply_removal("w1", 0.5)
        memory_s = statements.UNREGISTERED_MEMORY_S
        for now_s in (1.0, 0.5 + memory_s, 2.0 + memory_s):
            self.entry.eligibility.tick(now_s, {"w2": "pool"})
        self.assertIsNone(self.entry.eligibility.limits.find_rate("w1"))
        self.assertEqual(self.entry.eligibility.count_remembered(), 1)

    def test_server_in_a_backoff_is_tried_while_the_others_want_no_request(self):
        self.defer("w1", 5.0, 0.0)
        self.dispatcher.servers["w2"].avoid_until_s = 4.0
        (assignment,) = self.submit(1.0)
        self.assertEqual(assignment.server.server_id, "w2")

    def test_waiting_requests_cost_no_estimate_while_no_server_has_stated_anything(
        self,
    ):
        estimate = mock.Mock(return_value=0.0)
        self.dispatcher.servers["w2"].avoid_until_s = 4.0
        for _ in range(6):
            self.submit(1.0)
        self.entry.eligibility.estimate_wait_s = estimate
        self.dispatcher.dispatch_waiting(1.1)
        self.assertEqual(len(self.dispatcher), 2)
        estimate.assert_not_called()

    def test_no_request_within_the_time_that_a_server_has_named(self):
        self.defer("w1", 3.0, 0.0)
        sent = {self.submit_and_end(at_s / 10) for at_s in range(1, 30)}
        self.assertEqual(sent, {"w2"})

    def test_one_request_at_a_time_until_the_server_has_answered(self):
        self.defer("w1", 3.0, 0.0)
        self.record("w2", LEAVING, 0.0, 0.0)
        (first,) = self.submit(3.1)
        self.assertEqual(first.server.server_id, "w1")
        self.assertEqual(self.submit(3.2), [])
        self.record("w1", SILENT, 3.1, 3.3)
        decisions = self.dispatcher.dispatch_waiting(3.3)
        self.assertEqual([item.server.server_id for item in decisions], ["w1"])

    def test_lost_trial_lets_the_next_one_go(self):
        self.defer("w1", 3.0, 0.0)
        self.record("w2", LEAVING, 0.0, 0.0)
        (first,) = self.submit(3.1)
        lost = outcomes.Outcome.RESPONSE_LOST
        self.dispatcher.record_end(first.ticket, first.server, lost, 3.5)
        (second,) = self.submit(3.6)
        self.assertEqual(second.server.server_id, "w1")

    def test_trial_without_a_response_keeps_others_away_for_a_while_only(self):
        self.defer("w1", 3.0, 0.0)
        self.record("w2", LEAVING, 0.0, 0.0)
        self.submit(3.1)
        self.assertEqual(self.submit(3.0 + deferrals.MAX_TRIAL_S), [])
        (second,) = self.dispatcher.dispatch_waiting(3.2 + deferrals.MAX_TRIAL_S)
        self.assertEqual(second.server.server_id, "w1")
        self.assertEqual(self.submit(3.3 + deferrals.MAX_TRIAL_S), [])

    def test_callers_are_refused_at_once_with_the_time_that_is_left(self):
        self.defer("w1", 3.5, 0.0)
        self.defer("w2", 3.9, 0.0)
        (refusal,) = self.submit(0.5)
        self.assertIsInstance(refusal, assignments.Refusal)
        self.assertGreaterEqual(refusal.retry_after_s, 3.0)

    def test_restart_that_was_learned_late_opened_a_server_that_rejects_again(self):
        self.defer("w1", 5.0, 0.0)
        self.record("w2", LEAVING, 0.0, 0.0)
        registration = builders.build_registration("w1", started_ms=2)
        self.entry.apply_registration(registration, 0.5)
        (trial,) = self.submit(0.6)
        self.assertEqual(self.submit(0.6), [])
        self.record("w1", statements.Statement(retry_after_s=1.0), 0.6, 0.7)
        rejected = outcomes.Outcome.REJECTED
        self.dispatcher.record_end(trial.ticket, trial.server, rejected, 0.7)
        self.assertEqual(self.dispatcher.dispatch_waiting(4.9), [])

    def test_restarted_server_gets_requests_again(self):
        self.defer("w1", 30.0, 0.0)
        self.record("w2", LEAVING, 0.0, 0.0)
        for server_id in ("w1", "w2"):
            registration = builders.build_registration(server_id, started_ms=2)
            self.entry.apply_registration(registration, 1.0)
        decisions = [self.submit(1.5)[0] for _ in range(4)]
        sent = {item.server.server_id for item in decisions}
        self.assertEqual(sent, {"w1", "w2"})
