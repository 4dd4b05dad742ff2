"""Limits of requests a second that backend servers state, divided among entries.

A limit means all entries together. It is divided equally among a few entries, its
senders, which all entries choose alike:

- unlimited: until a response states a limit, read here or reported by a peer.
- limited, and a sender: chosen by rendezvous hashing; sends at its part of the rate.
- limited, and no sender: sends nothing, but for one request if nobody has read the
  limit for a while, to find out whether it still holds.

A limit ends with a response that states none to a request sent after the limit was
last read, with the report of such a response, and with the server's end or restart.
"""

import functools

import msgspec

from wasabiknot_kernel import hashing, rate_limiters, statements

# Requests that a server takes beyond its limit within a few seconds. Each sender may
# save up one request, so their number is bounded by this plus a second of the limit.
SPARE_REQUESTS = 3
# Lowest rate that is shared out: without any request the end of a limit isn't noticed.
MIN_RATE_PER_S = 0.1
# Time without a statement after which the entries that are no senders take turns in
# sending a request, to find out whether the limit still holds.
SILENCE_S = 30.0
TURN_S = 5.0
# At least the number of backend servers that may have a limit at a time.
RANKING_CACHE_SIZE = 1_024
# Time for which an ended limit is remembered.
MEMORY_S = 10.0


class Candidates(msgspec.Struct, frozen=True):
    """Entries that may send to a limited backend server.

    :param preferred: sorted names of the entries among which the senders are chosen.
    :param others: sorted names of the other entries.
    """

    preferred: tuple[str, ...]
    others: tuple[str, ...] = ()


class Limit(msgspec.Struct):
    """The limit of a backend server, as known to this entry.

    :param rate_per_s: requests a second from all entries together; ``None`` once the
        server states no limit any more.
    :param stated_s: time in seconds at which an entry last read this.
    :param source: ``statements.Channel`` of the newest statement.
    :param rate_limiter: ``rate_limiters.RateLimiter`` of this entry; its rate is 0 if
        it is no sender.
    """

    rate_per_s: float | None
    stated_s: float
    source: statements.Channel
    rate_limiter: rate_limiters.RateLimiter


class Place(msgspec.Struct, frozen=True):
    """The place of an entry among those that may send to a limited backend server.

    :param rank: number of entries before it.
    :param senders: number of entries that are senders, the first ones.
    :param entries: number of all.
    """

    rank: int
    senders: int
    entries: int

    @property
    def is_sender(self):
        """Whether the entry gets a part of the limit."""
        return self.rank < self.senders

    def has_turn(self, silence_s):
        """Tells whether the entry is to find out whether the limit still holds.

        :param silence_s: time in seconds since the limit was last stated, at least
            ``SILENCE_S``.
        :return: ``True`` for one of the entries that are no senders at a time.
        """
        turns = max(1, self.entries - self.senders)
        turn = int(silence_s / TURN_S) % turns
        return turn == self.rank - self.senders


class LimitTable:
    """The limits of backend servers, by their ids.

    :param name: name of this entry.
    :param changes: list to which ``statements.Change`` are added.
    """

    def __init__(self, name, changes):
        self._name = name
        self._limits = {}
        self._changes = changes
        # Function of a server id and the time that returns ``Candidates``.
        self.find_candidates = lambda server_id, now_s: Candidates((name,))
        # Fraction of a limit that the entries in touch with this one may use.
        self.share = 1.0
        # Function of a limit that returns the largest number of senders.
        self.count_senders = _count_senders
        # Time in seconds for which an entry that becomes a sender waits, while the
        # former one may not know it yet.
        self.takeover_s = 0.0

    def __len__(self):
        return len(self._limits)

    def record(self, server_id, limit_per_s, sent_s, now_s):
        """Records what a response to this entry states.

        A response without a limit ends the limit only if its request was sent after
        the limit was last stated: responses may overtake each other.

        :param server_id: id of the backend server.
        :param limit_per_s: requests a second; ``None`` if it states no limit.
        :param sent_s: time in seconds at which the request was sent.
        :param now_s: current time in seconds.
        """
        limit = self._limits.get(server_id)
        if limit_per_s is None and (limit is None or sent_s < limit.stated_s):
            return
        self._set_limit(server_id, limit_per_s, now_s, statements.Channel.OWN, now_s)

    def apply_reports(self, reports, channel, now_s):
        """Applies the limits in the digest of a peer that are newer than known here.

        :param reports: iterable of ``statements.LimitReport``.
        :param channel: ``statements.Channel`` of the digest.
        :param now_s: current time in seconds.
        """
        for report in reports:
            stated_s = now_s - report.age_ms / 1_000
            limit = self._limits.get(report.server_id)
            if limit is None or stated_s > limit.stated_s:
                self._set_limit(
                    report.server_id, report.rate_per_s, stated_s, channel, now_s
                )

    def _set_limit(self, server_id, rate_per_s, stated_s, source, now_s):
        limit = self._limits.get(server_id)
        if limit is None:
            limit = Limit(None, stated_s, source, rate_limiters.RateLimiter(now_s))
            self._limits[server_id] = limit
        limit.stated_s = stated_s
        limit.source = source
        if limit.rate_per_s == rate_per_s:
            return
        if limit.rate_per_s is None:
            limit.rate_limiter = rate_limiters.RateLimiter(now_s)
        limit.rate_per_s = rate_per_s
        kind = statements.ChangeKind.LIMITED
        if rate_per_s is None:
            kind = statements.ChangeKind.UNLIMITED
        self._changes.append(statements.Change(server_id, kind, rate_per_s, source))
        self._update_rate(server_id, limit, now_s)

    def _update_rate(self, server_id, limit, now_s):
        if limit.rate_per_s is None:
            return
        place = self._find_place(server_id, limit, now_s)
        rate_per_s = 0.0
        if place.is_sender:
            rate_per_s = max(limit.rate_per_s, MIN_RATE_PER_S) * self.share
            rate_per_s /= place.senders
        limit.rate_limiter.set_rate(rate_per_s, now_s)

    def _find_place(self, server_id, limit, now_s):
        candidates = self.find_candidates(server_id, now_s)
        max_senders = self.count_senders(limit.rate_per_s)
        senders = min(len(candidates.preferred), max_senders)
        ranking = _rank(server_id, candidates)
        rank = ranking.index(self._name) if self._name in ranking else len(ranking)
        return Place(rank, senders, len(ranking))

    def tick(self, now_s, known_ids):
        """Chooses the senders again, and drops what no longer matters.

        :param now_s: current time in seconds.
        :param known_ids: ids of the registered backend servers.
        """
        for server_id, limit in list(self._limits.items()):
            age_s = now_s - limit.stated_s
            is_ended = limit.rate_per_s is None and age_s > MEMORY_S
            is_unknown = server_id not in known_ids
            if is_ended or (is_unknown and age_s > statements.UNREGISTERED_MEMORY_S):
                del self._limits[server_id]
            else:
                self._update_role(server_id, limit, now_s)

    def _update_role(self, server_id, limit, now_s):
        was_sender = limit.rate_limiter.rate_per_s > 0.0
        self._update_rate(server_id, limit, now_s)
        if self.takeover_s and not was_sender and limit.rate_limiter.rate_per_s > 0.0:
            limit.rate_limiter.hold(now_s + self.takeover_s)

    def forget(self, server_id):
        """Forgets what a backend server has stated, as it has ended or restarted.

        :param server_id: id of the backend server.
        """
        self._limits.pop(server_id, None)

    def find_rate(self, server_id):
        """Finds the limit of a backend server.

        :param server_id: id of the backend server.
        :return: requests a second from all entries together; ``None`` for no limit.
        """
        limit = self._limits.get(server_id)
        return limit.rate_per_s if limit is not None else None

    def list_ids(self):
        """Lists the backend servers that state a limit.

        :return: list of ids.
        """
        return [
            server_id
            for server_id, limit in self._limits.items()
            if limit.rate_per_s is not None
        ]

    def may_send(self, server_id, now_s):
        """Tells whether a request may be sent to a backend server now.

        :param server_id: id of the backend server.
        :param now_s: current time in seconds.
        :return: ``False`` if this entry has used up its part of the server's limit.
        """
        limit = self._limits.get(server_id)
        if limit is None or limit.rate_per_s is None:
            return True
        if limit.rate_limiter.rate_per_s <= 0.0:
            silence_s = now_s - limit.stated_s
            if silence_s < SILENCE_S:
                return False
            return self._find_place(server_id, limit, now_s).has_turn(silence_s)
        return limit.rate_limiter.may_send(now_s)

    def record_send(self, server_id, now_s):
        """Records that a request is sent to a backend server.

        :param server_id: id of the backend server.
        :param now_s: current time in seconds.
        """
        limit = self._limits.get(server_id)
        if limit is None or limit.rate_per_s is None:
            return
        limit.rate_limiter.record_send(now_s)
        if limit.rate_limiter.rate_per_s <= 0.0:
            # The response to this request tells; until then no further one is sent.
            limit.stated_s = now_s

    def find_rate_limiter(self, server_id):
        """Finds the rate limiter of this entry's sends to a backend server.

        :param server_id: id of the backend server.
        :return: ``rate_limiters.RateLimiter``; ``None`` if the server has no limit.
        """
        limit = self._limits.get(server_id)
        if limit is None or limit.rate_per_s is None:
            return None
        return limit.rate_limiter

    def list_reports(self, now_s, channels):
        """Lists the latest statements for a digest.

        :param now_s: current time in seconds.
        :param channels: set of ``statements.Channel``; only what came by one of them is
            listed.
        :return: tuple of ``statements.LimitReport``.
        """
        return tuple(
            statements.LimitReport(
                server_id, limit.rate_per_s, round((now_s - limit.stated_s) * 1_000)
            )
            for server_id, limit in self._limits.items()
            if statements.is_reported(limit.source, limit.stated_s, channels, now_s)
        )


def _count_senders(rate_per_s):
    return int(rate_per_s) + SPARE_REQUESTS


@functools.lru_cache(maxsize=RANKING_CACHE_SIZE)
def _rank(server_id, candidates):
    return (
        *hashing.rank_nodes(server_id, candidates.preferred),
        *hashing.rank_nodes(server_id, candidates.others),
    )
