"""Bounds what an entry sends to its peers to a part of its link.

Digests grow with trouble: more servers, crashes and evidence. Requests, responses and
the ends of connections share the link, so what peers are told yields to them.
"""

# Part of the link that digests and summaries may take.
MAX_LINK_SHARE = 0.2
# Traffic at once after a quiet time, in seconds of the rate.
BURST_S = 0.5
# Longest time between two digests, whatever they take. Peers count an entry as
# unreachable after a second.
MAX_INTERVAL_S = 0.3
BITS_PER_BYTE = 8


class Pacer:
    """A budget of bytes, which may be overdrawn by one digest.

    :param link_mbps: speed of the link, in megabits a second; 0 if it isn't known.
    :param max_bytes_per_s: bound on the rate whatever the link; 0 for none.
    """

    def __init__(self, link_mbps, max_bytes_per_s=0):
        self._rate = MAX_LINK_SHARE * link_mbps * 1_000_000 / BITS_PER_BYTE
        if max_bytes_per_s:
            self._rate = min(self._rate or max_bytes_per_s, max_bytes_per_s)
        self._balance = self._rate * BURST_S
        self._updated_s = None
        self._sent_s = None

    def compute_delay_s(self, now_s):
        """Computes how long the next digest should wait.

        :param now_s: current time in seconds.
        :return: seconds; 0 if it may be sent at once.
        """
        if not self._rate or self._sent_s is None:
            return 0.0
        self._refill(now_s)
        debt_s = max(0.0, -self._balance / self._rate)
        return max(0.0, min(debt_s, self._sent_s + MAX_INTERVAL_S - now_s))

    def has_room(self, now_s):
        """Tells whether more than the next digest may be sent.

        :param now_s: current time in seconds.
        :return: ``False`` while the budget is overdrawn.
        """
        self._refill(now_s)
        return not self._rate or self._balance > 0

    def record_send(self, size_bytes, now_s):
        """Records what was sent.

        :param size_bytes: size of all copies in bytes.
        :param now_s: current time in seconds.
        """
        self._refill(now_s)
        self._sent_s = now_s
        # A debt is forgotten in time; the interval bounds it.
        self._balance = max(self._balance - size_bytes, -self._rate)

    def _refill(self, now_s):
        if self._updated_s is not None:
            gained = (now_s - self._updated_s) * self._rate
            self._balance = min(self._balance + gained, self._rate * BURST_S)
        self._updated_s = now_s
