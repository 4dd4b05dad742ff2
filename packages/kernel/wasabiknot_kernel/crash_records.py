"""Crashes of backend servers, and what the log tells of the requests behind them."""

import enum

import msgspec

from wasabiknot_kernel import decoding


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """A crash of a backend server while it ran a request.

    :param fingerprint: hash of path, caller and body of the request, or the key of a
        part of its prompt.
    :param server: id of the backend server and its start time.
    :param at_s: time of day at which it was stored, in Unix seconds, for operators; 0
        before.
    :param request: for a part, the fingerprint of the request that had it.
    :param responses: complete responses that were known when it was stored: to the
        request since its first crash, or of the part's service and without the part.
    """

    fingerprint: str
    server: str
    at_s: decoding.Number = 0.0
    request: str = ""
    responses: int = 0

    @property
    def key(self):
        """Key of the record in the store."""
        return f"{self.fingerprint}/{self.server}"


class Evidence(enum.Enum):
    """Why a lost response counts as a crash. The values appear in logs."""

    REFUSED = "refused"
    RESTARTED = "restarted"
    REMOVED = "removed"
    REPLACED = "replaced"
    PEER_REFUSED = "peer-refused"
    ENDED_BEFORE = "ended-before"
    PEER = "peer"
    STORE = "store"
    TRIAL = "trial"
    NONE = "none"


class ClearanceReason(enum.Enum):
    """Why a request with crashes is served. The values appear in logs."""

    OUTWEIGHED = "outweighed"
    EXPLAINED = "explained"
    TRIAL = "trial"


class Clearance(msgspec.Struct, frozen=True):
    """A request that is served although backend servers crashed while they ran it.

    :param fingerprint: hash of path, caller and body of the request.
    :param count: crashes that are known.
    :param responses: complete responses since the first of them.
    :param reason: ``ClearanceReason``.
    """

    fingerprint: str
    count: int
    responses: int
    reason: ClearanceReason


class PartVerdict(msgspec.Struct, frozen=True):
    """A prompt part that is refused from now on, or no longer.

    :param key: key of the part.
    :param is_refused: whether requests with it are refused.
    :param count: crashes that are known.
    :param responses: complete responses since shortly before the first of them.
    """

    key: str
    is_refused: bool
    count: int
    responses: int


class Observation(msgspec.Struct, frozen=True):
    """A crash that was recorded, or a lost response that was not attributed to one.

    :param crash: ``Crash``.
    :param evidence: ``Evidence``; ``NONE`` for a response not attributed to a crash.
    :param count: crashes of the request that are known now.
    """

    crash: Crash
    evidence: Evidence
    count: int
