"""Property tests of the allocation of slots to entries."""

import unittest

import hypothesis
from hypothesis import strategies as st

from wasabiknot_kernel import peers

DEMANDS = st.lists(st.integers(0, 200), min_size=1, max_size=12)


class AllocateSlotsTests(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(DEMANDS, st.integers(0, 64))
    def test_allocations_add_up_to_the_free_slots(self, demands, free):
        slot_demands = [
            peers.SlotDemand(f"e{index}", peers.IDLE_DEMAND + demand)
            for index, demand in enumerate(demands)
        ]
        allocated = [
            peers.allocate_slots("worker", free, slot_demands, item.entry)
            for item in slot_demands
        ]
        self.assertEqual(sum(allocated), free)

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(DEMANDS, st.integers(1, 64))
    def test_entry_gets_at_least_its_share_rounded_down(self, demands, free):
        slot_demands = [
            peers.SlotDemand(f"e{index}", peers.IDLE_DEMAND + demand)
            for index, demand in enumerate(demands)
        ]
        total = sum(item.demand for item in slot_demands)
        for item in slot_demands:
            allocated = peers.allocate_slots("worker", free, slot_demands, item.entry)
            self.assertGreaterEqual(allocated, int(free * item.demand / total))


if __name__ == "__main__":
    unittest.main()
