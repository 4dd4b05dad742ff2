"""Releases on engines that slow down with their load, beside trouble of both sides."""

import silent_rollouts

from wasabiknot_kernel import outcomes

# Pace of an engine: each further request slows it down by this fraction.
SLOWDOWN_PER_REQUEST = 0.06
# Pace of the slower engines of a service.
SLOW_ENGINE = 4.4
SERVERS = 5
LOAD_PER_S = 34.0
EVENTS = 36
# What a bad version may get: a fraction of all requests and some more.
MAX_SHARE = 0.1
SLACK = 50


class ReleaseWorld(silent_rollouts.RolloutWorld):
    """Plays a release.

    :param seed: seed of the load.
    :param slowness: factor by which the new version is slower.
    :param failing: fraction of the responses of the new version that fail.
    :param late_s: time in seconds from which the new version is bad.
    :param lost: fraction of the responses of all servers that are lost.
    :param broken: numbers of the servers of both sides that fail half of the requests.
    :param broken_new: numbers of the servers of the new side that fail all requests.
    :param slowed: numbers of the servers of both sides that are four times slower for
        half of the time.
    :param kills_s: times in seconds at which all entries are killed.
    """

    def __init__(
        self,
        seed,
        slowness=1.0,
        failing=0.0,
        late_s=0.0,
        lost=0.0,
        broken=(),
        broken_new=(),
        slowed=(),
        kills_s=(),
        **options,
    ):
        self.slowness = slowness
        self.failing = failing
        self.late_s = late_s
        self.lost = lost
        self.broken = broken
        self.broken_new = broken_new
        self.slowed = slowed
        self.kills_s = list(kills_s)
        options = {
            "load_per_s": LOAD_PER_S,
            "events": EVENTS,
            "servers_per_side": SERVERS,
            **options,
        }
        super().__init__(seed, **options)
        self.count_on = {}

    @property
    def elapsed_s(self):
        return self.now_s - self.start_s

    def is_bad(self, server):
        return self.is_new(server) and self.elapsed_s >= self.late_s

    def draw_kind(self, server):
        number = int(server.server_id[-1])
        if number in self.broken and self.rng.random() < 0.5:
            return "failed"
        if self.is_new(server) and number in self.broken_new:
            return "bad"
        if self.is_bad(server) and self.rng.random() < self.failing:
            return "bad"
        return "lost" if self.rng.random() < self.lost else ""

    def find_slowness(self, stream):
        server = stream.server
        number = int(server.server_id[-1])
        slowness = SLOW_ENGINE if number == SERVERS - 1 else 1.0
        if number in self.slowed and 4.0 <= self.elapsed_s < 12.0:
            slowness *= 4.0
        if self.is_bad(server):
            slowness *= self.slowness
        running = self.count_on.get(server.server_id, 1)
        return slowness * (1 + SLOWDOWN_PER_REQUEST * (running - 1))

    def arrive(self):
        if self.kills_s and self.elapsed_s >= self.kills_s[0]:
            del self.kills_s[0]
            self.restart_entries()
        self.count_on = {}
        for stream in self.streams:
            name = stream.server.server_id
            self.count_on[name] = self.count_on.get(name, 0) + 1
        super().arrive()

    def advance(self, stream):
        endings = {
            "failed": outcomes.Outcome.FAILED,
            "bad": outcomes.Outcome.FAILED,
            "lost": outcomes.Outcome.RESPONSE_LOST,
        }
        if stream.kind in endings and self.now_s - stream.sent_s >= 0.1:
            self.end(stream, endings[stream.kind])
        else:
            super().advance(stream)

    def count_excess(self):
        """Counts the requests of the new version beyond what a bad one may get."""
        allowed = MAX_SHARE * self.load_per_s * silent_rollouts.ORDER.duration_s + SLACK
        return max(0, self.sent_to_new - round(allowed))
