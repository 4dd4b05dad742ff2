"""Tests of one node and of a few nodes without random faults."""

import unittest

import fakes
from wasabiknot_kernel import effects, exceptions

Kind = exceptions.ErrorKind
Ran = exceptions.Ran


class PauseTests(unittest.TestCase):
    def test_a_paused_entry_sends_nothing_to_a_worker_that_left(self):
        world = fakes.create_world()
        dispatched = []
        world.check_dispatch = lambda entry, worker, copy: dispatched.append(worker)
        entry = world.entries["entry-0"]
        entry.is_frozen = True
        world.call("entry-0", "tag")
        world.workers["engine-0"].is_leaving = True
        world.workers["engine-1"].is_leaving = True
        world.advance(5_000)
        entry.thaw()
        world.advance(2_000)
        self.assertEqual([worker.vm.id for worker in dispatched], [])


if __name__ == "__main__":
    unittest.main()
