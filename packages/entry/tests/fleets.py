"""A fleet of entries before one store, in memory and on a simulated clock."""

import base64
import random
import struct
import urllib.parse

import msgspec
from twisted.internet import defer, task
from twisted.python import failure

from wasabiknot_entry import calls, followers, subscriptions
from wasabiknot_kernel import allowances, deployments, members, summaries
from wasabiknot_platform import stores

STEP_S = 0.05
DIGEST_STEPS = 2
STORE_LATENCY_S = 0.004
FETCH_S = 0.05
# The same over a connection that has fallen silent.
HUNG_FETCH_S = FETCH_S + calls.HEDGE_DELAY_S
START_SPREAD_S = 0.3
GROUP_DOMAINS = 5
LIST_PATH = stores.build_list_call("").target.partition("?")[0]


class Store:
    """The platform's store, with its long-polls; counts the calls.

    :param clock: ``task.Clock``.
    """

    def __init__(self, clock):
        self._clock = clock
        self._topics = {}
        self._waiting = []
        self.is_available = True
        self.turned_away = set()
        # Pairs of an entry and a topic that it can't read.
        self.unreadable = set()
        # Pairs of an entry and a topic whose connection has fallen silent.
        self.silent_connections = set()
        # Entries whose packets to and from the store are lost.
        self.cut = set()
        self.calls = 0
        self.callers = []

    def append(self, topic, key, value):
        records = self._topics.setdefault(topic, [])
        records.append((key, value))
        waiting, self._waiting = self._waiting, []
        for answer in waiting:
            answer()

    def get_end(self, topic):
        return len(self._topics.get(topic, ()))

    def connect(self, name):
        """Returns the client of one entry."""
        return Client(self, self._clock, name)

    def answer(self, name, call, wait_s):
        self.calls += 1
        self.callers.append((self._clock.seconds(), name))
        answered = defer.Deferred(lambda _: None)
        if not self.is_available or name in self.turned_away:
            self._reply(answered, calls.Response(503, b""))
            return answered
        path, _, query = call.target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        if (name, fields.get("topic")) in self.unreadable:
            self._reply(answered, calls.Response(503, b""))
            return answered
        if path == LIST_PATH:
            self._reply(answered, self._list(fields["topic"]))
        else:
            self._read(answered, fields, self._clock.seconds() + wait_s)
        return answered

    def _reply(self, answered, response):
        self._clock.callLater(STORE_LATENCY_S, answered.callback, response)

    def _list(self, topic):
        newest = {}
        records = self._topics.get(topic, ())
        for offset, (key, value) in enumerate(records):
            content = base64.b64encode(value).decode()
            newest[key] = {"key": key, "offset": offset, "value": content}
        page = {"entries": list(newest.values()), "end": len(records)}
        return calls.Response(200, msgspec.json.encode(page))

    def _read(self, answered, fields, until_s):
        start = int(fields["from"])
        records = self._topics.get(fields["topic"], ())
        is_answered = False

        def answer():
            nonlocal is_answered
            found = self._topics.get(fields["topic"], ())[start:]
            if is_answered:
                return
            if not found and self._clock.seconds() < until_s:
                self._waiting.append(answer)
                return
            is_answered = True
            contents = [
                bytes([len(key)]) + key.encode() + value for key, value in found
            ]
            body = b"".join(struct.pack(">I", len(item)) + item for item in contents)
            header = struct.pack(">QQ", start + len(found), 0)
            self._reply(answered, calls.Response(200, header + body))

        if start < len(records) or "waitMs" not in fields:
            until_s = 0.0
        else:
            self._clock.callLater(until_s - self._clock.seconds(), answer)
        answer()


class Client:
    """The connections of one entry to the store; repeats hung reads like the product.

    :param store: ``Store``.
    :param clock: ``task.Clock``.
    :param name: name of the entry.
    """

    def __init__(self, store, clock, name):
        self._store = store
        self._clock = clock
        self._name = name
        self.era = 0

    def watch_era(self, handle_era):
        pass

    def call(self, call, wait_s=0.0):
        query = urllib.parse.urlsplit(call.target).query
        topic = dict(urllib.parse.parse_qsl(query)).get("topic")
        result = defer.Deferred(lambda _: None)

        def finish(response):
            for timer in timers:
                if timer.active():
                    timer.cancel()
            if not result.called:
                result.callback(response)

        def send(is_fresh):
            answered = self._store.answer(self._name, call, wait_s)
            answered.addCallback(deliver, is_fresh)

        def deliver(response, is_fresh):
            is_silent = (self._name, topic) in self._store.silent_connections
            is_lost = is_silent and not is_fresh
            if not is_lost and self._name not in self._store.cut:
                finish(response)

        timers = [
            self._clock.callLater(calls.HEDGE_DELAY_S + wait_s, send, True),
            self._clock.callLater(
                followers.RESPONSE_TIMEOUT_S + wait_s,
                lambda: finish(failure.Failure(calls.CallError("timed out"))),
            ),
        ]
        send(is_fresh=False)
        return result


class Entry:
    """What one entry knows, and its followers of the topics."""

    def __init__(self, fleet, member, policy):
        self.fleet = fleet
        self.is_running = True
        self.deployment = deployments.Deployment(
            member, policy, random.Random(member.name)
        )
        self.is_fetching = False
        self.reader_role = followers.ReaderRole(
            lambda: self.is_running and self.deployment.should_read_store(fleet.now_s)
        )
        subscriptions.follow_topics(
            fleet.clock,
            fleet.store.connect(member.name),
            self.deployment,
            self.apply_facts,
            followers.StoreHealth(fleet.clock, self.deployment),
            self.reader_role,
            random.Random(member.name),
            self.copy_facts,
        )

    def apply_facts(self, topic, changed, source):
        for fact in changed:
            if topic == stores.MEMBER_TOPIC and fact.value is not None:
                member = msgspec.json.decode(fact.value, type=members.Member)
                self.deployment.roster.apply_member(member, self.fleet.now_s)
            self.deployment.get_topic(topic).record_change(fact.offset)

    def receive(self, digest):
        peer = self.deployment.apply_digest(digest, self.fleet.now_s)
        if peer is None or self.is_fetching or not self.deployment.is_behind(peer):
            return
        self.is_fetching = True
        self.fleet.clock.callLater(self.fleet.fetch_s, self.fetch, peer.member.name)

    def copy_facts(self, member):
        copied = defer.Deferred()

        def finish():
            self.fetch(member.name)
            copied.callback(None)

        self.fleet.clock.callLater(self.fleet.fetch_s, finish)
        return copied

    def fetch(self, name):
        self.is_fetching = False
        source = self.fleet.entries.get(name)
        if source is None or name in self.fleet.cut | self.fleet.paused:
            return
        if self.fleet.is_parted(self.deployment.member.name, name):
            return
        for topic in source.deployment.topics.values():
            own = self.deployment.get_topic(topic.name)
            if topic.is_loaded:
                since = own.change_position if own.is_loaded else 0
                update = topic.build_update_since(since)
                self.apply_facts(topic.name, own.apply_update(update), name)
                own.record_change(update.position - 1)


class Fleet:
    """Entries in some failure domains.

    :param seed: seed of what is random.
    :param poll_interval_s: seconds between two reads of the registrations.
    :param domains: number of failure domains.
    """

    def __init__(self, seed, poll_interval_s, domains=GROUP_DOMAINS):
        self._domains = domains
        self.clock = task.Clock()
        self.clock.advance(1_000.0)
        self.rng = random.Random(seed)
        self.store = Store(self.clock)
        self.entries = {}
        self.cut = set()
        # Entries that reach only each other and the store.
        self.parted = set()
        # Entries whose processes are paused.
        self.paused = set()
        self.fetch_s = FETCH_S
        self.policy = deployments.Policy(
            0.2,
            10.0,
            50.0,
            allowances.Tolerance(8.0, 0.1, 140_000),
            0.1,
            poll_interval_s=poll_interval_s,
        )
        self._run = 0
        self._steps = 0

    @property
    def now_s(self):
        return self.clock.seconds()

    def start(self, names):
        """Starts entries within ``START_SPREAD_S``."""
        for name in names:
            self.clock.callLater(
                self.rng.uniform(0, START_SPREAD_S), self._start_one, name
            )

    def _start_one(self, name):
        self._run += 1
        domain = f"d{int(name[1:]) % self._domains}"
        member = members.Member(name, f"run-{self._run}", "10.0.0.1", 7000, domain)
        self.entries[name] = Entry(self, member, self.policy)
        self.store.calls += 1
        self.store.append(stores.MEMBER_TOPIC, name, msgspec.json.encode(member))

    def is_parted(self, name, other_name):
        """Tells whether two entries can't reach each other."""
        return (name in self.parted) != (other_name in self.parted)

    def kill(self, names):
        """Ends entries without notice."""
        for name in names:
            self.entries.pop(name).is_running = False

    def play(self, seconds):
        """Lets time pass; returns the number of calls to the store meanwhile."""
        calls_before = self.store.calls
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            self._steps += 1
            for number, entry in enumerate(list(self.entries.values())):
                if entry.deployment.member.name in self.paused:
                    continue
                entry.deployment.tick(self.now_s)
                entry.reader_role.update()
                if self._steps % DIGEST_STEPS == number % DIGEST_STEPS:
                    self._send_digests(entry)
        return self.store.calls - calls_before

    def _send_digests(self, entry):
        deployment = entry.deployment
        roster = deployment.roster
        digests = [deployment.build_digest(self.now_s)]
        if roster.has_several_groups and roster.is_leader(self.now_s):
            is_regular = self._steps // DIGEST_STEPS % roster.digests_per_summary == 0
            due = summaries.Due(is_regular, is_regular)
            if due.group:
                summary = [deployment.build_group_summary(self.now_s)]
                for group in roster.list_other_groups():
                    recipients = roster.list_summary_recipients(group, self.now_s)
                    self._deliver(entry, summary, recipients)
                digests.append(deployment.build_remote_summary(self.now_s))
        self._deliver(entry, digests, roster.list_group_peers())

    def _deliver(self, sender, digests, peers):
        if sender.deployment.member.name in self.cut:
            return
        for peer in peers:
            name = peer.member.name
            if self.is_parted(sender.deployment.member.name, name):
                continue
            if name in self.entries and name not in self.cut | self.paused:
                for digest in digests:
                    self.entries[name].receive(digest)

    def count_groups(self):
        """Counts the groups as the first entry knows them."""
        roster = next(iter(self.entries.values())).deployment.roster
        return 1 + len(roster.list_other_groups())

    def list_outdated(self, topic):
        """Lists the entries that have not applied all records of a topic."""
        end = self.store.get_end(topic)
        return [
            name
            for name, entry in self.entries.items()
            if entry.deployment.get_topic(topic).change_position < end
        ]
