"""Stand-ins of the list of VMs and of the weight store."""

import collections

import klein
from twisted.internet import reactor, task

from wasabiknot_kernel import wire
from wasabiknot_standins import servers, workers


class VmServer:
    """Serves the list as it was some time ago.

    :param lag_ms: age of what is shown.
    """

    def __init__(self, lag_ms):
        self.app = klein.Klein()
        self._lag_s = lag_ms / workers.MS_PER_S
        self._shown = wire.VmList()
        self.app.route("/v1/vms", methods=["GET"])(self._send)
        self.app.route("/v1/vms", methods=["PUT"])(self._replace)

    def _send(self, request):
        return servers.send_json(request, self._shown)

    def _replace(self, request):
        listed = servers.read_json(request, wire.VmList)
        lag_s = self._lag_s if self._shown.workers else 0
        reactor.callLater(lag_s, self._show, listed)
        return b""

    def _show(self, listed):
        self._shown = listed


class WeightServer:
    """Serves weights at a limited rate for all readers together.

    :param loads_per_s: loads that are allowed each second.
    """

    def __init__(self, loads_per_s):
        self.app = klein.Klein()
        self._loads_per_s = loads_per_s
        self._taken = collections.deque()
        self.app.route("/v1/weights/<model>/<version>")(self._send)

    def _send(self, request, model, version):
        now_s = reactor.seconds()
        while self._taken and now_s - self._taken[0] > 1:
            self._taken.popleft()
        if len(self._taken) >= self._loads_per_s:
            request.setResponseCode(429)
            request.setHeader("Retry-After", "1")
            return b""
        self._taken.append(now_s)
        return task.deferLater(reactor, 0.05, lambda: f"{model}/{version}".encode())


def run_vms(port, lag_ms):
    """Runs the list of VMs until the process is stopped.

    :param port: TCP port.
    :param lag_ms: age of what is shown.
    """
    servers.run(VmServer(lag_ms).app, port)


def run_weights(port, loads_per_s):
    """Runs the weight store until the process is stopped.

    :param port: TCP port.
    :param loads_per_s: loads that are allowed each second.
    """
    servers.run(WeightServer(loads_per_s).app, port)
