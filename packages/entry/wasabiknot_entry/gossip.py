"""The task that talks with the other entries."""

import zlib

import msgspec
from twisted.internet import defer, protocol

from wasabiknot_entry import calls, journal, pages
from wasabiknot_kernel import events, facts, members

STATE_PATH = "/facts"
METRICS_PATH = b"/metrics"
# Own reads up to this age find changes soon enough by themselves.
OWN_READ_S = 0.6
FETCH_TIMEOUT_S = 1.2
COPY_TYPE = b"application/zlib"
FASTEST = 1
# Digests that say nothing new are sent only once in so many turns.
QUIET_TURNS = 3


def create_factory(deployment, metrics):
    """Creates the server side for peers and operators.

    :param deployment: ``deployments.Deployment``.
    :param metrics: page of the counters.
    :return: a Twisted protocol factory.
    """

    def copy_facts(request):
        return _copy_facts(deployment, request)

    found = {STATE_PATH.encode(): copy_facts, METRICS_PATH: metrics}
    return pages.create_factory(found.get)


def _copy_facts(deployment, request):
    copied = []
    for name, topic in deployment.topics.items():
        asked = request.args.get(name.encode(), [b"0"])[0]
        since = int(asked) if asked.isdigit() else 0
        if topic.is_loaded:
            copied.append(topic.build_update_since(since))
    request.setHeader(b"content-type", COPY_TYPE)
    # Large configurations go to all mates at once, over narrow links.
    return zlib.compress(msgspec.json.encode(copied), FASTEST)


class Gossip(protocol.DatagramProtocol):
    """Sends digests to the peers and takes theirs.

    :param reactor: Twisted reactor.
    :param deployment: ``deployments.Deployment``.
    :param pool: ``connections.Pool``.
    :param receive: function that takes a topic's changed facts and their source.
    """

    def __init__(self, reactor, deployment, pool, receive):
        self._reactor = reactor
        self._deployment = deployment
        self._pool = pool
        self._receive = receive
        self._is_fetching = False
        self._turn = 0
        self._told = None

    def send_digest(self):
        """Sends the digest of this entry, and sums if it leads its group."""
        if self.transport is None:
            return
        now_s = self._reactor.seconds()
        roster = self._deployment.roster
        digests = [self._deployment.build_digest(now_s)]
        self._turn += 1
        if self._is_quiet(digests[0], now_s):
            return
        is_sum_due = (
            self._turn % roster.digests_per_summary == 0 and roster.has_several_groups
        )
        if is_sum_due and roster.is_leader(now_s):
            self._send_sums(now_s)
            digests.append(self._deployment.build_remote_summary(now_s))
        self._send(digests, roster.list_group_peers())

    def _is_quiet(self, digest, now_s):
        told = msgspec.structs.replace(digest, sequence=0, read_age_ms=0)
        is_new = told != self._told
        self._told = told
        if is_new or self._turn % QUIET_TURNS == 0:
            return False
        # The group rests on the age of what its leader read.
        return not self._deployment.roster.is_leader(now_s)

    def _send_sums(self, now_s):
        total = [self._deployment.build_group_summary(now_s)]
        roster = self._deployment.roster
        for group in roster.list_other_groups():
            self._send(total, roster.list_summary_recipients(group, now_s))

    def _send(self, digests, peers):
        data = msgspec.json.encode(members.Bundle(tuple(digests)))
        for peer in peers:
            self.transport.write(data, (peer.member.host, peer.member.port))

    def datagramReceived(self, data, addr):  # noqa: N802
        """Takes a datagram of a peer."""
        try:
            bundle = msgspec.json.decode(data, type=members.Bundle)
        except msgspec.MsgspecError as error:
            journal.write(events.Event.DATAGRAM_BAD, peer=addr[0], error=str(error))
            return
        now_s = self._reactor.seconds()
        self._ask_stranger(bundle, addr)
        for digest in bundle.digests:
            peer = self._deployment.apply_digest(digest, now_s)
            if peer is not None and not self._is_fetching:
                self._compare(peer, now_s)

    def _ask_stranger(self, bundle, addr):
        # Peers remember an entry's address over its restart. What they know is the
        # only source while the store is away.
        deployment = self._deployment
        if deployment.is_ready or self._is_fetching or not bundle.digests:
            return
        digest = bundle.digests[0]
        if deployment.roster.find(digest.name) is None:
            self._fetch_from(members.Member(digest.name, digest.run, *addr))

    def _fetch_from(self, member):
        self._is_fetching = True
        fetched = self._fetch(member)
        fetched.addErrback(journal.log_failure, "fetch facts")

    def _compare(self, peer, now_s):
        deployment = self._deployment
        if not deployment.is_behind(peer):
            return
        age_ms = deployment.compute_read_age_ms(now_s)
        is_reading = 0 <= age_ms < OWN_READ_S * 1_000
        if is_reading and deployment.is_ready and deployment.should_read_store(now_s):
            return
        self._fetch_from(peer.member)

    @defer.inlineCallbacks
    def _fetch(self, member):
        address = f"{member.host}:{member.port}"
        query = "&".join(
            f"{name}={topic.change_position if topic.is_loaded else 0}"
            for name, topic in self._deployment.topics.items()
        )
        request = calls.build_request("GET", f"{STATE_PATH}?{query}", address)
        try:
            response = yield calls.call(
                self._reactor, self._pool, address, request, FETCH_TIMEOUT_S
            )
            data = zlib.decompress(response.body)
            copied = msgspec.json.decode(data, type=list[facts.TopicUpdate])
        except (calls.CallError, msgspec.MsgspecError, zlib.error) as error:
            journal.write(events.Event.COPY_FAILED, peer=member.name, error=str(error))
            self._deployment.record_fetch_failure(self._reactor.seconds())
            return
        finally:
            self._is_fetching = False
        for item in copied:
            self._take(item, member)

    def _take(self, copied, member):
        topic = self._deployment.get_topic(copied.topic)
        changed = topic.apply_update(copied)
        if changed:
            journal.write(
                events.Event.FACTS_COPIED,
                topic=copied.topic,
                count=len(changed),
                position=copied.position,
                peer=member.name,
            )
        self._receive(copied.topic, changed, member.name)
        topic.record_change(copied.position - 1)
