"""Which backend servers a group of entries uses first, and who takes a free slot.

Many entries that look at the same backend servers all see the same free slot and
fill it several times over. So each group has backend servers of its own, as a small
system would, and uses others only while those have ample room.
"""

import functools

import msgspec
import xxhash

WINNER_CACHE_SIZE = 8_192


class Location(msgspec.Struct, frozen=True, order=True):
    """A backend server or a group, and its failure domain.

    :param name: id of the backend server, or name of the group.
    :param domain: failure domain.
    """

    name: str
    domain: str


def assign_servers(servers, groups):
    """Shares backend servers among groups, evenly, near ones first.

    Every entry comes to the same result from the same lists.

    :param servers: iterable of ``Location``.
    :param groups: iterable of ``Location``.
    :return: mapping of group names to sets of server ids.
    """
    names = sorted(groups)
    shares = {group.name: set() for group in names}
    if not names:
        return shares
    waiting = sorted(
        servers, key=lambda item: xxhash.xxh64_intdigest(item.name.encode())
    )
    quota = -(-len(waiting) // len(names))
    far = []
    for server in waiting:
        near = [group for group in names if group.domain == server.domain]
        chosen = _find_smallest(near, shares)
        if chosen is None or len(shares[chosen.name]) >= quota:
            far.append(server)
            continue
        shares[chosen.name].add(server.name)
    for server in far:
        shares[_find_smallest(names, shares).name].add(server.name)
    return shares


def _find_smallest(groups, shares):
    return min(groups, key=lambda group: len(shares[group.name]), default=None)


@functools.lru_cache(maxsize=WINNER_CACHE_SIZE)
def find_winner(server_id, slot, contenders):
    """Finds the entry that may take a free slot.

    Entries that know the same contenders come to the same result, so a slot that
    several of them wait for is filled once.

    :param server_id: the backend server.
    :param slot: number of the free slot.
    :param contenders: sorted tuple of the names of entries that wait.
    :return: name of an entry.
    """
    return max(
        contenders,
        key=lambda name: xxhash.xxh64_intdigest(f"{name}/{server_id}/{slot}".encode()),
    )
