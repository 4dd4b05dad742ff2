"""Claims of the entries of a group on the free slots of its backend servers.

Each digest carries the head of the sender's queue. The free slots go to the entries
with the most urgent heads, as many as there are slots; a hash decides between them. A
claim is a head that was received recently. It expires without a message, so others soon
use the slots that an entry claimed before it failed.
"""

import collections
import typing

import msgspec

from wasabiknot_kernel import group_servers

EntryName = typing.NewType("EntryName", str)
# Time after which a head is ignored; three digests may be lost within it.
HEAD_LIFETIME_S = 0.35
# Heads whose waiting times differ by less count as equally urgent.
WAIT_STEP_MS = 50


class QueueHead(msgspec.Struct, frozen=True, array_like=True):
    """The first request of the queue of one service at one entry.

    :param rank: rank of the request.
    :param is_unbegun: whether its caller has got no part of the response yet.
    :param is_above_share: whether its customer has got more than its share.
    :param is_late: whether it can't meet its objective any more.
    :param waited_ms: milliseconds that it has waited.
    :param count: number of waiting requests that are as urgent, apart from their
        waiting time.
    """

    rank: int
    is_unbegun: bool
    is_above_share: bool
    is_late: bool
    waited_ms: int
    count: int

    @property
    def urgency(self):
        """Sort key without the waiting time, like ``queue_orders.Urgency``."""
        return (self.rank, self.is_unbegun, self.is_above_share, self.is_late)

    @property
    def order(self):
        """Sort key; the head with the lowest one goes first."""
        return (*self.urgency, -(self.waited_ms // WAIT_STEP_MS))


def build_head(urgencies, waited_s):
    """Builds the head of a queue.

    :param urgencies: nonempty list of ``queue_orders.Urgency``, in queue order.
    :param waited_s: seconds that the first request has waited.
    :return: ``QueueHead``.
    """
    first = urgencies[0]
    return QueueHead(
        first.rank,
        first.is_unbegun,
        first.is_above_share,
        first.is_late,
        round(1_000 * max(0.0, waited_s)),
        urgencies.count(first),
    )


class _Claim(msgspec.Struct, frozen=True):
    head: QueueHead
    received_s: float


class SlotClaims:
    """The claims on the free slots of one service in a group.

    :param name: name of this entry.
    """

    def __init__(self, name):
        self._name = name
        self._claims = {}
        # Free slots that go to this entry, and its requests in flight when they were
        # divided, by backend server.
        self._won = collections.Counter()
        self._sends = {}

    def record_head(self, source, head, now_s):
        """Records the head of the queue of a peer.

        :param source: name of the peer.
        :param head: ``QueueHead``; ``None`` if its queue is empty.
        :param now_s: current time in seconds.
        """
        if head is None:
            self._claims.pop(source, None)
        else:
            self._claims[source] = _Claim(head, now_s)

    def __len__(self):
        return len(self._claims)

    def count_as_urgent(self, urgency, now_s):
        """Counts the requests of peers that are no less urgent than one of this entry.

        :param urgency: ``queue_orders.Urgency`` of the request.
        :param now_s: current time in seconds.
        :return: number of requests that are at the heads of their queues.
        """
        self._drop_expired(now_s)
        return sum(
            claim.head.count
            for claim in self._claims.values()
            if claim.head.urgency <= urgency
        )

    def _drop_expired(self, now_s):
        for source, claim in list(self._claims.items()):
            if now_s - claim.received_s > HEAD_LIFETIME_S:
                del self._claims[source]

    def divide(self, own_head, servers, now_s):
        """Divides the free slots of the group among its entries.

        :param own_head: ``QueueHead`` of this entry; ``None`` if its queue is empty.
        :param servers: list of the ``servers.Server`` of the group.
        :param now_s: current time in seconds.
        """
        free_slots = {
            server.server_id: max(0, server.slots - server.count_running())
            for server in servers
        }
        self._sends = {server.server_id: len(server.sends) for server in servers}
        self._drop_expired(now_s)
        heads = {name: claim.head for name, claim in self._claims.items()}
        if own_head is not None:
            heads[self._name] = own_head
        self._won = count_slots(heads, free_slots, self._name)

    def covers(self, server):
        """Tells whether the free slots of a backend server were divided.

        :param server: ``servers.Server``.
        :return: ``False`` for those of other groups.
        """
        return server.server_id in self._sends

    def count_claimable(self, server):
        """Counts the free slots of a backend server that this entry may still use.

        Slots that this entry has released since its last digest are not reserved for
        it: they go to peers that hold more urgent requests.

        :param server: ``servers.Server`` whose slots were divided.
        :return: number of slots.
        """
        sent = len(server.sends) - self._sends[server.server_id]
        return self._won[server.server_id] - sent


def count_slots(heads, free_slots, name):
    """Counts the free slots that go to an entry.

    Slots are assigned one after the other, each to the entry that a hash prefers among
    those that have requests left. Views that differ in one slot agree on most others.

    :param heads: mapping of names of entries to ``QueueHead``.
    :param free_slots: mapping of ids of backend servers to numbers of free slots.
    :param name: name of the entry.
    :return: ``collections.Counter`` of ids of backend servers.
    """
    won = collections.Counter()
    contenders = select_contenders(heads, sum(free_slots.values()))
    wanted = {contender: heads[contender].count for contender in contenders}
    # Slots that are left over go to any entries.
    everyone = tuple(sorted(heads))
    for server_id, count in sorted(free_slots.items()):
        for slot in range(count):
            owner = group_servers.find_winner(
                server_id, slot, tuple(wanted) or everyone
            )
            if owner in wanted:
                wanted[owner] -= 1
                if not wanted[owner]:
                    del wanted[owner]
            won[server_id] += owner == name
    return won


def select_contenders(heads, free_slots):
    """Selects the entries among which free slots are divided.

    :param heads: mapping of names of entries to ``QueueHead``.
    :param free_slots: number of free slots.
    :return: sorted tuple of the names of those with the most urgent heads: enough of
        them to use all slots, and those whose heads are as urgent as the last of these.
    """
    ordered = sorted(heads, key=lambda name: heads[name].order)
    selected = []
    claimed = 0
    last_order = None
    for name in ordered:
        head = heads[name]
        if claimed >= max(1, free_slots) and head.order != last_order:
            break
        selected.append(name)
        claimed += head.count
        last_order = head.order
    return tuple(sorted(selected))
