"""Idempotency keys: issued keys, the table of held keys, and batches of claims."""

import collections
import enum

import msgspec

from wasabiknot_kernel import exceptions, records

ISSUED_PREFIX = "wk"
# Time before the end of their retention from which keys are refused.
EXPIRY_MARGIN_MS = 10_000
# Minimum interval between two batches of claims.
BATCH_INTERVAL_MS = 30
# Time after which a batch that has not been read from the log is appended again.
CLAIM_RETRY_MS = 1_000
# Maximum time for which a request waits for its claim.
CLAIM_TIMEOUT_MS = 3_000
MAX_BATCH_CLAIMS = 256


class IssuedKey(msgspec.Struct, frozen=True):
    """A key issued by an entry.

    :param entry: name of the entry; it may contain hyphens.
    :param incarnation: incarnation of the entry.
    :param number: sequence number of the key within the incarnation.
    :param issued_ms: issue time in Unix milliseconds.
    """

    entry: str
    incarnation: str
    number: int
    issued_ms: int


def scope_key(message):
    """Prefixes a key with its customer, so that the keys of customers are separate.

    :param message: ``messages.CallReceived`` with a key.
    :return: key, scoped by customer.
    """
    return f"{message.customer}/{message.key}"


def format_issued(issued):
    """Formats an issued key.

    :param issued: ``IssuedKey``.
    :return: key as it is sent to the caller.
    """
    return (
        f"{ISSUED_PREFIX}.{issued.entry}.{issued.incarnation}"
        f".{issued.number}.{issued.issued_ms}"
    )


def parse_issued(key):
    """Parses a key that an entry has issued.

    :param key: key from a caller.
    :return: ``IssuedKey``, or ``None`` if the key has another format.
    """
    parts = key.split(".")
    if len(parts) != 5 or parts[0] != ISSUED_PREFIX:
        return None
    if not (parts[3].isdecimal() and parts[4].isdecimal()):
        return None
    return IssuedKey(parts[1], parts[2], int(parts[3]), int(parts[4]))


class KeyState(enum.Enum):
    """States of the request of a key at the entry that holds the key."""

    OPEN = "open"
    COMPLETE = "whole"
    CLOSED = "closed"


class KeyEntry(msgspec.Struct):
    """A key that this entry holds.

    :param request_id: id of the only request that may be dispatched with the key.
    :param fingerprint: hash of that request.
    :param issued_ms: issue time of the key in Unix milliseconds.
    :param state: ``KeyState``.
    :param kind: error kind of the final response, if the key is closed.
    :param ran: whether a backend server ran the request, if the key is closed.
    """

    request_id: str
    fingerprint: str
    issued_ms: int
    state: KeyState = KeyState.OPEN
    kind: exceptions.ErrorKind | None = None
    ran: exceptions.Ran | None = None


class KeyTable:
    """All keys that this entry holds.

    A key has one final response. A duplicate that arrives after the key is closed gets
    the same response, so a request reported as not run is not run later.
    """

    def __init__(self):
        self._entries = collections.OrderedDict()

    def __len__(self):
        return len(self._entries)

    def find(self, key):
        """Finds a key.

        :param key: key, scoped by customer.
        :return: ``KeyEntry``, or ``None`` if this entry does not hold the key.
        """
        return self._entries.get(key)

    def open(self, key, entry):
        """Adds a key that this entry holds from now on.

        :param key: key, scoped by customer.
        :param entry: ``KeyEntry``.
        """
        self._entries[key] = entry

    def close(self, key, request_id, kind, ran):
        """Closes a key with the error of its request.

        :param key: key, scoped by customer.
        :param request_id: id of the request; if it is not the key's request, the key
            is not changed.
        :param kind: ``exceptions.ErrorKind``.
        :param ran: whether a backend server ran the request.
        """
        entry = self._entries.get(key)
        if entry is None or entry.request_id != request_id:
            return
        entry.state = KeyState.CLOSED
        entry.kind = kind
        entry.ran = ran

    def complete(self, key):
        """Records that the complete response to the request of a key was relayed.

        :param key: key, scoped by customer.
        """
        entry = self._entries.get(key)
        if entry is not None:
            entry.state = KeyState.COMPLETE

    def release(self, key, request_id):
        """Removes a key because another entry holds it.

        :param key: key, scoped by customer.
        :param request_id: id of the request for which the key was added.
        """
        entry = self._entries.get(key)
        if entry is not None and entry.request_id == request_id:
            del self._entries[key]

    def expire(self, before_ms):
        """Removes keys that were issued before a time and whose requests have ended.

        :param before_ms: issue time in Unix milliseconds; requests with older keys
            are refused.
        :return: ids of the requests whose stored responses can be dropped.
        """
        removed_ids = []
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if entry.issued_ms >= before_ms or entry.state is KeyState.OPEN:
                break
            del self._entries[key]
            removed_ids.append(entry.request_id)
        return removed_ids


class PendingBatch(msgspec.Struct):
    """A batch of claims that has been appended but not yet read from the log.

    :param record: ``records.ClaimBatch``; appended again unchanged on a retry.
    :param sent_ms: time of the last append in Unix milliseconds.
    """

    record: records.ClaimBatch
    sent_ms: int


class ClaimBatcher:
    """Groups claims into batches and retries each until it is read from the log.

    :param entry: name of this entry.
    :param incarnation: incarnation of this entry.
    """

    def __init__(self, entry, incarnation):
        self._entry = entry
        self._incarnation = incarnation
        self._unsent = []
        self._last_batch_ms = 0
        self._batches = {}
        self._sequence = 0

    def add(self, claim):
        """Adds a claim to the next batch.

        :param claim: ``records.Claim``.
        """
        self._unsent.append(claim)

    def flush(self, now_ms):
        """Returns the records that are due to be appended, for the first time or again.

        :param now_ms: current time in Unix milliseconds.
        :return: list of ``records.ClaimBatch``.
        """
        due = []
        for batch in self._batches.values():
            if now_ms - batch.sent_ms >= CLAIM_RETRY_MS:
                batch.sent_ms = now_ms
                due.append(batch.record)
        if self._unsent and now_ms - self._last_batch_ms >= BATCH_INTERVAL_MS:
            due.append(self._build_batch(now_ms))
        return due

    def _build_batch(self, now_ms):
        self._sequence += 1
        self._last_batch_ms = now_ms
        record = records.ClaimBatch(
            record_id=f"{self._entry}/{self._incarnation}/claims/{self._sequence}",
            entry=self._entry,
            incarnation=self._incarnation,
            claims=tuple(self._unsent[:MAX_BATCH_CLAIMS]),
        )
        del self._unsent[:MAX_BATCH_CLAIMS]
        self._batches[record.record_id] = PendingBatch(record, now_ms)
        return record

    def confirm(self, record):
        """Stops retrying a batch that has been read from the log.

        :param record: record read from the log, of any type.
        :return: claims of this entry that the record has decided.
        """
        batch = self._batches.pop(record.record_id, None)
        return batch.record.claims if batch is not None else ()

    def discard(self, key):
        """Removes a claim whose request no longer waits for it.

        A batch that contains other claims too is still retried unchanged.

        :param key: key, scoped by customer.
        """
        self._unsent = [claim for claim in self._unsent if claim.key != key]
        for record_id, batch in list(self._batches.items()):
            if all(claim.key == key for claim in batch.record.claims):
                del self._batches[record_id]
