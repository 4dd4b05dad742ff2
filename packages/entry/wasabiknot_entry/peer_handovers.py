"""Which requests go to or come from a peer, and what an entry knows of them."""

import functools

from wasabiknot_entry import error_responses, journal, relays
from wasabiknot_kernel import (
    assignments,
    dispatch,
    events,
    exceptions,
    helpers,
    outcomes,
    paths,
)

# Retry time of a request of a peer that isn't taken over.
REFUSED_RETRY_AFTER_S = 0.5


class Handovers:
    """Hands requests over to peers, and admits those of peers.

    :param reactor: Twisted reactor.
    :param pool: ``pools.Pool`` of the backend servers.
    :param deployment: ``deployment_views.DeploymentView``.
    :param metrics: ``request_metrics.RequestMetrics``.
    """

    def __init__(self, reactor, pool, deployment, metrics):
        self._reactor = reactor
        self._pool = pool
        self._deployment = deployment
        self._metrics = metrics
        # Number of requests that peers have handed over to this entry.
        self.taken_over = 0

    def try_start(self, flow, now_s):
        """Hands a request over if this entry can't send it.

        :param flow: ``flows.Flow``, not at a backend server.
        :param now_s: current time, in seconds.
        :return: whether a peer sends it.
        """
        ticket = flow.ticket
        if _is_returning(ticket) or not flow.has_time(now_s):
            return False
        deployment = self._deployment
        is_unreached = deployment.paths.is_unreached(ticket.service)
        if is_unreached and deployment.paths.try_start_trial(ticket, now_s):
            ticket.is_path_trial = True
            return False
        if is_unreached or ticket.unreached >= paths.MIN_FAILED_SERVERS:
            helper = deployment.choose_helper(ticket, now_s)
            reason = "no server answers" if is_unreached else "connections failed"
        else:
            helper = deployment.choose_slot_owner(ticket, now_s)
            reason = "no slot of its own"
        if helper is None:
            return False
        deployment.get_dispatcher(ticket.service).withdraw(ticket)
        flow.hand_over(helper, reason)
        return True

    def list_due(self, dispatcher):
        """Lists the queued requests of a service that no server answers.

        :param dispatcher: ``dispatch.Dispatcher``.
        :return: list of ``arrivals.Ticket``, the most urgent first.
        """
        if not self._deployment.paths.is_unreached(dispatcher.service):
            return []
        waiting = dispatcher.list_waiting()
        waiting.sort(key=lambda ticket: (ticket.rank, ticket.arrived_s))
        return waiting

    def try_divert(self, flow, assignment, now_s):
        """Hands a request over if it would go over a new connection that may fail.

        :param flow: ``flows.Flow``.
        :param assignment: ``assignments.Assignment``, which is given back then.
        :param now_s: current time, in seconds.
        :return: whether a peer sends it.
        """
        ticket = flow.ticket
        deployment = self._deployment
        if _is_returning(ticket) or self._pool.has_idle(assignment.address):
            return False
        if not deployment.paths.should_avoid_connecting(ticket, now_s):
            return False
        helper = deployment.choose_helper(ticket, now_s)
        if helper is None:
            return False
        deployment.get_dispatcher(ticket.service).record_end(
            ticket, assignment.server, outcomes.Outcome.CANCELLED, now_s
        )
        flow.hand_over(helper, "new connections fail")
        return True

    def replace_silent_server(self, ticket, has_time, now_s):
        """Looks for who takes a request whose backend server is silent.

        :param ticket: ``arrivals.Ticket``; its sends include the silent one.
        :param has_time: whether there is time for another send before the deadline.
        :param now_s: current time, in seconds.
        :return: ``assignments.Assignment``, ``assignments.Stay``, or the
            ``members.Member`` of a peer.
        """
        deployment = self._deployment
        budget = deployment.get_budget(ticket.service)
        if not deployment.paths.is_unreached(ticket.service):
            return deployment.get_dispatcher(ticket.service).replace_silent_server(
                ticket, budget, has_time, now_s
            )
        if not ticket.route.is_repeatable:
            return assignments.Stay("may run once")
        obstacle = outcomes.find_resend_obstacle(ticket, has_time)
        if obstacle:
            return assignments.Stay(obstacle)
        dispatcher = deployment.get_dispatcher(ticket.service)
        if not ticket.is_path_trial and dispatcher.may_still_run(ticket, now_s):
            return assignments.Stay(dispatch.MAY_STILL_RUN)
        if not deployment.is_path_lost(ticket.service, now_s):
            return assignments.Stay("no server answers")
        helper = deployment.choose_helper(ticket, now_s)
        if helper is None:
            return assignments.Stay("no peer helps")
        if not budget.try_acquire(now_s):
            return assignments.Stay(outcomes.NO_BUDGET)
        return helper

    def record_end(self, handover, result, decision):
        """Records that a peer has ended a request that was handed over.

        :param handover: ``relays.Handover``.
        :param result: ``relays.Result``.
        :param decision: ``outcomes.RetryDecision``.
        """
        name = handover.helper.name
        ticket = handover.ticket
        self._deployment.helpers.record_end(name)
        if decision.step is outcomes.Step.RESEND:
            now_s = self._reactor.seconds()
            self._deployment.helpers.record_refusal(name, ticket.service, now_s)
        journal.write(
            events.Event.HANDOVER_ENDED,
            request=ticket.request_id,
            peer=name,
            outcome=result.outcome.value,
            detail=result.detail,
            step=decision.step.value,
        )
        self._metrics.count_handover(result.outcome)

    def find_refusal(self, request_id, request, handover, is_stopping):
        """Finds out whether a request of a peer is refused, and logs either.

        :param request_id: id of the request.
        :param request: ``caller_requests.CallerRequest``.
        :param handover: ``relays.TakeOver``; ``None`` if it is unreadable.
        :param is_stopping: whether this entry stops.
        :return: ``error_responses.ErrorResponse``; ``None`` if it is taken over.
        """
        host = request.channel.transport.getPeer().host
        reason = relays.find_obstacle(handover, host, self._deployment, is_stopping)
        if not reason and self.taken_over >= helpers.MAX_TAKEN_OVER:
            reason = "too many requests of peers"
        write = functools.partial(
            journal.write,
            request=request_id,
            peer=handover.name if handover is not None else "",
        )
        if not reason:
            write(events.Event.TAKEN_OVER, attempts=handover.attempts)
            return None
        write(events.Event.HANDOVER_REFUSED, address=host, reason=reason)
        return error_responses.ErrorResponse(
            exceptions.ErrorKind.NOT_READY, 503, REFUSED_RETRY_AFTER_S, reason
        )

    def record_taken_over(self):
        """Records that a request of a peer is admitted."""
        self.taken_over += 1
        self._metrics.count_taken_over()

    def record_release(self, ticket):
        """Records that a request has ended here.

        :param ticket: ``arrivals.Ticket``; those of own callers don't count.
        """
        self.taken_over -= ticket.is_taken_over


def _is_returning(ticket):
    # It waits for a server that has its response, after its last attempt.
    return ticket.is_begun and ticket.sends >= ticket.route.attempts
