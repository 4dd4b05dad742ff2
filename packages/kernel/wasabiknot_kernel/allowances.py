"""What customers may use, over all entries."""

import collections
import math

import msgspec

# Part of what a limit tolerates that entries cut off from most others may use.
MINORITY_TOLERANCE_FRACTION = 0.5
# Span over which the use of the own group is measured.
USE_AVERAGING_S = 0.5
# Least part of the members that is reckoned with in a return time.
MIN_REACHABLE_FRACTION = 0.01


class Tolerance(msgspec.Struct, frozen=True):
    """By how much customers may overrun their limits, over all entries.

    :param window_s: window in which use is counted.
    :param ratio: part of the limit.
    :param slack_tokens: tokens beyond that.
    """

    window_s: float
    ratio: float
    slack_tokens: float


class _Bucket(msgspec.Struct):
    level: float
    refilled_s: float
    rate: float
    burst: float
    group_rate: float = 0.0
    used_s: float = 0.0


class Allowances:
    """Token buckets of the customers; every entry keeps the same ones.

    A bucket is charged with what this entry lets in and with what its peers say
    that they let in. While most members are heard it refills at the full rate.
    Entries that are cut off from most others share what the limit tolerates, so
    all sides stay within it together.

    :param tolerance: ``Tolerance``.
    """

    def __init__(self, tolerance):
        self._tolerance = tolerance
        self._buckets = {}
        self._customers = {}
        self._reachable = 1
        self._members = 1
        # What the other groups let in before it is heard here, as a multiple of
        # what the own group lets in within a second.
        self._unreported_s = 0.0
        self.used = collections.Counter()
        # What this entry and the members of its group let in, as it heard it.
        self.group_used = collections.Counter()
        # What the other groups let in, as a leader heard it.
        self.remote_used = collections.Counter()
        self._peer_totals = {}

    def set_customers(self, customers, now_s):
        """Takes the limits of a configuration.

        :param customers: mapping of names to ``routes.Customer``.
        :param now_s: present time.
        """
        self._customers = customers
        for name, customer in customers.items():
            rate = customer.tokens_per_s
            burst = max(customer.burst_tokens, rate)
            bucket = self._buckets.get(name)
            if bucket is None:
                self._buckets[name] = _Bucket(burst, now_s, rate, burst)
                continue
            self._refill(bucket, now_s)
            bucket.rate = rate
            bucket.burst = burst
            bucket.level = min(bucket.level, burst)
        for name in set(self._buckets) - set(customers):
            del self._buckets[name]

    def set_member_counts(self, reachable, members, now_s):
        """Sets how many members are heard, this entry included.

        :param reachable: members that are heard.
        :param members: all members.
        :param now_s: present time.
        """
        if (reachable, members) == (self._reachable, self._members):
            return
        for bucket in self._buckets.values():
            self._refill(bucket, now_s)
        self._reachable = reachable
        self._members = members

    def set_reporting_delay(self, other_groups, delay_s):
        """Sets how much use by other groups is not heard yet.

        :param other_groups: number of the other groups.
        :param delay_s: time until their use is heard.
        """
        self._unreported_s = other_groups * delay_s

    def _record_group_use(self, bucket, tokens, now_s):
        # A decaying sum: tokens a second that the own group lets in.
        passed_s = max(0.0, now_s - bucket.used_s)
        bucket.group_rate *= math.exp(-passed_s / USE_AVERAGING_S)
        bucket.group_rate += tokens / USE_AVERAGING_S
        bucket.used_s = now_s

    def _estimate_unreported(self, bucket, now_s):
        if not self._unreported_s:
            return 0.0
        self._record_group_use(bucket, 0.0, now_s)
        return min(bucket.group_rate * self._unreported_s, bucket.burst)

    def compute_rate(self, rate, burst):
        """Finds the rate at which this entry, with those it hears, may let in.

        :param rate: tokens a second of the customer.
        :param burst: tokens that it may use at once.
        :return: tokens a second.
        """
        if 2 * self._reachable > self._members:
            return rate
        part = self._reachable / self._members
        if 2 * self._reachable == self._members:
            return rate * part
        window_s = self._tolerance.window_s
        spare = self._tolerance.ratio * (rate * window_s + burst)
        spare += self._tolerance.slack_tokens
        # Fewer than half of the members can be on this side of a cut.
        tolerated = MINORITY_TOLERANCE_FRACTION * spare / window_s * 2 * part
        return min(rate * part, tolerated)

    def _refill(self, bucket, now_s):
        rate = self.compute_rate(bucket.rate, bucket.burst)
        gained = (now_s - bucket.refilled_s) * rate
        bucket.level = min(bucket.burst, bucket.level + max(0.0, gained))
        bucket.refilled_s = now_s

    def charge(self, name, tokens, now_s):
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
        unreported = self._estimate_unreported(bucket, now_s)
        if bucket.level > unreported:
            bucket.level -= tokens
            self._record_group_use(bucket, tokens, now_s)
            self.used[name] += tokens
            self.group_used[name] += tokens
            return 0.0
        rate = self.compute_rate(bucket.rate, bucket.burst)
        return (1 + unreported - bucket.level) / max(
            rate, MIN_REACHABLE_FRACTION * bucket.rate
        )

    def describe(self, name):
        """Describes the state of a customer's allowance for the log.

        :param name: customer name.
        :return: short text.
        """
        bucket = self._buckets[name]
        rate = self.compute_rate(bucket.rate, bucket.burst)
        return (
            f"has {bucket.level:.0f}, {rate:.0f} of {bucket.rate:.0f} a second, "
            f"hears {self._reachable} of {self._members}"
        )

    def refund(self, name, tokens):
        """Takes back the charge of a request that did not run.

        :param name: customer name.
        :param tokens: its cost.
        """
        bucket = self._buckets.get(name)
        if bucket is None or not bucket.rate:
            return
        bucket.level = min(bucket.burst, bucket.level + tokens)
        self.used[name] -= tokens
        self.group_used[name] -= tokens

    def charge_peer_use(self, source, run, used, now_s, total=None):
        """Charges what a peer or a group let in since it was last heard.

        :param source: name of the peer or the group.
        :param run: id of the run that counts; another one counts anew.
        :param used: mapping of customers to tokens since the peer started.
        :param now_s: present time.
        :param total: counter to which it is added, to be told to others.
        """
        known_run, before = self._peer_totals.get(source, (None, {}))
        self._peer_totals[source] = (
            run,
            {**before, **used} if run == known_run else used,
        )
        if run != known_run:
            # What was let in before this run was first heard is no news, and two
            # leaders of a group count the same requests.
            return
        for name, tokens in used.items():
            bucket = self._buckets.get(name)
            added = tokens - before.get(name, 0)
            if bucket is None or not added:
                continue
            self._refill(bucket, now_s)
            bucket.level = min(bucket.level - added, bucket.burst)
            if total is self.group_used:
                self._record_group_use(bucket, added, now_s)
            if total is not None:
                total[name] += added
