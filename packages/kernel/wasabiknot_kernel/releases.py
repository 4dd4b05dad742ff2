"""Moves of a service's traffic to a version that an operator orders.

A small share of the requests tries the new version. Every entry leaves it by
itself as soon as the evidence of all entries speaks against it. One entry at a
time writes the phases to the store: it promotes a version that has stayed good
for most of the time allowed, and reports it as finished once the old backend
servers have no work left, as they are stopped then.
"""

import enum
import math
import statistics

import msgspec

from wasabiknot_kernel import outcomes, registrations

Outcome = outcomes.Outcome

# Part of the share allowed that is used, since a request may be sent twice.
SHARE_PART = 0.7
# Parts of the time allowed after which a good version gets all traffic, and
# after which it is reported as finished in any case.
PROMOTE_PART = 0.62
FINISH_PART = 0.93
# Shortest time for which old backend servers finish their work.
SETTLE_S = 1.0
# Evidence that a version is failing: failures, and by how many standard
# deviations their part exceeds that of the versions beside it.
MIN_FAILURES = 5
FAILURE_SCORE = 5.0
# Least part of failures that is taken to be usual.
USUAL_FAILURE_PART = 0.03
# Evidence that a version is slow: answers, and the factor over the slowest of
# the backend servers beside it.
MIN_PACES = 5
SLOW_FACTOR = 1.6
# Backend servers on each side from which on the sides are compared one by one.
MIN_SERVERS = 3
# Evidence that a part of a version's answers is slow: answers, and the factor
# between the spread of their paces and that of the backend servers beside it.
MIN_SPREAD_PACES = 20
SPREAD_FACTOR = 1.6
# Least spread, as standard deviation of the logarithm of paces, that is taken
# to be usual.
USUAL_SPREAD = 0.45
# Whole answers without which a version is not promoted.
MIN_GOOD = 10
# Time without an event after which a caller's leaving speaks against a version.
UNANSWERED_S = 1.5
# Age up to which a version that no order names is kept back, as its order may be
# on the way.
UNKNOWN_S = 2.0


class Phase(enum.Enum):
    """Phases of a release."""

    CANARY = "canary"
    PROMOTED = "promoted"
    FINISHED = "finished"
    ROLLED_BACK = "taken-back"


class Release(msgspec.Struct, frozen=True):
    """The record of a release in the store.

    :param service: the service.
    :param target: version of the order.
    :param order: position of the order.
    :param phase: how far it is.
    :param started_ms: Unix time at which the order was found.
    :param reason: why it was taken back.
    """

    service: str
    target: str
    order: int
    phase: Phase
    started_ms: int
    reason: str = ""


class ResponseStats(msgspec.Struct, array_like=True):
    """Counted answers.

    :param good: whole answers.
    :param bad: answers that failed or did not come.
    :param paces: answers whose pace is known.
    :param log_sum: sum of the logarithms of their paces.
    :param square_sum: sum of the squares of these logarithms.
    """

    good: int = 0
    bad: int = 0
    paces: int = 0
    log_sum: float = 0.0
    square_sum: float = 0.0

    def add_pace(self, pace):
        """Adds the pace of an answer.

        :param pace: its duration over the usual one.
        """
        logarithm = math.log(pace)
        self.paces += 1
        self.log_sum += logarithm
        self.square_sum += logarithm * logarithm

    def measure_scatter(self):
        """Measures how far paces lie from their mean.

        :return: sum of the squares of their distances, as logarithms.
        """
        if not self.paces:
            return 0.0
        return max(0.0, self.square_sum - self.log_sum**2 / self.paces)

    def add(self, other):
        """Adds another tally.

        :param other: ``ResponseStats``.
        """
        self.good += other.good
        self.bad += other.bad
        self.paces += other.paces
        self.log_sum += other.log_sum
        self.square_sum += other.square_sum


class Analysis(msgspec.Struct, frozen=True):
    """What the evidence says of a version.

    :param is_bad: whether it must get no more traffic.
    :param good: whole answers behind it.
    :param reason: why it is bad.
    """

    is_bad: bool
    good: int
    reason: str = ""


class _Order(msgspec.Struct):
    order: registrations.ReleaseOrder
    found_s: float


class Releases:
    """All releases as one entry sees them.

    :param canary_share: part of the requests that an unproven version may get.
    :param rng: random numbers.
    """

    def __init__(self, canary_share, rng):
        self.canary_share = canary_share
        self._rng = rng
        self._orders = {}
        self._records = {}
        self._evidence = {}
        self._peers = {}
        self._condemned = {}
        self._first_seen = {}

    # What is known

    def apply_order(self, order, now_s):
        """Takes an order.

        :param order: ``registrations.ReleaseOrder``.
        :param now_s: present time.
        :return: whether it is new.
        """
        known = self._orders.get(order.service)
        if known is not None and known.order.offset >= order.offset:
            return False
        self._orders[order.service] = _Order(order, now_s)
        self._evidence.clear()
        self._peers.clear()
        self._condemned.pop(order.service, None)
        return True

    def apply_record(self, release, now_s, now_ms):
        """Takes the record of a release.

        :param release: ``Release``.
        :param now_s: present time.
        :param now_ms: present Unix time.
        """
        self._records[release.service] = release
        known = self._orders.get(release.service)
        if known is not None and known.order.offset == release.order:
            age_s = max(0.0, (now_ms - release.started_ms) / 1_000)
            if age_s < 2 * known.order.duration_s:
                known.found_s = min(known.found_s, now_s - age_s)

    def record_version(self, service, version, now_s):
        """Notes that a backend server of a version is registered.

        :param service: the service.
        :param version: the version.
        :param now_s: present time.
        """
        self._first_seen.setdefault((service, version), now_s)

    def find_phase(self, service):
        """Finds the phase of a service's newest order.

        :param service: the service.
        :return: ``Phase``, or ``None`` without an order.
        """
        known = self._orders.get(service)
        if known is None:
            return None
        record = self._records.get(service)
        if record is None or record.order != known.order.offset:
            return Phase.CANARY
        return record.phase

    def list_active(self):
        """Lists the orders that are neither finished nor taken back.

        :return: list of ``registrations.ReleaseOrder``.
        """
        ended = (Phase.FINISHED, Phase.ROLLED_BACK)
        return [
            item.order
            for service, item in self._orders.items()
            if self.find_phase(service) not in ended
        ]

    # Choosing

    def select(self, ticket, servers, now_s):
        """Selects the backend servers whose version may run a request.

        :param ticket: ``arrivals.Ticket``.
        :param servers: list of ``servers.Server``.
        :param now_s: present time.
        :return: list of ``servers.Server``.
        """
        known = self._orders.get(ticket.service)
        if known is None:
            return self._hold_unknown(ticket.service, servers, now_s)
        target = known.order.target
        new = [item for item in servers if item.registration.version == target]
        old = [item for item in servers if item.registration.version != target]
        phase = self.find_phase(ticket.service)
        if phase is Phase.ROLLED_BACK or self.is_blocked(ticket.service):
            return old
        if phase in (Phase.PROMOTED, Phase.FINISHED):
            return new or old
        if ticket.is_canary is None:
            share = SHARE_PART * self.canary_share
            ticket.is_canary = bool(new) and self._rng.random() < share
        if ticket.is_canary:
            return new or old
        return old

    def _hold_unknown(self, service, servers, now_s):
        seen = {
            item.registration.version: self._first_seen.get(
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
            or now_s - seen[item.registration.version] > UNKNOWN_S
        ]

    # Evidence

    def record_outcome(self, ticket, server, outcome, pace):
        """Notes the end of a send as evidence.

        :param ticket: ``arrivals.Ticket``.
        :param server: ``servers.Server``.
        :param outcome: ``outcomes.Outcome``.
        :param pace: its duration over the usual one; ``None`` if unknown.
        """
        known = self._orders.get(ticket.service)
        if known is None or outcome in (Outcome.REJECTED, Outcome.CANCELLED):
            return
        if outcome is Outcome.UNREACHED:
            return
        is_new = server.registration.version == known.order.target
        side = "new" if is_new else "old"
        is_good = outcome is Outcome.WHOLE
        for subject in (f"r/{ticket.route.name}", f"s/{server.server_id}"):
            key = f"{ticket.service}/{known.order.offset}/{side}/{subject}"
            tally = self._evidence.setdefault(key, ResponseStats())
            if is_good:
                tally.good += 1
            else:
                tally.bad += 1
            if is_good and pace:
                tally.add_pace(pace)

    def list_evidence(self):
        """Lists the evidence of this entry on open orders.

        :return: mapping of keys to ``ResponseStats``.
        """
        opened = {f"{item.service}/{item.offset}/" for item in self.list_active()}
        return {
            key: tally
            for key, tally in self._evidence.items()
            if any(key.startswith(start) for start in opened)
        }

    def merge_evidence(self, sources, with_own=True):
        """Sums the evidence of some peers, and of this entry.

        :param sources: names of the peers.
        :param with_own: whether this entry's evidence is part of it.
        :return: mapping of keys to ``ResponseStats``.
        """
        own = self._evidence if with_own else {}
        total = {key: msgspec.structs.replace(tally) for key, tally in own.items()}
        for source in sources:
            for key, tally in self._peers.get(source, {}).items():
                total.setdefault(key, ResponseStats()).add(tally)
        return total

    def apply_evidence(self, source, evidence):
        """Takes the evidence of a peer, or of another group.

        :param source: its name.
        :param evidence: mapping of keys to ``ResponseStats``.
        """
        self._peers[source] = evidence

    def analyze(self, service):
        """Judges the version of a service's newest order.

        :param service: the service.
        :return: ``Analysis``.
        """
        known = self._orders[service]
        prefix = f"{service}/{known.order.offset}/"
        total = self.merge_evidence(self._peers)
        new = _select(total, f"{prefix}new/")
        old = _select(total, f"{prefix}old/")
        good = sum(tally.good for key, tally in new.items() if key.startswith("r/"))
        reason = _find_failing(new, old) or _find_slow(new, old) or _find_torn(new, old)
        return Analysis(bool(reason), good, reason)

    def describe_evidence(self, service):
        """Describes the paces of both sides, for the log.

        :param service: the service.
        :return: text.
        """
        prefix = f"{service}/{self._orders[service].order.offset}/"
        total = self.merge_evidence(self._peers)
        sides = []
        for side in ("new", "old"):
            tallies = _select(total, f"{prefix}{side}/s/").values()
            rows = sorted(
                (_measure_spread([item]), item.paces, item.log_sum / item.paces)
                for item in tallies
                if item.paces
            )
            texts = [f"{math.exp(row[2]):.2f}~{row[0]:.2f}x{row[1]}" for row in rows]
            sides.append(f"{side} {' '.join(texts)}")
        return "; ".join(sides)

    def is_blocked(self, service):
        """Whether the version of a service's newest order was found to be bad.

        :param service: the service.
        :return: ``True`` from the first bad judgement on.
        """
        return service in self._condemned

    def block_bad_versions(self):
        """Judges all open orders.

        :return: list of ``BlockedRelease``, those that were found to be bad just now.
        """
        found = []
        for order in self.list_active():
            if order.service in self._condemned:
                continue
            judgement = self.analyze(order.service)
            if judgement.is_bad:
                self._condemned[order.service] = judgement.reason
                found.append(BlockedRelease(order, judgement.reason))
        return found

    # Duties

    def find_due_record(self, service, now_s, now_ms, old_running):
        """Finds the record that is due for a service.

        :param service: the service.
        :param now_s: present time.
        :param now_ms: present Unix time.
        :param old_running: requests of all entries at old backend servers.
        :return: ``Release``, or ``None`` if none is due.
        """
        known = self._orders[service]
        phase = self.find_phase(service)
        record = self._records.get(service)
        has_record = record is not None and record.order == known.order.offset
        age_s = now_s - known.found_s
        started_ms = record.started_ms if has_record else round(now_ms - age_s * 1_000)
        base = Release(
            service=service,
            target=known.order.target,
            order=known.order.offset,
            phase=Phase.CANARY,
            started_ms=started_ms,
        )
        if phase in (Phase.FINISHED, Phase.ROLLED_BACK):
            return None
        if service in self._condemned:
            reason = self._condemned[service]
            return msgspec.structs.replace(base, phase=Phase.ROLLED_BACK, reason=reason)
        if not has_record:
            return base
        if phase is Phase.CANARY:
            is_due = age_s >= PROMOTE_PART * known.order.duration_s
            if is_due and self.analyze(service).good >= MIN_GOOD:
                return msgspec.structs.replace(base, phase=Phase.PROMOTED)
            return None
        promoted_s = PROMOTE_PART * known.order.duration_s + SETTLE_S
        is_settled = age_s >= promoted_s and old_running == 0
        if is_settled or age_s >= FINISH_PART * known.order.duration_s:
            return msgspec.structs.replace(base, phase=Phase.FINISHED)
        return None


def classify_unfinished(events, held_s, is_timed_out):
    """Weighs a send that was ended here, as its time was over or its caller left.

    A slow version is known by the answers that never end.

    :param events: events that came.
    :param held_s: time since it was sent.
    :param is_timed_out: whether its time was over.
    :return: ``outcomes.Outcome``.
    """
    if is_timed_out or (not events and held_s > UNANSWERED_S):
        return Outcome.SILENT
    return Outcome.CANCELLED


class BlockedRelease(msgspec.Struct, frozen=True):
    """An order whose version was found to be bad.

    :param order: ``registrations.ReleaseOrder``.
    :param reason: why.
    """

    order: registrations.ReleaseOrder
    reason: str


def _select(total, prefix):
    return {
        key.removeprefix(prefix): tally
        for key, tally in total.items()
        if key.startswith(prefix)
    }


def _find_failing(new, old):
    servers = {key: item for key, item in new.items() if key.startswith("s/")}
    tried = [item for item in servers.values() if item.good + item.bad >= MIN_FAILURES]
    failing = [item for item in servers.values() if item.bad]
    if len(tried) > 1 and len(failing) == 1:
        # One backend server that fails beside others that do not is no version.
        return ""
    for key, tally in new.items():
        if not key.startswith("r/"):
            continue
        before = old.get(key, ResponseStats())
        part = tally.bad / max(1, tally.good + tally.bad)
        usual = before.bad / max(1, before.good + before.bad)
        if tally.bad < MIN_FAILURES:
            continue
        likely = min(max(usual, USUAL_FAILURE_PART), 0.5)
        deviation = math.sqrt(likely * (1 - likely) / (tally.good + tally.bad))
        if (part - likely) / deviation > FAILURE_SCORE:
            return f"{key[2:]}: {tally.bad} failed, {part:.0%} against {usual:.0%}"
    return ""


def _find_slow(new, old):
    slowest = _list_means(old)
    if not slowest:
        return ""
    paces = sum(item.paces for key, item in new.items() if key.startswith("r/"))
    if paces < MIN_PACES:
        return ""
    total = sum(item.log_sum for key, item in new.items() if key.startswith("r/"))
    excess = total / paces - slowest[-1]
    if excess > math.log(SLOW_FACTOR):
        return f"{math.exp(excess):.1f} times slower than the slowest beside it"
    return _compare_sides(_list_means(new), slowest)


def _compare_sides(new, old):
    if min(len(new), len(old)) < MIN_SERVERS:
        return ""
    # Backend servers differ in speed, but not those of one version from those of
    # another, from the fastest to the middle one.
    fastest = new[0] - old[0]
    middle = statistics.median(new) - statistics.median(old)
    if min(fastest, middle) > math.log(SLOW_FACTOR):
        return f"{math.exp(middle):.1f} times slower than the middle one beside it"
    return ""


def _list_means(tallies):
    return sorted(
        item.log_sum / item.paces
        for key, item in tallies.items()
        if key.startswith("s/") and item.paces >= MIN_PACES
    )


def _find_torn(new, old):
    spreads = [
        _measure_spread([item])
        for key, item in old.items()
        if key.startswith("s/") and item.paces >= MIN_SPREAD_PACES
    ]
    if not spreads:
        return ""
    mine = [item for key, item in new.items() if key.startswith("s/") and item.paces]
    paces = sum(item.paces for item in mine)
    if paces < MIN_SPREAD_PACES:
        return ""
    usual = max(USUAL_SPREAD, *spreads)
    spread = _measure_spread(mine)
    slow_end = sum(item.log_sum for item in mine) / paces + spread
    # A version that is faster on the whole may differ as it likes.
    is_slower = slow_end > _find_mean(old)
    if is_slower and spread > SPREAD_FACTOR * usual:
        return f"paces spread {spread:.2f} against {usual:.2f} beside it"
    return ""


def _find_mean(tallies):
    rows = [item for key, item in tallies.items() if key.startswith("r/")]
    return sum(item.log_sum for item in rows) / max(1, sum(item.paces for item in rows))


def _measure_spread(tallies):
    free = sum(item.paces - 1 for item in tallies)
    return math.sqrt(sum(map(ResponseStats.measure_scatter, tallies)) / max(1, free))
