"""Property tests of the replicated state."""

import unittest

import fakes
import hypothesis
from hypothesis import strategies as st

from wasabiknot_kernel import fold, records, replicas

RETENTION_MS = 120_000
CLAIMS = st.lists(
    st.tuples(
        st.integers(0, 200_000),
        st.sampled_from(["a", "b"]),
        st.integers(0, 3),
        st.integers(-150_000, 10_000),
    ),
    max_size=30,
)


def build_claim_records(claims):
    time_ms = fakes.START_MS
    issue_times = {}
    for number, (wait_ms, entry, key, age_ms) in enumerate(claims):
        time_ms += wait_ms
        issued_ms = issue_times.setdefault(key, time_ms + age_ms)
        claim = records.Claim(str(key), issued_ms, "f")
        batch = records.ClaimBatch(
            record_id=f"{number}", entry=entry, incarnation="1", claims=(claim,)
        )
        yield records.StampedRecord(number + 1, time_ms, batch)


def create_state():
    state = fold.State()
    publication = records.Publication(
        record_id="p", based_on=-1, configuration=fakes.build_configuration()
    )
    fold.apply_record(state, records.StampedRecord(0, fakes.START_MS, publication))
    return state


class FoldTests(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(CLAIMS)
    def test_claim_has_one_permanent_holder(self, claims):
        state = create_state()
        holders = {}
        for stamped in build_claim_records(claims):
            fold.apply_record(state, stamped)
            for key, holder in state.claims.items():
                self.assertEqual(holders.setdefault(key, holder.entry), holder.entry)

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(CLAIMS, st.integers(0, 30), st.integers(0, 30))
    def test_snapshot_replaces_the_records_before_it(
        self, claims, snapshot_position, lag
    ):
        stamped = list(build_claim_records(claims))
        snapshot_position = min(snapshot_position, len(stamped))
        lag = min(lag, snapshot_position)
        expected = create_state()
        snapshot_state = create_state()
        for item in stamped[: snapshot_position - lag]:
            fold.apply_record(snapshot_state, item)
        snapshot = records.Snapshot(
            record_id="s",
            based_on=snapshot_state.offset,
            state=fold.encode_state(snapshot_state),
        )
        offset = snapshot_position + 1
        retained = [
            *stamped[snapshot_position - lag : snapshot_position],
            records.StampedRecord(
                offset,
                stamped[snapshot_position - 1].time_ms if snapshot_position else 0,
                snapshot,
            ),
            *(
                records.StampedRecord(item.offset + 1, item.time_ms, item.record)
                for item in stamped[snapshot_position:]
            ),
        ]
        all_records = [*stamped[:snapshot_position], *retained[lag:]]
        for item in all_records:
            fold.apply_record(expected, item)
        replica = replicas.Replica()
        replica._next_offset = retained[0].offset
        replica.apply_records(retained)
        self.assertTrue(replica.is_complete)
        self.assertEqual(replica.state.claims, expected.claims)
        self.assertEqual(replica.state.offset, expected.offset)

    def test_reapplied_record_changes_nothing(self):
        state = create_state()
        before = fold.encode_state(state)
        publication = records.Publication(
            record_id="p", based_on=-1, configuration=fakes.build_configuration()
        )
        fold.apply_record(state, records.StampedRecord(0, fakes.START_MS, publication))
        self.assertEqual(fold.encode_state(state), before)


if __name__ == "__main__":
    unittest.main()
