"""Dispatches waiting requests to backend servers, most urgent first."""

from wasabiknot_kernel import effects, fold, peers, placements, preemption

MAX_HEADS_PER_TIER = 8
ATTEMPT_GRACE_MS = 500


def dispatch_waiting(node, service):
    """Dispatches waiting requests of a service while slots are free.

    :param node: the node.
    :param service: service name.
    """
    if node.is_refreshing:
        return
    queue = node.queue(service)
    for rank in queue.list_ranks():
        if rank and preemption.is_reserved(node, service, rank):
            return
        while _dispatch_next(node, queue, rank):
            pass
        if node.placement.uses_preemption:
            preemptors = preemption.count_preemptors(node, queue, rank)
            preemption.preempt(node, service, rank, preemptors)


def _dispatch_next(node, queue, rank):
    if not queue.count(rank):
        return False
    for request in queue.list_heads(rank, MAX_HEADS_PER_TIER):
        worker = _choose_worker(node, request)
        if worker is not None:
            _dispatch(node, queue, request, worker)
            return True
    return False


def _dispatch(node, queue, request, worker):
    weight = node.configuration.deployment.find_weight(request.message.customer)
    queue.serve(request, weight)
    worker.running[request.request_id] = request
    is_engine = request.message.max_tokens > 0
    timeout_ms = request.deadline_ms - node.now_ms + ATTEMPT_GRACE_MS
    effect_class = effects.Resume if request.pauses else effects.Dispatch
    if request.pauses:
        request.lifecycle.resume()
    else:
        request.lifecycle.dispatch()
        request.worker = worker.id
        request.version = worker.vm.version
        request.dispatched_ms = node.now_ms
        node.prefixes.record_dispatch(request.message.prefix, worker.id)
    request.is_yielding = False
    node.emit(
        effect_class(
            request_id=request.request_id,
            worker=worker.id,
            address=worker.vm.address,
            is_engine=is_engine,
            timeout_s=timeout_ms / 1000,
            is_replaceable=request.is_replaceable,
        )
    )


def _choose_worker(node, request):
    if request.pauses:
        worker = node.fleet.find(request.worker)
        if worker is None or _count_free_slots(node, worker, request.rank) <= 0:
            return None
        return worker
    candidates = list_candidates(node, request)
    if not candidates:
        return None
    return node.placement.choose(request, candidates, node.prefixes, node.rng).worker


def list_candidates(node, request):
    """Lists the backend servers that a request may be sent to now.

    :param node: the node.
    :param request: the request.
    :return: list of ``placements.Candidate``.
    """
    version = _choose_version(node, request)
    if version is None:
        return []
    candidates = _list_with_slots(node, request, {version})
    if not candidates and not _is_move_target(node, request, version):
        return []
    if not candidates:
        # The target of the rollout has no free slot. Requests may go to the other
        # versions at any time during the rollout.
        other_versions = _list_allowed_versions(node, request) - {version}
        candidates = _list_with_slots(node, request, other_versions)
    if node.crashes.is_suspect(request.message.content, node.state):
        return _select_for_suspect(node, request, candidates)
    return candidates


def _is_move_target(node, request, version):
    move = node.state.moves.get(request.message.service)
    return move is not None and move.target == version


def _select_for_suspect(node, request, candidates):
    without_suspects = [
        item for item in candidates if not _runs_suspect(node, item.worker)
    ]
    if not without_suspects:
        return []
    min_load = min(
        item.worker.count_running() + item.peer_requests for item in without_suspects
    )
    return [
        item
        for item in without_suspects
        if item.worker.count_running() + item.peer_requests == min_load
    ]


def _runs_suspect(node, worker):
    return any(
        node.crashes.is_suspect(item.message.content, node.state)
        for item in worker.running.values()
    )


def _list_allowed_versions(node, request):
    service = request.message.service
    available = node.fleet.list_available_versions(service, node.now_ms)
    blocked = find_blocked_versions(node, service)
    preferred = available - blocked - request.avoided_versions
    return preferred or available - blocked


def find_blocked_versions(node, service):
    """Finds the versions that must not receive traffic.

    :param node: the node.
    :param service: service name.
    :return: set of version names.
    """
    move = node.state.moves.get(service)
    if move is None:
        return set()
    analysis = node.analyses.get(move.offset)
    if analysis is not None and analysis.is_bad:
        return {move.target}
    return set()


def list_traffic_shares(node, service):
    """Lists the versions of a service with their present shares of traffic.

    :param node: the node.
    :param service: service name.
    :return: tuple of ``services.Version``.
    """
    move = node.state.moves.get(service)
    if move is not None:
        return fold.compute_shares(move)
    return node.configuration.find_service(service).versions


def _choose_version(node, request):
    service = request.message.service
    allowed = _list_allowed_versions(node, request)
    if request.version not in allowed or request.dispatches:
        shares = list_traffic_shares(node, service)
        request.version = node.version_chooser.choose(service, shares, allowed)
    return request.version


def _list_with_slots(node, request, versions):
    candidates = []
    for worker in node.fleet.list_workers(request.message.service):
        if worker.vm.version not in versions or not worker.is_available(node.now_ms):
            continue
        free_slots = _count_free_slots(node, worker, request.rank)
        if free_slots > 0 or not node.placement.uses_slots:
            peer_requests = node.roster.count_running(worker.id)
            candidates.append(placements.Candidate(worker, peer_requests, free_slots))
    return candidates


def _count_free_slots(node, worker, rank):
    held_slots = preemption.count_held(node, worker.id, rank)
    free_slots = node.count_free_slots(worker) - held_slots
    if rank == 0 or worker.slot_share is None:
        return free_slots
    return min(free_slots, worker.slot_share - worker.count_running() - held_slots)


def update_slot_shares(node):
    """Divides the unused slots of each backend server among the entries by demand.

    :param node: the node.
    """
    demands = {}
    for worker in node.fleet:
        service = worker.vm.service
        if service not in demands:
            demands[service] = _list_demands(node, service)
        free_slots = node.count_free_slots(worker)
        own_slots = peers.allocate_slots(
            worker.id, free_slots, demands[service], node.settings.name
        )
        worker.slot_share = worker.count_running() + own_slots


def _list_demands(node, service):
    own_demand = peers.IDLE_DEMAND + len(node.queue(service))
    demands = node.roster.list_slot_demands(service, node.now_ms)
    return [peers.SlotDemand(node.settings.name, own_demand), *demands]
