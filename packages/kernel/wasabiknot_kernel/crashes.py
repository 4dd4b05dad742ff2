"""Requests that crash backend servers, as known to all entries.

The platform's store keeps the crashes, so that they outlive every process. Until a
crash is stored, the entries that know it repeat it in their digests.
"""

import collections
import itertools
import math

import msgspec

from wasabiknot_kernel import (
    crash_records,
    part_suspects,
    prompt_parts,
    statements,
    suspect_tables,
    suspects,
)

# Time for which a crash counts, from when an entry learns of it. Clocks of VMs differ,
# so the time of day that is stored with it decides nothing.
RETENTION_S = 3_600.0
# The same for the crashes of a part that was answered since.
ANSWERED_RETENTION_S = 60.0
MAX_REQUESTS = 2_048
# Parts of one lost request whose crashes are counted.
MAX_PARTS_PER_LOSS = 32
MAX_OBSERVATIONS = 256
# Time for which digests include a crash, even if it is already stored, and interval
# of these reports. Beyond it, those that aren't stored are reported less often.
REPORT_S = 2.0
REPORT_INTERVAL_S = 0.4
UNSTORED_REPORT_INTERVAL_S = 2.0
ALL_CHANNELS = frozenset(statements.Channel)
# Time after the newest crash of a part for which digests include its responses.
PART_RESPONSES_REPORT_S = 10.0
MAX_REPORTED = 32
# Time after which another entry stores a crash that its observer has not stored.
TAKEOVER_S = 3.0
# Delay before the first crash of a request is stored. Most requests that were in flight
# beside a harmful one complete at another backend server within it, and a single crash
# of such a request is not stored.
STORE_DELAY_S = 0.5
MAX_BATCH = 64


class CrashRegister:
    """Counts the backend servers that each request and each prompt part has crashed.

    Protects against a harmful request that is sent again after each crash, and against
    different requests that have a harmful part of their prompts in common.
    """

    def __init__(self):
        self._requests = suspect_tables.SuspectTable(
            lambda _: suspects.Suspect(), MAX_REQUESTS
        )
        self._judge = part_suspects.PartJudge(self._requests)
        self._parts = self._judge.parts
        self._refused_parts = frozenset()
        # Keys of the parts that may explain crashes of whole requests.
        self._explaining = frozenset()
        self._verdicts = collections.deque(maxlen=MAX_OBSERVATIONS)
        self._deletions = {}
        # Stored crashes that no longer count, while others read the store.
        self._expired = {}
        self._reported = {}
        self._observations = collections.deque(maxlen=MAX_OBSERVATIONS)
        self._clearances = collections.deque(maxlen=MAX_OBSERVATIONS)

    def record(self, crash, now_s, evidence):
        """Records a crash that this entry has observed.

        :param crash: ``crash_records.Crash``.
        :param now_s: current time in seconds.
        :param evidence: ``crash_records.Evidence``.
        """
        self._add(crash, now_s, evidence, statements.Channel.OWN)

    def add(self, crash, now_s, channel=statements.Channel.GROUP):
        """Adds a crash that a peer reports.

        :param crash: ``crash_records.Crash``.
        :param now_s: current time in seconds.
        :param channel: ``statements.Channel`` of the report.
        """
        self._add(crash, now_s, crash_records.Evidence.PEER, channel)

    def add_stored(self, crash, now_s):
        """Adds a crash that the store keeps.

        :param crash: ``crash_records.Crash``.
        :param now_s: current time in seconds.
        """
        self._add(crash, now_s, crash_records.Evidence.STORE, statements.Channel.REMOTE)
        self.mark_stored([crash])

    def _add(self, crash, now_s, evidence, channel):
        table = self._find_table(crash.fingerprint)
        suspect = table.provide(crash.fingerprint)
        if crash.server in suspect.crashes:
            return
        if suspect.is_part:
            self._judge.record_crash(suspect)
        known = suspects.KnownCrash(crash, now_s, channel)
        table.add_crash(crash.fingerprint, known)
        for item in suspect.crashes.values() if suspect.is_doubtful else (known,):
            if not item.is_stored:
                self._reported[item.crash.key] = item
        surplus = table.find_surplus()
        if surplus is not None:
            self._forget(surplus)
        # Most parts that are in flight during a crash are in common use.
        if suspect.is_doubtful or not suspect.is_part:
            self._observe(crash, evidence)

    def _find_table(self, key):
        return self._parts if prompt_parts.is_key(key) else self._requests

    def _find(self, key):
        return self._find_table(key).get(key)

    def _forget(self, key):
        for known in self._find_table(key).pop(key).crashes.values():
            self._reported.pop(known.crash.key, None)
            if known.is_stored:
                self._deletions[known.crash.key] = None

    def record_unattributed(self, crash):
        """Records a lost response for which no end of the backend server was seen.

        :param crash: ``crash_records.Crash`` that it would have been.
        """
        self._observe(crash, crash_records.Evidence.NONE)

    def _observe(self, crash, evidence):
        count = self.count(crash.fingerprint)
        self._observations.append(crash_records.Observation(crash, evidence, count))

    def pop_observations(self):
        """Returns the observations since the last call, for the log.

        :return: list of ``crash_records.Observation``.
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

    def select_parts(self, ticket):
        """Selects the parts of a lost request whose crashes are counted.

        :param ticket: ``arrivals.Ticket``.
        :return: tuple of keys.
        """
        keys = prompt_parts.list_keys(ticket)
        return tuple(self._judge.select(keys, MAX_PARTS_PER_LOSS))

    def record_answered_parts(self, service, keys, at_s):
        """Records a complete response, which speaks for the parts of its prompt.

        :param service: name of the service.
        :param keys: keys of the parts.
        :param at_s: time of the response in seconds.
        """
        self._judge.record_response(service, keys, at_s)
        for key in keys if len(self._parts) else ():
            suspect = self._parts.get(key)
            if suspect is not None:
                self._delete_stored(suspect)

    def apply_responses(self, source, responses, now_s=0.0):
        """Applies the numbers of complete responses that a peer reports.

        :param source: name of the peer or group.
        :param responses: mapping of fingerprints and keys of parts to numbers.
        :param now_s: current time in seconds.
        """
        for key, count in responses.items():
            suspect = self._find(key)
            if suspect is None:
                continue
            if suspect.is_part:
                self._judge.record_peer_responses(suspect, source, count, now_s)
            suspect.peer_responses[source] = count

    def list_responses(self):
        """Lists the complete responses through this entry to requests with crashes.

        :return: mapping of at most ``MAX_REPORTED`` fingerprints to numbers.
        """
        return _list_most_suspected(self._requests.repeated)

    def list_part_responses(self, now_s):
        """Lists the complete responses with parts that have lately crashed servers.

        :param now_s: current time in seconds.
        :return: mapping of at most ``MAX_REPORTED`` keys of parts to numbers.
        """
        recent = {
            key: suspect
            for key, suspect in self._parts.repeated.items()
            if now_s - suspect.newest_s <= PART_RESPONSES_REPORT_S
        }
        return _list_most_suspected(recent)

    def remove_stored(self, key):
        """Removes a crash that the store no longer keeps.

        :param key: key of its record.
        """
        self._deletions.pop(key, None)
        self._expired.pop(key, None)
        self._reported.pop(key, None)
        fingerprint, _, server = key.partition("/")
        suspect = self._find(fingerprint)
        if suspect is not None:
            suspect.crashes.pop(server, None)
            if not suspect.crashes:
                self._find_table(fingerprint).pop(fingerprint)

    def is_refused(self, fingerprint, now_s):
        """Tells whether a request must not be sent to another backend server.

        :param fingerprint: hash of path, caller and body, or key of a part.
        :param now_s: current time in seconds.
        :return: ``True`` after ``suspects.MAX_CRASHES`` crashes within
            ``RETENTION_S`` that are neither outweighed nor explained.
        """
        if prompt_parts.is_key(fingerprint):
            return fingerprint in self.list_refused_parts(now_s)
        suspect = self._requests.get(fingerprint)
        if suspect is None or len(suspect.crashes) < suspects.MAX_CRASHES:
            return False
        oldest_s = now_s - RETENTION_S
        recent = sum(item.known_s > oldest_s for item in suspect.crashes.values())
        if recent < suspects.MAX_CRASHES:
            return False
        reason = self._find_clearance_reason(suspect, now_s)
        if reason is not None:
            self._record_clearance(fingerprint, suspect, reason)
        return reason is None

    def find_refused(self, ticket, now_s):
        """Finds what forbids to send a request to another backend server.

        :param ticket: ``arrivals.Ticket``.
        :param now_s: current time in seconds.
        :return: its fingerprint, or the key of a part of its prompt; ``None`` if it
            may be sent.
        """
        return next(self._iterate_refused(ticket, now_s), None)

    def find_trial_key(self, ticket, now_s):
        """Finds what a request that is refused can be a trial of.

        :param ticket: ``arrivals.Ticket``.
        :param now_s: current time in seconds.
        :return: its fingerprint or the key of a part; ``None`` if a crash would not
            tell which of several is harmful.
        """
        refused = set(self._iterate_refused(ticket, now_s))
        # Its own fingerprint would not have kept it from being sent.
        doubtful = set(self.list_doubtful(ticket)) - {ticket.fingerprint}
        suspected = refused | doubtful
        return refused.pop() if len(suspected) == 1 and refused else None

    def _iterate_refused(self, ticket, now_s):
        if self.is_refused(ticket.fingerprint, now_s):
            yield ticket.fingerprint
        refused = self.list_refused_parts(now_s)
        if refused:
            yield from refused.intersection(prompt_parts.list_keys(ticket))

    def list_refused_parts(self, now_s):
        """Lists the prompt parts that no request may be sent with.

        :param now_s: current time in seconds.
        :return: frozen set of keys.
        """
        refused = self._judge.list_refused(now_s)
        if refused != self._refused_parts:
            for key in sorted(refused ^ self._refused_parts):
                self._verdicts.append(self._describe_verdict(key, key in refused))
            self._refused_parts = refused
        explaining = refused.union(self._judge.blamed)
        if explaining != self._explaining:
            self._explaining = explaining
            self._mark_explained_requests(now_s)
        return refused

    def _list_explaining_parts(self, suspect, now_s):
        refused = self.list_refused_parts(now_s)
        blamed = self._judge.blamed if suspect.response_count else ()
        # One may have been forgotten since the verdict.
        known = [self._parts.get(key) for key in refused.union(blamed)]
        return [part for part in known if part is not None]

    def _mark_explained_requests(self, now_s):
        # An entry that reads their crashes after a restart knows no responses.
        for suspect in self._requests.repeated.values():
            parts = self._list_explaining_parts(suspect, now_s)
            unexplained = suspects.count_unexplained(suspect, parts)
            suspect.is_explained = unexplained < len(suspect.crashes)
            if suspect.is_explained:
                self._delete_stored(suspect)

    def _delete_stored(self, suspect):
        for known in suspect.crashes.values():
            if known.is_stored:
                self._deletions[known.crash.key] = None

    def _describe_verdict(self, key, is_refused):
        suspect = self._parts.get(key)
        count = len(suspect.crashes) if suspect is not None else 0
        responses = suspect.response_count if suspect is not None else 0
        return crash_records.PartVerdict(key, is_refused, count, responses)

    def pop_verdicts(self):
        """Returns the changes of refused prompt parts since the last call, for the log.

        :return: list of ``crash_records.PartVerdict``.
        """
        verdicts = list(self._verdicts)
        self._verdicts.clear()
        return verdicts

    def _find_clearance_reason(self, suspect, now_s):
        if suspect.is_outweighed:
            return crash_records.ClearanceReason.OUTWEIGHED
        parts = self._list_explaining_parts(suspect, now_s)
        others = itertools.chain(self._requests.repeated.values(), parts)
        unexplained = suspects.count_unexplained(suspect, others)
        if unexplained < suspects.MAX_CRASHES:
            return crash_records.ClearanceReason.EXPLAINED
        return None

    def is_suspected(self, ticket):
        """Tells whether failures of a request may be its own fault.

        :param ticket: ``arrivals.Ticket``.
        :return: ``True`` after a crash that complete responses do not outweigh.
        """
        return bool(self.list_doubtful(ticket))

    def list_doubtful(self, ticket):
        """Lists all that a failure of a request may be the fault of.

        :param ticket: ``arrivals.Ticket``.
        :return: list of its fingerprint and keys of parts of its prompt.
        """
        keys = prompt_parts.list_keys(ticket) if len(self._parts) else ()
        known = [(key, self._find(key)) for key in (ticket.fingerprint, *keys)]
        return [key for key, item in known if item is not None and item.is_doubtful]

    def try_start_trial(self, fingerprint, now_s):
        """Starts a trial of a refused request, if one is due.

        :param fingerprint: hash of path, caller and body, or key of a part.
        :param now_s: current time in seconds.
        :return: whether the request may be sent once.
        """
        suspect = self._find(fingerprint)
        if suspect is None or not self._is_due_for_trial(suspect, now_s):
            return False
        suspect.trial_s = now_s
        self._record_clearance(
            fingerprint, suspect, crash_records.ClearanceReason.TRIAL
        )
        return True

    def _is_due_for_trial(self, suspect, now_s):
        if suspect.is_part:
            return self._judge.is_due_for_trial(suspect, now_s)
        parts = self._list_explaining_parts(suspect, now_s)
        return suspect.is_due_for_trial(now_s, suspects.has_rival(suspect, parts))

    def pop_clearances(self):
        """Returns the clearances since the last call, for the log.

        :return: list of ``crash_records.Clearance``.
        """
        clearances = list(self._clearances)
        self._clearances.clear()
        return clearances

    def _record_clearance(self, fingerprint, suspect, reason):
        clearance = crash_records.Clearance(
            fingerprint, len(suspect.crashes), suspect.response_count, reason
        )
        is_repeated = suspect.logged == (clearance.count, reason)
        suspect.logged = (clearance.count, reason)
        if not is_repeated or reason is crash_records.ClearanceReason.TRIAL:
            self._clearances.append(clearance)

    def count(self, fingerprint):
        """Counts the crashes of a request or a prompt part.

        :param fingerprint: hash of path, caller and body, or key of a part.
        :return: number of distinct backend servers that crashed.
        """
        suspect = self._find(fingerprint)
        return len(suspect.crashes) if suspect is not None else 0

    def list_reported(self, now_s, channels=ALL_CHANNELS):
        """Lists the crashes for the next digest: recent ones and those not stored.

        Each is reported a few times, as digests may be lost.

        :param now_s: current time in seconds.
        :param channels: ``statements.Channel`` items; only crashes that this entry has
            learnt of by these are listed, and those that nobody has stored in time.
        :return: tuple of at most ``MAX_REPORTED`` ``crash_records.Crash`` items: those
            of the requests with the most crashes, then the newest.
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
        # Of those with one crash, and of others with as many, the newest first.
        return sorted(crashes, key=self._compute_rank)

    def _compute_rank(self, crash):
        suspect = self._find(crash.fingerprint)
        is_common = suspect.is_part and not suspect.is_doubtful
        return (is_common, -len(suspect.crashes))

    def list_due(self, now_s, is_reader):
        """Lists the crashes that this entry should store.

        :param now_s: current time in seconds.
        :param is_reader: whether this entry reads the store for its group, and stores
            what an observer has not.
        :return: list of at most ``MAX_BATCH`` ``crash_records.Crash`` items, those of
            the requests with the most crashes first.
        """
        due = [
            self._add_responses(known.crash)
            for known in self._reported.values()
            if not known.is_stored and self._is_due(known, now_s, is_reader)
        ]
        due += self._list_restated() if is_reader else ()
        return self._rank(due)[:MAX_BATCH]

    def _list_restated(self):
        # What stood beside the stored crashes of a part may be too little by now.
        for key in self._refused_parts:
            suspect = self._parts.get(key)
            if suspect is not None and self._judge.needs_restating(suspect):
                newest = max(suspect.crashes.values(), key=lambda item: item.known_s)
                yield self._add_responses(newest.crash)

    def _add_responses(self, crash):
        suspect = self._find(crash.fingerprint)
        count = self._judge.count_others if suspect.is_part else _count_responses
        responses = count(suspect)
        return msgspec.structs.replace(crash, responses=responses)

    def _is_due(self, known, now_s, is_reader):
        if not self._needs_storing(known):
            return False
        age_s = now_s - known.known_s
        if not known.is_own:
            return is_reader and age_s > TAKEOVER_S
        return age_s > STORE_DELAY_S or self.count(known.crash.fingerprint) > 1

    def _needs_storing(self, known):
        suspect = self._find(known.crash.fingerprint)
        if suspect.is_part:
            return self._judge.needs_storing(suspect)
        if suspect.is_explained:
            return False
        return len(suspect.crashes) > 1 or not suspect.response_count

    def drop_expired(self, now_s, is_reader):
        """Drops the crashes that no longer count.

        :param now_s: current time in seconds.
        :param is_reader: whether this entry also deletes them from the store.
        """
        for table in (self._requests, self._parts):
            for key, suspect in table.items():
                self._drop_expired_crashes(suspect, now_s)
                if not suspect.crashes:
                    table.pop(key)
        if is_reader:
            self._deletions.update(self._expired)
            self._expired.clear()

    def _drop_expired_crashes(self, suspect, now_s):
        retention_s = RETENTION_S
        if suspect.is_part and not suspect.is_doubtful and suspect.is_outweighed:
            retention_s = ANSWERED_RETENTION_S
        for server, known in list(suspect.crashes.items()):
            if now_s - known.known_s < retention_s:
                continue
            del suspect.crashes[server]
            self._reported.pop(known.crash.key, None)
            if known.is_stored:
                self._expired[known.crash.key] = None

    def mark_stored(self, stored):
        """Marks crashes that the store has acknowledged.

        :param stored: iterable of ``crash_records.Crash``.
        """
        for crash in stored:
            known = self._find_known(crash.fingerprint, crash.server)
            if known is not None:
                known.is_stored = True
                suspect = self._find(crash.fingerprint)
                suspect.stored_responses = max(
                    suspect.stored_responses, crash.responses
                )

    def _find_known(self, fingerprint, server):
        suspect = self._find(fingerprint)
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


def _count_responses(suspect):
    return suspect.response_count


def _list_most_suspected(items):
    answered = [key for key, suspect in items.items() if suspect.responses]
    answered.sort(key=lambda key: -len(items[key].crashes))
    return {key: items[key].responses for key in answered[:MAX_REPORTED]}


def _is_report_due(known, now_s, channels):
    age_s = now_s - known.known_s
    is_forsaken = age_s > TAKEOVER_S and not known.is_stored
    if known.channel not in channels and not is_forsaken:
        return False
    interval_s = REPORT_INTERVAL_S if age_s <= REPORT_S else UNSTORED_REPORT_INTERVAL_S
    return now_s - known.reported_s.get(channels, -math.inf) >= interval_s
