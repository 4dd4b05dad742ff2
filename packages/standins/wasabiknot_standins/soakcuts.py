"""Cuts between entries and backend servers in a soak test."""

import collections
import random

from twisted.internet import reactor

from wasabiknot_standins import entrycuts

DRAWN_SHARE = 0.5
# Start of a drawn cut, as a share of the run, and its length in seconds.
START_SHARES = (0.2, 0.6)
LENGTHS_S = (1.0, 5.0)
# Interval of the faults that are recorded during a cut.
FAULT_INTERVAL_S = 1.0


class Cuts:
    """Cuts some entries off from the backend servers.

    Drawn by a generator of its own, so that a seed keeps its other draws.

    :param seed: seed of what is drawn.
    :param entries: list of ``entryprocesses.EntryProcess``, filled later.
    :param record_fault: function that records that a fault begins or ends now.
    """

    def __init__(self, seed, entries, record_fault):
        self._rng = random.Random(f"cut/{seed}")
        self._entries = entries
        self._record_fault = record_fault
        self._partition = entrycuts.Partition()
        self._proxies = []
        self.actions = collections.Counter()

    def add_proxy(self, target, service):
        """Adds a proxy before a backend server.

        :param target: host and port of the server, separated by a colon.
        :param service: name of its service.
        :return: ``entrycuts.EntryProxy``.
        """
        proxy = entrycuts.EntryProxy(target, service, self._partition, self._entries)
        self._proxies.append(proxy)
        return proxy

    def choose_entries(self, entry_count, count):
        """Chooses the entries that are cut off.

        :param entry_count: number of all entries.
        :param count: number of those that are cut off.
        :return: frozen set of their numbers.
        """
        return frozenset(self._rng.sample(range(entry_count), count))

    def draw(self, entry_count, duration_s):
        """Draws a cut of some entries, or none.

        :param entry_count: number of all entries.
        :param duration_s: length of the run in seconds.
        """
        if self._rng.random() >= DRAWN_SHARE:
            return
        kinds = [item for item in entrycuts.Cut if item is not entrycuts.Cut.NONE]
        cut = self._rng.choice(kinds)
        numbers = self.choose_entries(entry_count, self._rng.randint(1, entry_count))
        delay_s = duration_s * self._rng.uniform(*START_SHARES)
        length_s = self._rng.uniform(*LENGTHS_S)
        reactor.callLater(delay_s, self.start, cut, numbers, length_s)

    def start(self, cut, entry_numbers, length_s):
        """Begins a cut.

        :param cut: ``entrycuts.Cut``.
        :param entry_numbers: frozen set of the numbers of the entries cut off.
        :param length_s: its length in seconds.
        """
        self.actions[f"{cut.value}-cut"] += 1
        self._partition.cut = cut
        self._partition.entry_numbers = entry_numbers
        if cut is entrycuts.Cut.RESET:
            for proxy in self._proxies:
                proxy.reset_cut()
        self._continue(reactor.seconds() + length_s)

    def _continue(self, end_s):
        if self._partition.cut is entrycuts.Cut.NONE:
            return
        self._record_fault()
        left_s = end_s - reactor.seconds()
        if left_s <= 0:
            self._partition.cut = entrycuts.Cut.NONE
            return
        reactor.callLater(min(FAULT_INTERVAL_S, left_s), self._continue, end_s)
