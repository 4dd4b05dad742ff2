"""Fault drills: inject faults into processes and compare responses with executions."""

import collections
import signal

import msgspec
from twisted.internet import defer, reactor, task

from wasabiknot_standins import (
    clients,
    deployments,
    logs,
    processes,
    rigs,
    traffic,
    workers,
)

LOAD_DURATION_S = 10.0
LOAD_FACTOR = 0.7
FAULT_DELAY_S = 3.0
PAUSE_S = 5.0
OUTAGE_S = 5.0
DUPLICATE_DELAY_S = 0.15
SEED = 11
REPEATABLE_CALLS = {"check-stand", "tag-receipt", "look-up-stand"}


class DrillReport(msgspec.Struct, frozen=True):
    """The result of a drill.

    :param name: name of the drill.
    :param sent: number of calls sent, including duplicates.
    :param whole: number of complete responses.
    :param refused: number of responses that report that the request did not run.
    :param unknown: number of responses that report an unknown outcome.
    :param unanswered: number of calls without a response.
    :param faults: descriptions of violated guarantees; empty if all were met.
    """

    name: str
    sent: int
    whole: int
    refused: int
    unknown: int
    unanswered: int
    faults: list[str]


async def _kill_entry(fleet):
    name = fleet.entries[0]
    fleet.processes[name].kill()
    fleet.processes[name].wait()
    await task.deferLater(reactor, 2)
    fleet.start_entry(name)


async def _pause_entry(fleet):
    process = fleet.processes[fleet.entries[1]]
    process.send_signal(signal.SIGSTOP)
    await task.deferLater(reactor, PAUSE_S)
    process.send_signal(signal.SIGCONT)


async def _stall_connections(fleet):
    for port in fleet.ports.workers.values():
        await clients.post_json(clients.build_url(port, "/silence"), None)


async def _interrupt_log(fleet):
    url = clients.build_url(fleet.ports.log, "/faults")
    await clients.post_json(url, logs.LogFaults(outage=True))
    await task.deferLater(reactor, OUTAGE_S)
    await clients.post_json(url, logs.LogFaults())


async def _drop_log_responses(fleet):
    url = clients.build_url(fleet.ports.log, "/faults")
    await clients.post_json(url, logs.LogFaults(lose_answers=True))
    await task.deferLater(reactor, OUTAGE_S)
    await clients.post_json(url, logs.LogFaults())


async def _crash_workers(fleet):
    for worker in fleet.workers[:2]:
        port = fleet.ports.workers[worker.id]
        await clients.post_json(clients.build_url(port, "/crash"), None)


async def _drain_worker(fleet):
    worker = fleet.workers[0]
    port = fleet.ports.workers[worker.id]
    await clients.post_json(clients.build_url(port, "/leave"), None)
    await rigs.put_vms(fleet, leaving={worker.id})


async def _stop_entry(fleet):
    fleet.processes[fleet.entries[2]].terminate()


async def _kill_entry_in_outage(fleet):
    await defer.gatherResults(
        [
            defer.ensureDeferred(_interrupt_log(fleet)),
            defer.ensureDeferred(_kill_entry(fleet)),
        ]
    )


DRILLS = {
    "kill": _kill_entry,
    "freeze": _pause_entry,
    "silence": _stall_connections,
    "log-outage": _interrupt_log,
    "log-lost-answers": _drop_log_responses,
    "worker-crash": _crash_workers,
    "worker-leaves": _drain_worker,
    "graceful-stop": _stop_entry,
    "kill-in-outage": _kill_entry_in_outage,
}
# Indexes of the entries that a drill stops or kills; calls to these may get no
# response.
STOPPED_ENTRIES = {"kill": (0,), "kill-in-outage": (0,), "graceful-stop": (2,)}


def run(names, deployment):
    """Runs drills one after another and prints their reports.

    :param names: names of the drills; all drills if empty.
    :param deployment: name of the deployment.
    :return: list of ``DrillReport``.
    """
    reports = []

    async def run_all(_):
        for name in names or DRILLS:
            fleet = processes.Fleet(deployments.DEPLOYMENTS[deployment])
            try:
                reports.append(await _run_one(name, fleet))
            finally:
                await task.deferLater(reactor, 0)
                fleet.stop()
            print(format_report(reports[-1]), flush=True)

    try:
        task.react(lambda _: defer.ensureDeferred(run_all(_)))
    except SystemExit as error:
        if error.code:
            raise
    return reports


async def _run_one(name, fleet):
    await rigs.start_fleet(fleet)
    arrivals = traffic.plan_arrivals(fleet.plan, LOAD_DURATION_S, SEED, LOAD_FACTOR)
    addresses = traffic.list_addresses(fleet)
    fault = task.deferLater(
        reactor, FAULT_DELAY_S, lambda: defer.ensureDeferred(DRILLS[name](fleet))
    )
    responses = await traffic.send_arrivals(
        arrivals, addresses, duplicate_delay_s=DUPLICATE_DELAY_S
    )
    await fault
    runs = await _count_runs(fleet)
    stopped = {addresses[index] for index in STOPPED_ENTRIES.get(name, ())}
    return _build_report(name, responses, runs, stopped)


async def _count_runs(fleet):
    runs = collections.Counter()
    for port in fleet.ports.workers.values():
        stats = await clients.get_json(
            clients.build_url(port, "/tally"), workers.RunStats
        )
        runs.update(stats.runs)
    return runs


def _build_report(name, responses, runs, stopped):
    violations = []
    for response in responses:
        ran = runs[response.prompt]
        if response.call not in REPEATABLE_CALLS and ran > 1:
            violations.append(f"{response.request_id}: {response.call} ran {ran} times")
        if response.ran == "no" and ran and not response.is_duplicated:
            violations.append(f"{response.request_id}: reported as not run, but ran")
        if response.status == 0 and response.address not in stopped:
            violations.append(f"{response.call} at {response.address}: no response")
        if response.complete and not ran:
            violations.append(
                f"{response.request_id}: complete response, but did not run"
            )
    return DrillReport(
        name=name,
        sent=len(responses),
        whole=sum(response.complete for response in responses),
        refused=sum(response.ran == "no" for response in responses),
        unknown=sum(response.ran == "unknown" for response in responses),
        unanswered=sum(response.status == 0 for response in responses),
        faults=sorted(set(violations)),
    )


def format_report(report):
    """Formats the report of a drill.

    :param report: ``DrillReport``.
    :return: text with a summary line and at most ten violations.
    """
    result = "met" if not report.faults else f"{len(report.faults)} VIOLATED"
    summary = (
        f"{report.name:<18}{report.sent:>5} sent{report.whole:>5} whole"
        f"{report.refused:>5} not run{report.unknown:>5} unknown"
        f"{report.unanswered:>5} unanswered  guarantees {result}"
    )
    return "\n".join([summary, *(f"  {fault}" for fault in report.faults[:10])])
