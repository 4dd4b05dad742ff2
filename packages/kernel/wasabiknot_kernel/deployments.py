"""All that an entry knows of its deployment, and its decisions on it."""

import msgspec

from wasabiknot_kernel import (
    allowances,
    budgets,
    cells,
    choosers,
    crashes,
    dispatch,
    facts,
    members,
    outcomes,
    paces,
    releases,
    servers,
)

# Time for which backend servers may take to be registered again after the store
# was away for everyone.
REMOVAL_GRACE_S = 2.2
# Age of the newest read, of any entry, from which the store counts as away.
STORE_TIMEOUT_S = 1.5
# Time after a lost answer in which the end of its backend server is put down to
# the request.
CRASH_ATTRIBUTION_S = 2.0
CRASH_REPORT_S = 2.0
# Time for which an entry reads the store itself after a peer did not give it
# what it knows.
DIRECT_READ_S = 2.0


class Policy(msgspec.Struct, frozen=True):
    """Bounds that the decisions keep.

    :param retry_ratio: repeats allowed for each request.
    :param retry_window_s: window of that ratio.
    :param retry_slack: repeats that all entries together may add.
    :param tolerance: by how much customers may overrun their limits.
    :param canary_share: part of the requests that an unproven version may get.
    :param placement: name of the way to choose backend servers.
    """

    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    tolerance: allowances.Tolerance
    canary_share: float
    placement: str = choosers.DEFAULT_NAME


class Deployment:
    """The state of one entry; time and random numbers are passed in.

    :param member: record of this entry.
    :param policy: ``Policy``.
    :param rng: random numbers.
    """

    def __init__(self, member, policy, rng):
        self.member = member
        self.policy = policy
        self._rng = rng
        self.table = None
        self.has_servers = False
        self.topics = {}
        self.roster = members.Roster(member)
        self.allowances = allowances.Allowances(policy.tolerance)
        self.crashes = crashes.CrashRegister()
        self.releases = releases.Releases(policy.canary_share, rng)
        self._dispatchers = {}
        self._budgets = {}
        self._services_by_server = {}
        self._lost_answers = []
        self._peer_uses = {}
        self._pending_removals = {}
        self.read_s = None
        self._newest_read_s = None
        self._fetch_failure_s = None
        self._store_recovered_s = None
        self._sequence = 0
        self.is_stopping = False

    @property
    def is_ready(self):
        """Whether requests can be decided on."""
        return self.table is not None and self.has_servers

    def set_policy(self, policy):
        """Takes other bounds.

        :param policy: ``Policy``.
        """
        self.policy = policy
        self.releases.canary_share = policy.canary_share
        for budget in self._budgets.values():
            budget.set_bounds(
                policy.retry_ratio, policy.retry_window_s, policy.retry_slack
            )

    def get_topic(self, name):
        """Finds the facts of a topic.

        :param name: its name.
        :return: ``facts.Topic``.
        """
        if name not in self.topics:
            self.topics[name] = facts.Topic(name)
        return self.topics[name]

    # Configuration

    def apply_configuration(self, table, now_s):
        """Takes a configuration, unless it is older than the one in force.

        :param table: ``routes.RouteTable``.
        :param now_s: present time.
        :return: whether it is in force now.
        """
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        self.allowances.set_customers(table.customers, now_s)
        # Backend servers may have been registered before their service was known.
        for service, dispatcher in self._dispatchers.items():
            dispatcher.set_engine(self._find_engine(service))
        return True

    def get_dispatcher(self, service):
        """Finds the dispatcher of a service.

        :param service: its name.
        :return: ``dispatch.Dispatcher``.
        """
        if service not in self._dispatchers:
            chooser = choosers.create_chooser(self.policy.placement)
            dispatcher = dispatch.Dispatcher(service, self._rng, chooser)
            dispatcher.select = self.releases.select
            dispatcher.name = self.member.name
            dispatcher.set_engine(self._find_engine(service))
            self._dispatchers[service] = dispatcher
        return self._dispatchers[service]

    def _find_engine(self, service):
        known = self.table.find_service(service) if self.table else None
        return known.engine if known is not None else None

    def list_dispatchers(self):
        """Lists the dispatchers.

        :return: list of ``dispatch.Dispatcher``.
        """
        return list(self._dispatchers.values())

    def get_budget(self, service):
        """Finds the retry budget of a service.

        :param service: its name.
        :return: ``budgets.RetryBudget``.
        """
        if service not in self._budgets:
            self._budgets[service] = budgets.RetryBudget(
                self.policy.retry_ratio,
                self.policy.retry_window_s,
                self.policy.retry_slack,
            )
        return self._budgets[service]

    # Backend servers

    def apply_registration(self, registration, now_s):
        """Takes the registration of a backend server.

        :param registration: ``registrations.Registration``.
        :param now_s: present time.
        """
        server_id = registration.server_id
        self._pending_removals.pop(server_id, None)
        before = self._services_by_server.get(server_id)
        if before is not None and before != registration.service:
            self.get_dispatcher(before).remove(server_id)
        self._services_by_server[server_id] = registration.service
        dispatcher = self.get_dispatcher(registration.service)
        known = dispatcher.servers.get(server_id)
        if known and known.registration.born_ms != registration.born_ms:
            self._confirm_crash(server_id, now_s)
        dispatcher.register(registration)
        server = dispatcher.servers[server_id]
        if server is not known:
            server.warm_until_s = now_s + registration.warmup_ms / 1_000
            self._apply_known_uses(server_id)
        self.releases.note_version(registration.service, registration.version, now_s)

    def apply_removal(self, server_id, now_s):
        """Takes the news that a backend server is no longer registered.

        :param server_id: its id.
        :param now_s: present time.
        :return: whether it gets no more work from now on.
        """
        if server_id not in self._services_by_server:
            return False
        if self.is_store_unavailable(now_s) or self._has_store_just_recovered(now_s):
            self._pending_removals.setdefault(
                server_id, (self._store_recovered_s or now_s) + REMOVAL_GRACE_S
            )
            return False
        self._remove(server_id, now_s)
        return True

    def _remove(self, server_id, now_s):
        self._confirm_crash(server_id, now_s)
        service = self._services_by_server.pop(server_id, None)
        if service is not None:
            self.get_dispatcher(service).remove(server_id)

    def find_server(self, server_id):
        """Finds a backend server.

        :param server_id: its id.
        :return: ``servers.Server`` or ``None``.
        """
        service = self._services_by_server.get(server_id)
        if service is None:
            return None
        return self.get_dispatcher(service).servers.get(server_id)

    # The store

    def record_read(self, now_s):
        """Notes that the store has answered this entry.

        :param now_s: present time.
        """
        self.read_s = now_s
        self._record_newest_read(now_s, now_s)

    def _record_newest_read(self, read_s, now_s):
        if (
            self._newest_read_s is not None
            and now_s - self._newest_read_s > STORE_TIMEOUT_S
        ):
            self._store_recovered_s = now_s
        self._newest_read_s = max(self._newest_read_s or 0.0, read_s)

    def is_store_unavailable(self, now_s):
        """Whether no entry that is heard has reached the store lately.

        :param now_s: present time.
        :return: ``True`` while the store is away for everyone.
        """
        return (
            self._newest_read_s is None or now_s - self._newest_read_s > STORE_TIMEOUT_S
        )

    def _has_store_just_recovered(self, now_s):
        return (
            self._store_recovered_s is not None
            and now_s - self._store_recovered_s < REMOVAL_GRACE_S
        )

    def compute_read_age_ms(self, now_s):
        """Measures how old the newest own read of the store is.

        :param now_s: present time.
        :return: milliseconds, or -1 before the first read.
        """
        return -1 if self.read_s is None else round((now_s - self.read_s) * 1_000)

    # Releases

    def record_evidence(self, ticket, server, outcome, held_s, events, now_s):
        """Notes the end of a send as evidence on a release.

        :param ticket: ``arrivals.Ticket``.
        :param server: ``servers.Server``.
        :param outcome: ``outcomes.Outcome``.
        :param held_s: time since it was sent.
        :param events: events that came.
        :param now_s: present time.
        """
        if self.crashes.count(ticket.fingerprint):
            return
        pace = None
        # What it answers while it warms up says nothing of its version's speed.
        is_warm = now_s - held_s >= server.warm_until_s
        if outcome is outcomes.Outcome.WHOLE and is_warm:
            pace = held_s * 1_000 / paces.predict_whole_ms(ticket.prompt_tokens, events)
        self.releases.note(ticket, server, outcome, pace)

    def count_running_on_old_versions(self, order):
        """Counts the requests at backend servers that an order replaces.

        :param order: ``registrations.ReleaseOrder``.
        :return: requests of all entries that are heard.
        """
        return sum(
            server.count_running()
            for server in self.get_dispatcher(order.service).servers.values()
            if server.registration.version != order.target
        )

    # Crashes

    def record_lost_answer(self, crash, server, now_s):
        """Notes that a backend server broke a request off.

        :param crash: ``crashes.Crash``.
        :param server: ``servers.Server``.
        :param now_s: present time.
        """
        self._lost_answers = [
            row for row in self._lost_answers if now_s - row[0] < CRASH_ATTRIBUTION_S
        ]
        self._lost_answers.append((now_s, server.server_id, crash))

    def record_refused_connection(self, server_id, now_s):
        """Notes that a backend server refused a connection.

        :param server_id: its id.
        :param now_s: present time.
        """
        self._confirm_crash(server_id, now_s)

    def _confirm_crash(self, server_id, now_s):
        for lost_s, lost_id, crash in self._lost_answers:
            if lost_id == server_id and now_s - lost_s < CRASH_ATTRIBUTION_S:
                self.crashes.record(crash, now_s)
        self._lost_answers = [row for row in self._lost_answers if row[1] != server_id]

    # Peers

    def build_digest(self, now_s):
        """Builds the digest of this entry.

        :param now_s: present time.
        :return: ``members.Digest``.
        """
        built = self._build_digest(now_s, self._list_uses(), self.allowances.used)
        waiting = {}
        faulty_servers = []
        for name, dispatcher in self._dispatchers.items():
            if len(dispatcher):
                waiting[name] = len(dispatcher)
            for server in dispatcher.servers.values():
                server.announced = len(server.sends)
                if server.is_faulty(now_s):
                    faulty_servers.append(server.server_id)
        return msgspec.structs.replace(
            built, waiting=waiting, faulty_servers=tuple(faulty_servers)
        )

    def build_group_summary(self, now_s):
        """Builds the sum of the own group, for the leaders of the others.

        :param now_s: present time.
        :return: ``members.Digest``.
        """
        reachable = _list_reachable_digests(self.roster.list_group_peers(), now_s)
        uses = self._list_uses()
        for digest in reachable.values():
            _add_uses(uses, digest.uses)
        count = self.roster.count_group(now_s)
        built = self._build_digest(now_s, uses, self.allowances.group_used)
        return msgspec.structs.replace(
            built,
            group=self.roster.group.name,
            evidence=self.releases.sum_evidence(reachable),
            reachable=count.reachable,
            members=count.members,
        )

    def build_remote_summary(self, now_s):
        """Builds the sum of the other groups, for the own one.

        :param now_s: present time.
        :return: ``members.Digest``.
        """
        uses = {}
        news = set()
        group_summaries = {
            name: peer.digest
            for name, peer in self.roster.group_summaries.items()
            if not peer.is_unreachable(now_s)
        }
        for digest in group_summaries.values():
            _add_uses(uses, digest.uses)
            news.update(digest.recent_crashes)
        count = self.roster.count_other_groups(now_s)
        built = self._build_digest(now_s, uses, self.allowances.remote_used)
        return msgspec.structs.replace(
            built,
            group=members.REMOTE_GROUPS,
            evidence=self.releases.sum_evidence(group_summaries, with_own=False),
            recent_crashes=tuple(news),
            reachable=count.reachable,
            members=count.members,
        )

    def _build_digest(self, now_s, uses, used):
        self._sequence += 1
        return members.Digest(
            name=self.member.name,
            run=self.member.run,
            sequence=self._sequence,
            positions={
                name: topic.change_position for name, topic in self.topics.items()
            },
            uses=uses,
            used={name: round(value) for name, value in used.items()},
            recent_crashes=self.crashes.list_recent(now_s, CRASH_REPORT_S),
            is_stopping=self.is_stopping,
            read_age_ms=self.compute_read_age_ms(now_s),
            evidence=self.releases.list_evidence(),
        )

    def _list_uses(self):
        uses = {}
        for dispatcher in self._dispatchers.values():
            if not dispatcher.is_engine:
                continue
            for server in dispatcher.servers.values():
                if server.sends:
                    uses[server.server_id] = servers.PeerUse(
                        len(server.sends), round(server.count_own_unread())
                    )
        return uses

    def apply_digest(self, digest, now_s):
        """Takes the digest of a peer, or the sum of another group.

        :param digest: ``members.Digest``.
        :param now_s: present time.
        :return: ``members.Peer``, or ``None`` if it was not taken.
        """
        peer = self.roster.apply_digest(digest, now_s)
        if peer is None:
            return None
        if digest.read_age_ms >= 0:
            self._record_newest_read(now_s - digest.read_age_ms / 1_000, now_s)
        source = digest.group or digest.name
        self._apply_peer_uses(source, digest.uses)
        total = None
        if not digest.group:
            total = self.allowances.group_used
        elif digest.group != members.REMOTE_GROUPS:
            total = self.allowances.remote_used
        self.allowances.charge_peer_use(source, digest.run, digest.used, now_s, total)
        self.releases.take_evidence(source, digest.evidence)
        for crash in digest.recent_crashes:
            self.crashes.add(crash, now_s)
        return peer

    def _apply_known_uses(self, server_id):
        # Peers may have told of its load before it was known here.
        for source, uses in self._peer_uses.items():
            if server_id in uses:
                self._set_peer_use(server_id, source, uses[server_id])

    def _apply_peer_uses(self, source, uses):
        before = self._peer_uses.get(source, {})
        if before == uses and source in self._peer_uses:
            return
        for server_id in before.keys() - uses.keys():
            self._set_peer_use(server_id, source, None)
        for server_id, use in uses.items():
            self._set_peer_use(server_id, source, use)
        self._peer_uses[source] = uses

    def _set_peer_use(self, server_id, source, use):
        server = self.find_server(server_id)
        if server is None:
            return
        if use is None:
            server.peers.pop(source, None)
        else:
            server.peers[source] = use

    def is_behind(self, peer):
        """Whether a peer knows of changes that this entry does not know.

        :param peer: ``members.Peer``.
        :return: ``True`` if its facts should be fetched.
        """
        return any(
            position > self.get_topic(name).change_position
            for name, position in peer.digest.positions.items()
        )

    def record_fetch_failure(self, now_s):
        """Notes that facts could not be fetched from a peer.

        :param now_s: present time.
        """
        self._fetch_failure_s = now_s

    def should_read_store(self, now_s):
        """Whether this entry should read the store for itself and its group.

        :param now_s: present time.
        :return: ``False`` while an earlier member of the group does so.
        """
        failed_s = self._fetch_failure_s
        if failed_s is not None and now_s - failed_s < DIRECT_READ_S:
            return True
        reader = self.roster.find_store_reader(now_s)
        if reader is None:
            return True
        if reader.member.order > self.member.order:
            age_ms = self.compute_read_age_ms(now_s)
            return 0 <= age_ms < members.FRESH_READ_S * 1_000
        return False

    def _assign_servers(self):
        if not self.roster.has_several_groups:
            for dispatcher in self._dispatchers.values():
                dispatcher.cell = None
                dispatcher.shared_by = None
            return
        for dispatcher in self._dispatchers.values():
            shared_by = (self.roster.regroup_count, dispatcher.registered)
            if dispatcher.shared_by != shared_by:
                dispatcher.shared_by = shared_by
                dispatcher.cell = self._find_preferred_servers(dispatcher)

    def _find_preferred_servers(self, dispatcher):
        own = self.roster.group
        groups = [
            cells.Location(group.name, group.domain)
            for group in [own, *self.roster.list_other_groups()]
        ]
        places = [
            _build_location(server)
            for server in dispatcher.servers.values()
            if not server.is_leaving
        ]
        return cells.assign_servers(places, groups)[own.name]

    def _apply_group_digests(self, now_s):
        reachable = _list_reachable_digests(self.roster.list_group_peers(), now_s)
        faulty_servers = {
            name for digest in reachable.values() for name in digest.faulty_servers
        }
        for service, dispatcher in self._dispatchers.items():
            waiting = [
                name for name, item in reachable.items() if service in item.waiting
            ]
            dispatcher.contenders = tuple(sorted([self.member.name, *waiting]))
            for server in dispatcher.servers.values():
                server.is_shunned = server.server_id in faulty_servers

    def tick(self, now_s):
        """Brings what depends on time up to date.

        :param now_s: present time.
        """
        count = self.roster.count(now_s)
        self.allowances.set_member_counts(count.reachable, count.members, now_s)
        self.allowances.set_reporting_delay(
            len(self.roster.list_other_groups()), self.roster.summary_delay_s
        )
        is_majority = 2 * count.reachable > count.members
        for dispatcher in self._dispatchers.values():
            dispatcher.share = 1.0 if is_majority else count.reachable / count.members
        self._assign_servers()
        self._apply_group_digests(now_s)
        for budget in self._budgets.values():
            budget.members = count.members
        live = set(_list_reachable_digests(self.roster.list_group_peers(), now_s))
        live.update(
            name
            for name, peer in self.roster.group_summaries.items()
            if not peer.is_unreachable(now_s)
        )
        for source in self._peer_uses.keys() - live:
            self._apply_peer_uses(source, {})
            del self._peer_uses[source]
        for server_id, due_s in list(self._pending_removals.items()):
            if now_s >= due_s and not self.is_store_unavailable(now_s):
                del self._pending_removals[server_id]
                self._remove(server_id, now_s)


def _build_location(server):
    registration = server.registration
    return cells.Location(registration.server_id, registration.domain)


def _list_reachable_digests(peers, now_s):
    return {
        peer.member.name: peer.digest
        for peer in peers
        if not peer.is_unreachable(now_s)
    }


def _add_uses(total, uses):
    for server_id, use in uses.items():
        known = total.get(server_id, servers.PeerUse(0, 0))
        total[server_id] = servers.PeerUse(
            known.running + use.running, known.unread_tokens + use.unread_tokens
        )
