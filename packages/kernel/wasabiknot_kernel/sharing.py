"""Exchange of digests, yield demands and crashes with peers."""

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
    if not node.roster.apply_digest(digest, node.now_ms):
        return
    for report in digest.reports:
        node.fleet.apply_report(report, node.now_ms)
    if digest.evidence:
        evaluate_moves(node)
    # Peers may have freed slots. The next tick dispatches once for all digests that
    # arrived since the previous one.
    node.is_dispatch_due = True


@handlers.handle.register
def _(message: messages.YieldReceived, node):
    preemption.yield_slot(node, message.demand)


@handlers.handle.register
def _(message: messages.CrashReceived, node):
    node.crashes.add(message.crash)


def evaluate_moves(node):
    """Evaluates the target of every monitored rollout by the evidence of all entries.

    :param node: the node.
    """
    monitored_moves = moves.list_monitored(node.state, node.now_ms)
    if not monitored_moves and not node.analyses:
        return
    all_evidence = list(node.version_stats.list_evidence())
    for peer in node.roster:
        if peer.digest is not None:
            all_evidence.extend(peer.digest.evidence)
    node.analyses = {
        move.offset: _evaluate_move(node, move, all_evidence)
        for move in monitored_moves
    }
    node.version_stats.retain_moves(set(node.analyses))


def _evaluate_move(node, move, all_evidence):
    previous = node.analyses.get(move.offset)
    if previous is not None and previous.is_bad:
        return previous
    return evidence.analyze(
        move, all_evidence, lambda cause: node.crashes.is_excused(cause, node.state)
    )


def send_digest(node):
    """Sends the digest of this entry to its peers.

    :param node: the node.
    """
    node.digest_sequence += 1
    node.digest_sent_ms = node.now_ms
    digest = digests.Digest(
        entry=node.settings.name,
        incarnation=node.settings.incarnation,
        sequence=node.digest_sequence,
        offset=node.state.offset,
        publication=node.state.publication,
        stopping=node.is_stopping,
        uses=_list_uses(node),
        demands=_list_demands(node),
        reports=tuple(node.pending_reports.values()),
        evidence=node.version_stats.list_evidence(),
    )
    node.pending_reports.clear()
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
