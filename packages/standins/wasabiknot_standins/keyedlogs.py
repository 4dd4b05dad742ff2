"""Simulated store of the platform: topics of keyed records over HTTP."""

import base64
import struct

import msgspec
from twisted.internet import reactor
from twisted.web import resource, server

_HEADER = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")


class Topic:
    """A topic with one partition and the newest value of each key."""

    def __init__(self):
        self.records = []
        self.first_offset = 0
        self.newest_records = {}
        self.waiting_reads = []

    @property
    def end_offset(self):
        """Offset of the next record."""
        return self.first_offset + len(self.records)

    def append(self, content):
        """Appends a record and completes the reads that wait for one.

        An empty value deletes the key.

        :param content: length of the key as one byte, the key, and the value.
        """
        key_end = 1 + content[0]
        key, value = content[1:key_end].decode(), content[key_end:]
        if value:
            self.newest_records[key] = (value, self.end_offset)
        else:
            self.newest_records.pop(key, None)
        self.records.append(content)
        waiting_reads, self.waiting_reads = self.waiting_reads, []
        for wake in waiting_reads:
            wake()


class Copy(msgspec.Struct, frozen=True):
    """A copy of one topic.

    :param first_offset: offset of the first record.
    :param records: contents of the records.
    :param newest_records: newest value and its offset of each key.
    """

    first_offset: int
    records: tuple[bytes, ...]
    newest_records: dict[str, tuple[bytes, int]]


class Store(resource.Resource):
    """HTTP resource that appends, reads and lists records.

    ``era`` rises with each restoration of an older copy.
    ``fault`` is ``None``, ``"busy"`` (responds with 503), ``"silent"`` (never responds)
    or ``"lost"`` (appends records without responding).
    """

    isLeaf = True

    def __init__(self):
        super().__init__()
        self.topics = {}
        self.fault = None
        self.era = 1

    def get_topic(self, name):
        """Returns a topic and creates it if it does not exist.

        :param name: name of the topic.
        :return: ``Topic``.
        """
        return self.topics.setdefault(name, Topic())

    def put(self, topic_name, key, value):
        """Appends a record on behalf of the operator or a backend server.

        :param topic_name: name of the topic.
        :param key: key of the record.
        :param value: value; empty to delete the key.
        :return: offset of the record.
        """
        topic = self.get_topic(topic_name)
        key_bytes = key.encode()
        topic.append(bytes([len(key_bytes)]) + key_bytes + value)
        return topic.end_offset - 1

    def truncate(self, topic_name):
        """Deletes the records of a topic but keeps the newest value of each key.

        :param topic_name: name of the topic.
        """
        topic = self.get_topic(topic_name)
        topic.first_offset = topic.end_offset
        topic.records = []

    def copy(self):
        """Copies all topics.

        :return: mapping of names to ``Copy``.
        """
        return {
            name: Copy(
                topic.first_offset, tuple(topic.records), dict(topic.newest_records)
            )
            for name, topic in self.topics.items()
        }

    def restore(self, copies):
        """Puts all topics back to an older copy and begins a new era.

        Reads that wait are answered at once.

        :param copies: mapping of names to ``Copy``.
        """
        self.era += 1
        for name, topic in self.topics.items():
            copy = copies.get(name, Copy(0, (), {}))
            topic.first_offset = copy.first_offset
            topic.records = list(copy.records)
            topic.newest_records = dict(copy.newest_records)
            waiting_reads, topic.waiting_reads = topic.waiting_reads, []
            for wake in waiting_reads:
                wake()

    def render(self, request):
        """Handles a request, subject to the current fault."""
        request.setHeader(b"store-era", str(self.era).encode())
        if self.fault == "silent":
            return server.NOT_DONE_YET
        if self.fault == "busy":
            request.setResponseCode(503)
            return b""
        handlers = {
            b"/log-newest": self._list_newest,
            b"/log-read": self._read,
            b"/log-append": self._append,
        }
        handle = handlers[request.path]
        return handle(request, self.get_topic(_get_argument(request, b"topic")))

    def _list_newest(self, request, topic):
        entries = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in topic.newest_records.items()
        ]
        page = {"entries": entries, "morePages": False, "end": topic.end_offset}
        return msgspec.json.encode(page)

    def _read(self, request, topic):
        start = int(_get_argument(request, b"from"))
        wait_ms = int(_get_argument(request, b"waitMs") or 0)
        if not topic.first_offset <= start <= topic.end_offset:
            request.setResponseCode(410)
            return msgspec.json.encode({"first": topic.first_offset})
        if start >= topic.end_offset and wait_ms:
            self._wait_for_records(request, topic, start, wait_ms)
            return server.NOT_DONE_YET
        return _encode_page(topic, start)

    def _wait_for_records(self, request, topic, start, wait_ms):
        done = []

        def respond():
            if done or self.fault == "silent":
                return
            done.append(True)
            request.setHeader(b"store-era", str(self.era).encode())
            if start > topic.end_offset:
                request.setResponseCode(410)
            else:
                request.write(_encode_page(topic, start))
            request.finish()

        topic.waiting_reads.append(respond)
        reactor.callLater(wait_ms / 1_000, respond)
        request.notifyFinish().addErrback(lambda _: done.append(True))

    def _append(self, request, topic):
        expected_offset = _get_argument(request, b"at")
        if expected_offset and int(expected_offset) != topic.end_offset:
            request.setResponseCode(412)
            return msgspec.json.encode({"end": topic.end_offset})
        body = request.content.read()
        offset = topic.end_offset
        while body:
            (length,) = _LENGTH.unpack_from(body)
            topic.append(body[_LENGTH.size : _LENGTH.size + length])
            body = body[_LENGTH.size + length :]
        if self.fault == "lost":
            return server.NOT_DONE_YET
        return msgspec.json.encode({"offset": offset, "end": topic.end_offset})


def _get_argument(request, name):
    return request.args.get(name, [b""])[0].decode()


def _encode_page(topic, start):
    records = topic.records[max(0, start - topic.first_offset) :]
    body = b"".join(_LENGTH.pack(len(record)) + record for record in records)
    return _HEADER.pack(topic.end_offset, topic.first_offset) + body
