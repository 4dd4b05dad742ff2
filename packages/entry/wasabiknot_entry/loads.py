"""The task that reads load reports from some of the backend servers."""

import msgspec
import treq
from treq import client as treq_client
from twisted.internet import error, task
from twisted.web import client

from wasabiknot_entry import journal
from wasabiknot_kernel import digests, hashing, messages, wire

READ_INTERVAL_S = 0.5
READ_TIMEOUT_S = 1.0
OBSERVERS = 2


class Loads:
    """Reads the reports of the backend servers that this entry observes.

    Each backend server has two observers, chosen by rendezvous among the live
    entries; the others hear of its load by digest.

    :param node: the scheduling node; read only.
    :param post: message delivery.
    :param reactor: Twisted reactor.
    :param clock: the entry's clock.
    """

    def __init__(self, node, post, reactor, clock):
        self._node = node
        self._post = post
        self._clock = clock
        self._pool = client.HTTPConnectionPool(reactor)
        agent = client.Agent(reactor, connectTimeout=READ_TIMEOUT_S, pool=self._pool)
        self._http = treq_client.HTTPClient(agent)
        self._reader = task.LoopingCall(self._read_all)
        self._reader.clock = reactor

    def start(self):
        """Starts to read."""
        self._reader.start(READ_INTERVAL_S, now=False).addErrback(
            journal.log_failure, "loads"
        )

    def _read_all(self):
        now_ms = self._clock.now_ms()
        live = [p.vm.name for p in self._node.roster if not p.is_unreachable(now_ms)]
        names = [self._node.settings.name, *live]
        for worker in self._node.fleet:
            observers = hashing.rank_nodes(worker.id, names)[:OBSERVERS]
            if self._node.settings.name in observers:
                self._read(worker)

    def _read(self, worker):
        url = f"http://{worker.vm.address}/load"
        read = self._http.get(url, timeout=READ_TIMEOUT_S)
        read.addCallback(treq.content)
        read.addCallback(self._take, worker.id)
        read.addErrback(self._lose, worker.id)

    def _take(self, data, worker_id):
        load = msgspec.json.decode(data, type=wire.WorkerLoad)
        report = digests.LoadReport(
            worker=worker_id,
            running=load.running,
            waiting=load.waiting,
            taken_ms=load.taken_ms,
            leaving=load.leaving,
            boot=load.boot,
        )
        self._post.send(messages.LoadReported(report))

    def _lose(self, failure, worker_id):
        self._pool.closeCachedConnections()
        if failure.check(error.ConnectError, error.TimeoutError):
            self._post.send(messages.WorkerUnreachable(worker_id))
