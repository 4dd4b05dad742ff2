"""The task that owns the callers' connections."""

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
PING_S = 0.5
PING = b": ping\n\n"

Kind = exceptions.ErrorKind


class Callers:
    """Takes calls, relays answers, and keeps the answers of keyed requests.

    :param settings: settings of the entry.
    :param post: message delivery.
    :param forwarder: hands requests over to other entries.
    """

    def __init__(self, settings, post, forwarder):
        self._settings = settings
        self._post = post
        self._forwarder = forwarder
        self._exchanges = exchanges.Exchanges()
        self._run = secrets.token_hex(4)
        self._sequence = 0
        self._questions = {}
        self._pinger = task.LoopingCall(self._ping)
        self.is_ready = lambda: False
        self._subscribe()

    def _subscribe(self):
        self._post.subscribe(exchanges.Chunk, self._relay)
        self._post.subscribe(effects.Complete, self._complete)
        self._post.subscribe(effects.Refuse, self._refuse)
        self._post.subscribe(effects.Join, self._join)
        self._post.subscribe(effects.Forward, self._forward)
        self._post.subscribe(effects.Forget, self._forget)
        self._post.subscribe(effects.IssueKey, self._issue_key)

    def start(self):
        """Starts the keep-alive comments of open streams."""
        self._pinger.start(PING_S, now=False).addErrback(journal.log_failure, "ping")

    def __len__(self):
        return len(self._exchanges)

    def find_exchange(self, request_id):
        """Finds the exchange of a request for the backend side.

        :param request_id: the request.
        :return: the ``Exchange``, or ``None``.
        """
        return self._exchanges.find(request_id)

    def add_routes(self, app):
        """Adds the routes for callers.

        :param app: ``klein.Klein`` application.
        """
        app.route("/v1/services/<service>/calls/<call>", methods=["POST"])(self._call)
        app.route("/v1/keys", methods=["POST"])(self._ask_key)
        app.route("/healthz")(self._report_health)

    def _report_health(self, request):
        request.setResponseCode(200 if self.is_ready() else 503)
        return b"ready\n" if self.is_ready() else b"not ready\n"

    def _mint_id(self):
        self._sequence += 1
        text = f"{self._settings.name}-{self._run}-{self._sequence}"
        return identifiers.RequestId(text)

    def _ask_key(self, request):
        request_id = self._mint_id()
        self._questions[request_id] = request
        self._post.send(messages.KeyWanted(request_id))
        return wait_for_end(request)

    def _issue_key(self, effect):
        request = self._questions.pop(effect.request_id)
        request.setHeader("Content-Type", "application/json")
        request.write(b'{"key":"' + effect.key.encode() + b'"}')
        request.finish()

    def _call(self, request, service, call):
        request_id = self._mint_id()
        request.setHeader(headers.REQUEST_ID, request_id)
        listener = listeners.Listener(request)
        data = request.content.read(self._settings.max_body_bytes + 1)
        fault = self._find_fault(request, data)
        if fault is not None:
            listener.fail(
                problems.build_problem(request_id, fault.kind, detail=fault.detail)
            )
            return wait_for_end(request)
        content = bodies.read_body(data, service, call)
        if not pipeline.is_successful(content):
            detail = str(content.failure())
            listener.fail(
                problems.build_problem(request_id, Kind.BAD_REQUEST, detail=detail)
            )
            return wait_for_end(request)
        self._begin(request, listener, request_id, service, call, content.unwrap())
        return wait_for_end(request)

    def _find_fault(self, request, data):
        if len(data) > self._settings.max_body_bytes:
            expected = f"expected at most {self._settings.max_body_bytes} bytes"
            return Fault(Kind.BODY_TOO_LARGE, f"body: {expected}")
        if len(self._exchanges) >= self._settings.max_requests:
            return Fault(Kind.QUEUE_FULL, "too many open requests on this VM")
        customer = request.getHeader(headers.CUSTOMER) or ""
        if not 0 < len(customer) <= MAX_CUSTOMER_CHARACTERS or "/" in customer:
            return Fault(
                Kind.BAD_REQUEST,
                f"header {headers.CUSTOMER}: expected 1 to 63 characters without '/'",
            )
        key = request.getHeader(headers.KEY)
        if key is not None and not 0 < len(key) <= MAX_KEY_CHARACTERS:
            return Fault(
                Kind.KEY_MALFORMED,
                f"header {headers.KEY}: expected a UUIDv7 or a key from /v1/keys",
            )
        return None

    def _begin(self, request, listener, request_id, service, call, content):
        key = request.getHeader(headers.KEY)
        origin = exchanges.Origin(
            service, call, request.getHeader(headers.CUSTOMER), key
        )
        exchange = exchanges.Exchange(request_id, content.body, origin)
        exchange.attach(listener)
        self._exchanges.open(exchange)
        gone = request.notifyFinish()
        gone.addErrback(lambda _: self._drop_listener(request_id, listener))
        self._post.send(
            messages.CallReceived(
                request_id=request_id,
                service=service,
                call=call,
                customer=request.getHeader(headers.CUSTOMER),
                content=content.fingerprint,
                prefix=content.prefix,
                prompt_tokens=content.prompt_tokens,
                max_tokens=content.body.max_tokens,
                key=key,
                key_issued_ms=bodies.read_issue_time(key) if key else None,
                forwarded=request.getHeader(headers.FORWARDED) is not None,
            )
        )

    def _drop_listener(self, request_id, listener):
        listener.is_gone = True
        exchange = self._exchanges.find(request_id)
        if exchange is None or listener not in exchange.listeners:
            return
        exchange.listeners.remove(listener)
        if not exchange.listeners:
            self._post.send(messages.CallerGone(request_id))
            if not exchange.is_kept:
                self._exchanges.close(request_id)

    def _relay(self, chunk):
        exchange = self._exchanges.find(chunk.request_id)
        if exchange is not None:
            exchange.write(chunk)

    def _complete(self, effect):
        exchange = self._exchanges.close(effect.request_id)
        if exchange is None:
            return
        exchange.finish()
        if effect.keep:
            self._exchanges.keep(exchange)

    def _refuse(self, effect):
        exchange = self._exchanges.close(effect.request_id)
        if exchange is None:
            return
        problem = problems.build_problem(effect.request_id, effect.kind, effect.ran)
        for listener in exchange.listeners:
            listener.fail(problem)
        exchange.listeners.clear()

    def _join(self, effect):
        copy = self._exchanges.close(effect.request_id)
        first = self._exchanges.find(effect.first)
        if copy is None:
            return
        for listener in copy.listeners:
            if first is not None:
                first.attach(listener)
                continue
            problem = problems.build_problem(
                effect.request_id, Kind.ALREADY_RAN, exceptions.Ran.YES
            )
            listener.fail(problem)

    def _forward(self, effect):
        exchange = self._exchanges.find(effect.request_id)
        if exchange is None:
            return
        handover = handovers.Handover(exchange, effect, self._exchanges.close)
        self._forwarder(handover)

    def _forget(self, effect):
        self._exchanges.forget(effect.request_id)

    def _ping(self):
        for exchange in self._exchanges.list_open():
            if exchange.content_type == listeners.STREAM_TYPE:
                for listener in list(exchange.listeners):
                    listener.write(PING, listeners.STREAM_TYPE)


class Fault(msgspec.Struct, frozen=True):
    """A fault of a call that is found before the scheduler sees it.

    :param kind: kind of error.
    :param detail: place and expected value.
    """

    kind: exceptions.ErrorKind
    detail: str


def wait_for_end(request):
    """Tells the router that the request is finished elsewhere.

    :param request: Twisted web request.
    :return: deferred that never fires by itself.
    """
    return request.notifyFinish().addBoth(lambda _: None)
