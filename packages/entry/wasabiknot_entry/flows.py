"""Requests on their way: sent, relayed, sent again, ended."""

from wasabiknot_entry import answers, connections, journal, sendings
from wasabiknot_kernel import events, exceptions, outcomes, releases
from wasabiknot_platform import headers as platform_headers

Kind = exceptions.ErrorKind
Outcome = outcomes.Outcome
Step = outcomes.Step

# Least time in which another send can succeed.
LEAST_SEND_S = 0.02


class Flow:
    """One request on its way, up to its final answer.

    :param gateway: owning ``Gateway``.
    :param request: the caller's request.
    :param ticket: ``arrivals.Ticket``.
    :param fields: headers of the request, as pairs.
    :param body: its body.
    """

    def __init__(self, gateway, request, ticket, fields, body):
        self._gateway = gateway
        self._request = request
        self.ticket = ticket
        self._fields = fields
        self._body = body
        self._placed = None
        self._sending = None
        self._first_head = None
        self._sent_s = 0.0
        self._sent_events = 0
        self.first_s = None
        self.last_event = ticket.arrival.last_event
        self.events = 0
        self.is_ended = False
        delay_s = max(0.0, ticket.deadline_s - gateway.reactor.seconds())
        self._timer = gateway.reactor.callLater(delay_s, self._time_out)

    @property
    def dispatcher(self):
        """The dispatcher of its service."""
        return self._gateway.find_dispatcher(self.ticket.service)

    # Sending

    def send(self, placed):
        """Sends the request to a backend server.

        :param placed: ``dispatch.Placed``.
        """
        self._placed = placed
        self._sent_s = self._gateway.reactor.seconds()
        self._sent_events = 0
        ticket = self.ticket
        ticket.sends += 1
        left_ms = (ticket.deadline_s - self._gateway.reactor.seconds()) * 1_000
        is_resumed = self.last_event > ticket.arrival.last_event
        fields = platform_headers.build_request_headers(
            self._fields,
            len(self._body),
            ticket,
            placed.server.server_id,
            left_ms,
            self.last_event if is_resumed else 0,
        )
        if not self._body and self._request.method in (b"POST", b"PUT", b"PATCH"):
            fields.append((b"content-length", b"0"))
        request = connections.Request(
            self._request.method, self._request.uri, tuple(fields), self._body
        )
        journal.write(
            events.Event.DISPATCHED,
            request=ticket.request_id,
            server=placed.server.server_id,
            send=ticket.sends,
            customer=ticket.customer,
            charge=ticket.charge,
            version=ticket.version,
            running=placed.server.count_running(),
            waited_ms=round(placed.waited_s * 1_000),
            score_ms=round(placed.score_ms),
        )
        self._sending = sendings.Sending(
            self._gateway.reactor, self._gateway.pool, placed, request, self
        )

    def take_event(self, event, head):
        """Relays an event of a stream.

        :param event: ``eventstreams.Event``.
        :param head: head of the answer that it belongs to.
        :return: whether it fits behind the events before it.
        """
        if self.is_ended:
            return True
        now_s = self._gateway.reactor.seconds()
        server = self._placed.server
        self._sent_events += 1
        self.dispatcher.note_first(self.ticket, server, now_s)
        self.dispatcher.note_progress(self.ticket, server, self._sent_events, now_s)
        if event.number is not None:
            if event.number <= self.last_event:
                return True
            if self.events and event.number != self.last_event + 1:
                return False
            self.last_event = event.number
        self._begin(head)
        self.events += 1
        self._request.write(event.data)
        return True

    def _begin(self, head):
        if self._first_head is not None:
            return
        self._first_head = head
        self.first_s = self._gateway.reactor.seconds()
        self._request.setResponseCode(head.status)
        for name, value in head.headers:
            self._request.responseHeaders.addRawHeader(name, value)
        self._gateway.note_first(self)

    def take_result(self, result):
        """Takes the end of a send.

        :param result: ``sendings.Result``.
        """
        placed, self._placed = self._placed, None
        self._sending = None
        gateway = self._gateway
        now_s = gateway.reactor.seconds()
        ticket = self.ticket
        if result.outcome not in outcomes.NOT_RUN:
            ticket.has_run = True
        if result.outcome is Outcome.UNREACHED:
            ticket.sends -= 1
        dispatcher = self.dispatcher
        dispatcher.finish(ticket, placed.server, result.outcome, now_s)
        held_s = now_s - self._sent_s
        gateway.note_evidence(
            ticket, placed.server, result.outcome, held_s, self._sent_events, now_s
        )
        if result.head is not None and result.head.load is not None:
            load = result.head.load
            placed.server.reported = load.running + load.waiting
        gateway.note_send(ticket, placed.server, result, now_s)
        if result.outcome in (Outcome.WHOLE, Outcome.CANCELLED):
            self._deliver(result)
        else:
            self._go_on(result, now_s)
        gateway.pump(ticket.service)

    def _go_on(self, result, now_s):
        ticket = self.ticket
        budget = self._gateway.find_budget(ticket.service)
        verdict = outcomes.decide_step(
            ticket, result.outcome, now_s, LEAST_SEND_S, budget
        )
        journal.write(
            events.Event.SEND_ENDED,
            request=ticket.request_id,
            outcome=result.outcome.value,
            detail=result.detail,
            step=verdict.step.value,
            reason=verdict.reason,
        )
        if verdict.step is Step.RESEND:
            self._gateway.submit(self)
        elif verdict.step is Step.PASS_ON:
            self._deliver(result)
        else:
            self._gateway.answer(self, verdict.kind, verdict.reason)

    def _deliver(self, result):
        head = result.head
        if self._first_head is not None and result.outcome is not Outcome.WHOLE:
            self.break_off(result.detail)
            return
        self._begin(head)
        if result.body:
            self._request.write(result.body)
        self._end("whole" if result.outcome is Outcome.WHOLE else "failed")
        self._request.finish()

    # Ends

    def _time_out(self):
        if self.is_ended:
            return
        self._stop_sending(is_timed_out=True)
        kind = Kind.DEADLINE_EXCEEDED if self.ticket.has_run else Kind.QUEUE_FULL
        self._gateway.answer(self, kind, "time is over")

    def _stop_sending(self, is_timed_out):
        sending, self._sending = self._sending, None
        placed, self._placed = self._placed, None
        if sending is None:
            return
        was_sent = sending.phase is not sendings.Phase.CONNECTING
        sending.cancel()
        if was_sent:
            self.ticket.has_run = True
        now_s = self._gateway.reactor.seconds()
        cancelled = Outcome.CANCELLED
        self.dispatcher.finish(self.ticket, placed.server, cancelled, now_s)
        if was_sent:
            held_s = now_s - self._sent_s
            weighed = releases.classify_unfinished(
                self._sent_events, held_s, is_timed_out
            )
            self._gateway.note_evidence(
                self.ticket,
                placed.server,
                weighed,
                held_s,
                self._sent_events,
                now_s,
            )

    def leave(self):
        """Stops everything, as the caller has gone."""
        if self.is_ended:
            return
        self._stop_sending(is_timed_out=False)
        self._end("left")
        self._gateway.pump(self.ticket.service)

    def refuse(self, answer):
        """Gives the final answer of the system's own.

        :param answer: ``answers.Answer``.
        """
        if self._first_head is not None:
            self.break_off(answer.reason)
            return
        self._end(answer.kind.value)
        answers.write_answer(self._request, answer)

    def break_off(self, reason):
        """Ends an answer that has begun so that it cannot look complete.

        :param reason: short text for the log.
        """
        self._end(f"broken off: {reason}")
        channel = self._request.channel
        if channel is not None:
            channel.loseConnection()

    def _end(self, ended):
        self.is_ended = True
        if self._timer.active():
            self._timer.cancel()
        self._gateway.close(self, ended)
