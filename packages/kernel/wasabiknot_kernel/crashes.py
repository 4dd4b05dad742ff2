"""Detection of requests that crash backend servers."""

import collections
import enum

import msgspec

# Number of crashes after which a request is refused. A harmless request can be in
# flight during two crashes that another request causes; three are very unlikely.
MAX_CRASHES = 3
# Time for which a crash counts.
RETENTION_S = 60.0
MAX_REQUESTS = 2_048
MAX_OBSERVATIONS = 256


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """A crash of a backend server while it ran a request.

    :param fingerprint: hash of path, caller and body of the request.
    :param server: id of the backend server and its start time.
    """

    fingerprint: str
    server: str


class Evidence(enum.Enum):
    """Why a lost response counts as a crash. The values appear in logs."""

    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    RESTARTED = "restarted"
    REMOVED = "removed"
    REPLACED = "replaced"
    PEER_REFUSED = "peer-refused"
    ENDED_BEFORE = "ended-before"
    PEER = "peer"
    NONE = "none"


class Observation(msgspec.Struct, frozen=True):
    """A crash that was recorded, or a lost response that was not attributed to one.

    :param crash: ``Crash``.
    :param evidence: ``Evidence``; ``NONE`` for a response not attributed to a crash.
    :param count: crashes of the request that are known now.
    """

    crash: Crash
    evidence: Evidence
    count: int


class CrashRegister:
    """Counts the backend servers that each request has crashed.

    Protects against a caller that resends a harmful request after each crash. Entries
    exchange crashes, so it does not help to use another entry.
    """

    def __init__(self):
        self._crashes = collections.OrderedDict()
        self._recent = []
        self._observations = collections.deque(maxlen=MAX_OBSERVATIONS)

    def record(self, crash, now_s, evidence=Evidence.REFUSED):
        """Records a crash that this entry has observed.

        :param crash: ``Crash``.
        :param now_s: current time in seconds.
        :param evidence: ``Evidence``.
        """
        if self.add(crash, now_s, evidence):
            self._recent.append((now_s, crash))

    def record_unattributed(self, crash):
        """Records a lost response for which no end of the backend server was seen.

        :param crash: ``Crash`` that it would have been.
        """
        self._observe(crash, Evidence.NONE)

    def _observe(self, crash, evidence):
        count = self.count(crash.fingerprint)
        self._observations.append(Observation(crash, evidence, count))

    def pop_observations(self):
        """Returns the observations since the last call, for the log.

        :return: list of ``Observation``.
        """
        observations = list(self._observations)
        self._observations.clear()
        return observations

    def add(self, crash, now_s, evidence=Evidence.PEER):
        """Adds a crash, observed by this entry or by a peer.

        :param crash: ``Crash``.
        :param now_s: current time in seconds.
        :param evidence: ``Evidence``.
        :return: whether the crash was new.
        """
        servers = self._crashes.setdefault(crash.fingerprint, {})
        self._crashes.move_to_end(crash.fingerprint)
        is_new = crash.server not in servers
        servers[crash.server] = now_s
        if len(self._crashes) > MAX_REQUESTS:
            self._crashes.popitem(last=False)
        if is_new:
            self._observe(crash, evidence)
        return is_new

    def is_refused(self, fingerprint, now_s):
        """Tells whether a request must not be sent to another backend server.

        :param fingerprint: hash of path, caller and body.
        :param now_s: current time in seconds.
        :return: ``True`` after ``MAX_CRASHES`` crashes within ``RETENTION_S``.
        """
        servers = self._crashes.get(fingerprint)
        if not servers:
            return False
        recent = [1 for seen_s in servers.values() if now_s - seen_s < RETENTION_S]
        return len(recent) >= MAX_CRASHES

    def count(self, fingerprint):
        """Counts the crashes of a request.

        :param fingerprint: hash of path, caller and body.
        :return: number of distinct backend servers that crashed.
        """
        return len(self._crashes.get(fingerprint, ()))

    def list_recent(self, now_s, age_s):
        """Lists the crashes that this entry has recently observed.

        :param now_s: current time in seconds.
        :param age_s: maximum age in seconds.
        :return: tuple of ``Crash``.
        """
        self._recent = [item for item in self._recent if now_s - item[0] <= age_s]
        return tuple(crash for _, crash in self._recent)
