"""Request bodies: checked content and what the scheduler needs of it."""

import typing

import msgspec
from returns import result

from wasabiknot_kernel import exceptions, hashing

BYTES_PER_TOKEN = 4
PREFIX_BYTES = 1_024
MIN_PREFIX_BYTES = 256


class CallBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The JSON body of a call.

    :param prompt: prompt of a model engine, or content for a plain service.
    :param max_tokens: largest answer in tokens; 0 for a plain service.
    """

    prompt: str
    max_tokens: typing.Annotated[int, msgspec.Meta(ge=0, le=131_072)] = 0


class Content(msgspec.Struct, frozen=True):
    """A checked body.

    :param body: the body.
    :param fingerprint: hash of the content.
    :param prefix: hash of the start of the prompt; empty for short prompts.
    :param prompt_tokens: estimated length of the prompt.
    """

    body: CallBody
    fingerprint: str
    prefix: str
    prompt_tokens: int


_decoder = msgspec.json.Decoder(CallBody)


def read_body(data, service, call):
    """Reads the body of a call.

    :param data: JSON bytes.
    :param service: service name.
    :param call: call name.
    :return: ``Success(Content)`` or ``Failure(WasabiknotError)``.
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
        Content(
            body=body,
            fingerprint=hashing.hash_bytes(scope + prompt),
            prefix=prefix,
            prompt_tokens=len(prompt) // BYTES_PER_TOKEN + 1,
        )
    )


def read_issue_time(key):
    """Reads the issue time of a UUIDv7 key, RFC 9562.

    :param key: text from the caller.
    :return: Unix milliseconds, or ``None`` if it is no UUIDv7.
    """
    digits = key.replace("-", "").lower()
    if len(key) != 36 or len(digits) != 32 or digits[12] != "7":
        return None
    try:
        return int(digits, 16) >> 80
    except ValueError:
        return None
