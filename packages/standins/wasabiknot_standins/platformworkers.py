"""Simulated backend servers of the platform for plain and streaming services."""

import collections
import hashlib
import math
import secrets

import msgspec
from twisted.internet import reactor
from twisted.web import http

SERVER_TOPIC = "keyed.servers"
FIRST_EVENT_DELAY_S = 0.03
EVENT_INTERVAL_S = 0.02
PLAIN_DELAY_S = 0.02
# Body of a request that ends each backend server that runs it, unless its id begins
# with the prefix.
HARMFUL_BODY = b"harmful"
HARMLESS_PREFIX = "harmless-"
CRASH_DELAY_S = 0.05
# Part of a prompt that ends each backend server which begins to answer a request with
# it, and the number of the parts that sound requests share.
HARMFUL_PART = "5c1e07a2"
SHARED_PARTS = 4
PARTS_HEADER = "x-wasabiknot-prefix-hash"
# Sent after a complete response by the fault "extra".
EXTRA_BYTES = b"HTTP/1.1 200 OK\r\n\r\n"
# Time after a crash until the registration lapses.
LAPSE_S = 1.5
# Time for which a server speaks at least between two silences.
MIN_SPEAKING_S = 1.0
SILENCE_CHECK_S = 0.01


class Run(msgspec.Struct, frozen=True):
    """One execution of a request.

    :param request_id: id of the request.
    :param server_id: id of the backend server.
    :param at_s: start time in seconds.
    :param service: service of the backend server; empty if it isn't known.
    """

    request_id: str
    server_id: str
    at_s: float
    service: str = ""


class RunEnd(msgspec.Struct, frozen=True):
    """The end of one execution.

    :param at_s: time in seconds.
    :param is_abandoned: whether the connection ended before the response.
    """

    at_s: float
    is_abandoned: bool


class Silence(msgspec.Struct, frozen=True):
    """A time in which a sound backend server said nothing.

    :param server_id: id of the server.
    :param start_s: start in seconds.
    :param end_s: end in seconds.
    """

    server_id: str
    start_s: float
    end_s: float


class Contact(msgspec.Struct):
    """One request that reached a backend server, executed or not.

    :param request_id: id of the request.
    :param server_id: id of the backend server.
    :param at_s: time in seconds.
    :param limit_per_s: limit that the server states then; ``None`` for none.
    :param is_leaving: whether the response says that the server is leaving.
    :param retry_after_s: time in seconds for which the response, a rejection, asks for
        no further request; ``None`` if it is none.
    :param is_misdirected: whether the request was meant for another server.
    :param sender: number of the entry that sent it, which may be another one than its
        caller's; ``None`` if it isn't known.
    :param answered_s: time in seconds at which a server that was silent sent the head
        of the response, infinite if it could not; ``None`` if it was not silent.
    """

    request_id: str
    server_id: str
    at_s: float
    limit_per_s: float | None
    is_leaving: bool = False
    retry_after_s: float | None = None
    is_misdirected: bool = False
    answered_s: float | None = None
    sender: int | None = None

    @property
    def told_s(self):
        """Time in seconds from which the entry may know what the response states."""
        return self.at_s if self.answered_s is None else self.answered_s


class RunRecorder:
    """Collects the executions and violations that all backend servers observe."""

    def __init__(self):
        self.contacts = []
        # Ids of requests to which a server has sent events without end.
        self.flooded_ids = set()
        self.runs = collections.defaultdict(list)
        # ``RunEnd`` by id of the request and of the backend server.
        self.run_ends = {}
        self.silences = []
        self.violations = []


def build_body(request_id):
    """Builds the body of the complete response to a request.

    :param request_id: id of the request.
    :return: body bytes, the same for the same id.
    """
    return hashlib.sha256(request_id.encode()).hexdigest().encode() * 4


def build_parts(request_id, more=()):
    """Builds the header that names the parts of a request's prompt.

    :param request_id: id of the request.
    :param more: further parts that the request shares with others.
    :return: text; the first part is one of ``SHARED_PARTS``, the last one its own.
    """
    digest = hashlib.sha256(request_id.encode()).hexdigest()
    shared = f"e44{int(digest[0], 16) % SHARED_PARTS}"
    return ",".join(f"{name}:20" for name in (shared, *more, digest[:8]))


def has_harmful_part(request):
    """Tells whether a request has the harmful part of a prompt.

    :param request: ``Request``.
    """
    parts = (request.getHeader(PARTS_HEADER) or "").split(",")
    return HARMFUL_PART in (part.partition(":")[0] for part in parts[:-1])


def count_events(request_id):
    """Returns the number of events in the stream of a request.

    :param request_id: id of the request.
    :return: number of events from 3 to 22, the same for the same id.
    """
    return 3 + hashlib.sha256(request_id.encode()).digest()[0] % 20


def build_event(request_id, event_id):
    """Builds an event in the stream of a request.

    :param request_id: id of the request.
    :param event_id: number of the event, from 1.
    :return: bytes of the event, the same for the same arguments.
    """
    return f"id: {event_id}\ndata: {request_id}/{event_id}\n\n".encode()


class Request(http.Request):
    """A request to a simulated backend server."""

    worker = None

    def gotLength(self, length):  # noqa: N802
        """Tells the backend server that the head has come, before any of the body."""
        super().gotLength(length)
        self.worker.handle_head(self, length)

    def process(self):
        """Passes the request to the backend server."""
        self.worker.handle_request(self)


class Worker:
    """A simulated backend server.

    ``fault`` is ``None``, ``"errors"`` (responds with 500), ``"lose"`` (closes the
    connection instead of responding), ``"cut"`` (aborts a stream in the middle) or
    ``"extra"`` (sends bytes after the end of a plain response).

    :param store: ``keyedlogs.Store`` that the server registers with.
    :param recorder: ``RunRecorder``.
    :param service: name of the service.
    :param is_engine: whether responses are event streams.
    :param slots: number of slots that it registers; requests beyond three times that
        number are rejected.
    """

    def __init__(self, store, recorder, service, is_engine, slots=4):
        self._store = store
        self._recorder = recorder
        self.service = service
        self.is_engine = is_engine
        self.slots = slots
        self.fault = None
        self.server_id = ""
        self.running = 0
        self.listener = None
        self._port = 0
        self.address = ""
        self.version = "v1"
        self.state = "ready"
        self._sequence = 0
        self._channels = set()
        # Seconds after which the server starts again after a harmful request.
        self.restart_delay_s = 2.0
        # Seconds after a start until the server registers.
        self.registration_delay_s = 0.0
        # Requests a second from all entries together that each response states.
        self.limit_per_s = None
        # Whether each response says that the server is leaving.
        self.is_leaving = False
        # Seconds that rejections name; requests are rejected while it is set.
        self.retry_after_s = None
        # Whether these rejections say that the request was not executed.
        self.states_not_executed = True
        # Shortest and longest time in seconds that a plain request takes, by its id.
        self.plain_delays_s = (PLAIN_DELAY_S, PLAIN_DELAY_S)
        self._silent_until_s = -math.inf
        # Rejections a second that the server bears and states, and the number of times
        # that it has fallen over, as it had to reject more.
        self.bears_per_s = None
        # Time in seconds until which requests may wait all the same.
        self.room_until_s = 0.0
        self.falls = 0
        self._rejected_s = collections.deque()
        # Function that is called when it falls over.
        self.handle_fall = lambda: None
        # Function of the port that a request comes from; returns ``Contact.sender``.
        self.find_sender = lambda port: None

    def start(self):
        """Starts listening and registers under a new id, unless already listening."""
        worker = self

        class WorkerRequest(Request):
            pass

        WorkerRequest.worker = worker

        class WorkerChannel(http.HTTPChannel):
            requestFactory = WorkerRequest

            def connectionMade(self):  # noqa: N802
                super().connectionMade()
                worker._channels.add(self)

            def connectionLost(self, reason):  # noqa: N802
                worker._channels.discard(self)
                super().connectionLost(reason)

        factory = http.HTTPFactory(timeout=None)
        factory.protocol = WorkerChannel
        factory.noisy = False
        factory.log = lambda request: None
        if self.listener is not None and self.listener.connected:
            return
        self.server_id = f"i-{secrets.token_hex(4)}"
        self.state = "ready"
        self.running = 0
        self.listener = reactor.listenTCP(self._port, factory, interface="127.0.0.1")
        self._port = self.listener.getHost().port
        self.address = self.address or f"127.0.0.1:{self._port}"
        if self.registration_delay_s:
            reactor.callLater(self.registration_delay_s, self.send_heartbeat)
        else:
            self.send_heartbeat()

    def send_heartbeat(self):
        """Writes the registration record with the next sequence number."""
        if not self.server_id:
            return
        self._sequence += 1
        value = {
            "service": self.service,
            "addr": self.address,
            "zone": "here",
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "warmupLeftMs": 0,
            "seq": self._sequence,
        }
        self._store.put(SERVER_TOPIC, self.server_id, msgspec.json.encode(value))

    def crash(self):
        """Stops listening and aborts all connections."""
        self.listener.stopListening()
        for channel in list(self._channels):
            channel.transport.abortConnection()
        self.running = 0

    def _crash_and_restart(self, server_id):
        if server_id != self.server_id or not self.listener.connected:
            return
        # Ends the heartbeats, and further crashes of the same start.
        self.server_id = ""
        self.crash()
        reactor.callLater(LAPSE_S, self._store.put, SERVER_TOPIC, server_id, b"")
        reactor.callLater(self.restart_delay_s, self.start)

    @property
    def is_silent(self):
        """Whether the server says nothing now, on any connection."""
        return reactor.seconds() < self._silent_until_s

    def fall_silent(self, duration_s):
        """Says nothing for a while and goes on; requests are accepted and run.

        Does nothing if the server is silent or was silent a moment ago.

        :param duration_s: time in seconds.
        """
        now_s = reactor.seconds()
        if now_s < self._silent_until_s + MIN_SPEAKING_S:
            return
        self._silent_until_s = now_s + duration_s
        silence = Silence(self.server_id, now_s, self._silent_until_s)
        self._recorder.silences.append(silence)

    def deregister(self):
        """Deletes the registration record."""
        self._store.put(SERVER_TOPIC, self.server_id, b"")

    def handle_head(self, request, length):
        """Does nothing, as the request is handled once its body has come.

        :param request: ``Request``.
        :param length: length of its body in bytes; ``None`` if it isn't known.
        """

    def handle_request(self, request):
        """Rejects the request, or executes it subject to the current fault.

        :param request: ``Request``.
        """
        request_id = request.getHeader("x-wasabiknot-attempt-id") or ""
        request.setHeader("x-wasabiknot-attempt-id", request_id)
        disconnects = []
        request.notifyFinish().addErrback(disconnects.append)
        contact = self._write_statements(request, request_id)
        if contact.is_misdirected:
            request.setHeader("x-wasabiknot-instance-id", self.server_id)
            self._answer(contact, disconnects, _reject, request, 421, disconnects)
            return
        if self.retry_after_s is not None:
            contact.retry_after_s = self.retry_after_s
            request.setHeader("retry-after", str(self.retry_after_s))
            if self.states_not_executed:
                request.setHeader("x-wasabiknot-not-executed", "1")
            self._answer(contact, disconnects, _reject, request, 503, disconnects)
            return
        if self.running >= self._count_room():
            request.setHeader("x-wasabiknot-not-executed", "1")
            self._answer(contact, disconnects, _reject, request, 503, disconnects)
            self._check_brittleness()
            return
        self._check_headers(request, request_id)
        run = Run(request_id, self.server_id, reactor.seconds(), self.service)
        self._recorder.runs[request_id].append(run)
        request.notifyFinish().addCallbacks(
            lambda _: self._record_run_end(run, is_abandoned=False),
            lambda _: self._record_run_end(run, is_abandoned=True),
        )
        self.running += 1
        request.setHeader("x-wasabiknot-server-stamp", self.server_id)
        is_harmless = request_id.startswith(HARMLESS_PREFIX)
        if request.content.read() == HARMFUL_BODY and not is_harmless:
            reactor.callLater(CRASH_DELAY_S, self._crash_and_restart, self.server_id)
            return
        if has_harmful_part(request):
            self._begin_answer(request, request_id)
            reactor.callLater(CRASH_DELAY_S, self._crash_and_restart, self.server_id)
            return
        delay_s = (
            FIRST_EVENT_DELAY_S if self.is_engine else self._find_delay_s(request_id)
        )
        respond = self._start_stream if self.is_engine else self._send_response
        arguments = (respond, request, request_id, disconnects)
        reactor.callLater(delay_s, self._answer, contact, disconnects, *arguments)

    def _begin_answer(self, request, request_id):
        if self.is_engine:
            request.setHeader("content-type", "text/event-stream")
            first = int(request.getHeader("last-event-id") or 0) + 1
            request.write(build_event(request_id, first))
            return
        body = build_body(request_id)
        request.setHeader("content-length", str(len(body)))
        request.write(body[:1])

    def _is_misdirected(self, request):
        return request.getHeader("x-wasabiknot-expect-instance") != self.server_id

    def _count_room(self):
        # A brittle server soon lets no request wait.
        has_queue = self.bears_per_s is None or reactor.seconds() < self.room_until_s
        return self.slots * (3 if has_queue else 1)

    def _check_brittleness(self):
        now_s = reactor.seconds()
        if self.bears_per_s is None or now_s < self.room_until_s:
            return
        self._rejected_s.append(now_s)
        while now_s - self._rejected_s[0] >= 1.0:
            self._rejected_s.popleft()
        if len(self._rejected_s) > self.bears_per_s:
            self._rejected_s.clear()
            self.falls += 1
            self.handle_fall()
            reactor.callLater(0, self._crash_and_restart, self.server_id)

    def _record_run_end(self, run, is_abandoned):
        end = RunEnd(reactor.seconds(), is_abandoned)
        self._recorder.run_ends[run.request_id, run.server_id] = end

    def _find_delay_s(self, request_id):
        shortest_s, longest_s = self.plain_delays_s
        # Most requests take little time, a few much.
        fraction = (hashlib.sha256(request_id.encode()).digest()[1] / 255) ** 2
        return shortest_s + fraction * (longest_s - shortest_s)

    def _find_interval_s(self, request_id):
        return EVENT_INTERVAL_S

    def _answer(self, contact, disconnects, respond, *arguments):
        # A server that is silent holds the response, unless its caller has left.
        if self.is_silent and not disconnects:
            contact.answered_s = math.inf
            held = (contact, disconnects, respond, *arguments)
            reactor.callLater(SILENCE_CHECK_S, self._answer, *held)
            return
        if contact.answered_s is not None and not disconnects:
            contact.answered_s = reactor.seconds()
        respond(*arguments)

    def _write_statements(self, request, request_id):
        contact = Contact(
            request_id,
            self.server_id,
            reactor.seconds(),
            self.limit_per_s,
            self.is_leaving,
            is_misdirected=self._is_misdirected(request),
            sender=self.find_sender(request.getClientAddress().port),
        )
        self._recorder.contacts.append(contact)
        if self.is_leaving:
            request.setHeader("server-leaving", "1")
        if self.bears_per_s is not None:
            request.setHeader("server-brittle", str(self.bears_per_s))
        if self.limit_per_s is not None:
            request.setHeader("server-limit", str(self.limit_per_s))
        return contact

    def _check_headers(self, request, request_id):
        if request.getHeader("x-api-key"):
            self._recorder.violations.append(f"{request_id}: API key was forwarded")
        if request.getHeader("x-wasabiknot-tenant") != "graz":
            self._recorder.violations.append(
                f"{request_id}: customer header is missing"
            )
        remaining_ms = request.getHeader("x-wasabiknot-deadline-ms") or ""
        if not remaining_ms.isdigit():
            self._recorder.violations.append(
                f"{request_id}: deadline header is invalid"
            )

    def _release(self):
        self.running = max(0, self.running - 1)

    def _send_response(self, request, request_id, disconnects):
        self._release()
        if disconnects:
            return
        if self.fault == "lose":
            request.transport.abortConnection()
        elif self.fault == "errors":
            _finish_response(request, 500)
        else:
            channel = request.channel
            _finish_response(request, 200, build_body(request_id))
            if self.fault == "extra" and channel is not None:
                channel.transport.write(EXTRA_BYTES)

    def _start_stream(self, request, request_id, disconnects):
        if disconnects or self.fault == "lose":
            self._release()
            if not disconnects:
                request.transport.abortConnection()
            return
        if self.fault == "errors":
            self._release()
            _finish_response(request, 500)
            return
        request.setHeader("content-type", "text/event-stream")
        sent_events = int(request.getHeader("last-event-id") or 0)
        if sent_events >= count_events(request_id):
            self._release()
            request.finish()
            return
        self._write_event(request, request_id, sent_events + 1, disconnects)

    def _write_event(self, request, request_id, event_id, disconnects):
        count = count_events(request_id)
        if disconnects:
            self._release()
            return
        event = (request, request_id, event_id, disconnects)
        if self.is_silent:
            reactor.callLater(SILENCE_CHECK_S, self._write_event, *event)
            return
        if self.fault == "cut" and event_id == count // 2 + 1:
            request.write(b"id: ")
            self._release()
            request.transport.abortConnection()
            return
        request.write(build_event(request_id, event_id))
        if event_id >= count:
            self._release()
            request.finish()
            return
        reactor.callLater(
            self._find_interval_s(request_id),
            self._write_event,
            request,
            request_id,
            event_id + 1,
            disconnects,
        )


def _reject(request, status, disconnects):
    if not disconnects:
        _finish_response(request, status)


def _finish_response(request, status, body=b""):
    request.setResponseCode(status)
    request.setHeader("content-length", str(len(body)))
    if body:
        request.write(body)
    request.finish()
