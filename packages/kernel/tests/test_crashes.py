import unittest

import builders

from wasabiknot_kernel import crashes


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


class ConfirmationTests(unittest.TestCase):
    def setUp(self):
        self.entry = builders.build_deployment()
        self.entry.record_read(0.0)
        self.entry.apply_registration(builders.build_registration(), 0.0)
        self.server = self.entry.find_server("w1")

    def test_lost_response_alone_is_not_a_crash(self):
        self.entry.record_lost_response(crashes.Crash("f", "w1/1"), self.server, 0.0)
        self.assertEqual(self.entry.crashes.count("f"), 0)

    def test_lost_response_before_a_restart_is_a_crash(self):
        self.entry.record_lost_response(crashes.Crash("f", "w1/1"), self.server, 0.0)
        restarted = builders.build_registration(started_ms=2)
        self.entry.apply_registration(restarted, 1.0)
        self.assertEqual(self.entry.crashes.count("f"), 1)

    def test_lost_response_before_a_refused_connection_is_a_crash(self):
        self.entry.record_lost_response(crashes.Crash("f", "w1/1"), self.server, 0.0)
        self.entry.record_refused_connection("w1", 0.5)
        self.assertEqual(self.entry.crashes.count("f"), 1)

    def test_crash_is_sent_to_peers(self):
        peer = builders.build_deployment("e2")
        builders.connect_entries([self.entry, peer], 0.0)
        self.entry.record_lost_response(crashes.Crash("f", "w1/1"), self.server, 0.0)
        self.entry.record_refused_connection("w1", 0.5)
        peer.apply_digest(self.entry.build_digest(0.6), 0.6)
        self.assertEqual(peer.crashes.count("f"), 1)

    def test_observations_state_the_evidence(self):
        lost = crashes.Crash("f", "w1/1")
        self.entry.record_lost_response(lost, self.server, 0.0)
        self.entry.record_refused_connection("w1", 0.5)
        self.entry.record_lost_response(crashes.Crash("g", "w1/1"), self.server, 1.0)
        self.entry.tick(4.0)
        observed = [
            (item.crash.fingerprint, item.evidence)
            for item in self.entry.crashes.pop_observations()
        ]
        expected = [
            ("f", crashes.Evidence.UNREACHABLE),
            ("g", crashes.Evidence.NONE),
        ]
        self.assertEqual(observed, expected)
        self.assertEqual(self.entry.crashes.pop_observations(), [])
