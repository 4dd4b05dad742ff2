"""Preemption of less urgent streams, of this entry or of a peer."""

import msgspec

from wasabiknot_kernel import digests, effects, events

YIELD_REQUEST_INTERVAL_MS = 150
HOLD_DURATION_MS = 400
MAX_PAUSES = 3
PREEMPTION_DELAY_FRACTION = 0.25
URGENT_PREEMPTION_DELAY_FRACTION = 0.05
MIN_SLACK_FRACTION = 0.3


class Hold(msgspec.Struct, frozen=True):
    """A slot that this entry freed for a more urgent request of a peer.

    :param rank: tier rank of that request.
    :param expires_ms: time until which less urgent requests must not use the slot.
    """

    rank: int
    expires_ms: int


def is_reserved(node, service, rank):
    """Tells whether more urgent requests of peers need all free slots of a service.

    :param node: the node.
    :param service: service name.
    :param rank: tier rank of the request to dispatch.
    :return: ``True`` if it must wait.
    """
    needed_slots = node.roster.count_waiting(service, rank - 1)
    if not needed_slots:
        return False
    free_slots = sum(
        node.count_free_slots(worker)
        for worker in node.fleet.list_workers(service)
        if worker.is_available(node.now_ms)
    )
    return free_slots <= needed_slots


def count_preemptors(node, queue, rank):
    """Counts the waiting requests that may preempt others.

    Slots often become free without preemption, so a request first waits for a
    fraction of its deadline; the fraction is smaller for the most urgent tier.

    :param node: the node.
    :param queue: ``queues.TierQueue``.
    :param rank: tier rank.
    :return: number of requests.
    """
    fraction = PREEMPTION_DELAY_FRACTION if rank else URGENT_PREEMPTION_DELAY_FRACTION
    return sum(
        1
        for request in queue.list_tier(rank)
        if node.now_ms - request.arrived_ms > fraction * request.call.deadline_ms
    )


def preempt(node, service, rank, needed_slots):
    """Preempts streams for waiting requests of a tier, here first, then at peers.

    :param node: the node.
    :param service: service name.
    :param rank: tier rank of the waiting requests.
    :param needed_slots: number of slots to free.
    """
    workers = [
        worker
        for worker in node.fleet.list_workers(service)
        if worker.is_available(node.now_ms)
    ]
    if needed_slots <= 0:
        return
    needed_slots -= _count_yielding(workers)
    while needed_slots > 0:
        victim = _find_victim(node, workers, rank)
        if victim is None:
            break
        _preempt_request(node, victim)
        needed_slots -= 1
    if needed_slots > 0:
        _request_yields(node, workers, rank, needed_slots)


def _count_yielding(workers):
    return sum(
        1
        for worker in workers
        for request in worker.running.values()
        if request.is_yielding
    )


def _find_victim(node, workers, rank):
    victims = [
        request
        for worker in workers
        for request in worker.running.values()
        if request.rank > rank and _is_preemptible(request)
    ]
    return min(
        victims, key=lambda request: _build_victim_key(node, request), default=None
    )


def _is_preemptible(request):
    if not request.message.max_tokens:
        return False
    return not (request.is_yielding or request.is_abandoned)


def _build_victim_key(node, request):
    # Prefers requests that were paused fewer than MAX_PAUSES times, then the least
    # urgent tier, then ample slack before the deadline, then a cheap prefill.
    is_often_paused = request.pauses >= MAX_PAUSES
    slack_ms = request.deadline_ms - node.now_ms - _estimate_remaining_ms(node, request)
    is_tight = slack_ms < MIN_SLACK_FRACTION * request.call.deadline_ms
    cost = request.message.prompt_tokens + request.tokens
    return (is_often_paused, -request.rank, is_tight, cost)


def _estimate_remaining_ms(node, request):
    worker = node.fleet.find(request.worker)
    tokens = max(0.0, request.expected_tokens - request.tokens)
    return worker.speed.estimate_stream(0, tokens) if worker is not None else 0.0


def _preempt_request(node, victim):
    victim.is_yielding = True
    node.log_event(events.Event.PREEMPTED, victim=victim.request_id, request="waiting")
    node.emit(effects.Cancel(victim.request_id))


def _request_yields(node, workers, rank, needed_slots):
    for worker in workers:
        requested_ms = node.yield_sent_ms.get(worker.id, 0)
        if node.now_ms - requested_ms < YIELD_REQUEST_INTERVAL_MS:
            continue
        peer = _find_peer_to_yield(node, worker.id, rank)
        if peer is None:
            continue
        node.yield_sent_ms[worker.id] = node.now_ms
        demand = digests.PreemptionRequest(node.settings.name, worker.id, rank)
        node.emit(effects.SendYield(peer.vm.name, demand))
        needed_slots -= 1
        if needed_slots <= 0:
            return


def _find_peer_to_yield(node, worker_id, rank):
    best_peer = None
    max_count = 0
    for peer in node.roster:
        if peer.is_unreachable(node.now_ms):
            continue
        lower_count = sum(peer.running_by_worker.get(worker_id, ())[rank + 1 :])
        if lower_count > max_count:
            best_peer = peer
            max_count = lower_count
    return best_peer


def yield_slot(node, demand):
    """Preempts a less urgent stream at the request of a peer.

    :param node: the node.
    :param demand: ``digests.PreemptionRequest``.
    """
    worker = node.fleet.find(demand.worker)
    if worker is None:
        return
    victim = _find_victim(node, [worker], demand.rank)
    if victim is None:
        return
    node.holds.setdefault(worker.id, []).append(
        Hold(demand.rank, node.now_ms + HOLD_DURATION_MS)
    )
    _preempt_request(node, victim)


def count_held(node, worker_id, rank):
    """Counts the slots that are held for more urgent requests of peers.

    :param node: the node.
    :param worker_id: id of the backend server.
    :param rank: tier rank of the request to dispatch.
    :return: number of slots.
    """
    holds = node.holds.get(worker_id)
    if not holds:
        return 0
    active = [hold for hold in holds if hold.expires_ms > node.now_ms]
    if active:
        node.holds[worker_id] = active
    else:
        del node.holds[worker_id]
    return sum(1 for hold in active if hold.rank < rank)
