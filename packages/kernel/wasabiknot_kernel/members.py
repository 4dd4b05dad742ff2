"""The entries of the system: addresses, signs of life, digests."""

import msgspec

from wasabiknot_kernel import crashes, releases, servers

# Silence after which a peer's load is no longer counted.
SILENCE_S = 1.0
# Time for which a silent peer still counts as a member of the system.
MEMORY_S = 12.0
# Entries that tell each other everything. Larger systems are cut into groups
# within failure domains, whose leaders exchange sums.
GROUP_SIZE = 10
# Members up to which one group is enough.
MAX_SINGLE_GROUP = 12
# Group name of the sum of all other groups, which a leader tells its group.
REST = "rest"
# Time between digests of one entry.
DIGEST_INTERVAL_S = 0.1
# Digests between two sums: the least number, and the groups for one more. Sums
# grow with the system, so they come less often in a large one.
LEAST_SUM_TURNS = 2
GROUPS_PER_TURN = 2
# Sums that may be lost before a group counts as silent.
LOST_SUMS = 3
# Age up to which what a peer read from the store is fresh.
FRESH_S = 0.9


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
    :param crash_news: crashes that it saw lately.
    :param is_stopping: whether it takes no more work.
    :param read_age_ms: age of its newest read of the store; -1 before the first.
    :param group: group that it sums up; empty if it speaks for itself.
    :param heard: entries that it speaks for.
    :param members: entries of the group that are not forgotten.
    :param evidence: what was seen of versions while their service moves.
    :param waiting: requests that wait, by service.
    :param shunned: backend servers that it has found to be faulty.
    """

    name: str
    run: str
    sequence: int
    positions: dict[str, int]
    uses: dict[str, servers.PeerUse]
    used: dict[str, int]
    crash_news: tuple[crashes.Crash, ...] = ()
    is_stopping: bool = False
    read_age_ms: int = -1
    group: str = ""
    heard: int = 1
    members: int = 1
    evidence: dict[str, releases.ResponseStats] = {}
    waiting: dict[str, int] = {}
    shunned: tuple[str, ...] = ()


class Bundle(msgspec.Struct, frozen=True, array_like=True):
    """One datagram: the sender's digest, and sums of other groups.

    :param digests: the digests.
    """

    digests: tuple[Digest, ...]


class Peer:
    """A peer and what was last heard of it.

    :param member: ``Member``.
    :param now_s: present time.
    :param silence_s: silence after which its load is unknown.
    """

    def __init__(self, member, now_s, silence_s=SILENCE_S):
        self.member = member
        self._silence_s = silence_s
        self.found_s = now_s
        self.heard_s = None
        self.sequence = -1
        self.digest = None

    def is_silent(self, now_s):
        """Whether it has not been heard lately.

        :param now_s: present time.
        :return: ``True`` if its load is unknown.
        """
        return self.heard_s is None or now_s - self.heard_s > self._silence_s

    def is_forgotten(self, now_s):
        """Whether it has been silent for so long that it is taken to be gone.

        :param now_s: present time.
        :return: ``True`` if it no longer counts as a member.
        """
        return now_s - max(self.found_s, self.heard_s or 0.0) > MEMORY_S


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
        self._own = member
        self._name = member.name
        self._peers = {}
        self._groups = {}
        # Counts the changes of the groups.
        self.arranged = 0
        self.sums = {}
        self.group = Group("all", (member.name,))

    def __iter__(self):
        return iter(self._peers.values())

    def take_member(self, member, now_s):
        """Takes the record of an entry.

        :param member: ``Member``.
        :param now_s: present time.
        """
        if member.name == self._name:
            return
        peer = self._peers.get(member.name)
        if peer is None or peer.member.run != member.run:
            self._peers[member.name] = Peer(member, now_s)
            self._arrange()

    def remove(self, name):
        """Removes an entry that has left.

        :param name: its name.
        """
        if self._peers.pop(name, None) is not None:
            self._arrange()

    def _arrange(self):
        self.arranged += 1
        records = [self._own, *(peer.member for peer in self)]
        self._groups = {item.name: item for item in _cut_groups(records)}
        for group in self._groups.values():
            if self._name in group.members:
                self.group = group

    @property
    def is_grouped(self):
        """Whether there is more than one group."""
        return len(self._groups) > 1

    @property
    def sum_turns(self):
        """Digests between two sums."""
        return max(LEAST_SUM_TURNS, len(self._groups) // GROUPS_PER_TURN)

    @property
    def sum_delay_s(self):
        """Time until the use by another group is heard here, through two leaders."""
        return 2 * self.sum_turns * DIGEST_INTERVAL_S

    def list_mates(self):
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

    def list_contacts(self, group, now_s):
        """Lists the peers that sums for another group are sent to.

        :param group: ``Group``.
        :param now_s: present time.
        :return: its leader, or all of its members while that is not known.
        """
        heard = self.sums.get(group.name)
        if heard is not None and not heard.is_silent(now_s):
            leader = self._peers.get(heard.digest.name)
            if leader is not None:
                return [leader]
        return [self._peers[name] for name in group.members if name in self._peers]

    def find(self, name):
        """Finds a peer.

        :param name: its name.
        :return: ``Peer`` or ``None``.
        """
        return self._peers.get(name)

    def take_digest(self, digest, now_s):
        """Takes a digest.

        :param digest: ``Digest``.
        :param now_s: present time.
        :return: ``Peer``, or ``None`` if the digest is old or of an unknown run.
        """
        peer = self._peers.get(digest.name)
        if peer is None or peer.member.run != digest.run:
            return None
        if digest.group:
            peer = self._find_sum(digest, peer.member, now_s)
            if peer is None:
                return None
        if digest.sequence <= peer.sequence:
            return None
        peer.sequence = digest.sequence
        peer.heard_s = now_s
        peer.digest = digest
        return peer

    def _find_sum(self, digest, member, now_s):
        # Leaders hear the other groups themselves, the others hear their leader.
        is_rest = digest.group == REST
        if is_rest == self.is_leader(now_s) or digest.group == self.group.name:
            return None
        self._drop_sums(is_rest)
        known = self.sums.get(digest.group)
        if known is not None and known.member.run == member.run:
            return known
        is_led = known is not None and not known.is_silent(now_s)
        if is_led and known.member.order < member.order:
            return None
        silence_s = max(SILENCE_S, LOST_SUMS * self.sum_turns * DIGEST_INTERVAL_S)
        self.sums[digest.group] = Peer(member, now_s, silence_s)
        return self.sums[digest.group]

    def _drop_sums(self, is_rest):
        for name in [name for name in self.sums if (name == REST) != is_rest]:
            del self.sums[name]

    def count_mates(self, now_s):
        """Counts the entries of the own group, this one included.

        :param now_s: present time.
        :return: ``Count``.
        """
        mates = self.list_mates()
        return Count(
            heard=1 + sum(not peer.is_silent(now_s) for peer in mates),
            members=1 + sum(not peer.is_forgotten(now_s) for peer in mates),
        )

    def count(self, now_s):
        """Counts the entries of the system, this one included.

        :param now_s: present time.
        :return: ``Count``.
        """
        found = self.count_mates(now_s)
        others = self.count_others(now_s)
        return Count(found.heard + others.heard, found.members + others.members)

    def count_others(self, now_s):
        """Counts the entries of the other groups.

        :param now_s: present time.
        :return: ``Count``.
        """
        heard = 0
        members = 0
        for total in self.sums.values():
            if total.digest is None or total.is_forgotten(now_s):
                continue
            members += total.digest.members
            if not total.is_silent(now_s):
                heard += total.digest.heard
        return Count(heard, members)

    def is_leader(self, now_s):
        """Whether this entry speaks for its group.

        :param now_s: present time.
        :return: ``True`` if no earlier member is heard.
        """
        return not any(
            peer.member.order < self._own.order
            and not peer.is_silent(now_s)
            and not peer.digest.is_stopping
            for peer in self.list_mates()
        )

    def find_reader(self, now_s):
        """Finds the first entry of the group that has just read the store.

        :param now_s: present time.
        :return: ``Peer``, or ``None`` if no peer has.
        """
        for peer in self.list_mates():
            if not peer.is_silent(now_s) and _is_fresh(peer, now_s):
                return peer
        return None


class Count(msgspec.Struct, frozen=True):
    """Numbers of entries.

    :param heard: entries that are heard.
    :param members: entries that are not forgotten.
    """

    heard: int
    members: int


def _is_fresh(peer, now_s):
    age_ms = peer.digest.read_age_ms
    if age_ms < 0 or peer.digest.is_stopping:
        return False
    return now_s - peer.heard_s + age_ms / 1_000 < FRESH_S


def _cut_groups(records):
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
