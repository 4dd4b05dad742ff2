"""The tasks that follow the topics of the platform's store."""

import msgspec
from twisted.internet import defer, task

from wasabiknot_entry import calls, journal
from wasabiknot_kernel import events, exceptions, facts
from wasabiknot_platform import stores

# Time that the store may take for an answer, beyond the time that it is told to
# wait for a record.
ANSWER_TIMEOUT_S = 1.0
RETRY_S = 0.25
LONGEST_RETRY_S = 1.0
# Until a topic has been listed this entry can answer nothing.
LONGEST_LIST_RETRY_S = 0.3


class StoreError(exceptions.WasabiknotError):
    """The store refused a call."""


class Store:
    """Calls to the platform's store.

    :param reactor: Twisted reactor.
    :param pool: ``connections.Pool``.
    :param address: host and port of the store.
    """

    def __init__(self, reactor, pool, address):
        self._reactor = reactor
        self._pool = pool
        self._address = address

    def call(self, call, wait_s=0.0):
        """Makes a call.

        :param call: ``stores.Call``.
        :param wait_s: time for which the store was told to wait.
        :return: deferred ``calls.Response``.
        """
        request = calls.build_request(
            call.method, call.target, self._address, call.body
        )
        return calls.call(
            self._reactor,
            self._pool,
            self._address,
            request,
            ANSWER_TIMEOUT_S + wait_s,
        )


class Turn:
    """Whether it is this entry's turn to read the store for its group.

    :param is_reader: function that tells so.
    """

    def __init__(self, is_reader):
        self._is_reader = is_reader
        self._waiting = []

    def wait(self):
        """Waits until it is.

        :return: deferred that fires then.
        """
        if self._is_reader():
            return defer.succeed(None)
        waited = defer.Deferred()
        self._waiting.append(waited)
        return waited

    def review(self):
        """Looks again, as time has passed."""
        if not self._waiting or not self._is_reader():
            return
        waiting, self._waiting = self._waiting, []
        for waited in waiting:
            waited.callback(None)


class Follower:
    """Follows one topic: lists it once, then reads on from there.

    :param reactor: Twisted reactor.
    :param store: ``Store``.
    :param topic: ``facts.Topic``.
    :param receive: function that takes a list of changed facts and their source.
    :param health: ``Health``.
    :param wait_ms: time to wait for a record within one call; 0 to poll.
    :param turn: ``Turn``, whether this entry reads for its group.
    :param find_pause_s: function that returns the pause between two reads.
    """

    def __init__(
        self, reactor, store, topic, receive, health, wait_ms, turn, find_pause_s
    ):
        self._reactor = reactor
        self._store = store
        self._topic = topic
        self._receive = receive
        self._health = health
        self._wait_ms = wait_ms
        self._turn = turn
        self._find_pause_s = find_pause_s
        self._is_listed = False

    def start(self):
        """Starts to follow the topic."""
        self._run().addErrback(journal.log_failure, f"follow {self._topic.name}")

    @defer.inlineCallbacks
    def _run(self):
        retry_s = RETRY_S
        while True:
            if self._is_listed:
                yield self._turn.wait()
            try:
                if self._is_listed:
                    yield self._read()
                else:
                    yield self._list()
                self._health.note_answer()
                retry_s = RETRY_S
                yield self._sleep(self._find_pause_s())
            except (
                calls.CallError,
                StoreError,
                ValueError,
                msgspec.MsgspecError,
            ) as error:
                self._health.note_failure(self._topic.name, error)
                yield self._sleep(retry_s)
                longest_s = LONGEST_RETRY_S if self._is_listed else LONGEST_LIST_RETRY_S
                retry_s = min(2 * retry_s, longest_s)

    def _sleep(self, delay_s):
        return task.deferLater(self._reactor, delay_s)

    @defer.inlineCallbacks
    def _list(self):
        records = []
        end = None
        after = None
        while True:
            call = stores.build_newest(self._topic.name, after)
            response = yield self._store.call(call)
            if response.status != stores.OK:
                raise StoreError(f"status {response.status}")
            page = stores.decode_newest(response.body)
            records.extend(page.records)
            end = page.end if end is None else end
            if not page.has_more or not page.records:
                break
            after = page.records[-1].key
        self._is_listed = True
        found = [_to_fact(record) for record in records]
        self._receive(self._topic.apply_listing(found, end), "store")

    @defer.inlineCallbacks
    def _read(self):
        start = self._topic.position
        call = stores.build_read(self._topic.name, start, self._wait_ms)
        response = yield self._store.call(call, self._wait_ms / 1_000)
        if response.status == stores.GONE:
            self._is_listed = False
            return
        if response.status != stores.OK:
            raise StoreError(f"status {response.status}")
        page = stores.decode_read(response.body, start)
        found = [_to_fact(record) for record in page.records]
        self._receive(self._topic.apply(found, page.end), "store")


def _to_fact(record):
    return facts.Fact(record.key, record.value, record.offset)


class Health:
    """Notes when the store is lost and regained.

    :param reactor: Twisted reactor.
    :param deployment: ``deployments.Deployment``.
    """

    def __init__(self, reactor, deployment):
        self._reactor = reactor
        self._deployment = deployment
        self._lost_s = None

    def note_answer(self):
        """Notes that the store answered."""
        now_s = self._reactor.seconds()
        self._deployment.record_read(now_s)
        if self._lost_s is not None:
            away_ms = round((now_s - self._lost_s) * 1_000)
            journal.write(events.Event.STORE_FOUND, away_ms=away_ms)
            self._lost_s = None

    def note_failure(self, call, error):
        """Notes that a call failed.

        :param call: name of the topic.
        :param error: the exception.
        """
        if self._lost_s is None:
            self._lost_s = self._reactor.seconds()
            journal.write(events.Event.STORE_LOST, call=call, error=str(error))
