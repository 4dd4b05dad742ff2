"""Shares of customers in the engine time of a service, by start-time fair queueing.

Each customer has a virtual time for each rank: the engine time that it has used. The
virtual time of the rank is that of the customer whose request was sent last, and no
customer's is less. A customer that is new or was idle therefore starts at the time of
the rank. The lead of a customer is how far its virtual time is ahead of the rank's;
customers with a smaller lead go first. Leads decay.

The use of a customer is the engine time that it has got while capacity was short, and
decays faster. It decides who is above its share, so idle capacity costs nothing.

Entries report the work of the customers with the largest uses as totals since the start
of a run, so a lost or repeated report does not distort them.
"""

import collections
import enum
import math
import typing

import msgspec

from wasabiknot_kernel import routes

# Time constant with which a lead decays, and bound on a lead: the engine time that many
# entries may use for one customer within that time.
LEAD_DECAY_S = 4.0
MAX_LEAD_S = 60.0
# Time constant with which the use of a customer while capacity is short decays.
USE_DECAY_S = 2.0
# A smaller use counts as within the share: a single request may take as much.
MIN_USE_S = 0.05
# A customer is above its share if its use is larger than this fraction of the largest
# one of its rank: customers with about the same demand have unequal uses at times.
ABOVE_SHARE_FRACTION = 0.8
MAX_REPORTED_CUSTOMERS = 8
# Customers with at least this fraction of the largest use are reported. It is lower
# than the fraction above, so that reports have no gaps while a use is close to that.
REPORTED_FRACTION = 0.5
# Time between two reports. Each takes about 30 bytes for each customer and peer.
REPORT_INTERVAL_S = 0.4
# Accounts above this number are dropped, those that were used least recently first.
MAX_ACCOUNTS = 1_024
# The difference to a previous total that is older than this is not charged: it includes
# work from a time when the customer was within its share and was not reported.
MAX_BASELINE_AGE_S = 1.5
# Time constant with which the sends a second of a customer are averaged.
RATE_AVERAGING_S = 1.5

AccountKey = typing.NewType("AccountKey", tuple[int, routes.CustomerName])


class Scope(enum.Enum):
    """The entries whose work a total covers."""

    ENTRY = "entry"
    GROUP = "group"
    OTHER_GROUPS = "other groups"


class CustomerWork(msgspec.Struct, frozen=True, array_like=True):
    """The work that an entry or group has sent for a customer above its share.

    :param service: name of the service.
    :param rank: rank of the requests.
    :param customer: name of the customer; empty for requests without one.
    :param work_ms: engine time in milliseconds since the start of the run.
    """

    service: routes.ServiceName
    rank: int
    customer: routes.CustomerName
    work_ms: int

    @property
    def key(self):
        """Key of the customer's account at its service."""
        return (self.rank, self.customer)


class _Account(msgspec.Struct, eq=False):
    virtual_s: float
    updated_s: float
    sends_per_s: float = 0.0
    use_s: float = 0.0
    # Engine time in seconds, by ``Scope``.
    totals_s: dict[Scope, float] = msgspec.field(
        default_factory=lambda: dict.fromkeys(Scope, 0.0)
    )


class _Baseline(msgspec.Struct, frozen=True):
    run: str
    work_ms: int
    received_s: float


def find_key(ticket):
    """Finds the account that a request is charged to.

    :param ticket: ``arrivals.Ticket``.
    :return: ``AccountKey``.
    """
    return (ticket.rank, ticket.customer or "")


class ServiceShares:
    """The virtual times of the customers of one service.

    :param service: name of the service.
    """

    def __init__(self, service):
        self.service = service
        self._virtual_s = collections.defaultdict(float)
        self._accounts = collections.OrderedDict()
        self._baselines = collections.OrderedDict()
        # Whether requests wait in the group, so that use is at the cost of others.
        self.is_capacity_short = False
        # Largest use in seconds, and the time at which it was computed, by rank.
        self._largest_use_s = {}
        self._largest_at_s = {}

    def find_lead_s(self, key, now_s):
        """Finds how far a customer is ahead of the virtual time of its rank.

        :param key: ``AccountKey``.
        :param now_s: current time in seconds.
        :return: seconds of engine time; 0 for a customer that was idle.
        """
        account = self._accounts.get(key)
        if account is None:
            return 0.0
        self._decay(key, account, now_s)
        return account.virtual_s - self._virtual_s[key[0]]

    def is_above_share(self, key, now_s):
        """Tells whether a customer is above its share.

        :param key: ``AccountKey``.
        :param now_s: current time in seconds.
        :return: ``True`` if its use while capacity was short is among the largest ones
            of its rank.
        """
        account = self._accounts.get(key)
        if account is None:
            return False
        self._decay(key, account, now_s)
        limit_s = ABOVE_SHARE_FRACTION * self._find_largest_use_s(key[0], now_s)
        return account.use_s > max(MIN_USE_S, limit_s)

    def _find_largest_use_s(self, rank, now_s):
        if now_s != self._largest_at_s.get(rank):
            uses_s = []
            for key, account in self._accounts.items():
                if key[0] == rank:
                    self._decay(key, account, now_s)
                    uses_s.append(account.use_s)
            self._largest_use_s[rank] = max(uses_s, default=0.0)
            self._largest_at_s[rank] = now_s
        return self._largest_use_s[rank]

    def estimate_sends_per_s(self, key, now_s):
        """Estimates how often this entry sends requests of a customer.

        :param key: ``AccountKey``.
        :param now_s: current time in seconds.
        :return: requests a second.
        """
        account = self._accounts.get(key)
        if account is None:
            return 0.0
        self._decay(key, account, now_s)
        return account.sends_per_s

    def _decay(self, key, account, now_s):
        elapsed_s = max(0.0, now_s - account.updated_s)
        virtual_s = self._virtual_s[key[0]]
        lead_s = min(MAX_LEAD_S, max(0.0, account.virtual_s - virtual_s))
        account.virtual_s = virtual_s + lead_s * math.exp(-elapsed_s / LEAD_DECAY_S)
        account.use_s *= math.exp(-elapsed_s / USE_DECAY_S)
        account.sends_per_s *= math.exp(-elapsed_s / RATE_AVERAGING_S)
        account.updated_s = max(account.updated_s, now_s)

    def _get_account(self, key, now_s):
        account = self._accounts.get(key)
        if account is None:
            account = _Account(self._virtual_s[key[0]], now_s)
            self._accounts[key] = account
        self._accounts.move_to_end(key)
        if len(self._accounts) > MAX_ACCOUNTS:
            self._accounts.popitem(last=False)
        self._decay(key, account, now_s)
        return account

    def record_send(self, key, work_s, now_s):
        """Charges a request that this entry sends to its customer.

        :param key: ``AccountKey``.
        :param work_s: expected engine time in seconds.
        :param now_s: current time in seconds.
        """
        account = self._get_account(key, now_s)
        # Among the waiting customers, the one that is sent first has the smallest lead.
        self._virtual_s[key[0]] = max(self._virtual_s[key[0]], account.virtual_s)
        account.sends_per_s += 1 / RATE_AVERAGING_S
        self._add_own_work(account, work_s)

    def correct_send(self, key, correction_s, now_s):
        """Corrects the charge of a request that has ended.

        :param key: ``AccountKey``.
        :param correction_s: engine time in seconds beyond the expected one.
        :param now_s: current time in seconds.
        """
        self._add_own_work(self._get_account(key, now_s), correction_s)

    def _add_own_work(self, account, work_s):
        self._add_work(account, work_s)
        account.totals_s[Scope.ENTRY] += work_s
        account.totals_s[Scope.GROUP] += work_s

    def _add_work(self, account, work_s):
        account.virtual_s += work_s
        if self.is_capacity_short:
            account.use_s = max(0.0, account.use_s + work_s)

    def apply_report(self, source, run, report, scope, now_s):
        """Charges what a peer or group has sent for a customer since its last report.

        :param source: name of the peer or group.
        :param run: id of the reporting run; each run counts from zero.
        :param report: ``CustomerWork``.
        :param scope: ``Scope`` of the total that the work is added to; ``None`` for
            none.
        :param now_s: current time in seconds.
        """
        name = (source, report.key)
        previous = self._baselines.get(name)
        self._baselines[name] = _Baseline(run, report.work_ms, now_s)
        self._baselines.move_to_end(name)
        if len(self._baselines) > MAX_ACCOUNTS:
            self._baselines.popitem(last=False)
        if previous is None or previous.run != run:
            return
        if now_s - previous.received_s > MAX_BASELINE_AGE_S:
            return
        # The difference may be negative, as corrections can lower a total.
        work_s = (report.work_ms - previous.work_ms) / 1_000
        account = self._get_account(report.key, now_s)
        self._add_work(account, work_s)
        if scope is not None:
            account.totals_s[scope] += work_s

    def list_uses(self, now_s):
        """Lists the customers that have used the most capacity while it was short.

        :param now_s: current time in seconds.
        :return: list of pairs of uses in seconds and ``AccountKey``.
        """
        uses = []
        for key, account in self._accounts.items():
            self._decay(key, account, now_s)
            least_s = REPORTED_FRACTION * self._find_largest_use_s(key[0], now_s)
            if account.use_s > max(MIN_USE_S, least_s):
                uses.append((account.use_s, key))
        return uses

    def build_report(self, key, scope):
        """Builds the report of the work of one customer.

        :param key: ``AccountKey`` of a customer that ``list_uses`` has listed.
        :param scope: ``Scope`` of the total.
        :return: ``CustomerWork``.
        """
        work_ms = round(1_000 * self._accounts[key].totals_s[scope])
        return CustomerWork(self.service, *key, work_ms)


def list_reports(shares, scope, now_s):
    """Lists the work of the customers that are furthest above their shares.

    :param shares: list of ``ServiceShares``.
    :param scope: ``Scope`` of the totals.
    :param now_s: current time in seconds.
    :return: tuple of ``CustomerWork``.
    """
    uses = [
        (use_s, key, item) for item in shares for use_s, key in item.list_uses(now_s)
    ]
    uses.sort(key=lambda use: use[0], reverse=True)
    return tuple(
        item.build_report(key, scope) for _, key, item in uses[:MAX_REPORTED_CUSTOMERS]
    )
