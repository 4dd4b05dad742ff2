"""Second sends of requests whose first send takes unusually long.

``hedging`` decides on them. The first response wins; until then nothing of the hedge
reaches the caller, and after that nothing of the other send.
"""

import enum

from twisted.web import http

from wasabiknot_entry import journal, send_attempts, send_records
from wasabiknot_kernel import dispatch, events, hedging, outcomes, send_durations

Outcome = outcomes.Outcome
# Delay beyond which a timer of this module has fired late. The response may then be
# among the bytes that the event loop has not read yet.
MAX_LATENESS_S = 0.05
# Time until such a timer looks again.
RECHECK_S = 0.02
# Reasons to send no hedge that the kernel doesn't know.
STOPPING = "entry stops"
UNREACHED = "no server answers"
# Reasons of the end of a hedge, for the log.
FIRST_EVENT = "first event"
WHOLE_RESPONSE = "whole response"
FIRST_FAILED = "first send failed"
OVERLAP_ENDED = "two servers for too long"
OTHER_ANSWERED = "first send answered"
REQUEST_ENDED = "request ended"


class Step(enum.Enum):
    """What becomes of hedges. The values appear in metrics."""

    SENT = "sent"
    WON = "won"
    LOST = "lost"
    FAILED = "failed"
    WITHHELD = "withheld"


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
        """Whether the entry has just gone on after a pause."""
        return self._deployment.is_held

    def decide(self, flow):
        """Decides whether a request is sent to another backend server as well.

        :param flow: ``flows.Flow``.
        :return: ``dispatch.Assignment`` or ``dispatch.Stay``.
        """
        service = flow.ticket.service
        if self.gateway.is_stopping:
            return dispatch.Stay(STOPPING)
        if self._deployment.paths.is_unreached(service):
            return dispatch.Stay(UNREACHED)
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

        :param step: ``Step``.
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

        :param assignment: ``dispatch.Assignment``.
        """
        # A send that is left as its server is silent has taken at least this long.
        self._add_sample()
        self._stop()
        ticket = assignment.ticket
        knowledge = self._shared.hedging
        is_watched = knowledge.is_on and self._hedge is None
        if not is_watched or not hedging.may_be_hedged(ticket):
            return
        self._sent_s = self._reactor.seconds()
        send_class = send_durations.classify(ticket, assignment.server, self._sent_s)
        self._expectation = send_durations.Expectation(send_class, assignment.score_ms)
        delay_s = knowledge.find_delay_s(ticket, self._expectation)
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
            self._call_later(RECHECK_S)
            return
        if self._flow.request.channel.has_caller_left():
            self._flow.handle_disconnect()
            return
        decision = self._shared.decide(self._flow)
        if isinstance(decision, dispatch.Assignment):
            self._send(decision)
            return
        event = events.Event.HEDGE_WITHHELD
        ticket = self._flow.ticket
        self._shared.record(Step.WITHHELD, event, ticket, reason=decision.reason)

    def _send(self, assignment):
        ticket = assignment.ticket
        ticket.sends += 1
        self._shared.record(
            Step.SENT,
            events.Event.HEDGE_SENT,
            ticket,
            server=assignment.server.server_id,
            send=ticket.sends,
            after_ms=round((self._reactor.seconds() - self._sent_s) * 1_000),
            score_ms=round(assignment.score_ms),
        )
        self._hedge = Hedge(self._shared, self, self._flow, assignment)
        self._hedge.start()

    def drop_hedge(self):
        """Forgets the hedge, which has ended or is the only send from now on."""
        self._hedge = None

    def record_win(self):
        """Records that the hedge replaces the send that is watched."""
        # It has taken at least this long.
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
        self.cancel(OTHER_ANSWERED)

    def take_over(self):
        """Lets the hedge replace a send that has failed.

        :return: ``False`` if there is no hedge.
        """
        self._stop()
        if self._hedge is None:
            return False
        self._hedge.win(FIRST_FAILED)
        return True

    def cancel(self, reason=REQUEST_ENDED):
        """Cancels the hedge, and stops to watch.

        :param reason: short text for the log.
        """
        self._stop()
        hedge, self._hedge = self._hedge, None
        if hedge is not None:
            hedge.lose(reason)


class Hedge:
    """The second send of a request; becomes its only one if it wins.

    :param shared: ``Hedges``.
    :param watch: ``SendWatch`` on the first send.
    :param flow: ``flows.Flow``.
    :param assignment: ``dispatch.Assignment``.
    """

    def __init__(self, shared, watch, flow, assignment):
        self._shared = shared
        self._gateway = shared.gateway
        self._reactor = shared.gateway.reactor
        self._watch = watch
        self._flow = flow
        self._assignment = assignment
        self._attempt = None
        self._sent_s = self._reactor.seconds()
        self._overlap_timer = None
        self._is_winner = False
        self.is_silent = False

    def start(self):
        """Sends the request."""
        self._attempt = send_attempts.SendAttempt(
            self._reactor,
            self._gateway.pool,
            self._assignment,
            self._build_request,
            self,
        )

    def _build_request(self):
        if not self._is_winner and self._flow.ticket.route.is_stream:
            self._wait_for_overlap(hedging.MAX_STREAM_OVERLAP_S)
        return self._flow.build_server_request(self._assignment.server)

    def _wait_for_overlap(self, delay_s):
        self._overlap_timer = self._reactor.callLater(delay_s, self._end_overlap)

    def _end_overlap(self):
        self._overlap_timer = None
        if self._flow.has_input:
            self._wait_for_overlap(RECHECK_S)
            return
        self._gateway.run_step(self._flow.request, self.win, OVERLAP_ENDED)

    def _stop(self):
        if self._overlap_timer is not None and self._overlap_timer.active():
            self._overlap_timer.cancel()
        self._overlap_timer = None

    def win(self, reason):
        """Replaces the first send, which is cancelled if it has not ended.

        :param reason: short text for the log.
        """
        self._stop()
        self._is_winner = True
        self._watch.record_win()
        flow = self._flow
        replaced = flow.adopt(self._assignment, self._attempt, self._sent_s)
        if replaced is not None:
            assignment, attempt = replaced
            send_records.cancel(self._gateway, flow.ticket, assignment.server, attempt)
        self._record_end(Step.WON, events.Event.HEDGE_WON, reason)

    def lose(self, reason):
        """Cancels the hedge.

        :param reason: short text for the log.
        """
        self._stop()
        send_records.cancel(
            self._gateway, self._flow.ticket, self._assignment.server, self._attempt
        )
        self._record_end(Step.LOST, events.Event.HEDGE_LOST, reason)

    def _record_end(self, step, event, reason):
        self._shared.record(
            step,
            event,
            self._flow.ticket,
            server=self._assignment.server.server_id,
            took_ms=round((self._reactor.seconds() - self._sent_s) * 1_000),
            reason=reason,
        )
        # The slot that is free now may be what another request waits for.
        service = self._flow.ticket.service
        self._reactor.callLater(0, self._gateway.dispatch_waiting, service)

    def _handle(self, step, *arguments):
        return self._gateway.run_step(self._flow.request, step, *arguments)

    def handle_head(self, head):
        """Records what the backend server states about itself.

        :param head: ``platform_headers.ResponseHead``.
        """
        if self._is_winner:
            self._flow.handle_head(head)
        else:
            self._handle(self._record_head, head)

    def _record_head(self, head):
        server = self._assignment.server
        is_new = self._attempt.is_new_connection
        self.is_silent = False
        self._gateway.record_answer(server, is_new, self._reactor.seconds())
        self._gateway.record_statement(server, head, self._sent_s)

    def handle_event(self, event, head):
        """Relays one event of a streamed response; the first one wins.

        :param event: ``eventstreams.Event``.
        :param head: ``platform_headers.ResponseHead`` of the response.
        :return: ``False`` if an event is missing before this one.
        """
        if not self._is_winner:
            self._handle(self.win, FIRST_EVENT)
        return self._flow.handle_event(event, head)

    def handle_silence(self, silent_s):
        """Records that the backend server is silent.

        :param silent_s: time since the send or the last event, in seconds.
        :return: whether the request goes on at another server.
        """
        if self._is_winner:
            return self._flow.handle_silence(silent_s)
        self.is_silent = True
        self._assignment.server.record_silence(self._reactor.seconds() - silent_s)
        return False

    def handle_failure(self, failure):
        """Handles a failure to send the request.

        :param failure: Twisted failure.
        """
        self._flow.handle_failure(failure)

    def handle_result(self, result):
        """Handles the result; only a whole response counts for the request.

        :param result: ``send_attempts.Result``.
        """
        if not self._is_winner and result.outcome is Outcome.COMPLETE:
            self._handle(self.win, WHOLE_RESPONSE)
        if self._is_winner:
            self._flow.handle_result(result)
        else:
            self._handle(self._fail, result)

    def _fail(self, result):
        self._stop()
        self._watch.drop_hedge()
        ticket = self._flow.ticket
        server = self._assignment.server
        send = send_records.Send(ticket, server, self._sent_s)
        send_records.record_result(self._gateway, send, result)
        reason = result.outcome.value
        self._record_end(Step.FAILED, events.Event.HEDGE_FAILED, reason)
