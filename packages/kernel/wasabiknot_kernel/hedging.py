"""Decides on hedges: second sends of requests whose first send takes unusually long.

The first response wins, the other send is cancelled. A hedge is extra work, so it goes
only to slots that nobody waits for, and within two limits: the operators' share of all
sends, and a part of the retry budget of the service.
"""

from wasabiknot_kernel import assignments, outcomes, send_durations

# Share of busy slots of a service above which no hedge is sent. The rest is for
# requests of peers that no digest has reported yet.
MAX_BUSY_SHARE = 0.7
# Largest number of unused hedges that the operators' share accumulates: slow sends come
# in bursts.
MAX_SAVED_HEDGES = 5.0
# Time for which two backend servers may work on one stream, in seconds.
MAX_STREAM_OVERLAP_S = 0.35
# Reasons to send no hedge, for the log and the counters.
SHARE_USED_UP = "share of hedges used up"
SUSPECTED = "may crash servers"
BRITTLE = "brittle servers"
CANARY = "unproven version"
WAITING = "requests wait"
BUSY = "servers are busy"


class HedgeShare:
    """The operators' limit on the share of hedges in all sends of this entry.

    Each send adds the share to what may be used, so hedges never exceed that share of
    all sends since the start.
    """

    def __init__(self):
        self.share = 0.0
        self._saved = 0.0

    def record_send(self):
        """Records a send to a backend server, of a hedge or not."""
        self._saved = min(MAX_SAVED_HEDGES, self._saved + self.share)

    @property
    def has_hedge(self):
        """Whether a hedge may be sent now."""
        return self.share > 0.0 and self._saved >= 1.0

    def use_hedge(self):
        """Records that a hedge is sent."""
        self._saved -= 1.0


class Hedging:
    """Decides on the hedges of one entry, and keeps the state for it.

    :param is_suspected: function of a ticket that tells whether failures of the request
        may be its own fault.
    :param find_rate: function of a server's id that returns the requests a second that
        the server takes; ``None`` for no limit.
    """

    def __init__(self, is_suspected, find_rate):
        self._is_suspected = is_suspected
        self._find_rate = find_rate
        self._share = HedgeShare()
        self.durations = send_durations.SendDurations()

    @property
    def is_on(self):
        """Whether the operators allow hedges."""
        return self._share.share > 0.0

    def set_share(self, share):
        """Sets the largest share of hedges in all sends.

        :param share: 0 to 1; 0 for no hedges.
        """
        self._share.share = share

    def record_send(self):
        """Records a send to a backend server, of a hedge or not."""
        if self.is_on:
            self._share.record_send()

    def find_delay_s(self, ticket, expectation):
        """Finds the time after which a hedge is due, if the request may get one.

        :param ticket: ``arrivals.Ticket``; its sends include the one that is watched.
        :param expectation: ``send_durations.Expectation`` of the send.
        :return: seconds from the send; ``None`` for no hedge.
        """
        if not self.is_on or not may_be_hedged(ticket):
            return None
        return self.durations.find_slow_s(expectation)

    def decide(self, ticket, dispatcher, budget, has_time, now_s):
        """Decides whether a request is sent to another backend server as well.

        :param ticket: ``arrivals.Ticket``; its sends include the slow one.
        :param dispatcher: ``dispatch.Dispatcher`` of its service.
        :param budget: ``budgets.RetryBudget`` of its service.
        :param has_time: whether there is time for another send before its deadline.
        :param now_s: current time in seconds.
        :return: ``assignments.Assignment`` of the hedge, or ``assignments.Stay``.
        """
        obstacle = self._find_obstacle(ticket, dispatcher, has_time)
        if obstacle:
            return assignments.Stay(obstacle)
        decision = dispatcher.assign_hedge(ticket, self._is_spare, budget, now_s)
        if isinstance(decision, assignments.Assignment):
            self._share.use_hedge()
        return decision

    def _is_spare(self, server):
        # A server with a limit has no capacity to spare for a second send.
        is_unlimited = self._find_rate(server.server_id) is None
        return is_unlimited and count_busy(server) < server.slots

    def _find_obstacle(self, ticket, dispatcher, has_time):
        if not self._share.has_hedge:
            return SHARE_USED_UP
        obstacle = outcomes.find_resend_obstacle(ticket, has_time)
        if obstacle:
            return obstacle
        if self._is_suspected(ticket):
            return SUSPECTED
        if ticket.is_canary:
            return CANARY
        if dispatcher.is_brittle:
            return BRITTLE
        if has_waiting(dispatcher):
            return WAITING
        if compute_busy_share(dispatcher) > MAX_BUSY_SHARE:
            return BUSY
        return ""


def may_be_hedged(ticket):
    """Tells whether a request may be at two backend servers at the same time.

    A trial tests with a single send whether a request crashes its server, or whether a
    path works again. A request that a peer has handed over also has a single send.

    :param ticket: ``arrivals.Ticket``.
    :return: ``False`` if it may run once, or its response has begun.
    """
    route = ticket.route
    if not route.is_repeatable or route.attempts < 2:
        return False
    if ticket.is_begun or ticket.arrival.last_event_id:
        return False
    is_trial = ticket.is_trial or ticket.is_path_trial
    return not is_trial and not ticket.is_taken_over


def has_waiting(dispatcher):
    """Tells whether a request of the service waits, here or in the group.

    :param dispatcher: ``dispatch.Dispatcher``.
    """
    return bool(len(dispatcher)) or len(dispatcher.waiting_entries) > 1


def count_busy(server):
    """Counts the busy slots of a backend server, as far as this entry knows.

    Digests don't state how many requests peers have at plain servers, so the load that
    the server has stated last is used as well.

    :param server: ``servers.Server``.
    :return: number of requests.
    """
    if server.is_engine:
        return server.count_running()
    return max(server.count_running(), server.reported_load)


def compute_busy_share(dispatcher):
    """Computes the share of busy slots of the servers that this entry uses first.

    :param dispatcher: ``dispatch.Dispatcher``.
    :return: 0 to 1; 1 without servers.
    """
    used = [item for item in dispatcher.servers.values() if not item.is_retired]
    if dispatcher.is_engine and dispatcher.group_servers:
        used = [item for item in used if item.server_id in dispatcher.group_servers]
    slots = sum(item.slots for item in used)
    if not slots:
        return 1.0
    busy = sum(min(count_busy(item), item.slots) for item in used)
    return busy / slots
