"""Complete response bodies on their way to callers, at the callers' pace."""

from wasabiknot_entry import journal
from wasabiknot_kernel import events

# Bytes that are handed to a connection at a time.
PART_BYTES = 65_536


class BodyWriter:
    """Writes a body while the caller takes it, then finishes the response.

    :param request: ``caller_requests.CallerRequest``, whose head is written.
    :param request_id: id of the request.
    :param body: body bytes.
    :param held: ``buffers.Budget`` that counts the body until it is written.
    :param on_finished: function called once, when the writer is done or dropped.
    """

    def __init__(self, request, request_id, body, held, on_finished):
        self._request = request
        self._request_id = request_id
        self._body = body
        self._held = held
        self._on_finished = on_finished
        self._offset = 0
        self._is_paused = False
        self._is_ended = False

    def start(self):
        """Begins to write the body."""
        self._held.add(self, len(self._body))
        if not self._is_ended:
            self._request.registerProducer(self, True)
            self._write()

    def _write(self):
        while not self._is_paused and not self._is_ended:
            part = self._body[self._offset : self._offset + PART_BYTES]
            self._offset += len(part)
            is_last = self._offset >= len(self._body)
            self._request.write(part)
            if is_last:
                self._end()
                self._request.unregisterProducer()
                self._request.finish()

    def _end(self):
        if not self._is_ended:
            self._is_ended = True
            # The writer itself may live until the next garbage collection.
            self._body = b""
            self._held.release(self)
            self._on_finished()

    def _give_up(self, reason):
        if self._is_ended:
            return
        left_bytes = len(self._body) - self._offset
        self._end()
        journal.write(
            events.Event.BODY_NOT_TAKEN,
            request=self._request_id,
            reason=reason,
            left_bytes=left_bytes,
        )

    def pauseProducing(self):  # noqa: N802
        """Waits until the caller has taken what was written."""
        self._is_paused = True

    def resumeProducing(self):  # noqa: N802
        """Continues after the caller has taken what was written."""
        self._is_paused = False
        self._write()

    def stopProducing(self):  # noqa: N802
        """Ends the writer, as the caller has gone."""
        self._give_up("the caller has gone")

    def drop_buffer(self):
        """Closes the connection, as buffers hold too much and this one the most."""
        self._give_up("bodies held in memory are too large")
        channel = self._request.channel
        if channel is not None:
            channel.transport.abortConnection()
