import unittest

from hypothesis import given, settings, strategies

from wasabiknot_kernel import group_servers

DOMAINS = strategies.sampled_from(["graz", "linz", "wien"])


def build_locations(prefix, domains):
    return [
        group_servers.Location(f"{prefix}-{number}", domain)
        for number, domain in enumerate(domains)
    ]


class AssignServersTests(unittest.TestCase):
    @settings(derandomize=True)
    @given(
        strategies.lists(DOMAINS, max_size=60),
        strategies.lists(DOMAINS, min_size=1, max_size=8),
        strategies.randoms(),
    )
    def test_assignment_is_even_and_independent_of_order(self, servers, groups, rng):
        locations = build_locations("s", servers)
        group_locations = build_locations("g", groups)
        assignments = group_servers.assign_servers(locations, group_locations)
        sizes = [len(assigned) for assigned in assignments.values()]
        self.assertEqual(sum(sizes), len(locations))
        self.assertEqual(len(set().union(*assignments.values())), len(locations))
        self.assertLessEqual(max(sizes), -(-len(locations) // len(group_locations)))
        rng.shuffle(locations)
        rng.shuffle(group_locations)
        self.assertEqual(
            group_servers.assign_servers(locations, group_locations), assignments
        )

    def test_same_domain_is_preferred(self):
        locations = build_locations("s", ["graz"] * 5 + ["linz"] * 5)
        group_locations = [
            group_servers.Location("a", "graz"),
            group_servers.Location("b", "linz"),
        ]
        assignments = group_servers.assign_servers(locations, group_locations)
        self.assertEqual(assignments["a"], {f"s-{number}" for number in range(5)})

    def test_without_groups_nothing_is_assigned(self):
        self.assertEqual(
            group_servers.assign_servers(build_locations("s", ["graz"]), []), {}
        )


class FindWinnerTests(unittest.TestCase):
    def test_each_slot_has_one_winner(self):
        names = tuple(f"e{number}" for number in range(8))
        winners = [group_servers.find_winner("w1", slot, names) for slot in range(400)]
        self.assertEqual(set(winners), set(names))
        self.assertLess(max(winners.count(name) for name in names), 100)
