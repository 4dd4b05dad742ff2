"""What the platform's store said, by key, with its position.

An entry reads facts from the store itself, and from peers while the store turns
it away. A fact replaces another of the same key only if its position is higher,
so nothing ever goes back.
"""

import msgspec


class Fact(msgspec.Struct, frozen=True, array_like=True):
    """The newest record of a key.

    :param key: its key.
    :param value: its bytes; ``None`` if it was dropped.
    :param offset: its position in the topic.
    """

    key: str
    value: bytes | None
    offset: int


class TopicUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Facts of one topic, as a peer gives them.

    :param topic: name of the topic.
    :param position: position up to which no change is missing.
    :param is_full: whether keys that are missing in it were dropped.
    :param facts: tuple of ``Fact``.
    """

    topic: str
    position: int
    is_full: bool
    facts: tuple[Fact, ...]


class Topic:
    """The facts of one topic.

    :param name: its name.
    """

    def __init__(self, name):
        self.name = name
        self.position = 0
        # Behind the newest record that changed what an entry does.
        self.change_position = 0
        self.is_loaded = False
        self.facts = {}
        # End of the newest listing: of a key that was dropped before it nothing is
        # known here.
        self._listing_end = 0

    def apply(self, found, position):
        """Takes facts up to a position.

        :param found: iterable of ``Fact``.
        :param position: position up to which nothing is missing.
        :return: list of the facts that changed a value.
        """
        changed = []
        for fact in found:
            known = self.facts.get(fact.key)
            if known is not None and known.offset >= fact.offset:
                continue
            if known is None and fact.offset < self._listing_end:
                # A copy that is older than the listing, which no longer had the key.
                continue
            self.facts[fact.key] = fact
            if known is None or known.value != fact.value:
                changed.append(fact)
        self.position = max(self.position, position)
        self.is_loaded = True
        return changed

    def apply_listing(self, found, position):
        """Takes a whole listing: keys that are missing in it were dropped.

        :param found: list of ``Fact``.
        :param position: end of the topic when the listing began.
        :return: list of the facts that changed a value.
        """
        listed = {fact.key for fact in found}
        dropped = [
            Fact(key, None, position - 1)
            for key, fact in self.facts.items()
            if key not in listed and fact.value is not None and fact.offset < position
        ]
        changed = self.apply([*found, *dropped], position)
        self._listing_end = max(self._listing_end, position)
        return changed

    def record_change(self, offset):
        """Notes that a fact changed what an entry does.

        :param offset: its position.
        """
        self.change_position = max(self.change_position, offset + 1)

    def build_update_since(self, position):
        """Copies what has changed since a position, for a peer.

        :param position: position up to which the peer misses no change.
        :return: ``TopicUpdate``; a whole one if keys may have been dropped unseen.
        """
        is_full = position < self._listing_end
        found = tuple(
            fact
            for fact in self.facts.values()
            if (is_full and fact.value is not None) or fact.offset >= position
        )
        return TopicUpdate(self.name, self.change_position, is_full, found)

    def apply_update(self, copied):
        """Takes a copy of a peer's facts.

        :param copied: ``TopicUpdate``.
        :return: list of the facts that changed a value.
        """
        if not copied.is_full:
            return self.apply(copied.facts, 0)
        listed_at, position = self._listing_end, self.position
        changed = self.apply_listing(copied.facts, copied.position)
        # A copy ends at a change and not at the end of the topic.
        self.position = position
        self._listing_end = max(listed_at, copied.position)
        return changed
