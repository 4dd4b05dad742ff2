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


def fold(log):
    newest = {}
    for offset, (key, value) in enumerate(log):
        newest[key] = facts.Fact(key, value, offset)
    return newest


class CopyTests(unittest.TestCase):
    def test_copy_of_a_late_starter_drops_what_it_never_saw(self):
        # A server is registered, another one is dropped, an entry starts, lists,
        # and is the first to tell its mates of a change after that.
        mate = facts.Topic("t")
        mate.apply([facts.Fact("a", b"1", 0), facts.Fact("b", b"1", 1)], 2)
        mate.record_change(1)
        starter = facts.Topic("t")
        starter.apply_listing([facts.Fact("b", b"1", 1)], 3)
        starter.apply([facts.Fact("b", b"2", 3)], 4)
        starter.record_change(3)
        changed = mate.apply_update(starter.build_update_since(mate.change_position))
        self.assertEqual({fact.key: fact.value for fact in changed}["a"], None)
        self.assertEqual(mate.facts["b"].value, b"2")

    def test_old_copy_does_not_bring_back_what_was_dropped(self):
        # An entry starts and lists the store; a copy that it had asked for before
        # comes from a mate that has not heard of the drop.
        starter = facts.Topic("t")
        starter.apply_listing([facts.Fact("b", b"1", 1)], 5)
        mate = facts.Topic("t")
        mate.apply([facts.Fact("a", b"1", 0), facts.Fact("b", b"1", 1)], 2)
        mate.record_change(1)
        self.assertEqual(starter.apply_update(mate.build_update_since(0)), [])
        self.assertNotIn("a", starter.facts)

    def test_copy_keeps_what_is_newer_than_it(self):
        mate = facts.Topic("t")
        mate.apply([facts.Fact("c", b"1", 9)], 10)
        starter = facts.Topic("t")
        starter.apply_listing([facts.Fact("b", b"1", 1)], 3)
        starter.record_change(1)
        mate.apply_update(starter.build_update_since(0))
        self.assertEqual(mate.facts["c"].value, b"1")

    @settings(derandomize=True, max_examples=200)
    @given(RECORDS, strategies.integers(0, 20), strategies.integers(0, 20))
    def test_copies_make_equal(self, log, listed, read):
        listed, read = min(listed, len(log)), min(read, len(log))
        everything = [
            facts.Fact(key, value, offset) for offset, (key, value) in enumerate(log)
        ]
        starter = facts.Topic("t")
        live = [item for item in fold(log[:listed]).values() if item.value is not None]
        starter.apply_listing(live, listed)
        starter.apply(everything[listed:], len(log))
        mate = facts.Topic("t")
        mate.apply(everything[:read], read)
        for topic, end in ((starter, len(log)), (mate, read)):
            topic.record_change(end - 1)
        mate.apply_update(starter.build_update_since(mate.change_position))
        values = [
            {key: fact.value for key, fact in topic.facts.items() if fact.value}
            for topic in (starter, mate)
        ]
        self.assertEqual(*values)


class TopicTests(unittest.TestCase):
    @settings(derandomize=True, max_examples=200)
    @given(RECORDS, strategies.data())
    def test_any_order_of_sources_ends_in_the_newest(self, log, data):
        # Reads of the store and copies from peers cross each other.
        everything = [
            facts.Fact(key, value, offset) for offset, (key, value) in enumerate(log)
        ]
        topic = facts.Topic("t")
        pieces = data.draw(strategies.permutations(everything))
        for piece in pieces:
            topic.apply([piece], 0)
        self.assertEqual(topic.facts, fold(log))

    def test_listing_drops_missing_keys(self):
        topic = facts.Topic("t")
        topic.apply([facts.Fact("a", b"1", 0), facts.Fact("b", b"1", 1)], 2)
        changed = topic.apply_listing([facts.Fact("b", b"1", 1)], 5)
        self.assertEqual([fact.key for fact in changed], ["a"])
        self.assertIsNone(topic.facts["a"].value)

    def test_listing_keeps_what_is_newer_than_it(self):
        topic = facts.Topic("t")
        topic.apply([facts.Fact("a", b"1", 7)], 8)
        self.assertEqual(topic.apply_listing([], 5), [])

    def test_same_value_again_is_no_change(self):
        topic = facts.Topic("t")
        topic.apply([facts.Fact("a", b"1", 0)], 1)
        self.assertEqual(topic.apply([facts.Fact("a", b"1", 3)], 4), [])
        self.assertEqual(topic.facts["a"].offset, 3)
