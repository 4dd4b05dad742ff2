"""Tests of rollouts: moving the traffic of a service to a new version."""

import datetime
import unittest

import fakes

from wasabiknot_kernel import exceptions, moves, records

ROLLOUT_S = 30
MAX_BAD_REQUESTS = 12
TARGET_SHARES = (("v1", 0.0), ("v2", 100.0))


class RolloutSimulation(fakes.Simulation):
    """Records the time and version of each dispatch."""

    durations_ms = (500, 700, 1_000)

    def __init__(self, seed=0):
        super().__init__(seed)
        self.is_network_lossy = False
        self.sent = []

    def check_dispatch(self, entry, worker, copy):
        self.sent.append((self.now_ms, worker.vm.version))

    def count(self, version, since_ms=0):
        return sum(
            1 for at_ms, name in self.sent if name == version and at_ms >= since_ms
        )


def create_simulation():
    simulation = RolloutSimulation()
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


def start_rollout(simulation, seconds=ROLLOUT_S, shares=TARGET_SHARES):
    due_s = simulation.now_ms / 1000 + seconds
    by = datetime.datetime.fromtimestamp(due_s, datetime.UTC)
    simulation.publish(fakes.build_configuration(shares, by))
    simulation.advance(500)


def send_requests(simulation, seconds, call="tag", per_s=12, customers=5):
    for number in range(seconds * per_s):
        entry = f"entry-{number % 3}"
        simulation.call(entry, call, customer=f"c{number % customers}")
        simulation.advance(1_000 // per_s)


def find_move(simulation, entry="entry-0", service="engine"):
    return simulation.entries[entry].node.state.moves[service]


class GoodVersionTests(unittest.TestCase):
    def test_rollout_finishes_by_its_due_time(self):
        simulation = create_simulation()
        start_rollout(simulation)
        send_requests(simulation, ROLLOUT_S + 3)
        move = find_move(simulation)
        self.assertEqual(move.state, records.MoveState.FINISHED)
        self.assertLessEqual(move.ended_ms, move.due_ms)

    def test_share_starts_small(self):
        simulation = create_simulation()
        start_rollout(simulation)
        started_ms = simulation.now_ms
        send_requests(simulation, 5)
        share = simulation.count("v2", started_ms) / len(simulation.sent)
        self.assertLess(share, 0.12)

    def test_all_entries_agree_on_the_end(self):
        simulation = create_simulation()
        start_rollout(simulation)
        send_requests(simulation, ROLLOUT_S + 3)
        states = {find_move(simulation, name).state for name in simulation.entries}
        self.assertEqual(states, {records.MoveState.FINISHED})

    def test_poison_of_one_customer_does_not_end_the_rollout(self):
        simulation = create_simulation()
        start_rollout(simulation)
        for number in range(6):
            simulation.call("entry-0", "tag", content=f"poison-{number}", customer="c9")
            send_requests(simulation, 3)
        send_requests(simulation, ROLLOUT_S)
        self.assertEqual(find_move(simulation).state, records.MoveState.FINISHED)

    def test_missing_evidence_delays_the_rollout(self):
        simulation = create_simulation()
        start_rollout(simulation, seconds=5)
        simulation.advance(10_000)
        node = simulation.entries["entry-0"].node
        move = find_move(simulation)
        report = moves.describe(move, simulation.now_ms, node.analyses[move.offset])
        self.assertEqual(report.state, "running")
        self.assertTrue(report.late)
        self.assertIn("waits for evidence", report.reason)


class FewCallsTests(unittest.TestCase):
    def test_rollout_with_few_calls_finishes_by_its_due_time(self):
        simulation = create_simulation()
        start_rollout(simulation, seconds=15)
        send_requests(simulation, 15, per_s=10)
        move = find_move(simulation)
        self.assertEqual(move.state, records.MoveState.FINISHED)
        self.assertLessEqual(move.ended_ms, move.due_ms)


class BadVersionTests(unittest.TestCase):
    def check_rolled_back(self, simulation, max_requests=MAX_BAD_REQUESTS):
        move = find_move(simulation)
        self.assertEqual(move.state, records.MoveState.ROLLED_BACK)
        self.assertLessEqual(simulation.count("v2"), max_requests)
        self.assertEqual(simulation.count("v2", move.ended_ms + 1_000), 0)

    def test_failing_version_is_rolled_back(self):
        simulation = create_simulation()
        start_rollout(simulation)
        for worker in list_new_workers(simulation):
            worker.fail_fraction = 1.0
        send_requests(simulation, ROLLOUT_S)
        self.check_rolled_back(simulation)

    def test_crashing_version_is_rolled_back_without_quarantine(self):
        simulation = create_simulation()
        start_rollout(simulation)
        for worker in list_new_workers(simulation):
            worker.crash_on_run = True
        send_requests(simulation, ROLLOUT_S)
        self.check_rolled_back(simulation)
        node = simulation.entries["entry-0"].node
        quarantined = [
            content for content in node.state.suspects if node.is_quarantined(content)
        ]
        self.assertEqual(quarantined, [])

    def test_version_that_fails_after_the_finish_is_rolled_back(self):
        simulation = create_simulation()
        start_rollout(simulation)
        send_requests(simulation, ROLLOUT_S + 3)
        self.assertEqual(find_move(simulation).state, records.MoveState.FINISHED)
        for worker in list_new_workers(simulation):
            worker.fail_fraction = 0.5
        send_requests(simulation, 4)
        self.assertEqual(find_move(simulation).state, records.MoveState.ROLLED_BACK)

    def test_version_that_fails_on_one_route_is_rolled_back(self):
        simulation = create_simulation()
        start_rollout(simulation)
        for worker in list_new_workers(simulation):
            worker.fail_fraction = 1.0
            worker.fail_calls = ("check",)
        for _ in range(ROLLOUT_S):
            send_requests(simulation, 1, "tag", per_s=12)
            send_requests(simulation, 1, "check", per_s=4)
        move = find_move(simulation)
        self.assertEqual(move.state, records.MoveState.ROLLED_BACK)
        self.assertIn("check", move.reason)

    def test_slow_version_is_rolled_back(self):
        simulation = create_simulation()
        start_rollout(simulation)
        for worker in list_new_workers(simulation):
            worker.slow = 4.0
        send_requests(simulation, ROLLOUT_S)
        move = find_move(simulation)
        self.assertEqual(move.state, records.MoveState.ROLLED_BACK)
        self.assertIn("slower", move.reason)

    def test_entries_stop_bad_version_during_a_log_outage(self):
        simulation = create_simulation()
        start_rollout(simulation)
        send_requests(simulation, 6)
        simulation.log.is_unavailable = True
        for worker in list_new_workers(simulation):
            worker.fail_fraction = 1.0
        send_requests(simulation, 12)
        stopped_ms = simulation.now_ms
        send_requests(simulation, 5)
        self.assertEqual(find_move(simulation).state, records.MoveState.RUNNING)
        self.assertEqual(simulation.count("v2", stopped_ms), 0)

    def test_rollback_reason_is_one_line(self):
        simulation = create_simulation()
        start_rollout(simulation)
        for worker in list_new_workers(simulation):
            worker.fail_fraction = 1.0
        send_requests(simulation, 15)
        report = moves.describe(find_move(simulation), simulation.now_ms)
        self.assertEqual(report.state, "taken-back")
        self.assertIn("failed requests", report.reason)
        self.assertNotIn("\n", report.reason)


class OperatorTests(unittest.TestCase):
    def test_withdrawn_version_gets_no_requests(self):
        simulation = create_simulation()
        start_rollout(simulation)
        send_requests(simulation, 15)
        simulation.publish(fakes.build_configuration())
        simulation.advance(1_000)
        withdrawn_ms = simulation.now_ms
        send_requests(simulation, 5)
        self.assertEqual(find_move(simulation).state, records.MoveState.WITHDRAWN)
        self.assertEqual(simulation.count("v2", withdrawn_ms), 0)

    def test_rolled_back_version_can_be_released_again(self):
        simulation = create_simulation()
        start_rollout(simulation)
        for worker in list_new_workers(simulation):
            worker.fail_fraction = 1.0
        send_requests(simulation, 15)
        for worker in list_new_workers(simulation):
            worker.fail_fraction = 0.0
        start_rollout(simulation, seconds=ROLLOUT_S + 1)
        send_requests(simulation, ROLLOUT_S + 4)
        self.assertEqual(find_move(simulation).state, records.MoveState.FINISHED)

    def test_first_of_two_concurrent_publications_wins(self):
        simulation = create_simulation()
        based_on = simulation.find_publication()
        first = simulation.publish(fakes.build_configuration(TARGET_SHARES), based_on)
        simulation.publish(
            fakes.build_configuration((("v1", 50.0), ("v2", 50.0))), based_on
        )
        simulation.advance(1_000)
        for entry in simulation.entries.values():
            self.assertEqual(entry.node.state.publication_id, first)

    def test_partial_share_is_reached_gradually(self):
        simulation = create_simulation()
        start_rollout(simulation, shares=(("v1", 60.0), ("v2", 40.0)))
        started_ms = simulation.now_ms
        send_requests(simulation, 4)
        self.assertLess(simulation.count("v2", started_ms), 6)


class RetryTests(unittest.TestCase):
    def test_retry_of_a_failed_request_avoids_the_new_version(self):
        simulation = create_simulation()
        start_rollout(simulation)
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
