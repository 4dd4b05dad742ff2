"""What backend servers say of themselves, and orders to move traffic."""

import enum
import typing

import msgspec

from wasabiknot_kernel import routes

ServerId = typing.NewType("ServerId", str)


class ServerState(enum.Enum):
    """States that a backend server registers."""

    READY = "ready"
    LEAVING = "leaving"


class Registration(msgspec.Struct, frozen=True):
    """The registration of a backend server.

    :param server_id: its id.
    :param service: its service.
    :param address: host and port.
    :param domain: its failure domain.
    :param version: version of its software.
    :param slots: requests that it runs at once.
    :param state: whether it takes work.
    :param warmup_ms: time for which it stays slow.
    :param born_ms: Unix time of its start.
    """

    server_id: ServerId
    service: routes.ServiceName
    address: str
    domain: str
    version: str
    slots: int
    state: ServerState
    warmup_ms: float = 0
    born_ms: int = 0


class ReleaseOrder(msgspec.Struct, frozen=True):
    """An operator's order to move a service to a version.

    :param service: the service.
    :param target: version that shall carry the traffic.
    :param duration_s: time allowed for it.
    :param offset: position of the order in the store; identifies it.
    """

    service: routes.ServiceName
    target: str
    duration_s: float
    offset: int


class ReleaseState(enum.Enum):
    """States of a move of traffic."""

    RUNNING = "running"
    FINISHED = "finished"
    TAKEN_BACK = "taken-back"


class ReleaseStatus(msgspec.Struct, frozen=True):
    """What was reported on a move.

    :param service: the service.
    :param target: version of the order.
    :param state: how far it is.
    """

    service: routes.ServiceName
    target: str
    state: ReleaseState
