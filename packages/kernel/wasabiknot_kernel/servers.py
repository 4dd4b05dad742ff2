"""One backend server as an entry sees it."""

import msgspec

from wasabiknot_kernel import arrivals, registrations

# Pause before a backend server that could not be reached is tried again; it
# doubles with each failure up to the longest one.
FIRST_AVOID_S = 0.3
LONGEST_AVOID_S = 4.0
FAILURE_WEIGHT = 0.15
# A send without any sign of life for this long, and this many times the time
# expected, marks the backend server as stalled.
STALL_S = 1.0
STALL_FACTOR = 4.0


class Send(msgspec.Struct, eq=False):
    """A request at a backend server.

    :param ticket: the request.
    :param sent_s: time at which it was sent.
    :param ahead_tokens: prompt tokens that are read before its first event, its
        own included.
    :param prompt_tokens: prompt tokens that it adds.
    :param expected_s: time expected to its first event.
    :param first_s: time of its first event, or ``None``.
    """

    ticket: arrivals.Ticket
    sent_s: float
    ahead_tokens: float
    prompt_tokens: float
    expected_s: float
    first_s: float | None = None


class PeerUse(msgspec.Struct, frozen=True, array_like=True):
    """What one entry has at one backend server.

    :param running: requests.
    :param unread_tokens: prompt tokens of those without a first event.
    """

    running: int
    unread_tokens: int


class Server:
    """A backend server: its registration, load and health.

    :param registration: ``registrations.Registration``.
    :param is_engine: whether it is a model engine.
    :param pace: ``paces.Pace`` to begin with.
    """

    def __init__(self, registration, is_engine, pace):
        self.registration = registration
        self.is_engine = is_engine
        self.pace = pace
        self.sends = {}
        self.peers = {}
        self.is_gone = False
        # Time until which it is slow after its start.
        self.warm_until_s = 0.0
        self.failure_rate = 0.0
        self.failures_in_turn = 0
        self.avoid_until_s = 0.0
        self.kept = {}
        # Requests that it stated in its newest answer, running and waiting.
        self.reported = 0
        # Own requests as the peers know them.
        self.announced = 0
        # Whether a mate has just found it unreachable, stalled or rejecting.
        self.is_shunned = False

    @property
    def server_id(self):
        """Its id."""
        return self.registration.server_id

    @property
    def slots(self):
        """Requests that it runs at once."""
        return self.registration.slots

    @property
    def is_leaving(self):
        """Whether it takes no new work."""
        state = self.registration.state
        return self.is_gone or state is registrations.ServerState.LEAVING

    def count_running(self):
        """Counts the requests of all entries.

        :return: their number.
        """
        return len(self.sends) + sum(use.running for use in self.peers.values())

    def count_own_unread(self):
        """Counts the prompt tokens of this entry that wait to be read.

        :return: tokens.
        """
        return sum(
            send.prompt_tokens for send in self.sends.values() if send.first_s is None
        )

    def count_unread(self):
        """Counts the prompt tokens of all entries that wait to be read.

        :return: tokens.
        """
        others = sum(use.unread_tokens for use in self.peers.values())
        return self.count_own_unread() + others

    def is_stalled(self, now_s):
        """Whether it has given no sign of life for too long.

        :param now_s: present time.
        :return: ``True`` if a send waits far longer than expected.
        """
        for send in self.sends.values():
            waited_s = now_s - send.sent_s
            limit_s = max(STALL_S, STALL_FACTOR * send.expected_s)
            if send.first_s is None and waited_s > limit_s:
                return True
        return False

    def is_avoided(self, now_s):
        """Whether it is left alone for the moment.

        :param now_s: present time.
        :return: ``True`` after failures, or while it is stalled.
        """
        return self.is_shunned or self.is_faulty(now_s)

    def is_faulty(self, now_s):
        """Whether this entry itself has found it to be faulty.

        :param now_s: present time.
        :return: ``True`` after failures, or while it is stalled.
        """
        return now_s < self.avoid_until_s or self.is_stalled(now_s)

    def note_success(self):
        """Notes an answer that was whole."""
        self.failures_in_turn = 0
        self.avoid_until_s = 0.0
        self.failure_rate -= self.failure_rate * FAILURE_WEIGHT

    def note_rejection(self, now_s):
        """Notes that it took a request for one too many, or not for its own.

        :param now_s: present time.
        """
        self._avoid(now_s)

    def record_failure(self, now_s, is_avoided):
        """Notes an answer that failed or did not come.

        :param now_s: present time.
        :param is_avoided: whether it is left alone for a while.
        """
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_WEIGHT
        if is_avoided:
            self._avoid(now_s)

    def _avoid(self, now_s):
        pause_s = FIRST_AVOID_S * 2**self.failures_in_turn
        self.avoid_until_s = now_s + min(pause_s, LONGEST_AVOID_S)
        self.failures_in_turn = min(self.failures_in_turn + 1, 5)
