"""Records the end of a send, for its request and its backend server."""

import msgspec

from wasabiknot_entry import send_attempts
from wasabiknot_kernel import arrivals, outcomes, servers

Outcome = outcomes.Outcome


class Send(msgspec.Struct, frozen=True):
    """A send to a backend server.

    :param ticket: the request.
    :param server: ``servers.Server``.
    :param sent_s: time of the send, in seconds.
    :param event_count: events of a stream that have been received.
    :param first_event_s: seconds from the send to the first of them; ``None`` for none.
    """

    ticket: arrivals.Ticket
    server: servers.Server
    sent_s: float
    event_count: int = 0
    first_event_s: float | None = None


def record_result(gateway, send, result):
    """Records the result of a send.

    :param gateway: ``gateways.Gateway`` that owns the request.
    :param send: ``Send``.
    :param result: ``send_attempts.Result``.
    """
    ticket = send.ticket
    server = send.server
    now_s = gateway.reactor.seconds()
    if result.outcome not in outcomes.NOT_EXECUTED:
        ticket.may_have_run = True
    if result.outcome in outcomes.NOT_SENT:
        ticket.sends -= 1
    dispatcher = gateway.get_dispatcher(ticket.service)
    dispatcher.record_end(ticket, server, result.outcome, now_s)
    gateway.record_evidence(
        ticket,
        server,
        result.outcome,
        now_s - send.sent_s,
        send.event_count,
        now_s,
        send.first_event_s,
    )
    gateway.record_result(ticket, server, result, now_s)


def cancel(gateway, ticket, server, attempt):
    """Cancels a send because another send of its request has replaced it.

    The backend server isn't judged by it. But if the server turns out to have ended,
    the request counts among those that it ran.

    :param gateway: ``gateways.Gateway`` that owns the request.
    :param ticket: ``arrivals.Ticket``.
    :param server: ``servers.Server``.
    :param attempt: ``send_attempts.SendAttempt``; ``None`` if it has not begun.
    """
    now_s = gateway.reactor.seconds()
    is_sent = attempt is not None and (
        attempt.phase is not send_attempts.Phase.CONNECTING
    )
    if attempt is not None:
        attempt.cancel()
    dispatcher = gateway.get_dispatcher(ticket.service)
    dispatcher.record_end(ticket, server, Outcome.CANCELLED, now_s)
    if is_sent:
        ticket.may_have_run = True
        gateway.record_cancel(ticket, server, now_s)
    else:
        ticket.sends -= 1
