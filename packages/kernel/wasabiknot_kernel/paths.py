"""Tells whether the backend servers of a service answer this entry.

A connection that fails, or a server that says nothing, shows the state of the path from
this entry to that server. Only if no server of the service answers this entry any more
is the path suspected rather than the servers; peers tell whether they are answered.
"""

import math

import msgspec

from wasabiknot_kernel import dispatch, servers

# Servers that must have failed since one of the service has answered, if it has two.
MIN_FAILED_SERVERS = 2
# Time without an answer of any server before failed connections count.
QUIET_S = 0.1
# Time for which a failure counts; servers that have failed long ago aren't asked again
# while others answer.
FAILURE_TTL_S = 3.0
# Time without a byte from any server before requests in flight count as unanswered. It
# is longer than the gap between two events of a sound stream.
SILENCE_S = 0.5
# Time between two probes of an unreached service; it doubles up to the maximum.
PROBE_INTERVAL_S = 0.5
MAX_PROBE_INTERVAL_S = 2.0
# Time for which a trial waits for a request that may be repeated.
TRIAL_WAIT_S = 1.0
# Time for which new connections that failed make others doubtful, and time between two
# requests that try one meanwhile.
DOUBT_S = 3.0
DOUBT_TRIAL_INTERVAL_S = 0.5


class PathChange(msgspec.Struct, frozen=True):
    """A service that answers this entry no more, or again.

    :param service: name of the service.
    :param is_reached: whether its servers answer now.
    :param failed: number of servers that have failed.
    :param open_count: number of its servers that take requests.
    :param away_s: time in seconds for which it was unreached.
    """

    service: str
    is_reached: bool
    failed: int = 0
    open_count: int = 0
    away_s: float = 0.0


class ServicePath:
    """What this entry knows of its paths to the servers of one service."""

    def __init__(self):
        # Time of the newest bytes from any of its servers.
        self.heard_s = -math.inf
        # Time of the newest failure since the server was last heard, by its id.
        self.failures = {}
        # Start of the failures that make it unreached; ``None`` while it is reached.
        self.unreached_since_s = None
        # Next probe, and the time between two of them.
        self.probe_due_s = math.inf
        self.probe_interval_s = PROBE_INTERVAL_S
        # Time of a probe that got through and has led to no trial yet.
        self.probed_s = None
        # Time of the newest new connection that failed, by server; empty once one has
        # brought an answer.
        self.new_losses = {}
        # Earliest time of the next request over a doubtful new connection.
        self.doubt_trial_s = -math.inf


class PathMonitor:
    """Decides which services answer this entry no more."""

    def __init__(self):
        self._paths = {}
        self._changes = []

    def _get_path(self, service):
        return self._paths.setdefault(service, ServicePath())

    def is_unreached(self, service):
        """Tells whether no server of a service answers this entry.

        :param service: name of the service.
        """
        return self.find_unreached_since_s(service) is not None

    def find_unreached_since_s(self, service):
        """Finds since when no server of a service has answered this entry.

        :param service: name of the service.
        :return: time in seconds; ``None`` while they answer.
        """
        path = self._paths.get(service)
        return path.unreached_since_s if path is not None else None

    def list_unreached(self):
        """Lists the services whose servers don't answer this entry.

        :return: tuple of names.
        """
        return tuple(name for name in self._paths if self.is_unreached(name))

    def find_heard_s(self, service):
        """Finds when a server of a service last answered this entry.

        :param service: name of the service.
        :return: time in seconds; minus infinity for never.
        """
        path = self._paths.get(service)
        return path.heard_s if path is not None else -math.inf

    def record_answer(self, service, server_id, is_new, now_s):
        """Records bytes of a response.

        :param service: name of the service.
        :param server_id: id of the backend server.
        :param is_new: whether they are the first ones of a new connection.
        :param now_s: current time in seconds.
        :return: whether the service was unreached until now.
        """
        path = self._get_path(service)
        path.heard_s = now_s
        path.failures.pop(server_id, None)
        if is_new:
            path.new_losses.clear()
        if path.unreached_since_s is None:
            return False
        self._end(service, path, now_s)
        return True

    def _end(self, service, path, now_s):
        away_s = now_s - path.unreached_since_s
        self._changes.append(PathChange(service, True, away_s=away_s))
        path.unreached_since_s = None
        path.failures.clear()
        path.probed_s = None

    def record_failure(self, service, server_id, is_new, now_s):
        """Records that a server has not answered a request.

        :param service: name of the service.
        :param server_id: id of the backend server.
        :param is_new: whether a new connection has failed.
        :param now_s: current time in seconds.
        """
        path = self._get_path(service)
        path.failures[server_id] = now_s
        if is_new:
            path.new_losses[server_id] = now_s

    def should_avoid_connecting(self, ticket, now_s):
        """Tells whether a request should not go over a new connection to a server.

        Some paths let open connections live on while new ones fail, perhaps after the
        request was sent.

        :param ticket: ``arrivals.Ticket``.
        :param now_s: current time in seconds.
        :return: ``True`` after failures at several servers, except for a request now
            and then that may be repeated, which tries one.
        """
        path = self._paths.get(ticket.service)
        if path is None or len(path.new_losses) < MIN_FAILED_SERVERS:
            return False
        recent = [at_s for at_s in path.new_losses.values() if now_s - at_s < DOUBT_S]
        if len(recent) < MIN_FAILED_SERVERS:
            return False
        if ticket.route.is_repeatable and now_s >= path.doubt_trial_s:
            path.doubt_trial_s = now_s + DOUBT_TRIAL_INTERVAL_S
            return False
        return True

    def forget_failures(self):
        """Forgets the failures that were seen while this process stood still."""
        for path in self._paths.values():
            path.failures.clear()
            path.new_losses.clear()

    def update(self, dispatcher, now_s):
        """Looks whether the servers of a service still answer.

        :param dispatcher: ``dispatch.Dispatcher`` of the service.
        :param now_s: current time in seconds.
        """
        path = self._paths.get(dispatcher.service)
        if path is None or now_s - path.heard_s < QUIET_S:
            return
        open_ids = {
            server_id
            for server_id, server in dispatcher.servers.items()
            if not server.is_retired
        }
        if path.unreached_since_s is not None:
            if not open_ids:
                self._end(dispatcher.service, path, now_s)
            return
        failures = self._list_failures(path, dispatcher, open_ids, now_s)
        if not failures or len(failures) < min(MIN_FAILED_SERVERS, len(open_ids)):
            return
        path.unreached_since_s = min(failures.values())
        path.probe_interval_s = PROBE_INTERVAL_S
        path.probe_due_s = now_s + PROBE_INTERVAL_S
        self._changes.append(
            PathChange(dispatcher.service, False, len(failures), len(open_ids))
        )

    def _list_failures(self, path, dispatcher, open_ids, now_s):
        earliest_s = max(path.heard_s, now_s - FAILURE_TTL_S)
        failures = {
            server_id: failed_s
            for server_id, failed_s in path.failures.items()
            if server_id in open_ids and failed_s > earliest_s
        }
        if now_s - path.heard_s >= SILENCE_S:
            for server_id, since_s in _list_unanswered(dispatcher, now_s).items():
                if server_id in open_ids:
                    failures.setdefault(server_id, since_s)
        return failures

    def is_probe_due(self, service, now_s):
        """Tells whether to open a connection to a server of an unreached service.

        :param service: name of the service.
        :param now_s: current time in seconds.
        :return: ``True`` once for each probe that is due.
        """
        path = self._paths.get(service)
        if path is None or path.unreached_since_s is None or now_s < path.probe_due_s:
            return False
        path.probe_interval_s = min(2 * path.probe_interval_s, MAX_PROBE_INTERVAL_S)
        path.probe_due_s = now_s + path.probe_interval_s
        return True

    def record_probe(self, service, now_s):
        """Records that a connection to a server of an unreached service has held.

        :param service: name of the service.
        :param now_s: current time in seconds.
        """
        path = self._paths[service]
        if path.unreached_since_s is not None:
            path.probed_s = now_s

    def try_start_trial(self, ticket, now_s):
        """Tells whether a request may show that the servers answer again.

        Requests that may be repeated go first, as they are not lost if it doesn't.

        :param ticket: ``arrivals.Ticket``, not sent yet.
        :param now_s: current time in seconds.
        :return: ``True`` once for each probe that got through.
        """
        path = self._paths.get(ticket.service)
        if path is None or path.probed_s is None or ticket.sends or ticket.is_begun:
            return False
        is_last_choice = now_s - path.probed_s >= TRIAL_WAIT_S
        if not ticket.route.is_repeatable and not is_last_choice:
            return False
        path.probed_s = None
        return True

    def pop_changes(self):
        """Returns the changes since the last call.

        :return: list of ``PathChange``.
        """
        changes, self._changes = self._changes, []
        return changes


def _list_unanswered(dispatcher, now_s):
    """Lists servers whose requests have got nothing, with the start of the silence."""
    waiting = {
        server.server_id: list(server.sends.values())
        for server in dispatcher.servers.values()
        if server.sends
    }
    probability = 1.0
    if not dispatcher.is_engine:
        # A single plain request may just take long; all together tell more.
        all_sends = [send for sends in waiting.values() for send in sends]
        probability = dispatcher.estimate_sound_probability(all_sends, now_s)
    is_known = probability < 1.0
    return {
        server_id: min(send.sent_s for send in sends)
        for server_id, sends in waiting.items()
        if probability <= dispatch.MAX_SOUND_PROBABILITY
        or (not is_known and any(_is_overdue(send, now_s) for send in sends))
    }


def _is_overdue(send, now_s):
    if send.first_event_s is not None:
        return True
    limit_s = max(SILENCE_S, servers.STALL_FACTOR * send.expected_first_event_s)
    return now_s - send.sent_s >= limit_s
