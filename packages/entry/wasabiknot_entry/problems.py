"""Problem details of failed requests, RFC 9457."""

import msgspec

from wasabiknot_kernel import exceptions

PROBLEM_BASE = "urn:wasabiknot:error:"
CONTENT_TYPE = "application/problem+json"


class Problem(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Problem details with the extensions of this system.

    :param type: URI that names the kind of error.
    :param title: short text.
    :param status: HTTP status code.
    :param request_id: id of the request.
    :param ran: ``no``, ``yes`` or ``unknown``.
    :param retry_after_s: seconds until a retry can succeed.
    :param detail: text about this occurrence.
    """

    type: str
    title: str
    status: int
    request_id: str
    ran: str
    retry_after_s: int | None = None
    detail: str = ""


def build_problem(request_id, kind, ran=exceptions.Ran.NO, detail=""):
    """Builds the problem details of an error kind.

    :param request_id: the request.
    :param kind: ``ErrorKind``.
    :param ran: whether the request ran.
    :param detail: text about this occurrence.
    :return: ``Problem``.
    """
    reply = exceptions.ERROR_TEMPLATES[kind]
    return Problem(
        type=PROBLEM_BASE + kind.value,
        title=reply.title,
        status=reply.status,
        request_id=request_id,
        ran=ran.value,
        retry_after_s=reply.retry_after_s,
        detail=detail,
    )
