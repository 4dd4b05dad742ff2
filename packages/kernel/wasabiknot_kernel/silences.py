"""Silences of backend servers, as seen by all entries together.

A sound backend server may say nothing for two seconds or so, and then goes on. What
happens to its requests meanwhile has one cause, and says nothing about its version. A
timeout is therefore held back while nobody hears from the server:

| then | the timeout |
| --- | --- |
| the server goes on | is dropped |
| it is silent for longer than a sound one | counts |
| an entry has heard from it before the timeout | counts: only the request got nothing |

A request that waits alone at its server counts at once, as it can't be told from one
that gets no response.
"""

import collections

import msgspec

# Longest silence of a sound backend server, with a margin.
MAX_SILENCE_S = 2.8
# Time without a byte from which a backend server is silent, if requests wait there.
MIN_SILENCE_S = 0.7
MIN_WAITING = 2
# Time without a byte from which a request is reported as waiting.
MIN_WAIT_S = 0.3
# Time after which the reports of all peers on a moment have arrived.
REPORT_DELAY_S = 1.0
# Time by which a report may differ from the truth, and by which bytes may be late.
TRANSIT_S = 0.15
# Age from which a report says nothing of the requests that wait.
MAX_REPORT_AGE_S = 1.5
# Time after which a timeout is dropped if no request has tried the server since.
MEMORY_S = 10.0
MAX_KNOWN_SILENCES = 4


class SilenceReport(msgspec.Struct, frozen=True, array_like=True):
    """What a digest says of a backend server of a service with a release.

    :param heard_ms: time in milliseconds since its last byte; ``None`` if unknown.
    :param waiting: requests that wait there without a byte, or have timed out.
    """

    heard_ms: int | None
    waiting: int


class HeldTimeout(msgspec.Struct, eq=False):
    """A timeout at a backend server that nobody heard from.

    :param ticket: ``arrivals.Ticket``.
    :param server: ``servers.Server``.
    :param since_s: time of the last byte before, or of the send, in seconds.
    :param silent_from_s: start of the time in which it must have been silent.
    :param ended_s: time of the timeout, in seconds.
    :param is_heard: whether an entry has heard from the server within that time.
    """

    ticket: object
    server: object
    since_s: float
    silent_from_s: float
    ended_s: float
    is_heard: bool = False


class Silence(msgspec.Struct):
    """A time in which requests waited at a backend server that said nothing.

    :param since_s: time of its last byte before, in seconds.
    :param until_s: last time at which it was still silent, in seconds.
    """

    since_s: float
    until_s: float


class SilenceTracker:
    """Which backend servers are silent, and the timeouts held back for that."""

    def __init__(self):
        self._heard_s = {}
        self._peer_reports = {}
        self._silences = {}
        # Since when requests have waited at silent servers without a break.
        self._waiting_since_s = {}
        self._held = {}

    def record_bytes(self, server_id, now_s):
        """Records bytes of a response.

        :param server_id: id of the backend server.
        :param now_s: current time in seconds.
        """
        self._heard_s[server_id] = now_s

    def hold(self, ticket, server, elapsed_s, now_s):
        """Holds a timeout back if its backend server seems to be silent as a whole.

        :param ticket: ``arrivals.Ticket`` whose send has ended.
        :param server: ``servers.Server``.
        :param elapsed_s: time in seconds since the request was sent.
        :param now_s: current time in seconds.
        :return: whether it is held back; otherwise it counts at once.
        """
        silent_from_s = now_s - min(elapsed_s, MIN_SILENCE_S)
        heard_s = self._heard_s.get(server.server_id)
        if heard_s is not None and heard_s > silent_from_s:
            return False
        if not self._has_others(server, silent_from_s, now_s):
            return False
        since_s = self._find_heard_s(server.server_id)
        if since_s is None:
            since_s = now_s - elapsed_s
        since_s = min(since_s, silent_from_s)
        held = HeldTimeout(ticket, server, since_s, silent_from_s, now_s)
        self._held.setdefault(server.server_id, []).append(held)
        return True

    def _has_others(self, server, silent_from_s, now_s):
        if server.server_id in self._held:
            return True
        middle_s = (silent_from_s + now_s) / 2
        if any(send.sent_s <= middle_s for send in server.sends.values()):
            return True
        return self._count_peer_waiting(server.server_id, now_s) > 0

    def _find_heard_s(self, server_id):
        times_s = [self._heard_s.get(server_id)]
        for received_s, reports in self._peer_reports.values():
            times_s.append(_find_reported_s(reports.get(server_id), received_s))
        return max((item for item in times_s if item is not None), default=None)

    def _count_peer_waiting(self, server_id, now_s):
        return sum(
            reports[server_id].waiting
            for received_s, reports in self._peer_reports.values()
            if server_id in reports and now_s - received_s < MAX_REPORT_AGE_S
        )

    def _count_own_waiting(self, server, now_s):
        heard_s = self._heard_s.get(server.server_id)
        if heard_s is not None and now_s - heard_s < MIN_WAIT_S:
            return 0
        waiting = sum(
            now_s - send.sent_s >= MIN_WAIT_S for send in server.sends.values()
        )
        held = self._held.get(server.server_id, ())
        return waiting + sum(now_s - item.ended_s < MIN_WAIT_S for item in held)

    def was_silent(self, server_id, sent_s):
        """Tells whether a backend server was silent while a request was there.

        :param server_id: id of the backend server.
        :param sent_s: time in seconds at which the request was sent.
        """
        return any(
            item.until_s - max(item.since_s, sent_s) >= MIN_WAIT_S
            for item in self._silences.get(server_id, ())
        )

    def tick(self, all_servers, now_s):
        """Updates the silences, and decides on the timeouts that were held back.

        :param all_servers: list of the ``servers.Server`` of services with a release.
        :param now_s: current time in seconds.
        :return: list of ``HeldTimeout`` that count.
        """
        if not all_servers:
            self._heard_s.clear()
            self._silences.clear()
            self._waiting_since_s.clear()
            self._held.clear()
            return []
        for server in all_servers:
            self._update_silence(server, now_s)
        due = []
        for server_id in list(self._held):
            due.extend(self._decide(server_id, now_s))
        return due

    def _update_silence(self, server, now_s):
        server_id = server.server_id
        since_s = self._find_last_sign_s(server_id, now_s)
        waiting = self._count_own_waiting(server, now_s)
        waiting += self._count_peer_waiting(server_id, now_s)
        if now_s - since_s < MIN_SILENCE_S or not waiting:
            self._waiting_since_s.pop(server_id, None)
            return
        waited_s = now_s - self._waiting_since_s.setdefault(server_id, now_s)
        known = self._silences.setdefault(
            server_id, collections.deque(maxlen=MAX_KNOWN_SILENCES)
        )
        if known and since_s <= known[-1].until_s:
            # After a time without requests, one that waits may just take its time.
            is_continued = now_s - known[-1].until_s <= MIN_WAIT_S
            if is_continued or waited_s >= MIN_SILENCE_S:
                known[-1].until_s = now_s
        elif waiting >= MIN_WAITING:
            known.append(Silence(since_s, now_s))

    def _find_last_sign_s(self, server_id, now_s):
        heard_s = self._find_heard_s(server_id)
        if heard_s is not None:
            return heard_s
        held = self._held.get(server_id, ())
        return min((item.since_s for item in held), default=now_s)

    def _decide(self, server_id, now_s):
        held = self._held.pop(server_id)
        due = [item for item in held if item.is_heard]
        rest = [item for item in held if not item.is_heard]
        if not rest:
            return due
        since_s = min(item.since_s for item in rest)
        ended_s = max(item.ended_s for item in rest)
        until_s = max(ended_s, self._find_silent_until_s(server_id))
        if until_s - since_s > MAX_SILENCE_S:
            return due + rest
        heard_s = self._find_heard_s(server_id)
        goes_on = heard_s is not None and heard_s > ended_s
        is_over = goes_on and now_s - ended_s >= REPORT_DELAY_S
        if not is_over and now_s - ended_s < MEMORY_S:
            self._held[server_id] = rest
        return due

    def _find_silent_until_s(self, server_id):
        known = self._silences.get(server_id)
        return known[-1].until_s if known else float("-inf")

    def list_reports(self, all_servers, now_s):
        """Lists what this entry knows itself, for the digest.

        An idle server is left out, so that the digest of an idle entry stays the same.

        :param all_servers: iterable of the ``servers.Server`` of services with a
            release.
        :param now_s: current time in seconds.
        :return: mapping of ids to ``SilenceReport``.
        """
        reports = {}
        for server in all_servers:
            heard_s = self._heard_s.get(server.server_id)
            waiting = self._count_own_waiting(server, now_s)
            is_recent = heard_s is not None and now_s - heard_s <= MAX_SILENCE_S
            if is_recent or waiting:
                reports[server.server_id] = _build_report(heard_s, waiting, now_s)
        return reports

    def merge_reports(self, sources, own_reports, now_s):
        """Merges what peers report, for a summary.

        :param sources: names of the peers or groups.
        :param own_reports: mapping of ids to ``SilenceReport`` to include.
        :param now_s: current time in seconds.
        :return: mapping of ids to ``SilenceReport``.
        """
        heard_s = {}
        waiting = collections.Counter()
        known = [
            self._peer_reports[name] for name in sources if name in self._peer_reports
        ]
        for received_s, reports in [*known, (now_s, own_reports)]:
            for server_id, report in reports.items():
                waiting[server_id] += report.waiting
                reported_s = _find_reported_s(report, received_s)
                if reported_s is not None:
                    heard_s[server_id] = max(heard_s.get(server_id, 0.0), reported_s)
        return {
            server_id: _build_report(heard_s.get(server_id), count, now_s)
            for server_id, count in waiting.items()
        }

    def apply_reports(self, source, reports, now_s):
        """Applies what a digest says of backend servers.

        :param source: name of the peer or group.
        :param reports: mapping of ids to ``SilenceReport``.
        :param now_s: current time in seconds.
        """
        self._peer_reports[source] = (now_s, reports)
        for server_id, held in self._held.items():
            heard_s = _find_reported_s(reports.get(server_id), now_s)
            if heard_s is None:
                continue
            for item in held:
                first_s = item.silent_from_s + TRANSIT_S
                if first_s < heard_s < item.ended_s - TRANSIT_S:
                    item.is_heard = True

    def forget(self, source):
        """Forgets what a peer has reported, as it can't be reached any more.

        :param source: name of the peer or group.
        """
        self._peer_reports.pop(source, None)


def _find_reported_s(report, received_s):
    if report is None or report.heard_ms is None:
        return None
    return received_s - report.heard_ms / 1_000


def _build_report(heard_s, waiting, now_s):
    heard_ms = None if heard_s is None else round((now_s - heard_s) * 1_000)
    return SilenceReport(heard_ms, waiting)
