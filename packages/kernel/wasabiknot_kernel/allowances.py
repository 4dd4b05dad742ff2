"""Rate limits of customers, enforced across all entries."""

import collections
import math

import msgspec

# Fraction of the tolerance of a limit that the entries in the minority partitions of a
# network may use.
MINORITY_TOLERANCE_FRACTION = 0.5
# Time constant of the moving average of the use by this group: a fraction of the time
# that reports of other groups take, and its lower bound.
USE_AVERAGING_DELAYS = 0.6
MIN_USE_AVERAGING_S = 0.5
# Factor by which the sizes of earlier requests decay with each request.
SIZE_MEMORY = 0.98
# Standard deviations of the use by this group that are taken for chance.
CHANCE_DEVIATIONS = 1.25
# Lowest refill rate, as a fraction of the customer's rate, that is assumed when the
# time until a retry is computed.
MIN_RATE_FRACTION = 0.01
# Time over which use is counted to find the most that other groups may have admitted
# without a report, as a multiple of the delay of reports.
REPORT_WINDOW_DELAYS = 1.5
# Steps in which recent use is counted, and their largest number.
USE_STEP_S = 0.05
MAX_USE_STEPS = 128
# Content of the buckets at the start of the process, in seconds of the customer's rate.
# The previous run may have used the rest, and peers don't report what was used before.
INITIAL_LEVEL_S = 0.1


class Tolerance(msgspec.Struct, frozen=True):
    """How far customers may exceed their limits, summed over all entries.

    :param window_s: window in seconds over which use is counted.
    :param ratio: allowed excess as a fraction of the limit.
    :param slack_tokens: allowed excess in tokens, in addition to the ratio.
    """

    window_s: float
    ratio: float
    slack_tokens: float


class _RecentUses:
    """Tokens that a group has admitted lately, in steps of ``USE_STEP_S``."""

    def __init__(self):
        self._steps = collections.deque(maxlen=MAX_USE_STEPS)

    def add(self, tokens, now_s):
        if not self._steps or now_s - self._steps[-1][0] >= USE_STEP_S:
            self._steps.append([now_s, 0.0])
        self._steps[-1][1] += tokens

    def count_since(self, since_s):
        tokens = sum(
            tokens for at_s, tokens in self._steps if at_s + USE_STEP_S > since_s
        )
        return max(0.0, tokens)


class _Bucket(msgspec.Struct):
    level: float
    refilled_s: float
    rate: float
    burst: float
    group_rate: float = 0.0
    updated_s: float = 0.0
    # Tokens that other groups may have admitted without a report, at the last charge.
    unreported: float = 0.0
    uses: _RecentUses = msgspec.field(default_factory=_RecentUses)


class Allowances:
    """Token buckets of the customers, replicated on every entry.

    A bucket is charged with the tokens that this entry admits and with those that
    peers report. It refills at the full rate while most members are reachable. During
    a network partition, entries without a majority only use part of the tolerance, so
    that all partitions together stay within it.

    :param tolerance: ``Tolerance``.
    """

    def __init__(self, tolerance):
        self._tolerance = tolerance
        self._buckets = {}
        self._customers = {}
        self._reachable = 1
        self._members = 1
        self._other_groups = 0
        # Time in seconds until use by other groups is reported.
        self._report_delay_s = 0.0
        self._averaging_s = MIN_USE_AVERAGING_S
        # Decaying sums of the tokens of admitted requests, and of their squares.
        self._sizes = 0.0
        self._squared_sizes = 0.0
        # Fraction of the tolerance that use without a report may take.
        self.unreported_fraction = 0.0
        self.used = collections.Counter()
        # Tokens admitted by this entry and, as reported, by the peers of its group.
        self.group_used = collections.Counter()
        # Tokens admitted by the other groups, as reported to the leader.
        self.remote_used = collections.Counter()
        self._peer_totals = {}

    def set_customers(self, customers, now_s):
        """Applies the limits of a configuration.

        :param customers: mapping of names to ``routes.Customer``.
        :param now_s: current time in seconds.
        """
        is_start = not self._customers
        self._customers = customers
        for name, customer in customers.items():
            rate = customer.tokens_per_s
            burst = max(customer.burst_tokens, rate)
            bucket = self._buckets.get(name)
            if bucket is None:
                level = INITIAL_LEVEL_S * rate if is_start else burst
                self._buckets[name] = _Bucket(level, now_s, rate, burst)
                continue
            self._refill(bucket, now_s)
            bucket.rate = rate
            bucket.burst = burst
            bucket.level = min(bucket.level, burst)
        for name in set(self._buckets) - set(customers):
            del self._buckets[name]

    def set_member_counts(self, reachable, members, now_s):
        """Sets the numbers of reachable and of all members, including this entry.

        :param reachable: number of reachable members.
        :param members: number of all members.
        :param now_s: current time in seconds.
        """
        if (reachable, members) == (self._reachable, self._members):
            return
        for bucket in self._buckets.values():
            self._refill(bucket, now_s)
        self._reachable = reachable
        self._members = members

    def set_reporting_delay(self, other_groups, delay_s):
        """Sets the delay after which use by other groups is reported.

        :param other_groups: number of other groups.
        :param delay_s: delay of their reports in seconds.
        """
        self._other_groups = other_groups
        self._report_delay_s = delay_s
        self._averaging_s = max(MIN_USE_AVERAGING_S, USE_AVERAGING_DELAYS * delay_s)

    def _record_group_use(self, bucket, tokens, now_s):
        # Exponential moving average of the tokens per second admitted by this group.
        elapsed_s = max(0.0, now_s - bucket.updated_s)
        bucket.group_rate *= math.exp(-elapsed_s / self._averaging_s)
        bucket.group_rate += tokens / self._averaging_s
        bucket.uses.add(tokens, now_s)
        # Refunds by peers may be reported later than the use itself has decayed.
        bucket.group_rate = max(0.0, bucket.group_rate)
        bucket.updated_s = now_s

    def _record_size(self, tokens):
        # Weighted by the tokens themselves: the variance of a sum of requests of
        # unequal sizes is the sum times this mean.
        self._sizes = SIZE_MEMORY * self._sizes + tokens
        self._squared_sizes = SIZE_MEMORY * self._squared_sizes + tokens * tokens

    @property
    def _typical_size(self):
        return self._squared_sizes / self._sizes if self._sizes else 0.0

    def _estimate_unreported(self, bucket, now_s):
        # All groups are assumed to admit at the same rate. A group sees few requests of
        # a customer, and of unequal sizes, so what may be chance is left out.
        if not self._other_groups:
            return 0.0
        self._record_group_use(bucket, 0.0, now_s)
        recent = bucket.group_rate * self._averaging_s
        chance = CHANCE_DEVIATIONS * math.sqrt(recent * self._typical_size)
        rate = max(0.0, recent - chance) / self._averaging_s
        return rate * self._other_groups * self._report_delay_s

    def _count_untolerated(self, bucket, now_s):
        # Partitions of a network take their part of the tolerance themselves.
        if not self.unreported_fraction or self._reachable < self._members:
            return math.inf
        most = self._other_groups * bucket.uses.count_since(
            now_s - REPORT_WINDOW_DELAYS * self._report_delay_s
        )
        excess_tokens = self._compute_excess_tokens(bucket.rate, bucket.burst)
        return max(0.0, most - self.unreported_fraction * excess_tokens)

    def _compute_excess_tokens(self, rate, burst):
        excess_tokens = self._tolerance.ratio * (
            rate * self._tolerance.window_s + burst
        )
        return excess_tokens + self._tolerance.slack_tokens

    def compute_rate(self, rate, burst):
        """Computes the refill rate of this entry together with its reachable peers.

        :param rate: rate of the customer in tokens per second.
        :param burst: burst of the customer in tokens.
        :return: tokens per second.
        """
        if 2 * self._reachable > self._members:
            return rate
        fraction = self._reachable / self._members
        if 2 * self._reachable == self._members:
            return rate * fraction
        window_s = self._tolerance.window_s
        excess_tokens = self._compute_excess_tokens(rate, burst)
        # Fewer than half of the members are in this partition, so 2 * fraction < 1.
        tolerated = (
            MINORITY_TOLERANCE_FRACTION * excess_tokens / window_s * 2 * fraction
        )
        return min(rate * fraction, tolerated)

    def _refill(self, bucket, now_s):
        rate = self.compute_rate(bucket.rate, bucket.burst)
        tokens = (now_s - bucket.refilled_s) * rate
        bucket.level = min(bucket.burst, bucket.level + max(0.0, tokens))
        bucket.refilled_s = now_s

    def charge(self, name, tokens, now_s):
        """Charges a request to its customer if the bucket has tokens left.

        :param name: customer name.
        :param tokens: cost of the request in tokens.
        :param now_s: current time in seconds.
        :return: 0 if the request is admitted; otherwise the estimated time in seconds
            until it can be.
        """
        bucket = self._buckets.get(name)
        if bucket is None or not bucket.rate:
            return 0.0
        self._refill(bucket, now_s)
        # The level may become negative. Otherwise a large request would starve while
        # smaller ones use up every token that is refilled.
        unreported = self._estimate_unreported(bucket, now_s)
        unreported = min(unreported, self._count_untolerated(bucket, now_s))
        bucket.unreported = unreported
        if bucket.level > unreported:
            bucket.level -= tokens
            self._record_group_use(bucket, tokens, now_s)
            self._record_size(tokens)
            self.used[name] += tokens
            self.group_used[name] += tokens
            return 0.0
        rate = self.compute_rate(bucket.rate, bucket.burst)
        return (1 + unreported - bucket.level) / max(
            rate, MIN_RATE_FRACTION * bucket.rate
        )

    def describe(self, name):
        """Describes the state of a customer's bucket for the log.

        :param name: customer name.
        :return: short text.
        """
        bucket = self._buckets[name]
        rate = self.compute_rate(bucket.rate, bucket.burst)
        return (
            f"has {bucket.level:.0f}, {bucket.unreported:.0f} may be used unreported, "
            f"{rate:.0f} of {bucket.rate:.0f} a second, "
            f"hears {self._reachable} of {self._members}"
        )

    def refund(self, name, tokens):
        """Refunds the charge of a request that did not run.

        :param name: customer name.
        :param tokens: charged cost in tokens.
        """
        bucket = self._buckets.get(name)
        if bucket is None or not bucket.rate:
            return
        bucket.level = min(bucket.burst, bucket.level + tokens)
        self.used[name] -= tokens
        self.group_used[name] -= tokens

    def charge_peer_use(self, source, run, used, now_s, counter=None):
        """Charges the tokens that a peer or group has admitted since its last report.

        :param source: name of the peer or group.
        :param run: id of the reporting run; each run counts from zero.
        :param used: mapping of customers to tokens admitted since the run started.
        :param now_s: current time in seconds.
        :param counter: counter to add the tokens to, for the reports of this entry;
            ``None`` for none.
        """
        previous_run, previous = self._peer_totals.get(source, (None, {}))
        self._peer_totals[source] = (
            run,
            {**previous, **used} if run == previous_run else used,
        )
        if run != previous_run:
            # The first report of a run is only a baseline: it may cover use from long
            # ago, or requests that another leader of the group has reported.
            return
        for name, tokens in used.items():
            new_tokens = tokens - previous.get(name, 0)
            bucket = self._buckets.get(name) if new_tokens else None
            if bucket is None:
                continue
            self._refill(bucket, now_s)
            bucket.level = min(bucket.level - new_tokens, bucket.burst)
            if counter is self.group_used:
                self._record_group_use(bucket, new_tokens, now_s)
            if counter is not None:
                counter[name] += new_tokens
