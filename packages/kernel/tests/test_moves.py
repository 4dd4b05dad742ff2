"""Tests of moves of traffic to a new version."""

import datetime
import unittest

import fakes

from wasabiknot_kernel import exceptions, moves, records

MOVE_S = 30
BAD_LIMIT = 12
FULL_SHARES = (("v1", 0.0), ("v2", 100.0))


class MoveWorld(fakes.Simulation):
    """Counts what each version runs."""

    durations_ms = (500, 700, 1_000)

    def __init__(self, seed=0):
        super().__init__(seed)
        self.is_network_lossy = False
        self.sent = []

    def check_dispatch(self, entry, worker, copy):
        self.sent.append((self.now_ms, worker.vm.version))

    def count(self, version, since_ms=0):
        return sum(1 for at, name in self.sent if name == version and at >= since_ms)


def create_simulation():
    simulation = MoveWorld()
    for index in range(3):
        simulation.add_worker(f"engine-new-{index}", "engine", "v2", 4)
        simulation.add_worker(f"engine-old-{index}", "engine", "v1", 4)
    simulation.workers["engine-2"].fail_fraction = 0.0
    for entry in simulation.entries.values():
        entry.deliver(simulation.list_vms())
    simulation.publish(fakes.build_configuration(), based_on=-1)
    simulation.advance(1_000)
    return simulation


def new_workers(simulation):
    return [item for item in simulation.workers.values() if item.vm.version == "v2"]


def begin_move(simulation, seconds=MOVE_S, shares=FULL_SHARES):
    due_s = simulation.now_ms / 1000 + seconds
    by = datetime.datetime.fromtimestamp(due_s, datetime.UTC)
    simulation.publish(fakes.build_configuration(shares, by))
    simulation.advance(500)


def drive(simulation, seconds, call="tag", per_s=12, customers=5):
    for number in range(seconds * per_s):
        entry = f"entry-{number % 3}"
        simulation.call(entry, call, customer=f"c{number % customers}")
        simulation.advance(1_000 // per_s)


def find_move(simulation, entry="entry-0", service="engine"):
    return simulation.entries[entry].node.state.moves[service]


class GoodVersionTests(unittest.TestCase):
    def test_finishes_by_its_time(self):
        simulation = create_simulation()
        begin_move(simulation)
        drive(simulation, MOVE_S + 3)
        move = find_move(simulation)
        self.assertEqual(move.state, records.MoveState.FINISHED)
        self.assertLessEqual(move.ended_ms, move.due_ms)

    def test_grows_from_a_small_share(self):
        simulation = create_simulation()
        begin_move(simulation)
        started_ms = simulation.now_ms
        drive(simulation, 5)
        share = simulation.count("v2", started_ms) / len(simulation.sent)
        self.assertLess(share, 0.12)

    def test_every_entry_reports_the_same_end(self):
        simulation = create_simulation()
        begin_move(simulation)
        drive(simulation, MOVE_S + 3)
        states = {find_move(simulation, name).state for name in simulation.entries}
        self.assertEqual(states, {records.MoveState.FINISHED})

    def test_one_customers_poison_does_not_condemn_it(self):
        simulation = create_simulation()
        begin_move(simulation)
        for number in range(6):
            simulation.call("entry-0", "tag", content=f"poison-{number}", customer="c9")
            drive(simulation, 3)
        drive(simulation, MOVE_S)
        self.assertEqual(find_move(simulation).state, records.MoveState.FINISHED)

    def test_waits_for_evidence_and_says_so(self):
        simulation = create_simulation()
        begin_move(simulation, seconds=5)
        simulation.advance(10_000)
        node = simulation.entries["entry-0"].node
        move = find_move(simulation)
        report = moves.describe(move, simulation.now_ms, node.analyses[move.offset])
        self.assertEqual(report.state, "running")
        self.assertTrue(report.late)
        self.assertIn("waits for evidence", report.reason)


class FewCallsTests(unittest.TestCase):
    def test_finishes_by_its_time_with_few_calls(self):
        simulation = create_simulation()
        begin_move(simulation, seconds=15)
        drive(simulation, 15, per_s=10)
        move = find_move(simulation)
        self.assertEqual(move.state, records.MoveState.FINISHED)
        self.assertLessEqual(move.ended_ms, move.due_ms)


class BadVersionTests(unittest.TestCase):
    def check_taken_back(self, simulation, limit=BAD_LIMIT):
        move = find_move(simulation)
        self.assertEqual(move.state, records.MoveState.ROLLED_BACK)
        self.assertLessEqual(simulation.count("v2"), limit)
        self.assertEqual(simulation.count("v2", move.ended_ms + 1_000), 0)

    def test_failing_at_once(self):
        simulation = create_simulation()
        begin_move(simulation)
        for worker in new_workers(simulation):
            worker.fail_fraction = 1.0
        drive(simulation, MOVE_S)
        self.check_taken_back(simulation)

    def test_crashing_at_once_blames_no_content(self):
        simulation = create_simulation()
        begin_move(simulation)
        for worker in new_workers(simulation):
            worker.crash_on_run = True
        drive(simulation, MOVE_S)
        self.check_taken_back(simulation)
        node = simulation.entries["entry-0"].node
        innocent = [c for c in node.state.suspects if node.is_quarantined(c)]
        self.assertEqual(innocent, [])

    def test_failing_after_it_has_finished(self):
        simulation = create_simulation()
        begin_move(simulation)
        drive(simulation, MOVE_S + 3)
        self.assertEqual(find_move(simulation).state, records.MoveState.FINISHED)
        for worker in new_workers(simulation):
            worker.fail_fraction = 0.5
        drive(simulation, 4)
        self.assertEqual(find_move(simulation).state, records.MoveState.ROLLED_BACK)

    def test_failing_on_one_route_only(self):
        simulation = create_simulation()
        begin_move(simulation)
        for worker in new_workers(simulation):
            worker.fail_fraction = 1.0
            worker.fail_calls = ("check",)
        for _ in range(MOVE_S):
            drive(simulation, 1, "tag", per_s=12)
            drive(simulation, 1, "check", per_s=4)
        move = find_move(simulation)
        self.assertEqual(move.state, records.MoveState.ROLLED_BACK)
        self.assertIn("check", move.reason)

    def test_slow_version(self):
        simulation = create_simulation()
        begin_move(simulation)
        for worker in new_workers(simulation):
            worker.slow = 4.0
        drive(simulation, MOVE_S)
        move = find_move(simulation)
        self.assertEqual(move.state, records.MoveState.ROLLED_BACK)
        self.assertIn("slower", move.reason)

    def test_every_entry_stops_by_itself_while_the_log_is_out(self):
        simulation = create_simulation()
        begin_move(simulation)
        drive(simulation, 6)
        simulation.log.is_unavailable = True
        for worker in new_workers(simulation):
            worker.fail_fraction = 1.0
        drive(simulation, 12)
        judged_ms = simulation.now_ms
        drive(simulation, 5)
        self.assertEqual(find_move(simulation).state, records.MoveState.RUNNING)
        self.assertEqual(simulation.count("v2", judged_ms), 0)

    def test_reason_is_one_line(self):
        simulation = create_simulation()
        begin_move(simulation)
        for worker in new_workers(simulation):
            worker.fail_fraction = 1.0
        drive(simulation, 15)
        report = moves.describe(find_move(simulation), simulation.now_ms)
        self.assertEqual(report.state, "taken-back")
        self.assertIn("failed requests", report.reason)
        self.assertNotIn("\n", report.reason)


class OperatorTests(unittest.TestCase):
    def test_withdrawn_move_sends_nothing_more(self):
        simulation = create_simulation()
        begin_move(simulation)
        drive(simulation, 15)
        simulation.publish(fakes.build_configuration())
        simulation.advance(1_000)
        withdrawn_ms = simulation.now_ms
        drive(simulation, 5)
        self.assertEqual(find_move(simulation).state, records.MoveState.WITHDRAWN)
        self.assertEqual(simulation.count("v2", withdrawn_ms), 0)

    def test_taken_back_move_can_be_asked_for_again(self):
        simulation = create_simulation()
        begin_move(simulation)
        for worker in new_workers(simulation):
            worker.fail_fraction = 1.0
        drive(simulation, 15)
        for worker in new_workers(simulation):
            worker.fail_fraction = 0.0
        begin_move(simulation, seconds=MOVE_S + 1)
        drive(simulation, MOVE_S + 4)
        self.assertEqual(find_move(simulation).state, records.MoveState.FINISHED)

    def test_only_the_first_of_two_racing_operators_wins(self):
        simulation = create_simulation()
        based_on = simulation.find_publication()
        first = simulation.publish(fakes.build_configuration(FULL_SHARES), based_on)
        simulation.publish(
            fakes.build_configuration((("v1", 50.0), ("v2", 50.0))), based_on
        )
        simulation.advance(1_000)
        for entry in simulation.entries.values():
            self.assertEqual(entry.node.state.publication_id, first)

    def test_a_share_does_not_jump_when_an_operator_asks_for_it(self):
        simulation = create_simulation()
        begin_move(simulation, shares=(("v1", 60.0), ("v2", 40.0)))
        started_ms = simulation.now_ms
        drive(simulation, 4)
        self.assertLess(simulation.count("v2", started_ms), 6)


class BlameTests(unittest.TestCase):
    def test_retry_of_a_failed_request_avoids_the_new_version(self):
        simulation = create_simulation()
        begin_move(simulation)
        for worker in new_workers(simulation):
            worker.fail_fraction = 1.0
        drive(simulation, 15)
        simulation.advance(30_000)
        tags = [copy for copy in simulation.copies if copy.call == "tag"]
        kinds = {getattr(copy.answers[0], "kind", None) for copy in tags}
        self.assertNotIn(exceptions.ErrorKind.WORKER_FAILED, kinds)
        self.assertNotIn(exceptions.ErrorKind.OUTCOME_UNKNOWN, kinds)


if __name__ == "__main__":
    unittest.main()
