"""Detects that this process has stood still, so that it doesn't act on old knowledge.

A stopped process, or one on a suspended VM, goes on with what it knew before: keys that
have been revoked since, backend servers that have left, responses and digests that wait
in its sockets. It takes no requests for a moment, until its reads and the digests of
its peers have brought it up to date.
"""

# Time between two checks from which the process has stood still. Checks are due ten
# times a second.
MAX_GAP_S = 1.5
# Time within which digests arrive and changes are copied from a peer.
HOLD_S = 0.5


class PauseDetector:
    """Remembers the last check, by a clock that goes on while the VM is suspended."""

    def __init__(self):
        self._checked_s = None
        self._held_until_s = None

    def check(self, now_s):
        """Records a sign of life.

        :param now_s: seconds of a clock that counts suspended time.
        :return: length of the pause that ends now in seconds; 0 for none.
        """
        gap_s = 0.0 if self._checked_s is None else now_s - self._checked_s
        self._checked_s = now_s
        if gap_s <= MAX_GAP_S:
            return 0.0
        self._held_until_s = now_s + HOLD_S
        return gap_s

    def is_held(self, now_s):
        """Tells whether the process has just gone on after a pause.

        :param now_s: seconds of the same clock.
        :return: ``True`` while nothing may be sent to a backend server.
        """
        return self._held_until_s is not None and now_s < self._held_until_s
