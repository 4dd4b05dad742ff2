import rigcases

DURATION_S = 16
ENTRIES = 3
LOAD_PER_S = 40


def play(disturbance, seed, harm="always"):
    return (disturbance, seed, DURATION_S, ENTRIES, LOAD_PER_S, harm)


class HarmfulRequestTests(rigcases.RigCase):
    module = "wasabiknot_standins.harmful"
    plays = {
        "restart": play("restart-all-twice", 1),
        "later": play("none", 2, "later"),
        "mixed": play("none", 3, "mixed"),
        "reborn": play("reborn-at-once", 4),
        "part": play("restart-all-twice", 5, "part"),
        "part-store": play("store-away", 6, "part"),
    }

    def test_request_stays_refused_after_all_entries_restart(self):
        self.check("restart")

    def test_request_that_was_answered_before_it_became_harmful_is_refused(self):
        self.check("later")

    def test_harmless_sends_do_not_absolve_the_harmful_ones_of_a_request(self):
        self.check("mixed")

    def test_requests_with_a_harmful_part_stay_refused_after_all_entries_restart(self):
        self.check("part")

    def test_requests_with_a_harmful_part_are_refused_while_the_store_is_away(self):
        self.check("part-store")

    def test_misdirected_response_does_not_hide_crashes_of_reborn_servers(self):
        self.check("reborn")
