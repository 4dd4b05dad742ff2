"""Servers whose responses have a spoilt head: nothing of it may reach a caller."""

import logging

import gatewaycases
import grammars
import hypothesis
import loglines
import msgspec
from hypothesis import strategies
from twisted.internet import error
from twisted.python import failure

from wasabiknot_entry import malformed_responses
from wasabiknot_kernel import outcomes, routes

FIELDS = (
    b"HTTP/1.1 200 OK",
    b"x-wasabiknot-attempt-id: q1",
    b"x-wasabiknot-server-stamp: s1",
)
LENGTH = b"content-length: 9"
CODING = b"transfer-encoding: chunked"
# A part of what the length promises.
PART = b"data"
ENDS = {
    "closed": failure.Failure(error.ConnectionDone()),
    "reset": failure.Failure(error.ConnectionLost()),
}


def setUpModule():  # noqa: N802
    # Each of the many broken responses leaves a line.
    logging.getLogger("wasabiknot").setLevel(logging.ERROR)


def tearDownModule():  # noqa: N802
    logging.getLogger("wasabiknot").setLevel(logging.NOTSET)


def join(lines, body=PART):
    return b"\r\n".join([*lines, b"", body])


class BrokenHeadCase(gatewaycases.GatewayCase):
    def play(self, data, end="closed", size_bytes=None):
        """Plays a server that sends something and ends the connection.

        :return: what the caller has got.
        """
        self.setUp()
        channel = self.connect(gatewaycases.build_head())
        connection = self.accept(0)
        size_bytes = size_bytes or len(data)
        for start in range(0, len(data), size_bytes):
            connection.dataReceived(data[start : start + size_bytes])
        connection.connectionLost(ENDS[end])
        self.advance(0.2)
        return channel.transport.value()

    def check_unknown(self, data):
        for end in ENDS:
            for size_bytes in (None, 1):
                with self.subTest(data=data, end=end, size_bytes=size_bytes):
                    written = self.play(data, end, size_bytes)
                    self.assertTrue(written.startswith(b"HTTP/1.1 502"), written)
                    self.assertNotIn(b"s1", written)
                    self.assertNotIn(PART, written)


class BrokenHeadTests(BrokenHeadCase):
    def test_response_with_a_spoilt_length_or_a_line_that_is_no_field_is_lost(self):
        # Guards against a part of a body that the caller gets as a complete response.
        for line in grammars.ODD_LINES:
            if line in (b"content-length: 5", CODING):
                continue
            for lines in ((*FIELDS, line), (*FIELDS[:2], line, FIELDS[2], LENGTH)):
                self.check_unknown(join(lines))

    def test_response_with_a_status_that_is_none_is_lost(self):
        # Guards against a status of 000.
        for line in grammars.ODD_STATUS_LINES:
            self.check_unknown(join((line, *FIELDS[1:], LENGTH), b"nine more"))

    def test_response_whose_head_ends_early_is_lost(self):
        lines = b"\r\n".join(FIELDS)
        for end in (b"\n\n", b"\n\r\n", b"\r\r\n\r\n"):
            self.check_unknown(lines + end + join((LENGTH,)))


class BrokenStreamHeadTests(BrokenHeadTests):
    """The same of streams, which are relayed as they arrive."""

    def setUp(self):
        super().setUp()
        rule = routes.RetryRule.STREAM
        route = gatewaycases.build_route(retry_rule=rule)
        self.configure(gatewaycases.build_configuration(2, routes=(route,)))


class SpoiltResponseTests(BrokenHeadCase):
    @hypothesis.settings(max_examples=500)
    @hypothesis.given(grammars.spoil_responses(), strategies.sampled_from((None, 1, 9)))
    def test_spoilt_response_reaches_the_caller_only_if_it_is_in_the_grammar(
        self, data, size_bytes
    ):
        fields = b"\r\n".join(FIELDS[1:])
        head, separator, rest = data.partition(b"\r\n")
        data = b"\r\n".join([head, fields, rest]) if separator else data
        expected = grammars.read_response(b"GET", data)
        written = self.play(data, "closed", size_bytes)
        is_whole = expected.state in (grammars.State.COMPLETE, grammars.State.OPEN)
        if not is_whole or expected.status in (503, 101):
            self.assertTrue(written.startswith(b"HTTP/1.1 502"), (data, written))
        elif not data.startswith(b"HTTP/1.1 1"):
            self.assertTrue(
                written.startswith(b"HTTP/1.1 %d" % expected.status), (data, written)
            )


class BrokenHeadCostTests(gatewaycases.GatewayCase):
    def test_broken_head_counts_as_a_lost_response(self):
        # Guards against a request that is called "not run" after a refusal in bytes
        # that can't be read.
        channel = self.connect(gatewaycases.build_head())
        lines = (
            b"HTTP/1.1 503 Full",
            FIELDS[1],
            b"x-wasabiknot-not-executed: 1",
            b" content-length: 0",
        )
        self.accept(0).dataReceived(join(lines, b""))
        self.advance(0.2)
        self.assertEqual(self.read_answer(channel).status, 502)
        self.assertNotIn(b"retry-after", channel.transport.value().lower())
        (call,) = self.metrics.count_attempt.call_args_list
        self.assertIn(outcomes.Outcome.RESPONSE_LOST, call.args)


class BrokenHeadLogTests(BrokenHeadCase):
    def test_log_leads_from_the_request_to_what_its_server_sent(self):
        data = join((*FIELDS, b"no \xe4 field" + b"x" * 1_000))
        with self.assertLogs("wasabiknot", "WARNING") as logs:
            self.play(data)
        (line,) = loglines.list_lines(logs, "response_malformed")
        entry = msgspec.json.decode(line.partition("{")[2].join("{ "))
        self.assertEqual(entry["request"], "q1")
        self.assertEqual(entry["address"], "10.0.0.9:80")
        self.assertEqual(entry["rule"], "field line")
        self.assertTrue(entry["excerpt"].startswith("b'no \\xe4 field"))
        self.assertLess(len(entry["excerpt"]), 200)

    def test_broken_responses_are_counted_by_rule(self):
        def count():
            (family,) = malformed_responses.Collector().collect()
            return {tuple(item.labels.values()): item.value for item in family.samples}

        before = count()
        self.play(join((*FIELDS, b"no field")))
        self.play(join((*FIELDS, CODING), b"x\r\n"))
        after = count()
        for rule in ("field line", "chunk"):
            key = ("server", rule)
            self.assertEqual(after[key], before.get(key, 0) + 1)
