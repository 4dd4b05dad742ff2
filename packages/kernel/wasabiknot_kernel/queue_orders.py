"""The order in which the waiting requests of a service are sent."""

import typing

from wasabiknot_kernel import customer_shares

# Upper bound on the expected time to the first event, as a fraction of the objective.
# Without it the longest prompts would count as late on arrival.
MAX_FIRST_EVENT_FRACTION = 0.5


class Urgency(typing.NamedTuple):
    """What decides first when a request is sent; lower values go first.

    :param rank: rank of the customer, or of the route if the customer has none.
    :param is_unbegun: whether its caller has got no part of the response yet.
    :param is_above_share: whether its customer is above its share.
    :param is_late: whether it can't meet its objective any more. Late requests have
        lost most of their value and would make further requests late.
    """

    rank: int
    is_unbegun: bool
    is_above_share: bool
    is_late: bool


class QueueOrder:
    """Orders the waiting requests of a service.

    :param estimate_first_event_s: function of a ticket that returns the expected
        seconds from the send to the first event.
    :param estimate_work_s: function of a ticket that returns the engine time that it
        is expected to take, in seconds.
    """

    def __init__(self, estimate_first_event_s, estimate_work_s):
        self._estimate_first_event_s = estimate_first_event_s
        self._estimate_work_s = estimate_work_s
        # Whether requests are ordered by rank instead of arrival.
        self.is_by_rank = True
        # ``customer_shares.ServiceShares``; None if customers have no shares.
        self.shares = None
        # ``request_admission.CallerRetries`` if customers have shares.
        self.caller_retries = None
        # Whether customers are above their shares, by account, at the time of the last
        # comparison.
        self._above_share = {}
        self._compared_s = None

    def compute_urgency(self, ticket, now_s):
        """Computes what decides first when a request is sent.

        :param ticket: ``arrivals.Ticket``.
        :param now_s: current time in seconds.
        :return: ``Urgency``.
        """
        objective_s = ticket.route.objective_ms / 1_000
        first_event_s = min(
            self._estimate_first_event_s(ticket), MAX_FIRST_EVENT_FRACTION * objective_s
        )
        is_late = now_s + first_event_s > ticket.arrived_s + objective_s
        is_above_share = self._is_above_share(customer_shares.find_key(ticket), now_s)
        return Urgency(ticket.rank, not ticket.is_begun, is_above_share, is_late)

    def _is_above_share(self, account, now_s):
        if self.shares is None:
            return False
        # Many requests of one customer are compared at the same time.
        if now_s != self._compared_s:
            self._compared_s = now_s
            self._above_share.clear()
        if account not in self._above_share:
            is_above_share = self.shares.is_above_share(account, now_s)
            self._above_share[account] = is_above_share
        return self._above_share[account]

    def _compute_key(self, ticket, now_s):
        if not self.is_by_rank:
            return (ticket.arrived_s,)
        # The rank of the customer comes first; that of the route breaks ties.
        urgency = self.compute_urgency(ticket, now_s)
        return (urgency, ticket.route.rank, self._find_since_s(ticket))

    def _find_since_s(self, ticket):
        if self.caller_retries is None:
            return ticket.arrived_s
        return self.caller_retries.find_since_s(ticket)

    def sort(self, waiting, now_s):
        """Sorts requests by the order in which they are sent.

        :param waiting: iterable of ``arrivals.Ticket``.
        :param now_s: current time in seconds.
        :return: list of ``arrivals.Ticket``.
        """
        keys = [(self._compute_key(ticket, now_s), ticket) for ticket in waiting]
        keys.sort(key=lambda item: item[0])
        if self.shares is None or not self.is_by_rank:
            return [ticket for _, ticket in keys]
        return self._sort_by_shares(keys, now_s)

    def _sort_by_shares(self, keys, now_s):
        # The lead of a request includes the work of its customer's earlier requests.
        leads_s = {}
        tagged = []
        for key, ticket in keys:
            account = customer_shares.find_key(ticket)
            if account not in leads_s:
                leads_s[account] = self.shares.find_lead_s(account, now_s)
            tagged.append(((key[0], leads_s[account], *key[1:]), ticket))
            leads_s[account] += self._estimate_work_s(ticket)
        tagged.sort(key=lambda item: item[0])
        return [ticket for _, ticket in tagged]

    def list_ahead(self, ticket, waiting, now_s):
        """Lists the waiting requests that are sent before a new one.

        :param ticket: ``arrivals.Ticket`` that isn't among them.
        :param waiting: iterable of ``arrivals.Ticket``.
        :param now_s: current time in seconds.
        :return: list of ``arrivals.Ticket``.
        """
        if self.shares is None or not self.is_by_rank:
            key = self._compute_key(ticket, now_s)
            return [item for item in waiting if self._compute_key(item, now_s) < key]
        ordered = self.sort([*waiting, ticket], now_s)
        return ordered[: ordered.index(ticket)]
