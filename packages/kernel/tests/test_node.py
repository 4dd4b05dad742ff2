"""Tests of a few nodes under one named fault each."""

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


class RecordingWorld(fakes.World):
    """Notes every dispatch."""

    def __init__(self, seed=0, entries=3):
        super().__init__(seed, entries)
        self.lossy = False
        self.dispatched = []

    def check_dispatch(self, entry, worker, copy):
        self.dispatched.append((self.now_ms, worker.vm.id, copy))


def create_world(entries=3, rule=services.KeyRule.HOMES):
    world = RecordingWorld(entries=entries)
    world.advance(1_000)
    world.publish(fakes.build_configuration(rule=rule), based_on=-1)
    world.advance(3_000)
    return world


def read_answer(copy):
    return copy.answers[0] if copy.answers else None


class PauseTests(unittest.TestCase):
    def test_a_paused_entry_sends_nothing_to_a_worker_that_left(self):
        world = create_world()
        entry = world.entries["entry-0"]
        entry.is_frozen = True
        world.call("entry-0", "tag")
        world.workers["engine-0"].is_leaving = True
        world.workers["engine-1"].is_leaving = True
        world.advance(5_000)
        entry.thaw()
        world.advance(2_000)
        self.assertEqual(world.dispatched, [])

    def test_a_holder_that_sleeps_between_claim_and_dispatch_dispatches_once(self):
        world = create_world(rule=services.KeyRule.CLAIMS)
        key = world.mint_key()
        world.call("entry-0", "cash", key=key, content="c")
        world.advance(80)
        world.entries["entry-0"].is_frozen = True
        world.advance(200)
        copy = world.call("entry-1", "cash", key=key, content="c")
        world.advance(60_000)
        world.entries["entry-0"].thaw()
        world.call("entry-2", "cash", key=key, content="c")
        world.advance(10_000)
        self.assertLessEqual(world.oracle.runs[f"key/c1/{key}"], 1)
        self.assertEqual(read_answer(copy).ran, Ran.UNKNOWN)


class KeyTests(unittest.TestCase):
    rule = services.KeyRule.HOMES

    def create_world(self):
        return create_world(rule=self.rule)

    def send(self, world, entry, key, content="c"):
        return world.call(entry, "cash", key=key, content=content)

    def test_a_copy_at_another_entry_gets_the_answer_of_the_first(self):
        world = self.create_world()
        key = world.mint_key()
        first = self.send(world, "entry-0", key)
        world.advance(500)
        second = self.send(world, "entry-1", key)
        world.advance(6_000)
        self.assertIsInstance(read_answer(first), effects.Complete)
        self.assertIsInstance(read_answer(second), effects.Complete)
        self.assertEqual(world.oracle.runs[f"key/c1/{key}"], 1)

    def test_the_same_key_with_other_content_is_refused(self):
        world = self.create_world()
        key = world.mint_key()
        self.send(world, "entry-0", key)
        other = self.send(world, "entry-0", key, "other")
        world.advance(500)
        self.assertEqual(read_answer(other).kind, Kind.KEY_REUSED)

    def test_a_key_of_a_dead_entry_never_runs_again(self):
        world = self.create_world()
        key = world.issue_key("entry-0")
        self.send(world, "entry-0", key)
        world.entries["entry-0"].kill()
        world.advance(2_000)
        world.entries["entry-0"].start()
        world.advance(2_000)
        for name in world.entry_names:
            copy = self.send(world, name, key)
            world.advance(500)
            self.assertEqual(read_answer(copy).ran, Ran.UNKNOWN)
        self.assertEqual(world.oracle.runs[f"key/c1/{key}"], 1)

    def test_a_key_older_than_its_retention_is_refused(self):
        world = self.create_world()
        key = world.mint_key()
        self.send(world, "entry-0", key)
        world.advance(121_000)
        for name in world.entry_names:
            copy = self.send(world, name, key)
            self.assertEqual(read_answer(copy).kind, Kind.KEY_EXPIRED)
            self.assertEqual(read_answer(copy).ran, Ran.UNKNOWN)

    def test_an_issued_key_older_than_its_retention_is_refused(self):
        world = self.create_world()
        key = world.issue_key("entry-0")
        self.send(world, "entry-0", key)
        world.advance(121_000)
        copy = self.send(world, "entry-0", key)
        self.assertEqual(read_answer(copy).kind, Kind.KEY_EXPIRED)

    def test_a_malformed_key_did_not_run(self):
        world = self.create_world()
        copy = self.send(world, "entry-0", "no-uuid")
        self.assertEqual(read_answer(copy).kind, Kind.KEY_MALFORMED)
        self.assertEqual(read_answer(copy).ran, Ran.NO)


class ClaimedKeyTests(KeyTests):
    rule = services.KeyRule.CLAIMS

    def test_claims_are_forgotten_after_their_retention(self):
        world = self.create_world()
        for _ in range(20):
            self.send(world, "entry-0", world.mint_key())
            world.advance(200)
        world.advance(300_000)
        self.send(world, "entry-0", world.mint_key())
        world.advance(1_000)
        node = world.entries["entry-1"].node
        self.assertEqual(len(node.state.claims), 1)
        self.assertEqual(len(world.entries["entry-0"].node.keys), 1)

    def test_a_lost_append_is_repeated_and_claimed_once(self):
        world = self.create_world()
        entry = world.entries["entry-0"]
        entry.is_cut_from_log = True
        key = world.mint_key()
        copy = self.send(world, "entry-0", key)
        world.advance(500)
        entry.is_cut_from_log = False
        world.advance(8_000)
        self.assertIsInstance(read_answer(copy), effects.Complete)


class HomeTests(unittest.TestCase):
    def test_entries_that_start_together_join_once_and_nobody_leaves(self):
        world = RecordingWorld()
        for entry in world.entries.values():
            entry.deliver(messages.VmsListed(()))
        world.advance(1_000)
        for entry in world.entries.values():
            entry.deliver(world.list_vms())
        world.publish(fakes.build_configuration(), based_on=-1)
        world.advance(5_000)
        kinds = [type(item.record) for item in world.log.records]
        self.assertEqual(kinds.count(records.Leave), 0)
        self.assertEqual(kinds.count(records.Join), 3)
        self.assertEqual(kinds.count(records.Snapshot), 0)

    def test_another_entry_becomes_home_after_the_delay(self):
        world = create_world()
        world.entries["entry-0"].kill()
        world.advance(40_000)
        copies = []
        for _ in range(12):
            key = world.mint_key()
            copies.append(world.call("entry-1", "cash", key=key, content="c"))
            world.advance(1_000)
        world.advance(6_000)
        for copy in copies:
            self.assertIsInstance(read_answer(copy), effects.Complete)

    def test_a_change_of_rule_lets_no_key_run_twice(self):
        world = create_world()
        keys = []
        rules = [services.KeyRule.CLAIMS, services.KeyRule.HOMES]
        for step in range(100):
            if step in (10, 60):
                rule = rules[step == 60]
                world.publish(fakes.build_configuration(rule=rule))
            keys.append(world.mint_key())
            for key in keys[-8:]:
                name = world.entry_names[step % 3]
                world.call(name, "cash", key=key, content=f"c-{key}")
            world.advance(700)
        world.advance(10_000)
        self.assertEqual(max(world.oracle.runs.values()), 1)

    def test_a_stopping_home_serves_its_keys_until_it_is_replaced(self):
        world = create_world()
        world.entries["entry-0"].deliver(messages.StopWanted())
        copies = []
        for step in range(40):
            key = world.mint_key()
            name = world.entry_names[1 + step % 2]
            copies.append(world.call(name, "cash", key=key, content="c"))
            world.advance(1_000)
        world.advance(6_000)
        for copy in copies:
            self.assertIsInstance(read_answer(copy), effects.Complete)
        self.assertFalse(homes.is_home(world.entries["entry-0"].node))


class OutageTests(unittest.TestCase):
    def create_world(self):
        world = create_world()
        world.log.is_out = True
        world.advance(4_000)
        return world

    def test_calls_without_a_claim_go_on(self):
        world = self.create_world()
        copies = [world.call("entry-0", call) for call in ("tag", "check", "cash")]
        key = world.issue_key("entry-0")
        copies.append(world.call("entry-1", "cash", key=key, content="c"))
        world.advance(9_000)
        for copy in copies:
            self.assertIsInstance(read_answer(copy), effects.Complete)

    def test_a_chosen_key_gets_its_final_answer_at_once(self):
        world = self.create_world()
        world.advance(40_000)
        copy = world.call("entry-0", "cash", key=world.mint_key(), content="c")
        answer = read_answer(copy)
        self.assertEqual(answer.kind, Kind.LOG_UNAVAILABLE)
        self.assertIsNotNone(answer.retry_after_s)

    def test_a_chosen_key_runs_at_its_home_while_the_log_is_out(self):
        world = self.create_world()
        copies = [
            world.call(name, "cash", key=world.mint_key(), content="c")
            for name in world.entry_names
        ]
        world.advance(6_000)
        for copy in copies:
            self.assertIsInstance(read_answer(copy), effects.Complete)

    def test_an_entry_that_starts_gets_the_state_from_a_peer(self):
        world = self.create_world()
        entry = world.entries["entry-2"]
        entry.kill()
        entry.start()
        world.advance(1_000)
        copy = world.call("entry-2", "tag")
        self.assertEqual(read_answer(copy).kind, Kind.NOT_READY)
        state = messages.StateReceived(world.encode_state("entry-0"))
        entry.deliver(state)
        copy = world.call("entry-2", "tag")
        world.advance(9_000)
        self.assertIsInstance(read_answer(copy), effects.Complete)


class ConfigurationTests(unittest.TestCase):
    def test_in_force_everywhere_within_its_limit(self):
        world = create_world()
        shares = (("v1", 90.0), ("v2", 10.0))
        published = world.publish(fakes.build_configuration(shares))
        world.advance(3_000)
        for entry in world.entries.values():
            self.assertEqual(entry.node.state.publication_id, published)

    def test_a_new_entry_reads_a_snapshot_after_retention_has_passed(self):
        world = create_world()
        for _ in range(30):
            world.call("entry-0", "cash", key=world.mint_key(), content="c")
            world.advance(3_000)
        kept = [r for r in world.log.records if isinstance(r.record, records.Snapshot)]
        self.assertTrue(kept, "no snapshot was appended")
        world.log.trim(world.log.head - kept[-1].record.based_on)
        self.assertGreater(world.log.oldest, 0)
        entry = world.entries["entry-2"]
        entry.kill()
        entry.start()
        world.advance(1_000)
        others = world.entries["entry-0"].node.state
        self.assertEqual(entry.node.state.publication, others.publication)
        self.assertEqual(entry.node.state.claims, others.claims)

    def test_all_entries_but_one_are_replaced(self):
        world = create_world()
        for name in ("entry-1", "entry-2"):
            world.entries[name].kill()
            world.entries[name].start()
        world.advance(1_000)
        for entry in world.entries.values():
            self.assertIsNotNone(entry.node.configuration)

    def test_a_lagging_reader_goes_back_to_no_older_state(self):
        world = create_world()
        old = world.encode_state("entry-0")
        shares = (("v1", 90.0), ("v2", 10.0))
        published = world.publish(fakes.build_configuration(shares))
        world.advance(1_000)
        entry = world.entries["entry-0"]
        entry.deliver(messages.StateReceived(old))
        self.assertEqual(entry.node.state.publication_id, published)


class UrgencyTests(unittest.TestCase):
    def fill(self, world, entries, count=12):
        for number in range(count):
            world.call(entries[number % len(entries)], "ledger")
        world.advance(600)

    def test_takes_the_slot_of_less_urgent_work_here(self):
        world = create_world(entries=1)
        self.fill(world, ["entry-0"])
        copy = world.call("entry-0", "check")
        world.advance(FIRST_TOKEN_MS)
        self.assertIn(copy, [item for _, _, item in world.dispatched])

    def test_takes_the_slot_of_less_urgent_work_at_a_peer(self):
        world = create_world()
        self.fill(world, ["entry-1", "entry-2"])
        copies = [world.call("entry-0", "check") for _ in range(3)]
        world.advance(FIRST_TOKEN_MS)
        sent = [item for _, _, item in world.dispatched]
        for copy in copies:
            self.assertIn(copy, sent)

    def test_preempted_work_is_resumed_and_runs_once(self):
        world = create_world(entries=1)
        ledgers = [world.call("entry-0", "ledger") for _ in range(4)]
        world.advance(100)
        for _ in range(4):
            world.call("entry-0", "check")
        world.advance(25_000)
        for copy in ledgers:
            self.assertIsInstance(read_answer(copy), effects.Complete)
            self.assertEqual(world.oracle.runs[copy.identity], 1)

    def test_a_full_queue_drops_the_least_urgent_first(self):
        world = create_world(entries=1)
        ledgers = [world.call("entry-0", "ledger") for _ in range(16)]
        checks = [world.call("entry-0", "check") for _ in range(4)]
        dropped = [copy for copy in ledgers if copy.answers]
        self.assertTrue(dropped)
        self.assertEqual([copy for copy in checks if copy.answers], [])
        self.assertEqual(
            {read_answer(copy).kind for copy in dropped}, {Kind.QUEUE_FULL}
        )

    def test_waiting_batch_work_gets_no_urgent_request_refused(self):
        world = create_world(entries=1)
        for worker in world.workers.values():
            worker.slow = 10.0
        for _ in range(11):
            world.call("entry-0", "ledger")
        node = world.entries["entry-0"].node
        for worker in node.fleet:
            worker.speed.decode.add(2_000 / 50)
        copy = world.call("entry-0", "check")
        world.advance(FIRST_TOKEN_MS)
        self.assertIn(copy, [item for _, _, item in world.dispatched])

    def test_a_customers_burst_does_not_starve_the_others(self):
        world = create_world(entries=1)
        for _ in range(10):
            world.call("entry-0", "tag", customer="large")
        small = [world.call("entry-0", "tag", customer=f"c{n}") for n in range(2)]
        world.advance(4_500)
        sent = [item for _, _, item in world.dispatched]
        places = [sent.index(copy) for copy in small]
        self.assertLess(max(places), 8)

    def test_hopeless_requests_are_refused_before_they_run(self):
        world = create_world(entries=1)
        for worker in world.workers.values():
            worker.slow = 100.0
        copies = [world.call("entry-0", "check") for _ in range(10)]
        world.advance(6_000)
        late = [copy for copy in copies if read_answer(copy).ran is Ran.NO]
        self.assertTrue(late)


class PoisonTests(unittest.TestCase):
    def test_refused_everywhere_within_a_second_of_the_second_crash(self):
        world = create_world()
        world.call("entry-0", "tag", content="poison")
        world.advance(8_000)
        crashes = [worker.boot for worker in world.workers.values()]
        self.assertEqual(sum(crashes), 2)
        for name in world.entry_names:
            copy = world.call(name, "tag", content="poison")
            self.assertEqual(read_answer(copy).kind, Kind.QUARANTINED)

    def test_bystanders_are_not_quarantined(self):
        world = create_world()
        for number in range(4):
            world.call(f"entry-{number % 3}", "tag", content=f"innocent-{number}")
        world.call("entry-0", "tag", content="poison")
        world.advance(20_000)
        node = world.entries["entry-1"].node
        bad = [c for c in node.state.suspects if node.is_quarantined(c)]
        self.assertEqual(bad, ["poison"])

    def test_crashes_from_two_resends_at_two_entries(self):
        world = create_world()
        world.call("entry-0", "ledger", content="poison")
        world.advance(2_000)
        world.call("entry-1", "ledger", content="poison")
        world.advance(2_000)
        copy = world.call("entry-2", "ledger", content="poison")
        self.assertEqual(read_answer(copy).kind, Kind.QUARANTINED)


class LeavingTests(unittest.TestCase):
    def test_a_leaving_worker_gets_no_new_work_though_the_list_lags(self):
        world = create_world()
        world.workers["engine-0"].is_leaving = True
        world.advance(3_000)
        world.dispatched.clear()
        for number in range(6):
            world.call(f"entry-{number % 3}", "tag")
            world.advance(200)
        self.assertNotIn("engine-0", [name for _, name, _ in world.dispatched])

    def test_a_graceful_stop_cuts_nothing_off_and_takes_nothing_new(self):
        world = create_world(entries=1)
        running = [world.call("entry-0", "ledger") for _ in range(4)]
        waiting = [world.call("entry-0", "ledger") for _ in range(4)]
        world.advance(30)
        world.entries["entry-0"].deliver(messages.StopWanted())
        for copy in waiting:
            self.assertEqual(read_answer(copy).ran, Ran.NO)
            self.assertIsNotNone(read_answer(copy).retry_after_s)
        late = world.call("entry-0", "tag")
        self.assertEqual(read_answer(late).kind, Kind.STOPPING)
        world.advance(10_000)
        for copy in running:
            self.assertIsInstance(read_answer(copy), effects.Complete)


class CallerTests(unittest.TestCase):
    def test_a_vanished_caller_frees_its_slot(self):
        world = create_world(entries=1)
        copy = world.call("entry-0", "ledger")
        world.advance(30)
        entry = world.entries["entry-0"]
        entry.deliver(messages.CallerGone(copy.request_id))
        world.advance(100)
        self.assertEqual(entry.node.requests, {})

    def test_an_unknown_call_is_refused(self):
        world = create_world(entries=1)
        entry = world.entries["entry-0"]
        done = entry.node.handle(
            messages.CallReceived("r", "engine", "nothing", "c", "h"), world.now_ms
        )
        self.assertEqual(done[0].kind, Kind.UNKNOWN_CALL)


if __name__ == "__main__":
    unittest.main()
