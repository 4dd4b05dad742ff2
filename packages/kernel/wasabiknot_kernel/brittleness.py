"""Services whose backend servers fall over if they have to reject requests.

The servers of such a service state so in all their responses, with the number of
rejections a second that one of them bears. Entries then send a server no more requests
than it has slots, summed over all entries. It ends with a response that states nothing
to a request sent after the last statement, or with the report of such a response.
"""

import msgspec

from wasabiknot_kernel import statements

# Time for which an end is remembered, against reports from before it.
MEMORY_S = 10.0


class BrittleReport(msgspec.Struct, frozen=True, array_like=True):
    """What the servers of a service state, in a digest.

    :param service: name of the service.
    :param rejections_per_s: rejections a second that a server bears; ``None`` if its
        servers state nothing any more.
    :param age_ms: time in milliseconds since an entry read this.
    """

    service: str
    rejections_per_s: int | None
    age_ms: int


class BrittleChange(msgspec.Struct, frozen=True):
    """A service whose servers have become brittle or are so no more, for the log.

    :param service: name of the service.
    :param rejections_per_s: rejections a second that a server bears, or ``None``.
    :param source: ``statements.Channel``.
    """

    service: str
    rejections_per_s: int | None
    source: statements.Channel


class Brittleness(msgspec.Struct):
    """What the servers of a service state, as known to this entry.

    :param rejections_per_s: rejections a second that a server bears, or ``None``.
    :param stated_s: time in seconds at which an entry last read this.
    :param source: ``statements.Channel`` of the newest statement.
    """

    rejections_per_s: int | None
    stated_s: float
    source: statements.Channel


class BrittlenessTable:
    """The services whose servers are brittle."""

    def __init__(self):
        self._services = {}
        self._changes = []

    def is_brittle(self, service):
        """Tells whether the servers of a service are brittle.

        :param service: name of the service.
        """
        known = self._services.get(service)
        return known is not None and known.rejections_per_s is not None

    def record(self, service, rejections_per_s, sent_s, now_s):
        """Records what a response to this entry states.

        :param service: name of the service.
        :param rejections_per_s: rejections a second that a server bears; ``None`` if it
            states nothing.
        :param sent_s: time in seconds at which the request was sent.
        :param now_s: current time in seconds.
        """
        known = self._services.get(service)
        if rejections_per_s is None and (known is None or sent_s < known.stated_s):
            return
        own = statements.Channel.OWN
        self._set(service, rejections_per_s, now_s, own)

    def apply_reports(self, reports, channel, now_s):
        """Applies what the digest of a peer reports, where it is newer.

        :param reports: iterable of ``BrittleReport``.
        :param channel: ``statements.Channel`` of the digest.
        :param now_s: current time in seconds.
        """
        for report in reports:
            stated_s = now_s - report.age_ms / 1_000
            known = self._services.get(report.service)
            if known is None or stated_s > known.stated_s:
                self._set(report.service, report.rejections_per_s, stated_s, channel)

    def _set(self, service, rejections_per_s, stated_s, source):
        previous = self._services.get(service)
        self._services[service] = Brittleness(rejections_per_s, stated_s, source)
        previous_value = previous.rejections_per_s if previous is not None else None
        if previous_value != rejections_per_s:
            self._changes.append(BrittleChange(service, rejections_per_s, source))

    def tick(self, now_s):
        """Drops what no longer matters.

        :param now_s: current time in seconds.
        """
        for service, known in list(self._services.items()):
            if known.rejections_per_s is None and now_s - known.stated_s > MEMORY_S:
                del self._services[service]

    def list_reports(self, now_s, channels):
        """Lists the latest statements for a digest.

        :param now_s: current time in seconds.
        :param channels: set of ``statements.Channel``; only what came by one of them is
            listed.
        :return: tuple of ``BrittleReport``.
        """
        return tuple(
            BrittleReport(
                service, known.rejections_per_s, round((now_s - known.stated_s) * 1_000)
            )
            for service, known in self._services.items()
            if statements.is_reported(known.source, known.stated_s, channels, now_s)
        )

    def pop_changes(self):
        """Returns the changes since the last call.

        :return: list of ``BrittleChange``.
        """
        changes, self._changes = self._changes, []
        return changes
