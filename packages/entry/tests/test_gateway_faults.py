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

    def test_form_that_cannot_be_parsed_closes_the_connection(self):
        kind = b"content-type: multipart/form-data; boundary=x"
        bodies = (
            b"ab",
            b"\r\n--x\r\nContent-Disposition: form-data; name*=x'y'%ff\r\n\r\na",
        )
        for body in bodies:
            with self.subTest(body=body):
                self.setUp()
                size = b"content-length: %d" % len(body)
                head = gatewaycases.build_head(method=b"POST", extra=(kind, size))
                channel = self.connect(head + body)
                connection = self.accept(0)
                self.assertTrue(connection.transport.value().endswith(body))
                self.respond(connection)
                self.assert_status(channel, 200)
