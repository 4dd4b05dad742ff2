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
from test_edge_settings import TEXT

from wasabiknot_entry import edge

WAIT_S = 20


def find_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Program:
    """The entry program, with settings for loopback.

    :param folder: folder for its settings.
    :param ports: ports for callers, readiness and peers.
    """

    def __init__(self, folder, ports):
        caller, ready, inner = ports
        text = TEXT.replace("10.0.0.1:8221", f"127.0.0.1:{caller}")
        text = text.replace("10.0.0.1:8224", f"127.0.0.1:{ready}")
        text = text.replace("10.0.0.1", "127.0.0.1").replace("10.9.0.1", "127.0.0.1")
        text = text.replace("[7600, 7615]", f"[{inner}, {inner}]")
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
        """Reads lines until an event comes."""
        until_s = time.monotonic() + WAIT_S
        while time.monotonic() < until_s:
            line = self.process.stdout.readline()
            if not line:
                return None
            if line.startswith(b"{"):
                found = msgspec.json.decode(line)
                if found["name"] == name:
                    return found
        return None


class ProgramTests(unittest.TestCase):
    def start(self, ports=None):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        program = Program(folder.name, ports or [find_port() for _ in range(3)])
        self.addCleanup(program.process.stdout.close)
        self.addCleanup(program.process.wait)
        self.addCleanup(program.process.kill)
        return program

    def test_hang_up_and_two_stops(self):
        program = self.start()
        self.assertIsNotNone(program.read_event("started"))
        program.process.send_signal(signal.SIGHUP)
        self.assertIsNotNone(program.read_event("settings_read"))
        program.process.send_signal(signal.SIGTERM)
        self.assertIsNotNone(program.read_event("stopping"))
        program.process.send_signal(signal.SIGTERM)
        self.assertIsNone(program.read_event("task_failed"))
        self.assertEqual(program.process.wait(WAIT_S), 0)

    def test_changed_settings_are_read_without_a_signal(self):
        program = self.start()
        self.assertIsNotNone(program.read_event("started"))
        text = program.path.read_text().replace("retry_slack: 54", "retry_slack: 5")
        program.path.write_text(text)
        found = program.read_event("settings_read")
        self.assertEqual(found["changed"], "bounds")

    def test_faulty_settings_change_nothing(self):
        program = self.start()
        self.assertIsNotNone(program.read_event("started"))
        program.path.write_text("name: [")
        self.assertIsNotNone(program.read_event("settings_bad"))
        self.assertIsNone(program.process.poll())

    def test_taken_port_ends_the_program(self):
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            ports = [taken.getsockname()[1], find_port(), find_port()]
            program = self.start(ports)
            self.assertIsNotNone(program.read_event("not_listening"))
            code = program.process.wait(WAIT_S)
        self.assertEqual(code, edge.EXIT_NOT_LISTENING)

    def test_no_store_means_not_ready(self):
        ports = [find_port() for _ in range(3)]
        program = self.start(ports)
        self.assertIsNotNone(program.read_event("started"))
        for port, path in ((ports[0], "/x"), (ports[1], "/")):
            with socket.create_connection(("127.0.0.1", port), WAIT_S) as caller:
                head = f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n"
                caller.sendall(head.encode())
                answer = caller.recv(4_096)
            self.assertIn(b" 503 ", answer.splitlines()[0])
