"""Counts what an entry sends to its peers."""

import collections
import enum

from prometheus_client import core

from wasabiknot_entry import journal
from wasabiknot_kernel import events

# Bytes in a second from which the log says so: what control may send on a VM.
MAX_BYTES_PER_S = 27_000
WINDOW_S = 1.0


class Kind(enum.Enum):
    """Kinds of messages. The values appear in logs and metrics."""

    DIGEST = "digest"
    SUMMARY = "summary"
    FACTS = "facts"


class PeerTraffic:
    """A collector of the bytes sent to peers.

    :param reactor: Twisted reactor.
    """

    def __init__(self, reactor):
        self._reactor = reactor
        self._totals = collections.Counter()
        self._window = collections.Counter()
        self._window_end_s = reactor.seconds() + WINDOW_S

    def count(self, kind, size_bytes):
        """Counts a message.

        :param kind: ``Kind``.
        :param size_bytes: size in bytes, of all its copies.
        """
        self._totals[kind] += size_bytes
        self._window[kind] += size_bytes

    def check(self):
        """Logs the traffic of the last second if it was more than control may send."""
        now_s = self._reactor.seconds()
        if now_s < self._window_end_s:
            return
        sent_bytes = sum(self._window.values())
        if sent_bytes > MAX_BYTES_PER_S:
            kinds = {kind.value: size for kind, size in self._window.items()}
            journal.write(events.Event.PEER_TRAFFIC, sent_bytes=sent_bytes, **kinds)
        self._window.clear()
        self._window_end_s = now_s + WINDOW_S

    def collect(self):
        """Collects the metrics for a scrape.

        :return: iterator of metric families.
        """
        family = core.CounterMetricFamily(
            "wasabiknot_peer_sent_bytes",
            "Bytes sent to peers by kind of message.",
            labels=["kind"],
        )
        for kind in Kind:
            family.add_metric([kind.value], self._totals[kind])
        yield family
