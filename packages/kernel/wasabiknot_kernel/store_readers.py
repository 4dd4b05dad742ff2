"""Decides which entry of a group reads the store; the others copy from it.

The first entry with a fresh read goes on reading. Once no read is fresh, as the reader
has ended or the store turns it away, all entries of a small system try: one of them
succeeds soon although answers are lost. Where there are several groups, the entries of
each try in turn, so that a store that is down or busy isn't asked by hundreds.
"""

# Time beyond the poll interval for which a read counts as fresh: a slow response of the
# store, and digests that are late or lost.
FRESH_MARGIN_S = 0.4
# Time for which an entry tries before it is the turn of the next one too.
TURN_S = 0.4


def should_read(roster, own_read_s, poll_interval_s, now_s):
    """Tells whether this entry reads the store for its group.

    :param roster: ``members.Roster``.
    :param own_read_s: time of the last read by this entry in seconds; ``None`` before
        the first.
    :param poll_interval_s: seconds between two reads by the same entry.
    :param now_s: current time in seconds.
    :return: ``True`` for the first entry with a fresh read; if there is none, for the
        entry whose turn it is.
    """
    reads = _list_reads(roster, own_read_s, now_s)
    fresh_s = poll_interval_s + FRESH_MARGIN_S
    for peer, read_s in reads:
        if read_s is not None and now_s - read_s < fresh_s:
            return peer is None
    newest_s = max((read_s for _, read_s in reads if read_s is not None), default=None)
    if newest_s is None or not roster.has_several_groups:
        return True
    turn = int((now_s - newest_s - fresh_s) / TURN_S)
    peer, _ = reads[turn % len(reads)]
    return peer is None


def _list_reads(roster, own_read_s, now_s):
    # In the order of the candidates for leader; no peer stands for this entry.
    reads = [(roster.member.order, None, own_read_s)]
    for peer in roster.list_group_peers():
        if not peer.is_unreachable(now_s) and not peer.digest.is_stopping:
            reads.append((peer.member.order, peer, peer.read_s))
    reads.sort(key=lambda item: item[0])
    return [(peer, read_s) for _, peer, read_s in reads]
