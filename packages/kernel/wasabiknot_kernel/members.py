"""Cluster membership: peers, groups, leaders and the digests they exchange."""

import collections
import typing

import msgspec

from wasabiknot_kernel import (
    brittleness,
    crash_records,
    customer_shares,
    decoding,
    response_stats,
    server_paces,
    servers,
    silences,
    slot_claims,
    statements,
)

# Time without a digest after which the load of a peer is no longer counted.
UNREACHABLE_AFTER_S = 1.0
# Time without a digest after which a peer no longer counts as a member.
EXPIRY_S = 12.0
# Target number of entries in a group. The members of a group exchange full digests;
# larger systems are partitioned into groups within failure domains, whose leaders
# exchange summaries.
GROUP_SIZE = 10
# Largest number of entries that form a single group.
MAX_SINGLE_GROUP = 12
# Group name in the summary of all other groups that a leader sends to its group.
REMOTE_GROUPS = "rest"
# Formats of digests: JSON in full, and changes in MessagePack.
JSON_FORMAT = 1
CHANGES_FORMAT = 2
# Interval at which an entry sends digests.
DIGEST_INTERVAL_S = 0.1
# A summary is sent with every nth digest. Summaries grow with the system, so n is the
# number of groups divided by GROUPS_PER_EXTRA_DIGEST, if that exceeds the minimum.
MIN_DIGESTS_PER_SUMMARY = 2
GROUPS_PER_EXTRA_DIGEST = 5
# Consecutive summaries that may be lost before a group counts as unreachable.
MAX_LOST_SUMMARIES = 3


class Member(msgspec.Struct, frozen=True):
    """The membership record that an entry stores.

    :param name: name of the entry.
    :param run: id of the current run of the process.
    :param host: IP address.
    :param port: port for datagrams and for HTTP requests of peers.
    :param domain: failure domain in which the entry runs.
    :param capacity: capacity relative to other entries.
    :param relay_port: port for requests that peers hand over; 0 if it takes none.
    :param digest_format: highest format of digests that it understands, see
        ``digest_datagrams``; 1 is JSON.
    """

    name: str
    run: str
    host: str
    port: decoding.Port
    domain: str = ""
    capacity: decoding.Number = 1.0
    relay_port: typing.Annotated[int, msgspec.Meta(ge=0, le=decoding.MAX_PORT)] = 0
    digest_format: int = JSON_FORMAT

    @property
    def order(self):
        """Sort key; the entry with the most capacity leads its group."""
        return (-self.capacity, self.name)


def decode_member(data):
    """Decodes a membership record.

    :param data: bytes from the store.
    :return: ``Member``.
    :raises msgspec.MsgspecError: if it is malformed.
    """
    member = decoding.decode_json(data, Member)
    decoding.check_host(member.host)
    return member


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """State that an entry sends to its peers several times a second.

    :param name: name of the sender.
    :param run: id of the current run of the sender.
    :param sequence: sequence number of the digest within the run.
    :param positions: position behind the newest change that affected scheduling, by
        topic.
    :param loads: requests in flight and their unprocessed prompt tokens, by backend
        server.
    :param used: tokens admitted since the start of the run, by customer.
    :param recent_crashes: crashes that the sender has learnt of recently, and those
        that the store does not keep yet.
    :param is_stopping: whether the sender accepts no more requests.
    :param read_age_ms: age of the sender's last read of the store; -1 before the
        first.
    :param group: group that a summary covers; empty for the digest of one entry.
    :param reachable: number of reachable entries that the digest covers.
    :param members: number of entries that the digest covers and have not expired.
    :param evidence: results of requests by version, during a release.
    :param waiting: number of queued requests, by service.
    :param faulty_servers: backend servers that the sender considers faulty.
    :param refused_servers: ids and start times of the backend servers that have
        recently refused a connection of the sender.
    :param cleared_requests: unused; earlier versions list fingerprints here.
    :param responses: complete responses to requests with several crashes, by
        fingerprint.
    :param limits: limits that backend servers have stated lately.
    :param leaving_servers: backend servers that have lately stated that they leave.
    :param silence_reports: whether backend servers of services with a release respond.
    :param unreached_services: services whose servers don't answer the sender.
    :param heard_ms: age of the newest answer of a server to the sender in milliseconds,
        by service, for the services that peers have listed as unreached.
    :param brittle_services: services whose servers have lately stated to be brittle, or
        to be so no more.
    :param is_reading_group: whether members of the sender's group read the store.
    :param queue_heads: first request of each queue, by service.
    :param customer_work: work of the customers that are furthest above their shares.
    :param paces: paces that the sender has recently read from backend servers.
    :param broken_servers: backend servers that have recently refused or reset a
        connection, if their services limit cold ones.
    """

    name: str
    run: str
    sequence: int
    positions: dict[str, int]
    loads: dict[str, servers.PeerLoad]
    used: dict[str, int]
    recent_crashes: tuple[crash_records.Crash, ...] = ()
    is_stopping: bool = False
    read_age_ms: int = -1
    group: str = ""
    reachable: int = 1
    members: int = 1
    evidence: dict[str, response_stats.ResponseStats] = {}
    waiting: dict[str, int] = {}
    faulty_servers: tuple[str, ...] = ()
    refused_servers: tuple[str, ...] = ()
    cleared_requests: tuple[str, ...] = ()
    responses: dict[str, int] = {}
    limits: tuple[statements.LimitReport, ...] = ()
    leaving_servers: tuple[statements.LeavingReport, ...] = ()
    silence_reports: dict[str, silences.SilenceReport] = {}
    unreached_services: tuple[str, ...] = ()
    heard_ms: dict[str, int] = {}
    brittle_services: tuple[brittleness.BrittleReport, ...] = ()
    is_reading_group: bool = True
    queue_heads: dict[str, slot_claims.QueueHead] = {}
    customer_work: tuple[customer_shares.CustomerWork, ...] = ()
    paces: tuple[server_paces.PaceReport, ...] = ()
    broken_servers: tuple[statements.BrokenConnectionReport, ...] = ()

    def find_channel(self):
        """Finds the channel by which the receiver learns what the digest reports.

        :return: ``statements.Channel``.
        """
        if self.group:
            return statements.Channel.REMOTE
        return statements.Channel.GROUP


class Bundle(msgspec.Struct, frozen=True, array_like=True):
    """The digests and summaries in one datagram.

    :param digests: digest of the sender or summaries that it has built.
    """

    digests: tuple[Digest, ...]


class Peer:
    """A peer and its latest digest.

    :param member: ``Member``.
    :param now_s: current time in seconds.
    :param timeout_s: time without a digest after which the peer is unreachable.
    """

    def __init__(self, member, now_s, timeout_s=UNREACHABLE_AFTER_S):
        self.member = member
        self._timeout_s = timeout_s
        self.discovered_s = now_s
        self.last_received_s = None
        self.sequence = -1
        self.digest = None

    def is_unreachable(self, now_s):
        """Tells whether no digest has arrived within the timeout.

        :param now_s: current time in seconds.
        :return: ``True`` if the load of the peer is unknown.
        """
        return (
            self.last_received_s is None
            or now_s - self.last_received_s > self._timeout_s
        )

    @property
    def read_s(self):
        """Time of its last read of the store in seconds; ``None`` if it has none."""
        if self.digest is None or self.digest.read_age_ms < 0:
            return None
        return self.last_received_s - self.digest.read_age_ms / 1_000

    def is_expired(self, now_s):
        """Tells whether the peer has sent nothing for ``EXPIRY_S``.

        :param now_s: current time in seconds.
        :return: ``True`` if the peer no longer counts as a member.
        """
        return now_s - max(self.discovered_s, self.last_received_s or 0.0) > EXPIRY_S


def list_reachable_digests(peers, now_s):
    """Lists the digests of the peers that can be reached.

    :param peers: list of ``Peer``.
    :param now_s: current time in seconds.
    :return: mapping of names to ``Digest``.
    """
    return {
        peer.member.name: peer.digest
        for peer in peers
        if not peer.is_unreachable(now_s)
    }


class Group(msgspec.Struct, frozen=True):
    """Entries that exchange full digests with each other.

    :param name: name of the group.
    :param members: sorted names of its members.
    :param domain: failure domain of the members; empty if there is only one group.
    """

    name: str
    members: tuple[str, ...]
    domain: str = ""


class Roster:
    """The peers of an entry and their partition into groups.

    :param member: ``Member`` of this entry.
    """

    def __init__(self, member):
        self.member = member
        self._name = member.name
        self._peers = {}
        self._groups = {}
        # Lets callers detect that the groups have changed.
        self.groups_version = 0
        self.group_summaries = {}
        # Number of summaries sent to candidates for leader, by name of the group.
        self._summary_turns = collections.Counter()
        self.group = Group("all", (member.name,))

    def __iter__(self):
        return iter(self._peers.values())

    def apply_member(self, member, now_s):
        """Adds an entry, or replaces its previous run.

        :param member: ``Member``.
        :param now_s: current time in seconds.
        """
        if member.name == self._name:
            return
        peer = self._peers.get(member.name)
        if peer is None or peer.member.run != member.run:
            self._peers[member.name] = Peer(member, now_s)
            self._regroup()

    def remove(self, name):
        """Removes an entry that has left.

        :param name: name of the entry.
        """
        if self._peers.pop(name, None) is not None:
            self._regroup()

    def _regroup(self):
        self.groups_version += 1
        records = [self.member, *(peer.member for peer in self)]
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
        """Number of digests sent per summary."""
        return max(
            MIN_DIGESTS_PER_SUMMARY, len(self._groups) // GROUPS_PER_EXTRA_DIGEST
        )

    @property
    def summary_delay_s(self):
        """Delay in seconds of reports from another group, which pass two leaders."""
        return 2 * self.digests_per_summary * DIGEST_INTERVAL_S

    def list_group_peers(self):
        """Lists the other members of this entry's group.

        :return: list of ``Peer``, the first candidate for leader first.
        """
        return self._list_candidates(self.group)

    def _list_candidates(self, group):
        known = [self._peers[name] for name in group.members if name in self._peers]
        return sorted(known, key=lambda peer: peer.member.order)

    def list_names(self, now_s):
        """Lists the entries that are not known to have ended, including this one.

        :param now_s: current time in seconds.
        :return: tuple of names; entries of other groups count until they are removed.
        """
        expired = {
            peer.member.name
            for peer in self.list_group_peers()
            if peer.is_expired(now_s)
        }
        names = {self._name, *self._peers}
        return tuple(sorted(names - expired))

    def list_domain_groups(self):
        """Lists the groups of this entry's failure domain, in a common order.

        :return: list of ``Group``, including the own one.
        """
        domain = self.group.domain
        groups = [item for item in self._groups.values() if item.domain == domain]
        return groups or [self.group]

    def list_other_groups(self):
        """Lists the groups that this entry is not a member of.

        :return: list of ``Group``.
        """
        return [item for item in self._groups.values() if item is not self.group]

    def list_summary_recipients(self, group, now_s):
        """Lists the peers that receive the next summary for another group.

        :param group: ``Group``.
        :param now_s: current time in seconds.
        :return: list with the peer that leads the group by its own account and the
            first candidate, mostly the same one; while no peer leads it, the first
            candidate every other time, and each of the others in turn.
        """
        candidates = self._list_candidates(group)
        summary = self.group_summaries.get(group.name)
        if summary is not None and not summary.is_unreachable(now_s):
            leader = self._peers.get(summary.digest.name)
            if leader is not None:
                return [leader, *(item for item in candidates[:1] if item != leader)]
        return self._take_turns(group, candidates)

    def _take_turns(self, group, candidates):
        # Summaries for all of them would fill the link of an entry that hears nobody.
        if len(candidates) < 2:
            return candidates
        first, *others = candidates
        round_number, is_odd = divmod(self._summary_turns[group.name], 2)
        self._summary_turns[group.name] += 1
        return [others[round_number % len(others)] if is_odd else first]

    def find(self, name):
        """Finds a peer by name.

        :param name: name of the peer.
        :return: ``Peer`` or ``None``.
        """
        return self._peers.get(name)

    def apply_digest(self, digest, now_s):
        """Stores a digest as the latest of its sender.

        :param digest: ``Digest``.
        :param now_s: current time in seconds.
        :return: ``Peer``, or ``None`` if the digest is out of order, of an unknown
            run, or a summary that is not meant for this entry.
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
        peer.last_received_s = now_s
        peer.digest = digest
        return peer

    def _get_summary_sender(self, digest, member, now_s):
        # Leaders use the summaries of the other groups, the other members only the
        # combined summary of their leader.
        is_remote = digest.group == REMOTE_GROUPS
        if is_remote == self.is_leader(now_s) or digest.group == self.group.name:
            return None
        self._drop_summaries(is_remote)
        sender = self.group_summaries.get(digest.group)
        if sender is not None and sender.member.run == member.run:
            return sender
        has_sender = sender is not None and not sender.is_unreachable(now_s)
        if has_sender and sender.member.order < member.order:
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
        """Counts the entries of this entry's group, including itself.

        :param now_s: current time in seconds.
        :return: ``Count``.
        """
        peers = self.list_group_peers()
        return Count(
            reachable=1 + sum(not peer.is_unreachable(now_s) for peer in peers),
            members=1 + sum(not peer.is_expired(now_s) for peer in peers),
        )

    def count(self, now_s):
        """Counts the entries of all groups, including this one.

        :param now_s: current time in seconds.
        :return: ``Count``.
        """
        own_group = self.count_group(now_s)
        other_groups = self.count_other_groups(now_s)
        return Count(
            own_group.reachable + other_groups.reachable,
            own_group.members + other_groups.members,
        )

    def count_other_groups(self, now_s):
        """Counts the entries of the other groups.

        :param now_s: current time in seconds.
        :return: ``Count``.
        """
        reachable = 0
        members = 0
        for summary in self.group_summaries.values():
            if summary.digest is None or summary.is_expired(now_s):
                continue
            members += summary.digest.members
            if not summary.is_unreachable(now_s):
                reachable += summary.digest.reachable
        return Count(reachable, members)

    def is_leader(self, now_s):
        """Tells whether this entry is the leader of its group.

        :param now_s: current time in seconds.
        :return: ``True`` if each member that sorts before it is unreachable or is
            shutting down.
        """
        return self.find_leader(now_s) is None

    def find_leader(self, now_s):
        """Finds the peer that leads the group of this entry.

        :param now_s: current time in seconds.
        :return: ``Peer``; ``None`` if this entry is the leader.
        """
        for peer in self.list_group_peers():
            if peer.member.order > self.member.order:
                return None
            if not peer.is_unreachable(now_s) and not peer.digest.is_stopping:
                return peer
        return None


class Count(msgspec.Struct, frozen=True):
    """Numbers of entries.

    :param reachable: entries that are reachable.
    :param members: entries that have not expired.
    """

    reachable: int
    members: int


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
