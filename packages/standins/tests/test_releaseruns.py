import rigcases


def play(quality, disturbance, seed):
    return (quality, disturbance, seed)


class ReleaseTests(rigcases.RigCase):
    module = "wasabiknot_standins.releaseruns"
    plays = {
        "good": play("good", "none", 1),
        "good-broken": play("good", "broken-servers", 2),
        "slow": play("slow", "none", 3),
        "failing-restored": play("failing", "restored-store", 4),
        "late-away": play("late", "store-away", 5),
        "hanging-killed": play("hanging", "herd-kill", 6),
    }

    def test_good_version_is_completed(self):
        self.check("good")

    def test_good_version_is_completed_beside_servers_that_fail(self):
        self.check("good-broken")

    def test_version_that_is_slow_at_equal_load_is_reverted(self):
        self.check("slow")

    def test_failing_version_is_reverted_though_the_store_is_restored(self):
        self.check("failing-restored")

    def test_version_that_fails_later_is_reverted_though_the_store_is_away(self):
        self.check("late-away")

    def test_hanging_version_is_reverted_though_all_entries_are_killed(self):
        self.check("hanging-killed")
