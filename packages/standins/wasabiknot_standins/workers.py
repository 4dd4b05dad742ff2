"""What stand-ins of engines and plain services have in common."""

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
DOWN_S = 1.5


class Order(msgspec.Struct, frozen=True):
    """An order to an engine.

    :param action: ``load-version``, ``load-adapter`` or ``role``.
    :param target: what to load or become.
    :param fencing: fencing number of the order.
    """

    action: str
    target: str
    fencing: int


class RunStats(msgspec.Struct, frozen=True):
    """What a backend server has run.

    :param runs: number of runs by request content.
    :param ids: number of runs by request id.
    :param prefill_ms: prefill time spent.
    :param wasted_prefill_ms: prefill time of streams that gave nothing.
    """

    runs: dict[str, int]
    ids: dict[str, int]
    prefill_ms: float
    wasted_prefill_ms: float


class Worker:
    """Base of the stand-ins of backend servers.

    :param port: TCP port.
    :param reactor: Twisted reactor.
    :param checks_fencing: whether orders with an old number are refused.
    """

    def __init__(self, port, reactor, checks_fencing=False):
        self.app = klein.Klein()
        self.faults = batching.Faults()
        self.reactor = reactor
        self.started_ms = now_ms()
        self._boot = secrets.token_hex(4)
        self._listening = servers.Listening(self.app, port)
        self._reports = collections.deque(maxlen=64)
        self._runs = collections.Counter()
        self._ids = collections.Counter()
        self._rng = random.Random(port)
        self._leaving = False
        self._checks_fencing = checks_fencing
        self._fencing = -1
        self._orders = []
        self.prefill_ms = 0.0
        self.wasted_prefill_ms = 0.0
        self._add_routes()

    def _add_routes(self):
        self.app.route("/load")(self._send_load)
        self.app.route("/faults", methods=["POST"])(self._set_faults)
        self.app.route("/leave", methods=["POST"])(self._leave)
        self.app.route("/crash", methods=["POST"])(self._crash_now)
        self.app.route("/silence", methods=["POST"])(self._silence_now)
        self.app.route("/tally")(self._send_tally)
        self.app.route("/v1/orders", methods=["POST"])(self._take_order)
        self.app.route("/v1/orders", methods=["GET"])(self._send_orders)

    def open(self):
        """Begins to listen."""
        self._listening.open()

    def count_running(self):
        """Counts running requests."""
        raise NotImplementedError

    def count_waiting(self):
        """Counts admitted requests that wait."""
        return 0

    def abort_requests(self):
        """Forgets all requests and drops their connections."""
        raise NotImplementedError

    def record_run(self, body):
        """Notes that a request has begun to run.

        :param body: ``wire.WorkerCall``.
        """
        self._runs[body.prompt] += 1
        self._ids[body.id] += 1

    def is_faulty(self, call):
        """Whether the fault shows for a call now.

        :param call: name of the call.
        :return: ``True`` if it does.
        """
        faults = self.faults
        if faults.fail_calls and call not in faults.fail_calls:
            return False
        if self.count_running() < faults.from_load:
            return False
        return now_ms() - self.started_ms >= faults.from_ms

    def should_fail(self, call):
        """Draws whether a request fails.

        :param call: name of the call.
        :return: ``True`` if it does.
        """
        fraction = self.faults.fail_fraction
        return self.is_faulty(call) and self._rng.random() < fraction

    def is_poisoned(self, prompt):
        """Whether a prompt crashes the server.

        :param prompt: content.
        :return: ``True`` if it does.
        """
        return bool(self.faults.poison) and self.faults.poison in prompt

    def sample_load(self):
        """Takes a load report; it is shown only after a lag."""
        report = wire.WorkerLoad(
            self.count_running(),
            self.count_waiting(),
            now_ms(),
            self._boot,
            self._leaving,
        )
        self._reports.append(report)

    def crash(self):
        """Loses everything and refuses connections for a short time."""
        self._listening.close()
        self.abort_requests()
        self._boot = secrets.token_hex(4)
        self.reactor.callLater(DOWN_S, self._listening.open)

    @property
    def is_leaving(self):
        """Whether new requests are refused."""
        return self._leaving

    def _send_load(self, request):
        due = now_ms() - REPORT_LAG_MS
        shown = self._reports[0] if self._reports else None
        for report in self._reports:
            if report.taken_ms <= due:
                shown = report
        if shown is None:
            shown = wire.WorkerLoad(0, 0, now_ms(), self._boot, self._leaving)
        return servers.send_json(request, shown)

    def _set_faults(self, request):
        self.faults = servers.read_json(request, batching.Faults)
        return b""

    def _leave(self, request):
        self._leaving = True
        return b""

    def stall_connections(self):
        """Makes the open connections silent for good."""
        raise NotImplementedError

    def _silence_now(self, request):
        self.stall_connections()
        return b""

    def _crash_now(self, request):
        self.reactor.callLater(0, self.crash)
        return b""

    def _send_tally(self, request):
        tally = RunStats(
            dict(self._runs), dict(self._ids), self.prefill_ms, self.wasted_prefill_ms
        )
        return servers.send_json(request, tally)

    def _take_order(self, request):
        order = servers.read_json(request, Order)
        if self._checks_fencing and order.fencing < self._fencing:
            request.setResponseCode(409)
            return b""
        self._fencing = max(self._fencing, order.fencing)
        self._orders.append(order)
        return b""

    def _send_orders(self, request):
        return servers.send_json(request, self._orders)


def now_ms():
    """Returns the present time.

    :return: Unix milliseconds.
    """
    return int(time.time() * MS_PER_S)
