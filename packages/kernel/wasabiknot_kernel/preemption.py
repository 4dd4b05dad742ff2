"""Takes slots from less urgent streams, here or at a peer."""

import msgspec

from wasabiknot_kernel import digests, effects, events

YIELD_INTERVAL_MS = 150
HOLD_MS = 400
MAX_PAUSES = 3
PATIENCE_FRACTION = 0.25
URGENT_PATIENCE_FRACTION = 0.05
MIN_SLACK_FRACTION = 0.3


class Hold(msgspec.Struct, frozen=True):
    """A slot that was freed for a more urgent request of a peer.

    :param rank: tier rank of that request.
    :param until_ms: time until which less urgent requests may not take the slot.
    """

    rank: int
    until_ms: int


def is_reserved(node, service, rank):
    """Whether the free slots of a service belong to more urgent work of peers.

    :param node: the node.
    :param service: service name.
    :param rank: tier rank of the request that looks for a slot.
    :return: ``True`` if it has to wait.
    """
    wanted = node.roster.count_waiting(service, rank - 1)
    if not wanted:
        return False
    free = sum(
        node.count_unused(worker)
        for worker in node.fleet.list_service(service)
        if worker.is_open(node.now_ms)
    )
    return free <= wanted


def count_pressing(node, queue, rank):
    """Counts the waiting requests that justify taking a slot from others.

    A slot often becomes free by itself, so each request waits for a fraction of
    its deadline first, the most urgent tier for a small one.

    :param node: the node.
    :param queue: ``queues.TierQueue``.
    :param rank: tier rank.
    :return: number of requests.
    """
    fraction = PATIENCE_FRACTION if rank else URGENT_PATIENCE_FRACTION
    return sum(
        1
        for request in queue.list_tier(rank)
        if node.now_ms - request.arrived_ms > fraction * request.call.deadline_ms
    )


def make_room(node, service, rank, wanted):
    """Frees slots for waiting requests of a tier.

    :param node: the node.
    :param service: service name.
    :param rank: tier rank of the waiting requests.
    :param wanted: number of waiting requests.
    """
    workers = [
        worker
        for worker in node.fleet.list_service(service)
        if worker.is_open(node.now_ms)
    ]
    if wanted <= 0:
        return
    wanted -= _count_yielding(workers)
    while wanted > 0:
        victim = _find_victim(node, workers, rank)
        if victim is None:
            break
        _cancel(node, victim)
        wanted -= 1
    if wanted > 0:
        _ask_peers(node, workers, rank, wanted)


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
        if request.rank > rank and _can_pause(request)
    ]
    return min(victims, key=lambda request: _measure_harm(node, request), default=None)


def _can_pause(request):
    if not request.message.max_tokens:
        return False
    return not (request.is_yielding or request.is_abandoned)


def _measure_harm(node, request):
    # Rarely paused requests first, then the least urgent, then those that can
    # still finish in time, then the ones that are cheapest to prefill again.
    often = request.pauses >= MAX_PAUSES
    slack_ms = request.deadline_ms - node.now_ms - _estimate_left_ms(node, request)
    is_tight = slack_ms < MIN_SLACK_FRACTION * request.call.deadline_ms
    cost = request.message.prompt_tokens + request.tokens
    return (often, -request.rank, is_tight, cost)


def _estimate_left_ms(node, request):
    worker = node.fleet.find(request.worker)
    tokens = max(0.0, request.expected_tokens - request.tokens)
    return worker.speed.estimate_stream(0, tokens) if worker is not None else 0.0


def _cancel(node, victim):
    victim.is_yielding = True
    node.note(events.Event.PREEMPTED, victim=victim.request_id, request="waiting")
    node.emit(effects.Cancel(victim.request_id))


def _ask_peers(node, workers, rank, wanted):
    for worker in workers:
        asked_ms = node.yields.get(worker.id, 0)
        if node.now_ms - asked_ms < YIELD_INTERVAL_MS:
            continue
        peer = _find_lower_peer(node, worker.id, rank)
        if peer is None:
            continue
        node.yields[worker.id] = node.now_ms
        demand = digests.PreemptionRequest(node.settings.name, worker.id, rank)
        node.emit(effects.SendYield(peer.vm.name, demand))
        wanted -= 1
        if wanted <= 0:
            return


def _find_lower_peer(node, worker_id, rank):
    best = None
    most = 0
    for peer in node.roster:
        if peer.is_silent(node.now_ms):
            continue
        lower = sum(peer.uses.get(worker_id, ())[rank + 1 :])
        if lower > most:
            best = peer
            most = lower
    return best


def yield_slot(node, demand):
    """Cancels a less urgent stream for a peer.

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
        Hold(demand.rank, node.now_ms + HOLD_MS)
    )
    _cancel(node, victim)


def count_held(node, worker_id, rank):
    """Counts slots that are kept free for more urgent requests of peers.

    :param node: the node.
    :param worker_id: the backend server.
    :param rank: tier rank of the request that looks for a slot.
    :return: number of slots.
    """
    holds = node.holds.get(worker_id)
    if not holds:
        return 0
    live = [hold for hold in holds if hold.until_ms > node.now_ms]
    if live:
        node.holds[worker_id] = live
    else:
        del node.holds[worker_id]
    return sum(1 for hold in live if hold.rank < rank)
