"""Assigns the requests of a service to backend servers and queues the others.

Engines admit every request that they receive. The entries therefore limit the
requests in flight at an engine to its slots, summed over all entries, and queue
the others by priority.
"""

import collections
import math

from wasabiknot_kernel import (
    assignments,
    choosers,
    customer_shares,
    durations,
    eligibility,
    estimates,
    exceptions,
    group_servers,
    outcomes,
    queue_orders,
    regions,
    request_admission,
    resends,
    server_scores,
    servers,
    service_times,
    slot_claims,
    slot_shares,
)

MAX_CACHED_PARTS = 512
# Events of a stream between two samples of its event interval.
PROGRESS_EVENTS = 4
# Margin on the expected time to the first event when the queue is ordered, so that
# the requests sent first meet their objectives.
FIRST_EVENT_MARGIN = 2.0
AVERAGE_WEIGHT = 0.02
# Time for which a request occupies a slot, before the first samples, and their weight.
INITIAL_HOLD_S = 1.0
HOLD_WEIGHT = 0.05
# Longer samples of plain requests are clipped to this value.
MAX_PLAIN_SAMPLE_MS = 2_000.0
# Fraction of its slots that a backend server of another group must have free to be
# used, and the number of such servers that are compared.
MIN_REMOTE_FREE_FRACTION = 0.3
REMOTE_SAMPLE_SIZE = 3
# Maximum number of requests in flight at a plain backend server, per slot.
PLAIN_REQUESTS_PER_SLOT = 1.0
# Sliding window over which sent requests are counted to estimate the queue's rate.
RATE_WINDOW_S = 1.5
# Assumed interval between two sends when no backend server is available.
DEFAULT_SEND_INTERVAL_S = 0.05
# Probability that a sound server lets plain requests wait as long as they have, below
# which they may leave it.
MAX_SOUND_PROBABILITY = 0.01
# Reason to refuse a request that waits.
DRAINED = "all servers are in drained failure domains"
NO_REGION = "no server in an allowed region"
# Reason to leave a request at a silent server.
MAY_STILL_RUN = "may still run"
# Reason for no other send, silent or slow as the server may be.
NO_SERVER = "no other server"
# A server that takes no request for longer than this, by its limit or the retry time
# that it has stated, doesn't keep requests from trying servers in a backoff.
LONG_STATED_WAIT_S = 1.0
# Bounds on the retry time of a refusal, before jitter.
MIN_RETRY_AFTER_S = 0.25
MAX_RETRY_AFTER_S = 4.0


def _is_returning(ticket):
    # It waits for a server that it was sent to before; others are free for the rest.
    return ticket.sends >= ticket.route.attempts


class Dispatcher:
    """Queues the requests of one service and assigns them to backend servers.

    :param service: service name.
    :param rng: ``random.Random``.
    :param chooser: ``choosers.Chooser``; ``choosers.EarliestEvent`` by default.
    :param server_eligibility: ``eligibility.Eligibility``; an empty one by default.
    """

    def __init__(self, service, rng, chooser=None, server_eligibility=None):
        self.service = service
        self.is_engine = False
        # Whether its servers fall over if they have to reject requests.
        self.is_brittle = False
        # Sorted names of all entries, which divide the slots of brittle servers, and
        # number of those of the group.
        self.all_entries = ()
        self.group_size = 1
        # Whether the last digest has told the group of queued requests.
        self.is_waiting_advertised = False
        self.servers = {}
        # Incremented whenever a backend server is registered or removed.
        self.servers_version = 0
        # Function of a ticket, a list of servers and the time; returns the servers
        # whose version may run the request. None for no selection.
        self.select = None
        # Function of a ticket and the time; returns what forbids to send the request to
        # a backend server, or None. None for no check.
        self.find_refused = None
        # Function that is called when a request is sent to an engine, or ends there.
        # None for no calls.
        self.handle_load_change = None
        self._rng = rng
        self._chooser = chooser or choosers.EarliestEvent()
        self._eligibility = server_eligibility or eligibility.Eligibility()
        self._waiting = {}
        self._send_times_s = collections.deque()
        # Fraction of each engine's slots that this entry may use. It is below 1
        # while this entry receives digests from only a minority of the entries.
        self.slot_share = 1.0
        # Ids of the backend servers that this entry's group uses first; None for
        # all servers.
        self.group_servers = None
        # Ids of the backend servers of other groups whose loads are known here; None
        # for all of them.
        self.remote_servers = None
        # Sorted names of the entries of the group that have queued requests for
        # this service; this entry is always included.
        self.waiting_entries = ()
        self.name = ""
        # Failure domain of this entry; empty if it doesn't matter.
        self.domain = ""
        self.region_map = regions.RegionMap()
        # Versions of the groups, servers and drains from which group_servers follows.
        self.group_servers_key = None
        # Output tokens per stream event.
        self.event_tokens = 1
        self._durations = durations.Durations()
        # Average time for which a request occupies a slot.
        self._average_hold_s = estimates.MovingAverage(INITIAL_HOLD_S, HOLD_WEIGHT)
        # Average over all backend servers: the first event factor of engines, or
        # the duration of a plain request in milliseconds.
        self._average_first_event = estimates.MovingAverage(1.0, AVERAGE_WEIGHT)
        self.order = queue_orders.QueueOrder(
            self._estimate_first_event_s, self.estimate_work_s
        )
        # ``slot_claims.SlotClaims``; None without fair queueing.
        self._claims = None
        # ``slot_claims.QueueHead`` in the last digest.
        self._advertised_head = None
        self.order.is_by_rank = self._chooser.orders_by_rank

    def set_engine(self, engine):
        """Sets the engine parameters of the service.

        :param engine: ``routes.Engine``; ``None`` for a plain service.
        """
        self.is_engine = engine is not None
        self.event_tokens = engine.event_tokens if engine is not None else 1
        for server in self.servers.values():
            server.is_engine = self.is_engine

    def register(self, registration):
        """Adds or updates a backend server.

        A changed start time means a restart, which discards the server's state.

        :param registration: ``registrations.Registration``.
        """
        self.servers_version += 1
        server = self.servers.get(registration.server_id)
        if server is None or server.registration.started_ms != registration.started_ms:
            self.servers[registration.server_id] = servers.Server(
                registration,
                self.is_engine,
                self._create_service_times(),
                self._eligibility,
            )
            return
        server.registration = registration
        server.is_gone = False

    def remove(self, server_id):
        """Removes a backend server, after its requests in flight have ended.

        :param server_id: id of the backend server.
        """
        server = self.servers.get(server_id)
        if server is None:
            return
        self.servers_version += 1
        server.is_gone = True
        if not server.sends:
            del self.servers[server_id]

    def _create_service_times(self):
        measured = [
            item.service_times
            for item in self.servers.values()
            if item.service_times.is_measured
        ]
        if not measured:
            return service_times.create_service_times()
        measured.sort(key=lambda i: (i.first_event_factor.value, i.plain_ms.value))
        median = measured[len(measured) // 2]
        return service_times.create_service_times(
            median.first_event_factor.value,
            median.event_interval_ms.value,
            median.plain_ms.value,
        )

    def __len__(self):
        return len(self._waiting)

    def list_waiting(self):
        """Lists the queued requests.

        :return: list of ``arrivals.Ticket``.
        """
        return list(self._waiting.values())

    def submit(self, ticket, now_s):
        """Queues or refuses a request, then sends what can be sent.

        :param ticket: ``arrivals.Ticket``.
        :param now_s: current time, in seconds.
        :return: list of ``assignments.Assignment`` and ``assignments.Refusal``.
        """
        refused = self._find_refusal(ticket, now_s)
        if refused is not None:
            return [refused]
        self._waiting[id(ticket)] = ticket
        decisions = self.dispatch_waiting(now_s)
        if self._claims is not None and id(ticket) in self._waiting:
            self._announce_urgency(ticket, now_s)
        return decisions

    def _announce_urgency(self, ticket, now_s):
        head = self._advertised_head
        urgency = self.order.compute_urgency(ticket, now_s)
        if head is None or urgency < head.urgency:
            self._announce_load()

    def advertise_queue_head(self, now_s):
        """Builds the head of the queue for the next digest.

        :param now_s: current time, in seconds.
        :return: ``slot_claims.QueueHead``; ``None`` if nothing waits, or without fair
            queueing.
        """
        self._advertised_head = self.build_queue_head(now_s)
        return self._advertised_head

    def withdraw(self, ticket):
        """Removes a request from the queue.

        :param ticket: ``arrivals.Ticket``.
        :return: whether the request was queued.
        """
        return self._waiting.pop(id(ticket), None) is not None

    def _find_harmful_refusal(self, ticket, now_s):
        if ticket.is_trial and not ticket.sends or self.find_refused is None:
            return None
        key = self.find_refused(ticket, now_s)
        return None if key is None else assignments.create_harmful_refusal(ticket, key)

    def _find_refusal(self, ticket, now_s):
        harmful = self._find_harmful_refusal(ticket, now_s)
        if harmful is not None:
            return harmful
        if ticket.is_begun:
            return None
        open_servers = self._list_open(ticket)
        if not open_servers:
            no_worker = exceptions.ErrorKind.NO_WORKER
            reason = "no server" if ticket.allowed_regions is None else NO_REGION
            return self._create_refusal(ticket, no_worker, reason)
        delay = self._estimate_delay(ticket, self._list_ahead(ticket, now_s), now_s)
        ahead = delay.ahead
        early = self._find_early_refusal(ticket, delay, now_s)
        if early is not None:
            return early
        stated_wait_s = self._estimate_stated_wait_s(open_servers, ahead + 1, now_s)
        if stated_wait_s > request_admission.compute_max_wait_s(ticket):
            reason = f"{ahead} wait, servers take none for {stated_wait_s:.2f} s"
            kind = exceptions.ErrorKind.QUEUE_FULL
            return self._create_refusal(ticket, kind, reason, now_s, stated_wait_s)
        if not ahead:
            return None
        if delay.wait_s > request_admission.compute_max_wait_s(ticket):
            reason = f"{ahead} wait, {delay.wait_s:.2f} s"
            kind = exceptions.ErrorKind.QUEUE_FULL
            return self._create_refusal(ticket, kind, reason, now_s, delay=delay)
        return None

    def _estimate_stated_wait_s(self, candidates, count, now_s):
        if not self._eligibility.has_waits:
            return 0.0
        server_ids = [item.server_id for item in candidates]
        return self._eligibility.estimate_wait_s(server_ids, count, now_s)

    def _list_ahead(self, ticket, now_s):
        waiting = [
            item
            for item in self._waiting.values()
            if not _is_returning(item) and not resends.is_backing_off(item, now_s)
        ]
        return self.order.list_ahead(ticket, waiting, now_s)

    def _estimate_delay(self, ticket, ahead, now_s):
        if self.order.shares is not None and self.is_engine:
            return self._estimate_fair_delay(ticket, ahead, now_s)
        interval_s = self._estimate_send_interval_s(now_s) if ahead else 0.0
        wait_s = len(ahead) * interval_s
        return request_admission.Delay(len(ahead), wait_s, interval_s)

    def _estimate_fair_delay(self, ticket, ahead, now_s):
        urgency = self.order.compute_urgency(ticket, now_s)
        interval_s = self._estimate_slot_interval_s()
        peers_ahead = self._claims.count_as_urgent(urgency, now_s)
        return request_admission.estimate_delay(
            ticket, ahead, peers_ahead, self.order.shares, interval_s, now_s
        )

    def _find_early_refusal(self, ticket, delay, now_s):
        # A caller that retries before its retry time would displace those that wait.
        # Requests with the same content can't be told apart, so only customers above
        # their shares are refused for it, and no request that was sent before.
        retries = self.order.caller_retries
        if retries is None or not delay.ahead or ticket.sends:
            return None
        key = customer_shares.find_key(ticket)
        if not self.order.shares.is_above_share(key, now_s):
            return None
        remaining_s = retries.find_remaining_s(ticket)
        if not remaining_s:
            return None
        reason = f"{delay.ahead} wait, retried {remaining_s:.2f} s too early"
        kind = exceptions.ErrorKind.QUEUE_FULL
        return assignments.Refusal(ticket, kind, remaining_s, reason)

    def set_fair_queueing(self, is_fair):
        """Sets whether customers have shares in the engine time of the service.

        :param is_fair: ``False`` to order requests by rank and arrival only.
        """
        if is_fair == (self.order.shares is not None):
            return
        shares = customer_shares.ServiceShares(self.service) if is_fair else None
        self.order.shares = shares
        self.order.caller_retries = (
            request_admission.CallerRetries() if is_fair else None
        )
        self._claims = slot_claims.SlotClaims(self.name) if is_fair else None

    def build_queue_head(self, now_s):
        """Builds the head of the queue.

        :param now_s: current time, in seconds.
        :return: ``slot_claims.QueueHead``; ``None`` if nothing waits, or without fair
            queueing.
        """
        if self._claims is None or not self._waiting or not self.is_engine:
            return None
        ordered = self.order.sort(self._waiting.values(), now_s)
        urgencies = [self.order.compute_urgency(item, now_s) for item in ordered]
        return slot_claims.build_head(urgencies, now_s - ordered[0].arrived_s)

    def record_peer_head(self, source, head, now_s):
        """Records the head of the queue of a peer of the group.

        :param source: name of the peer.
        :param head: ``slot_claims.QueueHead``; ``None`` if nothing waits there.
        :param now_s: current time, in seconds.
        """
        if self._claims is not None:
            self._claims.record_head(source, head, now_s)

    def _divide_free_slots(self, now_s):
        if self._claims is None:
            return
        self.order.shares.is_capacity_short = (
            len(self._claims) > 0 or len(self._waiting) > 1
        )
        if not self.is_engine:
            return
        members = [
            item
            for item in self.servers.values()
            if not item.is_retired and self._is_of_group(item)
        ]
        if any(item.count_running() < item.slots for item in members):
            self._claims.divide(self.build_queue_head(now_s), members, now_s)

    def _is_of_group(self, server):
        return not self._is_grouped or server.server_id in self.group_servers

    def estimate_work_s(self, ticket):
        """Estimates the engine time that a request takes at reference speed.

        :param ticket: ``arrivals.Ticket``.
        :return: seconds for which it occupies a slot.
        """
        tokens = ticket.estimate_output_tokens() or 0
        event_count = math.ceil(tokens / self.event_tokens) if self.is_engine else 0
        return service_times.predict_total_ms(ticket.prompt_tokens, event_count) / 1_000

    def _estimate_send_interval_s(self, now_s):
        # An entry of a large fleet sends too few requests to tell from them how soon a
        # slot is free. Its group holds the slots of its engines, for a time that is
        # known, and shares them among the entries with queued requests.
        if self._is_grouped:
            return self._estimate_group_interval_s()
        while self._send_times_s and self._send_times_s[0] < now_s - RATE_WINDOW_S:
            self._send_times_s.popleft()
        return RATE_WINDOW_S / max(1, len(self._send_times_s))

    def _estimate_group_interval_s(self):
        entries = max(1, len(self.waiting_entries))
        return entries * self._estimate_slot_interval_s()

    def _estimate_slot_interval_s(self):
        # Time between two slots that become free in the group.
        members = [item for item in self.servers.values() if self._is_of_group(item)]
        running = sum(min(item.count_running(), item.slots) for item in members)
        return self._average_hold_s.value / max(1, running)

    def _create_refusal(
        self, ticket, kind, reason, now_s=None, stated_wait_s=0.0, delay=None
    ):
        if (
            self.order.caller_retries is not None
            and not stated_wait_s
            and now_s is not None
        ):
            return self._create_scheduled_refusal(ticket, kind, reason, delay, now_s)
        send_interval_s = (
            DEFAULT_SEND_INTERVAL_S
            if now_s is None
            else self._estimate_send_interval_s(now_s)
        )
        wait_s = (1 + len(self._waiting)) * send_interval_s
        # If this entry may not send at all, a retry through another one helps at once.
        if math.isfinite(stated_wait_s):
            wait_s = max(wait_s, stated_wait_s)
        wait_s = min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        # Servers that have named a time get nothing before its end.
        least_factor = 1.0 if stated_wait_s else 0.75
        retry_after_s = wait_s * self._rng.uniform(least_factor, 1.5)
        return assignments.Refusal(ticket, kind, retry_after_s, reason)

    def _create_scheduled_refusal(self, ticket, kind, reason, delay, now_s):
        if delay is None:
            ahead = self._list_ahead(ticket, now_s)
            delay = self._estimate_delay(ticket, ahead, now_s)
        wait_s = self.order.caller_retries.schedule(
            ticket, delay.wait_s, delay.interval_s, now_s
        )
        retry_after_s = wait_s * self._rng.uniform(*request_admission.RETRY_TIME_JITTER)
        return assignments.Refusal(ticket, kind, retry_after_s, reason)

    def dispatch_waiting(self, now_s):
        """Assigns queued requests to free slots, in queue order.

        :param now_s: current time, in seconds.
        :return: list of ``assignments.Assignment``.
        """
        decisions = []
        if not self._waiting:
            return decisions
        self._divide_free_slots(now_s)
        if not self.has_capacity(now_s):
            return decisions
        for ticket in self.order.sort(self._waiting.values(), now_s):
            if decisions and not self.has_capacity(now_s):
                break
            harmful = self._find_harmful_refusal(ticket, now_s)
            if harmful is not None:
                self.withdraw(ticket)
                decisions.append(harmful)
                continue
            decision = self._try_assign(ticket, now_s)
            if decision is not None:
                self.withdraw(ticket)
                decisions.append(decision)
        return decisions

    def refuse_expired(self, now_s):
        """Refuses the requests that have exceeded their maximum waiting time.

        :param now_s: current time, in seconds.
        :return: list of ``assignments.Refusal``.
        """
        decisions = []
        is_drained = self._is_drained()
        for ticket in self.list_waiting():
            waited_s = now_s - ticket.arrived_s
            harmful = self._find_harmful_refusal(ticket, now_s)
            if harmful is not None:
                self.withdraw(ticket)
                decisions.append(harmful)
            elif not ticket.is_begun and (is_drained or self._is_excluded(ticket)):
                self.withdraw(ticket)
                kind = exceptions.ErrorKind.NO_WORKER
                reason = DRAINED if is_drained else NO_REGION
                decisions.append(self._create_refusal(ticket, kind, reason))
            elif ticket.is_begun or resends.is_backing_off_or_due(ticket, now_s):
                continue
            elif waited_s > request_admission.compute_max_wait_s(ticket):
                self.withdraw(ticket)
                kind = exceptions.ErrorKind.QUEUE_FULL
                reason = f"waited {waited_s:.2f} s"
                decisions.append(self._create_refusal(ticket, kind, reason, now_s))
        return decisions

    def _list_open(self, ticket):
        listed = [item for item in self.servers.values() if not item.is_retired]
        allowed = ticket.allowed_regions
        if allowed is None:
            return listed
        may_run = self.region_map.may_run
        return [item for item in listed if may_run(allowed, item.registration.domain)]

    def _is_excluded(self, ticket):
        return ticket.allowed_regions is not None and not self._list_open(ticket)

    def _is_drained(self):
        # Drains last long; after other causes, servers are usually back soon.
        if not self._eligibility.drains:
            return False
        listed = self.servers.values()
        has_drained = any(item.is_drained and not item.is_ending for item in listed)
        return has_drained and all(item.is_retired for item in listed)

    def replace_silent_server(self, ticket, budget, has_time, now_s):
        """Assigns a request to another server because its own one is silent.

        A sound server may be silent for a while and go on. The request stays there
        unless nothing is missing for another send.

        :param ticket: ``arrivals.Ticket``; its sends include the silent one.
        :param budget: ``budgets.RetryBudget`` of the service.
        :param has_time: whether there is time for another send before the deadline.
        :param now_s: current time, in seconds.
        :return: ``assignments.Assignment`` or ``assignments.Stay``.
        """
        if not ticket.route.is_repeatable:
            return assignments.Stay("may run once")
        obstacle = outcomes.find_resend_obstacle(ticket, has_time)
        if obstacle:
            return assignments.Stay(obstacle)
        if self.may_still_run(ticket, now_s):
            return assignments.Stay(MAY_STILL_RUN)
        if not self.has_capacity(now_s):
            return assignments.Stay(NO_SERVER)
        chosen = self._choose_substitute(ticket, now_s)
        if chosen is None:
            return assignments.Stay(NO_SERVER)
        if not budget.try_acquire(now_s):
            return assignments.Stay(outcomes.NO_BUDGET)
        return self._assign(ticket, chosen, now_s)

    def assign_hedge(self, ticket, has_spare_slot, budget, now_s):
        """Assigns a request to another server as well, while its own one is slow.

        :param ticket: ``arrivals.Ticket``; its sends include the slow one.
        :param has_spare_slot: function of a ``servers.Server`` that tells whether it
            may get extra work.
        :param budget: ``budgets.RetryBudget`` of the service.
        :param now_s: current time, in seconds.
        :return: ``assignments.Assignment`` or ``assignments.Stay``.
        """
        chosen = self._choose_substitute(ticket, now_s, has_spare_slot)
        if chosen is None:
            return assignments.Stay(NO_SERVER)
        if not budget.try_acquire_hedge(now_s):
            return assignments.Stay(outcomes.NO_BUDGET)
        return self._assign(ticket, chosen, now_s)

    def may_still_run(self, ticket, now_s):
        """Tells whether a plain request may just take as long as it does.

        Others that wait at a server that has said nothing since tell more.

        :param ticket: ``arrivals.Ticket`` at a backend server.
        :param now_s: current time, in seconds.
        :return: ``False`` for engines, whose events show that they work.
        """
        if self.is_engine:
            return False
        server, send = self._find_send(ticket)
        if send is None:
            return False
        silent_sends = [send]
        if not server.was_heard_since(send.sent_s):
            silent_sends = list(server.sends.values())
        return self.estimate_sound_probability(silent_sends, now_s) > (
            MAX_SOUND_PROBABILITY
        )

    def estimate_sound_probability(self, sends, now_s):
        """Estimates how likely sound servers let plain requests wait as long as these.

        :param sends: list of ``servers.Send``.
        :param now_s: current time, in seconds.
        :return: probability from 0 to 1.
        """
        return math.prod(
            self._durations.estimate_share_above(
                send.ticket.route.name, now_s - send.sent_s
            )
            for send in sends
        )

    def _find_send(self, ticket):
        for server_id in ticket.tried:
            server = self.servers.get(server_id)
            send = server.sends.get(ticket.request_id) if server else None
            if send is not None:
                return server, send
        return None, None

    def _choose_substitute(self, ticket, now_s, accepts=None):
        if self._find_harmful_refusal(ticket, now_s) is not None:
            return None
        waiting = self._waiting.values()
        if any(self._goes_first(item, ticket, now_s) for item in waiting):
            return None
        usable = self._list_usable(ticket, now_s)
        candidates = [
            item
            for item in usable
            if item.server_id not in ticket.tried and self._is_available(item, now_s)
        ]
        if accepts is not None:
            candidates = [item for item in candidates if accepts(item)]
        return self._choose_best(ticket, candidates, now_s)

    def _goes_first(self, waiting, ticket, now_s):
        # A waiting request whose response has begun gets no events from any server.
        if waiting.rank == ticket.rank:
            return waiting.is_begun and self.choose(waiting, now_s) is not None
        return waiting.rank < ticket.rank

    def _estimate_first_event_s(self, ticket):
        if not self.is_engine:
            return self._average_first_event.value / 1_000
        baseline_ms = service_times.predict_first_event_ms(ticket.prompt_tokens)
        return (
            FIRST_EVENT_MARGIN * self._average_first_event.value * baseline_ms / 1_000
        )

    def estimate_longest_s(self, ticket):
        """Estimates how long a response may take, with a margin.

        :param ticket: ``arrivals.Ticket``.
        :return: seconds from the send to the end of the response.
        """
        # The caller's estimate of the length is often far too low.
        tokens = ticket.arrival.output_tokens or ticket.estimate_output_tokens()
        event_count = (tokens or 0) / self.event_tokens
        if self.is_engine and event_count:
            interval_ms = self._average_event_interval_ms()
            events_s = (
                server_scores.OUTPUT_LENGTH_MARGIN * event_count * interval_ms / 1_000
            )
            return self._estimate_first_event_s(ticket) + events_s
        longest_s = self._durations.estimate_longest_s(ticket.route.name)
        if longest_s is None:
            return ticket.route.objective_ms / 1_000
        return longest_s

    def _average_event_interval_ms(self):
        intervals = [
            item.service_times.event_interval_ms.value * item.pace.newest
            for item in self.servers.values()
            if not item.is_retired
        ]
        if not intervals:
            return service_times.EVENT_INTERVAL_MS
        return sum(intervals) / len(intervals)

    def _try_assign(self, ticket, now_s):
        chosen = self.choose(ticket, now_s)
        return None if chosen is None else self._assign(ticket, chosen, now_s)

    def _assign(self, ticket, chosen, now_s):
        server, score_ms = chosen
        self.record_send(ticket, server, now_s, score_ms)
        waited_s = now_s - ticket.arrived_s
        is_measured = server.service_times.is_measured
        return assignments.Assignment(ticket, server, waited_s, score_ms, is_measured)

    def has_capacity(self, now_s):
        """Tells whether some request could be sent now, whatever it asks for.

        :param now_s: current time, in seconds.
        :return: ``False`` if no backend server that this entry may use has room.
        """
        return any(
            self._is_within_reach(item) and self._can_take(item, now_s)
            for item in self.servers.values()
            if not item.is_retired
        )

    def _is_within_reach(self, server):
        # Those of other groups are used only while they have much room.
        if not self._is_grouped or server.server_id in self.group_servers:
            return True
        return self._is_load_known(server) and self._has_much_room(server)

    @property
    def _is_grouped(self):
        return bool(self.group_servers) and self.is_engine

    def _has_much_room(self, server):
        if self.is_brittle:
            # Several groups may see the same slots free, and overfill it.
            return False
        return self._count_free_slots(server) >= MIN_REMOTE_FREE_FRACTION * server.slots

    def _can_take(self, server, now_s):
        if self._count_free_slots(server) <= 0:
            return False
        return self._eligibility.may_send(server.server_id, now_s)

    def _has_long_stated_wait(self, server, now_s):
        return self._estimate_stated_wait_s([server], 1, now_s) > LONG_STATED_WAIT_S

    def _is_available(self, server, now_s):
        if server.is_retired or server.is_avoided(now_s):
            return False
        return self._can_take(server, now_s)

    def _count_free_slots(self, server):
        if not self._chooser.respects_slots:
            return server.slots
        if not self.is_engine:
            return self._count_plain_slots(server) - len(server.sends)
        remaining_slots = math.ceil(self.slot_share * server.slots) - len(server.sends)
        free_slots = min(remaining_slots, server.slots - server.count_running())
        if free_slots <= 0:
            return free_slots
        return min(free_slots, self._count_claimable_slots(server))

    def _count_plain_slots(self, server):
        if not self.is_brittle:
            return PLAIN_REQUESTS_PER_SLOT * server.slots
        return slot_shares.count_slots(
            server.server_id, server.slots, self.name, self.all_entries
        )

    def list_slot_owners(self):
        """Lists the entries among which the slots of brittle servers are divided.

        :return: tuple of names; empty if slots aren't divided.
        """
        if self.is_engine or not self.is_brittle:
            return ()
        slots = sorted(
            (server.server_id, server.slots)
            for server in self.servers.values()
            if not server.is_retired
        )
        return slot_shares.list_owners(tuple(slots), self.all_entries)

    def _count_claimable_slots(self, server):
        # Peers still count the slots that this entry has released since its last
        # digest as used, so this entry may reuse them. Each other free slot goes to
        # one of the waiting entries.
        own_sends = len(server.sends)
        peer_sends = server.count_running() - own_sends
        free_slots = server.slots - server.advertised_sends - peer_sends
        if self.is_brittle and not self.is_waiting_advertised:
            # The others may take one each before they hear of it.
            claimed = max(0, free_slots - self.group_size)
        elif self._claims is not None and self._claims.covers(server):
            return self._claims.count_claimable(server)
        elif len(self.waiting_entries) <= 1:
            claimed = free_slots
        else:
            claimed = sum(
                group_servers.find_winner(server.server_id, slot, self.waiting_entries)
                == self.name
                for slot in range(max(0, free_slots))
            )
        return server.advertised_sends + claimed - own_sends

    def choose(self, ticket, now_s):
        """Chooses a backend server by the policy of the chooser.

        :param ticket: ``arrivals.Ticket``.
        :param now_s: current time, in seconds.
        :return: pair of ``servers.Server`` and its score in milliseconds, or
            ``None`` if no server can take the request.
        """
        usable = self._list_usable(ticket, now_s)
        candidates = self._list_available(usable, now_s)
        if not candidates:
            # If every server is avoided, an attempt is better than a refusal.
            if resends.is_backing_off(ticket, now_s):
                return None
            open_servers = [
                item for item in usable if not self._has_long_stated_wait(item, now_s)
            ]
            avoided_servers = [
                item for item in open_servers if self._can_take(item, now_s)
            ]
            if len(avoided_servers) < len(open_servers) or not avoided_servers:
                return None
            candidates = avoided_servers
        return self._choose_best(ticket, candidates, now_s)

    def _list_available(self, usable, now_s):
        # The servers of other groups aren't used while one of the group has room.
        if self._is_grouped:
            members = [item for item in usable if item.server_id in self.group_servers]
            available = [item for item in members if self._is_available(item, now_s)]
            if available:
                return available
        return [item for item in usable if self._is_available(item, now_s)]

    def _choose_best(self, ticket, candidates, now_s):
        candidates = self._filter_by_group(candidates)
        if not candidates:
            return None
        preferred = self.find_preferred_server(ticket)
        scorer = server_scores.Scorer(
            ticket, self.domain, self.event_tokens, preferred, now_s
        )
        if self._chooser.compares_scores:
            candidates = server_scores.sample(candidates, scorer, self._rng, now_s)
        chosen = self._chooser.choose(candidates, scorer, self._rng)
        return chosen, scorer(chosen)

    def _list_usable(self, ticket, now_s):
        usable = self._list_open(ticket)
        if self.select is not None:
            usable = self.select(ticket, usable, now_s)
        if _is_returning(ticket):
            return [item for item in usable if item.server_id in ticket.returnable_to]
        untried = [item for item in usable if item.server_id not in ticket.tried]
        if ticket.is_begun:
            # Its caller doesn't wait until one of them has room.
            untried = [item for item in untried if self._can_take(item, now_s)]
        return untried or usable

    def _filter_by_group(self, candidates):
        if not self._is_grouped:
            return candidates
        group_candidates = [
            item for item in candidates if item.server_id in self.group_servers
        ]
        if group_candidates:
            return group_candidates
        remote_candidates = [
            item
            for item in candidates
            if self._is_load_known(item) and self._has_much_room(item)
        ]
        # The load of these servers is known with a delay, and all groups see the
        # same values. A random sample keeps them from choosing the same server.
        return self._rng.sample(
            remote_candidates, min(len(remote_candidates), REMOTE_SAMPLE_SIZE)
        )

    def _is_load_known(self, server):
        return self.remote_servers is None or server.server_id in self.remote_servers

    def find_preferred_server(self, ticket):
        """Finds the engine that all entries prefer for the last prompt part.

        Rendezvous hashing gives the same result in every entry.

        :param ticket: ``arrivals.Ticket``.
        :return: id of the engine; ``None`` without prompt parts or engines.
        """
        if not self.is_engine:
            return None
        return server_scores.find_preferred(ticket, self.servers.values())

    def record_send(self, ticket, server, now_s, expected_ms):
        """Records that a request is sent to a backend server.

        :param ticket: ``arrivals.Ticket``.
        :param server: ``servers.Server``.
        :param now_s: current time, in seconds.
        :param expected_ms: expected milliseconds to the first event.
        """
        prefill_tokens = server_scores.estimate_prefill_tokens(
            ticket, server, None, now_s
        )
        server.sends[ticket.request_id] = servers.Send(
            ticket=ticket,
            sent_s=now_s,
            queued_prefill_tokens=server.count_pending_prefill() + prefill_tokens,
            prefill_tokens=prefill_tokens,
            expected_first_event_s=expected_ms / 1_000,
        )
        ticket.tried.add(server.server_id)
        self._eligibility.record_send(server.server_id, ticket.request_id, now_s)
        self._send_times_s.append(now_s)
        if self.order.shares is not None:
            key = customer_shares.find_key(ticket)
            self.order.shares.record_send(key, self.estimate_work_s(ticket), now_s)
        self._announce_load()

    def _announce_load(self):
        if self.is_engine and self.handle_load_change is not None:
            self.handle_load_change()

    def record_first_event(self, ticket, server, now_s):
        """Records the first event of a stream.

        :param ticket: ``arrivals.Ticket``.
        :param server: ``servers.Server``.
        :param now_s: current time, in seconds.
        """
        send = server.sends.get(ticket.request_id)
        if send is None or send.first_event_s is not None:
            return
        send.first_event_s = now_s
        if self.is_engine:
            first_ms = (now_s - send.sent_s) * 1_000
            pace = server.estimate_past_pace(now_s)
            factor = service_times.update_first_event_factor(
                server.service_times, send.queued_prefill_tokens, first_ms / pace
            )
            self._average_first_event.add(factor * pace)
            self._record_cached_part(ticket, server, now_s)

    def record_progress(self, ticket, server, event_count, now_s):
        """Records an event of a stream.

        Samples are taken during a stream, so a slow backend server is detected long
        before its streams end.

        :param ticket: ``arrivals.Ticket``.
        :param server: ``servers.Server``.
        :param event_count: events received from this send.
        :param now_s: current time, in seconds.
        """
        send = server.sends.get(ticket.request_id)
        if send is None or send.first_event_s is None or event_count < 2:
            return
        if event_count % PROGRESS_EVENTS == 0:
            interval_ms = (now_s - send.first_event_s) * 1_000 / (event_count - 1)
            pace = server.estimate_past_pace(now_s)
            server.service_times.event_interval_ms.add(interval_ms / pace)

    def _record_cached_part(self, ticket, server, now_s):
        parts = ticket.arrival.parts
        if not parts:
            return
        server.cached_parts.pop(parts[-1].name, None)
        server.cached_parts[parts[-1].name] = now_s
        if len(server.cached_parts) > MAX_CACHED_PARTS:
            del server.cached_parts[next(iter(server.cached_parts))]

    def record_end(self, ticket, server, outcome, now_s):
        """Records the end of a send.

        :param ticket: ``arrivals.Ticket``.
        :param server: ``servers.Server``.
        :param outcome: ``outcomes.Outcome``.
        :param now_s: current time, in seconds.
        """
        send = server.sends.pop(ticket.request_id, None)
        self._announce_load()
        self._eligibility.record_end(server.server_id, ticket.request_id)
        if server.is_gone and not server.sends:
            self.servers.pop(server.server_id, None)
        if send is None:
            return
        duration_s = now_s - send.sent_s
        if self.order.shares is not None:
            correction_s = duration_s - self.estimate_work_s(ticket)
            key = customer_shares.find_key(ticket)
            self.order.shares.correct_send(key, correction_s, now_s)
        if outcome is outcomes.Outcome.COMPLETE:
            self._average_hold_s.add(duration_s)
            self._durations.add(ticket.route.name, duration_s)
            self._record_complete(server, duration_s, now_s)
        elif outcome is outcomes.Outcome.REJECTED:
            ticket.rejected_by.add(server.server_id)
            server.record_rejection(now_s)
        elif outcome not in outcomes.UNJUDGED:
            if outcome is outcomes.Outcome.UNREACHABLE:
                ticket.resend_s = now_s + resends.compute_wait_s(ticket.unreached)
            is_backed_off = outcome in outcomes.BACKED_OFF
            server.record_failure(now_s, is_backed_off)

    def _record_complete(self, server, duration_s, now_s):
        server.record_success()
        if not self.is_engine:
            duration_ms = min(duration_s * 1_000, MAX_PLAIN_SAMPLE_MS)
            pace = server.estimate_past_pace(now_s)
            server.service_times.plain_ms.add(duration_ms / pace)
            self._average_first_event.add(duration_ms)
