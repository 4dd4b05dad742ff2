"""The entries of the system: addresses, signs of life, digests."""

import msgspec

from wasabiknot_kernel import crashes, servers

# Silence after which a peer's load is no longer counted.
SILENCE_S = 1.0
# Time for which a silent peer still counts as a member of the system.
MEMORY_S = 12.0


class Member(msgspec.Struct, frozen=True):
    """The record that an entry keeps in the store.

    :param name: its name.
    :param run: id of this run of it.
    :param host: IP number.
    :param port: port for datagrams, and for calls from peers.
    """

    name: str
    run: str
    host: str
    port: int


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """What an entry tells its peers several times a second.

    :param name: the entry.
    :param run: id of this run of it.
    :param sequence: number of the digest within the run.
    :param positions: position read of each topic.
    :param uses: what it has at each backend server.
    :param used: tokens that it let in for each customer since it started.
    :param crash_news: crashes that it saw lately.
    :param is_stopping: whether it takes no more work.
    :param read_age_ms: age of its newest read of the store; -1 before the first.
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


class Peer:
    """A peer and what was last heard of it.

    :param member: ``Member``.
    :param now_s: present time.
    """

    def __init__(self, member, now_s):
        self.member = member
        self.found_s = now_s
        self.heard_s = None
        self.sequence = -1
        self.digest = None

    def is_silent(self, now_s):
        """Whether it has not been heard lately.

        :param now_s: present time.
        :return: ``True`` if its load is unknown.
        """
        return self.heard_s is None or now_s - self.heard_s > SILENCE_S

    def is_forgotten(self, now_s):
        """Whether it has been silent for so long that it is taken to be gone.

        :param now_s: present time.
        :return: ``True`` if it no longer counts as a member.
        """
        return now_s - max(self.found_s, self.heard_s or 0.0) > MEMORY_S


class Roster:
    """All peers of an entry.

    :param name: name of the entry.
    """

    def __init__(self, name):
        self._name = name
        self._peers = {}

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

    def remove(self, name):
        """Removes an entry that has left.

        :param name: its name.
        """
        self._peers.pop(name, None)

    def take_digest(self, digest, now_s):
        """Takes a digest.

        :param digest: ``Digest``.
        :param now_s: present time.
        :return: ``Peer``, or ``None`` if the digest is old or of an unknown run.
        """
        peer = self._peers.get(digest.name)
        if peer is None or peer.member.run != digest.run:
            return None
        if digest.sequence <= peer.sequence:
            return None
        peer.sequence = digest.sequence
        peer.heard_s = now_s
        peer.digest = digest
        return peer

    def count_members(self, now_s):
        """Counts the members, this entry included.

        :param now_s: present time.
        :return: their number.
        """
        return 1 + sum(not peer.is_forgotten(now_s) for peer in self)

    def count_heard(self, now_s):
        """Counts the members that are heard, this entry included.

        :param now_s: present time.
        :return: their number.
        """
        return 1 + sum(not peer.is_silent(now_s) for peer in self)

    def find_rank(self, now_s):
        """Finds the place of this entry among the live members, by name.

        :param now_s: present time.
        :return: number, counted from 0.
        """
        return sum(
            1
            for peer in self
            if not peer.is_silent(now_s)
            and peer.member.name < self._name
            and not (peer.digest is not None and peer.digest.is_stopping)
        )
