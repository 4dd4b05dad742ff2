"""Policies that choose a backend server, selected by name in the settings.

``earliest-event`` is the default. The others are baselines for comparison.
"""

import abc

from wasabiknot_kernel import plugins

DEFAULT_NAME = "earliest-event"

_registry = plugins.Registry()
register = _registry.register
create_chooser = _registry.create
list_names = _registry.list_names


class Chooser(abc.ABC):
    """Base class of the policies.

    :cvar orders_by_rank: whether the queue is ordered by rank instead of arrival.
    :cvar respects_slots: whether requests wait until a backend server has a free
        slot.
    :cvar compares_scores: whether it chooses by score, so that entries that know the
        same choose the same server.
    """

    compares_scores = False
    orders_by_rank = True
    respects_slots = True

    @abc.abstractmethod
    def choose(self, candidates, score, rng):
        """Chooses a backend server.

        :param candidates: nonempty list of ``servers.Server`` that may take the
            request.
        :param score: function of a server that returns its score in milliseconds;
            lower is better.
        :param rng: ``random.Random``.
        :return: the chosen ``servers.Server``.
        """


@register(DEFAULT_NAME)
class EarliestEvent(Chooser):
    """Chooses the server with the earliest expected first event."""

    compares_scores = True

    def choose(self, candidates, score, rng):
        """Chooses the server with the lowest score; ties are broken at random."""
        return min(candidates, key=lambda server: (score(server), rng.random()))


class FirstCome(Chooser):
    """Base class of baselines that ignore ranks and slots."""

    orders_by_rank = False
    respects_slots = False


@register("random")
class RandomServer(FirstCome):
    """First come, first served, on a random server."""

    def choose(self, candidates, score, rng):
        """Chooses a server at random."""
        return rng.choice(candidates)


@register("fewest-reported")
class FewestReported(FirstCome):
    """First come, first served, on the server that reported the fewest requests."""

    def choose(self, candidates, score, rng):
        """Chooses by the load in the newest response, without any correction."""
        return min(candidates, key=lambda server: (server.reported_load, rng.random()))


@register("tiered-round-robin")
class TieredRoundRobin(Chooser):
    """Round robin over the servers, with the queue ordered by rank."""

    def __init__(self):
        self._turn = 0

    def choose(self, candidates, score, rng):
        """Chooses the next server, ordered by id."""
        self._turn += 1
        ordered = sorted(candidates, key=lambda server: server.server_id)
        return ordered[self._turn % len(ordered)]
