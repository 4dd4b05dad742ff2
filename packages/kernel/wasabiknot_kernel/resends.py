"""When a request may try servers again that have refused or reset its connections.

A server that isn't in a backoff is used at once. While all are, a request that has
failed to reach them waits between its tries: each costs a connection and a log line,
and servers that refuse connections answer within a millisecond.
"""

# Failed connections of a request that are followed by another try at once: the first
# one may be due to a connection that the server had closed while it was idle.
FREE_TRIES = 1
# Wait before the next try, which doubles up to the maximum.
INITIAL_WAIT_S = 0.02
MAX_WAIT_S = 0.16
# Time after the wait in which the next try starts: queues are checked in such turns.
TURN_S = 0.1


def compute_wait_s(unreached):
    """Computes how long a request waits before it tries such servers again.

    :param unreached: number of connections that have failed for it.
    :return: seconds.
    """
    waits = unreached - FREE_TRIES - 1
    if waits < 0:
        return 0.0
    return min(INITIAL_WAIT_S * 2 ** min(waits, 10), MAX_WAIT_S)


def is_waiting(ticket, now_s):
    """Tells whether a request waits before it tries such servers again.

    :param ticket: ``arrivals.Ticket``.
    :param now_s: current time in seconds.
    """
    return now_s < ticket.resend_s


def is_retried(ticket, now_s):
    """Tells whether a queued request waits for its next try, or is about to have it.

    :param ticket: ``arrivals.Ticket``.
    :param now_s: current time in seconds.
    :return: ``False`` for one that waits for something else.
    """
    return now_s < ticket.resend_s + TURN_S
