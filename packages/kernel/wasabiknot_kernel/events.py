"""The catalogue of numbered log events."""

import enum
import logging

import msgspec


class Entry(msgspec.Struct, frozen=True):
    """One log event.

    :param number: its number, never used again for another event.
    :param level: level of the standard ``logging`` module.
    :param text: text with named fields.
    """

    number: int
    level: int
    text: str


class Event(enum.Enum):
    """All log events of the system."""

    STARTED = Entry(1001, logging.INFO, "entry {entry} started, incarnation {run}")
    STOPPING = Entry(1002, logging.INFO, "graceful shutdown: {running} in flight")
    STOPPED = Entry(1003, logging.INFO, "entry {entry} stopped")
    CONFIGURED = Entry(1101, logging.INFO, "configuration {publication} is in force")
    RECORD_UNREADABLE = Entry(1102, logging.ERROR, "log record {offset}: {error}")
    LOG_LOST = Entry(1103, logging.WARNING, "log service unavailable: {error}")
    LOG_FOUND = Entry(1104, logging.INFO, "log service available again")
    SNAPSHOT = Entry(1105, logging.INFO, "appends a snapshot at offset {offset}")
    STATE_COPIED = Entry(1106, logging.INFO, "took offset {offset} from a peer")
    VMS_LOST = Entry(1107, logging.WARNING, "list of VMs unavailable: {error}")
    MOVE_STEP = Entry(1201, logging.INFO, "{service}: step {step} to {target}")
    MOVE_ENDED = Entry(1202, logging.WARNING, "{service}: {target} {state}: {reason}")
    VERSION_BLOCKED = Entry(
        1203, logging.WARNING, "{service}: no more traffic to {target}: {reason}"
    )
    WORKER_CRASHED = Entry(1301, logging.WARNING, "worker {worker} crashed: {crash}")
    QUARANTINED = Entry(1302, logging.WARNING, "content {content} is quarantined")
    WORKER_LEAVING = Entry(1303, logging.INFO, "worker {worker} is leaving")
    PREEMPTED = Entry(1401, logging.DEBUG, "cancels {victim} for {request}")
    REFUSED = Entry(1402, logging.DEBUG, "refuses {request}: {kind}")
    DATAGRAM_BAD = Entry(1501, logging.WARNING, "bad datagram from {peer}: {error}")
    TASK_FAILED = Entry(1901, logging.ERROR, "task {task} failed: {error}")


def format_event(event, fields):
    """Formats an event.

    :param event: the ``Event``.
    :param fields: mapping of field names to text.
    :return: text that begins with the event's number.
    """
    return f"WK{event.value.number} {event.value.text.format(**fields)}"
