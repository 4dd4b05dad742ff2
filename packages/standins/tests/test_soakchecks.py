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

    def respond(self, request_id="q1", route="cash", runs=1, **changes):
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
            run = platformworkers.Run(request_id, f"i-{number}", 10.0)
            self.recorder.runs[request_id].append(run)

    def list_violations(self):
        checker = soakchecks.Checker(
            self.recorder,
            self.responses,
            self.fault_times_s,
            self.revoked_s,
            self.published_s,
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
