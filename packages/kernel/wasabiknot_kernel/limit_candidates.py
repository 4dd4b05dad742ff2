"""Which entries may share the limit that a backend server states."""

from wasabiknot_kernel import limits


class LimitCandidates:
    """The candidates for the limits of backend servers.

    :param roster: ``members.Roster``.
    """

    def __init__(self, roster):
        self._roster = roster
        # Candidates for the limits of servers that all entries use, of those that this
        # group uses first, and of those of other groups; what they follow from, and
        # when that was last looked up.
        self._all = limits.Candidates(())
        self._own = limits.Candidates(())
        self._remote = limits.Candidates(())
        self._key = None
        self._updated_s = None

    def find(self, dispatcher, server_id, now_s):
        """Finds the candidates for the limit of a backend server.

        :param dispatcher: ``dispatch.Dispatcher`` of its service.
        :param server_id: id of the backend server.
        :param now_s: current time in seconds.
        :return: ``limits.Candidates``.
        """
        self._update(now_s)
        if not dispatcher.is_engine or dispatcher.group_servers is None:
            return self._all
        # Other groups use this engine only while it has ample free slots.
        if server_id in dispatcher.group_servers:
            return self._own
        return self._remote

    def _update(self, now_s):
        if now_s == self._updated_s:
            return
        self._updated_s = now_s
        names = self._roster.list_names(now_s)
        key = (names, self._roster.groups_version)
        if key == self._key:
            return
        self._key = key
        self._replace(names)

    def _replace(self, names):
        group = frozenset(self._roster.group.members)
        own = tuple(name for name in names if name in group)
        others = tuple(name for name in names if name not in group)
        self._all = limits.Candidates(names)
        self._own = limits.Candidates(own, others)
        self._remote = limits.Candidates((), names)
