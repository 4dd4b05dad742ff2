import unittest

from hypothesis import given, settings, strategies

from wasabiknot_kernel import positions

ERAS = strategies.integers(0, positions.MAX_ERA)
OFFSETS = strategies.integers(0, 2**39)


class PositionTests(unittest.TestCase):
    @settings(derandomize=True)
    @given(ERAS, OFFSETS)
    def test_position_states_era_and_offset(self, era, offset):
        position = positions.create_position(era, offset)
        self.assertEqual(positions.get_era(position), era)
        self.assertEqual(positions.get_offset(position), offset)
        self.assertLess(position, 2**63)

    @settings(derandomize=True)
    @given(ERAS, OFFSETS, ERAS, OFFSETS)
    def test_eras_order_before_offsets(self, era, offset, other_era, other_offset):
        is_lower = positions.create_position(era, offset) < positions.create_position(
            other_era, other_offset
        )
        self.assertEqual(is_lower, (era, offset) < (other_era, other_offset))

    @settings(derandomize=True)
    @given(strategies.integers(1, positions.MAX_ERA), OFFSETS)
    def test_kept_and_removed_lie_between_two_records(self, era, offset):
        last = positions.create_position(era, offset)
        end = positions.create_position(era, offset + 1)
        kept = positions.create_kept_position(end)
        removed = positions.create_removed_position(end)
        self.assertEqual(sorted([end, removed, kept, last]), [last, kept, removed, end])
