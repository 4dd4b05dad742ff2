"""The control address: state for peers, answers for operators."""

import msgspec
from twisted.web import http

from wasabiknot_kernel import fold, moves, peers

JSON_TYPE = "application/json"


class Status(msgspec.Struct, frozen=True):
    """What an entry knows of the configuration and the moves.

    :param entry: name of the entry.
    :param ready: whether it takes requests.
    :param offset: last log offset in force.
    :param publication: offset of the configuration in force; -1 for none.
    :param publication_id: record id of that publication.
    :param log_age_ms: time since the log last answered; ``None`` if never.
    :param moves: all moves.
    """

    entry: str
    ready: bool
    offset: int
    publication: int
    publication_id: str
    log_age_ms: int | None
    moves: list[moves.MoveReport]


class VmReport(msgspec.Struct, frozen=True):
    """The entries and backend servers as one entry sees them.

    :param entries: this entry and its peers.
    :param workers: backend servers.
    """

    entries: list[peers.PeerStatus]
    workers: list["WorkerReport"]


class WorkerReport(msgspec.Struct, frozen=True):
    """A backend server.

    :param worker: its id.
    :param service: service that it runs.
    :param version: version that it runs.
    :param open: whether it takes new work.
    :param running: requests of this entry in flight on it.
    :param slots: requests that it runs at once.
    """

    worker: str
    service: str
    version: str
    open: bool
    running: int
    slots: int


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
        if node.log_heard_ms is not None:
            age_ms = self._clock.now_ms() - node.log_heard_ms
        return _send(
            request,
            Status(
                entry=node.settings.name,
                ready=node.is_ready,
                offset=node.state.offset,
                publication=node.state.publication,
                publication_id=node.state.publication_id,
                log_age_ms=age_ms,
                moves=self._scheduler.list_moves(),
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
        workers = [
            WorkerReport(
                worker.id,
                worker.vm.service,
                worker.vm.version,
                worker.is_open(now_ms),
                worker.count(),
                worker.vm.slots,
            )
            for worker in node.fleet
        ]
        entries = [own, *node.roster.list_status(now_ms)]
        return _send(request, VmReport(entries, workers))

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
