import unittest

import builders

from wasabiknot_kernel import assignments, request_admission


class CallerRetriesTests(unittest.TestCase):
    def setUp(self):
        self.caller_retries = request_admission.CallerRetries()

    def build(self, name, now_s=0.0, customer="graz"):
        ticket = builders.build_ticket(name, now_s)
        ticket.customer = customer
        return ticket

    def test_callers_of_a_customer_return_one_after_the_other(self):
        # Guards against callers that all return when the first slot is free.
        times_s = [
            self.caller_retries.schedule(self.build(f"q{number}"), 0.5, 0.2, 0.0)
            for number in range(4)
        ]
        for time_s, expected_s in zip(times_s, (0.5, 0.7, 0.9, 1.1), strict=True):
            self.assertAlmostEqual(time_s, expected_s)
        other = self.build("q9", customer="linz")
        self.assertEqual(self.caller_retries.schedule(other, 0.5, 0.2, 0.0), 0.5)

    def test_caller_that_returns_as_told_keeps_its_place(self):
        self.caller_retries.schedule(self.build("q1", 10.0), 1.0, 0.2, 10.0)
        early = self.build("q1", 10.4)
        self.assertAlmostEqual(self.caller_retries.find_remaining_s(early), 0.6)
        self.assertEqual(self.caller_retries.find_since_s(early), 10.4)
        as_told = self.build("q1", 11.05)
        self.assertEqual(self.caller_retries.find_remaining_s(as_told), 0.0)
        self.assertEqual(self.caller_retries.find_since_s(as_told), 10.0)
        self.assertEqual(self.caller_retries.find_since_s(self.build("q1", 60.0)), 60.0)

    def test_times_and_memory_are_bounded(self):
        for number in range(3 * request_admission.MAX_CALLER_RETRIES):
            time_s = self.caller_retries.schedule(
                self.build(f"q{number}"), 0.0, 0.1, 0.0
            )
            self.assertGreaterEqual(time_s, request_admission.MIN_RETRY_TIME_S)
            self.assertLessEqual(time_s, request_admission.MAX_RETRY_TIME_S)
        self.assertEqual(self.caller_retries.find_remaining_s(self.build("q0")), 0.0)


class AdmissionTests(unittest.TestCase):
    """A customer whose requests fill the queue of one entry."""

    def setUp(self):
        self.dispatcher = builders.build_dispatcher(1, 2)
        self.dispatcher.set_fair_queueing(True)
        self.decisions = []
        for number in range(40):
            self.submit(f"q{number}", "busy", number / 100)

    def submit(self, name, customer, now_s):
        ticket = builders.build_ticket(name, now_s)
        ticket.customer = customer
        decisions = self.dispatcher.submit(ticket, now_s)
        self.decisions += decisions
        return decisions

    def list_refusals(self):
        return [
            item for item in self.decisions if isinstance(item, assignments.Refusal)
        ]

    def test_request_that_would_be_too_late_is_refused_at_once(self):
        self.assertGreater(len(self.list_refusals()), 10)

    def test_other_customer_is_not_refused_and_goes_first(self):
        # Guards against a refusal because of a queue that another customer has filled.
        self.assertEqual(self.submit("calm", "calm", 0.41), [])
        first = self.dispatcher.order.sort(self.dispatcher.list_waiting(), 0.41)[0]
        self.assertEqual(first.customer, "calm")

    def test_caller_that_returns_at_once_is_told_the_rest_of_its_time(self):
        self.use_slots("busy")
        refused = self.list_refusals()[0]
        name = refused.ticket.request_id
        (again,) = self.submit(name, "busy", 0.42)
        self.assertIsInstance(again, assignments.Refusal)
        self.assertIn("too early", again.reason)
        self.assertLess(again.retry_after_s, refused.retry_after_s)

    def test_request_that_looks_like_a_refused_one_may_be_sent(self):
        # Guards against refusals of requests without a body, which all look alike.
        self.use_slots("other")
        name = self.list_refusals()[0].ticket.request_id
        decisions = self.submit(name, "busy", 0.42)
        reasons = [getattr(item, "reason", "") for item in decisions]
        self.assertNotIn("too early", " ".join(reasons))

    def use_slots(self, customer):
        shares = self.dispatcher.order.shares
        shares.is_capacity_short = True
        shares.record_send((1, customer), 5.0, 0.41)

    def test_without_shares_the_order_is_that_of_arrival(self):
        self.dispatcher.set_fair_queueing(False)
        self.dispatcher.submit(builders.build_ticket("calm", 0.41), 0.41)
        first = self.dispatcher.order.sort(self.dispatcher.list_waiting(), 0.41)[0]
        self.assertEqual(first.customer, "busy")


if __name__ == "__main__":
    unittest.main()
