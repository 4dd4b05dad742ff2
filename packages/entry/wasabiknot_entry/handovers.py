"""Requests that are forwarded to another entry, which sends their responses."""

from wasabiknot_entry import exchanges, problems
from wasabiknot_kernel import exceptions

Kind = exceptions.ErrorKind
RAN_BY_KIND = {Kind.INCOMPLETE: exceptions.Ran.YES}


class ForwardedRequest:
    """Relays the response of another entry to the callers of an exchange.

    :param exchange: ``exchanges.Exchange``.
    :param effect: ``effects.Forward``.
    :param close: function of a request id that closes its exchange.
    """

    def __init__(self, exchange, effect, close):
        self.exchange = exchange
        self.entry = effect.entry
        self.timeout_s = effect.timeout_s
        self.is_finished = False
        self._close = close
        self._content_type = None

    def start_response(self, status, content_type, retry_after):
        """Forwards the status and the headers of the response.

        :param status: HTTP status code.
        :param content_type: content type.
        :param retry_after: value of the ``Retry-After`` header, or ``None``.
        """
        self._content_type = content_type
        for listener in self.exchange.listeners:
            listener.set_status(status, retry_after)

    def write(self, data):
        """Relays a part of the response body.

        :param data: received bytes.
        """
        chunk = exchanges.Chunk(self.exchange.request_id, data, self._content_type)
        self.exchange.write(chunk)

    def finish(self):
        """Finishes the complete response."""
        self.is_finished = True
        self._close(self.exchange.request_id)
        self.exchange.finish()

    def fail(self, kind):
        """Ends the response with problem details, unless it is finished.

        :param kind: ``ErrorKind``.
        """
        if self.is_finished:
            return
        self.is_finished = True
        self._close(self.exchange.request_id)
        ran = RAN_BY_KIND.get(kind, exceptions.Ran.UNKNOWN)
        problem = problems.build_problem(self.exchange.request_id, kind, ran)
        for listener in self.exchange.listeners:
            listener.fail(problem)
        self.exchange.listeners.clear()
