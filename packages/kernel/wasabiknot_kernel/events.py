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
    SETTINGS_READ = Entry(1004, logging.INFO, "settings read again, changed: {changed}")
    SETTINGS_BAD = Entry(
        1005, logging.ERROR, "settings not read, the old ones hold: {error}"
    )
    NOT_LISTENING = Entry(1006, logging.ERROR, "cannot listen: {error}")
    CONFIGURED = Entry(1101, logging.INFO, "configuration {publication} is in force")
    RECORD_UNREADABLE = Entry(1102, logging.ERROR, "log record {offset}: {error}")
    LOG_LOST = Entry(1103, logging.WARNING, "log service unavailable: {error}")
    LOG_FOUND = Entry(1104, logging.INFO, "log service available again")
    SNAPSHOT = Entry(1105, logging.INFO, "appends a snapshot at offset {offset}")
    STATE_COPIED = Entry(1106, logging.INFO, "took offset {offset} from a peer")
    VMS_LOST = Entry(1107, logging.WARNING, "list of VMs unavailable: {error}")
    TABLE_IN_FORCE = Entry(
        1108, logging.INFO, "configuration {version} in force, read from {source}"
    )
    FACT_UNREADABLE = Entry(1109, logging.ERROR, "{topic} {key}@{offset}: {error}")
    STORE_LOST = Entry(1110, logging.WARNING, "store lost, {call}: {error}")
    STORE_FOUND = Entry(1111, logging.INFO, "store answers again after {away_ms} ms")
    FACTS_COPIED = Entry(
        1112, logging.INFO, "{topic}: took {count} facts up to {position} from {peer}"
    )
    COPY_FAILED = Entry(
        1115, logging.WARNING, "facts not copied from {peer}, reads the store: {error}"
    )
    MEMBER_FOUND = Entry(1113, logging.INFO, "peer {peer} at {address}, run {run}")
    MEMBER_GONE = Entry(1114, logging.INFO, "peer {peer} has left")
    MOVE_STEP = Entry(1201, logging.INFO, "{service}: step {step} to {target}")
    MOVE_ENDED = Entry(1202, logging.WARNING, "{service}: {target} {state}: {reason}")
    VERSION_BLOCKED = Entry(
        1203, logging.WARNING, "{service}: no more traffic to {target}: {reason}"
    )
    RELEASE_ORDERED = Entry(
        1204, logging.INFO, "{service}: ordered to {target} within {duration_s} s"
    )
    RELEASE_PHASE = Entry(
        1205, logging.INFO, "{service}: {target} is {phase}, read from {source}"
    )
    RELEASE_CONDEMNED = Entry(
        1206, logging.WARNING, "{service}: no more traffic to {target}: {reason}"
    )
    RELEASE_WRITTEN = Entry(
        1207, logging.INFO, "{service}: wrote {phase} for {target}: {result}"
    )
    WORKER_CRASHED = Entry(1301, logging.WARNING, "worker {worker} crashed: {crash}")
    QUARANTINED = Entry(1302, logging.WARNING, "content {content} is quarantined")
    WORKER_LEAVING = Entry(1303, logging.INFO, "worker {worker} is leaving")
    SERVER_STATE = Entry(
        1304,
        logging.INFO,
        "server {server} of {service} at {address}: {state}, read from {source}",
    )
    PREEMPTED = Entry(1401, logging.DEBUG, "cancels {victim} for {request}")
    REFUSED = Entry(1402, logging.INFO, "refuses {request}: {kind}")
    DISPATCHED = Entry(1403, logging.INFO, "sends {request} to {server}")
    SEND_ENDED = Entry(1404, logging.INFO, "{request}: send ended, {outcome}")
    ENDED = Entry(1405, logging.INFO, "{request}: {ended} after {total_ms} ms")
    DATAGRAM_BAD = Entry(1501, logging.WARNING, "bad datagram from {peer}: {error}")
    LINES_LEFT_OUT = Entry(1902, logging.WARNING, "{count} lines of {event} left out")
    TASK_FAILED = Entry(1901, logging.ERROR, "task {task} failed: {error}")


def format_event(event, fields):
    """Formats an event.

    :param event: the ``Event``.
    :param fields: mapping of field names to text.
    :return: text that begins with the event's number.
    """
    return f"WK{event.value.number} {event.value.text.format(**fields)}"
