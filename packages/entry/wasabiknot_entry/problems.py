"""Problem details of failed requests, see RFC 9457."""

import msgspec

from wasabiknot_kernel import exceptions

TYPE_PREFIX = "urn:wasabiknot:error:"
CONTENT_TYPE = "application/problem+json"


class Problem(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Problem details with additional members for request id, execution and retry.

    :param type: URI of the error kind.
    :param title: short description of the error kind.
    :param status: HTTP status code.
    :param request_id: id of the request.
    :param ran: whether the request ran: ``no``, ``yes`` or ``unknown``.
    :param retry_after_s: seconds until a retry may succeed; absent if it cannot.
    :param detail: description of this occurrence.
    """

    type: str
    title: str
    status: int
    request_id: str
    ran: str
    retry_after_s: int | None = None
    detail: str = ""


def build_problem(request_id, kind, ran=exceptions.Ran.NO, detail=""):
    """Builds the problem details of an error.

    :param request_id: id of the request.
    :param kind: ``ErrorKind``.
    :param ran: ``exceptions.Ran``.
    :param detail: description of this occurrence.
    :return: ``Problem``.
    """
    template = exceptions.ERROR_TEMPLATES[kind]
    return Problem(
        type=TYPE_PREFIX + kind.value,
        title=template.title,
        status=template.status,
        request_id=request_id,
        ran=ran.value,
        retry_after_s=template.retry_after_s,
        detail=detail,
    )
