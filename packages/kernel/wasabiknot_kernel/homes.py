"""Assignment of caller-chosen idempotency keys to their home.

The home of a key is the only entry that may dispatch the key's request. The log
records which entries join and leave. Each change opens an epoch for keys that are
issued at least ``EPOCH_DELAY_MS`` later, so all entries that have read the log up to
``EPOCH_DELAY_MS`` before the issue time of a key compute the same home. This needs no
record per request and no lease: while a home is paused, no other entry may dispatch
the requests of its keys.
"""

from wasabiknot_kernel import fold, hashing, records, services

# Time without a digest after which an entry is removed from the members. For an entry
# that is not on the list of VMs, the time since it was found missing.
MEMBER_TIMEOUT_MS = 3_000


def find_epoch(node, issued_ms):
    """Finds the epoch of a key.

    :param node: ``node.Node``.
    :param issued_ms: issue time of the key in Unix milliseconds.
    :return: ``fold.Epoch``, or ``None`` if this node has not read enough of the log
        to determine it.
    """
    synced_ms = max(node.log_synced_ms, node.state.time_ms)
    if synced_ms < issued_ms - fold.EPOCH_DELAY_MS:
        return None
    epochs = node.state.epochs
    if len(epochs) == 1 and synced_ms <= epochs[0].effective_ms:
        # Entries can still join the first epoch until it takes effect.
        return None
    for epoch in reversed(epochs):
        if epoch.effective_ms <= issued_ms:
            return epoch
    return None


def choose_home(epoch, key):
    """Chooses the home of a key.

    :param epoch: ``fold.Epoch`` of the key.
    :param key: idempotency key, scoped by customer.
    :return: ``fold.Member``.
    """
    members = {f"{item.entry}/{item.incarnation}": item for item in epoch.members}
    return members[hashing.choose_node(key, list(members))]


def is_home(node):
    """Tells whether this incarnation can be the home of keys that are issued now.

    :param node: ``node.Node``.
    :return: ``True`` if a graceful shutdown has to wait.
    """
    epoch = find_epoch(node, node.now_ms)
    if epoch is None or epoch.rule is not services.KeyRule.HOMES:
        return False
    own = fold.Member(node.settings.name, node.settings.incarnation)
    return own in epoch.members


def list_membership_records(node):
    """Lists records that add or remove this entry and remove failed members.

    :param node: ``node.Node``.
    :return: list of ``records.Join`` and ``records.Leave``.
    """
    changes = []
    name = node.settings.name
    incarnation = node.settings.incarnation
    is_member = node.state.members.get(name) == incarnation
    if node.is_stopping == is_member:
        record_type = records.Leave if is_member else records.Join
        changes.append(_build_record(record_type, name, incarnation, node))
    for entry, member_incarnation in node.state.members.items():
        if entry != name and _has_failed(node, entry):
            changes.append(
                _build_record(records.Leave, entry, member_incarnation, node)
            )
    return changes


def _build_record(record_type, entry, incarnation, node):
    # An incarnation that was removed although it was running joins again. The offset
    # of the latest epoch distinguishes its new records from the earlier ones.
    verb = record_type.__name__.lower()
    epoch_offset = node.state.epochs[-1].offset if node.state.epochs else -1
    return record_type(
        record_id=f"{verb}/{entry}/{incarnation}/{epoch_offset}",
        entry=entry,
        incarnation=incarnation,
    )


def _has_failed(node, entry):
    peer = node.roster.find(entry)
    if peer is None:
        # The list of VMs is updated with a delay, so a new member may not be on it yet.
        since_ms = node.missing_since_ms.setdefault(entry, node.now_ms)
    else:
        node.missing_since_ms.pop(entry, None)
        since_ms = peer.listed_ms if peer.received_ms is None else peer.received_ms
    return node.now_ms - since_ms > MEMBER_TIMEOUT_MS
