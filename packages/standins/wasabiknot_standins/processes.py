"""Starts a deployment as separate processes on loopback and stops it."""

import os
import pathlib
import random
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

_used_ports = set()


class Ports(msgspec.Struct):
    """Ports of a running deployment.

    :param log: log service.
    :param vms: list of VMs.
    :param weights: weight store.
    :param workers: port of each backend server.
    :param callers: caller port of each entry.
    :param controls: control port of each entry.
    :param datagrams: datagram port of each entry.
    """

    log: int
    vms: int
    weights: int
    workers: dict[str, int]
    callers: dict[str, int]
    controls: dict[str, int]
    datagrams: dict[str, int]


def find_ports(count):
    """Finds free TCP ports on loopback.

    Takes them from below the range of outgoing connections, which could use a port
    between this check and its use.

    :param count: their number.
    :return: list of ports.
    """
    found = []
    while len(found) < count:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        if port not in _used_ports and _is_free(port):
            _used_ports.add(port)
            found.append(port)
    return found


def _is_free(port):
    with socket.socket() as item:
        try:
            item.bind((servers.HOST, port))
        except OSError:
            return False
    return True


class Fleet:
    """The processes of one deployment.

    :param plan: ``deployments.Deployment``.
    :param placement: placement policy of the entries.
    :param entries: number of entries; by default that of the plan.
    :param vm_lag_ms: lag of the list of VMs.
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
        free = iter(find_ports(3 + len(names) + 3 * len(self.entries)))
        return Ports(
            log=next(free),
            vms=next(free),
            weights=next(free),
            workers={name: next(free) for name in names},
            callers={name: next(free) for name in self.entries},
            controls={name: next(free) for name in self.entries},
            datagrams={name: next(free) for name in self.entries},
        )

    def start(self):
        """Starts all processes."""
        self._start_standin("log", "log", "--port", str(self.ports.log))
        self._start_standin(
            "vms",
            "vms",
            "--port",
            str(self.ports.vms),
            "--lag-ms",
            str(self.vm_lag_ms),
        )
        self._start_standin("weights", "weights", "--port", str(self.ports.weights))
        for worker in self.workers:
            self.start_worker(worker)
        for name in self.entries:
            self.start_entry(name)
        self._write_site()

    def add_worker(self, worker):
        """Adds a backend server to the running deployment.

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
        self._start_standin(worker.id, *arguments)

    def start_entry(self, name):
        """Starts an entry.

        :param name: its name.
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
        """Path of the site file."""
        return self.directory / "site.yaml"

    def _start_standin(self, name, *arguments):
        self._start(name, [sys.executable, "-m", "wasabiknot_standins", *arguments])

    def _start(self, name, command):
        journal = (self.directory / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            command, stdout=journal, stderr=journal, env=os.environ
        )
        journal.close()

    def kill(self):
        """Ends all processes that were started here at once."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        self._directory.cleanup()

    def stop(self):
        """Stops all processes that were started here."""
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
