"""The catalogue of numbered log events."""

import enum
import logging

import msgspec


class EventDefinition(msgspec.Struct, frozen=True):
    """The definition of a log event.

    :param number: number of the event, never reused for another one.
    :param level: level of the standard ``logging`` module.
    :param text: message template with named fields.
    """

    number: int
    level: int
    text: str


class Event(enum.Enum):
    """All log events of the system."""

    STARTED = EventDefinition(
        1001, logging.INFO, "entry {entry} started, incarnation {run}"
    )
    STOPPING = EventDefinition(
        1002, logging.INFO, "graceful shutdown: {running} in flight"
    )
    STOPPED = EventDefinition(1003, logging.INFO, "entry {entry} stopped")
    SETTINGS_READ = EventDefinition(
        1004, logging.INFO, "settings reloaded, changed: {changed}"
    )
    SETTINGS_BAD = EventDefinition(
        1005, logging.ERROR, "cannot load settings, keeping the previous ones: {error}"
    )
    NOT_LISTENING = EventDefinition(1006, logging.ERROR, "cannot listen: {error}")
    RESUMED = EventDefinition(
        1007, logging.WARNING, "stood still for {paused_ms} ms, holding requests"
    )
    LOOP_BEHIND = EventDefinition(
        1008, logging.WARNING, "event loop {lag_ms} ms behind"
    )
    INPUT_LONG = EventDefinition(
        1009,
        logging.WARNING,
        "{size_bytes} bytes from {source} {address} took {spent_ms} ms to handle",
    )
    INPUT_DELAYED = EventDefinition(
        1010,
        logging.INFO,
        "{size_bytes} bytes from {source} {address} wait, as such input takes long",
    )
    CLOCK_STEPPED = EventDefinition(
        1011, logging.WARNING, "the time of day has jumped by {step_ms} ms"
    )
    PROBES_RARE = EventDefinition(
        1012,
        logging.INFO,
        "cannot probe often whether a server that doesn't read still lives: {error}",
    )
    STOPPED_EARLY = EventDefinition(
        1013, logging.INFO, "entry {entry} stopped before it had started"
    )
    CONFIGURED = EventDefinition(
        1101, logging.INFO, "configuration {publication} is active"
    )
    RECORD_UNREADABLE = EventDefinition(
        1102, logging.ERROR, "cannot decode log record {offset}: {error}"
    )
    LOG_LOST = EventDefinition(
        1103, logging.WARNING, "log service unavailable: {error}"
    )
    LOG_FOUND = EventDefinition(1104, logging.INFO, "log service available again")
    SNAPSHOT = EventDefinition(
        1105, logging.INFO, "appending a snapshot at offset {offset}"
    )
    STATE_COPIED = EventDefinition(
        1106, logging.INFO, "copied state up to offset {offset} from a peer"
    )
    VMS_LOST = EventDefinition(
        1107, logging.WARNING, "cannot read the list of VMs: {error}"
    )
    TABLE_IN_FORCE = EventDefinition(
        1108, logging.INFO, "configuration {version} is active, read from {source}"
    )
    FACT_UNREADABLE = EventDefinition(
        1109,
        logging.ERROR,
        "cannot decode {key} at offset {offset} of {topic}: {error}",
    )
    STORE_LOST = EventDefinition(
        1110, logging.WARNING, "store unavailable, call {call}: {error}"
    )
    STORE_FOUND = EventDefinition(
        1111, logging.INFO, "store available again after {away_ms} ms"
    )
    FACTS_COPIED = EventDefinition(
        1112,
        logging.INFO,
        "{topic}: copied {count} records up to {position} from {peer}",
    )
    COPY_FAILED = EventDefinition(
        1115,
        logging.WARNING,
        "cannot copy records from {peer}, reading the store: {error}",
    )
    ERA_BAD = EventDefinition(
        1116, logging.WARNING, "ignoring the era that the store states: {problem}"
    )
    STORE_RESTORED = EventDefinition(
        1117,
        logging.WARNING,
        "store restored from a copy, era {previous} to {era}: writing again",
    )
    TOPIC_RESTORED = EventDefinition(
        1118,
        logging.WARNING,
        "{topic} listed in era {era}: {listed} keys, {kept} kept in force,"
        " {missing} missing, {outdated} outdated",
    )
    SERVERS_LOST = EventDefinition(
        1119,
        logging.WARNING,
        "{count} servers not registered again {after_ms} ms after the restoration",
    )
    MEMBER_FOUND = EventDefinition(
        1113, logging.INFO, "peer {peer} joined at {address}, incarnation {run}"
    )
    MEMBER_GONE = EventDefinition(1114, logging.INFO, "peer {peer} has left")
    MOVE_STEP = EventDefinition(
        1201, logging.INFO, "{service}: rollout of {target} at step {step}"
    )
    MOVE_ENDED = EventDefinition(
        1202, logging.WARNING, "{service}: rollout of {target} ended, {state}: {reason}"
    )
    VERSION_BLOCKED = EventDefinition(
        1203, logging.WARNING, "{service}: stopped traffic to {target}: {reason}"
    )
    RELEASE_ORDERED = EventDefinition(
        1204,
        logging.INFO,
        "{service}: release of {target} ordered within {duration_s} s",
    )
    RELEASE_PHASE = EventDefinition(
        1205,
        logging.INFO,
        "{service}: release of {target} is {phase}, read from {source}",
    )
    RELEASE_CONDEMNED = EventDefinition(
        1206, logging.WARNING, "{service}: blocked {target}: {reason}"
    )
    RELEASE_WRITTEN = EventDefinition(
        1207, logging.INFO, "{service}: wrote phase {phase} of {target}: {result}"
    )
    WORKER_CRASHED = EventDefinition(
        1301, logging.WARNING, "worker {worker} crashed: {crash}"
    )
    QUARANTINED = EventDefinition(
        1302, logging.WARNING, "content {content} is quarantined"
    )
    WORKER_LEAVING = EventDefinition(1303, logging.INFO, "worker {worker} is leaving")
    SERVER_STATE = EventDefinition(
        1304,
        logging.INFO,
        "server {server} of {service} at {address}: {state}, read from {source}",
    )
    CRASH_RECORDED = EventDefinition(
        1305,
        logging.WARNING,
        "request {fingerprint} crashed {server}, evidence {evidence}: {count} crashes",
    )
    LOSS_UNATTRIBUTED = EventDefinition(
        1306,
        logging.INFO,
        "{server} lost the response to {fingerprint}, no end of it was seen",
    )
    CRASHES_WRITTEN = EventDefinition(
        1307, logging.INFO, "wrote {count} crashes to the store, deleted {deleted}"
    )
    REQUEST_CLEARED = EventDefinition(
        1308,
        logging.WARNING,
        "request {fingerprint} is served, {count} crashes, {responses} complete"
        " responses: {reason}",
    )
    LIMIT_STATED = EventDefinition(
        1309,
        logging.INFO,
        "server {server} takes {rate_per_s} requests a second, known by {source}",
    )
    LIMIT_ENDED = EventDefinition(
        1310, logging.INFO, "server {server} states no limit any more, by {source}"
    )
    STATEMENT_BAD = EventDefinition(
        1311, logging.WARNING, "ignoring what server {server} states: {problem}"
    )
    LEAVING_STATED = EventDefinition(
        1312, logging.INFO, "server {server} states that it leaves, known by {source}"
    )
    DEFERRAL_STATED = EventDefinition(
        1313, logging.INFO, "server {server} wants no request for {seconds} s"
    )
    SERVICE_UNREACHED = EventDefinition(
        1314,
        logging.WARNING,
        "no server of {service} answers this entry, {failed} of {open} have failed",
    )
    SERVICE_REACHED = EventDefinition(
        1315, logging.INFO, "{service} answers this entry again after {away_ms} ms"
    )
    BRITTLE_STATED = EventDefinition(
        1316,
        logging.WARNING,
        "servers of {service} bear {rejections_per_s} rejections a second, known by"
        " {source}",
    )
    BRITTLE_ENDED = EventDefinition(
        1317, logging.INFO, "servers of {service} aren't brittle any more, by {source}"
    )
    REMOVAL_DELAYED = EventDefinition(
        1318,
        logging.INFO,
        "server {server} is kept for {delay_ms} ms: the store was unavailable",
    )
    PART_REFUSED = EventDefinition(
        1319,
        logging.WARNING,
        "requests of {service} with prompt part {part} are refused: {count} servers"
        " ended under them, {responses} complete responses",
    )
    PART_SERVED = EventDefinition(
        1320,
        logging.WARNING,
        "requests of {service} with prompt part {part} are served again: {count}"
        " servers ended under them, {responses} complete responses",
    )
    PREEMPTED = EventDefinition(1401, logging.DEBUG, "preempted {victim} for {request}")
    REFUSED = EventDefinition(1402, logging.INFO, "refused {request}: {kind}")
    DISPATCHED = EventDefinition(1403, logging.INFO, "sending {request} to {server}")
    SEND_ENDED = EventDefinition(
        1404, logging.INFO, "{request}: attempt ended, {outcome}"
    )
    ENDED = EventDefinition(
        1405, logging.INFO, "{request}: {ended} after {total_ms} ms"
    )
    BODY_NOT_TAKEN = EventDefinition(
        1406,
        logging.WARNING,
        "{request}: its caller did not take {left_bytes} bytes, {reason}",
    )
    SERVER_SILENT = EventDefinition(
        1407,
        logging.INFO,
        "{request}: {server} silent for {silent_ms} ms, {step}: {reason}",
    )
    REQUEST_FAILED = EventDefinition(
        1409, logging.ERROR, "{request}: unexpected failure: {error}"
    )
    HANDED_OVER = EventDefinition(
        1410, logging.INFO, "{request}: handed over to {peer}: {reason}"
    )
    HANDOVER_ENDED = EventDefinition(
        1411, logging.INFO, "{request}: {peer} has ended it, {outcome}"
    )
    TAKEN_OVER = EventDefinition(
        1412, logging.INFO, "{request}: taken over from {peer}"
    )
    HANDOVER_REFUSED = EventDefinition(
        1413, logging.WARNING, "refused a handover from {address}: {reason}"
    )
    RESPONSE_MALFORMED = EventDefinition(
        1414,
        logging.WARNING,
        "{request}: response of {source} {address} breaks {rule}: {excerpt}",
    )
    PACE_CHANGED = EventDefinition(
        1821, logging.INFO, "server {server}: work takes {pace}% of the usual time"
    )
    PEER_TRAFFIC = EventDefinition(
        1502, logging.WARNING, "sent {sent_bytes} bytes to peers in a second"
    )
    DATAGRAM_BAD = EventDefinition(
        1501, logging.WARNING, "bad datagram from {peer}: {error}"
    )
    DRAIN_ORDERED = EventDefinition(
        1801,
        logging.WARNING,
        "failure domain {domain} is drained, {servers} servers, read from {source}",
    )
    DRAIN_LIFTED = EventDefinition(
        1802,
        logging.WARNING,
        "failure domain {domain} is in service again, {servers} servers, read from"
        " {source}",
    )
    DRAIN_ODD = EventDefinition(
        1803, logging.WARNING, "drain of failure domain {domain}: {problem}"
    )
    SERVER_COLD = EventDefinition(
        1804, logging.INFO, "server {server} is cold for {seconds} s: {reason}"
    )
    SERVER_WARM = EventDefinition(1805, logging.INFO, "server {server} is warm")
    CUSTOMER_ABOVE_SHARE = EventDefinition(
        1841,
        logging.INFO,
        "{service}: customer {customer} is above its share, used {use_ms} ms of engine"
        " time",
    )
    CUSTOMER_WITHIN_SHARE = EventDefinition(
        1842, logging.INFO, "{service}: customer {customer} is within its share again"
    )
    HEDGE_SENT = EventDefinition(
        1861, logging.INFO, "{request}: hedge sent to {server} after {after_ms} ms"
    )
    HEDGE_WON = EventDefinition(
        1862,
        logging.INFO,
        "{request}: hedge at {server} replaces the first send: {reason}",
    )
    HEDGE_LOST = EventDefinition(
        1863, logging.INFO, "{request}: hedge at {server} cancelled: {reason}"
    )
    HEDGE_FAILED = EventDefinition(
        1864, logging.INFO, "{request}: hedge at {server} failed: {reason}"
    )
    HEDGE_WITHHELD = EventDefinition(
        1865, logging.INFO, "{request}: slow, but no hedge sent: {reason}"
    )
    START_COPIED = EventDefinition(
        1881, logging.INFO, "copied all topics from {peer} after {elapsed_ms} ms"
    )
    LINES_LEFT_OUT = EventDefinition(
        1902, logging.WARNING, "suppressed {count} lines of {event}"
    )
    TASK_FAILED = EventDefinition(1901, logging.ERROR, "task {task} failed: {error}")


def format_event(event, fields):
    """Formats an event.

    :param event: ``Event``.
    :param fields: mapping of field names to texts.
    :return: message that begins with the number of the event.
    """
    return f"WK{event.value.number} {event.value.text.format(**fields)}"
