import gatewaycases
from twisted.internet import error
from twisted.python import failure

from wasabiknot_kernel import pauses, routes


class PausedEntryTests(gatewaycases.GatewayCase):
    def hold(self):
        detector = self.deployment.pauses
        detector.check(0.0)
        detector.check(-pauses.HOLD_S / 2)
        detector.check(pauses.MAX_GAP_S)
        self.assertTrue(detector.is_held(0.0))

    def release(self):
        self.deployment.pauses = pauses.PauseDetector()

    def test_request_with_a_key_revoked_during_the_pause_is_rejected(self):
        self.hold()
        channel = self.connect(gatewaycases.build_head())
        self.assertEqual(self.read_answers(channel), [])
        self.release()
        other = routes.Customer("graz", ("k2",), 0, 0.0, 0.0, 200)
        self.configure(gatewaycases.build_configuration(2, customers=(other,)))
        self.advance(pauses.HOLD_S + 0.1)
        (answer,) = self.read_answers(channel)
        self.assertEqual(answer.status, 401)
        self.assertEqual(self.reactor.tcpClients, [])

    def test_request_that_waited_in_the_socket_is_served_after_a_moment(self):
        self.hold()
        channel = self.connect(gatewaycases.build_head())
        self.assertEqual(self.reactor.tcpClients, [])
        self.assertEqual(len(self.gateway), 1)
        self.release()
        self.advance(pauses.HOLD_S + 0.1)
        self.respond(self.accept(0))
        (answer,) = self.read_answers(channel)
        self.assertEqual(answer.status, 200)
        self.assertEqual(len(self.gateway), 0)

    def test_request_whose_caller_leaves_meanwhile_is_dropped(self):
        self.hold()
        channel = self.connect(gatewaycases.build_head())
        channel.connectionLost(failure.Failure(error.ConnectionDone()))
        self.release()
        self.advance(pauses.HOLD_S + 0.1)
        self.assertEqual(self.reactor.tcpClients, [])
        self.assertEqual(len(self.gateway), 0)

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
