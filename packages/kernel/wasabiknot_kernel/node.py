"""The node: the scheduling state of one entry and the handler of its messages."""

import random

import msgspec

from wasabiknot_kernel import (
    attempts,
    calls,
    effects,
    estimates,
    evidence,
    exceptions,
    fleet,
    following,
    handlers,
    keys,
    moves,
    peers,
    placements,
    poison,
    queues,
    replicas,
    sharing,
    upkeep,
)

# Importing these modules registers their handlers.
HANDLER_MODULES = (attempts, calls, following, sharing, upkeep)
DEFAULT_PLACEMENT = "finish-time"
DEFAULT_QUEUE_LIMIT = 512
# Time without a message after which the process is assumed to have been paused.
PAUSE_GAP_MS = 1_000
# Time after a pause during which nothing is dispatched, so that new reports arrive.
REFRESH_MS = 1_000


class NodeSettings(msgspec.Struct, frozen=True):
    """Settings of a node.

    :param name: name of the entry.
    :param incarnation: id of this run of the process; never reused.
    :param placement: name of the placement policy.
    :param queue_limit: maximum number of queued requests in all tiers together.
    """

    name: str
    incarnation: str
    placement: str = DEFAULT_PLACEMENT
    queue_limit: int = DEFAULT_QUEUE_LIMIT


class Node:
    """The scheduler of one entry: handles messages and returns effects.

    The node reads no clock and opens no socket. Only the message handlers change its
    attributes.

    :param settings: ``NodeSettings``.
    :param rng: random number generator.
    """

    def __init__(self, settings, rng):
        self.settings = settings
        self.rng = rng
        self.now_ms = 0
        self.replica = replicas.Replica()
        # Local time of the last response of the log service, and the service's own
        # time in that response.
        self.log_read_ms = None
        self.log_time_ms = 0
        # Log time up to which the replica contains all records.
        self.log_synced_ms = 0
        self.fleet = fleet.Fleet()
        self.has_vms = False
        self.roster = peers.Roster(settings.name)
        self.requests = {}
        self.queues = {}
        self.placement = placements.create_placement(settings.placement)
        self.lengths = estimates.LengthEstimator()
        self.prefixes = estimates.PrefixIndex()
        self.version_chooser = moves.VersionChooser()
        self.version_stats = evidence.VersionStatsCollector()
        # Analysis of the target version by the offset of the rollout.
        self.analyses = {}
        self.crashes = poison.CrashTracker()
        self.keys = keys.KeyTable()
        self.claims = keys.ClaimBatcher(settings.name, settings.incarnation)
        self.issued_keys = 0
        # Slots reserved for peers, and times of the last preemption requests to peers,
        # by backend server.
        self.holds = {}
        self.yield_sent_ms = {}
        # Load reports to include in the next digest, by backend server.
        self.pending_reports = {}
        # Time at which a member was first missing from the list of VMs, by entry.
        self.missing_since_ms = {}
        # Time of the next attempt to append a record, by record id.
        self.append_due_ms = {}
        self.digest_sequence = 0
        self.digest_sent_ms = 0
        self.is_stopping = False
        self.refresh_until_ms = 0
        self.is_dispatch_due = False
        self._effects = []

    @property
    def state(self):
        """The replicated state, as of the last applied record."""
        return self.replica.state

    @property
    def configuration(self):
        """The configuration in force, or ``None``."""
        return self.state.configuration

    @property
    def is_ready(self):
        """Whether the configuration and the list of VMs have been received."""
        return self.configuration is not None and self.has_vms

    def handle(self, message, now_ms):
        """Handles one message.

        :param message: ``messages.Message``.
        :param now_ms: current time in Unix milliseconds; must not decrease.
        :return: list of effects, in order.
        """
        self._detect_pause(now_ms)
        self.now_ms = now_ms
        handlers.handle(message, self)
        return self.pop_effects()

    def _detect_pause(self, now_ms):
        # Ticks arrive several times a second. A longer gap means that the process
        # was paused and that its view of the backend servers is out of date.
        if self.now_ms and now_ms - self.now_ms > PAUSE_GAP_MS:
            self.refresh_until_ms = now_ms + REFRESH_MS

    @property
    def is_refreshing(self):
        """Whether dispatching is suspended after a pause until new reports arrive."""
        return self.now_ms < self.refresh_until_ms

    def pop_effects(self):
        """Returns the effects emitted since the last call and clears them.

        :return: list of effects, in order.
        """
        emitted, self._effects = self._effects, []
        return emitted

    def emit(self, effect):
        """Adds an effect to those that the current message causes.

        :param effect: ``effects.Effect``.
        """
        self._effects.append(effect)

    def log_event(self, event, **fields):
        """Emits an event for the log file.

        :param event: ``events.Event``.
        :param fields: values of the fields of the event.
        """
        texts = {name: str(value) for name, value in fields.items()}
        self.emit(effects.LogEvent(event.name, texts))

    def count_free_slots(self, worker):
        """Counts the slots of a backend server that no entry uses.

        :param worker: ``fleet.Worker``.
        :return: number of slots; negative if more requests run than there are slots.
        """
        others = self.roster.count_running(worker.id)
        return worker.vm.slots - worker.count_running() - others

    def queue(self, service):
        """Returns the queue of a service.

        :param service: service name.
        :return: ``queues.TierQueue``.
        """
        if service not in self.queues:
            self.queues[service] = queues.TierQueue()
        return self.queues[service]

    def is_quarantined(self, content):
        """Tells whether all entries refuse requests with this content.

        :param content: hash of the content.
        :return: ``True`` if it is quarantined.
        """
        return self.crashes.is_quarantined(content, self.state)

    def refuse(self, request, kind, ran=None):
        """Ends a request with an error response.

        :param request: ``requests.Request``.
        :param kind: ``exceptions.ErrorKind``.
        :param ran: whether a backend server ran the request; defaults to
            ``request.ran``.
        """
        ran = request.ran if ran is None else ran
        request.lifecycle.end()
        del self.requests[request.request_id]
        if request.is_keyed:
            self.keys.close(
                keys.scope_key(request.message), request.request_id, kind, ran
            )
        self.refuse_message(request.message, kind, ran)
        self._emit_observation(request, kind.value, False)

    def refuse_message(self, message, kind, ran):
        """Refuses a message for which this entry has created no request.

        :param message: ``messages.CallReceived``.
        :param kind: ``exceptions.ErrorKind``.
        :param ran: whether a backend server ran the request.
        """
        retry_after_s = exceptions.ERROR_TEMPLATES[kind].retry_after_s
        self.emit(effects.Refuse(message.request_id, kind, ran, retry_after_s))

    def complete(self, request):
        """Ends a request whose complete response has been relayed.

        :param request: ``requests.Request``.
        """
        request.lifecycle.end()
        del self.requests[request.request_id]
        if request.is_keyed:
            self.keys.complete(keys.scope_key(request.message))
        self.emit(effects.Complete(request.request_id, request.is_keyed))
        self._emit_observation(request, "whole", self.now_ms <= request.deadline_ms)

    def _emit_observation(self, request, ended, good):
        first_ms = request.first_ms if request.first_ms is not None else self.now_ms
        self.emit(
            effects.ObserveRequest(
                tier=request.call.tier,
                customer=request.message.customer,
                first_ms=first_ms - request.arrived_ms,
                total_ms=self.now_ms - request.arrived_ms,
                good=good,
                ended=ended,
            )
        )


def create_node(settings, seed=None):
    """Creates a node.

    :param settings: ``NodeSettings``.
    :param seed: seed of the random number generator; ``None`` for a random seed.
    :return: ``Node``.
    """
    return Node(settings, random.Random(seed))
