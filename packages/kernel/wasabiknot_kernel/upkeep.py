"""Handlers for periodic work, run at each tick, and for shutdown."""

from wasabiknot_kernel import (
    admission,
    effects,
    events,
    exceptions,
    fold,
    handlers,
    homes,
    keys,
    messages,
    moves,
    records,
    requests,
    scheduling,
    sharing,
)

SNAPSHOT_INTERVAL_RECORDS = 2_000
SNAPSHOT_INTERVAL_MS = 60_000
APPEND_RETRY_INTERVAL_MS = 1_000

Kind = exceptions.ErrorKind


@handlers.handle.register
def _(message: messages.Tick, node):
    for record in node.claims.flush(node.now_ms):
        node.emit(effects.Append(record))
    for record in node.crashes.list_unwritten():
        _append_after_delay(node, record, APPEND_RETRY_INTERVAL_MS)
    _time_out_claims(node)
    _expire_keys(node)
    admission.refuse_infeasible(node)
    if node.now_ms - node.digest_sent_ms < sharing.DIGEST_INTERVAL_MS:
        _dispatch_if_due(node)
        return
    node.is_dispatch_due = False
    sharing.evaluate_moves(node)
    if node.configuration is not None:
        sharing.send_digest(node)
    node.roster.expire(node.now_ms)
    scheduling.update_slot_shares(node)
    for service in node.queues:
        scheduling.dispatch_waiting(node, service)
    _advance_moves(node)
    _update_membership(node)
    _append_snapshot(node)


def _dispatch_if_due(node):
    if not node.is_dispatch_due:
        return
    node.is_dispatch_due = False
    for service, queue in node.queues.items():
        if len(queue):
            scheduling.dispatch_waiting(node, service)


def _time_out_claims(node):
    claiming = requests.RequestState.CLAIMING
    for request in [item for item in node.requests.values() if item.state is claiming]:
        waited_ms = node.now_ms - request.arrived_ms
        limit_ms = min(keys.CLAIM_TIMEOUT_MS, request.call.deadline_ms)
        if waited_ms >= limit_ms:
            node.claims.discard(keys.scope_key(request.message))
            node.refuse(request, Kind.LOG_UNAVAILABLE, exceptions.Ran.UNKNOWN)


def _expire_keys(node):
    cutoff_ms = node.now_ms - node.state.claim_retention_ms
    for request_id in node.keys.expire(cutoff_ms):
        node.emit(effects.Forget(request_id))


def _advance_moves(node):
    for move in moves.list_monitored(node.state, node.now_ms):
        analysis = node.analyses.get(move.offset)
        if analysis is None:
            continue
        record = moves.decide_next_record(move, analysis, node.now_ms)
        if record is None:
            continue
        takeover_rank = node.roster.compute_own_rank(str(move.offset), node.now_ms)
        _append_after_delay(node, record, takeover_rank * moves.TAKEOVER_DELAY_MS)


def _update_membership(node):
    if not node.replica.is_complete or node.is_refreshing:
        return
    for record in homes.list_membership_records(node):
        is_own = record.entry == node.settings.name
        takeover_rank = 0
        if not is_own:
            takeover_rank = node.roster.compute_own_rank(record.record_id, node.now_ms)
        _append_after_delay(node, record, takeover_rank * moves.TAKEOVER_DELAY_MS)


def _append_after_delay(node, record, delay_ms):
    due_ms = node.append_due_ms.setdefault(record.record_id, node.now_ms + delay_ms)
    if node.now_ms < due_ms:
        return
    node.append_due_ms[record.record_id] = node.now_ms + APPEND_RETRY_INTERVAL_MS
    node.emit(effects.Append(record))


def _append_snapshot(node):
    state = node.state
    if not node.replica.is_complete or state.configuration is None:
        return
    record_count = state.offset - max(state.snapshot, 0)
    if record_count == 0:
        return
    since_ms = state.snapshot_ms or _find_first_ms(state)
    age_ms = node.log_time_ms - since_ms
    if record_count < SNAPSHOT_INTERVAL_RECORDS and age_ms < SNAPSHOT_INTERVAL_MS:
        return
    takeover_rank = node.roster.compute_own_rank(
        f"snapshot/{state.snapshot}", node.now_ms
    )
    key = f"snapshot-due/{state.snapshot}"
    due_ms = node.append_due_ms.setdefault(
        key, node.now_ms + takeover_rank * moves.TAKEOVER_DELAY_MS
    )
    if node.now_ms < due_ms:
        return
    node.append_due_ms[key] = node.now_ms + APPEND_RETRY_INTERVAL_MS
    node.log_event(events.Event.SNAPSHOT, offset=state.offset)
    record = records.Snapshot(
        record_id=f"{node.settings.name}/{node.settings.incarnation}"
        f"/snapshot/{state.offset}",
        based_on=state.offset,
        state=fold.encode_state(state),
    )
    node.emit(effects.Append(record))


def _find_first_ms(state):
    return state.epochs[0].effective_ms if state.epochs else state.time_ms


@handlers.handle.register
def _(message: messages.StopWanted, node):
    node.is_stopping = True
    node.log_event(events.Event.STOPPING, running=len(node.requests))
    for request in list(node.requests.values()):
        if request.state is requests.RequestState.WAITING:
            node.queue(request.message.service).remove(request)
            node.refuse(request, Kind.STOPPING)
        elif request.state is requests.RequestState.CLAIMING:
            node.refuse(request, Kind.STOPPING, exceptions.Ran.UNKNOWN)
    if node.configuration is not None:
        sharing.send_digest(node)
