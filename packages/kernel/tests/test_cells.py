import unittest

from hypothesis import given, settings, strategies

from wasabiknot_kernel import cells

DOMAINS = strategies.sampled_from(["graz", "linz", "wien"])


def build_places(prefix, domains):
    return [
        cells.Location(f"{prefix}-{number}", domain)
        for number, domain in enumerate(domains)
    ]


class ShareServersTests(unittest.TestCase):
    @settings(derandomize=True)
    @given(
        strategies.lists(DOMAINS, max_size=60),
        strategies.lists(DOMAINS, min_size=1, max_size=8),
        strategies.randoms(),
    )
    def test_even_shares_in_any_order(self, servers, groups, rng):
        found = build_places("s", servers)
        names = build_places("g", groups)
        shares = cells.assign_servers(found, names)
        sizes = [len(share) for share in shares.values()]
        self.assertEqual(sum(sizes), len(found))
        self.assertEqual(len(set().union(*shares.values())), len(found))
        self.assertLessEqual(max(sizes), -(-len(found) // len(names)))
        rng.shuffle(found)
        rng.shuffle(names)
        self.assertEqual(cells.assign_servers(found, names), shares)

    def test_near_ones_first(self):
        found = build_places("s", ["graz"] * 5 + ["linz"] * 5)
        names = [cells.Location("a", "graz"), cells.Location("b", "linz")]
        shares = cells.assign_servers(found, names)
        self.assertEqual(shares["a"], {f"s-{number}" for number in range(5)})

    def test_no_groups(self):
        self.assertEqual(cells.assign_servers(build_places("s", ["graz"]), []), {})


class FindWinnerTests(unittest.TestCase):
    def test_each_slot_has_one_winner(self):
        names = tuple(f"e{number}" for number in range(8))
        won = [cells.find_winner("w1", slot, names) for slot in range(400)]
        self.assertEqual(set(won), set(names))
        self.assertLess(max(won.count(name) for name in names), 100)
