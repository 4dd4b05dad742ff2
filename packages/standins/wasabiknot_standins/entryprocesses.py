"""Entries that run as separate processes under a soak test."""

import os
import pathlib
import subprocess
import sys
import time

from wasabiknot_standins import processes

SHUTDOWN_GRACE_S = 4.0
HEARTBEAT_INTERVAL_S = 0.5
CHECK_INTERVAL_S = 0.05


class StallWatch:
    """Notes how long this process itself stood still while it waited for another.

    :param now_s: current time in seconds.
    """

    def __init__(self, now_s):
        self._checked_s = now_s
        self.longest_s = 0.0

    def check(self, now_s):
        """Notes a check, one of which is due each ``CHECK_INTERVAL_S``.

        :param now_s: current time in seconds.
        """
        late_s = now_s - self._checked_s - CHECK_INTERVAL_S
        self.longest_s = max(self.longest_s, late_s)
        self._checked_s = now_s


def is_handling(process_id, signal_number):
    """Tells whether a process has its own action for a signal, see proc(5).

    :param process_id: id of the process.
    :param signal_number: number of the signal.
    """
    path = pathlib.Path(f"/proc/{process_id}/status")
    lines = path.read_text(encoding="utf-8").splitlines()
    fields = dict(line.split(":\t", 1) for line in lines)
    return bool(int(fields["SigCgt"], 16) >> (signal_number - 1) & 1)


class EntryProcess:
    """An entry that runs as a separate process.

    :param number: number of the entry.
    :param directory: directory for its settings and log files.
    :param store_address: address at which the entry reaches the store.
    :param module: name of the module that runs the entry.
    """

    def __init__(
        self, number, directory, store_address, module="wasabiknot_entry.edge"
    ):
        self.number = number
        self._module = module
        self.caller_port, ready_port = processes.find_ports(2)
        internal_port = processes.find_port_pair()
        self.caller_address = f"127.0.0.1:{self.caller_port}"
        self.ready_address = f"127.0.0.1:{ready_port}"
        self._settings_path = directory / f"entry-{number}.yaml"
        self._log_path = directory / f"entry-{number}.log"
        self._settings_path.write_text(
            f"""name: entry-{number}
domain: here
host: 127.0.0.1
caller_address: {self.caller_address}
ready_address: {self.ready_address}
ports: [{internal_port}, {internal_port + 1}]
store_address: {store_address}
link_mbps: 1000
cpu_cores: 1
beat_ms: {HEARTBEAT_INTERVAL_S * 1_000}
bounds:
  configuration_ms: 2000
  leaving_ms: 2000
  grace_s: {SHUTDOWN_GRACE_S}
  retry_ratio: 0.2
  retry_window_s: 10
  retry_slack: 50
  allowance_window_s: 8
  allowance_overrun: 0.1
  allowance_slack: 140000
  canary_share: 0.1
  canary_slack: 50
  rollback_ms: 5000
""",
            encoding="utf-8",
        )
        self.process = None
        # Time of its newest start, by the monotonic clock in seconds.
        self.started_s = -100.0
        self.paused_s = -100.0
        self.stopped_s = -100.0
        self.is_paused = False

    def start(self):
        """Starts the entry process."""
        self.started_s = time.monotonic()
        environment = {**os.environ, "WASABIKNOT_SETTINGS": str(self._settings_path)}
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", self._module],
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, signal_number):
        """Sends a signal to the process if it is running.

        :param signal_number: number of the signal.
        """
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal_number)

    def is_handling(self, signal_number):
        """Tells whether the running process has its own action for a signal.

        :param signal_number: number of the signal.
        """
        if self.process is None or self.process.poll() is not None:
            return False
        return is_handling(self.process.pid, signal_number)

    def describe_state(self):
        """Describes what the running process does, to tell a busy one from a blocked.

        :return: text with its state, its processor time and its last log lines.
        """
        directory = pathlib.Path(f"/proc/{self.process.pid}")
        try:
            status = (directory / "stat").read_text(encoding="utf-8")
            waits_in = (directory / "wchan").read_text(encoding="utf-8")
        except OSError as error:
            return f"no state: {error}"
        # Fields after the name of the program, see proc(5).
        fields = status.rpartition(")")[2].split()
        cpu_s = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        lines = self._log_path.read_text(encoding="utf-8").splitlines()
        return (
            f"state {fields[0]} in {waits_in}, {fields[9]} major page faults, "
            f"{cpu_s:.2f} s of processor time, {lines[-2:]}"
        )

    def list_error_lines(self):
        """Returns the log lines that report an internal error or a traceback.

        :return: list of at most three lines.
        """
        text = (
            self._log_path.read_text(encoding="utf-8")
            if self._log_path.exists()
            else ""
        )
        lines = [
            line
            for line in text.splitlines()
            if '"WK1901"' in line or line.startswith(("Traceback", "  File"))
        ]
        return lines[:3]
