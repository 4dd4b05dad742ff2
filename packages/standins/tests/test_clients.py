import unittest
from unittest import mock

from twisted.internet import defer, task

from wasabiknot_standins import clients

DEADLINE_MS = 500
TIMEOUT_S = DEADLINE_MS / 1_000 + clients.TIMEOUT_GRACE_S


class CallerTests(unittest.TestCase):
    def setUp(self):
        self.clock = task.Clock()
        patcher = mock.patch.object(clients, "reactor", self.clock)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.post = defer.Deferred()
        self.caller = clients.Caller()
        self.caller._http = mock.Mock(post=mock.Mock(return_value=self.post))

    def send(self):
        plan = mock.Mock(deadline_ms=DEADLINE_MS, max_tokens=0, call="look-up-stand")
        request = clients.CallRequest("127.0.0.1:1", plan, "graz", "x")
        return defer.ensureDeferred(self.caller.send(request))

    def test_call_without_any_response_ends_with_its_timeout(self):
        sent = self.send()
        self.clock.advance(TIMEOUT_S - 0.1)
        self.assertFalse(sent.called)
        self.clock.advance(0.2)
        self.assertTrue(sent.called)
        self.assertEqual(sent.result.status, 0)

    def test_call_without_the_end_of_its_response_ends_with_its_timeout(self):
        sent = self.send()
        head = mock.Mock(code=200)
        head.headers.getRawHeaders.return_value = ["q1"]
        self.post.callback(head)
        collector = head.deliverBody.call_args.args[0]
        collector.dataReceived(b"{")
        self.clock.advance(TIMEOUT_S + 0.1)
        self.assertTrue(sent.called)
        self.assertEqual((sent.result.status, sent.result.complete), (200, False))
