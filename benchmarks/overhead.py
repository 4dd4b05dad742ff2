"""Measures what an entry adds to a call: latency, processor time and memory.

Run with ``make bench``. Sends the same calls directly to a stand-in engine and
through one entry, in turn, within one run.
"""

import os
import statistics

import msgspec
import treq
from twisted.internet import defer, reactor, task

from wasabiknot_standins import deployments, processes, rigs, servers, tables

CALLS = 150
MAX_TOKENS = 20
LONG_TOKENS = 400
LONG_CALLS = 12
PAGE_KB = os.sysconf("SC_PAGE_SIZE") / 1024
REST_S = 5
MS_PER_S = 1000


def read_processor_s(process):
    """Reads the processor time of a process.

    :param process: ``subprocess.Popen``.
    :return: seconds.
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
    """Calls an engine without an entry.

    :param port: its port.
    :param number: number of the call.
    :param tokens: largest answer.
    """
    body = {
        "id": f"direct-{number}",
        "call": "check-stand",
        "prompt": f"direct {number}",
        "max_tokens": tokens,
    }
    url = f"http://{servers.HOST}:{port}/v1/streams"
    response = await treq.post(url, data=msgspec.json.encode(body), persistent=False)
    await treq.content(response)


async def call_entry(port, number, tokens):
    """Calls an entry.

    :param port: its port.
    :param number: number of the call.
    :param tokens: largest answer.
    """
    body = {"prompt": f"entry- {number}", "max_tokens": tokens}
    path = "/v1/services/schreibstube/calls/check-stand"
    response = await treq.post(
        f"http://{servers.HOST}:{port}{path}",
        data=msgspec.json.encode(body),
        headers={"Wasabiknot-Customer": "c"},
        persistent=False,
    )
    await treq.content(response)


async def time_call(call, *arguments):
    """Times a call.

    :param call: coroutine function.
    :param arguments: its arguments.
    :return: milliseconds.
    """
    start_s = reactor.seconds()
    await call(*arguments)
    return (reactor.seconds() - start_s) * MS_PER_S


async def measure(fleet):
    """Measures and prints.

    :param fleet: ``processes.Fleet``.
    """
    await rigs.bring_up(fleet)
    entry = fleet.processes[fleet.entries[0]]
    before_s = read_processor_s(entry)
    await task.deferLater(reactor, REST_S)
    rest = (read_processor_s(entry) - before_s) / REST_S
    print(f"at rest: {read_memory_mb(entry):.1f} MB, {rest:.2%} of a core")
    engine = fleet.ports.workers[fleet.workers[0].id]
    caller = fleet.ports.callers[fleet.entries[0]]
    direct = []
    through = []
    start_s = read_processor_s(entry)
    for number in range(CALLS):
        direct.append(await time_call(call_direct, engine, number, MAX_TOKENS))
        through.append(await time_call(call_entry, caller, number, MAX_TOKENS))
    short_s = read_processor_s(entry) - start_s
    for percent in (50, 99):
        low = tables.find_percentile(direct, percent)
        high = tables.find_percentile(through, percent)
        print(f"p{percent}: direct {low:.1f} ms, through an entry {high:.1f} ms,")
        print(f"  ratio {high / low:.3f}, added {high - low:.1f} ms")
    start_s = read_processor_s(entry)
    for number in range(LONG_CALLS):
        await call_entry(caller, f"long {number}", LONG_TOKENS)
    long_s = read_processor_s(entry) - start_s
    print(f"processor time of a short call: {short_s / CALLS * MS_PER_S:.2f} ms")
    print(f"processor time of a long call: {long_s / LONG_CALLS * MS_PER_S:.2f} ms")
    print(f"memory afterwards: {read_memory_mb(entry):.1f} MB")
    print(f"median direct call: {statistics.median(direct):.1f} ms")


def main():
    """Runs the measurement."""
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
