"""Probes of services whose backend servers don't answer this entry."""

# Time for which a connection must hold to count: some paths accept and reset it.
HOLD_S = 0.1


class Probes:
    """Opens connections to the servers of unreached services, one at a time.

    :param reactor: Twisted reactor.
    :param pool: ``pools.Pool`` of the backend servers.
    :param deployment: ``deployment_views.DeploymentView``.
    """

    def __init__(self, reactor, pool, deployment):
        self._reactor = reactor
        self._pool = pool
        self._deployment = deployment
        self._count = 0

    def check(self):
        """Opens the connections that are due."""
        now_s = self._reactor.seconds()
        paths = self._deployment.paths
        for dispatcher in self._deployment.list_dispatchers():
            if paths.is_probe_due(dispatcher.service, now_s):
                self._probe(dispatcher)

    def _probe(self, dispatcher):
        open_servers = [
            server for server in dispatcher.servers.values() if not server.is_retired
        ]
        if not open_servers:
            return
        self._count += 1
        server = open_servers[self._count % len(open_servers)]
        address = server.registration.address
        # Kept connections may have died with the path.
        self._pool.close_idle(address)
        connecting = self._pool.connect(address)
        connecting.addCallbacks(self._hold, lambda _: None, [dispatcher.service])

    def _hold(self, connection, service):
        self._reactor.callLater(HOLD_S, self._finish, connection, service)

    def _finish(self, connection, service):
        if not connection.transport.connected:
            return
        self._deployment.paths.record_probe(service, self._reactor.seconds())
        self._pool.release(connection, None)
