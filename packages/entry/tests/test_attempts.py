import itertools
import types
import unittest

import msgspec
from twisted.internet import defer, error, task
from twisted.python import failure
from twisted.web import client

from wasabiknot_entry import attempts, exchanges
from wasabiknot_kernel import effects, messages, wire

Outcome = messages.Outcome
DEADLINE_S = 30.0
# The longest silence of a sound server.
SILENCE_S = 2.0


class FakeBody:
    """A response body that the test delivers."""

    def __init__(self, code=200):
        self.code = code
        self.length = 0
        self.reader = None

    def deliverBody(self, reader):  # noqa: N802
        self.reader = reader
        reader.makeConnection(self)

    def loseConnection(self):  # noqa: N802
        pass

    def write(self, data):
        self.reader.dataReceived(data)

    def end(self):
        self.reader.connectionLost(failure.Failure(client.ResponseDone()))


class FakeHttp:
    """Records calls, and ends those whose timeout expires."""

    def __init__(self, clock):
        self._clock = clock
        self.calls = []

    def get(self, url, **options):
        return self._call("GET", url, **options)

    def post(self, url, **options):
        return self._call("POST", url, **options)

    def _call(self, method, url, timeout=None, **_):
        call = types.SimpleNamespace(method=method, url=url, response=defer.Deferred())
        self.calls.append(call)
        if timeout is not None:
            self._clock.callLater(timeout, self._time_out, call)
        return call.response

    def _time_out(self, call):
        if not call.response.called:
            call.response.cancel()

    def list_open(self, method, suffix):
        return [
            call
            for call in self.calls
            if call.method == method
            and call.url.endswith(suffix)
            and not call.response.called
        ]


class FakeBackends:
    def __init__(self, clock):
        self.reactor = clock
        self.http = FakeHttp(clock)
        self.bus = types.SimpleNamespace(publish=self._publish)
        self.data = b""
        self.outcomes = []
        body = types.SimpleNamespace(prompt="p", max_tokens=9)
        origin = exchanges.Origin("engine", "tag", "c", None)
        self._exchange = exchanges.Exchange("r", body, origin)

    def find_exchange(self, request_id):
        return self._exchange

    def finish_attempt(self, attempt, outcome, tokens=0):
        self.outcomes.append(outcome)

    def _publish(self, message):
        if isinstance(message, exchanges.Chunk):
            self.data += message.data


def encode_event(n, end=False):
    event = wire.StreamEvent("r", n, "" if end else f"t{n}", end=end)
    return b"data: " + msgspec.json.encode(event) + b"\n\n"


class AttemptTestCase(unittest.TestCase):
    attempt_class = None

    def setUp(self):
        self.clock = task.Clock()
        self.backends = FakeBackends(self.clock)
        self.http = self.backends.http
        self.attempt = self.attempt_class(self.backends, self.build_effect())

    def build_effect(self):
        return effects.Dispatch("r", "w", "10.0.0.1:80", True, DEADLINE_S)

    def advance(self, duration_s):
        self.clock.pump([0.05] * round(duration_s / 0.05))


class PlainAttemptTests(AttemptTestCase):
    attempt_class = attempts.PlainAttempt

    def reset_connection(self):
        self.attempt.send()
        [call] = self.http.list_open("POST", "/v1/calls")
        reason = failure.Failure(error.ConnectionLost())
        call.response.errback(client.ResponseNeverReceived([reason]))

    def test_silence_after_a_lost_connection_is_not_a_crash(self):
        self.reset_connection()
        self.advance(SILENCE_S)
        for probe in self.http.list_open("GET", "/load"):
            probe.response.callback(FakeBody())
        self.assertNotIn(Outcome.CRASHED, self.backends.outcomes)

    def test_server_that_refuses_the_probe_has_crashed(self):
        self.reset_connection()
        [probe] = self.http.list_open("GET", "/load")
        probe.response.errback(error.ConnectionRefusedError())
        self.assertEqual(self.backends.outcomes, [Outcome.CRASHED])

    def test_server_that_is_silent_for_good_has_crashed(self):
        self.reset_connection()
        self.advance(5.0)
        self.assertEqual(self.backends.outcomes, [Outcome.CRASHED])


class StreamAttemptTests(AttemptTestCase):
    attempt_class = attempts.StreamAttempt

    def setUp(self):
        super().setUp()
        self.attempt.send()
        self.numbers = itertools.count()

    def answer(self, method, suffix, code=200):
        [call] = self.http.list_open(method, suffix)
        body = FakeBody(code)
        call.response.callback(body)
        return body

    def accept(self):
        body = self.answer("POST", "/v1/streams")
        body.write(b": ok\n\n")
        return body

    def take_up(self, body):
        """Answers the resumption, if there is one."""
        if self.http.list_open("GET", "/v1/streams/r"):
            return self.answer("GET", "/v1/streams/r")
        return body

    def assert_whole(self, body):
        body.write(encode_event(next(self.numbers), end=True))
        self.assertEqual(self.backends.outcomes, [Outcome.WHOLE])

    def test_stream_with_repeated_silences_is_whole(self):
        body = self.accept()
        for _ in range(6):
            body.write(encode_event(next(self.numbers)))
            self.advance(SILENCE_S + 0.5)
            self.assertEqual(self.backends.outcomes, [])
            body = self.take_up(body)
        self.assert_whole(body)

    def test_engine_that_times_out_between_tokens_has_not_crashed(self):
        body = self.accept()
        for _ in range(6):
            body.write(encode_event(next(self.numbers)))
            body.end()
            self.advance(0.15)
            [call] = self.http.list_open("GET", "/v1/streams/r")
            call.response.errback(error.TimeoutError())
            self.assertEqual(self.backends.outcomes, [])
            self.advance(0.3)
            body = self.answer("GET", "/v1/streams/r")
        self.assert_whole(body)

    def test_resumption_answered_503_does_not_mean_that_the_request_did_not_run(self):
        body = self.accept()
        body.write(encode_event(next(self.numbers)))
        self.advance(SILENCE_S + 0.5)
        self.answer("GET", "/v1/streams/r", code=503)
        self.advance(0.5)
        self.assertEqual(self.backends.outcomes, [])
        self.assert_whole(self.answer("GET", "/v1/streams/r"))

    def test_silent_engine_keeps_a_request_that_may_run_once(self):
        self.accept()
        self.advance(DEADLINE_S - 1.0)
        self.assertEqual(self.backends.outcomes, [])

    def test_silent_engine_loses_a_replaceable_request_after_four_silences(self):
        self.backends = FakeBackends(self.clock)
        self.http = self.backends.http
        effect = msgspec.structs.replace(self.build_effect(), is_replaceable=True)
        self.attempt = self.attempt_class(self.backends, effect)
        self.attempt.send()
        self.accept()
        self.advance(4 * SILENCE_S - 0.1)
        self.assertEqual(self.backends.outcomes, [])
        self.advance(2.0)
        self.assertEqual(self.backends.outcomes, [Outcome.LOST])

    def test_request_that_a_silent_engine_has_not_read_yet_is_not_lost(self):
        self.advance(SILENCE_S + 0.5)
        if self.http.list_open("GET", "/v1/streams/r"):
            self.answer("GET", "/v1/streams/r", code=404)
        self.assertEqual(self.backends.outcomes, [])
        body = self.answer("POST", "/v1/streams")
        body.write(encode_event(next(self.numbers)))
        self.assert_whole(body)

    def test_unknown_stream_is_lost_once_the_request_has_failed(self):
        self.advance(SILENCE_S + 0.5)
        self.answer("GET", "/v1/streams/r", code=404)
        [call] = self.http.list_open("POST", "/v1/streams")
        call.response.errback(error.ConnectionLost())
        self.advance(SILENCE_S + 0.5)
        self.answer("GET", "/v1/streams/r", code=404)
        self.assertEqual(self.backends.outcomes, [Outcome.LOST])

    def test_resumption_refused_before_the_request_was_read_is_no_crash(self):
        self.advance(SILENCE_S + 0.5)
        body = self.accept()
        self.answer("GET", "/v1/streams/r", code=404)
        self.assert_whole(body)

    def test_resumption_after_a_late_answer_takes_over_the_stream(self):
        self.advance(SILENCE_S + 0.5)
        self.accept()
        self.assert_whole(self.answer("GET", "/v1/streams/r"))

    def test_answer_after_an_accepted_resumption_is_ignored(self):
        self.advance(SILENCE_S + 0.5)
        body = self.answer("GET", "/v1/streams/r")
        self.accept()
        self.assert_whole(body)


if __name__ == "__main__":
    unittest.main()
