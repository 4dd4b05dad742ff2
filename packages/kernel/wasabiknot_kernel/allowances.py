"""What customers may use, over all entries."""

import collections

import msgspec

# Least part of the members that is reckoned with in a return time.
LEAST_FRACTION = 0.01


class _Bucket(msgspec.Struct):
    level: float
    refilled_s: float
    rate: float
    burst: float


class Allowances:
    """Token buckets of the customers; every entry keeps the same ones.

    A bucket is charged with what this entry lets in and with what its peers say
    that they let in. An entry that hears only some peers refills at the rate that
    their part of the members stands for, so entries that are cut off from one
    another stay within the limit together.
    """

    def __init__(self):
        self._buckets = {}
        self._customers = {}
        self._fraction = 1.0
        self.used = collections.Counter()
        self._seen = {}

    def set_customers(self, customers, now_s):
        """Takes the limits of a configuration.

        :param customers: mapping of names to ``routes.Customer``.
        :param now_s: present time.
        """
        self._customers = customers
        for name, customer in customers.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                bucket = _Bucket(customer.burst_tokens, now_s, 0.0, 0.0)
                self._buckets[name] = bucket
            self._refill(bucket, now_s)
            bucket.rate = customer.tokens_per_s
            bucket.burst = max(customer.burst_tokens, customer.tokens_per_s)
            bucket.level = min(bucket.level, bucket.burst)
        for name in set(self._buckets) - set(customers):
            del self._buckets[name]

    def set_fraction(self, fraction, now_s):
        """Sets the part of the members that are heard, this one included.

        :param fraction: between 0 and 1.
        :param now_s: present time.
        """
        if fraction == self._fraction:
            return
        for bucket in self._buckets.values():
            self._refill(bucket, now_s)
        self._fraction = fraction

    def _refill(self, bucket, now_s):
        gained = (now_s - bucket.refilled_s) * bucket.rate * self._fraction
        bucket.level = min(bucket.burst, bucket.level + max(0.0, gained))
        bucket.refilled_s = now_s

    def take(self, name, tokens, now_s):
        """Charges a request to its customer.

        :param name: customer name.
        :param tokens: its cost.
        :param now_s: present time.
        :return: seconds until it could be let in; 0 if it is let in now.
        """
        bucket = self._buckets.get(name)
        if bucket is None or not bucket.rate:
            return 0.0
        self._refill(bucket, now_s)
        # The last request may run into debt, or one that is larger than what is
        # left would wait while smaller ones take every token that comes in.
        if bucket.level > 0:
            bucket.level -= tokens
            self.used[name] += tokens
            return 0.0
        rate = bucket.rate * max(self._fraction, LEAST_FRACTION)
        return -bucket.level / rate

    def give_back(self, name, tokens):
        """Takes back the charge of a request that did not run.

        :param name: customer name.
        :param tokens: its cost.
        """
        bucket = self._buckets.get(name)
        if bucket is None or not bucket.rate:
            return
        bucket.level = min(bucket.burst, bucket.level + tokens)
        self.used[name] -= tokens

    def take_peer(self, peer, used, now_s):
        """Charges what a peer let in since it was last heard.

        :param peer: name and incarnation of the peer.
        :param used: mapping of customers to tokens since the peer started.
        :param now_s: present time.
        """
        before = self._seen.get(peer, {})
        for name, tokens in used.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                continue
            self._refill(bucket, now_s)
            bucket.level -= tokens - before.get(name, 0)
            bucket.level = min(bucket.level, bucket.burst)
        self._seen[peer] = {**before, **used}
