"""Load and health of a backend server, as known to one entry."""

import math

import msgspec

from wasabiknot_kernel import arrivals, eligibility, registrations, server_paces

# Backoff before a failed backend server is used again. It doubles with each
# consecutive failure, up to the maximum.
INITIAL_BACKOFF_S = 0.3
MAX_BACKOFF_S = 4.0
# Weight of one request in the moving average of the failure rate.
FAILURE_WEIGHT = 0.15
# A backend server counts as stalled when a send has waited for its first event for
# longer than both this time and this multiple of the expected time.
MIN_STALL_S = 1.0
STALL_FACTOR = 4.0
# Longest silence of a sound backend server. One that is silent for longer may have lost
# the requests that wait there, and answer others.
MAX_SILENCE_S = 2.0
# Time constant with which the reported load of other entries decays: their requests
# end, and digests account for a part of them.
OTHER_LOAD_FADING_S = 0.5
MAX_OTHER_LOAD_AGE_S = 2.0


class Send(msgspec.Struct, eq=False):
    """A request in flight at a backend server.

    :param ticket: the request.
    :param sent_s: time at which it was sent, in seconds.
    :param queued_prefill_tokens: uncached prompt tokens that the server must read
        before the first event, those of this request included.
    :param prefill_tokens: uncached prompt tokens of this request.
    :param expected_first_event_s: expected seconds from the send to the first event.
    :param first_event_s: time of the first event, in seconds; ``None`` before it.
    """

    ticket: arrivals.Ticket
    sent_s: float
    queued_prefill_tokens: float
    prefill_tokens: float
    expected_first_event_s: float
    first_event_s: float | None = None


class PeerLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load that one entry puts on one backend server.

    :param running: requests in flight.
    :param pending_prefill_tokens: uncached prompt tokens of the requests that wait
        for their first event.
    """

    running: int
    pending_prefill_tokens: int


class Server:
    """A backend server with its registration, load and health.

    :param registration: ``registrations.Registration``.
    :param is_engine: whether the server is a model engine.
    :param service_times: initial ``service_times.ServiceTimes``.
    :param server_eligibility: ``eligibility.Eligibility``; an empty one by default.
    """

    def __init__(self, registration, is_engine, service_times, server_eligibility=None):
        self._eligibility = server_eligibility or eligibility.Eligibility()
        self.registration = registration
        self.is_engine = is_engine
        self.service_times = service_times
        self.sends = {}
        self.peer_loads = {}
        # Set when the server is no longer registered but has requests in flight.
        self.is_gone = False
        # End of the warm-up after its start, during which it is slow.
        self.warm_until_s = 0.0
        self.failure_rate = 0.0
        self.consecutive_failures = 0
        self.avoid_until_s = 0.0
        self.cached_parts = {}
        # Time of the newest bytes from it, and newest time since which a request that
        # has waited too long has got nothing.
        self._heard_s = -math.inf
        self._silent_since_s = -math.inf
        # Address at which another backend server has answered for this one.
        self.lost_address = None
        # Running and waiting requests, as stated in its newest response.
        self.reported_load = 0
        self.pace = server_paces.ServerPace()
        # Requests beyond those known here in the newest load with a pace, and its time.
        self._other_load = 0
        self._load_reported_s = -math.inf
        # Requests in flight in the last digest that this entry built.
        self.advertised_sends = 0
        # Whether the current digest of a peer in the group lists it as faulty, that
        # is, unreachable, stalled or rejecting requests.
        self.is_faulty_at_peer = False

    @property
    def server_id(self):
        """Id of the server."""
        return self.registration.server_id

    @property
    def slots(self):
        """Number of requests that the server runs concurrently."""
        return self.registration.slots

    @property
    def is_retired(self):
        """Whether the server gets no new requests: it is ending or drained."""
        return self.is_ending or self.is_drained

    @property
    def is_drained(self):
        """Whether operators have drained the failure domain of the server."""
        return self.registration.domain in self._eligibility.drains.domains

    @property
    def is_ending(self):
        """Whether the server leaves, is gone or was replaced."""
        registration = self.registration
        if self.is_gone or self.lost_address == registration.address:
            return True
        if registration.state is registrations.ServerState.LEAVING:
            return True
        return self._eligibility.is_leaving(self.server_id, registration.started_ms)

    @property
    def pace_ms(self):
        """Time between two events, or of a plain request, in milliseconds."""
        times = self.service_times
        average = times.event_interval_ms if self.is_engine else times.plain_ms
        return average.value

    def count_running(self):
        """Counts the requests that all entries have in flight at the server.

        :return: number of requests.
        """
        return len(self.sends) + sum(load.running for load in self.peer_loads.values())

    def record_load(self, load, now_s):
        """Records the load that the server has stated in a response to this entry.

        What this entry and its peers have sent is known here, and counts in full. A
        report says how much others have sent as well.

        :param load: ``arrivals.ReportedLoad``.
        :param now_s: current time, in seconds.
        :return: whether the server has become slow by its pace, or has recovered.
        """
        if load.running is not None:
            self.reported_load = load.running + (load.waiting or 0)
        if load.pace is None:
            return False
        is_changed = self.pace.record(load.pace, now_s)
        if load.running is not None:
            self._other_load = max(0, self.reported_load - self.count_running())
            self._load_reported_s = now_s
        return is_changed

    def estimate_other_load(self, now_s):
        """Estimates the requests that others have placed, by the newest report.

        :param now_s: current time, in seconds.
        :return: number of requests beyond those of ``count_running``.
        """
        age_s = max(0.0, now_s - self._load_reported_s)
        if not self._other_load or age_s > MAX_OTHER_LOAD_AGE_S:
            return 0.0
        return self._other_load * math.exp(-age_s / OTHER_LOAD_FADING_S)

    def estimate_past_pace(self, now_s):
        """Estimates the pace at which work was done that has just ended.

        :param now_s: current time, in seconds.
        :return: multiple of the usual time; 1 for a server that states none.
        """
        return self.pace.estimate(now_s, server_paces.PAST_PRIOR_WEIGHT)

    def count_own_pending_prefill(self):
        """Counts the prompt tokens of this entry that await prefill.

        :return: tokens.
        """
        return sum(
            send.prefill_tokens
            for send in self.sends.values()
            if send.first_event_s is None
        )

    def count_pending_prefill(self):
        """Counts the prompt tokens of all entries that await prefill.

        :return: tokens.
        """
        others = sum(load.pending_prefill_tokens for load in self.peer_loads.values())
        return self.count_own_pending_prefill() + others

    def is_stalled(self, now_s):
        """Whether a send has waited too long for its first event.

        :param now_s: current time, in seconds.
        :return: ``True`` if the server counts as stalled.
        """
        for send in self.sends.values():
            waited_s = now_s - send.sent_s
            limit_s = max(MIN_STALL_S, STALL_FACTOR * send.expected_first_event_s)
            if send.first_event_s is None and waited_s > limit_s:
                return True
        return False

    def is_avoided(self, now_s):
        """Whether new requests should go to other servers for now.

        :param now_s: current time, in seconds.
        :return: ``True`` if this entry or a peer in its group found the server faulty.
        """
        return self.is_faulty_at_peer or self.is_faulty(now_s)

    def is_faulty(self, now_s):
        """Whether this entry itself has found the server faulty.

        :param now_s: current time, in seconds.
        :return: ``True`` during the backoff after failures, or while silent or stalled.
        """
        if now_s < self.avoid_until_s or self.is_stalled(now_s):
            return True
        return self._is_silent(now_s)

    def _is_silent(self, now_s):
        # A server that answers others meanwhile has lost that one request.
        if not self.sends:
            return False
        is_recent = now_s - self._silent_since_s < MAX_SILENCE_S
        return is_recent and self._heard_s <= self._silent_since_s

    def was_heard_since(self, since_s):
        """Whether the server has sent bytes of any response since a time.

        :param since_s: time in seconds.
        :return: ``False`` if it is silent.
        """
        return self._heard_s > since_s

    def record_silence(self, since_s):
        """Records that a request has waited too long for the server to go on.

        :param since_s: time of its send or of its newest event, in seconds.
        """
        self._silent_since_s = max(self._silent_since_s, since_s)

    def record_life(self, now_s):
        """Records bytes of a response.

        :param now_s: current time, in seconds.
        """
        self._heard_s = now_s

    def record_replacement(self):
        """Records that another backend server has the address of this one."""
        self.lost_address = self.registration.address

    def record_success(self):
        """Records a complete response."""
        self.consecutive_failures = 0
        self.avoid_until_s = 0.0
        self.failure_rate -= self.failure_rate * FAILURE_WEIGHT

    def record_rejection(self, now_s):
        """Records that the server rejected a request.

        The server was overloaded or not responsible for the request, so this starts
        a backoff and leaves the failure rate unchanged.

        :param now_s: current time, in seconds.
        """
        self._back_off(now_s)

    def record_failure(self, now_s, is_backed_off):
        """Records a failed or missing response.

        :param now_s: current time, in seconds.
        :param is_backed_off: whether the failure starts a backoff: the server did not
            respond at all, or without end.
        """
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_WEIGHT
        if is_backed_off:
            self._back_off(now_s)

    def forget_failures(self):
        """Ends the backoff, as the failures were those of the path to the server."""
        self.consecutive_failures = 0
        self.avoid_until_s = 0.0
        self._silent_since_s = -math.inf

    def _back_off(self, now_s):
        backoff_s = INITIAL_BACKOFF_S * 2**self.consecutive_failures
        self.avoid_until_s = now_s + min(backoff_s, MAX_BACKOFF_S)
        self.consecutive_failures = min(self.consecutive_failures + 1, 5)
