"""Cuts between single entries and the backend servers.

| cut | what becomes of connections between the entries and the servers |
| --- | --- |
| ``none`` | nothing |
| ``silent`` | nothing that such an entry sends is read |
| ``answers`` | requests arrive and run, and nothing comes back |
| ``reset`` | open ones are reset, and new ones too |
| ``refuse`` | open ones live on, and new ones are reset |
| ``plain`` | like ``silent``, to the servers of one service only |

The store, the peers and the callers reach such an entry all the time.
"""

import enum

import msgspec
import psutil

from wasabiknot_standins import proxies

PLAIN_SERVICE = "desk"


class Cut(enum.Enum):
    """What becomes of connections between the entries and the servers."""

    NONE = "none"
    SILENT = "silent"
    ANSWERS = "answers"
    RESET = "reset"
    REFUSE = "refuse"
    PLAIN = "plain"


class Partition(msgspec.Struct):
    """Which entries are cut off now, and how.

    :param cut: ``Cut``; ``Cut.NONE`` before and after it.
    :param entry_numbers: numbers of the entries that are cut off.
    """

    cut: Cut = Cut.NONE
    entry_numbers: frozenset[int] = frozenset()

    def holds_for(self, entry_number, service):
        """Tells whether an entry doesn't reach the servers of a service.

        :param entry_number: number of the entry; ``None`` if it isn't known.
        :param service: name of the service.
        """
        if self.cut is Cut.PLAIN and service != PLAIN_SERVICE:
            return False
        return self.cut is not Cut.NONE and entry_number in self.entry_numbers


class EntryProxy(proxies.Proxy):
    """A proxy before one server that tells the entries' connections apart.

    :param target: host and port of the server, separated by a colon.
    :param service: name of its service.
    :param partition: ``Partition``.
    :param entries: list of ``entryprocesses.EntryProcess``.
    """

    def __init__(self, target, service, partition, entries):
        super().__init__(target)
        self._service = service
        self._partition = partition
        self._entries = entries
        self._owners = {}
        # Numbers of the entries by the port from which the proxy reaches the server.
        self._owners_by_port = {}

    def handle_attach(self, client_side, server_side):
        """Remembers whose connection to the server this is."""
        port = server_side.transport.getHost().port
        self._owners_by_port[port] = self._owners.get(client_side)

    def find_sender(self, port):
        """Finds the entry that a request comes from.

        :param port: port from which it has reached the server.
        :return: number of the entry; ``None`` if it isn't known.
        """
        return self._owners_by_port.get(port)

    def admits(self, connection):
        """Tells whether a new connection is passed on; otherwise it is reset."""
        port = connection.transport.getPeer().port
        owner = self._find_owner(port)
        self._owners[connection] = owner
        if self._partition.cut not in (Cut.RESET, Cut.REFUSE):
            return True
        return not self._partition.holds_for(owner, self._service)

    def _find_owner(self, port):
        for entry in self._entries:
            if port in _list_ports(entry.process.pid):
                return entry.number
        return None

    def find_fault(self, connection):
        """Finds the fault that holds for a connection."""
        client_side = connection if connection.is_client else connection.peer
        owner = self._owners.get(client_side)
        cut = self._partition.cut
        if cut in (Cut.RESET, Cut.REFUSE):
            return self.fault
        if not self._partition.holds_for(owner, self._service):
            return self.fault
        if not connection.is_client:
            return proxies.Fault.DROP_FROM_SERVER
        return self.fault if cut is Cut.ANSWERS else proxies.Fault.DROP_TO_SERVER

    def reset_cut(self):
        """Resets the connections of the entries that are cut off."""
        for connection, owner in list(self._owners.items()):
            if self._partition.holds_for(owner, self._service):
                if connection in self.connections:
                    connection.transport.abortConnection()


def _list_ports(process_id):
    try:
        connections = psutil.Process(process_id).net_connections("tcp4")
    except psutil.Error:
        # It has just ended.
        return set()
    return {item.laddr.port for item in connections}
