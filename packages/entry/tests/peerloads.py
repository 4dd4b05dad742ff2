"""Entries under load that exchange digests in memory, and the bytes that they send."""

import collections
import random

import msgspec
from twisted.internet import task

from wasabiknot_entry import gossip, peer_traffic
from wasabiknot_kernel import (
    allowances,
    arrivals,
    deployments,
    members,
    outcomes,
    positions,
    registrations,
    routes,
)

STEP_S = 0.01
STEPS_PER_DIGEST = round(members.DIGEST_INTERVAL_S / STEP_S)
TOPICS = ("op", "servers", "releases", "members", "crashes")
CUSTOMERS = tuple(f"customer-{number:02}" for number in range(16))
# Time to the first event of a response, until which its prompt counts as load.
FIRST_EVENT_S = 0.1
MAX_DURATION_S = 1.0
# Share of the slots that the load keeps busy.
UTILIZATION = 0.9
PROMPT_TOKENS = 600
# Smallest and largest pace that a backend server states, in hundredths.
PACES = (80, 250)
POLICY = deployments.Policy(
    0.2,
    10.0,
    50.0,
    allowances.Tolerance(8.0, 0.1, 140_000),
    0.1,
    poll_interval_s=0.75,
    fair_queueing=True,
)
ROUTE = routes.Route(
    name="draft",
    host="desk.example",
    prefix="/draft/",
    retry_rule=routes.RetryRule.STREAM,
    shares=(routes.TrafficShare("pool", 1.0),),
    timeout_ms=10_000.0,
    objective_ms=300.0,
    gap_ms=250.0,
    rank=1,
    attempts=2,
    is_public=False,
    is_resumable=False,
)
CONFIGURATION = routes.Configuration(
    version=1,
    routes=(ROUTE,),
    services=(routes.Service("pool", "/healthz", 100, routes.Engine(8, 100_000, 6)),),
    customers=tuple(
        routes.Customer(name, (f"key-{name}",), None, 1e9, 1e9, 200)
        for name in CUSTOMERS
    ),
    limits=routes.Limits(),
)


class Site(msgspec.Struct, frozen=True):
    """A deployment and its load.

    :param entries: number of entries.
    :param domains: number of failure domains.
    :param engines: number of engines.
    :param slots: slots of each engine.
    :param requests_per_s: requests a second and entry.
    :param has_paces: whether the engines state their paces.
    """

    entries: int
    domains: int
    engines: int
    slots: int
    requests_per_s: float
    has_paces: bool = False

    @property
    def duration_s(self):
        """Duration of a request that keeps the engines busy, in seconds."""
        busy = UTILIZATION * self.engines * self.slots
        return busy / (self.requests_per_s * self.entries)


class _Transport:
    def __init__(self, fleet, source):
        self._fleet = fleet
        self._source = source

    def write(self, data, address):
        self._fleet.carry(self._source, data, address)


class LoadedEntry:
    """One entry: its deployment, its gossip, and the bytes that it has sent.

    :param fleet: ``LoadedFleet``.
    :param number: number of the entry.
    :param digest_format: highest format of digests that it understands.
    :param run: number of the run.
    """

    def __init__(self, fleet, number, digest_format, run=0):
        self.number = number
        self.digest_format = digest_format
        self.address = (f"10.0.{number // 200}.{number % 200 + 1}", 7000)
        self.member = members.Member(
            f"entry-{number:03}",
            f"{run:04x}{number:04x}",
            *self.address,
            f"zone-{number % fleet.site.domains}",
            digest_format=digest_format,
        )
        self.deployment = deployments.Deployment(
            self.member, POLICY, random.Random(number)
        )
        traffic = peer_traffic.PeerTraffic(fleet.clock)
        self.gossip = gossip.Gossip(
            fleet.clock, self.deployment, None, lambda *args: None, traffic
        )
        self.gossip.transport = _Transport(fleet, self)
        self.sent_bytes = collections.Counter()
        # Times of what is due, requests and their engines.
        self.running = []
        self.unanswered = []

    def list_sent(self, since_s):
        """Lists the bytes that the entry has sent in each second from a time on."""
        return [size for at_s, size in self.sent_bytes.items() if at_s >= since_s]

    def prepare(self, fleet):
        """Gives the entry what it would have read from the store."""
        now_s = fleet.clock.seconds()
        for other in fleet.entries:
            self.deployment.roster.apply_member(other.member, now_s)
        self.deployment.apply_configuration(routes.RouteTable(CONFIGURATION), now_s)
        for name in TOPICS:
            topic = self.deployment.get_topic(f"keyed.wasabiknot-{name}")
            topic.record_change(positions.create_position(1, 5_000))
        for number in range(fleet.site.engines):
            registration = registrations.Registration(
                f"i-{number:010}",
                "pool",
                "10.1.0.1:80",
                f"zone-{number % fleet.site.domains}",
                "v1",
                fleet.site.slots,
                registrations.ServerState.READY,
                1,
            )
            self.deployment.apply_registration(registration, now_s)

    def send(self, fleet):
        """Sends a request to one of the engines of the group."""
        now_s = fleet.clock.seconds()
        dispatcher = self.deployment.get_dispatcher("pool")
        names = sorted(dispatcher.group_servers or dispatcher.servers)
        server = dispatcher.servers[fleet.rng.choice(names)]
        customer = fleet.rng.choice(CUSTOMERS)
        ticket = _build_ticket(f"q{fleet.rng.random()}", customer, now_s)
        self.deployment.allowances.used[customer] += PROMPT_TOKENS
        dispatcher.record_send(ticket, server, now_s, 100.0)
        duration_s = fleet.rng.expovariate(1 / fleet.site.duration_s)
        end_s = now_s + min(duration_s, MAX_DURATION_S)
        self.running.append((end_s, ticket, server))
        self.unanswered.append((now_s + FIRST_EVENT_S, ticket, server))

    def answer_requests(self, fleet, now_s):
        """Records the first events that are due, and the ends of requests."""
        dispatcher = self.deployment.get_dispatcher("pool")
        while self.unanswered and self.unanswered[0][0] <= now_s:
            _, ticket, server = self.unanswered.pop(0)
            if ticket.request_id in server.sends:
                dispatcher.record_first_event(ticket, server, now_s)
        ended = [item for item in self.running if item[0] <= now_s]
        self.running = [item for item in self.running if item[0] > now_s]
        for _, ticket, server in ended:
            if fleet.site.has_paces:
                server.pace.record(fleet.rng.uniform(*PACES), now_s)
            dispatcher.record_end(ticket, server, outcomes.Outcome.COMPLETE, now_s)


def _build_ticket(request_id, customer, now_s):
    arrival = arrivals.Arrival(
        request_id=request_id,
        host=ROUTE.host,
        path=ROUTE.prefix,
        key="k1",
        deadline_ms=ROUTE.timeout_ms,
        prompt_tokens=PROMPT_TOKENS,
        output_tokens=60,
        states_token_counts=True,
        parts=(),
    )
    return arrivals.Ticket(
        arrival=arrival,
        route=ROUTE,
        service="pool",
        customer=customer,
        rank=1,
        arrived_s=now_s,
        deadline_s=now_s + 10.0,
        version=1,
        fingerprint=request_id,
    )


class LoadedFleet:
    """All entries of a site.

    :param site: ``Site``.
    :param loss: share of the datagrams that are lost.
    :param formats: format of the digests of each entry, repeated.
    :param delays: steps by which datagrams may be late.
    :param repeats: share of the datagrams that arrive twice.
    """

    def __init__(
        self,
        site,
        loss=0.0,
        formats=(members.CHANGES_FORMAT,),
        delays=(0,),
        repeats=0.0,
    ):
        self.site = site
        self.clock = task.Clock()
        self.clock.advance(100.0)
        self.rng = random.Random(1)
        self._loss = loss
        self._steps = 0
        self._carried = []
        self._delays = delays
        self._repeats = repeats
        # Addresses of the entries whose processes are paused.
        self.paused = set()
        self._runs = 0
        self.entries = [
            LoadedEntry(self, number, formats[number % len(formats)])
            for number in range(site.entries)
        ]
        self._by_address = {entry.address: entry for entry in self.entries}
        for entry in self.entries:
            entry.prepare(self)

    def carry(self, source, data, address):
        """Takes a datagram that an entry sends."""
        source.sent_bytes[int(self.clock.seconds())] += len(data)
        if self.rng.random() < self._loss:
            return
        for _ in range(2 if self.rng.random() < self._repeats else 1):
            due = self._steps + self.rng.choice(self._delays)
            self._carried.append((due, source.address, data, address))

    def restart(self, number):
        """Ends an entry and starts it again; returns the new one."""
        self._runs += 1
        digest_format = self.entries[number].digest_format
        entry = LoadedEntry(self, number, digest_format, self._runs)
        self.entries[number] = self._by_address[entry.address] = entry
        entry.prepare(self)
        for other in self.entries:
            other.deployment.roster.apply_member(entry.member, self.clock.seconds())
        return entry

    def play(self, seconds, has_load=True):
        """Lets time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            self._steps += 1
            self._deliver()
            for number, entry in enumerate(self.entries):
                if entry.address not in self.paused:
                    self._advance(entry, number, has_load)

    def _deliver(self):
        due = [item for item in self._carried if item[0] < self._steps]
        self._carried = [item for item in self._carried if item[0] >= self._steps]
        for _, source, data, address in due:
            if address not in self.paused:
                self._by_address[address].gossip.datagramReceived(data, source)

    def _advance(self, entry, number, has_load):
        entry.answer_requests(self, self.clock.seconds())
        expected = self.site.requests_per_s * STEP_S if has_load else 0.0
        left = self.rng.expovariate(1.0)
        while left < expected:
            left += self.rng.expovariate(1.0)
            entry.send(self)
        if (self._steps + number) % STEPS_PER_DIGEST == 0:
            entry.deployment.tick(self.clock.seconds())
            entry.gossip.send_digest()

    def list_most_sent(self, since_s):
        """Lists the most bytes that each entry has sent in a second."""
        return [max(entry.list_sent(since_s)) for entry in self.entries]
