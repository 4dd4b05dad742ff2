"""Measures the time of kernel operations and the memory of a node by deployment size.

Run with ``make bench``. Prints microseconds (median of several batches) and bytes.
"""

import statistics
import time
import tracemalloc

from wasabiknot_kernel import (
    digests,
    evidence,
    fold,
    hashing,
    messages,
    node as nodes,
    records,
    services,
)

BATCHES = 7
BATCH_SIZE = 60
NOW_MS = 1_700_000_000_000
MEGABYTE = 1_000_000


class Size:
    """A deployment size.

    :param name: name in the output.
    :param entry_count: number of entries.
    :param worker_count: number of backend servers.
    :param service_count: number of services.
    :param customer_count: number of customers.
    """

    def __init__(self, name, entry_count, worker_count, service_count, customer_count):
        self.name = name
        self.entry_count = entry_count
        self.worker_count = worker_count
        self.service_count = service_count
        self.customer_count = customer_count


SIZES = (
    Size("current", 8, 8, 2, 5),
    Size("one service of the full size", 330, 31, 1, 9_700),
    Size("full", 330, 780, 25, 9_700),
)


def build_configuration(size):
    """Builds the configuration of a deployment.

    :param size: ``Size``.
    :return: ``services.Configuration``.
    """
    tiers = ("t0", "t1", "t2", "t3", "t4")
    calls = tuple(services.Call(f"c{n}", tiers[n], 60_000, True) for n in range(5))
    versions = (services.Version("v1", 100.0),)
    service_list = tuple(
        services.Service(f"s{n}", services.ServiceKind.ENGINE, calls, versions)
        for n in range(size.service_count)
    )
    return services.Configuration(services.Deployment(tiers), service_list)


def build_node(size):
    """Builds a node with a configuration, all backend servers and digests of all peers.

    :param size: ``Size``.
    :return: ``nodes.Node``.
    """
    node = nodes.create_node(nodes.NodeSettings("e0", "run", queue_limit=5_000), 1)
    workers = tuple(
        messages.Vm(f"w{n}", "127.0.0.1:1", "d", f"s{n % size.service_count}", "v1", 16)
        for n in range(size.worker_count)
    )
    entries = tuple(
        messages.EntryVm(f"e{n}", "127.0.0.1:1", "127.0.0.1:2", "d")
        for n in range(size.entry_count)
    )
    node.handle(messages.VmsListed(workers, entries), NOW_MS)
    publication = records.Publication(
        record_id="p", based_on=-1, configuration=build_configuration(size)
    )
    stamped = records.StampedRecord(0, NOW_MS, publication)
    node.handle(messages.LogRead((stamped,), 1, NOW_MS), NOW_MS)
    for number in range(1, size.entry_count):
        digest = build_digest(size, number, 1)
        node.handle(messages.DigestReceived(digest), NOW_MS)
    return node


def build_digest(size, number, sequence):
    """Builds the digest of a peer with requests at up to eight backend servers.

    :param size: ``Size``.
    :param number: number of the peer.
    :param sequence: sequence number of the digest.
    :return: ``digests.Digest``.
    """
    uses = tuple(
        digests.InFlightCounts(f"w{(number + n) % size.worker_count}", (0, 0, 1, 0, 0))
        for n in range(min(8, size.worker_count))
    )
    return digests.Digest(f"e{number}", "run", sequence, 0, 0, uses=uses)


def build_call(size, number):
    """Builds a call.

    :param size: ``Size``.
    :param number: number of the call.
    :return: ``messages.CallReceived``.
    """
    return messages.CallReceived(
        request_id=f"r{number}",
        service=f"s{number % size.service_count}",
        call=f"c{number % 5}",
        customer=f"k{number % size.customer_count}",
        content=f"h{number}",
        prompt_tokens=200,
        max_tokens=100,
    )


def measure(operation):
    """Measures the time of an operation.

    :param operation: function of the number of the iteration.
    :return: median time of one iteration, in microseconds.
    """
    times = []
    number = 0
    for _ in range(BATCHES):
        start_s = time.perf_counter()
        for _ in range(BATCH_SIZE):
            operation(number)
            number += 1
        times.append((time.perf_counter() - start_s) / BATCH_SIZE)
    return statistics.median(times) * 1e6


def measure_size(size):
    """Measures all operations at one deployment size.

    :param size: ``Size``.
    :return: list of ``(name, microseconds)`` pairs.
    """
    node = build_node(size)
    sequences = iter(range(2, 1_000_000))
    evidences = [
        digests.Evidence(
            "s0",
            f"v{n % 2 + 1}",
            "c0",
            7,
            5,
            (),
            digests.ServiceTimeStats(32, 40.0, 60.0),
        )
        for n in range(2 * size.entry_count)
    ]
    move = fold.Move(7, NOW_MS, NOW_MS, "s0", "v2", (), ())
    state = fold.State(configuration=node.configuration, time_ms=NOW_MS)
    names = [f"e{n}" for n in range(size.entry_count)]
    offsets = iter(range(1, 1_000_000))

    def apply_claims(number):
        claims = tuple(
            records.Claim(f"{number}/{n}", NOW_MS, "f" * 32) for n in range(20)
        )
        batch = records.ClaimBatch(
            record_id=str(number), entry="e0", incarnation="1", claims=claims
        )
        fold.apply_record(state, records.StampedRecord(next(offsets), NOW_MS, batch))

    def apply_digest(number):
        digest = build_digest(
            size, 1 + number % (size.entry_count - 1), next(sequences)
        )
        data = digests.encode_datagram(digest)
        message = messages.DigestReceived(digests.decode_datagram(data))
        node.handle(message, NOW_MS)

    def complete_request(number):
        call = build_call(size, number)
        node.handle(call, NOW_MS)
        ended = messages.AttemptEnded(call.request_id, messages.Outcome.WHOLE, 60)
        node.handle(ended, NOW_MS)

    ticks = iter(range(1, 1_000_000))
    return [
        ("dispatch and complete a request", measure(complete_request)),
        ("decode and apply a peer's digest", measure(apply_digest)),
        (
            "tick with a digest and new shares",
            measure(lambda _: node.handle(messages.Tick(), NOW_MS + 250 * next(ticks))),
        ),
        ("apply a batch of 20 claims", measure(apply_claims)),
        ("choose a key's node", measure(lambda n: hashing.choose_node(str(n), names))),
        (
            "analyze a version, evidence of all entries",
            measure(lambda _: evidence.analyze(move, evidences, lambda _: False)),
        ),
    ]


def measure_memory(size):
    """Measures the memory that a node allocates.

    :param size: ``Size``.
    :return: size in bytes.
    """
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    node = build_node(size)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del node
    return after - before


def main():
    """Measures and prints all deployment sizes."""
    for size in SIZES:
        print(
            f"{size.name}: {size.entry_count} entries,"
            f" {size.worker_count} backend servers,"
            f" {size.service_count} services, {size.customer_count} customers"
        )
        for name, duration_us in measure_size(size):
            print(f"  {name:<44}{duration_us:>10.1f} us")
        print(f"  {'memory of a node':<44}{measure_memory(size) / MEGABYTE:>10.2f} MB")
        digest = build_digest(size, 1, 1)
        length = len(digests.encode_datagram(digest))
        print(f"  {'digest with eight backend servers':<44}{length:>10} bytes")


if __name__ == "__main__":
    main()
