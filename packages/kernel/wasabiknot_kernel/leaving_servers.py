"""Backend servers that have stated that they are leaving, by their id and start."""

import msgspec

from wasabiknot_kernel import statements

# Time for which a leaving server that isn't registered is remembered: its registration
# may come back after an outage of the store.
LEAVING_MEMORY_S = 300.0


class Leaving(msgspec.Struct):
    """The statement of one start of a backend server that it is leaving.

    :param stated_s: time in seconds at which this entry learned it.
    :param source: ``statements.Channel``.
    """

    stated_s: float
    source: statements.Channel


class LeavingTable:
    """The starts of backend servers that are leaving.

    Peers may still report an earlier start of a server.

    :param changes: list to which ``statements.Change`` are added.
    """

    def __init__(self, changes):
        self._changes = changes
        self._leaving = {}

    def record(self, server_id, started_ms, source, now_s):
        """Records that a start of a backend server is leaving.

        :param server_id: id of the backend server.
        :param started_ms: start of the server, in Unix milliseconds; 0 if unknown.
        :param source: ``statements.Channel``.
        :param now_s: current time in seconds.
        """
        if self.is_leaving(server_id, started_ms):
            return
        self._leaving[server_id, started_ms] = Leaving(now_s, source)
        kind = statements.ChangeKind.LEAVING
        self._changes.append(statements.Change(server_id, kind, None, source))

    def list_reports(self, now_s, channels):
        """Lists the servers that have recently stated that they leave, for a digest.

        :param now_s: current time in seconds.
        :param channels: set of ``statements.Channel``; only what came by one of them is
            listed.
        :return: tuple of ``statements.LeavingReport``.
        """
        return tuple(
            statements.LeavingReport(server_id, started_ms)
            for (server_id, started_ms), leaving in self._leaving.items()
            if statements.is_reported(leaving.source, leaving.stated_s, channels, now_s)
        )

    def is_leaving(self, server_id, started_ms):
        """Tells whether a start of a backend server is leaving.

        :param server_id: id of the backend server.
        :param started_ms: start of the server, in Unix milliseconds; 0 if unknown.
        """
        return (server_id, started_ms) in self._leaving

    def list_ids(self, starts):
        """Lists the backend servers that are leaving.

        :param starts: mapping of ids to the known starts, in Unix milliseconds.
        :return: list of ids.
        """
        return [
            server_id
            for server_id, started_ms in self._leaving
            if starts.get(server_id) == started_ms
        ]

    def drop_expired(self, is_registered, now_s):
        """Drops what is too old to matter.

        :param is_registered: function of an id and a start that tells whether that
            start of the server is registered.
        :param now_s: current time in seconds.
        """
        for key, leaving in list(self._leaving.items()):
            is_old = now_s - leaving.stated_s > LEAVING_MEMORY_S
            if is_old and not is_registered(*key):
                del self._leaving[key]
