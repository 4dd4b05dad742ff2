"""Canary releases: moves a service's traffic to the version of an operator's order.

A small share of the requests goes to the new version. Each entry stops sending
to it as soon as the combined evidence of all entries shows that it is failing or
slow. One entry at a time writes the phases to the store: it promotes a version
that has stayed healthy for most of the time allowed. Its share then grows step by
step, as some versions are bad only under load. The release is reported as finished
once the version has had all requests for a while and the old backend servers are
idle, because they are stopped then.
"""

import msgspec

from wasabiknot_kernel import (
    analyses,
    engine_paces,
    outcomes,
    positions,
    registrations,
    release_records,
    response_stats,
)

Outcome = outcomes.Outcome
Phase = release_records.Phase

# Fraction of the permitted canary share that is used, because a request may be sent
# twice.
CANARY_SHARE_FACTOR = 0.7
# Fractions of an order's duration after which a healthy version is promoted with ample
# evidence and with little, after which the release may be reported as finished, and
# after which it is in any case.
PROMOTE_FRACTION = 0.62
LATEST_PROMOTE_FRACTION = 0.75
MIN_FINISH_FRACTION = 0.82
FINISH_FRACTION = 0.93
# Fraction of an order's duration in which the share of a promoted version grows.
GROWTH_FRACTION = 0.1
# Fraction of the permitted requests beyond the canary share that are sent early, as
# few requests say little, and the share of the requests until then.
EARLY_FRACTION = 0.4
EARLY_SHARE = 0.3
# Shortest time that old backend servers get to finish their requests.
MIN_DRAIN_S = 1.0
# Complete responses that a version needs to be promoted, and those that are ample
# evidence. Entries that have all been restarted know none from before.
MIN_SUCCESSES = 10
AMPLE_SUCCESSES = 40
# A caller that leaves after this time without any event counts as a failure of the
# version.
NO_RESPONSE_S = 1.5
# New versions without an order get no traffic for this time, because the order may
# not have arrived yet.
UNORDERED_VERSION_DELAY_S = 2.0


_FAILURE_KINDS = {
    Outcome.FAILED: response_stats.FailureKind.FAILED,
    Outcome.RESPONSE_LOST: response_stats.FailureKind.LOST,
    Outcome.ENDLESS: response_stats.FailureKind.LOST,
    Outcome.TIMED_OUT: response_stats.FailureKind.SILENT,
}


class _TrackedOrder(msgspec.Struct):
    order: registrations.ReleaseOrder
    started_s: float
    # Whether this entry has read the order when it was new.
    is_start_known: bool
    # Positions at which the order was read in earlier eras of the store.
    earlier_offsets: tuple[int, ...] = ()
    # Requests beyond the canary share that this entry may still send early.
    early_left: float = 0.0
    # Time at which this entry learned of the promotion.
    promoted_s: float | None = None
    # Fraction of the old servers that were fast when the order was read.
    fast_fraction: float = 0.0

    def is_read_again(self, order):
        """Tells whether an order is this one, read after the store was restored."""
        is_same = (self.order.target, self.order.duration_s) == (
            order.target,
            order.duration_s,
        )
        era = positions.get_era(self.order.offset)
        return is_same and positions.get_era(order.offset) != era


class Releases:
    """The releases of all services, as known to one entry.

    :param canary_share: fraction of the requests that a version may get before it is
        promoted.
    :param rng: random number generator.
    :param canary_slack: requests beyond that share that all entries may send to it.
    """

    def __init__(self, canary_share, rng, canary_slack=0.0):
        self.canary_share = canary_share
        self.canary_slack = canary_slack
        # Number of entries that share the slack.
        self.entry_count = 1
        self._rng = rng
        self._orders = {}
        self._records = {}
        self._own_evidence = {}
        self._peer_evidence = {}
        self._block_reasons = {}
        self._first_seen_s = {}
        # Services whose record the store may have lost.
        self._lost_records = set()
        # Function of an order that counts the requests in flight of its version.
        self.count_running = lambda order: 0
        # Function of an order that lists the paces of the other versions' servers.
        self.list_paces_ms = lambda order: []

    def apply_order(self, order, now_s, is_news=False):
        """Applies an order; older orders of the same service are ignored.

        :param order: ``registrations.ReleaseOrder``.
        :param now_s: current time in seconds.
        :param is_news: whether this entry had read the orders before, so that this one
            has just been given.
        :return: whether the order is new.
        """
        previous = self._orders.get(order.service)
        if previous is not None and previous.order.offset >= order.offset:
            return False
        early = EARLY_FRACTION * self.canary_slack / self.entry_count
        tracked = _TrackedOrder(order, now_s, is_news, early_left=early)
        self._orders[order.service] = tracked
        if previous is not None and previous.is_read_again(order):
            self._continue(tracked, previous)
            return True
        paces_ms = self.list_paces_ms(order)
        tracked.fast_fraction = engine_paces.find_fast_fraction(paces_ms)
        self._drop_evidence(order.service)
        self._block_reasons.pop(order.service, None)
        return True

    def _continue(self, tracked, previous):
        tracked.started_s = previous.started_s
        tracked.is_start_known = previous.is_start_known
        tracked.early_left = previous.early_left
        tracked.fast_fraction = previous.fast_fraction
        tracked.promoted_s = previous.promoted_s
        tracked.earlier_offsets = (
            *previous.earlier_offsets,
            previous.order.offset,
        )
        # Peers that have started since know the order by its new position only.
        prefix = _create_prefix(previous.order)
        for key in [key for key in self._own_evidence if key.startswith(prefix)]:
            subject = key.removeprefix(prefix)
            stats = self._own_evidence.pop(key)
            self._own_evidence[_create_prefix(tracked.order) + subject] = stats

    def _drop_evidence(self, service):
        for evidence in (self._own_evidence, *self._peer_evidence.values()):
            for key in [key for key in evidence if key.startswith(f"{service}/")]:
                del evidence[key]

    def apply_record(self, release, now_s, now_ms):
        """Applies the record of a release from the store.

        An entry that has started since takes the age of the release from it. That is
        by the time of day of two VMs, so an age that can't be is ignored.

        :param release: ``release_records.Release``.
        :param now_s: current time in seconds.
        :param now_ms: current Unix time in milliseconds.
        :return: whether it was applied; not if it has an earlier phase than known.
        """
        known = self._records.get(release.service)
        if known is not None and known.is_beyond(release):
            self._lost_records.add(release.service)
            return False
        self._records[release.service] = release
        self._lost_records.discard(release.service)
        tracked = self._orders.get(release.service)
        if tracked is not None and release.belongs_to(tracked.order):
            self._correct_start(tracked, release, now_s, now_ms)
            if release.phase is Phase.PROMOTED and tracked.promoted_s is None:
                tracked.promoted_s = now_s
        return True

    def _correct_start(self, tracked, release, now_s, now_ms):
        if tracked.is_start_known:
            return
        age_s = max(0.0, (now_ms - release.started_ms) / 1_000)
        if age_s < 2 * tracked.order.duration_s:
            tracked.started_s = min(tracked.started_s, now_s - age_s)

    def record_restoration(self):
        """Records that the store was restored and may have lost any record."""
        self._lost_records.update(self._records)

    def list_lost_records(self):
        """Lists the records that the store may have lost.

        :return: list of ``release_records.Release``.
        """
        return [
            self._records[service]
            for service in sorted(self._lost_records)
            if service in self._orders
        ]

    def mark_stored(self, service):
        """Records that the store keeps the record of a service, or a later one.

        :param service: service name.
        """
        self._lost_records.discard(service)

    def record_version(self, service, version, now_s):
        """Records when a version of a service was first registered.

        :param service: service name.
        :param version: version of a registered backend server.
        :param now_s: current time in seconds.
        """
        self._first_seen_s.setdefault((service, version), now_s)

    def find_phase(self, service):
        """Finds the phase of a service's newest order.

        :param service: service name.
        :return: ``Phase``, or ``None`` without an order.
        """
        tracked = self._orders.get(service)
        if tracked is None:
            return None
        record = self._records.get(service)
        if record is None or not record.belongs_to(tracked.order):
            return Phase.CANARY
        return record.phase

    def list_active(self):
        """Lists the orders that are neither finished nor rolled back.

        :return: list of ``registrations.ReleaseOrder``.
        """
        final_phases = (Phase.FINISHED, Phase.ROLLED_BACK)
        return [
            item.order
            for service, item in self._orders.items()
            if self.find_phase(service) not in final_phases
        ]

    def select(self, ticket, servers, now_s):
        """Selects the backend servers whose version may run a request.

        A request that is retried stays on its side while the release is a canary.

        :param ticket: ``arrivals.Ticket``.
        :param servers: list of ``servers.Server``.
        :param now_s: current time in seconds.
        :return: list of ``servers.Server``.
        """
        tracked = self._orders.get(ticket.service)
        if tracked is None:
            return self._exclude_unordered(ticket.service, servers, now_s)
        target = tracked.order.target
        new = [item for item in servers if item.registration.version == target]
        old = [item for item in servers if item.registration.version != target]
        phase = self.find_phase(ticket.service)
        if phase is Phase.ROLLED_BACK or self.is_blocked(ticket.service):
            return old
        share = self._find_share(tracked, phase, now_s)
        if share >= 1.0:
            return new or old
        if ticket.is_canary is None:
            ticket.is_canary = bool(new) and self._draw_canary(tracked, share)
        if ticket.is_canary:
            return new or old
        return old if phase is Phase.CANARY else old or new

    def _find_share(self, tracked, phase, now_s):
        if phase is Phase.CANARY:
            return CANARY_SHARE_FACTOR * self.canary_share
        if phase is Phase.FINISHED or tracked.promoted_s is None:
            return 1.0
        growth_s = GROWTH_FRACTION * tracked.order.duration_s
        growth = (now_s - tracked.promoted_s) / growth_s
        return self.canary_share + (1.0 - self.canary_share) * growth

    def _draw_canary(self, tracked, share):
        draw = self._rng.random()
        if draw < share:
            return True
        if draw > max(share, EARLY_SHARE) or tracked.early_left <= 0.0:
            return False
        is_early = self._rng.random() < tracked.early_left
        tracked.early_left -= 1.0
        return is_early

    def _exclude_unordered(self, service, servers, now_s):
        seen = {
            item.registration.version: self._first_seen_s.get(
                (service, item.registration.version), now_s
            )
            for item in servers
        }
        if len(seen) < 2:
            return servers
        oldest_s = min(seen.values())
        return [
            item
            for item in servers
            if seen[item.registration.version] == oldest_s
            or now_s - seen[item.registration.version] > UNORDERED_VERSION_DELAY_S
        ]

    def record_outcome(self, ticket, server, outcome, duration_ratio):
        """Records the outcome of an attempt as evidence about its version.

        :param ticket: ``arrivals.Ticket``.
        :param server: ``servers.Server`` that the request was sent to.
        :param outcome: ``outcomes.Outcome``.
        :param duration_ratio: actual divided by predicted duration; ``None`` if
            unknown.
        """
        tracked = self._orders.get(ticket.service)
        if tracked is None or outcome is Outcome.CANCELLED:
            return
        if outcome in outcomes.NOT_EXECUTED:
            return
        is_good = outcome is Outcome.COMPLETE
        # Results are counted by route and by backend server: "r/" and "s/" in the keys.
        for subject in (f"r/{ticket.route.name}", f"s/{server.server_id}"):
            stats = self._find_own_stats(tracked.order, server, subject)
            if is_good:
                stats.successes += 1
            else:
                stats.add_failure(_FAILURE_KINDS[outcome])
            if is_good and duration_ratio:
                stats.add_duration_ratio(duration_ratio)

    def record_pace(self, server, load, pace_ms):
        """Records the pace of a complete response as evidence about its version.

        :param server: ``servers.Server`` that has sent it.
        :param load: mean number of requests that the server ran meanwhile.
        :param pace_ms: time between two events, or of a plain request, in milliseconds.
        """
        tracked = self._orders.get(server.registration.service)
        if tracked is not None:
            subject = f"s/{server.server_id}"
            stats = self._find_own_stats(tracked.order, server, subject)
            stats.add_pace(load, pace_ms)

    def _find_own_stats(self, order, server, subject):
        side = "new" if server.registration.version == order.target else "old"
        key = f"{_create_prefix(order)}{side}/{subject}"
        return self._own_evidence.setdefault(key, response_stats.ResponseStats())

    def list_evidence(self):
        """Lists the evidence of this entry about active releases.

        :return: mapping of keys to ``response_stats.ResponseStats``.
        """
        active_prefixes = {_create_prefix(item) for item in self.list_active()}
        return {
            key: stats
            for key, stats in self._own_evidence.items()
            if any(key.startswith(prefix) for prefix in active_prefixes)
        }

    def merge_evidence(self, sources, include_own=True):
        """Merges the evidence of peers and of this entry.

        :param sources: names of the peers or groups.
        :param include_own: whether to include the evidence of this entry.
        :return: mapping of keys to ``response_stats.ResponseStats``.
        """
        own = self._own_evidence if include_own else {}
        total = {key: stats.copy() for key, stats in own.items()}
        for source in sources:
            for key, stats in self._peer_evidence.get(source, {}).items():
                total.setdefault(key, response_stats.ResponseStats()).add(stats)
        return total

    def apply_evidence(self, source, evidence):
        """Replaces the evidence of a peer or of another group.

        :param source: name of the peer or group.
        :param evidence: mapping of keys to ``response_stats.ResponseStats``.
        """
        self._peer_evidence[source] = evidence

    def analyze(self, service):
        """Compares the version of a service's newest order with the old versions.

        :param service: service name.
        :return: ``analyses.Analysis``.
        """
        tracked = self._orders[service]
        running = self.count_running(tracked.order)
        return analyses.compare_versions(
            *self._find_evidence(service), running, tracked.fast_fraction
        )

    def _find_evidence(self, service):
        tracked = self._orders[service]
        prefixes = [_create_prefix(tracked.order)]
        # Peers may not have read the order again yet.
        for offset in tracked.earlier_offsets:
            earlier = msgspec.structs.replace(tracked.order, offset=offset)
            prefixes.append(_create_prefix(earlier))
        sources = (self._own_evidence, *self._peer_evidence.values())
        sides = {"new": {}, "old": {}}
        for prefix in prefixes:
            for evidence in sources:
                _add_evidence(sides, evidence, prefix)
        return sides["new"], sides["old"]

    def describe_evidence(self, service):
        """Describes what is known of the new and old backend servers.

        :param service: service name.
        :return: text for the log, with the number of responses of each side by their
            outcome, and ``MEAN~DEVIATIONxSAMPLES`` of the duration ratios and
            ``PACE@LOAD`` of each server.
        """
        sides = []
        for side, evidence in zip(
            ("new", "old"), self._find_evidence(service), strict=True
        ):
            stats_list = [
                stats for key, stats in evidence.items() if key.startswith("s/")
            ]
            counts = analyses.describe_counts(stats_list)
            durations = analyses.describe_durations(stats_list)
            paces = analyses.describe_paces(stats_list)
            sides.append(f"{side}: {counts}; {durations}; {paces}")
        return "; ".join(sides)

    def is_blocked(self, service):
        """Whether the version of a service's newest order is blocked.

        :param service: service name.
        :return: ``True`` once an analysis has found the version to be bad.
        """
        return service in self._block_reasons

    def block_bad_versions(self):
        """Analyzes all active releases and blocks the versions found to be bad.

        :return: list of ``BlockedRelease``, only those blocked by this call.
        """
        blocked = []
        for order in self.list_active():
            if order.service in self._block_reasons:
                continue
            analysis = self.analyze(order.service)
            if analysis.is_bad:
                self._block_reasons[order.service] = analysis.reason
                blocked.append(BlockedRelease(order, analysis.reason))
        return blocked

    def find_due_record(self, service, now_s, now_ms, running_on_old):
        """Finds the next record to write to the store for a service.

        :param service: service name.
        :param now_s: current time in seconds.
        :param now_ms: current Unix time in milliseconds.
        :param running_on_old: requests of all entries on old backend servers.
        :return: ``release_records.Release``, or ``None`` if none is due.
        """
        tracked = self._orders[service]
        phase = self.find_phase(service)
        record = self._records.get(service)
        has_record = record is not None and record.belongs_to(tracked.order)
        age_s = now_s - tracked.started_s
        started_ms = record.started_ms if has_record else round(now_ms - age_s * 1_000)
        base = release_records.Release(
            service=service,
            target=tracked.order.target,
            order=tracked.order.offset,
            phase=Phase.CANARY,
            started_ms=started_ms,
            duration_s=tracked.order.duration_s,
        )
        if phase in (Phase.FINISHED, Phase.ROLLED_BACK):
            return None
        if service in self._block_reasons:
            reason = self._block_reasons[service]
            return msgspec.structs.replace(base, phase=Phase.ROLLED_BACK, reason=reason)
        if not has_record:
            return base
        if phase is Phase.CANARY:
            age = age_s / tracked.order.duration_s
            if age >= PROMOTE_FRACTION and self._has_evidence(service, age):
                return msgspec.structs.replace(base, phase=Phase.PROMOTED)
            return None
        min_finish_s = max(
            PROMOTE_FRACTION * tracked.order.duration_s + MIN_DRAIN_S,
            MIN_FINISH_FRACTION * tracked.order.duration_s,
        )
        is_drained = age_s >= min_finish_s and running_on_old == 0
        if is_drained or age_s >= FINISH_FRACTION * tracked.order.duration_s:
            return msgspec.structs.replace(base, phase=Phase.FINISHED)
        return None

    def _has_evidence(self, service, age):
        is_latest = age >= LATEST_PROMOTE_FRACTION
        wanted = MIN_SUCCESSES if is_latest else AMPLE_SUCCESSES
        return self.analyze(service).successes >= wanted


def classify_unfinished(event_count, elapsed_s, is_timed_out):
    """Classifies an attempt that this entry ended before its response was complete.

    Counts timeouts as failures, because a slow version may never complete a response.

    :param event_count: number of events received.
    :param elapsed_s: time since the request was sent, in seconds.
    :param is_timed_out: whether the request timed out; otherwise its caller left.
    :return: ``outcomes.Outcome``.
    """
    if is_timed_out or (not event_count and elapsed_s > NO_RESPONSE_S):
        return Outcome.TIMED_OUT
    return Outcome.CANCELLED


class BlockedRelease(msgspec.Struct, frozen=True):
    """An order whose version was blocked.

    :param order: ``registrations.ReleaseOrder``.
    :param reason: why the version was blocked.
    """

    order: registrations.ReleaseOrder
    reason: str


def _create_prefix(order):
    return f"{order.service}/{order.offset}/"


def _add_evidence(sides, evidence, prefix):
    for key, stats in evidence.items():
        if not key.startswith(prefix):
            continue
        side, _, subject = key.removeprefix(prefix).partition("/")
        if side not in sides:
            # An entry of another version may know more sides.
            continue
        known = sides[side].get(subject)
        if known is None:
            sides[side][subject] = stats.copy()
        else:
            known.add(stats)
