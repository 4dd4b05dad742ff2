"""A model of an engine with continuous batching, without network access."""

import collections
import enum
import hashlib

import msgspec

BYTES_PER_TOKEN = 4
PREFIX_BYTES = 1_024
MIN_LENGTH_FRACTION = 0.3
DECODE_SLOWDOWN_PER_STREAM = 0.04
CACHE_SAVING_FRACTION = 0.9
STREAM_RETENTION_MS = 60_000


class Speed(msgspec.Struct, frozen=True):
    """Speed of an engine.

    :param slots: maximum number of concurrent streams.
    :param prefill_ms: prefill time per uncached prompt token in milliseconds.
    :param decode_ms: decode time in milliseconds per output token of a stream that
        runs alone.
    :param cached_prefixes: capacity of the prefix cache in prompt prefixes.
    """

    slots: int = 4
    prefill_ms: float = 0.2
    decode_ms: float = 10.0
    cached_prefixes: int = 64


class Faults(msgspec.Struct):
    """Faults injected into a backend server.

    :param slow: factor by which processing is slowed down.
    :param fail_fraction: fraction of requests that fail, from 0 to 1.
    :param fail_calls: names of the calls that are affected; empty for all.
    :param from_load: number of running requests from which ``slow`` and
        ``fail_fraction`` apply.
    :param from_ms: time since the server's start, in milliseconds, from which
        ``slow`` and ``fail_fraction`` apply.
    :param poison: text that crashes the server when a prompt contains it.
    :param cross: whether responses carry the id of another request.
    """

    slow: float = 1.0
    fail_fraction: float = 0.0
    fail_calls: tuple[str, ...] = ()
    from_load: int = 0
    from_ms: int = 0
    poison: str = "POISON"
    cross: bool = False


class StreamState(enum.Enum):
    """State of a stream."""

    WAITING = "waiting"
    RUNNING = "running"
    CANCELLED = "cancelled"
    DONE = "done"


class Stream:
    """A request on an engine and the progress of its output.

    :param stream_id: id of the request.
    :param call: name of the call.
    :param prompt: text of the prompt.
    :param max_tokens: maximum number of output tokens.
    """

    def __init__(self, stream_id, call, prompt, max_tokens):
        self.id = stream_id
        self.call = call
        self.prompt = prompt
        self.output_tokens = compute_output_tokens(prompt, max_tokens)
        self.generated_tokens = 0
        self.decoded_tokens = 0.0
        self.remaining_prefill_ms = 0.0
        self.state = StreamState.WAITING
        self.ended_ms = None


def compute_output_tokens(prompt, max_tokens):
    """Computes the number of output tokens for a prompt from the prompt's hash.

    :param prompt: text of the prompt.
    :param max_tokens: maximum number of output tokens.
    :return: number of tokens; the same for the same arguments.
    """
    digest = hashlib.sha256(prompt.encode()).digest()
    uniform = int.from_bytes(digest[:4], "big") / 2**32
    fraction = MIN_LENGTH_FRACTION + (1 - MIN_LENGTH_FRACTION) * uniform
    return max(1, int(max_tokens * fraction))


class Batch:
    """Schedules the streams of an engine and advances them over time.

    :param speed: ``Speed``.
    """

    def __init__(self, speed):
        self.speed = speed
        self.streams = {}
        self._running = []
        self._waiting = collections.deque()
        self._prefixes = collections.OrderedDict()
        self.prefill_ms = 0.0
        self.wasted_prefill_ms = 0.0

    @property
    def running(self):
        """Number of running streams."""
        return len(self._running)

    @property
    def waiting(self):
        """Number of admitted streams that are waiting for a slot."""
        return len(self._waiting)

    def admit(self, stream):
        """Appends a stream to the queue.

        :param stream: ``Stream``.
        """
        self.streams[stream.id] = stream
        stream.state = StreamState.WAITING
        self._waiting.append(stream)

    def cancel(self, stream):
        """Cancels a stream and frees its slot; its tokens are kept for a resume.

        :param stream: ``Stream``.
        """
        if stream.state is StreamState.WAITING:
            self._waiting.remove(stream)
        elif stream.state is StreamState.RUNNING:
            self._running.remove(stream)
            if not stream.generated_tokens:
                self.wasted_prefill_ms += self._compute_prefill_ms(stream)
        else:
            return
        stream.state = StreamState.CANCELLED

    def resume(self, stream):
        """Appends a cancelled stream to the queue again; does nothing for others.

        :param stream: ``Stream``.
        """
        if stream.state is StreamState.CANCELLED:
            self.admit(stream)

    def clear(self):
        """Drops all streams and the prefix cache, as a crash does."""
        self.streams.clear()
        self._running.clear()
        self._waiting.clear()
        self._prefixes.clear()

    def advance(self, elapsed_ms, now_ms, slow):
        """Fills free slots from the queue and advances the running streams.

        :param elapsed_ms: time since the previous call in milliseconds.
        :param now_ms: current time in Unix milliseconds.
        :param slow: factor by which processing is slowed down.
        :return: list of the streams that have new tokens.
        """
        while self._waiting and len(self._running) < self.speed.slots:
            self._start_stream(self._waiting.popleft())
        changed = []
        decode_ms = self.speed.decode_ms * (
            1 + DECODE_SLOWDOWN_PER_STREAM * (self.running - 1)
        )
        for stream in list(self._running):
            if self._advance_stream(stream, elapsed_ms / slow, decode_ms):
                changed.append(stream)
            if stream.generated_tokens >= stream.output_tokens:
                stream.state = StreamState.DONE
                stream.ended_ms = now_ms
                self._running.remove(stream)
        self._drop_expired(now_ms)
        return changed

    def _start_stream(self, stream):
        stream.state = StreamState.RUNNING
        self._running.append(stream)
        stream.remaining_prefill_ms = self._compute_prefill_ms(stream)
        self.prefill_ms += stream.remaining_prefill_ms
        prefix = stream.prompt[:PREFIX_BYTES]
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > self.speed.cached_prefixes:
            self._prefixes.popitem(last=False)

    def _compute_prefill_ms(self, stream):
        tokens = len(stream.prompt) / BYTES_PER_TOKEN
        if stream.prompt[:PREFIX_BYTES] in self._prefixes:
            cached = min(tokens, PREFIX_BYTES / BYTES_PER_TOKEN)
            tokens -= cached * CACHE_SAVING_FRACTION
        return tokens * self.speed.prefill_ms

    def _advance_stream(self, stream, elapsed_ms, decode_ms):
        prefill_ms = min(elapsed_ms, stream.remaining_prefill_ms)
        stream.remaining_prefill_ms -= prefill_ms
        if stream.remaining_prefill_ms > 0:
            return False
        stream.decoded_tokens += (elapsed_ms - prefill_ms) / decode_ms
        tokens = min(stream.output_tokens, int(stream.decoded_tokens))
        if tokens == stream.generated_tokens:
            return False
        stream.generated_tokens = tokens
        return True

    def _drop_expired(self, now_ms):
        oldest = next(iter(self.streams.values()), None)
        while oldest is not None and oldest.ended_ms is not None:
            if now_ms - oldest.ended_ms < STREAM_RETENTION_MS:
                return
            del self.streams[oldest.id]
            oldest = next(iter(self.streams.values()), None)
