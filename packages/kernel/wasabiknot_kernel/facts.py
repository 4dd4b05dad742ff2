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


class Topic:
    """The facts of one topic.

    :param name: its name.
    """

    def __init__(self, name):
        self.name = name
        self.position = 0
        # Behind the newest record that changed what an entry does.
        self.news_position = 0
        self.is_known = False
        self.facts = {}

    def take(self, found, position):
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
            self.facts[fact.key] = fact
            if known is None or known.value != fact.value:
                changed.append(fact)
        self.position = max(self.position, position)
        self.is_known = True
        return changed

    def take_listing(self, found, position):
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
        return self.take([*found, *dropped], position)

    def note_news(self, offset):
        """Notes that a fact changed what an entry does.

        :param offset: its position.
        """
        self.news_position = max(self.news_position, offset + 1)

    def list_since(self, position):
        """Lists what has changed since a position.

        :param position: the position.
        :return: list of ``Fact``.
        """
        return [fact for fact in self.facts.values() if fact.offset >= position]
