"""Quarantine of request contents that crash backend servers."""

from wasabiknot_kernel import fold

MAX_PENDING_CONTENTS = 4096
CRASH_PREFIX = "crash:"


class CrashTracker:
    """Merges crash records from the log with reports that are not yet in the log."""

    def __init__(self):
        self._pending = {}
        self._reported = set()
        # Records of this entry that it has not read from the log yet, by record id.
        self._unwritten = {}

    def mark_reported(self, crash):
        """Marks a crash as reported by this entry.

        :param crash: id of the crash.
        :return: whether this is its first report.
        """
        if crash in self._reported:
            return False
        self._reported.add(crash)
        return True

    def add(self, record):
        """Adds a crash that may not be in the log yet.

        :param record: the ``Crash`` record.
        """
        for content in record.contents:
            crashes = self._pending.setdefault(content, set())
            crashes.add(record.crash)
        while len(self._pending) > MAX_PENDING_CONTENTS:
            del self._pending[next(iter(self._pending))]

    def add_own(self, record):
        """Adds a crash that this entry reports.

        :param record: the ``Crash`` record.
        """
        self.add(record)
        self._unwritten[record.record_id] = record

    def confirm(self, record):
        """Ends the appends of a record that has been read from the log.

        :param record: record of any type.
        """
        self._unwritten.pop(record.record_id, None)

    def list_unwritten(self):
        """Lists the records of this entry that it has not read from the log yet.

        :return: list of ``Crash`` records.
        """
        return list(self._unwritten.values())

    def count(self, content, state):
        """Counts the crashes during which a content was in flight.

        :param content: hash of the content.
        :param state: folded state of the log.
        :return: number of distinct crashes.
        """
        suspect = state.suspects.get(content)
        crashes = set(suspect.crashes) if suspect is not None else set()
        return len(crashes | self._pending.get(content, set()))

    def is_excused(self, cause, state):
        """Tells whether a failure must not count against the version it occurred on.

        :param cause: hash of the failed content, or the id of a crash behind
            ``CRASH_PREFIX``.
        :param state: folded state of the log.
        :return: ``True`` if quarantined content caused it.
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
        for content, crashes in self._pending.items():
            if crash in crashes:
                yield content

    def is_suspect(self, content, state):
        """Tells whether a content was in flight during a crash.

        :param content: hash of the content.
        :param state: folded state of the log.
        :return: ``True`` after the first crash.
        """
        return self.count(content, state) > 0

    def is_quarantined(self, content, state):
        """Tells whether requests with a content are refused.

        :param content: hash of the content.
        :param state: folded state of the log.
        :return: ``True`` after ``fold.CRASHES_TO_QUARANTINE`` crashes.
        """
        return self.count(content, state) >= fold.CRASHES_TO_QUARANTINE
