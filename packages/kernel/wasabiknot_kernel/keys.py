"""Idempotency keys: issued keys, claims, and the table of known keys."""

import collections
import enum

import msgspec

from wasabiknot_kernel import exceptions, records

ISSUED_PREFIX = "wk"
EXPIRY_MARGIN_MS = 10_000
CLAIM_INTERVAL_MS = 30
CLAIM_RETRY_MS = 1_000
CLAIM_TIMEOUT_MS = 3_000
MAX_BATCH = 256


class IssuedKey(msgspec.Struct, frozen=True):
    """A key that an entry has issued.

    :param entry: name of the entry; it may contain hyphens.
    :param incarnation: its incarnation.
    :param number: number within the incarnation.
    :param issued_ms: issue time.
    """

    entry: str
    incarnation: str
    number: int
    issued_ms: int


def scope_key(message):
    """Scopes a caller's key by its customer.

    :param message: ``CallReceived`` with a key.
    :return: text that no other customer can name.
    """
    return f"{message.customer}/{message.key}"


def format_issued(issued):
    """Formats an issued key.

    :param issued: its parts.
    :return: text for the caller.
    """
    return (
        f"{ISSUED_PREFIX}.{issued.entry}.{issued.incarnation}"
        f".{issued.number}.{issued.issued_ms}"
    )


def parse_issued(key):
    """Parses a key of an entry.

    :param key: text from a caller.
    :return: ``IssuedKey``, or ``None`` if it is of another kind.
    """
    parts = key.split(".")
    if len(parts) != 5 or parts[0] != ISSUED_PREFIX:
        return None
    if not (parts[3].isdecimal() and parts[4].isdecimal()):
        return None
    return IssuedKey(parts[1], parts[2], int(parts[3]), int(parts[4]))


class KeyState(enum.Enum):
    """What the holder of a key knows of its request."""

    OPEN = "open"
    COMPLETE = "whole"
    CLOSED = "closed"


class KeyEntry(msgspec.Struct):
    """A key that this entry holds.

    :param request_id: the one request that may be dispatched under it.
    :param fingerprint: hash of that request.
    :param issued_ms: issue time of the key.
    :param state: open, whole or closed.
    :param kind: final error of a closed key.
    :param ran: whether the request of a closed key ran.
    """

    request_id: str
    fingerprint: str
    issued_ms: int
    state: KeyState = KeyState.OPEN
    kind: exceptions.ErrorKind | None = None
    ran: exceptions.Ran | None = None


class KeyTable:
    """All keys that this entry holds.

    One key has one final answer: a copy that arrives after the key is closed gets
    the same answer, so "not run" stays true.
    """

    def __init__(self):
        self._entries = collections.OrderedDict()

    def __len__(self):
        return len(self._entries)

    def find(self, key):
        """Finds a key.

        :param key: key, scoped by customer.
        :return: ``KeyEntry``, or ``None``.
        """
        return self._entries.get(key)

    def open(self, key, entry):
        """Begins to hold a key.

        :param key: key, scoped by customer.
        :param entry: its entry.
        """
        self._entries[key] = entry

    def close(self, key, request_id, kind, ran):
        """Gives a key its final error.

        :param key: key, scoped by customer.
        :param request_id: request that got the error.
        :param kind: the error.
        :param ran: whether the request ran.
        """
        entry = self._entries.get(key)
        if entry is None or entry.request_id != request_id:
            return
        entry.state = KeyState.CLOSED
        entry.kind = kind
        entry.ran = ran

    def complete(self, key):
        """Notes that the request of a key has got its whole answer.

        :param key: key, scoped by customer.
        """
        entry = self._entries.get(key)
        if entry is not None:
            entry.state = KeyState.COMPLETE

    def release(self, key, request_id):
        """Stops holding a key that another entry holds.

        :param key: key, scoped by customer.
        :param request_id: request that wanted it.
        """
        entry = self._entries.get(key)
        if entry is not None and entry.request_id == request_id:
            del self._entries[key]

    def expire(self, before_ms):
        """Drops ended keys issued before a time.

        :param before_ms: issue time; older keys are refused on arrival.
        :return: requests whose kept answers may be dropped.
        """
        dropped = []
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if entry.issued_ms >= before_ms or entry.state is KeyState.OPEN:
                break
            del self._entries[key]
            dropped.append(entry.request_id)
        return dropped


class PendingBatch(msgspec.Struct):
    """A batch of claims on its way through the log.

    :param record: the record; sent again unchanged if it does not show up.
    :param sent_ms: time of the last append.
    """

    record: records.ClaimBatch
    sent_ms: int


class ClaimQueue:
    """Groups claims into batches and follows them through the log.

    :param entry: name of this entry.
    :param incarnation: its incarnation.
    """

    def __init__(self, entry, incarnation):
        self._entry = entry
        self._incarnation = incarnation
        self._collected = []
        self._flushed_ms = 0
        self._batches = {}
        self._sequence = 0

    def add(self, claim):
        """Adds a claim to the next batch.

        :param claim: the claim.
        """
        self._collected.append(claim)

    def flush(self, now_ms):
        """Builds the records that have to be appended now.

        :param now_ms: present time.
        :return: list of ``ClaimBatch`` records.
        """
        due = []
        for batch in self._batches.values():
            if now_ms - batch.sent_ms >= CLAIM_RETRY_MS:
                batch.sent_ms = now_ms
                due.append(batch.record)
        if self._collected and now_ms - self._flushed_ms >= CLAIM_INTERVAL_MS:
            due.append(self._build_batch(now_ms))
        return due

    def _build_batch(self, now_ms):
        self._sequence += 1
        self._flushed_ms = now_ms
        record = records.ClaimBatch(
            record_id=f"{self._entry}/{self._incarnation}/claims/{self._sequence}",
            entry=self._entry,
            incarnation=self._incarnation,
            claims=tuple(self._collected[:MAX_BATCH]),
        )
        del self._collected[:MAX_BATCH]
        self._batches[record.record_id] = PendingBatch(record, now_ms)
        return record

    def confirm(self, record):
        """Notes that a record was read from the log.

        :param record: the record.
        :return: claims of this entry that the log has now decided on.
        """
        batch = self._batches.pop(record.record_id, None)
        return batch.record.claims if batch is not None else ()

    def discard(self, key):
        """Stops appending a claim that nobody waits for any more.

        :param key: key, scoped by customer.
        """
        self._collected = [claim for claim in self._collected if claim.key != key]
        for record_id, batch in list(self._batches.items()):
            if all(claim.key == key for claim in batch.record.claims):
                del self._batches[record_id]
