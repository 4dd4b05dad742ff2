"""Facts: a local replica of records in the platform's store.

An entry reads facts from the store, or from peers while the store rejects its reads.
A fact replaces another of the same key only if its offset is higher, so facts can
arrive in any order without reverting a change.
"""

import msgspec


class Fact(msgspec.Struct, frozen=True, array_like=True):
    """The newest record of a key.

    :param key: key of the record.
    :param value: content as bytes; ``None`` is a tombstone.
    :param offset: offset of the record in the topic.
    """

    key: str
    value: bytes | None
    offset: int


class TopicUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Facts of one topic that a peer sends: all of them, or those that have changed.

    :param topic: name of the topic.
    :param position: position up to which the sender has applied all changes.
    :param is_full: whether all facts are included, so that missing keys are deleted.
    :param facts: tuple of ``Fact``.
    """

    topic: str
    position: int
    is_full: bool
    facts: tuple[Fact, ...]


class Topic:
    """The facts of one topic.

    :param name: name of the topic.
    """

    def __init__(self, name):
        self.name = name
        self.position = 0
        # Position behind the newest record that affected scheduling.
        self.change_position = 0
        self.is_loaded = False
        self.facts = {}
        # End of the latest listing. Listings contain no tombstones, so keys that were
        # deleted before it have no fact here.
        self._listing_end = 0

    def apply(self, new_facts, position):
        """Applies facts.

        :param new_facts: iterable of ``Fact``.
        :param position: position up to which no record is missing.
        :return: list of the ``Fact`` items that changed a value.
        """
        changed = []
        for fact in new_facts:
            current = self.facts.get(fact.key)
            if current is not None and current.offset >= fact.offset:
                continue
            if current is None and fact.offset < self._listing_end:
                # The update predates the listing, and the key has been deleted since.
                continue
            self.facts[fact.key] = fact
            if current is None or current.value != fact.value:
                changed.append(fact)
        self.position = max(self.position, position)
        self.is_loaded = True
        return changed

    def apply_listing(self, listed_facts, position):
        """Applies a listing of all keys and deletes the keys that it lacks.

        :param listed_facts: list of ``Fact``.
        :param position: end of the topic when the listing began.
        :return: list of the ``Fact`` items that changed a value.
        """
        listed_keys = {fact.key for fact in listed_facts}
        tombstones = [
            Fact(key, None, position - 1)
            for key, fact in self.facts.items()
            if key not in listed_keys
            and fact.value is not None
            and fact.offset < position
        ]
        changed = self.apply([*listed_facts, *tombstones], position)
        self._listing_end = max(self._listing_end, position)
        return changed

    def record_change(self, offset):
        """Records that a fact affected scheduling, so that peers should fetch it.

        :param offset: offset of the fact.
        """
        self.change_position = max(self.change_position, offset + 1)

    def build_update_since(self, position):
        """Builds an update for a peer.

        :param position: position up to which the peer has applied all changes.
        :return: ``TopicUpdate`` with the changes since then; a full one if the peer
            may have missed deletions that are unknown here.
        """
        is_full = position < self._listing_end
        selected = tuple(
            fact
            for fact in self.facts.values()
            if (is_full and fact.value is not None) or fact.offset >= position
        )
        return TopicUpdate(self.name, self.change_position, is_full, selected)

    def apply_update(self, update):
        """Applies an update from a peer.

        :param update: ``TopicUpdate``.
        :return: list of the ``Fact`` items that changed a value.
        """
        if not update.is_full:
            return self.apply(update.facts, 0)
        listing_end, position = self._listing_end, self.position
        changed = self.apply_listing(update.facts, update.position)
        # The position of an update is that of a change, not the end of the topic.
        self.position = position
        self._listing_end = max(listing_end, update.position)
        return changed
