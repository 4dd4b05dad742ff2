"""Simulated plain service; some of its calls must not be repeated."""

from twisted.internet import reactor, task

from wasabiknot_kernel import wire
from wasabiknot_standins import servers, workers

LOAD_SAMPLE_INTERVAL_S = 0.1
MIN_SERVICE_TIME_S = 0.001


class PlainService(workers.Worker):
    """A plain service that responds to each call after a fixed service time.

    :param port: TCP port.
    :param service_ms: service time in milliseconds.
    """

    def __init__(self, port, service_ms):
        super().__init__(port, reactor)
        self._service_ms = service_ms
        self._in_flight = {}
        self._stalled = set()
        self.app.route("/v1/calls", methods=["POST"])(self._call)

    def start(self):
        """Starts listening and sampling the load."""
        self.open()
        task.LoopingCall(self.sample_load).start(LOAD_SAMPLE_INTERVAL_S)

    def count_running(self):
        """Counts calls in flight."""
        return len(self._in_flight)

    def abort_requests(self):
        """Aborts the connections of all calls in flight."""
        for request in self._in_flight.values():
            request.transport.abortConnection()
        self._in_flight.clear()

    def stall_connections(self):
        """Leaves all calls in flight without a response."""
        self._stalled.update(self._in_flight)

    def _call(self, request):
        body = servers.read_json(request, wire.WorkerCall)
        if self.is_leaving:
            request.setResponseCode(503)
            return b""
        self.record_run(body)
        if self.should_fail(body.call):
            request.setResponseCode(500)
            return b""
        self._in_flight[body.id] = request
        request.notifyFinish().addBoth(lambda _: self._in_flight.pop(body.id, None))
        slow = self.faults.slow if self.is_faulty(body.call) else 1.0
        delay_s = max(MIN_SERVICE_TIME_S, self._service_ms * slow / workers.MS_PER_S)
        finish = self.crash if self.is_poisoned(body.prompt) else self._finish
        arguments = () if finish == self.crash else (body,)
        reactor.callLater(delay_s, finish, *arguments)
        return servers.wait_for_end(request)

    def _finish(self, body):
        request = self._in_flight.get(body.id)
        if request is None or body.id in self._stalled:
            return
        response_id = "crossed" if self.faults.cross else body.id
        request.write(
            servers.send_json(
                request, wire.PlainResponse(response_id, f"{body.call} ok", True)
            )
        )
        request.finish()


def run(port, service_ms):
    """Runs a plain service until the process is stopped.

    :param port: TCP port.
    :param service_ms: service time in milliseconds.
    """
    PlainService(port, service_ms).start()
    reactor.run()
