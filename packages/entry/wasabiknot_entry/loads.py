"""Polls the load reports of the backend servers that this entry observes."""

import msgspec
import treq
from twisted.internet import error, task
from twisted.web import client

from wasabiknot_entry import agents, journal
from wasabiknot_kernel import digests, hashing, messages, wire

POLL_INTERVAL_S = 0.5
POLL_TIMEOUT_S = 1.0
OBSERVERS_PER_SERVER = 2


class LoadReader:
    """Polls the load reports of some of the backend servers.

    Rendezvous hashing over the reachable entries assigns two observers to each
    backend server. The other entries receive its load in the digests of these.

    :param node: scheduling node; only read.
    :param bus: ``mailboxes.MessageBus``.
    :param reactor: Twisted reactor.
    :param clock: ``clocks.Clock``.
    """

    def __init__(self, node, bus, reactor, clock):
        self._node = node
        self._bus = bus
        self._clock = clock
        self._pool = client.HTTPConnectionPool(reactor)
        self._http = agents.create_client(reactor, POLL_TIMEOUT_S, self._pool)
        self._poll_loop = task.LoopingCall(self._poll_all)
        self._poll_loop.clock = reactor

    def start(self):
        """Starts polling."""
        self._poll_loop.start(POLL_INTERVAL_S, now=False).addErrback(
            journal.log_failure, "loads"
        )

    def _poll_all(self):
        now_ms = self._clock.now_ms()
        reachable = [
            p.vm.name for p in self._node.roster if not p.is_unreachable(now_ms)
        ]
        names = [self._node.settings.name, *reachable]
        for worker in self._node.fleet:
            observers = hashing.rank_nodes(worker.id, names)[:OBSERVERS_PER_SERVER]
            if self._node.settings.name in observers:
                self._poll(worker)

    def _poll(self, worker):
        url = f"http://{worker.vm.address}/load"
        read = self._http.get(url, timeout=POLL_TIMEOUT_S)
        read.addCallback(treq.content)
        read.addCallback(self._handle_report, worker.id)
        read.addErrback(self._handle_failure, worker.id)

    def _handle_report(self, data, worker_id):
        load = msgspec.json.decode(data, type=wire.WorkerLoad)
        report = digests.LoadReport(
            worker=worker_id,
            running=load.running,
            waiting=load.waiting,
            taken_ms=load.taken_ms,
            leaving=load.leaving,
            boot=load.boot,
        )
        self._bus.publish(messages.LoadReported(report))

    def _handle_failure(self, failure, worker_id):
        self._pool.closeCachedConnections()
        if failure.check(error.ConnectError, error.TimeoutError):
            self._bus.publish(messages.WorkerUnreachable(worker_id))
