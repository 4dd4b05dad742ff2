"""Ways to choose a backend server, by name in the settings.

``earliest-event`` is the product's own. The others are baselines that it is
measured against.
"""

import abc

from wasabiknot_kernel import plugins

DEFAULT_NAME = "earliest-event"

_registry = plugins.Registry()
register = _registry.register
create_chooser = _registry.create
list_names = _registry.list_names


class Chooser(abc.ABC):
    """Base of all ways to choose.

    :cvar keeps_ranks: whether requests leave the queue by rank.
    :cvar keeps_slots: whether requests wait until a backend server has a slot.
    """

    orders_by_rank = True
    respects_slots = True

    @abc.abstractmethod
    def choose(self, candidates, score, rng):
        """Chooses a backend server.

        :param candidates: list of ``servers.Server`` that may take the request, at
            least one.
        :param score: function of a server that returns the milliseconds until
            the first event is expected.
        :param rng: random numbers.
        :return: the chosen ``servers.Server``.
        """


@register(DEFAULT_NAME)
class EarliestEvent(Chooser):
    """The earliest expected first event."""

    def choose(self, candidates, score, rng):
        """Chooses by the expected time to the first event."""
        return min(candidates, key=lambda server: (score(server), rng.random()))


class FirstCome(Chooser):
    """Base of the baselines that know no ranks and hold nothing back."""

    orders_by_rank = False
    respects_slots = False


@register("random")
class RandomServer(FirstCome):
    """First come, first served, on a random backend server."""

    def choose(self, candidates, score, rng):
        """Chooses at random."""
        return rng.choice(candidates)


@register("fewest-reported")
class FewestReported(FirstCome):
    """First come, first served, on the one that stated the fewest requests."""

    def choose(self, candidates, score, rng):
        """Chooses by the load of the newest answer, as it stands."""
        return min(candidates, key=lambda server: (server.reported_load, rng.random()))


@register("tiered-round-robin")
class TieredRoundRobin(Chooser):
    """Ranks in the queue, over backend servers in turn."""

    def __init__(self):
        self._turn = 0

    def choose(self, candidates, score, rng):
        """Chooses the next one in turn."""
        self._turn += 1
        ordered = sorted(candidates, key=lambda server: server.server_id)
        return ordered[self._turn % len(ordered)]
