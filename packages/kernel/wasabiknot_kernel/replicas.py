"""A replica of the folded state that can start anywhere in the log."""

from wasabiknot_kernel import fold, records


class Replica:
    """Follows the log from any starting point.

    A replica that starts after the oldest records were removed buffers what it
    reads until a snapshot covers the records that it missed.
    """

    def __init__(self):
        self.state = fold.State()
        self.is_complete = False
        self._buffer = []
        self._next = 0

    @property
    def next_offset(self):
        """Offset of the next record to read."""
        return self._next

    def apply_records(self, stamped_records):
        """Takes records in log order.

        :param stamped_records: records, each with its offset.
        """
        for stamped in stamped_records:
            if stamped.offset < self._next:
                continue
            if stamped.offset > self._next:
                self._restart()
            self._next = stamped.offset + 1
            self._take(stamped)

    def mark_empty(self):
        """Notes that the log holds no record, so nothing can be missing."""
        if self._next == 0:
            self.is_complete = True

    def restore(self, state):
        """Takes a state from a peer, unless it is older than the own one.

        :param state: folded state of a peer.
        """
        if state.offset < self._next and self.is_complete:
            return
        if state.offset <= self.state.offset:
            return
        self.state = state
        self.is_complete = True
        self._next = state.offset + 1
        self._buffer.clear()

    def _restart(self):
        # Records between were removed by retention before they were read. The
        # state stays in force until a snapshot replaces it.
        self.is_complete = False
        self._buffer.clear()

    def _take(self, stamped):
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
