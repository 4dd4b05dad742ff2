"""Placement policies: which backend server runs a request next.

A policy registers itself under its name; the settings of an entry choose one.
"""

import abc

import msgspec

from wasabiknot_kernel import fleet, plugins

AFFINITY_SAVING = 0.6

_registry = plugins.Registry()
register = _registry.register
create_placement = _registry.create
list_names = _registry.list_names


class Candidate(msgspec.Struct, frozen=True):
    """A backend server that may take the request.

    :param worker: the backend server.
    :param others: requests of peers in flight on it.
    :param free: slots that this entry may still use.
    """

    worker: fleet.Worker
    others: int
    free: int


class Placement(abc.ABC):
    """Base of all placement policies.

    :cvar uses_tiers: whether tiers are kept apart in the queue.
    :cvar uses_slots: whether requests wait for a slot of a backend server.
    :cvar uses_preemption: whether urgent requests take slots from others.
    :cvar uses_deadlines: whether hopeless requests are refused early.
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
        :param prefixes: index of cached prompt prefixes.
        :param rng: random numbers.
        :return: the chosen ``Candidate``.
        """


@register("finish-time")
class FinishTime(Placement):
    """Chooses the earliest expected finish, with bounded prefix affinity."""

    def choose(self, request, candidates, prefixes, rng):
        """Chooses the backend server with the earliest expected finish."""
        cached = prefixes.find(request.message.prefix)
        return min(
            candidates,
            key=lambda item: (_estimate_finish(request, item, cached), rng.random()),
        )


def _estimate_finish(request, candidate, cached):
    worker = candidate.worker
    if not request.message.max_tokens:
        return worker.speed.service.value * (1 + _load(candidate))
    prompt = request.message.prompt_tokens
    if worker.id == cached:
        prompt *= 1 - AFFINITY_SAVING
    duration = worker.speed.estimate_stream(prompt, request.expected_tokens)
    return duration * (1 + _load(candidate))


def _load(candidate):
    worker = candidate.worker
    known = len(worker.running) + candidate.others
    if worker.report is not None:
        stale = worker.report.running + worker.report.waiting
        known = max(known, stale * 0.5)
    return known / max(1, worker.vm.slots)


class FirstCome(Placement):
    """Base of the baselines that know no tiers."""

    uses_tiers = False
    uses_slots = False
    uses_preemption = False
    uses_deadlines = False


@register("random")
class RandomWorker(FirstCome):
    """First come, first served, on a random backend server."""

    def choose(self, request, candidates, prefixes, rng):
        """Chooses at random."""
        return rng.choice(candidates)


@register("fewest-reported")
class FewestReported(FirstCome):
    """First come, first served, on the one that reported the fewest requests."""

    def choose(self, request, candidates, prefixes, rng):
        """Chooses by the last report as it stands."""
        return min(candidates, key=lambda item: (_count_reported(item), rng.random()))


def _count_reported(candidate):
    report = candidate.worker.report
    return report.running + report.waiting if report is not None else 0


@register("tiered-round-robin")
class TieredRoundRobin(Placement):
    """Strict tiers over backend servers in turn."""

    uses_preemption = False
    uses_deadlines = False

    def __init__(self):
        self._turn = 0

    def choose(self, request, candidates, prefixes, rng):
        """Chooses the next one in turn."""
        self._turn += 1
        ordered = sorted(candidates, key=lambda item: item.worker.id)
        return ordered[self._turn % len(ordered)]
