"""The entries of the system: addresses, signs of life, digests."""

import msgspec

from wasabiknot_kernel import crashes, releases, servers

# Silence after which a peer's load is no longer counted.
UNREACHABLE_AFTER_S = 1.0
# Time for which a silent peer still counts as a member of the system.
EXPIRY_S = 12.0
# Entries that tell each other everything. Larger systems are cut into groups
# within failure domains, whose leaders exchange sums.
GROUP_SIZE = 10
# Members up to which one group is enough.
MAX_SINGLE_GROUP = 12
# Group name of the sum of all other groups, which a leader tells its group.
REMOTE_GROUPS = "rest"
# Time between digests of one entry.
DIGEST_INTERVAL_S = 0.1
# Digests between two sums: the least number, and the groups for one more. Sums
# grow with the system, so they come less often in a large one.
MIN_DIGESTS_PER_SUMMARY = 2
GROUPS_PER_EXTRA_DIGEST = 2
# Sums that may be lost before a group counts as silent.
MAX_LOST_SUMMARIES = 3
# Age up to which what a peer read from the store is fresh.
FRESH_READ_S = 0.9


class Member(msgspec.Struct, frozen=True):
    """The record that an entry keeps in the store.

    :param name: its name.
    :param run: id of this run of it.
    :param host: IP number.
    :param port: port for datagrams, and for calls from peers.
    :param domain: failure domain in which it runs.
    :param capacity: what it can do for its group, against other entries.
    """

    name: str
    run: str
    host: str
    port: int
    domain: str = ""
    capacity: float = 1.0

    @property
    def order(self):
        """Sort key: the ablest entry of a group reads and speaks for it."""
        return (-self.capacity, self.name)


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """What an entry tells its peers several times a second.

    :param name: the entry.
    :param run: id of this run of it.
    :param sequence: number of the digest within the run.
    :param positions: position of the newest change known of each topic.
    :param uses: what it has at each backend server.
    :param used: tokens that it let in for each customer since it started.
    :param recent_crashes: crashes that it saw lately.
    :param is_stopping: whether it takes no more work.
    :param read_age_ms: age of its newest read of the store; -1 before the first.
    :param group: group that it sums up; empty if it speaks for itself.
    :param reachable: entries that it speaks for.
    :param members: entries of the group that are not forgotten.
    :param evidence: what was seen of versions while their service moves.
    :param waiting: requests that wait, by service.
    :param faulty_servers: backend servers that it has found to be faulty.
    """

    name: str
    run: str
    sequence: int
    positions: dict[str, int]
    uses: dict[str, servers.PeerUse]
    used: dict[str, int]
    recent_crashes: tuple[crashes.Crash, ...] = ()
    is_stopping: bool = False
    read_age_ms: int = -1
    group: str = ""
    reachable: int = 1
    members: int = 1
    evidence: dict[str, releases.Tally] = {}
    waiting: dict[str, int] = {}
    faulty_servers: tuple[str, ...] = ()


class Bundle(msgspec.Struct, frozen=True, array_like=True):
    """One datagram: the sender's digest, and sums of other groups.

    :param digests: the digests.
    """

    digests: tuple[Digest, ...]


class Peer:
    """A peer and what was last heard of it.

    :param member: ``Member``.
    :param now_s: present time.
    :param timeout_s: silence after which its load is unknown.
    """

    def __init__(self, member, now_s, timeout_s=UNREACHABLE_AFTER_S):
        self.member = member
        self._timeout_s = timeout_s
        self.discovered_s = now_s
        self.received_s = None
        self.sequence = -1
        self.digest = None

    def is_unreachable(self, now_s):
        """Whether it has not been heard lately.

        :param now_s: present time.
        :return: ``True`` if its load is unknown.
        """
        return self.received_s is None or now_s - self.received_s > self._timeout_s

    def is_expired(self, now_s):
        """Whether it has been silent for so long that it is taken to be gone.

        :param now_s: present time.
        :return: ``True`` if it no longer counts as a member.
        """
        return now_s - max(self.discovered_s, self.received_s or 0.0) > EXPIRY_S


class Group(msgspec.Struct, frozen=True):
    """Entries that tell each other everything.

    :param name: its name.
    :param members: names of its members, sorted.
    :param domain: failure domain in which they run; empty for a single group.
    """

    name: str
    members: tuple[str, ...]
    domain: str = ""


class Roster:
    """All peers of an entry, and the groups in which they talk.

    :param member: the record of this entry.
    """

    def __init__(self, member):
        self._member = member
        self._name = member.name
        self._peers = {}
        self._groups = {}
        # Counts the changes of the groups.
        self.regroup_count = 0
        self.group_summaries = {}
        self.group = Group("all", (member.name,))

    def __iter__(self):
        return iter(self._peers.values())

    def apply_member(self, member, now_s):
        """Takes the record of an entry.

        :param member: ``Member``.
        :param now_s: present time.
        """
        if member.name == self._name:
            return
        peer = self._peers.get(member.name)
        if peer is None or peer.member.run != member.run:
            self._peers[member.name] = Peer(member, now_s)
            self._regroup()

    def remove(self, name):
        """Removes an entry that has left.

        :param name: its name.
        """
        if self._peers.pop(name, None) is not None:
            self._regroup()

    def _regroup(self):
        self.regroup_count += 1
        records = [self._member, *(peer.member for peer in self)]
        self._groups = {item.name: item for item in _partition(records)}
        for group in self._groups.values():
            if self._name in group.members:
                self.group = group

    @property
    def has_several_groups(self):
        """Whether there is more than one group."""
        return len(self._groups) > 1

    @property
    def digests_per_summary(self):
        """Digests between two sums."""
        return max(
            MIN_DIGESTS_PER_SUMMARY, len(self._groups) // GROUPS_PER_EXTRA_DIGEST
        )

    @property
    def summary_delay_s(self):
        """Time until the use by another group is heard here, through two leaders."""
        return 2 * self.digests_per_summary * DIGEST_INTERVAL_S

    def list_group_peers(self):
        """Lists the peers of the own group.

        :return: list of ``Peer``.
        """
        names = self.group.members
        mates = [self._peers[name] for name in names if name in self._peers]
        return sorted(mates, key=lambda peer: peer.member.order)

    def list_other_groups(self):
        """Lists the groups of the other peers.

        :return: list of ``Group``.
        """
        return [item for item in self._groups.values() if item is not self.group]

    def list_summary_recipients(self, group, now_s):
        """Lists the peers that sums for another group are sent to.

        :param group: ``Group``.
        :param now_s: present time.
        :return: its leader, or all of its members while that is not known.
        """
        reachable = self.group_summaries.get(group.name)
        if reachable is not None and not reachable.is_unreachable(now_s):
            leader = self._peers.get(reachable.digest.name)
            if leader is not None:
                return [leader]
        return [self._peers[name] for name in group.members if name in self._peers]

    def find(self, name):
        """Finds a peer.

        :param name: its name.
        :return: ``Peer`` or ``None``.
        """
        return self._peers.get(name)

    def apply_digest(self, digest, now_s):
        """Takes a digest.

        :param digest: ``Digest``.
        :param now_s: present time.
        :return: ``Peer``, or ``None`` if the digest is old or of an unknown run.
        """
        peer = self._peers.get(digest.name)
        if peer is None or peer.member.run != digest.run:
            return None
        if digest.group:
            peer = self._get_summary_sender(digest, peer.member, now_s)
            if peer is None:
                return None
        if digest.sequence <= peer.sequence:
            return None
        peer.sequence = digest.sequence
        peer.received_s = now_s
        peer.digest = digest
        return peer

    def _get_summary_sender(self, digest, member, now_s):
        # Leaders hear the other groups themselves, the others hear their leader.
        is_remote = digest.group == REMOTE_GROUPS
        if is_remote == self.is_leader(now_s) or digest.group == self.group.name:
            return None
        self._drop_summaries(is_remote)
        known = self.group_summaries.get(digest.group)
        if known is not None and known.member.run == member.run:
            return known
        has_leader = known is not None and not known.is_unreachable(now_s)
        if has_leader and known.member.order < member.order:
            return None
        timeout_s = max(
            UNREACHABLE_AFTER_S,
            MAX_LOST_SUMMARIES * self.digests_per_summary * DIGEST_INTERVAL_S,
        )
        self.group_summaries[digest.group] = Peer(member, now_s, timeout_s)
        return self.group_summaries[digest.group]

    def _drop_summaries(self, is_remote):
        for name in [
            name
            for name in self.group_summaries
            if (name == REMOTE_GROUPS) != is_remote
        ]:
            del self.group_summaries[name]

    def count_group(self, now_s):
        """Counts the entries of the own group, this one included.

        :param now_s: present time.
        :return: ``Count``.
        """
        mates = self.list_group_peers()
        return Count(
            reachable=1 + sum(not peer.is_unreachable(now_s) for peer in mates),
            members=1 + sum(not peer.is_expired(now_s) for peer in mates),
        )

    def count(self, now_s):
        """Counts the entries of the system, this one included.

        :param now_s: present time.
        :return: ``Count``.
        """
        found = self.count_group(now_s)
        others = self.count_other_groups(now_s)
        return Count(found.reachable + others.reachable, found.members + others.members)

    def count_other_groups(self, now_s):
        """Counts the entries of the other groups.

        :param now_s: present time.
        :return: ``Count``.
        """
        reachable = 0
        members = 0
        for total in self.group_summaries.values():
            if total.digest is None or total.is_expired(now_s):
                continue
            members += total.digest.members
            if not total.is_unreachable(now_s):
                reachable += total.digest.reachable
        return Count(reachable, members)

    def is_leader(self, now_s):
        """Whether this entry speaks for its group.

        :param now_s: present time.
        :return: ``True`` if no earlier member is heard.
        """
        return not any(
            peer.member.order < self._member.order
            and not peer.is_unreachable(now_s)
            and not peer.digest.is_stopping
            for peer in self.list_group_peers()
        )

    def find_store_reader(self, now_s):
        """Finds the first entry of the group that has just read the store.

        :param now_s: present time.
        :return: ``Peer``, or ``None`` if no peer has.
        """
        for peer in self.list_group_peers():
            if not peer.is_unreachable(now_s) and _has_fresh_read(peer, now_s):
                return peer
        return None


class Count(msgspec.Struct, frozen=True):
    """Numbers of entries.

    :param reachable: entries that are heard.
    :param members: entries that are not forgotten.
    """

    reachable: int
    members: int


def _has_fresh_read(peer, now_s):
    age_ms = peer.digest.read_age_ms
    if age_ms < 0 or peer.digest.is_stopping:
        return False
    return now_s - peer.received_s + age_ms / 1_000 < FRESH_READ_S


def _partition(records):
    if len(records) <= MAX_SINGLE_GROUP:
        return [Group("all", tuple(sorted(record.name for record in records)))]
    domains = {}
    for record in records:
        domains.setdefault(record.domain, []).append(record.name)
    groups = []
    for domain, names in sorted(domains.items()):
        names.sort()
        count = max(1, round(len(names) / GROUP_SIZE))
        for index in range(count):
            members = tuple(names[index::count])
            groups.append(Group(f"{domain}/{index}", members, domain))
    return groups
