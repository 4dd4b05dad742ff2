"""Requests and the state machine of their lifecycle."""

import enum
import typing

import automat

from wasabiknot_kernel import exceptions

MAX_DISPATCHES = 3


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
        """Waits for the log to decide the claim of the key."""

    def wait(self) -> None:
        """Enters the queue."""

    def dispatch(self) -> None:
        """Sends the request to a backend server."""

    def requeue(self) -> None:
        """Returns to the queue because the backend server did not run the request."""

    def retry(self) -> None:
        """Returns to the queue to be run again; only for repeatable calls."""

    def pause(self) -> None:
        """Releases the slot; the backend server keeps the stream."""

    def resume(self) -> None:
        """Resumes the stream on the same backend server."""

    def end(self) -> None:
        """Ends the request: completed, refused, abandoned or forwarded."""


class Request:
    """A request as handled by one entry.

    :param message: the ``CallReceived`` message.
    :param call: the call's entry in the service file.
    :param rank: rank of the tier; 0 is the most urgent.
    :param now_ms: arrival time in milliseconds.
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
        self.lifecycle = _build_lifecycle(self)

    @property
    def request_id(self):
        """Id of the request."""
        return self.message.request_id

    @property
    def is_keyed(self):
        """Whether an idempotency key protects the request from a second run."""
        return self.message.key is not None and not self.call.repeatable

    @property
    def is_replaceable(self):
        """Whether it may be sent again if its present attempt ends."""
        is_repeatable = self.call.repeatable and not self.tokens
        return is_repeatable and self.dispatches < MAX_DISPATCHES

    @property
    def work(self):
        """Estimated cost in tokens: those of the prompt and the expected output."""
        return self.message.prompt_tokens + self.expected_tokens + 1.0

    @property
    def ran(self):
        """Whether the request ran, as far as this entry can tell."""
        if self.tokens or self.first_ms is not None:
            return exceptions.Ran.YES
        if self.dispatches:
            return exceptions.Ran.UNKNOWN
        return exceptions.Ran.NO

    def record_dispatch(self):
        """Counts a dispatch.

        :raises RuntimeError: if the call is not repeatable and the request may
            already have run.
        """
        if self.dispatches and not self.call.repeatable:
            raise RuntimeError(f"cannot repeat dispatch of {self.request_id}")
        self.dispatches += 1


_machine_builder = automat.TypeMachineBuilder(Lifecycle, Request)
_received = _machine_builder.state("received")
_claiming = _machine_builder.state("claiming")
_waiting = _machine_builder.state("waiting")
_dispatched = _machine_builder.state("dispatched")
_paused = _machine_builder.state("paused")
_ended = _machine_builder.state("ended")


def _add_transition(source, method, target, state, effect=None):
    @source.upon(method).to(target)
    def apply_transition(lifecycle, request):
        if effect is not None:
            effect(request)
        request.state = state


def _require_repeatable(request):
    if not request.call.repeatable:
        raise RuntimeError(f"cannot retry non-repeatable request {request.request_id}")


def _revert_dispatch_count(request):
    request.dispatches -= 1


_add_transition(_received, Lifecycle.claim, _claiming, RequestState.CLAIMING)
_add_transition(_received, Lifecycle.wait, _waiting, RequestState.WAITING)
_add_transition(_claiming, Lifecycle.wait, _waiting, RequestState.WAITING)
_add_transition(
    _waiting,
    Lifecycle.dispatch,
    _dispatched,
    RequestState.DISPATCHED,
    Request.record_dispatch,
)
_add_transition(
    _dispatched,
    Lifecycle.requeue,
    _waiting,
    RequestState.WAITING,
    _revert_dispatch_count,
)
_add_transition(
    _dispatched, Lifecycle.retry, _waiting, RequestState.WAITING, _require_repeatable
)
_add_transition(_dispatched, Lifecycle.pause, _paused, RequestState.PAUSED)
_add_transition(_paused, Lifecycle.resume, _dispatched, RequestState.DISPATCHED)
for _state in (_received, _claiming, _waiting, _dispatched, _paused):
    _add_transition(_state, Lifecycle.end, _ended, RequestState.ENDED)

_build_lifecycle = _machine_builder.build()
