"""A small deployment on loopback: entries of this project, the rest stand-ins.

The entries are separate processes, started with the command of ``deploy/system.toml``
and a settings file in the form of ``platform/settings.yaml``. The store, the backend
workers and the requesters are small stand-ins that follow PROTOCOL.md, with nothing but
the standard library.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2
READY_TIMEOUT_S = 30.0
HOST = "ficu95.example"
_LENGTH = struct.Struct(">I")
_POSITIONS = struct.Struct(">QQ")


class Record:
    """Writes what happens to ``record.txt``, with the time since the start."""

    def __init__(self, path):
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def now_s(self):
        """Returns the time since the start in seconds."""
        return time.monotonic() - self._started_s

    def write(self, text):
        """Writes a line."""
        self._file.write(f"{self.now_s():9.3f} {text}\n")
        self._file.flush()


class Head:
    """The head of a message, with its body if that was read."""

    def __init__(self, first, fields, body=b""):
        self.first = first
        self.fields = fields
        self.body = body


async def read_head(reader):
    """Reads the head of a message; ``None`` at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return Head(lines[0], fields)


async def read_chunks(reader):
    """Reads a body in chunks, up to its end."""
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return body
        body += data[:-2]


async def read_request(reader):
    """Reads a request with its body; ``None`` at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    if head.fields.get("transfer-encoding", "").lower() == "chunked":
        head.body = await read_chunks(reader)
    else:
        head.body = await reader.readexactly(int(head.fields.get("content-length", 0)))
    return head


def build_response(status, fields=(), body=b""):
    """Builds a response with a length."""
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in fields]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def find_address(listener):
    """Finds the address of a server."""
    host, port = listener.sockets[0].getsockname()
    return f"{host}:{port}"


class Topic:
    """A keyed topic with one partition."""

    def __init__(self):
        self.records = []
        self.newest = {}
        self.changed = asyncio.Condition()


class Store:
    """The platform's store, with an address of its own for each machine.

    :param record: ``Record``.
    """

    def __init__(self, record):
        self._record = record
        self._topics = {}
        # Function of machine, topic, key and value of an append. It returns ``None``,
        # or the seconds after which the append is executed, without an answer.
        self.find_delay_s = lambda machine, topic, key, value: None

    def get_topic(self, name):
        """Returns a topic, made on first use."""
        return self._topics.setdefault(name, Topic())

    async def listen(self, machine):
        """Opens the address at which one machine reaches the store."""

        async def serve(reader, writer):
            await self._serve(machine, reader, writer)

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        return find_address(listener)

    async def put(self, name, key, value):
        """Appends a record for the operator or a worker; an empty value deletes it."""
        content = bytes([len(key.encode())]) + key.encode() + value
        await self._append_all(name, [content])

    async def _append_all(self, name, contents):
        topic = self.get_topic(name)
        async with topic.changed:
            for content in contents:
                end = 1 + content[0]
                key, value = content[1:end].decode(), content[end:]
                topic.newest.pop(key, None)
                if value:
                    topic.newest[key] = (value, len(topic.records))
                topic.records.append(content)
            topic.changed.notify_all()

    async def _serve(self, machine, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (request := await read_request(reader)) is not None:
                method, target, _ = request.first.split(" ")
                path, _, text = target.partition("?")
                query = dict(item.split("=") for item in text.split("&"))
                answer = await self._answer(machine, path, query, request.body)
                if answer is None:
                    # The answer is lost, and the channel returns nothing further.
                    await asyncio.sleep(3600)
                writer.write(answer)
                await writer.drain()
        writer.close()

    async def _answer(self, machine, path, query, body):
        name = query["topic"]
        topic = self.get_topic(name)
        if path == "/log-newest":
            entries = [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
                for key, (value, offset) in sorted(topic.newest.items())
            ]
            page = {"entries": entries, "morePages": False, "end": len(topic.records)}
            return build_response(200, body=json.dumps(page).encode())
        if path == "/log-read":
            return await self._read(topic, query)
        if "at" in query and int(query["at"]) != len(topic.records):
            page = json.dumps({"end": len(topic.records)}).encode()
            return build_response(412, body=page)
        return await self._append(machine, name, body)

    async def _read(self, topic, query):
        start = int(query["from"])
        if start > len(topic.records):
            return build_response(410, body=b'{"first": 0}')
        wait_s = int(query.get("waitMs", 0)) / 1_000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s), topic.changed:
                await topic.changed.wait_for(lambda: len(topic.records) > start)
        found = b"".join(
            _LENGTH.pack(len(item)) + item for item in topic.records[start:]
        )
        return build_response(200, body=_POSITIONS.pack(len(topic.records), 0) + found)

    async def _append(self, machine, name, body):
        contents = []
        while body:
            (length,) = _LENGTH.unpack_from(body)
            contents.append(body[4 : 4 + length])
            body = body[4 + length :]
        first = contents[0]
        end = 1 + first[0]
        key, value = first[1:end].decode(), first[end:]
        delay_s = self.find_delay_s(machine, name, key, value)
        shown = value[:120].decode("latin-1")
        if delay_s is not None:
            self._record.write(
                f"store: append of {machine} to {name}, key {key}: answer lost, "
                f"executed {delay_s} s later: {shown}"
            )
            task = asyncio.create_task(self._append_later(name, contents, delay_s))
            task.add_done_callback(lambda _: None)
            return None
        offset = len(self.get_topic(name).records)
        await self._append_all(name, contents)
        self._record.write(
            f"store: append of {machine} to {name}, key {key}: done, offset {offset}: "
            f"{shown}"
        )
        page = {"offset": offset, "end": offset + len(contents)}
        return build_response(200, body=json.dumps(page).encode())

    async def _append_later(self, name, contents, delay_s):
        await asyncio.sleep(delay_s)
        offset = len(self.get_topic(name).records)
        await self._append_all(name, contents)
        end = 1 + contents[0][0]
        key, value = contents[0][1:end].decode(), contents[0][end:]
        self._record.write(
            f"store: the delayed append to {name}, key {key}: done, offset {offset}: "
            f"{value[:120].decode('latin-1')}"
        )


class Worker:
    """A sound worker of a service; answers each request after a time.

    :param record: ``Record``.
    :param store: ``Store``.
    :param service: name of the service.
    :param server_id: its id.
    :param slots: requests that it runs at a time.
    """

    def __init__(self, record, store, service, server_id, slots=10):
        self._record = record
        self._store = store
        self.service = service
        self.server_id = server_id
        self.slots = slots
        self.address = ""
        self.work_s = 0.02
        # Function of a request that returns the body of its answer.
        self.build_body = lambda request: (
            b"ok " + request.fields["x-wasabiknot-attempt-id"].encode()
        )
        # Function of a request that returns more fields of its answer.
        self.list_fields = lambda request: ()
        # Triples of time, id and request of all that ran.
        self.runs = []
        self.state = "ready"
        # Function of the number of a heartbeat that returns the seconds after which
        # the store executes it, without an answer; ``None`` for at once.
        self.find_delay_s = lambda number: None
        self._born_ms = int(time.time() * 1_000)
        self._seq = 0
        self._writers = set()

    async def start(self):
        """Opens the address and registers; writes again at each heartbeat."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = find_address(self._listener)
        await self.send_heartbeat()
        self._beats = asyncio.create_task(self._send_heartbeats())

    async def exit(self):
        """Ends the worker; its entry in the store is removed."""
        self._record.write(f"worker {self.server_id}: exits")
        self._beats.cancel()
        self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await self._store.put("keyed.servers", self.server_id, b"")

    async def _send_heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.send_heartbeat()

    async def send_heartbeat(self):
        """Writes the state to the store."""
        self._seq += 1
        beat = {
            "service": self.service,
            "addr": self.address,
            "zone": "wien",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmupLeftMs": 0,
            "seq": self._seq,
            "born": self._born_ms,
        }
        value = json.dumps(beat).encode()
        delay_s = self.find_delay_s(self._seq)
        text = f"worker {self.server_id}: {self.state}, seq {self._seq}"
        if delay_s is not None:
            self._record.write(f"{text}: answer lost, executed {delay_s} s later")
            self._late = asyncio.create_task(self._put_later(value, delay_s, text))
            return
        await self._store.put("keyed.servers", self.server_id, value)
        self._record.write(f"{text}: accepted by the store")

    async def _put_later(self, value, delay_s, text):
        await asyncio.sleep(delay_s)
        await self._store.put("keyed.servers", self.server_id, value)
        self._record.write(f"{text}: executed late")

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (request := await read_request(reader)) is not None:
                writer.write(await self._answer(request))
                await writer.drain()
        writer.close()
        self._writers.discard(writer)

    async def _answer(self, request):
        request_id = request.fields.get("x-wasabiknot-attempt-id", "")
        own = [("X-Wasabiknot-Attempt-Id", request_id)]
        if request.fields.get("x-wasabiknot-expect-instance") != self.server_id:
            return build_response(421, own)
        self.runs.append((self._record.now_s(), request_id, request))
        tenant = request.fields.get("x-wasabiknot-tenant", "none")
        self._record.write(
            f"worker {self.server_id}: runs {request_id}, tenant {tenant}"
        )
        await asyncio.sleep(self.work_s)
        own.append(("X-Wasabiknot-Server-Stamp", f"{self.server_id}.{request_id}"))
        own += self.list_fields(request)
        return build_response(200, own, self.build_body(request))


class Answer:
    """What a requester got; the status is 0 if it got no head."""

    def __init__(self, status=0, fields=None, body=b"", is_complete=False, end=""):
        self.status = status
        self.fields = fields or {}
        self.body = body
        self.is_complete = is_complete
        self.end = end


class Channel:
    """A requester's channel to one entry.

    :param address: address of the entry.
    :param receive_bytes: receive buffer of the socket; 0 for the usual one.
    """

    def __init__(self, address, receive_bytes=0):
        self._address = address
        self._receive_bytes = receive_bytes
        self._reader = self._writer = None

    async def open(self):
        """Connects."""
        host, _, port = self._address.rpartition(":")
        handle = socket.socket()
        handle.setblocking(False)
        if self._receive_bytes:
            handle.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_bytes)
        await asyncio.get_running_loop().sock_connect(handle, (host, int(port)))
        limit = max(2_048, self._receive_bytes)
        self._reader, self._writer = await asyncio.open_connection(
            sock=handle, limit=limit
        )

    def close(self):
        """Closes the channel."""
        if self._writer is not None:
            self._writer.close()

    async def send(self, method, path, fields, body=b"", pace=None):
        """Sends a request and reads the answer, which has a length.

        :param pace: bytes that are read at a time and seconds between two reads;
            ``None`` for as fast as they come.
        """
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in fields]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        message = "\r\n".join([*lines, "", ""]).encode("latin-1") + body
        try:
            self._writer.write(message)
            await self._writer.drain()
        except ConnectionError as error:
            return Answer(end=type(error).__name__)
        head = await read_head(self._reader)
        if head is None:
            return Answer(end="closed")
        status = int(head.first.split(" ")[1])
        length = int(head.fields.get("content-length", 0))
        received, end = await self._read_body(length, pace)
        is_complete = len(received) == length
        return Answer(status, head.fields, received, is_complete, end)

    async def _read_body(self, length, pace):
        received = b""
        size_bytes, pause_s = pace or (65_536, 0.0)
        try:
            while len(received) < length:
                wanted = min(size_bytes, length - len(received))
                data = await self._reader.read(wanted)
                if not data:
                    return received, "closed"
                received += data
                if pause_s:
                    await asyncio.sleep(pause_s * len(data) / size_bytes)
        except ConnectionError as error:
            return received, type(error).__name__
        return received, "whole"


def find_ports(count):
    """Finds free ports on loopback, the last two of them side by side."""
    while True:
        with contextlib.ExitStack() as held:
            ports = []
            for _ in range(count):
                handle = held.enter_context(socket.socket())
                handle.bind(("127.0.0.1", 0))
                ports.append(handle.getsockname()[1])
            try:
                handle = held.enter_context(socket.socket())
                handle.bind(("127.0.0.1", ports[-1] + 1))
            except (OSError, OverflowError):
                continue
            return [*ports, ports[-1] + 1]


class Entry:
    """An entry process of this project.

    :param name: name of the machine.
    :param directory: folder for its settings and log.
    :param store_address: address of the store.
    """

    def __init__(self, name, directory, store_address):
        self.name = name
        caller_port, ready_port, first_port, last_port = find_ports(3)
        self.address = f"127.0.0.1:{caller_port}"
        self.ready_address = f"127.0.0.1:{ready_port}"
        self._settings_path = directory / f"{name}.yaml"
        self.log_path = directory / f"{name}.log"
        # The template of the project, filled with the figures of marktgeld-ost.
        self._settings_path.write_text(
            f"""name: "{name}"
domain: "wien"
host: "127.0.0.1"
caller_address: "{self.address}"
ready_address: "{self.ready_address}"
ports: [{first_port},{last_port}]
store_address: "{store_address}"
link_mbps: 1000.0
cpu_cores: 0.537
beat_ms: 1200
region: "ost"
domain_regions: {{"graz":"ost","linz":"ost","wien":"ost"}}
bounds:
  configuration_ms: 2000
  leaving_ms: 2000
  grace_s: 8
  retry_ratio: 0.2
  retry_window_s: 10
  retry_slack: 54
  allowance_window_s: 8
  allowance_overrun: 0.1
  allowance_slack: 140000
  canary_share: 0.1
  canary_slack: 50
  rollback_ms: 5000
  warmup_overrun: null
  warmup_slack: null
""",
            encoding="utf-8",
        )
        self.process = None

    def start(self):
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split(" ")
        if command[0] == "python3":
            command[0] = sys.executable
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "WASABIKNOT_SETTINGS": str(self._settings_path),
        }
        with self.log_path.open("ab") as log:
            self.process = _spawn(command, environment, log)

    def signal(self, number):
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        """Ends the process at once."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def is_ready(self):
        """Tells whether the process answers the readiness check with 200."""
        channel = Channel(self.ready_address)
        try:
            await channel.open()
            answer = await asyncio.wait_for(channel.send("GET", "/readyz", ()), 1.0)
        except (OSError, TimeoutError):
            return False
        finally:
            channel.close()
        return answer.status == 200

    async def wait_until_ready(self):
        """Waits until the process is ready."""
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while not await self.is_ready():
            if self.process.poll() is not None or time.monotonic() > deadline_s:
                raise RuntimeError(f"{self.name} does not become ready")
            await asyncio.sleep(0.1)


def _spawn(command, environment, log):
    return subprocess.Popen(
        command,
        env=environment,
        cwd=ROOT,
        stdin=subprocess.DEVNULL,
        stdout=log,
        stderr=log,
    )


class Deployment:
    """All parts of a deployment.

    :param record: ``Record``.
    """

    def __init__(self, record):
        self.record = record
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="wasabiknot-review-"))
        self.store = Store(record)
        self.workers = []
        self.entries = []
        self._ids = itertools.count(1)

    def create_id(self):
        """Returns the id of a new attempt."""
        return f"a{next(self._ids):06d}"

    async def add_worker(self, service, slots=10):
        """Starts a worker of a service."""
        server_id = f"i-{len(self.workers):08x}"
        worker = Worker(self.record, self.store, service, server_id, slots)
        await worker.start()
        self.workers.append(worker)
        return worker

    async def add_entry(self, name):
        """Starts an entry."""
        entry = Entry(name, self.directory, await self.store.listen(name))
        self.entries.append(entry)
        entry.start()
        return entry

    async def publish(self, config):
        """Writes a config; the store's answer is the confirmation."""
        await self.store.put("keyed.op", "config", json.dumps(config).encode())
        shown = {name: config[name] for name in ("version", "tenants")}
        self.record.write(f"operator: config confirmed: {json.dumps(shown)}")

    def close(self):
        """Ends all processes and removes the folder."""
        for entry in self.entries:
            entry.kill()
        shutil.rmtree(self.directory, ignore_errors=True)


def run(case, folder):
    """Runs a case and exits with its result: 0 held, 1 broken, 2 could not run.

    :param case: coroutine function of a ``Deployment`` and whether there is trouble;
        returns whether the rule was broken.
    :param folder: folder for ``record.txt``.
    """
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")
    deployment = Deployment(record)

    async def play():
        # Servers of stand-ins are cancelled at the end, which isn't worth a line.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        async with asyncio.timeout(115):
            return await case(deployment, is_troubled)

    try:
        is_broken = asyncio.run(play())
    except Exception as error:
        record.write(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        code = 2
    else:
        code = int(is_broken)
        record.write("the rule was broken" if is_broken else "the rule held")
    finally:
        deployment.close()
    sys.exit(code)
