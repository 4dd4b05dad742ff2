"""Limits on the waiting time of requests, and the retry times of those refused.

A *retry* is here one by the caller, after the retry time in a refusal.
"""

import collections

import msgspec

from wasabiknot_kernel import customer_shares

# Fraction of the time to its deadline that a request may wait in the queue. Callers
# that would wait longer are better served by a refusal with a retry time.
MAX_WAIT_FRACTION = 0.3
# Callers abandon a stream after the longest of these times without an event: a fixed
# time, a multiple of its objective and a multiple of its maximum event gap.
CALLER_TIMEOUT_S = 2.0
CALLER_TIMEOUT_OBJECTIVES = 4
CALLER_TIMEOUT_GAPS = 8
# Fraction of that timeout that a stream may wait in the queue.
MAX_CALLER_TIMEOUT_FRACTION = 0.5
# Bounds on the retry time where the retries of a customer's callers are scheduled one
# after the other.
MIN_RETRY_TIME_S = 0.25
MAX_RETRY_TIME_S = 8.0
# Range of the factor from the scheduled time to the stated one. It is at least 1, so
# that callers don't retry before their scheduled time.
RETRY_TIME_JITTER = (1.0, 1.1)
# A caller that retries later than this after its scheduled time has lost its place.
RETRY_GRACE_S = 2.0
MAX_CALLER_RETRIES = 2_048
# Lower bound on the sends a second of a customer, where its wait follows from them.
MIN_SENDS_PER_S = 0.1


def compute_max_wait_s(ticket):
    """Computes how long a request may wait before it is sent.

    :param ticket: ``arrivals.Ticket``.
    :return: seconds since its arrival.
    """
    route = ticket.route
    max_wait_s = MAX_WAIT_FRACTION * (ticket.deadline_s - ticket.arrived_s)
    if not route.is_stream:
        return max_wait_s
    caller_timeout_s = max(
        CALLER_TIMEOUT_S,
        CALLER_TIMEOUT_OBJECTIVES * route.objective_ms / 1_000,
        CALLER_TIMEOUT_GAPS * route.gap_ms / 1_000,
    )
    return min(max_wait_s, MAX_CALLER_TIMEOUT_FRACTION * caller_timeout_s)


class CallerRetry(msgspec.Struct, frozen=True):
    """The scheduled retry of a refused request.

    :param due_s: scheduled time in seconds.
    :param since_s: time in seconds of its first arrival.
    """

    due_s: float
    since_s: float


class CallerRetries:
    """The scheduled retries of the requests that this entry has refused.

    Requests are recognized by their fingerprints. The retries for each customer are
    scheduled one after the other.
    """

    def __init__(self):
        self._retries = collections.OrderedDict()
        self._last_due_s = collections.OrderedDict()

    def find_since_s(self, ticket):
        """Finds the time from which a request counts as waiting.

        :param ticket: ``arrivals.Ticket``.
        :return: time in seconds: its first arrival, if it was retried on schedule.
        """
        known = self._retries.get(ticket.fingerprint)
        if known is None:
            return ticket.arrived_s
        is_on_schedule = known.due_s <= ticket.arrived_s <= known.due_s + RETRY_GRACE_S
        return known.since_s if is_on_schedule else ticket.arrived_s

    def find_remaining_s(self, ticket):
        """Finds how much too early a caller retries.

        :param ticket: ``arrivals.Ticket``.
        :return: seconds; 0 if it wasn't refused before, or is on schedule or late.
        """
        known = self._retries.get(ticket.fingerprint)
        return 0.0 if known is None else max(0.0, known.due_s - ticket.arrived_s)

    def schedule(self, ticket, wait_s, interval_s, now_s):
        """Schedules the retry of a request that is refused.

        :param ticket: ``arrivals.Ticket``.
        :param wait_s: seconds until a request like this one would be sent.
        :param interval_s: seconds between two sends of such requests.
        :param now_s: current time in seconds.
        :return: seconds until the retry.
        """
        key = customer_shares.find_key(ticket)
        after_last_s = self._last_due_s.get(key, 0.0) + interval_s - now_s
        bounded_s = min(max(wait_s, after_last_s, MIN_RETRY_TIME_S), MAX_RETRY_TIME_S)
        self._last_due_s[key] = now_s + bounded_s
        self._last_due_s.move_to_end(key)
        since_s = self.find_since_s(ticket)
        self._retries[ticket.fingerprint] = CallerRetry(now_s + bounded_s, since_s)
        self._retries.move_to_end(ticket.fingerprint)
        for table in (self._retries, self._last_due_s):
            if len(table) > MAX_CALLER_RETRIES:
                table.popitem(last=False)
        return bounded_s


class Delay(msgspec.Struct, frozen=True):
    """How long a new request would wait.

    :param ahead: number of waiting requests that are sent before it.
    :param wait_s: expected seconds until it is sent.
    :param interval_s: seconds between two sends of requests like it.
    """

    ahead: int
    wait_s: float
    interval_s: float


def estimate_delay(ticket, ahead, peers_ahead, shares, interval_s, now_s):
    """Estimates how long a new request would wait, where customers have shares.

    Later arrivals of other customers go before the requests of a customer above its
    share. Its wait is therefore computed from the rate at which its requests were sent.

    :param ticket: ``arrivals.Ticket``.
    :param ahead: list of the tickets that are sent before it.
    :param peers_ahead: number of requests of peers that may be sent before it.
    :param shares: ``customer_shares.ServiceShares``.
    :param interval_s: seconds between two sends of any request of the group.
    :param now_s: current time in seconds.
    :return: ``Delay``.
    """
    key = customer_shares.find_key(ticket)
    wait_s = (len(ahead) + peers_ahead) * interval_s if ahead else 0.0
    delay = Delay(len(ahead), wait_s, interval_s)
    if not ahead or not shares.is_above_share(key, now_s):
        return delay
    sends_per_s = max(MIN_SENDS_PER_S, shares.estimate_sends_per_s(key, now_s))
    own_ahead = sum(customer_shares.find_key(item) == key for item in ahead)
    own_wait_s = own_ahead / sends_per_s
    return Delay(len(ahead), max(delay.wait_s, own_wait_s), 1 / sends_per_s)
