"""Builds what an entry tells its peers: its digest, and the summaries of groups."""

import collections
import math

import msgspec

from wasabiknot_kernel import (
    customer_shares,
    members,
    server_paces,
    servers,
    statements,
)

# Channels of the statements in the digest of one entry, in the summary of its group and
# in the summary of the other groups.
OWN_CHANNELS = frozenset({statements.Channel.OWN})
GROUP_CHANNELS = frozenset({statements.Channel.OWN, statements.Channel.GROUP})
REMOTE_CHANNELS = frozenset({statements.Channel.REMOTE})
# Largest number of backend servers of other groups, by service, whose loads the members
# of a group get: those with the most free slots. They use no others.
MAX_REMOTE_SERVERS = 16
# Age up to which the newest response of a service's servers is reported.
MAX_HEARD_AGE_S = 5.0


class DigestBuilder:
    """Builds the digests and summaries of one entry.

    :param entry: ``deployments.Deployment``.
    """

    def __init__(self, entry):
        self._entry = entry
        self._sequence = 0
        # Times in seconds of the last reports of the work of customers, by scope.
        self._work_reported_s = {}

    def build_digest(self, now_s):
        """Builds the digest of this entry.

        :param now_s: current time in seconds.
        :return: ``members.Digest``.
        """
        built = self._build_digest(
            now_s,
            self._list_loads(),
            self._entry.allowances.used,
            self._list_responses(now_s),
            OWN_CHANNELS,
            self._list_silences(now_s),
        )
        waiting = {}
        queue_heads = {}
        faulty_servers = []
        paces = []
        for dispatcher in self._entry.list_dispatchers():
            dispatcher.is_waiting_advertised = len(dispatcher) > 0
            head = dispatcher.advertise_queue_head(now_s)
            is_reached = not self._entry.paths.is_unreached(dispatcher.service)
            # What an entry cut off from them can't use or judge is left to the others.
            if len(dispatcher) and is_reached:
                waiting[dispatcher.service] = len(dispatcher)
                if head is not None:
                    queue_heads[dispatcher.service] = head
            for server in dispatcher.servers.values():
                server.advertised_sends = len(server.sends)
                if is_reached and server.is_faulty(now_s):
                    faulty_servers.append(server.server_id)
                pace = server.pace.build_report(server.server_id, now_s)
                if pace is not None:
                    paces.append(pace)
        return msgspec.structs.replace(
            built,
            waiting=waiting,
            faulty_servers=tuple(faulty_servers),
            unreached_services=self._entry.paths.list_unreached(),
            heard_ms=self._list_heard_ms(now_s),
            is_reading_group=self._entry.is_reading_group(now_s),
            queue_heads=queue_heads,
            customer_work=self._list_work(customer_shares.Scope.ENTRY, now_s),
            paces=server_paces.select_reports(paces),
        )

    def _list_work(self, scope, now_s):
        reported_s = self._work_reported_s.get(scope, -math.inf)
        if now_s - reported_s < customer_shares.REPORT_INTERVAL_S:
            return ()
        self._work_reported_s[scope] = now_s
        return customer_shares.list_reports(self._entry.list_shares(), scope, now_s)

    def _list_responses(self, now_s):
        register = self._entry.crashes
        return register.list_responses() | register.list_part_responses(now_s)

    def _list_heard_ms(self, now_s):
        heard_ms = {}
        for service in self._entry.helpers.list_asked_services(now_s):
            age_s = now_s - self._entry.paths.find_heard_s(service)
            if age_s <= MAX_HEARD_AGE_S:
                heard_ms[service] = round(age_s * 1_000)
        return heard_ms

    def build_group_summary(self, now_s):
        """Builds the summary of this group for the leaders of other groups.

        :param now_s: current time in seconds.
        :return: ``members.Digest``.
        """
        digests = members.list_reachable_digests(
            self._entry.roster.list_group_peers(), now_s
        )
        loads = self._list_loads()
        responses = collections.Counter(self._list_responses(now_s))
        for digest in digests.values():
            _add_loads(loads, digest.loads)
            responses.update(digest.responses)
        count = self._entry.roster.count_group(now_s)
        used = self._entry.allowances.group_used
        silent = self._entry.silences.merge_reports(
            digests, self._list_silences(now_s), now_s
        )
        built = self._build_digest(
            now_s, loads, used, responses, GROUP_CHANNELS, silent
        )
        return msgspec.structs.replace(
            built,
            group=self._entry.roster.group.name,
            read_age_ms=self._entry.compute_group_read_age_ms(now_s),
            evidence=self._entry.releases.merge_evidence(digests),
            reachable=count.reachable,
            members=count.members,
            customer_work=self._list_work(customer_shares.Scope.GROUP, now_s),
        )

    def build_remote_summary(self, now_s):
        """Builds the summary of the other groups for the members of this group.

        :param now_s: current time in seconds.
        :return: ``members.Digest``.
        """
        loads = {}
        summaries = {
            name: peer.digest
            for name, peer in self._entry.roster.group_summaries.items()
            if not peer.is_unreachable(now_s)
        }
        responses = collections.Counter()
        for digest in summaries.values():
            _add_loads(loads, digest.loads)
            responses.update(digest.responses)
        loads = self._select_loads(loads)
        count = self._entry.roster.count_other_groups(now_s)
        used = self._entry.allowances.remote_used
        silent = self._entry.silences.merge_reports(summaries, {}, now_s)
        built = self._build_digest(
            now_s, loads, used, responses, REMOTE_CHANNELS, silent
        )
        return msgspec.structs.replace(
            built,
            group=members.REMOTE_GROUPS,
            read_age_ms=self._entry.store_reads.compute_known_age_ms(now_s),
            evidence=self._entry.releases.merge_evidence(summaries, include_own=False),
            reachable=count.reachable,
            members=count.members,
            customer_work=self._list_work(customer_shares.Scope.OTHER_GROUPS, now_s),
        )

    def _select_loads(self, loads):
        selected = {}
        for dispatcher in self._entry.list_dispatchers():
            if dispatcher.is_engine:
                selected.update(_select_loads_of_service(dispatcher, loads))
        return selected

    def _list_silences(self, now_s):
        servers_of_releases = self._entry.list_released_servers()
        return self._entry.silences.list_reports(servers_of_releases, now_s)

    def _build_digest(self, now_s, loads, used, responses, channels, silent):
        self._sequence += 1
        return members.Digest(
            name=self._entry.member.name,
            run=self._entry.member.run,
            sequence=self._sequence,
            positions={
                name: topic.change_position
                for name, topic in self._entry.topics.items()
            },
            loads=loads,
            used={name: round(value) for name, value in used.items()},
            recent_crashes=self._entry.crashes.list_reported(now_s, channels),
            is_stopping=self._entry.is_stopping,
            read_age_ms=self._entry.store_reads.compute_age_ms(now_s),
            evidence=self._entry.releases.list_evidence(),
            refused_servers=self._entry.crash_monitor.list_refused(now_s),
            responses=dict(responses),
            limits=self._entry.eligibility.limits.list_reports(now_s, channels),
            leaving_servers=self._entry.eligibility.list_leaving_reports(
                now_s, channels
            ),
            silence_reports=silent,
            brittle_services=self._entry.brittleness.list_reports(now_s, channels),
            broken_servers=self._entry.eligibility.warmups.list_broken_connections(
                now_s, channels
            ),
        )

    def _list_loads(self):
        loads = {}
        for dispatcher in self._entry.list_dispatchers():
            if not dispatcher.is_engine:
                continue
            for server in dispatcher.servers.values():
                if server.sends:
                    loads[server.server_id] = servers.PeerLoad(
                        len(server.sends), round(server.count_own_pending_prefill())
                    )
        return loads


def _select_loads_of_service(dispatcher, loads):
    own_ids = dispatcher.group_servers or ()
    selected = {}
    open_servers = []
    for server_id, server in dispatcher.servers.items():
        load = loads.get(server_id, servers.PeerLoad(0, 0))
        if server_id in own_ids:
            if load.running:
                selected[server_id] = load
        elif not server.is_retired and load.running < server.slots:
            open_servers.append((load.running / server.slots, server_id, load))
    open_servers.sort(key=lambda item: item[:2])
    for _, server_id, load in open_servers[:MAX_REMOTE_SERVERS]:
        selected[server_id] = load
    return selected


def _add_loads(total, loads):
    for server_id, load in loads.items():
        current = total.get(server_id, servers.PeerLoad(0, 0))
        total[server_id] = servers.PeerLoad(
            current.running + load.running,
            current.pending_prefill_tokens + load.pending_prefill_tokens,
        )
