import unittest

import builders
import msgspec

from wasabiknot_kernel import crash_records, crashes, suspects

Evidence = crash_records.Evidence


def crash(number, fingerprint="f"):
    return crash_records.Crash(fingerprint, f"w{number}/1")


class CrashRegisterTests(unittest.TestCase):
    def setUp(self):
        self.register = crashes.CrashRegister()

    def record(self, count, now_s=0.0):
        for number in range(count):
            self.register.record(crash(number), now_s, Evidence.REFUSED)

    def test_request_is_refused_after_third_crash(self):
        for number in range(suspects.MAX_CRASHES):
            self.assertFalse(self.register.is_refused("f", 0.0))
            self.register.record(crash(number), 0.0, Evidence.REFUSED)
        self.assertTrue(self.register.is_refused("f", 0.0))

    def test_repeated_crash_counts_once(self):
        for _ in range(5):
            self.register.record(crash(1), 0.0, Evidence.REFUSED)
        self.assertEqual(self.register.count("f"), 1)

    def test_crashes_expire(self):
        self.record(3)
        self.assertFalse(self.register.is_refused("f", crashes.RETENTION_S + 1))

    def test_crash_is_reported_until_it_is_stored(self):
        self.record(1)
        self.assertEqual(self.register.list_reported(600.0), (crash(0),))
        self.register.mark_stored([crash(0)])
        self.assertEqual(self.register.list_reported(601.0), ())
        self.assertEqual(self.register.count("f"), 1)

    def test_second_crash_is_due_at_once(self):
        self.record(1)
        self.assertEqual(self.register.list_due(0.1, False), [])
        self.register.record(crash(7), 0.1, Evidence.REFUSED)
        self.assertEqual(len(self.register.list_due(0.1, False)), 2)

    def test_reader_stores_what_the_observer_has_not(self):
        self.register.add(crash(1), 0.0)
        self.assertEqual(self.register.list_due(2.9, True), [])
        self.assertEqual(self.register.list_due(3.1, False), [])
        self.assertEqual(self.register.list_due(3.1, True), [crash(1)])

    def respond(self, count, register=None, fingerprint="f"):
        for _ in range(count):
            (register or self.register).record_response(fingerprint)

    def test_responses_before_the_first_crash_do_not_count(self):
        self.respond(1_000)
        self.record(3)
        self.assertTrue(self.register.is_refused("f", 0.0))

    def test_each_crash_takes_four_times_as_many_responses_to_outweigh(self):
        for count in (3, 4, 5):
            self.record(count)
            known = self.register.list_responses().get("f", 0)
            self.respond(4**count - 1 - known)
            self.assertTrue(self.register.is_refused("f", 0.0))
            self.respond(1)
            self.assertFalse(self.register.is_refused("f", 0.0))

    def test_responses_through_all_entries_count(self):
        self.record(3)
        self.respond(32)
        self.register.apply_responses("e2", {"f": 31, "unknown": 5})
        self.assertTrue(self.register.is_refused("f", 0.0))
        self.register.apply_responses("e2", {"f": 32})
        self.assertFalse(self.register.is_refused("f", 0.0))
        self.register.apply_responses("e2", {"f": 1})
        self.assertTrue(self.register.is_refused("f", 0.0))

    def test_responses_are_reported_from_the_second_crash_on(self):
        self.record(1)
        self.respond(5)
        self.assertEqual(self.register.list_responses(), {})
        self.record(2)
        self.assertEqual(self.register.list_responses(), {"f": 5})

    def test_response_deletes_nothing_from_the_store(self):
        self.record(2)
        self.register.mark_stored([crash(0)])
        self.respond(100)
        self.assertEqual(self.register.list_deletions(), [])
        self.assertEqual(self.register.count("f"), 2)
        due = msgspec.structs.replace(crash(1), responses=100)
        self.assertEqual(self.register.list_due(1.0, False), [due])

    def test_single_crash_of_a_request_that_completed_is_stored_with_the_second(self):
        self.record(1)
        self.respond(1)
        self.assertEqual(self.register.list_due(60.0, True), [])
        self.assertEqual(self.register.list_reported(60.0), ())
        self.register.record(crash(7), 60.0, Evidence.REFUSED)
        self.assertEqual(len(self.register.list_due(60.0, False)), 2)
        self.assertEqual(len(self.register.list_reported(60.0)), 2)

    def test_request_that_never_completed_gets_no_trial(self):
        self.record(3)
        self.assertFalse(self.register.try_start_trial("f", 60.0))

    def test_request_of_three_crashes_at_once_is_served_after_three_trials(self):
        self.record(3)
        self.respond(1)
        self.assertFalse(self.register.try_start_trial("f", 2.9))
        for number in range(3):
            now_s = (number + 1) * suspects.TRIAL_INTERVAL_S
            self.assertTrue(self.register.is_refused("f", now_s))
            self.assertTrue(self.register.try_start_trial("f", now_s))
            self.assertFalse(self.register.try_start_trial("f", now_s + 2.9))
            self.register.record_response("f", is_trial=True)
        self.assertFalse(self.register.is_refused("f", 10.0))

    def test_trials_end_after_two_more_crashes(self):
        self.record(5)
        self.respond(1)
        self.assertFalse(self.register.try_start_trial("f", 60.0))

    def test_clearance_is_logged_once_for_each_number_of_crashes(self):
        self.record(3)
        self.respond(64)
        for _ in range(3):
            self.assertFalse(self.register.is_refused("f", 0.0))
        reason = crash_records.ClearanceReason.OUTWEIGHED
        self.assertEqual(
            self.register.pop_clearances(),
            [crash_records.Clearance("f", 3, 64, reason)],
        )
        self.assertEqual(self.register.pop_clearances(), [])

    def test_request_that_succeeds_more_often_explains_no_crash(self):
        self.record(5)
        self.respond(1)
        for number in range(3):
            self.register.record(crash(number, "g"), 0.0, Evidence.REFUSED)
        self.assertTrue(self.register.is_refused("g", 0.0))

    def test_request_with_as_many_crashes_and_fewer_responses_explains_them(self):
        self.record(3)
        for number in range(3):
            self.register.record(crash(number, "g"), 0.0, Evidence.REFUSED)
        self.respond(1, fingerprint="g")
        self.assertTrue(self.register.is_refused("f", 0.0))
        self.assertFalse(self.register.is_refused("g", 0.0))

    def test_reader_deletes_expired_crashes(self):
        self.register.add_stored(crash(1), 1.0)
        self.register.drop_expired(crashes.RETENTION_S + 1, False)
        self.assertEqual(self.register.list_deletions(), [])
        self.assertEqual(self.register.count("f"), 0)
        self.register.drop_expired(crashes.RETENTION_S + 3, True)
        self.assertEqual(self.register.list_deletions(), [crash(1).key])

    def test_expired_crash_that_another_reader_has_deleted_is_not_deleted_again(self):
        self.register.add_stored(crash(1), 1.0)
        self.register.drop_expired(crashes.RETENTION_S + 1, False)
        self.register.remove_stored(crash(1).key)
        self.register.drop_expired(crashes.RETENTION_S + 3, True)
        self.assertEqual(self.register.list_deletions(), [])

    def test_crash_counts_whatever_the_clock_of_its_observer(self):
        # Guards against a harmful request that is sent on as clocks differ or jump.
        for at_s in (0.0, -2 * crashes.RETENTION_S, 2 * crashes.RETENTION_S):
            with self.subTest(at_s=at_s):
                self.setUp()
                for number in range(suspects.MAX_CRASHES):
                    stamped = crash_records.Crash("f", f"w{number}/1", at_s)
                    if number % 2:
                        self.register.add(stamped, 100.0)
                    else:
                        self.register.add_stored(stamped, 100.0)
                self.register.drop_expired(200.0, True)
                self.assertTrue(self.register.is_refused("f", 200.0))
                self.assertEqual(self.register.list_deletions(), [])
                expired_s = 100.0 + crashes.RETENTION_S
                self.assertFalse(self.register.is_refused("f", expired_s))

    def test_crash_that_the_store_has_lost_is_stored_again(self):
        self.register.add_stored(crash(1), 0.0)
        self.assertEqual(self.register.list_due(9.0, True), [])
        self.register.mark_lost([crash(1).key, crash(2).key], 9.0)
        self.assertEqual(self.register.list_reported(9.1), (crash(1),))
        self.assertEqual(self.register.list_due(9.6, False), [crash(1)])

    def test_crash_that_was_deleted_before_is_deleted_from_the_copy(self):
        self.register.delete([crash(1).key])
        self.assertEqual(self.register.list_deletions(), [crash(1).key])

    def test_number_of_requests_is_bounded(self):
        for number in range(crashes.MAX_REQUESTS + 5):
            item = crash_records.Crash(f"f{number}", "w/1", 0.0)
            self.register.add_stored(item, 0.0)
        self.assertEqual(self.register.count("f4"), 0)
        self.assertEqual(self.register.count("f5"), 1)
        self.assertEqual(len(self.register.list_deletions()), 5)
        self.assertLessEqual(
            len(self.register.list_reported(0.0)), crashes.MAX_REPORTED
        )

    def test_harmless_losses_do_not_crowd_out_a_harmful_request(self):
        self.record(2)
        for number in range(300):
            item = crash_records.Crash(f"g{number}", "w9/1", 0.0)
            self.register.record(item, 0.0, Evidence.REFUSED)
        reported = self.register.list_reported(1.0)
        self.assertEqual([item.fingerprint for item in reported].count("f"), 2)
        due = self.register.list_due(1.0, False)
        self.assertEqual([item.fingerprint for item in due].count("f"), 2)

    def test_refused_request_is_not_evicted_by_single_losses(self):
        self.record(3)
        for number in range(crashes.MAX_REQUESTS + 5):
            item = crash_records.Crash(f"g{number}", "w9/1", 0.0)
            self.register.add_stored(item, 0.0)
        self.assertTrue(self.register.is_refused("f", 1.0))

    def test_request_resent_beside_a_harmful_one_is_served(self):
        for number in range(6):
            self.register.record(crash(number), 0.0, Evidence.REFUSED)
        for number in range(3):
            self.register.record(crash(number, "g"), 0.0, Evidence.REFUSED)
        self.assertTrue(self.register.is_refused("f", 1.0))
        self.assertFalse(self.register.is_refused("g", 1.0))


class AttributionTests(unittest.TestCase):
    def setUp(self):
        self.entry = builders.build_deployment()
        self.entry.store_reads.record_read(0.0)
        self.entry.apply_registration(builders.build_registration(), 0.0)
        self.server = self.entry.find_server("w1")

    def lose(self, fingerprint="f", now_s=0.0):
        ticket = builders.build_ticket(fingerprint)
        self.entry.crash_monitor.record_loss(ticket, self.server, now_s)

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
        self.entry.crash_monitor.record_failed_connection(self.server, True, 0.5)
        self.assertEqual(self.count(), 1)

    def test_lost_response_three_heartbeats_before_the_removal_is_a_crash(self):
        self.lose()
        for tenth in range(1, 38):
            self.entry.store_reads.record_read(tenth / 10)
        self.entry.apply_removal("w1", 3.8)
        self.assertEqual(self.count(), 1)

    def test_response_lost_after_a_refused_connection_is_a_crash(self):
        self.entry.crash_monitor.record_failed_connection(self.server, True, 0.0)
        self.lose(now_s=0.8)
        self.assertEqual(self.count(), 1)

    def test_connection_refused_at_a_peer_shows_a_crash(self):
        peer = self.connect_peer()
        self.lose()
        peer.crash_monitor.record_failed_connection(peer.find_server("w1"), True, 0.3)
        self.entry.apply_digest(peer.build_digest(0.4), 0.4)
        self.assertEqual(self.count(), 1)

    def test_peer_that_cannot_reach_a_server_shows_no_crash(self):
        peer = self.connect_peer()
        self.lose()
        peer.crash_monitor.record_failed_connection(peer.find_server("w1"), False, 0.3)
        self.entry.apply_digest(peer.build_digest(0.4), 0.4)
        self.assertEqual(self.count(), 0)

    def test_other_server_at_the_address_shows_a_crash(self):
        self.lose()
        self.entry.apply_registration(builders.build_registration("w2"), 2.0)
        self.assertEqual(self.count(), 1)

    def test_server_that_responds_after_the_loss_has_not_crashed(self):
        self.lose()
        other = builders.build_ticket("other")
        self.entry.crash_monitor.record_response(other, self.server, False, 1.0)
        self.entry.crash_monitor.record_failed_connection(self.server, True, 2.0)
        self.assertEqual(self.count(), 0)

    def test_crash_before_the_new_registration_is_read_counts_again(self):
        for start_s in (0.0, 3.0, 6.0):
            self.lose(now_s=start_s)
            self.entry.crash_monitor.record_failed_connection(
                self.server, True, start_s + 0.1
            )
            other = builders.build_ticket("other")
            self.entry.crash_monitor.record_response(
                other, self.server, True, start_s + 2.0
            )
        self.assertTrue(self.entry.crashes.is_refused("f", 9.0))

    def test_end_of_a_leaving_server_is_not_a_crash(self):
        leaving = builders.registrations.ServerState.LEAVING
        self.entry.apply_registration(builders.build_registration(state=leaving), 0.0)
        self.lose()
        self.entry.store_reads.record_read(1.0)
        self.entry.apply_removal("w1", 1.0)
        self.assertEqual(self.count(), 0)

    def test_observations_state_the_evidence(self):
        self.lose()
        self.entry.crash_monitor.record_failed_connection(self.server, True, 0.5)
        self.lose("g", 20.0)
        self.entry.tick(31.0)
        observed = [
            (item.crash.fingerprint, item.evidence)
            for item in self.entry.crashes.pop_observations()
        ]
        self.assertEqual(observed, [("f", Evidence.REFUSED), ("g", Evidence.NONE)])
        self.assertEqual(self.entry.crashes.pop_observations(), [])

    def test_any_loss_of_a_trial_is_a_crash(self):
        ticket = builders.build_ticket("f")
        ticket.trial_key = "f"
        self.entry.crash_monitor.record_loss(ticket, self.server, 0.0)
        self.assertEqual(self.count(), 1)

    def test_misdirected_response_to_a_peer_shows_a_crash(self):
        peer = self.connect_peer()
        self.lose()
        peer.crash_monitor.record_replacement(peer.find_server("w1"), 0.3)
        self.entry.apply_digest(peer.build_digest(0.4), 0.4)
        self.assertEqual(self.count(), 1)

    def test_server_is_checked_once_per_interval(self):
        self.assertTrue(self.entry.crash_monitor.should_check(self.server, 0.0))
        self.assertFalse(self.entry.crash_monitor.should_check(self.server, 0.4))
        self.assertTrue(self.entry.crash_monitor.should_check(self.server, 0.6))


class ExchangeTests(unittest.TestCase):
    def test_only_one_entry_tries_a_refused_request(self):
        entries = [builders.build_deployment(f"e{number}") for number in range(4)]
        builders.connect_entries(entries, 0.0)
        for entry in entries:
            for other in entries:
                other.apply_digest(entry.build_digest(9.0), 9.0)
            for number in range(3):
                entry.crashes.record(crash(number), 0.0, Evidence.REFUSED)
            entry.crashes.record_response("f")
        started = [
            entry.try_start_trial(builders.build_ticket("f"), 9.1) for entry in entries
        ]
        self.assertEqual(started.count(True), 1)

    def test_leader_adds_up_the_responses_of_its_group(self):
        entry, leader = (builders.build_deployment(name) for name in ("e2", "e1"))
        builders.connect_entries([entry, leader], 0.0)
        for item in (entry, leader):
            for number in range(2):
                item.crashes.record(crash(number), 0.5, Evidence.REFUSED)
            item.crashes.record_response("f")
        leader.apply_digest(entry.build_digest(0.6), 0.6)
        self.assertEqual(leader.build_group_summary(0.7).responses, {"f": 2})

    def test_crash_is_sent_to_peers(self):
        entry, peer = (builders.build_deployment(name) for name in ("e1", "e2"))
        builders.connect_entries([entry, peer], 0.0)
        entry.crashes.record(crash(1), 0.5, Evidence.REFUSED)
        peer.apply_digest(entry.build_digest(0.6), 0.6)
        self.assertEqual(peer.crashes.count("f"), 1)

    def test_peer_that_was_cut_off_learns_of_a_crash_that_is_not_stored(self):
        entry, peer = (builders.build_deployment(name) for name in ("e1", "e2"))
        builders.connect_entries([entry, peer], 0.0)
        entry.crashes.record(crash(1), 0.5, Evidence.REFUSED)
        peer.apply_digest(entry.build_digest(30.0), 30.0)
        self.assertEqual(peer.crashes.count("f"), 1)

    def test_leader_passes_on_what_a_member_of_its_group_has_seen(self):
        entry, leader = (builders.build_deployment(name) for name in ("e2", "e1"))
        builders.connect_entries([entry, leader], 0.0)
        entry.crashes.record(crash(1), 0.5, Evidence.REFUSED)
        leader.apply_digest(entry.build_digest(0.6), 0.6)
        summary = leader.build_group_summary(0.7)
        self.assertEqual(summary.recent_crashes, (crash(1),))

    def test_entry_is_not_ready_before_it_knows_the_crashes(self):
        entry = builders.build_deployment()
        table = builders.routes.RouteTable(builders.build_configuration())
        entry.apply_configuration(table, 0.0)
        entry.has_servers = True
        self.assertFalse(entry.is_ready)
        entry.has_crashes = True
        self.assertTrue(entry.is_ready)
