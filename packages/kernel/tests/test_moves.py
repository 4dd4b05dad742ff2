"""Tests of the rollout of a new version and of its rollback."""

import datetime
import unittest

import fakes

from wasabiknot_kernel import exceptions, moves, records

MOVE_S = 30
MAX_BAD_DISPATCHES = 12
FULL_SHARES = (("v1", 0.0), ("v2", 100.0))


class MoveSimulation(fakes.Simulation):
    """Simulation that records the version of each dispatch."""

    durations_ms = (500, 700, 1_000)

    def __init__(self, seed=0):
        super().__init__(seed)
        self.is_network_lossy = False
        self.dispatched = []

    def check_dispatch(self, entry, worker, copy):
        self.dispatched.append((self.now_ms, worker.vm.version))

    def count_dispatches(self, version, since_ms=0):
        return sum(
            1
            for at_ms, name in self.dispatched
            if name == version and at_ms >= since_ms
        )


def create_simulation():
    simulation = MoveSimulation()
    for index in range(3):
        simulation.add_worker(f"engine-new-{index}", "engine", "v2", 4)
        simulation.add_worker(f"engine-old-{index}", "engine", "v1", 4)
    simulation.workers["engine-2"].fail_fraction = 0.0
    for entry in simulation.entries.values():
        entry.deliver(simulation.list_vms())
    simulation.publish(fakes.build_configuration(), based_on=-1)
    simulation.advance(1_000)
    return simulation


def list_new_workers(simulation):
    return [item for item in simulation.workers.values() if item.vm.version == "v2"]


def start_move(simulation, seconds=MOVE_S, shares=FULL_SHARES):
    due_s = simulation.now_ms / 1000 + seconds
    deadline = datetime.datetime.fromtimestamp(due_s, datetime.UTC)
    simulation.publish(fakes.build_configuration(shares, deadline))
    simulation.advance(500)


def send_requests(simulation, seconds, call="tag", rate_per_s=12, customers=5):
    for number in range(seconds * rate_per_s):
        entry = f"entry-{number % 3}"
        simulation.call(entry, call, customer=f"c{number % customers}")
        simulation.advance(1_000 // rate_per_s)


def find_move(simulation, entry="entry-0", service="engine"):
    return simulation.entries[entry].node.state.moves[service]


class HealthyVersionTests(unittest.TestCase):
    def test_finishes_in_time(self):
        simulation = create_simulation()
        start_move(simulation)
        send_requests(simulation, MOVE_S + 3)
        move = find_move(simulation)
        self.assertEqual(move.state, records.MoveState.FINISHED)
        self.assertLessEqual(move.ended_ms, move.due_ms)

    def test_starts_with_a_small_share(self):
        simulation = create_simulation()
        start_move(simulation)
        started_ms = simulation.now_ms
        send_requests(simulation, 5)
        share = simulation.count_dispatches("v2", started_ms) / len(
            simulation.dispatched
        )
        self.assertLess(share, 0.12)

    def test_all_entries_report_the_same_end(self):
        simulation = create_simulation()
        start_move(simulation)
        send_requests(simulation, MOVE_S + 3)
        states = {find_move(simulation, name).state for name in simulation.entries}
        self.assertEqual(states, {records.MoveState.FINISHED})

    def test_poison_of_one_customer_does_not_roll_back(self):
        simulation = create_simulation()
        start_move(simulation)
        for number in range(6):
            simulation.call("entry-0", "tag", content=f"poison-{number}", customer="c9")
            send_requests(simulation, 3)
        send_requests(simulation, MOVE_S)
        self.assertEqual(find_move(simulation).state, records.MoveState.FINISHED)

    def test_reports_that_it_waits_for_evidence(self):
        simulation = create_simulation()
        start_move(simulation, seconds=5)
        simulation.advance(10_000)
        node = simulation.entries["entry-0"].node
        move = find_move(simulation)
        report = moves.describe(move, simulation.now_ms, node.analyses[move.offset])
        self.assertEqual(report.state, "running")
        self.assertTrue(report.late)
        self.assertIn("waits for evidence", report.reason)


class LowTrafficTests(unittest.TestCase):
    def test_finishes_in_time_with_little_traffic(self):
        simulation = create_simulation()
        start_move(simulation, seconds=15)
        send_requests(simulation, 15, rate_per_s=10)
        move = find_move(simulation)
        self.assertEqual(move.state, records.MoveState.FINISHED)
        self.assertLessEqual(move.ended_ms, move.due_ms)


class BadVersionTests(unittest.TestCase):
    def check_rolled_back(self, simulation, max_dispatches=MAX_BAD_DISPATCHES):
        move = find_move(simulation)
        self.assertEqual(move.state, records.MoveState.ROLLED_BACK)
        self.assertLessEqual(simulation.count_dispatches("v2"), max_dispatches)
        self.assertEqual(simulation.count_dispatches("v2", move.ended_ms + 1_000), 0)

    def test_failure_from_the_start_rolls_back(self):
        simulation = create_simulation()
        start_move(simulation)
        for worker in list_new_workers(simulation):
            worker.fail_fraction = 1.0
        send_requests(simulation, MOVE_S)
        self.check_rolled_back(simulation)

    def test_crashes_from_the_start_quarantine_no_content(self):
        simulation = create_simulation()
        start_move(simulation)
        for worker in list_new_workers(simulation):
            worker.crash_on_run = True
        send_requests(simulation, MOVE_S)
        self.check_rolled_back(simulation)
        node = simulation.entries["entry-0"].node
        quarantined = [c for c in node.state.suspects if node.is_quarantined(c)]
        self.assertEqual(quarantined, [])

    def test_failure_after_the_end_rolls_back(self):
        simulation = create_simulation()
        start_move(simulation)
        send_requests(simulation, MOVE_S + 3)
        self.assertEqual(find_move(simulation).state, records.MoveState.FINISHED)
        for worker in list_new_workers(simulation):
            worker.fail_fraction = 0.5
        send_requests(simulation, 4)
        self.assertEqual(find_move(simulation).state, records.MoveState.ROLLED_BACK)

    def test_failure_on_one_route_rolls_back(self):
        simulation = create_simulation()
        start_move(simulation)
        for worker in list_new_workers(simulation):
            worker.fail_fraction = 1.0
            worker.fail_calls = ("check",)
        for _ in range(MOVE_S):
            send_requests(simulation, 1, "tag", rate_per_s=12)
            send_requests(simulation, 1, "check", rate_per_s=4)
        move = find_move(simulation)
        self.assertEqual(move.state, records.MoveState.ROLLED_BACK)
        self.assertIn("check", move.reason)

    def test_slow_version_rolls_back(self):
        simulation = create_simulation()
        start_move(simulation)
        for worker in list_new_workers(simulation):
            worker.slow = 4.0
        send_requests(simulation, MOVE_S)
        move = find_move(simulation)
        self.assertEqual(move.state, records.MoveState.ROLLED_BACK)
        self.assertIn("slower", move.reason)

    def test_entries_block_the_version_during_a_log_outage(self):
        simulation = create_simulation()
        start_move(simulation)
        send_requests(simulation, 6)
        simulation.log.is_unavailable = True
        for worker in list_new_workers(simulation):
            worker.fail_fraction = 1.0
        send_requests(simulation, 12)
        blocked_ms = simulation.now_ms
        send_requests(simulation, 5)
        self.assertEqual(find_move(simulation).state, records.MoveState.RUNNING)
        self.assertEqual(simulation.count_dispatches("v2", blocked_ms), 0)

    def test_reason_is_a_single_line(self):
        simulation = create_simulation()
        start_move(simulation)
        for worker in list_new_workers(simulation):
            worker.fail_fraction = 1.0
        send_requests(simulation, 15)
        report = moves.describe(find_move(simulation), simulation.now_ms)
        self.assertEqual(report.state, "taken-back")
        self.assertIn("failed requests", report.reason)
        self.assertNotIn("\n", report.reason)


class OperatorTests(unittest.TestCase):
    def test_withdrawn_rollout_gets_no_traffic(self):
        simulation = create_simulation()
        start_move(simulation)
        send_requests(simulation, 15)
        simulation.publish(fakes.build_configuration())
        simulation.advance(1_000)
        withdrawn_ms = simulation.now_ms
        send_requests(simulation, 5)
        self.assertEqual(find_move(simulation).state, records.MoveState.WITHDRAWN)
        self.assertEqual(simulation.count_dispatches("v2", withdrawn_ms), 0)

    def test_rolled_back_version_can_be_published_again(self):
        simulation = create_simulation()
        start_move(simulation)
        for worker in list_new_workers(simulation):
            worker.fail_fraction = 1.0
        send_requests(simulation, 15)
        for worker in list_new_workers(simulation):
            worker.fail_fraction = 0.0
        start_move(simulation, seconds=MOVE_S + 1)
        send_requests(simulation, MOVE_S + 4)
        self.assertEqual(find_move(simulation).state, records.MoveState.FINISHED)

    def test_first_of_two_concurrent_publications_wins(self):
        simulation = create_simulation()
        based_on = simulation.find_publication()
        first = simulation.publish(fakes.build_configuration(FULL_SHARES), based_on)
        simulation.publish(
            fakes.build_configuration((("v1", 50.0), ("v2", 50.0))), based_on
        )
        simulation.advance(1_000)
        for entry in simulation.entries.values():
            self.assertEqual(entry.node.state.publication_id, first)

    def test_requested_share_is_reached_gradually(self):
        simulation = create_simulation()
        start_move(simulation, shares=(("v1", 60.0), ("v2", 40.0)))
        started_ms = simulation.now_ms
        send_requests(simulation, 4)
        self.assertLess(simulation.count_dispatches("v2", started_ms), 6)


class RetryTests(unittest.TestCase):
    def test_retry_uses_another_version(self):
        simulation = create_simulation()
        start_move(simulation)
        for worker in list_new_workers(simulation):
            worker.fail_fraction = 1.0
        send_requests(simulation, 15)
        simulation.advance(30_000)
        tags = [copy for copy in simulation.copies if copy.call == "tag"]
        kinds = {getattr(copy.answers[0], "kind", None) for copy in tags}
        self.assertNotIn(exceptions.ErrorKind.WORKER_FAILED, kinds)
        self.assertNotIn(exceptions.ErrorKind.OUTCOME_UNKNOWN, kinds)


if __name__ == "__main__":
    unittest.main()
