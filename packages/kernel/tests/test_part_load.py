import unittest

import partplays

Shape = partplays.Shape
# Sends of requests with the part that may follow long after its fifth crash.
MAX_LATE_SENDS = 3
# Sound requests are to be served at least this share as often as before.
MIN_SOUND_SHARE = 0.95


class PartLoadTests(unittest.TestCase):
    def check(self, world):
        world.play()
        self.assertGreaterEqual(len(world.harmful_runs), 3)
        # Of two parts, each has its own bound.
        allowed = MAX_LATE_SENDS * (1 + (world.shape is Shape.IN_TURN))
        self.assertLessEqual(len(world.list_late()), allowed)
        self.assertGreaterEqual(world.compute_sound_share(), MIN_SOUND_SHARE)

    def test_requests_that_share_only_a_harmful_prompt_part_are_refused(self):
        self.check(partplays.PartWorld(1))
