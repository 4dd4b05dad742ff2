import unittest

from twisted.internet import address
from twisted.internet.testing import StringTransport

from wasabiknot_entry import pages


def ask(find_page, *paths):
    factory = pages.create_factory(find_page)
    channel = factory.buildProtocol(address.IPv4Address("TCP", "127.0.0.1", 1))
    transport = StringTransport()
    channel.makeConnection(transport)
    for path in paths:
        channel.dataReceived(b"GET " + path + b" HTTP/1.1\r\nHost: e1\r\n\r\n")
    factory.doStop()
    channel.setTimeout(None)
    return transport.value()


def answer_busy(request):
    request.setResponseCode(503)
    return b""


class PageTests(unittest.TestCase):
    def test_page_is_found_by_its_path(self):
        found = {b"/facts": lambda request: request.args[b"t"][0]}
        answer = ask(found.get, b"/facts?t=7")
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"))
        self.assertTrue(answer.endswith(b"\r\n\r\n7"))

    def test_unknown_path_is_not_found(self):
        self.assertTrue(ask({}.get, b"/x").startswith(b"HTTP/1.1 404"))

    def test_page_may_state_that_it_is_not_ready(self):
        answer = ask(lambda path: answer_busy, b"/readyz")
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"))

    def test_connection_is_kept_for_the_next_page(self):
        answer = ask(lambda path: lambda request: b"x", b"/a", b"/b")
        self.assertEqual(answer.count(b"HTTP/1.1 200"), 2)
