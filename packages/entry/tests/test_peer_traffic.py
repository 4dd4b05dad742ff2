import unittest
from unittest import mock

from twisted.internet import task

from wasabiknot_entry import journal, peer_traffic

Kind = peer_traffic.Kind


class PeerTrafficTests(unittest.TestCase):
    def setUp(self):
        self.clock = task.Clock()
        self.traffic = peer_traffic.PeerTraffic(self.clock)

    def check_after_a_second(self):
        self.clock.advance(1.0)
        with mock.patch.object(journal, "write") as write:
            self.traffic.check()
        return write.call_args_list

    def test_second_over_the_bound_is_logged_by_kind(self):
        self.traffic.count(Kind.DIGEST, 20_000)
        self.traffic.count(Kind.SUMMARY, 8_000)
        (call,) = self.check_after_a_second()
        fields = {"sent_bytes": 28_000, "digest": 20_000, "summary": 8_000}
        self.assertEqual(call.kwargs, fields)
        self.assertEqual(self.check_after_a_second(), [])

    def test_second_within_the_bound_is_not_logged(self):
        self.traffic.count(Kind.FACTS, 27_000)
        self.assertEqual(self.check_after_a_second(), [])

    def test_totals_are_collected(self):
        self.traffic.count(Kind.FACTS, 7)
        self.check_after_a_second()
        self.traffic.count(Kind.FACTS, 5)
        (family,) = self.traffic.collect()
        values = {item.labels["kind"]: item.value for item in family.samples}
        self.assertEqual(values, {"digest": 0, "summary": 0, "facts": 12})
