"""Runs the scheduling node on the message bus of the entry."""

import collections
import inspect

import msgspec
from twisted.internet import task
from twisted.python import failure

from wasabiknot_entry import journal
from wasabiknot_kernel import effects, messages, moves, reports

TICK_INTERVAL_S = 0.05
MAX_TRACED_REQUESTS = 1_000
MAX_TRACE_LINES = 32


class Scheduler:
    """Passes messages to the node and publishes the effects that it returns.

    :param node: scheduling node.
    :param bus: ``mailboxes.MessageBus``.
    :param clock: ``clocks.Clock``.
    :param reactor: Twisted reactor.
    """

    def __init__(self, node, bus, clock, reactor):
        self.node = node
        self._bus = bus
        self._clock = clock
        self._traces = collections.OrderedDict()
        self._tick_loop = task.LoopingCall(self._tick)
        self._tick_loop.clock = reactor
        for message_type in _list_subclasses(messages, messages.Message):
            bus.subscribe(message_type, self.handle_message)

    def start(self):
        """Starts the periodic ticks."""
        self._tick_loop.start(TICK_INTERVAL_S, now=False).addErrback(
            journal.log_failure, "tick"
        )

    def stop(self):
        """Stops the periodic ticks."""
        if self._tick_loop.running:
            self._tick_loop.stop()

    def handle_message(self, message):
        """Passes a message to the node and publishes the resulting effects.

        :param message: ``messages.Message``.
        """
        self._trace(message)
        try:
            emitted = self.node.handle(message, self._clock.now_ms())
        except Exception:
            # An error in one message must not stop the scheduling of all requests.
            journal.log_failure(failure.Failure(), type(message).__name__)
            emitted = self.node.pop_effects()
        for effect in emitted:
            self._trace(effect)
            self._bus.publish(effect)

    def _tick(self):
        self._bus.publish(messages.Tick())

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

    def list_trace(self, request_id):
        """Lists the recorded messages and effects of a request.

        :param request_id: id of the request.
        :return: list of ``reports.TraceLine``; empty if no trace is stored.
        """
        return [
            _format_item(traced_item)
            for traced_item in self._traces.get(request_id, ())
        ]

    def list_moves(self):
        """Lists the moves and their state on this entry.

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
    """A message or effect in the trace of a request.

    :param time_ms: Unix time at which it was handled, in milliseconds.
    :param item: the message or effect.
    """

    time_ms: int
    item: messages.Message | effects.Effect


def _format_item(traced_item):
    fields = msgspec.structs.asdict(traced_item.item)
    fields.pop("request_id")
    detail = " ".join(f"{name}={value}" for name, value in fields.items())
    return reports.TraceLine(
        traced_item.time_ms, type(traced_item.item).__name__, detail
    )


def _list_subclasses(module, base):
    return [
        item
        for _, item in inspect.getmembers(module, inspect.isclass)
        if issubclass(item, base) and item is not base
    ]
