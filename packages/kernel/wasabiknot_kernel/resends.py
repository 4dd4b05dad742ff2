"""Backoff of a request whose connections were refused or reset.

A server that isn't in a backoff is used at once. While all of them are, a request that
could not be sent waits between its attempts to connect: each takes a connection and a
log line, and servers refuse connections within a millisecond.
"""

# Failed connections of a request that are followed by another attempt at once: the
# first failure may be due to an idle connection that the server had closed.
IMMEDIATE_RETRIES = 1
# Wait before the next attempt. It doubles with each failure, up to the maximum.
INITIAL_WAIT_S = 0.02
MAX_WAIT_S = 0.16
# Longest time from the end of the wait to the next attempt: queues are checked at this
# interval.
CHECK_INTERVAL_S = 0.1


def compute_wait_s(unreached):
    """Computes how long a request waits before its next attempt to connect.

    :param unreached: number of connections that have failed for it.
    :return: seconds.
    """
    waits = unreached - IMMEDIATE_RETRIES - 1
    if waits < 0:
        return 0.0
    return min(INITIAL_WAIT_S * 2 ** min(waits, 10), MAX_WAIT_S)


def is_backing_off(ticket, now_s):
    """Tells whether a request waits before its next attempt to connect.

    :param ticket: ``arrivals.Ticket``.
    :param now_s: current time in seconds.
    """
    return now_s < ticket.resend_s


def is_backing_off_or_due(ticket, now_s):
    """Tells whether a request waits for its next attempt, or is about to make it.

    :param ticket: ``arrivals.Ticket``.
    :param now_s: current time in seconds.
    :return: ``False`` if it waits for something else, such as a free slot.
    """
    return now_s < ticket.resend_s + CHECK_INTERVAL_S
