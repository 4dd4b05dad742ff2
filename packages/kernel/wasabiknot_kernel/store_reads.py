"""What the reads of the store mean for the backend servers that it no longer lists."""

# Backend servers have this long to register again after an outage of the store that
# affected every entry.
REMOVAL_GRACE_S = 2.2
# Age of the latest read by any entry after which the store counts as unavailable.
STORE_TIMEOUT_S = 1.5


class StoreReads:
    """The latest reads of the store, and the removals that wait for it.

    While the store is unavailable, and shortly after, removals are delayed:
    registrations may have lapsed although the backend servers still run.
    """

    def __init__(self):
        # Time of the last read by this entry, in seconds.
        self.last_read_s = None
        self._newest_read_s = None
        self._recovered_s = None
        self._pending_removals = {}
        # Time in seconds after which this entry hears of the reads of other groups.
        self.reporting_delay_s = 0.0

    def record_read(self, now_s):
        """Records a successful read of the store by this entry.

        :param now_s: current time in seconds.
        """
        self.last_read_s = now_s
        self._record_newest_read(now_s, now_s)

    def record_peer_read(self, age_ms, now_s):
        """Records a read of the store by a peer.

        :param age_ms: age of the read in milliseconds.
        :param now_s: current time in seconds.
        """
        self._record_newest_read(now_s - age_ms / 1_000, now_s)

    def _record_newest_read(self, read_s, now_s):
        previous_s = self._newest_read_s
        if previous_s is None:
            self._newest_read_s = read_s
            return
        # What counts is the time between the reads, not when this entry heard of them.
        if read_s - previous_s > STORE_TIMEOUT_S:
            self._recovered_s = now_s
        self._newest_read_s = max(previous_s, read_s)

    def is_unavailable(self, now_s):
        """Tells whether neither this entry nor a peer has read the store lately.

        :param now_s: current time in seconds.
        :return: ``True`` if the latest known read is older than
            ``STORE_TIMEOUT_S`` and the delay of reports, or there was none.
        """
        timeout_s = STORE_TIMEOUT_S + self.reporting_delay_s
        return self._newest_read_s is None or now_s - self._newest_read_s > timeout_s

    def _has_just_recovered(self, now_s):
        return (
            self._recovered_s is not None
            and now_s - self._recovered_s < REMOVAL_GRACE_S
        )

    def compute_age_ms(self, now_s):
        """Computes the age of this entry's latest read of the store.

        :param now_s: current time in seconds.
        :return: age in milliseconds; -1 before the first read.
        """
        if self.last_read_s is None:
            return -1
        return round((now_s - self.last_read_s) * 1_000)

    def compute_known_age_ms(self, now_s):
        """Computes the age of the latest read by any entry, as known here.

        :param now_s: current time in seconds.
        :return: age in milliseconds; -1 before the first read.
        """
        if self._newest_read_s is None:
            return -1
        return round((now_s - self._newest_read_s) * 1_000)

    def try_delay_removal(self, server_id, now_s):
        """Delays the removal of a backend server, if the store may be wrong about it.

        :param server_id: id of the backend server.
        :param now_s: current time in seconds.
        :return: whether the removal is delayed.
        """
        if not self.is_unavailable(now_s) and not self._has_just_recovered(now_s):
            return False
        since_s = now_s if self._recovered_s is None else self._recovered_s
        due_s = since_s + REMOVAL_GRACE_S
        self._pending_removals.setdefault(server_id, due_s)
        return True

    def find_removal_s(self, server_id):
        """Finds the time until which the removal of a backend server is delayed.

        :param server_id: id of the backend server.
        :return: time in seconds; ``None`` if no removal of it waits.
        """
        return self._pending_removals.get(server_id)

    def cancel_removal(self, server_id):
        """Drops the removal of a backend server that has registered again.

        :param server_id: id of the backend server.
        """
        self._pending_removals.pop(server_id, None)

    def pop_due_removals(self, now_s):
        """Takes the removals that are due, none while the store is unavailable.

        :param now_s: current time in seconds.
        :return: list of ids of backend servers.
        """
        if not self._pending_removals or self.is_unavailable(now_s):
            return []
        due = [
            server_id
            for server_id, due_s in self._pending_removals.items()
            if now_s >= due_s
        ]
        for server_id in due:
            del self._pending_removals[server_id]
        return due
