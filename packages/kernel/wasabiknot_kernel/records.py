"""Records of the platform's append-only log."""

import enum

import msgspec

from wasabiknot_kernel import services


class MoveState(enum.Enum):
    """States of the rollout of a version."""

    RUNNING = "running"
    FINISHED = "finished"
    ROLLED_BACK = "taken-back"
    WITHDRAWN = "withdrawn"


class Record(msgspec.Struct, frozen=True, tag_field="type", kw_only=True):
    """Base of all records.

    :param record_id: unique id, which makes it idempotent to apply a record twice.
    """

    record_id: str


class Publication(Record, frozen=True, tag="publication"):
    """A new configuration.

    :param based_on: offset of the publication that the operator has edited.
    :param configuration: configuration to put in force.
    """

    based_on: int
    configuration: services.Configuration


class MoveStep(Record, frozen=True, tag="move-step"):
    """Increases the traffic share of the target version of a rollout.

    :param service: name of the service.
    :param move: offset of the publication that started the rollout.
    :param step: number of the step, counted from 1.
    """

    service: str
    move: int
    step: int


class MoveEnd(Record, frozen=True, tag="move-end"):
    """Ends a rollout, or rolls a finished one back.

    :param service: name of the service.
    :param move: offset of the publication that started the rollout.
    :param state: ``FINISHED`` or ``ROLLED_BACK``.
    :param reason: explanation for the operators.
    """

    service: str
    move: int
    state: MoveState
    reason: str


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """The right to dispatch the request with an idempotency key once.

    :param key: idempotency key, scoped by customer.
    :param issued_ms: time of issue contained in the key, in Unix milliseconds.
    :param fingerprint: hash of the request that uses the key.
    """

    key: str
    issued_ms: int
    fingerprint: str


class ClaimBatch(Record, frozen=True, tag="claims"):
    """Claims of one entry in a single record.

    :param entry: name of the claiming entry.
    :param incarnation: incarnation of the claiming entry.
    :param claims: tuple of ``Claim``.
    """

    entry: str
    incarnation: str
    claims: tuple[Claim, ...]


class Crash(Record, frozen=True, tag="crash"):
    """A crash of a backend server while it ran requests.

    :param contents: content hashes of all requests that it ran.
    :param worker: id of the backend server.
    :param crash: id of the crash, the same in the records of all observers.
    """

    contents: tuple[str, ...]
    worker: str
    crash: str


class Join(Record, frozen=True, tag="join"):
    """An incarnation of an entry joins and becomes eligible to own idempotency keys.

    :param entry: name of the entry.
    :param incarnation: incarnation of the entry.
    """

    entry: str
    incarnation: str


class Leave(Record, frozen=True, tag="leave"):
    """An incarnation of an entry has left or was found to have failed.

    :param entry: name of the entry.
    :param incarnation: incarnation of the entry.
    """

    entry: str
    incarnation: str


class Snapshot(Record, frozen=True, tag="snapshot"):
    """The state that results from all records up to an offset.

    :param based_on: last offset that the state includes.
    :param state: state encoded as JSON.
    """

    based_on: int
    state: str


AnyRecord = (
    Publication | MoveStep | MoveEnd | ClaimBatch | Crash | Join | Leave | Snapshot
)

_decoder = msgspec.json.Decoder(AnyRecord)
_encoder = msgspec.json.Encoder()


def encode_record(record):
    """Encodes a record as JSON.

    :param record: record of any type in ``AnyRecord``.
    :return: JSON bytes.
    """
    return _encoder.encode(record)


def decode_record(data):
    """Decodes a record from JSON.

    :param data: JSON text or bytes.
    :return: record of a type in ``AnyRecord``.
    :raises msgspec.ValidationError: if the data is not a valid record.
    """
    return _decoder.decode(data)


class StampedRecord(msgspec.Struct, frozen=True):
    """A record with the offset and time that the log assigned to it.

    :param offset: offset in the log, counted from 0.
    :param time_ms: time of the append in Unix milliseconds.
    :param record: decoded record; ``None`` if it could not be decoded.
    """

    offset: int
    time_ms: int
    record: AnyRecord | None
