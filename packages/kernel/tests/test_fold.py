"""Property tests of folding the log."""

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


def start_state():
    state = fold.State()
    publication = records.Publication(
        record_id="p", based_on=-1, configuration=fakes.build_configuration()
    )
    fold.apply_record(state, records.StampedRecord(0, fakes.START_MS, publication))
    return state


class FoldTests(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(CLAIMS)
    def test_a_claim_has_one_winner_for_ever(self, claims):
        state = start_state()
        winners = {}
        for stamped in build_claim_records(claims):
            fold.apply_record(state, stamped)
            for key, holder in state.claims.items():
                self.assertEqual(winners.setdefault(key, holder.entry), holder.entry)

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(CLAIMS, st.integers(0, 30), st.integers(0, 30))
    def test_a_snapshot_stands_for_the_records_before_it(self, claims, cut, behind):
        stamped = list(build_claim_records(claims))
        cut = min(cut, len(stamped))
        behind = min(behind, cut)
        whole = start_state()
        early = start_state()
        for item in stamped[: cut - behind]:
            fold.apply_record(early, item)
        snapshot = records.Snapshot(
            record_id="s", based_on=early.offset, state=fold.encode_state(early)
        )
        offset = cut + 1
        kept = [
            *stamped[cut - behind : cut],
            records.StampedRecord(
                offset, stamped[cut - 1].time_ms if cut else 0, snapshot
            ),
            *(
                records.StampedRecord(item.offset + 1, item.time_ms, item.record)
                for item in stamped[cut:]
            ),
        ]
        everything = [*stamped[:cut], *kept[behind:]]
        for item in everything:
            fold.apply_record(whole, item)
        replica = replicas.Replica()
        replica._next = kept[0].offset
        replica.apply_records(kept)
        self.assertTrue(replica.is_complete)
        self.assertEqual(replica.state.claims, whole.claims)
        self.assertEqual(replica.state.offset, whole.offset)

    def test_a_record_applied_twice_changes_nothing(self):
        state = start_state()
        before = fold.encode_state(state)
        publication = records.Publication(
            record_id="p", based_on=-1, configuration=fakes.build_configuration()
        )
        fold.apply_record(state, records.StampedRecord(0, fakes.START_MS, publication))
        self.assertEqual(fold.encode_state(state), before)


if __name__ == "__main__":
    unittest.main()
