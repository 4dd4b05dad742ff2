"""Base class of the simulated backend servers."""

import collections
import random
import secrets
import time

import klein
import msgspec

from wasabiknot_kernel import wire
from wasabiknot_standins import batching, servers

MS_PER_S = 1000
REPORT_LAG_MS = 800
RESTART_DELAY_S = 1.5


class Order(msgspec.Struct, frozen=True):
    """An order to an engine.

    :param action: ``load-version``, ``load-adapter`` or ``role``.
    :param target: version or adapter to load, or role to assume.
    :param fencing: fencing token.
    """

    action: str
    target: str
    fencing: int


class RunStats(msgspec.Struct, frozen=True):
    """Statistics of the requests that a backend server ran.

    :param runs: number of runs by prompt.
    :param ids: number of runs by request id.
    :param prefill_ms: total prefill time in milliseconds.
    :param wasted_prefill_ms: prefill time in milliseconds of streams that were
        cancelled before their first token.
    """

    runs: dict[str, int]
    ids: dict[str, int]
    prefill_ms: float
    wasted_prefill_ms: float


class Worker:
    """Base class of the simulated backend servers.

    :param port: TCP port.
    :param reactor: Twisted reactor.
    :param checks_fencing: whether orders with a stale fencing token are rejected.
    """

    def __init__(self, port, reactor, checks_fencing=False):
        self.app = klein.Klein()
        self.faults = batching.Faults()
        self.reactor = reactor
        self.started_ms = now_ms()
        self._boot_id = secrets.token_hex(4)
        self._http_server = servers.HttpServer(self.app, port)
        self._reports = collections.deque(maxlen=64)
        self._runs_by_prompt = collections.Counter()
        self._runs_by_id = collections.Counter()
        self._rng = random.Random(port)
        self._is_leaving = False
        self._checks_fencing = checks_fencing
        self._last_fencing = -1
        self._orders = []
        self.prefill_ms = 0.0
        self.wasted_prefill_ms = 0.0
        self._add_routes()

    def _add_routes(self):
        self.app.route("/load")(self._send_load)
        self.app.route("/faults", methods=["POST"])(self._set_faults)
        self.app.route("/leave", methods=["POST"])(self._handle_leave)
        self.app.route("/crash", methods=["POST"])(self._handle_crash)
        self.app.route("/silence", methods=["POST"])(self._handle_silence)
        self.app.route("/tally")(self._send_run_stats)
        self.app.route("/v1/orders", methods=["POST"])(self._handle_order)
        self.app.route("/v1/orders", methods=["GET"])(self._send_orders)

    def open(self):
        """Starts to listen."""
        self._http_server.open()

    def count_running(self):
        """Returns the number of running requests."""
        raise NotImplementedError

    def count_waiting(self):
        """Returns the number of admitted requests that are waiting."""
        return 0

    def abort_requests(self):
        """Drops all requests and aborts their connections."""
        raise NotImplementedError

    def record_run(self, body):
        """Counts the run of a request.

        :param body: ``wire.WorkerCall``.
        """
        self._runs_by_prompt[body.prompt] += 1
        self._runs_by_id[body.id] += 1

    def is_faulty(self, call):
        """Checks whether ``slow`` and ``fail_fraction`` apply to a call now.

        :param call: name of the call.
        :return: ``True`` if they do.
        """
        faults = self.faults
        if faults.fail_calls and call not in faults.fail_calls:
            return False
        if self.count_running() < faults.from_load:
            return False
        return now_ms() - self.started_ms >= faults.from_ms

    def should_fail(self, call):
        """Decides at random whether a request fails.

        :param call: name of the call.
        :return: ``True`` if it does.
        """
        fraction = self.faults.fail_fraction
        return self.is_faulty(call) and self._rng.random() < fraction

    def is_poisoned(self, prompt):
        """Checks whether a prompt crashes the server.

        :param prompt: text of the prompt.
        :return: ``True`` if it does.
        """
        return bool(self.faults.poison) and self.faults.poison in prompt

    def sample_load(self):
        """Records a load report, which becomes visible after ``REPORT_LAG_MS``."""
        report = wire.WorkerLoad(
            self.count_running(),
            self.count_waiting(),
            now_ms(),
            self._boot_id,
            self._is_leaving,
        )
        self._reports.append(report)

    def crash(self):
        """Simulates a crash and a restart after ``RESTART_DELAY_S``.

        Connections are refused in between, and the boot id changes.
        """
        self._http_server.close()
        self.abort_requests()
        self._boot_id = secrets.token_hex(4)
        self.reactor.callLater(RESTART_DELAY_S, self._http_server.open)

    @property
    def is_leaving(self):
        """Whether new requests are rejected."""
        return self._is_leaving

    def _send_load(self, request):
        cutoff_ms = now_ms() - REPORT_LAG_MS
        visible_report = self._reports[0] if self._reports else None
        for report in self._reports:
            if report.taken_ms <= cutoff_ms:
                visible_report = report
        if visible_report is None:
            visible_report = wire.WorkerLoad(
                0, 0, now_ms(), self._boot_id, self._is_leaving
            )
        return servers.send_json(request, visible_report)

    def _set_faults(self, request):
        self.faults = servers.read_json(request, batching.Faults)
        return b""

    def _handle_leave(self, request):
        self._is_leaving = True
        return b""

    def stall_connections(self):
        """Stops sending on the open connections without closing them."""
        raise NotImplementedError

    def _handle_silence(self, request):
        self.stall_connections()
        return b""

    def _handle_crash(self, request):
        self.reactor.callLater(0, self.crash)
        return b""

    def _send_run_stats(self, request):
        stats = RunStats(
            dict(self._runs_by_prompt),
            dict(self._runs_by_id),
            self.prefill_ms,
            self.wasted_prefill_ms,
        )
        return servers.send_json(request, stats)

    def _handle_order(self, request):
        order = servers.read_json(request, Order)
        if self._checks_fencing and order.fencing < self._last_fencing:
            request.setResponseCode(409)
            return b""
        self._last_fencing = max(self._last_fencing, order.fencing)
        self._orders.append(order)
        return b""

    def _send_orders(self, request):
        return servers.send_json(request, self._orders)


def now_ms():
    """Returns the current time.

    :return: Unix milliseconds.
    """
    return int(time.time() * MS_PER_S)
