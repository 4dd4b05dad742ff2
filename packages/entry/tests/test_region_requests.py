import gatewaycases
import msgspec

from wasabiknot_kernel import regions, registrations, routes

MAP = regions.build_map("north", "graz", {"linz": "north", "wien": "south"})


class RegionCase(gatewaycases.GatewayCase):
    """A gateway in the north with a server in the south."""

    route_regions = ()
    customer_regions = ()

    def setUp(self):
        super().setUp()
        policy = msgspec.structs.replace(gatewaycases.POLICY, region_map=MAP)
        self.deployment.set_policy(policy)
        self.deployment.store_reads.record_read(self.reactor.seconds())
        self.deployment.apply_removal("w1", self.reactor.seconds())
        registration = registrations.Registration(
            "w2",
            "desk",
            "10.0.0.9:81",
            "wien",
            "v1",
            2,
            registrations.ServerState.READY,
        )
        self.deployment.apply_registration(registration, self.reactor.seconds())
        route = gatewaycases.build_route(allowed_regions=self.route_regions)
        customer = routes.Customer(
            "graz", ("k1",), 0, 0.0, 0.0, 200, self.customer_regions
        )
        self.configure(
            gatewaycases.build_configuration(2, routes=(route,), customers=(customer,))
        )
        self.channel = self.connect(gatewaycases.build_head())


class AllowedTests(RegionCase):
    route_regions = ("north", "south")
    customer_regions = ("south",)

    def test_request_is_sent_in_the_region_that_both_lists_allow(self):
        self.respond(self.accept(0))
        self.assertEqual(self.read_answer(self.channel).status, 200)


class ForbiddenTests(RegionCase):
    customer_regions = ("north",)

    def test_request_is_refused_with_a_retry_time(self):
        # Guards against a request that leaves the regions of its customer.
        answer = self.read_answer(self.channel)
        self.assertEqual(answer.status, 503)
        self.assertIn(b"retry-after", answer.head)
        self.assertEqual(len(self.reactor.tcpClients), 0)


class DisjointTests(RegionCase):
    route_regions = ("south",)
    customer_regions = ("north",)

    def test_lists_without_a_common_region_allow_no_server(self):
        self.assertEqual(self.read_answer(self.channel).status, 503)
        self.assertEqual(len(self.reactor.tcpClients), 0)
