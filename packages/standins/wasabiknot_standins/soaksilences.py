"""Sound backend servers that say nothing for about a second and go on.

By the users' rules this is no fault: it excuses no request that ends without a
complete response before most of its time is used.
"""

import collections
import enum
import random

from twisted.internet import reactor

DURATIONS_S = (0.8, 1.6)
INTERVAL_S = 3.0
# Range of the intervals, as factors.
SPREAD = (0.7, 1.3)


class Who(enum.Enum):
    """Which backend servers fall silent at the same time."""

    NONE = "none"
    ONE = "one"
    SERVICE = "service"
    ALL = "all"


class Silences:
    """Lets backend servers fall silent during one run.

    :param seed: seed of the silences, which are drawn by a generator of their own.
    :param list_workers: function that returns a list of ``platformworkers.Worker``.
    :param durations_s: shortest and longest silence in seconds.
    """

    def __init__(self, seed, list_workers, durations_s=DURATIONS_S):
        self._rng = random.Random(f"silence/{seed}")
        self._list_workers = list_workers
        self._durations_s = durations_s
        self.actions = collections.Counter()

    def draw(self, duration_s):
        """Draws and schedules all silences of a run.

        :param duration_s: time in seconds during which load is generated.
        """
        who = self._rng.choice([Who.NONE, Who.ONE, Who.SERVICE])
        if self._rng.random() < 0.5:
            self.schedule(who, duration_s)
        else:
            reactor.callLater(self._rng.uniform(0.5, duration_s), self._fall, who)

    def schedule(self, who, duration_s):
        """Schedules silences that follow each other.

        :param who: ``Who``.
        :param duration_s: time in seconds during which load is generated.
        """
        at_s = self._rng.uniform(0.5, INTERVAL_S)
        while at_s < duration_s:
            reactor.callLater(at_s, self._fall, who)
            at_s += INTERVAL_S * self._rng.uniform(*SPREAD)

    def _fall(self, who):
        if who is Who.NONE:
            return
        self.actions[f"silence_{who.value}"] += 1
        duration_s = self._rng.uniform(*self._durations_s)
        for worker in self._choose_workers(who):
            worker.fall_silent(duration_s)

    def _choose_workers(self, who):
        workers = self._list_workers()
        chosen = self._rng.choice(workers)
        if who is Who.ONE:
            return [chosen]
        if who is Who.ALL:
            return workers
        return [item for item in workers if item.service == chosen.service]
