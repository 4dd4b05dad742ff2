"""Stand-in for the platform's store: topics of keyed records over HTTP."""

import base64
import struct

import msgspec
from twisted.internet import reactor
from twisted.web import resource, server

_HEADER = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")


class Topic:
    """A topic with one partition."""

    def __init__(self):
        self.records = []
        self.first = 0
        self.newest = {}
        self.waiting = []

    @property
    def end(self):
        """Position behind the last record."""
        return self.first + len(self.records)

    def append(self, content):
        """Appends one record.

        :param content: its bytes, with the key in front.
        """
        key_end = 1 + content[0]
        key, value = content[1:key_end].decode(), content[key_end:]
        if value:
            self.newest[key] = (value, self.end)
        else:
            self.newest.pop(key, None)
        self.records.append(content)
        waiting, self.waiting = self.waiting, []
        for wake in waiting:
            wake()


class Store(resource.Resource):
    """The store: appends, reads, and lists the newest records.

    ``fault`` may be ``None``, ``"busy"``, ``"silent"`` or ``"lost"``: answers
    503, answers nothing, or carries out writes without an answer.
    """

    isLeaf = True

    def __init__(self):
        super().__init__()
        self.topics = {}
        self.fault = None

    def find(self, name):
        """Finds or creates a topic.

        :param name: its name.
        :return: ``Topic``.
        """
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Writes a record as the operator or a backend server.

        :param topic: name of the topic.
        :param key: its key.
        :param value: its bytes; empty to drop the key.
        :return: position of the record.
        """
        found = self.find(topic)
        name = key.encode()
        found.append(bytes([len(name)]) + name + value)
        return found.end - 1

    def forget(self, topic):
        """Drops the history of a topic; the newest records stay.

        :param topic: name of the topic.
        """
        found = self.find(topic)
        found.first = found.end
        found.records = []

    def render(self, request):
        """Answers a call."""
        if self.fault == "silent":
            return server.NOT_DONE_YET
        if self.fault == "busy":
            request.setResponseCode(503)
            return b""
        calls = {
            b"/log-newest": self._list,
            b"/log-read": self._read,
            b"/log-append": self._append,
        }
        answer = calls[request.path]
        return answer(request, self.find(_read_argument(request, b"topic")))

    def _list(self, request, topic):
        entries = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in topic.newest.items()
        ]
        page = {"entries": entries, "morePages": False, "end": topic.end}
        return msgspec.json.encode(page)

    def _read(self, request, topic):
        start = int(_read_argument(request, b"from"))
        wait_ms = int(_read_argument(request, b"waitMs") or 0)
        if start < topic.first:
            request.setResponseCode(410)
            return msgspec.json.encode({"first": topic.first})
        if start >= topic.end and wait_ms:
            self._wait(request, topic, start, wait_ms)
            return server.NOT_DONE_YET
        return _pack(topic, start)

    def _wait(self, request, topic, start, wait_ms):
        done = []

        def answer():
            if done or self.fault == "silent":
                return
            done.append(True)
            request.write(_pack(topic, start))
            request.finish()

        topic.waiting.append(answer)
        reactor.callLater(wait_ms / 1_000, answer)
        request.notifyFinish().addErrback(lambda _: done.append(True))

    def _append(self, request, topic):
        at = _read_argument(request, b"at")
        if at and int(at) != topic.end:
            request.setResponseCode(412)
            return msgspec.json.encode({"end": topic.end})
        body = request.content.read()
        offset = topic.end
        while body:
            (length,) = _LENGTH.unpack_from(body)
            topic.append(body[_LENGTH.size : _LENGTH.size + length])
            body = body[_LENGTH.size + length :]
        if self.fault == "lost":
            return server.NOT_DONE_YET
        return msgspec.json.encode({"offset": offset, "end": topic.end})


def _read_argument(request, name):
    return request.args.get(name, [b""])[0].decode()


def _pack(topic, start):
    records = topic.records[max(0, start - topic.first) :]
    body = b"".join(_LENGTH.pack(len(item)) + item for item in records)
    return _HEADER.pack(topic.end, topic.first) + body
