import unittest
from unittest import mock

import gatewaycases
from twisted.internet import error
from twisted.python import failure

from wasabiknot_kernel import resends

REFUSED = failure.Failure(error.ConnectionRefusedError())
STEP_S = 0.001
# Sends of one request to two servers that refuse connections: 1 s of backoffs.
MAX_SENDS_PER_S = 12
# Longest wait for the next try once a server accepts connections again.
MAX_WAIT_S = resends.MAX_WAIT_S + 0.03


class RefusingServerTests(gatewaycases.GatewayCase):
    """All servers of a service refuse connections for a time.

    Guards against requests that are sent again each millisecond meanwhile.
    """

    def setUp(self):
        super().setUp()
        self.register("w2")
        self.sends = 0
        self.accepted = []

    def advance_refusing(self, seconds, accepts=False):
        for _ in range(round(seconds / STEP_S)):
            self.reactor.advance(STEP_S)
            # A send that follows at once is answered in the next step.
            for _ in range(len(self.reactor.tcpClients) - self.sends):
                self.sends += 1
                if accepts:
                    self.accepted.append(self.accept(self.sends - 1))
                else:
                    factory = self.reactor.tcpClients[self.sends - 1][2]
                    factory.clientConnectionFailed(None, REFUSED)

    def ask(self, request_id="q1"):
        return self.connect(gatewaycases.build_head(request_id))

    def test_request_is_sent_a_few_times_a_second(self):
        with mock.patch.object(resends, "compute_wait_s", lambda unreached: 0.0):
            self.ask()
            self.advance_refusing(1.0)
        without_backoff = self.sends
        self.assertGreater(without_backoff, 300)
        self.setUp()
        self.ask()
        self.advance_refusing(1.0)
        self.assertLessEqual(self.sends, MAX_SENDS_PER_S)
        self.assertGreaterEqual(self.sends, 4)

    def test_each_server_is_tried_at_once(self):
        # Guards against a wait where the first server had only closed a connection.
        self.ask()
        self.advance_refusing(2 * STEP_S)
        self.assertGreaterEqual(self.sends, 2)

    def test_request_is_answered_soon_after_a_server_accepts_again(self):
        channel = self.ask()
        self.advance_refusing(1.5)
        self.assertEqual(self.read_answers(channel), [])
        self.advance_refusing(MAX_WAIT_S, accepts=True)
        (connection,) = self.accepted
        self.respond(connection)
        self.assertEqual(self.read_answer(channel).status, 200)

    def test_request_takes_a_sound_server_at_once(self):
        channel = self.ask()
        self.advance_refusing(0.5)
        self.register("w3")
        # Any step of the queue sends it.
        self.advance_refusing(0.03, accepts=True)
        self.assertEqual(len(self.accepted), 1)
        self.respond(self.accepted[0])
        self.assertEqual(self.read_answer(channel).status, 200)

    def test_waiting_requests_do_not_have_others_refused(self):
        channels = [self.ask(f"q{number}") for number in range(20)]
        self.advance_refusing(1.0)
        channels += [self.ask("late")]
        self.advance_refusing(0.5)
        answers = [self.read_answers(channel) for channel in channels]
        self.assertEqual(answers, [[]] * 21)
        self.assertLessEqual(self.sends, 1.5 * 21 * MAX_SENDS_PER_S)

    def test_request_ends_at_its_deadline_and_has_not_run(self):
        channel = self.ask()
        self.advance_refusing(10.0)
        self.assertEqual(self.read_answer(channel).status, 503)
        self.assertEqual(self.deployment.get_dispatcher("desk").list_waiting(), [])


class WaitTests(unittest.TestCase):
    def test_waits_double_up_to_the_maximum(self):
        waits_s = [resends.compute_wait_s(unreached) for unreached in range(9)]
        self.assertEqual(waits_s[:3], [0.0, 0.0, resends.INITIAL_WAIT_S])
        self.assertEqual(waits_s, sorted(waits_s))
        self.assertEqual(waits_s[-1], resends.MAX_WAIT_S)
        self.assertEqual(resends.compute_wait_s(10**9), resends.MAX_WAIT_S)


if __name__ == "__main__":
    unittest.main()
