import unittest

import builders

from wasabiknot_kernel import crashes

Evidence = crashes.Evidence


class CrashRegisterTests(unittest.TestCase):
    def test_request_is_refused_after_third_crash(self):
        register = crashes.CrashRegister()
        for number in range(crashes.MAX_CRASHES):
            self.assertFalse(register.is_refused("f", 0.0))
            register.record(crashes.Crash("f", f"w{number}/1"), 0.0)
        self.assertTrue(register.is_refused("f", 0.0))

    def test_repeated_crash_counts_once(self):
        register = crashes.CrashRegister()
        for _ in range(5):
            register.record(crashes.Crash("f", "w1/1"), 0.0)
        self.assertEqual(register.count("f"), 1)

    def test_crashes_expire(self):
        register = crashes.CrashRegister()
        for number in range(3):
            register.record(crashes.Crash("f", f"w{number}/1"), 0.0)
        self.assertFalse(register.is_refused("f", crashes.RETENTION_S + 1))


class AttributionTests(unittest.TestCase):
    def setUp(self):
        self.entry = builders.build_deployment()
        self.entry.record_read(0.0)
        self.entry.apply_registration(builders.build_registration(), 0.0)
        self.server = self.entry.find_server("w1")

    def lose(self, fingerprint="f", now_s=0.0):
        ticket = builders.build_ticket(fingerprint)
        self.entry.record_loss(ticket, self.server, now_s)

    def count(self, fingerprint="f"):
        return self.entry.crashes.count(fingerprint)

    def connect_peer(self):
        peer = builders.build_deployment("e2")
        peer.apply_registration(builders.build_registration(), 0.0)
        builders.connect_entries([self.entry, peer], 0.0)
        return peer

    def test_lost_response_alone_is_not_a_crash(self):
        self.lose()
        self.assertEqual(self.count(), 0)

    def test_lost_response_before_a_restart_is_a_crash(self):
        self.lose()
        restarted = builders.build_registration(started_ms=2)
        self.entry.apply_registration(restarted, 1.0)
        self.assertEqual(self.count(), 1)

    def test_lost_response_before_a_refused_connection_is_a_crash(self):
        self.lose()
        self.entry.record_failed_connection(self.server, True, 0.5)
        self.assertEqual(self.count(), 1)

    def test_lost_response_three_heartbeats_before_the_removal_is_a_crash(self):
        self.lose()
        for tenth in range(1, 38):
            self.entry.record_read(tenth / 10)
        self.entry.apply_removal("w1", 3.8)
        self.assertEqual(self.count(), 1)

    def test_response_lost_after_a_refused_connection_is_a_crash(self):
        self.entry.record_failed_connection(self.server, True, 0.0)
        self.lose(now_s=0.8)
        self.assertEqual(self.count(), 1)

    def test_connection_refused_at_a_peer_shows_a_crash(self):
        peer = self.connect_peer()
        self.lose()
        peer.record_failed_connection(peer.find_server("w1"), True, 0.3)
        self.entry.apply_digest(peer.build_digest(0.4), 0.4)
        self.assertEqual(self.count(), 1)

    def test_peer_that_cannot_reach_a_server_shows_no_crash(self):
        peer = self.connect_peer()
        self.lose()
        peer.record_failed_connection(peer.find_server("w1"), False, 0.3)
        self.entry.apply_digest(peer.build_digest(0.4), 0.4)
        self.assertEqual(self.count(), 0)

    def test_other_server_at_the_address_shows_a_crash(self):
        self.lose()
        self.entry.apply_registration(builders.build_registration("w2"), 2.0)
        self.assertEqual(self.count(), 1)

    def test_server_that_responds_after_the_loss_has_not_crashed(self):
        self.lose()
        other = builders.build_ticket("other")
        self.entry.record_response(other, self.server, False, 1.0)
        self.entry.record_failed_connection(self.server, True, 2.0)
        self.assertEqual(self.count(), 0)

    def test_crash_before_the_new_registration_is_read_counts_again(self):
        for start_s in (0.0, 3.0, 6.0):
            self.lose(now_s=start_s)
            self.entry.record_failed_connection(self.server, True, start_s + 0.1)
            other = builders.build_ticket("other")
            self.entry.record_response(other, self.server, True, start_s + 2.0)
        self.assertTrue(self.entry.crashes.is_refused("f", 9.0))

    def test_end_of_a_leaving_server_is_not_a_crash(self):
        leaving = builders.registrations.ServerState.LEAVING
        self.entry.apply_registration(builders.build_registration(state=leaving), 0.0)
        self.lose()
        self.entry.record_read(1.0)
        self.entry.apply_removal("w1", 1.0)
        self.assertEqual(self.count(), 0)

    def test_observations_state_the_evidence(self):
        self.lose()
        self.entry.record_failed_connection(self.server, True, 0.5)
        self.lose("g", 20.0)
        self.entry.tick(31.0)
        observed = [
            (item.crash.fingerprint, item.evidence)
            for item in self.entry.crashes.pop_observations()
        ]
        self.assertEqual(observed, [("f", Evidence.REFUSED), ("g", Evidence.NONE)])
        self.assertEqual(self.entry.crashes.pop_observations(), [])

    def test_server_is_checked_once_per_interval(self):
        self.assertTrue(self.entry.should_check(self.server, 0.0))
        self.assertFalse(self.entry.should_check(self.server, 0.4))
        self.assertTrue(self.entry.should_check(self.server, 0.6))


class ExchangeTests(unittest.TestCase):
    def test_crash_is_sent_to_peers(self):
        entry, peer = (builders.build_deployment(name) for name in ("e1", "e2"))
        builders.connect_entries([entry, peer], 0.0)
        entry.crashes.record(crashes.Crash("f", "w1/1"), 0.5)
        peer.apply_digest(entry.build_digest(0.6), 0.6)
        self.assertEqual(peer.crashes.count("f"), 1)
