import random
import unittest
from unittest import mock

import msgspec
from twisted.internet import task

from wasabiknot_platform import configurations
from wasabiknot_standins import keyedlogs, soakconfigurations


class ConfigurationsTests(unittest.TestCase):
    def setUp(self):
        self.clock = task.Clock()
        patch = mock.patch.object(soakconfigurations, "reactor", self.clock)
        patch.start()
        self.addCleanup(patch.stop)
        self.store = keyedlogs.Store()
        self.configurations = soakconfigurations.Configurations(
            self.store, random.Random(1), 1
        )

    def publish(self, **arguments):
        self.configurations.publish(**arguments)
        value, _ = self.store.get_topic("keyed.op").newest_records["config"]
        return configurations.decode_configuration(value)

    def drop(self, route, at_s):
        self.clock.advance(at_s - self.clock.seconds())
        self.configurations._routes.pop(route)
        self.publish(is_changing=False)

    def test_versions_change_all_that_they_may(self):
        versions = [self.publish() for _ in range(200)]
        routes = [route for version in versions for route in version.routes]
        self.assertEqual(
            {share.service for route in routes for share in route.shares},
            {"desk", "counter", "pool", "stage", "loft"},
        )
        self.assertEqual({len(route.shares) for route in routes}, {1, 2})
        self.assertEqual(
            {route.timeout_ms for route in routes}, set(soakconfigurations.TIMEOUTS_MS)
        )
        self.assertEqual({len(version.routes) for version in versions}, {4, 5, 6})
        self.assertEqual({len(version.customers) for version in versions}, {1, 2})
        self.assertEqual(
            {version.limits.idle_ms for version in versions},
            set(soakconfigurations.IDLE_TIMEOUTS_MS),
        )
        self.assertEqual(
            {item.max_connections for version in versions for item in version.services},
            set(soakconfigurations.MAX_CONNECTIONS),
        )

    def test_all_versions_have_the_lasting_key_and_one_of_their_own(self):
        keys = set()
        for _ in range(50):
            version = self.publish()
            own = next(item for item in version.customers if item.name == "graz")
            self.assertEqual(own.keys[0], soakconfigurations.API_KEY)
            keys.add(own.keys[1])
        self.assertEqual(len(keys), 50)

    def test_routes_of_the_first_version_stay(self):
        names = {route[0] for route in soakconfigurations.ROUTES}
        for _ in range(50):
            self.assertLessEqual(names, {item.name for item in self.publish().routes})

    def test_first_version_is_that_of_all_seeds(self):
        version = self.publish()
        other = soakconfigurations.Configurations(self.store, random.Random(1), 2)
        self.configurations = other
        self.assertEqual(
            msgspec.structs.replace(version, version=0),
            msgspec.structs.replace(self.publish(), version=0),
        )

    def test_version_that_was_replaced_long_ago_is_not_in_force(self):
        self.publish()
        route = self.configurations._routes["draft"]
        self.drop("draft", 10.0)
        self.clock.advance(10.0)
        self.configurations._routes["draft"] = route
        self.publish(is_changing=False)
        bound_s = 20.0 + soakconfigurations.MAX_REPLACEMENT_S
        self.assertFalse(self.configurations.may_lack("draft", 9.0, 9.9))
        self.assertTrue(self.configurations.may_lack("draft", 9.0, 10.1))
        self.assertTrue(self.configurations.may_lack("draft", bound_s - 0.1, bound_s))
        self.assertFalse(self.configurations.may_lack("draft", bound_s + 0.1, 27.0))
        self.assertFalse(self.configurations.may_lack("cash", 9.0, 10.1))

    def test_request_has_the_shortest_time_of_the_versions_in_force(self):
        self.publish()
        self.configurations._routes["cash"]["timeoutMs"] = 3_500
        self.clock.advance(10.0)
        self.publish(is_changing=False)
        self.assertEqual(self.configurations.find_timeout_s("cash", 9.0), 4.0)
        self.assertEqual(self.configurations.find_timeout_s("cash", 10.1), 3.5)
        self.assertEqual(self.configurations.find_timeout_s("draft", 10.1), 4.0)
