"""An upper bound of goodput: what the stand-ins could do knowing all arrivals."""

import collections

from wasabiknot_standins import batching, traffic

FULL_BATCH_SLOPE = batching.DECODE_SLOWDOWN_PER_STREAM


def find_bound(plan, arrivals, seconds):
    """Bounds the fraction of calls that can be good.

    Relaxes the problem: work may be divided at will between the backend servers
    of a service, every prompt prefix is cached, and the shortest calls go first.

    :param plan: ``deployments.Deployment``.
    :param arrivals: list of ``traffic.Arrival``.
    :param seconds: duration of the load.
    :return: fraction from 0 to 1.
    """
    by_service = collections.defaultdict(list)
    for arrival in arrivals:
        by_service[arrival.plan.service].append(arrival)
    possible = sum(
        _count_possible(plan, service, group, seconds)
        for service, group in by_service.items()
    )
    return possible / len(arrivals)


def _count_possible(plan, service, arrivals, seconds):
    workers = [worker for worker in plan.workers if worker.service == service]
    if not workers[0].is_engine:
        return len(arrivals)
    horizon_s = seconds + max(item.plan.deadline_ms for item in arrivals) / 1000
    # A full batch is slower for each stream but does the most in all.
    capacity = sum(
        worker.slots / worker.decode_ms / (1 + FULL_BATCH_SLOPE * (worker.slots - 1))
        for worker in workers
    )
    left = capacity * horizon_s * 1000
    count = 0
    for work in sorted(map(_measure_work, arrivals)):
        left -= work
        if left < 0:
            break
        count += 1
    return count


def _measure_work(arrival):
    answer = batching.compute_answer_length(arrival.prompt, arrival.plan.max_tokens)
    prompt = len(arrival.prompt) / traffic.BYTES_PER_TOKEN
    return answer + prompt * (1 - batching.CACHE_SAVING_FRACTION) / 100
