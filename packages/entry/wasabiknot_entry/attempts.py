"""Attempts to run a request on a backend server."""

import msgspec
import treq
from twisted.internet import error, protocol, task
from twisted.web import http

from wasabiknot_entry import exchanges, journal, listeners, streams
from wasabiknot_kernel import messages, wire

STREAM_STALL_TIMEOUT_S = 2.0
STALL_CHECK_INTERVAL_S = 0.25
# Failures to resume a stream, without a new token in between, that end its attempt.
# Silences end it only if the request may be sent again: a sound engine may be silent
# for a second or two, many times in one stream.
MAX_RESUMES = 3
RESUME_BACKOFF_S = 0.1
CANCEL_TIMEOUT_S = 1.0
PROBE_TIMEOUT_S = 1.0
# A sound server may be silent for a second or two; it answers a later probe.
MAX_SILENT_PROBES = 3
FIRST_CONNECTION_ID = 1
JSON_CONTENT_TYPE = "application/json"
JSON_HEADERS = {"Content-Type": [JSON_CONTENT_TYPE]}

Outcome = messages.Outcome


class Attempt:
    """Base class of attempts to run a request on one backend server.

    :param backends: ``backends.BackendClient`` that started the attempt.
    :param effect: ``effects.Dispatch``.
    """

    def __init__(self, backends, effect):
        self._backends = backends
        self._exchange = backends.find_exchange(effect.request_id)
        self.request_id = effect.request_id
        self._base_url = f"http://{effect.address}"
        self._is_finished = False
        self._timer = backends.reactor.callLater(effect.timeout_s, self.time_out)

    def time_out(self):
        """Ends the attempt when its timeout expires."""
        self.finish(Outcome.LOST)

    def cancel(self):
        """Does nothing: plain services do not support cancellation."""

    def finish(self, outcome, tokens=0):
        """Reports the outcome of the attempt; later calls have no effect.

        :param outcome: ``messages.Outcome``.
        :param tokens: number of tokens relayed so far.
        """
        if self._is_finished:
            return
        self._is_finished = True
        if self._timer.active():
            self._timer.cancel()
        self._backends.finish_attempt(self, outcome, tokens)

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
    """An attempt on a plain service, which responds with one JSON document."""

    def __init__(self, backends, effect):
        super().__init__(backends, effect)
        self._probes = 0

    def send(self):
        """Sends the request."""
        if self._exchange is None:
            self.finish(Outcome.NOT_SENT)
            return
        sent = self._backends.http.post(
            f"{self._base_url}/v1/calls", data=self._encode_call(), headers=JSON_HEADERS
        )
        sent.addCallback(self._handle_response)
        sent.addErrback(self._handle_failure)

    def _handle_response(self, response):
        if response.code != http.OK:
            response.deliverBody(protocol.Protocol())
            self.finish(map_status(response.code))
            return None
        return treq.content(response).addCallback(self._handle_body)

    def _handle_body(self, data):
        try:
            response = msgspec.json.decode(data, type=wire.PlainResponse)
        except msgspec.MsgspecError:
            self.finish(Outcome.LOST)
            return
        if response.id != self.request_id or not response.end:
            self.finish(Outcome.LOST)
            return
        self._backends.bus.publish(
            exchanges.Chunk(self.request_id, data, JSON_CONTENT_TYPE)
        )
        self.finish(Outcome.WHOLE)

    def _handle_failure(self, failure):
        if failure.check(error.ConnectError, error.TimeoutError):
            self.finish(Outcome.NOT_SENT)
            return None
        # The server may have run the request. It counts as crashed if it does not
        # respond to the probes either.
        self._probe()
        return None

    def _probe(self):
        self._probes += 1
        started_s = self._backends.reactor.seconds()
        probe = self._backends.http.get(
            f"{self._base_url}/load", timeout=PROBE_TIMEOUT_S
        )
        probe.addCallback(treq.content)
        probe.addCallbacks(
            lambda _: self.finish(Outcome.LOST),
            lambda _: self._handle_failed_probe(started_s),
        )
        probe.addErrback(journal.log_failure, "probe")

    def _handle_failed_probe(self, started_s):
        if self._is_finished:
            return
        waited_s = self._backends.reactor.seconds() - started_s
        is_silent = waited_s >= PROBE_TIMEOUT_S
        if is_silent and self._probes < MAX_SILENT_PROBES:
            self._probe()
            return
        self.finish(Outcome.CRASHED)


class StreamAttempt(Attempt):
    """An attempt on a model engine; resumes the stream after connection failures."""

    def __init__(self, backends, effect):
        super().__init__(backends, effect)
        received = self._exchange.relayed_tokens if self._exchange is not None else 0
        self._reader = streams.StreamReader(self.request_id, received)
        self._connection = None
        self._connection_id = 0
        self._resumes = 0
        self._silences = 0
        self._is_replaceable = effect.is_replaceable
        # Whether the engine hasn't answered the request itself yet.
        self._is_unanswered = False
        self._is_accepted = False
        self._is_cancelled = False
        self._last_activity_s = backends.reactor.seconds()
        self._stall_check = task.LoopingCall(self._check_stall)
        self._stall_check.clock = backends.reactor

    def send(self):
        """Sends the request."""
        if self._exchange is None:
            self.finish(Outcome.NOT_SENT)
            return
        self._start_stall_check()
        self._is_unanswered = True
        url = f"{self._base_url}/v1/streams"
        self._connect(
            lambda: self._backends.http.post(
                url, data=self._encode_call(), headers=JSON_HEADERS, unbuffered=True
            )
        )

    def resume(self):
        """Resumes a stream that the engine already holds."""
        if self._exchange is None:
            self.finish(Outcome.CANCELLED)
            return
        self._is_accepted = True
        self._start_stall_check()
        self._reconnect()

    def _start_stall_check(self):
        check = self._stall_check.start(STALL_CHECK_INTERVAL_S, now=False)
        check.addErrback(journal.log_failure, "stream watch")

    def _connect(self, open_connection):
        self._connection_id += 1
        connection_id = self._connection_id
        self._last_activity_s = self._backends.reactor.seconds()
        opened = open_connection()
        opened.addCallback(self._handle_response, connection_id)
        opened.addErrback(self._handle_failure, connection_id)
        opened.addErrback(journal.log_failure, "stream")

    def _reconnect(self):
        url = f"{self._base_url}/v1/streams/{self.request_id}"
        self._connect(
            lambda: self._backends.http.get(
                url, params={"from": str(self._reader.received_tokens)}, unbuffered=True
            )
        )

    def _handle_response(self, response, connection_id):
        is_request = self._is_unanswered and connection_id == FIRST_CONNECTION_ID
        is_expected = self._is_expected(connection_id)
        self._record_answer(connection_id)
        if not is_expected:
            response.deliverBody(StreamConnection(self, connection_id))
            return
        self._last_activity_s = self._backends.reactor.seconds()
        if response.code == http.OK:
            self._is_accepted = True
            self._close_connection()
            self._connection = StreamConnection(self, connection_id)
            response.deliverBody(self._connection)
            return
        response.deliverBody(protocol.Protocol())
        self._handle_error(response.code, is_request)

    def _handle_error(self, code, is_request):
        if self._connection is not None:
            # The engine has answered the request itself in the meantime.
            return
        if code == http.NOT_FOUND:
            self._handle_unknown_stream()
        elif is_request:
            self.finish(map_status(code), self._reader.received_tokens)
        else:
            # A failed resumption says nothing about the request.
            self._retry_or_finish()

    def _is_expected(self, connection_id):
        if self._is_finished:
            return False
        is_awaited = self._is_unanswered and not self._is_accepted
        is_late_answer = is_awaited and connection_id == FIRST_CONNECTION_ID
        return connection_id == self._connection_id or is_late_answer

    def _record_answer(self, connection_id):
        if connection_id == FIRST_CONNECTION_ID:
            self._is_unanswered = False

    def _handle_unknown_stream(self):
        is_awaited = self._is_unanswered and not self._is_accepted
        if is_awaited and not self._is_replaceable:
            # The engine may have fallen silent before it read the request.
            return
        # An engine that no longer knows an accepted stream has crashed.
        outcome = Outcome.CRASHED if self._is_accepted else Outcome.LOST
        self.finish(outcome, self._reader.received_tokens)

    def _handle_failure(self, failure, connection_id):
        self._record_answer(connection_id)
        is_outdated = connection_id != self._connection_id
        if is_outdated or self._connection is not None or self._is_finished:
            return
        connect_error = failure.check(error.ConnectError, error.TimeoutError)
        is_first = connection_id == FIRST_CONNECTION_ID
        if connect_error and is_first and not self._is_accepted:
            self.finish(Outcome.NOT_SENT)
            return
        if connect_error and self._resumes >= MAX_RESUMES:
            self.finish(Outcome.CRASHED, self._reader.received_tokens)
            return
        self._retry_or_finish()

    def _retry_or_finish(self):
        if self._is_finished:
            return
        if self._is_cancelled:
            self.finish(Outcome.CANCELLED, self._reader.received_tokens)
            return
        if self._resumes >= MAX_RESUMES:
            self.finish(Outcome.LOST, self._reader.received_tokens)
            return
        self._resumes += 1
        self._resume_later()

    def _resume_later(self):
        # From here on, data from the old connection is ignored.
        self._connection_id += 1
        delay_s = RESUME_BACKOFF_S * max(1, self._resumes)
        self._backends.reactor.callLater(delay_s, self._reconnect_if_needed)

    def _reconnect_if_needed(self):
        if not self._is_finished and self._connection is None:
            self._reconnect()

    def _check_stall(self):
        idle_s = self._backends.reactor.seconds() - self._last_activity_s
        if idle_s < STREAM_STALL_TIMEOUT_S:
            return
        self._last_activity_s = self._backends.reactor.seconds()
        self._close_connection()
        self._handle_silence()

    def _close_connection(self):
        connection = self._connection
        self._connection = None
        if connection is not None:
            connection.close()

    def _handle_silence(self):
        if self._is_finished:
            return
        if self._is_cancelled:
            self.finish(Outcome.CANCELLED, self._reader.received_tokens)
            return
        self._silences += 1
        has_tokens = self._reader.received_tokens > 0
        is_replaceable = self._is_replaceable and not has_tokens
        if is_replaceable and self._silences > MAX_RESUMES:
            self.finish(Outcome.LOST)
            return
        self._resume_later()

    def handle_data(self, data, connection_id):
        """Validates and relays data that a connection received.

        :param data: received bytes.
        :param connection_id: id of the connection; data of an outdated one is
            ignored.
        """
        if not self._is_open(connection_id):
            return
        self._last_activity_s = self._backends.reactor.seconds()
        tokens_before = self._reader.received_tokens
        valid_data = self._reader.feed(data)
        if valid_data:
            self._relay(valid_data, tokens_before)
        if self._reader.received_tokens > tokens_before:
            self._resumes = 0
            self._silences = 0
        if self._reader.is_complete:
            self.finish(Outcome.WHOLE, self._reader.received_tokens)
        elif self._reader.is_invalid:
            self._handle_invalid_stream()

    def _is_open(self, connection_id):
        connection = self._connection
        return connection is not None and connection.connection_id == connection_id

    def _relay(self, valid_data, tokens_before):
        if tokens_before == 0 and self._reader.received_tokens:
            self._backends.bus.publish(messages.AttemptStarted(self.request_id))
        self._exchange.relayed_tokens = self._reader.received_tokens
        chunk = exchanges.Chunk(
            self.request_id, valid_data, listeners.STREAM_CONTENT_TYPE
        )
        self._backends.bus.publish(chunk)

    def _handle_invalid_stream(self):
        self._close_connection()
        self._reader = streams.StreamReader(
            self.request_id, self._reader.received_tokens
        )
        self._retry_or_finish()

    def handle_end(self, connection_id):
        """Resumes the stream if its connection closed before the end.

        :param connection_id: id of the connection; an outdated one is ignored.
        """
        if self._is_open(connection_id):
            self._connection = None
            self._retry_or_finish()

    def time_out(self):
        """Cancels the stream when the timeout of the attempt expires."""
        self.cancel()

    def cancel(self):
        """Asks the engine to cancel the stream, then finishes the attempt.

        The engine keeps the cancelled stream for a while.
        """
        if self._is_cancelled:
            return
        self._is_cancelled = True
        url = f"{self._base_url}/v1/streams/{self.request_id}/cancel"
        sent = self._backends.http.post(url, timeout=CANCEL_TIMEOUT_S)
        sent.addCallback(treq.content)
        sent.addBoth(lambda _: self._finish_cancelled())

    def _finish_cancelled(self):
        self.finish(Outcome.CANCELLED, self._reader.received_tokens)

    def finish(self, outcome, tokens=0):
        """Reports the outcome and closes the connection."""
        if self._stall_check.running:
            self._stall_check.stop()
        if outcome is Outcome.WHOLE:
            self._connection = None
        self._close_connection()
        super().finish(outcome, tokens)


class StreamConnection(protocol.Protocol):
    """Passes the body of an engine's response to its attempt.

    :param attempt: ``StreamAttempt``.
    :param connection_id: id of the connection, unique within the attempt.
    """

    def __init__(self, attempt, connection_id):
        self._attempt = attempt
        self.connection_id = connection_id

    def dataReceived(self, data):  # noqa: N802
        """Passes received data to the attempt."""
        self._attempt.handle_data(data, self.connection_id)

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        """Notifies the attempt that the response ended or the connection closed."""
        self._attempt.handle_end(self.connection_id)

    def close(self):
        """Closes the connection."""
        if self.transport is not None:
            self.transport.loseConnection()


def map_status(code):
    """Maps the error status of a backend server to an outcome.

    :param code: HTTP status code.
    :return: ``messages.Outcome``.
    """
    if code == http.SERVICE_UNAVAILABLE:
        return Outcome.REJECTED
    return Outcome.FAILED
