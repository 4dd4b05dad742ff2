"""Tests of a few nodes, each with one injected fault or kind of load."""

import unittest

import fakes

from wasabiknot_kernel import (
    effects,
    exceptions,
    homes,
    messages,
    records,
    services,
)

Kind = exceptions.ErrorKind
Ran = exceptions.Ran
FIRST_TOKEN_MS = 930


class RecordingSimulation(fakes.Simulation):
    """Simulation that records each dispatch."""

    def __init__(self, seed=0, entries=3):
        super().__init__(seed, entries)
        self.is_network_lossy = False
        self.dispatched = []

    def check_dispatch(self, entry, worker, copy):
        self.dispatched.append((self.now_ms, worker.vm.id, copy))


def create_simulation(entries=3, rule=services.KeyRule.HOMES):
    simulation = RecordingSimulation(entries=entries)
    simulation.advance(1_000)
    simulation.publish(fakes.build_configuration(rule=rule), based_on=-1)
    simulation.advance(3_000)
    return simulation


def read_answer(copy):
    return copy.answers[0] if copy.answers else None


class PauseTests(unittest.TestCase):
    def test_paused_entry_does_not_dispatch_to_a_worker_that_left(self):
        simulation = create_simulation()
        entry = simulation.entries["entry-0"]
        entry.is_paused = True
        simulation.call("entry-0", "tag")
        simulation.workers["engine-0"].is_leaving = True
        simulation.workers["engine-1"].is_leaving = True
        simulation.advance(5_000)
        entry.unpause()
        simulation.advance(2_000)
        self.assertEqual(simulation.dispatched, [])

    def test_holder_paused_between_claim_and_dispatch_dispatches_once(self):
        simulation = create_simulation(rule=services.KeyRule.CLAIMS)
        key = simulation.create_key()
        simulation.call("entry-0", "cash", key=key, content="c")
        simulation.advance(80)
        simulation.entries["entry-0"].is_paused = True
        simulation.advance(200)
        copy = simulation.call("entry-1", "cash", key=key, content="c")
        simulation.advance(60_000)
        simulation.entries["entry-0"].unpause()
        simulation.call("entry-2", "cash", key=key, content="c")
        simulation.advance(10_000)
        self.assertLessEqual(simulation.oracle.runs[f"key/c1/{key}"], 1)
        self.assertEqual(read_answer(copy).ran, Ran.UNKNOWN)


class ReplaceableTests(unittest.TestCase):
    def record_dispatches(self, call):
        simulation = create_simulation()
        for worker in simulation.workers.values():
            worker.fail_fraction = 1.0
        entry = simulation.entries["entry-0"]
        dispatch = entry.on_dispatch
        recorded = []

        def record(effect):
            recorded.append(effect.is_replaceable)
            dispatch(effect)

        entry.on_dispatch = record
        simulation.call("entry-0", call)
        simulation.advance(5_000)
        return recorded

    def test_last_attempt_of_a_repeatable_call_is_not_replaceable(self):
        self.assertEqual(self.record_dispatches("tag"), [True, True, False])

    def test_attempt_of_a_call_that_may_run_once_is_not_replaceable(self):
        self.assertEqual(self.record_dispatches("check"), [False])


class KeyTests(unittest.TestCase):
    rule = services.KeyRule.HOMES

    def create_simulation(self):
        return create_simulation(rule=self.rule)

    def send(self, simulation, entry, key, content="c"):
        return simulation.call(entry, "cash", key=key, content=content)

    def test_duplicate_at_another_entry_gets_the_same_answer(self):
        simulation = self.create_simulation()
        key = simulation.create_key()
        first = self.send(simulation, "entry-0", key)
        simulation.advance(500)
        second = self.send(simulation, "entry-1", key)
        simulation.advance(6_000)
        self.assertIsInstance(read_answer(first), effects.Complete)
        self.assertIsInstance(read_answer(second), effects.Complete)
        self.assertEqual(simulation.oracle.runs[f"key/c1/{key}"], 1)

    def test_reused_key_with_other_content_is_refused(self):
        simulation = self.create_simulation()
        key = simulation.create_key()
        self.send(simulation, "entry-0", key)
        other = self.send(simulation, "entry-0", key, "other")
        simulation.advance(500)
        self.assertEqual(read_answer(other).kind, Kind.KEY_REUSED)

    def test_key_of_a_failed_entry_does_not_run_again(self):
        simulation = self.create_simulation()
        key = simulation.issue_key("entry-0")
        self.send(simulation, "entry-0", key)
        simulation.entries["entry-0"].kill()
        simulation.advance(2_000)
        simulation.entries["entry-0"].start()
        simulation.advance(2_000)
        for name in simulation.entry_names:
            copy = self.send(simulation, name, key)
            simulation.advance(500)
            self.assertEqual(read_answer(copy).ran, Ran.UNKNOWN)
        self.assertEqual(simulation.oracle.runs[f"key/c1/{key}"], 1)

    def test_expired_key_is_refused(self):
        simulation = self.create_simulation()
        key = simulation.create_key()
        self.send(simulation, "entry-0", key)
        simulation.advance(121_000)
        for name in simulation.entry_names:
            copy = self.send(simulation, name, key)
            self.assertEqual(read_answer(copy).kind, Kind.KEY_EXPIRED)
            self.assertEqual(read_answer(copy).ran, Ran.UNKNOWN)

    def test_expired_issued_key_is_refused(self):
        simulation = self.create_simulation()
        key = simulation.issue_key("entry-0")
        self.send(simulation, "entry-0", key)
        simulation.advance(121_000)
        copy = self.send(simulation, "entry-0", key)
        self.assertEqual(read_answer(copy).kind, Kind.KEY_EXPIRED)

    def test_malformed_key_is_refused_as_not_run(self):
        simulation = self.create_simulation()
        copy = self.send(simulation, "entry-0", "no-uuid")
        self.assertEqual(read_answer(copy).kind, Kind.KEY_MALFORMED)
        self.assertEqual(read_answer(copy).ran, Ran.NO)


class ClaimedKeyTests(KeyTests):
    rule = services.KeyRule.CLAIMS

    def test_claims_expire(self):
        simulation = self.create_simulation()
        for _ in range(20):
            self.send(simulation, "entry-0", simulation.create_key())
            simulation.advance(200)
        simulation.advance(300_000)
        self.send(simulation, "entry-0", simulation.create_key())
        simulation.advance(1_000)
        node = simulation.entries["entry-1"].node
        self.assertEqual(len(node.state.claims), 1)
        self.assertEqual(len(simulation.entries["entry-0"].node.keys), 1)

    def test_lost_append_is_retried_and_claimed_once(self):
        simulation = self.create_simulation()
        entry = simulation.entries["entry-0"]
        entry.is_log_unreachable = True
        key = simulation.create_key()
        copy = self.send(simulation, "entry-0", key)
        simulation.advance(500)
        entry.is_log_unreachable = False
        simulation.advance(8_000)
        self.assertIsInstance(read_answer(copy), effects.Complete)


class HomeTests(unittest.TestCase):
    def test_entries_that_start_together_join_once_and_none_leaves(self):
        simulation = RecordingSimulation()
        for entry in simulation.entries.values():
            entry.deliver(messages.VmsListed(()))
        simulation.advance(1_000)
        for entry in simulation.entries.values():
            entry.deliver(simulation.list_vms())
        simulation.publish(fakes.build_configuration(), based_on=-1)
        simulation.advance(5_000)
        kinds = [type(item.record) for item in simulation.log.records]
        self.assertEqual(kinds.count(records.Leave), 0)
        self.assertEqual(kinds.count(records.Join), 3)
        self.assertEqual(kinds.count(records.Snapshot), 0)

    def test_another_entry_becomes_home_after_the_epoch_delay(self):
        simulation = create_simulation()
        simulation.entries["entry-0"].kill()
        simulation.advance(40_000)
        copies = []
        for _ in range(12):
            key = simulation.create_key()
            copies.append(simulation.call("entry-1", "cash", key=key, content="c"))
            simulation.advance(1_000)
        simulation.advance(6_000)
        for copy in copies:
            self.assertIsInstance(read_answer(copy), effects.Complete)

    def test_no_key_runs_twice_when_the_rule_changes(self):
        simulation = create_simulation()
        keys = []
        rules = [services.KeyRule.CLAIMS, services.KeyRule.HOMES]
        for step in range(100):
            if step in (10, 60):
                rule = rules[step == 60]
                simulation.publish(fakes.build_configuration(rule=rule))
            keys.append(simulation.create_key())
            for key in keys[-8:]:
                name = simulation.entry_names[step % 3]
                simulation.call(name, "cash", key=key, content=f"c-{key}")
            simulation.advance(700)
        simulation.advance(10_000)
        self.assertEqual(max(simulation.oracle.runs.values()), 1)

    def test_stopping_home_serves_its_keys_until_it_is_replaced(self):
        simulation = create_simulation()
        simulation.entries["entry-0"].deliver(messages.StopWanted())
        copies = []
        for step in range(40):
            key = simulation.create_key()
            name = simulation.entry_names[1 + step % 2]
            copies.append(simulation.call(name, "cash", key=key, content="c"))
            simulation.advance(1_000)
        simulation.advance(6_000)
        for copy in copies:
            self.assertIsInstance(read_answer(copy), effects.Complete)
        self.assertFalse(homes.is_home(simulation.entries["entry-0"].node))


class OutageTests(unittest.TestCase):
    def create_simulation(self):
        simulation = create_simulation()
        simulation.log.is_unavailable = True
        simulation.advance(4_000)
        return simulation

    def test_calls_without_a_claim_are_served(self):
        simulation = self.create_simulation()
        copies = [simulation.call("entry-0", call) for call in ("tag", "check", "cash")]
        key = simulation.issue_key("entry-0")
        copies.append(simulation.call("entry-1", "cash", key=key, content="c"))
        simulation.advance(9_000)
        for copy in copies:
            self.assertIsInstance(read_answer(copy), effects.Complete)

    def test_chosen_key_is_refused_at_once_without_a_known_epoch(self):
        simulation = self.create_simulation()
        simulation.advance(40_000)
        copy = simulation.call(
            "entry-0", "cash", key=simulation.create_key(), content="c"
        )
        answer = read_answer(copy)
        self.assertEqual(answer.kind, Kind.LOG_UNAVAILABLE)
        self.assertIsNotNone(answer.retry_after_s)

    def test_chosen_key_runs_at_its_home(self):
        simulation = self.create_simulation()
        copies = [
            simulation.call(name, "cash", key=simulation.create_key(), content="c")
            for name in simulation.entry_names
        ]
        simulation.advance(6_000)
        for copy in copies:
            self.assertIsInstance(read_answer(copy), effects.Complete)

    def test_starting_entry_uses_the_state_of_a_peer(self):
        simulation = self.create_simulation()
        entry = simulation.entries["entry-2"]
        entry.kill()
        entry.start()
        simulation.advance(1_000)
        copy = simulation.call("entry-2", "tag")
        self.assertEqual(read_answer(copy).kind, Kind.NOT_READY)
        state = messages.StateReceived(simulation.encode_state("entry-0"))
        entry.deliver(state)
        copy = simulation.call("entry-2", "tag")
        simulation.advance(9_000)
        self.assertIsInstance(read_answer(copy), effects.Complete)


class ConfigurationTests(unittest.TestCase):
    def test_publication_is_in_force_at_all_entries_in_time(self):
        simulation = create_simulation()
        shares = (("v1", 90.0), ("v2", 10.0))
        published = simulation.publish(fakes.build_configuration(shares))
        simulation.advance(3_000)
        for entry in simulation.entries.values():
            self.assertEqual(entry.node.state.publication_id, published)

    def test_new_entry_reads_a_snapshot_once_older_records_are_removed(self):
        simulation = create_simulation()
        for _ in range(30):
            simulation.call("entry-0", "cash", key=simulation.create_key(), content="c")
            simulation.advance(3_000)
        snapshots = [
            r for r in simulation.log.records if isinstance(r.record, records.Snapshot)
        ]
        self.assertTrue(snapshots, "no snapshot was appended")
        simulation.log.trim(simulation.log.head - snapshots[-1].record.based_on)
        self.assertGreater(simulation.log.oldest, 0)
        entry = simulation.entries["entry-2"]
        entry.kill()
        entry.start()
        simulation.advance(1_000)
        expected = simulation.entries["entry-0"].node.state
        self.assertEqual(entry.node.state.publication, expected.publication)
        self.assertEqual(entry.node.state.claims, expected.claims)

    def test_restarted_entries_get_the_configuration(self):
        simulation = create_simulation()
        for name in ("entry-1", "entry-2"):
            simulation.entries[name].kill()
            simulation.entries[name].start()
        simulation.advance(1_000)
        for entry in simulation.entries.values():
            self.assertIsNotNone(entry.node.configuration)

    def test_older_state_of_a_peer_is_ignored(self):
        simulation = create_simulation()
        old = simulation.encode_state("entry-0")
        shares = (("v1", 90.0), ("v2", 10.0))
        published = simulation.publish(fakes.build_configuration(shares))
        simulation.advance(1_000)
        entry = simulation.entries["entry-0"]
        entry.deliver(messages.StateReceived(old))
        self.assertEqual(entry.node.state.publication_id, published)


class PriorityTests(unittest.TestCase):
    def fill_slots(self, simulation, entries, count=12):
        for number in range(count):
            simulation.call(entries[number % len(entries)], "ledger")
        simulation.advance(600)

    def test_preempts_lower_priority_at_the_same_entry(self):
        simulation = create_simulation(entries=1)
        self.fill_slots(simulation, ["entry-0"])
        copy = simulation.call("entry-0", "check")
        simulation.advance(FIRST_TOKEN_MS)
        self.assertIn(copy, [item for _, _, item in simulation.dispatched])

    def test_preempts_lower_priority_at_a_peer(self):
        simulation = create_simulation()
        self.fill_slots(simulation, ["entry-1", "entry-2"])
        copies = [simulation.call("entry-0", "check") for _ in range(3)]
        simulation.advance(FIRST_TOKEN_MS)
        sent = [item for _, _, item in simulation.dispatched]
        for copy in copies:
            self.assertIn(copy, sent)

    def test_preempted_requests_resume_and_run_once(self):
        simulation = create_simulation(entries=1)
        ledgers = [simulation.call("entry-0", "ledger") for _ in range(4)]
        simulation.advance(100)
        for _ in range(4):
            simulation.call("entry-0", "check")
        simulation.advance(25_000)
        for copy in ledgers:
            self.assertIsInstance(read_answer(copy), effects.Complete)
            self.assertEqual(simulation.oracle.runs[copy.identity], 1)

    def test_full_queue_refuses_the_lowest_priority_first(self):
        simulation = create_simulation(entries=1)
        ledgers = [simulation.call("entry-0", "ledger") for _ in range(16)]
        checks = [simulation.call("entry-0", "check") for _ in range(4)]
        dropped = [copy for copy in ledgers if copy.answers]
        self.assertTrue(dropped)
        self.assertEqual([copy for copy in checks if copy.answers], [])
        self.assertEqual(
            {read_answer(copy).kind for copy in dropped}, {Kind.QUEUE_FULL}
        )

    def test_queued_batch_requests_do_not_get_urgent_ones_refused(self):
        simulation = create_simulation(entries=1)
        for worker in simulation.workers.values():
            worker.slow = 10.0
        for _ in range(11):
            simulation.call("entry-0", "ledger")
        node = simulation.entries["entry-0"].node
        for worker in node.fleet:
            worker.speed.decode.add(2_000 / 50)
        copy = simulation.call("entry-0", "check")
        simulation.advance(FIRST_TOKEN_MS)
        self.assertIn(copy, [item for _, _, item in simulation.dispatched])

    def test_burst_of_one_customer_does_not_starve_others(self):
        simulation = create_simulation(entries=1)
        for _ in range(10):
            simulation.call("entry-0", "tag", customer="large")
        small = [simulation.call("entry-0", "tag", customer=f"c{n}") for n in range(2)]
        simulation.advance(4_500)
        sent = [item for _, _, item in simulation.dispatched]
        positions = [sent.index(copy) for copy in small]
        self.assertLess(max(positions), 8)

    def test_requests_that_cannot_meet_their_deadline_are_refused_before_they_run(self):
        simulation = create_simulation(entries=1)
        for worker in simulation.workers.values():
            worker.slow = 100.0
        copies = [simulation.call("entry-0", "check") for _ in range(10)]
        simulation.advance(6_000)
        late = [copy for copy in copies if read_answer(copy).ran is Ran.NO]
        self.assertTrue(late)


class PoisonTests(unittest.TestCase):
    def test_refused_at_all_entries_after_the_second_crash(self):
        simulation = create_simulation()
        simulation.call("entry-0", "tag", content="poison")
        simulation.advance(8_000)
        crashes = [worker.boot for worker in simulation.workers.values()]
        self.assertEqual(sum(crashes), 2)
        for name in simulation.entry_names:
            copy = simulation.call(name, "tag", content="poison")
            self.assertEqual(read_answer(copy).kind, Kind.QUARANTINED)

    def test_crash_while_the_log_is_silent_is_written_afterwards(self):
        simulation = create_simulation()
        simulation.log.is_unavailable = True
        simulation.call("entry-0", "ledger", content="poison")
        simulation.advance(2_000)
        simulation.log.is_unavailable = False
        simulation.advance(3_000)
        written = [
            item.record.contents
            for item in simulation.log.records
            if isinstance(item.record, records.Crash)
        ]
        self.assertEqual(written, [("poison",)])

    def test_harmless_contents_are_not_quarantined(self):
        simulation = create_simulation()
        for number in range(4):
            simulation.call(f"entry-{number % 3}", "tag", content=f"innocent-{number}")
        simulation.call("entry-0", "tag", content="poison")
        simulation.advance(20_000)
        node = simulation.entries["entry-1"].node
        quarantined = [c for c in node.state.suspects if node.is_quarantined(c)]
        self.assertEqual(quarantined, ["poison"])

    def test_crashes_after_resends_at_two_entries_are_counted(self):
        simulation = create_simulation()
        simulation.call("entry-0", "ledger", content="poison")
        simulation.advance(2_000)
        simulation.call("entry-1", "ledger", content="poison")
        simulation.advance(2_000)
        copy = simulation.call("entry-2", "ledger", content="poison")
        self.assertEqual(read_answer(copy).kind, Kind.QUARANTINED)


class LeavingTests(unittest.TestCase):
    def test_leaving_worker_gets_no_requests_before_the_list_is_updated(self):
        simulation = create_simulation()
        simulation.workers["engine-0"].is_leaving = True
        simulation.advance(3_000)
        simulation.dispatched.clear()
        for number in range(6):
            simulation.call(f"entry-{number % 3}", "tag")
            simulation.advance(200)
        self.assertNotIn("engine-0", [name for _, name, _ in simulation.dispatched])

    def test_graceful_stop_finishes_running_requests_and_refuses_others(self):
        simulation = create_simulation(entries=1)
        running = [simulation.call("entry-0", "ledger") for _ in range(4)]
        waiting = [simulation.call("entry-0", "ledger") for _ in range(4)]
        simulation.advance(30)
        simulation.entries["entry-0"].deliver(messages.StopWanted())
        for copy in waiting:
            self.assertEqual(read_answer(copy).ran, Ran.NO)
            self.assertIsNotNone(read_answer(copy).retry_after_s)
        late = simulation.call("entry-0", "tag")
        self.assertEqual(read_answer(late).kind, Kind.STOPPING)
        simulation.advance(10_000)
        for copy in running:
            self.assertIsInstance(read_answer(copy), effects.Complete)


class CallerTests(unittest.TestCase):
    def test_slot_is_freed_when_the_caller_disconnects(self):
        simulation = create_simulation(entries=1)
        copy = simulation.call("entry-0", "ledger")
        simulation.advance(30)
        entry = simulation.entries["entry-0"]
        entry.deliver(messages.CallerGone(copy.request_id))
        simulation.advance(100)
        self.assertEqual(entry.node.requests, {})

    def test_unknown_call_is_refused(self):
        simulation = create_simulation(entries=1)
        entry = simulation.entries["entry-0"]
        emitted = entry.node.handle(
            messages.CallReceived("r", "engine", "nothing", "c", "h"), simulation.now_ms
        )
        self.assertEqual(emitted[0].kind, Kind.UNKNOWN_CALL)


if __name__ == "__main__":
    unittest.main()
