import random
import unittest

import builders
from hypothesis import given, settings, strategies

from wasabiknot_kernel import outcomes, registrations, releases, servers

Outcome = outcomes.Outcome
ORDER = registrations.ReleaseOrder("pool", "v2", 16.0, 5)


def build_servers(count=3):
    built = []
    for version in ("v1", "v2"):
        for number in range(count):
            registration = builders.build_registration(
                f"{version}-{number}", version=version
            )
            built.append(servers.Server(registration, True, None))
    return built


def build_releases(seed=1):
    built = releases.Releases(0.1, random.Random(seed))
    built.apply_order(ORDER, 0.0)
    return built


def is_new(server):
    return server.registration.version == "v2"


class Rollout:
    """Plays requests on a release; the new version behaves as it is told.

    :param answer: function of the number of answers of the new version that
        returns an outcome and a pace.
    :param usual: part of the requests that fail on any version.
    """

    def __init__(self, answer, usual=0.0, seed=1):
        self.book = build_releases(seed)
        self.rng = random.Random(seed)
        self.servers = build_servers()
        self.answer = answer
        self.usual = usual
        self.tried = 0
        self.bad = 0

    def play(self, count):
        for number in range(count):
            ticket = builders.build_ticket(f"q{number}")
            found = self.book.select(ticket, self.servers, 1.0)
            server = self.rng.choice(found)
            outcome, pace = Outcome.WHOLE, self.rng.uniform(0.7, 3.0)
            if is_new(server):
                outcome, pace = self.answer(self.tried)
                self.tried += 1
                self.bad += outcome is not Outcome.WHOLE
            elif self.rng.random() < self.usual:
                outcome = Outcome.FAILED
            self.book.record_outcome(ticket, server, outcome, pace)
            self.book.block_bad_versions()


class SelectTests(unittest.TestCase):
    def test_small_share_tries_the_new_version(self):
        rollout = Rollout(lambda number: (Outcome.WHOLE, 1.0))
        rollout.play(3_000)
        self.assertLess(rollout.tried / 3_000, 0.1)
        self.assertGreater(rollout.tried / 3_000, 0.04)

    def test_request_keeps_its_side_when_sent_again(self):
        book = build_releases()
        found = build_servers()
        for number in range(100):
            ticket = builders.build_ticket(f"q{number}")
            first = {is_new(item) for item in book.select(ticket, found, 0.0)}
            second = {is_new(item) for item in book.select(ticket, found, 0.0)}
            self.assertEqual(first, second)

    def test_promoted_version_gets_everything(self):
        book = build_releases()
        record = releases.Release("pool", "v2", 5, releases.Phase.PROMOTED, 0)
        book.apply_record(record, 0.0, 0)
        ticket = builders.build_ticket()
        self.assertTrue(all(map(is_new, book.select(ticket, build_servers(), 0.0))))

    def test_version_taken_back_gets_nothing(self):
        book = build_releases()
        record = releases.Release("pool", "v2", 5, releases.Phase.ROLLED_BACK, 0)
        book.apply_record(record, 0.0, 0)
        ticket = builders.build_ticket()
        self.assertFalse(any(map(is_new, book.select(ticket, build_servers(), 0.0))))

    def test_version_without_an_order_is_kept_back_for_a_moment(self):
        book = releases.Releases(0.1, random.Random(1))
        book.record_version("pool", "v1", 0.0)
        book.record_version("pool", "v2", 5.0)
        ticket = builders.build_ticket()
        early = book.select(ticket, build_servers(), 5.5)
        late = book.select(ticket, build_servers(), 8.0)
        self.assertFalse(any(map(is_new, early)))
        self.assertTrue(any(map(is_new, late)))

    def test_record_of_an_older_order_says_nothing(self):
        book = build_releases()
        record = releases.Release("pool", "v2", 4, releases.Phase.FINISHED, 0)
        book.apply_record(record, 0.0, 0)
        self.assertIs(book.find_phase("pool"), releases.Phase.CANARY)


class JudgeTests(unittest.TestCase):
    @settings(derandomize=True, max_examples=30, deadline=None)
    @given(strategies.floats(0.3, 1.0), strategies.integers(0, 50))
    def test_failing_version_is_left_before_it_does_harm(self, share, seed):
        rng = random.Random(seed)

        def answer(number):
            failed = rng.random() < share
            return (Outcome.FAILED if failed else Outcome.WHOLE), 1.0

        rollout = Rollout(answer, seed=seed)
        rollout.play(2_000)
        self.assertTrue(rollout.book.is_blocked("pool"))
        self.assertLessEqual(rollout.bad, 30)

    def test_late_fault_is_found_too(self):
        def answer(number):
            return (Outcome.FAILED if number > 40 else Outcome.WHOLE), 1.0

        rollout = Rollout(answer)
        rollout.play(3_000)
        self.assertTrue(rollout.book.is_blocked("pool"))
        self.assertLessEqual(rollout.bad, 40)

    def test_slow_version_is_found(self):
        rollout = Rollout(lambda number: (Outcome.WHOLE, 10.0))
        rollout.play(1_500)
        self.assertTrue(rollout.book.is_blocked("pool"))

    @settings(derandomize=True, max_examples=30, deadline=None)
    @given(strategies.floats(0.25, 0.75), strategies.integers(0, 200))
    def test_version_of_which_a_part_is_slow_is_found(self, share, seed):
        # Its mean pace is within that of the slowest backend server beside it.
        rng = random.Random(seed)

        def answer(number):
            factor = 8.0 if rng.random() < share else 1.0
            return Outcome.WHOLE, rng.uniform(0.4, 0.7) * factor

        rollout = Rollout(answer, seed=seed)
        rollout.play(1_500)
        self.assertTrue(rollout.book.is_blocked("pool"))

    def test_version_that_is_slow_on_fast_servers_is_found(self):
        # Paces of the users' day lost-writes-release, seed 303357945499: four of
        # six backend servers are three times as fast as the other two.
        book = build_releases()
        found = build_servers(6)
        rng = random.Random(1)
        usual = {"v1": (0.9, 0.9, 0.9, 0.9, 2.5, 2.9), "v2": (2, 2, 2, 2.4, 3.8, 7)}
        for number in range(120):
            server = found[number % 12]
            paces = usual[server.registration.version]
            pace = paces[number % 6] * rng.uniform(0.7, 1.4)
            ticket = builders.build_ticket(f"q{number}")
            book.record_outcome(ticket, server, Outcome.WHOLE, pace)
        self.assertTrue(book.analyze("pool").is_bad)

    def test_version_on_servers_of_other_speeds_is_not_condemned(self):
        book = build_releases()
        found = build_servers(3)
        usual = {"v1": (0.9, 0.9, 2.6), "v2": (0.9, 2.6, 2.6)}
        for number in range(120):
            server = found[number % 6]
            pace = usual[server.registration.version][number % 3]
            ticket = builders.build_ticket(f"q{number}")
            book.record_outcome(ticket, server, Outcome.WHOLE, pace)
        self.assertFalse(book.analyze("pool").is_bad)

    def test_version_whose_answers_never_end_is_found(self):
        # Its slow answers are cut at their route's time, or their callers leave.
        def answer(number):
            if number % 2:
                return releases.classify_unfinished(3, 8.0, number % 4 == 1), None
            return releases.classify_unfinished(0, 2.0, False), None

        rollout = Rollout(answer)
        rollout.play(1_500)
        self.assertTrue(rollout.book.is_blocked("pool"))

    def test_caller_that_leaves_soon_says_nothing(self):
        rollout = Rollout(lambda _: (releases.classify_unfinished(0, 0.4, False), None))
        rollout.play(1_500)
        self.assertFalse(rollout.book.is_blocked("pool"))

    @settings(derandomize=True, max_examples=30, deadline=None)
    @given(strategies.integers(0, 200))
    def test_good_version_is_not_condemned(self, seed):
        rng = random.Random(seed)

        def answer(number):
            failed = rng.random() < 0.05
            pace = rng.uniform(0.7, 3.0)
            return (Outcome.FAILED if failed else Outcome.WHOLE), pace

        rollout = Rollout(answer, usual=0.05, seed=seed)
        rollout.play(1_500)
        self.assertFalse(rollout.book.is_blocked("pool"))

    def test_grey_backend_server_does_not_condemn_its_version(self):
        book = build_releases()
        found = [item for item in build_servers() if is_new(item)]
        for number in range(60):
            server = found[number % 3]
            outcome = Outcome.FAILED if server is found[0] else Outcome.WHOLE
            book.record_outcome(
                builders.build_ticket(f"q{number}"), server, outcome, 1.0
            )
        self.assertFalse(book.analyze("pool").is_bad)

    def test_rejected_requests_are_no_evidence(self):
        book = build_releases()
        for number in range(60):
            ticket = builders.build_ticket(f"q{number}")
            book.record_outcome(ticket, build_servers()[-1], Outcome.REJECTED, None)
        self.assertFalse(book.analyze("pool").is_bad)

    def test_evidence_of_peers_counts(self):
        books = [build_releases(seed) for seed in range(releases.MIN_FAILURES)]
        new = [item for item in build_servers() if is_new(item)]
        for number, book in enumerate(books):
            ticket = builders.build_ticket(f"q{number}")
            book.record_outcome(ticket, new[number % 3], Outcome.FAILED, None)
        for number, book in enumerate(books[1:]):
            books[0].apply_evidence(f"e{number}", book.list_evidence())
        self.assertTrue(books[0].analyze("pool").is_bad)


class FindNextTests(unittest.TestCase):
    def walk(self, book, now_s, old_running=0):
        due = book.find_due_record("pool", now_s, round(now_s * 1_000), old_running)
        if due is not None:
            book.apply_record(due, now_s, round(now_s * 1_000))
        return due.phase if due else None

    def note_good(self, book):
        server = build_servers()[-1]
        for number in range(releases.MIN_GOOD):
            ticket = builders.build_ticket(f"q{number}")
            book.record_outcome(ticket, server, Outcome.WHOLE, 1.0)

    def test_good_version_is_finished_in_time(self):
        book = build_releases()
        self.assertIs(self.walk(book, 0.1), releases.Phase.CANARY)
        self.note_good(book)
        self.assertIsNone(self.walk(book, 5.0))
        self.assertIs(self.walk(book, 10.0), releases.Phase.PROMOTED)
        self.assertIsNone(self.walk(book, 12.0, old_running=3))
        self.assertIs(self.walk(book, 12.5, old_running=0), releases.Phase.FINISHED)
        self.assertIsNone(self.walk(book, 13.0))

    def test_busy_old_servers_do_not_make_it_late(self):
        book = build_releases()
        self.walk(book, 0.1)
        self.note_good(book)
        self.walk(book, 10.0)
        self.assertIs(self.walk(book, 15.0, old_running=9), releases.Phase.FINISHED)

    def test_version_that_nobody_tried_is_not_promoted(self):
        book = build_releases()
        self.walk(book, 0.1)
        self.assertIsNone(self.walk(book, 11.0))

    def test_restarted_entry_goes_on_where_the_release_was(self):
        book = build_releases()
        record = releases.Release("pool", "v2", 5, releases.Phase.PROMOTED, 1_000)
        book.apply_record(record, 0.5, 14_000)
        self.assertIs(self.walk(book, 1.5), releases.Phase.FINISHED)
