"""Regular work: digests, deadlines, claims, moves, snapshots, shutdown."""

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

SNAPSHOT_RECORDS = 2_000
SNAPSHOT_AGE_MS = 60_000
APPEND_RETRY_MS = 1_000

Kind = exceptions.ErrorKind


@handlers.handle.register
def _(message: messages.Tick, node):
    for record in node.claims.flush(node.now_ms):
        node.emit(effects.Append(record))
    _give_up_claims(node)
    _expire_keys(node)
    admission.refuse_hopeless(node)
    if node.now_ms - node.digest_ms < sharing.DIGEST_INTERVAL_MS:
        _pump_if_due(node)
        return
    node.is_pump_due = False
    sharing.analyze_moves(node)
    if node.configuration is not None:
        sharing.send_digest(node)
    node.roster.expire(node.now_ms)
    scheduling.share_allowances(node)
    for service in node.queues:
        scheduling.pump(node, service)
    _advance_moves(node)
    _update_membership(node)
    _append_snapshot(node)


def _pump_if_due(node):
    if not node.is_pump_due:
        return
    node.is_pump_due = False
    for service, queue in node.queues.items():
        if len(queue):
            scheduling.pump(node, service)


def _give_up_claims(node):
    claiming = requests.RequestState.CLAIMING
    for request in [r for r in node.requests.values() if r.state is claiming]:
        waited_ms = node.now_ms - request.arrived_ms
        limit_ms = min(keys.CLAIM_TIMEOUT_MS, request.call.deadline_ms)
        if waited_ms >= limit_ms:
            node.claims.drop(keys.scope_key(request.message))
            node.refuse(request, Kind.LOG_UNAVAILABLE, exceptions.Ran.UNKNOWN)


def _expire_keys(node):
    before_ms = node.now_ms - node.state.claim_retention_ms
    for request_id in node.keys.expire(before_ms):
        node.emit(effects.Forget(request_id))


def _advance_moves(node):
    for move in moves.select_watched(node.state, node.now_ms):
        verdict = node.analyses.get(move.offset)
        if verdict is None:
            continue
        record = moves.decide(move, verdict, node.now_ms)
        if record is None:
            continue
        rank = node.roster.rank_self(str(move.offset), node.now_ms)
        _append_in_turn(node, record, rank * moves.TAKEOVER_MS)


def _update_membership(node):
    if not node.replica.is_complete or node.is_refreshing:
        return
    for record in homes.list_changes(node):
        is_own = record.entry == node.settings.name
        rank = 0
        if not is_own:
            rank = node.roster.rank_self(record.record_id, node.now_ms)
        _append_in_turn(node, record, rank * moves.TAKEOVER_MS)


def _append_in_turn(node, record, delay_ms):
    wanted_ms = node.appended.setdefault(record.record_id, node.now_ms + delay_ms)
    if node.now_ms < wanted_ms:
        return
    node.appended[record.record_id] = node.now_ms + APPEND_RETRY_MS
    node.emit(effects.Append(record))


def _append_snapshot(node):
    state = node.state
    if not node.replica.is_complete or state.configuration is None:
        return
    behind = state.offset - max(state.snapshot, 0)
    if behind == 0:
        return
    started_ms = state.snapshot_ms or _find_first_ms(state)
    age_ms = node.log_time_ms - started_ms
    if behind < SNAPSHOT_RECORDS and age_ms < SNAPSHOT_AGE_MS:
        return
    rank = node.roster.rank_self(f"snapshot/{state.snapshot}", node.now_ms)
    key = f"snapshot-due/{state.snapshot}"
    wanted_ms = node.appended.setdefault(key, node.now_ms + rank * moves.TAKEOVER_MS)
    if node.now_ms < wanted_ms:
        return
    node.appended[key] = node.now_ms + APPEND_RETRY_MS
    node.note(events.Event.SNAPSHOT, offset=state.offset)
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
    node.note(events.Event.STOPPING, running=len(node.requests))
    for request in list(node.requests.values()):
        if request.state is requests.RequestState.WAITING:
            node.queue(request.message.service).remove(request)
            node.refuse(request, Kind.STOPPING)
        elif request.state is requests.RequestState.CLAIMING:
            node.refuse(request, Kind.STOPPING, exceptions.Ran.UNKNOWN)
    if node.configuration is not None:
        sharing.send_digest(node)
