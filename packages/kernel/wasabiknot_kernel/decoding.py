"""Decodes JSON that others have written, and bounds the numbers in it."""

import ipaddress
import typing

import msgspec

# Numbers up to this bound can be added, multiplied and turned into floats.
MAX_NUMBER = 10**15
MAX_PORT = 65_535

Integer = typing.Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Number = typing.Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
# Position of a record, which has the era of the store in its high bits.
Offset = typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Port = typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]


def decode_json(data, type):
    """Decodes JSON into a type.

    :param data: bytes.
    :param type: type of the result.
    :return: the result.
    :raises msgspec.MsgspecError: if it is malformed, nested too deeply or of another
        type.
    """
    try:
        return msgspec.json.decode(data, type=type)
    except RecursionError:
        raise msgspec.DecodeError("nested too deeply") from None
    except UnicodeDecodeError as error:
        raise msgspec.DecodeError(str(error)) from None


def check_address(address):
    """Checks that an address is an IPv4 address and a port, separated by a colon.

    :param address: text.
    :raises msgspec.ValidationError: if it is not.
    """
    host, _, port = address.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not is_number or not 1 <= int(port) <= MAX_PORT:
        raise msgspec.ValidationError(f"bad port in address {address[:60]!r}")
    check_host(host)


def check_host(host):
    """Checks that a host is an IPv4 address.

    :param host: text.
    :raises msgspec.ValidationError: if it is not.
    """
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise msgspec.ValidationError(f"bad host {host[:60]!r}") from None
