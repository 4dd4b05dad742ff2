import unittest

from hypothesis import given, settings, strategies

from wasabiknot_kernel import facts

RECORDS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from("abc"),
        strategies.one_of(strategies.none(), strategies.binary(max_size=2)),
    ),
    max_size=20,
)


def find_newest(log):
    newest = {}
    for offset, (key, value) in enumerate(log):
        newest[key] = facts.Fact(key, value, offset)
    return newest


class UpdateTests(unittest.TestCase):
    def test_update_of_a_new_entry_deletes_keys_it_never_knew(self):
        # Key "a" is deleted before a new entry lists the store. The new entry is the
        # first to send a later change, so its update must also delete "a".
        peer = facts.Topic("t")
        peer.apply([facts.Fact("a", b"1", 0), facts.Fact("b", b"1", 1)], 2)
        peer.record_change(1)
        new_entry = facts.Topic("t")
        new_entry.apply_listing([facts.Fact("b", b"1", 1)], 3)
        new_entry.apply([facts.Fact("b", b"2", 3)], 4)
        new_entry.record_change(3)
        changed = peer.apply_update(new_entry.build_update_since(peer.change_position))
        self.assertEqual({fact.key: fact.value for fact in changed}["a"], None)
        self.assertEqual(peer.facts["b"].value, b"2")

    def test_old_update_does_not_restore_deleted_keys(self):
        # A new entry lists the store, then receives an update that it requested before
        # from a peer that has not applied the deletion of "a".
        new_entry = facts.Topic("t")
        new_entry.apply_listing([facts.Fact("b", b"1", 1)], 5)
        peer = facts.Topic("t")
        peer.apply([facts.Fact("a", b"1", 0), facts.Fact("b", b"1", 1)], 2)
        peer.record_change(1)
        self.assertEqual(new_entry.apply_update(peer.build_update_since(0)), [])
        self.assertNotIn("a", new_entry.facts)

    def test_update_keeps_newer_facts(self):
        peer = facts.Topic("t")
        peer.apply([facts.Fact("c", b"1", 9)], 10)
        new_entry = facts.Topic("t")
        new_entry.apply_listing([facts.Fact("b", b"1", 1)], 3)
        new_entry.record_change(1)
        peer.apply_update(new_entry.build_update_since(0))
        self.assertEqual(peer.facts["c"].value, b"1")

    @settings(derandomize=True, max_examples=200)
    @given(RECORDS, strategies.integers(0, 20), strategies.integers(0, 20))
    def test_update_makes_replicas_equal(self, log, listing_end, read_end):
        listing_end, read_end = min(listing_end, len(log)), min(read_end, len(log))
        all_facts = [
            facts.Fact(key, value, offset) for offset, (key, value) in enumerate(log)
        ]
        new_entry = facts.Topic("t")
        live_facts = [
            fact
            for fact in find_newest(log[:listing_end]).values()
            if fact.value is not None
        ]
        new_entry.apply_listing(live_facts, listing_end)
        new_entry.apply(all_facts[listing_end:], len(log))
        peer = facts.Topic("t")
        peer.apply(all_facts[:read_end], read_end)
        for topic, end in ((new_entry, len(log)), (peer, read_end)):
            topic.record_change(end - 1)
        peer.apply_update(new_entry.build_update_since(peer.change_position))
        values = [
            {key: fact.value for key, fact in topic.facts.items() if fact.value}
            for topic in (new_entry, peer)
        ]
        self.assertEqual(*values)


class TopicTests(unittest.TestCase):
    @settings(derandomize=True, max_examples=200)
    @given(RECORDS, strategies.data())
    def test_newest_facts_win_in_any_order(self, log, data):
        # Reads of the store and updates from peers can arrive interleaved.
        all_facts = [
            facts.Fact(key, value, offset) for offset, (key, value) in enumerate(log)
        ]
        topic = facts.Topic("t")
        shuffled = data.draw(strategies.permutations(all_facts))
        for fact in shuffled:
            topic.apply([fact], 0)
        self.assertEqual(topic.facts, find_newest(log))

    def test_listing_deletes_missing_keys(self):
        topic = facts.Topic("t")
        topic.apply([facts.Fact("a", b"1", 0), facts.Fact("b", b"1", 1)], 2)
        changed = topic.apply_listing([facts.Fact("b", b"1", 1)], 5)
        self.assertEqual([fact.key for fact in changed], ["a"])
        self.assertIsNone(topic.facts["a"].value)

    def test_listing_keeps_newer_facts(self):
        topic = facts.Topic("t")
        topic.apply([facts.Fact("a", b"1", 7)], 8)
        self.assertEqual(topic.apply_listing([], 5), [])

    def test_unchanged_value_is_not_reported(self):
        topic = facts.Topic("t")
        topic.apply([facts.Fact("a", b"1", 0)], 1)
        self.assertEqual(topic.apply([facts.Fact("a", b"1", 3)], 4), [])
        self.assertEqual(topic.facts["a"].offset, 3)
