import unittest

import builders
import msgspec
from hypothesis import given, strategies

from wasabiknot_kernel import customer_shares, members, share_changes

Scope = customer_shares.Scope
BUSY = (1, "busy")
CALM = (1, "calm")


class ServiceSharesTests(unittest.TestCase):
    def setUp(self):
        self.shares = customer_shares.ServiceShares("pool")
        self.shares.is_capacity_short = True

    def test_new_customer_begins_at_the_current_time(self):
        # Guards against a customer that has to be served alone until it has caught up.
        for _ in range(50):
            self.shares.record_send(BUSY, 1.0, 0.0)
        self.assertEqual(self.shares.find_lead_s(CALM, 0.0), 0.0)
        self.assertLessEqual(self.shares.find_lead_s(BUSY, 0.0), 1.0)
        self.shares.record_send(CALM, 1.0, 0.0)
        self.assertEqual(self.shares.find_lead_s(CALM, 0.0), 1.0)

    def test_ranks_have_times_of_their_own(self):
        self.shares.record_send((0, "busy"), 5.0, 0.0)
        self.assertEqual(self.shares.find_lead_s(BUSY, 0.0), 0.0)

    def test_use_of_idle_capacity_costs_nothing(self):
        self.shares.is_capacity_short = False
        for number in range(40):
            self.shares.record_send(BUSY, 1.0, number / 20)
        self.assertFalse(self.shares.is_above_share(BUSY, 2.0))

    def test_only_the_customer_with_most_use_is_above_its_share(self):
        for number in range(40):
            self.shares.record_send(BUSY, 0.5, number / 20)
            if number % 5 == 0:
                self.shares.record_send(CALM, 0.5, number / 20)
        self.assertTrue(self.shares.is_above_share(BUSY, 2.0))
        self.assertFalse(self.shares.is_above_share(CALM, 2.0))

    def test_use_and_lead_decay(self):
        self.shares.record_send(BUSY, 3.0, 0.0)
        self.assertFalse(self.shares.is_above_share(BUSY, 60.0))
        self.assertLess(self.shares.find_lead_s(BUSY, 60.0), 0.001)

    def test_early_end_is_refunded(self):
        self.shares.record_send(BUSY, 3.0, 0.0)
        self.shares.correct_send(BUSY, -3.0, 0.0)
        self.assertEqual(self.shares.find_lead_s(BUSY, 0.0), 0.0)

    def test_accounts_are_bounded(self):
        for number in range(3 * customer_shares.MAX_ACCOUNTS):
            self.shares.record_send((1, f"c{number}"), 1.0, 0.0)
        uses = self.shares.list_uses(0.0)
        self.assertEqual(len(uses), customer_shares.MAX_ACCOUNTS)
        reports = customer_shares.list_reports([self.shares], Scope.ENTRY, 0.0)
        self.assertEqual(len(reports), customer_shares.MAX_REPORTED_CUSTOMERS)


class ReportTests(unittest.TestCase):
    def setUp(self):
        self.shares = customer_shares.ServiceShares("pool")
        self.shares.is_capacity_short = True

    def report(self, work_ms, now_s, run="r1", scope=Scope.GROUP):
        report = customer_shares.CustomerWork("pool", 1, "busy", work_ms)
        self.shares.apply_report("e2", run, report, scope, now_s)

    def find_lead_s(self, now_s):
        return self.shares.find_lead_s(BUSY, now_s)

    def test_next_report_covers_lost_and_repeated_ones(self):
        for work_ms in (1_000, 1_000, 4_000, 4_000):
            self.report(work_ms, 0.0)
        self.assertEqual(self.find_lead_s(0.0), 3.0)

    def test_first_report_of_a_run_is_a_baseline(self):
        # Guards against work from long ago that counts after a restart of either side.
        self.report(50_000, 0.0)
        self.assertEqual(self.find_lead_s(0.0), 0.0)
        self.report(900, 0.1, run="r2")
        self.assertEqual(self.find_lead_s(0.1), 0.0)
        self.report(1_400, 0.1, run="r2")
        self.assertEqual(self.find_lead_s(0.1), 0.5)

    def test_work_within_the_share_does_not_count_later(self):
        # Guards against a customer that is named again after a minute within its share.
        self.report(1_000, 0.0)
        self.report(90_000, 60.0)
        self.assertEqual(self.find_lead_s(60.0), 0.0)

    def test_lead_is_bounded(self):
        self.report(0, 0.0)
        self.report(10**9, 0.5)
        self.assertLessEqual(self.find_lead_s(0.5), customer_shares.MAX_LEAD_S)

    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["send", "end", "report", "other"]),
                strategies.integers(0, 10**7),
                strategies.floats(0.0, 3.0),
            ),
            max_size=40,
        )
    )
    def test_any_order_leaves_leads_in_bounds(self, steps):
        now_s = 0.0
        for kind, work_ms, pause_s in steps:
            now_s += pause_s
            if kind == "send":
                self.shares.record_send(BUSY, work_ms / 1_000, now_s)
            elif kind == "end":
                self.shares.correct_send(BUSY, -work_ms / 1_000, now_s)
            else:
                self.report(work_ms, now_s, run=kind)
            lead_s = self.find_lead_s(now_s)
            self.assertGreaterEqual(lead_s, 0.0)
            # A lead is the difference of two times, which are rounded.
            self.assertLessEqual(lead_s, customer_shares.MAX_LEAD_S + 1e-6)


class ShareObserverTests(unittest.TestCase):
    def test_customer_is_reported_once_until_it_has_settled(self):
        # Guards against a line in each tick for a customer at the border.
        shares = customer_shares.ServiceShares("pool")
        shares.is_capacity_short = True
        observer = share_changes.ShareObserver()
        changes = []
        for step in range(300):
            now_s = step / 10
            if now_s < 5.0 and step % 10 < 8:
                shares.record_send(BUSY, 1.0, now_s)
                shares.record_send(CALM, 0.1, now_s)
            changes += observer.observe([shares], now_s)
        found = [(change.customer, change.is_above) for change in changes]
        self.assertEqual(found, [("busy", True), ("busy", False)])


class DigestTests(unittest.TestCase):
    def build_entry(self, name, is_fair=True):
        entry = builders.build_deployment(name)
        policy = msgspec.structs.replace(entry.policy, fair_queueing=is_fair)
        entry.set_policy(policy)
        entry.get_dispatcher("pool")
        return entry

    def exchange(self, sender, receiver, now_s):
        digest = sender.build_digest(now_s)
        data = msgspec.msgpack.encode(digest)
        decoded = msgspec.msgpack.decode(data, type=members.Digest)
        receiver.apply_digest(decoded, now_s)
        return decoded

    def test_work_reaches_peers(self):
        first, second = self.build_entry("e1"), self.build_entry("e2")
        builders.connect_entries([first, second], 0.0)
        for now_s in (0.0, customer_shares.REPORT_INTERVAL_S):
            (shares,) = first.list_shares()
            shares.is_capacity_short = True
            shares.record_send(BUSY, 2.0, now_s)
            digest = self.exchange(first, second, now_s)
            self.assertEqual(len(digest.customer_work), 1)
        (shares,) = second.list_shares()
        now_s = customer_shares.REPORT_INTERVAL_S
        self.assertGreater(shares.find_lead_s(BUSY, now_s), 1.9)

    def test_work_is_reported_rarely_and_of_few_customers(self):
        # Guards against digests that name all customers, many times a second.
        entry = self.build_entry("e1")
        (shares,) = entry.list_shares()
        shares.is_capacity_short = True
        for number in range(10):
            shares.record_send((1, f"c{number}"), 0.2, 0.0)
        shares.record_send(BUSY, 2.0, 0.0)
        names = []
        for step in range(9):
            digest = entry.build_digest(step / 10)
            names += [work.customer for work in digest.customer_work]
        self.assertEqual(names, ["busy"] * 3)

    def test_entry_without_fair_queueing_ignores_shares(self):
        first, second = self.build_entry("e1"), self.build_entry("e2", is_fair=False)
        builders.connect_entries([first, second], 0.0)
        (shares,) = first.list_shares()
        shares.is_capacity_short = True
        shares.record_send(BUSY, 2.0, 0.0)
        self.exchange(first, second, 0.0)
        digest = self.exchange(second, first, 0.1)
        self.assertEqual(second.list_shares(), [])
        self.assertEqual(digest.customer_work, ())
        self.assertEqual(digest.queue_heads, {})


if __name__ == "__main__":
    unittest.main()
