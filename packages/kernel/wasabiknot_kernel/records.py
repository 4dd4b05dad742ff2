"""Records of the platform's append-only log."""

import enum

import msgspec

from wasabiknot_kernel import services


class MoveState(enum.Enum):
    """States of a move of traffic to a new version."""

    RUNNING = "running"
    FINISHED = "finished"
    TAKEN_BACK = "taken-back"
    WITHDRAWN = "withdrawn"


class Record(msgspec.Struct, frozen=True, tag_field="type", kw_only=True):
    """Base of all records.

    :param record_id: unique id; a record applied twice changes nothing.
    """

    record_id: str


class Publication(Record, frozen=True, tag="publication"):
    """A new configuration.

    :param based_on: offset of the publication that the operator saw.
    :param configuration: the configuration to put in force.
    """

    based_on: int
    configuration: services.Configuration


class MoveStep(Record, frozen=True, tag="move-step"):
    """Grows the share of a move's target version.

    :param service: service that moves.
    :param move: offset of the publication that began the move.
    :param step: number of the step, counted from 1.
    """

    service: str
    move: int
    step: int


class MoveEnd(Record, frozen=True, tag="move-end"):
    """Ends a move, or takes a finished one back.

    :param service: service that moves.
    :param move: offset of the publication that began the move.
    :param state: ``FINISHED`` or ``TAKEN_BACK``.
    :param reason: text for the operators.
    """

    service: str
    move: int
    state: MoveState
    reason: str


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """The permit to dispatch the request of one caller-chosen key once.

    :param key: key, scoped by customer.
    :param issued_ms: issue time that the key carries, in Unix milliseconds.
    :param fingerprint: hash of the request that the key belongs to.
    """

    key: str
    issued_ms: int
    fingerprint: str


class ClaimBatch(Record, frozen=True, tag="claims"):
    """Claims of one entry, appended together.

    :param entry: name of the claiming entry.
    :param incarnation: its incarnation.
    :param claims: the claims.
    """

    entry: str
    incarnation: str
    claims: tuple[Claim, ...]


class Crash(Record, frozen=True, tag="crash"):
    """A backend server crashed while it ran some content.

    :param contents: hashes of all contents that ran on it.
    :param worker: id of the backend server.
    :param crash: id of the crash, the same for every observer's record.
    """

    contents: tuple[str, ...]
    worker: str
    crash: str


class Join(Record, frozen=True, tag="join"):
    """An incarnation of an entry can be the home of keys.

    :param entry: name of the entry.
    :param incarnation: its incarnation.
    """

    entry: str
    incarnation: str


class Leave(Record, frozen=True, tag="leave"):
    """An incarnation of an entry leaves or was found to be gone.

    :param entry: name of the entry.
    :param incarnation: its incarnation.
    """

    entry: str
    incarnation: str


class Snapshot(Record, frozen=True, tag="snapshot"):
    """The folded state as of an earlier offset.

    :param based_on: the last offset that the state contains.
    :param state: the state, encoded as JSON.
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

    :param record: a record.
    :return: JSON bytes.
    """
    return _encoder.encode(record)


def decode_record(data):
    """Decodes a record from JSON.

    :param data: JSON text or bytes.
    :return: a record.
    :raises msgspec.ValidationError: if the data is no record.
    """
    return _decoder.decode(data)


class StampedRecord(msgspec.Struct, frozen=True):
    """A record with its place in the log.

    :param offset: offset, counted from 0.
    :param time_ms: time that the log gave it, in Unix milliseconds.
    :param record: the record; ``None`` if it could not be decoded.
    """

    offset: int
    time_ms: int
    record: AnyRecord | None
