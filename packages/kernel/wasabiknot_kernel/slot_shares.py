"""Divides the slots of brittle plain servers among the entries, once and for all.

Plain requests are shorter than a digest takes, so what others have in flight isn't
known in time. Each entry gets fixed slots instead, by the names of the entries, which a
restart or a cut doesn't change.
"""

import functools

import xxhash

CACHE_SIZE = 1_024


def count_slots(server_id, slots, name, names):
    """Counts the slots of a server that belong to an entry.

    :param server_id: id of the backend server.
    :param slots: number of its slots.
    :param name: name of the entry.
    :param names: sorted tuple of the names of all entries.
    :return: number of slots; over all entries they add up to those of the server.
    """
    if name not in names:
        return 0
    each, rest = divmod(slots, len(names))
    return each + (_find_rank(server_id, name, names) < rest)


@functools.lru_cache(maxsize=CACHE_SIZE)
def list_owners(slots, names):
    """Lists the entries that have slots of a service.

    :param slots: tuple of pairs of the id of a backend server and its slots.
    :param names: sorted tuple of the names of all entries.
    :return: tuple of names.
    """
    return tuple(
        name
        for name in names
        if any(count_slots(server_id, count, name, names) for server_id, count in slots)
    )


@functools.lru_cache(maxsize=CACHE_SIZE)
def _find_rank(server_id, name, names):
    # The first of them follow in a circle, so that each gets about as many.
    offset = xxhash.xxh64_intdigest(server_id.encode()) % len(names)
    ordered = sorted(names, key=lambda item: xxhash.xxh64_intdigest(item.encode()))
    return (ordered.index(name) - offset) % len(names)
