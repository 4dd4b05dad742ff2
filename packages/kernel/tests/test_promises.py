"""Stateful property tests of three simulated entries under faults.

The simulation records which requests really ran and compares that with the answers.
"""

import os
import unittest

import fakes
import hypothesis
from hypothesis import stateful, strategies as st

from wasabiknot_kernel import effects, exceptions, services

DEFAULT_EXAMPLES = 40
STEPS = 30
EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", DEFAULT_EXAMPLES))
SEED = os.environ.get("FUZZ_SEED")
PHASES = [hypothesis.Phase.generate]
if os.environ.get("FUZZ_SHRINK"):
    PHASES.append(hypothesis.Phase.shrink)
ENTRIES = st.sampled_from(["entry-0", "entry-1", "entry-2"])
WORKERS = st.sampled_from(["engine-0", "engine-1", "engine-2", "plain-0"])
SHEDDING = {
    exceptions.ErrorKind.QUEUE_FULL,
    exceptions.ErrorKind.DEADLINE_UNREACHABLE,
}
MAX_LEAVING_DISPATCH_MS = 3_000
QUARANTINE_LIMIT_MS = 1_000


class CheckedSimulation(fakes.Simulation):
    """A simulation that checks the guarantees at each dispatch and refusal."""

    def check_dispatch(self, entry, worker, copy):
        if worker.leaving_since_ms is not None:
            leaving_ms = self.now_ms - worker.leaving_since_ms
            assert leaving_ms <= MAX_LEAVING_DISPATCH_MS, (
                f"{worker.vm.id} began to leave {leaving_ms} ms ago"
            )

    def check_shedding(self, entry, copy, refusal):
        if refusal.kind not in SHEDDING:
            return
        if fakes.CALLS[copy.call].tier != "urgent" or copy.call != "check":
            return
        less_urgent = [
            request.request_id
            for worker in entry.node.fleet.list_workers("engine")
            for request in worker.running.values()
            if request.rank > 0 and not request.is_yielding
        ]
        assert not less_urgent, f"urgent request shed while {less_urgent} were running"


class PromiseMachine(stateful.RuleBasedStateMachine):
    """Runs three entries under random combinations of faults."""

    @stateful.initialize(
        seed=st.integers(0, 2**16), rule=st.sampled_from(services.KeyRule)
    )
    def begin(self, seed, rule):
        self.world = CheckedSimulation(seed)
        self.rule = rule
        self.world.advance(500)
        self.world.publish(fakes.build_configuration(rule=rule), based_on=-1)
        self.world.advance(3_000)
        self.keyed = []

    @stateful.rule(
        entry=ENTRIES,
        call=st.sampled_from(["tag", "ledger", "check", "cash"]),
        count=st.integers(1, 6),
    )
    def send_without_key(self, entry, call, count):
        for _ in range(count):
            self.world.call(entry, call)

    @stateful.rule(entry=ENTRIES, call=st.sampled_from(["ledger", "cash"]))
    def send_with_chosen_key(self, entry, call):
        key = self.world.create_key()
        self._send_keyed(entry, call, key)

    @stateful.rule(
        entry=ENTRIES, owner=ENTRIES, call=st.sampled_from(["ledger", "cash"])
    )
    def send_with_issued_key(self, entry, owner, call):
        before = len(self.world.issued_keys)
        key = self.world.issue_key(owner)
        if len(self.world.issued_keys) > before:
            self._send_keyed(entry, call, key)

    @stateful.rule(
        first=ENTRIES, second=ENTRIES, call=st.sampled_from(["ledger", "cash"])
    )
    def send_one_key_to_two_entries(self, first, second, call):
        key = self.world.create_key()
        self._send_keyed(first, call, key)
        self._send_keyed(second, call, key)

    @stateful.rule(entry=ENTRIES, age_ms=st.sampled_from([100_000, 115_000, 400_000]))
    def send_old_key(self, entry, age_ms):
        self._send_keyed(entry, "cash", self.world.create_key(age_ms))

    def _send_keyed(self, entry, call, key):
        if (call, key) not in self.keyed:
            self.keyed.append((call, key))
        self.world.call(entry, call, key=key, content=f"content-{key}")

    @stateful.precondition(lambda self: self.keyed)
    @stateful.rule(entry=ENTRIES, data=st.data())
    def send_again(self, entry, data):
        call, key = data.draw(st.sampled_from(self.keyed))
        self._send_keyed(entry, call, key)

    @stateful.rule(entry=ENTRIES, name=st.integers(0, 2))
    def send_poison(self, entry, name):
        self.world.call(entry, "tag", content=f"poison-{name}")

    @stateful.rule(duration_ms=st.sampled_from([10, 60, 300, 1_500, 5_000, 31_000]))
    def wait(self, duration_ms):
        self.world.advance(duration_ms)

    @stateful.rule(entry=ENTRIES)
    def freeze(self, entry):
        self.world.entries[entry].is_paused = True

    @stateful.rule(entry=ENTRIES)
    def thaw(self, entry):
        if self.world.entries[entry].is_paused:
            self.world.entries[entry].unpause()

    @stateful.rule(entry=ENTRIES)
    def kill(self, entry):
        self.world.entries[entry].kill()

    @stateful.rule(entry=ENTRIES)
    def restart(self, entry):
        if not self.world.entries[entry].is_alive:
            self.world.entries[entry].start()

    @stateful.rule(is_unavailable=st.booleans())
    def switch_log(self, is_unavailable):
        self.world.log.is_unavailable = is_unavailable

    @stateful.rule(entry=ENTRIES, cut=st.booleans())
    def cut_log(self, entry, cut):
        self.world.entries[entry].is_log_unreachable = cut

    @stateful.rule(first=ENTRIES, second=ENTRIES, cut=st.booleans())
    def cut_entries(self, first, second, cut):
        pair = frozenset((first, second))
        if cut:
            self.world.partitions.add(pair)
        else:
            self.world.partitions.discard(pair)

    @stateful.rule(worker=WORKERS)
    def crash_worker(self, worker):
        if not self.world.workers[worker].is_down:
            self.world.workers[worker].crash()

    @stateful.rule(worker=st.sampled_from(["engine-0", "engine-2"]))
    def leave(self, worker):
        leaving = self.world.workers[worker]
        if not leaving.is_leaving and not self._is_any_entry_paused():
            leaving.is_leaving = True
            leaving.leaving_since_ms = self.world.now_ms

    def _is_any_entry_paused(self):
        return any(entry.is_paused for entry in self.world.entries.values())

    @stateful.rule(copies=st.integers(1, 2), share=st.sampled_from([0.0, 50.0, 100.0]))
    def publish(self, copies, share):
        shares = (("v1", 100.0 - share), ("v2", share))
        configuration = fakes.build_configuration(shares, rule=self.rule)
        self.world.publish(configuration, copies=copies)

    @stateful.rule(rule=st.sampled_from(services.KeyRule))
    def change_key_rule(self, rule):
        self.rule = rule
        self.world.publish(fakes.build_configuration(rule=rule))

    @stateful.rule()
    def race_publications(self):
        based_on = self.world.find_publication()
        for share in (20.0, 40.0):
            shares = (("v1", 100.0 - share), ("v2", share))
            self.world.publish(fakes.build_configuration(shares), based_on=based_on)

    @stateful.invariant()
    def configuration_never_reverts(self):
        for entry in self.world.entries.values():
            assert entry.publications == sorted(entry.publications)

    def teardown(self):
        if not hasattr(self, "world"):
            return
        self.world.end_faults()
        live = [entry for entry in self.world.entries.values() if entry.is_alive]
        assert len({entry.node.state.publication for entry in live}) <= 1
        for copy in self.world.copies:
            entry = self.world.entries[copy.entry]
            if copy.is_lost or copy.request_id not in entry.copies:
                continue
            assert copy.answers, f"{copy.request_id} ({copy.call}) has no answer"
        for entry in live:
            assert not entry.node.requests, "unfinished requests remain"


class SheddingMachineChecks(unittest.TestCase):
    def test_shedding_refusals_state_a_retry_delay(self):
        for kind in SHEDDING:
            self.assertIsNotNone(exceptions.ERROR_TEMPLATES[kind].retry_after_s)
        self.assertTrue(issubclass(effects.Resume, effects.Dispatch))


PromiseMachine.TestCase.settings = hypothesis.settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    deadline=None,
    derandomize=SEED is None,
    database=None,
    print_blob=False,
    phases=PHASES,
    suppress_health_check=list(hypothesis.HealthCheck),
)
PromiseTests = PromiseMachine.TestCase
if SEED is not None:
    print(f"seed {SEED}, {EXAMPLES} examples")
    PromiseTests = hypothesis.seed(int(SEED))(PromiseTests)


if __name__ == "__main__":
    unittest.main()
