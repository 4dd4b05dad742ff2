"""Judges whether a request has ended the backend servers that crashed while running it.

A harmless request is in flight during a crash now and then. What speaks for it are
complete responses since its first crash, or another request that was in flight during
the same crashes and has done worse. Earlier responses say nothing: a request can become
harmful, and two callers of a customer can send the same content to different effect.
"""

import msgspec

from wasabiknot_kernel import statements

# Number of crashes after which a request is refused. A harmless request can be in
# flight during two crashes that another request causes; three are very unlikely.
MAX_CRASHES = 3
# Each crash takes this many times as many complete responses to outweigh, so a request
# that crashes any fixed share of its backend servers is refused after a few crashes.
RESPONSES_PER_CRASH = 4
# A refused request that has succeeded since its first crash is tried again now and
# then, until it has crashed this many more backend servers.
MAX_TRIAL_CRASHES = 2
# Interval between two trials, and between a crash and the next trial.
TRIAL_INTERVAL_S = 3.0
# Successful trials after which the request is served again.
TRIALS_TO_CLEAR = 3


class KnownCrash(msgspec.Struct):
    """A crash and where it is known.

    :param crash: ``crash_records.Crash``.
    :param known_s: time at which this entry learnt of it, in seconds.
    :param channel: ``statements.Channel`` by which this entry has learnt of it; the
        store counts as another group.
    :param is_stored: whether the store keeps it.
    :param reported_s: time of the newest report, by the channels of the digest.
    """

    crash: object
    known_s: float
    channel: statements.Channel
    is_stored: bool = False
    reported_s: dict[frozenset[statements.Channel], float] = {}

    @property
    def is_own(self):
        """Whether this entry has observed it."""
        return self.channel is statements.Channel.OWN


class Suspect(msgspec.Struct):
    """A request during which backend servers have crashed.

    :param crashes: ``KnownCrash`` by id and start time of the backend server.
    :param responses: complete responses through this entry since the first crash.
    :param peer_responses: the same through peers, by name of the peer or group.
    :param stored_responses: the responses that the store has with the crashes.
    :param trial_s: time of the latest trial of this entry, in seconds.
    :param logged: number of crashes and reason of the latest logged clearance.
    :param is_explained: whether a refused part of other requests explains its crashes.
    """

    crashes: dict[str, KnownCrash] = {}
    responses: int = 0
    peer_responses: dict[str, int] = {}
    stored_responses: int = 0
    trial_s: float | None = None
    logged: tuple | None = None
    is_explained: bool = False

    is_part = False

    @property
    def response_count(self):
        """Complete responses through all entries since the first crash."""
        known = self.responses + sum(self.peer_responses.values())
        return max(known, self.stored_responses)

    @property
    def is_outweighed(self):
        """Whether the complete responses outweigh the crashes."""
        return self.response_count >= RESPONSES_PER_CRASH ** len(self.crashes)

    @property
    def newest_s(self):
        """Time at which the newest crash became known, in seconds."""
        return max(known.known_s for known in self.crashes.values())

    @property
    def is_convicted(self):
        """Whether there are enough crashes to refuse the request."""
        return len(self.crashes) >= MAX_CRASHES and not self.is_outweighed

    @property
    def is_doubtful(self):
        """Whether a crash may be the fault of the request."""
        return not self.is_outweighed

    @property
    def trial_weight(self):
        """Number of complete responses that one successful trial counts as."""
        return -(-(RESPONSES_PER_CRASH ** len(self.crashes)) // TRIALS_TO_CLEAR)

    def explains(self, other):
        """Tells whether the crashes of another request are rather those of this one.

        :param other: ``Suspect``.
        :return: ``True`` if this one has more crashes and no more responses, or as
            many crashes and fewer responses; for a part, if this one has fewer
            responses, or as many and more crashes.
        """
        if other.is_part:
            is_better = self.rank < other.rank
        elif self.response_count > other.response_count:
            is_better = False
        elif len(self.crashes) == len(other.crashes):
            is_better = self.response_count < other.response_count
        else:
            is_better = len(self.crashes) > len(other.crashes)
        return is_better and self.is_convicted

    @property
    def rank(self):
        """Order in which suspects are believed to have caused the same crashes."""
        return (self.response_count, -len(self.crashes))

    def is_due_for_trial(self, now_s, has_rival=False):
        """Tells whether a refused request may be sent once, as a trial.

        :param now_s: current time in seconds.
        :param has_rival: whether a refused part of other requests was in flight at the
            same crashes.
        """
        if not self.response_count and not has_rival:
            return False
        if len(self.crashes) >= MAX_CRASHES + MAX_TRIAL_CRASHES:
            return False
        return now_s - max(self.newest_s, self.trial_s or 0.0) >= TRIAL_INTERVAL_S


def has_rival(suspect, others):
    """Tells whether another suspect may as well have caused the crashes of one.

    It has had no complete response and shares some crashes, which aren't explained.

    :param suspect: ``Suspect``.
    :param others: iterable of ``Suspect`` items.
    """
    return any(
        item is not suspect
        and not item.response_count
        and not item.crashes.keys().isdisjoint(suspect.crashes)
        and not suspect.explains(item)
        for item in others
    )


def count_unexplained(suspect, others):
    """Counts the crashes of a request that no other request explains.

    :param suspect: ``Suspect``.
    :param others: iterable of all ``Suspect`` items.
    :return: number of crashes.
    """
    explaining = [item for item in others if item.explains(suspect)]
    return sum(
        not any(server in item.crashes for item in explaining)
        for server in suspect.crashes
    )
