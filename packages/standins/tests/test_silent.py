import rigcases

ENTRIES = 3


def play(situation, seed, duration_s):
    return (situation, seed, duration_s, ENTRIES)


class SilentServerTests(rigcases.RigCase):
    module = "wasabiknot_standins.silent"
    plays = {
        "all": play("all", 2, 10),
        "all-moves": play("all-moves", 1, 12),
        "versions": play("versions", 1, 8),
    }

    def test_stream_of_a_silent_server_is_not_cut(self):
        self.check("all")

    def test_stream_to_a_service_that_is_new_is_not_cut_in_a_silence(self):
        self.check("all-moves")

    def test_versions_in_quick_succession_interrupt_no_response(self):
        self.check("versions")
