"""Follows the topics of the store and tracks whether the store is available."""

import msgspec
from twisted.internet import defer, task

from wasabiknot_entry import calls, journal
from wasabiknot_kernel import events, exceptions, facts
from wasabiknot_platform import stores

# Timeout of a call, on top of the long-poll wait that it requests.
RESPONSE_TIMEOUT_S = 1.0
MIN_RETRY_DELAY_S = 0.25
MAX_RETRY_DELAY_S = 1.0
# The entry cannot serve requests until its topics are listed, so a listing is retried
# more often than a read.
MAX_LIST_RETRY_DELAY_S = 0.3


class StoreError(exceptions.WasabiknotError):
    """The store responded to a call with an error status."""


class StoreClient:
    """HTTP client of the platform's store.

    :param reactor: Twisted reactor.
    :param pool: ``connections.Pool``.
    :param address: host and port of the store.
    """

    def __init__(self, reactor, pool, address):
        self._reactor = reactor
        self._pool = pool
        self._address = address

    def call(self, call, wait_s=0.0):
        """Sends a call to the store.

        :param call: ``stores.Call``.
        :param wait_s: long-poll wait that the call requests, in seconds; added to the
            timeout.
        :return: deferred ``calls.Response``; fails with ``calls.CallError``.
        """
        request = calls.build_request(
            call.method, call.target, self._address, call.body
        )
        return calls.call(
            self._reactor,
            self._pool,
            self._address,
            request,
            RESPONSE_TIMEOUT_S + wait_s,
        )


class ReaderRole:
    """Blocks followers while another entry reads the store for the group.

    :param should_read: function that returns whether this entry is the reader.
    """

    def __init__(self, should_read):
        self._should_read = should_read
        self._waiters = []

    def wait(self):
        """Waits until this entry is the reader.

        :return: deferred that fires with ``None``.
        """
        if self._should_read():
            return defer.succeed(None)
        waiter = defer.Deferred()
        self._waiters.append(waiter)
        return waiter

    def update(self):
        """Resumes the waiting followers if this entry has become the reader."""
        if not self._waiters or not self._should_read():
            return
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.callback(None)


class Follower:
    """Follows one topic: lists it once, then reads new records from there.

    It lists the topic again when the store no longer holds the records that follow
    its position.

    :param reactor: Twisted reactor.
    :param store: ``StoreClient``.
    :param topic: ``facts.Topic``.
    :param apply_facts: function of a list of changed facts and the name of their
        source.
    :param health: ``StoreHealth``.
    :param long_poll_ms: long-poll wait for a new record, in milliseconds; 0 returns
        at once.
    :param reader_role: ``ReaderRole``.
    :param compute_poll_interval_s: function that returns the pause between two
        reads, in seconds.
    """

    def __init__(
        self,
        reactor,
        store,
        topic,
        apply_facts,
        health,
        long_poll_ms,
        reader_role,
        compute_poll_interval_s,
    ):
        self._reactor = reactor
        self._store = store
        self._topic = topic
        self._apply_facts = apply_facts
        self._health = health
        self._long_poll_ms = long_poll_ms
        self._reader_role = reader_role
        self._compute_poll_interval_s = compute_poll_interval_s
        self._is_listed = False

    def start(self):
        """Starts following the topic."""
        self._run().addErrback(journal.log_failure, f"follow {self._topic.name}")

    @defer.inlineCallbacks
    def _run(self):
        retry_delay_s = MIN_RETRY_DELAY_S
        while True:
            if self._is_listed:
                yield self._reader_role.wait()
            try:
                if self._is_listed:
                    yield self._read()
                else:
                    yield self._list()
                self._health.record_success()
                retry_delay_s = MIN_RETRY_DELAY_S
                yield self._sleep(self._compute_poll_interval_s())
            except (
                calls.CallError,
                StoreError,
                ValueError,
                msgspec.MsgspecError,
            ) as error:
                self._health.record_failure(self._topic.name, error)
                yield self._sleep(retry_delay_s)
                max_delay_s = (
                    MAX_RETRY_DELAY_S if self._is_listed else MAX_LIST_RETRY_DELAY_S
                )
                retry_delay_s = min(2 * retry_delay_s, max_delay_s)

    def _sleep(self, delay_s):
        return task.deferLater(self._reactor, delay_s)

    @defer.inlineCallbacks
    def _list(self):
        records = []
        end = None
        after = None
        while True:
            call = stores.build_list_call(self._topic.name, after)
            response = yield self._store.call(call)
            if response.status != stores.OK:
                raise StoreError(f"status {response.status}")
            page = stores.decode_listing(response.body)
            records.extend(page.records)
            end = page.end if end is None else end
            if not page.has_more or not page.records:
                break
            after = page.records[-1].key
        self._is_listed = True
        listed = [_build_fact(record) for record in records]
        self._apply_facts(self._topic.apply_listing(listed, end), "store")

    @defer.inlineCallbacks
    def _read(self):
        start = self._topic.position
        call = stores.build_read_call(self._topic.name, start, self._long_poll_ms)
        response = yield self._store.call(call, self._long_poll_ms / 1_000)
        if response.status == stores.GONE:
            self._is_listed = False
            return
        if response.status != stores.OK:
            raise StoreError(f"status {response.status}")
        page = stores.decode_records(response.body, start)
        read = [_build_fact(record) for record in page.records]
        self._apply_facts(self._topic.apply(read, page.end), "store")


def _build_fact(record):
    return facts.Fact(record.key, record.value, record.offset)


class StoreHealth:
    """Tracks whether the store is available and logs each change.

    :param reactor: Twisted reactor.
    :param deployment: ``deployments.Deployment``.
    """

    def __init__(self, reactor, deployment):
        self._reactor = reactor
        self._deployment = deployment
        self._unavailable_since_s = None

    def record_success(self):
        """Records a successful call."""
        now_s = self._reactor.seconds()
        self._deployment.record_read(now_s)
        if self._unavailable_since_s is not None:
            away_ms = round((now_s - self._unavailable_since_s) * 1_000)
            journal.write(events.Event.STORE_FOUND, away_ms=away_ms)
            self._unavailable_since_s = None

    def record_failure(self, topic_name, error):
        """Records a failed call.

        :param topic_name: name of the topic.
        :param error: the exception.
        """
        if self._unavailable_since_s is None:
            self._unavailable_since_s = self._reactor.seconds()
            journal.write(events.Event.STORE_LOST, call=topic_name, error=str(error))
