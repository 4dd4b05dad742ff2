"""A request and the states that it passes through."""

import enum
import typing

import automat

from wasabiknot_kernel import exceptions


class RequestState(enum.Enum):
    """States of a request inside one entry."""

    RECEIVED = "received"
    CLAIMING = "claiming"
    WAITING = "waiting"
    DISPATCHED = "dispatched"
    PAUSED = "paused"
    ENDED = "ended"


class Lifecycle(typing.Protocol):
    """Inputs of the state machine of a request."""

    def claim(self) -> None:
        """Waits for the log to decide on the key."""

    def wait(self) -> None:
        """Enters the queue."""

    def dispatch(self) -> None:
        """Leaves for a backend server."""

    def withdraw(self) -> None:
        """Returns to the queue, as the backend server did not run it."""

    def retry(self) -> None:
        """Returns to the queue for another run; repeatable calls only."""

    def pause(self) -> None:
        """Gives its slot up; the backend server keeps the stream."""

    def resume(self) -> None:
        """Takes its stream up again on the same backend server."""

    def end(self) -> None:
        """Has got its final answer."""


class Request:
    """One request inside an entry.

    :param message: the ``CallReceived`` message.
    :param call: the call's entry in the service file.
    :param rank: tier rank; 0 is the most urgent.
    :param now_ms: time of arrival, in milliseconds.
    """

    def __init__(self, message, call, rank, now_ms):
        self.message = message
        self.call = call
        self.rank = rank
        self.arrived_ms = now_ms
        self.deadline_ms = now_ms + call.deadline_ms
        self.state = RequestState.RECEIVED
        self.version = None
        self.worker = None
        self.dispatched_ms = None
        self.first_ms = None
        self.tokens = 0
        self.dispatches = 0
        self.pauses = 0
        self.is_yielding = False
        self.is_abandoned = False
        self.avoided_versions = set()
        self.expected_tokens = 0.0
        self.lifecycle = _build_life(self)

    @property
    def request_id(self):
        """Id of the request."""
        return self.message.request_id

    @property
    def is_keyed(self):
        """Whether a key guards the request against a second run."""
        return self.message.key is not None and not self.call.repeatable

    @property
    def work(self):
        """Estimated size: prompt tokens and expected answer tokens."""
        return self.message.prompt_tokens + self.expected_tokens + 1.0

    @property
    def ran(self):
        """What is known of whether the request ran."""
        if self.tokens or self.first_ms is not None:
            return exceptions.Ran.YES
        if self.dispatches:
            return exceptions.Ran.UNKNOWN
        return exceptions.Ran.NO

    def note_dispatch(self):
        """Counts a dispatch and refuses a second one that could do harm.

        :raises RuntimeError: if the call is not repeatable and was dispatched.
        """
        if self.dispatches and not self.call.repeatable:
            raise RuntimeError(f"second dispatch of {self.request_id}")
        self.dispatches += 1


_builder = automat.TypeMachineBuilder(Lifecycle, Request)
_received = _builder.state("received")
_claiming = _builder.state("claiming")
_waiting = _builder.state("waiting")
_dispatched = _builder.state("dispatched")
_paused = _builder.state("paused")
_ended = _builder.state("ended")


def _connect(start, method, target, state, effect=None):
    @start.upon(method).to(target)
    def enter(lifecycle, request):
        if effect is not None:
            effect(request)
        request.state = state


def _require_repeatable(request):
    if not request.call.repeatable:
        raise RuntimeError(f"retry of {request.request_id}")


def _uncount(request):
    request.dispatches -= 1


_connect(_received, Lifecycle.claim, _claiming, RequestState.CLAIMING)
_connect(_received, Lifecycle.wait, _waiting, RequestState.WAITING)
_connect(_claiming, Lifecycle.wait, _waiting, RequestState.WAITING)
_connect(
    _waiting,
    Lifecycle.dispatch,
    _dispatched,
    RequestState.DISPATCHED,
    Request.note_dispatch,
)
_connect(_dispatched, Lifecycle.withdraw, _waiting, RequestState.WAITING, _uncount)
_connect(_dispatched, Lifecycle.retry, _waiting, RequestState.WAITING, _require_repeatable)
_connect(_dispatched, Lifecycle.pause, _paused, RequestState.PAUSED)
_connect(_paused, Lifecycle.resume, _dispatched, RequestState.DISPATCHED)
for _state in (_received, _claiming, _waiting, _dispatched, _paused):
    _connect(_state, Lifecycle.end, _ended, RequestState.ENDED)

_build_life = _builder.build()
