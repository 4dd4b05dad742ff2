"""Folds log records into the state that every node shares."""

import functools

import msgspec

from wasabiknot_kernel import records, services

CRASHES_TO_QUARANTINE = 2
QUARANTINE_MS = 3_600_000
MAX_CLOCK_SKEW_MS = 5_000
MOVE_STEPS_PERCENT = (5.0, 10.0, 25.0, 50.0, 100.0)
DEFAULT_MOVE_MS = 15_000
EPOCH_DELAY_MS = 30_000
FIRST_EPOCH_DELAY_MS = 2_000


class Move(msgspec.Struct):
    """A move of one service's traffic to a target version.

    :param offset: offset of the publication that began it.
    :param started_ms: log time of that publication.
    :param due_ms: time by which the target share is wanted.
    :param service: service that moves.
    :param target: version that receives the traffic.
    :param before: versions and shares before the move.
    :param after: versions and shares that are wanted.
    :param step: steps taken; 0 means no traffic yet.
    :param stepped_ms: log time of the last step.
    :param state: state of the move.
    :param reason: why it ended.
    :param ended_ms: log time of its end.
    """

    offset: int
    started_ms: int
    due_ms: int
    service: str
    target: str
    before: tuple[services.Version, ...]
    after: tuple[services.Version, ...]
    step: int = 0
    stepped_ms: int = 0
    state: records.MoveState = records.MoveState.RUNNING
    reason: str = ""
    ended_ms: int = 0

    @property
    def fraction(self):
        """Fraction of the wanted change that is in force, from 0 to 1."""
        if self.state is records.MoveState.FINISHED:
            return 1.0
        if self.state is not records.MoveState.RUNNING or not self.step:
            return 0.0
        return MOVE_STEPS_PERCENT[self.step - 1] / 100

    @property
    def is_complete(self):
        """Whether every step has been taken."""
        return self.step >= len(MOVE_STEPS_PERCENT)


class ClaimHolder(msgspec.Struct, array_like=True):
    """The winner of a claim.

    :param entry: entry that may dispatch the request.
    :param incarnation: its incarnation.
    :param issued_ms: issue time of the key.
    :param fingerprint: hash of the request.
    """

    entry: str
    incarnation: str
    issued_ms: int
    fingerprint: str


class Member(msgspec.Struct, frozen=True, array_like=True):
    """An incarnation of an entry.

    :param entry: name of the entry.
    :param incarnation: its incarnation.
    """

    entry: str
    incarnation: str


class Epoch(msgspec.Struct, frozen=True):
    """A time of issue during which keys have the same candidates for a home.

    :param offset: offset of the record that opened it.
    :param effective_ms: issue time from which it counts.
    :param rule: how keys get their one entry.
    :param members: candidates, sorted by name.
    """

    offset: int
    effective_ms: int
    rule: services.KeyRule
    members: tuple[Member, ...]


class Suspect(msgspec.Struct):
    """Content that was running when backend servers crashed.

    :param crashes: ids of the crashes.
    :param workers: backend servers that crashed.
    :param seen_ms: log time of the last crash.
    """

    crashes: list[str] = []
    workers: list[str] = []
    seen_ms: int = 0

    @property
    def is_quarantined(self):
        """Whether the content has crashed too many backend servers."""
        return len(self.crashes) >= CRASHES_TO_QUARANTINE


class State(msgspec.Struct):
    """The folded state.

    :param offset: last offset applied; -1 before the first.
    :param time_ms: log time of that record.
    :param publication: offset of the configuration in force; -1 for none.
    :param publication_id: record id of that publication.
    :param configuration: the configuration in force.
    :param moves: latest move of each service.
    :param claims: holder of each claimed key.
    :param members: incarnation of each entry that has joined.
    :param epochs: epochs that still count, oldest first.
    :param suspects: contents seen at crashes.
    :param snapshot: offset of the latest snapshot record.
    :param snapshot_ms: log time of the latest snapshot record.
    """

    offset: int = -1
    time_ms: int = 0
    publication: int = -1
    publication_id: str = ""
    configuration: services.Configuration | None = None
    moves: dict[str, Move] = {}
    claims: dict[str, ClaimHolder] = {}
    members: dict[str, str] = {}
    epochs: list[Epoch] = []
    suspects: dict[str, Suspect] = {}
    snapshot: int = -1
    snapshot_ms: int = 0

    @property
    def claim_retention_ms(self):
        """Age at which keys are refused, in milliseconds."""
        if self.configuration is None:
            return services.DEFAULT_CLAIM_RETENTION_MS
        return self.configuration.deployment.claim_retention_ms


_state_decoder = msgspec.json.Decoder(State)


def encode_state(state):
    """Encodes the state as JSON text.

    :param state: the folded state.
    :return: JSON text.
    """
    return msgspec.json.encode(state).decode()


def decode_state(text):
    """Decodes a state.

    :param text: JSON text or bytes.
    :return: the state.
    """
    return _state_decoder.decode(text)


def apply_record(state, stamped):
    """Applies the record at the next offset.

    :param state: the state; changed in place.
    :param stamped: record with its offset and log time.
    """
    if stamped.offset <= state.offset:
        return
    state.offset = stamped.offset
    state.time_ms = max(state.time_ms, stamped.time_ms)
    _apply(stamped.record, state)
    if isinstance(stamped.record, records.ClaimBatch):
        _expire_claims(state)


@functools.singledispatch
def _apply(record, state):
    """Ignores what is unknown, so that old nodes can read newer logs."""


@_apply.register
def _(record: records.Publication, state):
    if record.based_on != state.publication:
        return
    before = state.configuration
    state.publication = state.offset
    state.publication_id = record.record_id
    state.configuration = record.configuration
    for service in record.configuration.services:
        previous = before.find_service(service.service) if before else None
        _begin_move(state, service, previous)
    known = {service.service for service in record.configuration.services}
    for name in set(state.moves) - known:
        del state.moves[name]
    _open_epoch(state)


def _begin_move(state, service, previous):
    current = state.moves.get(service.service)
    if previous is None or previous.versions == service.versions:
        return
    # A change during a move starts from the shares that carry traffic now.
    standing = previous.versions
    if current is not None and current.offset != state.offset:
        standing = compute_shares(current)
    target = _find_growing(standing, service.versions)
    if target is None or _goes_back(current, target):
        _withdraw(state, service, current)
        return
    due = target.by
    due_ms = int(due.timestamp() * 1000) if due else state.time_ms + DEFAULT_MOVE_MS
    state.moves[service.service] = Move(
        offset=state.offset,
        started_ms=state.time_ms,
        due_ms=due_ms,
        service=service.service,
        target=target.name,
        before=standing,
        after=service.versions,
    )


def _find_growing(standing, wanted):
    shares = {item.name: item.share_percent for item in standing}
    grown = max(wanted, key=lambda v: v.share_percent - shares.get(v.name, 0.0))
    if grown.share_percent <= shares.get(grown.name, 0.0):
        return None
    return grown


def _goes_back(move, target):
    if move is None or move.state is not records.MoveState.RUNNING:
        return False
    shares = {item.name: item.share_percent for item in move.before}
    return shares.get(target.name, 0.0) >= target.share_percent


def _withdraw(state, service, move):
    if move is None:
        return
    if move.state is records.MoveState.RUNNING:
        move.reason = "withdrawn by an operator"
        move.ended_ms = state.time_ms
        move.state = records.MoveState.WITHDRAWN
    move.before = service.versions
    move.after = service.versions


def compute_shares(move):
    """Works out the shares that a move has put in force.

    :param move: a move.
    :return: versions with their present shares, in percent.
    """
    before = {item.name: item.share_percent for item in move.before}
    after = {item.name: item.share_percent for item in move.after}
    names = dict.fromkeys([*before, *after])
    fraction = move.fraction
    return tuple(
        services.Version(
            name=name,
            share_percent=before.get(name, 0.0) * (1 - fraction)
            + after.get(name, 0.0) * fraction,
        )
        for name in names
    )


def _find_move(record, state):
    move = state.moves.get(record.service)
    if move is None or move.offset != record.move:
        return None
    return move


@_apply.register
def _(record: records.MoveStep, state):
    move = _find_move(record, state)
    if move is None or move.state is not records.MoveState.RUNNING:
        return
    if record.step != move.step + 1 or move.is_complete:
        return
    move.step = record.step
    move.stepped_ms = state.time_ms


@_apply.register
def _(record: records.MoveEnd, state):
    move = _find_move(record, state)
    if move is None:
        return
    if record.state is records.MoveState.FINISHED:
        if move.state is not records.MoveState.RUNNING or not move.is_complete:
            return
    elif move.state in (records.MoveState.ROLLED_BACK, records.MoveState.WITHDRAWN):
        return
    move.state = record.state
    move.reason = record.reason
    move.ended_ms = state.time_ms


@_apply.register
def _(record: records.ClaimBatch, state):
    oldest = state.time_ms - state.claim_retention_ms
    newest = state.time_ms + MAX_CLOCK_SKEW_MS
    for claim in record.claims:
        if not oldest < claim.issued_ms <= newest:
            continue
        holder = ClaimHolder(
            record.entry, record.incarnation, claim.issued_ms, claim.fingerprint
        )
        state.claims.setdefault(claim.key, holder)


def _expire_claims(state):
    # Claims are kept in log order, which is close to issue order, so looking at
    # the oldest few each time removes all expired ones without a full scan.
    oldest = state.time_ms - state.claim_retention_ms
    expired = []
    for key, holder in state.claims.items():
        if holder.issued_ms > oldest - MAX_CLOCK_SKEW_MS:
            break
        expired.append(key)
    for key in expired:
        del state.claims[key]


@_apply.register
def _(record: records.Crash, state):
    for content in record.contents:
        suspect = state.suspects.setdefault(content, Suspect(crashes=[], workers=[]))
        suspect.seen_ms = state.time_ms
        if record.crash not in suspect.crashes:
            suspect.crashes.append(record.crash)
        if record.worker not in suspect.workers:
            suspect.workers.append(record.worker)
    oldest = state.time_ms - QUARANTINE_MS
    for content in [c for c, s in state.suspects.items() if s.seen_ms < oldest]:
        del state.suspects[content]


@_apply.register
def _(record: records.Join, state):
    state.members[record.entry] = record.incarnation
    _open_epoch(state)


@_apply.register
def _(record: records.Leave, state):
    if state.members.get(record.entry) == record.incarnation:
        del state.members[record.entry]
        _open_epoch(state)


def _open_epoch(state):
    if state.configuration is None or not state.members:
        return
    rule = state.configuration.deployment.key_rule
    members = tuple(Member(*item) for item in sorted(state.members.items()))
    last = state.epochs[-1] if state.epochs else None
    if last is not None and (last.rule, last.members) == (rule, members):
        return
    if last is None:
        effective_ms = state.time_ms + FIRST_EPOCH_DELAY_MS
    elif _is_first_open(state):
        # Entries that start together join one after another.
        effective_ms = last.effective_ms
        state.epochs.clear()
    else:
        effective_ms = max(state.time_ms + EPOCH_DELAY_MS, last.effective_ms)
    state.epochs.append(Epoch(state.offset, effective_ms, rule, members))
    oldest_ms = state.time_ms - state.claim_retention_ms - EPOCH_DELAY_MS
    while len(state.epochs) > 1 and state.epochs[1].effective_ms < oldest_ms:
        del state.epochs[0]


def _is_first_open(state):
    return len(state.epochs) == 1 and state.time_ms <= state.epochs[0].effective_ms


@_apply.register
def _(record: records.Snapshot, state):
    state.snapshot = state.offset
    state.snapshot_ms = state.time_ms
