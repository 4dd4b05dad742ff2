"""Judges which prompt parts crash the backend servers that answer requests with them.

Requests with such a part differ in all else, and sound ones run beside them on every
server that ends. A complete response speaks for each part of its prompt, also one of
shortly before the first crash: the harmful part has none since it became harmful.
"""

import collections
import math

from wasabiknot_kernel import prompt_parts, suspect_tables, suspects

# Suspected parts.
MAX_PARTS = 4_096
# Parts with a complete response that are remembered, and those of one response.
MAX_ANSWERED = 4_096
MAX_ANSWERED_PER_RESPONSE = 32
# Different requests under which servers ended: a part that only one request has had is
# that request's own fault.
MIN_REQUESTS = 2
# Complete responses of a service that show which parts are in common use.
MIN_HISTORY = 20
# Time and complete responses without the part before a part is refused that was
# answered before, or that was in flight at the same crashes as another one. Stored
# crashes are believed at once if so many responses stand beside them.
PATIENCE_S = 2.0
MIN_OTHER_RESPONSES = 3
# Crashes, and the time between the first and the last of them, after which such a part
# is refused even if the service has completed no response at all.
MIN_OUTAGE_CRASHES = 5
MIN_OUTAGE_S = 2.0
# A refused part is tried again after this time without a crash, and until so many
# crashes in all.
CERTAIN_TRIAL_INTERVAL_S = 30.0
MAX_CRASHES_BEFORE_TRIAL = 6
# The same for evidence that may deceive, and crashes since the part was refused.
TRIAL_INTERVAL_S = 1.0
MAX_CRASHES_SINCE_REFUSAL = 2
# Interval of the verdicts, unless something new is known.
JUDGE_INTERVAL_S = 0.1


class PartSuspect(suspects.Suspect):
    """A prompt part that requests had in flight when backend servers crashed.

    :param service: what stands for the service in the key.
    :param answered_s: time in seconds of the newest complete response with it that is
        known here; ``None`` for none.
    :param answer_mark: complete responses of the service when the crashes began that
        no complete response with the part has followed.
    :param refused_count: number of its crashes when it was refused.
    """

    service: str = ""
    answered_s: float | None = None
    answer_mark: int = 0
    refused_count: int = 0

    is_part = True

    def list_streak(self):
        """Lists when the crashes since the newest complete response became known.

        :return: sorted list of times in seconds.
        """
        times_s = [known.known_s for known in self.crashes.values()]
        if self.answered_s is not None:
            times_s = [time_s for time_s in times_s if time_s > self.answered_s]
        return sorted(times_s)

    @property
    def response_count(self):
        """Complete responses with the part through all entries."""
        return self.responses + sum(self.peer_responses.values())

    @property
    def is_outweighed(self):
        """Whether a complete response has followed all but the newest crashes."""
        answered_s = -math.inf if self.answered_s is None else self.answered_s
        times_s = (known.known_s for known in self.crashes.values())
        return sum(time_s > answered_s for time_s in times_s) < suspects.MAX_CRASHES

    @property
    def is_convicted(self):
        """Whether there are enough crashes, under different requests, to refuse it."""
        if len(self.crashes) < suspects.MAX_CRASHES or self.is_outweighed:
            return False
        requests = {known.crash.request for known in self.crashes.values()}
        return len(requests) >= MIN_REQUESTS

    @property
    def is_doubtful(self):
        """Whether a crash may be the fault of the part."""
        return self.answered_s is None

    def explains(self, other):
        """Tells whether the crashes of another suspect are rather those of this part.

        :param other: ``suspects.Suspect``.
        :return: ``True`` also for a request with the same crashes and responses, if
            servers ended under other requests with this part.
        """
        if super().explains(other):
            return True
        is_tie = not other.is_part and self.rank == other.rank
        return is_tie and self.is_convicted and not self._has_crashed_under(other)

    def _has_crashed_under(self, other):
        fingerprints = {known.crash.fingerprint for known in other.crashes.values()}
        return any(
            known.crash.request in fingerprints for known in self.crashes.values()
        )

    def record_answer(self, count, at_s):
        """Records complete responses to requests with the part.

        :param count: number of responses.
        :param at_s: time of the newest one in seconds.
        """
        self.responses += count
        self.mark_answered(at_s)

    def mark_answered(self, at_s):
        """Notes when a request with the part was answered completely.

        :param at_s: time in seconds.
        """
        self.answered_s = max(at_s, self.answered_s or at_s)


class PartJudge:
    """Decides which prompt parts are refused.

    :param requests: ``suspect_tables.SuspectTable`` of whole requests.
    :ivar parts: ``suspect_tables.SuspectTable`` of parts.
    """

    def __init__(self, requests):
        self._requests = requests
        self.parts = suspect_tables.SuspectTable(self._create_suspect, MAX_PARTS)
        self._answered = collections.OrderedDict()
        self._response_counts = collections.Counter()
        self._refused = frozenset()
        self._blamed = {}
        self._judged_s = None

    def _create_suspect(self, key):
        _, service = prompt_parts.split_key(key)
        suspect = PartSuspect(service=service)
        if key in self._answered:
            suspect.record_answer(1, self._answered[key])
        return suspect

    def select(self, keys, count):
        """Selects the parts of a lost request that most likely crash servers.

        :param keys: keys of its parts.
        :param count: largest number.
        :return: list of keys, those without a complete response first.
        """
        ranked = sorted(keys, key=lambda key: key in self._answered)
        return list(dict.fromkeys(ranked))[:count]

    def record_crash(self, suspect):
        """Prepares for a further crash of a part.

        :param suspect: ``PartSuspect``.
        """
        self._judged_s = None
        if not suspect.list_streak():
            suspect.answer_mark = self._response_counts[suspect.service]

    def record_response(self, service, keys, at_s):
        """Records a complete response.

        :param service: name of the service.
        :param keys: keys of the parts of its request.
        :param at_s: time in seconds.
        """
        self._response_counts[prompt_parts.build_scope(service)] += 1
        for key in keys[:MAX_ANSWERED_PER_RESPONSE]:
            self._answered[key] = at_s
            self._answered.move_to_end(key)
        while len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)
        for key in keys if len(self.parts) else ():
            suspect = self.parts.get(key)
            if suspect is not None:
                suspect.record_answer(1, at_s)
                self._judged_s = None

    def record_peer_responses(self, suspect, source, count, now_s):
        """Records how many complete responses with a part a peer has got.

        :param suspect: ``PartSuspect``.
        :param source: name of the peer or group.
        :param count: number of responses.
        :param now_s: current time in seconds.
        """
        previous = suspect.peer_responses.get(source)
        if count == previous:
            return
        # The first report may count responses from before the crashes only.
        first_s = min(known.known_s for known in suspect.crashes.values())
        at_s = now_s if previous is not None and count > previous else first_s - 1.0
        suspect.mark_answered(at_s)
        self._judged_s = None

    def needs_storing(self, suspect):
        """Tells whether the crashes of a part must outlive this entry.

        :param suspect: ``PartSuspect``.
        :return: ``False`` for a single crash, which most parts of lost requests have.
        """
        return len(suspect.crashes) > 1 and self._has_evidence(suspect)

    def needs_restating(self, suspect):
        """Tells whether more speaks against a part now than the store has.

        :param suspect: ``PartSuspect`` that is refused.
        """
        count = self.count_others(suspect)
        return suspect.stored_responses < MIN_OTHER_RESPONSES <= count

    def _has_evidence(self, suspect):
        # The service answers, but no request with the part.
        return suspect.answered_s is None and self.count_others(suspect) > 0

    def count_others(self, suspect):
        """Counts the complete responses that a part without any stands out against.

        :param suspect: ``PartSuspect``.
        """
        count = self._response_counts[suspect.service]
        return count if count >= MIN_HISTORY else count - suspect.answer_mark

    def list_refused(self, now_s):
        """Lists the parts that no request may be sent with.

        :param now_s: current time in seconds.
        :return: frozen set of keys.
        """
        if not self.parts.repeated:
            self._refused = frozenset()
            self._blamed = {}
        elif self._judged_s is None or now_s - self._judged_s >= JUDGE_INTERVAL_S:
            self._judged_s = now_s
            self._refused = frozenset(self._judge(now_s))
        return self._refused

    @property
    def blamed(self):
        """``PartSuspect`` by key of those convicted that no response has had."""
        return self._blamed

    def _list_convicted(self):
        everyone = [*self._requests.repeated.values(), *self.parts.repeated.values()]
        return [item for item in everyone if item.is_convicted]

    def _judge(self, now_s):
        convicted = self._list_convicted()
        self._blamed = {
            key: suspect
            for key, suspect in self.parts.repeated.items()
            if suspect.answered_s is None and suspect.is_convicted
        }
        for key, suspect in self.parts.repeated.items():
            if not suspect.is_convicted:
                continue
            # A rival that shows up later speaks for no part that is refused already.
            is_ripe = key in self._refused or self._is_ripe(suspect, convicted, now_s)
            unexplained = suspects.count_unexplained(suspect, convicted)
            if not is_ripe or unexplained < suspects.MAX_CRASHES:
                continue
            if key not in self._refused:
                suspect.refused_count = len(suspect.crashes)
            yield key

    def _is_ripe(self, suspect, convicted, now_s):
        if suspect.answered_s is None:
            stored = sum(known.is_stored for known in suspect.crashes.values())
            is_proved = suspect.stored_responses >= MIN_OTHER_RESPONSES
            if stored >= suspects.MAX_CRASHES and is_proved:
                return True
            has_rival = suspects.has_rival(suspect, convicted)
            if not has_rival and self._has_evidence(suspect):
                return True
        others = self._response_counts[suspect.service] - suspect.answer_mark
        streak = suspect.list_streak()
        if others >= MIN_OTHER_RESPONSES:
            return now_s >= streak[suspects.MAX_CRASHES - 1] + PATIENCE_S
        # Servers that lose power together end at once, and harm nobody afterwards.
        is_long = streak[-1] - streak[0] >= MIN_OUTAGE_S
        return is_long and len(streak) >= MIN_OUTAGE_CRASHES

    def is_due_for_trial(self, suspect, now_s):
        """Tells whether one request with a refused part may be sent, as a trial.

        :param suspect: ``PartSuspect``.
        :param now_s: current time in seconds.
        """
        count = len(suspect.crashes)
        has_rival = suspects.has_rival(suspect, self._list_convicted())
        if suspect.answered_s is None and not has_rival:
            interval_s = CERTAIN_TRIAL_INTERVAL_S
            may_crash = count <= MAX_CRASHES_BEFORE_TRIAL
        else:
            interval_s = TRIAL_INTERVAL_S
            may_crash = count - suspect.refused_count < MAX_CRASHES_SINCE_REFUSAL
        if not may_crash:
            return False
        return now_s - max(suspect.newest_s, suspect.trial_s or 0.0) >= interval_s
