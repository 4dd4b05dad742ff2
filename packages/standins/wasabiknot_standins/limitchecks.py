"""Checks that entries keep to what backend servers state about themselves."""

import collections
import math

import msgspec

from wasabiknot_standins import platformworkers

# Time after a server first states a limit from which it is checked.
SETTLING_S = 3.0
# Time after an entry has received a limit from which its requests count.
HEARING_S = 0.5
WINDOW_S = 4.0
# Requests allowed in each window: a multiple of the limit, and some more.
TOLERANCE = 1.5
SLACK = 5
# Time within which a server that says that it is leaving must get its last request.
DRAIN_S = 2.0
# Requests that a server may get within the time for which it wants none.
MAX_DEFERRED = 2
# Time that a response takes to its entry, by a proxy in a busy process.
CROSSING_S = 0.05


class Excess(msgspec.Struct, frozen=True):
    """The most requests that reached one backend server within a window.

    :param server_id: id of the server.
    :param count: requests in the fullest window, relative to what is allowed.
    :param allowed: requests allowed in a window.
    """

    server_id: str
    count: int
    allowed: float

    @property
    def is_violation(self):
        """Whether the server got more than it allows."""
        return self.count > self.allowed


class Deferral(msgspec.Struct):
    """A rejection that names a time, and the requests within that time.

    :param rejection: ``platformworkers.Contact`` with the rejection.
    :param entry: entry that got it, as told by the caller of the check.
    :param later: list of ``platformworkers.Contact`` from the same entry, between
        ``HEARING_S`` after the rejection and the end of the time.
    """

    rejection: platformworkers.Contact
    entry: object
    later: list[platformworkers.Contact] = msgspec.field(default_factory=list)

    def covers(self, at_s):
        """Tells whether a request at a time in seconds counts."""
        told_s = self.rejection.told_s
        return told_s + HEARING_S < at_s < told_s + self.rejection.retry_after_s

    @property
    def count(self):
        """Number of the requests within the time."""
        return len(self.later)

    @property
    def is_violation(self):
        """Whether they are more than the platform allows."""
        return self.count > MAX_DEFERRED

    def __str__(self):
        rejection = self.rejection
        requests = ", ".join(
            f"{item.request_id} after {item.at_s - rejection.told_s:.2f} s"
            + (" (for another server)" if item.is_misdirected else "")
            for item in self.later
        )
        return (
            f"{self.count} requests from entry {self.entry} within"
            f" {rejection.retry_after_s} s that {rejection.server_id} named at"
            f" {rejection.told_s:.2f} s to {rejection.request_id}: {requests}"
        )


def find_peaks(contacts, find_entry):
    """Finds the fullest window of each backend server that has stated a limit.

    :param contacts: list of ``platformworkers.Contact`` in order of time.
    :param find_entry: function of a ``platformworkers.Contact`` that returns the
        number of the entry, or ``None`` for requests that don't count.
    :return: list of ``Excess``.
    """
    by_server = collections.defaultdict(list)
    for contact in contacts:
        by_server[contact.server_id].append(contact)
    peaks = [_find_peak(items, find_entry) for items in by_server.values()]
    return [peak for peak in peaks if peak is not None]


def _find_peak(contacts, find_entry):
    stated_s = math.inf
    told_s = {}
    window = collections.deque()
    worst = None
    for contact in contacts:
        if contact.limit_per_s is None:
            # The limit has ended; what follows is checked once it states one again.
            stated_s = math.inf
            told_s.clear()
            window.clear()
            continue
        stated_s = min(stated_s, contact.told_s)
        entry = find_entry(contact)
        since_s = min(told_s.get(entry, math.inf), contact.told_s)
        told_s[entry] = since_s
        if entry is None or contact.at_s < since_s + HEARING_S:
            continue
        if contact.at_s < stated_s + SETTLING_S:
            continue
        window.append(contact)
        while window[0].at_s < contact.at_s - WINDOW_S:
            window.popleft()
        limit_per_s = max(item.limit_per_s for item in window)
        allowed = TOLERANCE * limit_per_s * WINDOW_S + SLACK
        peak = Excess(contact.server_id, len(window), allowed)
        if worst is None or peak.count - allowed > worst.count - worst.allowed:
            worst = peak
    return worst


def count_after_leaving(contacts, find_entry):
    """Counts the requests to servers that have told their entry that they leave.

    Requests that were meant for another server don't count, as the platform has it.

    :param contacts: list of ``platformworkers.Contact`` in order of time.
    :param find_entry: as for ``find_peaks``.
    :return: number of requests later than ``DRAIN_S`` after the first such response.
    """
    told_s = {}
    count = 0
    for contact in contacts:
        key = (find_entry(contact), contact.server_id)
        if key[0] is None or contact.is_misdirected:
            continue
        if contact.at_s > told_s.get(key, contact.at_s) + DRAIN_S:
            count += 1
        if contact.is_leaving:
            told_s[key] = min(told_s.get(key, math.inf), contact.told_s)
    return count


def find_most_deferred(contacts, find_entry, left_s=None):
    """Finds the rejection with the most requests within the time that it names.

    An entry closes the connection of a request whose caller leaves, so a rejection that
    crosses the departure tells it nothing.

    :param contacts: list of ``platformworkers.Contact`` in order of time.
    :param find_entry: as for ``find_peaks``.
    :param left_s: times in seconds at which callers left, by the ids of their requests.
    :return: ``Deferral``; ``None`` if no response has named a time.
    """
    departures_s = left_s or {}
    named = collections.defaultdict(list)
    for contact in contacts:
        key = (find_entry(contact), contact.server_id)
        if key[0] is None:
            continue
        for deferral in named[key]:
            if deferral.covers(contact.at_s):
                deferral.later.append(contact)
        since_s = departures_s.get(contact.request_id, math.inf)
        has_left = since_s <= contact.told_s + CROSSING_S
        if contact.retry_after_s is not None and not has_left:
            named[key].append(Deferral(contact, key[0]))
    deferrals = [deferral for items in named.values() for deferral in items]
    return max(deferrals, key=lambda item: item.count, default=None)
