"""Effects that a node asks the tasks of its entry to carry out."""

import msgspec

from wasabiknot_kernel import digests, exceptions, identifiers, records


class Effect(msgspec.Struct, frozen=True):
    """Base of all effects."""


class Refuse(Effect, frozen=True):
    """Ends a request with a final answer that is not a whole result.

    :param request_id: the request.
    :param kind: kind of error.
    :param ran: whether the request ran.
    :param retry_after_s: seconds until a retry can succeed, or ``None``.
    """

    request_id: identifiers.RequestId
    kind: exceptions.ErrorKind
    ran: exceptions.Executed
    retry_after_s: int | None


class Complete(Effect, frozen=True):
    """Ends a request whose whole answer has been relayed.

    :param request_id: the request.
    :param keep: whether the answer is kept for a later copy.
    """

    request_id: identifiers.RequestId
    keep: bool


class Dispatch(Effect, frozen=True):
    """Sends a request to a backend server.

    :param request_id: the request.
    :param worker: id of the backend server.
    :param address: its host and port.
    :param is_engine: whether it is a model engine.
    :param timeout_s: time until the attempt is given up.
    """

    request_id: identifiers.RequestId
    worker: identifiers.WorkerId
    address: str
    is_engine: bool
    timeout_s: float


class Resume(Dispatch, frozen=True):
    """Resumes the stream of a request on the backend server that holds it."""


class Cancel(Effect, frozen=True):
    """Cancels the running attempt of a request.

    :param request_id: the request.
    """

    request_id: identifiers.RequestId


class Join(Effect, frozen=True):
    """Attaches a copy of a keyed request to the request that came first.

    :param request_id: the copy.
    :param first: the request that runs or has ended.
    """

    request_id: identifiers.RequestId
    first: identifiers.RequestId


class Forward(Effect, frozen=True):
    """Hands a request over to the entry that holds its key.

    :param request_id: the request.
    :param entry: the holder.
    :param timeout_s: time to wait for the answer of the holder.
    """

    request_id: identifiers.RequestId
    entry: identifiers.EntryName
    timeout_s: float


class DropAnswer(Effect, frozen=True):
    """Drops the kept answer of a request.

    :param request_id: the request.
    """

    request_id: identifiers.RequestId


class IssueKey(Effect, frozen=True):
    """Answers a caller's question for a key.

    :param request_id: id of the question.
    :param key: the key.
    """

    request_id: identifiers.RequestId
    key: identifiers.Key


class Append(Effect, frozen=True):
    """Appends a record to the log.

    :param record: the record.
    """

    record: records.AnyRecord


class SendDigest(Effect, frozen=True):
    """Sends a digest to the peers.

    :param digest: the digest.
    """

    digest: digests.Digest


class SendYield(Effect, frozen=True):
    """Asks one peer for a slot.

    :param entry: the peer.
    :param demand: what is asked for.
    """

    entry: identifiers.EntryName
    demand: digests.YieldDemand


class SendCrash(Effect, frozen=True):
    """Tells the peers of a crash.

    :param crash: the record that is appended as well.
    """

    crash: records.Crash


class ObserveRequest(Effect, frozen=True):
    """Reports a finished request to the histograms.

    :param tier: tier name.
    :param customer: customer name.
    :param first_ms: time to the first token, in milliseconds.
    :param total_ms: time to the end, in milliseconds.
    :param good: whether the whole answer came within the deadline.
    :param ended: ``whole`` or the kind of error.
    """

    tier: str
    customer: str
    first_ms: float
    total_ms: float
    good: bool
    ended: str


class LogEvent(Effect, frozen=True):
    """Asks for a log event.

    :param event: name of the event in the catalogue.
    :param fields: values of the message, as text.
    """

    event: str
    fields: dict[str, str]
