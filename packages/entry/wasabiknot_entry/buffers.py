"""A bound on the bytes of bodies that an entry holds in memory."""

# Bound if the settings name none; a VM has 300 MB.
DEFAULT_MAX_BYTES = 32 * 1024 * 1024


class Budget:
    """Bytes held, by holder; over the bound, the largest holder must let go.

    :param max_bytes: bound on all holders together, in bytes.
    """

    def __init__(self, max_bytes=DEFAULT_MAX_BYTES):
        self.max_bytes = max_bytes
        self._held = {}
        self.total_bytes = 0

    def add(self, holder, size_bytes):
        """Records that a holder keeps more bytes.

        :param holder: object with ``drop_buffer``, which must release it.
        :param size_bytes: further bytes.
        """
        self._held[holder] = self._held.get(holder, 0) + size_bytes
        self.total_bytes += size_bytes
        while self._held and self.total_bytes > self.max_bytes:
            largest = max(self._held, key=self._held.get)
            self.release(largest)
            largest.drop_buffer()

    def release(self, holder):
        """Records that a holder keeps nothing any more.

        :param holder: the holder; unknown ones are ignored.
        """
        self.total_bytes -= self._held.pop(holder, 0)

    def count(self, holder):
        """Counts the bytes of one holder.

        :param holder: the holder.
        :return: bytes.
        """
        return self._held.get(holder, 0)
