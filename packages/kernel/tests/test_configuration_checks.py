"""Tests of the checks of a configuration and of the comparison of two versions."""

import unittest

import msgspec

from wasabiknot_kernel import configuration_changes, configuration_checks, routes

Kind = configuration_checks.ProblemKind


def create_route(**changes):
    route = routes.Route(
        name="r-1",
        host="desk.example",
        prefix="/a/",
        retry_rule=routes.RetryRule.STREAM,
        shares=(routes.TrafficShare("pool", 1.0),),
        timeout_ms=10_000.0,
        objective_ms=500.0,
        gap_ms=250.0,
        rank=0,
        attempts=2,
        is_public=False,
        is_resumable=True,
    )
    return msgspec.structs.replace(route, **changes)


def create_customer(**changes):
    customer = routes.Customer("c-1", ("key-1",), None, 1_000.0, 2_000.0, 200)
    return msgspec.structs.replace(customer, **changes)


def create_configuration(**changes):
    configuration = routes.Configuration(
        version=7,
        routes=(create_route(),),
        services=(routes.Service("pool", "/healthz", 100, routes.Engine(6, 1_000)),),
        customers=(create_customer(),),
        limits=routes.Limits(),
    )
    return msgspec.structs.replace(configuration, **changes)


def list_kinds(configuration):
    problems = configuration_checks.list_problems(configuration)
    return [(problem.kind, problem.place) for problem in problems]


class ProblemTests(unittest.TestCase):
    def check_route(self, kind, field, **changes):
        configuration = create_configuration(routes=(create_route(**changes),))
        self.assertIn((kind, f"route r-1: {field}"), list_kinds(configuration))

    def check_customer(self, kind, field, **changes):
        configuration = create_configuration(customers=(create_customer(**changes),))
        self.assertEqual(list_kinds(configuration), [(kind, f"customer c-1: {field}")])

    def test_sound_configuration_has_no_problems(self):
        self.assertEqual(configuration_checks.list_problems(create_configuration()), [])

    def test_route_behind_another_with_its_prefix_never_matches(self):
        later = create_route(name="r-2", host="DESK.example")
        configuration = create_configuration(routes=(create_route(), later))
        expected = [(Kind.NEVER_MATCHES, "route r-2: prefix")]
        self.assertEqual(list_kinds(configuration), expected)

    def test_prefix_without_slashes_is_an_error(self):
        self.check_route(Kind.ERROR, "prefix", prefix="/a")

    def test_share_of_unknown_service_is_an_error(self):
        shares = (routes.TrafficShare("other", 1.0),)
        self.check_route(Kind.ERROR, "shares", shares=shares)

    def test_share_without_weight_gets_nothing(self):
        shares = (routes.TrafficShare("pool", 1.0), routes.TrafficShare("pool", 0.0))
        self.check_route(Kind.NEVER_MATCHES, "shares", shares=shares)

    def test_shares_without_any_weight_contradict_the_split(self):
        shares = (routes.TrafficShare("pool", 0.0), routes.TrafficShare("pool", 0.0))
        self.check_route(Kind.CONTRADICTION, "shares", shares=shares)

    def test_objective_beyond_the_timeout_is_a_contradiction(self):
        self.check_route(Kind.CONTRADICTION, "objective", objective_ms=10_001.0)

    def test_gap_beyond_the_timeout_is_a_contradiction(self):
        self.check_route(Kind.CONTRADICTION, "gap", gap_ms=10_001.0)

    def test_timeout_of_zero_is_an_error(self):
        self.check_route(Kind.ERROR, "timeout", timeout_ms=0.0)

    def test_resumable_stream_with_one_attempt_is_a_contradiction(self):
        self.check_route(Kind.CONTRADICTION, "resumable", attempts=1)

    def test_resumable_route_without_streams_is_a_contradiction(self):
        rule = routes.RetryRule.IDEMPOTENT
        self.check_route(Kind.CONTRADICTION, "resumable", retry_rule=rule)

    def test_service_without_a_route_never_matches(self):
        unused = routes.Service("spare", "/", 1, None)
        services = (*create_configuration().services, unused)
        configuration = create_configuration(services=services)
        expected = [(Kind.NEVER_MATCHES, "service spare")]
        self.assertEqual(list_kinds(configuration), expected)

    def test_engine_without_slots_is_an_error(self):
        service = routes.Service("pool", "/", 1, routes.Engine(0, 1_000))
        configuration = create_configuration(services=(service,))
        self.assertEqual(
            list_kinds(configuration), [(Kind.ERROR, "service pool: slots")]
        )

    def test_key_of_a_later_customer_never_matches(self):
        later = create_customer(name="c-2")
        configuration = create_configuration(customers=(create_customer(), later))
        expected = [(Kind.NEVER_MATCHES, "customer c-1: keys")]
        self.assertEqual(list_kinds(configuration), expected)

    def test_customer_without_keys_never_matches(self):
        self.check_customer(Kind.NEVER_MATCHES, "keys", keys=())

    def test_burst_below_the_rate_is_a_contradiction(self):
        self.check_customer(Kind.CONTRADICTION, "burst", burst_tokens=999.0)

    def test_burst_without_a_rate_is_a_contradiction(self):
        self.check_customer(Kind.CONTRADICTION, "burst", tokens_per_s=0.0)

    def test_plain_request_beyond_the_burst_is_a_contradiction(self):
        self.check_customer(Kind.CONTRADICTION, "plain tokens", plain_tokens=2_001)

    def test_name_used_twice_is_an_error(self):
        again = create_route(prefix="/b/")
        configuration = create_configuration(routes=(create_route(), again))
        self.assertEqual(list_kinds(configuration), [(Kind.ERROR, "route r-1: name")])

    def test_limit_of_zero_is_an_error(self):
        configuration = create_configuration(limits=routes.Limits(body_bytes=0))
        self.assertEqual(
            list_kinds(configuration), [(Kind.ERROR, "limits: body_bytes")]
        )


class ChangeTests(unittest.TestCase):
    def list_changes(self, **changes):
        before = create_configuration()
        after = create_configuration(**changes)
        return [str(item) for item in configuration_changes.list_changes(before, after)]

    def test_equal_versions_have_no_changes(self):
        self.assertEqual(self.list_changes(), [])

    def test_changed_fields_are_named_with_their_entry(self):
        route = create_route(timeout_ms=9_000.0, retry_rule=routes.RetryRule.ONCE)
        expected = [
            "routes[r-1].retry_rule: stream -> once",
            "routes[r-1].timeout_ms: 10000.0 -> 9000.0",
        ]
        self.assertEqual(self.list_changes(routes=(route,)), expected)

    def test_added_and_removed_entries_are_listed(self):
        expected = ["routes[r-1]: present -> none", "routes[r-2]: none -> present"]
        changes = self.list_changes(routes=(create_route(name="r-2"),))
        self.assertEqual(changes, expected)

    def test_keys_of_customers_are_not_shown(self):
        customer = create_customer(keys=("key-2", "key-3"))
        expected = ["customers[c-1].keys: 1 removed -> 2 added"]
        self.assertEqual(self.list_changes(customers=(customer,)), expected)

    def test_first_entry_of_a_list_is_listed(self):
        expected = ["customers[c-1]: present -> none"]
        self.assertEqual(self.list_changes(customers=()), expected)
