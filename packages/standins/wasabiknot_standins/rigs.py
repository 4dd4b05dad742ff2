"""Brings a deployment up: list of VMs, configuration, readiness."""

import pathlib
import subprocess
import sys

import treq
from twisted.internet import reactor, task, threads

from wasabiknot_kernel import fold, messages, wire
from wasabiknot_standins import clients, servers

READY_TIMEOUT_S = 30
POLL_S = 0.2
FIRST_EPOCH_S = fold.FIRST_EPOCH_DELAY_MS / 1000 + 0.5
EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / "examples"


async def start_fleet(fleet):
    """Starts a fleet and waits until every entry is ready.

    :param fleet: ``processes.Fleet``.
    """
    fleet.start()
    await wait_for(lambda: is_responding(fleet.ports.vms, "/v1/vms"))
    await put_vms(fleet)
    for port in [fleet.ports.log, *fleet.ports.workers.values()]:
        path = "/appends" if port == fleet.ports.log else "/load"
        await wait_for(lambda port=port, path=path: is_responding(port, path))
    for port in fleet.ports.controls.values():
        await wait_for(lambda port=port: is_responding(port, "/operator/v1/status"))
    code = await publish(fleet, EXAMPLES / fleet.plan.name)
    if code:
        raise RuntimeError(f"publish ended with {code}")
    for port in fleet.ports.callers.values():
        await wait_for(lambda port=port: is_responding(port, "/healthz"))
    await task.deferLater(reactor, FIRST_EPOCH_S)


async def put_vms(fleet, leaving=()):
    """Sends the list of VMs to its stand-in.

    :param fleet: ``processes.Fleet``.
    :param leaving: ids of leaving backend servers.
    """
    workers = tuple(
        messages.Vm(
            id=worker.id,
            address=f"{servers.HOST}:{fleet.ports.workers[worker.id]}",
            domain=worker.domain,
            service=worker.service,
            version=worker.version,
            slots=worker.slots,
            state=messages.VmState.LEAVING
            if worker.id in leaving
            else messages.VmState.LIVE,
        )
        for worker in fleet.workers
    )
    entries = tuple(
        messages.EntryVm(
            name=name,
            http_address=f"{servers.HOST}:{fleet.ports.controls[name]}",
            datagram_address=f"{servers.HOST}:{fleet.ports.datagrams[name]}",
            domain=fleet.plan.domains[index % len(fleet.plan.domains)],
        )
        for index, name in enumerate(fleet.entries)
    )
    url = clients.build_url(fleet.ports.vms, "/v1/vms")
    await clients.put_json(url, wire.VmList(workers, entries))


async def publish(fleet, directory, wait_s=10):
    """Publishes a directory with the operators' program.

    :param fleet: ``processes.Fleet``.
    :param directory: directory of the configuration.
    :param wait_s: time to wait until it is in force.
    :return: exit code.
    """
    command = [
        sys.executable,
        "-m",
        "wasabiknot_operator.main",
        "publish",
        str(directory),
        "--site",
        str(fleet.site_path),
        "--wait-s",
        str(wait_s),
    ]
    done = await threads.deferToThread(
        subprocess.run, command, capture_output=True, text=True
    )
    print(done.stdout.strip() or done.stderr.strip())
    return done.returncode


async def wait_for(check):
    """Waits until a check holds.

    :param check: coroutine function that returns whether it holds.
    :raises TimeoutError: if it does not in time.
    """
    deadline_s = reactor.seconds() + READY_TIMEOUT_S
    while not await check():
        if reactor.seconds() > deadline_s:
            raise TimeoutError("a process was not ready in time")
        await task.deferLater(reactor, POLL_S)


async def is_responding(port, path):
    """Tells whether a process answers.

    :param port: its port.
    :param path: path to ask for.
    :return: whether the answer is a success.
    """
    try:
        response = await treq.get(clients.build_url(port, path), timeout=1)
        await treq.content(response)
    except Exception:
        return False
    return response.code == 200
