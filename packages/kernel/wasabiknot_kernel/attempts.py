"""Handlers for attempts on backend servers: start, outcome and load."""

from wasabiknot_kernel import (
    digests,
    effects,
    events,
    evidence,
    exceptions,
    handlers,
    messages,
    moves,
    poison,
    records,
    requests,
    scheduling,
)

Kind = exceptions.ErrorKind
Outcome = messages.Outcome
Ran = exceptions.Ran


@handlers.handle.register
def _(message: messages.AttemptStarted, node):
    request = node.requests.get(message.request_id)
    if request is not None and request.first_ms is None:
        request.first_ms = node.now_ms


@handlers.handle.register
def _(message: messages.AttemptEnded, node):
    request = node.requests.get(message.request_id)
    if request is None or request.state is not requests.RequestState.DISPATCHED:
        return
    request.tokens = max(request.tokens, message.tokens)
    worker = node.fleet.find(request.worker)
    if worker is not None:
        worker.running.pop(request.request_id, None)
    _OUTCOME_HANDLERS[message.outcome](node, request)
    scheduling.dispatch_waiting(node, request.message.service)


def _handle_complete(node, request):
    _update_estimates(node, request)
    move = node.state.moves.get(request.message.service)
    if move is not None:
        key = moves.build_stats_key(move, request)
        unit_ms = evidence.measure_service_time(request, node.now_ms)
        node.version_stats.record_success(key, unit_ms)
    node.complete(request)


def _update_estimates(node, request):
    worker = node.fleet.find(request.worker)
    message = request.message
    if message.max_tokens:
        node.lengths.learn(
            message.service, message.call, message.customer, request.tokens
        )
    if worker is None or request.pauses:
        return
    total_ms = node.now_ms - request.dispatched_ms
    if not message.max_tokens or request.first_ms is None:
        worker.speed.service.add(total_ms)
        return
    worker.speed.learn_stream(
        message.prompt_tokens,
        request.first_ms - request.dispatched_ms,
        request.tokens,
        node.now_ms - request.first_ms,
    )


def _handle_not_sent(node, request):
    node.fleet.mark_unreachable(request.worker, node.now_ms)
    _requeue_not_executed(node, request)


def _handle_rejected(node, request):
    node.fleet.mark_leaving(request.worker, node.now_ms)
    node.log_event(events.Event.WORKER_LEAVING, worker=request.worker)
    _requeue_not_executed(node, request)


def _requeue_not_executed(node, request):
    if request.pauses:
        node.refuse(request, Kind.INCOMPLETE, request.ran)
        return
    request.lifecycle.requeue()
    _requeue(node, request)


def _requeue(node, request):
    kind = Kind.QUARANTINED if node.is_quarantined(request.message.content) else None
    if node.is_stopping:
        kind = Kind.STOPPING
    if kind is not None:
        node.refuse(request, kind)
        return
    request.version = None
    request.first_ms = None
    node.queue(request.message.service).push(request, front=True)


def _handle_failure(node, request):
    _record_failure(node, request, request.message.content)
    _retry_or_refuse(node, request, Kind.WORKER_FAILED, Ran.YES)


def _handle_crash(node, request):
    worker = node.fleet.find(request.worker)
    boot = worker.boot if worker is not None else ""
    crash = f"{request.worker}/{boot}"
    node.fleet.mark_unreachable(request.worker, node.now_ms)
    _record_failure(node, request, poison.CRASH_PREFIX + crash)
    if node.crashes.mark_reported(crash):
        _report_crash(node, request, worker, crash)
    ran = Ran.YES if request.tokens else Ran.UNKNOWN
    _retry_or_refuse(node, request, Kind.OUTCOME_UNKNOWN, ran)


def _report_crash(node, request, worker, crash):
    running = list(worker.running.values()) if worker is not None else []
    contents = {item.message.content for item in [request, *running]}
    record = records.Crash(
        record_id=f"{node.settings.name}/{node.settings.incarnation}/{crash}",
        contents=tuple(sorted(contents)),
        worker=request.worker,
        crash=crash,
    )
    node.log_event(events.Event.WORKER_CRASHED, worker=request.worker, crash=crash)
    node.crashes.add_own(record)
    node.emit(effects.SendCrash(record))
    node.emit(effects.Append(record))


def _record_failure(node, request, cause):
    move = node.state.moves.get(request.message.service)
    if move is None:
        return
    key = moves.build_stats_key(move, request)
    failure = digests.Failure(request.message.customer, cause)
    node.version_stats.record_failure(key, failure)
    request.avoided_versions.add(request.version)


def _retry_or_refuse(node, request, kind, ran):
    if request.is_replaceable:
        request.lifecycle.retry()
        _requeue(node, request)
        return
    node.refuse(request, kind, ran)


def _handle_lost(node, request):
    ran = Ran.YES if request.tokens else Ran.UNKNOWN
    _retry_or_refuse(node, request, Kind.OUTCOME_UNKNOWN, ran)


def _handle_cancelled(node, request):
    if request.is_abandoned:
        request.lifecycle.end()
        del node.requests[request.request_id]
        return
    if not request.is_yielding or node.now_ms >= request.deadline_ms:
        node.refuse(request, Kind.DEADLINE_EXCEEDED, request.ran)
        return
    request.pauses += 1
    request.lifecycle.pause()
    node.queue(request.message.service).push_paused(request)


_OUTCOME_HANDLERS = {
    Outcome.WHOLE: _handle_complete,
    Outcome.NOT_SENT: _handle_not_sent,
    Outcome.REJECTED: _handle_rejected,
    Outcome.FAILED: _handle_failure,
    Outcome.CRASHED: _handle_crash,
    Outcome.CANCELLED: _handle_cancelled,
    Outcome.LOST: _handle_lost,
}


@handlers.handle.register
def _(message: messages.WorkerUnreachable, node):
    node.fleet.mark_unreachable(message.worker, node.now_ms)


@handlers.handle.register
def _(message: messages.LoadReported, node):
    if node.fleet.apply_report(message.report, node.now_ms):
        node.pending_reports[message.report.worker] = message.report
