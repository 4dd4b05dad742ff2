"""A caller that checks every response, and helpers for requests with JSON bodies."""

import msgspec
import treq
import uuid6
from twisted.internet import defer, protocol, reactor
from twisted.web import http

from wasabiknot_entry import agents
from wasabiknot_kernel import wire
from wasabiknot_standins import servers

CONNECT_TIMEOUT_S = 2.0
TIMEOUT_GRACE_S = 5.0


class Response(msgspec.Struct, frozen=True):
    """The response to a call, as received by the caller.

    :param tier: name of the tier.
    :param customer: name of the customer.
    :param call: name of the call.
    :param prompt: prompt that was sent.
    :param status: HTTP status code; 0 if there was no response.
    :param complete: whether the response is complete and matches the request.
    :param in_time: whether the response is complete and met its deadline.
    :param first_ms: time to the first byte of the body in milliseconds; 0 if none
        arrived.
    :param total_ms: time to the end of the response in milliseconds.
    :param tokens: number of tokens received.
    :param ran: ``ran`` of the problem details; empty if there are none.
    :param kind: error kind from the problem details; empty if there are none.
    :param request_id: id of the request; empty if there was no response.
    :param address: host and port of the entry.
    :param is_duplicated: whether a duplicate of the call was sent to another entry.
    """

    tier: str
    customer: str
    call: str
    prompt: str
    status: int
    complete: bool
    in_time: bool
    first_ms: float
    total_ms: float
    tokens: int = 0
    ran: str = ""
    kind: str = ""
    request_id: str = ""
    address: str = ""
    is_duplicated: bool = False


class ProblemDetails(msgspec.Struct, frozen=True):
    """The fields of RFC 9457 problem details that the caller uses.

    :param type: URI of the error kind.
    :param ran: whether the request ran: ``yes``, ``no`` or ``unknown``.
    """

    type: str = ""
    ran: str = ""


class CallRequest(msgspec.Struct, frozen=True):
    """A call to send.

    :param address: host and port of the entry.
    :param plan: ``deployments.CallPlan``.
    :param customer: name of the customer.
    :param prompt: prompt to send.
    :param key: idempotency key; ``None`` for none.
    :param is_duplicated: whether a duplicate of the call is sent to another entry.
    """

    address: str
    plan: object
    customer: str
    prompt: str
    key: str | None = None
    is_duplicated: bool = False


def create_client():
    """Creates an HTTP client that refuses responses which can't be read.

    :return: ``treq.client.HTTPClient``.
    """
    return agents.create_client(reactor, CONNECT_TIMEOUT_S)


def create_key():
    """Creates an idempotency key.

    :return: UUIDv7 as a string.
    """
    return str(uuid6.uuid7())


class Caller:
    """Sends calls to entries and checks the responses."""

    def __init__(self):
        self._http = create_client()

    async def send(self, request):
        """Sends a call and waits for the end of the response.

        :param request: ``CallRequest``.
        :return: ``Response``.
        """
        start_s = reactor.seconds()
        plan = request.plan
        url = f"http://{request.address}/v1/services/{plan.service}/calls/{plan.call}"
        headers = {"Wasabiknot-Customer": request.customer}
        if request.key is not None:
            headers["Idempotency-Key"] = request.key
        body = msgspec.json.encode(
            {"prompt": request.prompt, "max_tokens": plan.max_tokens}
        )
        collector = BodyCollector(start_s)
        timeout_s = plan.deadline_ms / 1000 + TIMEOUT_GRACE_S
        posted = self._http.post(url, data=body, headers=headers, unbuffered=True)
        timer = reactor.callLater(timeout_s, _abort_call, posted, collector)
        try:
            response = await posted
            response.deliverBody(collector)
            await collector.done
            request_id = _read_header(response, "Wasabiknot-Request-Id")
            return _classify_response(
                request, response.code, collector, start_s, request_id
            )
        except Exception:
            return _classify_response(request, 0, collector, start_s, "")
        finally:
            if timer.active():
                timer.cancel()


def _abort_call(posted, collector):
    # Without a head there is no connection that the collector could close.
    posted.cancel()
    collector.abort()


def _read_header(response, name):
    return response.headers.getRawHeaders(name, [""])[0]


class BodyCollector(protocol.Protocol):
    """Collects the body of a response.

    :param start_s: time at which the call was sent, in reactor seconds.
    """

    def __init__(self, start_s):
        self._start_s = start_s
        self._parts = []
        self.first_ms = 0.0
        self.done = defer.Deferred()

    def dataReceived(self, data):  # noqa: N802
        """Appends received bytes to the body."""
        if not self._parts:
            self.first_ms = (reactor.seconds() - self._start_s) * 1000
        self._parts.append(data)

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        """Completes ``done``."""
        self._finish()

    def abort(self):
        """Closes the connection, if there is one, and completes ``done``."""
        if self.transport is not None:
            self.transport.loseConnection()
        self._finish()

    def _finish(self):
        if not self.done.called:
            self.done.callback(None)

    @property
    def body(self):
        """Bytes of the body received so far."""
        return b"".join(self._parts)


def _classify_response(request, status, collector, start_s, request_id):
    plan = request.plan
    total_ms = (reactor.seconds() - start_s) * 1000
    tokens = 0
    complete = False
    problem = ProblemDetails()
    if status == http.OK and plan.max_tokens:
        tokens, complete, problem = _parse_stream(collector.body)
    elif status == http.OK:
        complete = _parse_plain(collector.body, request)
    elif status:
        problem = _parse_problem(collector.body)
    return Response(
        tier=plan.tier,
        customer=request.customer,
        call=plan.call,
        prompt=request.prompt,
        status=status,
        complete=complete,
        in_time=complete and total_ms <= plan.deadline_ms,
        first_ms=collector.first_ms,
        total_ms=total_ms,
        tokens=tokens,
        ran=problem.ran,
        kind=problem.type.rpartition(":")[2],
        request_id=request_id,
        address=request.address,
        is_duplicated=request.is_duplicated,
    )


def _parse_stream(body):
    events = [part for part in body.split(b"\n\n") if part.startswith(b"data: ")]
    problem = ProblemDetails()
    for part in body.split(b"\n\n"):
        if part.startswith(b"event: error\n"):
            problem = _parse_problem(part.partition(b"data: ")[2])
    decoded = [
        msgspec.json.decode(part[len(b"data: ") :], type=wire.StreamEvent)
        for part in events
    ]
    if not decoded or not decoded[-1].end:
        return len(decoded), False, problem
    tokens = decoded[:-1]
    in_order = all(event.n == n for n, event in enumerate(tokens))
    has_single_id = len({event.id for event in decoded}) == 1
    complete = in_order and has_single_id and decoded[-1].n == len(tokens)
    return len(tokens), complete, problem


def _parse_plain(body, request):
    try:
        response = msgspec.json.decode(body, type=wire.PlainResponse)
    except msgspec.MsgspecError:
        return False
    return response.end and response.result == f"{request.plan.call} ok"


def _parse_problem(body):
    try:
        return msgspec.json.decode(body, type=ProblemDetails)
    except msgspec.MsgspecError:
        return ProblemDetails()


async def put_json(url, value):
    """Sends a value as JSON by PUT.

    :param url: URL.
    :param value: value to encode.
    """
    response = await create_client().put(
        url, data=msgspec.json.encode(value), timeout=5
    )
    await treq.content(response)


async def post_json(url, value):
    """Sends a value as JSON by POST.

    :param url: URL.
    :param value: value to encode.
    """
    response = await create_client().post(
        url, data=msgspec.json.encode(value), timeout=5
    )
    await treq.content(response)


async def get_json(url, schema):
    """Reads a JSON value by GET.

    :param url: URL.
    :param schema: type of the value.
    :return: the decoded value.
    :raises msgspec.MsgspecError: if the body doesn't match the type.
    """
    response = await create_client().get(url, timeout=5)
    return msgspec.json.decode(await treq.content(response), type=schema)


def build_url(port, path):
    """Builds the URL of a process on loopback.

    :param port: TCP port of the process.
    :param path: path with a leading slash.
    :return: URL.
    """
    return f"http://{servers.HOST}:{port}{path}"
