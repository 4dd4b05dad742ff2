"""Chooses the peer that a request is handed over to.

A peer that reaches the backend servers of a service sends the requests of an entry that
doesn't. It is asked by a relay of one hop.
"""

import collections

import xxhash

# Time for which a peer that could not take a request for a service isn't asked again.
REFUSAL_BACKOFF_S = 0.5
# Entries of other groups that are asked if no member of the own group helps.
MAX_REMOTE_HELPERS = 4
# Most requests that one entry has handed over at a time, and that one takes over.
MAX_HANDED_OVER = 128
MAX_TAKEN_OVER = 256
# Times that one request is handed over.
MAX_HANDOVERS = 3
# Time on the way of a digest, by which a peer's answer must be newer than a silence,
# and age from which it shows no more that servers answer: they may be silent for all.
TRANSIT_S = 0.1
MAX_ANSWER_AGE_S = 0.5


def _is_any(member):
    return True


class Helpers:
    """The peers that send requests for this entry, and how many they have now.

    :param roster: ``members.Roster``.
    :param rng: ``random.Random``.
    """

    def __init__(self, roster, rng):
        self._roster = roster
        self._rng = rng
        self._in_flight = collections.Counter()
        self._refused_until_s = {}

    def choose(self, service, unreached_since_s, now_s, is_askable=_is_any):
        """Chooses a peer for a request, the one with the fewest requests first.

        :param service: name of the service.
        :param unreached_since_s: time in seconds since which no server has answered
            this entry; ``None`` if some do.
        :param now_s: current time in seconds.
        :param is_askable: function of a ``members.Member`` that tells whether it may
            get the request.
        :return: ``members.Member``; ``None`` if no peer can help.
        """
        if self._in_flight.total() >= MAX_HANDED_OVER:
            return None
        peers = [
            peer
            for peer in self._list_group_peers(service, now_s)
            if is_askable(peer.member) and self._may_ask(peer.member, service, now_s)
        ]
        answered = [
            peer
            for peer in peers
            if unreached_since_s is not None
            and _has_heard(peer, service, unreached_since_s, now_s)
        ]
        candidates = answered or peers
        if candidates:
            return min(candidates, key=lambda peer: self._order(peer, service)).member
        return self._choose_remote(service, now_s, is_askable)

    def choose_owner(self, service, names, now_s, is_askable=_is_any):
        """Chooses an entry that has slots of a service, for one that has none.

        :param service: name of the service.
        :param names: names of the entries that have slots.
        :param now_s: current time in seconds.
        :param is_askable: as for ``choose``.
        :return: ``members.Member``; ``None`` if none of them can be asked.
        """
        peers = [self._roster.find(name) for name in names]
        candidates = [
            peer.member
            for peer in peers
            if peer is not None
            and is_askable(peer.member)
            and self._may_ask(peer.member, service, now_s)
        ]
        if not candidates or self._in_flight.total() >= MAX_HANDED_OVER:
            return None
        return min(
            candidates,
            key=lambda member: (self._in_flight[member.name], self._rng.random()),
        )

    def _list_group_peers(self, service, now_s):
        return [
            peer
            for peer in self._roster.list_group_peers()
            if not peer.is_unreachable(now_s)
            and not peer.digest.is_stopping
            and service not in peer.digest.unreached_services
        ]

    def _may_ask(self, member, service, now_s):
        if not member.relay_port:
            return False
        return now_s >= self._refused_until_s.get((member.name, service), now_s)

    def _order(self, peer, service):
        # Traffic between failure domains is slower and dearer.
        is_far = peer.member.domain != self._roster.member.domain
        waiting = peer.digest.waiting.get(service, 0)
        requests = self._in_flight[peer.member.name] + waiting
        return (requests, is_far, self._rng.random())

    def _choose_remote(self, service, now_s, is_askable):
        # All of a failure domain may be cut off, and a group is within one.
        own = self._roster.member
        group = self._roster.group.members
        others = [
            peer.member
            for peer in self._roster
            if peer.member.name not in group and is_askable(peer.member)
        ]
        others.sort(
            key=lambda member: (
                member.domain == own.domain,
                xxhash.xxh64_intdigest(f"{own.name}/{member.name}".encode()),
            )
        )
        candidates = [
            member
            for member in others[:MAX_REMOTE_HELPERS]
            if self._may_ask(member, service, now_s)
        ]
        if not candidates:
            return None
        return min(candidates, key=lambda member: self._in_flight[member.name])

    def has_answered_peer(self, service, since_s, now_s):
        """Tells whether the servers of a service answer some peer of the group.

        :param service: name of the service.
        :param since_s: time in seconds since which they haven't answered this entry.
        :param now_s: current time in seconds.
        """
        peers = self._list_group_peers(service, now_s)
        return any(_has_heard(peer, service, since_s, now_s) for peer in peers)

    def list_asked_services(self, now_s):
        """Lists the services that peers of the group don't reach.

        :param now_s: current time in seconds.
        :return: set of names; this entry tells when it was last answered by them.
        """
        return {
            service
            for peer in self._roster.list_group_peers()
            if not peer.is_unreachable(now_s)
            for service in peer.digest.unreached_services
        }

    def record_start(self, name):
        """Records that a peer is asked to send a request.

        :param name: name of the peer.
        """
        self._in_flight[name] += 1

    def record_end(self, name):
        """Records that a request that was handed over has ended.

        :param name: name of the peer.
        """
        self._in_flight[name] -= 1
        if not self._in_flight[name]:
            del self._in_flight[name]

    def record_refusal(self, name, service, now_s):
        """Records that a peer could not take a request for a service.

        :param name: name of the peer.
        :param service: name of the service.
        :param now_s: current time in seconds.
        """
        refused = self._refused_until_s
        for key in [key for key, until_s in refused.items() if until_s <= now_s]:
            del refused[key]
        refused[name, service] = now_s + REFUSAL_BACKOFF_S


def _has_heard(peer, service, since_s, now_s):
    heard_ms = peer.digest.heard_ms.get(service)
    if heard_ms is None:
        return False
    heard_s = peer.last_received_s - heard_ms / 1_000
    return heard_s > max(since_s + TRANSIT_S, now_s - MAX_ANSWER_AGE_S)
