import unittest

import builders

from wasabiknot_kernel import crashes


class CrashRegisterTests(unittest.TestCase):
    def test_third_backend_server_is_the_last(self):
        register = crashes.CrashRegister()
        for number in range(crashes.CRASHES_TO_REFUSE):
            self.assertFalse(register.is_refused("f", 0.0))
            register.note(crashes.Crash("f", f"w{number}/1"), 0.0)
        self.assertTrue(register.is_refused("f", 0.0))

    def test_same_start_counts_once(self):
        register = crashes.CrashRegister()
        for _ in range(5):
            register.note(crashes.Crash("f", "w1/1"), 0.0)
        self.assertEqual(register.count("f"), 1)

    def test_crashes_are_forgotten_in_time(self):
        register = crashes.CrashRegister()
        for number in range(3):
            register.note(crashes.Crash("f", f"w{number}/1"), 0.0)
        self.assertFalse(register.is_refused("f", crashes.MEMORY_S + 1))


class ConfirmationTests(unittest.TestCase):
    def setUp(self):
        self.entry = builders.build_deployment()
        self.entry.note_read(0.0)
        self.entry.take_registration(builders.build_registration(), 0.0)
        self.server = self.entry.find_server("w1")

    def test_lost_answer_alone_is_no_crash(self):
        self.entry.note_lost(crashes.Crash("f", "w1/1"), self.server, 0.0)
        self.assertEqual(self.entry.crashes.count("f"), 0)

    def test_lost_answer_before_a_restart_is_a_crash(self):
        self.entry.note_lost(crashes.Crash("f", "w1/1"), self.server, 0.0)
        again = builders.build_registration(born_ms=2)
        self.entry.take_registration(again, 1.0)
        self.assertEqual(self.entry.crashes.count("f"), 1)

    def test_lost_answer_before_a_refused_connection_is_a_crash(self):
        self.entry.note_lost(crashes.Crash("f", "w1/1"), self.server, 0.0)
        self.entry.note_unreached("w1", 0.5)
        self.assertEqual(self.entry.crashes.count("f"), 1)

    def test_peers_hear_of_a_crash(self):
        peer = builders.build_deployment("e2")
        builders.connect_entries([self.entry, peer], 0.0)
        self.entry.note_lost(crashes.Crash("f", "w1/1"), self.server, 0.0)
        self.entry.note_unreached("w1", 0.5)
        peer.take_digest(self.entry.build_digest(0.6), 0.6)
        self.assertEqual(peer.crashes.count("f"), 1)
