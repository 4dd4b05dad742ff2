"""Stand-in of the platform's append-only log service."""

import klein
import msgspec
from twisted.internet import reactor, task

from wasabiknot_kernel import wire
from wasabiknot_standins import servers, workers

DEFAULT_LIMIT = 500


class LogFaults(msgspec.Struct, frozen=True):
    """Fault switches of the log.

    :param outage: whether every call is refused.
    :param slow_ms: time added to every call.
    :param lose_answers: whether appends take effect but answer with an error.
    :param keep: records that are kept; 0 for all.
    """

    outage: bool = False
    slow_ms: int = 0
    lose_answers: bool = False
    keep: int = 0


class Log:
    """The log in memory."""

    def __init__(self):
        self._records = []
        self._oldest = 0
        self.faults = LogFaults()

    @property
    def head(self):
        """Offset of the next append."""
        return self._oldest + len(self._records)

    def append(self, data):
        """Appends a record.

        :param data: its text.
        :return: its offset.
        """
        offset = self.head
        self._records.append(wire.LogRecord(offset, workers.now_ms(), data))
        if self.faults.keep and len(self._records) > self.faults.keep:
            removed = len(self._records) - self.faults.keep
            del self._records[:removed]
            self._oldest += removed
        return offset

    def read(self, start, limit):
        """Reads records.

        :param start: offset to begin with; older than kept begins at the oldest.
        :param limit: largest number of records.
        :return: ``wire.LogPage``.
        """
        first = max(start, self._oldest) - self._oldest
        records = self._records[first : first + limit]
        return wire.LogPage(self._oldest, self.head, workers.now_ms(), records)


class LogServer:
    """The log behind HTTP, with long polling."""

    def __init__(self):
        self.app = klein.Klein()
        self._log = Log()
        self._readers = []
        self._appends = 0
        self.app.route("/v1/records", methods=["GET"])(self._read)
        self.app.route("/v1/records", methods=["POST"])(self._append)
        self.app.route("/faults", methods=["POST"])(self._set_faults)
        self.app.route("/appends")(self._count_appends)

    def _count_appends(self, request):
        return str(self._appends).encode()

    def _set_faults(self, request):
        self._log.faults = servers.read_json(request, LogFaults)
        return b""

    def _delay(self, act):
        slow_s = self._log.faults.slow_ms / workers.MS_PER_S
        return task.deferLater(reactor, slow_s, act) if slow_s else act()

    def _append(self, request):
        if self._log.faults.outage:
            request.setResponseCode(503)
            return b""
        body = servers.read_json(request, wire.LogAppend)
        return self._delay(lambda: self._store(request, body))

    def _store(self, request, body):
        offset = self._log.append(body.data)
        self._appends += 1
        self._wake_readers()
        if self._log.faults.lose_answers:
            request.setResponseCode(500)
            return b""
        return servers.send_json(request, wire.LogAppended(offset))

    def _read(self, request):
        if self._log.faults.outage:
            request.setResponseCode(503)
            return b""
        start = int(request.args[b"from"][0])
        limit = int(request.args.get(b"limit", [str(DEFAULT_LIMIT).encode()])[0])
        wait_s = int(request.args.get(b"wait_ms", [b"0"])[0]) / workers.MS_PER_S
        if start < self._log.head or not wait_s:
            return self._delay(lambda: self._send_page(request, start, limit))
        reader = Reader(self, request, start, limit)
        reader.timer = reactor.callLater(wait_s, reader.answer)
        request.notifyFinish().addErrback(lambda _: self._drop(reader))
        self._readers.append(reader)
        return servers.wait_for_end(request)

    def _drop(self, reader):
        if reader in self._readers:
            self._readers.remove(reader)
            reader.cancel()

    def _send_page(self, request, start, limit):
        return servers.send_json(request, self._log.read(start, limit))

    def _wake_readers(self):
        readers, self._readers = self._readers, []
        for reader in readers:
            reader.cancel()
            reactor.callLater(0, reader.answer)

    def answer(self, reader):
        """Answers a waiting reader.

        :param reader: the ``Reader``.
        """
        if reader in self._readers:
            self._readers.remove(reader)
        if self._log.faults.outage:
            reader.request.setResponseCode(503)
        else:
            page = self._send_page(reader.request, reader.start, reader.limit)
            reader.request.write(page)
        reader.request.finish()


class Reader:
    """A read that waits for new records.

    :param log: the ``LogServer``.
    :param request: Twisted web request.
    :param start: offset to begin with.
    :param limit: largest number of records.
    """

    def __init__(self, log, request, start, limit):
        self._log = log
        self.request = request
        self.start = start
        self.limit = limit
        self.timer = None
        self._is_gone = False
        request.notifyFinish().addBoth(self._note_gone)

    def _note_gone(self, _):
        self._is_gone = True

    def cancel(self):
        """Stops the timer."""
        if self.timer.active():
            self.timer.cancel()

    def answer(self):
        """Answers with what is there."""
        if not self._is_gone:
            self._log.answer(self)


def run(port):
    """Runs the log until the process is stopped.

    :param port: TCP port.
    """
    servers.run(LogServer().app, port)
