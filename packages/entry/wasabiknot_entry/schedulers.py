"""The task that owns the scheduling node."""

import collections
import inspect

import msgspec
from twisted.internet import task
from twisted.python import failure

from wasabiknot_entry import journal
from wasabiknot_kernel import effects, messages, moves, reports

TICK_S = 0.05
MAX_TRACED_REQUESTS = 1_000
MAX_TRACE_LINES = 32


class Scheduler:
    """Feeds messages to the node and sends its effects to the other tasks.

    :param node: the scheduling node.
    :param post: message delivery.
    :param clock: the entry's clock.
    :param reactor: Twisted reactor.
    """

    def __init__(self, node, post, clock, reactor):
        self.node = node
        self._post = post
        self._clock = clock
        self._traces = collections.OrderedDict()
        self._ticker = task.LoopingCall(self._tick)
        self._ticker.clock = reactor
        for message_type in _list_types(messages, messages.Message):
            post.subscribe(message_type, self.receive)

    def start(self):
        """Starts the regular ticks."""
        self._ticker.start(TICK_S, now=False).addErrback(journal.log_failure, "tick")

    def stop(self):
        """Stops the regular ticks."""
        if self._ticker.running:
            self._ticker.stop()

    def receive(self, message):
        """Handles one message.

        :param message: a ``messages.Message``.
        """
        self._trace(message)
        try:
            done = self.node.handle(message, self._clock.now_ms())
        except Exception:
            # One faulty message must not end the task for all requests.
            journal.log_failure(failure.Failure(), type(message).__name__)
            done = self.node.take_effects()
        for effect in done:
            self._trace(effect)
            self._post.send(effect)

    def _tick(self):
        self._post.send(messages.Tick())

    def _trace(self, item):
        request_id = getattr(item, "request_id", None)
        if request_id is None:
            return
        if request_id not in self._traces:
            self._traces[request_id] = []
            if len(self._traces) > MAX_TRACED_REQUESTS:
                self._traces.popitem(last=False)
        lines = self._traces[request_id]
        if len(lines) < MAX_TRACE_LINES:
            lines.append(TracedItem(self._clock.now_ms(), item))

    def explain(self, request_id):
        """Lists the steps of a request.

        :param request_id: the request.
        :return: list of ``reports.TraceLine``; empty if it is unknown.
        """
        return [_describe(traced) for traced in self._traces.get(request_id, ())]

    def list_moves(self):
        """Lists the moves as this entry sees them.

        :return: list of ``moves.MoveReport``.
        """
        state = self.node.state
        return [
            moves.describe(
                move, self._clock.now_ms(), self.node.analyses.get(move.offset)
            )
            for move in state.moves.values()
        ]


class TracedItem(msgspec.Struct, frozen=True):
    """A message or effect with its time.

    :param time_ms: time at which it was handled.
    :param item: the message or effect.
    """

    time_ms: int
    item: messages.Message | effects.Effect


def _describe(traced):
    fields = msgspec.structs.asdict(traced.item)
    fields.pop("request_id")
    detail = " ".join(f"{name}={value}" for name, value in fields.items())
    return reports.TraceLine(traced.time_ms, type(traced.item).__name__, detail)


def _list_types(module, base):
    return [
        item
        for _, item in inspect.getmembers(module, inspect.isclass)
        if issubclass(item, base) and item is not base
    ]
