"""A caller of the system that checks every answer."""

import msgspec
import treq
import uuid6
from treq import client as treq_client
from twisted.internet import defer, protocol, reactor
from twisted.web import client, http

from wasabiknot_kernel import wire
from wasabiknot_standins import servers

CONNECT_TIMEOUT_S = 2.0
TIMEOUT_GRACE_S = 5.0


class Answer(msgspec.Struct, frozen=True):
    """What a caller got.

    :param tier: tier name.
    :param customer: customer name.
    :param call: call name.
    :param prompt: prompt that was sent.
    :param status: HTTP status code; 0 if there was no response.
    :param complete: whether the answer is whole and belongs to the request.
    :param in_time: whether it came within its deadline.
    :param first_ms: time to the first byte of the answer.
    :param total_ms: time to the end.
    :param tokens: tokens received.
    :param ran: ``ran`` of a problem, or an empty text.
    :param kind: kind of a problem, or an empty text.
    :param request_id: id of the request.
    :param address: entry that was asked.
    :param copied: whether a copy of the request went to another entry too.
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
    copied: bool = False


class Problem(msgspec.Struct, frozen=True):
    """The fields of problem details that a caller reads.

    :param type: URI of the kind.
    :param ran: whether the request ran.
    """

    type: str = ""
    ran: str = ""


class CallRequest(msgspec.Struct, frozen=True):
    """A call to send.

    :param address: host and port of an entry.
    :param plan: ``deployments.CallPlan``.
    :param customer: customer name.
    :param prompt: prompt.
    :param key: idempotency key, or ``None``.
    :param copied: whether a copy of the request goes to another entry too.
    """

    address: str
    plan: object
    customer: str
    prompt: str
    key: str | None = None
    copied: bool = False


def create_key():
    """Creates a UUIDv7 key.

    :return: text.
    """
    return str(uuid6.uuid7())


class Caller:
    """Sends calls and checks their answers."""

    def __init__(self):
        agent = client.Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S)
        self._http = treq_client.HTTPClient(agent)

    async def send(self, request):
        """Sends a call and waits for its end.

        :param request: ``CallRequest``.
        :return: ``Answer``.
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
        receiver = Receiver(start_s)
        timeout_s = plan.deadline_ms / 1000 + TIMEOUT_GRACE_S
        timer = reactor.callLater(timeout_s, receiver.give_up)
        try:
            response = await self._http.post(
                url, data=body, headers=headers, unbuffered=True
            )
            response.deliverBody(receiver)
            await receiver.done
            request_id = _read_header(response, "Wasabiknot-Request-Id")
            return _judge(request, response.code, receiver, start_s, request_id)
        except Exception:
            return _judge(request, 0, receiver, start_s, "")
        finally:
            if timer.active():
                timer.cancel()


def _read_header(response, name):
    return response.headers.getRawHeaders(name, [""])[0]


class Receiver(protocol.Protocol):
    """Collects the body of a response.

    :param start_s: time at which the call was sent.
    """

    def __init__(self, start_s):
        self._start_s = start_s
        self._parts = []
        self.first_ms = 0.0
        self.done = defer.Deferred()

    def dataReceived(self, data):  # noqa: N802
        """Collects bytes."""
        if not self._parts:
            self.first_ms = (reactor.seconds() - self._start_s) * 1000
        self._parts.append(data)

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        """Notes the end."""
        self._finish()

    def give_up(self):
        """Gives up waiting."""
        if self.transport is not None:
            self.transport.loseConnection()
        self._finish()

    def _finish(self):
        if not self.done.called:
            self.done.callback(None)

    @property
    def body(self):
        """All bytes that were received."""
        return b"".join(self._parts)


def _judge(request, status, receiver, start_s, request_id):
    plan = request.plan
    total_ms = (reactor.seconds() - start_s) * 1000
    tokens = 0
    complete = False
    problem = Problem()
    if status == http.OK and plan.max_tokens:
        tokens, complete, problem = _read_stream(receiver.body)
    elif status == http.OK:
        complete = _read_plain(receiver.body, request)
    elif status:
        problem = _read_problem(receiver.body)
    return Answer(
        tier=plan.tier,
        customer=request.customer,
        call=plan.call,
        prompt=request.prompt,
        status=status,
        complete=complete,
        in_time=complete and total_ms <= plan.deadline_ms,
        first_ms=receiver.first_ms,
        total_ms=total_ms,
        tokens=tokens,
        ran=problem.ran,
        kind=problem.type.rpartition(":")[2],
        request_id=request_id,
        address=request.address,
        copied=request.copied,
    )


def _read_stream(body):
    events = [part for part in body.split(b"\n\n") if part.startswith(b"data: ")]
    problem = Problem()
    for part in body.split(b"\n\n"):
        if part.startswith(b"event: error\n"):
            problem = _read_problem(part.partition(b"data: ")[2])
    decoded = [
        msgspec.json.decode(part[len(b"data: ") :], type=wire.StreamEvent)
        for part in events
    ]
    if not decoded or not decoded[-1].end:
        return len(decoded), False, problem
    tokens = decoded[:-1]
    in_order = all(event.n == n for n, event in enumerate(tokens))
    same = len({event.id for event in decoded}) == 1
    complete = in_order and same and decoded[-1].n == len(tokens)
    return len(tokens), complete, problem


def _read_plain(body, request):
    try:
        answer = msgspec.json.decode(body, type=wire.PlainAnswer)
    except msgspec.MsgspecError:
        return False
    return answer.end and answer.result == f"{request.plan.call} ok"


def _read_problem(body):
    try:
        return msgspec.json.decode(body, type=Problem)
    except msgspec.MsgspecError:
        return Problem()


async def put_json(url, value):
    """Sends a structure by PUT.

    :param url: URL.
    :param value: structure to encode.
    """
    response = await treq.put(url, data=msgspec.json.encode(value), timeout=5)
    await treq.content(response)


async def post_json(url, value):
    """Sends a structure by POST.

    :param url: URL.
    :param value: structure to encode.
    """
    response = await treq.post(url, data=msgspec.json.encode(value), timeout=5)
    await treq.content(response)


async def get_json(url, schema):
    """Reads a structure.

    :param url: URL.
    :param schema: its type.
    :return: the structure.
    """
    response = await treq.get(url, timeout=5)
    return msgspec.json.decode(await treq.content(response), type=schema)


def build_url(port, path):
    """Builds the URL of a stand-in.

    :param port: its port.
    :param path: path that begins with a slash.
    :return: URL.
    """
    return f"http://{servers.HOST}:{port}{path}"
