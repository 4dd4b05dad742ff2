"""Learned estimates of response lengths, server speeds and cached prefixes."""

import collections

DEFAULT_OUTPUT_TOKENS = 64.0
DEFAULT_PREFILL_MS_PER_TOKEN = 0.2
DEFAULT_DECODE_MS_PER_TOKEN = 10.0
DEFAULT_SERVICE_MS = 20.0
LENGTH_WEIGHT = 0.15
SPEED_WEIGHT = 0.2
MAX_CUSTOMER_LENGTHS = 4096
MAX_PREFIXES = 8192


class MovingAverage:
    """An exponentially weighted moving average.

    :param start: value before the first sample, which replaces it.
    :param weight: weight of a new sample.
    """

    __slots__ = ("count", "value", "weight")

    def __init__(self, start, weight):
        self.value = start
        self.weight = weight
        self.count = 0

    def add(self, sample):
        """Adds a sample.

        :param sample: new value.
        """
        self.count += 1
        weight = max(self.weight, 1 / self.count)
        self.value += (sample - self.value) * weight


class LengthEstimator:
    """Estimates response lengths per customer and call, in tokens."""

    def __init__(self):
        self._by_call = {}
        self._by_customer = collections.OrderedDict()

    def estimate(self, service, call, customer):
        """Estimates the length of a response.

        :param service: service name.
        :param call: call name.
        :param customer: customer name.
        :return: expected tokens.
        """
        customer_average = self._by_customer.get((service, call, customer))
        if customer_average is not None:
            return customer_average.value
        call_average = self._by_call.get((service, call))
        return call_average.value if call_average is not None else DEFAULT_OUTPUT_TOKENS

    def learn(self, service, call, customer, tokens):
        """Adds a sample from a complete response.

        :param service: service name.
        :param call: call name.
        :param customer: customer name.
        :param tokens: length of the response, in tokens.
        """
        call_average = self._by_call.setdefault(
            (service, call), MovingAverage(DEFAULT_OUTPUT_TOKENS, LENGTH_WEIGHT)
        )
        call_average.add(tokens)
        key = (service, call, customer)
        if key not in self._by_customer:
            self._by_customer[key] = MovingAverage(call_average.value, LENGTH_WEIGHT)
        self._by_customer.move_to_end(key)
        self._by_customer[key].add(tokens)
        if len(self._by_customer) > MAX_CUSTOMER_LENGTHS:
            self._by_customer.popitem(last=False)


class Speed:
    """Learned speed of one backend server, separately for prefill and decode."""

    __slots__ = ("decode", "prefill", "service")

    def __init__(self):
        self.prefill = MovingAverage(DEFAULT_PREFILL_MS_PER_TOKEN, SPEED_WEIGHT)
        self.decode = MovingAverage(DEFAULT_DECODE_MS_PER_TOKEN, SPEED_WEIGHT)
        self.service = MovingAverage(DEFAULT_SERVICE_MS, SPEED_WEIGHT)

    def learn_stream(self, prompt_tokens, first_ms, output_tokens, decode_ms):
        """Adds the samples of a complete stream.

        :param prompt_tokens: length of the prompt, in tokens.
        :param first_ms: milliseconds from dispatch to the first token.
        :param output_tokens: length of the response, in tokens.
        :param decode_ms: milliseconds from the first token to the last.
        """
        if prompt_tokens:
            self.prefill.add(first_ms / prompt_tokens)
        if output_tokens > 1:
            self.decode.add(decode_ms / (output_tokens - 1))

    def estimate_stream(self, prompt_tokens, output_tokens):
        """Estimates the duration of a stream.

        :param prompt_tokens: prompt tokens that are not cached.
        :param output_tokens: expected length of the response, in tokens.
        :return: milliseconds from dispatch to the end.
        """
        return prompt_tokens * self.prefill.value + output_tokens * self.decode.value


class PrefixIndex:
    """Maps prompt prefixes to the backend servers they were last sent to."""

    def __init__(self):
        self._servers = collections.OrderedDict()

    def find(self, prefix):
        """Finds the backend server that probably caches a prefix.

        :param prefix: hash of the start of a prompt.
        :return: id of the backend server, or ``None``.
        """
        return self._servers.get(prefix)

    def record_dispatch(self, prefix, server_id):
        """Records a dispatch; the least recently used prefix is evicted.

        :param prefix: hash of the start of the prompt.
        :param server_id: id of the backend server.
        """
        if not prefix:
            return
        self._servers[prefix] = server_id
        self._servers.move_to_end(prefix)
        if len(self._servers) > MAX_PREFIXES:
            self._servers.popitem(last=False)
