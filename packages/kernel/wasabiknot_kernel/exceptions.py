"""Error kinds, their HTTP responses, and the exceptions of the project."""

import enum

import msgspec


class Ran(enum.Enum):
    """Whether a backend server ran the request that an error response answers."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorKind(enum.Enum):
    """All reasons for a response other than a complete result."""

    BAD_REQUEST = "bad-request"
    BODY_TOO_LARGE = "body-too-large"
    HEAD_TOO_LARGE = "head-too-large"
    UNKNOWN_CALL = "unknown-call"
    NOT_READY = "not-ready"
    QUEUE_FULL = "queue-full"
    DEADLINE_UNREACHABLE = "deadline-unreachable"
    DEADLINE_EXCEEDED = "deadline-exceeded"
    NO_WORKER = "no-worker"
    STOPPING = "stopping"
    KEY_MALFORMED = "key-malformed"
    KEY_EXPIRED = "key-expired"
    KEY_REUSED = "key-reused"
    KEY_ELSEWHERE = "key-elsewhere"
    LOG_UNAVAILABLE = "log-unavailable"
    OWNER_GONE = "owner-gone"
    QUARANTINED = "quarantined"
    WORKER_FAILED = "worker-failed"
    OUTCOME_UNKNOWN = "outcome-unknown"
    ALREADY_RAN = "already-ran"
    INCOMPLETE = "incomplete"
    KEY_UNKNOWN = "key-unknown"
    OVER_ALLOWANCE = "over-allowance"
    INTERNAL_ERROR = "internal-error"


class ErrorTemplate(msgspec.Struct, frozen=True):
    """The defaults of the HTTP responses for an error kind.

    :param status: HTTP status code.
    :param title: short message for the caller.
    :param retry_after_s: seconds until a retry may succeed; ``None`` if it cannot.
    """

    status: int
    title: str
    retry_after_s: int | None


ERROR_TEMPLATES = {
    ErrorKind.BAD_REQUEST: ErrorTemplate(400, "The request is malformed.", None),
    ErrorKind.BODY_TOO_LARGE: ErrorTemplate(
        413, "The request body is too large.", None
    ),
    ErrorKind.HEAD_TOO_LARGE: ErrorTemplate(
        431, "The request head is too large.", None
    ),
    ErrorKind.UNKNOWN_CALL: ErrorTemplate(404, "No service offers this call.", None),
    ErrorKind.NOT_READY: ErrorTemplate(503, "This VM has no configuration yet.", 2),
    ErrorKind.QUEUE_FULL: ErrorTemplate(503, "The queue of this tier is full.", 2),
    ErrorKind.DEADLINE_UNREACHABLE: ErrorTemplate(
        503, "The request cannot finish by its deadline.", 2
    ),
    ErrorKind.DEADLINE_EXCEEDED: ErrorTemplate(504, "The deadline has passed.", 2),
    ErrorKind.NO_WORKER: ErrorTemplate(503, "No backend server offers this call.", 2),
    ErrorKind.STOPPING: ErrorTemplate(503, "This VM is shutting down.", 1),
    ErrorKind.KEY_MALFORMED: ErrorTemplate(
        400, "The idempotency key is malformed.", None
    ),
    ErrorKind.KEY_EXPIRED: ErrorTemplate(409, "The idempotency key is too old.", None),
    ErrorKind.KEY_REUSED: ErrorTemplate(
        422, "The idempotency key belongs to another request.", None
    ),
    ErrorKind.KEY_ELSEWHERE: ErrorTemplate(
        409, "Another VM holds the idempotency key and cannot be reached.", 2
    ),
    ErrorKind.LOG_UNAVAILABLE: ErrorTemplate(503, "The log service is unavailable.", 5),
    ErrorKind.OWNER_GONE: ErrorTemplate(
        409, "The VM that held this key is gone.", None
    ),
    ErrorKind.QUARANTINED: ErrorTemplate(
        422, "The content has crashed two backend servers.", None
    ),
    ErrorKind.WORKER_FAILED: ErrorTemplate(502, "The backend server failed.", 1),
    ErrorKind.OUTCOME_UNKNOWN: ErrorTemplate(502, "The outcome was lost.", None),
    ErrorKind.ALREADY_RAN: ErrorTemplate(409, "The request has run already.", None),
    ErrorKind.INCOMPLETE: ErrorTemplate(502, "The answer was cut short.", None),
    ErrorKind.KEY_UNKNOWN: ErrorTemplate(401, "The API key is unknown.", None),
    ErrorKind.OVER_ALLOWANCE: ErrorTemplate(
        429, "The customer's allowance is used up.", 1
    ),
    ErrorKind.INTERNAL_ERROR: ErrorTemplate(503, "This VM has failed.", 1),
}


class WasabiknotError(Exception):
    """Base class of all exceptions of the project."""


class DocumentError(WasabiknotError):
    """A document does not match its schema.

    :param faults: all faults of the document, as ``documents.Fault``.
    """

    def __init__(self, faults):
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = tuple(faults)
