"""Refuses early what cannot finish in time, and bounds the queue."""

import statistics

from wasabiknot_kernel import exceptions

Kind = exceptions.ErrorKind
URGENT_OVERFLOW_FACTOR = 2
SAMPLE_SIZE = 4


def find_refusal(node, request):
    """Decides whether a request is refused on arrival.

    Only work of the same or a more urgent tier counts as ahead of it, since less
    urgent work gives way.

    :param node: the node.
    :param request: the request.
    :return: kind of error, or ``None`` if it may wait.
    """
    service = request.message.service
    workers = node.fleet.list_workers(service)
    if not any(worker.is_staying(node.now_ms) for worker in workers):
        return Kind.NO_WORKER
    if not node.placement.uses_deadlines:
        return None
    least_ms = estimate_least_ms(node, request)
    ahead_ms = _estimate_wait_ms(node, request)
    if node.now_ms + ahead_ms + least_ms > request.deadline_ms:
        return Kind.DEADLINE_UNREACHABLE
    return None


def estimate_least_ms(node, request):
    """Estimates the duration of a request on the fastest backend server.

    :param node: the node.
    :param request: the request.
    :return: milliseconds.
    """
    workers = node.fleet.list_workers(request.message.service)
    return min(
        (
            estimate_duration_ms(worker, request)
            for worker in workers
            if worker.is_staying(node.now_ms)
        ),
        default=0.0,
    )


def estimate_duration_ms(worker, request):
    """Estimates the duration of a request on one backend server.

    :param worker: ``fleet.Worker``.
    :param request: the request.
    :return: milliseconds.
    """
    if not request.message.max_tokens:
        return worker.speed.service.value
    return worker.speed.estimate_stream(
        request.message.prompt_tokens, request.expected_tokens
    )


def _estimate_wait_ms(node, request):
    # Entries share the slots by demand, so a request waits for the work ahead of
    # it at all entries together on the slots of all.
    service = request.message.service
    queue = node.queue(service)
    ahead = [rank for rank in queue.tiers() if rank <= request.rank]
    count = sum(queue.count(rank) for rank in ahead)
    count += node.roster.count_waiting(service, request.rank)
    if not count:
        return 0.0
    sample = [item for rank in ahead for item in queue.heads(rank, SAMPLE_SIZE)]
    mean_ms = statistics.fmean(
        _estimate_mean_ms(node, item) for item in sample or [request]
    )
    slots = sum(
        worker.vm.slots
        for worker in node.fleet.list_workers(service)
        if worker.is_staying(node.now_ms)
    )
    return count * mean_ms / max(1, slots)


def _estimate_mean_ms(node, request):
    durations = [
        estimate_duration_ms(worker, request)
        for worker in node.fleet.list_workers(request.message.service)
        if worker.is_staying(node.now_ms)
    ]
    return statistics.harmonic_mean(durations) if durations else 0.0


def enforce_limit(node):
    """Drops the least urgent waiting requests beyond the limit.

    A request of the most urgent waiting tier is dropped only when nothing less
    urgent waits and the queue is full twice over.

    :param node: the node.
    """
    limit = node.settings.queue_limit
    waiting = sum(len(queue) for queue in node.queues.values())
    while waiting > limit:
        victim = _find_least_urgent(node)
        if victim is None:
            return
        if victim.rank == 0 and waiting <= limit * URGENT_OVERFLOW_FACTOR:
            return
        node.queue(victim.message.service).remove(victim)
        node.refuse(victim, Kind.QUEUE_FULL)
        waiting -= 1


def _find_least_urgent(node):
    found = [queue.find_least_urgent() for queue in node.queues.values()]
    return max(
        (request for request in found if request is not None),
        key=lambda request: (request.rank, request.arrived_ms),
        default=None,
    )


def refuse_hopeless(node):
    """Refuses waiting requests that can no longer finish in time.

    :param node: the node.
    """
    for queue in node.queues.values():
        for request in list(queue):
            least_ms = _least_remaining_ms(node, request)
            if node.now_ms + least_ms > request.deadline_ms:
                queue.remove(request)
                node.refuse(request, Kind.DEADLINE_EXCEEDED)


def _least_remaining_ms(node, request):
    if not node.placement.uses_deadlines:
        return 0.0
    if request.tokens:
        worker = node.fleet.find(request.worker)
        left = max(0.0, request.expected_tokens - request.tokens)
        return left * worker.speed.decode.value if worker is not None else 0.0
    return estimate_least_ms(node, request)
