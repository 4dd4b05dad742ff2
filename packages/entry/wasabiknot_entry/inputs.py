"""Shares the time of the event loop among the connections whose input is costly.

Few bytes can take long to handle: a body in chunks of a byte, a stream of empty events.
So input is handled in steps. The first turn of a read is taken at once, which is enough
for most requests and responses, and for long bodies. What follows is handled while such
steps take less than a part of the time; the rest waits for its next turn, and its
connection isn't read meanwhile.
"""

import enum
import time

from prometheus_client import core
from twisted.internet import task

from wasabiknot_entry import journal
from wasabiknot_kernel import events

# Bytes of the first step of a read; further steps grow up to the maximum while they are
# cheap.
FIRST_STEP_BYTES = 2048
MAX_STEP_BYTES = 16 * 1024
CHEAP_STEP_S = 0.000_5
# Part of the time that the further steps of all connections may take.
MAX_TIME_SHARE = 0.5
# Time that they may take at once, and the longest debt that counts: a step may have
# taken long as the process had no processor.
BURST_S = 0.01
MAX_DEBT_S = 0.05
# Time that a connection gets before the next one whose input waits.
TURN_S = 0.001
# Time on one step from which the log says whose input it was.
LONG_INPUT_S = 0.05


class Source(enum.Enum):
    """What may be at the other end of a connection. The values appear in logs."""

    CALLER = "caller"
    SERVER = "server"
    PEER = "peer"
    # The store, and peers whose facts are copied.
    CONTROL = "control"


class InputScheduler:
    """Decides when the input of connections is handled, and measures how long.

    :param reactor: Twisted reactor.
    :param seconds: function that returns the time of a steady clock, in seconds.
    """

    def __init__(self, reactor, seconds=time.perf_counter):
        self._reactor = reactor
        self.seconds = seconds
        self._balance_s = BURST_S
        self._updated_s = seconds()
        self._cooperator = task.Cooperator(lambda: self._is_exhausted, self._schedule)
        self._spent_s = dict.fromkeys(Source, 0.0)
        self._delayed_count = dict.fromkeys(Source, 0)

    def has_time(self):
        """Tells whether a further step may be handled now.

        :return: ``False`` if such steps have taken their part of the time.
        """
        now_s = self.seconds()
        earned_s = (now_s - self._updated_s) * MAX_TIME_SHARE
        self._balance_s = min(self._balance_s + earned_s, BURST_S)
        self._updated_s = now_s
        return self._balance_s > 0

    def _is_exhausted(self):
        return not self.has_time()

    def record_step(self, stepped, size_bytes, spent_s, is_first):
        """Records how long a step has taken.

        :param stepped: ``Input``.
        :param size_bytes: size of the step, in bytes.
        :param spent_s: time in seconds.
        :param is_first: whether it belongs to the first turn of a read.
        """
        self._spent_s[stepped.source] += spent_s
        if not is_first:
            self._balance_s = max(self._balance_s - spent_s, -MAX_DEBT_S)
        if spent_s >= LONG_INPUT_S:
            journal.write(
                events.Event.INPUT_LONG,
                source=stepped.source.value,
                address=stepped.address,
                size_bytes=size_bytes,
                spent_ms=round(spent_s * 1_000),
            )

    def delay(self, delayed, turns):
        """Handles the rest of a read in turns with that of other connections.

        :param delayed: ``Input``.
        :param turns: iterator, each step of which is one turn.
        :return: deferred that fires when the iterator has ended.
        """
        self._delayed_count[delayed.source] += 1
        journal.write(
            events.Event.INPUT_DELAYED,
            source=delayed.source.value,
            address=delayed.address,
            size_bytes=delayed.size_bytes,
        )
        return self._cooperator.coiterate(turns)

    def _schedule(self, run):
        self.has_time()
        delay_s = max(0.0, -self._balance_s / MAX_TIME_SHARE)
        return self._reactor.callLater(delay_s, run)

    def collect(self):
        """Collects the metrics for a scrape.

        :return: iterator of metric families.
        """
        spent = core.CounterMetricFamily(
            "wasabiknot_input_seconds",
            "Time spent on received bytes.",
            labels=["source"],
        )
        delayed = core.CounterMetricFamily(
            "wasabiknot_input_delayed",
            "Reads of which a part had to wait, as it takes long to handle.",
            labels=["source"],
        )
        for source in Source:
            spent.add_metric([source.value], self._spent_s[source])
            delayed.add_metric([source.value], self._delayed_count[source])
        yield from (spent, delayed)


class Input:
    """What a connection has received and not handled yet.

    :param scheduler: ``InputScheduler``.
    :param source: ``Source``.
    :param transport: transport of the connection.
    :param handle: function of the bytes of a step.
    :param may_go_on: function that tells whether the protocol takes more input.
    """

    def __init__(self, scheduler, source, transport, handle, may_go_on):
        self._scheduler = scheduler
        self.source = source
        self._transport = transport
        self._handle = handle
        self._may_go_on = may_go_on
        self._waiting = bytearray()
        self._step_bytes = FIRST_STEP_BYTES
        self._is_handling = False
        self._is_delayed = False
        self._is_closed = False
        # Whether the protocol has gone on while a step was handled.
        self._is_resumed = False
        self._finish = None

    @property
    def address(self):
        """Host and port of the other end, separated by a colon."""
        peer = self._transport.getPeer()
        return f"{peer.host}:{peer.port}"

    @property
    def size_bytes(self):
        """Number of received bytes that aren't handled yet."""
        return len(self._waiting)

    @property
    def is_waiting(self):
        """Whether received bytes aren't handled yet."""
        return bool(self._waiting)

    def receive(self, data):
        """Handles what has been read, or keeps it until its turn.

        :param data: received bytes.
        """
        self._waiting += data
        if self._is_delayed:
            # The protocol has gone on reading meanwhile.
            self._transport.pauseProducing()
        elif not self._is_handling:
            self._run()

    def put_back(self, data):
        """Handles bytes again that the protocol has kept, before all that wait.

        :param data: bytes.
        """
        self._waiting[:0] = data
        if not self._is_delayed and not self._is_handling:
            self._run()

    def resume(self):
        """Goes on after the protocol has taken no more input for a time."""
        if self._is_handling:
            self._is_resumed = True
        elif self._is_delayed or self._is_closed or not self._may_go_on():
            return
        elif self._waiting:
            self._delay()
        else:
            self._transport.resumeProducing()

    def finish(self, function):
        """Calls a function once all received bytes are handled.

        :param function: function without parameters.
        """
        if self._waiting:
            self._finish = function
        else:
            function()

    def close(self):
        """Drops the received bytes, as the connection ends."""
        self._is_closed = True
        self._waiting.clear()

    def _has_next(self):
        return bool(self._waiting) and not self._is_closed and self._may_go_on()

    def _run(self):
        if not self._is_closed:
            self._handle_step(is_first=True)
            self._take_turn(is_first=True)
        while self._has_next() and self._scheduler.has_time():
            self._handle_step()
        is_resumed, self._is_resumed = self._is_resumed, False
        if self._has_next():
            self._delay()
        elif is_resumed:
            self.resume()

    def _handle_step(self, is_first=False):
        step = bytes(self._waiting[: self._step_bytes])
        del self._waiting[: self._step_bytes]
        begun_s = self._scheduler.seconds()
        self._is_handling = True
        try:
            self._handle(step)
        except Exception:
            self.close()
            raise
        finally:
            self._is_handling = False
        spent_s = self._scheduler.seconds() - begun_s
        is_cheap = spent_s < CHEAP_STEP_S
        grown_bytes = min(2 * self._step_bytes, MAX_STEP_BYTES)
        self._step_bytes = grown_bytes if is_cheap else FIRST_STEP_BYTES
        self._scheduler.record_step(self, len(step), spent_s, is_first)

    def _delay(self):
        self._is_delayed = True
        self._transport.pauseProducing()
        done = self._scheduler.delay(self, self._take_turns())
        done.addCallback(lambda _: self._settle())
        done.addErrback(self._fail)

    def _take_turn(self, is_first=False):
        end_s = self._scheduler.seconds() + TURN_S
        while self._has_next() and self._scheduler.seconds() < end_s:
            self._handle_step(is_first)

    def _take_turns(self):
        while self._has_next():
            self._take_turn()
            yield

    def _settle(self):
        self._is_delayed = False
        if self._finish is not None and not self._waiting:
            self._finish()
        else:
            self.resume()

    def _fail(self, failure):
        journal.log_failure(failure, "input")
        self._is_delayed = False
        if self._finish is not None:
            self._finish()
        else:
            self._transport.abortConnection()
