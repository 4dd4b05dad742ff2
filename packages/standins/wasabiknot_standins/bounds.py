"""Upper bound of the goodput of a scheduler that knows all arrivals in advance."""

import collections

from wasabiknot_standins import batching, traffic

DECODE_SLOWDOWN_PER_STREAM = batching.DECODE_SLOWDOWN_PER_STREAM


def compute_goodput_bound(plan, arrivals, seconds):
    """Computes an upper bound of the fraction of calls that can meet their deadline.

    The bound relaxes the scheduling problem: work is divisible among the backend
    servers of a service, every prompt prefix is cached, and the shortest calls run
    first.

    :param plan: ``deployments.Deployment``.
    :param arrivals: list of ``traffic.Arrival``.
    :param seconds: duration of the load in seconds.
    :return: fraction from 0 to 1.
    """
    arrivals_by_service = collections.defaultdict(list)
    for arrival in arrivals:
        arrivals_by_service[arrival.plan.service].append(arrival)
    in_time_count = sum(
        _count_in_time(plan, service, service_arrivals, seconds)
        for service, service_arrivals in arrivals_by_service.items()
    )
    return in_time_count / len(arrivals)


def _count_in_time(plan, service, arrivals, seconds):
    workers = [worker for worker in plan.workers if worker.service == service]
    if not workers[0].is_engine:
        return len(arrivals)
    duration_s = seconds + max(item.plan.deadline_ms for item in arrivals) / 1000
    # A full batch decodes each stream more slowly but has the highest total throughput.
    capacity = sum(
        worker.slots
        / worker.decode_ms
        / (1 + DECODE_SLOWDOWN_PER_STREAM * (worker.slots - 1))
        for worker in workers
    )
    remaining_work = capacity * duration_s * 1000
    count = 0
    for work in sorted(map(_estimate_work, arrivals)):
        remaining_work -= work
        if remaining_work < 0:
            break
        count += 1
    return count


def _estimate_work(arrival):
    output_tokens = batching.compute_output_tokens(
        arrival.prompt, arrival.plan.max_tokens
    )
    prompt = len(arrival.prompt) / traffic.BYTES_PER_TOKEN
    return output_tokens + prompt * (1 - batching.CACHE_SAVING_FRACTION) / 100
