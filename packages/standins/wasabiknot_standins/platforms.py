"""Simulated VM list service and weight store."""

import collections

import klein
from twisted.internet import reactor, task

from wasabiknot_kernel import wire
from wasabiknot_standins import servers, workers


class VmServer:
    """Serves the list of VMs with a lag; the first list is visible at once.

    :param lag_ms: delay in milliseconds before a new list becomes visible.
    """

    def __init__(self, lag_ms):
        self.app = klein.Klein()
        self._lag_s = lag_ms / workers.MS_PER_S
        self._visible = wire.VmList()
        self.app.route("/v1/vms", methods=["GET"])(self._send)
        self.app.route("/v1/vms", methods=["PUT"])(self._replace)

    def _send(self, request):
        return servers.send_json(request, self._visible)

    def _replace(self, request):
        vm_list = servers.read_json(request, wire.VmList)
        lag_s = self._lag_s if self._visible.workers else 0
        reactor.callLater(lag_s, self._make_visible, vm_list)
        return b""

    def _make_visible(self, vm_list):
        self._visible = vm_list


class WeightServer:
    """Serves weights with one rate limit for all clients.

    :param loads_per_s: number of loads permitted per second.
    """

    def __init__(self, loads_per_s):
        self.app = klein.Klein()
        self._loads_per_s = loads_per_s
        self._load_times_s = collections.deque()
        self.app.route("/v1/weights/<model>/<version>")(self._send)

    def _send(self, request, model, version):
        now_s = reactor.seconds()
        while self._load_times_s and now_s - self._load_times_s[0] > 1:
            self._load_times_s.popleft()
        if len(self._load_times_s) >= self._loads_per_s:
            request.setResponseCode(429)
            request.setHeader("Retry-After", "1")
            return b""
        self._load_times_s.append(now_s)
        return task.deferLater(reactor, 0.05, lambda: f"{model}/{version}".encode())


def run_vms(port, lag_ms):
    """Runs the VM list service until the process is stopped.

    :param port: TCP port.
    :param lag_ms: delay in milliseconds before a new list becomes visible.
    """
    servers.run(VmServer(lag_ms).app, port)


def run_weights(port, loads_per_s):
    """Runs the weight store until the process is stopped.

    :param port: TCP port.
    :param loads_per_s: number of loads permitted per second.
    """
    servers.run(WeightServer(loads_per_s).app, port)
