"""Attempts: one request on one backend server."""

import msgspec
import treq
from twisted.internet import error, protocol, task
from twisted.web import http

from wasabiknot_entry import exchanges, journal, listeners, streams
from wasabiknot_kernel import messages, wire

SILENCE_S = 2.0
WATCH_INTERVAL_S = 0.25
MAX_RESUMES = 3
RESUME_DELAY_S = 0.1
CANCEL_TIMEOUT_S = 1.0
PROBE_TIMEOUT_S = 1.0
JSON_TYPE = "application/json"
JSON_HEADERS = {"Content-Type": [JSON_TYPE]}

Outcome = messages.Outcome


class Attempt:
    """Base of attempts: one request on one backend server.

    :param backends: the owning task.
    :param effect: ``effects.Dispatch``.
    """

    def __init__(self, backends, effect):
        self._backends = backends
        self._exchange = backends.find_exchange(effect.request_id)
        self.request_id = effect.request_id
        self._base = f"http://{effect.address}"
        self._is_ended = False
        self._timer = backends.reactor.callLater(effect.timeout_s, self.time_out)

    def time_out(self):
        """Ends the attempt at its time limit."""
        self.finish(Outcome.LOST)

    def cancel(self):
        """Does nothing: plain services cannot be cancelled."""

    def finish(self, outcome, tokens=0):
        """Ends the attempt once.

        :param outcome: ``messages.Outcome``.
        :param tokens: tokens relayed so far.
        """
        if self._is_ended:
            return
        self._is_ended = True
        if self._timer.active():
            self._timer.cancel()
        self._backends.end(self, outcome, tokens)

    def _encode_call(self):
        body = self._exchange.body
        return msgspec.json.encode(
            wire.WorkerCall(
                self.request_id,
                self._exchange.origin.call,
                body.prompt,
                body.max_tokens,
            )
        )


class PlainAttempt(Attempt):
    """One request to a plain service."""

    def send(self):
        """Sends the request."""
        if self._exchange is None:
            self.finish(Outcome.NOT_SENT)
            return
        sent = self._backends.http.post(
            f"{self._base}/v1/calls", data=self._encode_call(), headers=JSON_HEADERS
        )
        sent.addCallback(self._take_response)
        sent.addErrback(self._take_failure)

    def _take_response(self, response):
        if response.code != http.OK:
            response.deliverBody(protocol.Protocol())
            self.finish(read_status(response.code))
            return None
        return treq.content(response).addCallback(self._take_answer)

    def _take_answer(self, data):
        try:
            answer = msgspec.json.decode(data, type=wire.PlainResponse)
        except msgspec.MsgspecError:
            self.finish(Outcome.LOST)
            return
        if answer.id != self.request_id or not answer.end:
            self.finish(Outcome.LOST)
            return
        self._backends.post.send(exchanges.Chunk(self.request_id, data, JSON_TYPE))
        self.finish(Outcome.WHOLE)

    def _take_failure(self, failure):
        if failure.check(error.ConnectError, error.TimeoutError):
            self.finish(Outcome.NOT_SENT)
            return None
        probe = self._backends.http.get(f"{self._base}/load", timeout=PROBE_TIMEOUT_S)
        probe.addCallback(treq.content)
        probe.addCallbacks(
            lambda _: self.finish(Outcome.LOST), lambda _: self.finish(Outcome.CRASHED)
        )
        return probe


class StreamAttempt(Attempt):
    """One request on a model engine; broken connections are resumed."""

    def __init__(self, backends, effect):
        super().__init__(backends, effect)
        received = self._exchange.tokens if self._exchange is not None else 0
        self._reader = streams.StreamReader(self.request_id, received)
        self._connection = None
        self._connections = 0
        self._resumes = 0
        self._is_answered = False
        self._is_cancelled = False
        self._heard_s = backends.reactor.seconds()
        self._watch = task.LoopingCall(self._check_silence)
        self._watch.clock = backends.reactor

    def send(self):
        """Sends the request."""
        if self._exchange is None:
            self.finish(Outcome.NOT_SENT)
            return
        self._start_watch()
        url = f"{self._base}/v1/streams"
        self._connect(
            lambda: self._backends.http.post(
                url, data=self._encode_call(), headers=JSON_HEADERS, unbuffered=True
            )
        )

    def resume(self):
        """Resumes the stream that the engine holds."""
        if self._exchange is None:
            self.finish(Outcome.CANCELLED)
            return
        self._is_answered = True
        self._start_watch()
        self._reconnect()

    def _start_watch(self):
        watch = self._watch.start(WATCH_INTERVAL_S, now=False)
        watch.addErrback(journal.log_failure, "stream watch")

    def _connect(self, open_connection):
        self._connections += 1
        number = self._connections
        self._heard_s = self._backends.reactor.seconds()
        opened = open_connection()
        opened.addCallback(self._take_response, number)
        opened.addErrback(self._take_failure, number)
        opened.addErrback(journal.log_failure, "stream")

    def _reconnect(self):
        url = f"{self._base}/v1/streams/{self.request_id}"
        self._connect(
            lambda: self._backends.http.get(
                url, params={"from": str(self._reader.received)}, unbuffered=True
            )
        )

    def _take_response(self, response, number):
        if number != self._connections or self._is_ended:
            response.deliverBody(StreamConnection(self, number))
            return
        self._heard_s = self._backends.reactor.seconds()
        if response.code == http.OK:
            self._is_answered = True
            self._connection = StreamConnection(self, number)
            response.deliverBody(self._connection)
            return
        response.deliverBody(protocol.Protocol())
        if response.code == http.NOT_FOUND:
            gone = Outcome.CRASHED if self._is_answered else Outcome.LOST
            self.finish(gone, self._reader.received)
            return
        self.finish(read_status(response.code), self._reader.received)

    def _take_failure(self, failure, number):
        if number != self._connections or self._is_ended:
            return
        refused = failure.check(error.ConnectError, error.TimeoutError)
        if refused and self._resumes == 0 and not self._is_answered:
            self.finish(Outcome.NOT_SENT)
            return
        if refused and self._resumes >= MAX_RESUMES:
            self.finish(Outcome.CRASHED, self._reader.received)
            return
        self._break()

    def _break(self):
        if self._is_ended:
            return
        if self._is_cancelled:
            self.finish(Outcome.CANCELLED, self._reader.received)
            return
        if self._resumes >= MAX_RESUMES:
            self.finish(Outcome.LOST, self._reader.received)
            return
        self._resumes += 1
        self._connections += 1
        delay_s = RESUME_DELAY_S * self._resumes
        self._backends.reactor.callLater(delay_s, self._reconnect_unless_ended)

    def _reconnect_unless_ended(self):
        if not self._is_ended:
            self._reconnect()

    def _check_silence(self):
        silent_s = self._backends.reactor.seconds() - self._heard_s
        if silent_s < SILENCE_S:
            return
        self._heard_s = self._backends.reactor.seconds()
        connection = self._connection
        self._connection = None
        if connection is not None:
            connection.close()
        self._break()

    def take_data(self, data, number):
        """Takes bytes from a connection.

        :param data: bytes.
        :param number: number of the connection.
        """
        if number != self._connections or self._is_ended:
            return
        self._heard_s = self._backends.reactor.seconds()
        before = self._reader.received
        checked = self._reader.feed(data)
        if checked:
            self._relay(checked, before)
        if self._reader.is_whole:
            self.finish(Outcome.WHOLE, self._reader.received)
        elif self._reader.is_crossed:
            self._abandon_crossed()

    def _relay(self, checked, before):
        if before == 0 and self._reader.received:
            self._backends.post.send(messages.AttemptStarted(self.request_id))
        self._exchange.tokens = self._reader.received
        chunk = exchanges.Chunk(self.request_id, checked, listeners.STREAM_TYPE)
        self._backends.post.send(chunk)

    def _abandon_crossed(self):
        connection = self._connection
        self._connection = None
        if connection is not None:
            connection.close()
        self._reader = streams.StreamReader(self.request_id, self._reader.received)
        self._break()

    def take_end(self, number):
        """Takes the end of a connection.

        :param number: number of the connection.
        """
        if number == self._connections and not self._is_ended:
            self._connection = None
            self._break()

    def time_out(self):
        """Cancels the stream at its time limit."""
        self.cancel()

    def cancel(self):
        """Cancels the stream at the engine, which keeps it for a while."""
        if self._is_cancelled:
            return
        self._is_cancelled = True
        url = f"{self._base}/v1/streams/{self.request_id}/cancel"
        sent = self._backends.http.post(url, timeout=CANCEL_TIMEOUT_S)
        sent.addCallback(treq.content)
        sent.addBoth(lambda _: self._finish_cancelled())

    def _finish_cancelled(self):
        self.finish(Outcome.CANCELLED, self._reader.received)

    def finish(self, outcome, tokens=0):
        """Ends the attempt and closes its connection."""
        if self._watch.running:
            self._watch.stop()
        connection = self._connection
        self._connection = None
        if connection is not None and outcome is not Outcome.WHOLE:
            connection.close()
        super().finish(outcome, tokens)


class StreamConnection(protocol.Protocol):
    """Receives the body of an engine's response.

    :param attempt: the attempt.
    :param number: number of the connection within the attempt.
    """

    def __init__(self, attempt, number):
        self._attempt = attempt
        self._number = number

    def dataReceived(self, data):  # noqa: N802
        """Passes bytes on."""
        self._attempt.take_data(data, self._number)

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        """Passes the end on."""
        self._attempt.take_end(self._number)

    def close(self):
        """Closes the connection."""
        if self.transport is not None:
            self.transport.loseConnection()


def read_status(code):
    """Maps a backend server's status code to an outcome.

    :param code: HTTP status code.
    :return: ``messages.Outcome``.
    """
    if code == http.SERVICE_UNAVAILABLE:
        return Outcome.REJECTED
    return Outcome.FAILED
