"""Admission control: deadlines, queue limit and load shedding."""

import statistics

from wasabiknot_kernel import exceptions

Kind = exceptions.ErrorKind
URGENT_QUEUE_LIMIT_FACTOR = 2
MAX_SAMPLES_PER_TIER = 4


def find_refusal(node, request):
    """Decides whether a request is refused on arrival.

    The expected wait covers only requests of the same or a more urgent tier, because
    less urgent ones are dispatched later.

    :param node: the node.
    :param request: the request.
    :return: kind of error, or ``None`` if the request may be queued.
    """
    service = request.message.service
    workers = node.fleet.list_workers(service)
    if not any(worker.is_in_service(node.now_ms) for worker in workers):
        return Kind.NO_WORKER
    if not node.placement.uses_deadlines:
        return None
    min_duration_ms = estimate_min_duration_ms(node, request)
    wait_ms = _estimate_wait_ms(node, request)
    if node.now_ms + wait_ms + min_duration_ms > request.deadline_ms:
        return Kind.DEADLINE_UNREACHABLE
    return None


def estimate_min_duration_ms(node, request):
    """Estimates the duration of a request on its fastest backend server.

    :param node: the node.
    :param request: the request.
    :return: estimated duration in milliseconds.
    """
    workers = node.fleet.list_workers(request.message.service)
    return min(
        (
            estimate_duration_ms(worker, request)
            for worker in workers
            if worker.is_in_service(node.now_ms)
        ),
        default=0.0,
    )


def estimate_duration_ms(worker, request):
    """Estimates the duration of a request on one backend server.

    :param worker: ``fleet.Worker``.
    :param request: the request.
    :return: estimated duration in milliseconds.
    """
    if not request.message.max_tokens:
        return worker.speed.service.value
    return worker.speed.estimate_stream(
        request.message.prompt_tokens, request.expected_tokens
    )


def _estimate_wait_ms(node, request):
    # Entries share slots in proportion to demand, so the wait depends on the
    # waiting requests of all entries and the total number of slots.
    service = request.message.service
    queue = node.queue(service)
    ranks = [rank for rank in queue.list_ranks() if rank <= request.rank]
    count = sum(queue.count(rank) for rank in ranks)
    count += node.roster.count_waiting(service, request.rank)
    if not count:
        return 0.0
    samples = [
        item for rank in ranks for item in queue.list_heads(rank, MAX_SAMPLES_PER_TIER)
    ]
    mean_ms = statistics.fmean(
        _estimate_mean_duration_ms(node, item) for item in samples or [request]
    )
    slots = sum(
        worker.vm.slots
        for worker in node.fleet.list_workers(service)
        if worker.is_in_service(node.now_ms)
    )
    return count * mean_ms / max(1, slots)


def _estimate_mean_duration_ms(node, request):
    durations_ms = [
        estimate_duration_ms(worker, request)
        for worker in node.fleet.list_workers(request.message.service)
        if worker.is_in_service(node.now_ms)
    ]
    return statistics.harmonic_mean(durations_ms) if durations_ms else 0.0


def enforce_queue_limit(node):
    """Sheds the least urgent waiting requests above the queue limit.

    A request of the most urgent tier is shed only if no less urgent request can be
    shed and the queue exceeds ``URGENT_QUEUE_LIMIT_FACTOR`` times its limit.

    :param node: the node.
    """
    limit = node.settings.queue_limit
    waiting_count = sum(len(queue) for queue in node.queues.values())
    while waiting_count > limit:
        victim = _find_least_urgent(node)
        if victim is None:
            return
        if victim.rank == 0 and waiting_count <= limit * URGENT_QUEUE_LIMIT_FACTOR:
            return
        node.queue(victim.message.service).remove(victim)
        node.refuse(victim, Kind.QUEUE_FULL)
        waiting_count -= 1


def _find_least_urgent(node):
    candidates = [queue.find_least_urgent() for queue in node.queues.values()]
    return max(
        (request for request in candidates if request is not None),
        key=lambda request: (request.rank, request.arrived_ms),
        default=None,
    )


def refuse_infeasible(node):
    """Refuses waiting requests that can no longer meet their deadline.

    :param node: the node.
    """
    for queue in node.queues.values():
        for request in list(queue):
            remaining_ms = _estimate_min_remaining_ms(node, request)
            if node.now_ms + remaining_ms > request.deadline_ms:
                queue.remove(request)
                node.refuse(request, Kind.DEADLINE_EXCEEDED)


def _estimate_min_remaining_ms(node, request):
    if not node.placement.uses_deadlines:
        return 0.0
    if request.tokens:
        worker = node.fleet.find(request.worker)
        remaining_tokens = max(0.0, request.expected_tokens - request.tokens)
        return (
            remaining_tokens * worker.speed.decode.value if worker is not None else 0.0
        )
    return estimate_min_duration_ms(node, request)
