"""Counters and histograms of requests, in the Prometheus text format."""

import prometheus_client
from prometheus_client import exposition

# Upper bounds of the latency buckets, from simple lookups to long streams.
BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
# Upper bounds of the buckets of delays within the entry.
DELAY_BUCKETS_S = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)
# Bounds the number of time series; further customers are counted as "other".
MAX_CUSTOMERS = 64


class RequestMetrics:
    """Counters and histograms of the requests of one entry."""

    def __init__(self):
        self._registry = prometheus_client.CollectorRegistry()
        self._customers = set()
        self._error_responses = prometheus_client.Counter(
            "wasabiknot_refused",
            "Answers of the system's own.",
            ["kind", "status"],
            registry=self._registry,
        )
        self._attempts = prometheus_client.Counter(
            "wasabiknot_sends",
            "Sends to backend servers by their end.",
            ["outcome"],
            registry=self._registry,
        )
        self._idle_closes = prometheus_client.Counter(
            "wasabiknot_idle_closes",
            "Callers' connections that were closed for being idle.",
            registry=self._registry,
        )
        self._total = prometheus_client.Histogram(
            "wasabiknot_total_seconds",
            "Time from arrival to the final answer.",
            ["route", "ended"],
            buckets=BUCKETS_S,
            registry=self._registry,
        )
        self._first_event = prometheus_client.Histogram(
            "wasabiknot_first_seconds",
            "Time from arrival to the first event or the head.",
            ["customer", "rank"],
            buckets=BUCKETS_S,
            registry=self._registry,
        )

        self._loop_lag = prometheus_client.Histogram(
            "wasabiknot_loop_lag_seconds",
            "Longest delay of the event loop in each tenth of a second.",
            buckets=DELAY_BUCKETS_S,
            registry=self._registry,
        )
        self._read_delay = prometheus_client.Histogram(
            "wasabiknot_read_delay_seconds",
            "Longest time that a request may have waited before it was read.",
            buckets=DELAY_BUCKETS_S,
            registry=self._registry,
        )
        self._departures = prometheus_client.Counter(
            "wasabiknot_departures",
            "Requests whose callers left, by how far they were.",
            ["phase"],
            registry=self._registry,
        )

        self._handovers = prometheus_client.Counter(
            "wasabiknot_handovers",
            "Requests that were handed over to a peer, by their end.",
            ["outcome"],
            registry=self._registry,
        )

        self._taken_over = prometheus_client.Counter(
            "wasabiknot_taken_over",
            "Requests that peers have handed over to this entry.",
            registry=self._registry,
        )

        self._share_changes = prometheus_client.Counter(
            "wasabiknot_share_changes",
            "Customers that came above their shares, or within them again.",
            ["kind"],
            registry=self._registry,
        )
        self._hedges = prometheus_client.Counter(
            "wasabiknot_hedges",
            "Second sends of slow requests, by what became of them.",
            ["step", "reason"],
            registry=self._registry,
        )

    def add_collector(self, collector):
        """Adds a collector whose metrics are rendered as well.

        :param collector: object with ``collect``.
        """
        self._registry.register(collector)

    def count_error_response(self, error):
        """Counts an error response that the entry generated.

        :param error: ``error_responses.ErrorResponse``.
        """
        self._error_responses.labels(error.kind.value, error.status).inc()

    def count_attempt(self, outcome):
        """Counts an attempt to send a request by its outcome.

        :param outcome: ``outcomes.Outcome``.
        """
        self._attempts.labels(outcome.value).inc()

    def count_handover(self, outcome):
        """Counts a request that was handed over to a peer by its outcome.

        :param outcome: ``outcomes.Outcome``.
        """
        self._handovers.labels(outcome.value).inc()

    def count_taken_over(self):
        """Counts a request that a peer has handed over to this entry."""
        self._taken_over.inc()

    def count_share_change(self, change):
        """Counts a customer that came above its share, or within it again.

        :param change: ``share_changes.ShareChange``.
        """
        kind = "above" if change.is_above else "within"
        self._share_changes.labels(kind).inc()

    def count_hedge(self, step, reason):
        """Counts a hedge that was sent, won, lost, failed or was withheld.

        :param step: value of ``hedges.Step``.
        :param reason: why it was withheld, or how it ended; empty for a send.
        """
        self._hedges.labels(step, reason).inc()

    def count_idle_close(self):
        """Counts a caller's connection that was closed for being idle."""
        self._idle_closes.inc()

    def observe_loop_lag(self, lag_s):
        """Observes the longest delay of the event loop since the last observation.

        :param lag_s: seconds.
        """
        self._loop_lag.observe(lag_s)

    def observe_read_delay(self, delay_s):
        """Observes how long a request may have waited before it was read.

        :param delay_s: seconds.
        """
        self._read_delay.observe(delay_s)

    def count_departure(self, phase):
        """Counts a request whose caller left before its response.

        :param phase: how far it was, a phase of ``send_attempts`` or "waiting".
        """
        self._departures.labels(phase).inc()

    def observe_total(self, ticket, ended, total_s):
        """Observes the latency of a completed request.

        :param ticket: ``arrivals.Ticket``.
        :param ended: how the request ended; only the part before a colon becomes a
            label.
        :param total_s: time since its arrival, in seconds.
        """
        kind = ended.partition(":")[0]
        self._total.labels(f"rank-{ticket.rank}", kind).observe(total_s)

    def observe_first_event(self, ticket, first_s):
        """Observes the time to the first event, or to the head of a plain response.

        :param ticket: ``arrivals.Ticket``.
        :param first_s: time since its arrival, in seconds.
        """
        customer = ticket.customer or "none"
        if customer not in self._customers:
            if len(self._customers) >= MAX_CUSTOMERS:
                customer = "other"
            else:
                self._customers.add(customer)
        self._first_event.labels(customer, str(ticket.rank)).observe(first_s)

    def render(self, request):
        """Renders all metrics for a scrape.

        :param request: Twisted web request.
        :return: response body.
        """
        request.setHeader(b"content-type", exposition.CONTENT_TYPE_LATEST.encode())
        return prometheus_client.generate_latest(self._registry)
