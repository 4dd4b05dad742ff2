import gatewaycases

ACCEPT_S = 2.7


class StopTests(gatewaycases.GatewayCase):
    def send(self, request_id):
        return self.connect(gatewaycases.build_head(request_id))

    def test_response_to_a_request_in_flight_at_the_signal_closes_the_connection(self):
        channel = self.send("q1")
        connection = self.accept(0)
        self.gateway.stop(ACCEPT_S)
        self.respond(connection)
        answer = self.read_answer(channel)
        self.assertEqual((answer.status, answer.body), (200, b"ok"))
        self.assertEqual(answer.head[b"connection"], b"close")
        self.assertTrue(channel.transport.disconnecting)

    def test_second_request_that_arrives_with_the_first_is_dropped(self):
        heads = [gatewaycases.build_head(f"q{number}") for number in (1, 2)]
        for is_before in (True, False):
            with self.subTest(is_before=is_before):
                self.setUp()
                channel = self.connect()
                if is_before:
                    channel.dataReceived(b"".join(heads))
                self.gateway.stop(ACCEPT_S)
                if not is_before:
                    channel.dataReceived(b"".join(heads))
                connection = self.accept(0)
                self.respond(connection)
                self.respond(connection, "q2")
                answers = self.read_answers(channel)
                self.assertEqual([item.status for item in answers], [200, 200])
                self.assertNotIn(b"connection", answers[0].head)
                self.assertEqual(answers[1].head[b"connection"], b"close")
