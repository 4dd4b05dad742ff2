"""Exchanges digests and facts with the other entries."""

import zlib

import msgspec
from twisted.internet import defer, protocol

from wasabiknot_entry import (
    calls,
    fact_pages,
    journal,
    pages,
    peer_streams,
    peer_traffic,
)
from wasabiknot_kernel import events, members, pacing, summaries

METRICS_PATH = b"/metrics"
# An entry that reads the store does not fetch from peers while its last read is more
# recent than this: its next read returns the changes soon enough.
OWN_READ_MAX_AGE_S = 0.6
FETCH_TIMEOUT_S = 1.2
# Time after which an entry that starts requests the facts from another peer.
START_FETCH_TIMEOUT_S = 0.25
# An unchanged digest is sent only once per this number of intervals.
UNCHANGED_DIGEST_INTERVALS = 3
# Shortest time between two digests that tell of changed loads.
MIN_ANNOUNCEMENT_INTERVAL_S = 0.05
# Loads that change so shortly before a regular digest are left to it.
REGULAR_MARGIN_S = 0.03
# Rate of bytes to peers up to which changed loads are sent between two regular digests.
# All bytes to peers must stay under ``peer_traffic.MAX_BYTES_PER_S``.
ANNOUNCED_BYTES_PER_S = 16_000
# Time for which changed positions are sent with each digest; otherwise they are sent
# with those that would be sent unchanged as well.
POSITIONS_REPEAT_S = 1.0


def create_factory(deployment, metrics, traffic):
    """Creates the HTTP server for peers and for the scraping of metrics.

    :param deployment: ``deployments.Deployment``.
    :param metrics: handler of the metrics path.
    :param traffic: ``peer_traffic.PeerTraffic``.
    :return: a Twisted protocol factory.
    """

    handlers = {
        fact_pages.PATH.encode(): fact_pages.create_handler(deployment, traffic),
        METRICS_PATH: metrics,
    }
    return pages.create_factory(handlers.get)


class Gossip(protocol.DatagramProtocol):
    """Sends digests to the peers and applies those received.

    When the digest of a peer shows changes that this entry lacks, the entry fetches
    the changed facts from that peer.

    :param reactor: Twisted reactor.
    :param deployment: ``deployments.Deployment``.
    :param pool: ``pools.Pool``.
    :param apply_facts: function of a topic name, a list of changed facts and the
        name of their source.
    :param traffic: ``peer_traffic.PeerTraffic``.
    :param link_mbps: speed of the VM's link, in megabits a second; 0 if it isn't known.
    """

    def __init__(self, reactor, deployment, pool, apply_facts, traffic, link_mbps=0):
        self._reactor = reactor
        self._deployment = deployment
        self._pool = pool
        self._apply_facts = apply_facts
        self._traffic = traffic
        self._pacer = pacing.Pacer(link_mbps)
        self._announcement_pacer = pacing.Pacer(link_mbps, ANNOUNCED_BYTES_PER_S)
        self._streams = peer_streams.PeerStreams()
        self._is_fetching = False
        self._interval_count = 0
        # Contents of the last regular digest, unless loads have been announced since,
        # and of the last digest of any kind, without the use.
        self._last_digest = None
        self._last_rest = None
        self._positions = {}
        self._positions_changed_s = 0.0
        self._sent_s = 0.0
        # Time of the last regular digest, sent or skipped.
        self._regular_s = 0.0
        self._announcement = None
        self._schedule = summaries.SummarySchedule()
        deployment.handle_load_change = self.announce_loads

    def send_digest(self):
        """Sends the digest of this entry and, as group leader, the summaries."""
        if self.transport is None:
            return
        now_s = self._reactor.seconds()
        self._regular_s = now_s
        if self._pacer.compute_delay_s(now_s) > 0:
            return
        roster = self._deployment.roster
        self._interval_count += 1
        digest = self._deployment.build_digest(now_s)
        if self._can_skip(digest, now_s):
            return
        digests = [digest]
        is_leader = roster.has_several_groups and roster.is_leader(now_s)
        if is_leader and self._pacer.has_room(now_s):
            digests.extend(self._send_summaries(now_s))
        self._sent_s = now_s
        self._send(digests, roster.list_group_peers())

    def announce_loads(self):
        """Sends a digest soon, as the loads of this entry have changed.

        Other entries would use a slot that is taken until they hear of it.
        """
        if self.transport is None or self._announcement is not None:
            return
        now_s = self._reactor.seconds()
        due_s = self._sent_s + MIN_ANNOUNCEMENT_INTERVAL_S
        delay_s = max(
            0.0,
            due_s - now_s,
            self._pacer.compute_delay_s(now_s),
            self._announcement_pacer.compute_delay_s(now_s),
        )
        if not self._is_regular_due(now_s + delay_s):
            self._announcement = self._reactor.callLater(delay_s, self._announce)

    def _is_regular_due(self, at_s):
        # Each digest costs every member of the group processor time.
        if not self._deployment.roster.has_several_groups:
            return False
        next_s = self._regular_s + members.DIGEST_INTERVAL_S
        return at_s > next_s - REGULAR_MARGIN_S

    def _announce(self):
        self._announcement = None
        now_s = self._reactor.seconds()
        digest = self._deployment.build_digest(now_s)
        rest = peer_streams.leave_out_use(digest)
        if rest == self._last_rest:
            return
        self._last_rest = rest
        # The next regular digest, which has the use, must not be skipped as unchanged.
        self._last_digest = None
        self._sent_s = now_s
        peers = self._deployment.roster.list_group_peers()
        self._send([digest], peers, omits_use=True)

    def _is_changed(self, digest):
        # Paces always change, and are no reason to send a digest.
        content = msgspec.structs.replace(digest, sequence=0, read_age_ms=0, paces=())
        is_changed = content != self._last_digest
        self._last_digest = content
        self._last_rest = peer_streams.leave_out_use(digest)
        return is_changed

    def _can_skip(self, digest, now_s):
        if self._is_changed(digest) or self._is_unchanged_due:
            return False
        # Group members depend on the read age in each digest of their leader.
        return not self._deployment.roster.is_leader(now_s)

    @property
    def _is_unchanged_due(self):
        return self._interval_count % UNCHANGED_DIGEST_INTERVALS == 0

    def _shorten(self, digests, now_s):
        # Positions are most of a digest and change rarely.
        digest = digests[0]
        if digest.group:
            return digests
        if digest.positions != self._positions:
            self._positions = digest.positions
            self._positions_changed_s = now_s
        is_new = now_s - self._positions_changed_s < POSITIONS_REPEAT_S
        if is_new or self._is_unchanged_due:
            return digests
        return [msgspec.structs.replace(digest, positions={}), *digests[1:]]

    def _send_summaries(self, now_s):
        roster = self._deployment.roster
        is_regular = self._interval_count % roster.digests_per_summary == 0
        changed_s = self._deployment.eligibility.changed_s
        due = self._schedule.advance(is_regular, changed_s, now_s)
        if due.group:
            summary = self._deployment.build_group_summary(now_s)
            recipients = [
                peer
                for group in roster.list_other_groups()
                for peer in roster.list_summary_recipients(group, now_s)
            ]
            self._send([summary], recipients, peer_traffic.Kind.SUMMARY)
        return [self._deployment.build_remote_summary(now_s)] if due.remote else []

    def _send(self, digests, peers, kind=peer_traffic.Kind.DIGEST, omits_use=False):
        now_s = self._reactor.seconds()
        modern, others = [], []
        for peer in peers:
            has_changes = peer.member.digest_format >= members.CHANGES_FORMAT
            (modern if has_changes else others).append(peer)
        if modern:
            data = self._streams.encode(digests, now_s, omits_use)
            self._write(data, modern, kind, now_s)
        if others:
            bundle = members.Bundle(tuple(self._shorten(digests, now_s)))
            self._write(msgspec.json.encode(bundle), others, kind, now_s)

    def _write(self, data, peers, kind, now_s):
        size_bytes = len(data) * len(peers)
        self._traffic.count(kind, size_bytes)
        self._pacer.record_send(size_bytes, now_s)
        self._announcement_pacer.record_send(size_bytes, now_s)
        for peer in peers:
            self.transport.write(data, (peer.member.host, peer.member.port))

    def datagramReceived(self, data, addr):  # noqa: N802
        """Applies the digests in a datagram from a peer."""
        now_s = self._reactor.seconds()
        try:
            digests, reply = self._streams.decode(data, now_s)
        except msgspec.MsgspecError as error:
            journal.write(events.Event.DATAGRAM_BAD, peer=addr[0], error=str(error))
            return
        if reply is not None and self.transport is not None:
            self._traffic.count(peer_traffic.Kind.DIGEST, len(reply))
            self.transport.write(reply, addr)
        self._fetch_from_unknown(digests, addr)
        for digest in digests:
            peer = self._deployment.apply_digest(digest, now_s)
            if peer is not None and not self._is_fetching:
                self._fetch_if_behind(peer, now_s)

    def _fetch_from_unknown(self, digests, addr):
        # Peers keep the address of an entry across its restart and continue to send
        # digests to it. While the store is unavailable, a restarted entry cannot read
        # the member records, so these unknown senders are its only source of facts.
        deployment = self._deployment
        if deployment.is_ready or self._is_fetching or not digests:
            return
        digest = digests[0]
        if deployment.roster.find(digest.name) is None:
            self._fetch_from(members.Member(digest.name, digest.run, *addr))

    def copy_from(self, member):
        """Copies the facts of a peer to an entry that starts.

        :param member: ``members.Member`` of the peer.
        :return: deferred that fires with ``None``, also if the peer has sent none.
        """
        if self._is_fetching:
            return defer.succeed(None)
        return self._fetch_from(member, START_FETCH_TIMEOUT_S)

    def _fetch_from(self, member, timeout_s=FETCH_TIMEOUT_S):
        self._is_fetching = True
        fetched = self._fetch(member, timeout_s)
        fetched.addErrback(journal.log_failure, "fetch facts")
        return fetched

    def _fetch_if_behind(self, peer, now_s):
        deployment = self._deployment
        if not deployment.is_behind(peer):
            return
        age_ms = deployment.store_reads.compute_age_ms(now_s)
        is_reading = 0 <= age_ms < OWN_READ_MAX_AGE_S * 1_000
        if is_reading and deployment.is_ready and deployment.should_read_store(now_s):
            return
        self._fetch_from(peer.member)

    @defer.inlineCallbacks
    def _fetch(self, member, timeout_s=FETCH_TIMEOUT_S):
        address = f"{member.host}:{member.port}"
        target = fact_pages.build_target(self._deployment.topics.values())
        request = calls.build_request("GET", target, address)
        try:
            response = yield calls.call(
                self._reactor,
                self._pool,
                address,
                request,
                timeout_s,
                calls.HEDGE_DELAY_S if timeout_s > calls.HEDGE_DELAY_S else None,
            )
            updates = fact_pages.decode(response)
        except (calls.CallError, msgspec.MsgspecError, zlib.error) as error:
            journal.write(events.Event.COPY_FAILED, peer=member.name, error=str(error))
            if timeout_s > START_FETCH_TIMEOUT_S:
                self._deployment.record_fetch_failure(self._reactor.seconds())
            return
        finally:
            self._is_fetching = False
        for update in updates:
            self._apply_update(update, member)

    def _apply_update(self, update, member):
        topic = self._deployment.get_topic(update.topic)
        changed = topic.apply_update(update)
        if changed:
            journal.write(
                events.Event.FACTS_COPIED,
                topic=update.topic,
                count=len(changed),
                position=update.position,
                peer=member.name,
            )
        self._apply_facts(update.topic, changed, member.name)
        topic.record_change(update.position - 1)
