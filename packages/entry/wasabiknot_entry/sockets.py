"""Asks the operating system about a socket."""

import select
import socket
import struct

import msgspec

# Offsets of fields in ``struct tcp_info`` of Linux, see <linux/tcp.h>.
TCP_INFO_BYTES = 256
STATE_OFFSET = 0
PROBES_OFFSET = 3
UNACKNOWLEDGED_OFFSET = 24
LAST_ACKNOWLEDGED_OFFSET = 56
UNSENT_OFFSET = 144

# Number of the state CLOSE, see <net/tcp_states.h> of Linux.
CLOSED_STATE = 7

_CLOSE_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class SendQueue(msgspec.Struct, frozen=True):
    """What the operating system has still to send on a socket.

    :param unsent_bytes: bytes that it has not sent yet.
    :param in_flight: segments that were sent and aren't acknowledged.
    :param unanswered_probes: probes of a closed receive window without an answer.
    :param acknowledged_ms: time since the last acknowledgement, in milliseconds.
    :param is_closed: whether the connection was reset, or ended both ways.
    """

    unsent_bytes: int
    in_flight: int
    unanswered_probes: int
    acknowledged_ms: int
    is_closed: bool = False

    @property
    def is_empty(self):
        """Whether the other end has acknowledged all that was sent."""
        return not self.unsent_bytes and not self.in_flight

    @property
    def is_window_closed(self):
        """Whether the other end has room for nothing more, as it doesn't read."""
        return self.unsent_bytes > 0 and not self.in_flight


def read_send_queue(handle):
    """Reads what the operating system has still to send.

    :param handle: TCP socket.
    :return: ``SendQueue``; an empty one for a socket that is closed here.
    """
    if handle.fileno() < 0:
        return SendQueue(0, 0, 0, 0)
    info = handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)

    def read_number(offset):
        # Older kernels know fewer fields.
        if offset + 4 > len(info):
            return 0
        return struct.unpack_from("=I", info, offset)[0]

    return SendQueue(
        read_number(UNSENT_OFFSET),
        read_number(UNACKNOWLEDGED_OFFSET),
        info[PROBES_OFFSET],
        read_number(LAST_ACKNOWLEDGED_OFFSET),
        info[STATE_OFFSET] == CLOSED_STATE,
    )


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
