"""Bounded tables of what has been in flight when backend servers crashed."""

import collections


class SuspectTable:
    """Suspects by their keys; the oldest with the fewest crashes are forgotten first.

    :param create: function of a key that creates a ``suspects.Suspect``.
    :param capacity: largest number of suspects.
    """

    def __init__(self, create, capacity):
        self._create = create
        self._capacity = capacity
        self._items = collections.OrderedDict()
        # Those with one crash, the oldest first.
        self._singles = collections.OrderedDict()
        # Those with more than one crash.
        self.repeated = {}

    def __len__(self):
        return len(self._items)

    def items(self):
        """Lists the keys and suspects.

        :return: list of pairs.
        """
        return list(self._items.items())

    def get(self, key):
        """Returns a suspect.

        :param key: text.
        :return: ``suspects.Suspect``, or ``None``.
        """
        return self._items.get(key)

    def provide(self, key):
        """Returns a suspect as the newest one, creating it if needed.

        :param key: text.
        :return: ``suspects.Suspect``.
        """
        if key not in self._items:
            self._items[key] = self._create(key)
        self._items.move_to_end(key)
        return self._items[key]

    def add_crash(self, key, known):
        """Adds a crash to a suspect.

        :param key: text.
        :param known: ``suspects.KnownCrash``.
        """
        suspect = self._items[key]
        suspect.crashes[known.crash.server] = known
        if len(suspect.crashes) > 1:
            self.repeated[key] = suspect
            self._singles.pop(key, None)
        else:
            self._singles[key] = None

    def find_surplus(self):
        """Finds the suspect to forget, if there are too many.

        :return: its key, or ``None``.
        """
        if len(self._items) <= self._capacity:
            return None
        if self._singles:
            return next(iter(self._singles))
        return min(self._items, key=lambda key: len(self._items[key].crashes))

    def pop(self, key):
        """Removes a suspect.

        :param key: text.
        :return: ``suspects.Suspect``.
        """
        self.repeated.pop(key, None)
        self._singles.pop(key, None)
        return self._items.pop(key)
