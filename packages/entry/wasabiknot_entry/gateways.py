"""The task that takes callers' requests and brings them to their final answer."""

import xxhash
from twisted.web import http

from wasabiknot_entry import answers, connections, flows, journal
from wasabiknot_kernel import (
    arrivals,
    crashes,
    dispatch,
    events,
    exceptions,
    outcomes,
    routes,
)
from wasabiknot_platform import headers as platform_headers

Kind = exceptions.ErrorKind
Outcome = outcomes.Outcome

# Time allowed to a request whose caller states none.
DEFAULT_WAIT_MS = 30_000.0
# Taken off the caller's time, for the way back.
ANSWER_MARGIN_S = 0.015
# Time between looks at requests that wait.
TICK_S = 0.025
# Idle connections are kept a little longer than callers may rely on.
IDLE_MARGIN_S = 2.0


def _measure_ms(start_s, end_s):
    return None if end_s is None else round((end_s - start_s) * 1_000)


class CallerRequest(http.Request):
    """A caller's request, read whole before it is decided on."""

    gateway = None

    def process(self):
        """Hands the request to the gateway."""
        self.gateway.take(self)


class Gateway:
    """Lets requests in and owns them until their final answer.

    :param reactor: Twisted reactor.
    :param rng: random numbers.
    :param scheduler: ``schedules.Schedule``, the shared state of decisions.
    :param metrics: ``gauges.Gauges``.
    """

    def __init__(self, reactor, rng, scheduler, metrics):
        self.reactor = reactor
        self.pool = connections.Pool(reactor, scheduler.connect_timeout_s)
        self._rng = rng
        self._scheduler = scheduler
        self._metrics = metrics
        self.record_evidence = scheduler.record_evidence
        self._flows = {}
        self._channels = set()
        self.is_stopping = False
        self._is_tick_planned = False
        self._refuse_from_s = None

    def __len__(self):
        return len(self._flows)

    def create_factory(self):
        """Creates the server side for callers.

        :return: a Twisted protocol factory.
        """
        gateway = self

        class Request(CallerRequest):
            pass

        Request.gateway = gateway

        class Channel(http.HTTPChannel):
            requestFactory = Request

            def connectionMade(self):  # noqa: N802
                self.timeOut = gateway.limits.idle_ms / 1_000 + IDLE_MARGIN_S
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
        """Bounds on callers, of the configuration in force."""
        table = self._scheduler.table
        return table.configuration.limits if table else routes.Limits()

    def get_dispatcher(self, service):
        """Finds the dispatcher of a service.

        :param service: its name.
        :return: ``dispatch.Dispatcher``.
        """
        return self._scheduler.get_dispatcher(service)

    def get_budget(self, service):
        """Finds the retry budget of a service.

        :param service: its name.
        :return: ``budgets.RetryBudget``.
        """
        return self._scheduler.get_budget(service)

    # Arrival

    def take(self, request):
        """Takes a request that was read whole.

        :param request: ``CallerRequest``.
        """
        if self.is_stopping and request.channel is not None:
            request.channel.persistent = False
            request.setHeader(b"connection", b"close")
        fields = tuple(
            (name.lower(), value)
            for name, values in request.requestHeaders.getAllRawHeaders()
            for value in values
        )
        host = request.getHeader(b"host") or b""
        arrival = platform_headers.decode_arrival(
            fields, host.decode("latin-1"), request.uri.decode("latin-1")
        )
        body = request.content.read()
        admitted = self._admit(arrival, request, body)
        if isinstance(admitted, answers.Answer):
            self._note_answer(arrival.request_id, admitted, None)
            answers.write_answer(request, admitted)
            return
        flow = flows.Flow(self, request, admitted, fields, body)
        self._flows[id(admitted)] = flow
        gone = request.notifyFinish()
        gone.addErrback(self._note_gone, flow)
        self.get_budget(admitted.service).record_request(self.reactor.seconds())
        self.submit(flow)

    def _note_gone(self, _, flow):
        flow.leave()

    def _admit(self, arrival, request, body):
        scheduler = self._scheduler
        now_s = self.reactor.seconds()
        if not scheduler.is_ready:
            return answers.Answer(Kind.NOT_READY, 503, 0.5, "no configuration yet")
        if self._refuse_from_s is not None and now_s >= self._refuse_from_s:
            return answers.Answer(Kind.STOPPING, 503, 0.2, "shutting down")
        table = scheduler.table
        route = table.find_route(arrival.host, arrival.path)
        if route is None:
            return answers.Answer(Kind.UNKNOWN_CALL, 404, None, "no route")
        customer = None
        if table.has_customers and not route.is_public:
            customer = table.find_customer(arrival.key)
            if customer is None:
                return answers.Answer(Kind.KEY_UNKNOWN, 401, None, "unknown key")
        if not arrival.request_id:
            return answers.Answer(Kind.BAD_REQUEST, 400, None, "no request id")
        if len(body) > self.limits.body_bytes:
            return answers.Answer(Kind.BODY_TOO_LARGE, 413, None, "body too large")
        ticket = self._create_ticket(arrival, route, customer, request, body, now_s)
        if scheduler.crashes.is_refused(ticket.fingerprint, now_s):
            return answers.Answer(
                Kind.QUARANTINED, 503, 10.0, "crashes backend servers"
            )
        return self._charge(ticket, customer, now_s)

    def _create_ticket(self, arrival, route, customer, request, body, now_s):
        wait_ms = min(arrival.deadline_ms or DEFAULT_WAIT_MS, route.timeout_ms)
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
            deadline_s=now_s + wait_ms / 1_000 - ANSWER_MARGIN_S,
            version=self._scheduler.table.version,
            fingerprint=xxhash.xxh64_hexdigest(content),
        )

    def _charge(self, ticket, customer, now_s):
        if customer is None:
            return ticket
        cost = ticket.measure_cost(customer.plain_tokens)
        wait_s = self._scheduler.allowances.charge(customer.name, cost, now_s)
        if wait_s > 0:
            return_s = max(0.1, wait_s) * self._rng.uniform(1.0, 1.3)
            state = self._scheduler.allowances.describe(customer.name)
            reason = f"{customer.name} needs {cost} tokens, {state}"
            return answers.Answer(Kind.OVER_ALLOWANCE, 429, return_s, reason)
        ticket.charge = cost
        return ticket

    # Progress

    def submit(self, flow):
        """Gives a request to the dispatcher of its service.

        :param flow: ``flows.Flow``.
        """
        dispatcher = self.get_dispatcher(flow.ticket.service)
        now_s = self.reactor.seconds()
        self._carry_out(dispatcher.submit(flow.ticket, now_s))
        self._plan_tick()

    def pump(self, service):
        """Sends what finds room at a service.

        :param service: its name.
        """
        dispatcher = self.get_dispatcher(service)
        if len(dispatcher):
            self._carry_out(dispatcher.pump(self.reactor.seconds()))

    def tick(self):
        """Sends what finds room, and ends what has run out of time."""
        self._is_tick_planned = False
        now_s = self.reactor.seconds()
        for dispatcher in self._scheduler.list_dispatchers():
            if len(dispatcher):
                self._carry_out(dispatcher.expire(now_s))
                self._carry_out(dispatcher.pump(now_s))
        self._plan_tick()

    def _plan_tick(self):
        # Only requests that wait need it.
        if self._is_tick_planned:
            return
        if any(len(item) for item in self._scheduler.list_dispatchers()):
            self._is_tick_planned = True
            self.reactor.callLater(TICK_S, self.tick)

    def _carry_out(self, decisions):
        for item in decisions:
            flow = self._flows.get(id(item.ticket))
            if flow is None or flow.is_ended:
                continue
            if isinstance(item, dispatch.Placed):
                flow.send(item)
            else:
                self.answer(flow, item.kind, item.reason, item.return_s)

    # Ends

    def answer(self, flow, kind, reason, return_s=None):
        """Gives a request its final answer.

        :param flow: ``flows.Flow``.
        :param kind: kind of error.
        :param reason: short text for the log.
        :param return_s: seconds until a return is likely to succeed.
        """
        if flow.is_ended:
            return
        if flow.ticket.has_run:
            late = kind is Kind.DEADLINE_EXCEEDED
            status, return_s = (504 if late else 502), None
        else:
            status = answers.STATUSES.get(kind, 503)
            return_s = return_s or self._rng.uniform(0.3, 0.8)
        answer = answers.Answer(kind, status, return_s, reason)
        self._note_answer(flow.ticket.request_id, answer, flow.ticket)
        flow.refuse(answer)

    def _note_answer(self, request_id, answer, ticket):
        journal.write(
            events.Event.REFUSED,
            request=request_id,
            kind=answer.kind.value,
            status=answer.status,
            reason=answer.reason,
            sends=ticket.sends if ticket else 0,
            version=self._scheduler.table.version if self._scheduler.table else 0,
            read_ms=self._scheduler.compute_read_age_ms(),
        )
        self._metrics.count_refused(answer)

    def close(self, flow, ended):
        """Forgets a request that has its final answer.

        :param flow: ``flows.Flow``.
        :param ended: how it ended.
        """
        ticket = flow.ticket
        self.get_dispatcher(ticket.service).withdraw(ticket)
        self._flows.pop(id(ticket), None)
        if ticket.charge and not ticket.has_run and not ticket.sends:
            self._scheduler.allowances.refund(ticket.customer, ticket.charge)
        now_s = self.reactor.seconds()
        self._metrics.observe(ticket, ended, now_s - ticket.arrived_s)
        journal.write(
            events.Event.ENDED,
            request=ticket.request_id,
            route=ticket.route.name,
            ended=ended,
            sends=ticket.sends,
            total_ms=round((now_s - ticket.arrived_s) * 1_000),
            first_ms=_measure_ms(ticket.arrived_s, flow.first_s),
            events=flow.events,
        )

    def note_first(self, flow):
        """Notes the first event or the head of an answer.

        :param flow: ``flows.Flow``.
        """
        ticket = flow.ticket
        self._metrics.observe_first(ticket, self.reactor.seconds() - ticket.arrived_s)

    def note_send(self, ticket, server, result, now_s):
        """Notes how a send ended.

        :param ticket: ``arrivals.Ticket``.
        :param server: ``servers.Server``.
        :param result: ``sendings.Result``.
        :param now_s: present time.
        """
        if result.outcome is Outcome.LOST and result.detail == "reset":
            registration = server.registration
            start = f"{server.server_id}/{registration.born_ms}"
            self._scheduler.record_lost_answer(
                crashes.Crash(ticket.fingerprint, start), server, now_s
            )
        elif result.outcome is Outcome.UNREACHED:
            self._scheduler.record_refused_connection(server.server_id, now_s)
        self._metrics.count_send(result.outcome)

    # Stop

    def stop(self, notice_s):
        """Closes connections behind their answers, and soon takes nothing new.

        :param notice_s: time for which new requests are still taken.
        """
        self.is_stopping = True
        self._refuse_from_s = self.reactor.seconds() + notice_s

    def close_idle(self):
        """Closes the callers' connections that wait for a request."""
        for channel in list(self._channels):
            if not channel.requests:
                channel.loseConnection()
