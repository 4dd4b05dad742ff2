"""Accepts callers' requests, admits them and tracks them to the final response."""

import io

import xxhash
from twisted.internet import error
from twisted.web import http

from wasabiknot_entry import (
    buffers,
    caller_bodies,
    connections,
    error_responses,
    flows,
    journal,
)
from wasabiknot_kernel import (
    arrivals,
    dispatch,
    events,
    exceptions,
    outcomes,
    routes,
)
from wasabiknot_platform import headers as platform_headers

Kind = exceptions.ErrorKind
Outcome = outcomes.Outcome

# Outcomes of requests that were sent and got no complete response.
LOST_OUTCOMES = (Outcome.RESPONSE_LOST, Outcome.TIMED_OUT)
CONNECTION_LOSSES = (
    connections.LossReason.RESET.value,
    connections.LossReason.CLOSED.value,
)
SUCCESS_END = http.MULTIPLE_CHOICE
# Timeout of a request whose caller sends no deadline.
DEFAULT_TIMEOUT_MS = 30_000.0
# Part of the caller's timeout that is reserved for returning the response.
RESPONSE_MARGIN_S = 0.015
# Interval of the queue checks while requests are waiting.
TICK_INTERVAL_S = 0.025
# Idle connections stay open longer than the configured timeout, so that a caller
# that relies on the timeout does not send into a connection being closed.
IDLE_TIMEOUT_MARGIN_S = 2.0
# Retry time of a request that is refused because the bodies held are too large.
BUFFERS_FULL_RETRY_AFTER_S = 1.0
BUFFERS_FULL = "bodies held in memory are too large"


def _measure_ms(start_s, end_s):
    return None if end_s is None else round((end_s - start_s) * 1_000)


def _list_headers(request):
    return tuple(
        (name.lower(), value)
        for name, values in request.requestHeaders.getAllRawHeaders()
        for value in values
    )


def _decode_arrival(request, headers):
    host = request.getHeader(b"host") or b""
    return platform_headers.decode_arrival(
        headers, host.decode("latin-1"), request.uri.decode("latin-1")
    )


class CallerRequest(http.Request):
    """A caller's request, which is processed once its body is complete."""

    gateway = None
    flow = None
    received_bytes = 0
    is_refused = False

    def gotLength(self, length):  # noqa: N802
        """Prepares to store the body in memory, where the budget counts it."""
        self.content = io.BytesIO()

    def handleContentChunk(self, data):  # noqa: N802
        """Stores a part of the body, up to the limit of the configuration."""
        if self.is_refused:
            return
        self.received_bytes += len(data)
        max_bytes = self.gateway.limits.body_bytes
        if self.received_bytes > max_bytes:
            reason = f"over {max_bytes} bytes"
            self._refuse(Kind.BODY_TOO_LARGE, 413, None, reason)
            return
        super().handleContentChunk(data)
        self.gateway.buffers.add(self, len(data))

    def _refuse(self, kind, status, retry_after_s, reason):
        error = error_responses.ErrorResponse(kind, status, retry_after_s, reason)
        self.is_refused = True
        self.gateway.buffers.release(self)
        self.content = io.BytesIO()
        self.gateway.record_refused_body(self, error)
        self.channel.transport.write(error_responses.render_error(error))
        self.channel.loseConnection()

    def drop_buffer(self):
        """Ends the request, as buffers hold too much and its body the most."""
        if self.flow is not None:
            self.flow.drop(BUFFERS_FULL)
        elif not self.is_refused:
            kind = Kind.QUEUE_FULL
            self._refuse(kind, 503, BUFFERS_FULL_RETRY_AFTER_S, BUFFERS_FULL)

    def process(self):
        """Passes the request to the gateway."""
        if not self.is_refused:
            self.gateway.handle_request(self)

    def finish(self):
        """Finishes the response; the body isn't needed any more."""
        self.gateway.buffers.release(self)
        super().finish()

    def connectionLost(self, reason):  # noqa: N802
        """Ends the request, as its caller has gone."""
        self.gateway.buffers.release(self)
        super().connectionLost(reason)


class Gateway:
    """Admits requests and owns them until they have their final response.

    :param reactor: Twisted reactor.
    :param rng: random number generator.
    :param deployment: ``edge.DeploymentView``.
    :param metrics: ``request_metrics.RequestMetrics``.
    """

    def __init__(self, reactor, rng, deployment, metrics):
        self.reactor = reactor
        # Counts callers' bodies and the responses that aren't yet passed on.
        self.buffers = buffers.Budget()
        self.pool = connections.Pool(
            reactor, deployment.connect_timeout_s, self.buffers
        )
        self._body_writers = set()
        self._rng = rng
        self._deployment = deployment
        self._metrics = metrics
        self.record_evidence = deployment.record_evidence
        self._flows = {}
        self._channels = set()
        self.is_stopping = False
        self._is_tick_scheduled = False
        self._reject_from_s = None

    def __len__(self):
        return len(self._flows) + len(self._body_writers)

    def create_factory(self):
        """Creates the HTTP server for callers.

        :return: Twisted protocol factory.
        """
        gateway = self

        class Request(CallerRequest):
            pass

        Request.gateway = gateway

        class Channel(http.HTTPChannel):
            requestFactory = Request

            def connectionMade(self):  # noqa: N802
                self.timeOut = gateway.limits.idle_ms / 1_000 + IDLE_TIMEOUT_MARGIN_S
                super().connectionMade()
                gateway._channels.add(self)
                self.transport.setTcpNoDelay(True)

            def connectionLost(self, reason):  # noqa: N802
                gateway._channels.discard(self)
                super().connectionLost(reason)

        factory = http.HTTPFactory(timeout=None)
        factory.protocol = Channel
        factory.log = lambda request: None
        return factory

    @property
    def limits(self):
        """Limits on callers' connections and requests in the active configuration."""
        table = self._deployment.table
        return table.configuration.limits if table else routes.Limits()

    def get_dispatcher(self, service):
        """Returns the dispatcher of a service.

        :param service: service name.
        :return: ``dispatch.Dispatcher``.
        """
        return self._deployment.get_dispatcher(service)

    def get_budget(self, service):
        """Returns the retry budget of a service.

        :param service: service name.
        :return: ``budgets.RetryBudget``.
        """
        return self._deployment.get_budget(service)

    def handle_request(self, request):
        """Admits a complete request and submits it, or responds with an error.

        :param request: ``CallerRequest``.
        """
        if self.is_stopping and request.channel is not None:
            request.channel.persistent = False
            request.setHeader(b"connection", b"close")
        headers = _list_headers(request)
        arrival = _decode_arrival(request, headers)
        body = request.content.read()
        admission = self._admit(arrival, request, body)
        if isinstance(admission, error_responses.ErrorResponse):
            self._record_error(arrival.request_id, admission, None)
            error_responses.write_error(request, admission)
            return
        flow = flows.Flow(self, request, admission, headers, body)
        request.flow = flow
        self._flows[id(admission)] = flow
        disconnected = request.notifyFinish()
        disconnected.addErrback(self._handle_disconnect, flow)
        self.get_budget(admission.service).record_request(self.reactor.seconds())
        self.submit(flow)

    def record_refused_body(self, request, error):
        """Records a request that is refused while its body is still arriving.

        :param request: ``CallerRequest``.
        :param error: ``error_responses.ErrorResponse``.
        """
        arrival = _decode_arrival(request, _list_headers(request))
        self._record_error(arrival.request_id, error, None)

    def write_body(self, request, request_id, body):
        """Writes the body of a response at the caller's pace and finishes it.

        :param request: ``CallerRequest``, whose head is written.
        :param request_id: id of the request.
        :param body: body bytes.
        """
        writer = caller_bodies.BodyWriter(
            request,
            request_id,
            body,
            self.buffers,
            lambda: self._body_writers.discard(writer),
        )
        self._body_writers.add(writer)
        writer.start()

    def _handle_disconnect(self, _, flow):
        flow.handle_disconnect()

    def _admit(self, arrival, request, body):
        deployment = self._deployment
        now_s = self.reactor.seconds()
        if not deployment.is_ready:
            return error_responses.ErrorResponse(
                Kind.NOT_READY, 503, 0.5, "no configuration yet"
            )
        if self._reject_from_s is not None and now_s >= self._reject_from_s:
            return error_responses.ErrorResponse(
                Kind.STOPPING, 503, 0.2, "shutting down"
            )
        table = deployment.table
        route = table.find_route(arrival.host, arrival.path)
        if route is None:
            return error_responses.ErrorResponse(
                Kind.UNKNOWN_CALL, 404, None, "no route"
            )
        customer = None
        if table.has_customers and not route.is_public:
            customer = table.find_customer(arrival.key)
            if customer is None:
                return error_responses.ErrorResponse(
                    Kind.KEY_UNKNOWN, 401, None, "unknown key"
                )
        if not arrival.request_id:
            return error_responses.ErrorResponse(
                Kind.BAD_REQUEST, 400, None, "no request id"
            )
        ticket = self._create_ticket(arrival, route, customer, request, body, now_s)
        is_refused = deployment.crashes.is_refused(ticket.fingerprint, now_s)
        if is_refused and not deployment.try_start_trial(ticket, now_s):
            refusal = dispatch.create_harmful_refusal(ticket)
            return error_responses.ErrorResponse(
                refusal.kind,
                503,
                refusal.retry_after_s,
                refusal.reason,
                ticket.fingerprint,
            )
        return self._charge(ticket, customer, now_s)

    def _create_ticket(self, arrival, route, customer, request, body, now_s):
        timeout_ms = min(arrival.deadline_ms or DEFAULT_TIMEOUT_MS, route.timeout_ms)
        rank = route.rank
        if customer is not None and customer.rank is not None:
            rank = customer.rank
        name = customer.name if customer else None
        content = f"{request.uri!r}/{name}/".encode() + body
        return arrivals.Ticket(
            arrival=arrival,
            route=route,
            service=routes.choose_service(route, self._rng),
            customer=name,
            rank=rank,
            arrived_s=now_s,
            deadline_s=now_s + timeout_ms / 1_000 - RESPONSE_MARGIN_S,
            version=self._deployment.table.version,
            fingerprint=xxhash.xxh64_hexdigest(content),
        )

    def _charge(self, ticket, customer, now_s):
        if customer is None:
            return ticket
        cost = ticket.count_charged_tokens(customer.plain_tokens)
        wait_s = self._deployment.allowances.charge(customer.name, cost, now_s)
        if wait_s > 0:
            retry_after_s = max(0.1, wait_s) * self._rng.uniform(1.0, 1.3)
            state = self._deployment.allowances.describe(customer.name)
            reason = f"{customer.name} needs {cost} tokens, {state}"
            return error_responses.ErrorResponse(
                Kind.OVER_ALLOWANCE, 429, retry_after_s, reason
            )
        ticket.charge = cost
        return ticket

    def submit(self, flow):
        """Submits a request to the dispatcher of its service.

        :param flow: ``flows.Flow``.
        """
        dispatcher = self.get_dispatcher(flow.ticket.service)
        now_s = self.reactor.seconds()
        self._apply_decisions(dispatcher.submit(flow.ticket, now_s))
        self._schedule_tick()

    def dispatch_waiting(self, service):
        """Sends the waiting requests of a service for which capacity is free.

        :param service: service name.
        """
        dispatcher = self.get_dispatcher(service)
        if len(dispatcher):
            self._apply_decisions(dispatcher.dispatch_waiting(self.reactor.seconds()))

    def tick(self):
        """Expires waiting requests and sends those for which capacity is free."""
        self._is_tick_scheduled = False
        now_s = self.reactor.seconds()
        for dispatcher in self._deployment.list_dispatchers():
            if len(dispatcher):
                self._apply_decisions(dispatcher.refuse_expired(now_s))
                self._apply_decisions(dispatcher.dispatch_waiting(now_s))
        self._schedule_tick()

    def _schedule_tick(self):
        # The tick is only needed while requests are waiting.
        if self._is_tick_scheduled:
            return
        if any(len(dispatcher) for dispatcher in self._deployment.list_dispatchers()):
            self._is_tick_scheduled = True
            self.reactor.callLater(TICK_INTERVAL_S, self.tick)

    def _apply_decisions(self, decisions):
        for decision in decisions:
            flow = self._flows.get(id(decision.ticket))
            if flow is None or flow.is_ended:
                continue
            if isinstance(decision, dispatch.Assignment):
                flow.send(decision)
            else:
                self.fail_request(
                    flow, decision.kind, decision.reason, decision.retry_after_s
                )

    def fail_request(self, flow, kind, reason, retry_after_s=None):
        """Ends a request with an error response.

        :param flow: ``flows.Flow``.
        :param kind: error kind.
        :param reason: short text for the log.
        :param retry_after_s: seconds after which a retry is likely to succeed; random
            if ``None``. Not sent if the request may have run.
        """
        if flow.is_ended:
            return
        if flow.ticket.may_have_run:
            is_late = kind is Kind.DEADLINE_EXCEEDED
            status, retry_after_s = (504 if is_late else 502), None
        else:
            status = error_responses.STATUS_BY_KIND.get(kind, 503)
            retry_after_s = retry_after_s or self._rng.uniform(0.3, 0.8)
        error = error_responses.ErrorResponse(kind, status, retry_after_s, reason)
        self._record_error(flow.ticket.request_id, error, flow.ticket)
        flow.send_error(error)

    def _record_error(self, request_id, error, ticket):
        journal.write(
            events.Event.REFUSED,
            request=request_id,
            kind=error.kind.value,
            status=error.status,
            reason=error.reason,
            fingerprint=ticket.fingerprint if ticket else error.fingerprint,
            sends=ticket.sends if ticket else 0,
            version=self._deployment.table.version if self._deployment.table else 0,
            read_ms=self._deployment.compute_read_age_ms(),
        )
        self._metrics.count_error_response(error)

    def finish_request(self, flow, ended):
        """Removes a request that has its final response or was abandoned.

        :param flow: ``flows.Flow``.
        :param ended: how the request ended, for the log and the metrics.
        """
        ticket = flow.ticket
        self.get_dispatcher(ticket.service).withdraw(ticket)
        self._flows.pop(id(ticket), None)
        if ticket.charge and not ticket.may_have_run and not ticket.sends:
            self._deployment.allowances.refund(ticket.customer, ticket.charge)
        now_s = self.reactor.seconds()
        self._metrics.observe_total(ticket, ended, now_s - ticket.arrived_s)
        journal.write(
            events.Event.ENDED,
            request=ticket.request_id,
            route=ticket.route.name,
            ended=ended,
            sends=ticket.sends,
            total_ms=round((now_s - ticket.arrived_s) * 1_000),
            first_ms=_measure_ms(ticket.arrived_s, flow.first_event_s),
            events=flow.event_count,
        )

    def record_first_event(self, flow):
        """Records the time to the first event, or to the head of a plain response.

        :param flow: ``flows.Flow``.
        """
        ticket = flow.ticket
        self._metrics.observe_first_event(
            ticket, self.reactor.seconds() - ticket.arrived_s
        )

    def record_result(self, ticket, server, result, now_s):
        """Records the result of an attempt.

        :param ticket: ``arrivals.Ticket``.
        :param server: ``servers.Server``.
        :param result: ``send_attempts.Result``.
        :param now_s: current reactor time in seconds.
        """
        monitor = self._deployment.crash_monitor
        if result.outcome is Outcome.UNREACHABLE:
            monitor.record_failed_connection(server, result.is_refused, now_s)
        elif result.outcome in LOST_OUTCOMES:
            monitor.record_loss(ticket, server, now_s)
            if result.detail in CONNECTION_LOSSES:
                self._check_server(server, now_s)
        elif result.head.is_misdirected:
            monitor.record_replacement(server, now_s)
            server.record_replacement()
        else:
            is_success = (
                result.outcome is Outcome.COMPLETE and result.head.status < SUCCESS_END
            )
            self._deployment.record_response(ticket, server, is_success, now_s)
        self._metrics.count_attempt(result.outcome)

    def record_cancel(self, ticket, server, now_s):
        """Records that an attempt was cancelled after the request had been sent.

        :param ticket: ``arrivals.Ticket``.
        :param server: ``servers.Server``.
        :param now_s: current reactor time in seconds.
        """
        self._deployment.crash_monitor.record_loss(ticket, server, now_s)

    def record_statement(self, server, head, sent_s):
        """Records what a backend server states about itself in a response.

        :param server: ``servers.Server``.
        :param head: ``platform_headers.ResponseHead``.
        :param sent_s: reactor time in seconds at which the request was sent.
        """
        if head.is_misdirected:
            return
        server_id = server.server_id
        for problem in head.statement.problems:
            journal.write(events.Event.STATEMENT_BAD, server=server_id, problem=problem)
        now_s = self.reactor.seconds()
        self._deployment.record_statement(server, head.statement, sent_s, now_s)

    def record_event(self, ticket, server, now_s):
        """Records an event of a streamed response.

        :param ticket: ``arrivals.Ticket``.
        :param server: ``servers.Server``.
        :param now_s: current reactor time in seconds.
        """
        self._deployment.record_response(ticket, server, False, now_s)

    def _check_server(self, server, now_s):
        # Shows at once whether the server has ended, also without other requests to it.
        if not self._deployment.crash_monitor.should_check(server, now_s):
            return
        connecting = self.pool.connect(server.registration.address)
        connecting.addCallbacks(
            lambda connection: self.pool.release(connection, None),
            self._handle_failed_check,
            errbackArgs=(server,),
        )

    def _handle_failed_check(self, failure, server):
        is_refused = failure.check(error.ConnectionRefusedError) is not None
        now_s = self.reactor.seconds()
        self._deployment.crash_monitor.record_failed_connection(
            server, is_refused, now_s
        )

    def stop(self, accept_s):
        """Closes connections after their responses and later rejects new requests.

        :param accept_s: seconds for which new requests are still admitted.
        """
        self.is_stopping = True
        self._reject_from_s = self.reactor.seconds() + accept_s

    def close_idle(self):
        """Closes the callers' connections that have no request in flight."""
        for channel in list(self._channels):
            if not channel.requests:
                channel.loseConnection()
