"""Effects: the actions that a node requests from the tasks of its entry."""

import msgspec

from wasabiknot_kernel import digests, exceptions, identifiers, records


class Effect(msgspec.Struct, frozen=True):
    """Base class of all effects."""


class Refuse(Effect, frozen=True):
    """Ends a request with an error response.

    :param request_id: id of the request.
    :param kind: error kind.
    :param ran: whether a backend server ran the request.
    :param retry_after_s: seconds until a retry may succeed; ``None`` if it cannot.
    """

    request_id: identifiers.RequestId
    kind: exceptions.ErrorKind
    ran: exceptions.Ran
    retry_after_s: int | None


class Complete(Effect, frozen=True):
    """Ends a request whose complete response has been relayed.

    :param request_id: id of the request.
    :param keep: whether to keep the response for duplicates of the request.
    """

    request_id: identifiers.RequestId
    keep: bool


class Dispatch(Effect, frozen=True):
    """Sends a request to a backend server.

    :param request_id: id of the request.
    :param worker: id of the backend server.
    :param address: host and port of the backend server.
    :param is_engine: whether the backend server is a model engine.
    :param timeout_s: timeout of the attempt, in seconds.
    :param is_replaceable: whether the request may be sent again if this attempt ends
        before the first token.
    """

    request_id: identifiers.RequestId
    worker: identifiers.WorkerId
    address: str
    is_engine: bool
    timeout_s: float
    is_replaceable: bool = False


class Resume(Dispatch, frozen=True):
    """Resumes the stream of a request on the backend server that paused it."""


class Cancel(Effect, frozen=True):
    """Cancels the running attempt of a request.

    :param request_id: id of the request.
    """

    request_id: identifiers.RequestId


class Join(Effect, frozen=True):
    """Attaches a duplicate to the first request with the same idempotency key.

    :param request_id: id of the duplicate.
    :param first: id of the first request, which is in flight or has ended.
    """

    request_id: identifiers.RequestId
    first: identifiers.RequestId


class Forward(Effect, frozen=True):
    """Forwards a request to the entry that owns its idempotency key.

    :param request_id: id of the request.
    :param entry: name of the owner.
    :param timeout_s: time to wait for the owner's response, in seconds.
    """

    request_id: identifiers.RequestId
    entry: identifiers.EntryName
    timeout_s: float


class Forget(Effect, frozen=True):
    """Discards the response that was kept for duplicates of a request.

    :param request_id: id of the request.
    """

    request_id: identifiers.RequestId


class IssueKey(Effect, frozen=True):
    """Issues an idempotency key to a caller.

    :param request_id: id of the caller's request for a key.
    :param key: the issued key.
    """

    request_id: identifiers.RequestId
    key: identifiers.Key


class Append(Effect, frozen=True):
    """Appends a record to the log.

    :param record: record to append.
    """

    record: records.AnyRecord


class SendDigest(Effect, frozen=True):
    """Sends a digest to all peers.

    :param digest: state summary of this entry.
    """

    digest: digests.Digest


class SendYield(Effect, frozen=True):
    """Asks a peer to preempt a less urgent request on a backend server.

    :param entry: name of the peer.
    :param demand: backend server and tier rank of the waiting request.
    """

    entry: identifiers.EntryName
    demand: digests.PreemptionRequest


class SendCrash(Effect, frozen=True):
    """Notifies the peers of a backend server's crash.

    :param crash: record of the crash, which is also appended to the log.
    """

    crash: records.Crash


class ObserveRequest(Effect, frozen=True):
    """Adds a finished request to the latency histograms.

    :param tier: tier name.
    :param customer: customer name.
    :param first_ms: time from arrival to the first token, in milliseconds.
    :param total_ms: time from arrival to the end, in milliseconds.
    :param good: whether the response was complete by the deadline.
    :param ended: ``whole`` or the error kind.
    """

    tier: str
    customer: str
    first_ms: float
    total_ms: float
    good: bool
    ended: str


class LogEvent(Effect, frozen=True):
    """Writes a log event.

    :param event: member name of ``events.Event``.
    :param fields: values of the fields of the message, as text.
    """

    event: str
    fields: dict[str, str]
