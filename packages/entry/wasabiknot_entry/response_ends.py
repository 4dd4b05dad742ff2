"""Decides when the end of a connection is that of the response on it.

A response without a length ends with its connection, and has no other proof that it is
whole. Its server may have ended it, or given up the request.
"""

import enum

from wasabiknot_entry import sockets

# Longest time for which a server that has ended its response may go on reading the
# request, and the interval of the checks whether it has.
MAX_LINGER_S = 2.0
CHECK_INTERVAL_S = 0.02
# Time after that end in which a reset shows that a long request was left unread.
RESET_WAIT_S = 0.1


class Verdict(enum.Enum):
    """What the end of a connection means for the response."""

    COMPLETE = "complete"
    # The server may still read the request, or reset the connection.
    OPEN = "open"
    RESET = "reset"
    UNREAD = "unread"


def judge(sender, handle, body_bytes, ended_for_s):
    """Judges the end of a connection on which a response came without a length.

    :param sender: ``request_senders.RequestSender``.
    :param handle: socket.
    :param body_bytes: length of the request body.
    :param ended_for_s: time since the server has ended its side, in seconds.
    :return: ``Verdict``.
    """
    queue = sockets.read_send_queue(handle)
    # Without a body, nothing was left unread that could explain a reset.
    if queue.is_closed and body_bytes:
        return Verdict.RESET
    wait_s = RESET_WAIT_S if sender.is_long else 0.0
    # The end proves nothing before the server's host has the whole request.
    is_taken = sender.is_written and queue.is_empty
    if is_taken and ended_for_s >= wait_s:
        return Verdict.COMPLETE
    return Verdict.UNREAD if ended_for_s >= MAX_LINGER_S else Verdict.OPEN
