import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest

import msgspec
from test_edge_settings import SETTINGS_TEXT

from wasabiknot_entry import edge

TIMEOUT_S = 20


def find_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class EntryProcess:
    """An entry process that listens on the loopback interface.

    :param folder: directory for the settings file.
    :param ports: ports for callers, readiness checks and peers.
    """

    def __init__(self, folder, ports):
        caller, ready, peer = ports
        text = SETTINGS_TEXT.replace("10.0.0.1:8221", f"127.0.0.1:{caller}")
        text = text.replace("10.0.0.1:8224", f"127.0.0.1:{ready}")
        text = text.replace("10.0.0.1", "127.0.0.1").replace("10.9.0.1", "127.0.0.1")
        text = text.replace("[7600, 7615]", f"[{peer}, {peer}]")
        text = text.replace("grace_s: 8", "grace_s: 4.5")
        self.path = pathlib.Path(folder) / "settings.yaml"
        self.path.write_text(text, encoding="utf-8")
        environment = {**os.environ, edge.SETTINGS_VARIABLE: str(self.path)}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "wasabiknot_entry.edge"],
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )

    def read_event(self, name):
        """Reads log lines until the named event; ``None`` on timeout or at EOF."""
        deadline_s = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline_s:
            line = self.process.stdout.readline()
            if not line:
                return None
            if line.startswith(b"{"):
                event = msgspec.json.decode(line)
                if event["name"] == name:
                    return event
        return None


class EntryProcessTests(unittest.TestCase):
    def start(self, ports=None):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        program = EntryProcess(folder.name, ports or [find_port() for _ in range(3)])
        self.addCleanup(program.process.stdout.close)
        self.addCleanup(program.process.wait)
        self.addCleanup(program.process.kill)
        return program

    def test_sighup_reloads_and_second_sigterm_is_ignored(self):
        program = self.start()
        self.assertIsNotNone(program.read_event("started"))
        program.process.send_signal(signal.SIGHUP)
        self.assertIsNotNone(program.read_event("settings_read"))
        program.process.send_signal(signal.SIGTERM)
        self.assertIsNotNone(program.read_event("stopping"))
        program.process.send_signal(signal.SIGTERM)
        self.assertIsNone(program.read_event("task_failed"))
        self.assertEqual(program.process.wait(TIMEOUT_S), 0)

    def test_changed_settings_file_is_reloaded_without_sighup(self):
        program = self.start()
        self.assertIsNotNone(program.read_event("started"))
        text = program.path.read_text().replace("retry_slack: 54", "retry_slack: 5")
        program.path.write_text(text)
        event = program.read_event("settings_read")
        self.assertEqual(event["changed"], "bounds")

    def test_invalid_settings_file_is_ignored(self):
        program = self.start()
        self.assertIsNotNone(program.read_event("started"))
        program.path.write_text("name: [")
        self.assertIsNotNone(program.read_event("settings_bad"))
        self.assertIsNone(program.process.poll())

    def test_port_in_use_ends_the_process(self):
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            ports = [listener.getsockname()[1], find_port(), find_port()]
            program = self.start(ports)
            self.assertIsNotNone(program.read_event("not_listening"))
            code = program.process.wait(TIMEOUT_S)
        self.assertEqual(code, edge.EXIT_NOT_LISTENING)

    def test_unreachable_store_returns_503(self):
        ports = [find_port() for _ in range(3)]
        program = self.start(ports)
        self.assertIsNotNone(program.read_event("started"))
        for port, path in ((ports[0], "/x"), (ports[1], "/")):
            with socket.create_connection(("127.0.0.1", port), TIMEOUT_S) as caller:
                head = f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n"
                caller.sendall(head.encode())
                answer = caller.recv(4_096)
            self.assertIn(b" 503 ", answer.splitlines()[0])
