"""Encodes digests so that mostly only changes are sent.

A sender sends a full digest from time to time, and otherwise what differs from the last
full one. So a lost, repeated or late change doesn't affect later ones. A receiver that
lacks the full digest to which a change refers asks for it.

The tokens used, the work of customers and the evidence of releases change with each
response and only grow. They are left out of some digests, and then stay as they were
told before. The paces of backend servers, which always change, are told now and then.

Keys of mappings, like the ids of backend servers, are sent as indexes into a list that
comes with the full digest.
"""

import msgspec

from wasabiknot_kernel import digest_datagrams, members

# Time between two full digests of a stream. It may be longer by ``FULL_SPACING_S`` for
# each other stream of the entry.
FULL_INTERVAL_S = 5.0
# Shortest time between the full digests of two streams of an entry.
FULL_SPACING_S = 1.0
# Shortest time between two digests with the work of customers, and with paces.
WORK_INTERVAL_S = 0.15
PACE_INTERVAL_S = 0.25
# Shortest time between two digests with evidence: if there are new failures, otherwise,
# and the longest one if it is large.
FAILURE_INTERVAL_S = 0.2
EVIDENCE_INTERVAL_S = 0.5
MAX_EVIDENCE_INTERVAL_S = 1.5
# Rate at which evidence without new failures is sent to each peer.
EVIDENCE_BYTES_PER_S = 600
# Part of a full digest that changes may take before the next full one is sent, and the
# shortest time between two full ones for that reason.
MAX_CHANGE_SHARE = 0.5
MIN_FULL_INTERVAL_S = 0.5
# Keys that are listed with a full digest: those used last.
MAX_KEYS = 128


class Spacing(msgspec.Struct):
    """When the streams of an entry have sent full digests.

    :param latest_s: time of the last full digest of any stream, in seconds.
    """

    latest_s: float = 0.0


class DigestSender:
    """The stream of digests, or of the summaries of one kind, of an entry.

    :param spacing: ``Spacing`` that all streams of the entry share.
    """

    def __init__(self, spacing):
        self._spacing = spacing
        self._stream = None
        self._base = None
        self._base_s = 0.0
        self._indexes = {}
        self._size_bytes = 0
        # Texts in the order of their latest use.
        self._recent_keys = {}
        self._is_full_due = False
        self._work_s = 0.0
        self._paces_s = 0.0
        # What was told of the evidence, and when.
        self._failures = 0
        self._evidence_s = 0.0
        self._evidence_bytes = 0

    def encode(self, digest, now_s, omits_use=False):
        """Encodes the next digest.

        :param digest: ``members.Digest``.
        :param now_s: current time in seconds.
        :param omits_use: whether the tokens used may be left out, as a digest between
            two regular ones is sent for its loads only.
        :return: ``digest_datagrams.FullDigest`` or ``digest_datagrams.ChangedDigest``.
        """
        omitted = self._choose_omitted(digest, now_s, omits_use)
        if self._base is None or self._must_be_full(now_s):
            return self._build_full(digest, now_s)
        changed = digest_datagrams.ChangedDigest(
            self._stream,
            digest.sequence,
            self._base.sequence,
            self._list_changes(digest, omitted),
        )
        is_large = (
            digest_datagrams.measure(changed) > MAX_CHANGE_SHARE * self._size_bytes
        )
        is_old = now_s - self._base_s >= MIN_FULL_INTERVAL_S
        self._is_full_due = is_large and is_old
        return changed

    def _choose_omitted(self, digest, now_s, omits_use):
        omitted = set()
        if self._may_omit_evidence(digest, now_s):
            omitted.add(digest_datagrams.EVIDENCE)
        if omits_use:
            omitted.add(digest_datagrams.USED)
        if omits_use or now_s - self._work_s < WORK_INTERVAL_S:
            omitted.add(digest_datagrams.CUSTOMER_WORK)
        else:
            self._work_s = now_s
        if omits_use or now_s - self._paces_s < PACE_INTERVAL_S:
            omitted.add(digest_datagrams.PACES)
        else:
            self._paces_s = now_s
        return omitted

    def _may_omit_evidence(self, digest, now_s):
        # If it returns False, the evidence is recorded as sent now.
        failures = sum(stats.failures for stats in digest.evidence.values())
        interval_s = FAILURE_INTERVAL_S
        if failures == self._failures:
            interval_s = self._evidence_bytes / EVIDENCE_BYTES_PER_S
            interval_s = max(EVIDENCE_INTERVAL_S, interval_s)
        if now_s - self._evidence_s < min(interval_s, MAX_EVIDENCE_INTERVAL_S):
            return True
        self._failures = failures
        self._evidence_s = now_s
        self._evidence_bytes = 0
        return False

    def _must_be_full(self, now_s):
        if now_s - self._spacing.latest_s < FULL_SPACING_S:
            return False
        return self._is_full_due or now_s - self._base_s >= FULL_INTERVAL_S

    def repeat(self, stream):
        """Builds the last full digest for a receiver that lacks it.

        :param stream: ``digest_datagrams.StreamId`` that the receiver asks for.
        :return: ``digest_datagrams.FullDigest``; ``None`` if it is of another stream.
        """
        if stream != self._stream:
            return None
        return digest_datagrams.FullDigest(
            self._base, tuple(self._indexes), is_repeated=True
        )

    def _build_full(self, digest, now_s):
        self._is_full_due = False
        # A copy, as the digest refers to evidence that is changed in place.
        self._base = msgspec.convert(msgspec.to_builtins(digest), members.Digest)
        self._base_s = now_s
        self._stream = digest_datagrams.compute_stream_id(digest)
        self._spacing.latest_s = now_s
        self._evidence_s = now_s
        self._evidence_bytes = digest_datagrams.measure(digest.evidence)
        self._use_keys(_list_keys(digest))
        excess = len(self._recent_keys) - MAX_KEYS
        for key in list(self._recent_keys)[: max(0, excess)]:
            del self._recent_keys[key]
        self._indexes = {key: index for index, key in enumerate(self._recent_keys)}
        full = digest_datagrams.FullDigest(digest, tuple(self._indexes))
        self._size_bytes = digest_datagrams.measure(full)
        return full

    def _use_keys(self, keys):
        for key in keys:
            self._recent_keys.pop(key, None)
            self._recent_keys[key] = None

    def _list_changes(self, digest, omitted):
        changes = []
        for index, name in enumerate(digest_datagrams.FIELDS):
            if name in digest_datagrams.HEADER:
                continue
            value, known = getattr(digest, name), getattr(self._base, name)
            if value == known:
                continue
            if name in omitted:
                value = None if name in digest_datagrams.COUNTERS else ()
            elif name == digest_datagrams.USED:
                value = self._describe_mapping(_subtract(value, known), {})
            elif name in digest_datagrams.MAPPINGS:
                value = self._describe_mapping(value, known)
            elif name in digest_datagrams.ROWS:
                value = self._describe_rows(value, digest_datagrams.ROWS[name])
            if name == digest_datagrams.EVIDENCE and value is not None:
                self._evidence_bytes = digest_datagrams.measure(value)
            changes.append((index, value))
        return changes

    def _describe_rows(self, value, positions):
        rows = []
        for item in value:
            row = list(msgspec.structs.astuple(item))
            for position in positions:
                text = row[position]
                self._use_keys([text])
                row[position] = self._indexes.get(text, text)
            rows.append(row)
        return rows

    def _describe_mapping(self, value, known):
        changed = [key for key in value if key not in known or value[key] != known[key]]
        removed = [key for key in known if key not in value]
        self._use_keys(changed)
        indexes = self._indexes
        items = {indexes.get(key, key): value[key] for key in changed}
        if not removed:
            return items
        return [items, [indexes.get(key, key) for key in removed]]


def _list_keys(digest):
    for name in digest_datagrams.FIELDS:
        if name in digest_datagrams.MAPPINGS:
            yield from getattr(digest, name)
    for report in digest.paces:
        yield report.server_id
    for report in digest.customer_work:
        yield report.customer


def _subtract(used, known):
    return {
        key: value - known.get(key, 0)
        for key, value in used.items()
        if value != known.get(key)
    }
