"""HTTP endpoints for callers: calls, idempotency keys and readiness."""

import secrets

import msgspec
from returns import pipeline
from twisted.internet import task

from wasabiknot_entry import (
    bodies,
    exchanges,
    handovers,
    headers,
    journal,
    listeners,
    problems,
)
from wasabiknot_kernel import effects, exceptions, identifiers, messages

MAX_KEY_CHARACTERS = 200
MAX_CUSTOMER_CHARACTERS = 63
KEEPALIVE_INTERVAL_S = 0.5
KEEPALIVE_COMMENT = b": ping\n\n"

Kind = exceptions.ErrorKind


class CallerApi:
    """Accepts calls, relays responses and caches those of requests with a key.

    :param settings: settings of the entry.
    :param bus: ``mailboxes.MessageBus``.
    :param forward_request: function that forwards a
        ``handovers.ForwardedRequest`` to another entry.
    """

    def __init__(self, settings, bus, forward_request):
        self._settings = settings
        self._bus = bus
        self._forward_request = forward_request
        self._exchanges = exchanges.Exchanges()
        self._run_id = secrets.token_hex(4)
        self._sequence = 0
        self._key_requests = {}
        self._keepalive = task.LoopingCall(self._send_keepalives)
        self.is_ready = lambda: False
        self._subscribe()

    def _subscribe(self):
        self._bus.subscribe(exchanges.Chunk, self._relay_chunk)
        self._bus.subscribe(effects.Complete, self._complete)
        self._bus.subscribe(effects.Refuse, self._send_error)
        self._bus.subscribe(effects.Join, self._attach_duplicate)
        self._bus.subscribe(effects.Forward, self._forward)
        self._bus.subscribe(effects.Forget, self._discard_response)
        self._bus.subscribe(effects.IssueKey, self._issue_key)

    def start(self):
        """Starts sending keep-alive comments on open event streams."""
        self._keepalive.start(KEEPALIVE_INTERVAL_S, now=False).addErrback(
            journal.log_failure, "ping"
        )

    def __len__(self):
        return len(self._exchanges)

    def find_exchange(self, request_id):
        """Finds the exchange of a request.

        :param request_id: id of the request.
        :return: ``exchanges.Exchange`` or ``None``.
        """
        return self._exchanges.find(request_id)

    def add_routes(self, app):
        """Adds the endpoints for callers.

        :param app: ``klein.Klein`` application.
        """
        app.route("/v1/services/<service>/calls/<call>", methods=["POST"])(
            self._handle_call
        )
        app.route("/v1/keys", methods=["POST"])(self._request_key)
        app.route("/healthz")(self._serve_health)

    def _serve_health(self, request):
        request.setResponseCode(200 if self.is_ready() else 503)
        return b"ready\n" if self.is_ready() else b"not ready\n"

    def _create_request_id(self):
        self._sequence += 1
        request_id = f"{self._settings.name}-{self._run_id}-{self._sequence}"
        return identifiers.RequestId(request_id)

    def _request_key(self, request):
        request_id = self._create_request_id()
        self._key_requests[request_id] = request
        self._bus.publish(messages.KeyWanted(request_id))
        return wait_until_finished(request)

    def _issue_key(self, effect):
        request = self._key_requests.pop(effect.request_id)
        request.setHeader("Content-Type", "application/json")
        request.write(b'{"key":"' + effect.key.encode() + b'"}')
        request.finish()

    def _handle_call(self, request, service, call):
        request_id = self._create_request_id()
        request.setHeader(headers.REQUEST_ID, request_id)
        listener = listeners.Listener(request)
        data = request.content.read(self._settings.max_body_bytes + 1)
        rejection = self._check_request(request, data)
        if rejection is not None:
            listener.fail(
                problems.build_problem(
                    request_id, rejection.kind, detail=rejection.detail
                )
            )
            return wait_until_finished(request)
        parsed = bodies.parse_body(data, service, call)
        if not pipeline.is_successful(parsed):
            detail = str(parsed.failure())
            listener.fail(
                problems.build_problem(request_id, Kind.BAD_REQUEST, detail=detail)
            )
            return wait_until_finished(request)
        self._start_exchange(
            request, listener, request_id, service, call, parsed.unwrap()
        )
        return wait_until_finished(request)

    def _check_request(self, request, data):
        if len(data) > self._settings.max_body_bytes:
            expected = f"expected at most {self._settings.max_body_bytes} bytes"
            return Rejection(Kind.BODY_TOO_LARGE, f"body: {expected}")
        if len(self._exchanges) >= self._settings.max_requests:
            return Rejection(Kind.QUEUE_FULL, "too many open requests on this VM")
        customer = request.getHeader(headers.CUSTOMER) or ""
        if not 0 < len(customer) <= MAX_CUSTOMER_CHARACTERS or "/" in customer:
            return Rejection(
                Kind.BAD_REQUEST,
                f"header {headers.CUSTOMER}: expected 1 to 63 characters without '/'",
            )
        key = request.getHeader(headers.KEY)
        if key is not None and not 0 < len(key) <= MAX_KEY_CHARACTERS:
            return Rejection(
                Kind.KEY_MALFORMED,
                f"header {headers.KEY}: expected a UUIDv7 or a key from /v1/keys",
            )
        return None

    def _start_exchange(self, request, listener, request_id, service, call, parsed):
        key = request.getHeader(headers.KEY)
        origin = exchanges.Origin(
            service, call, request.getHeader(headers.CUSTOMER), key
        )
        exchange = exchanges.Exchange(request_id, parsed.body, origin)
        exchange.attach(listener)
        self._exchanges.open(exchange)
        disconnected = request.notifyFinish()
        disconnected.addErrback(lambda _: self._remove_listener(request_id, listener))
        self._bus.publish(
            messages.CallReceived(
                request_id=request_id,
                service=service,
                call=call,
                customer=request.getHeader(headers.CUSTOMER),
                content=parsed.fingerprint,
                prefix=parsed.prefix,
                prompt_tokens=parsed.prompt_tokens,
                max_tokens=parsed.body.max_tokens,
                key=key,
                key_issued_ms=bodies.parse_issue_time(key) if key else None,
                forwarded=request.getHeader(headers.FORWARDED) is not None,
            )
        )

    def _remove_listener(self, request_id, listener):
        listener.is_closed = True
        exchange = self._exchanges.find(request_id)
        if exchange is None or listener not in exchange.listeners:
            return
        exchange.listeners.remove(listener)
        if not exchange.listeners:
            self._bus.publish(messages.CallerGone(request_id))
            if not exchange.is_keyed:
                self._exchanges.close(request_id)

    def _relay_chunk(self, chunk):
        exchange = self._exchanges.find(chunk.request_id)
        if exchange is not None:
            exchange.write(chunk)

    def _complete(self, effect):
        exchange = self._exchanges.close(effect.request_id)
        if exchange is None:
            return
        exchange.finish()
        if effect.keep:
            self._exchanges.cache(exchange)

    def _send_error(self, effect):
        exchange = self._exchanges.close(effect.request_id)
        if exchange is None:
            return
        problem = problems.build_problem(effect.request_id, effect.kind, effect.ran)
        for listener in exchange.listeners:
            listener.fail(problem)
        exchange.listeners.clear()

    def _attach_duplicate(self, effect):
        duplicate = self._exchanges.close(effect.request_id)
        original = self._exchanges.find(effect.first)
        if duplicate is None:
            return
        for listener in duplicate.listeners:
            if original is not None:
                original.attach(listener)
                continue
            problem = problems.build_problem(
                effect.request_id, Kind.ALREADY_RAN, exceptions.Ran.YES
            )
            listener.fail(problem)

    def _forward(self, effect):
        exchange = self._exchanges.find(effect.request_id)
        if exchange is None:
            return
        forwarded = handovers.ForwardedRequest(exchange, effect, self._exchanges.close)
        self._forward_request(forwarded)

    def _discard_response(self, effect):
        self._exchanges.discard(effect.request_id)

    def _send_keepalives(self):
        for exchange in self._exchanges.list_open():
            if exchange.content_type == listeners.STREAM_CONTENT_TYPE:
                for listener in list(exchange.listeners):
                    listener.write(KEEPALIVE_COMMENT, listeners.STREAM_CONTENT_TYPE)


class Rejection(msgspec.Struct, frozen=True):
    """Error of a call that is rejected before it reaches the scheduler.

    :param kind: ``ErrorKind``.
    :param detail: location of the error and the expected value.
    """

    kind: exceptions.ErrorKind
    detail: str


def wait_until_finished(request):
    """Keeps the router from finishing a request whose response is written later.

    :param request: Twisted web request.
    :return: deferred that fires when the response is finished or the connection is
        lost.
    """
    return request.notifyFinish().addBoth(lambda _: None)
