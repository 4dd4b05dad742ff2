"""Stand-in of a plain service, some of whose calls must not be repeated."""

from twisted.internet import reactor, task

from wasabiknot_kernel import wire
from wasabiknot_standins import servers, workers

SAMPLE_S = 0.1
MIN_DELAY_S = 0.001


class Plain(workers.Worker):
    """A plain service that answers each call after a service time.

    :param port: TCP port.
    :param service_ms: service time.
    """

    def __init__(self, port, service_ms):
        super().__init__(port, reactor)
        self._service_ms = service_ms
        self._open = {}
        self._silent = set()
        self.app.route("/v1/calls", methods=["POST"])(self._call)

    def start(self):
        """Begins to listen and to take load reports."""
        self.open()
        task.LoopingCall(self.sample_load).start(SAMPLE_S)

    def count_running(self):
        """Counts open calls."""
        return len(self._open)

    def abort_requests(self):
        """Drops the connections of all open calls."""
        for request in self._open.values():
            request.transport.abortConnection()
        self._open.clear()

    def stall_connections(self):
        """Makes the open connections silent for good."""
        self._silent.update(self._open)

    def _call(self, request):
        body = servers.read_json(request, wire.WorkerCall)
        if self.is_leaving:
            request.setResponseCode(503)
            return b""
        self.record_run(body)
        if self.should_fail(body.call):
            request.setResponseCode(500)
            return b""
        self._open[body.id] = request
        request.notifyFinish().addBoth(lambda _: self._open.pop(body.id, None))
        slow = self.faults.slow if self.is_faulty(body.call) else 1.0
        delay_s = max(MIN_DELAY_S, self._service_ms * slow / workers.MS_PER_S)
        finish = self.crash if self.is_poisoned(body.prompt) else self._finish
        arguments = () if finish == self.crash else (body,)
        reactor.callLater(delay_s, finish, *arguments)
        return servers.wait_for_end(request)

    def _finish(self, body):
        request = self._open.get(body.id)
        if request is None or body.id in self._silent:
            return
        answer_id = "crossed" if self.faults.cross else body.id
        request.write(
            servers.send_json(
                request, wire.PlainAnswer(answer_id, f"{body.call} ok", True)
            )
        )
        request.finish()


def run(port, service_ms):
    """Runs a plain service until the process is stopped.

    :param port: TCP port.
    :param service_ms: service time in milliseconds.
    """
    Plain(port, service_ms).start()
    reactor.run()
