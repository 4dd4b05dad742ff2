"""The scheduling state of one entry: configuration, backend servers and peers."""

import msgspec

from wasabiknot_kernel import (
    allowances,
    brittleness,
    budgets,
    choosers,
    crash_monitors,
    crashes,
    customer_shares,
    digest_builders,
    dispatch,
    domain_drains,
    eligibility,
    engine_paces,
    facts,
    group_servers,
    hedging,
    helpers,
    limit_candidates,
    limits,
    load_histories,
    members,
    outcomes,
    paths,
    pauses,
    peer_loads,
    regions,
    releases,
    service_times,
    share_changes,
    silences,
    statements,
    store_readers,
    store_reads,
    warmups,
)

# Time for which an entry reads the store itself after it failed to fetch facts from a
# peer.
DIRECT_READ_S = 2.0
# Fraction of the tolerance of limits that use without a report may take, where
# customers have shares. The rest is for errors of its estimate.
UNREPORTED_FRACTION = 0.5


class Policy(msgspec.Struct, frozen=True):
    """Limits on retries, customers and releases.

    :param retry_ratio: retries allowed per request.
    :param retry_window_s: sliding window in seconds over which retries are counted.
    :param retry_slack: retries that all entries together may send beyond the ratio.
    :param tolerance: ``allowances.Tolerance``, by how much customers may exceed their
        limits.
    :param canary_share: fraction of the requests that an unproven version may get.
    :param placement: name of the ``choosers.Chooser``.
    :param poll_interval_s: seconds between two reads of the registrations.
    :param canary_slack: requests that such a version may get beyond that fraction.
    :param fair_queueing: whether customers have shares in the engine time of a
        service.
    :param hedge_share: largest share of hedges in all sends; 0 for none.
    :param warmup_tolerance: ``warmups.Tolerance``, by how much cold backend servers may
        get more requests than their limit.
    :param region_map: ``regions.RegionMap`` of the failure domains.
    """

    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    tolerance: allowances.Tolerance
    canary_share: float
    placement: str = choosers.DEFAULT_NAME
    poll_interval_s: float = 0.5
    canary_slack: float = 0.0
    fair_queueing: bool = False
    hedge_share: float = 0.0
    warmup_tolerance: warmups.Tolerance = warmups.Tolerance()
    region_map: regions.RegionMap = regions.RegionMap()


class Deployment:
    """The scheduling state of one entry.

    Time and random numbers are passed in, so that runs are reproducible.

    :param member: ``members.Member`` of this entry.
    :param policy: ``Policy``.
    :param rng: ``random.Random``.
    """

    def __init__(self, member, policy, rng):
        self.member = member
        self.policy = policy
        self._rng = rng
        self.table = None
        self.has_servers = False
        self.has_crashes = False
        # Whether the entries are known among which limits are divided.
        self.has_members = False
        self.topics = {}
        self.roster = members.Roster(member)
        self.allowances = allowances.Allowances(policy.tolerance)
        self._set_unreported_fraction()
        self.crashes = crashes.CrashRegister()
        self.crash_monitor = crash_monitors.CrashMonitor(self.crashes)
        self.releases = releases.Releases(policy.canary_share, rng, policy.canary_slack)
        self.releases.count_running = self.count_running_on_new_version
        self.releases.list_paces_ms = self._list_paces_of_old_versions
        self.silences = silences.SilenceTracker()
        self._load_histories = load_histories.LoadHistories()
        self.paths = paths.PathMonitor()
        self.brittleness = brittleness.BrittlenessTable()
        self.helpers = helpers.Helpers(self.roster, rng)
        self.eligibility = eligibility.Eligibility(member.name)
        self.eligibility.limits.find_candidates = self._find_candidates
        self.hedging = hedging.Hedging(
            self.crashes.is_suspected, self.eligibility.find_rate
        )
        self.hedging.set_share(policy.hedge_share)
        self.eligibility.warmups.limits.find_candidates = self._find_candidates
        self.eligibility.warmups.limits.share = 0.0
        self.eligibility.warmups.find_service = self._find_service
        self.eligibility.warmups.tolerance = policy.warmup_tolerance
        self._limit_candidates = limit_candidates.LimitCandidates(self.roster)
        self._share_observer = share_changes.ShareObserver()
        self._dispatchers = {}
        self._budgets = {}
        self._services_by_server = {}
        self._peer_loads = peer_loads.PeerLoads(self.find_server)
        # Use in the last digest of each source.
        self._applied_use = {}
        self.store_reads = store_reads.StoreReads()
        self.pauses = pauses.PauseDetector()
        self._fetch_failure_s = None
        self._digests = digest_builders.DigestBuilder(self)
        self._peak_members = budgets.PeakCount()
        # What holds for the retry budgets of all services since the last tick.
        self._peak_member_count = 1
        self._has_retry_slack = False
        # Time of the first tick.
        self._started_s = None
        self.is_stopping = False
        # Function that is called when the load of this entry on an engine changes.
        self.handle_load_change = None

    @property
    def is_ready(self):
        """Whether the entry has the state that it needs to schedule requests."""
        return self.table is not None and self.has_servers and self.has_crashes

    def set_policy(self, policy):
        """Replaces the limits.

        :param policy: ``Policy``.
        """
        self.policy = policy
        self.releases.canary_share = policy.canary_share
        self.releases.canary_slack = policy.canary_slack
        self._set_unreported_fraction()
        for dispatcher in self._dispatchers.values():
            dispatcher.set_fair_queueing(policy.fair_queueing)
            dispatcher.region_map = policy.region_map
        self.hedging.set_share(policy.hedge_share)
        self.eligibility.warmups.tolerance = policy.warmup_tolerance
        for budget in self._budgets.values():
            budget.set_bounds(
                policy.retry_ratio, policy.retry_window_s, policy.retry_slack
            )

    def _set_unreported_fraction(self):
        fraction = UNREPORTED_FRACTION if self.policy.fair_queueing else 0.0
        self.allowances.unreported_fraction = fraction

    def get_topic(self, name):
        """Returns a topic, creating it if needed.

        :param name: name of the topic.
        :return: ``facts.Topic``.
        """
        if name not in self.topics:
            self.topics[name] = facts.Topic(name)
        return self.topics[name]

    def find_era(self):
        """Finds the highest era of the store that is known here.

        :return: number of the era, 0 if the store states none; ``None`` before the
            first topic is loaded.
        """
        eras = [topic.era for topic in self.topics.values() if topic.is_loaded]
        return max(eras, default=None)

    def apply_configuration(self, table, now_s):
        """Puts a configuration in force, unless the current one is as new.

        :param table: ``routes.RouteTable``.
        :param now_s: current time in seconds.
        :return: whether the configuration was put in force.
        """
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        self.allowances.set_customers(table.customers, now_s)
        # Backend servers may register before their service is configured.
        for service, dispatcher in self._dispatchers.items():
            dispatcher.set_engine(self._find_engine(service))
        self.eligibility.warmups.tick(now_s, self._services_by_server)
        return True

    def get_dispatcher(self, service):
        """Returns the dispatcher of a service, creating it if needed.

        :param service: name of the service.
        :return: ``dispatch.Dispatcher``.
        """
        if service not in self._dispatchers:
            chooser = choosers.create_chooser(self.policy.placement)
            dispatcher = dispatch.Dispatcher(
                service, self._rng, chooser, self.eligibility
            )
            dispatcher.select = self.releases.select
            dispatcher.find_refused = self.crashes.find_refused
            dispatcher.name = self.member.name
            dispatcher.domain = self.member.domain
            dispatcher.region_map = self.policy.region_map
            dispatcher.handle_load_change = self._announce_load
            dispatcher.set_engine(self._find_engine(service))
            dispatcher.set_fair_queueing(self.policy.fair_queueing)
            self._dispatchers[service] = dispatcher
        return self._dispatchers[service]

    def _announce_load(self):
        if self.handle_load_change is not None:
            self.handle_load_change()

    def _find_engine(self, service):
        service_configuration = self.table.find_service(service) if self.table else None
        return (
            service_configuration.engine if service_configuration is not None else None
        )

    def list_dispatchers(self):
        """Lists the dispatchers of all services.

        :return: list of ``dispatch.Dispatcher``.
        """
        return list(self._dispatchers.values())

    def get_budget(self, service):
        """Returns the retry budget of a service, creating it if needed.

        :param service: name of the service.
        :return: ``budgets.RetryBudget``.
        """
        if service not in self._budgets:
            budget = budgets.RetryBudget(
                self.policy.retry_ratio,
                self.policy.retry_window_s,
                self.policy.retry_slack,
            )
            budget.entry_count = self._peak_member_count
            budget.has_slack = self._has_retry_slack
            self._budgets[service] = budget
        return self._budgets[service]

    def apply_registration(self, registration, now_s):
        """Applies the registration of a backend server.

        :param registration: ``registrations.Registration``.
        :param now_s: current time in seconds.
        """
        server_id = registration.server_id
        self.store_reads.cancel_removal(server_id)
        previous = self._services_by_server.get(server_id)
        if previous is not None and previous != registration.service:
            self.get_dispatcher(previous).remove(server_id)
        self._services_by_server[server_id] = registration.service
        dispatcher = self.get_dispatcher(registration.service)
        known_server = dispatcher.servers.get(server_id)
        if (
            known_server
            and known_server.registration.started_ms != registration.started_ms
        ):
            self.crash_monitor.record_restart(known_server, now_s)
        self.eligibility.apply_start(server_id, registration.started_ms, now_s)
        dispatcher.register(registration)
        server = dispatcher.servers[server_id]
        if server is not known_server:
            previous_id = self.crash_monitor.find_previous_id(registration)
            previous_server = self.find_server(previous_id)
            self.crash_monitor.record_start(registration, previous_server, now_s)
            server.warm_until_s = now_s + registration.warmup_ms / 1_000
            self._peer_loads.apply_known(server)
        self._apply_warmup(server, now_s)
        self.releases.record_version(registration.service, registration.version, now_s)

    def _apply_warmup(self, server, now_s):
        left_s = server.registration.warmup_ms / 1_000
        self.eligibility.warmups.record_statement(server.server_id, left_s, now_s)
        if self.eligibility.warmups.is_cold(server.server_id):
            # It may have become cold again.
            server.warm_until_s = max(server.warm_until_s, now_s + left_s)

    def _find_service(self, server_id):
        name = self._services_by_server.get(server_id)
        return self.table.find_service(name) if self.table and name else None

    def record_broken_connection(self, server, now_s):
        """Records that a connection to a backend server was refused or reset.

        It may have ended, and come back cold before its registration says so.

        :param server: ``servers.Server``.
        :param now_s: current time in seconds.
        """
        started_ms = server.registration.started_ms
        own = statements.Channel.OWN
        self.eligibility.record_broken_connection(
            server.server_id, started_ms, now_s, own, now_s
        )

    def order_drain(self, domain):
        """Drains a failure domain: nothing more is sent to its backend servers.

        :param domain: failure domain, known or not.
        :return: ``domain_drains.DrainChange``.
        """
        step = self.eligibility.drains.order(domain)
        self._assign_servers()
        count = len(self._list_servers(domain))
        return domain_drains.DrainChange(domain, step, count)

    def lift_drain(self, domain, now_s):
        """Returns a drained failure domain to service.

        :param domain: failure domain.
        :param now_s: current time in seconds.
        :return: ``domain_drains.DrainChange``; ``None`` if it was not drained.
        """
        if not self.eligibility.drains.lift(domain):
            return None
        listed = self._list_servers(domain)
        for server in listed:
            self.eligibility.warmups.record_drain_end(server.server_id, now_s)
        self._assign_servers()
        lifted = domain_drains.DrainStep.LIFTED
        return domain_drains.DrainChange(domain, lifted, len(listed))

    def _list_servers(self, domain):
        return [
            server
            for dispatcher in self._dispatchers.values()
            for server in dispatcher.servers.values()
            if server.registration.domain == domain
        ]

    def apply_removal(self, server_id, now_s):
        """Removes a backend server that is no longer registered.

        While the store is unavailable, and shortly after, the removal is delayed:
        registrations may have lapsed although the backend servers still run.

        :param server_id: id of the backend server.
        :param now_s: current time in seconds.
        :return: whether the backend server was removed at once.
        """
        if server_id not in self._services_by_server:
            return False
        if self.store_reads.try_delay_removal(server_id, now_s):
            return False
        self._remove(server_id, now_s)
        return True

    def _remove(self, server_id, now_s):
        server = self.find_server(server_id)
        if server is not None:
            self.crash_monitor.record_removal(server, now_s)
        service = self._services_by_server.pop(server_id, None)
        if service is not None:
            self.get_dispatcher(service).remove(server_id)

    def find_server(self, server_id):
        """Finds a backend server.

        :param server_id: id of the backend server.
        :return: ``servers.Server`` or ``None``.
        """
        service = self._services_by_server.get(server_id)
        if service is None:
            return None
        return self.get_dispatcher(service).servers.get(server_id)

    def find_peer(self, name):
        """Finds a peer by name.

        :param name: name of the peer.
        :return: ``members.Peer`` or ``None``.
        """
        return self.roster.find(name)

    def record_statement(self, server, statement, sent_s, now_s):
        """Records what a backend server states about itself in a response.

        :param server: ``servers.Server``.
        :param statement: ``statements.Statement``.
        :param sent_s: time in seconds at which the request was sent.
        :param now_s: current time in seconds.
        """
        self.silences.record_bytes(server.server_id, now_s)
        registration = server.registration
        self.eligibility.record(
            server.server_id, registration.started_ms, statement, sent_s, now_s
        )
        service = registration.service
        rejections_per_s = statement.rejections_per_s
        self.brittleness.record(service, rejections_per_s, sent_s, now_s)

    def record_load(self, server, load, now_s):
        """Records the load that a backend server states in a response.

        :param server: ``servers.Server``.
        :param load: ``arrivals.ReportedLoad``.
        :param now_s: current time in seconds.
        :return: whether the server has become slow by its pace, or has recovered.
        """
        return server.record_load(load, now_s)

    def list_paces(self, now_s):
        """Lists the paces of the backend servers that have stated one recently.

        :param now_s: current time in seconds.
        :return: list of pairs of ids and multiples of the usual time.
        """
        return [
            (server_id, server.pace.estimate(now_s))
            for dispatcher in self._dispatchers.values()
            for server_id, server in dispatcher.servers.items()
            if server.pace.is_known(now_s)
        ]

    def record_answer(self, server, is_new, now_s):
        """Records that bytes of a backend server have reached this entry.

        :param server: ``servers.Server``.
        :param is_new: whether they are the first ones of a new connection.
        :param now_s: current time in seconds.
        """
        server.record_life(now_s)
        service = server.registration.service
        if self.paths.record_answer(service, server.server_id, is_new, now_s):
            for item in self.get_dispatcher(service).servers.values():
                item.forget_failures()

    def record_path_failure(self, server, is_new, now_s):
        """Records that a backend server has not answered this entry.

        :param server: ``servers.Server``.
        :param is_new: whether a new connection has failed.
        :param now_s: current time in seconds.
        """
        service = server.registration.service
        self.paths.record_failure(service, server.server_id, is_new, now_s)
        self.paths.update(self.get_dispatcher(service), now_s)

    def choose_helper(self, ticket, now_s):
        """Chooses a peer that sends a request for this entry.

        :param ticket: ``arrivals.Ticket``.
        :param now_s: current time in seconds.
        :return: ``members.Member``; ``None`` if this entry is to send it itself.
        """
        if ticket.is_taken_over or ticket.is_trial:
            return None
        if ticket.handovers >= helpers.MAX_HANDOVERS:
            return None
        since_s = self.paths.find_unreached_since_s(ticket.service)
        return self.helpers.choose(
            ticket.service, since_s, now_s, self._create_handover_filter(ticket)
        )

    def _create_handover_filter(self, ticket):
        known = self.policy.region_map
        return lambda member: known.may_hand_over(ticket.allowed_regions, member.domain)

    def choose_slot_owner(self, ticket, now_s):
        """Chooses a peer for a request if others have all slots of brittle servers.

        :param ticket: ``arrivals.Ticket``.
        :param now_s: current time in seconds.
        :return: ``members.Member``; ``None`` if this entry is to send it itself.
        """
        dispatcher = self.get_dispatcher(ticket.service)
        names = dispatcher.list_slot_owners()
        if not names or self.member.name in names or ticket.is_taken_over:
            return None
        if ticket.handovers >= helpers.MAX_HANDOVERS:
            return None
        return self.helpers.choose_owner(
            ticket.service, names, now_s, self._create_handover_filter(ticket)
        )

    def is_path_lost(self, service, now_s):
        """Tells whether servers that don't answer this entry answer its peers.

        :param service: name of the service.
        :param now_s: current time in seconds.
        """
        since_s = self.paths.find_unreached_since_s(service)
        if since_s is None:
            return False
        return self.helpers.has_answered_peer(service, since_s, now_s)

    def record_response(
        self, ticket, server, is_success, now_s, ends_with_connection=False
    ):
        """Records bytes of a response.

        :param ticket: ``arrivals.Ticket``.
        :param server: ``servers.Server``.
        :param is_success: whether the response is complete and a success.
        :param now_s: current time in seconds.
        :param ends_with_connection: whether the connection was closed with its end.
        """
        self.silences.record_bytes(server.server_id, now_s)
        self.crash_monitor.record_response(
            ticket, server, is_success, now_s, ends_with_connection
        )

    def record_evidence(
        self,
        ticket,
        server,
        outcome,
        elapsed_s,
        event_count,
        now_s,
        first_event_s=None,
    ):
        """Records the outcome of an attempt as evidence about a release.

        Requests that are suspected to crash backend servers are not counted, and what
        happens while a sound backend server is silent is no evidence.

        :param ticket: ``arrivals.Ticket``.
        :param server: ``servers.Server``.
        :param outcome: ``outcomes.Outcome``.
        :param elapsed_s: time in seconds since the request was sent.
        :param event_count: number of events received.
        :param now_s: current time in seconds.
        :param first_event_s: time in seconds from the send to the first event.
        """
        if self.crashes.is_suspected(ticket):
            return
        is_timeout = outcome is outcomes.Outcome.TIMED_OUT
        if is_timeout and self.silences.hold(ticket, server, elapsed_s, now_s):
            return
        duration_ratio = None
        sent_s = now_s - elapsed_s
        # Latency during warm-up or a silence says nothing of the speed of the version.
        is_timed = sent_s >= server.warm_until_s and not self.silences.was_silent(
            server.server_id, sent_s
        )
        if outcome is outcomes.Outcome.COMPLETE and is_timed:
            duration_ratio = (
                elapsed_s
                * 1_000
                / service_times.predict_total_ms(ticket.prompt_tokens, event_count)
            )
            self._record_pace(server, elapsed_s, event_count, now_s, first_event_s)
        self.releases.record_outcome(ticket, server, outcome, duration_ratio)

    def _record_pace(self, server, elapsed_s, event_count, now_s, first_event_s):
        since_s = now_s - elapsed_s + (first_event_s or 0.0)
        load = self._load_histories.compute_mean(server.server_id, since_s, now_s)
        pace_ms = engine_paces.compute_pace_ms(
            elapsed_s, first_event_s, event_count, server.is_engine
        )
        if load is not None and pace_ms is not None:
            self.releases.record_pace(server, load, pace_ms)

    def try_start_trial(self, ticket, now_s):
        """Starts a trial of a refused request, if this entry may and it is due.

        :param ticket: ``arrivals.Ticket``.
        :param now_s: current time in seconds.
        :return: whether the request may be sent once.
        """
        key = self.crashes.find_trial_key(ticket, now_s)
        if key is None or not self._is_trial_entry(key, now_s):
            return False
        if not self.crashes.try_start_trial(key, now_s):
            return False
        ticket.trial_key = key
        return True

    def _is_trial_entry(self, fingerprint, now_s):
        # One entry for each request, so that trials don't happen at the same time.
        groups = [self.roster.group, *self.roster.list_other_groups()]
        group_names = tuple(sorted(group.name for group in groups))
        winner = group_servers.find_winner(fingerprint, 0, group_names)
        if winner != self.roster.group.name:
            return False
        digests = members.list_reachable_digests(self.roster.list_group_peers(), now_s)
        names = tuple(sorted([self.member.name, *digests]))
        return group_servers.find_winner(fingerprint, 1, names) == self.member.name

    def count_running_on_old_versions(self, order):
        """Counts the requests on backend servers of other versions than the target.

        :param order: ``registrations.ReleaseOrder``.
        :return: number of requests of this entry and all reachable peers.
        """
        return self._count_running(order, is_target=False)

    def count_running_on_new_version(self, order):
        """Counts the requests on backend servers of the target version.

        :param order: ``registrations.ReleaseOrder``.
        :return: number of requests of this entry and all reachable peers.
        """
        return self._count_running(order, is_target=True)

    def _list_paces_of_old_versions(self, order):
        return [
            server.pace_ms
            for server in self.get_dispatcher(order.service).servers.values()
            if server.registration.version != order.target
            and server.service_times.is_measured
        ]

    def _count_running(self, order, is_target):
        return sum(
            server.count_running()
            for server in self.get_dispatcher(order.service).servers.values()
            if (server.registration.version == order.target) == is_target
        )

    def build_digest(self, now_s):
        """Builds the digest of this entry.

        :param now_s: current time in seconds.
        :return: ``members.Digest``.
        """
        return self._digests.build_digest(now_s)

    def build_group_summary(self, now_s):
        """Builds the summary of this group for the leaders of other groups.

        :param now_s: current time in seconds.
        :return: ``members.Digest``.
        """
        return self._digests.build_group_summary(now_s)

    def build_remote_summary(self, now_s):
        """Builds the summary of the other groups for the members of this group.

        :param now_s: current time in seconds.
        :return: ``members.Digest``.
        """
        return self._digests.build_remote_summary(now_s)

    def list_released_servers(self):
        """Lists the backend servers of the services with an active release.

        :return: list of ``servers.Server``.
        """
        services = {order.service for order in self.releases.list_active()}
        return [
            server
            for service in services
            for server in self.get_dispatcher(service).servers.values()
        ]

    def apply_digest(self, digest, now_s):
        """Applies the digest of a peer, or the summary of another group.

        :param digest: ``members.Digest``.
        :param now_s: current time in seconds.
        :return: ``members.Peer``, or ``None`` if the digest was ignored.
        """
        peer = self.roster.apply_digest(digest, now_s)
        if peer is None:
            return None
        if digest.read_age_ms >= 0:
            self.store_reads.record_peer_read(digest.read_age_ms, now_s)
        source = digest.group or digest.name
        self._peer_loads.apply(source, digest.loads)
        if digest.group == members.REMOTE_GROUPS:
            self._set_remote_servers(digest.loads.keys())
        counter = None
        if not digest.group:
            counter = self.allowances.group_used
        elif digest.group != members.REMOTE_GROUPS:
            counter = self.allowances.remote_used
        # A digest that leaves out the use refers to that of the previous one.
        if self._applied_use.get(source) is not digest.used:
            self._applied_use[source] = digest.used
            self.allowances.charge_peer_use(
                source, digest.run, digest.used, now_s, counter
            )
        self._apply_customer_work(source, digest, now_s)
        self.releases.apply_evidence(source, digest.evidence)
        self.silences.apply_reports(source, digest.silence_reports, now_s)
        self.crash_monitor.apply_digest(source, digest, now_s)
        self.eligibility.apply_broken_connections(
            digest.broken_servers, digest.find_channel(), now_s
        )
        self.brittleness.apply_reports(
            digest.brittle_services, digest.find_channel(), now_s
        )
        if digest.limits or digest.leaving_servers:
            self.eligibility.apply_reports(
                digest.limits, digest.leaving_servers, digest.find_channel(), now_s
            )
        self._apply_paces(source, digest.paces, now_s)
        return peer

    def _apply_customer_work(self, source, digest, now_s):
        scope = None
        if not digest.group:
            scope = customer_shares.Scope.GROUP
            self._apply_queue_heads(digest, now_s)
        elif digest.group != members.REMOTE_GROUPS:
            scope = customer_shares.Scope.OTHER_GROUPS
        for report in digest.customer_work:
            dispatcher = self._dispatchers.get(report.service)
            shares = dispatcher.order.shares if dispatcher is not None else None
            if shares is not None:
                shares.apply_report(source, digest.run, report, scope, now_s)

    def _apply_queue_heads(self, digest, now_s):
        for service, dispatcher in self._dispatchers.items():
            head = digest.queue_heads.get(service)
            dispatcher.record_peer_head(digest.name, head, now_s)

    def list_shares(self):
        """Lists the shares of customers in the engine time of the services.

        :return: list of ``customer_shares.ServiceShares``; empty without fair queueing.
        """
        shares = [item.order.shares for item in self._dispatchers.values()]
        return [item for item in shares if item is not None]

    def pop_share_changes(self, now_s):
        """Finds the customers that are newly above their shares, or within them.

        :param now_s: current time in seconds.
        :return: list of ``share_changes.ShareChange``.
        """
        return self._share_observer.observe(self.list_shares(), now_s)

    def _apply_paces(self, source, reports, now_s):
        for report in reports:
            server = self.find_server(report.server_id)
            if server is not None:
                server.pace.apply_report(source, report, now_s)

    def _set_remote_servers(self, server_ids):
        for dispatcher in self._dispatchers.values():
            dispatcher.remote_servers = server_ids

    def is_behind(self, peer):
        """Tells whether a peer has applied changes that this entry has not.

        :param peer: ``members.Peer``.
        :return: ``True`` if facts should be fetched from the peer.
        """
        for name, position in peer.digest.positions.items():
            if position > self.get_topic(name).change_position:
                return True
        return False

    def record_fetch_failure(self, now_s):
        """Records that facts could not be fetched from a peer.

        :param now_s: current time in seconds.
        """
        self._fetch_failure_s = now_s

    def should_read_store(self, now_s):
        """Tells whether this entry should read the store for its group.

        :param now_s: current time in seconds.
        :return: ``False`` while another member does so.
        """
        failed_s = self._fetch_failure_s
        if failed_s is not None and now_s - failed_s < DIRECT_READ_S:
            return True
        return store_readers.should_read(self.roster, self._get_reads(now_s), now_s)

    def _get_reads(self, now_s):
        started_s = now_s if self._started_s is None else self._started_s
        return store_readers.Reads(
            self.store_reads.last_read_s, started_s, self.policy.poll_interval_s
        )

    def is_reading_group(self, now_s):
        """Tells whether members of this entry's group read the store.

        :param now_s: current time in seconds.
        :return: ``False`` while another group of the failure domain does so.
        """
        if not self.roster.has_several_groups:
            return True
        return store_readers.is_reading_group(
            self.roster, self._get_reads(now_s), now_s
        )

    def compute_group_read_age_ms(self, now_s):
        """Computes the age of the latest read of the store by a member of the group.

        :param now_s: current time in seconds.
        :return: age in milliseconds; -1 if no read is known.
        """
        reads = self._get_reads(now_s)
        read_s = store_readers.find_group_read(self.roster, reads, now_s)
        return -1 if read_s is None else round((now_s - read_s) * 1_000)

    def _update_limits(self, reachable, peak, now_s):
        # Entries that were members lately may go on behind a network partition.
        is_majority = 2 * reachable > peak
        share = 1.0 if is_majority else reachable / peak
        self.eligibility.limits.share = share
        # Without the other entries, this one would count as the only sender.
        self.eligibility.warmups.limits.share = share if self.has_members else 0.0
        self.eligibility.tick(now_s, self._services_by_server)

    def _find_candidates(self, server_id, now_s):
        service = self._services_by_server.get(server_id)
        if service is None:
            return limits.Candidates(())
        dispatcher = self.get_dispatcher(service)
        return self._limit_candidates.find(dispatcher, server_id, now_s)

    def _assign_servers(self):
        if not self.roster.has_several_groups:
            for dispatcher in self._dispatchers.values():
                dispatcher.group_servers = None
                dispatcher.group_servers_key = None
            return
        for dispatcher in self._dispatchers.values():
            key = (
                self.roster.groups_version,
                dispatcher.servers_version,
                self.eligibility.drains.version,
            )
            if dispatcher.group_servers_key != key:
                dispatcher.group_servers_key = key
                dispatcher.group_servers = self._find_preferred_servers(dispatcher)

    def _find_preferred_servers(self, dispatcher):
        own_group = self.roster.group
        groups = [
            group_servers.Location(group.name, group.domain)
            for group in [own_group, *self.roster.list_other_groups()]
        ]
        locations = [
            _build_location(server)
            for server in dispatcher.servers.values()
            if not server.is_retired
        ]
        return group_servers.assign_servers(locations, groups)[own_group.name]

    def _apply_group_digests(self, now_s):
        digests = members.list_reachable_digests(self.roster.list_group_peers(), now_s)
        faulty_servers = {
            name for digest in digests.values() for name in digest.faulty_servers
        }
        for service, dispatcher in self._dispatchers.items():
            waiting = [
                name for name, item in digests.items() if service in item.waiting
            ]
            dispatcher.is_brittle = self.brittleness.is_brittle(service)
            dispatcher.waiting_entries = tuple(sorted([self.member.name, *waiting]))
            if dispatcher.is_brittle:
                dispatcher.all_entries = self.roster.list_names(now_s)
                dispatcher.group_size = len(self.roster.group.members)
            for server in dispatcher.servers.values():
                server.is_faulty_at_peer = server.server_id in faulty_servers

    def _record_due_timeouts(self, now_s):
        timed_out = outcomes.Outcome.TIMED_OUT
        released = self.list_released_servers()
        self._load_histories.sample(released, now_s)
        for held in self.silences.tick(released, now_s):
            self.releases.record_outcome(held.ticket, held.server, timed_out, None)

    def tick(self, now_s):
        """Updates the state that depends on time.

        :param now_s: current time in seconds.
        """
        if self._started_s is None:
            self._started_s = now_s
        self.crash_monitor.tick(now_s, self.should_read_store(now_s))
        count = self.roster.count(now_s)
        self.allowances.set_member_counts(count.reachable, count.members, now_s)
        self.allowances.set_reporting_delay(
            len(self.roster.list_other_groups()), self.roster.summary_delay_s
        )
        self.store_reads.reporting_delay_s = (
            self.roster.summary_delay_s if self.roster.has_several_groups else 0.0
        )
        is_majority = 2 * count.reachable > count.members
        for dispatcher in self._dispatchers.values():
            dispatcher.slot_share = (
                1.0 if is_majority else count.reachable / count.members
            )
        self.brittleness.tick(now_s)
        self._assign_servers()
        self._apply_group_digests(now_s)
        for dispatcher in self._dispatchers.values():
            self.paths.update(dispatcher, now_s)
        self._record_due_timeouts(now_s)
        peak = self._peak_members.record(count.members, now_s)
        self._update_limits(count.reachable, peak, now_s)
        self._peak_member_count = peak
        self.releases.entry_count = peak
        self._has_retry_slack = now_s - self._started_s > self.policy.retry_window_s
        for budget in self._budgets.values():
            budget.entry_count = peak
            budget.has_slack = self._has_retry_slack
        sources = set(
            members.list_reachable_digests(self.roster.list_group_peers(), now_s)
        )
        sources.update(
            name
            for name, peer in self.roster.group_summaries.items()
            if not peer.is_unreachable(now_s)
        )
        for source in self._peer_loads.drop_others(sources):
            self.silences.forget(source)
        if members.REMOTE_GROUPS not in sources:
            # A leader knows the loads of all groups; without a summary none are known.
            self._set_remote_servers(None)
        for server_id in self.store_reads.pop_due_removals(now_s):
            self._remove(server_id, now_s)


def _build_location(server):
    registration = server.registration
    return group_servers.Location(registration.server_id, registration.domain)
