"""Moves waiting requests to backend servers, most urgent first."""

from wasabiknot_kernel import effects, fold, peers, placements, preemption

HEADS_PER_TIER = 8
ATTEMPT_GRACE_MS = 500


def pump(node, service):
    """Dispatches as many waiting requests of a service as have slots.

    :param node: the node.
    :param service: service name.
    """
    if node.is_refreshing:
        return
    queue = node.queue(service)
    for rank in queue.tiers():
        if rank and preemption.is_reserved(node, service, rank):
            return
        while _pump_tier(node, queue, rank):
            pass
        if node.placement.uses_preemption:
            pressing = preemption.count_pressing(node, queue, rank)
            preemption.make_room(node, service, rank, pressing)


def _pump_tier(node, queue, rank):
    if not queue.count(rank):
        return False
    for request in queue.heads(rank, HEADS_PER_TIER):
        worker = _find_worker(node, request)
        if worker is not None:
            _send(node, queue, request, worker)
            return True
    return False


def _send(node, queue, request, worker):
    weight = node.configuration.deployment.find_weight(request.message.customer)
    queue.serve(request, weight)
    worker.running[request.request_id] = request
    is_engine = request.message.max_tokens > 0
    timeout_ms = request.deadline_ms - node.now_ms + ATTEMPT_GRACE_MS
    kind = effects.Resume if request.pauses else effects.Dispatch
    if request.pauses:
        request.life.resume()
    else:
        request.life.dispatch()
        request.worker = worker.id
        request.version = worker.vm.version
        request.dispatched_ms = node.now_ms
        node.prefixes.record_dispatch(request.message.prefix, worker.id)
    request.is_yielding = False
    node.emit(
        kind(
            request_id=request.request_id,
            worker=worker.id,
            address=worker.vm.address,
            is_engine=is_engine,
            timeout_s=timeout_ms / 1000,
        )
    )


def _find_worker(node, request):
    if request.pauses:
        worker = node.fleet.find(request.worker)
        if worker is None or _count_free(node, worker, request.rank) <= 0:
            return None
        return worker
    candidates = list_candidates(node, request)
    if not candidates:
        return None
    return node.placement.choose(request, candidates, node.prefixes, node.rng).worker


def list_candidates(node, request):
    """Lists the backend servers that may take a request now.

    :param node: the node.
    :param request: the request.
    :return: list of ``placements.Candidate``.
    """
    version = _choose_version(node, request)
    if version is None:
        return []
    candidates = _list_with_slots(node, request, {version})
    if not candidates and not _is_moving_to(node, request, version):
        return []
    if not candidates:
        # The new version has no slot; the version beside it is always allowed.
        others = _allowed_versions(node, request) - {version}
        candidates = _list_with_slots(node, request, others)
    if node.crashes.is_suspect(request.message.content, node.state):
        return _least_harmful(node, request, candidates)
    return candidates


def _is_moving_to(node, request, version):
    move = node.state.moves.get(request.message.service)
    return move is not None and move.target == version


def _least_harmful(node, request, candidates):
    safe = [item for item in candidates if not _runs_suspect(node, item.worker)]
    if not safe:
        return []
    least = min(item.worker.count() + item.others for item in safe)
    return [item for item in safe if item.worker.count() + item.others == least]


def _runs_suspect(node, worker):
    return any(
        node.crashes.is_suspect(item.message.content, node.state)
        for item in worker.running.values()
    )


def _allowed_versions(node, request):
    service = request.message.service
    open_versions = node.fleet.list_versions(service, node.now_ms)
    blocked = find_blocked(node, service)
    preferred = open_versions - blocked - request.avoided_versions
    return preferred or open_versions - blocked


def find_blocked(node, service):
    """Finds the versions that must get no traffic.

    :param node: the node.
    :param service: service name.
    :return: set of version names.
    """
    move = node.state.moves.get(service)
    if move is None:
        return set()
    verdict = node.analyses.get(move.offset)
    if verdict is not None and verdict.is_bad:
        return {move.target}
    return set()


def list_shares(node, service):
    """Lists the versions of a service with their shares in force.

    :param node: the node.
    :param service: service name.
    :return: tuple of ``services.Version``.
    """
    move = node.state.moves.get(service)
    if move is not None:
        return fold.shares_in_force(move)
    return node.configuration.find_service(service).versions


def _choose_version(node, request):
    service = request.message.service
    allowed = _allowed_versions(node, request)
    if request.version not in allowed or request.dispatches:
        shares = list_shares(node, service)
        request.version = node.versions.choose(service, shares, allowed)
    return request.version


def _list_with_slots(node, request, versions):
    candidates = []
    for worker in node.fleet.list_service(request.message.service):
        if worker.vm.version not in versions or not worker.is_open(node.now_ms):
            continue
        free = _count_free(node, worker, request.rank)
        if free > 0 or not node.placement.uses_slots:
            others = node.roster.count_running(worker.id)
            candidates.append(placements.Candidate(worker, others, free))
    return candidates


def _count_free(node, worker, rank):
    held = preemption.count_held(node, worker.id, rank)
    free = node.count_unused(worker) - held
    if rank == 0 or worker.allowance is None:
        return free
    return min(free, worker.allowance - worker.count() - held)


def share_allowances(node):
    """Works out how many slots of each backend server this entry may use.

    :param node: the node.
    """
    shares = {}
    for worker in node.fleet:
        service = worker.vm.service
        if service not in shares:
            shares[service] = _list_demands(node, service)
        free = node.count_unused(worker)
        own = peers.share_slots(worker.id, free, shares[service], node.settings.name)
        worker.allowance = worker.count() + own


def _list_demands(node, service):
    own = peers.IDLE_DEMAND + len(node.queue(service))
    demands = node.roster.list_demands(service, node.now_ms)
    return [peers.Share(node.settings.name, own), *demands]
