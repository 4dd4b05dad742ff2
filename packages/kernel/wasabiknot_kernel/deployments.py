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
LAPSE_GRACE_S = 2.2
# Age of the newest read, of any entry, from which the store counts as away.
AWAY_S = 1.5
# Time after a lost answer in which the end of its backend server is put down to
# the request.
CRASH_SPAN_S = 2.0
CRASH_NEWS_S = 2.0
# Time for which an entry reads the store itself after a peer did not give it
# what it knows.
OWN_READS_S = 2.0


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
        self._places = {}
        self._lost = []
        self._heard = {}
        self._lapsed = {}
        self.read_s = None
        self._known_read_s = None
        self._fetch_failed_s = None
        self._back_s = None
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

    def find_topic(self, name):
        """Finds the facts of a topic.

        :param name: its name.
        :return: ``facts.Topic``.
        """
        if name not in self.topics:
            self.topics[name] = facts.Topic(name)
        return self.topics[name]

    # Configuration

    def take_configuration(self, table, now_s):
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

    def find_dispatcher(self, service):
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

    def find_budget(self, service):
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

    def take_registration(self, registration, now_s):
        """Takes the registration of a backend server.

        :param registration: ``registrations.Registration``.
        :param now_s: present time.
        """
        server_id = registration.server_id
        self._lapsed.pop(server_id, None)
        before = self._places.get(server_id)
        if before is not None and before != registration.service:
            self.find_dispatcher(before).remove(server_id)
        self._places[server_id] = registration.service
        dispatcher = self.find_dispatcher(registration.service)
        known = dispatcher.servers.get(server_id)
        if known and known.registration.born_ms != registration.born_ms:
            self._confirm_crash(server_id, now_s)
        dispatcher.register(registration)
        server = dispatcher.servers[server_id]
        if server is not known:
            server.warm_until_s = now_s + registration.warmup_ms / 1_000
            self._apply_uses(server_id)
        self.releases.record_version(registration.service, registration.version, now_s)

    def take_removal(self, server_id, now_s):
        """Takes the news that a backend server is no longer registered.

        :param server_id: its id.
        :param now_s: present time.
        :return: whether it gets no more work from now on.
        """
        if server_id not in self._places:
            return False
        if self.is_store_away(now_s) or self._is_just_back(now_s):
            self._lapsed.setdefault(server_id, (self._back_s or now_s) + LAPSE_GRACE_S)
            return False
        self._remove(server_id, now_s)
        return True

    def _remove(self, server_id, now_s):
        self._confirm_crash(server_id, now_s)
        service = self._places.pop(server_id, None)
        if service is not None:
            self.find_dispatcher(service).remove(server_id)

    def find_server(self, server_id):
        """Finds a backend server.

        :param server_id: its id.
        :return: ``servers.Server`` or ``None``.
        """
        service = self._places.get(server_id)
        if service is None:
            return None
        return self.find_dispatcher(service).servers.get(server_id)

    # The store

    def note_read(self, now_s):
        """Notes that the store has answered this entry.

        :param now_s: present time.
        """
        self.read_s = now_s
        self._note_known_read(now_s, now_s)

    def _note_known_read(self, read_s, now_s):
        if self._known_read_s is not None and now_s - self._known_read_s > AWAY_S:
            self._back_s = now_s
        self._known_read_s = max(self._known_read_s or 0.0, read_s)

    def is_store_away(self, now_s):
        """Whether no entry that is heard has reached the store lately.

        :param now_s: present time.
        :return: ``True`` while the store is away for everyone.
        """
        return self._known_read_s is None or now_s - self._known_read_s > AWAY_S

    def _is_just_back(self, now_s):
        return self._back_s is not None and now_s - self._back_s < LAPSE_GRACE_S

    def measure_age_ms(self, now_s):
        """Measures how old the newest own read of the store is.

        :param now_s: present time.
        :return: milliseconds, or -1 before the first read.
        """
        return -1 if self.read_s is None else round((now_s - self.read_s) * 1_000)

    # Releases

    def note_evidence(self, ticket, server, outcome, held_s, events, now_s):
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
        self.releases.record_outcome(ticket, server, outcome, pace)

    def count_old_running(self, order):
        """Counts the requests at backend servers that an order replaces.

        :param order: ``registrations.ReleaseOrder``.
        :return: requests of all entries that are heard.
        """
        return sum(
            server.count_running()
            for server in self.find_dispatcher(order.service).servers.values()
            if server.registration.version != order.target
        )

    # Crashes

    def note_lost(self, crash, server, now_s):
        """Notes that a backend server broke a request off.

        :param crash: ``crashes.Crash``.
        :param server: ``servers.Server``.
        :param now_s: present time.
        """
        self._lost = [row for row in self._lost if now_s - row[0] < CRASH_SPAN_S]
        self._lost.append((now_s, server.server_id, crash))

    def note_unreached(self, server_id, now_s):
        """Notes that a backend server refused a connection.

        :param server_id: its id.
        :param now_s: present time.
        """
        self._confirm_crash(server_id, now_s)

    def _confirm_crash(self, server_id, now_s):
        for lost_s, lost_id, crash in self._lost:
            if lost_id == server_id and now_s - lost_s < CRASH_SPAN_S:
                self.crashes.note(crash, now_s)
        self._lost = [row for row in self._lost if row[1] != server_id]

    # Peers

    def build_digest(self, now_s):
        """Builds the digest of this entry.

        :param now_s: present time.
        :return: ``members.Digest``.
        """
        built = self._build(now_s, self._list_uses(), self.allowances.used)
        waiting = {}
        shunned = []
        for name, dispatcher in self._dispatchers.items():
            if len(dispatcher):
                waiting[name] = len(dispatcher)
            for server in dispatcher.servers.values():
                server.announced = len(server.sends)
                if server.is_faulty(now_s):
                    shunned.append(server.server_id)
        return msgspec.structs.replace(built, waiting=waiting, shunned=tuple(shunned))

    def build_sum(self, now_s):
        """Builds the sum of the own group, for the leaders of the others.

        :param now_s: present time.
        :return: ``members.Digest``.
        """
        heard = _list_heard(self.roster.list_mates(), now_s)
        uses = self._list_uses()
        for digest in heard.values():
            _add_uses(uses, digest.uses)
        count = self.roster.count_mates(now_s)
        built = self._build(now_s, uses, self.allowances.relayed)
        return msgspec.structs.replace(
            built,
            group=self.roster.group.name,
            evidence=self.releases.merge_evidence(heard),
            heard=count.heard,
            members=count.members,
        )

    def build_rest(self, now_s):
        """Builds the sum of the other groups, for the own one.

        :param now_s: present time.
        :return: ``members.Digest``.
        """
        uses = {}
        news = set()
        sums = {
            name: peer.digest
            for name, peer in self.roster.sums.items()
            if not peer.is_silent(now_s)
        }
        for digest in sums.values():
            _add_uses(uses, digest.uses)
            news.update(digest.crash_news)
        count = self.roster.count_others(now_s)
        built = self._build(now_s, uses, self.allowances.rest)
        return msgspec.structs.replace(
            built,
            group=members.REST,
            evidence=self.releases.merge_evidence(sums, include_own=False),
            crash_news=tuple(news),
            heard=count.heard,
            members=count.members,
        )

    def _build(self, now_s, uses, used):
        self._sequence += 1
        return members.Digest(
            name=self.member.name,
            run=self.member.run,
            sequence=self._sequence,
            positions={
                name: topic.news_position for name, topic in self.topics.items()
            },
            uses=uses,
            used={name: round(value) for name, value in used.items()},
            crash_news=self.crashes.list_news(now_s, CRASH_NEWS_S),
            is_stopping=self.is_stopping,
            read_age_ms=self.measure_age_ms(now_s),
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

    def take_digest(self, digest, now_s):
        """Takes the digest of a peer, or the sum of another group.

        :param digest: ``members.Digest``.
        :param now_s: present time.
        :return: ``members.Peer``, or ``None`` if it was not taken.
        """
        peer = self.roster.take_digest(digest, now_s)
        if peer is None:
            return None
        if digest.read_age_ms >= 0:
            self._note_known_read(now_s - digest.read_age_ms / 1_000, now_s)
        source = digest.group or digest.name
        self._take_uses(source, digest.uses)
        total = None
        if not digest.group:
            total = self.allowances.relayed
        elif digest.group != members.REST:
            total = self.allowances.rest
        self.allowances.take_peer(source, digest.run, digest.used, now_s, total)
        self.releases.apply_evidence(source, digest.evidence)
        for crash in digest.crash_news:
            self.crashes.take(crash, now_s)
        return peer

    def _apply_uses(self, server_id):
        # Peers may have told of its load before it was known here.
        for source, uses in self._heard.items():
            if server_id in uses:
                self._set_use(server_id, source, uses[server_id])

    def _take_uses(self, source, uses):
        before = self._heard.get(source, {})
        if before == uses and source in self._heard:
            return
        for server_id in before.keys() - uses.keys():
            self._set_use(server_id, source, None)
        for server_id, use in uses.items():
            self._set_use(server_id, source, use)
        self._heard[source] = uses

    def _set_use(self, server_id, source, use):
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
            position > self.find_topic(name).news_position
            for name, position in peer.digest.positions.items()
        )

    def note_fetch_failed(self, now_s):
        """Notes that facts could not be fetched from a peer.

        :param now_s: present time.
        """
        self._fetch_failed_s = now_s

    def is_reader(self, now_s):
        """Whether this entry should read the store for itself and its group.

        :param now_s: present time.
        :return: ``False`` while an earlier member of the group does so.
        """
        failed_s = self._fetch_failed_s
        if failed_s is not None and now_s - failed_s < OWN_READS_S:
            return True
        reader = self.roster.find_reader(now_s)
        if reader is None:
            return True
        if reader.member.order > self.member.order:
            age_ms = self.measure_age_ms(now_s)
            return 0 <= age_ms < members.FRESH_S * 1_000
        return False

    def _share_servers(self):
        if not self.roster.is_grouped:
            for dispatcher in self._dispatchers.values():
                dispatcher.cell = None
                dispatcher.shared_by = None
            return
        for dispatcher in self._dispatchers.values():
            shared_by = (self.roster.arranged, dispatcher.registered)
            if dispatcher.shared_by != shared_by:
                dispatcher.shared_by = shared_by
                dispatcher.cell = self._find_cell(dispatcher)

    def _find_cell(self, dispatcher):
        own = self.roster.group
        groups = [
            cells.Place(group.name, group.domain)
            for group in [own, *self.roster.list_other_groups()]
        ]
        places = [
            _find_place(server)
            for server in dispatcher.servers.values()
            if not server.is_leaving
        ]
        return cells.share_servers(places, groups)[own.name]

    def _note_mates(self, now_s):
        heard = _list_heard(self.roster.list_mates(), now_s)
        shunned = {name for digest in heard.values() for name in digest.shunned}
        for service, dispatcher in self._dispatchers.items():
            waiting = [name for name, item in heard.items() if service in item.waiting]
            dispatcher.contenders = tuple(sorted([self.member.name, *waiting]))
            for server in dispatcher.servers.values():
                server.is_shunned = server.server_id in shunned

    def tick(self, now_s):
        """Brings what depends on time up to date.

        :param now_s: present time.
        """
        count = self.roster.count(now_s)
        self.allowances.set_members(count.heard, count.members, now_s)
        self.allowances.set_unheard(
            len(self.roster.list_other_groups()), self.roster.sum_delay_s
        )
        is_majority = 2 * count.heard > count.members
        for dispatcher in self._dispatchers.values():
            dispatcher.share = 1.0 if is_majority else count.heard / count.members
        self._share_servers()
        self._note_mates(now_s)
        for budget in self._budgets.values():
            budget.members = count.members
        live = set(_list_heard(self.roster.list_mates(), now_s))
        live.update(
            name for name, peer in self.roster.sums.items() if not peer.is_silent(now_s)
        )
        for source in self._heard.keys() - live:
            self._take_uses(source, {})
            del self._heard[source]
        for server_id, due_s in list(self._lapsed.items()):
            if now_s >= due_s and not self.is_store_away(now_s):
                del self._lapsed[server_id]
                self._remove(server_id, now_s)


def _find_place(server):
    registration = server.registration
    return cells.Place(registration.server_id, registration.domain)


def _list_heard(peers, now_s):
    return {
        peer.member.name: peer.digest for peer in peers if not peer.is_silent(now_s)
    }


def _add_uses(total, uses):
    for server_id, use in uses.items():
        known = total.get(server_id, servers.PeerUse(0, 0))
        total[server_id] = servers.PeerUse(
            known.running + use.running, known.unread_tokens + use.unread_tokens
        )
