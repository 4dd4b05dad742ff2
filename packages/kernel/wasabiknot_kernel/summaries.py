"""Decides when the leader of a group sends summaries, so that news travels fast.

Summaries grow with the system and are sent the more rarely. What a backend server has
newly stated doesn't wait for the next one: a summary is then sent at once, but only one
between two regular ones.
"""

import msgspec

from wasabiknot_kernel import statements

Channel = statements.Channel


class Due(msgspec.Struct, frozen=True):
    """The summaries that are sent with a digest.

    :param group: whether the summary of this group is sent to the other leaders.
    :param remote: whether that of the other groups is sent to this group.
    """

    group: bool
    remote: bool


class _Summary:
    def __init__(self):
        self._sent_s = 0.0
        self._is_extra_used = False

    def is_due(self, is_regular, changed_s, now_s):
        is_extra = not self._is_extra_used and changed_s >= self._sent_s
        if is_regular:
            self._is_extra_used = False
        elif is_extra:
            self._is_extra_used = True
        if is_regular or is_extra:
            self._sent_s = now_s
        return is_regular or is_extra


class SummarySchedule:
    """The times at which an entry sends summaries, if it leads its group."""

    def __init__(self):
        self._group = _Summary()
        self._remote = _Summary()

    def advance(self, is_regular, changed_s, now_s):
        """Decides which summaries are sent with the digest of this interval.

        :param is_regular: whether summaries are sent in any case.
        :param changed_s: times in seconds of the last statements that were new, by
            ``statements.Channel``.
        :param now_s: current time in seconds.
        :return: ``Due``.
        """
        group_s = max(changed_s[Channel.OWN], changed_s[Channel.GROUP])
        remote_s = changed_s[Channel.REMOTE]
        return Due(
            self._group.is_due(is_regular, group_s, now_s),
            self._remote.is_due(is_regular, remote_s, now_s),
        )
