"""Placement policies, which choose the backend server of each request.

Policies are registered by name and selected in the settings of an entry.
"""

import abc

import msgspec

from wasabiknot_kernel import fleet, plugins

PREFIX_CACHE_SAVING_FRACTION = 0.6

_registry = plugins.Registry()
register = _registry.register
create_placement = _registry.create
list_names = _registry.list_names


class Candidate(msgspec.Struct, frozen=True):
    """A backend server that a request may be sent to.

    :param worker: ``fleet.Worker``.
    :param peer_requests: in-flight requests of peers on it.
    :param free_slots: slots that this entry may still use.
    """

    worker: fleet.Worker
    peer_requests: int
    free_slots: int


class Placement(abc.ABC):
    """Base of all placement policies.

    :cvar uses_tiers: whether requests are queued and dispatched by tier.
    :cvar uses_slots: whether requests wait for a free slot on a backend server.
    :cvar uses_preemption: whether urgent requests preempt less urgent streams.
    :cvar uses_deadlines: whether requests that cannot meet their deadline are refused
        early.
    """

    uses_tiers = True
    uses_slots = True
    uses_preemption = True
    uses_deadlines = True

    @abc.abstractmethod
    def choose(self, request, candidates, prefixes, rng):
        """Chooses a backend server.

        :param request: the request.
        :param candidates: list of ``Candidate``, at least one.
        :param prefixes: ``estimates.PrefixIndex``.
        :param rng: ``random.Random``.
        :return: the chosen ``Candidate``.
        """


@register("finish-time")
class FinishTime(Placement):
    """Minimizes the expected finish time, with a bounded bonus for cached prefixes."""

    def choose(self, request, candidates, prefixes, rng):
        """Chooses the backend server with the earliest expected finish."""
        cached_worker_id = prefixes.find(request.message.prefix)
        return min(
            candidates,
            key=lambda item: (
                _estimate_finish_ms(request, item, cached_worker_id),
                rng.random(),
            ),
        )


def _estimate_finish_ms(request, candidate, cached_worker_id):
    worker = candidate.worker
    if not request.message.max_tokens:
        return worker.speed.service.value * (1 + _estimate_load(candidate))
    prompt_tokens = request.message.prompt_tokens
    if worker.id == cached_worker_id:
        prompt_tokens *= 1 - PREFIX_CACHE_SAVING_FRACTION
    duration_ms = worker.speed.estimate_stream(prompt_tokens, request.expected_tokens)
    return duration_ms * (1 + _estimate_load(candidate))


def _estimate_load(candidate):
    worker = candidate.worker
    in_flight = len(worker.running) + candidate.peer_requests
    if worker.report is not None:
        reported = worker.report.running + worker.report.waiting
        in_flight = max(in_flight, reported * 0.5)
    return in_flight / max(1, worker.vm.slots)


class FirstCome(Placement):
    """Base of first-come, first-served policies, which ignore tiers."""

    uses_tiers = False
    uses_slots = False
    uses_preemption = False
    uses_deadlines = False


@register("random")
class RandomWorker(FirstCome):
    """First come, first served, on a backend server chosen at random."""

    def choose(self, request, candidates, prefixes, rng):
        """Chooses at random."""
        return rng.choice(candidates)


@register("fewest-reported")
class FewestReported(FirstCome):
    """First come, first served, on the server that reported the fewest requests."""

    def choose(self, request, candidates, prefixes, rng):
        """Chooses by the last load report, however old it is."""
        return min(candidates, key=lambda item: (_count_reported(item), rng.random()))


def _count_reported(candidate):
    report = candidate.worker.report
    return report.running + report.waiting if report is not None else 0


@register("tiered-round-robin")
class TieredRoundRobin(Placement):
    """Strict priority between tiers, round-robin over backend servers."""

    uses_preemption = False
    uses_deadlines = False

    def __init__(self):
        self._counter = 0

    def choose(self, request, candidates, prefixes, rng):
        """Chooses the next backend server, in order of id."""
        self._counter += 1
        ordered = sorted(candidates, key=lambda item: item.worker.id)
        return ordered[self._counter % len(ordered)]
