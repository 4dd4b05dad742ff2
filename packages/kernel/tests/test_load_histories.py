import unittest

import builders

from wasabiknot_kernel import load_histories, servers


class LoadHistoryTests(unittest.TestCase):
    def setUp(self):
        self.histories = load_histories.LoadHistories()
        registration = builders.build_registration("s1")
        self.server = servers.Server(registration, True, None)

    def sample(self, loads, start_s=0.0):
        for number, running in enumerate(loads):
            load = servers.PeerLoad(running, 0)
            self.server.peer_loads = {"e2": load}
            self.histories.sample([self.server], start_s + number * 0.1)

    def test_mean_is_that_of_the_time_of_a_request(self):
        self.sample([9, 9, 2, 4, 6, 9])
        mean = self.histories.compute_mean("s1", 0.15, 0.45)
        self.assertAlmostEqual(mean, 4.0)

    def test_idle_server_runs_the_request_itself(self):
        self.sample([0, 0, 0])
        self.assertEqual(self.histories.compute_mean("s1", 0.05, 0.25), 1.0)

    def test_time_before_the_history_is_not_known(self):
        self.sample([3] * (load_histories.MAX_SAMPLES + 20))
        self.assertIsNone(self.histories.compute_mean("s1", 1.0, 20.0))
        self.assertIsNone(self.histories.compute_mean("s2", 1.0, 2.0))
        self.assertEqual(self.histories.compute_mean("s1", 5.0, 20.0), 3.0)

    def test_servers_without_a_release_are_forgotten(self):
        self.sample([3] * 5)
        self.histories.sample([], 0.6)
        self.assertIsNone(self.histories.compute_mean("s1", 0.1, 0.5))
