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
            topic.take([piece], 0)
        self.assertEqual(topic.facts, fold(log))

    def test_listing_drops_missing_keys(self):
        topic = facts.Topic("t")
        topic.take([facts.Fact("a", b"1", 0), facts.Fact("b", b"1", 1)], 2)
        changed = topic.take_listing([facts.Fact("b", b"1", 1)], 5)
        self.assertEqual([fact.key for fact in changed], ["a"])
        self.assertIsNone(topic.facts["a"].value)

    def test_listing_keeps_what_is_newer_than_it(self):
        topic = facts.Topic("t")
        topic.take([facts.Fact("a", b"1", 7)], 8)
        self.assertEqual(topic.take_listing([], 5), [])

    def test_same_value_again_is_no_change(self):
        topic = facts.Topic("t")
        topic.take([facts.Fact("a", b"1", 0)], 1)
        self.assertEqual(topic.take([facts.Fact("a", b"1", 3)], 4), [])
        self.assertEqual(topic.facts["a"].offset, 3)
