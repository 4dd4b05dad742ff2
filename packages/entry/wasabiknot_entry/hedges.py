"""Second sends of requests whose first send takes unusually long.

``hedging`` decides on them. The first response wins; until then nothing of the hedge
reaches the caller, and after that nothing of the other send.
"""

from twisted.web import http

from wasabiknot_entry import hedge_sends, journal
from wasabiknot_kernel import assignments, events, hedging, send_durations

# Delay beyond which a timer of this module has fired late. The response may then be
# among the bytes that the event loop has not read yet.
MAX_LATENESS_S = 0.05
# Reasons to send no hedge that the kernel doesn't know.
STOPPING = "entry stops"
UNREACHED = "no server answers"


class Hedges:
    """What all hedges of a gateway share.

    :param gateway: ``gateways.Gateway``.
    :param deployment: ``deployment_views.DeploymentView``.
    :param metrics: ``request_metrics.RequestMetrics``.
    """

    def __init__(self, gateway, deployment, metrics):
        self.gateway = gateway
        self.hedging = deployment.hedging
        self._deployment = deployment
        self._metrics = metrics

    def create_watch(self, flow):
        """Creates the watch on the sends of a request.

        :param flow: ``flows.Flow``.
        :return: ``SendWatch``.
        """
        return SendWatch(self, flow)

    @property
    def is_held(self):
        """Whether the entry has just resumed after a pause and holds its requests."""
        return self._deployment.is_held

    def decide(self, flow):
        """Decides whether a request is sent to another backend server as well.

        :param flow: ``flows.Flow``.
        :return: ``assignments.Assignment`` or ``assignments.Stay``.
        """
        service = flow.ticket.service
        if self.gateway.is_stopping:
            return assignments.Stay(STOPPING)
        if self._deployment.paths.is_unreached(service):
            return assignments.Stay(UNREACHED)
        now_s = self.gateway.reactor.seconds()
        return self.hedging.decide(
            flow.ticket,
            flow.dispatcher,
            self.gateway.get_budget(service),
            flow.has_time(now_s),
            now_s,
        )

    def record(self, step, event, ticket, **fields):
        """Logs and counts what becomes of a hedge.

        :param step: ``hedge_sends.Step``.
        :param event: ``events.Event``.
        :param ticket: ``arrivals.Ticket``.
        :param fields: further fields of the log event.
        """
        journal.write(event, request=ticket.request_id, **fields)
        self._metrics.count_hedge(step.value, fields.get("reason", ""))


class SendWatch:
    """Watches a send until its response, and sends a hedge if that takes too long.

    :param shared: ``Hedges``.
    :param flow: ``flows.Flow``.
    """

    def __init__(self, shared, flow):
        self._shared = shared
        self._flow = flow
        self._reactor = shared.gateway.reactor
        self._expectation = None
        self._sent_s = 0.0
        self._due_s = 0.0
        self._timer = None
        self._hedge = None

    def start(self, assignment):
        """Starts to watch a send.

        :param assignment: ``assignments.Assignment``.
        """
        # A send that is abandoned because its server is silent took at least this long.
        self._add_sample()
        self._stop()
        ticket = assignment.ticket
        decisions = self._shared.hedging
        is_watched = decisions.is_on and self._hedge is None
        if not is_watched or not hedging.may_be_hedged(ticket):
            return
        self._sent_s = self._reactor.seconds()
        send_class = send_durations.classify(ticket, assignment.server, self._sent_s)
        self._expectation = send_durations.Expectation(send_class, assignment.score_ms)
        delay_s = decisions.find_delay_s(ticket, self._expectation)
        if delay_s is not None:
            self._call_later(delay_s)

    def _call_later(self, delay_s):
        self._due_s = self._reactor.seconds() + delay_s
        self._timer = self._reactor.callLater(delay_s, self._act)

    def _stop(self):
        self._expectation = None
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def record_sent(self):
        """Records that the request is written to a connection."""
        self._shared.hedging.record_send()

    def _add_sample(self):
        if self._expectation is not None:
            duration_s = self._reactor.seconds() - self._sent_s
            self._shared.hedging.durations.add(self._expectation, duration_s)

    def _act(self):
        self._timer = None
        self._shared.gateway.run_step(self._flow.request, self._consider)

    def _consider(self):
        lateness_s = self._reactor.seconds() - self._due_s
        is_late = lateness_s > MAX_LATENESS_S or self._flow.has_input
        if is_late or self._shared.is_held:
            self._call_later(hedge_sends.RECHECK_S)
            return
        if self._flow.request.channel.has_caller_left():
            self._flow.handle_disconnect()
            return
        decision = self._shared.decide(self._flow)
        if isinstance(decision, assignments.Assignment):
            self._send(decision)
            return
        event = events.Event.HEDGE_WITHHELD
        ticket = self._flow.ticket
        self._shared.record(
            hedge_sends.Step.WITHHELD, event, ticket, reason=decision.reason
        )

    def _send(self, assignment):
        ticket = assignment.ticket
        ticket.sends += 1
        self._shared.record(
            hedge_sends.Step.SENT,
            events.Event.HEDGE_SENT,
            ticket,
            server=assignment.server.server_id,
            send=ticket.sends,
            after_ms=round((self._reactor.seconds() - self._sent_s) * 1_000),
            score_ms=round(assignment.score_ms),
        )
        self._hedge = hedge_sends.Hedge(self._shared, self, self._flow, assignment)
        self._hedge.start()

    def drop_hedge(self):
        """Forgets the hedge, which has ended or is the only send from now on."""
        self._hedge = None

    def record_win(self):
        """Records that the hedge replaces the send that is watched."""
        # The send that is replaced has taken at least this long.
        self._add_sample()
        self._stop()
        self._hedge = None

    @property
    def is_hedged(self):
        """Whether a hedge is in flight whose backend server isn't silent as well."""
        return self._hedge is not None and not self._hedge.is_silent

    def record_response(self, status=http.OK):
        """Records that the send has got its response, or its first event.

        :param status: status of the response.
        """
        if status < http.MULTIPLE_CHOICE:
            self._add_sample()
        self.cancel(hedge_sends.OTHER_ANSWERED)

    def take_over(self):
        """Lets the hedge replace a send that has failed.

        :return: ``False`` if there is no hedge.
        """
        self._stop()
        if self._hedge is None:
            return False
        self._hedge.win(hedge_sends.FIRST_FAILED)
        return True

    def cancel(self, reason=hedge_sends.REQUEST_ENDED):
        """Cancels the hedge, and stops to watch.

        :param reason: short text for the log.
        """
        self._stop()
        hedge, self._hedge = self._hedge, None
        if hedge is not None:
            hedge.lose(reason)
