"""The replicated state: a fold over the records of the log.

Applying a record is deterministic, so all nodes that have applied the log up to the
same offset have the same state.
"""

import functools

import msgspec

from wasabiknot_kernel import records, services

# Crashes of backend servers after which the content that they ran is quarantined.
CRASHES_TO_QUARANTINE = 2
# Time since the last crash after which a content is no longer suspect.
QUARANTINE_MS = 3_600_000
# Maximum difference between the clock that issued a key and that of the log.
MAX_CLOCK_SKEW_MS = 5_000
# Part of the requested change of shares that is in force after each step of a rollout.
MOVE_STEPS_PERCENT = (5.0, 10.0, 25.0, 50.0, 100.0)
# Duration of a rollout for which the operator has set no time.
DEFAULT_MOVE_DURATION_MS = 15_000
# Time from the record that opens an epoch to the issue time of the first keys in it.
EPOCH_DELAY_MS = 30_000
# The same for the first epoch, before which no key has a home.
FIRST_EPOCH_DELAY_MS = 2_000


class Move(msgspec.Struct):
    """A rollout, which moves traffic of one service to a target version.

    :param offset: offset of the publication that started the rollout.
    :param started_ms: log time of that publication.
    :param due_ms: Unix time in milliseconds by which the rollout should be finished.
    :param service: service name.
    :param target: version that receives the traffic.
    :param before: versions and their shares before the rollout.
    :param after: versions and their shares after the rollout.
    :param step: number of steps taken; 0 while the target gets no additional traffic.
    :param stepped_ms: log time of the last step.
    :param state: state of the rollout.
    :param reason: explanation of its end for the operators.
    :param ended_ms: log time of its end; 0 while it runs.
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
        """Fraction of the requested change that is in force, from 0 to 1."""
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
    """The entry that holds a claimed key; the first claim in the log wins.

    :param entry: name of the entry, which alone may dispatch the request.
    :param incarnation: incarnation of the entry.
    :param issued_ms: issue time of the key in Unix milliseconds.
    :param fingerprint: hash of the request.
    """

    entry: str
    incarnation: str
    issued_ms: int
    fingerprint: str


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of an entry, which is one run of its process.

    :param entry: name of the entry.
    :param incarnation: id of the incarnation.
    """

    entry: str
    incarnation: str


class Epoch(msgspec.Struct, frozen=True):
    """A period of issue times whose keys are assigned to the same set of members.

    :param offset: offset of the record that opened the epoch.
    :param effective_ms: first issue time in the epoch, in Unix milliseconds.
    :param rule: how the entry that may dispatch a key's request is determined.
    :param members: candidates for the home of a key, sorted by name.
    """

    offset: int
    effective_ms: int
    rule: services.KeyRule
    members: tuple[Member, ...]


class Suspect(msgspec.Struct):
    """Content that backend servers were processing when they crashed.

    :param crashes: ids of the crashes.
    :param workers: ids of the backend servers that crashed.
    :param seen_ms: log time of the last crash.
    """

    crashes: list[str] = []
    workers: list[str] = []
    seen_ms: int = 0

    @property
    def is_quarantined(self):
        """Whether enough backend servers have crashed to quarantine the content."""
        return len(self.crashes) >= CRASHES_TO_QUARANTINE


class State(msgspec.Struct):
    """The replicated state after all records up to an offset.

    :param offset: offset of the last applied record; -1 before the first.
    :param time_ms: latest log time of the applied records, in Unix milliseconds.
    :param publication: offset of the configuration in force; -1 if there is none.
    :param publication_id: record id of that publication.
    :param configuration: the configuration in force, or ``None``.
    :param moves: latest rollout of each service.
    :param claims: holder of each claimed key, in log order.
    :param members: incarnation of each entry that has joined.
    :param epochs: epochs whose keys have not all expired, oldest first.
    :param suspects: hashes of contents that ran during crashes.
    :param snapshot: offset of the latest snapshot record; -1 if there is none.
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
        """Age at which keys expire, in milliseconds."""
        if self.configuration is None:
            return services.DEFAULT_CLAIM_RETENTION_MS
        return self.configuration.deployment.claim_retention_ms


_state_decoder = msgspec.json.Decoder(State)


def encode_state(state):
    """Encodes a state as JSON.

    :param state: ``State``.
    :return: JSON text.
    """
    return msgspec.json.encode(state).decode()


def decode_state(text):
    """Decodes a state from JSON.

    :param text: JSON text or bytes.
    :return: ``State``.
    :raises msgspec.MsgspecError: if the text is not a valid state.
    """
    return _state_decoder.decode(text)


def apply_record(state, stamped):
    """Applies a record; records that have been applied before are ignored.

    :param state: ``State``; changed in place.
    :param stamped: ``records.StampedRecord``.
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
    """Ignores records of unknown type, so that old nodes can read newer logs."""


@_apply.register
def _(record: records.Publication, state):
    if record.based_on != state.publication:
        return
    previous_configuration = state.configuration
    state.publication = state.offset
    state.publication_id = record.record_id
    state.configuration = record.configuration
    for service in record.configuration.services:
        previous = (
            previous_configuration.find_service(service.service)
            if previous_configuration
            else None
        )
        _start_move(state, service, previous)
    configured = {service.service for service in record.configuration.services}
    for name in set(state.moves) - configured:
        del state.moves[name]
    _open_epoch(state)


def _start_move(state, service, previous):
    current = state.moves.get(service.service)
    if previous is None or previous.versions == service.versions:
        return
    # A change during a rollout starts from the shares that are in force.
    current_versions = previous.versions
    if current is not None and current.offset != state.offset:
        current_versions = compute_shares(current)
    target = _find_target(current_versions, service.versions)
    if target is None or _is_reversal(current, target):
        _withdraw_move(state, service, current)
        return
    due = target.by
    due_ms = (
        int(due.timestamp() * 1000) if due else state.time_ms + DEFAULT_MOVE_DURATION_MS
    )
    state.moves[service.service] = Move(
        offset=state.offset,
        started_ms=state.time_ms,
        due_ms=due_ms,
        service=service.service,
        target=target.name,
        before=current_versions,
        after=service.versions,
    )


def _find_target(current_versions, requested):
    shares = {item.name: item.share_percent for item in current_versions}
    target = max(requested, key=lambda v: v.share_percent - shares.get(v.name, 0.0))
    if target.share_percent <= shares.get(target.name, 0.0):
        return None
    return target


def _is_reversal(move, target):
    if move is None or move.state is not records.MoveState.RUNNING:
        return False
    shares = {item.name: item.share_percent for item in move.before}
    return shares.get(target.name, 0.0) >= target.share_percent


def _withdraw_move(state, service, move):
    if move is None:
        return
    if move.state is records.MoveState.RUNNING:
        move.reason = "withdrawn by an operator"
        move.ended_ms = state.time_ms
        move.state = records.MoveState.WITHDRAWN
    move.before = service.versions
    move.after = service.versions


def compute_shares(move):
    """Computes the traffic shares that a rollout has put in force.

    :param move: ``Move``.
    :return: tuple of ``services.Version`` with current shares in percent.
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
    oldest_ms = state.time_ms - state.claim_retention_ms
    newest_ms = state.time_ms + MAX_CLOCK_SKEW_MS
    for claim in record.claims:
        if not oldest_ms < claim.issued_ms <= newest_ms:
            continue
        holder = ClaimHolder(
            record.entry, record.incarnation, claim.issued_ms, claim.fingerprint
        )
        state.claims.setdefault(claim.key, holder)


def _expire_claims(state):
    # Claims are stored in log order, which is close to issue order, so it is enough
    # to check the oldest ones; a full scan is not needed.
    oldest_ms = state.time_ms - state.claim_retention_ms
    expired = []
    for key, holder in state.claims.items():
        if holder.issued_ms > oldest_ms - MAX_CLOCK_SKEW_MS:
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
    oldest_ms = state.time_ms - QUARANTINE_MS
    for content in [c for c, s in state.suspects.items() if s.seen_ms < oldest_ms]:
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
    elif _is_first_epoch_pending(state):
        # Entries that start at the same time append their joins one after another.
        # They all become members of the first epoch.
        effective_ms = last.effective_ms
        state.epochs.clear()
    else:
        effective_ms = max(state.time_ms + EPOCH_DELAY_MS, last.effective_ms)
    state.epochs.append(Epoch(state.offset, effective_ms, rule, members))
    oldest_ms = state.time_ms - state.claim_retention_ms - EPOCH_DELAY_MS
    while len(state.epochs) > 1 and state.epochs[1].effective_ms < oldest_ms:
        del state.epochs[0]


def _is_first_epoch_pending(state):
    return len(state.epochs) == 1 and state.time_ms <= state.epochs[0].effective_ms


@_apply.register
def _(record: records.Snapshot, state):
    state.snapshot = state.offset
    state.snapshot_ms = state.time_ms
