"""Registrations of backend servers, and operators' orders to release versions."""

import enum
import typing

import msgspec

from wasabiknot_kernel import routes

ServerId = typing.NewType("ServerId", str)


class ServerState(enum.Enum):
    """States of a backend server in its registration."""

    READY = "ready"
    LEAVING = "leaving"


class Registration(msgspec.Struct, frozen=True):
    """The registration of a backend server.

    :param server_id: id of the backend server.
    :param service: name of its service.
    :param address: host and port.
    :param domain: failure domain in which it runs.
    :param version: version of its software.
    :param slots: number of requests that it runs concurrently.
    :param state: whether it accepts new requests.
    :param warmup_ms: remaining warm-up time in milliseconds, during which it is slow.
    :param started_ms: time of its start in Unix milliseconds.
    """

    server_id: ServerId
    service: routes.ServiceName
    address: str
    domain: str
    version: str
    slots: int
    state: ServerState
    warmup_ms: float = 0
    started_ms: int = 0


class ReleaseOrder(msgspec.Struct, frozen=True):
    """An operator's order to release a version of a service.

    :param service: name of the service.
    :param target: version that is to receive all traffic.
    :param duration_s: time in seconds within which to complete the release.
    :param offset: ``positions.Position`` of the order in the store.
    """

    service: routes.ServiceName
    target: str
    duration_s: float
    offset: int


class ReleaseState(enum.Enum):
    """States of a release in the status that operators read."""

    RUNNING = "running"
    FINISHED = "finished"
    ROLLED_BACK = "taken-back"


class ReleaseStatus(msgspec.Struct, frozen=True):
    """The reported state of a release.

    :param service: name of the service.
    :param target: version that is released.
    :param state: ``ReleaseState``.
    """

    service: routes.ServiceName
    target: str
    state: ReleaseState
