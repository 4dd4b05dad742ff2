import gatewaycases


class OddRequestTests(gatewaycases.GatewayCase):
    def assert_status(self, channel, status):
        self.assertEqual(self.read_answer(channel).status, status)
        self.assertEqual(len(self.gateway), 0)
        self.assertFalse(self.deployment.find_server("w1").sends)

    def test_request_that_cannot_be_sent_waits_until_its_deadline(self):
        build = gatewaycases.build_head
        for head in (
            build(target=b"/draft/\x7f"),
            build(target=b"/draft/\xb0"),
            build(extra=(b"x-odd: a\x0cb",)),
            build(extra=(b"x-odd: \x0b",)),
            build(extra=(b"host: a.example",)),
            build(method=b"CONNECT"),
        ):
            with self.subTest(head=head):
                self.setUp()
                channel = self.connect(head)
                for number in range(len(self.reactor.tcpClients)):
                    self.accept(number)
                self.assert_status(channel, 400)
                self.assertEqual(self.reactor.tcpClients, [])

    def test_framing_of_the_caller_is_not_a_fault(self):
        head = gatewaycases.build_head(
            method=b"POST", extra=(b"transfer-encoding: Chunked", b"expect: x")
        )
        channel = self.connect(head + b"1\r\na\r\n0\r\n\r\n")
        self.respond(self.accept(0))
        self.assert_status(channel, 200)
