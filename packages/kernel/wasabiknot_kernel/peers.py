"""Other entries: their latest digests, and the allocation of slots among entries."""

import msgspec

from wasabiknot_kernel import hashing

# Time without a digest after which a peer's queued requests are no longer counted.
UNREACHABLE_AFTER_MS = 1_500
# Time without a digest after which a peer's requests in flight are no longer counted.
EXPIRY_MS = 10_000
# Demand for slots of an entry without queued requests.
IDLE_DEMAND = 0.5


class Peer:
    """A peer and its latest digest.

    :param vm: ``messages.EntryVm`` of the peer.
    :param listed_ms: Unix time in milliseconds at which the peer was first on the list
        of VMs.
    """

    def __init__(self, vm, listed_ms):
        self.vm = vm
        self.listed_ms = listed_ms
        self.digest = None
        self.received_ms = None
        self.running_by_worker = {}
        self.waiting_by_service = {}

    def apply_digest(self, digest, now_ms):
        """Applies a digest unless a newer one of the same incarnation has arrived.

        :param digest: ``digests.Digest``.
        :param now_ms: current time in Unix milliseconds.
        :return: whether the digest was new.
        """
        latest = self.digest
        if latest is not None and latest.incarnation == digest.incarnation:
            if digest.sequence <= latest.sequence:
                return False
        self.digest = digest
        self.received_ms = now_ms
        return True

    def is_unreachable(self, now_ms):
        """Tells whether no digest has arrived within ``UNREACHABLE_AFTER_MS``.

        :param now_ms: current time in Unix milliseconds.
        :return: ``True`` if the state of the peer is unknown.
        """
        return (
            self.received_ms is None or now_ms - self.received_ms > UNREACHABLE_AFTER_MS
        )

    def is_expired(self, now_ms):
        """Tells whether no digest has arrived within ``EXPIRY_MS``.

        :param now_ms: current time in Unix milliseconds.
        :return: ``True`` if the peer no longer counts as using slots.
        """
        return self.received_ms is None or now_ms - self.received_ms > EXPIRY_MS


class PeerStatus(msgspec.Struct, frozen=True):
    """The status of an entry, as shown to operators.

    :param entry: name of the entry.
    :param offset: last log offset that it has applied; -1 if unknown.
    :param publication: offset of its configuration in force; -1 if unknown.
    :param heard_ms_ago: age of its latest digest in milliseconds; ``None`` if none
        has arrived.
    :param stopping: whether it is shutting down.
    """

    entry: str
    offset: int
    publication: int
    heard_ms_ago: int | None
    stopping: bool


class RankTotals:
    """Sums of the peers' counts by tier rank, updated with each digest."""

    def __init__(self):
        self._counts = {}

    def add(self, counts, sign):
        """Adds or subtracts the counts of one peer.

        :param counts: mapping of names to counts by tier rank.
        :param sign: 1 to add, -1 to subtract.
        """
        for name, ranks in counts.items():
            total = self._counts.setdefault(name, [0] * len(ranks))
            total.extend([0] * (len(ranks) - len(total)))
            for rank, count in enumerate(ranks):
                total[rank] += sign * count

    def count(self, name, max_rank=None):
        """Returns the total count of a name.

        :param name: id of a backend server or name of a service.
        :param max_rank: largest tier rank that counts; ``None`` for all tiers.
        :return: sum over peers and tiers.
        """
        total = self._counts.get(name)
        if total is None:
            return 0
        return sum(total if max_rank is None else total[: max_rank + 1])


class Roster:
    """The peers of an entry.

    :param own_name: name of this entry.
    """

    def __init__(self, own_name):
        self.own_name = own_name
        self._peers = {}
        self._running = RankTotals()
        self._waiting = RankTotals()

    def __iter__(self):
        return iter(self._peers.values())

    def update(self, vms, now_ms):
        """Adds and removes peers so that they match the list of VMs.

        :param vms: ``messages.EntryVm`` items of all entries, including this one.
        :param now_ms: current time in Unix milliseconds.
        """
        listed = {vm.name: vm for vm in vms if vm.name != self.own_name}
        for name in set(self._peers) - set(listed):
            self._set_counts(self._peers.pop(name), {}, {})
        for name, vm in listed.items():
            if name not in self._peers:
                self._peers[name] = Peer(vm, now_ms)
            self._peers[name].vm = vm

    def find(self, name):
        """Finds a peer.

        :param name: name of the entry.
        :return: ``Peer``, or ``None``.
        """
        return self._peers.get(name)

    def apply_digest(self, digest, now_ms):
        """Applies a digest; those of entries that are not on the list are ignored.

        :param digest: ``digests.Digest``.
        :param now_ms: current time in Unix milliseconds.
        :return: whether the digest was new.
        """
        peer = self._peers.get(digest.entry)
        if peer is None or not peer.apply_digest(digest, now_ms):
            return False
        running_by_worker = {use.worker: use.running for use in digest.uses}
        waiting_by_service = {item.service: item.waiting for item in digest.demands}
        self._set_counts(peer, running_by_worker, waiting_by_service)
        return True

    def _set_counts(self, peer, running_by_worker, waiting_by_service):
        self._running.add(peer.running_by_worker, -1)
        self._running.add(running_by_worker, 1)
        peer.running_by_worker = running_by_worker
        self._waiting.add(peer.waiting_by_service, -1)
        self._waiting.add(waiting_by_service, 1)
        peer.waiting_by_service = waiting_by_service

    def expire(self, now_ms):
        """Drops the counts of peers that have stopped sending digests.

        The queued requests of unreachable peers no longer count, nor do the requests
        in flight of expired ones.

        :param now_ms: current time in Unix milliseconds.
        """
        for peer in self._peers.values():
            if peer.is_expired(now_ms):
                self._set_counts(peer, {}, {})
            elif peer.is_unreachable(now_ms):
                self._set_counts(peer, peer.running_by_worker, {})

    def is_alive(self, entry, incarnation, now_ms):
        """Tells whether an incarnation of an entry is running.

        :param entry: name of the entry.
        :param incarnation: id of the incarnation.
        :param now_ms: current time in Unix milliseconds.
        :return: ``True`` if it is running, ``False`` if it has ended, ``None`` if
            neither is known.
        """
        peer = self._peers.get(entry)
        if peer is None:
            return False
        if peer.digest is None:
            return None
        if peer.digest.incarnation != incarnation:
            return False
        return None if peer.is_unreachable(now_ms) else True

    def count_running(self, worker_id, max_rank=None):
        """Counts the peers' requests in flight on a backend server.

        The last reported requests of an unreachable peer count until it expires.

        :param worker_id: id of the backend server.
        :param max_rank: largest tier rank that counts; ``None`` for all tiers.
        :return: number of requests.
        """
        return self._running.count(worker_id, max_rank)

    def count_waiting(self, service, max_rank):
        """Counts the requests that are queued at reachable peers.

        :param service: service name.
        :param max_rank: largest tier rank that counts.
        :return: number of requests.
        """
        return self._waiting.count(service, max_rank)

    def list_slot_demands(self, service, now_ms):
        """Lists the demand of each peer that has neither expired nor is stopping.

        :param service: service name.
        :param now_ms: current time in Unix milliseconds.
        :return: list of ``SlotDemand``.
        """
        return [
            SlotDemand(
                peer.vm.name,
                IDLE_DEMAND + sum(peer.waiting_by_service.get(service, ())),
            )
            for peer in self._peers.values()
            if not peer.is_expired(now_ms) and not peer.digest.stopping
        ]

    def compute_own_rank(self, key, now_ms):
        """Ranks this entry among the reachable entries for a task.

        :param key: text that identifies the task.
        :param now_ms: current time in Unix milliseconds.
        :return: rank of this entry; the entry of rank 0 performs the task.
        """
        reachable = [peer.vm.name for peer in self if not peer.is_unreachable(now_ms)]
        return hashing.rank_nodes(key, [self.own_name, *reachable]).index(self.own_name)

    def list_status(self, now_ms):
        """Lists the status of each peer.

        :param now_ms: current time in Unix milliseconds.
        :return: list of ``PeerStatus``.
        """
        return [_describe_peer(peer, now_ms) for peer in self]


class SlotDemand(msgspec.Struct, frozen=True):
    """The demand of an entry for slots.

    :param entry: name of the entry.
    :param demand: number of queued requests plus ``IDLE_DEMAND``.
    """

    entry: str
    demand: float


def _describe_peer(peer, now_ms):
    digest = peer.digest
    if digest is None:
        return PeerStatus(peer.vm.name, -1, -1, None, False)
    age_ms = int(now_ms - peer.received_ms)
    return PeerStatus(
        peer.vm.name, digest.offset, digest.publication, age_ms, digest.stopping
    )


def allocate_slots(worker_id, free_slots, demands, own_name):
    """Allocates the free slots of a backend server to entries in proportion to demand.

    All entries that have received the same digests compute the same allocation, so
    they need not communicate to agree on it. Slots that remain after rounding down go
    to entries in rendezvous order, which differs between backend servers.

    :param worker_id: id of the backend server.
    :param free_slots: number of free slots.
    :param demands: ``SlotDemand`` of each entry, including this one.
    :param own_name: name of this entry.
    :return: number of free slots that this entry may use.
    """
    if free_slots <= 0:
        return 0
    total = sum(item.demand for item in demands)
    floors = {item.entry: int(free_slots * item.demand / total) for item in demands}
    remaining = free_slots - sum(floors.values())
    order = hashing.rank_nodes(worker_id, list(floors))
    return floors[own_name] + (1 if order.index(own_name) < remaining else 0)
