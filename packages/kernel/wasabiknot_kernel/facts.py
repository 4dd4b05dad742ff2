"""Facts: a local replica of records in the platform's store.

An entry reads facts from the store, or from peers while the store rejects its reads.
A fact replaces another of the same key only if its position is higher, so facts can
arrive in any order without reverting a change. After the store was restored from an
older copy, what is in force stays in force until it is written again.
"""

import msgspec

from wasabiknot_kernel import positions


class Fact(msgspec.Struct, frozen=True, array_like=True):
    """The newest record of a key.

    :param key: key of the record.
    :param value: content as bytes; ``None`` is a tombstone.
    :param offset: ``positions.Position`` of the record in the topic.
    :param origin: for a value that stays in force although the restored store lacks it,
        the position at which it was written; otherwise ``None``.
    """

    key: str
    value: bytes | None
    offset: int
    origin: int | None = None

    @property
    def written(self):
        """Position at which the value was written."""
        return self.offset if self.origin is None else self.origin

    def is_newer_than(self, other):
        """Tells whether this fact replaces another one of the same key.

        :param other: ``Fact``.
        :return: whether it is newer; among values that the store lacks, whether it was
            certainly written later.
        """
        if self.origin is None or other.origin is None:
            return self.offset > other.offset
        if self.origin == other.origin:
            return self.offset > other.offset
        return self.was_written_after(other)

    def was_written_after(self, other):
        """Tells whether the value was certainly written after that of another fact.

        A record of a restored copy is read at its former offset, but in the new era. So
        neither eras nor offsets alone tell which of two records was written first.

        :param other: ``Fact``.
        :return: whether both the era and offset and the offset alone are higher.
        """
        offset = positions.get_offset(self.written)
        other_offset = positions.get_offset(other.written)
        return offset > other_offset and self.written > other.written


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


class Restoration(msgspec.Struct, frozen=True):
    """What the first listing after a restoration of the store showed.

    :param previous_era: era before it.
    :param era: era of the listing.
    :param listed: number of keys listed.
    :param kept: number of keys whose value stays in force although the listing has
        another one or none.
    :param missing: those of them that the listing lacks.
    :param outdated: listed keys that are ignored, as they were deleted before.
    """

    previous_era: int
    era: int
    listed: int
    kept: int
    missing: tuple[str, ...]
    outdated: tuple[str, ...]


class Topic:
    """The facts of one topic.

    :param name: name of the topic.
    """

    def __init__(self, name):
        self.name = name
        # Function of a key and a value; returns a version that must not decrease, or
        # None if positions alone decide.
        self.find_version = None
        # Result of the newest listing that began an era, until it is taken.
        self._restoration = None
        # Keys that stay in force although the store has lost their records.
        self._unconfirmed = set()
        self.position = 0
        # Position behind the newest record that affected scheduling.
        self.change_position = 0
        self.is_loaded = False
        self.facts = {}
        # Era of the latest listing of the store, or of the first facts from a peer.
        self._listed_era = 0
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
            if current is not None and not fact.is_newer_than(current):
                continue
            if current is None and positions.is_before(fact.offset, self._listing_end):
                # The update predates the listing, and the key has been deleted since.
                continue
            self._unconfirmed.discard(fact.key)
            if current is not None and self._is_older(fact, current):
                self.facts[fact.key] = Fact(fact.key, current.value, fact.offset)
                continue
            self.facts[fact.key] = fact
            if current is None or current.value != fact.value:
                changed.append(fact)
        self.position = max(self.position, position)
        self.is_loaded = True
        return changed

    def apply_listing(self, listed_facts, position):
        """Applies a listing of all keys and deletes the keys that it lacks.

        The first listing of an era deletes nothing: its records are those of an older
        copy, and what was lost may be written again.

        :param listed_facts: list of ``Fact``.
        :param position: end of the topic when the listing began.
        :return: list of the ``Fact`` items that changed a value.
        """
        era = positions.get_era(position)
        is_restored = self.is_loaded and era > self._listed_era
        self._listed_era = max(era, self._listed_era)
        if not is_restored:
            return self._replace(listed_facts, position)
        changed, self._restoration = self._restore(listed_facts, position)
        self.position = position
        return changed

    @property
    def era(self):
        """The highest era of what is known."""
        return positions.get_era(self._known_end)

    @property
    def _known_end(self):
        return max(self.position, self.change_position, self._listing_end)

    def _find_version(self, fact):
        if self.find_version is None or fact.value is None:
            return None
        return self.find_version(fact.key, fact.value)

    def _is_older(self, fact, current):
        version, known_version = self._find_version(fact), self._find_version(current)
        return (
            version is not None
            and known_version is not None
            and version < known_version
        )

    def _restore(self, listed_facts, position):
        previous_era, known_end = self.era, self._known_end
        unknown = {fact.key: fact for fact in listed_facts}
        changed, kept, missing = [], 0, []
        for key, current in self.facts.items():
            found = unknown.pop(key, None)
            if found is not None and self._is_in_force(found, current):
                self.facts[key] = found
                if found.value != current.value:
                    changed.append(found)
                continue
            kept_position = positions.create_kept_position(position)
            self.facts[key] = Fact(key, current.value, kept_position, current.written)
            if current.value is not None:
                kept += 1
                if found is None:
                    missing.append(key)
        outdated = []
        for key, found in unknown.items():
            if positions.get_offset(found.written) < positions.get_offset(known_end):
                outdated.append(key)
            else:
                self.facts[key] = found
                changed.append(found)
        self._unconfirmed = set(missing)
        self._listing_end = max(self._listing_end, position)
        self.record_change(position - 1)
        restoration = Restoration(
            previous_era,
            positions.get_era(position),
            len(listed_facts),
            kept,
            tuple(missing),
            tuple(outdated),
        )
        return changed, restoration

    def _is_in_force(self, found, current):
        if found.value == current.value:
            return True
        version = self._find_version(found)
        known_version = self._find_version(current)
        if version is not None and known_version is not None:
            return version > known_version
        return found.was_written_after(current)

    def pop_restoration(self):
        """Returns the result of a listing that began an era, once.

        :return: ``Restoration``, or ``None`` if there was none since the last call.
        """
        restoration, self._restoration = self._restoration, None
        return restoration

    def remove_unconfirmed(self):
        """Removes what a restoration has lost and nobody has written again.

        :return: list of the ``Fact`` items that changed a value.
        """
        removed_position = positions.create_removed_position(self.position)
        removed = [Fact(key, None, removed_position) for key in self._unconfirmed]
        self._unconfirmed.clear()
        for fact in removed:
            self.facts[fact.key] = fact
        return removed

    def _replace(self, listed_facts, position):
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
        if not self.is_loaded:
            self._listed_era = positions.get_era(update.position)
        if not update.is_full:
            return self.apply(update.facts, 0)
        if self.is_loaded and positions.get_era(update.position) > self.era:
            return self._restore(update.facts, update.position)[0]
        listing_end, position = self._listing_end, self.position
        changed = self._replace(update.facts, update.position)
        # The position of an update is that of a change, not the end of the topic.
        self.position = position
        self._listing_end = max(listing_end, update.position)
        return changed
