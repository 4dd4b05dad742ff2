"""Requests in flight: attempts, relayed responses, retries and timeouts."""

import functools

from wasabiknot_entry import (
    connections,
    error_responses,
    journal,
    relays,
    send_attempts,
    send_records,
)
from wasabiknot_kernel import (
    assignments,
    events,
    exceptions,
    members,
    outcomes,
    prompt_parts,
    releases,
)
from wasabiknot_platform import headers as platform_headers

Kind = exceptions.ErrorKind
Outcome = outcomes.Outcome
Step = outcomes.Step

# Minimum time that must remain before the deadline for a retry.
MIN_SEND_S = 0.02
# Interval in which a response that has begun asks for retry budget.
BUDGET_CHECK_INTERVAL_S = 0.2
# Phase of a request without an attempt, and of one that has ended by itself.
WAITING = "waiting"
ENDED = send_attempts.Phase.ENDED.value


def _answer_failures(step):
    # An exception must not leave the request without an answer.
    @functools.wraps(step)
    def run(self, *arguments):
        return self._gateway.run_step(self.request, step, self, *arguments)

    return run


def _describe_decision(decision):
    if isinstance(decision, assignments.Assignment):
        return decision.server.server_id
    if isinstance(decision, members.Member):
        return decision.name
    return decision.reason


class Flow:
    """One request of a caller, from admission to its final response.

    :param gateway: ``gateways.Gateway`` that owns the request.
    :param request: ``caller_requests.CallerRequest``.
    :param ticket: ``arrivals.Ticket``.
    :param headers: request headers, as pairs of lower-case names and values.
    :param body: request body, as bytes or ``memoryview``.
    """

    def __init__(self, gateway, request, ticket, headers, body):
        self._gateway = gateway
        self._request = request
        self.ticket = ticket
        # Longest time that the request may have waited before it was read, in seconds.
        self.read_delay_s = gateway.reactor.seconds() - request.channel.readable_since_s
        self._headers = headers
        self._body = body
        self._assignment = None
        self._attempt = None
        # The request at a peer, if it was handed over.
        self._handover = None
        self._forwarded_head = None
        # Decision on the silence of the backend server, if it is silent.
        self._silence_decision = None
        self._send_watch = gateway.hedges.create_watch(self)
        self._sent_s = 0.0
        # Time of the send or of the newest event, as the server has it, in seconds.
        self._heard_s = 0.0
        self._received_count = 0
        # Time from the send to the first event.
        self._first_event_s = None
        self.first_event_s = None
        self.last_event_id = ticket.arrival.last_event_id
        self.event_count = 0
        self.is_ended = False
        delay_s = max(0.0, ticket.deadline_s - gateway.reactor.seconds())
        self._timer = gateway.reactor.callLater(delay_s, self._time_out)
        self._budget_timer = None

    @property
    def request(self):
        """The ``caller_requests.CallerRequest``."""
        return self._request

    @property
    def phase(self):
        """How far the request is: "waiting", or the phase of its attempt."""
        if self._attempt is None:
            return WAITING
        return self._attempt.phase.value

    @property
    def has_input(self):
        """Whether received bytes of its attempt aren't handled yet."""
        return self._attempt is not None and self._attempt.has_input

    @property
    def dispatcher(self):
        """The dispatcher of the service that handles the request."""
        return self._gateway.get_dispatcher(self.ticket.service)

    def has_time(self, now_s):
        """Tells whether there is time for a send before the deadline.

        :param now_s: current time, in seconds.
        """
        return now_s + MIN_SEND_S < self.ticket.deadline_s

    def send(self, assignment):
        """Sends the request to a backend server.

        :param assignment: ``assignments.Assignment``.
        """
        self._assignment = assignment
        if not self._start_send():
            return
        ticket = self.ticket
        ticket.sends += 1
        journal.write(
            events.Event.DISPATCHED,
            request=ticket.request_id,
            fingerprint=ticket.fingerprint,
            parts=prompt_parts.describe(ticket.arrival),
            server=assignment.server.server_id,
            send=ticket.sends,
            customer=ticket.customer,
            charge=ticket.charge,
            version=ticket.version,
            known_ms=self._gateway.compute_known_age_ms(),
            running=assignment.server.count_running(),
            waited_ms=round(assignment.waited_s * 1_000),
            score_ms=round(assignment.score_ms),
        )
        self._send_watch.start(assignment)
        self._attempt = send_attempts.SendAttempt(
            self._gateway.reactor,
            self._gateway.pool,
            assignment,
            lambda: self.build_server_request(assignment.server),
            self,
        )

    def adopt(self, assignment, attempt, sent_s):
        """Goes on with another send, the hedge.

        :param assignment: ``assignments.Assignment`` of the hedge.
        :param attempt: its ``send_attempts.SendAttempt``.
        :param sent_s: time at which it was sent, in seconds.
        :return: assignment and attempt so far; ``None`` if that has ended.
        """
        is_replaced = self._attempt is not None
        replaced = (self._assignment, self._attempt) if is_replaced else None
        self._gateway.silent_flows.discard(self)
        self._assignment = assignment
        self._attempt = attempt
        self._reset_send(sent_s)
        return replaced

    def _start_send(self):
        self._silence_decision = None
        if self._request.channel.has_caller_left():
            self.handle_disconnect()
            return False
        self._reset_send(self._gateway.reactor.seconds())
        return True

    def _reset_send(self, sent_s):
        self._silence_decision = None
        self._sent_s = sent_s
        self._heard_s = sent_s
        self._received_count = 0
        self._first_event_s = None

    def _compute_remaining_ms(self):
        return (self.ticket.deadline_s - self._gateway.reactor.seconds()) * 1_000

    def _find_resume_id(self):
        is_resume = self.last_event_id > self.ticket.arrival.last_event_id
        return self.last_event_id if is_resume else 0

    def build_server_request(self, server):
        """Builds the request to a backend server, which is sent at once.

        :param server: ``servers.Server``.
        :return: ``connections.Request``.
        """
        self._send_watch.record_sent()
        headers = platform_headers.build_request_headers(
            self._headers,
            len(self._body),
            self.ticket,
            server.server_id,
            self._compute_remaining_ms(),
            self._find_resume_id(),
        )
        return self._build_request(headers)

    def _build_peer_request(self):
        headers = platform_headers.build_relay_headers(
            self._headers,
            len(self._body),
            self._compute_remaining_ms(),
            self._find_resume_id(),
        )
        headers += relays.build_headers(self._gateway.member, self._handover)
        return self._build_request(headers)

    def _build_request(self, headers):
        if not self._body and self._request.method in (b"POST", b"PUT", b"PATCH"):
            headers.append((b"content-length", b"0"))
        return connections.Request(
            self._request.method,
            self._request.uri,
            tuple(headers),
            self._body,
            self.ticket.request_id,
        )

    def hand_over(self, helper, reason):
        """Hands the request over to a peer, which sends it to a backend server.

        :param helper: ``members.Member`` of the peer.
        :param reason: short text for the log.
        """
        if not self._start_send():
            return
        self._send_watch.cancel()
        gateway = self._gateway
        ticket = self.ticket
        granted = max(1, ticket.route.attempts - ticket.sends)
        ticket.sends += granted
        ticket.handovers += 1
        self._handover = relays.Handover(ticket, helper, granted)
        journal.write(
            events.Event.HANDED_OVER,
            request=ticket.request_id,
            peer=helper.name,
            reason=reason,
            attempts=granted,
            waited_ms=round((self._sent_s - ticket.arrived_s) * 1_000),
        )
        gateway.helpers.record_start(helper.name)
        self._attempt = relays.RelayAttempt(
            gateway.reactor,
            gateway.relay_pool,
            self._handover,
            self._build_peer_request,
            self,
        )

    @_answer_failures
    def handle_head(self, head):
        """Records what the backend server states about itself.

        :param head: ``platform_headers.ResponseHead``.
        """
        if self._handover is not None:
            # The peer has recorded it.
            return
        server = self._assignment.server
        self._gateway.silent_flows.discard(self)
        is_new = self._attempt.is_new_connection
        now_s = self._gateway.reactor.seconds()
        self._gateway.record_answer(server, is_new, now_s)
        self._gateway.record_statement(server, head, self._sent_s)

    @_answer_failures
    def handle_event(self, event, head):
        """Relays one event of a streamed response to the caller.

        Events that the caller already received before a resume are dropped.

        :param event: ``eventstreams.Event``.
        :param head: ``platform_headers.ResponseHead`` of the response.
        :return: ``False`` if an event is missing before this one.
        """
        if self.is_ended:
            return True
        self._received_count += 1
        if self._handover is None:
            self._record_event(self._gateway.reactor.seconds())
        if event.event_id is not None:
            if event.event_id <= self.last_event_id:
                return True
            if self.event_count and event.event_id != self.last_event_id + 1:
                return False
            self.last_event_id = event.event_id
        self._forward_head(head)
        self.event_count += 1
        self.ticket.is_begun = True
        self._request.write(event.data)
        return True

    def _record_event(self, now_s):
        server = self._assignment.server
        self._gateway.silent_flows.discard(self)
        self._silence_decision = None
        self._gateway.record_answer(server, False, now_s)
        self._heard_s = now_s
        if self._first_event_s is None:
            self._first_event_s = now_s - self._sent_s
            self._send_watch.record_response()
        self.dispatcher.record_first_event(self.ticket, server, now_s)
        self.dispatcher.record_progress(
            self.ticket, server, self._received_count, now_s
        )
        self._gateway.record_event(self.ticket, server, now_s)

    @_answer_failures
    def handle_silence(self, silent_s):
        """Looks for another backend server, as the present one is silent.

        :param silent_s: time since the send or the last event, in seconds.
        :return: whether the request goes on at another server, so that the attempt
            must end.
        """
        gateway = self._gateway
        ticket = self.ticket
        now_s = gateway.reactor.seconds()
        previous = self._silence_decision
        self._assignment.server.record_silence(max(self._heard_s, now_s - silent_s))
        if self._send_watch.is_hedged:
            # The hedge is the other send.
            return False
        decision = gateway.handovers.replace_silent_server(
            ticket, self.has_time(now_s), now_s
        )
        self._silence_decision = decision
        is_replaced = not isinstance(decision, assignments.Stay)
        if not is_replaced:
            gateway.silent_flows.add(self)
        if decision != previous:
            journal.write(
                events.Event.SERVER_SILENT,
                request=ticket.request_id,
                server=self._assignment.server.server_id,
                silent_ms=round(silent_s * 1_000),
                step="moved" if is_replaced else "stays",
                reason=_describe_decision(decision),
                events=self._received_count,
                sends=ticket.sends,
                attempts=ticket.route.attempts,
            )
        return is_replaced

    def check_silence(self):
        """Asks again whether another server can take the request, if it is silent."""
        if self in self._gateway.silent_flows:
            self._attempt.check_silence()

    def _forward_head(self, head):
        if self._forwarded_head is not None:
            return
        self._forwarded_head = head
        self.first_event_s = self._gateway.reactor.seconds()
        self._request.setResponseCode(head.status)
        for name, value in head.headers:
            self._request.responseHeaders.addRawHeader(name, value)
        self._gateway.record_first_event(self)
        if self._request.channel is not None:
            self._request.registerProducer(self, True)

    def pauseProducing(self):  # noqa: N802
        """Slows the backend server down to the pace of the caller."""
        if self._attempt is not None:
            self._attempt.pause()

    def resumeProducing(self):  # noqa: N802
        """Continues after the caller has taken what was sent."""
        if self._attempt is not None:
            self._attempt.resume()

    def stopProducing(self):  # noqa: N802
        """Does nothing: ``handle_disconnect`` ends the request."""

    def handle_failure(self, failure):
        """Ends the request after a failure to send it.

        :param failure: Twisted failure.
        """
        self._gateway.end_failed(self.request, failure)

    @_answer_failures
    def handle_result(self, result):
        """Handles the result of an attempt: forwards the response, retries or fails.

        :param result: ``send_attempts.Result``.
        """
        if self._handover is not None:
            self._handle_handover_result(result)
            return
        assignment, self._assignment = self._assignment, None
        self._attempt = None
        gateway = self._gateway
        gateway.silent_flows.discard(self)
        now_s = gateway.reactor.seconds()
        ticket = self.ticket
        if result.outcome is Outcome.UNREACHABLE:
            ticket.unreached += 1
        send = send_records.Send(
            ticket,
            assignment.server,
            self._sent_s,
            self._received_count,
            self._first_event_s,
        )
        send_records.record_result(gateway, send, result)
        if result.outcome in (Outcome.COMPLETE, Outcome.CANCELLED):
            self._send_watch.record_response(result.head.status)
            self._forward_response(result)
        elif isinstance(self._silence_decision, assignments.Assignment):
            self._log_failed_attempt(result, Step.RESEND, result.outcome.value)
            self.send(self._silence_decision)
        elif isinstance(self._silence_decision, members.Member):
            self._log_failed_attempt(result, Step.RESEND, result.outcome.value)
            self.hand_over(self._silence_decision, result.outcome.value)
        elif self._send_watch.take_over():
            self._log_failed_attempt(result, Step.RESEND, "hedged")
        else:
            self._handle_failed_attempt(result, now_s)
        gateway.dispatch_waiting(ticket.service)

    def _handle_handover_result(self, result):
        handover, self._handover = self._handover, None
        self._attempt = None
        gateway = self._gateway
        ticket = self.ticket
        if result.outcome in outcomes.NOT_EXECUTED:
            ticket.sends -= handover.granted
        else:
            ticket.may_have_run = True
        decision = relays.decide_next_step(result, ticket)
        gateway.handovers.record_end(handover, result, decision)
        if decision.step is Step.RESEND:
            gateway.submit(self)
        elif decision.step is Step.FORWARD_RESPONSE:
            self._forward_response(result)
        else:
            gateway.fail_request(
                self, decision.kind, decision.reason, result.retry_after_s
            )

    def _handle_failed_attempt(self, result, now_s):
        ticket = self.ticket
        budget = self._gateway.get_budget(ticket.service)
        decision = outcomes.decide_next_step(
            ticket, result.outcome, now_s, MIN_SEND_S, budget
        )
        if self._waits_for_budget(result, decision):
            if self._budget_timer is None:
                self._log_failed_attempt(result, Step.WAIT_FOR_BUDGET, decision.reason)
            self._budget_timer = self._gateway.reactor.callLater(
                BUDGET_CHECK_INTERVAL_S, self._ask_for_budget, result
            )
            return
        self._log_failed_attempt(result, decision.step, decision.reason)
        if decision.step is Step.RESEND:
            self._gateway.submit(self)
        elif decision.step is Step.FORWARD_RESPONSE and self._may_be_untrue(result):
            reason = f"{result.detail}, though it may have run"
            self._gateway.fail_request(self, Kind.OUTCOME_UNKNOWN, reason)
        elif decision.step is Step.FORWARD_RESPONSE:
            self._forward_response(result)
        else:
            self._gateway.fail_request(self, decision.kind, decision.reason)

    def _may_be_untrue(self, result):
        # The server doesn't state that it hasn't run the request, but its status does.
        return result.head.is_promise and not self.ticket.route.is_repeatable

    def _waits_for_budget(self, result, decision):
        # Its server may be sound: it was left for one that then rejected the request.
        is_rejected = result.outcome is Outcome.REJECTED
        has_no_budget = decision.reason == outcomes.NO_BUDGET
        return is_rejected and has_no_budget and self.ticket.is_begun

    @_answer_failures
    def _ask_for_budget(self, result):
        if not self.is_ended:
            self._handle_failed_attempt(result, self._gateway.reactor.seconds())

    def _log_failed_attempt(self, result, step, reason):
        journal.write(
            events.Event.SEND_ENDED,
            request=self.ticket.request_id,
            outcome=result.outcome.value,
            detail=result.detail,
            step=step.value,
            reason=reason,
        )

    def _forward_response(self, result):
        head = result.head
        if self._forwarded_head is not None and result.outcome is not Outcome.COMPLETE:
            self.abort(result.detail)
            return
        self._forward_head(head)
        self._finish("whole" if result.outcome is Outcome.COMPLETE else "failed")
        if result.body:
            self._gateway.write_body(self._request, self.ticket.request_id, result.body)
        else:
            self._request.finish()

    @_answer_failures
    def _time_out(self):
        if self.is_ended:
            return
        self._cancel_attempt(is_timed_out=True)
        kind = Kind.DEADLINE_EXCEEDED if self.ticket.may_have_run else Kind.QUEUE_FULL
        self._gateway.fail_request(self, kind, "time is over")

    def drop(self, reason, kind=Kind.QUEUE_FULL):
        """Ends the request before its response, for lack of memory or time.

        :param reason: short text for the log.
        :param kind: error kind.
        """
        if self.is_ended:
            return
        self._cancel_attempt(is_timed_out=False)
        self._gateway.fail_request(self, kind, reason)
        self._gateway.dispatch_waiting(self.ticket.service)

    def _release_substitute(self):
        decision, self._silence_decision = self._silence_decision, None
        if isinstance(decision, assignments.Assignment):
            now_s = self._gateway.reactor.seconds()
            cancelled = Outcome.CANCELLED
            self.dispatcher.record_end(self.ticket, decision.server, cancelled, now_s)

    def _cancel_attempt(self, is_timed_out):
        self._send_watch.cancel()
        self._release_substitute()
        attempt, self._attempt = self._attempt, None
        assignment, self._assignment = self._assignment, None
        # Without an attempt, it failed before the send.
        is_sent = attempt is not None and (
            attempt.phase is not send_attempts.Phase.CONNECTING
        )
        if attempt is not None:
            attempt.cancel()
        if is_sent:
            self.ticket.may_have_run = True
        self._cancel_handover(is_sent)
        if assignment is None:
            return
        now_s = self._gateway.reactor.seconds()
        cancelled = Outcome.CANCELLED
        self.dispatcher.record_end(self.ticket, assignment.server, cancelled, now_s)
        if is_sent:
            self._gateway.record_cancel(self.ticket, assignment.server, now_s)
            if is_timed_out and not attempt.has_response:
                self._gateway.record_path_failure(
                    assignment.server, attempt.is_new_connection, now_s
                )
            elapsed_s = now_s - self._sent_s
            outcome = releases.classify_unfinished(
                self._received_count, elapsed_s, is_timed_out
            )
            self._gateway.record_evidence(
                self.ticket,
                assignment.server,
                outcome,
                elapsed_s,
                self._received_count,
                now_s,
            )

    def _cancel_handover(self, is_sent):
        handover, self._handover = self._handover, None
        if handover is None:
            return
        if not is_sent:
            self.ticket.sends -= handover.granted
        self._gateway.helpers.record_end(handover.helper.name)

    @_answer_failures
    def handle_disconnect(self):
        """Cancels the request after the caller has closed the connection."""
        if self.is_ended:
            return
        phase = self.phase
        self._gateway.count_departure(phase)
        self._cancel_attempt(is_timed_out=False)
        self._finish("left", phase)
        self._gateway.dispatch_waiting(self.ticket.service)

    def abandon(self):
        """Ends the work on the request after a failure, without a response."""
        self._end()
        self._send_watch.cancel()
        attempt, self._attempt = self._attempt, None
        assignment, self._assignment = self._assignment, None
        if attempt is not None:
            attempt.cancel()
        self._cancel_handover(is_sent=True)
        if assignment is not None:
            now_s = self._gateway.reactor.seconds()
            cancelled = Outcome.CANCELLED
            self.dispatcher.record_end(self.ticket, assignment.server, cancelled, now_s)

    def send_error(self, error):
        """Ends the request with an error response.

        A response that has begun is aborted instead.

        :param error: ``error_responses.ErrorResponse``.
        """
        if self._forwarded_head is not None:
            self.abort(error.reason)
            return
        self._finish(error.kind.value)
        error_responses.write_error(self._request, error)

    def abort(self, reason):
        """Closes the connection so that a partial response cannot look complete.

        :param reason: short text for the log.
        """
        self._finish(f"broken off: {reason}")
        channel = self._request.channel
        if channel is not None:
            channel.loseConnection()

    def _end(self):
        self.is_ended = True
        # The flow itself may live until the next garbage collection.
        self._body = b""

    def _finish(self, ended, phase=ENDED):
        self._end()
        self._gateway.silent_flows.discard(self)
        if self._request.producer is not None and self._request.channel is not None:
            self._request.unregisterProducer()
        for timer in (self._timer, self._budget_timer):
            if timer is not None and timer.active():
                timer.cancel()
        self._gateway.finish_request(self, ended, phase)
