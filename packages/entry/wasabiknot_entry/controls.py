"""HTTP endpoints of the control address, for peers and operators."""

import msgspec
from twisted.web import http

from wasabiknot_kernel import fold, peers, reports

JSON_CONTENT_TYPE = "application/json"


class ControlApi:
    """Serves the folded state to peers, and status and histograms to operators.

    :param scheduler: ``schedulers.Scheduler``.
    :param metrics: ``metrics.Metrics``.
    :param clock: ``clocks.Clock``.
    """

    def __init__(self, scheduler, metrics, clock):
        self._scheduler = scheduler
        self._node = scheduler.node
        self._metrics = metrics
        self._clock = clock

    def add_routes(self, app):
        """Adds the endpoints of the control address.

        :param app: ``klein.Klein`` application.
        """
        app.route("/peer/v1/state")(self._serve_state)
        app.route("/operator/v1/status")(self._serve_status)
        app.route("/operator/v1/vms")(self._serve_vms)
        app.route("/operator/v1/requests/<request_id>")(self._serve_trace)
        app.route("/operator/v1/histograms/tiers")(self._serve_tiers)
        app.route("/operator/v1/histograms/customers")(self._serve_customers)

    def _serve_state(self, request):
        if self._node.configuration is None:
            request.setResponseCode(http.SERVICE_UNAVAILABLE)
            return b""
        request.setHeader("Content-Type", JSON_CONTENT_TYPE)
        return fold.encode_state(self._node.state).encode()

    def _serve_status(self, request):
        node = self._node
        log_age_ms = None
        if node.log_read_ms is not None:
            log_age_ms = self._clock.now_ms() - node.log_read_ms
        return _encode_response(
            request,
            reports.Status(
                entry=node.settings.name,
                ready=node.is_ready,
                offset=node.state.offset,
                publication=node.state.publication,
                publication_id=node.state.publication_id,
                log_age_ms=log_age_ms,
                moves=tuple(self._scheduler.list_moves()),
            ),
        )

    def _serve_vms(self, request):
        node = self._node
        now_ms = self._clock.now_ms()
        own_status = peers.PeerStatus(
            node.settings.name,
            node.state.offset,
            node.state.publication,
            0,
            node.is_stopping,
        )
        workers = tuple(
            reports.WorkerReport(
                worker.id,
                worker.vm.service,
                worker.vm.version,
                worker.is_available(now_ms),
                worker.count_running(),
                worker.vm.slots,
            )
            for worker in node.fleet
        )
        entries = (own_status, *node.roster.list_status(now_ms))
        return _encode_response(request, reports.VmReport(entries, workers))

    def _serve_trace(self, request, request_id):
        lines = self._scheduler.list_trace(request_id)
        if not lines:
            request.setResponseCode(http.NOT_FOUND)
        return _encode_response(request, lines)

    def _serve_tiers(self, request):
        return _encode_response(request, self._metrics.list_tiers())

    def _serve_customers(self, request):
        return _encode_response(request, self._metrics.list_customers())


def _encode_response(request, value):
    request.setHeader("Content-Type", JSON_CONTENT_TYPE)
    return msgspec.json.encode(value)
