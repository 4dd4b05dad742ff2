import random
import unittest

import builders
from hypothesis import given, settings, strategies

from wasabiknot_kernel import routes

SEGMENTS = strategies.lists(strategies.sampled_from("abc"), max_size=3)


def build_table(prefixes):
    table_routes = [
        builders.build_route(name=prefix, prefix=prefix) for prefix in set(prefixes)
    ]
    configuration = routes.Configuration(
        1, tuple(table_routes), (), (), routes.Limits()
    )
    return routes.RouteTable(configuration)


def join(segments):
    return "/" + "".join(f"{segment}/" for segment in segments)


class RouteTableTests(unittest.TestCase):
    @settings(derandomize=True)
    @given(strategies.lists(SEGMENTS, min_size=1, max_size=6), SEGMENTS)
    def test_longest_prefix_of_the_path_wins(self, known, requested):
        prefixes = [join(segments) for segments in known]
        path = join(requested) + "leaf"
        route = build_table(prefixes).find_route("desk.example", path + "?x=/a/")
        matching = [prefix for prefix in prefixes if path.startswith(prefix)]
        expected = max(matching, key=len, default=None)
        self.assertEqual(route.prefix if route else None, expected)

    def test_other_hosts_do_not_match(self):
        table = build_table(["/a/"])
        self.assertIsNone(table.find_route("other.example", "/a/"))
        self.assertIsNotNone(table.find_route("DESK.example:8080", "/a/x"))

    def test_key_identifies_its_customer(self):
        table = routes.RouteTable(builders.build_configuration())
        self.assertEqual(table.find_customer("key-graz").name, "graz")
        self.assertIsNone(table.find_customer("key-linz"))


class ChooseServiceTests(unittest.TestCase):
    def test_weights_split_traffic(self):
        shares = (routes.TrafficShare("a", 90.0), routes.TrafficShare("b", 10.0))
        route = builders.build_route(shares=shares)
        rng = random.Random(3)
        drawn = [routes.choose_service(route, rng) for _ in range(2_000)]
        self.assertAlmostEqual(drawn.count("b") / 2_000, 0.1, delta=0.03)

    def test_weight_of_zero_gets_no_traffic(self):
        shares = (routes.TrafficShare("a", 1.0), routes.TrafficShare("b", 0.0))
        route = builders.build_route(shares=shares)
        rng = random.Random(3)
        drawn = {routes.choose_service(route, rng) for _ in range(200)}
        self.assertEqual(drawn, {"a"})
