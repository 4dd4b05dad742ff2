"""What backend servers state about themselves in their responses."""

import enum

import msgspec

# Time for which a statement is passed on to peers.
REPORT_S = 1.0
# Time for which a server that isn't registered is remembered: after an outage of the
# store its registration comes back.
UNREGISTERED_MEMORY_S = 60.0


class Channel(enum.Enum):
    """How a statement has reached this entry."""

    OWN = "response"
    GROUP = "peer of the group"
    REMOTE = "another group"


class Statement(msgspec.Struct, frozen=True):
    """What one response states about the backend server that sent it.

    :param limit_per_s: requests a second that the server takes from all entries
        together; ``None`` if it states no limit.
    :param is_limit_unreadable: whether it states a limit that can't be read.
    :param is_leaving: whether the server is about to end.
    :param retry_after_s: time in seconds for which the server, having rejected the
        request, wants none from this entry; ``None`` if it doesn't say so.
    :param problems: texts on the values that could not be read.
    :param rejections_per_s: rejections a second that a server of its service bears
        without falling over; ``None`` if it doesn't say so.
    :param cold_s: time in seconds for which the server is still cold; ``None`` if it
        doesn't say so.
    """

    limit_per_s: float | None = None
    is_limit_unreadable: bool = False
    is_leaving: bool = False
    retry_after_s: float | None = None
    problems: tuple[str, ...] = ()
    rejections_per_s: int | None = None
    cold_s: float | None = None


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """The limit of a backend server in a digest.

    :param server_id: id of the server.
    :param rate_per_s: requests a second from all entries together; ``None`` if the
        server states no limit any more.
    :param age_ms: time in milliseconds since an entry read this.
    """

    server_id: str
    rate_per_s: float | None
    age_ms: int


class LeavingReport(msgspec.Struct, frozen=True, array_like=True):
    """A backend server that states that it is leaving, in a digest.

    :param server_id: id of the server.
    :param started_ms: its start, in Unix milliseconds; 0 if unknown.
    """

    server_id: str
    started_ms: int


class BrokenConnectionReport(msgspec.Struct, frozen=True, array_like=True):
    """A backend server that has refused or reset a connection, in a digest.

    :param server_id: id of the server.
    :param started_ms: its start, in Unix milliseconds; 0 if unknown.
    :param age_ms: time in milliseconds since then.
    """

    server_id: str
    started_ms: int
    age_ms: int


class ServerState(msgspec.Struct, frozen=True):
    """What holds for a backend server by its statements.

    :param server_id: id of the server.
    :param limit_per_s: requests a second from all entries together, or ``None``.
    :param is_leaving: whether the server has stated that it is leaving.
    :param deferred_s: time in seconds for which it still wants no request.
    :param cold_s: time in seconds for which it still counts as cold.
    """

    server_id: str
    limit_per_s: float | None
    is_leaving: bool
    deferred_s: float
    cold_s: float


class ChangeKind(enum.Enum):
    """What has changed about a backend server."""

    LIMITED = "limited"
    UNLIMITED = "unlimited"
    LEAVING = "leaving"
    DEFERRING = "deferring"
    COLD = "cold"
    WARM = "warm"


def is_reported(channel, stated_s, channels, now_s):
    """Tells whether a statement belongs into a digest.

    :param channel: ``Channel`` by which it reached this entry.
    :param stated_s: time in seconds at which it was last stated.
    :param channels: set of ``Channel``; what came by another one is left out.
    :param now_s: current time in seconds.
    :return: ``True`` for a recent one.
    """
    return channel in channels and now_s - stated_s < REPORT_S


class Change(msgspec.Struct, frozen=True):
    """A change of what is known of a backend server, for the log.

    :param server_id: id of the server.
    :param kind: ``ChangeKind``.
    :param value: limit in requests a second, or time in seconds for which the server
        wants no request or is cold.
    :param source: ``Channel``.
    :param reason: short text; only of cold servers.
    """

    server_id: str
    kind: ChangeKind
    value: float | None
    source: Channel
    reason: str = ""
