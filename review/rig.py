"""Stand-ins of the platform's store, backend servers and callers for the review.

They need nothing but the standard library. Names on the wire are those of the pages.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
TEMPLATE = ROOT / "platform" / "settings.yaml"
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Limits and bounds of the small deployment marktgeld-ost.
MEMORY_MB = 300
HEARTBEAT_S = 1.2
RESTART_DELAY_S = 0.5
RECEIVE_BUFFER_BYTES = 65_536
BOUNDS = {
    "configApplyMs": 2000,
    "drainMs": 2000,
    "graceS": 8,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "budgetSlack": 54,
    "quotaWindowS": 8,
    "quotaOverrun": 0.1,
    "quotaSlack": 140000,
    "canaryShare": 0.1,
    "rollbackMs": 5000,
}
STAMP = "X-Wasabiknot-Server-Stamp"
ATTEMPT_ID = "X-Wasabiknot-Attempt-Id"


class CannotRunError(Exception):
    """The deployment did not come up, so the case says nothing."""


class Record:
    """Writes what was sent, answered and run, a JSON document a line."""

    def __init__(self, directory):
        self._path = directory / "record.txt"
        self._path.write_text("", encoding="utf-8")
        self._began_s = time.monotonic()

    def write(self, what, **details):
        """Writes a line."""
        line = {"s": round(time.monotonic() - self._began_s, 3), "what": what}
        with self._path.open("a", encoding="utf-8") as file:
            file.write(json.dumps(line | details) + "\n")


class Head:
    """First line and headers of a request or an answer."""

    def __init__(self, text):
        lines = text.decode("latin-1").split("\r\n")
        self.line = lines[0]
        self.fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name:
                self.fields[name.strip().lower()] = value.strip()

    def get(self, name, default=""):
        """Returns the value of a header."""
        return self.fields.get(name.lower(), default)


async def read_head(reader):
    """Reads a head; ``None`` at the end of the channel."""
    try:
        return Head((await reader.readuntil(b"\r\n\r\n"))[:-4])
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


async def read_body(reader, head):
    """Reads a request body that has a length."""
    return await reader.readexactly(int(head.get("content-length", "0") or 0))


def build_head(line, fields):
    """Builds the bytes of a head."""
    lines = [line, *(f"{name}: {value}" for name, value in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def find_port():
    """Finds a free port below the ephemeral range."""
    start = 15_000 + os.getpid() * 131 % 15_000
    for port in [*range(start + find_port.used, 32_000), *range(15_000, start)]:
        find_port.used += 1
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return port
    raise CannotRunError("no free port")


find_port.used = 0


class Store:
    """The platform's store: an append-only log with keyed topics."""

    def __init__(self):
        self._topics = {}
        self._changed = asyncio.Event()
        self.address = ""

    async def start(self):
        """Listens on a free port."""
        port = find_port()
        await asyncio.start_server(self._serve, HOST, port)
        self.address = f"{HOST}:{port}"

    def put(self, topic, key, value):
        """Appends a record; an empty value drops the key."""
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        name = key.encode()
        self._get(topic).append(bytes([len(name)]) + name + content)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _get(self, topic):
        return self._topics.setdefault(topic, [])

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                url = urllib.parse.urlsplit(head.line.split(" ")[1])
                query = dict(urllib.parse.parse_qsl(url.query))
                status, answer = await self._answer(url.path, query, body)
                fields = {"Content-Length": len(answer)}
                writer.write(build_head(f"HTTP/1.1 {status} X", fields) + answer)
                await writer.drain()
        writer.close()

    async def _answer(self, path, query, body):
        records = self._get(query.get("topic", ""))
        if path == "/log-newest":
            return 200, self._list(records)
        if path == "/log-read":
            return await self._read(query.get("topic", ""), query)
        if path == "/log-append":
            return self._append(records, query, body)
        return 404, b"{}"

    def _list(self, records):
        newest = {}
        for offset, content in enumerate(records):
            end = 1 + content[0]
            key = content[1:end].decode()
            newest.pop(key, None)
            if content[end:]:
                value = base64.b64encode(content[end:]).decode()
                newest[key] = {"key": key, "value": value, "offset": offset}
        page = {"entries": list(newest.values()), "morePages": False}
        return json.dumps(page | {"end": len(records)}).encode()

    async def _read(self, topic, query):
        start, wait_s = int(query["from"]), int(query.get("waitMs", 0)) / 1_000
        until_s = time.monotonic() + wait_s
        while len(self._get(topic)) <= start and time.monotonic() < until_s:
            with contextlib.suppress(TimeoutError):
                left_s = max(0.001, until_s - time.monotonic())
                await asyncio.wait_for(self._changed.wait(), left_s)
        records = self._get(topic)
        if start > len(records):
            return 410, b'{"first": 0}'
        parts = [struct.pack(">QQ", len(records), 0)]
        for content in records[start:]:
            parts += [struct.pack(">I", len(content)), content]
        return 200, b"".join(parts)

    def _append(self, records, query, body):
        if "at" in query and int(query["at"]) != len(records):
            return 412, json.dumps({"end": len(records)}).encode()
        offset = len(records)
        while body:
            (length,) = struct.unpack_from(">I", body)
            records.append(body[4 : 4 + length])
            body = body[4 + length :]
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return 200, json.dumps({"offset": offset, "end": len(records)}).encode()


class Server:
    """A backend server; a subclass says how it answers a request."""

    def __init__(self, store, record, service, slots=6):
        self.store, self.record, self.service = store, record, service
        self.slots = slots
        self.id = f"i-{os.urandom(4).hex()}"
        self.runs = []
        self._sequence = 0
        self._born = int(time.time() * 1_000)
        self._port = 0
        self._tasks = []

    async def start(self):
        """Listens, and registers once in each heartbeat interval."""
        self._port = find_port()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Of a fixed size, so that it is the server that decides when to read.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind((HOST, self._port))
        await asyncio.start_server(self._serve, sock=listener)
        self._tasks.append(asyncio.create_task(self._beat()))

    async def _beat(self):
        while True:
            self._sequence += 1
            value = {
                "service": self.service,
                "addr": f"{HOST}:{self._port}",
                "zone": "graz",
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "warmupLeftMs": 0,
                "seq": self._sequence,
                "born": self._born,
            }
            self.store.put("keyed.servers", self.id, value)
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (head := await read_head(reader)) is not None:
                if head.get("x-wasabiknot-expect-instance") not in ("", self.id):
                    await read_body(reader, head)
                    fields = {"Content-Length": 0, "X-Wasabiknot-Not-Executed": 1}
                    await self.send(writer, 421, head, fields)
                    continue
                await self.handle(head, reader, writer)
        writer.close()

    async def handle(self, head, reader, writer):
        """Answers one request."""
        raise NotImplementedError

    def note_run(self, head):
        """Records that a request has begun to run here."""
        self.runs.append(head.get(ATTEMPT_ID))
        self.record.write("runs", request=head.get(ATTEMPT_ID), server=self.id)

    async def send(self, writer, status, head, fields, body=b""):
        """Sends an answer that has a length, or its head."""
        all_fields = {ATTEMPT_ID: head.get(ATTEMPT_ID)} | fields
        writer.write(build_head(f"HTTP/1.1 {status} X", all_fields) + body)
        await writer.drain()


class Entry:
    """An entry process, started with the command of the deploy file."""

    def __init__(self, name, directory, store, record):
        self.name, self.record = name, record
        self._directory = directory
        ports = [find_port() for _ in range(4)]
        self.caller_port, self.ready_port = ports[:2]
        self._settings_path = directory / f"{name}.conf"
        self._log_path = directory / f"{name}.log"
        self.process = None
        # Return codes of the processes that have ended unasked.
        self.ends = []
        values = {
            "nodeName": name,
            "zone": "graz",
            "ip": HOST,
            "listen": {
                "frontend": f"{HOST}:{self.caller_port}",
                "readiness": f"{HOST}:{self.ready_port}",
            },
            "portRange": sorted(ports[2:]),
            "platform": {"addr": store.address},
            "limits": {"linkMbps": 1000.0, "cpuQuota": 1.07},
            "heartbeatMs": HEARTBEAT_S * 1_000,
            "bounds": BOUNDS,
        }
        text = TEMPLATE.read_text(encoding="utf-8")
        self._text = re.sub(
            r"\{\{([\w.]+)\|json\}\}", lambda found: _fill(values, found[1]), text
        )
        self.write_settings()

    def write_settings(self):
        """Writes the settings file, as the platform does at each start."""
        self._settings_path.write_text(self._text, encoding="utf-8")

    def start(self):
        """Starts the process."""
        self.write_settings()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["WASABIKNOT_SETTINGS"] = str(self._settings_path)
        environment["PYTHONPATH"] = "target/deps"
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-S", "-m", "wasabiknot_entry.edge"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.write("starts", entry=self.name)

    def signal(self, number):
        """Sends a signal, if the process runs."""
        if self.process.poll() is None:
            self.process.send_signal(number)
            name = signal.Signals(number).name
            self.record.write("signal", entry=self.name, signal=name)

    async def is_ready(self):
        """Asks the readiness check."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready_port)
        except OSError:
            return False
        writer.write(build_head("GET /readyz HTTP/1.1", {"Host": "ready"}))
        head = await read_head(reader)
        writer.close()
        return head is not None and " 200 " in head.line + " "

    async def wait_until_ready(self, timeout_s=15.0):
        """Waits until the entry counts as ready."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} did not become ready")

    def read_memory_mb(self):
        """Reads the resident memory of the process."""
        try:
            path = pathlib.Path(f"/proc/{self.process.pid}/status")
            text = path.read_text(encoding="utf-8")
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found[1]) / 1_024 if found else 0.0

    def read_log(self):
        """Reads what the processes of this entry have logged."""
        return self._log_path.read_text(encoding="utf-8", errors="replace")

    def close(self):
        """Kills the process and waits for it."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


def _fill(values, path):
    for name in path.split("."):
        values = values[name]
    return json.dumps(values)


class Answer:
    """What a caller got for a request."""

    def __init__(self):
        self.status = 0
        self.head = None
        self.body = b""
        self.is_complete = False
        self.error = ""


class Channel:
    """A caller's channel, which it keeps."""

    def __init__(self, port):
        self._port = port
        self._reader = self._writer = None

    async def open(self):
        """Connects to the entry."""
        opened = asyncio.open_connection(HOST, self._port)
        self._reader, self._writer = await asyncio.wait_for(opened, 1.0)

    async def ask(self, request, timeout_s):
        """Sends a request and reads its answer.

        :param request: bytes.
        :param timeout_s: time that the caller waits.
        :return: ``Answer``.
        """
        answer = Answer()
        try:
            if self._writer is None:
                await self.open()
            await asyncio.wait_for(self._ask(request, answer), timeout_s)
        except TimeoutError:
            answer.error = "no complete answer in time"
        except (OSError, asyncio.IncompleteReadError) as error:
            answer.error = type(error).__name__
        if not answer.is_complete:
            self.close()
        return answer

    async def _ask(self, request, answer):
        self._writer.write(request)
        await self._writer.drain()
        answer.head = await read_head(self._reader)
        if answer.head is None:
            raise ConnectionResetError
        answer.status = int(answer.head.line.split(" ")[1])
        if answer.head.get("transfer-encoding") == "chunked":
            await self._read_chunks(answer)
        else:
            length = int(answer.head.get("content-length", "0"))
            answer.body = await self._reader.readexactly(length)
        answer.is_complete = True
        if answer.head.get("connection").lower() == "close":
            self.close()

    async def _read_chunks(self, answer):
        while True:
            size = int(await self._reader.readuntil(b"\r\n"), 16)
            answer.body += (await self._reader.readexactly(size + 2))[:-2]
            if not size:
                return

    def close(self):
        """Closes the channel."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def build_request(method, path, fields, body=b""):
    """Builds a request of a caller."""
    all_fields = {"Host": "market.example"} | fields
    if body or method == "POST":
        all_fields["Content-Length"] = len(body)
    return build_head(f"{method} {path} HTTP/1.1", all_fields) + body


def build_route(name, kind, service, timeout_ms, **more):
    """Builds a route of the configuration."""
    route = {
        "name": name,
        "host": "market.example",
        "pathPrefix": f"/{name}/",
        "type": kind,
        "timeoutMs": timeout_ms,
        "sloMs": 400,
        "priority": 1,
        "service": service,
        "attempts": 1,
        "public": True,
    }
    return route | more


def build_configuration(routes, services, version=1):
    """Builds a configuration."""
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
        "tenants": [],
    }


def build_service(name, slots=None):
    """Builds a service; one with slots has model engines."""
    service = {"name": name, "healthPath": "/healthz", "maxConns": 360}
    if slots is not None:
        engine = {"slots": slots, "kvCapacity": 631316, "stride": 6}
        service["engine"] = engine
    return service


def is_trouble():
    """Tells whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(case_file, play):
    """Runs a case and exits with its verdict.

    :param case_file: path of the module of the case.
    :param play: coroutine function of a ``Record`` and a directory for files; returns
        whether the rule held.
    """
    record = Record(pathlib.Path(case_file).resolve().parent)
    directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    try:
        held = asyncio.run(asyncio.wait_for(play(record, directory), 115))
        record.write("verdict", held=held, trouble=is_trouble())
        print("held" if held else "broken")
        code = HELD if held else BROKEN
    except (CannotRunError, TimeoutError) as error:
        record.write("verdict", error=repr(error))
        print(f"not run: {error!r}")
        code = NOT_RUN
    finally:
        shutil.rmtree(directory, ignore_errors=True)
    sys.stdout.flush()
    # Channels that are still open aren't closed one by one.
    os._exit(code)
