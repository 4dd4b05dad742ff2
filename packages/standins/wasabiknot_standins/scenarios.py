"""Scenarios of the experiment: bursts, faults and moves at given times."""

import datetime
import enum
import shutil

import msgspec
import yaml
from twisted.internet import reactor, task

from wasabiknot_standins import batching, clients, deployments, logs, rigs

BURST_START_S = 4.0
BURST_END_S = 9.0
BURST_FACTOR = 3.0
FAULT_AT_S = 3.0
OUTAGE_S = 6.0
SLOW_FACTOR = 3.0
MOVE_AT_S = 1.0
MOVE_S = 14.0
MOVE_SECONDS = 26.0
DEFAULT_SECONDS = 15.0
LATE_FAULT_MS = 14_000
LOAD_FAULT_RUNNING = 2


class Fault(enum.Enum):
    """Faults that a scenario brings about."""

    NONE = "none"
    SLOW_ENGINE = "slow-engine"
    LOST_WORKER = "lost-worker"
    LOG_OUTAGE = "log-outage"


class Version(enum.Enum):
    """Kinds of new versions."""

    GOOD = "good"
    BAD_AT_ONCE = "bad-at-once"
    BAD_LATER = "bad-later"
    BAD_UNDER_LOAD = "bad-under-load"
    BAD_ON_ONE_ROUTE = "bad-on-one-route"
    SLOW = "slow"


class Scenario(msgspec.Struct, frozen=True):
    """A scenario.

    :param name: its name.
    :param seconds: duration of the load.
    :param load: factor on the deployment's rate.
    :param bursts: times of higher rate, see ``traffic.plan_arrivals``.
    :param fault: fault that is brought about.
    :param version: kind of the new version that traffic moves to.
    """

    name: str
    seconds: float = DEFAULT_SECONDS
    load: float = 1.0
    bursts: tuple[tuple[float, float, float], ...] = ()
    fault: Fault = Fault.NONE
    version: Version | None = None


_BURST = ((BURST_START_S, BURST_END_S, BURST_FACTOR),)


def _plan_move(kind):
    return Scenario(f"move-{kind.value}", MOVE_SECONDS, 0.8, version=kind)


SCENARIOS = {
    item.name: item
    for item in (
        Scenario("steady"),
        Scenario("burst", bursts=_BURST),
        Scenario("slow-engine", fault=Fault.SLOW_ENGINE),
        Scenario("burst-slow", bursts=_BURST, fault=Fault.SLOW_ENGINE),
        Scenario("lost-worker", fault=Fault.LOST_WORKER),
        Scenario("log-outage", fault=Fault.LOG_OUTAGE),
        *map(_plan_move, Version),
    )
}


async def act(scenario, fleet):
    """Brings about the fault and the move of a scenario.

    :param scenario: the scenario.
    :param fleet: ``processes.Fleet`` that is under load.
    """
    if scenario.version is not None:
        await task.deferLater(reactor, MOVE_AT_S)
        await _begin_move(scenario.version, fleet)
    await task.deferLater(reactor, FAULT_AT_S)
    await _FAULTS[scenario.fault](fleet)


async def _do_nothing(fleet):
    return None


async def _slow_engine(fleet):
    port = fleet.ports.workers[fleet.workers[0].id]
    faults = batching.Faults(slow=SLOW_FACTOR)
    await clients.post_json(clients.build_url(port, "/faults"), faults)


async def _lose_worker(fleet):
    process = fleet.processes[fleet.workers[0].id]
    process.kill()
    process.wait()


async def _cut_log(fleet):
    url = clients.build_url(fleet.ports.log, "/faults")
    await clients.post_json(url, logs.LogFaults(outage=True))
    await task.deferLater(reactor, OUTAGE_S)
    await clients.post_json(url, logs.LogFaults())


_FAULTS = {
    Fault.NONE: _do_nothing,
    Fault.SLOW_ENGINE: _slow_engine,
    Fault.LOST_WORKER: _lose_worker,
    Fault.LOG_OUTAGE: _cut_log,
}


def build_faults(version, calls):
    """Builds the fault switches of a new version's backend servers.

    :param version: kind of the version.
    :param calls: names of the service's calls.
    :return: ``batching.Faults``.
    """
    if version is Version.BAD_AT_ONCE:
        return batching.Faults(fail_fraction=0.8)
    if version is Version.BAD_LATER:
        return batching.Faults(fail_fraction=0.8, from_ms=LATE_FAULT_MS)
    if version is Version.BAD_UNDER_LOAD:
        return batching.Faults(fail_fraction=0.8, from_load=LOAD_FAULT_RUNNING)
    if version is Version.BAD_ON_ONE_ROUTE:
        return batching.Faults(fail_fraction=0.8, fail_calls=(calls[0],))
    if version is Version.SLOW:
        return batching.Faults(slow=SLOW_FACTOR)
    return batching.Faults()


def find_moving_service(plan):
    """Finds the service whose traffic moves: that of the first engine.

    :param plan: ``deployments.Deployment``.
    :return: service name.
    """
    return plan.workers[0].service


async def _begin_move(version, fleet):
    service = find_moving_service(fleet.plan)
    old = [worker for worker in fleet.workers if worker.service == service]
    calls = [call.call for call in fleet.plan.calls if call.service == service]
    added = [_copy_worker(worker) for worker in old]
    for worker in added:
        fleet.add_worker(worker)
    for worker in added:
        port = fleet.ports.workers[worker.id]
        await rigs.wait_for(lambda port=port: rigs.is_responding(port, "/load"))
        url = clients.build_url(port, "/faults")
        await clients.post_json(url, build_faults(version, calls))
    await rigs.put_vms(fleet)
    await task.deferLater(reactor, fleet.vm_lag_ms / 1000 + 1)
    await rigs.publish(fleet, _write_move(fleet, service))


def _copy_worker(worker):
    return deployments.WorkerPlan(
        id=worker.id.replace("v1", "v2"),
        service=worker.service,
        version="v2",
        domain=worker.domain,
        slots=worker.slots,
        is_engine=worker.is_engine,
        prefill_ms=worker.prefill_ms,
        decode_ms=worker.decode_ms,
    )


def _write_move(fleet, service):
    source = rigs.EXAMPLES / fleet.plan.name
    target = fleet.directory / "published"
    shutil.copytree(source, target)
    path = target / f"{service}.yaml"
    document = yaml.safe_load(path.read_text(encoding="utf-8"))
    by = datetime.datetime.now(datetime.UTC) + datetime.timedelta(seconds=MOVE_S)
    document["versions"] = [
        {"name": "v1", "share_percent": 0},
        {"name": "v2", "share_percent": 100, "by": by},
    ]
    path.write_text(yaml.safe_dump(document), encoding="utf-8")
    return target
