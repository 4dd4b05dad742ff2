"""Requests that crash the backend servers that run them."""

import collections

import msgspec

# Crashes after which a request is sent to no further backend server. Two can
# happen to a request that runs beside a harmful one; three hardly can.
MAX_CRASHES = 3
# Time for which the crashes of a request are remembered.
RETENTION_S = 60.0
MAX_REQUESTS = 2_048


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """A backend server that ended under a request.

    :param fingerprint: hash of path, caller and body of the request.
    :param server: start of the backend server that ended.
    """

    fingerprint: str
    server: str


class CrashRegister:
    """Counts the backend servers that each request has crashed.

    Answers the load of a request that its caller sends again after each crash,
    to any entry: entries tell each other of crashes.
    """

    def __init__(self):
        self._crashes = collections.OrderedDict()
        self._recent = []

    def record(self, crash, now_s):
        """Notes a crash that this entry has seen.

        :param crash: ``Crash``.
        :param now_s: present time.
        """
        if self.add(crash, now_s):
            self._recent.append((now_s, crash))

    def add(self, crash, now_s):
        """Takes a crash that a peer has seen.

        :param crash: ``Crash``.
        :param now_s: present time.
        :return: whether it was not known.
        """
        servers = self._crashes.setdefault(crash.fingerprint, {})
        self._crashes.move_to_end(crash.fingerprint)
        is_new = crash.server not in servers
        servers[crash.server] = now_s
        if len(self._crashes) > MAX_REQUESTS:
            self._crashes.popitem(last=False)
        return is_new

    def is_refused(self, fingerprint, now_s):
        """Whether a request is sent to no further backend server.

        :param fingerprint: hash of path, caller and body.
        :param now_s: present time.
        :return: ``True`` after enough crashes.
        """
        servers = self._crashes.get(fingerprint)
        if not servers:
            return False
        recent = [1 for seen_s in servers.values() if now_s - seen_s < RETENTION_S]
        return len(recent) >= MAX_CRASHES

    def count(self, fingerprint):
        """Counts the crashes of a request.

        :param fingerprint: hash of path, caller and body.
        :return: number of backend servers.
        """
        return len(self._crashes.get(fingerprint, ()))

    def list_recent(self, now_s, age_s):
        """Lists the crashes that this entry has seen lately.

        :param now_s: present time.
        :param age_s: age up to which they are listed.
        :return: tuple of ``Crash``.
        """
        self._recent = [item for item in self._recent if now_s - item[0] <= age_s]
        return tuple(crash for _, crash in self._recent)
