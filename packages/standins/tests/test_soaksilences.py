import unittest
from unittest import mock

from twisted.internet import task

from wasabiknot_standins import keyedlogs, platformworkers, soaksilences


class SilencesTests(unittest.TestCase):
    def setUp(self):
        self.clock = task.Clock()
        for module in (platformworkers, soaksilences):
            patch = mock.patch.object(module, "reactor", self.clock)
            patch.start()
            self.addCleanup(patch.stop)
        self.recorder = platformworkers.RunRecorder()
        self.workers = [self.create_worker(number) for number in range(4)]

    def create_worker(self, number):
        store = keyedlogs.Store()
        service = "desk" if number < 2 else "pool"
        worker = platformworkers.Worker(store, self.recorder, service, number >= 2)
        worker.server_id = f"i-{number}"
        return worker

    def list_groups(self, who, seed=1):
        silences = soaksilences.Silences(seed, lambda: self.workers)
        silences.schedule(who, 20.0)
        self.clock.pump([0.1] * 220)
        groups = {}
        for item in self.recorder.silences:
            self.assertTrue(0.8 <= item.end_s - item.start_s <= 1.6)
            groups.setdefault(item.start_s, set()).add(item.server_id)
        return list(groups.values())

    def test_one_server_after_another(self):
        groups = self.list_groups(soaksilences.Who.ONE)
        self.assertGreater(len(groups), 3)
        self.assertEqual({len(group) for group in groups}, {1})

    def test_all_servers_of_a_service_at_the_same_time(self):
        groups = self.list_groups(soaksilences.Who.SERVICE)
        self.assertGreater(len(groups), 3)
        for group in groups:
            self.assertIn(group, ({"i-0", "i-1"}, {"i-2", "i-3"}))

    def test_no_server(self):
        self.assertEqual(self.list_groups(soaksilences.Who.NONE), [])
