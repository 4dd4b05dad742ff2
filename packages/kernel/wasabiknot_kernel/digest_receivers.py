"""Restores the digests of peers from full ones and changes.

See ``digest_streams`` for what is sent. A change that refers to a full digest which has
not arrived is kept for a moment, and the full digest is asked for.
"""

import msgspec

from wasabiknot_kernel import digest_datagrams, members

# Age of a change up to which it is applied once the full digest has been sent again.
HOLD_S = 0.05
# Shortest time between two requests for the same full digest.
REQUEST_INTERVAL_S = 0.02
# Streams of which a receiver keeps the full digest.
MAX_STREAMS = 1_000


class _Stream(msgspec.Struct):
    # What a receiver knows of a stream; ``full`` is None until the first full digest.
    full: digest_datagrams.FullDigest | None = None
    # Texts of the full digest by their indexes.
    keys: dict[int, str] = {}
    # The newest digest, from which values that a later one leaves out are taken.
    newest: members.Digest | None = None
    # The newest change whose full digest is missing, and when it was received.
    held: digest_datagrams.ChangedDigest | None = None
    held_s: float = 0.0
    requested_s: float = -REQUEST_INTERVAL_S


class DigestReceiver:
    """Restores the digests that peers have sent."""

    def __init__(self):
        self._streams = {}

    def receive_full(self, full, now_s):
        """Receives a full digest.

        :param full: ``digest_datagrams.FullDigest``.
        :param now_s: current time in seconds.
        :return: ``members.Digest`` to apply, or ``None``.
        :raises msgspec.MsgspecError: if a change that waited for it is malformed.
        """
        stream = self._get_stream(digest_datagrams.compute_stream_id(full.digest))
        known = stream.full
        if known is None or known.digest.sequence < full.digest.sequence:
            stream.full = full
            stream.keys = dict(enumerate(full.keys))
            _record_newest(stream, full.digest)
        if not full.is_repeated:
            return full.digest
        held, stream.held = stream.held, None
        if held is None or now_s - stream.held_s > HOLD_S:
            return None
        if held.base != stream.full.digest.sequence:
            return None
        return _restore(stream, held)

    def receive_changes(self, changed, now_s):
        """Receives what differs from a full digest.

        :param changed: ``digest_datagrams.ChangedDigest``.
        :param now_s: current time in seconds.
        :return: ``members.Digest`` to apply, or ``None`` if the full digest is not
            known, or is newer.
        :raises msgspec.MsgspecError: if it is malformed.
        """
        stream = self._get_stream(changed.stream)
        known = -1 if stream.full is None else stream.full.digest.sequence
        if changed.base == known:
            return _restore(stream, changed)
        if changed.base > known:
            stream.held = changed
            stream.held_s = now_s
        return None

    def build_request(self, changed, now_s):
        """Builds the request for a full digest that a change refers to.

        :param changed: ``digest_datagrams.ChangedDigest``.
        :param now_s: current time in seconds.
        :return: ``digest_datagrams.FullDigestRequest``; ``None`` if it isn't needed,
            or has just been sent.
        """
        stream = self._get_stream(changed.stream)
        is_missing = stream.held is changed
        if not is_missing or now_s - stream.requested_s < REQUEST_INTERVAL_S:
            return None
        stream.requested_s = now_s
        return digest_datagrams.FullDigestRequest(changed.stream)

    def _get_stream(self, stream_id):
        if stream_id not in self._streams:
            if len(self._streams) >= MAX_STREAMS:
                # The oldest stream most likely belongs to a run that has ended.
                del self._streams[next(iter(self._streams))]
            self._streams[stream_id] = _Stream()
        return self._streams[stream_id]


def _record_newest(stream, digest):
    if stream.newest is None or digest.sequence > stream.newest.sequence:
        stream.newest = digest


def _restore(stream, changed):
    base = stream.full.digest
    values = {}
    for index, change in changed.changes:
        if not 0 <= index < len(digest_datagrams.FIELDS):
            # A field of a later version.
            continue
        name = digest_datagrams.FIELDS[index]
        if name in digest_datagrams.HEADER:
            raise msgspec.ValidationError(f"change of {name}")
        if change is None and name in digest_datagrams.COUNTERS:
            values[name] = getattr(stream.newest, name)
        elif name == digest_datagrams.USED:
            values[name] = _add_use(stream, change)
        elif name in digest_datagrams.MAPPINGS:
            known = getattr(base, name)
            values[name] = _apply_changes(
                known, change, stream.keys, digest_datagrams.TYPES[name]
            )
        elif name in digest_datagrams.ROWS:
            rows = _name_rows(change, digest_datagrams.ROWS[name], stream.keys)
            values[name] = msgspec.convert(rows, digest_datagrams.TYPES[name])
        elif type(change) is digest_datagrams.TYPES[name]:
            values[name] = change
        else:
            values[name] = msgspec.convert(change, digest_datagrams.TYPES[name])
    digest = msgspec.structs.replace(base, sequence=changed.sequence, **values)
    _record_newest(stream, digest)
    return digest


def _name_rows(rows, positions, keys):
    if not isinstance(rows, list) or not all(isinstance(row, list) for row in rows):
        raise msgspec.ValidationError("expected lists")
    for row in rows:
        for position in positions:
            if position < len(row) and type(row[position]) is int:
                row[position] = keys.get(row[position], row[position])
    return rows


def _add_use(stream, change):
    if not isinstance(change, dict):
        raise msgspec.ValidationError("expected a mapping")
    keys, used = stream.keys, dict(stream.full.digest.used)
    for key, increase in change.items():
        name = keys.get(key, key)
        if type(name) is not str or type(increase) is not int:
            raise msgspec.ValidationError("expected names and numbers")
        used[name] = used.get(name, 0) + increase
    return used


def _apply_changes(known, change, keys, mapping_type):
    items, removed = change, ()
    if isinstance(change, list):
        if len(change) != 2 or not isinstance(change[1], list):
            raise msgspec.ValidationError("expected items and removed keys")
        items, removed = change
    if not isinstance(items, dict):
        raise msgspec.ValidationError("expected a mapping")
    # An index without a key stays a number, which is no valid key.
    named = {keys.get(key, key): value for key, value in items.items()}
    result = {**known, **msgspec.convert(named, mapping_type)}
    if removed:
        names = [
            keys.get(key, key) for key in msgspec.convert(removed, list[int | str])
        ]
        for name in msgspec.convert(names, list[str]):
            result.pop(name, None)
    return result
