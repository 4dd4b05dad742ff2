"""Addresses in settings."""

import typing

import msgspec

Address = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")
]


class Endpoint(msgspec.Struct, frozen=True):
    """A host and a port.

    :param host: IP number.
    :param port: port number.
    """

    host: str
    port: int


def parse_address(address):
    """Splits an address.

    :param address: host and port, separated by a colon.
    :return: an ``Endpoint``.
    """
    host, _, port = address.rpartition(":")
    return Endpoint(host.strip("[]"), int(port))
