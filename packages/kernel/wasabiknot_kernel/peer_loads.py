"""The load that peers and other groups state to have put on backend servers."""


class PeerLoads:
    """Keeps the loads by source and notes them at the backend servers.

    :param find_server: function that maps the id of a backend server to its
        ``servers.Server``, or to ``None`` if it is not registered here.
    """

    def __init__(self, find_server):
        self._find_server = find_server
        self._loads = {}

    def apply(self, source, loads):
        """Replaces the loads of a peer or of another group.

        :param source: name of the peer or group.
        :param loads: mapping of ids of backend servers to ``servers.PeerLoad``.
        """
        previous = self._loads.get(source, {})
        if previous == loads and source in self._loads:
            return
        for server_id in previous.keys() - loads.keys():
            self._set_load(server_id, source, None)
        for server_id, load in loads.items():
            if previous.get(server_id) != load:
                self._set_load(server_id, source, load)
        self._loads[source] = loads

    def apply_known(self, server):
        """Notes the loads that were reported before a backend server was registered.

        :param server: ``servers.Server``.
        """
        for source, loads in self._loads.items():
            if server.server_id in loads:
                server.peer_loads[source] = loads[server.server_id]

    def drop_others(self, sources):
        """Drops the loads of all sources but some.

        :param sources: set of the names of the peers and groups to keep.
        :return: set of the names of those dropped.
        """
        dropped = self._loads.keys() - sources
        for source in dropped:
            self.apply(source, {})
            del self._loads[source]
        return dropped

    def _set_load(self, server_id, source, load):
        server = self._find_server(server_id)
        if server is None:
            return
        if load is None:
            server.peer_loads.pop(source, None)
        else:
            server.peer_loads[source] = load
