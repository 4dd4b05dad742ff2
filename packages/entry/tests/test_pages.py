import unittest

from twisted.internet import address, testing

from wasabiknot_entry import pages


def get(find_handler, *paths):
    factory = pages.create_factory(find_handler)
    channel = factory.buildProtocol(address.IPv4Address("TCP", "127.0.0.1", 1))
    transport = testing.StringTransport()
    channel.makeConnection(transport)
    for path in paths:
        channel.dataReceived(b"GET " + path + b" HTTP/1.1\r\nHost: e1\r\n\r\n")
    factory.doStop()
    channel.setTimeout(None)
    return transport.value()


def respond_unavailable(request):
    request.setResponseCode(503)
    return b""


class PageTests(unittest.TestCase):
    def test_handler_is_found_by_its_path(self):
        handlers = {b"/facts": lambda request: request.args[b"t"][0]}
        response = get(handlers.get, b"/facts?t=7")
        self.assertTrue(response.startswith(b"HTTP/1.1 200"))
        self.assertTrue(response.endswith(b"\r\n\r\n7"))

    def test_unknown_path_is_not_found(self):
        self.assertTrue(get({}.get, b"/x").startswith(b"HTTP/1.1 404"))

    def test_handler_sets_the_status(self):
        response = get(lambda path: respond_unavailable, b"/readyz")
        self.assertTrue(response.startswith(b"HTTP/1.1 503"))

    def test_connection_is_reused(self):
        response = get(lambda path: lambda request: b"x", b"/a", b"/b")
        self.assertEqual(response.count(b"HTTP/1.1 200"), 2)
