"""Counters and gauges of what backend servers have stated, by server."""

import collections

from prometheus_client import core

# Bounds the number of time series; statements of further servers count as "other".
MAX_SERVERS = 256
OTHER_SERVERS = "other"
# Bounds the number of drained failure domains that are shown.
MAX_DOMAINS = 64


class ServerMetrics:
    """A collector of what backend servers have stated.

    :param reactor: Twisted reactor.
    :param server_eligibility: ``eligibility.Eligibility``.
    :param list_paces: function of the time in seconds that returns pairs of ids of
        backend servers and their paces; none by default.
    """

    def __init__(self, reactor, server_eligibility, list_paces=None):
        self._list_paces = list_paces or (lambda now_s: [])
        self._reactor = reactor
        self._eligibility = server_eligibility
        self._counts = collections.Counter()
        self._servers = set()

    def count(self, change):
        """Counts a statement that was new.

        :param change: ``statements.Change``.
        """
        server_id = change.server_id
        if server_id not in self._servers:
            if len(self._servers) >= MAX_SERVERS:
                server_id = OTHER_SERVERS
            else:
                self._servers.add(server_id)
        self._counts[server_id, change.kind] += 1

    def collect(self):
        """Collects the metrics for a scrape.

        :return: iterator of metric families.
        """
        count = core.CounterMetricFamily(
            "wasabiknot_server_statements",
            "New statements of backend servers by kind.",
            labels=["server", "kind"],
        )
        for (server_id, kind), value in self._counts.items():
            count.add_metric([server_id, kind.value], value)
        limit = core.GaugeMetricFamily(
            "wasabiknot_server_limit_per_second",
            "Requests a second that a backend server takes from all entries.",
            labels=["server"],
        )
        leaving = core.GaugeMetricFamily(
            "wasabiknot_server_leaving",
            "1 for a backend server that states that it leaves.",
            labels=["server"],
        )
        deferred = core.GaugeMetricFamily(
            "wasabiknot_server_deferred_seconds",
            "Time for which a backend server still wants no request from this entry.",
            labels=["server"],
        )
        pace = core.GaugeMetricFamily(
            "wasabiknot_server_pace",
            "Time that work takes at a backend server, as a multiple of the usual.",
            labels=["server"],
        )
        for server_id, value in self._list_paces(self._reactor.seconds()):
            pace.add_metric([server_id], value)
        cold = core.GaugeMetricFamily(
            "wasabiknot_server_cold_seconds",
            "Time for which a backend server still counts as cold.",
            labels=["server"],
        )
        for state in self._eligibility.list_states(self._reactor.seconds()):
            if state.limit_per_s is not None:
                limit.add_metric([state.server_id], state.limit_per_s)
            if state.is_leaving:
                leaving.add_metric([state.server_id], 1)
            if state.deferred_s:
                deferred.add_metric([state.server_id], state.deferred_s)
            if state.cold_s:
                cold.add_metric([state.server_id], state.cold_s)
        drained = core.GaugeMetricFamily(
            "wasabiknot_drained_domain",
            "1 for a failure domain that operators have drained.",
            labels=["domain"],
        )
        for domain in self._eligibility.drains.list_domains()[:MAX_DOMAINS]:
            drained.add_metric([domain], 1)
        yield from (count, limit, leaving, deferred, cold, drained, pace)
