"""The task that owns the connections to backend servers."""

from treq import client as treq_client
from twisted.web import client

from wasabiknot_entry import attempts
from wasabiknot_kernel import effects, messages

CONNECT_TIMEOUT_S = 1.0


class Backends:
    """Runs attempts on backend servers.

    :param post: message delivery.
    :param reactor: Twisted reactor.
    :param find_exchange: finds the exchange of a request.
    """

    def __init__(self, post, reactor, find_exchange):
        self.post = post
        self.reactor = reactor
        self.find_exchange = find_exchange
        # A new connection for each attempt: a pooled one may have gone silent,
        # and a request lost on it could not be sent again.
        agent = client.Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S)
        self.http = treq_client.HTTPClient(agent)
        self._attempts = {}
        post.subscribe(effects.Dispatch, self._dispatch)
        post.subscribe(effects.Resume, self._resume)
        post.subscribe(effects.Cancel, self._cancel)

    def _dispatch(self, effect):
        kind = attempts.PlainAttempt
        if effect.is_engine:
            kind = attempts.StreamAttempt
        self._begin(kind(self, effect)).send()

    def _resume(self, effect):
        self._begin(attempts.StreamAttempt(self, effect)).resume()

    def _begin(self, attempt):
        self._attempts[attempt.request_id] = attempt
        return attempt

    def _cancel(self, effect):
        attempt = self._attempts.get(effect.request_id)
        if attempt is not None:
            attempt.cancel()

    def end(self, attempt, outcome, tokens=0):
        """Reports the end of an attempt.

        :param attempt: the attempt.
        :param outcome: ``messages.Outcome``.
        :param tokens: tokens relayed so far.
        """
        if self._attempts.get(attempt.request_id) is attempt:
            del self._attempts[attempt.request_id]
        self.post.send(messages.AttemptEnded(attempt.request_id, outcome, tokens))
