"""Measures the cost of gossip between entries.

Run as ``python benchmarks/gossip.py`` for 59, 137 and 330 entries under load, or with
``sizes`` for the sizes of single digests of 8, 80 and 330 entries. Under load, all
entries of a site send requests and exchange digests in memory on one clock. Times are
the CPU time of one process, with all that the load itself costs.
"""

import pathlib
import random
import statistics
import sys
import time

import msgspec

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "packages/kernel/tests"))
sys.path.insert(0, str(ROOT / "packages/entry/tests"))

import builders  # noqa: E402
import peerloads  # noqa: E402

from wasabiknot_kernel import (  # noqa: E402
    members,
    routes,
    servers as server_states,
    statements,
)

SIZES = ((8, 9), (80, 49), (330, 780))
# Sites under load. The first two are those of docs/design/hard-load.md in a burst.
SITES = (
    peerloads.Site(entries=59, domains=3, engines=45, slots=7, requests_per_s=28.0),
    peerloads.Site(
        entries=137, domains=4, engines=56, slots=6, requests_per_s=1.8, has_paces=True
    ),
    peerloads.Site(entries=330, domains=5, engines=780, slots=10, requests_per_s=7.3),
)
WARM_UP_S = 2.0
LOAD_S = 4.0
DOMAINS = 5
DIGESTS_PER_S = 10
USED_SERVERS = 6
ROUNDS = 200
# One backend server in this many states a limit.
SERVERS_PER_LIMIT = 100


def build_entries(count, servers):
    """Builds the measured entry and its peers.

    The measured entry is the first one. It and the members of its group know all
    backend servers.

    :param count: number of entries.
    :param servers: number of backend servers.
    :return: list of ``deployments.Deployment``, and set of the names of the peers in
        the measured entry's group.
    """
    table = routes.RouteTable(builders.build_configuration())
    entries = [
        builders.build_deployment(f"entry-{number:03}", domain=f"d{number % DOMAINS}")
        for number in range(count)
    ]
    measured = entries[0]
    for entry in entries:
        measured.roster.apply_member(entry.member, 0.0)
    group_peers = {peer.member.name for peer in measured.roster.list_group_peers()}
    for entry in entries:
        entry.apply_configuration(table, 0.0)
        if entry is measured or entry.member.name in group_peers:
            for number in range(servers):
                registration = builders.build_registration(f"i-{number:010}", slots=10)
                entry.apply_registration(registration, 0.0)
    return entries, group_peers


def start_requests(entry, rng, servers):
    """Starts requests of an entry at random backend servers.

    :param entry: ``deployments.Deployment``.
    :param rng: random number generator.
    :param servers: number of backend servers.
    """
    dispatcher = entry.get_dispatcher("pool")
    for number in range(USED_SERVERS):
        server = dispatcher.servers[f"i-{rng.randrange(servers):010}"]
        ticket = builders.build_ticket(f"{entry.member.name}-{number}")
        dispatcher.record_send(ticket, server, 0.0, 100.0)
    entry.allowances.used["graz"] = rng.randrange(1_000_000)


def state_limits(entry, servers):
    """Records limits that an entry has read a moment ago.

    :param entry: ``deployments.Deployment``.
    :param servers: number of backend servers.
    """
    dispatcher = entry.get_dispatcher("pool")
    for number in range(0, servers, SERVERS_PER_LIMIT):
        server = dispatcher.servers[f"i-{number:010}"]
        entry.record_statement(server, statements.Statement(5.5), 0.0, 0.0)


def measure(count, servers):
    """Measures one size of deployment and prints the result.

    :param count: number of entries.
    :param servers: number of backend servers.
    """
    rng = random.Random(1)
    entries, group_peers = build_entries(count, servers)
    measured = entries[0]
    for entry in entries:
        if entry is measured or entry.member.name in group_peers:
            start_requests(entry, rng, servers)
    plain_digest = msgspec.json.encode(members.Bundle((measured.build_digest(0.1),)))
    state_limits(measured, servers)
    encoded_digest = msgspec.json.encode(members.Bundle((measured.build_digest(0.1),)))
    for entry in entries:
        if entry.member.name in group_peers:
            measured.apply_digest(entry.build_digest(0.1), 0.1)
    encoded_summary = msgspec.json.encode(
        members.Bundle((measured.build_group_summary(0.1),))
    )
    groups = len(measured.roster.list_other_groups())
    summaries_per_s = (
        DIGESTS_PER_S / measured.roster.digests_per_summary if groups else 0
    )
    remote_bytes = _measure_remote_summary(
        measured, len(group_peers) + 1, groups, servers
    )
    sent_bytes_per_s = DIGESTS_PER_S * len(encoded_digest) * len(group_peers)
    received_bytes_per_s = sent_bytes_per_s + summaries_per_s * remote_bytes
    leader_sent_bytes_per_s = sent_bytes_per_s + summaries_per_s * (
        len(encoded_summary) * groups + remote_bytes * len(group_peers)
    )
    digests = [entry.build_digest(0.2) for entry in entries if entry is not measured]
    start_s = time.process_time()
    applied = 0
    for _ in range(ROUNDS):
        for digest in digests[:10]:
            measured.apply_digest(
                msgspec.structs.replace(digest, sequence=applied + 10), 0.2
            )
            applied += 1
    apply_us = (time.process_time() - start_s) / applied * 1e6
    start_s = time.process_time()
    for _ in range(ROUNDS):
        measured.build_digest(0.2)
    build_us = (time.process_time() - start_s) / ROUNDS * 1e6
    start_s = time.process_time()
    for _ in range(ROUNDS):
        measured.tick(0.2)
    tick_us = (time.process_time() - start_s) / ROUNDS * 1e6
    print(
        f"{count} entries, {servers} servers: group of {len(group_peers) + 1}, "
        f"{groups} other groups; digest {len(encoded_digest)} B, "
        f"{len(encoded_digest) - len(plain_digest)} B of them limits, "
        f"group summary {len(encoded_summary)} B, remote summary {remote_bytes} B; "
        f"member sends {sent_bytes_per_s / 1e3:.1f} KB/s, "
        f"receives {received_bytes_per_s / 1e3:.1f} KB/s, "
        f"leader sends {leader_sent_bytes_per_s / 1e3:.1f} KB/s; "
        f"apply {apply_us:.0f} us, build {build_us:.0f} us, tick {tick_us:.0f} us"
    )


def _measure_remote_summary(entry, size, groups, servers):
    # Each member of the other groups uses ``USED_SERVERS`` backend servers.
    if not groups:
        return 0
    used = min(servers, USED_SERVERS * size * groups)
    loads = {
        f"i-{number:010}": server_states.PeerLoad(3, 500) for number in range(used)
    }
    group = entry.roster.list_other_groups()[0]
    sender = entry.roster.find(group.members[0]).member
    summary = members.Digest(sender.name, sender.run, 1, {}, loads, {})
    summary = msgspec.structs.replace(summary, group=group.name)
    entry.tick(0.1)
    entry.apply_digest(summary, 0.1)
    digest = entry.build_remote_summary(0.1)
    return len(msgspec.json.encode(members.Bundle((digest,))))


def measure_load(site):
    """Measures what the entries of a site send under load and prints the result.

    :param site: ``peerloads.Site``.
    """
    fleet = peerloads.LoadedFleet(site)
    fleet.play(WARM_UP_S)
    since_s = fleet.clock.seconds()
    start_s = time.process_time()
    fleet.play(LOAD_S)
    cpu_s = time.process_time() - start_s
    now_s = fleet.clock.seconds()
    leaders, others = [], []
    for entry in fleet.entries:
        is_leader = entry.deployment.roster.is_leader(now_s)
        (leaders if is_leader else others).append(entry.list_sent(since_s))
    print(f"{site.entries} entries, {site.requests_per_s} requests a second each:")
    for name, sent in (("leaders", leaders), ("others", others)):
        most = max(max(sizes) for sizes in sent)
        mean = statistics.mean(size for sizes in sent for size in sizes)
        print(f"  {name} send {mean / 1e3:.1f} KB/s, at most {most / 1e3:.1f} KB/s")
    cpu_ms = cpu_s / LOAD_S / site.entries * 1e3
    print(f"  {cpu_ms:.1f} ms of processor a second and entry")


def main():
    """Measures all sites, or all sizes of deployment."""
    if sys.argv[1:] == ["sizes"]:
        for count, servers in SIZES:
            measure(count, servers)
        return
    for site in SITES:
        measure_load(site)


if __name__ == "__main__":
    main()
