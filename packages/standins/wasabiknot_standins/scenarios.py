"""Scenarios of the experiments: bursts, faults and rollouts."""

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
FAULT_DELAY_S = 3.0
OUTAGE_S = 6.0
SLOW_FACTOR = 3.0
MOVE_DELAY_S = 1.0
MOVE_DURATION_S = 14.0
MOVE_LOAD_DURATION_S = 26.0
DEFAULT_LOAD_DURATION_S = 15.0
LATE_FAULT_DELAY_MS = 14_000
LOAD_FAULT_MIN_RUNNING = 2


class Fault(enum.Enum):
    """Faults that a scenario can inject."""

    NONE = "none"
    SLOW_ENGINE = "slow-engine"
    LOST_WORKER = "lost-worker"
    LOG_OUTAGE = "log-outage"


class VersionKind(enum.Enum):
    """Ways in which the new version behaves."""

    GOOD = "good"
    BAD_AT_ONCE = "bad-at-once"
    BAD_LATER = "bad-later"
    BAD_UNDER_LOAD = "bad-under-load"
    BAD_ON_ONE_ROUTE = "bad-on-one-route"
    SLOW = "slow"


class Scenario(msgspec.Struct, frozen=True):
    """The load, the fault and the rollout of a run.

    :param name: name of the scenario.
    :param seconds: duration of the load in seconds.
    :param load: factor by which the deployment's rate is multiplied.
    :param bursts: periods of a higher rate, see ``traffic.plan_arrivals``.
    :param fault: fault to inject.
    :param version: kind of the target version; ``None`` for no rollout.
    """

    name: str
    seconds: float = DEFAULT_LOAD_DURATION_S
    load: float = 1.0
    bursts: tuple[tuple[float, float, float], ...] = ()
    fault: Fault = Fault.NONE
    version: VersionKind | None = None


_BURST = ((BURST_START_S, BURST_END_S, BURST_FACTOR),)


def _build_move_scenario(kind):
    return Scenario(f"move-{kind.value}", MOVE_LOAD_DURATION_S, 0.8, version=kind)


SCENARIOS = {
    item.name: item
    for item in (
        Scenario("steady"),
        Scenario("burst", bursts=_BURST),
        Scenario("slow-engine", fault=Fault.SLOW_ENGINE),
        Scenario("burst-slow", bursts=_BURST, fault=Fault.SLOW_ENGINE),
        Scenario("lost-worker", fault=Fault.LOST_WORKER),
        Scenario("log-outage", fault=Fault.LOG_OUTAGE),
        *map(_build_move_scenario, VersionKind),
    )
}


async def run_actions(scenario, fleet):
    """Starts the rollout and injects the fault of a scenario.

    :param scenario: ``Scenario``.
    :param fleet: running ``processes.Fleet``.
    """
    if scenario.version is not None:
        await task.deferLater(reactor, MOVE_DELAY_S)
        await _start_move(scenario.version, fleet)
    await task.deferLater(reactor, FAULT_DELAY_S)
    await _FAULTS[scenario.fault](fleet)


async def _do_nothing(fleet):
    return None


async def _slow_down_engine(fleet):
    port = fleet.ports.workers[fleet.workers[0].id]
    faults = batching.Faults(slow=SLOW_FACTOR)
    await clients.post_json(clients.build_url(port, "/faults"), faults)


async def _kill_worker(fleet):
    process = fleet.processes[fleet.workers[0].id]
    process.kill()
    process.wait()


async def _interrupt_log(fleet):
    url = clients.build_url(fleet.ports.log, "/faults")
    await clients.post_json(url, logs.LogFaults(outage=True))
    await task.deferLater(reactor, OUTAGE_S)
    await clients.post_json(url, logs.LogFaults())


_FAULTS = {
    Fault.NONE: _do_nothing,
    Fault.SLOW_ENGINE: _slow_down_engine,
    Fault.LOST_WORKER: _kill_worker,
    Fault.LOG_OUTAGE: _interrupt_log,
}


def build_faults(version, calls):
    """Builds the faults to inject into the backend servers of the new version.

    :param version: ``VersionKind`` of the version.
    :param calls: names of the service's calls.
    :return: ``batching.Faults``.
    """
    if version is VersionKind.BAD_AT_ONCE:
        return batching.Faults(fail_fraction=0.8)
    if version is VersionKind.BAD_LATER:
        return batching.Faults(fail_fraction=0.8, from_ms=LATE_FAULT_DELAY_MS)
    if version is VersionKind.BAD_UNDER_LOAD:
        return batching.Faults(fail_fraction=0.8, from_load=LOAD_FAULT_MIN_RUNNING)
    if version is VersionKind.BAD_ON_ONE_ROUTE:
        return batching.Faults(fail_fraction=0.8, fail_calls=(calls[0],))
    if version is VersionKind.SLOW:
        return batching.Faults(slow=SLOW_FACTOR)
    return batching.Faults()


def find_moving_service(plan):
    """Finds the service of the rollout: that of the first backend server.

    :param plan: ``deployments.Deployment``.
    :return: name of the service.
    """
    return plan.workers[0].service


async def _start_move(version, fleet):
    service = find_moving_service(fleet.plan)
    current = [worker for worker in fleet.workers if worker.service == service]
    calls = [call.call for call in fleet.plan.calls if call.service == service]
    new_workers = [_copy_worker(worker) for worker in current]
    for worker in new_workers:
        fleet.add_worker(worker)
    for worker in new_workers:
        port = fleet.ports.workers[worker.id]
        await rigs.wait_for(lambda port=port: rigs.is_responding(port, "/load"))
        url = clients.build_url(port, "/faults")
        await clients.post_json(url, build_faults(version, calls))
    await rigs.put_vms(fleet)
    await task.deferLater(reactor, fleet.vm_lag_ms / 1000 + 1)
    await rigs.publish(fleet, _write_move_configuration(fleet, service))


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


def _write_move_configuration(fleet, service):
    source = rigs.EXAMPLES_DIRECTORY / fleet.plan.name
    target = fleet.directory / "published"
    shutil.copytree(source, target)
    path = target / f"{service}.yaml"
    document = yaml.safe_load(path.read_text(encoding="utf-8"))
    due = datetime.datetime.now(datetime.UTC) + datetime.timedelta(
        seconds=MOVE_DURATION_S
    )
    document["versions"] = [
        {"name": "v1", "share_percent": 0},
        {"name": "v2", "share_percent": 100, "by": due},
    ]
    path.write_text(yaml.safe_dump(document), encoding="utf-8")
    return target
