"""HTTP client for requests to backend servers."""

from wasabiknot_entry import agents, attempts
from wasabiknot_kernel import effects, messages

CONNECT_TIMEOUT_S = 1.0


class BackendClient:
    """Starts, cancels and tracks the attempts on backend servers.

    :param bus: ``mailboxes.MessageBus``.
    :param reactor: Twisted reactor.
    :param find_exchange: function of a request id that returns the exchange of the
        request or ``None``.
    """

    def __init__(self, bus, reactor, find_exchange):
        self.bus = bus
        self.reactor = reactor
        self.find_exchange = find_exchange
        # Each attempt opens a new connection: a pooled one may be unresponsive, and
        # a request lost on it could not be retried.
        self.http = agents.create_client(reactor, CONNECT_TIMEOUT_S)
        self._attempts = {}
        bus.subscribe(effects.Dispatch, self._dispatch)
        bus.subscribe(effects.Resume, self._resume)
        bus.subscribe(effects.Cancel, self._cancel)

    def _dispatch(self, effect):
        attempt_type = attempts.PlainAttempt
        if effect.is_engine:
            attempt_type = attempts.StreamAttempt
        self._register(attempt_type(self, effect)).send()

    def _resume(self, effect):
        self._register(attempts.StreamAttempt(self, effect)).resume()

    def _register(self, attempt):
        self._attempts[attempt.request_id] = attempt
        return attempt

    def _cancel(self, effect):
        attempt = self._attempts.get(effect.request_id)
        if attempt is not None:
            attempt.cancel()

    def finish_attempt(self, attempt, outcome, tokens=0):
        """Publishes the outcome of an attempt and stops tracking it.

        :param attempt: ``attempts.Attempt``.
        :param outcome: ``messages.Outcome``.
        :param tokens: number of tokens relayed so far.
        """
        if self._attempts.get(attempt.request_id) is attempt:
            del self._attempts[attempt.request_id]
        self.bus.publish(messages.AttemptEnded(attempt.request_id, outcome, tokens))
