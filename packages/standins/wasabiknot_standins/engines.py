"""Simulated model engine."""

import msgspec
from twisted.internet import reactor, task

from wasabiknot_kernel import wire
from wasabiknot_standins import batching, servers, workers

STEP_INTERVAL_MS = 10
PING_INTERVAL_STEPS = 50
LOAD_SAMPLE_INTERVAL_STEPS = 10
EVENT_STREAM_TYPE = "text/event-stream"
POISON_CRASH_DELAY_S = 0.05


class Subscription:
    """A response that receives the tokens of a stream.

    :param request: Twisted web request.
    :param sent_tokens: number of tokens that the client has already received.
    """

    def __init__(self, request, sent_tokens):
        self.request = request
        self.sent_tokens = sent_tokens
        self.is_closed = False
        self.is_stalled = False
        request.notifyFinish().addBoth(self._handle_disconnect)

    def _handle_disconnect(self, _):
        self.is_closed = True


class Engine(workers.Worker):
    """A model engine with continuous batching and a first-in, first-out queue.

    :param port: TCP port.
    :param speed: ``batching.Speed``.
    :param checks_fencing: whether orders with a stale fencing token are rejected.
    """

    def __init__(self, port, speed, checks_fencing=False):
        self._batch = batching.Batch(speed)
        self._subscriptions = {}
        self._steps = 0
        self._last_step_s = reactor.seconds()
        super().__init__(port, reactor, checks_fencing)
        self.app.route("/v1/streams", methods=["POST"])(self._start_stream)
        self.app.route("/v1/streams/<stream_id>", methods=["GET"])(self._resume_stream)
        self.app.route("/v1/streams/<stream_id>/cancel", methods=["POST"])(
            self._cancel_stream
        )

    def start(self):
        """Starts to listen and to advance the streams."""
        self.open()
        task.LoopingCall(self._step).start(STEP_INTERVAL_MS / workers.MS_PER_S)

    def count_running(self):
        """Returns the number of running streams."""
        return self._batch.running

    def count_waiting(self):
        """Returns the number of streams that are waiting for a slot."""
        return self._batch.waiting

    def abort_requests(self):
        """Drops all streams and aborts their connections."""
        for subscription in self._subscriptions.values():
            if not subscription.is_closed:
                subscription.request.transport.abortConnection()
        self._subscriptions.clear()
        self._batch.clear()

    def stall_connections(self):
        """Stops sending on the open connections; later ones work."""
        for subscription in self._subscriptions.values():
            subscription.is_stalled = True

    def _start_stream(self, request):
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
            reactor.callLater(POISON_CRASH_DELAY_S, self.crash)
        return self._subscribe(request, stream, 0)

    def _subscribe(self, request, stream, sent_tokens):
        request.setHeader("Content-Type", EVENT_STREAM_TYPE)
        request.write(b": ok\n\n")
        self._subscriptions[stream.id] = Subscription(request, sent_tokens)
        self._send_events(stream)
        return servers.wait_for_end(request)

    def _resume_stream(self, request, stream_id):
        stream = self._batch.streams.get(stream_id)
        if stream is None:
            request.setResponseCode(404)
            return b""
        self._batch.resume(stream)
        sent_tokens = int(request.args.get(b"from", [b"0"])[0])
        return self._subscribe(request, stream, sent_tokens)

    def _cancel_stream(self, request, stream_id):
        stream = self._batch.streams.get(stream_id)
        if stream is not None:
            self._batch.cancel(stream)
        return b""

    def _step(self):
        now_s = reactor.seconds()
        elapsed_ms = (now_s - self._last_step_s) * workers.MS_PER_S
        self._last_step_s = now_s
        slow = self.faults.slow if self.is_faulty("") else 1.0
        for stream in self._batch.advance(elapsed_ms, workers.now_ms(), slow):
            self._send_events(stream)
        self.prefill_ms = self._batch.prefill_ms
        self.wasted_prefill_ms = self._batch.wasted_prefill_ms
        self._steps += 1
        if self._steps % LOAD_SAMPLE_INTERVAL_STEPS == 0:
            self.sample_load()
        if self._steps % PING_INTERVAL_STEPS == 0:
            self._send_pings()

    def _send_pings(self):
        for subscription in self._subscriptions.values():
            if not (subscription.is_closed or subscription.is_stalled):
                subscription.request.write(b": ping\n\n")

    def _send_events(self, stream):
        subscription = self._subscriptions.get(stream.id)
        if subscription is None or subscription.is_closed or subscription.is_stalled:
            return
        stream_id = "crossed" if self.faults.cross else stream.id
        events = [
            wire.StreamEvent(stream_id, n, f"t{n} ")
            for n in range(subscription.sent_tokens, stream.generated_tokens)
        ]
        subscription.sent_tokens = max(
            subscription.sent_tokens, stream.generated_tokens
        )
        if (
            stream.state is batching.StreamState.DONE
            or stream.generated_tokens >= stream.output_tokens
        ):
            events.append(wire.StreamEvent(stream_id, stream.output_tokens, end=True))
        if events:
            subscription.request.write(b"".join(map(_encode_event, events)))
        if events and events[-1].end:
            subscription.request.finish()
            subscription.is_closed = True
            del self._subscriptions[stream.id]


def _encode_event(event):
    return b"data: " + msgspec.json.encode(event) + b"\n\n"


def run(port, speed, checks_fencing=False):
    """Runs an engine until the process is stopped.

    :param port: TCP port.
    :param speed: ``batching.Speed``.
    :param checks_fencing: whether orders with a stale fencing token are rejected.
    """
    Engine(port, speed, checks_fencing).start()
    reactor.run()
