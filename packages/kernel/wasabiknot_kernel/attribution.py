"""Attributes lost responses to the ends of backend servers.

A response can be lost without a crash. It counts as one when the backend server is seen
to have ended: it refuses connections, at this entry or at a peer, starts again, is no
longer registered, or its address belongs to another one. That it does not respond shows
no end: a sound one may be silent for a second or so, and then goes on.
"""

import collections

import msgspec

# Time between a lost response and the evidence of the end, in either order. Without an
# attempt to connect, three missed heartbeats pass before a registration is removed.
ATTRIBUTION_S = 10.0
# Bytes that were on their way may arrive this long after the end of a backend server.
LIFE_MARGIN_S = 0.25
# Time for which digests include a refused connection.
REFUSAL_REPORT_S = 1.0
# Interval between two checks whether the same backend server still accepts connections.
CHECK_INTERVAL_S = 0.5
MAX_LOSSES = 1_024


class Loss(msgspec.Struct, frozen=True):
    """A request that a backend server has not answered completely.

    :param fingerprint: hash of path, caller and body of the request.
    :param parts: keys of parts of its prompt.
    :param server: id of the backend server and its start time.
    """

    fingerprint: str
    parts: tuple[str, ...]
    server: str


class Attribution:
    """Lost responses and ends of backend servers, matched by id and start time."""

    def __init__(self):
        self._losses = collections.deque()
        self._ended_s = {}
        self._refused_s = {}
        self._checked_s = {}
        self._lives = {}
        self._reports = {}

    def get_server_key(self, registration):
        """Returns the id and the start time of a backend server.

        A backend server that responds after it has ended was started again, although
        its new registration has not been read yet.

        :param registration: ``registrations.Registration``.
        :return: text.
        """
        start = f"{registration.server_id}/{registration.started_ms}"
        life = self._lives.get(start, 0)
        return f"{start}/{life}" if life else start

    def record_loss(self, loss, now_s):
        """Records a request that was sent and got no complete response.

        :param loss: ``Loss``; a crash if the backend server has ended.
        :param now_s: current time in seconds.
        :return: whether the backend server is known to have ended.
        """
        ended_s = self._ended_s.get(loss.server)
        if ended_s is not None and now_s - ended_s < ATTRIBUTION_S:
            return True
        self._losses.append((now_s, loss))
        return False

    def should_check(self, server_key, now_s):
        """Tells whether to check that a backend server still accepts connections.

        :param server_key: id and start time.
        :param now_s: current time in seconds.
        :return: ``True`` at most once per ``CHECK_INTERVAL_S``.
        """
        if now_s - self._checked_s.get(server_key, -CHECK_INTERVAL_S) < (
            CHECK_INTERVAL_S
        ):
            return False
        self._checked_s[server_key] = now_s
        return True

    def record_end(self, server_key, now_s):
        """Records that a backend server has ended.

        :param server_key: id and start time.
        :param now_s: current time in seconds.
        :return: list of ``Loss``, one for each response that it lost.
        """
        self._ended_s[server_key] = now_s
        lost = [loss for _, loss in self._losses if loss.server == server_key]
        self._losses = collections.deque(
            item for item in self._losses if item[1].server != server_key
        )
        return lost

    def record_refusal(self, server_key, now_s):
        """Records a refused connection, which digests report to the peers.

        :param server_key: id and start time.
        :param now_s: current time in seconds.
        """
        self._refused_s[server_key] = now_s

    def record_life(self, registration, now_s):
        """Records bytes of a response: the backend server has not ended before them.

        :param registration: ``registrations.Registration``.
        :param now_s: current time in seconds.
        """
        if not self._losses and not self._ended_s:
            return
        server_key = self.get_server_key(registration)
        ended_s = self._ended_s.get(server_key)
        if ended_s is not None and now_s - ended_s > LIFE_MARGIN_S:
            del self._ended_s[server_key]
            start = f"{registration.server_id}/{registration.started_ms}"
            self._lives[start] = self._lives.get(start, 0) + 1
        if any(loss.server == server_key for _, loss in self._losses):
            self._losses = collections.deque(
                item
                for item in self._losses
                if item[1].server != server_key or now_s - item[0] <= LIFE_MARGIN_S
            )

    def list_refused(self, now_s):
        """Lists the backend servers that have recently refused a connection.

        :param now_s: current time in seconds.
        :return: tuple of ids with start times.
        """
        self._refused_s = {
            key: at_s
            for key, at_s in self._refused_s.items()
            if now_s - at_s < REFUSAL_REPORT_S
        }
        return tuple(self._refused_s)

    def apply_report(self, source, refused):
        """Applies the refused connections that a peer reports.

        :param source: name of the peer or group.
        :param refused: ids with start times.
        :return: set of those that its previous report did not include.
        """
        previous = self._reports.get(source, frozenset())
        current = frozenset(refused)
        if current:
            self._reports[source] = current
        else:
            self._reports.pop(source, None)
        return current - previous

    def drop_expired(self, now_s):
        """Drops the losses and ends that are too old to be matched.

        :param now_s: current time in seconds.
        :return: list of ``Loss`` that were not attributed.
        """
        expired = []
        while self._losses and (
            now_s - self._losses[0][0] >= ATTRIBUTION_S
            or len(self._losses) > MAX_LOSSES
        ):
            expired.append(self._losses.popleft()[1])
        for times_s in (self._ended_s, self._checked_s):
            for key, at_s in list(times_s.items()):
                if now_s - at_s >= ATTRIBUTION_S:
                    del times_s[key]
        return expired

    def forget(self, registration):
        """Forgets how often a backend server was started again.

        :param registration: ``registrations.Registration`` that was removed.
        """
        start = f"{registration.server_id}/{registration.started_ms}"
        self._lives.pop(start, None)
