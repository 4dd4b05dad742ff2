"""HTTP client that reads the platform's log and appends records to it."""

import msgspec
import treq
from twisted.internet import defer, task
from twisted.web import client, http

from wasabiknot_entry import agents, journal
from wasabiknot_kernel import effects, events, messages, records, wire

PAGE_SIZE = 500
LONG_POLL_MS = 1_000
CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 2.5
APPEND_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.3
MAX_PENDING_APPENDS = 256


class LogClient:
    """Follows the log by long polling and appends records in order.

    :param url: base URL of the log service.
    :param bus: ``mailboxes.MessageBus``.
    :param reactor: Twisted reactor.
    :param get_next_offset: function that returns the offset of the next record to
        read.
    """

    def __init__(self, url, bus, reactor, get_next_offset):
        self._url = f"{url}/v1/records"
        self._bus = bus
        self._reactor = reactor
        self._get_next_offset = get_next_offset
        self._pool = client.HTTPConnectionPool(reactor)
        self._http = agents.create_client(reactor, CONNECT_TIMEOUT_S, self._pool)
        self._pending = []
        self._is_appending = False
        self._is_unavailable = False
        self._is_stopped = False
        bus.subscribe(effects.Append, self._enqueue)

    def start(self):
        """Starts following the log."""
        self._read()

    def stop(self):
        """Stops following the log."""
        self._is_stopped = True

    def _read(self):
        if self._is_stopped:
            return
        params = {
            "from": str(self._get_next_offset()),
            "limit": str(PAGE_SIZE),
            "wait_ms": str(LONG_POLL_MS),
        }
        read = self._http.get(self._url, params=params, timeout=READ_TIMEOUT_S)
        read.addCallback(_read_body)
        read.addCallback(self._handle_page)
        read.addErrback(self._handle_failure)
        read.addErrback(journal.log_failure, "log")

    def _handle_page(self, data):
        page = msgspec.json.decode(data, type=wire.LogPage)
        if self._is_unavailable:
            self._is_unavailable = False
            journal.write(events.Event.LOG_FOUND)
        stamped = tuple(map(_decode_record, page.records))
        self._bus.publish(messages.LogRead(stamped, page.head, page.time_ms))
        self._reactor.callLater(0, self._read)

    def _handle_failure(self, failure):
        # A pooled connection may be unresponsive; the next read opens a new one.
        self._pool.closeCachedConnections()
        if not self._is_unavailable:
            self._is_unavailable = True
            journal.write(events.Event.LOG_LOST, error=failure.getErrorMessage())
        self._bus.publish(messages.LogFailed())
        self._reactor.callLater(RETRY_DELAY_S, self._read)

    def _enqueue(self, effect):
        if len(self._pending) < MAX_PENDING_APPENDS:
            self._pending.append(effect.record)
        if not self._is_appending:
            self._is_appending = True
            sent = self._append_pending()
            sent.addErrback(journal.log_failure, "log append")

    @defer.inlineCallbacks
    def _append_pending(self):
        try:
            while self._pending:
                record = self._pending.pop(0)
                try:
                    yield self._append(record)
                except Exception as error:
                    # The node requests the append again if the record is still
                    # needed.
                    journal.write(events.Event.LOG_LOST, error=str(error))
                    yield task.deferLater(self._reactor, RETRY_DELAY_S)
        finally:
            self._is_appending = False

    def _append(self, record):
        data = records.encode_record(record).decode()
        sent = self._http.post(
            self._url,
            data=msgspec.json.encode(wire.LogAppend(data)),
            headers={"Content-Type": ["application/json"]},
            timeout=APPEND_TIMEOUT_S,
        )
        return sent.addCallback(_read_body)


def _read_body(response):
    body = treq.content(response)
    if response.code != http.OK:
        return body.addCallback(lambda _: _raise_status(response.code))
    return body


def _raise_status(code):
    raise ConnectionError(f"status {code}")


def _decode_record(item):
    try:
        record = records.decode_record(item.data)
    except msgspec.MsgspecError as error:
        journal.write(
            events.Event.RECORD_UNREADABLE, offset=item.offset, error=str(error)
        )
        record = None
    return records.StampedRecord(item.offset, item.time_ms, record)
