"""The state of one entry and its single point of entry for messages."""

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
PAUSE_GAP_MS = 1_000
REFRESH_MS = 1_000


class NodeSettings(msgspec.Struct, frozen=True):
    """Settings of a node.

    :param name: name of the entry.
    :param incarnation: id of this run of the entry, never used again.
    :param placement: name of the placement policy.
    :param queue_limit: waiting requests of all tiers together.
    """

    name: str
    incarnation: str
    placement: str = DEFAULT_PLACEMENT
    queue_limit: int = DEFAULT_QUEUE_LIMIT


class Node:
    """One entry's decisions: takes messages and returns effects.

    The node reads no clock and opens no socket. Every attribute is owned by the
    node; handlers change it, and nothing else does.

    :param settings: ``NodeSettings``.
    :param rng: random numbers.
    """

    def __init__(self, settings, rng):
        self.settings = settings
        self.rng = rng
        self.now_ms = 0
        self.replica = replicas.Replica()
        self.log_heard_ms = None
        self.log_time_ms = 0
        self.log_known_ms = 0
        self.fleet = fleet.Fleet()
        self.has_vms = False
        self.roster = peers.Roster(settings.name)
        self.requests = {}
        self.queues = {}
        self.placement = placements.create_placement(settings.placement)
        self.lengths = estimates.LengthEstimator()
        self.prefixes = estimates.PrefixIndex()
        self.versions = moves.VersionChooser()
        self.version_stats = evidence.VersionStatsCollector()
        self.analyses = {}
        self.crashes = poison.CrashWatch()
        self.keys = keys.KeyTable()
        self.claims = keys.ClaimQueue(settings.name, settings.incarnation)
        self.issued_keys = 0
        self.holds = {}
        self.yields = {}
        self.own_reports = {}
        self.unlisted = {}
        self.appended = {}
        self.digest_sequence = 0
        self.digest_ms = 0
        self.is_stopping = False
        self.refresh_until_ms = 0
        self.is_pump_due = False
        self._effects = []

    @property
    def state(self):
        """The folded state of the log."""
        return self.replica.state

    @property
    def configuration(self):
        """The configuration in force, or ``None``."""
        return self.state.configuration

    @property
    def is_ready(self):
        """Whether this node has what it needs to take requests."""
        return self.configuration is not None and self.has_vms

    def handle(self, message, now_ms):
        """Handles one message.

        :param message: a ``messages.Message``.
        :param now_ms: present time in Unix milliseconds; never goes back.
        :return: list of effects, in order.
        """
        self._detect_pause(now_ms)
        self.now_ms = now_ms
        handlers.handle(message, self)
        return self.take_effects()

    def _detect_pause(self, now_ms):
        # Ticks come several times a second. After a longer gap the process was
        # paused, and what it knows of its backend servers is out of date.
        if self.now_ms and now_ms - self.now_ms > PAUSE_GAP_MS:
            self.refresh_until_ms = now_ms + REFRESH_MS

    @property
    def is_refreshing(self):
        """Whether dispatches wait for fresh reports after a pause."""
        return self.now_ms < self.refresh_until_ms

    def take_effects(self):
        """Takes the effects that were added since the last call.

        :return: list of effects, in order.
        """
        done, self._effects = self._effects, []
        return done

    def emit(self, effect):
        """Adds an effect to the answer to the present message.

        :param effect: the effect.
        """
        self._effects.append(effect)

    def note(self, event, **fields):
        """Asks for a log event.

        :param event: name of the event in the catalogue.
        :param fields: values for its text.
        """
        texts = {name: str(value) for name, value in fields.items()}
        self.emit(effects.LogEvent(event.name, texts))

    def count_unused(self, worker):
        """Counts the slots of a backend server that no entry uses.

        :param worker: ``fleet.Worker``.
        :return: number of slots; negative if there are too many requests.
        """
        others = self.roster.count_running(worker.id)
        return worker.vm.slots - worker.count() - others

    def queue(self, service):
        """Returns the queue of a service.

        :param service: service name.
        :return: ``TierQueue``.
        """
        if service not in self.queues:
            self.queues[service] = queues.TierQueue()
        return self.queues[service]

    def is_quarantined(self, content):
        """Whether a content is refused everywhere.

        :param content: hash of the content.
        :return: ``True`` if it is quarantined.
        """
        return self.crashes.is_quarantined(content, self.state)

    def refuse(self, request, kind, ran=None):
        """Gives a request its final answer.

        :param request: the request.
        :param kind: kind of error.
        :param ran: whether it ran; by default what the request knows.
        """
        ran = request.ran if ran is None else ran
        request.life.end()
        del self.requests[request.request_id]
        if request.is_keyed:
            self.keys.close(
                keys.scope_key(request.message), request.request_id, kind, ran
            )
        self.refuse_message(request.message, kind, ran)
        self._observe(request, kind.value, False)

    def refuse_message(self, message, kind, ran):
        """Answers a message that never became a request of this entry.

        :param message: ``CallReceived``.
        :param kind: kind of error.
        :param ran: whether the request ran.
        """
        retry_after_s = exceptions.ERROR_TEMPLATES[kind].retry_after_s
        self.emit(effects.Refuse(message.request_id, kind, ran, retry_after_s))

    def complete(self, request):
        """Ends a request whose whole answer was relayed.

        :param request: the request.
        """
        request.life.end()
        del self.requests[request.request_id]
        if request.is_keyed:
            self.keys.complete(keys.scope_key(request.message))
        self.emit(effects.Complete(request.request_id, request.is_keyed))
        self._observe(request, "whole", self.now_ms <= request.deadline_ms)

    def _observe(self, request, ended, good):
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
    :param seed: seed of its random numbers; ``None`` for an unpredictable one.
    :return: a ``Node``.
    """
    return Node(settings, random.Random(seed))
