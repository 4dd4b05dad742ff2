import unittest

import builders

from wasabiknot_kernel import outcomes, registrations, response_stats, silences

Outcome = outcomes.Outcome
ORDER = registrations.ReleaseOrder("pool", "v2", 16.0, 5)


class TimeoutTests(unittest.TestCase):
    def setUp(self):
        self.entry = self.build("e1")
        self.peer = self.build("e2")
        builders.connect_entries([self.entry, self.peer], 100.0)
        self.server = self.entry.find_server("w1")

    def build(self, name):
        entry = builders.build_deployment(name)
        registration = builders.build_registration(version="v2")
        entry.apply_registration(registration, 100.0)
        entry.releases.apply_order(ORDER, 100.0)
        return entry

    def send(self, request_id, now_s, entry=None):
        entry = entry or self.entry
        ticket = builders.build_ticket(request_id, now_s)
        server = entry.find_server("w1")
        entry.get_dispatcher("pool").record_send(ticket, server, now_s, 100.0)
        return ticket

    def time_out(self, ticket, now_s):
        dispatcher = self.entry.get_dispatcher("pool")
        dispatcher.record_end(ticket, self.server, Outcome.TIMED_OUT, now_s)
        self.entry.record_evidence(
            ticket, self.server, Outcome.TIMED_OUT, 0.8, 0, now_s
        )

    def hear(self, now_s, entry=None):
        entry = entry or self.entry
        ticket = builders.build_ticket("other", now_s)
        entry.record_response(ticket, entry.find_server("w1"), False, now_s)

    def tell(self, now_s):
        self.entry.apply_digest(self.peer.build_digest(now_s), now_s)

    def advance(self, start_s, end_s):
        for tenth in range(round(start_s * 10), round(end_s * 10) + 1):
            self.entry.tick(tenth / 10)

    def count_failures(self):
        evidence = self.entry.releases.list_evidence()
        return evidence.get(
            "pool/5/new/r/draft", response_stats.ResponseStats()
        ).failures

    def fall_silent(self):
        self.hear(101.0)
        tickets = [self.send(f"q{number}", 101.0) for number in range(3)]
        for ticket in tickets:
            self.time_out(ticket, 101.8)

    def test_timeout_of_a_request_that_waits_alone_counts_at_once(self):
        self.time_out(self.send("q1", 101.0), 101.8)
        self.assertEqual(self.count_failures(), 1)

    def test_timeouts_at_a_server_that_goes_on_are_dropped(self):
        self.fall_silent()
        self.hear(102.6)
        self.advance(101.8, 120.0)
        self.assertEqual(self.count_failures(), 0)

    def test_timeouts_at_a_server_that_is_not_tried_again_are_dropped(self):
        self.fall_silent()
        self.advance(101.8, 107.0)
        self.hear(107.0)
        self.advance(107.0, 120.0)
        self.assertEqual(self.count_failures(), 0)

    def test_timeouts_at_a_server_that_is_silent_for_longer_count(self):
        self.fall_silent()
        self.send("q9", 102.0)
        self.advance(101.8, 101.0 + silences.MAX_SILENCE_S + 0.1)
        self.assertEqual(self.count_failures(), 3)

    def test_timeout_at_a_server_that_sends_to_others_counts_at_once(self):
        ticket = self.send("q1", 101.0)
        self.send("q2", 101.0)
        self.hear(101.5)
        self.time_out(ticket, 101.8)
        self.assertEqual(self.count_failures(), 1)

    def test_timeouts_at_a_server_that_a_peer_hears_from_count(self):
        self.hear(101.5, self.peer)
        self.fall_silent()
        self.tell(101.9)
        self.entry.tick(101.9)
        self.assertEqual(self.count_failures(), 3)

    def test_request_that_waits_at_a_peer_is_not_alone(self):
        self.send("p1", 101.0, self.peer)
        self.peer.tick(101.6)
        self.tell(101.6)
        self.time_out(self.send("q1", 101.0), 101.8)
        self.assertEqual(self.count_failures(), 0)

    def test_leader_adds_up_the_reports_of_its_group(self):
        self.hear(101.0, self.peer)
        self.send("p1", 101.0, self.peer)
        self.send("q1", 101.1)
        self.tell(101.6)
        summary = self.entry.build_group_summary(101.7)
        expected = silences.SilenceReport(700, 2)
        self.assertEqual(summary.silence_reports, {"w1": expected})

    def test_entry_without_requests_reports_nothing(self):
        self.hear(101.0)
        self.assertEqual(self.entry.build_digest(105.0).silence_reports, {})
