"""Decides which entries read the store; the others copy from them.

In a small system, the first entry with a fresh read goes on reading. Once no read is
fresh, as the reader has ended or the store turns it away, all entries try: one of them
succeeds soon although answers are lost.

Where there are several groups, one group a failure domain reads. The leader of each
group decides whether its own does, from the reads that the summaries report, and tells
the members in its digest. Within the group, and among the groups of a failure domain,
one after the other tries once no read is fresh, so that a store that is down or busy
doesn't get calls from hundreds of entries.
"""

import msgspec

# Time beyond the poll interval for which a read counts as fresh: a slow response of the
# store, and digests that are late or lost.
FRESH_MARGIN_S = 0.4
# Time for which an entry tries to read before the next one tries.
TURN_S = 0.4
# Time for which a group tries to read before the next one does: enough for two entries
# to try, and for a summary to report the read.
GROUP_TURN_S = 2 * TURN_S
# Reads whose times differ by less count as made at the same time, as digests state
# their ages in whole milliseconds and arrive late.
SAME_TIME_S = 0.1
# Time after its start until which an entry waits for the peers and the groups that it
# hasn't heard of yet.
FIRST_DIGEST_WAIT_S = 1.0


class Reads(msgspec.Struct, frozen=True):
    """What an entry knows of its own reads.

    :param own_s: time of the last read by this entry in seconds; ``None`` before the
        first.
    :param started_s: time in seconds at which the entry began to run.
    :param poll_interval_s: seconds between two reads by the same entry.
    """

    own_s: float | None
    started_s: float
    poll_interval_s: float

    @property
    def fresh_s(self):
        """Age in seconds until which a read counts as fresh."""
        return self.poll_interval_s + FRESH_MARGIN_S

    def is_starting(self, now_s):
        """Tells whether peers that the entry hasn't heard of may still run.

        :param now_s: current time in seconds.
        """
        return now_s - self.started_s < FIRST_DIGEST_WAIT_S


def should_read(roster, reads, now_s):
    """Tells whether this entry reads the store.

    :param roster: ``members.Roster``.
    :param reads: ``Reads``.
    :param now_s: current time in seconds.
    :return: ``True`` for the first entry with a fresh read in a group that reads; if
        there is none, for the entry whose turn it is.
    """
    if roster.has_several_groups and not is_reading_group(roster, reads, now_s):
        return False
    known = _list_reads(roster, reads, now_s)
    for peer, read_s in known:
        if read_s is not None and now_s - read_s < reads.fresh_s:
            return peer is None
    newest_s = _find_newest(read_s for _, read_s in known)
    if not roster.has_several_groups:
        return True
    if newest_s is None:
        rank = [peer for peer, _ in known].index(None)
        return now_s - reads.started_s >= rank * TURN_S
    turn = int((now_s - newest_s - reads.fresh_s) / TURN_S)
    # Groups take turns as well. Without the shift by one in each round, a group whose
    # turns have the same period as its members would always let the same member try.
    turn += turn // len(known)
    peer, _ = _put_last_reader_last(known, newest_s)[turn % len(known)]
    return peer is None


def is_reading_group(roster, reads, now_s):
    """Tells whether the group of this entry reads the store.

    :param roster: ``members.Roster``.
    :param reads: ``Reads``.
    :param now_s: current time in seconds.
    :return: what the leader of the group says; if this entry is the leader, ``True`` if
        its group is the first of the failure domain with a fresh read, or if there is
        none and it is its turn.
    """
    leader = roster.find_leader(now_s)
    if leader is not None:
        return leader.digest.is_reading_group
    own_s = find_group_read(roster, reads, now_s)
    known = _list_group_reads(roster, own_s, reads.is_starting(now_s), now_s)
    # The read of another group is known with the delay of its summaries.
    fresh_s = reads.fresh_s + roster.summary_delay_s
    for is_own, read_s in known:
        limit_s = reads.fresh_s if is_own else fresh_s
        if read_s is not None and now_s - read_s < limit_s:
            return is_own
    newest_s = _find_newest(read_s for _, read_s in known)
    since_s = reads.started_s if newest_s is None else newest_s + reads.fresh_s
    turn = int((now_s - since_s) / GROUP_TURN_S)
    return known[turn % len(known)][0]


def find_group_read(roster, reads, now_s):
    """Finds the latest read of the store by a member of this entry's group.

    :param roster: ``members.Roster``.
    :param reads: ``Reads``.
    :param now_s: current time in seconds.
    :return: time in seconds; ``None`` if no read is known.
    """
    return _find_newest(read_s for _, read_s in _list_reads(roster, reads, now_s))


def _find_newest(times):
    return max((read_s for read_s in times if read_s is not None), default=None)


def _list_reads(roster, reads, now_s):
    # Pairs of peer and time of its read, in the order of the candidates for leader. The
    # peer is None for this entry.
    known = [(roster.member.order, None, reads.own_s)]
    is_waiting = roster.has_several_groups and reads.is_starting(now_s)
    for peer in roster.list_group_peers():
        if peer.digest is None:
            if is_waiting:
                known.append((peer.member.order, peer, None))
        elif not peer.is_unreachable(now_s) and not peer.digest.is_stopping:
            known.append((peer.member.order, peer, peer.read_s))
    known.sort(key=lambda item: item[0])
    return [(peer, read_s) for _, peer, read_s in known]


def _put_last_reader_last(known, newest_s):
    # Its reads have just become stale, so another entry is more likely to succeed.
    for item in known:
        if item[1] is not None and newest_s - item[1] < SAME_TIME_S:
            return [other for other in known if other is not item] + [item]
    return known


def _list_group_reads(roster, own_read_s, is_waiting, now_s):
    # The groups of the failure domain that can be reached, in a common order.
    known = []
    for group in roster.list_domain_groups():
        if group is roster.group:
            known.append((True, own_read_s))
            continue
        summary = roster.group_summaries.get(group.name)
        if summary is None and is_waiting:
            known.append((False, None))
        elif summary is not None and not summary.is_unreachable(now_s):
            known.append((False, summary.read_s))
    return known
