"""A request that another entry answers, as this entry relays it."""

from wasabiknot_entry import exchanges, problems
from wasabiknot_kernel import exceptions

Kind = exceptions.ErrorKind
RAN = {Kind.INCOMPLETE: exceptions.Ran.YES}


class Handover:
    """Relays the answer of another entry to the callers of an exchange.

    :param exchange: the exchange.
    :param effect: ``effects.Forward``.
    :param close: function that closes the exchange.
    """

    def __init__(self, exchange, effect, close):
        self.exchange = exchange
        self.entry = effect.entry
        self.timeout_s = effect.timeout_s
        self.is_ended = False
        self._close = close
        self._content_type = None

    def begin(self, status, content_type, retry_after):
        """Takes the status line and headers.

        :param status: HTTP status code.
        :param content_type: content type.
        :param retry_after: value of ``Retry-After``, or ``None``.
        """
        self._content_type = content_type
        for listener in self.exchange.listeners:
            listener.set_status(status, retry_after)

    def write(self, data):
        """Relays bytes.

        :param data: bytes.
        """
        chunk = exchanges.Chunk(self.exchange.request_id, data, self._content_type)
        self.exchange.write(chunk)

    def finish(self):
        """Ends the answer."""
        self.is_ended = True
        self._close(self.exchange.request_id)
        self.exchange.finish()

    def fail(self, kind):
        """Ends the answer with problem details.

        :param kind: kind of error.
        """
        if self.is_ended:
            return
        self.is_ended = True
        self._close(self.exchange.request_id)
        ran = RAN.get(kind, exceptions.Ran.UNKNOWN)
        problem = problems.build_problem(self.exchange.request_id, kind, ran)
        for listener in self.exchange.listeners:
            listener.fail(problem)
        self.exchange.listeners.clear()
