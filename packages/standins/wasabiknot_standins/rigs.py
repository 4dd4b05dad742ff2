"""Starts a deployment: publishes VMs and configuration, waits for readiness."""

import pathlib
import subprocess
import sys

import treq
from twisted.internet import reactor, task, threads

from wasabiknot_kernel import fold, messages, wire
from wasabiknot_standins import clients, servers

READY_TIMEOUT_S = 30
POLL_INTERVAL_S = 0.2
FIRST_EPOCH_WAIT_S = fold.FIRST_EPOCH_DELAY_MS / 1000 + 0.5
EXAMPLES_DIRECTORY = pathlib.Path(__file__).resolve().parents[3] / "examples"


async def start_fleet(fleet):
    """Starts a fleet, publishes its configuration and waits for readiness.

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
    code = await publish(fleet, EXAMPLES_DIRECTORY / fleet.plan.name)
    if code:
        raise RuntimeError(f"publish command exited with code {code}")
    for port in fleet.ports.callers.values():
        await wait_for(lambda port=port: is_responding(port, "/healthz"))
    await task.deferLater(reactor, FIRST_EPOCH_WAIT_S)


async def put_vms(fleet, leaving=()):
    """Sends the VMs of a fleet to the simulated VM list service.

    :param fleet: ``processes.Fleet``.
    :param leaving: ids of the backend servers that are marked as leaving.
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
    """Publishes a configuration with the operator command.

    :param fleet: ``processes.Fleet``.
    :param directory: directory of the configuration.
    :param wait_s: time in seconds to wait until the configuration is active.
    :return: exit code of the command.
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
    result = await threads.deferToThread(
        subprocess.run, command, capture_output=True, text=True
    )
    print(result.stdout.strip() or result.stderr.strip())
    return result.returncode


async def wait_for(check):
    """Polls a check until it succeeds.

    :param check: coroutine function that returns whether the check succeeded.
    :raises TimeoutError: if it does not succeed within ``READY_TIMEOUT_S``.
    """
    deadline_s = reactor.seconds() + READY_TIMEOUT_S
    while not await check():
        if reactor.seconds() > deadline_s:
            raise TimeoutError("a process was not ready in time")
        await task.deferLater(reactor, POLL_INTERVAL_S)


async def is_responding(port, path):
    """Checks whether a process responds successfully to a GET request.

    :param port: TCP port of the process.
    :param path: path to request.
    :return: whether the status code is 200.
    """
    try:
        url = clients.build_url(port, path)
        response = await clients.create_client().get(url, timeout=1)
        await treq.content(response)
    except Exception:
        return False
    return response.code == 200
