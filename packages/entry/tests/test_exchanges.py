"""Tests for relaying responses to callers and for the message bus."""

import unittest

from twisted.web import http_headers

from wasabiknot_entry import exchanges, listeners, mailboxes, problems
from wasabiknot_kernel import exceptions


class FakeTransport:
    def __init__(self):
        self.is_aborted = False

    def abortConnection(self):  # noqa: N802
        self.is_aborted = True


class FakeRequest:
    """Fake of a Twisted web request, with the interface that a listener uses."""

    def __init__(self):
        self.body = b""
        self.code = 200
        self.is_finished = False
        self.responseHeaders = http_headers.Headers()
        self.transport = FakeTransport()

    def registerProducer(self, producer, streaming):  # noqa: N802
        self.producer = producer

    def unregisterProducer(self):  # noqa: N802
        self.producer = None

    def setHeader(self, name, value):  # noqa: N802
        self.responseHeaders.setRawHeaders(name, [value])

    def setResponseCode(self, code):  # noqa: N802
        self.code = code

    def write(self, data):
        self.body += data

    def finish(self):
        assert not self.is_finished
        self.is_finished = True


def build_exchange(key=None):
    origin = exchanges.Origin("s", "c", "customer", key)
    return exchanges.Exchange("r", None, origin)


def write(exchange, data):
    exchange.write(exchanges.Chunk("r", data, listeners.STREAM_CONTENT_TYPE))


class ExchangeTests(unittest.TestCase):
    def test_late_duplicate_gets_the_complete_response(self):
        exchange = build_exchange(key="k")
        write(exchange, b"one ")
        request = FakeRequest()
        exchange.attach(listeners.Listener(request))
        write(exchange, b"two")
        exchange.finish()
        late_request = FakeRequest()
        exchange.attach(listeners.Listener(late_request))
        self.assertEqual((request.body, late_request.body), (b"one two", b"one two"))
        self.assertTrue(late_request.is_finished)

    def test_oldest_cached_response_is_evicted_above_the_limit(self):
        cache = exchanges.Exchanges()
        size = exchanges.MAX_CACHED_BYTES // 2
        for name in ("a", "b", "c"):
            exchange = build_exchange(key="k")
            exchange.request_id = name
            write(exchange, b"x" * size)
            cache.cache(exchange)
        self.assertIsNone(cache.find("a"))
        self.assertIsNotNone(cache.find("c"))


class ListenerTests(unittest.TestCase):
    def test_data_is_buffered_while_the_caller_is_paused(self):
        request = FakeRequest()
        listener = listeners.Listener(request)
        listener.pauseProducing()
        listener.write(b"a", listeners.STREAM_CONTENT_TYPE)
        listener.finish()
        self.assertEqual((request.body, request.is_finished), (b"", False))
        listener.resumeProducing()
        self.assertEqual((request.body, request.is_finished), (b"a", True))

    def test_caller_that_does_not_read_is_disconnected(self):
        request = FakeRequest()
        listener = listeners.Listener(request)
        listener.pauseProducing()
        for _ in range(3):
            listener.write(
                b"x" * listeners.MAX_UNSENT_BYTES, listeners.STREAM_CONTENT_TYPE
            )
        self.assertTrue(request.transport.is_aborted)
        listener.finish()
        self.assertFalse(request.is_finished)

    def test_problem_before_the_first_byte_is_the_response(self):
        request = FakeRequest()
        listener = listeners.Listener(request)
        kind = exceptions.ErrorKind.QUEUE_FULL
        listener.fail(problems.build_problem("r", kind))
        self.assertEqual(request.code, 503)
        self.assertEqual(request.responseHeaders.getRawHeaders("retry-after"), ["2"])
        self.assertIn(b'"ran":"no"', request.body)

    def test_problem_within_a_stream_omits_the_end_marker(self):
        request = FakeRequest()
        listener = listeners.Listener(request)
        listener.write(b"data: {}\n\n", listeners.STREAM_CONTENT_TYPE)
        kind = exceptions.ErrorKind.INCOMPLETE
        listener.fail(problems.build_problem("r", kind, exceptions.Ran.YES))
        self.assertIn(b"event: error", request.body)
        self.assertNotIn(b'"end":true', request.body)


class MessageBusTests(unittest.TestCase):
    def test_message_published_during_a_delivery_is_queued(self):
        bus = mailboxes.MessageBus()
        order = []

        def handle(message):
            order.append(f"begin {message}")
            if message == "a":
                bus.publish("b")
            order.append(f"end {message}")

        bus.subscribe(str, handle)
        bus.publish("a")
        self.assertEqual(order, ["begin a", "end a", "begin b", "end b"])


if __name__ == "__main__":
    unittest.main()
