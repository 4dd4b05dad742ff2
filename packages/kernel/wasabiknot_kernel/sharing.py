"""Exchanges digests and demands with peers."""

from wasabiknot_kernel import (
    digests,
    effects,
    evidence,
    handlers,
    messages,
    moves,
    preemption,
)

DIGEST_INTERVAL_MS = 200


@handlers.handle.register
def _(message: messages.DigestReceived, node):
    digest = message.digest
    if not node.roster.take(digest, node.now_ms):
        return
    for report in digest.reports:
        node.fleet.take_report(report, node.now_ms)
    if digest.evidence:
        analyze_moves(node)
    # Peers may have freed slots; one look for all digests since the last tick.
    node.is_pump_due = True


@handlers.handle.register
def _(message: messages.YieldReceived, node):
    preemption.yield_slot(node, message.demand)


@handlers.handle.register
def _(message: messages.CrashReceived, node):
    node.crashes.take(message.crash)


def analyze_moves(node):
    """Judges the target of every watched move by all known evidence.

    :param node: the node.
    """
    watched = moves.select_watched(node.state, node.now_ms)
    if not watched and not node.analyses:
        return
    known = list(node.version_stats.list_evidence())
    for peer in node.roster:
        if peer.digest is not None:
            known.extend(peer.digest.evidence)
    node.analyses = {move.offset: _judge_once(node, move, known) for move in watched}
    node.version_stats.retain_moves(set(node.analyses))


def _judge_once(node, move, known):
    before = node.analyses.get(move.offset)
    if before is not None and before.is_bad:
        return before
    return evidence.analyze(
        move, known, lambda cause: node.crashes.is_excused(cause, node.state)
    )


def send_digest(node):
    """Sends a digest to the peers.

    :param node: the node.
    """
    node.digest_sequence += 1
    node.digest_ms = node.now_ms
    digest = digests.Digest(
        entry=node.settings.name,
        incarnation=node.settings.incarnation,
        sequence=node.digest_sequence,
        offset=node.state.offset,
        publication=node.state.publication,
        stopping=node.is_stopping,
        uses=_list_uses(node),
        demands=_list_demands(node),
        reports=tuple(node.own_reports.values()),
        evidence=node.version_stats.list_evidence(),
    )
    node.own_reports.clear()
    node.emit(effects.SendDigest(digest))


def _list_uses(node):
    return tuple(
        digests.InFlightCounts(worker.id, _count_by_rank(node, worker.running.values()))
        for worker in node.fleet
        if worker.running
    )


def _list_demands(node):
    return tuple(
        digests.QueuedCounts(service, _count_by_rank(node, queue))
        for service, queue in node.queues.items()
        if len(queue)
    )


def _count_by_rank(node, requests):
    counts = [0] * len(node.configuration.deployment.tiers)
    for request in requests:
        counts[min(request.rank, len(counts) - 1)] += 1
    return tuple(counts)
