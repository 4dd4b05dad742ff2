"""Contents that crash backend servers, and their quarantine."""

from wasabiknot_kernel import fold

NEWS_LIMIT = 4096
CRASH_PREFIX = "crash:"


class CrashTracker:
    """Joins the crashes in the log with news that the log does not hold yet."""

    def __init__(self):
        self._news = {}
        self._reported = set()

    def note_reported(self, crash):
        """Remembers that this entry has reported a crash.

        :param crash: id of the crash.
        :return: whether it is the first time.
        """
        if crash in self._reported:
            return False
        self._reported.add(crash)
        return True

    def take(self, record):
        """Takes news of a crash.

        :param record: the ``Crash`` record.
        """
        for content in record.contents:
            crashes = self._news.setdefault(content, set())
            crashes.add(record.crash)
        while len(self._news) > NEWS_LIMIT:
            del self._news[next(iter(self._news))]

    def count(self, content, state):
        """Counts the crashes that a content was part of.

        :param content: hash of the content.
        :param state: folded state.
        :return: number of different crashes.
        """
        suspect = state.suspects.get(content)
        crashes = set(suspect.crashes) if suspect is not None else set()
        return len(crashes | self._news.get(content, set()))

    def is_excused(self, cause, state):
        """Whether a failure says nothing about the version that it happened on.

        :param cause: hash of the failed content, or the id of a crash behind
            ``CRASH_PREFIX``.
        :param state: folded state.
        :return: ``True`` if quarantined content explains it.
        """
        if not cause.startswith(CRASH_PREFIX):
            return self.is_quarantined(cause, state)
        crash = cause.removeprefix(CRASH_PREFIX)
        return any(
            self.is_quarantined(content, state)
            for content in self._list_contents(crash, state)
        )

    def _list_contents(self, crash, state):
        for content, suspect in state.suspects.items():
            if crash in suspect.crashes:
                yield content
        for content, crashes in self._news.items():
            if crash in crashes:
                yield content

    def is_suspect(self, content, state):
        """Whether a content was part of a crash.

        :param content: hash of the content.
        :param state: folded state.
        :return: ``True`` after the first crash.
        """
        return self.count(content, state) > 0

    def is_quarantined(self, content, state):
        """Whether a content is refused.

        :param content: hash of the content.
        :param state: folded state.
        :return: ``True`` after the second crash.
        """
        return self.count(content, state) >= fold.CRASHES_TO_QUARANTINE
