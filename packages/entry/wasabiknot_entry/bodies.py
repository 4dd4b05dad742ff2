"""Parses and validates the bodies of calls and their idempotency keys."""

import typing

import msgspec
from returns import result

from wasabiknot_kernel import exceptions, hashing

BYTES_PER_TOKEN = 4
PREFIX_BYTES = 1_024
MIN_PREFIX_BYTES = 256


class CallBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """JSON body of a call.

    :param prompt: prompt for a model engine, or input of a plain service.
    :param max_tokens: maximum length of the response, in tokens; 0 for a plain
        service.
    """

    prompt: str
    max_tokens: typing.Annotated[int, msgspec.Meta(ge=0, le=131_072)] = 0


class ParsedBody(msgspec.Struct, frozen=True):
    """A valid body, with the values that the scheduler derives from it.

    :param body: ``CallBody``.
    :param fingerprint: hash of service, call and body.
    :param prefix: hash of the start of the prompt, for cache affinity; empty for
        short prompts.
    :param prompt_tokens: estimated length of the prompt, in tokens.
    """

    body: CallBody
    fingerprint: str
    prefix: str
    prompt_tokens: int


_decoder = msgspec.json.Decoder(CallBody)


def parse_body(data, service, call):
    """Parses and validates the body of a call.

    :param data: JSON bytes.
    :param service: service name.
    :param call: call name.
    :return: ``Success(ParsedBody)`` or ``Failure(WasabiknotError)``.
    """
    try:
        body = _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return result.Failure(exceptions.WasabiknotError(f"body: {error}"))
    prompt = body.prompt.encode()
    prefix = ""
    if len(prompt) >= MIN_PREFIX_BYTES:
        prefix = hashing.hash_bytes(prompt[:PREFIX_BYTES])
    scope = f"{service}/{call}/{body.max_tokens}/".encode()
    return result.Success(
        ParsedBody(
            body=body,
            fingerprint=hashing.hash_bytes(scope + prompt),
            prefix=prefix,
            prompt_tokens=len(prompt) // BYTES_PER_TOKEN + 1,
        )
    )


def parse_issue_time(key):
    """Extracts the timestamp of a UUIDv7 key, see RFC 9562.

    :param key: idempotency key from the caller.
    :return: Unix time in milliseconds, or ``None`` if the key is not a UUIDv7.
    """
    digits = key.replace("-", "").lower()
    if len(key) != 36 or len(digits) != 32 or digits[12] != "7":
        return None
    try:
        return int(digits, 16) >> 80
    except ValueError:
        return None
