"""Homes of caller-chosen keys: which entry may dispatch the request of a key.

The log holds who joined and who left. Each change opens an epoch that counts for
keys issued ``EPOCH_DELAY_MS`` after it or later, so every entry that has read the
log up to ``EPOCH_DELAY_MS`` before a key's issue time names the same home for it.
Nothing is appended for a request, and no lease is needed: a paused home is still
the only one that may dispatch.
"""

from wasabiknot_kernel import fold, hashing, records, services

LEAVE_AFTER_MS = 3_000


def find_epoch(node, issued_ms):
    """Finds the epoch that a key belongs to.

    :param node: the node.
    :param issued_ms: issue time of the key.
    :return: ``fold.Epoch``, or ``None`` if this node may not tell.
    """
    known_ms = max(node.log_synced_ms, node.state.time_ms)
    if known_ms < issued_ms - fold.EPOCH_DELAY_MS:
        return None
    epochs = node.state.epochs
    if len(epochs) == 1 and known_ms <= epochs[0].effective_ms:
        # The first epoch takes members until it counts.
        return None
    for epoch in reversed(epochs):
        if epoch.effective_ms <= issued_ms:
            return epoch
    return None


def choose_home(epoch, key):
    """Chooses the home of a key.

    :param epoch: epoch of the key.
    :param key: key, scoped by customer.
    :return: ``fold.Member``.
    """
    names = {f"{item.entry}/{item.incarnation}": item for item in epoch.members}
    return names[hashing.choose_node(key, list(names))]


def is_home(node):
    """Whether this incarnation is a home of keys that are issued now.

    :param node: the node.
    :return: ``True`` if a graceful shutdown has to wait.
    """
    epoch = find_epoch(node, node.now_ms)
    if epoch is None or epoch.rule is not services.KeyRule.HOMES:
        return False
    own = fold.Member(node.settings.name, node.settings.incarnation)
    return own in epoch.members


def list_membership_records(node):
    """Lists the records that bring the membership in line with what is seen.

    :param node: the node.
    :return: list of ``Join`` and ``Leave`` records.
    """
    changes = []
    name = node.settings.name
    incarnation = node.settings.incarnation
    is_member = node.state.members.get(name) == incarnation
    if node.is_stopping == is_member:
        kind = records.Leave if is_member else records.Join
        changes.append(_build(kind, name, incarnation, node))
    for entry, joined in node.state.members.items():
        if entry != name and _is_gone(node, entry):
            changes.append(_build(records.Leave, entry, joined, node))
    return changes


def _build(kind, entry, incarnation, node):
    # An incarnation that was wrongly taken for gone joins again, so the id names
    # the state that the record was decided on.
    verb = kind.__name__.lower()
    changed = node.state.epochs[-1].offset if node.state.epochs else -1
    return kind(
        record_id=f"{verb}/{entry}/{incarnation}/{changed}",
        entry=entry,
        incarnation=incarnation,
    )


def _is_gone(node, entry):
    peer = node.roster.find(entry)
    if peer is None:
        # The list of VMs lags, so a new member may be missing from it for a while.
        since_ms = node.missing_since_ms.setdefault(entry, node.now_ms)
    else:
        node.missing_since_ms.pop(entry, None)
        since_ms = peer.listed_ms if peer.received_ms is None else peer.received_ms
    return node.now_ms - since_ms > LEAVE_AFTER_MS
