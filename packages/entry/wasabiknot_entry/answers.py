"""Final answers of the system's own."""

import msgspec
from twisted.web import http

from wasabiknot_kernel import exceptions

Kind = exceptions.ErrorKind

TEXT_TYPE = b"text/plain"


class Answer(msgspec.Struct, frozen=True):
    """A final answer of the system's own.

    :param kind: kind of error.
    :param status: HTTP status code.
    :param return_s: seconds until a return is likely to succeed, or ``None``.
    :param reason: short text for the log.
    """

    kind: Kind
    status: int
    return_s: float | None
    reason: str


STATUSES = {
    Kind.UNKNOWN_CALL: http.NOT_FOUND,
    Kind.KEY_UNKNOWN: http.UNAUTHORIZED,
    Kind.OVER_ALLOWANCE: 429,
    Kind.BAD_REQUEST: http.BAD_REQUEST,
    Kind.BODY_TOO_LARGE: 413,
}


def write_answer(request, answer):
    """Writes an answer of the system's own.

    :param request: the caller's request.
    :param answer: ``Answer``.
    """
    request.setResponseCode(answer.status)
    body = f"{answer.kind.value}\n".encode()
    request.setHeader(b"content-type", TEXT_TYPE)
    request.setHeader(b"content-length", str(len(body)).encode())
    if answer.return_s is not None:
        request.setHeader(b"retry-after", f"{answer.return_s:.2f}".encode())
    request.write(body)
    request.finish()
