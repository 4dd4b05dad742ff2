import logging
import pathlib
import re
import unittest

import grammars
import silent_servers
import treq
from twisted.internet import defer, protocol
from twisted.web import client

from wasabiknot_entry import agents

ROOT = pathlib.Path(__file__).resolve().parents[3]
LIBRARY_CALL = re.compile(r"client\.Agent\(|treq\.(get|post|put|head|request)\(")
STATUS_LINE = b"HTTP/1.1 200 OK"
LENGTH = b"content-length: 9"
BODY = b"nine more"
TIMEOUT_S = 30.0


def setUpModule():  # noqa: N802
    # Each of the many broken responses leaves a line.
    logging.getLogger("wasabiknot").setLevel(logging.ERROR)


def tearDownModule():  # noqa: N802
    logging.getLogger("wasabiknot").setLevel(logging.NOTSET)


def list_broken():
    """Lists broken responses that look whole to one who repairs them."""
    heads = [(line, LENGTH) for line in grammars.ODD_STATUS_LINES]
    for line in grammars.ODD_LINES:
        heads += [(STATUS_LINE, line), (STATUS_LINE, b"x-a: 1", line, LENGTH)]
    broken = [b"\r\n".join([*head, b"", BODY]) for head in heads]
    for end in grammars.LINE_ENDS:
        broken.append(STATUS_LINE + end + LENGTH + b"\r\n\r\n" + BODY)
    chunked = STATUS_LINE + b"\r\ntransfer-encoding: chunked\r\n\r\n"
    for body in (b"9 \r\n", b"9\n", b"+9\r\n", b"9;\x01\r\n"):
        broken.append(chunked + body + BODY + b"\r\n0\r\n\r\n")
    return [data for data in broken if is_broken(data)]


def is_broken(data):
    return grammars.read_response(b"GET", data).state is grammars.State.BROKEN


SOUND = (
    STATUS_LINE + b"\r\n" + LENGTH + b"\r\n\r\n" + BODY,
    b"HTTP/1.1 200\r\nx-a:\r\nContent-Length:9\r\n\r\n" + BODY,
    b"HTTP/1.0 200 \xe4\r\n" + LENGTH + b"\r\n\r\n" + BODY,
    STATUS_LINE
    + b"\r\nTransfer-Encoding: Chunked\r\n\r\n9;a\r\n%s\r\n0\r\n\r\n" % BODY,
    b"HTTP/1.1 103 Hints\r\nx: y\r\n\r\n" + STATUS_LINE + b"\r\n\r\n" + BODY,
)


class Server(protocol.Protocol):
    """Answers each request with the response that its path numbers."""

    def connectionMade(self):  # noqa: N802
        self._received = b""

    def dataReceived(self, data):  # noqa: N802
        self._received += data
        if b"\r\n\r\n" not in self._received:
            return
        number = int(self._received.split(b" ")[1][1:])
        self.transport.write(self.factory.responses[number])
        self.transport.loseConnection()


class AgentTests(unittest.TestCase):
    def call_all(self, responses):
        """Calls a server for each response.

        :return: list of bodies; failures where there is none.
        """
        reactor = silent_servers.create_reactor()
        factory = protocol.Factory.forProtocol(Server)
        factory.noisy = False
        factory.responses = responses
        backlog = len(responses)
        port = reactor.listenTCP(0, factory, backlog, "127.0.0.1")
        http = agents.create_client(reactor, TIMEOUT_S)

        def call(number):
            url = f"http://127.0.0.1:{port.getHost().port}/{number}"
            return http.get(url, timeout=TIMEOUT_S).addCallback(treq.content)

        calls = [call(number) for number in range(len(responses))]
        ended = defer.DeferredList(calls, consumeErrors=True)
        ended.addCallback(lambda results: (reactor.stop(), results)[1])
        reactor.run(installSignalHandlers=False)
        return [result for _, result in ended.result]

    def test_broken_response_is_not_passed_on(self):
        # Guards against a body, or a status of 000, that the library makes up.
        broken = list_broken()
        for data, result in zip(broken, self.call_all(broken), strict=True):
            with self.subTest(data):
                self.assertNotIsInstance(result, bytes)
                self.assertIsNotNone(result.check(client.ResponseFailed))

    def test_sound_response_is_passed_on(self):
        for data, result in zip(SOUND, self.call_all(SOUND), strict=True):
            with self.subTest(data):
                self.assertEqual(result, BODY)

    def test_no_other_module_reads_responses_by_the_library_alone(self):
        # Guards against a reader that repairs what it should refuse.
        found = []
        for path in sorted(ROOT.glob("p*/**/wasabiknot_*/*.py")):
            if path.name != "agents.py" and LIBRARY_CALL.search(path.read_text()):
                found.append(path.name)
        self.assertEqual(found, [])
