"""Other entries: what their digests say and how slots are shared with them."""

import msgspec

from wasabiknot_kernel import hashing

UNREACHABLE_AFTER_MS = 1_500
EXPIRY_MS = 10_000
IDLE_DEMAND = 0.5


class Peer:
    """Another entry.

    :param vm: its entry in the platform's list.
    :param listed_ms: time at which it was first seen on the list.
    """

    def __init__(self, vm, listed_ms):
        self.vm = vm
        self.listed_ms = listed_ms
        self.digest = None
        self.received_ms = None
        self.running_by_worker = {}
        self.waiting_by_service = {}

    def apply_digest(self, digest, now_ms):
        """Takes a digest unless a newer one is known.

        :param digest: the digest.
        :param now_ms: present time.
        :return: whether it was news.
        """
        known = self.digest
        if known is not None and known.incarnation == digest.incarnation:
            if digest.sequence <= known.sequence:
                return False
        self.digest = digest
        self.received_ms = now_ms
        return True

    def is_unreachable(self, now_ms):
        """Whether its last digest is too old to be trusted.

        :param now_ms: present time.
        :return: ``True`` if nothing was heard lately.
        """
        return (
            self.received_ms is None or now_ms - self.received_ms > UNREACHABLE_AFTER_MS
        )

    def is_expired(self, now_ms):
        """Whether it has been silent for so long that it cannot hold slots.

        :param now_ms: present time.
        :return: ``True`` if it is taken for gone.
        """
        return self.received_ms is None or now_ms - self.received_ms > EXPIRY_MS


class PeerStatus(msgspec.Struct, frozen=True):
    """A line of the operators' list of VMs.

    :param entry: name of the entry.
    :param offset: log offset in force there.
    :param publication: offset of the configuration in force there.
    :param heard_ms_ago: age of its last digest; ``None`` if never heard.
    :param stopping: whether it is shutting down.
    """

    entry: str
    offset: int
    publication: int
    heard_ms_ago: int | None
    stopping: bool


class Totals:
    """Sums over peers of counts by tier rank, kept up to date by each digest."""

    def __init__(self):
        self._counts = {}

    def change(self, counts, sign):
        """Adds or subtracts what one peer reported.

        :param counts: mapping of names to counts by tier rank.
        :param sign: 1 to add, -1 to subtract.
        """
        for name, ranks in counts.items():
            total = self._counts.setdefault(name, [0] * len(ranks))
            total.extend([0] * (len(ranks) - len(total)))
            for rank, count in enumerate(ranks):
                total[rank] += sign * count

    def count(self, name, worst_rank=None):
        """Sums up the counts of a name.

        :param name: backend server or service.
        :param worst_rank: if given, only tiers up to this rank count.
        :return: their sum.
        """
        total = self._counts.get(name)
        if total is None:
            return 0
        return sum(total if worst_rank is None else total[: worst_rank + 1])


class Roster:
    """The peers of one entry.

    :param own: name of this entry.
    """

    def __init__(self, own):
        self.own = own
        self._peers = {}
        self._running = Totals()
        self._waiting = Totals()

    def __iter__(self):
        return iter(self._peers.values())

    def update(self, vms, now_ms):
        """Takes the list of the system's VMs.

        :param vms: listed ``EntryVm`` items, this entry among them.
        :param now_ms: present time.
        """
        listed = {vm.name: vm for vm in vms if vm.name != self.own}
        for name in set(self._peers) - set(listed):
            self._replace(self._peers.pop(name), {}, {})
        for name, vm in listed.items():
            if name not in self._peers:
                self._peers[name] = Peer(vm, now_ms)
            self._peers[name].vm = vm

    def find(self, name):
        """Finds a peer.

        :param name: name of the entry.
        :return: the ``Peer``, or ``None``.
        """
        return self._peers.get(name)

    def apply_digest(self, digest, now_ms):
        """Takes a digest from a listed peer.

        :param digest: the digest.
        :param now_ms: present time.
        :return: whether it was news.
        """
        peer = self._peers.get(digest.entry)
        if peer is None or not peer.apply_digest(digest, now_ms):
            return False
        uses = {use.worker: use.running for use in digest.uses}
        demands = {item.service: item.waiting for item in digest.demands}
        self._replace(peer, uses, demands)
        return True

    def _replace(self, peer, uses, demands):
        self._running.change(peer.running_by_worker, -1)
        self._running.change(uses, 1)
        peer.running_by_worker = uses
        self._waiting.change(peer.waiting_by_service, -1)
        self._waiting.change(demands, 1)
        peer.waiting_by_service = demands

    def expire(self, now_ms):
        """Drops what silent peers wanted and what gone peers held.

        :param now_ms: present time.
        """
        for peer in self._peers.values():
            if peer.is_expired(now_ms):
                self._replace(peer, {}, {})
            elif peer.is_unreachable(now_ms):
                self._replace(peer, peer.running_by_worker, {})

    def is_alive(self, entry, incarnation, now_ms):
        """Whether an incarnation is known to be alive.

        :param entry: name of the entry.
        :param incarnation: its incarnation.
        :param now_ms: present time.
        :return: ``True``, ``False`` if it is gone, ``None`` if unknown.
        """
        peer = self._peers.get(entry)
        if peer is None:
            return False
        if peer.digest is None:
            return None
        if peer.digest.incarnation != incarnation:
            return False
        return None if peer.is_unreachable(now_ms) else True

    def count_running(self, worker_id, worst_rank=None):
        """Counts the peers' requests in flight on a backend server.

        A silent peer is taken to hold what it last reported until it is gone.

        :param worker_id: the backend server.
        :param worst_rank: if given, only tiers up to this rank count.
        :return: their number.
        """
        return self._running.count(worker_id, worst_rank)

    def count_waiting(self, service, worst_rank):
        """Counts the requests that wait at peers that are heard.

        :param service: service name.
        :param worst_rank: only tiers up to this rank count.
        :return: their number.
        """
        return self._waiting.count(service, worst_rank)

    def list_slot_demands(self, service, now_ms):
        """Lists the demand of every peer that may want slots.

        :param service: service name.
        :param now_ms: present time.
        :return: list of ``(name, demand)`` pairs.
        """
        return [
            SlotDemand(
                peer.vm.name,
                IDLE_DEMAND + sum(peer.waiting_by_service.get(service, ())),
            )
            for peer in self._peers.values()
            if not peer.is_expired(now_ms) and not peer.digest.stopping
        ]

    def rank_self(self, key, now_ms):
        """Ranks this entry among the live entries for a piece of work.

        :param key: text that names the work.
        :param now_ms: present time.
        :return: 0 for the entry that should do it.
        """
        live = [peer.vm.name for peer in self if not peer.is_unreachable(now_ms)]
        return hashing.rank_nodes(key, [self.own, *live]).index(self.own)

    def list_status(self, now_ms):
        """Lists what is known of each peer.

        :param now_ms: present time.
        :return: list of ``PeerStatus``.
        """
        return [_describe_peer(peer, now_ms) for peer in self]


class SlotDemand(msgspec.Struct, frozen=True):
    """An entry's demand for slots.

    :param entry: name of the entry.
    :param demand: waiting requests, never below the idle demand.
    """

    entry: str
    demand: float


def _describe_peer(peer, now_ms):
    digest = peer.digest
    if digest is None:
        return PeerStatus(peer.vm.name, -1, -1, None, False)
    age = int(now_ms - peer.received_ms)
    return PeerStatus(
        peer.vm.name, digest.offset, digest.publication, age, digest.stopping
    )


def allocate_slots(worker_id, free, demands, own):
    """Divides free slots among entries in proportion to their demand.

    Every entry that has the same digests works out the same division, so no
    message is needed to agree on it. Slots left by rounding go to entries in
    rendezvous order, which differs from worker to worker.

    :param worker_id: the backend server.
    :param free: free slots.
    :param demands: demand of every entry, the own one included.
    :param own: name of this entry.
    :return: free slots that this entry may use.
    """
    if free <= 0:
        return 0
    total = sum(share.demand for share in demands)
    floors = {share.entry: int(free * share.demand / total) for share in demands}
    left = free - sum(floors.values())
    order = hashing.rank_nodes(worker_id, list(floors))
    return floors[own] + (1 if order.index(own) < left else 0)
