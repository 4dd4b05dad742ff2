"""Error responses that the entry generates itself."""

import msgspec
from twisted.web import http

from wasabiknot_kernel import exceptions

Kind = exceptions.ErrorKind

CONTENT_TYPE = b"text/plain"


class ErrorResponse(msgspec.Struct, frozen=True):
    """An error response that the entry generates itself.

    :param kind: error kind; its value is the body of the response.
    :param status: HTTP status code.
    :param retry_after_s: value of the ``Retry-After`` header in seconds; ``None`` to
        leave the header out.
    :param reason: short text for the log.
    :param fingerprint: fingerprint of the request, where it decided.
    """

    kind: Kind
    status: int
    retry_after_s: float | None
    reason: str
    fingerprint: str = ""


# Names the error kind to the peer that has handed the request over. Other responses are
# those of a backend server.
KIND_HEADER = b"wasabiknot-relay-error"
STATUS_BY_KIND = {
    Kind.UNKNOWN_CALL: http.NOT_FOUND,
    Kind.KEY_UNKNOWN: http.UNAUTHORIZED,
    Kind.OVER_ALLOWANCE: 429,
    Kind.BAD_REQUEST: http.BAD_REQUEST,
    Kind.BODY_TOO_LARGE: 413,
    Kind.HEAD_TOO_LARGE: 431,
}


def render_error(error, is_taken_over=False):
    """Renders the response to a request that is refused while it is arriving.

    :param error: ``ErrorResponse``.
    :param is_taken_over: whether a peer has handed the request over.
    :return: bytes of a response that closes the connection.
    """
    body = _build_body(error)
    phrase = http.RESPONSES.get(error.status, b"")
    lines = [b"HTTP/1.1 %d %s" % (error.status, phrase), b"connection: close"]
    fields = _list_fields(error, body, is_taken_over)
    lines += [b"%s: %s" % field for field in fields]
    return b"\r\n".join([*lines, b"", body])


def write_error(request, error):
    """Sends an error response to the caller and finishes the request.

    :param request: ``caller_requests.CallerRequest``.
    :param error: ``ErrorResponse``.
    """
    request.setResponseCode(error.status)
    body = _build_body(error)
    for name, value in _list_fields(error, body, request.is_taken_over):
        request.setHeader(name, value)
    request.write(body)
    request.finish()


def _build_body(error):
    return f"{error.kind.value}\n".encode()


def _list_fields(error, body, is_taken_over):
    fields = [
        (b"content-type", CONTENT_TYPE),
        (b"content-length", str(len(body)).encode()),
    ]
    if error.retry_after_s is not None:
        fields.append((b"retry-after", f"{error.retry_after_s:.2f}".encode()))
    if is_taken_over:
        fields.append((KIND_HEADER, error.kind.value.encode()))
    return fields
