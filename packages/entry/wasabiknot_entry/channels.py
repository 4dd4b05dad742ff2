"""Callers' connections and their idle limit."""

import sys

from twisted.web import http

from wasabiknot_entry import chunks, inputs, sockets

# Idle connections stay open longer than the configured timeout, so that a caller
# that relies on the timeout does not send into a connection being closed.
IDLE_TIMEOUT_MARGIN_S = 2.0
# A request that is arriving may pause for this time, whatever the idle limit.
MIN_READ_TIMEOUT_S = 15.0
# Time between the end of the limit and the close. After a pause of the process the
# timers run first; a request that arrived meanwhile is read in this time.
LAST_READ_S = 0.02


class ChunkedBody:
    """The body of a request in chunks, in place of the decoder of the base class.

    :param handle_data: function of a part of the body.
    :param handle_end: function of the bytes after the body.
    """

    def __init__(self, handle_data, handle_end):
        self._decoder = chunks.ChunkDecoder()
        self._handle_data = handle_data
        self._handle_end = handle_end

    def dataReceived(self, data):  # noqa: N802
        """Decodes received bytes."""
        try:
            part = self._decoder.feed(data)
        except chunks.ChunkError as error:
            # The base class answers this error with status 400.
            raise http._MalformedChunkedDataError(str(error)) from error
        if part:
            self._handle_data(part)
        if self._decoder.is_complete:
            self._handle_end(self._decoder.remainder)


class CallerChannel(http.HTTPChannel):
    """A caller's connection, which follows the idle limit in force.

    The timer of the base class may end early; the limit is checked when it does.
    """

    # The limit of the configuration on the size of heads is the only one.
    maxHeaders = sys.maxsize  # noqa: N815
    totalHeadersSize = sys.maxsize  # noqa: N815
    gateway = None
    _quiet_since_s = 0.0
    _is_reading = False
    _is_closing = False
    _accept_turn = 0
    # Earliest time at which the request that arrives or runs may have come.
    readable_since_s = 0.0
    _input = None

    def connectionMade(self):  # noqa: N802
        """Starts the idle time of the connection."""
        self._quiet_since_s = self.gateway.reactor.seconds()
        self._accept_turn = self.gateway.loop_clock.turn
        self.readable_since_s = self.gateway.loop_clock.readable_since_s
        self.timeOut = self._compute_idle_limit_s()
        self._input = inputs.Input(
            self.gateway.input_scheduler,
            inputs.Source.CALLER,
            self.transport,
            self._parse,
            self._may_read,
        )
        super().connectionMade()
        self.gateway.add_channel(self)
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data):  # noqa: N802
        """Takes received bytes; ends the idle time."""
        self._quiet_since_s = self.gateway.reactor.seconds()
        self._input.receive(data)

    def _parse(self, data):
        self._quiet_since_s = self.gateway.reactor.seconds()
        if not self._is_reading:
            self._record_arrival()
        self._is_reading = True
        self._is_closing = False
        super().dataReceived(data)

    def _may_read(self):
        # Like the base class, which stops reading in these cases.
        if self._handlingRequest:
            return not self._is_buffer_full
        return not self._waitingForTransport

    @property
    def _is_buffer_full(self):
        return sum(map(len, self._dataBuffer)) > self._optimisticEagerReadSize

    @property
    def MAX_LENGTH(self):  # noqa: N802
        """Longest line of a head, in bytes."""
        return self.gateway.limits.header_bytes

    def lineReceived(self, line):  # noqa: N802
        """Takes a line of a request's head, up to the limit on the size of heads."""
        if self._receivedHeaderSize + len(line) > self.gateway.limits.header_bytes:
            self.lineLengthExceeded(line)
        else:
            super().lineReceived(line)

    def lineLengthExceeded(self, line):  # noqa: N802
        """Refuses a request whose head is too large."""
        if not self.requests:
            # It is the first line that is too long.
            self.requests.append(self.requestFactory(self, False))
        self.requests[-1].refuse_head()

    def allHeadersReceived(self):  # noqa: N802
        """Prepares to read the body."""
        super().allHeadersReceived()
        if self.length is None:
            # In chunks. The base class takes long for small ones.
            self._transferDecoder = ChunkedBody(
                self.requests[-1].handleContentChunk, self._finishRequestBody
            )

    def setLineMode(self, extra=b""):  # noqa: N802
        """Goes on with the next request, and what has come of it so far."""
        super().setLineMode()
        if extra:
            self._input.put_back(extra)
        else:
            self._input.resume()

    def resumeProducing(self):  # noqa: N802
        """Goes on reading, as the caller has taken what was written."""
        super().resumeProducing()
        self._input.resume()

    def _record_arrival(self):
        # What is read in the turn after the accept may have come with the connection.
        clock = self.gateway.loop_clock
        if clock.turn > self._accept_turn + 1:
            self.readable_since_s = clock.readable_since_s

    def requestDone(self, request):  # noqa: N802
        """Starts the idle time after a response, under the limit in force."""
        self._quiet_since_s = self.gateway.reactor.seconds()
        self._is_reading = False
        self._savedTimeOut = self._compute_idle_limit_s()
        super().requestDone(request)

    def timeoutConnection(self):  # noqa: N802
        """Closes the connection, or waits on if the limit in force allows it."""
        limit_s = self._compute_idle_limit_s()
        if self._is_reading or self.requests:
            limit_s = max(limit_s, MIN_READ_TIMEOUT_S)
        left_s = self._quiet_since_s + limit_s - self.gateway.reactor.seconds()
        if left_s > 0:
            self.setTimeout(left_s)
            return
        if not self._is_closing:
            self._is_closing = True
            self.setTimeout(LAST_READ_S)
            return
        self.gateway.count_idle_close()
        super().timeoutConnection()

    def connectionLost(self, reason):  # noqa: N802
        """Ends the requests of the connection."""
        self._input.close()
        self.gateway.discard_channel(self)
        super().connectionLost(reason)

    def loseConnection(self):  # noqa: N802
        """Closes the connection; what has come and isn't handled yet is dropped."""
        self._input.close()
        super().loseConnection()

    def has_caller_left(self):
        """Whether the caller has closed the connection, although this isn't read yet.

        :return: ``False`` as well if it is closed here.
        """
        return sockets.is_closed_by_peer(self.transport.getHandle())

    @property
    def hides_close(self):
        """Whether the connection isn't read, as too many bytes wait here."""
        is_full = self._handlingRequest and self._is_buffer_full
        return is_full or self._input.is_waiting

    def check_departure(self):
        """Ends the connection if its caller has left and the close can't be read."""
        if self.hides_close and self.has_caller_left():
            self.transport.abortConnection()

    def announce_close(self):
        """Closes the connection after the response that is due, and says so in it.

        Not if the response has begun or the next request is here already.
        """
        if not self.requests or not self._handlingRequest or self._has_next_request():
            return
        request = self.requests[0]
        if not request.startedWriting:
            self.persistent = False
            request.setHeader(b"connection", b"close")

    def _has_next_request(self):
        is_buffered = bool(self._buffer) or any(self._dataBuffer)
        return is_buffered or self._input.is_waiting

    def end(self):
        """Closes the connection; refuses a request that is still arriving."""
        if self._handlingRequest:
            self.persistent = False
        elif self.requests:
            self.requests[0].refuse_for_stop()
        else:
            self.loseConnection()

    def _compute_idle_limit_s(self):
        return self.gateway.limits.idle_ms / 1_000 + IDLE_TIMEOUT_MARGIN_S
