"""Measures the latency, CPU time and memory overhead of an entry.

Run with ``make bench``. Alternates calls sent directly to a simulated engine with the
same calls sent through one entry, within one run.
"""

import os
import statistics

import msgspec
import treq
from twisted.internet import defer, reactor, task

from wasabiknot_standins import clients, deployments, processes, rigs, servers, tables

CALLS = 150
MAX_TOKENS = 20
LONG_TOKENS = 400
LONG_CALLS = 12
PAGE_KB = os.sysconf("SC_PAGE_SIZE") / 1024
IDLE_S = 5
MS_PER_S = 1000


def read_cpu_time_s(process):
    """Reads the CPU time of a process.

    :param process: ``subprocess.Popen``.
    :return: user and system time, in seconds.
    """
    with open(f"/proc/{process.pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def read_memory_mb(process):
    """Reads the resident memory of a process.

    :param process: ``subprocess.Popen``.
    :return: megabytes.
    """
    with open(f"/proc/{process.pid}/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return pages * PAGE_KB / 1024


async def call_direct(port, number, tokens):
    """Calls an engine directly.

    :param port: port of the engine.
    :param number: number of the call.
    :param tokens: maximum number of output tokens.
    """
    body = {
        "id": f"direct-{number}",
        "call": "check-stand",
        "prompt": f"direct {number}",
        "max_tokens": tokens,
    }
    url = f"http://{servers.HOST}:{port}/v1/streams"
    response = await clients.create_client().post(url, data=msgspec.json.encode(body))
    await treq.content(response)


async def call_entry(port, number, tokens):
    """Calls an engine through an entry.

    :param port: port of the entry.
    :param number: number of the call.
    :param tokens: maximum number of output tokens.
    """
    body = {"prompt": f"entry- {number}", "max_tokens": tokens}
    path = "/v1/services/schreibstube/calls/check-stand"
    response = await clients.create_client().post(
        f"http://{servers.HOST}:{port}{path}",
        data=msgspec.json.encode(body),
        headers={"Wasabiknot-Customer": "c"},
    )
    await treq.content(response)


async def time_call(call, *arguments):
    """Measures the latency of a call.

    :param call: coroutine function.
    :param arguments: its arguments.
    :return: latency in milliseconds.
    """
    start_s = reactor.seconds()
    await call(*arguments)
    return (reactor.seconds() - start_s) * MS_PER_S


async def measure(fleet):
    """Measures the overhead of an entry and prints the results.

    :param fleet: ``processes.Fleet`` with one entry.
    """
    await rigs.start_fleet(fleet)
    entry = fleet.processes[fleet.entries[0]]
    before_s = read_cpu_time_s(entry)
    await task.deferLater(reactor, IDLE_S)
    idle = (read_cpu_time_s(entry) - before_s) / IDLE_S
    print(f"idle: {read_memory_mb(entry):.1f} MB, {idle:.2%} of a core")
    engine_port = fleet.ports.workers[fleet.workers[0].id]
    entry_port = fleet.ports.callers[fleet.entries[0]]
    direct_ms = []
    proxied_ms = []
    start_s = read_cpu_time_s(entry)
    for number in range(CALLS):
        direct_ms.append(await time_call(call_direct, engine_port, number, MAX_TOKENS))
        proxied_ms.append(await time_call(call_entry, entry_port, number, MAX_TOKENS))
    short_s = read_cpu_time_s(entry) - start_s
    for percent in (50, 99):
        direct = tables.compute_percentile(direct_ms, percent)
        proxied = tables.compute_percentile(proxied_ms, percent)
        print(f"p{percent}: direct {direct:.1f} ms, through an entry {proxied:.1f} ms,")
        print(f"  ratio {proxied / direct:.3f}, added {proxied - direct:.1f} ms")
    start_s = read_cpu_time_s(entry)
    for number in range(LONG_CALLS):
        await call_entry(entry_port, f"long {number}", LONG_TOKENS)
    long_s = read_cpu_time_s(entry) - start_s
    print(f"processor time of a short call: {short_s / CALLS * MS_PER_S:.2f} ms")
    print(f"processor time of a long call: {long_s / LONG_CALLS * MS_PER_S:.2f} ms")
    print(f"memory afterwards: {read_memory_mb(entry):.1f} MB")
    print(f"median direct call: {statistics.median(direct_ms):.1f} ms")


def main():
    """Starts one entry with one fast engine and measures it."""
    plan = deployments.MARKTGELD
    fast = [worker for worker in plan.workers if worker.decode_ms == 10.0]
    plan = msgspec.structs.replace(plan, workers=(fast[0], plan.workers[-1]))
    fleet = processes.Fleet(plan, entries=1)
    try:
        task.react(lambda _: defer.ensureDeferred(measure(fleet)))
    finally:
        fleet.kill()


if __name__ == "__main__":
    main()
