"""Requests that crash backend servers, as known to all entries.

The platform's store keeps the crashes, so that they outlive every process. Until a
crash is stored, the entries that know it repeat it in their digests.
"""

import collections
import enum

import msgspec

# Number of crashes after which a request is refused. A harmless request can be in
# flight during two crashes that another request causes; three are very unlikely.
MAX_CRASHES = 3
# Time for which a crash counts.
RETENTION_S = 3_600.0
MAX_REQUESTS = 2_048
MAX_OBSERVATIONS = 256
# Time for which a complete response shows that a request is harmless.
SUCCESS_RETENTION_S = 60.0
MAX_SUCCESSES = 2_048
# Time for which digests include a crash, even if it is already stored.
REPORT_S = 2.0
MAX_REPORTED = 32
# Time after which another entry stores a crash that its observer has not stored.
TAKEOVER_S = 3.0
# Delay before the first crash of a request is stored. Most requests that were in flight
# beside a harmful one complete at another backend server within it.
STORE_DELAY_S = 0.5
MAX_BATCH = 64


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """A crash of a backend server while it ran a request.

    :param fingerprint: hash of path, caller and body of the request.
    :param server: id of the backend server and its start time.
    :param at_s: time of the lost response in Unix seconds.
    """

    fingerprint: str
    server: str
    at_s: float = 0.0

    @property
    def key(self):
        """Key of the record in the store."""
        return f"{self.fingerprint}/{self.server}"


class Evidence(enum.Enum):
    """Why a lost response counts as a crash. The values appear in logs."""

    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    RESTARTED = "restarted"
    REMOVED = "removed"
    REPLACED = "replaced"
    PEER_REFUSED = "peer-refused"
    ENDED_BEFORE = "ended-before"
    PEER = "peer"
    STORE = "store"
    NONE = "none"


class ClearanceReason(enum.Enum):
    """Why a request with crashes is served. The values appear in logs."""

    RESPONSE = "complete-response"
    PEER = "peer"


class Clearance(msgspec.Struct, frozen=True):
    """A request that is served although backend servers crashed while they ran it.

    :param fingerprint: hash of path, caller and body of the request.
    :param count: crashes that were known.
    :param reason: ``ClearanceReason``.
    """

    fingerprint: str
    count: int
    reason: ClearanceReason


class Observation(msgspec.Struct, frozen=True):
    """A crash that was recorded, or a lost response that was not attributed to one.

    :param crash: ``Crash``.
    :param evidence: ``Evidence``; ``NONE`` for a response not attributed to a crash.
    :param count: crashes of the request that are known now.
    """

    crash: Crash
    evidence: Evidence
    count: int


class _Known(msgspec.Struct):
    crash: Crash
    known_s: float
    is_own: bool
    is_stored: bool = False


class CrashRegister:
    """Counts the backend servers that each request has crashed.

    Protects against a caller that resends a harmful request after each crash. A
    complete response clears a request: it was in flight while another one crashed the
    backend server.
    """

    def __init__(self):
        self._requests = collections.OrderedDict()
        self._successes = collections.OrderedDict()
        self._deletions = {}
        self._reported = {}
        self._cleared_s = {}
        self._observations = collections.deque(maxlen=MAX_OBSERVATIONS)
        self._clearances = collections.deque(maxlen=MAX_OBSERVATIONS)

    def record(self, crash, now_s, evidence):
        """Records a crash that this entry has observed.

        :param crash: ``Crash``.
        :param now_s: current time in Unix seconds.
        :param evidence: ``Evidence``.
        """
        if now_s - crash.at_s < RETENTION_S:
            self._add(crash, now_s, evidence, is_own=True)

    def add(self, crash, now_s):
        """Adds a crash that a peer reports.

        :param crash: ``Crash``.
        :param now_s: current time in Unix seconds.
        """
        if now_s - crash.at_s < RETENTION_S:
            self._add(crash, now_s, Evidence.PEER, is_own=False)

    def add_stored(self, crash, now_s):
        """Adds a crash that the store keeps.

        :param crash: ``Crash``.
        :param now_s: current time in Unix seconds.
        """
        self._add(crash, now_s, Evidence.STORE, is_own=False)
        self.mark_stored([crash])

    def _add(self, crash, now_s, evidence, is_own):
        if self._has_succeeded(crash.fingerprint, now_s):
            return
        servers = self._requests.setdefault(crash.fingerprint, {})
        self._requests.move_to_end(crash.fingerprint)
        if crash.server in servers:
            return
        known = _Known(crash, now_s, is_own)
        servers[crash.server] = known
        self._reported[crash.key] = known
        if len(self._requests) > MAX_REQUESTS:
            # The oldest of those with the fewest crashes.
            self._forget(min(self._requests, key=self.count))
        self._observe(crash, evidence)

    def _forget(self, fingerprint):
        for known in self._requests.pop(fingerprint, {}).values():
            self._reported.pop(known.crash.key, None)
            if known.is_stored:
                self._deletions[known.crash.key] = None

    def record_unattributed(self, crash):
        """Records a lost response for which no end of the backend server was seen.

        :param crash: ``Crash`` that it would have been.
        """
        self._observe(crash, Evidence.NONE)

    def _observe(self, crash, evidence):
        count = self.count(crash.fingerprint)
        self._observations.append(Observation(crash, evidence, count))

    def pop_observations(self):
        """Returns the observations since the last call, for the log.

        :return: list of ``Observation``.
        """
        observations = list(self._observations)
        self._observations.clear()
        return observations

    def pop_clearances(self):
        """Returns the clearances since the last call, for the log.

        :return: list of ``Clearance``.
        """
        clearances = list(self._clearances)
        self._clearances.clear()
        return clearances

    def _record_clearance(self, fingerprint, reason):
        count = self.count(fingerprint)
        self._clearances.append(Clearance(fingerprint, count, reason))

    def record_success(self, fingerprint, now_s):
        """Records a complete response, which shows that the request is harmless.

        :param fingerprint: hash of path, caller and body.
        :param now_s: current time in Unix seconds.
        """
        self._successes[fingerprint] = now_s
        self._successes.move_to_end(fingerprint)
        if len(self._successes) > MAX_SUCCESSES:
            self._successes.popitem(last=False)
        if fingerprint in self._requests:
            self._record_clearance(fingerprint, ClearanceReason.RESPONSE)
            self._cleared_s[fingerprint] = now_s
            self._forget(fingerprint)

    def clear(self, fingerprint, now_s):
        """Clears a request that was answered completely through a peer.

        The peer deletes its crashes from the store.

        :param fingerprint: hash of path, caller and body.
        :param now_s: current time in Unix seconds.
        """
        if fingerprint not in self._requests:
            return
        self._record_clearance(fingerprint, ClearanceReason.PEER)
        self._cleared_s[fingerprint] = now_s
        for known in self._requests.pop(fingerprint).values():
            self._reported.pop(known.crash.key, None)

    def list_cleared(self, now_s):
        """Lists the requests whose crashes were cleared recently.

        :param now_s: current time in Unix seconds.
        :return: tuple of fingerprints.
        """
        self._cleared_s = {
            fingerprint: at_s
            for fingerprint, at_s in self._cleared_s.items()
            if now_s - at_s <= REPORT_S
        }
        return tuple(self._cleared_s)

    def _has_succeeded(self, fingerprint, now_s):
        succeeded_s = self._successes.get(fingerprint)
        if succeeded_s is not None and now_s - succeeded_s < SUCCESS_RETENTION_S:
            return True
        return fingerprint in self._cleared_s

    def remove_stored(self, key):
        """Removes a crash that the store no longer keeps.

        :param key: key of its record.
        """
        self._deletions.pop(key, None)
        self._reported.pop(key, None)
        fingerprint, _, server = key.partition("/")
        servers = self._requests.get(fingerprint, {})
        servers.pop(server, None)
        if not servers:
            self._requests.pop(fingerprint, None)

    def is_refused(self, fingerprint, now_s):
        """Tells whether a request must not be sent to another backend server.

        :param fingerprint: hash of path, caller and body.
        :param now_s: current time in Unix seconds.
        :return: ``True`` after ``MAX_CRASHES`` crashes within ``RETENTION_S``.
        """
        servers = self._requests.get(fingerprint)
        if not servers or len(servers) < MAX_CRASHES:
            return False
        oldest_s = now_s - RETENTION_S
        recent = sum(known.crash.at_s > oldest_s for known in servers.values())
        return recent >= MAX_CRASHES

    def count(self, fingerprint):
        """Counts the crashes of a request.

        :param fingerprint: hash of path, caller and body.
        :return: number of distinct backend servers that crashed.
        """
        return len(self._requests.get(fingerprint, ()))

    def list_reported(self, now_s):
        """Lists the crashes that digests include: recent ones and those not stored.

        :param now_s: current time in Unix seconds.
        :return: tuple of at most ``MAX_REPORTED`` ``Crash`` items: those of the
            requests with the most crashes, then the newest.
        """
        for key, known in list(self._reported.items()):
            if known.is_stored and now_s - known.known_s > REPORT_S:
                del self._reported[key]
        crashes = [known.crash for known in reversed(self._reported.values())]
        return tuple(self._rank(crashes)[:MAX_REPORTED])

    def _rank(self, crashes):
        return sorted(crashes, key=lambda crash: -self.count(crash.fingerprint))

    def list_due(self, now_s, is_reader):
        """Lists the crashes that this entry should store.

        :param now_s: current time in Unix seconds.
        :param is_reader: whether this entry reads the store for its group, and stores
            what an observer has not.
        :return: list of at most ``MAX_BATCH`` ``Crash`` items, those of the requests
            with the most crashes first.
        """
        due = [
            known.crash
            for known in self._reported.values()
            if not known.is_stored and self._is_due(known, now_s, is_reader)
        ]
        return self._rank(due)[:MAX_BATCH]

    def _is_due(self, known, now_s, is_reader):
        age_s = now_s - known.known_s
        if not known.is_own:
            return is_reader and age_s > TAKEOVER_S
        return age_s > STORE_DELAY_S or self.count(known.crash.fingerprint) > 1

    def drop_expired(self, now_s, is_reader):
        """Drops the crashes that no longer count.

        :param now_s: current time in Unix seconds.
        :param is_reader: whether this entry also deletes them from the store.
        """
        for fingerprint, servers in list(self._requests.items()):
            for server, known in list(servers.items()):
                if now_s - known.crash.at_s < RETENTION_S:
                    continue
                del servers[server]
                self._reported.pop(known.crash.key, None)
                if known.is_stored and is_reader:
                    self._deletions[known.crash.key] = None
            if not servers:
                del self._requests[fingerprint]

    def mark_stored(self, stored):
        """Marks crashes that the store has acknowledged.

        :param stored: iterable of ``Crash``.
        """
        for crash in stored:
            servers = self._requests.get(crash.fingerprint, {})
            if crash.server in servers:
                servers[crash.server].is_stored = True
            elif crash.fingerprint in self._successes:
                # A complete response arrived while the crash was being stored.
                self._deletions[crash.key] = None

    def mark_lost(self, keys, now_s):
        """Marks records that the store has lost, so that they are written again.

        :param keys: iterable of keys.
        :param now_s: current time in Unix seconds.
        """
        for key in keys:
            fingerprint, _, server = key.partition("/")
            known = self._requests.get(fingerprint, {}).get(server)
            if known is not None:
                known.is_stored = False
                known.is_own = True
                known.known_s = now_s
                self._reported[key] = known

    def delete(self, keys):
        """Marks records that the store should no longer keep.

        :param keys: iterable of keys.
        """
        self._deletions.update(dict.fromkeys(keys))

    def list_deletions(self):
        """Lists the records that the store should no longer keep.

        :return: list of at most ``MAX_BATCH`` keys.
        """
        return list(self._deletions)[:MAX_BATCH]

    def mark_deleted(self, keys):
        """Marks records whose deletion the store has acknowledged.

        :param keys: iterable of keys.
        """
        for key in keys:
            self._deletions.pop(key, None)
