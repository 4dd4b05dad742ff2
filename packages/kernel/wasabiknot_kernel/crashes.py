"""Requests that crash backend servers, as known to all entries.

The platform's store keeps the crashes, so that they outlive every process. Until a
crash is stored, the entries that know it repeat it in their digests.
"""

import collections
import enum
import math

import msgspec

from wasabiknot_kernel import decoding, statements, suspects

# Time for which a crash counts, from when an entry learns of it. Clocks of VMs differ,
# so the time of day that is stored with it decides nothing.
RETENTION_S = 3_600.0
MAX_REQUESTS = 2_048
MAX_OBSERVATIONS = 256
# Time for which digests include a crash, even if it is already stored, and interval
# of these reports. Beyond it, those that aren't stored are reported less often.
REPORT_S = 2.0
REPORT_INTERVAL_S = 0.4
UNSTORED_REPORT_INTERVAL_S = 2.0
ALL_CHANNELS = frozenset(statements.Channel)
MAX_REPORTED = 32
# Time after which another entry stores a crash that its observer has not stored.
TAKEOVER_S = 3.0
# Delay before the first crash of a request is stored. Most requests that were in flight
# beside a harmful one complete at another backend server within it, and a single crash
# of such a request is not stored.
STORE_DELAY_S = 0.5
MAX_BATCH = 64


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """A crash of a backend server while it ran a request.

    :param fingerprint: hash of path, caller and body of the request.
    :param server: id of the backend server and its start time.
    :param at_s: time of day at which it was stored, in Unix seconds, for operators; 0
        before.
    """

    fingerprint: str
    server: str
    at_s: decoding.Number = 0.0

    @property
    def key(self):
        """Key of the record in the store."""
        return f"{self.fingerprint}/{self.server}"


class Evidence(enum.Enum):
    """Why a lost response counts as a crash. The values appear in logs."""

    REFUSED = "refused"
    RESTARTED = "restarted"
    REMOVED = "removed"
    REPLACED = "replaced"
    PEER_REFUSED = "peer-refused"
    ENDED_BEFORE = "ended-before"
    PEER = "peer"
    STORE = "store"
    TRIAL = "trial"
    NONE = "none"


class ClearanceReason(enum.Enum):
    """Why a request with crashes is served. The values appear in logs."""

    OUTWEIGHED = "outweighed"
    EXPLAINED = "explained"
    TRIAL = "trial"


class Clearance(msgspec.Struct, frozen=True):
    """A request that is served although backend servers crashed while they ran it.

    :param fingerprint: hash of path, caller and body of the request.
    :param count: crashes that are known.
    :param responses: complete responses since the first of them.
    :param reason: ``ClearanceReason``.
    """

    fingerprint: str
    count: int
    responses: int
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


class CrashRegister:
    """Counts the backend servers that each request has crashed.

    Protects against a caller that resends a harmful request after each crash.
    """

    def __init__(self):
        self._requests = collections.OrderedDict()
        # Those of them with more than one crash.
        self._repeated = {}
        self._deletions = {}
        # Stored crashes that no longer count, while others read the store.
        self._expired = {}
        self._reported = {}
        self._observations = collections.deque(maxlen=MAX_OBSERVATIONS)
        self._clearances = collections.deque(maxlen=MAX_OBSERVATIONS)

    def record(self, crash, now_s, evidence):
        """Records a crash that this entry has observed.

        :param crash: ``Crash``.
        :param now_s: current time in seconds.
        :param evidence: ``Evidence``.
        """
        self._add(crash, now_s, evidence, statements.Channel.OWN)

    def add(self, crash, now_s, channel=statements.Channel.GROUP):
        """Adds a crash that a peer reports.

        :param crash: ``Crash``.
        :param now_s: current time in seconds.
        :param channel: ``statements.Channel`` of the report.
        """
        self._add(crash, now_s, Evidence.PEER, channel)

    def add_stored(self, crash, now_s):
        """Adds a crash that the store keeps.

        :param crash: ``Crash``.
        :param now_s: current time in seconds.
        """
        self._add(crash, now_s, Evidence.STORE, statements.Channel.REMOTE)
        self.mark_stored([crash])

    def _add(self, crash, now_s, evidence, channel):
        suspect = self._requests.setdefault(crash.fingerprint, suspects.Suspect())
        self._requests.move_to_end(crash.fingerprint)
        if crash.server in suspect.crashes:
            return
        suspect.crashes[crash.server] = suspects.KnownCrash(crash, now_s, channel)
        if len(suspect.crashes) > 1:
            self._repeated[crash.fingerprint] = suspect
        for known in suspect.crashes.values():
            if not known.is_stored:
                self._reported[known.crash.key] = known
        if len(self._requests) > MAX_REQUESTS:
            # The oldest of those with the fewest crashes.
            self._forget(min(self._requests, key=self.count))
        self._observe(crash, evidence)

    def _forget(self, fingerprint):
        for known in self._pop(fingerprint).crashes.values():
            self._reported.pop(known.crash.key, None)
            if known.is_stored:
                self._deletions[known.crash.key] = None

    def _pop(self, fingerprint):
        self._repeated.pop(fingerprint, None)
        return self._requests.pop(fingerprint)

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

    def record_response(self, fingerprint, is_trial=False):
        """Records a complete response, which speaks for a request with crashes.

        :param fingerprint: hash of path, caller and body.
        :param is_trial: whether the request was sent as a trial.
        """
        suspect = self._requests.get(fingerprint)
        if suspect is not None:
            suspect.responses += suspect.trial_weight if is_trial else 1

    def apply_responses(self, source, responses):
        """Applies the numbers of complete responses that a peer reports.

        :param source: name of the peer or group.
        :param responses: mapping of fingerprints to numbers.
        """
        for fingerprint, count in responses.items():
            suspect = self._requests.get(fingerprint)
            if suspect is not None:
                suspect.peer_responses[source] = count

    def list_responses(self):
        """Lists the complete responses through this entry to requests with crashes.

        :return: mapping of at most ``MAX_REPORTED`` fingerprints to numbers.
        """
        counts = {
            fingerprint: suspect.responses
            for fingerprint, suspect in self._repeated.items()
            if suspect.responses
        }
        ranked = sorted(counts, key=lambda fingerprint: -self.count(fingerprint))
        return {
            fingerprint: counts[fingerprint] for fingerprint in ranked[:MAX_REPORTED]
        }

    def remove_stored(self, key):
        """Removes a crash that the store no longer keeps.

        :param key: key of its record.
        """
        self._deletions.pop(key, None)
        self._expired.pop(key, None)
        self._reported.pop(key, None)
        fingerprint, _, server = key.partition("/")
        suspect = self._requests.get(fingerprint)
        if suspect is not None:
            suspect.crashes.pop(server, None)
            if not suspect.crashes:
                self._pop(fingerprint)

    def is_refused(self, fingerprint, now_s):
        """Tells whether a request must not be sent to another backend server.

        :param fingerprint: hash of path, caller and body.
        :param now_s: current time in seconds.
        :return: ``True`` after ``suspects.MAX_CRASHES`` crashes within
            ``RETENTION_S`` that are neither outweighed nor explained.
        """
        suspect = self._requests.get(fingerprint)
        if suspect is None or len(suspect.crashes) < suspects.MAX_CRASHES:
            return False
        oldest_s = now_s - RETENTION_S
        recent = sum(item.known_s > oldest_s for item in suspect.crashes.values())
        if recent < suspects.MAX_CRASHES:
            return False
        reason = self._find_clearance_reason(suspect)
        if reason is not None:
            self._record_clearance(fingerprint, suspect, reason)
        return reason is None

    def find_refused(self, ticket, now_s):
        """Finds what forbids to send a request to another backend server.

        :param ticket: ``arrivals.Ticket``.
        :param now_s: current time in seconds.
        :return: its fingerprint if that is refused, or ``None``.
        """
        is_refused = self.is_refused(ticket.fingerprint, now_s)
        return ticket.fingerprint if is_refused else None

    def _find_clearance_reason(self, suspect):
        if suspect.is_outweighed:
            return ClearanceReason.OUTWEIGHED
        unexplained = suspects.count_unexplained(suspect, self._repeated.values())
        if unexplained < suspects.MAX_CRASHES:
            return ClearanceReason.EXPLAINED
        return None

    def is_suspected(self, fingerprint):
        """Tells whether failures of a request may be its own fault.

        :param fingerprint: hash of path, caller and body.
        :return: ``True`` after a crash that complete responses do not outweigh.
        """
        suspect = self._requests.get(fingerprint)
        return suspect is not None and not suspect.is_outweighed

    def try_start_trial(self, fingerprint, now_s):
        """Starts a trial of a refused request, if one is due.

        :param fingerprint: hash of path, caller and body.
        :param now_s: current time in seconds.
        :return: whether the request may be sent once.
        """
        suspect = self._requests.get(fingerprint)
        if suspect is None or not suspect.is_due_for_trial(now_s):
            return False
        suspect.trial_s = now_s
        self._record_clearance(fingerprint, suspect, ClearanceReason.TRIAL)
        return True

    def pop_clearances(self):
        """Returns the clearances since the last call, for the log.

        :return: list of ``Clearance``.
        """
        clearances = list(self._clearances)
        self._clearances.clear()
        return clearances

    def _record_clearance(self, fingerprint, suspect, reason):
        clearance = Clearance(
            fingerprint, len(suspect.crashes), suspect.response_count, reason
        )
        is_repeated = suspect.logged == (clearance.count, reason)
        suspect.logged = (clearance.count, reason)
        if not is_repeated or reason is ClearanceReason.TRIAL:
            self._clearances.append(clearance)

    def count(self, fingerprint):
        """Counts the crashes of a request.

        :param fingerprint: hash of path, caller and body.
        :return: number of distinct backend servers that crashed.
        """
        suspect = self._requests.get(fingerprint)
        return len(suspect.crashes) if suspect is not None else 0

    def list_reported(self, now_s, channels=ALL_CHANNELS):
        """Lists the crashes for the next digest: recent ones and those not stored.

        Each is reported a few times, as digests may be lost.

        :param now_s: current time in seconds.
        :param channels: ``statements.Channel`` items; only crashes that this entry has
            learnt of by these are listed, and those that nobody has stored in time.
        :return: tuple of at most ``MAX_REPORTED`` ``Crash`` items: those of the
            requests with the most crashes, then the newest.
        """
        for key, known in list(self._reported.items()):
            is_kept = known.is_stored or not self._needs_storing(known)
            if is_kept and now_s - known.known_s > REPORT_S:
                del self._reported[key]
        crashes = [
            known.crash
            for known in reversed(self._reported.values())
            if _is_report_due(known, now_s, channels)
        ]
        listed = tuple(self._rank(crashes)[:MAX_REPORTED])
        for crash in listed:
            self._reported[crash.key].reported_s[channels] = now_s
        return listed

    def _rank(self, crashes):
        repeated = [item for item in crashes if item.fingerprint in self._repeated]
        repeated.sort(key=lambda item: -self.count(item.fingerprint))
        single = [item for item in crashes if item.fingerprint not in self._repeated]
        return repeated + single

    def list_due(self, now_s, is_reader):
        """Lists the crashes that this entry should store.

        :param now_s: current time in seconds.
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
        if not self._needs_storing(known):
            return False
        age_s = now_s - known.known_s
        if not known.is_own:
            return is_reader and age_s > TAKEOVER_S
        return age_s > STORE_DELAY_S or self.count(known.crash.fingerprint) > 1

    def _needs_storing(self, known):
        suspect = self._requests[known.crash.fingerprint]
        return len(suspect.crashes) > 1 or not suspect.response_count

    def drop_expired(self, now_s, is_reader):
        """Drops the crashes that no longer count.

        :param now_s: current time in seconds.
        :param is_reader: whether this entry also deletes them from the store.
        """
        for fingerprint, suspect in list(self._requests.items()):
            for server, known in list(suspect.crashes.items()):
                if now_s - known.known_s < RETENTION_S:
                    continue
                del suspect.crashes[server]
                self._reported.pop(known.crash.key, None)
                if known.is_stored:
                    self._expired[known.crash.key] = None
            if not suspect.crashes:
                self._pop(fingerprint)
        if is_reader:
            self._deletions.update(self._expired)
            self._expired.clear()

    def mark_stored(self, stored):
        """Marks crashes that the store has acknowledged.

        :param stored: iterable of ``Crash``.
        """
        for crash in stored:
            known = self._find_known(crash.fingerprint, crash.server)
            if known is not None:
                known.is_stored = True

    def _find_known(self, fingerprint, server):
        suspect = self._requests.get(fingerprint)
        return suspect.crashes.get(server) if suspect is not None else None

    def mark_lost(self, keys, now_s):
        """Marks records that the store has lost, so that they are written again.

        :param keys: iterable of keys.
        :param now_s: current time in seconds.
        """
        for key in keys:
            fingerprint, _, server = key.partition("/")
            known = self._find_known(fingerprint, server)
            if known is not None:
                known.is_stored = False
                known.channel = statements.Channel.OWN
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


def _is_report_due(known, now_s, channels):
    age_s = now_s - known.known_s
    is_forsaken = age_s > TAKEOVER_S and not known.is_stored
    if known.channel not in channels and not is_forsaken:
        return False
    interval_s = REPORT_INTERVAL_S if age_s <= REPORT_S else UNSTORED_REPORT_INTERVAL_S
    return now_s - known.reported_s.get(channels, -math.inf) >= interval_s
