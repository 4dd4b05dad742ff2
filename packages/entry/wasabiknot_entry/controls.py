"""The control address: state for peers, answers for operators."""

import msgspec
from twisted.web import http

from wasabiknot_kernel import fold, peers, reports

JSON_TYPE = "application/json"


class Controls:
    """Serves peers and operators.

    :param scheduler: the scheduling task.
    :param metrics: the metrics task.
    :param clock: the entry's clock.
    """

    def __init__(self, scheduler, metrics, clock):
        self._scheduler = scheduler
        self._node = scheduler.node
        self._metrics = metrics
        self._clock = clock

    def add_routes(self, app):
        """Adds the routes of the control address.

        :param app: ``klein.Klein`` application.
        """
        app.route("/peer/v1/state")(self._send_state)
        app.route("/operator/v1/status")(self._send_status)
        app.route("/operator/v1/vms")(self._send_vms)
        app.route("/operator/v1/requests/<request_id>")(self._explain)
        app.route("/operator/v1/histograms/tiers")(self._send_tiers)
        app.route("/operator/v1/histograms/customers")(self._send_customers)

    def _send_state(self, request):
        if self._node.configuration is None:
            request.setResponseCode(http.SERVICE_UNAVAILABLE)
            return b""
        request.setHeader("Content-Type", JSON_TYPE)
        return fold.encode_state(self._node.state).encode()

    def _send_status(self, request):
        node = self._node
        age_ms = None
        if node.log_read_ms is not None:
            age_ms = self._clock.now_ms() - node.log_read_ms
        return _send(
            request,
            reports.Status(
                entry=node.settings.name,
                ready=node.is_ready,
                offset=node.state.offset,
                publication=node.state.publication,
                publication_id=node.state.publication_id,
                log_age_ms=age_ms,
                moves=tuple(self._scheduler.list_moves()),
            ),
        )

    def _send_vms(self, request):
        node = self._node
        now_ms = self._clock.now_ms()
        own = peers.PeerStatus(
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
        entries = (own, *node.roster.list_status(now_ms))
        return _send(request, reports.VmReport(entries, workers))

    def _explain(self, request, request_id):
        lines = self._scheduler.explain(request_id)
        if not lines:
            request.setResponseCode(http.NOT_FOUND)
        return _send(request, lines)

    def _send_tiers(self, request):
        return _send(request, self._metrics.list_tiers())

    def _send_customers(self, request):
        return _send(request, self._metrics.list_customers())


def _send(request, value):
    request.setHeader("Content-Type", JSON_TYPE)
    return msgspec.json.encode(value)
