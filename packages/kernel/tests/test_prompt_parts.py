import unittest

import builders
import msgspec

from wasabiknot_kernel import arrivals, prompt_parts


def build_arrival(*names):
    parts = tuple(arrivals.PromptPart(name, 100) for name in names)
    return msgspec.structs.replace(builders.build_ticket().arrival, parts=parts)


class PromptPartTests(unittest.TestCase):
    def test_line_of_the_log_names_all_parts_but_the_last(self):
        self.assertEqual(prompt_parts.describe(build_arrival("a", "b", "c")), "a,b")

    def test_line_of_the_log_is_empty_without_shared_parts(self):
        self.assertEqual(prompt_parts.describe(build_arrival("c")), "")
        self.assertEqual(prompt_parts.describe(build_arrival()), "")

    def test_line_of_the_log_is_bounded(self):
        names = [str(number) * 200 for number in range(500)]
        described = prompt_parts.describe(build_arrival(*names))
        self.assertLess(len(described), 300)
