"""Handlers for records of the log, the list of VMs and the state sent by a peer."""

from wasabiknot_kernel import (
    calls,
    events,
    exceptions,
    fold,
    handlers,
    messages,
    records,
    scheduling,
)


@handlers.handle.register
def _(message: messages.LogRead, node):
    node.log_read_ms = node.now_ms
    node.log_time_ms = message.time_ms
    previous_publication = node.state.publication
    node.replica.apply_records(message.records)
    if message.head == 0:
        node.replica.mark_empty()
    if node.replica.is_complete and node.replica.next_offset >= message.head:
        node.log_synced_ms = max(node.log_synced_ms, message.time_ms)
    for stamped in message.records:
        _handle_record(node, stamped)
    if node.state.publication != previous_publication:
        node.log_event(events.Event.CONFIGURED, publication=node.state.publication)
        _refuse_unknown_calls(node)


def _handle_record(node, stamped):
    record = stamped.record
    if record is None:
        return
    node.append_due_ms.pop(record.record_id, None)
    if isinstance(record, records.Crash):
        _log_quarantine(node, record)
    if isinstance(record, records.MoveEnd):
        _log_move_end(node, record)
    node.crashes.confirm(record)
    for claim in node.claims.confirm(record):
        calls.resolve_claim(node, claim)


def _log_quarantine(node, record):
    for content in record.contents:
        if node.is_quarantined(content):
            node.log_event(events.Event.QUARANTINED, content=content)


def _log_move_end(node, record):
    move = node.state.moves.get(record.service)
    if move is None or move.offset != record.move:
        return
    node.log_event(
        events.Event.MOVE_ENDED,
        service=record.service,
        target=move.target,
        state=move.state.value,
        reason=move.reason,
    )


def _refuse_unknown_calls(node):
    for queue in node.queues.values():
        for request in list(queue):
            service = node.configuration.find_service(request.message.service)
            if service is not None and service.find_call(request.call.name):
                continue
            queue.remove(request)
            node.refuse(request, exceptions.ErrorKind.UNKNOWN_CALL)


@handlers.handle.register
def _(message: messages.LogFailed, node):
    """Does nothing; ``node.log_read_ms`` is updated only by successful reads."""


@handlers.handle.register
def _(message: messages.VmsListed, node):
    node.has_vms = True
    previous_ids = {worker.id for worker in node.fleet}
    node.fleet.update(message.vms)
    node.roster.update(message.entries, node.now_ms)
    for worker_id in previous_ids - {worker.id for worker in node.fleet}:
        node.pending_reports.pop(worker_id, None)
    for service in node.queues:
        scheduling.dispatch_waiting(node, service)


@handlers.handle.register
def _(message: messages.StateReceived, node):
    previous_offset = node.state.offset
    node.replica.restore(fold.decode_state(message.state))
    if node.state.offset != previous_offset:
        node.log_event(events.Event.STATE_COPIED, offset=node.state.offset)
