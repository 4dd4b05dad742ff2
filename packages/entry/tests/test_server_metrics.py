import unittest
from unittest import mock

from twisted.internet import task

from wasabiknot_entry import request_metrics, server_metrics
from wasabiknot_kernel import eligibility, routes, statements

ALL = statements.Statement(limit_per_s=5.5, is_leaving=True, retry_after_s=3.0)


class ServerMetricsTests(unittest.TestCase):
    def setUp(self):
        self.clock = task.Clock()
        self.eligibility = eligibility.Eligibility("e1")
        self.eligibility.apply_start("w1", 1, 0.0)
        self.paces = []
        self.servers = server_metrics.ServerMetrics(
            self.clock, self.eligibility, lambda now_s: self.paces
        )
        self.metrics = request_metrics.RequestMetrics()
        self.metrics.add_collector(self.servers)

    def render(self):
        for change in self.eligibility.pop_changes():
            self.servers.count(change)
        return self.metrics.render(mock.Mock()).decode()

    def test_statements_are_counted_and_shown_by_server(self):
        self.eligibility.record("w1", 1, ALL, 0.0, 0.0)
        self.clock.advance(1.0)
        text = self.render()
        for line in (
            'wasabiknot_server_statements_total{kind="limited",server="w1"} 1.0',
            'wasabiknot_server_statements_total{kind="deferring",server="w1"} 1.0',
            'wasabiknot_server_limit_per_second{server="w1"} 5.5',
            'wasabiknot_server_leaving{server="w1"} 1.0',
            'wasabiknot_server_deferred_seconds{server="w1"} 2.0',
        ):
            self.assertIn(line, text)

    def test_gauges_end_with_what_was_stated(self):
        self.eligibility.record("w1", 1, ALL, 0.0, 0.0)
        self.eligibility.record("w1", 1, statements.Statement(), 4.0, 4.1)
        self.clock.advance(5.0)
        text = self.render()
        self.assertNotIn("limit_per_second{", text)
        self.assertNotIn("deferred_seconds{", text)
        self.assertIn('statements_total{kind="unlimited",server="w1"} 1.0', text)

    def test_pace_is_shown_while_it_is_known(self):
        self.assertNotIn("wasabiknot_server_pace{", self.render())
        self.paces.append(("w1", 2.5))
        self.assertIn('wasabiknot_server_pace{server="w1"} 2.5', self.render())

    def test_number_of_servers_is_bounded(self):
        for number in range(server_metrics.MAX_SERVERS + 5):
            self.eligibility.record(f"w{number}", 1, ALL, 0.0, 0.0)
        text = self.render()
        self.assertIn('statements_total{kind="leaving",server="other"} 5.0', text)

    def test_drained_domains_are_shown_until_the_drain_ends(self):
        self.eligibility.drains.order("graz")
        line = 'wasabiknot_drained_domain{domain="graz"} 1.0'
        self.assertIn(line, self.render())
        self.eligibility.drains.lift("graz")
        self.assertNotIn(line, self.render())

    def test_cold_servers_are_shown_and_counted(self):
        service = routes.Service("pool", "/", 0, None, 3.0, 9.3)
        self.eligibility.warmups.find_service = lambda _: service
        self.eligibility.warmups.record_statement("w1", 3.0, 0.0)
        self.clock.advance(1.0)
        text = self.render()
        self.assertIn('wasabiknot_server_cold_seconds{server="w1"} 2.0', text)
        self.assertIn('statements_total{kind="cold",server="w1"} 1.0', text)
        self.eligibility.tick(3.0, {"w1"})
        text = self.render()
        self.assertNotIn("cold_seconds{", text)
        self.assertIn('statements_total{kind="warm",server="w1"} 1.0', text)
