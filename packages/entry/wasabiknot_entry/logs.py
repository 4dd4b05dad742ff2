"""The task that reads the platform's log and appends to it."""

import msgspec
import treq
from treq import client as treq_client
from twisted.internet import defer, task
from twisted.web import client, http

from wasabiknot_entry import journal
from wasabiknot_kernel import effects, events, messages, records, wire

READ_LIMIT = 500
READ_WAIT_MS = 1_000
READ_TIMEOUT_S = 2.5
APPEND_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.3
MAX_WAITING_APPENDS = 256


class Log:
    """Tails the log and appends records in order.

    :param url: base URL of the log service.
    :param post: message delivery.
    :param reactor: Twisted reactor.
    :param next_offset: function that returns the offset to read next.
    """

    def __init__(self, url, post, reactor, next_offset):
        self._url = f"{url}/v1/records"
        self._post = post
        self._reactor = reactor
        self._next_offset = next_offset
        self._pool = client.HTTPConnectionPool(reactor)
        agent = client.Agent(reactor, connectTimeout=1.0, pool=self._pool)
        self._http = treq_client.HTTPClient(agent)
        self._waiting = []
        self._is_appending = False
        self._is_lost = False
        self._is_stopped = False
        post.subscribe(effects.Append, self._append)

    def start(self):
        """Starts to tail the log."""
        self._read()

    def stop(self):
        """Stops to tail the log."""
        self._is_stopped = True

    def _read(self):
        if self._is_stopped:
            return
        params = {
            "from": str(self._next_offset()),
            "limit": str(READ_LIMIT),
            "wait_ms": str(READ_WAIT_MS),
        }
        read = self._http.get(self._url, params=params, timeout=READ_TIMEOUT_S)
        read.addCallback(_read_ok)
        read.addCallback(self._take_page)
        read.addErrback(self._lose)
        read.addErrback(journal.log_failure, "log")

    def _take_page(self, data):
        page = msgspec.json.decode(data, type=wire.LogPage)
        if self._is_lost:
            self._is_lost = False
            journal.write(events.Event.LOG_FOUND)
        stamped = tuple(map(_decode, page.records))
        self._post.send(messages.LogRead(stamped, page.head, page.time_ms))
        self._reactor.callLater(0, self._read)

    def _lose(self, failure):
        # A pooled connection may have gone silent; the next read opens a new one.
        self._pool.closeCachedConnections()
        if not self._is_lost:
            self._is_lost = True
            journal.write(events.Event.LOG_LOST, error=failure.getErrorMessage())
        self._post.send(messages.LogFailed())
        self._reactor.callLater(RETRY_DELAY_S, self._read)

    def _append(self, effect):
        if len(self._waiting) < MAX_WAITING_APPENDS:
            self._waiting.append(effect.record)
        if not self._is_appending:
            self._is_appending = True
            sent = self._send_waiting()
            sent.addErrback(journal.log_failure, "log append")

    @defer.inlineCallbacks
    def _send_waiting(self):
        try:
            while self._waiting:
                record = self._waiting.pop(0)
                try:
                    yield self._send(record)
                except Exception as error:
                    # The node appends again what it still needs.
                    journal.write(events.Event.LOG_LOST, error=str(error))
                    yield task.deferLater(self._reactor, RETRY_DELAY_S)
        finally:
            self._is_appending = False

    def _send(self, record):
        data = records.encode_record(record).decode()
        sent = self._http.post(
            self._url,
            data=msgspec.json.encode(wire.LogAppend(data)),
            headers={"Content-Type": ["application/json"]},
            timeout=APPEND_TIMEOUT_S,
        )
        return sent.addCallback(_read_ok)


def _read_ok(response):
    body = treq.content(response)
    if response.code != http.OK:
        return body.addCallback(lambda _: _raise_status(response.code))
    return body


def _raise_status(code):
    raise ConnectionError(f"status {code}")


def _decode(item):
    try:
        record = records.decode_record(item.data)
    except msgspec.MsgspecError as error:
        journal.write(
            events.Event.RECORD_UNREADABLE, offset=item.offset, error=str(error)
        )
        record = None
    return records.StampedRecord(item.offset, item.time_ms, record)
