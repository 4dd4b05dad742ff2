"""Writes requests at the pace of the servers that read them."""

# Bytes of a body that are handed to the transport at a time.
PART_BYTES = 65_536
# The operating system takes a request with a shorter body at once. A server may have
# left a part of a longer one unread when it answers.
MIN_LONG_BODY_BYTES = 4 * 1024


class RequestSender:
    """Writes one request; of a long body, only a part is held a second time.

    :param transport: transport of the connection.
    :param head: encoded head.
    :param body: bytes or ``memoryview``.
    """

    def __init__(self, transport, head, body):
        self._transport = transport
        self._body = body
        self._offset = 0
        self.is_long = len(body) >= MIN_LONG_BODY_BYTES
        # Whether the operating system has the whole request.
        self.is_written = not self.is_long
        self._is_registered = False
        self._write_part(head)
        if not self.is_written:
            # The transport asks for a part at once, before the first one is written.
            transport.registerProducer(self, False)
            self._is_registered = True

    @property
    def is_done(self):
        """Whether the whole request has been handed to the transport."""
        return self._offset >= len(self._body)

    def _write_part(self, head=b""):
        part = self._body[self._offset : self._offset + PART_BYTES]
        self._offset += len(part)
        self._transport.write(b"".join((head, part)))

    def resumeProducing(self):  # noqa: N802
        """Writes the next part, as the transport has written the last one."""
        if not self._is_registered:
            return
        if self.is_done:
            self.is_written = True
            self.stop()
        else:
            self._write_part()

    def stopProducing(self):  # noqa: N802
        """Drops the rest of the body, as the connection is gone."""
        self._body = b""

    def stop(self):
        """Writes no more parts."""
        if self._is_registered:
            self._is_registered = False
            self._transport.unregisterProducer()
