"""Messages: the events that the tasks of an entry report to its node."""

import enum

import msgspec

from wasabiknot_kernel import digests, identifiers, records


class Outcome(enum.Enum):
    """Outcomes of an attempt on a backend server."""

    WHOLE = "whole"
    NOT_SENT = "not-sent"
    REJECTED = "rejected"
    FAILED = "failed"
    CRASHED = "crashed"
    CANCELLED = "cancelled"
    LOST = "lost"


class Message(msgspec.Struct, frozen=True):
    """Base class of all messages."""


class CallReceived(Message, frozen=True):
    """A request was received from a caller.

    :param request_id: id that this entry has assigned.
    :param service: service name.
    :param call: call name.
    :param customer: customer name.
    :param content: hash of the content of the request.
    :param prefix: hash of the start of the prompt, for cache affinity.
    :param prompt_tokens: length of the prompt in tokens.
    :param max_tokens: maximum length of the response in tokens; 0 for a plain service.
    :param key: idempotency key, or ``None``.
    :param key_issued_ms: issue time contained in a caller-chosen key, in Unix
        milliseconds; ``None`` if there is none.
    :param forwarded: whether another entry has forwarded the request.
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
    """The last caller that waited for a request has closed its connection.

    :param request_id: id of the request.
    """

    request_id: identifiers.RequestId


class AttemptStarted(Message, frozen=True):
    """A backend server has sent the first token of a response.

    :param request_id: id of the request.
    """

    request_id: identifiers.RequestId


class AttemptEnded(Message, frozen=True):
    """An attempt on a backend server has ended.

    :param request_id: id of the request.
    :param outcome: outcome of the attempt.
    :param tokens: number of tokens relayed so far in all attempts of the request.
    """

    request_id: identifiers.RequestId
    outcome: Outcome
    tokens: int = 0


class LoadReported(Message, frozen=True):
    """A backend server has reported its load to this entry.

    :param report: ``digests.LoadReport``.
    """

    report: digests.LoadReport


class WorkerUnreachable(Message, frozen=True):
    """A backend server has refused a connection.

    :param worker: id of the backend server.
    """

    worker: identifiers.WorkerId


class VmState(enum.Enum):
    """States of a backend server on the list of VMs."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True):
    """A backend server on the list of VMs.

    :param id: id of the backend server.
    :param address: host and port.
    :param domain: failure domain.
    :param service: name of the service that it runs.
    :param version: name of the version that it runs.
    :param slots: number of requests that it runs concurrently.
    :param state: whether it is live or about to leave.
    """

    id: identifiers.WorkerId
    address: str
    domain: str
    service: str
    version: str
    slots: int
    state: VmState = VmState.LIVE


class EntryVm(msgspec.Struct, frozen=True):
    """An entry on the list of VMs.

    :param name: name of the entry.
    :param http_address: host and port for HTTP requests of callers and peers.
    :param datagram_address: host and port for datagrams.
    :param domain: failure domain.
    """

    name: identifiers.EntryName
    http_address: str
    datagram_address: str
    domain: str


class VmsListed(Message, frozen=True):
    """The platform's list of VMs has been read.

    :param vms: all backend servers on the list.
    :param entries: all entries on the list.
    """

    vms: tuple[Vm, ...]
    entries: tuple[EntryVm, ...] = ()


class LogRead(Message, frozen=True):
    """The log service has responded to a read, possibly without records.

    :param records: records in log order.
    :param head: offset of the next record to be appended.
    :param time_ms: time of the log service in Unix milliseconds.
    """

    records: tuple[records.StampedRecord, ...]
    head: int
    time_ms: int


class LogFailed(Message, frozen=True):
    """A read of the log has failed."""


class StateReceived(Message, frozen=True):
    """A peer has sent its replicated state.

    :param state: ``fold.State`` encoded as JSON.
    """

    state: str


class DigestReceived(Message, frozen=True):
    """A digest has been received from a peer.

    :param digest: ``digests.Digest``.
    """

    digest: digests.Digest


class YieldReceived(Message, frozen=True):
    """A peer asks this entry to preempt a request of lower priority.

    :param demand: ``digests.PreemptionRequest``.
    """

    demand: digests.PreemptionRequest


class CrashReceived(Message, frozen=True):
    """A peer reports a crash of a backend server.

    :param crash: the record that the peer also appends to the log.
    """

    crash: records.Crash


class KeyWanted(Message, frozen=True):
    """A caller asks this entry to issue an idempotency key.

    :param request_id: id of the request for the key.
    """

    request_id: identifiers.RequestId


class StopWanted(Message, frozen=True):
    """A graceful shutdown has been requested."""


class Tick(Message, frozen=True):
    """A timer that fires several times a second."""
