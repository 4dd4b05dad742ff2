"""The model of a continuously batching engine, without sockets."""

import collections
import enum
import hashlib

import msgspec

BYTES_PER_TOKEN = 4
PREFIX_BYTES = 1_024
MIN_LENGTH_FRACTION = 0.3
DECODE_SLOWDOWN_PER_STREAM = 0.04
CACHE_SAVING_FRACTION = 0.9
KEEP_STREAM_MS = 60_000


class Speed(msgspec.Struct, frozen=True):
    """Speed of an engine.

    :param slots: streams that run at once.
    :param prefill_ms: time per prompt token that is not cached.
    :param decode_ms: time per answer token of a stream that runs alone.
    :param cached_prefixes: prompt prefixes that fit into the cache.
    """

    slots: int = 4
    prefill_ms: float = 0.2
    decode_ms: float = 10.0
    cached_prefixes: int = 64


class Faults(msgspec.Struct):
    """Fault switches of a backend server.

    :param slow: factor on all durations.
    :param fail_fraction: fraction of requests that fail.
    :param fail_calls: calls that the fault is limited to; empty for all.
    :param from_load: running requests from which the fault shows.
    :param from_ms: time since the start from which the fault shows.
    :param poison: text in a prompt that crashes the server.
    :param cross: whether answers carry the id of another request.
    """

    slow: float = 1.0
    fail_fraction: float = 0.0
    fail_calls: tuple[str, ...] = ()
    from_load: int = 0
    from_ms: int = 0
    poison: str = "POISON"
    cross: bool = False


class StreamState(enum.Enum):
    """States of a stream."""

    WAITING = "waiting"
    RUNNING = "running"
    CANCELLED = "cancelled"
    DONE = "done"


class Stream:
    """One request on an engine.

    :param stream_id: id that the caller gave.
    :param call: name of the call.
    :param prompt: prompt.
    :param max_tokens: largest answer.
    """

    def __init__(self, stream_id, call, prompt, max_tokens):
        self.id = stream_id
        self.call = call
        self.prompt = prompt
        self.length = compute_answer_length(prompt, max_tokens)
        self.tokens = 0
        self.progress = 0.0
        self.prefill_left_ms = 0.0
        self.state = StreamState.WAITING
        self.ended_ms = None


def compute_answer_length(prompt, max_tokens):
    """Works out the length of the answer to a prompt.

    :param prompt: prompt.
    :param max_tokens: largest answer.
    :return: tokens; the same for the same prompt.
    """
    digest = hashlib.sha256(prompt.encode()).digest()
    fraction = int.from_bytes(digest[:4], "big") / 2**32
    share = MIN_LENGTH_FRACTION + (1 - MIN_LENGTH_FRACTION) * fraction
    return max(1, int(max_tokens * share))


class Batch:
    """Streams of one engine and their progress over time.

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
        """Number of admitted streams that wait for a slot."""
        return len(self._waiting)

    def admit(self, stream):
        """Admits a stream as it comes.

        :param stream: the stream.
        """
        self.streams[stream.id] = stream
        stream.state = StreamState.WAITING
        self._waiting.append(stream)

    def cancel(self, stream):
        """Frees the slot of a stream; its tokens are kept.

        :param stream: the stream.
        """
        if stream.state is StreamState.WAITING:
            self._waiting.remove(stream)
        elif stream.state is StreamState.RUNNING:
            self._running.remove(stream)
            if not stream.tokens:
                self.wasted_prefill_ms += self._measure_prefill(stream)
        else:
            return
        stream.state = StreamState.CANCELLED

    def resume(self, stream):
        """Admits a cancelled stream again.

        :param stream: the stream.
        """
        if stream.state is StreamState.CANCELLED:
            self.admit(stream)

    def clear(self):
        """Forgets everything, as a crash does."""
        self.streams.clear()
        self._running.clear()
        self._waiting.clear()
        self._prefixes.clear()

    def advance(self, elapsed_ms, now_ms, slow):
        """Advances all streams.

        :param elapsed_ms: time since the last call.
        :param now_ms: present time.
        :param slow: factor on all durations.
        :return: streams that have new tokens or have ended.
        """
        while self._waiting and len(self._running) < self.speed.slots:
            self._start(self._waiting.popleft())
        changed = []
        decode_ms = self.speed.decode_ms * (
            1 + DECODE_SLOWDOWN_PER_STREAM * (self.running - 1)
        )
        for stream in list(self._running):
            if self._advance_stream(stream, elapsed_ms / slow, decode_ms):
                changed.append(stream)
            if stream.tokens >= stream.length:
                stream.state = StreamState.DONE
                stream.ended_ms = now_ms
                self._running.remove(stream)
        self._drop_old(now_ms)
        return changed

    def _start(self, stream):
        stream.state = StreamState.RUNNING
        self._running.append(stream)
        stream.prefill_left_ms = self._measure_prefill(stream)
        self.prefill_ms += stream.prefill_left_ms
        prefix = stream.prompt[:PREFIX_BYTES]
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > self.speed.cached_prefixes:
            self._prefixes.popitem(last=False)

    def _measure_prefill(self, stream):
        tokens = len(stream.prompt) / BYTES_PER_TOKEN
        if stream.prompt[:PREFIX_BYTES] in self._prefixes:
            cached = min(tokens, PREFIX_BYTES / BYTES_PER_TOKEN)
            tokens -= cached * CACHE_SAVING_FRACTION
        return tokens * self.speed.prefill_ms

    def _advance_stream(self, stream, elapsed_ms, decode_ms):
        used_ms = min(elapsed_ms, stream.prefill_left_ms)
        stream.prefill_left_ms -= used_ms
        if stream.prefill_left_ms > 0:
            return False
        stream.progress += (elapsed_ms - used_ms) / decode_ms
        tokens = min(stream.length, int(stream.progress))
        if tokens == stream.tokens:
            return False
        stream.tokens = tokens
        return True

    def _drop_old(self, now_ms):
        oldest = next(iter(self.streams.values()), None)
        while oldest is not None and oldest.ended_ms is not None:
            if now_ms - oldest.ended_ms < KEEP_STREAM_MS:
                return
            del self.streams[oldest.id]
            oldest = next(iter(self.streams.values()), None)
