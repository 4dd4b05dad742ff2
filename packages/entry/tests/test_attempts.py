import types
import unittest

from twisted.internet import defer, error, task
from twisted.python import failure
from twisted.web import client

from wasabiknot_entry import attempts, exchanges
from wasabiknot_kernel import effects, messages

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


if __name__ == "__main__":
    unittest.main()
