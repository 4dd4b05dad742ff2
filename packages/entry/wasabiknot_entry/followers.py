"""Follows the topics of the store and tracks whether the store is available."""

import msgspec
from twisted.internet import defer, task
from twisted.python import failure

from wasabiknot_entry import calls, journal
from wasabiknot_kernel import events, exceptions, facts, positions
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
    :param pool: ``pools.Pool``.
    :param address: host and port of the store.
    """

    def __init__(self, reactor, pool, address):
        self._reactor = reactor
        self._pool = pool
        self._address = address
        self._watchers = []
        self._has_logged_bad_era = False
        self.era = 0

    def watch_era(self, handle_era):
        """Calls a function whenever the era of the store rises.

        :param handle_era: function without parameters.
        """
        self._watchers.append(handle_era)

    def call(self, call, wait_s=0.0):
        """Sends a call to the store.

        :param call: ``stores.Call``.
        :param wait_s: long-poll wait that the call requests, in seconds; added to the
            timeout.
        :return: deferred ``calls.Response``; fails with ``calls.CallError``, or with
            ``StoreError`` if the response is of an older era than known.
        """
        sent = self._send(call, wait_s)
        sent.addCallback(self._check_era)
        return sent

    def _check_era(self, response):
        try:
            era = stores.decode_era(response.headers)
            if era is not None and era > positions.MAX_ERA:
                raise ValueError(f"era {era} is too high")
        except ValueError as error:
            era = None
            self._log_bad_era(str(error))
        if era is None:
            if self.era:
                self._log_bad_era("no era")
            return msgspec.structs.replace(response, era=self.era)
        if era < self.era:
            self._log_bad_era(f"era {era} after {self.era}")
            raise StoreError(f"response of era {era} after {self.era}")
        if era > self.era:
            self.era = era
            for handle_era in self._watchers:
                handle_era()
        return msgspec.structs.replace(response, era=era)

    def _log_bad_era(self, problem):
        if not self._has_logged_bad_era:
            self._has_logged_bad_era = True
            journal.write(events.Event.ERA_BAD, problem=problem)

    def _send(self, call, wait_s):
        request = calls.build_request(
            call.method, call.target, self._address, call.body
        )
        is_read = call.method == "GET"
        return calls.call(
            self._reactor,
            self._pool,
            self._address,
            request,
            RESPONSE_TIMEOUT_S + wait_s,
            calls.HEDGE_DELAY_S + wait_s if is_read else None,
        )


# Topics that an entry must be able to read if others are to rely on its reads.
RELIED_ON_TOPICS = frozenset({stores.OPERATOR_TOPIC, stores.SERVER_TOPIC})
# Topic that is read to find out whether the store answers: it is read without a wait.
PROBE_TOPIC = stores.SERVER_TOPIC
# Errors of calls to the store and of their responses.
EXPECTED_ERRORS = (calls.CallError, StoreError, ValueError, msgspec.MsgspecError)


class _ListingError(StoreError):
    """A read was given up, as the topic has to be listed again."""


class ReaderRole:
    """Blocks followers while another entry reads the store for the group.

    While the store doesn't answer and there are many entries, only the follower of
    ``PROBE_TOPIC`` calls it.

    :param should_read: function that returns whether this entry is the reader.
    """

    def __init__(self, should_read):
        self._should_read = should_read
        # Function that returns whether only probes may call the store.
        self.is_probing = lambda: False
        self._waiters = []

    def wait(self, is_probe=False):
        """Waits until this entry is the reader.

        :param is_probe: whether the follower tries while the store doesn't answer.
        :return: deferred that fires with ``None``.
        """
        if self._may_call(is_probe):
            return defer.succeed(None)
        waiter = defer.Deferred()
        self._waiters.append((waiter, is_probe))
        return waiter

    def _may_call(self, is_probe):
        return self._should_read() and (is_probe or not self.is_probing())

    def update(self):
        """Resumes the waiting followers if this entry has become the reader."""
        if not self._waiters or not self._should_read():
            return
        waiters, self._waiters = self._waiters, []
        for waiter, is_probe in waiters:
            if self._may_call(is_probe):
                waiter.callback(None)
            else:
                self._waiters.append((waiter, is_probe))


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
        # Whether a peer has sent the topic, so that only a reader has to list it.
        self._is_copied = False
        # Function without parameters that is called after each listing.
        self.handle_listed = None
        self._pending = None
        store.watch_era(self._handle_era)

    @property
    def is_loaded(self):
        """Whether the topic has been listed, or copied from a peer."""
        return self._topic.is_loaded

    def start(self, may_be_copied=False):
        """Starts following the topic.

        :param may_be_copied: whether a topic that a peer has sent is listed only when
            this entry becomes the reader.
        """
        self._is_copied = may_be_copied and self._topic.is_loaded
        self._run().addErrback(journal.log_failure, f"follow {self._topic.name}")

    @defer.inlineCallbacks
    def _run(self):
        retry_delay_s = MIN_RETRY_DELAY_S
        while True:
            if self._is_listed or self._is_copied:
                is_probe = self._topic.name == PROBE_TOPIC
                yield self._reader_role.wait(is_probe)
            try:
                if self._is_listed:
                    yield self._read()
                else:
                    yield self._list()
                self._health.record_success(self._topic.name)
                retry_delay_s = MIN_RETRY_DELAY_S
                yield self._sleep(self._compute_poll_interval_s())
            except _ListingError:
                continue
            except Exception as error:
                self._record_failure(error)
                yield self._sleep(retry_delay_s)
                max_delay_s = (
                    MAX_RETRY_DELAY_S if self._is_listed else MAX_LIST_RETRY_DELAY_S
                )
                retry_delay_s = min(2 * retry_delay_s, max_delay_s)

    def _record_failure(self, error):
        if isinstance(error, EXPECTED_ERRORS):
            self._health.record_failure(self._topic.name, error)
        else:
            # Without this task the entry would act on old facts for good.
            journal.log_failure(failure.Failure(), f"follow {self._topic.name}")

    def list_again(self):
        """Lists the topic at the next opportunity instead of reading on."""
        self._is_listed = False

    def _handle_era(self):
        # A read that waits for a record of the previous era would wait in vain.
        if not self._is_listed:
            return
        self._is_listed = False
        if self._pending is not None:
            self._pending.cancel()

    @defer.inlineCallbacks
    def _call(self, call, wait_s):
        self._pending = self._store.call(call, wait_s)
        try:
            response = yield self._pending
        except calls.CallError:
            if not self._is_listed:
                raise _ListingError("the store was restored") from None
            raise
        finally:
            self._pending = None
        return response

    def _sleep(self, delay_s):
        return task.deferLater(self._reactor, delay_s)

    @defer.inlineCallbacks
    def _list(self):
        records = []
        end = era = None
        after = None
        while True:
            call = stores.build_list_call(self._topic.name, after)
            response = yield self._store.call(call)
            if response.status != stores.OK:
                raise StoreError(f"status {response.status}")
            if era is not None and response.era != era:
                raise StoreError("the store was restored during the listing")
            era = response.era
            page = stores.decode_listing(response.body)
            self._log_unreadable(page)
            records.extend(page.records)
            end = page.end if end is None else end
            if not page.has_more or not page.records:
                break
            after = page.last_key
        self._is_listed = True
        listed = [build_fact(record, era) for record in records]
        position = positions.create_position(era, end)
        changed = self._topic.apply_listing(listed, position)
        self._apply_facts(changed, "store")
        if self.handle_listed is not None:
            self.handle_listed()

    def _log_unreadable(self, page):
        for problem in page.unreadable:
            journal.write(
                events.Event.FACT_UNREADABLE,
                topic=self._topic.name,
                key="",
                offset=page.end,
                error=problem,
            )

    @defer.inlineCallbacks
    def _read(self):
        start = positions.get_offset(self._topic.position)
        call = stores.build_read_call(self._topic.name, start, self._long_poll_ms)
        response = yield self._call(call, self._long_poll_ms / 1_000)
        is_restored = response.era != positions.get_era(self._topic.position)
        if response.status == stores.GONE or is_restored:
            self._is_listed = False
            return
        if response.status != stores.OK:
            raise StoreError(f"status {response.status}")
        page = stores.decode_records(response.body, start)
        self._log_unreadable(page)
        read = [build_fact(record, response.era) for record in page.records]
        end = positions.create_position(response.era, page.end)
        self._apply_facts(self._topic.apply(read, end), "store")


def build_fact(record, era):
    """Builds the fact of a record.

    :param record: ``stores.Record``.
    :param era: era of the response that it was read from.
    :return: ``facts.Fact``.
    """
    position = positions.create_position(era, record.offset)
    return facts.Fact(record.key, record.value, position)


class StoreHealth:
    """Tracks whether the store is available and logs each change.

    :param reactor: Twisted reactor.
    :param deployment: ``deployments.Deployment``.
    """

    def __init__(self, reactor, deployment):
        self._reactor = reactor
        self._deployment = deployment
        self._unavailable_since_s = None
        # Topics that peers rely on and whose latest read has failed.
        self._unread_topics = set()

    def record_success(self, topic_name):
        """Records a successful call.

        :param topic_name: name of the topic.
        """
        now_s = self._reactor.seconds()
        self._unread_topics.discard(topic_name)
        if topic_name in RELIED_ON_TOPICS and not self._unread_topics:
            self._deployment.store_reads.record_read(now_s)
        if self._unavailable_since_s is not None:
            away_ms = round((now_s - self._unavailable_since_s) * 1_000)
            journal.write(events.Event.STORE_FOUND, away_ms=away_ms)
            self._unavailable_since_s = None

    @property
    def is_lost(self):
        """Whether the latest read of the registrations has failed."""
        return PROBE_TOPIC in self._unread_topics

    def record_failure(self, topic_name, error):
        """Records a failed call.

        :param topic_name: name of the topic.
        :param error: the exception.
        """
        if topic_name in RELIED_ON_TOPICS:
            self._unread_topics.add(topic_name)
        if self._unavailable_since_s is None:
            self._unavailable_since_s = self._reactor.seconds()
            journal.write(events.Event.STORE_LOST, call=topic_name, error=str(error))
