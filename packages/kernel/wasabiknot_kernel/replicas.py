"""A replica of the state that can start at any offset of the log."""

from wasabiknot_kernel import fold, records


class Replica:
    """The replicated state and its progress in the log.

    If the records before the first one read are no longer retained, the replica
    buffers records until it reads a snapshot that includes the missing ones.
    """

    def __init__(self):
        self.state = fold.State()
        self.is_complete = False
        self._buffer = []
        self._next_offset = 0

    @property
    def next_offset(self):
        """Offset of the next record to read from the log."""
        return self._next_offset

    def apply_records(self, stamped_records):
        """Applies or buffers records; records that have been read are ignored.

        :param stamped_records: ``records.StampedRecord`` items in log order.
        """
        for stamped in stamped_records:
            if stamped.offset < self._next_offset:
                continue
            if stamped.offset > self._next_offset:
                self._start_buffering()
            self._next_offset = stamped.offset + 1
            self._apply(stamped)

    def mark_empty(self):
        """Marks the replica as complete because the log contains no records."""
        if self._next_offset == 0:
            self.is_complete = True

    def restore(self, state):
        """Replaces the state by that of a peer, unless the peer's is older.

        :param state: ``fold.State`` of a peer.
        """
        if state.offset < self._next_offset and self.is_complete:
            return
        if state.offset <= self.state.offset:
            return
        self.state = state
        self.is_complete = True
        self._next_offset = state.offset + 1
        self._buffer.clear()

    def _start_buffering(self):
        # The log removed records after their retention time, before this replica
        # has read them. Its state remains in use until a snapshot replaces it.
        self.is_complete = False
        self._buffer.clear()

    def _apply(self, stamped):
        if stamped.offset == 0:
            self.is_complete = True
        if self.is_complete:
            fold.apply_record(self.state, stamped)
            return
        self._buffer.append(stamped)
        if isinstance(stamped.record, records.Snapshot):
            self._load_snapshot(stamped.record)

    def _load_snapshot(self, snapshot):
        if snapshot.based_on + 1 < self._buffer[0].offset:
            return
        state = fold.decode_state(snapshot.state)
        for stamped in self._buffer:
            fold.apply_record(state, stamped)
        self.state = state
        self.is_complete = True
        self._buffer.clear()
