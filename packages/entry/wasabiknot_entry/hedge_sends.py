"""The second send of a request, from its start until it has won, lost or failed."""

import enum

from wasabiknot_entry import send_attempts, send_records
from wasabiknot_kernel import events, hedging, outcomes

Outcome = outcomes.Outcome
# Time until a timer looks again that has found bytes which are not read yet.
RECHECK_S = 0.02
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


class Hedge:
    """The second send of a request; becomes its only one if it wins.

    :param shared: ``hedges.Hedges``.
    :param watch: ``hedges.SendWatch`` on the first send.
    :param flow: ``flows.Flow``.
    :param assignment: ``assignments.Assignment``.
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
