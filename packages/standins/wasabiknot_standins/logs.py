"""Simulated append-only log service of the platform."""

import klein
import msgspec
from twisted.internet import reactor, task

from wasabiknot_kernel import wire
from wasabiknot_standins import servers, workers

DEFAULT_PAGE_SIZE = 500


class LogFaults(msgspec.Struct, frozen=True):
    """Faults injected into the log.

    :param outage: whether all reads and appends fail.
    :param slow_ms: delay in milliseconds before an append or an immediate read.
    :param lose_answers: whether appends take effect but return an error.
    :param keep: number of records that are retained; 0 for all.
    """

    outage: bool = False
    slow_ms: int = 0
    lose_answers: bool = False
    keep: int = 0


class Log:
    """An in-memory log."""

    def __init__(self):
        self._records = []
        self._oldest_offset = 0
        self.faults = LogFaults()

    @property
    def head(self):
        """Offset of the next record."""
        return self._oldest_offset + len(self._records)

    def append(self, data):
        """Appends a record.

        :param data: content of the record.
        :return: offset of the record.
        """
        offset = self.head
        self._records.append(wire.LogRecord(offset, workers.now_ms(), data))
        if self.faults.keep and len(self._records) > self.faults.keep:
            excess = len(self._records) - self.faults.keep
            del self._records[:excess]
            self._oldest_offset += excess
        return offset

    def read(self, offset, limit):
        """Reads records.

        :param offset: offset of the first record; if that was dropped, the page
            starts at the oldest retained record.
        :param limit: maximum number of records.
        :return: ``wire.LogPage``.
        """
        first = max(offset, self._oldest_offset) - self._oldest_offset
        records = self._records[first : first + limit]
        return wire.LogPage(self._oldest_offset, self.head, workers.now_ms(), records)


class LogServer:
    """Serves the log over HTTP with long polling."""

    def __init__(self):
        self.app = klein.Klein()
        self._log = Log()
        self._polls = []
        self._append_count = 0
        self.app.route("/v1/records", methods=["GET"])(self._read)
        self.app.route("/v1/records", methods=["POST"])(self._append)
        self.app.route("/faults", methods=["POST"])(self._set_faults)
        self.app.route("/appends")(self._send_append_count)

    def _send_append_count(self, request):
        return str(self._append_count).encode()

    def _set_faults(self, request):
        self._log.faults = servers.read_json(request, LogFaults)
        return b""

    def _run_delayed(self, function):
        delay_s = self._log.faults.slow_ms / workers.MS_PER_S
        return task.deferLater(reactor, delay_s, function) if delay_s else function()

    def _append(self, request):
        if self._log.faults.outage:
            request.setResponseCode(503)
            return b""
        body = servers.read_json(request, wire.LogAppend)
        return self._run_delayed(lambda: self._append_record(request, body))

    def _append_record(self, request, body):
        offset = self._log.append(body.data)
        self._append_count += 1
        self._complete_polls()
        if self._log.faults.lose_answers:
            request.setResponseCode(500)
            return b""
        return servers.send_json(request, wire.LogAppended(offset))

    def _read(self, request):
        if self._log.faults.outage:
            request.setResponseCode(503)
            return b""
        offset = int(request.args[b"from"][0])
        limit = int(request.args.get(b"limit", [str(DEFAULT_PAGE_SIZE).encode()])[0])
        wait_s = int(request.args.get(b"wait_ms", [b"0"])[0]) / workers.MS_PER_S
        if offset < self._log.head or not wait_s:
            return self._run_delayed(lambda: self._send_page(request, offset, limit))
        poll = LongPoll(self, request, offset, limit)
        poll.timer = reactor.callLater(wait_s, poll.complete)
        request.notifyFinish().addErrback(lambda _: self._remove_poll(poll))
        self._polls.append(poll)
        return servers.wait_for_end(request)

    def _remove_poll(self, poll):
        if poll in self._polls:
            self._polls.remove(poll)
            poll.cancel()

    def _send_page(self, request, offset, limit):
        return servers.send_json(request, self._log.read(offset, limit))

    def _complete_polls(self):
        polls, self._polls = self._polls, []
        for poll in polls:
            poll.cancel()
            reactor.callLater(0, poll.complete)

    def complete_poll(self, poll):
        """Responds to a long poll with the records that it requested.

        :param poll: ``LongPoll``.
        """
        if poll in self._polls:
            self._polls.remove(poll)
        if self._log.faults.outage:
            poll.request.setResponseCode(503)
        else:
            page = self._send_page(poll.request, poll.offset, poll.limit)
            poll.request.write(page)
        poll.request.finish()


class LongPoll:
    """A read that waits until records are appended or its timeout expires.

    :param log: ``LogServer`` that received the read.
    :param request: Twisted web request.
    :param offset: offset of the first record.
    :param limit: maximum number of records.
    """

    def __init__(self, log, request, offset, limit):
        self._log = log
        self.request = request
        self.offset = offset
        self.limit = limit
        self.timer = None
        self._is_closed = False
        request.notifyFinish().addBoth(self._handle_disconnect)

    def _handle_disconnect(self, _):
        self._is_closed = True

    def cancel(self):
        """Cancels the timeout."""
        if self.timer.active():
            self.timer.cancel()

    def complete(self):
        """Responds to the read unless the client has disconnected."""
        if not self._is_closed:
            self._log.complete_poll(self)


def run(port):
    """Runs the log service until the process is stopped.

    :param port: TCP port.
    """
    servers.run(LogServer().app, port)
