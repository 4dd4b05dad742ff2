"""Property tests of sharing slots between entries."""

import unittest

import hypothesis
from hypothesis import strategies as st

from wasabiknot_kernel import peers

DEMANDS = st.lists(st.integers(0, 200), min_size=1, max_size=12)


class ShareSlotsTests(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(DEMANDS, st.integers(0, 64))
    def test_entries_that_agree_share_out_exactly_what_is_free(self, demands, free):
        shares = [
            peers.SlotDemand(f"e{index}", peers.IDLE_DEMAND + demand)
            for index, demand in enumerate(demands)
        ]
        taken = [
            peers.allocate_slots("worker", free, shares, share.entry)
            for share in shares
        ]
        self.assertEqual(sum(taken), free)

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(DEMANDS, st.integers(1, 64))
    def test_nobody_gets_less_than_the_floor_of_its_share(self, demands, free):
        shares = [
            peers.SlotDemand(f"e{index}", peers.IDLE_DEMAND + demand)
            for index, demand in enumerate(demands)
        ]
        total = sum(share.demand for share in shares)
        for share in shares:
            got = peers.allocate_slots("worker", free, shares, share.entry)
            self.assertGreaterEqual(got, int(free * share.demand / total))


if __name__ == "__main__":
    unittest.main()
