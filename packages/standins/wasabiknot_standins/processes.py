"""Starts and stops a deployment as separate processes on the loopback interface."""

import itertools
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile

import msgspec
import yaml

from wasabiknot_standins import servers

STOP_TIMEOUT_S = 75
FIRST_PORT = 15_000
LAST_PORT = 32_000
# Deployments that start at the same time search from different ports.
PORTS_PER_PROCESS = 250


def _cycle_ports():
    start = os.getpid() * PORTS_PER_PROCESS % (LAST_PORT - FIRST_PORT)
    for number in itertools.count(start):
        yield FIRST_PORT + number % (LAST_PORT - FIRST_PORT)


_ports = _cycle_ports()
# Sockets whose names tell other processes which ports this one uses.
_reservations = []


class Ports(msgspec.Struct):
    """Ports of a running deployment.

    :param log: port of the log service.
    :param vms: port of the VM list service.
    :param weights: port of the weight store.
    :param workers: ports of the backend servers by id.
    :param callers: caller ports of the entries by name.
    :param controls: control ports of the entries by name.
    :param datagrams: datagram ports of the entries by name.
    """

    log: int
    vms: int
    weights: int
    workers: dict[str, int]
    callers: dict[str, int]
    controls: dict[str, int]
    datagrams: dict[str, int]


def find_ports(count):
    """Finds free TCP ports on the loopback interface.

    The ports lie below the ephemeral range: an outgoing connection could take a port
    from that range between this check and its use.

    :param count: number of ports.
    :return: list of ports, none of them returned before by this process, or by another
        one that still runs.
    """
    free_ports = (port for port in _ports if _is_free(port) and _reserve(port))
    return list(itertools.islice(free_ports, count))


def find_port_pair():
    """Finds two free TCP ports in a row on the loopback interface.

    :return: the first port.
    """
    port, next_port = find_ports(2)
    while next_port != port + 1:
        port, next_port = next_port, *find_ports(1)
    return port


def _is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind((servers.HOST, port))
        except OSError:
            return False
    return True


def _reserve(port):
    # Until a port is listened to, another process would find it free as well. The name
    # is free again when this process ends.
    reservation = socket.socket(socket.AF_UNIX)
    try:
        reservation.bind(f"\0wasabiknot-port-{port}")
    except OSError:
        reservation.close()
        return False
    _reservations.append(reservation)
    return True


class Fleet:
    """Runs the processes of one deployment.

    :param plan: ``deployments.Deployment``.
    :param placement: placement policy of the entries.
    :param entries: number of entries; that of the plan if ``None``.
    :param vm_lag_ms: delay in milliseconds before VM list changes become visible.
    """

    def __init__(self, plan, placement="finish-time", entries=None, vm_lag_ms=1500):
        self.plan = plan
        self._placement = placement
        self.vm_lag_ms = vm_lag_ms
        count = entries or plan.entries
        self.entries = [f"{plan.name}-entry-{index}" for index in range(count)]
        self.processes = {}
        self.ports = self._assign_ports()
        self._directory = tempfile.TemporaryDirectory(prefix="wasabiknot-")
        self.directory = pathlib.Path(self._directory.name)
        self.workers = list(plan.workers)

    def _assign_ports(self):
        names = [worker.id for worker in self.plan.workers]
        free_ports = iter(find_ports(3 + len(names) + 3 * len(self.entries)))
        return Ports(
            log=next(free_ports),
            vms=next(free_ports),
            weights=next(free_ports),
            workers={name: next(free_ports) for name in names},
            callers={name: next(free_ports) for name in self.entries},
            controls={name: next(free_ports) for name in self.entries},
            datagrams={name: next(free_ports) for name in self.entries},
        )

    def start(self):
        """Starts all processes."""
        self._start_service("log", "log", "--port", str(self.ports.log))
        self._start_service(
            "vms",
            "vms",
            "--port",
            str(self.ports.vms),
            "--lag-ms",
            str(self.vm_lag_ms),
        )
        self._start_service("weights", "weights", "--port", str(self.ports.weights))
        for worker in self.workers:
            self.start_worker(worker)
        for name in self.entries:
            self.start_entry(name)
        self._write_site()

    def add_worker(self, worker):
        """Adds a backend server to the running deployment and starts it.

        :param worker: ``deployments.WorkerPlan``.
        """
        self.ports.workers[worker.id] = find_ports(1)[0]
        self.workers.append(worker)
        self.start_worker(worker)

    def start_worker(self, worker):
        """Starts a backend server.

        :param worker: ``deployments.WorkerPlan``.
        """
        port = str(self.ports.workers[worker.id])
        if worker.is_engine:
            arguments = [
                "engine",
                "--port",
                port,
                "--slots",
                str(worker.slots),
                "--prefill-ms",
                str(worker.prefill_ms),
                "--decode-ms",
                str(worker.decode_ms),
            ]
        else:
            arguments = ["plain", "--port", port, "--service-ms", str(worker.decode_ms)]
        self._start_service(worker.id, *arguments)

    def start_entry(self, name):
        """Writes the settings of an entry and starts it.

        :param name: name of the entry.
        """
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(self._build_settings(name)), encoding="utf-8")
        command = [sys.executable, "-m", "wasabiknot_entry.main", "--settings", path]
        self._start(name, command)

    def _build_settings(self, name):
        index = self.entries.index(name)
        domains = self.plan.domains
        return {
            "name": name,
            "region": self.plan.region,
            "domain": domains[index % len(domains)],
            "caller_address": f"{servers.HOST}:{self.ports.callers[name]}",
            "control_address": f"{servers.HOST}:{self.ports.controls[name]}",
            "datagram_address": f"{servers.HOST}:{self.ports.datagrams[name]}",
            "log_url": f"http://{servers.HOST}:{self.ports.log}",
            "vms_url": f"http://{servers.HOST}:{self.ports.vms}",
            "placement": self._placement,
            "log_level": "INFO",
        }

    def _write_site(self):
        controls = [f"{servers.HOST}:{port}" for port in self.ports.controls.values()]
        site = {"log_url": f"http://{servers.HOST}:{self.ports.log}"}
        site["controls"] = controls
        path = self.directory / "site.yaml"
        path.write_text(yaml.safe_dump(site), encoding="utf-8")

    @property
    def site_path(self):
        """Path of the site file for the operator command."""
        return self.directory / "site.yaml"

    def _start_service(self, name, *arguments):
        self._start(name, [sys.executable, "-m", "wasabiknot_standins", *arguments])

    def _start(self, name, command):
        log = (self.directory / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            command, stdout=log, stderr=log, env=os.environ
        )
        log.close()

    def kill(self):
        """Kills all processes of the fleet and deletes its directory."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        self._directory.cleanup()

    def stop(self):
        """Terminates all processes of the fleet and deletes its directory.

        Processes that do not exit within ``STOP_TIMEOUT_S`` are killed.
        """
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self.processes.values():
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._directory.cleanup()
