"""The states of a connection to a server, and what may happen in each of them.

| state | request | held for it | bytes that come |
| --- | --- | --- | --- |
| idle | none; in the pool, or new | nothing | end the connection |
| sent | no head of its response yet | unsent rest, input | are its response |
| skipping | as above | unsent rest, input | belong to an earlier request |
| responding | its response has begun | unsent rest, input | are its body |
| closing | none; closed here | nothing | end the connection |
| ended | none | nothing | don't come |
"""

import enum

from wasabiknot_kernel import exceptions


class State(enum.Enum):
    """States of a connection."""

    IDLE = "idle"
    SENT = "sent"
    SKIPPING = "skipping"
    RESPONDING = "responding"
    CLOSING = "closing"
    ENDED = "ended"


class Event(enum.Enum):
    """What changes the state of a connection."""

    # A request is sent.
    REQUEST = "request"
    # The head of a response has come.
    HEAD = "head"
    # That head belongs to an earlier request, and its response has ended.
    LATE = "late response"
    SKIPPED = "end of a late response"
    # The response has ended, and the connection may be used again or not.
    KEPT = "end of the response"
    LAST = "end of the last response"
    # The connection is closed here, once everything is written or at once.
    CLOSE = "close"
    ABORT = "abort"
    # The connection is lost, or closed by the other end.
    LOST = "loss"


class StateError(exceptions.WasabiknotError):
    """Something happened that can't happen in the state of the connection."""


IN_FLIGHT = frozenset((State.SENT, State.SKIPPING, State.RESPONDING))

_ENDS = {Event.ABORT: State.ENDED, Event.LOST: State.ENDED}
# Events that are missing can't happen in the state.
TRANSITIONS = {
    State.IDLE: {
        Event.REQUEST: State.SENT,
        Event.CLOSE: State.CLOSING,
        **_ENDS,
    },
    State.SENT: {Event.HEAD: State.RESPONDING, **_ENDS},
    State.SKIPPING: {Event.SKIPPED: State.SENT, **_ENDS},
    State.RESPONDING: {
        Event.LATE: State.SKIPPING,
        Event.KEPT: State.IDLE,
        Event.LAST: State.CLOSING,
        **_ENDS,
    },
    State.CLOSING: {Event.CLOSE: State.CLOSING, **_ENDS},
    State.ENDED: {Event.CLOSE: State.ENDED, **_ENDS},
}


def find_next(state, event):
    """Finds the state that follows an event.

    :param state: ``State``.
    :param event: ``Event``.
    :return: ``State``.
    :raises StateError: if the event can't happen in the state.
    """
    following = TRANSITIONS[state].get(event)
    if following is None:
        raise StateError(f"{event.value} while {state.value}")
    return following
