"""Cold backend servers, which can take only a part of the usual rate of requests.

A cold server has the rate limit of its service for cold servers, as if it stated one.
The limit holds for all entries together and is divided among them like other limits.

| a server is cold | from | until |
| --- | --- | --- |
| as stated | a registration or a response | the stated time, which may be replaced |
| as presumed | the end of a drain, a broken connection | a fixed time after it |

It is warm when both times are over.
"""

import collections
import enum

import msgspec

from wasabiknot_kernel import deferrals, limits, statements

# Fraction of the tolerance that the senders may use. The rest is for entries with
# another view of who the senders are, and for requests that are delayed in transit.
USED_TOLERANCE = 0.5
# Time for which an entry that becomes a sender waits: the one that it replaces may not
# know of it yet.
TAKEOVER_S = 1.0

# Time for which a broken connection is remembered, so that later reports of it by peers
# are recognized as repeated.
BROKEN_CONNECTION_MEMORY_S = 5.0


class Cause(enum.Enum):
    """Why a backend server counts as cold. The values appear in logs."""

    STATED = "stated"
    DRAIN_ENDED = "its domain returned to service"
    CONNECTION_LOST = "a connection was refused or reset"


class Tolerance(msgspec.Struct, frozen=True):
    """By how much a cold server may get more requests in a second than its limit.

    :param overrun: factor on the limit.
    :param slack: requests on top of that.
    """

    overrun: float = 1.5
    slack: float = 5.0

    def count_senders(self, rate_per_s):
        """Counts the entries that may send, each of which may save up one request.

        :param rate_per_s: limit in requests a second.
        :return: number of entries, at least 1.
        """
        excess = rate_per_s * (self.overrun - 1.0) + self.slack
        return max(1, int(excess * USED_TOLERANCE))


class ColdTime(msgspec.Struct):
    """Until when a backend server counts as cold.

    :param stated_until_s: end of the time that it states, in seconds.
    :param presumed_until_s: end of the time for which it is taken to be cold.
    :param presumed_by: ``Cause`` of the latter.
    """

    stated_until_s: float = 0.0
    presumed_until_s: float = 0.0
    presumed_by: Cause = Cause.CONNECTION_LOST

    @property
    def until_s(self):
        """End of the longer time, in seconds."""
        return max(self.stated_until_s, self.presumed_until_s)

    @property
    def cause(self):
        """The ``Cause`` that holds longer."""
        if self.stated_until_s >= self.presumed_until_s:
            return Cause.STATED
        return self.presumed_by


class BrokenConnection(msgspec.Struct, frozen=True):
    """The newest connection that a backend server has refused or reset.

    :param started_ms: start of the server, in Unix milliseconds; 0 if unknown.
    :param broken_s: time in seconds at which an entry saw it.
    :param source: ``statements.Channel``.
    """

    started_ms: int
    broken_s: float
    source: statements.Channel


class Warmups:
    """The cold backend servers, by their ids.

    :param name: name of this entry.
    :param changes: list to which ``statements.Change`` are added.
    """

    def __init__(self, name, changes):
        self._changes = changes
        self._times = {}
        self._broken_connections = {}
        self.tolerance = Tolerance()
        # Function of a server's id that returns its ``routes.Service`` or None.
        self.find_service = lambda server_id: None
        # Changes of these limits are logged as cold and warm servers instead.
        self.limits = limits.LimitTable(name, collections.deque(maxlen=0))
        self.limits.count_senders = self._count_senders
        self.limits.takeover_s = TAKEOVER_S

    def _count_senders(self, rate_per_s):
        return self.tolerance.count_senders(rate_per_s)

    def record_statement(self, server_id, left_s, now_s):
        """Records what a server, or its registration, states.

        :param server_id: id of the backend server.
        :param left_s: time in seconds for which it is still cold; 0 if it is not.
        :param now_s: current time in seconds.
        """
        if left_s <= 0.0 and server_id not in self._times:
            return
        time = self._times.setdefault(server_id, ColdTime())
        time.stated_until_s = now_s + left_s
        self._update(server_id, now_s)

    def record_drain_end(self, server_id, now_s):
        """Records that the failure domain of a server has returned to service.

        :param server_id: id of the backend server.
        :param now_s: current time in seconds.
        """
        service = self._find_limiting(server_id)
        if service is not None:
            until_s = now_s + service.warmup_s
            self._presume(server_id, until_s, Cause.DRAIN_ENDED, now_s)

    def record_broken_connection(self, server_id, seen, now_s):
        """Records that a server has refused or reset a connection.

        :param server_id: id of the backend server.
        :param seen: ``BrokenConnection``.
        :param now_s: current time in seconds.
        """
        service = self._find_limiting(server_id)
        known = self._broken_connections.get(server_id)
        if service is None or known is not None and known.broken_s >= seen.broken_s:
            return
        self._broken_connections[server_id] = seen
        # The server may restart later, and its new registration is read after that.
        until_s = seen.broken_s + deferrals.RESTART_NEWS_S + service.warmup_s
        self._presume(server_id, until_s, Cause.CONNECTION_LOST, now_s)

    def list_broken_connections(self, now_s, channels):
        """Lists the servers that have recently refused or reset a connection.

        :param now_s: current time in seconds.
        :param channels: set of ``statements.Channel``; only what came by one of them is
            listed.
        :return: tuple of ``statements.BrokenConnectionReport``.
        """
        return tuple(
            statements.BrokenConnectionReport(
                server_id, seen.started_ms, round((now_s - seen.broken_s) * 1_000)
            )
            for server_id, seen in self._broken_connections.items()
            if statements.is_reported(seen.source, seen.broken_s, channels, now_s)
        )

    def _find_limiting(self, server_id):
        service = self.find_service(server_id)
        if service is None or service.warmup_per_s <= 0.0:
            return None
        return service

    def _presume(self, server_id, until_s, cause, now_s):
        time = self._times.setdefault(server_id, ColdTime())
        if until_s > time.presumed_until_s:
            time.presumed_until_s = until_s
            time.presumed_by = cause
        self._update(server_id, now_s)

    def _update(self, server_id, now_s):
        time = self._times[server_id]
        service = self.find_service(server_id)
        if now_s >= time.until_s:
            del self._times[server_id]
            self._end(server_id, now_s)
        elif service is None:
            # Its registration or its configuration isn't known, or not at the moment.
            return
        elif service.warmup_per_s > 0.0:
            self._begin(server_id, service.warmup_per_s, time, now_s)
        else:
            self._end(server_id, now_s)

    def _begin(self, server_id, rate_per_s, time, now_s):
        is_known = self.is_cold(server_id)
        self.limits.record(server_id, rate_per_s, now_s, now_s)
        if not is_known:
            left_s = round(time.until_s - now_s, 3)
            self._announce(server_id, statements.ChangeKind.COLD, left_s, time.cause)

    def _end(self, server_id, now_s):
        if self.is_cold(server_id):
            self.limits.record(server_id, None, now_s, now_s)
            self._announce(server_id, statements.ChangeKind.WARM, None, None)

    def _announce(self, server_id, kind, value, cause):
        own = statements.Channel.OWN
        reason = cause.value if cause is not None else ""
        change = statements.Change(server_id, kind, value, own, reason)
        self._changes.append(change)

    def is_cold(self, server_id):
        """Tells whether a backend server has the limit of cold ones.

        :param server_id: id of the backend server.
        """
        return self.limits.find_rate(server_id) is not None

    def find_left_s(self, server_id, now_s):
        """Finds how long a backend server still counts as cold.

        :param server_id: id of the backend server.
        :param now_s: current time in seconds.
        :return: seconds, 0 if it is warm or its service has no limit for cold ones.
        """
        time = self._times.get(server_id)
        if time is None or not self.is_cold(server_id):
            return 0.0
        return max(0.0, time.until_s - now_s)

    def forget(self, server_id, now_s):
        """Forgets a backend server that has been away for long.

        :param server_id: id of the backend server.
        :param now_s: current time in seconds.
        """
        if self._times.pop(server_id, None) is not None:
            self._end(server_id, now_s)

    def tick(self, now_s, known_ids):
        """Ends the cold times that are over, and chooses the senders again.

        :param now_s: current time in seconds.
        :param known_ids: ids of the registered backend servers.
        """
        for server_id in list(self._times):
            self._update(server_id, now_s)
        for server_id, seen in list(self._broken_connections.items()):
            if now_s - seen.broken_s > BROKEN_CONNECTION_MEMORY_S:
                del self._broken_connections[server_id]
        self.limits.tick(now_s, known_ids)
