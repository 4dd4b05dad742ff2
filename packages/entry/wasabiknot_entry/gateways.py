"""Accepts callers' requests, admits them and tracks them to the final response."""

import math

import xxhash
from twisted.internet import error
from twisted.python import failure
from twisted.web import http

from wasabiknot_entry import (
    buffers,
    caller_bodies,
    caller_requests,
    channels,
    connections,
    error_responses,
    eventloops,
    flows,
    hedges,
    inputs,
    journal,
    liveness,
    peer_handovers,
    pools,
    probes,
    relays,
)
from wasabiknot_kernel import (
    arrivals,
    assignments,
    events,
    exceptions,
    outcomes,
    pauses,
    regions,
    routes,
    stops,
)
from wasabiknot_platform import headers as platform_headers

Kind = exceptions.ErrorKind
Outcome = outcomes.Outcome

# Outcomes of requests that were sent and got no complete response.
LOST_OUTCOMES = (Outcome.RESPONSE_LOST, Outcome.ENDLESS, Outcome.TIMED_OUT)
SUCCESS_END = http.MULTIPLE_CHOICE
# Timeout of a request whose caller sends no deadline.
DEFAULT_TIMEOUT_MS = 30_000.0
# Part of the caller's timeout that is reserved for returning the response.
RESPONSE_MARGIN_S = 0.015
# Interval of the queue checks while requests are waiting.
TICK_INTERVAL_S = 0.025
# Error kinds that say that the request has not run.
NOT_RUN_KINDS = frozenset((Kind.STOPPING, Kind.INTERNAL_ERROR))
INTERNAL_RETRY_AFTER_S = 0.5
# Bounds on the retry time of a request that the event loop read too late. Another entry
# is likely to get the retry.
READ_LATE_RETRY_AFTER_S = (0.1, 0.3)
INTERNAL_ERROR = "unexpected failure"


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


def _find_fault(request, headers):
    # Twisted accepts some requests that the client for backend servers doesn't.
    fault = connections.find_fault(request.method, request.uri, headers)
    if not fault:
        return None
    return error_responses.ErrorResponse(Kind.BAD_REQUEST, 400, None, fault)


class Gateway:
    """Admits requests and owns them until they have their final response.

    :param reactor: Twisted reactor.
    :param rng: random number generator.
    :param deployment: ``deployment_views.DeploymentView``.
    :param metrics: ``request_metrics.RequestMetrics``.
    :param loop_clock: ``eventloops.LoopClock``; one without turns by default.
    :param input_scheduler: ``inputs.InputScheduler``; one of its own if ``None``.
    """

    def __init__(
        self,
        reactor,
        rng,
        deployment,
        metrics,
        loop_clock=None,
        input_scheduler=None,
    ):
        self.reactor = reactor
        self.loop_clock = loop_clock or eventloops.LoopClock(reactor.seconds)
        # Counts callers' bodies and the responses that aren't yet passed on.
        self.buffers = buffers.Budget()
        self.input_scheduler = input_scheduler or inputs.InputScheduler(reactor)
        self.pool = pools.Pool(
            reactor,
            deployment.connect_timeout_s,
            self.buffers,
            liveness.SERVER_SILENCE,
            self.input_scheduler,
            inputs.Source.SERVER,
        )
        # Connections to the peers that requests are handed over to.
        self.relay_pool = pools.Pool(
            reactor,
            deployment.connect_timeout_s,
            self.buffers,
            liveness.SERVER_SILENCE,
            self.input_scheduler,
            inputs.Source.PEER,
        )
        self.member = deployment.member
        self.helpers = deployment.helpers
        self.record_answer = deployment.record_answer
        self.record_path_failure = deployment.record_path_failure
        self._probes = probes.Probes(reactor, self.pool, deployment)
        self.handovers = peer_handovers.Handovers(
            reactor, self.pool, deployment, metrics
        )
        self.hedges = hedges.Hedges(self, deployment, metrics)
        self._body_writers = set()
        self._rng = rng
        self._deployment = deployment
        self._metrics = metrics
        self.record_evidence = deployment.record_evidence
        self.compute_known_age_ms = deployment.compute_known_age_ms
        self._flows = {}
        # Requests whose backend server is silent and that no other one can take yet.
        self.silent_flows = set()
        # Services whose requests at silent servers are being asked.
        self._asked_services = set()
        self._channels = set()
        # Requests that arrived while the entry went on after a pause.
        self._held_requests = set()
        self._stop = None
        self._is_tick_scheduled = False

    def __len__(self):
        return len(self._flows) + len(self._body_writers) + len(self._held_requests)

    def create_factory(self, is_relay=False):
        """Creates the HTTP server for callers, or for peers that hand requests over.

        :param is_relay: whether it serves peers.
        :return: Twisted protocol factory.
        """
        gateway = self

        class Request(caller_requests.CallerRequest):
            pass

        Request.gateway = gateway
        Request.is_taken_over = is_relay

        class Channel(channels.CallerChannel):
            requestFactory = Request

        Channel.gateway = gateway
        factory = http.HTTPFactory(timeout=None)
        factory.protocol = Channel
        factory.log = lambda request: None
        return factory

    def add_channel(self, channel):
        """Adds a caller's connection.

        :param channel: ``channels.CallerChannel``.
        """
        self._channels.add(channel)

    def discard_channel(self, channel):
        """Removes a caller's connection that has ended.

        :param channel: ``channels.CallerChannel``.
        """
        self._channels.discard(channel)

    def check_departures(self):
        """Looks for callers that have left behind requests that aren't read yet."""
        for channel in list(self._channels):
            channel.check_departure()

    def count_idle_close(self):
        """Counts a caller's connection that was closed for being idle."""
        self._metrics.count_idle_close()

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

        :param request: ``caller_requests.CallerRequest``.
        """
        if self._deployment.is_held:
            self._hold(request)
            return
        if self._stop is not None and request.channel is not None:
            request.channel.announce_close()
        self._metrics.observe_read_delay(
            self.reactor.seconds() - request.channel.readable_since_s
        )
        headers = _list_headers(request)
        arrival = _decode_arrival(request, headers)
        body = request.take_body()
        admission = _find_fault(request, headers)
        handover = None
        if admission is None and request.is_taken_over:
            handover = relays.decode_headers(headers)
            headers = relays.strip_headers(headers)
            admission = self.handovers.find_refusal(
                arrival.request_id, request, handover, self._stop is not None
            )
        if admission is None:
            admission = self._admit(arrival, request, body, handover)
        if isinstance(admission, error_responses.ErrorResponse):
            self._record_error(arrival.request_id, admission, None)
            error_responses.write_error(request, admission)
            return
        flow = flows.Flow(self, request, admission, headers, body)
        request.flow = flow
        self._flows[id(admission)] = flow
        disconnected = request.notifyFinish()
        disconnected.addErrback(self._handle_disconnect, flow)
        if admission.is_taken_over:
            self.handovers.record_taken_over()
        else:
            budget = self.get_budget(admission.service)
            budget.record_request(self.reactor.seconds())
        self.submit(flow)

    def _hold(self, request):
        self._held_requests.add(request)
        disconnected = request.notifyFinish()
        disconnected.addErrback(lambda _: self._held_requests.discard(request))
        self.reactor.callLater(pauses.HOLD_S, self._release, request)

    def _release(self, request):
        if request in self._held_requests:
            self._held_requests.discard(request)
            self.run_step(request, self.handle_request, request)

    def run_step(self, request, step, *arguments):
        """Runs a step of a request; if it fails, the request gets an answer.

        :param request: ``caller_requests.CallerRequest``.
        :param step: function.
        :param arguments: arguments of the function.
        :return: what the function returns; ``None`` if it has failed.
        """
        try:
            return step(*arguments)
        except Exception:
            self.end_failed(request, failure.Failure())
            return None

    def end_failed(self, request, reason):
        """Ends a request with a complete response after an unexpected failure.

        A response that has begun is cut; one that is complete isn't touched.

        :param request: ``caller_requests.CallerRequest``.
        :param reason: Twisted failure.
        """
        flow = request.flow
        journal.write(
            events.Event.REQUEST_FAILED,
            request=flow.ticket.request_id if flow else "",
            error=reason.getTraceback(),
        )
        if flow is not None:
            if flow.is_ended and request.startedWriting:
                return
            if not flow.is_ended and self._try_drop(flow):
                return
            self._forget(flow)
        request.answer_failure(_create_failure_response(flow))

    def _try_drop(self, flow):
        try:
            flow.drop(INTERNAL_ERROR, Kind.INTERNAL_ERROR)
        except Exception:
            journal.log_failure(failure.Failure(), "end of a request")
            return False
        return True

    def _forget(self, flow):
        try:
            flow.abandon()
        except Exception:
            journal.log_failure(failure.Failure(), "end of an attempt")
        self.silent_flows.discard(flow)
        if self._flows.pop(id(flow.ticket), None) is not None:
            self.handovers.record_release(flow.ticket)
        self.get_dispatcher(flow.ticket.service).withdraw(flow.ticket)

    def record_refused_body(self, request, error):
        """Records a request that is refused while its body is still arriving.

        :param request: ``caller_requests.CallerRequest``.
        :param error: ``error_responses.ErrorResponse``.
        """
        arrival = _decode_arrival(request, _list_headers(request))
        self._record_error(arrival.request_id, error, None)

    def write_body(self, request, request_id, body):
        """Writes the body of a response at the caller's pace and finishes it.

        :param request: ``caller_requests.CallerRequest``, whose head is written.
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

    def _admit(self, arrival, request, body, handover=None):
        deployment = self._deployment
        now_s = self.reactor.seconds()
        if not deployment.is_ready:
            return error_responses.ErrorResponse(
                Kind.NOT_READY, 503, 0.5, "no configuration yet"
            )
        if self._stop is not None and now_s >= self._stop.accept_until_s:
            return _create_stop_refusal()
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
        if handover is not None:
            route = handover.limit_attempts(route)
        ticket = self._create_ticket(arrival, route, customer, request, body, now_s)
        ticket.is_taken_over = handover is not None
        ticket.is_begun = handover is not None and handover.is_begun
        if now_s + flows.MIN_SEND_S >= ticket.deadline_s:
            retry_after_s = self._rng.uniform(*READ_LATE_RETRY_AFTER_S)
            reason = f"read {now_s - ticket.arrived_s:.2f} s late"
            return error_responses.ErrorResponse(
                Kind.QUEUE_FULL, 503, retry_after_s, reason
            )
        if not self._can_finish(ticket, now_s):
            return _create_stop_refusal()
        refused_key = deployment.crashes.find_refused(ticket, now_s)
        if refused_key and not deployment.try_start_trial(ticket, now_s):
            refusal = assignments.create_harmful_refusal(ticket, refused_key)
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
        arrived_s = min(now_s, request.channel.readable_since_s)
        name = customer.name if customer else None
        content = xxhash.xxh64(f"{request.uri!r}/{name}/".encode())
        content.update(body)
        return arrivals.Ticket(
            arrival=arrival,
            route=route,
            service=routes.choose_service(route, self._rng),
            customer=name,
            rank=rank,
            arrived_s=arrived_s,
            deadline_s=arrived_s + timeout_ms / 1_000 - RESPONSE_MARGIN_S,
            version=self._deployment.table.version,
            fingerprint=content.hexdigest(),
            allowed_regions=regions.combine(
                route.allowed_regions, customer.allowed_regions if customer else ()
            ),
        )

    def _can_finish(self, ticket, now_s):
        if self._stop is None:
            return True
        longest_s = self.get_dispatcher(ticket.service).estimate_longest_s(ticket)
        return self._stop.can_finish(ticket, longest_s, now_s)

    def _charge(self, ticket, customer, now_s):
        # The entry that has handed a request over has charged it.
        if customer is None or ticket.is_taken_over:
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
        if self._refuse_unfinishable(flow, now_s):
            return
        if self.handovers.try_start(flow, now_s):
            return
        self._apply_decisions(dispatcher.submit(flow.ticket, now_s))
        self._schedule_tick()

    def _hand_over_waiting(self, dispatcher, now_s):
        for ticket in self.handovers.list_due(dispatcher):
            flow = self._flows.get(id(ticket))
            if flow is not None:
                self.run_step(flow.request, self.handovers.try_start, flow, now_s)

    def _refuse_unfinishable(self, flow, now_s):
        # A response that has begun goes on for as long as the entry runs.
        if flow.first_event_s is not None or self._can_finish(flow.ticket, now_s):
            return False
        self._refuse_for_stop(flow)
        return True

    def _refuse_for_stop(self, flow):
        self.fail_request(
            flow,
            Kind.STOPPING,
            caller_requests.STOPPING,
            caller_requests.STOPPING_RETRY_AFTER_S,
        )

    def dispatch_waiting(self, service):
        """Sends the waiting requests of a service for which capacity is free.

        Those that wait at a silent server were first.

        :param service: service name.
        """
        if service in self._asked_services:
            # A request has moved; the others follow, and then those that wait.
            return
        self._ask_silent(service)
        dispatcher = self.get_dispatcher(service)
        if len(dispatcher):
            self._run_queue_step(self._send_waiting, dispatcher)

    def _ask_silent(self, service):
        self._asked_services.add(service)
        try:
            for flow in self._list_silent(service):
                flow.check_silence()
        finally:
            self._asked_services.discard(service)

    def _send_waiting(self, dispatcher):
        if self._deployment.is_held:
            return
        self._apply_decisions(dispatcher.dispatch_waiting(self.reactor.seconds()))

    def _run_queue_step(self, step, dispatcher):
        # A failure may be due to any of the queued requests, so all of them end.
        try:
            step(dispatcher)
        except Exception:
            reason = failure.Failure()
            for ticket in dispatcher.list_waiting():
                self.end_failed(self._flows[id(ticket)].request, reason)

    def _list_silent(self, service):
        flows = [item for item in self.silent_flows if item.ticket.service == service]
        flows.sort(key=lambda item: (item.ticket.rank, item.ticket.arrived_s))
        return flows

    def tick(self):
        """Expires waiting requests and sends those for which capacity is free."""
        self._is_tick_scheduled = False
        for dispatcher in self._deployment.list_dispatchers():
            if len(dispatcher):
                self._run_queue_step(self._check_queue, dispatcher)
        self._schedule_tick()

    def _check_queue(self, dispatcher):
        now_s = self.reactor.seconds()
        self._refuse_waiting_unfinishable(dispatcher, now_s)
        self._hand_over_waiting(dispatcher, now_s)
        self._apply_decisions(dispatcher.refuse_expired(now_s))
        self.dispatch_waiting(dispatcher.service)

    def _refuse_waiting_unfinishable(self, dispatcher, now_s):
        if self._stop is None:
            return
        for ticket in dispatcher.list_waiting():
            self._refuse_unfinishable(self._flows[id(ticket)], now_s)

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
            if flow is not None and not flow.is_ended:
                self.run_step(flow.request, self._apply_decision, flow, decision)

    def _apply_decision(self, flow, decision):
        if isinstance(decision, assignments.Assignment):
            now_s = self.reactor.seconds()
            if not self.handovers.try_divert(flow, decision, now_s):
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
            if kind in NOT_RUN_KINDS:
                kind = Kind.OUTCOME_UNKNOWN
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
            known_ms=self._deployment.compute_known_age_ms(),
        )
        self._metrics.count_error_response(error)

    def finish_request(self, flow, ended, phase):
        """Removes a request that has its final response or was abandoned.

        :param flow: ``flows.Flow``.
        :param ended: how the request ended, for the log and the metrics.
        :param phase: how far it was when its caller left, for the log.
        """
        ticket = flow.ticket
        self.get_dispatcher(ticket.service).withdraw(ticket)
        if self._flows.pop(id(ticket), None) is not None:
            self.handovers.record_release(ticket)
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
            phase=phase,
            read_delay_ms=round(flow.read_delay_s * 1_000),
        )

    def count_departure(self, phase):
        """Counts a request whose caller left before its response.

        :param phase: how far it was.
        """
        self._metrics.count_departure(phase)

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
        if result.outcome is Outcome.WITHDRAWN:
            self._metrics.count_attempt(result.outcome)
            return
        if result.is_refused or result.is_connection_lost:
            self._deployment.record_broken_connection(server, now_s)
        if _is_path_failure(result):
            self.record_path_failure(server, result.is_new_connection, now_s)
        if result.outcome is Outcome.UNREACHABLE:
            monitor.record_failed_connection(server, result.is_refused, now_s)
        elif result.outcome in LOST_OUTCOMES:
            monitor.record_loss(ticket, server, now_s)
            if result.outcome is Outcome.RESPONSE_LOST:
                self._check_server(server, now_s)
        elif result.head.is_misdirected:
            monitor.record_replacement(server, now_s)
            server.record_replacement()
        else:
            is_success = (
                result.outcome is Outcome.COMPLETE and result.head.status < SUCCESS_END
            )
            self._deployment.record_response(
                ticket, server, is_success, now_s, result.ends_with_connection
            )
            if result.ends_with_connection:
                self._check_server(server, now_s)
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
        if head.load is None:
            return
        if self._deployment.record_load(server, head.load, now_s):
            pace = round(100 * server.pace.estimate(now_s))
            journal.write(events.Event.PACE_CHANGED, server=server_id, pace=pace)

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

    def check_paths(self):
        """Probes the services whose servers don't answer this entry."""
        self._probes.check()

    def check_connections(self):
        """Checks the connections to servers and peers, idle ones and long requests."""
        self.pool.check()
        self.relay_pool.check()

    def stop(self, accept_s, grace_s=math.inf):
        """Closes connections after their responses and later rejects new requests.

        :param accept_s: seconds for which new requests are still admitted.
        :param grace_s: seconds after which the process is killed.
        """
        self._stop = stops.plan_stop(self.reactor.seconds(), grace_s, accept_s)
        for channel in self._channels:
            channel.announce_close()

    @property
    def is_stopping(self):
        """Whether the graceful stop has begun."""
        return self._stop is not None

    @property
    def is_drained(self):
        """Whether the stop may end: nothing is in flight, or the time is over."""
        now_s = self.reactor.seconds()
        if now_s >= self._stop.end_s:
            return True
        return now_s >= self._stop.accept_until_s and not len(self)

    @property
    def connection_count(self):
        """Number of callers' connections."""
        return len(self._channels)

    def end_requests(self):
        """Ends all requests with a response, as the process ends.

        Queued requests are refused. Of those in flight, only the responses that have
        begun are cut. The connections are closed once everything is written.
        """
        for dispatcher in self._deployment.list_dispatchers():
            for ticket in dispatcher.list_waiting():
                flow = self._flows[id(ticket)]
                self.run_step(flow.request, self._refuse_for_stop, flow)
        for flow in list(self._flows.values()):
            self.run_step(
                flow.request, flow.drop, caller_requests.STOPPING, Kind.STOPPING
            )
        for channel in list(self._channels):
            channel.end()


def _is_path_failure(result):
    if result.outcome is Outcome.UNREACHABLE:
        return True
    return result.head is None and result.outcome in LOST_OUTCOMES


def _create_stop_refusal():
    return error_responses.ErrorResponse(
        Kind.STOPPING,
        503,
        caller_requests.STOPPING_RETRY_AFTER_S,
        caller_requests.STOPPING,
    )


def _create_failure_response(flow):
    if flow is not None and flow.ticket.may_have_run:
        return error_responses.ErrorResponse(
            Kind.OUTCOME_UNKNOWN, 502, None, INTERNAL_ERROR
        )
    return error_responses.ErrorResponse(
        Kind.INTERNAL_ERROR, 503, INTERNAL_RETRY_AFTER_S, INTERNAL_ERROR
    )
