"""Stand-in of a model engine."""

import msgspec
from twisted.internet import reactor, task

from wasabiknot_kernel import wire
from wasabiknot_standins import batching, servers, workers

STEP_MS = 10
PING_STEPS = 50
SAMPLE_STEPS = 10
STREAM_TYPE = "text/event-stream"
POISON_DELAY_S = 0.05


class Subscription:
    """A connection that receives a stream.

    :param request: Twisted web request.
    :param sent: tokens that its caller has already.
    """

    def __init__(self, request, sent):
        self.request = request
        self.sent = sent
        self.is_gone = False
        self.is_silent = False
        request.notifyFinish().addBoth(self._note_gone)

    def _note_gone(self, _):
        self.is_gone = True


class Engine(workers.Worker):
    """A model engine: batches continuously and knows no priorities.

    :param port: TCP port.
    :param speed: ``batching.Speed``.
    :param checks_fencing: whether orders with an old number are refused.
    """

    def __init__(self, port, speed, checks_fencing=False):
        self._batch = batching.Batch(speed)
        self._subscriptions = {}
        self._steps = 0
        self._last_s = reactor.seconds()
        super().__init__(port, reactor, checks_fencing)
        self.app.route("/v1/streams", methods=["POST"])(self._begin)
        self.app.route("/v1/streams/<stream_id>", methods=["GET"])(self._resume)
        self.app.route("/v1/streams/<stream_id>/cancel", methods=["POST"])(self._cancel)

    def start(self):
        """Begins to listen and to run."""
        self.open()
        task.LoopingCall(self._step).start(STEP_MS / workers.MS_PER_S)

    def count_running(self):
        """Counts running streams."""
        return self._batch.running

    def count_waiting(self):
        """Counts admitted streams that wait."""
        return self._batch.waiting

    def abort_requests(self):
        """Forgets all streams and drops their connections."""
        for subscription in self._subscriptions.values():
            if not subscription.is_gone:
                subscription.request.transport.abortConnection()
        self._subscriptions.clear()
        self._batch.clear()

    def stall_connections(self):
        """Makes the open connections silent for good; new ones work."""
        for subscription in self._subscriptions.values():
            subscription.is_silent = True

    def _begin(self, request):
        body = servers.read_json(request, wire.WorkerCall)
        if self.is_leaving:
            request.setResponseCode(503)
            return b""
        if self.should_fail(body.call):
            self.record_run(body)
            request.setResponseCode(500)
            return b""
        self.record_run(body)
        stream = batching.Stream(body.id, body.call, body.prompt, body.max_tokens)
        self._batch.admit(stream)
        if self.is_poisoned(body.prompt):
            reactor.callLater(POISON_DELAY_S, self.crash)
        return self._subscribe(request, stream, 0)

    def _subscribe(self, request, stream, sent):
        request.setHeader("Content-Type", STREAM_TYPE)
        request.write(b": ok\n\n")
        self._subscriptions[stream.id] = Subscription(request, sent)
        self._send(stream)
        return servers.wait_for_end(request)

    def _resume(self, request, stream_id):
        stream = self._batch.streams.get(stream_id)
        if stream is None:
            request.setResponseCode(404)
            return b""
        self._batch.resume(stream)
        sent = int(request.args.get(b"from", [b"0"])[0])
        return self._subscribe(request, stream, sent)

    def _cancel(self, request, stream_id):
        stream = self._batch.streams.get(stream_id)
        if stream is not None:
            self._batch.cancel(stream)
        return b""

    def _step(self):
        now_s = reactor.seconds()
        elapsed_ms = (now_s - self._last_s) * workers.MS_PER_S
        self._last_s = now_s
        slow = self.faults.slow if self.is_faulty("") else 1.0
        for stream in self._batch.advance(elapsed_ms, workers.now_ms(), slow):
            self._send(stream)
        self.prefill_ms = self._batch.prefill_ms
        self.wasted_prefill_ms = self._batch.wasted_prefill_ms
        self._steps += 1
        if self._steps % SAMPLE_STEPS == 0:
            self.sample_load()
        if self._steps % PING_STEPS == 0:
            self._ping()

    def _ping(self):
        for subscription in self._subscriptions.values():
            if not (subscription.is_gone or subscription.is_silent):
                subscription.request.write(b": ping\n\n")

    def _send(self, stream):
        subscription = self._subscriptions.get(stream.id)
        if subscription is None or subscription.is_gone or subscription.is_silent:
            return
        stream_id = "crossed" if self.faults.cross else stream.id
        events = [
            wire.StreamEvent(stream_id, n, f"t{n} ")
            for n in range(subscription.sent, stream.tokens)
        ]
        subscription.sent = max(subscription.sent, stream.tokens)
        if stream.state is batching.StreamState.DONE or stream.tokens >= stream.length:
            events.append(wire.StreamEvent(stream_id, stream.length, end=True))
        if events:
            subscription.request.write(b"".join(map(_encode, events)))
        if events and events[-1].end:
            subscription.request.finish()
            subscription.is_gone = True
            del self._subscriptions[stream.id]


def _encode(event):
    return b"data: " + msgspec.json.encode(event) + b"\n\n"


def run(port, speed, checks_fencing=False):
    """Runs an engine until the process is stopped.

    :param port: TCP port.
    :param speed: ``batching.Speed``.
    :param checks_fencing: whether orders with an old number are refused.
    """
    Engine(port, speed, checks_fencing).start()
    reactor.run()
