import unittest

import builders
import msgspec
from hypothesis import given, strategies

from wasabiknot_kernel import (
    arrivals,
    attribution,
    crash_monitors,
    crash_records,
    crashes,
    part_suspects,
    prompt_parts,
    suspects,
)

Evidence = crash_records.Evidence
SERVICE = "pool"
HARMFUL = "bad0"
SHARED = "5a5a"


def build_key(name):
    return prompt_parts.build_key(SERVICE, name)


def build_crash(name, server, request, responses=0):
    key = build_key(name)
    return crash_records.Crash(key, server, request=request, responses=responses)


def build_stored_crash(name, server, request):
    responses = part_suspects.MIN_OTHER_RESPONSES
    return build_crash(name, server, request, responses)


class RegisterCase(unittest.TestCase):
    def setUp(self):
        self.register = crashes.CrashRegister()
        self.crash_count = 0

    def answer(self, *names, at_s=0.0, count=1):
        keys = tuple(map(build_key, names))
        for _ in range(count):
            self.register.record_answered_parts(SERVICE, keys, at_s)

    def crash(self, *names, at_s=0.0, evidence=Evidence.REFUSED, server=None):
        self.crash_count += 1
        server = server or f"w{self.crash_count}/1"
        for name in names:
            crash = build_crash(name, server, f"q{self.crash_count}")
            self.register.record(crash, at_s, evidence)

    def list_refused(self, now_s):
        return {
            prompt_parts.split_key(key)[0]
            for key in self.register.list_refused_parts(now_s)
        }

    def build_ticket(self, *names):
        return builders.build_ticket("unique", parts=(*names, "last"))


class PartJudgeTests(RegisterCase):
    def test_part_is_refused_after_the_third_crash_and_not_its_companion(self):
        self.answer(SHARED)
        for number in range(suspects.MAX_CRASHES):
            self.assertEqual(self.list_refused(number), set())
            self.crash(SHARED, HARMFUL, at_s=number)
            self.answer(SHARED, at_s=number)
        self.assertEqual(self.list_refused(3.0), {HARMFUL})

    def test_request_with_the_part_is_refused_and_others_are_not(self):
        self.answer(SHARED)
        for number in range(3):
            self.crash(SHARED, HARMFUL, at_s=number)
            self.answer(SHARED, at_s=number)
        harmful = self.build_ticket(SHARED, HARMFUL, "c0de")
        self.assertEqual(self.register.find_refused(harmful, 3.0), build_key(HARMFUL))
        self.assertIsNone(self.register.find_refused(self.build_ticket(SHARED), 3.0))

    def test_last_part_says_nothing(self):
        self.answer(SHARED)
        for number in range(3):
            self.crash(HARMFUL, at_s=number)
            self.answer(SHARED, at_s=number)
        ticket = builders.build_ticket(parts=(SHARED, HARMFUL))
        self.assertIsNone(self.register.find_refused(ticket, 3.0))

    def test_part_counts_for_its_service_alone(self):
        self.answer(SHARED)
        for number in range(3):
            self.crash(HARMFUL, at_s=number)
            self.answer(SHARED, at_s=number)
        ticket = self.build_ticket(HARMFUL)
        ticket.service = "other"
        self.assertIsNone(self.register.find_refused(ticket, 3.0))

    def test_part_in_common_use_outlives_five_crashes_at_once(self):
        self.answer(SHARED, count=30)
        for _ in range(5):
            self.crash(SHARED, HARMFUL)
        self.assertEqual(self.list_refused(0.0), {HARMFUL})
        self.answer(SHARED, at_s=0.5)
        self.assertEqual(self.list_refused(9.0), {HARMFUL})

    def test_servers_that_end_together_have_no_part_in_common_use_refused(self):
        self.answer(SHARED, count=30)
        for _ in range(8):
            self.crash(SHARED)
        self.assertEqual(self.list_refused(60.0), set())

    def test_part_that_was_sound_at_first_is_refused(self):
        self.answer(SHARED, HARMFUL, count=30)
        for number in range(3):
            self.crash(SHARED, HARMFUL, at_s=1.0 + number)
            self.answer(SHARED, at_s=1.0 + number)
        self.assertEqual(self.list_refused(3.5), set())
        self.assertEqual(self.list_refused(5.5), {HARMFUL})

    def test_part_that_was_sound_at_first_is_refused_in_an_outage(self):
        self.answer(SHARED, HARMFUL, count=30)
        for number in range(5):
            self.crash(HARMFUL, at_s=1.0 + number)
        self.assertEqual(self.list_refused(6.0), {HARMFUL})

    def test_part_of_a_harmful_request_is_served_to_other_requests(self):
        self.answer(SHARED, count=30)
        for number in range(8):
            server = f"w{number}/1"
            part_crash = build_crash(HARMFUL, server, "same")
            for crash in (crash_records.Crash("same", server), part_crash):
                self.register.record(crash, number, Evidence.REFUSED)
            self.answer(SHARED, at_s=number)
        self.assertTrue(self.register.is_refused("same", 9.0))
        self.assertEqual(self.list_refused(9.0), set())

    def test_harmful_part_explains_the_crashes_of_a_request(self):
        self.answer(SHARED, count=30)
        for number in range(4):
            self.crash(HARMFUL, at_s=number)
        for number in range(3):
            crash = crash_records.Crash("sound", f"w{number + 1}/1")
            self.register.record(crash, 3.0, Evidence.REFUSED)
        self.assertFalse(self.register.is_refused("sound", 3.0))

    def test_part_stays_refused_as_a_request_is_found_at_the_same_crashes(self):
        self.answer(SHARED, count=30)
        for number in range(3):
            self.crash(HARMFUL, at_s=number)
        self.assertEqual(self.list_refused(2.5), {HARMFUL})
        for number in range(3):
            crash = crash_records.Crash("sound", f"w{number + 1}/1")
            self.register.record(crash, 3.0, Evidence.REFUSED)
        self.assertEqual(self.list_refused(3.0), {HARMFUL})

    def build_tie(self, first_request="q0"):
        # What an entry reads after a restart, without the responses that others got.
        register = crashes.CrashRegister()
        for number, request in enumerate((first_request, "q1", "q2")):
            server = f"w{number}/1"
            register.add_stored(crash_records.Crash("sound", server), 0.0)
            register.add_stored(build_stored_crash(HARMFUL, server, request), 0.0)
        return register

    def test_part_is_refused_after_a_restart_beside_a_request_with_its_crashes(self):
        self.register = self.build_tie()
        self.assertEqual(self.list_refused(0.0), {HARMFUL})

    def test_request_with_the_crashes_of_a_part_is_served_after_a_restart(self):
        self.register = self.build_tie()
        self.assertFalse(self.register.is_refused("sound", 0.0))

    def test_request_under_which_a_refused_part_ended_a_server_is_tried(self):
        self.register = self.build_tie(first_request="sound")
        self.assertTrue(self.register.is_refused("sound", 0.0))
        self.assertFalse(self.register.try_start_trial("sound", 2.9))
        self.assertTrue(self.register.try_start_trial("sound", 3.0))

    def test_crashes_of_a_request_that_a_part_explains_leave_the_store(self):
        self.answer(SHARED, count=30)
        for number in range(3):
            crash = crash_records.Crash("sound", f"w{number + 1}/1")
            self.register.record(crash, number, Evidence.REFUSED)
            self.register.mark_stored([crash])
            self.register.record_response("sound")
            self.crash(HARMFUL, at_s=number)
        self.assertEqual(self.list_refused(2.5), {HARMFUL})
        self.assertEqual(len(self.register.list_deletions()), 3)
        due = {item.fingerprint for item in self.register.list_due(9.0, True)}
        self.assertEqual(due, {build_key(HARMFUL)})

    def test_stored_crashes_are_believed_by_an_entry_that_has_just_started(self):
        for number in range(3):
            crash = build_stored_crash(HARMFUL, f"w{number}/1", f"q{number}")
            self.register.add_stored(crash, 0.0)
        self.assertEqual(self.list_refused(0.0), {HARMFUL})

    def test_stored_crashes_of_a_part_with_nothing_beside_them_await_a_response(self):
        for number in range(3):
            crash = build_crash(SHARED, f"w{number}/1", f"q{number}")
            self.register.add_stored(crash, 0.0)
        self.assertEqual(self.list_refused(0.0), set())
        self.answer(SHARED, at_s=0.1)
        self.answer("0dd0", at_s=0.2, count=30)
        self.assertEqual(self.list_refused(9.0), set())

    def test_stored_crashes_of_a_refused_part_are_stated_anew_with_more_responses(self):
        for number in range(3):
            self.crash(HARMFUL, at_s=number)
        self.answer("0dd0")
        due = self.register.list_due(9.0, True)
        self.register.mark_stored(due)
        self.assertLess(due[0].responses, part_suspects.MIN_OTHER_RESPONSES)
        self.answer("0dd0", count=20)
        self.assertEqual(self.list_refused(3.0), {HARMFUL})
        (due,) = self.register.list_due(9.0, True)
        self.assertGreaterEqual(due.responses, part_suspects.MIN_OTHER_RESPONSES)
        self.register.mark_stored([due])
        self.assertEqual(self.register.list_due(9.0, True), [])

    def test_request_with_stored_responses_is_tried_after_a_restart(self):
        for number in range(3):
            crash = crash_records.Crash("sound", f"w{number}/1", responses=1)
            self.register.add_stored(crash, 0.0)
        self.assertTrue(self.register.is_refused("sound", 0.0))
        self.assertTrue(self.register.try_start_trial("sound", 3.0))

    def test_never_answered_part_explains_the_crashes_of_an_answered_request(self):
        for number in range(3):
            self.register.record_response("sound")
            crash = crash_records.Crash("sound", f"w{number + 1}/1")
            self.register.record(crash, number, Evidence.REFUSED)
            self.register.mark_stored([crash])
            self.register.record_response("sound")
            self.crash("bad1", HARMFUL, at_s=number)
        self.assertFalse(self.register.is_refused("sound", 2.5))
        self.assertEqual(len(self.register.list_deletions()), 3)

    def test_part_is_refused_in_an_outage_without_a_rival(self):
        for number in range(5):
            self.assertEqual(self.list_refused(number), set())
            self.crash(HARMFUL, at_s=number)
        self.assertEqual(self.list_refused(5.0), {HARMFUL})

    def test_response_at_a_peer_ends_the_blame(self):
        for number in range(3):
            crash = build_crash(SHARED, f"w{number}/1", f"q{number}")
            self.register.add_stored(crash, 0.0)
        self.register.apply_responses("e2", {build_key(SHARED): 1}, 0.1)
        self.assertEqual(self.list_refused(0.1), set())

    def test_response_deletes_the_stored_crashes_of_a_part(self):
        self.register.add_stored(crash_records.Crash(build_key(SHARED), "w1/1"), 0.0)
        self.answer(SHARED, at_s=1.0)
        self.assertEqual(self.register.list_deletions(), [f"{build_key(SHARED)}/w1/1"])

    def test_crashes_of_parts_in_common_use_are_not_stored(self):
        self.answer(SHARED, count=30)
        for number in range(3):
            self.crash(SHARED, HARMFUL, at_s=number)
        stored = {crash.fingerprint for crash in self.register.list_due(9.0, True)}
        self.assertEqual(stored, {build_key(HARMFUL)})

    def test_crashes_of_a_harmful_part_are_reported_first(self):
        names = [f"{number:04x}" for number in range(40)]
        self.answer(*names[:30])
        self.answer(*names[30:])
        for number in range(4):
            self.crash(*names, at_s=number * 0.01)
        self.crash(HARMFUL, at_s=0.1)
        reported = self.register.list_reported(0.1)
        self.assertEqual(reported[0].fingerprint, build_key(HARMFUL))

    def test_part_that_ends_a_server_every_few_minutes_is_refused(self):
        self.answer(SHARED, count=30)
        for number in range(3):
            now_s = 200.0 * number
            self.register.drop_expired(now_s, True)
            self.crash(HARMFUL, at_s=now_s)
        self.assertEqual(self.list_refused(400.0), {HARMFUL})

    def test_crashes_of_an_answered_part_are_forgotten_soon(self):
        self.crash(SHARED)
        self.answer(SHARED, at_s=1.0)
        self.register.drop_expired(crashes.ANSWERED_RETENTION_S, True)
        self.assertEqual(self.register.count(build_key(SHARED)), 0)

    def test_refused_part_whose_records_are_deleted_explains_nothing(self):
        self.register = self.build_tie()
        for _ in range(2):
            self.crash("0dd0")
        self.assertEqual(self.list_refused(0.0), {HARMFUL})
        for number in range(3):
            self.register.remove_stored(f"{build_key(HARMFUL)}/w{number}/1")
        self.assertTrue(self.register.is_refused("sound", 0.0))

    def test_change_of_verdict_is_reported_once(self):
        self.answer(SHARED, count=30)
        for _ in range(3):
            self.crash(HARMFUL)
        for _ in range(2):
            self.list_refused(1.0)
        verdict = crash_records.PartVerdict(build_key(HARMFUL), True, 3, 0)
        self.assertEqual(self.register.pop_verdicts(), [verdict])
        self.answer(HARMFUL, at_s=2.0)
        self.list_refused(2.0)
        verdict = crash_records.PartVerdict(build_key(HARMFUL), False, 3, 1)
        self.assertEqual(self.register.pop_verdicts(), [verdict])


class TrialTests(RegisterCase):
    def blame(self, crash_count):
        self.answer(SHARED, count=30)
        for _ in range(crash_count):
            self.crash(HARMFUL)
        self.assertEqual(self.list_refused(0.0), {HARMFUL})

    def count_trials(self, until_s):
        started = 0
        for now_s in range(until_s):
            if self.register.try_start_trial(build_key(HARMFUL), now_s):
                started += 1
                self.crash(HARMFUL, at_s=now_s, evidence=Evidence.TRIAL)
        return started

    def test_trials_after_the_fifth_crash_stay_within_bound(self):
        self.blame(3)
        self.assertLessEqual(self.count_trials(3_000), 4)
        self.assertLessEqual(self.crash_count, 5 + 3)

    def test_part_of_many_crashes_at_once_gets_no_trial(self):
        self.blame(9)
        self.assertEqual(self.count_trials(3_000), 0)

    def test_part_is_served_again_after_a_successful_trial(self):
        self.blame(3)
        self.assertFalse(self.register.try_start_trial(build_key(HARMFUL), 20.0))
        self.assertTrue(self.register.try_start_trial(build_key(HARMFUL), 31.0))
        self.answer(HARMFUL, at_s=31.2)
        self.assertEqual(self.list_refused(31.2), set())

    def test_only_requests_with_a_single_refused_part_are_tried(self):
        entry = builders.build_deployment()
        for name in (HARMFUL, "bad1"):
            for number in range(3):
                crash = build_stored_crash(name, f"{name}{number}/1", f"q{number}")
                entry.crashes.add_stored(crash, 0.0)
        both = self.build_ticket(HARMFUL, "bad1")
        self.assertFalse(entry.try_start_trial(both, 60.0))
        single = self.build_ticket("bad1")
        self.assertTrue(entry.try_start_trial(single, 60.0))
        self.assertEqual(single.trial_key, build_key("bad1"))

    def test_request_with_another_suspected_part_is_not_tried(self):
        entry = builders.build_deployment()
        for number in range(3):
            crash = build_stored_crash(HARMFUL, f"w{number}/1", f"q{number}")
            entry.crashes.add_stored(crash, 0.0)
        other = build_crash("bad1", "w7/1", "q7")
        entry.crashes.record(other, 0.0, Evidence.REFUSED)
        suspected = self.build_ticket(HARMFUL, "bad1")
        self.assertFalse(entry.try_start_trial(suspected, 60.0))
        self.assertTrue(entry.try_start_trial(self.build_ticket(HARMFUL), 60.0))

    def test_refused_part_is_tried_by_a_request_that_was_in_flight_at_a_crash(self):
        entry = builders.build_deployment()
        for number in range(3):
            crash = build_stored_crash(SHARED, f"w{number}/1", f"q{number}")
            entry.crashes.add_stored(crash, 0.0)
        ticket = self.build_ticket(SHARED)
        in_flight = crash_records.Crash(ticket.fingerprint, "w7/1")
        entry.crashes.record(in_flight, 0.0, Evidence.REFUSED)
        self.assertTrue(entry.try_start_trial(ticket, 60.0))


class CrashMonitorTests(unittest.TestCase):
    def setUp(self):
        self.entry = builders.build_deployment()
        self.entry.apply_registration(builders.build_registration(), 0.0)
        self.server = self.entry.find_server("w1")
        self.monitor = self.entry.crash_monitor

    def count(self, name):
        return self.entry.crashes.count(build_key(name))

    def count_answers(self, name):
        suspect = self.entry.crashes._parts.get(build_key(name))
        return suspect.response_count

    def test_end_of_a_server_counts_for_all_parts_but_the_last(self):
        ticket = builders.build_ticket(parts=(SHARED, HARMFUL, "1a57"))
        self.monitor.record_loss(ticket, self.server, 0.0)
        self.monitor.record_failed_connection(self.server, True, 0.1)
        counts = [self.count(name) for name in (SHARED, HARMFUL, "1a57")]
        self.assertEqual(counts, [1, 1, 0])

    def test_response_right_before_the_end_of_its_server_speaks_for_no_part(self):
        ticket = builders.build_ticket(parts=(HARMFUL, "1a57"))
        other = builders.build_ticket("q2", parts=(HARMFUL, "1a58"))
        self.monitor.record_loss(other, self.server, 0.0)
        self.monitor.record_response(ticket, self.server, True, 0.0)
        self.monitor.record_failed_connection(self.server, True, 0.05)
        self.entry.tick(5.0)
        self.assertEqual(self.count_answers(HARMFUL), 0)

    def test_response_of_a_server_that_goes_on_speaks_for_its_parts(self):
        ticket = builders.build_ticket(parts=(HARMFUL, "1a57"))
        other = builders.build_ticket("q2", parts=(HARMFUL, "1a58"))
        self.monitor.record_response(ticket, self.server, True, 0.0)
        margin_s = attribution.LIFE_MARGIN_S + crash_monitors.RESPONSE_PROBATION_S
        self.entry.tick(margin_s)
        self.monitor.record_loss(other, self.server, margin_s)
        self.monitor.record_failed_connection(self.server, True, margin_s)
        self.assertEqual(self.count_answers(HARMFUL), 1)


class BoundTests(RegisterCase):
    def test_parts_without_end_are_forgotten_but_not_the_harmful_one(self):
        self.answer(SHARED, count=30)
        self.crash(HARMFUL)
        for number in range(2 * part_suspects.MAX_PARTS):
            if number in (100, 200):
                self.crash(HARMFUL)
            self.crash(f"{number:08x}")
        self.assertLessEqual(len(self.register._parts), part_suspects.MAX_PARTS)
        self.assertEqual(self.list_refused(0.0), {HARMFUL})

    def test_answered_parts_without_end_are_bounded(self):
        for number in range(300):
            names = [f"{number:x}{part:04x}" for part in range(100)]
            self.answer(*names)
        known = self.register._judge._answered
        self.assertLessEqual(len(known), part_suspects.MAX_ANSWERED)

    def test_parts_of_one_request_that_count_are_bounded(self):
        self.answer(*[f"{number:04x}" for number in range(30)])
        names = [f"{number:04x}" for number in range(600)]
        chosen = self.register.select_parts(self.build_ticket(*names))
        self.assertEqual(len(chosen), crashes.MAX_PARTS_PER_LOSS)
        self.assertNotIn(build_key("0000"), chosen)

    def test_never_answered_part_is_chosen_among_hundreds_in_common_use(self):
        names = [f"{number:04x}" for number in range(200)]
        for start in range(0, 200, 25):
            self.answer(*names[start : start + 25])
        ticket = self.build_ticket(*names[:100], HARMFUL, *names[100:])
        self.assertIn(build_key(HARMFUL), self.register.select_parts(ticket))


# Each step: whether a server ends, and the parts of the requests in flight there that
# are sound; each answered request has one of them.
STEPS = strategies.lists(
    strategies.tuples(
        strategies.booleans(),
        strategies.lists(strategies.sampled_from(["a", "b", "c", "d"]), max_size=4),
    ),
    min_size=1,
    max_size=60,
)


class HistoryTests(unittest.TestCase):
    @given(STEPS, strategies.floats(0.05, 3.0))
    def test_harmful_part_is_always_refused_and_sound_ones_never_for_long(
        self, steps, interval_s
    ):
        case = RegisterCase()
        case.setUp()
        case.answer("a", "b", "c", "d")
        now_s = 0.0
        blamed_s = {}
        for is_crash, names in steps:
            now_s += interval_s
            if is_crash and HARMFUL not in case.list_refused(now_s):
                case.crash(HARMFUL, *names, at_s=now_s)
            refused = case.list_refused(now_s)
            for name in "abcd":
                if name not in refused:
                    case.answer(name, at_s=now_s)
                    blamed_s.pop(name, None)
                else:
                    blamed_s.setdefault(name, now_s)
            for since_s in blamed_s.values():
                self.assertLess(now_s - since_s, part_suspects.PATIENCE_S)
        self.assertLessEqual(case.crash_count, suspects.MAX_CRASHES)


class KeyTests(unittest.TestCase):
    @given(strategies.text(max_size=500), strategies.text(max_size=200))
    def test_key_is_short_and_splits_at_the_first_slash(self, name, service):
        key = prompt_parts.build_key(service, name)
        record_key = crash_records.Crash(key, "w1/1").key
        self.assertEqual(record_key.partition("/")[0], key)
        self.assertLessEqual(len(key.encode()), 120)
        self.assertTrue(prompt_parts.is_key(key))
        self.assertEqual(prompt_parts.split_key(key)[1], service_of(service))

    def test_fingerprint_that_only_begins_like_a_key_is_none(self):
        register = crashes.CrashRegister()
        for fingerprint in ("part:", "part", "part:5c1e"):
            register.add(crash_records.Crash(fingerprint, "w1/1"), 0.0)
            self.assertEqual(register.count(fingerprint), 1)

    def test_same_part_in_capitals_has_the_same_key(self):
        self.assertEqual(build_key("5C1E"), build_key("5c1e"))

    def test_parts_beyond_the_bound_are_left_out(self):
        parts = tuple(arrivals.PromptPart(f"{n:x}", 1) for n in range(9_000))
        ticket = builders.build_ticket()
        ticket.arrival = msgspec.structs.replace(ticket.arrival, parts=parts)
        self.assertEqual(len(prompt_parts.list_keys(ticket)), prompt_parts.MAX_PARTS)


def service_of(service):
    return prompt_parts.build_scope(service)
