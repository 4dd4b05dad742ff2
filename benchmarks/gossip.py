"""Measures what talking between entries costs at 8, 80 and 330 of them.

Run as ``python benchmarks/gossip.py``. Each entry has a request at a few backend
servers; the sizes are of encoded datagrams, the times of one process.
"""

import pathlib
import random
import sys
import time

import msgspec

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "packages/kernel/tests"))

import builders  # noqa: E402

from wasabiknot_kernel import (  # noqa: E402
    members,
    routes,
    servers as server_states,
)

SIZES = ((8, 9), (80, 49), (330, 780))
DOMAINS = 5
DIGESTS_PER_S = 10
USED_SERVERS = 6
ROUNDS = 200


def build_entries(count, servers):
    """Builds entries that know each other and all backend servers.

    :param count: number of entries.
    :param servers: number of backend servers.
    :return: list of ``deployments.Deployment``.
    """
    table = routes.RouteTable(builders.build_configuration())
    entries = [
        builders.build_deployment(f"entry-{number:03}", domain=f"d{number % DOMAINS}")
        for number in range(count)
    ]
    # One entry that is measured, and the leaders that send to it.
    first = entries[0]
    for entry in entries:
        first.roster.apply_member(entry.member, 0.0)
    mates = {peer.member.name for peer in first.roster.list_group_peers()}
    for entry in entries:
        entry.apply_configuration(table, 0.0)
        if entry is first or entry.member.name in mates:
            for number in range(servers):
                registration = builders.build_registration(f"i-{number:010}", slots=10)
                entry.apply_registration(registration, 0.0)
    return entries, mates


def use(entry, rng, servers):
    """Gives an entry some running requests.

    :param entry: ``deployments.Deployment``.
    :param rng: random numbers.
    :param servers: number of backend servers.
    """
    dispatcher = entry.get_dispatcher("pool")
    for number in range(USED_SERVERS):
        server = dispatcher.servers[f"i-{rng.randrange(servers):010}"]
        ticket = builders.build_ticket(f"{entry.member.name}-{number}")
        dispatcher.start(ticket, server, 0.0, 100.0)
    entry.allowances.used["graz"] = rng.randrange(1_000_000)


def measure(count, servers):
    """Measures one size and prints it.

    :param count: number of entries.
    :param servers: number of backend servers.
    """
    rng = random.Random(1)
    entries, mates = build_entries(count, servers)
    first = entries[0]
    for entry in entries:
        if entry is first or entry.member.name in mates:
            use(entry, rng, servers)
    own = msgspec.json.encode(members.Bundle((first.build_digest(0.1),)))
    for entry in entries:
        if entry.member.name in mates:
            first.apply_digest(entry.build_digest(0.1), 0.1)
    total = msgspec.json.encode(members.Bundle((first.build_group_summary(0.1),)))
    groups = len(first.roster.list_other_groups())
    sums_per_s = DIGESTS_PER_S / first.roster.digests_per_summary if groups else 0
    rest = _build_rest(first, len(mates) + 1, groups, servers)
    sent = DIGESTS_PER_S * len(own) * len(mates)
    heard = sent + sums_per_s * rest
    leader = sent + sums_per_s * (len(total) * groups + rest * len(mates))
    digests = [entry.build_digest(0.2) for entry in entries if entry is not first]
    started = time.process_time()
    taken = 0
    for _ in range(ROUNDS):
        for digest in digests[:10]:
            first.apply_digest(
                msgspec.structs.replace(digest, sequence=taken + 10), 0.2
            )
            taken += 1
    take_us = (time.process_time() - started) / taken * 1e6
    started = time.process_time()
    for _ in range(ROUNDS):
        first.build_digest(0.2)
    build_us = (time.process_time() - started) / ROUNDS * 1e6
    started = time.process_time()
    for _ in range(ROUNDS):
        first.tick(0.2)
    tick_us = (time.process_time() - started) / ROUNDS * 1e6
    print(
        f"{count} entries, {servers} servers: group of {len(mates) + 1}, "
        f"{groups} others; digest {len(own)} B, sum {len(total)} B, rest {rest} B; "
        f"member sends {sent / 1e3:.1f} KB/s, hears {heard / 1e3:.1f} KB/s, "
        f"leader sends {leader / 1e3:.1f} KB/s; "
        f"take {take_us:.0f} us, build {build_us:.0f} us, tick {tick_us:.0f} us"
    )


def _build_rest(entry, size, groups, servers):
    # The other groups use as many backend servers as their members hold.
    used = min(servers, USED_SERVERS * size * groups)
    uses = {f"i-{number:010}": server_states.PeerUse(3, 500) for number in range(used)}
    digest = msgspec.structs.replace(entry.build_remote_summary(0.1), loads=uses)
    return len(msgspec.json.encode(members.Bundle((digest,)))) if groups else 0


def main():
    """Measures all sizes."""
    for count, servers in SIZES:
        measure(count, servers)


if __name__ == "__main__":
    main()
