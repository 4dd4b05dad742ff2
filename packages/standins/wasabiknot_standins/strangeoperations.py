"""What happens to entries beside strangers: signals in series, and clocks that jump."""

import enum
import signal

import msgspec
from twisted.internet import defer, reactor, task

from wasabiknot_standins import entryprocesses, strangebehaviours, strangeplays

Part = strangeplays.Part
# Share of the plays in which something happens to entries.
SHARE = 0.5
MAX_SERIES = 3
MAX_OPERATIONS = 4
# Time between two operations of a series, in seconds.
MAX_GAP_S = 0.6
PAUSE_S = (0.2, 2.0)
CHECK_INTERVAL_S = 0.01
# Longest time until an entry that was stopped runs again, in seconds.
MAX_START_S = 15.0
# Time from a signal until its entry serves as before, in seconds: it ends, and starts.
RECOVERY_S = entryprocesses.SHUTDOWN_GRACE_S + 2.0


class Operation(enum.Enum):
    """What happens to an entry."""

    RELOAD = "reload"
    STEP = "step"
    STOP = "stop"
    KILL = "kill"
    PAUSE = "pause"


PARTS = {
    Operation.RELOAD: Part.RELOADS,
    Operation.STEP: Part.CLOCKS,
    Operation.STOP: Part.STOPS,
    Operation.KILL: Part.KILLS,
    Operation.PAUSE: Part.PAUSES,
}
# These wait until the program runs; before that, they end the interpreter.
HANDLED = frozenset((Operation.RELOAD, Operation.STEP, Operation.STOP))


class Event(msgspec.Struct, frozen=True):
    """One operation on one entry.

    :param at_s: time in seconds from the begin of the behaviours.
    :param entry: number of the entry.
    :param operation: ``Operation``.
    :param duration_s: time in seconds that a pause takes.
    """

    at_s: float
    entry: int
    operation: Operation
    duration_s: float


def draw_events(play):
    """Draws the operations of a play: series on one entry each, which may overlap.

    :param play: ``strangeplays.Play``.
    :return: list of ``Event`` in the order of their time.
    """
    rng = strangebehaviours.create_random(play.seed, "operations")
    if rng.random() >= SHARE:
        return []
    end_s = play.duration_s - strangeplays.START_S - strangeplays.QUIET_S
    events = []
    for _ in range(rng.randint(1, MAX_SERIES)):
        at_s = rng.uniform(0.0, end_s)
        entry = rng.randrange(play.entry_count)
        for _ in range(rng.randint(1, MAX_OPERATIONS)):
            operation = rng.choice(list(Operation))
            events.append(Event(at_s, entry, operation, rng.uniform(*PAUSE_S)))
            at_s += rng.uniform(0.0, MAX_GAP_S)
    kept = [item for item in events if play.has(PARTS[item.operation])]
    return sorted(kept, key=lambda item: item.at_s)


class Operations:
    """Carries out the operations of a play.

    :param events: list of ``Event``.
    :param faults: ``soakfaults.Faults`` of the run.
    """

    def __init__(self, events, faults):
        self._events = events
        self._faults = faults
        self._running = []
        self._act = {
            Operation.RELOAD: self._reload,
            Operation.STEP: self._step,
            Operation.STOP: self._stop,
            Operation.KILL: self._kill,
            Operation.PAUSE: self._pause,
        }

    def start(self):
        """Begins; the first operations may come at once."""
        for event in self._events:
            done = task.deferLater(reactor, event.at_s, self._carry_out, event)
            self._running.append(done)

    def wait(self):
        """Waits until all operations are done, and their entries were started again.

        :return: deferred.
        """
        return defer.gatherResults(self._running)

    @defer.inlineCallbacks
    def _carry_out(self, event):
        entry = self._faults.entries[event.entry]
        if event.operation in HANDLED:
            yield self._wait_until_handled(entry)
        yield self._act[event.operation](entry, event)

    @defer.inlineCallbacks
    def _wait_until_handled(self, entry):
        deadline_s = reactor.seconds() + MAX_START_S
        while not entry.is_handling(signal.SIGUSR1):
            if reactor.seconds() > deadline_s:
                raise TimeoutError(f"entry {entry.number} has ended by itself")
            yield task.deferLater(reactor, CHECK_INTERVAL_S)

    def _reload(self, entry, event):
        entry.send_signal(signal.SIGHUP)

    def _step(self, entry, event):
        entry.send_signal(signal.SIGUSR1)

    def _stop(self, entry, event):
        return self._faults.stop(entry)

    def _kill(self, entry, event):
        self._faults.record_fault()
        return self._faults.kill(entry)

    def _pause(self, entry, event):
        self._faults.record_fault()
        return self._faults.pause(entry, event.duration_s)

    def is_excused(self, response):
        """Tells whether a request met an entry that was stopped, killed or paused.

        A reload and a jump of the clock excuse nothing.

        :param response: ``soakchecks.Response``.
        """
        return any(
            number == response.entry
            and response.sent_s - RECOVERY_S <= at_s <= response.ended_s
            for number, at_s in self._faults.signals
        )
