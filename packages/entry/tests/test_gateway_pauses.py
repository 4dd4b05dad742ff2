import gatewaycases

from wasabiknot_kernel import pauses


class PausedEntryTests(gatewaycases.GatewayCase):
    def hold(self):
        detector = self.deployment.pauses
        detector.check(0.0)
        detector.check(-pauses.HOLD_S / 2)
        detector.check(pauses.MAX_GAP_S)
        self.assertTrue(detector.is_held(0.0))

    def release(self):
        self.deployment.pauses = pauses.PauseDetector()

    def test_request_that_waited_in_the_socket_is_refused_as_not_run(self):
        # Guards against a request with a key that was revoked during the pause.
        self.hold()
        channel = self.connect(gatewaycases.build_head())
        (answer,) = self.read_answers(channel)
        self.assertEqual(answer.status, 503)
        self.assertIn(b"retry-after", answer.head)
        self.assertEqual(self.reactor.tcpClients, [])

    def test_queued_request_waits_until_the_entry_is_up_to_date(self):
        # Guards against a send to a server that has left during the pause.
        for number in range(3):
            self.connect(gatewaycases.build_head(f"q{number}"))
        self.assertEqual(len(self.reactor.tcpClients), 2)
        first = self.accept(0)
        self.hold()
        self.respond(first, "q0")
        self.advance(0.1)
        self.assertEqual(len(self.reactor.tcpClients), 2)
        self.release()
        self.advance(0.1)
        sent = self.reactor.tcpClients[2:] or first.transport.value().count(b"GET")
        self.assertTrue(sent)
