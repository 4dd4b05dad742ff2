"""Network addresses in settings."""

import typing

import msgspec

Address = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")
]


class Endpoint(msgspec.Struct, frozen=True):
    """A host and a port.

    :param host: IP address, without brackets.
    :param port: port number.
    """

    host: str
    port: int


def parse_address(address):
    """Parses an address.

    :param address: host and port, separated by a colon; IPv6 hosts in brackets.
    :return: ``Endpoint``.
    """
    host, _, port = address.rpartition(":")
    return Endpoint(host.strip("[]"), int(port))
