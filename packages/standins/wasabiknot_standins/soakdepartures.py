"""Callers of a soak test that leave early, and what goes on for them."""

import enum
import random

import msgspec
from twisted.internet import defer, error, reactor, task

from wasabiknot_entry import pools
from wasabiknot_standins import soakchecks

# Share of the callers of a soak that leave, and the time after which they do.
SOAK_SHARE = 0.15
PATIENCE_S = (0.0, 0.6)
CONNECT_TIMEOUT_S = 1.0
# Bytes of a further request behind the first, and the time after which they follow.
PIPELINED_BYTES = 60_000
PIPELINE_DELAY_S = 0.02
# Time after a departure from which nothing should go on for the caller.
REACTION_S = 0.5
# Requests that may reach a server later, and share of the runs that may go on later.
MAX_LATE_CONTACTS = 3
MAX_LATE_RUN_SHARE = 0.25
# A fault accounts for what goes on if it occurred so long before the departure.
FAULT_WINDOW_S = 4.0


class Manner(enum.Enum):
    """How a caller leaves."""

    CLOSE = "close"
    RESET = "reset"
    PIPELINE = "pipeline"


class Departure(msgspec.Struct):
    """A caller that leaves.

    :param manner: ``Manner``.
    :param patience_s: time in seconds from the request to the departure.
    :param request_id: id of its request.
    :param route: name of the route.
    :param left_s: time in seconds at which it left; ``None`` if it got its response.
    """

    manner: Manner
    patience_s: float
    request_id: str = ""
    route: str = ""
    left_s: float | None = None


class _Caller:
    # Takes the response until it leaves.
    def __init__(self, departure, connection, request):
        self._departure = departure
        self._connection = connection
        self.ended = defer.Deferred()
        connection.send(request, self)
        if departure.manner is Manner.PIPELINE:
            reactor.callLater(PIPELINE_DELAY_S, self._pipeline)
        reactor.callLater(departure.patience_s, self._leave)

    def handle_head(self, head):
        """Ignores the head."""

    def handle_data(self, data, weight_bytes):
        """Ignores the body."""

    def handle_end(self):
        """Ends the request, which has got its response in time."""
        self._end()

    def handle_loss(self, reason):
        """Ends the request, as its connection is closed."""
        self._end()

    def _pipeline(self):
        if not self.ended.called:
            self._connection.transport.write(b"x" * PIPELINED_BYTES)

    def _leave(self):
        if self.ended.called:
            return
        self._departure.left_s = reactor.seconds()
        if self._departure.manner is Manner.RESET:
            self._connection.abort()
        else:
            self._connection.transport.loseConnection()
        self._end()

    def _end(self):
        if not self.ended.called:
            self.ended.callback(None)


class Departures:
    """Draws the callers that leave, and checks what goes on for them.

    :param seed: seed of the draws.
    :param share: share of the callers that leave.
    :param recorder: ``platformworkers.RunRecorder``.
    """

    def __init__(self, seed, share, recorder):
        # Drawn apart, so that a seed keeps its other draws.
        self._rng = random.Random(f"departures/{seed}")
        self._share = share
        self._recorder = recorder
        # Its connections aren't shared with callers that stay.
        self._pool = pools.Pool(reactor, CONNECT_TIMEOUT_S)
        self._departures = []

    def draw(self):
        """Draws whether the next caller leaves.

        :return: ``Departure``, or ``None`` if it stays.
        """
        if self._rng.random() >= self._share:
            return None
        manner = self._rng.choice(list(Manner))
        return Departure(manner, self._rng.uniform(*PATIENCE_S))

    @defer.inlineCallbacks
    def send(self, address, request, departure):
        """Sends a request whose caller leaves.

        :param address: host and port of an entry, separated by a colon.
        :param request: ``connections.Request``.
        :param departure: ``Departure``.
        :return: deferred that fires when the caller has left or has its response.
        """
        try:
            connection = yield self._pool.connect(address)
        except error.ConnectError:
            # The entry is down, so there was no request.
            return
        yield _Caller(departure, connection, request).ended
        self._departures.append(departure)

    @defer.inlineCallbacks
    def wait(self):
        """Waits until what goes on for the last callers shows.

        :return: deferred.
        """
        yield task.deferLater(reactor, 2 * REACTION_S)

    def find_times_s(self):
        """Finds when callers left.

        :return: mapping of the ids of their requests to times in seconds.
        """
        return {
            item.request_id: item.left_s
            for item in self._departures
            if item.left_s is not None
        }

    def list_violations(self, fault_times_s):
        """Lists what went on for callers that had left.

        :param fault_times_s: times in seconds at which faults began or ended.
        :return: list of texts.
        """
        left = [item for item in self._departures if item.left_s is not None]
        calm = [item for item in left if not _is_near(item.left_s, fault_times_s)]
        violations = [
            f"{item.request_id} ({item.route}) ran twice, its caller had left"
            for item in left
            if item.route in soakchecks.RUN_ONCE_ROUTES
            and len(self._recorder.runs.get(item.request_id, ())) > 1
        ]
        late = self._list_late_contacts(calm)
        if len(late) > MAX_LATE_CONTACTS:
            violations.append(f"{len(late)} requests sent after their callers left")
        ended, going_on = self._count_runs(calm)
        if going_on > MAX_LATE_RUN_SHARE * (ended + going_on):
            violations.append(
                f"{going_on} of {ended + going_on} runs went on, their callers had left"
            )
        return violations

    def describe(self):
        """Describes the departures and what went on, whatever the faults.

        :return: short text.
        """
        left = [item for item in self._departures if item.left_s is not None]
        ended, going_on = self._count_runs(left)
        late = len(self._list_late_contacts(left))
        runs = f"{going_on} of {ended + going_on} runs went on"
        return f"{len(left)} callers left, {late} sent later, {runs}"

    def _list_late_contacts(self, left):
        left_s = {item.request_id: item.left_s for item in left}
        return [
            contact
            for contact in self._recorder.contacts
            if contact.request_id in left_s
            and contact.at_s > left_s[contact.request_id] + REACTION_S
        ]

    def _count_runs(self, left):
        """Counts the repeatable runs that a departure ended, and those that went on.

        :return: pair of counts.
        """
        ended = going_on = 0
        for item in left:
            if item.route not in soakchecks.REPEATABLE_ROUTES:
                continue
            for run in self._recorder.runs.get(item.request_id, ()):
                end = self._recorder.run_ends.get((run.request_id, run.server_id))
                if end is None or end.at_s > item.left_s + REACTION_S:
                    going_on += 1
                elif end.is_abandoned and end.at_s >= item.left_s:
                    ended += 1
        return ended, going_on


def _is_near(at_s, fault_times_s):
    return any(
        at_s - FAULT_WINDOW_S <= time_s <= at_s + REACTION_S for time_s in fault_times_s
    )
