"""Socket options by which the operating system finds hosts that are gone."""

import socket

import msgspec

from wasabiknot_entry import journal, sockets
from wasabiknot_kernel import events

# TCP keep-alive probes detect an unreachable host on a connection without traffic.
KEEP_ALIVE_INTERVAL_S = 1
# Linux ignores the number of probes on connections with a user timeout.
KEEP_ALIVE_PROBES = 2
# Longest interval between probes of a closed receive window. Python doesn't name the
# option, which Linux has since 6.15; earlier ones double the interval at each probe.
TCP_RTO_MAX_MS = 44
WINDOW_PROBE_INTERVAL_MS = 1_000
# The other end answers a probe that comes too soon after the last one by nothing.
MIN_UNANSWERED_PROBES = 2


class SilenceLimits(msgspec.Struct, frozen=True):
    """Limits on the silence of a host, after which the OS drops the connection.

    :param user_timeout_ms: time without acknowledgement of data. It is also the least
        time since the last packet after which an unanswered probe ends a connection.
    :param keep_alive_idle_s: time without traffic before the first probe.
    """

    user_timeout_ms: int
    keep_alive_idle_s: int


# Calls to the store and peers are repeated; bounds on a configuration depend on how
# soon they fail.
PEER_SILENCE = SilenceLimits(1_500, 2)
# A sound server may say nothing for a second or two. A request that is lost with its
# connection may not be sendable again. Hosts that are gone are found after about 4 s.
SERVER_SILENCE = SilenceLimits(3_500, 1)


def set_options(handle, limits):
    """Sets the options of a connected socket.

    :param handle: socket.
    :param limits: ``SilenceLimits``.
    """
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, limits.keep_alive_idle_s),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limits.user_timeout_ms),
    )
    for level, option, value in options:
        handle.setsockopt(level, option, value)


class WindowWatch:
    """Keeps a connection to a host that lives, though its process doesn't read.

    The timeout of ``SilenceLimits`` would end it as well, since Linux also applies it
    while the receive window of the other end is closed.

    :param handle: socket whose options are set.
    :param limits: ``SilenceLimits``.
    """

    def __init__(self, handle, limits):
        self._handle = handle
        self._limits = limits
        self._is_closed = False

    def is_host_lost(self):
        """Checks the window, and whether the host still answers if it is closed.

        :return: ``True`` if the connection can't go on.
        """
        queue = sockets.read_send_queue(self._handle)
        if queue.is_window_closed != self._is_closed:
            self._is_closed = queue.is_window_closed
            self._set_timeout()
        if not self._is_closed:
            return False
        is_unanswered = queue.unanswered_probes >= MIN_UNANSWERED_PROBES
        return is_unanswered and queue.acknowledged_ms >= self._limits.user_timeout_ms

    def stop(self):
        """Sets the timeout again, as the request has ended."""
        if self._is_closed and self._handle.fileno() >= 0:
            self._is_closed = False
            self._set_timeout()

    def _set_timeout(self):
        timeout_ms = 0 if self._is_closed else self._limits.user_timeout_ms
        self._set_option(socket.TCP_USER_TIMEOUT, timeout_ms)
        if not self._is_closed:
            return
        try:
            self._set_option(TCP_RTO_MAX_MS, WINDOW_PROBE_INTERVAL_MS)
        except OSError as error:
            # A host that is gone meanwhile is found later.
            journal.write(events.Event.PROBES_RARE, error=str(error))

    def _set_option(self, option, value):
        self._handle.setsockopt(socket.IPPROTO_TCP, option, value)
