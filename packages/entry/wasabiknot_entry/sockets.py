"""Asks the operating system about a socket."""

import select

_CLOSE_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def is_closed_by_peer(handle):
    """Tells whether the peer has closed its end, also behind bytes that aren't read.

    :param handle: socket.
    :return: ``False`` as well for a socket that is closed here.
    """
    descriptor = handle.fileno()
    if descriptor < 0:
        return False
    poller = select.poll()
    poller.register(descriptor, select.POLLRDHUP)
    return any(event & _CLOSE_EVENTS for _, event in poller.poll(0))
