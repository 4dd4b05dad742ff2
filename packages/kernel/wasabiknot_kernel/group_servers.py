"""Assigns backend servers to groups of entries, and free slots to entries.

If all entries used all backend servers, many would see the same free slot and
overcommit it. Each group therefore prefers the backend servers assigned to it, and
uses others only if they have ample free slots.
"""

import functools

import msgspec
import xxhash

WINNER_CACHE_SIZE = 8_192


class Location(msgspec.Struct, frozen=True, order=True):
    """A backend server or a group, and its failure domain.

    :param name: id of the backend server, or name of the group.
    :param domain: failure domain of the backend server or group.
    """

    name: str
    domain: str


def assign_servers(servers, groups):
    """Assigns backend servers to groups evenly, preferring the same failure domain.

    The result depends only on the contents of the arguments, so all entries compute
    the same assignment without coordination.

    :param servers: iterable of ``Location``, the backend servers.
    :param groups: iterable of ``Location``, the groups.
    :return: mapping of group names to sets of server ids.
    """
    ordered_groups = sorted(groups)
    assignments = {group.name: set() for group in ordered_groups}
    if not ordered_groups:
        return assignments
    ordered_servers = sorted(
        servers, key=lambda item: xxhash.xxh64_intdigest(item.name.encode())
    )
    quota = -(-len(ordered_servers) // len(ordered_groups))
    remaining = []
    for server in ordered_servers:
        local_groups = [
            group for group in ordered_groups if group.domain == server.domain
        ]
        smallest = _find_smallest(local_groups, assignments)
        if smallest is None or len(assignments[smallest.name]) >= quota:
            remaining.append(server)
            continue
        assignments[smallest.name].add(server.name)
    for server in remaining:
        assignments[_find_smallest(ordered_groups, assignments).name].add(server.name)
    return assignments


def _find_smallest(groups, assignments):
    return min(groups, key=lambda group: len(assignments[group.name]), default=None)


@functools.lru_cache(maxsize=WINNER_CACHE_SIZE)
def find_winner(server_id, slot, contenders):
    """Finds the entry that may use a free slot, by rendezvous hashing.

    Entries that know the same contenders compute the same result, so only one of them
    uses the slot.

    :param server_id: id of the backend server.
    :param slot: number of the free slot.
    :param contenders: sorted tuple of the names of entries with queued requests.
    :return: name of an entry.
    """
    return max(
        contenders,
        key=lambda name: xxhash.xxh64_intdigest(f"{name}/{server_id}/{slot}".encode()),
    )
