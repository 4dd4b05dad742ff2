import collections
import unittest

from wasabiknot_standins import platformworkers, soakchecks

STAMP = {b"x-wasabiknot-server-stamp": b"i-1"}


class CheckerTests(unittest.TestCase):
    def setUp(self):
        self.recorder = platformworkers.RunRecorder()
        self.responses = []
        self.fault_times_s = []
        self.revoked_s = {}
        self.published_s = collections.defaultdict(float)
        self.stops = []

    def respond(self, request_id="q1", route="cash", runs=1, service="", **changes):
        fields = {
            "status": 200,
            "headers": STAMP,
            "body": platformworkers.build_body(request_id),
            "is_complete": True,
            "sent_s": 10.0,
            "ended_s": 10.1,
        }
        response = soakchecks.Response(request_id, route, 0, **{**fields, **changes})
        self.responses.append(response)
        for number in range(runs):
            run = platformworkers.Run(request_id, f"i-{number}", 10.0, service)
            self.recorder.runs[request_id].append(run)

    def list_violations(self):
        checker = soakchecks.Checker(
            self.recorder,
            self.responses,
            self.fault_times_s,
            self.revoked_s,
            self.published_s,
            self.stops,
        )
        return checker.list_violations()

    def check(self, text):
        for number in range(9):
            self.respond(f"good-{number}")
        violations = self.list_violations()
        self.assertEqual(len(violations), 1, violations)
        self.assertIn(text, violations[0])

    def test_whole_responses_are_accepted(self):
        self.respond()
        self.respond("q2", "lookup", runs=2)
        self.assertEqual(self.list_violations(), [])

    def test_run_at_a_service_that_only_an_older_configuration_names(self):
        self.respond(service="counter", services=frozenset({"desk"}))
        self.check("sent it to counter, in force are desk")

    def test_run_of_a_request_whose_route_was_dropped(self):
        self.respond(service="desk", services=frozenset())
        self.check("sent it to desk, in force are none")

    def test_run_at_a_service_of_a_configuration_in_force_is_accepted(self):
        self.respond(service="desk", services=frozenset({"desk", "counter"}))
        self.assertEqual(self.list_violations(), [])

    def test_second_run_of_a_request_that_may_run_once(self):
        self.respond(runs=2)
        self.check("ran 2 times")

    def test_refusal_of_a_request_that_has_run(self):
        self.respond(status=503, headers={})
        self.check("was refused but ran")

    def test_body_of_another_request(self):
        self.respond(body=platformworkers.build_body("q9"))
        self.check("unexpected body")

    def test_success_that_no_server_has_stamped(self):
        self.respond(headers={})
        self.check("without server stamp")

    def test_incomplete_response_without_a_fault(self):
        self.respond(is_complete=False, body=b"")
        self.check("incomplete without a fault")

    def test_incomplete_response_during_a_fault(self):
        self.fault_times_s.append(9.0)
        self.respond(is_complete=False, body=b"")
        self.respond("q2")
        self.assertEqual(self.list_violations(), [])

    def reach(self, request_id="q1"):
        contact = platformworkers.Contact(request_id, "i-1", 10.0, None)
        self.recorder.contacts.append(contact)

    def fall_silent(self, start_s, end_s):
        silence = platformworkers.Silence("i-1", start_s, end_s)
        self.recorder.silences.append(silence)

    def close(self, whole_s=10.0, **changes):
        fields = {"status": 0, "headers": {}, "body": b"", "is_complete": False}
        self.respond(whole_s=whole_s, runs=0, **{**fields, **changes})

    def cut(self, **changes):
        self.respond(route="summary", is_complete=False, body=b"", **changes)

    def test_request_that_was_passed_on_ends_without_an_answer(self):
        self.reach()
        self.close()
        self.check("incomplete without a fault")

    def test_request_that_no_server_got_ends_late_without_an_answer(self):
        self.close(ended_s=10.3)
        self.check("incomplete without a fault")

    def test_request_that_crosses_the_close_of_its_connection(self):
        self.close()
        self.close(whole_s=None, ended_s=11.0)
        self.respond("q2")
        self.respond("q3")
        self.assertEqual(self.list_violations(), [])

    def test_request_without_an_answer_during_a_fault(self):
        self.fault_times_s.append(9.0)
        self.reach()
        self.close()
        self.respond("q2")
        self.assertEqual(self.list_violations(), [])

    def test_silence_excuses_no_stream_that_is_cut(self):
        self.fall_silent(10.0, 11.6)
        self.cut(ended_s=11.3)
        self.check("incomplete without a fault")

    def test_stream_that_has_used_its_time_in_a_silence(self):
        self.fall_silent(11.0, 12.6)
        self.cut(ended_s=12.8, timeout_s=4.0)
        self.respond("q2")
        self.assertEqual(self.list_violations(), [])

    def test_stream_that_has_used_its_time_without_a_silence(self):
        self.fall_silent(7.0, 8.6)
        self.cut(ended_s=12.8, timeout_s=4.0)
        self.check("incomplete without a fault")

    def test_request_that_its_server_holds_until_its_entry_must_end(self):
        self.stops.append((0, 8.0))
        self.reach()
        self.close(ended_s=11.4)
        self.respond("q2")
        self.assertEqual(self.list_violations(), [])

    def test_request_that_ends_before_its_entry_must_end(self):
        self.stops += [(0, 8.0), (1, 7.0)]
        self.reach()
        self.close(ended_s=11.2)
        self.check("incomplete without a fault")

    def test_stop_excuses_no_stream_that_no_silence_has_delayed(self):
        self.stops.append((0, 8.0))
        self.cut(ended_s=11.4)
        self.check("incomplete without a fault")

    def test_404_for_a_route_that_all_versions_have(self):
        self.respond(status=404, runs=0)
        self.check("rejected with 404")

    def test_404_for_a_route_that_a_version_lacks(self):
        self.respond(route="visit", status=404, runs=0, may_lack_route=True)
        self.respond("q2")
        self.assertEqual(self.list_violations(), [])

    def test_events_out_of_order(self):
        body = b"id: 2\ndata: q1/2\n\n"
        self.fault_times_s.append(9.0)
        self.respond(route="draft", is_complete=False, body=body)
        self.check("unexpected events")

    def test_valid_key_that_is_rejected(self):
        self.respond(status=401, runs=0)
        self.check("rejected with 401")

    def test_key_that_is_accepted_long_after_its_revocation(self):
        self.revoked_s["old"] = 10.0 - soakchecks.MAX_REVOCATION_S - 0.5
        self.respond(revoked_key="old")
        self.check("too late")

    def reject(self, request_id, ended_s):
        self.respond(
            request_id,
            revoked_key="old",
            status=401,
            runs=0,
            sent_s=ended_s - 0.1,
            ended_s=ended_s,
        )

    def test_key_that_is_accepted_after_the_process_has_accepted_and_rejected_it(self):
        self.revoked_s["old"] = self.published_s["old"] = 9.0
        self.respond("q0", revoked_key="old", sent_s=9.0, ended_s=9.1)
        self.reject("q1", 9.5)
        self.respond("q2", revoked_key="old")
        self.check("q2")

    def test_key_that_is_accepted_after_a_late_rejection(self):
        self.revoked_s["old"] = 9.0
        self.published_s["old"] = 9.0 - soakchecks.MAX_REVOCATION_S
        self.reject("q1", 9.5)
        self.respond("q2", revoked_key="old")
        self.check("q2")

    def test_key_that_a_process_has_not_learnt_yet_is_rejected_first(self):
        self.revoked_s["old"] = self.published_s["old"] = 9.0
        self.reject("q1", 9.5)
        self.respond("q2", revoked_key="old")
        self.assertEqual(self.list_violations(), [])

    def test_key_that_is_accepted_after_that_of_a_later_configuration(self):
        self.revoked_s.update({"old": 9.0, "new": 9.1})
        self.respond("q1", revoked_key="new", sent_s=9.2, ended_s=9.3)
        self.respond("q2", revoked_key="old")
        self.check("q2")

    def test_most_requests_fail(self):
        for number in range(9):
            self.respond(f"q{number}", status=503, headers={}, runs=0)
        self.respond("good")
        self.assertEqual(self.list_violations(), ["1 of 10 succeeded"])
