"""Messages that the tasks of an entry send to its node."""

import enum

import msgspec

from wasabiknot_kernel import digests, identifiers, records


class Outcome(enum.Enum):
    """How an attempt on a backend server ended."""

    WHOLE = "whole"
    NOT_SENT = "not-sent"
    REJECTED = "rejected"
    FAILED = "failed"
    CRASHED = "crashed"
    CANCELLED = "cancelled"
    LOST = "lost"


class Message(msgspec.Struct, frozen=True):
    """Base of all messages."""


class CallReceived(Message, frozen=True):
    """A caller sent a request.

    :param request_id: id minted by this entry.
    :param service: service name.
    :param call: call name.
    :param customer: customer name.
    :param content: hash of the request's content.
    :param prefix: hash of the start of the prompt, for cache affinity.
    :param prompt_tokens: length of the prompt, in tokens.
    :param max_tokens: largest answer, in tokens.
    :param key: idempotency key of the caller, or ``None``.
    :param key_issued_ms: issue time that a caller-chosen key carries.
    :param forwarded: whether another entry handed the request over.
    """

    request_id: identifiers.RequestId
    service: str
    call: str
    customer: str
    content: str
    prefix: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0
    key: str | None = None
    key_issued_ms: int | None = None
    forwarded: bool = False


class CallerGone(Message, frozen=True):
    """The last caller of a request closed its connection.

    :param request_id: the request.
    """

    request_id: identifiers.RequestId


class AttemptStarted(Message, frozen=True):
    """A backend server sent the first token of an answer.

    :param request_id: the request.
    """

    request_id: identifiers.RequestId


class AttemptEnded(Message, frozen=True):
    """An attempt on a backend server ended.

    :param request_id: the request.
    :param outcome: how it ended.
    :param tokens: tokens relayed by the whole request so far.
    """

    request_id: identifiers.RequestId
    outcome: Outcome
    tokens: int = 0


class LoadReported(Message, frozen=True):
    """A backend server reported its load to this entry.

    :param report: the report.
    """

    report: digests.LoadReport


class WorkerUnreachable(Message, frozen=True):
    """A backend server refused connections.

    :param worker: id of the backend server.
    """

    worker: identifiers.WorkerId


class VmState(enum.Enum):
    """States of a VM on the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True):
    """A backend server on the platform's list of VMs.

    :param id: id of the backend server.
    :param address: host and port.
    :param domain: failure domain.
    :param service: service that it runs.
    :param version: version that it runs.
    :param slots: requests that it runs at once.
    :param state: live or leaving.
    """

    id: identifiers.WorkerId
    address: str
    domain: str
    service: str
    version: str
    slots: int
    state: VmState = VmState.LIVE


class EntryVm(msgspec.Struct, frozen=True):
    """A VM of the system on the platform's list.

    :param name: name of the entry.
    :param http_address: host and port for callers and peers.
    :param datagram_address: host and port for digests.
    :param domain: failure domain.
    """

    name: identifiers.EntryName
    http_address: str
    datagram_address: str
    domain: str


class VmsListed(Message, frozen=True):
    """The list of VMs was read.

    :param vms: all listed backend servers.
    :param entries: all listed VMs of the system.
    """

    vms: tuple[Vm, ...]
    entries: tuple[EntryVm, ...] = ()


class LogRead(Message, frozen=True):
    """Records were read from the log.

    :param records: records in log order.
    :param head: offset that the next append will get.
    :param time_ms: time of the log service.
    """

    records: tuple[records.StampedRecord, ...]
    head: int
    time_ms: int


class LogFailed(Message, frozen=True):
    """The log service did not answer."""


class StateReceived(Message, frozen=True):
    """A peer sent its folded state.

    :param state: state, encoded as JSON.
    """

    state: str


class DigestReceived(Message, frozen=True):
    """A digest arrived from a peer.

    :param digest: the digest.
    """

    digest: digests.Digest


class YieldReceived(Message, frozen=True):
    """A peer asks for a slot for more urgent work.

    :param demand: what the peer asks for.
    """

    demand: digests.PreemptionRequest


class CrashReceived(Message, frozen=True):
    """A peer reports a crash.

    :param crash: the record that the peer appends as well.
    """

    crash: records.Crash


class KeyWanted(Message, frozen=True):
    """A caller asks for an idempotency key issued by this entry.

    :param request_id: id of the question.
    """

    request_id: identifiers.RequestId


class StopWanted(Message, frozen=True):
    """A graceful shutdown begins."""


class Tick(Message, frozen=True):
    """Time passed; sent several times a second."""
