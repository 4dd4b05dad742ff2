"""Drills: faults on real processes, checked against what backend servers ran."""

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

SECONDS = 10.0
LOAD_FACTOR = 0.7
FAULT_AT_S = 3.0
FREEZE_S = 5.0
OUTAGE_S = 5.0
COPY_DELAY_S = 0.15
SEED = 11
REPEATABLE = {"check-stand", "tag-receipt", "look-up-stand"}


class DrillReport(msgspec.Struct, frozen=True):
    """The result of a drill.

    :param name: name of the drill.
    :param sent: calls sent, copies included.
    :param whole: whole answers.
    :param refused: answers that say that the request did not run.
    :param unknown: answers that say that the outcome is unknown.
    :param unanswered: calls without any answer.
    :param faults: broken promises; empty when all were kept.
    """

    name: str
    sent: int
    whole: int
    refused: int
    unknown: int
    unanswered: int
    faults: list[str]


async def _kill(fleet):
    name = fleet.entries[0]
    fleet.processes[name].kill()
    fleet.processes[name].wait()
    await task.deferLater(reactor, 2)
    fleet.start_entry(name)


async def _freeze(fleet):
    process = fleet.processes[fleet.entries[1]]
    process.send_signal(signal.SIGSTOP)
    await task.deferLater(reactor, FREEZE_S)
    process.send_signal(signal.SIGCONT)


async def _silence(fleet):
    for port in fleet.ports.workers.values():
        await clients.post_json(clients.build_url(port, "/silence"), None)


async def _cut_log(fleet):
    url = clients.build_url(fleet.ports.log, "/faults")
    await clients.post_json(url, logs.LogFaults(outage=True))
    await task.deferLater(reactor, OUTAGE_S)
    await clients.post_json(url, logs.LogFaults())


async def _lose_log_answers(fleet):
    url = clients.build_url(fleet.ports.log, "/faults")
    await clients.post_json(url, logs.LogFaults(lose_answers=True))
    await task.deferLater(reactor, OUTAGE_S)
    await clients.post_json(url, logs.LogFaults())


async def _crash_worker(fleet):
    for worker in fleet.workers[:2]:
        port = fleet.ports.workers[worker.id]
        await clients.post_json(clients.build_url(port, "/crash"), None)


async def _leave(fleet):
    worker = fleet.workers[0]
    port = fleet.ports.workers[worker.id]
    await clients.post_json(clients.build_url(port, "/leave"), None)
    await rigs.put_vms(fleet, leaving={worker.id})


async def _stop_entry(fleet):
    fleet.processes[fleet.entries[2]].terminate()


async def _kill_in_outage(fleet):
    await defer.gatherResults(
        [defer.ensureDeferred(_cut_log(fleet)), defer.ensureDeferred(_kill(fleet))]
    )


DRILLS = {
    "kill": _kill,
    "freeze": _freeze,
    "silence": _silence,
    "log-outage": _cut_log,
    "log-lost-answers": _lose_log_answers,
    "worker-crash": _crash_worker,
    "worker-leaves": _leave,
    "graceful-stop": _stop_entry,
    "kill-in-outage": _kill_in_outage,
}
# Entries that a drill ends; callers of these may stay without an answer.
ENDED_ENTRIES = {"kill": (0,), "kill-in-outage": (0,), "graceful-stop": (2,)}


def run(names, deployment):
    """Runs drills one after another.

    :param names: names of the drills; empty for all.
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
    await rigs.bring_up(fleet)
    arrivals = traffic.plan_arrivals(fleet.plan, SECONDS, SEED, LOAD_FACTOR)
    addresses = traffic.list_addresses(fleet)
    act = task.deferLater(
        reactor, FAULT_AT_S, lambda: defer.ensureDeferred(DRILLS[name](fleet))
    )
    answers = await traffic.send_arrivals(
        arrivals, addresses, copy_delay_s=COPY_DELAY_S
    )
    await act
    runs = await _count_runs(fleet)
    ended = {addresses[index] for index in ENDED_ENTRIES.get(name, ())}
    return _judge(name, answers, runs, ended)


async def _count_runs(fleet):
    runs = collections.Counter()
    for port in fleet.ports.workers.values():
        tally = await clients.get_json(
            clients.build_url(port, "/tally"), workers.RunStats
        )
        runs.update(tally.runs)
    return runs


def _judge(name, answers, runs, ended):
    faults = []
    for answer in answers:
        ran = runs[answer.prompt]
        if answer.call not in REPEATABLE and ran > 1:
            faults.append(f"{answer.request_id}: {answer.call} ran {ran} times")
        if answer.ran == "no" and ran and not answer.copied:
            faults.append(f"{answer.request_id}: 'not run', but it ran")
        if answer.status == 0 and answer.address not in ended:
            faults.append(f"{answer.call} at {answer.address}: no answer")
        if answer.complete and not ran:
            faults.append(f"{answer.request_id}: whole answer of nothing that ran")
    return DrillReport(
        name=name,
        sent=len(answers),
        whole=sum(answer.complete for answer in answers),
        refused=sum(answer.ran == "no" for answer in answers),
        unknown=sum(answer.ran == "unknown" for answer in answers),
        unanswered=sum(answer.status == 0 for answer in answers),
        faults=sorted(set(faults)),
    )


def format_report(report):
    """Formats the report of a drill.

    :param report: ``DrillReport``.
    :return: text.
    """
    verdict = "kept" if not report.faults else f"{len(report.faults)} BROKEN"
    head = (
        f"{report.name:<18}{report.sent:>5} sent{report.whole:>5} whole"
        f"{report.refused:>5} not run{report.unknown:>5} unknown"
        f"{report.unanswered:>5} unanswered  promises {verdict}"
    )
    return "\n".join([head, *(f"  {fault}" for fault in report.faults[:10])])
