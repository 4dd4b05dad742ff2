import random
import unittest

import msgspec
from twisted.internet import defer, error, task

from wasabiknot_entry import buffers, connections, responses, send_attempts
from wasabiknot_kernel import arrivals, dispatch, outcomes, registrations, routes

Outcome = outcomes.Outcome


class FakeConnection:
    """A connection whose response the test delivers."""

    def __init__(self):
        self.request = None
        self.is_aborted = False
        self.is_paused = False
        self.has_input = False
        self.is_lost = False
        self.earlier_requests = []

    def pause(self):
        self.is_paused = True

    def resume(self):
        self.is_paused = False

    def send(self, request, handler):
        self.request = request

    def set_idle_timeout(self, idle_s):
        pass

    def abort(self):
        self.is_aborted = True


class Pool:
    def __init__(self, opening):
        self.opening = opening
        self.buffers = buffers.Budget()

    def acquire(self, address, idle_s, request_id):
        return self.opening


class Receiver:
    def __init__(self):
        self.heads = []
        self.events = []
        self.result = None
        self.accepts_events = True
        self.has_other_server = True
        self.silences_s = []

    def handle_head(self, head):
        self.heads.append(head)

    def handle_event(self, event, head):
        self.events.append(event.event_id)
        return self.accepts_events

    def handle_silence(self, silent_s):
        self.silences_s.append(silent_s)
        return self.has_other_server

    def handle_result(self, result):
        self.result = result


def build_assignment(
    is_stream, is_resumable=False, retry_rule=None, attempts=2, output_tokens=0
):
    default_rule = routes.RetryRule.STREAM if is_stream else routes.RetryRule.ONCE
    route = routes.Route(
        name="r",
        host="h",
        prefix="/",
        retry_rule=retry_rule or default_rule,
        shares=(routes.TrafficShare("pool", 1),),
        timeout_ms=4_000,
        objective_ms=300,
        gap_ms=250,
        rank=0,
        attempts=attempts,
        is_public=True,
        is_resumable=is_resumable,
    )
    arrival = arrivals.Arrival("q1", "h", "/", "", 4_000, output_tokens=output_tokens)
    ticket = arrivals.Ticket(arrival, route, "pool", None, 0, 0.0, 4.0, 1, sends=1)
    dispatcher = dispatch.Dispatcher("pool", random.Random(1))
    state = registrations.ServerState.READY
    dispatcher.register(
        registrations.Registration("w1", "pool", "10.0.0.1:80", "d", "v1", 4, state)
    )
    (assignment,) = dispatcher.submit(ticket, 0.0)
    return assignment


class SendAttemptTests(unittest.TestCase):
    def start(self, assignment, opening=None, pool_buffers=None):
        self.clock = task.Clock()
        self.connection = FakeConnection()
        self.receiver = Receiver()
        request = connections.Request(b"GET", b"/", ())
        opening = opening or defer.succeed(self.connection)
        self.pool = Pool(opening)
        if pool_buffers is not None:
            self.pool.buffers = pool_buffers
        return send_attempts.SendAttempt(
            self.clock, self.pool, assignment, lambda: request, self.receiver
        )

    def build_head(self, status=200, request_id=b"q1", **extra):
        headers = {
            b"x-wasabiknot-attempt-id": request_id,
            b"x-wasabiknot-server-stamp": b"s1",
        }
        headers.update(
            {name.replace("_", "-").encode(): v for name, v in extra.items()}
        )
        return responses.Head(status, tuple(headers.items()))

    def test_response_to_another_request_is_rejected(self):
        attempt = self.start(build_assignment(False))
        attempt.handle_head(self.build_head(request_id=b"q2"))
        self.assertEqual(self.receiver.heads, [])
        self.assertIs(self.receiver.result.outcome, Outcome.RESPONSE_LOST)
        self.assertTrue(self.connection.is_aborted)

    def test_success_without_server_stamp_is_rejected(self):
        attempt = self.start(build_assignment(False))
        head = responses.Head(200, ((b"x-wasabiknot-attempt-id", b"q1"),))
        attempt.handle_head(head)
        self.assertIs(self.receiver.result.outcome, Outcome.RESPONSE_LOST)

    def test_success_with_content_encoding_is_rejected(self):
        attempt = self.start(build_assignment(False))
        attempt.handle_head(self.build_head(content_encoding=b"gzip"))
        self.assertIs(self.receiver.result.outcome, Outcome.RESPONSE_LOST)

    def test_statement_is_reported_before_the_response_ends(self):
        attempt = self.start(build_assignment(True))
        attempt.handle_head(self.build_head(server_limit=b"5.5"))
        (head,) = self.receiver.heads
        self.assertEqual(head.statement.limit_per_s, 5.5)
        self.assertIsNone(self.receiver.result)

    def test_body_without_end_is_cut(self):
        attempt = self.start(build_assignment(False))
        attempt.handle_head(self.build_head())
        for _ in range(200):
            attempt.handle_data(b"x" * 65_536)
        self.assertTrue(self.connection.is_aborted)
        self.assertIs(self.receiver.result.outcome, Outcome.ENDLESS)
        self.assertEqual(self.pool.buffers.total_bytes, 0)

    def test_event_without_end_is_cut(self):
        attempt = self.start(build_assignment(True))
        attempt.handle_head(self.build_head())
        for _ in range(20):
            attempt.handle_data(b"x" * 65_536)
        self.assertTrue(self.connection.is_aborted)
        self.assertIs(self.receiver.result.outcome, Outcome.ENDLESS)

    def test_stream_with_more_events_than_tokens_asked_for_is_cut(self):
        assignment = build_assignment(True, output_tokens=40)
        attempt = self.start(assignment)
        attempt.handle_head(self.build_head())
        attempt.handle_data(b"data: x\n\n" * 1_000)
        self.assertTrue(self.connection.is_aborted)
        limit = 40 + send_attempts.EXTRA_EVENTS
        self.assertEqual(len(self.receiver.events), limit)

    def test_largest_body_is_cut_when_all_together_are_too_large(self):
        pool_buffers = buffers.Budget(100_000)
        started = []
        for size in (30_000, 50_000, 30_000):
            attempt = self.start(build_assignment(False), pool_buffers=pool_buffers)
            started.append((self.connection, self.receiver))
            attempt.handle_head(self.build_head())
            attempt.handle_data(b"x" * size)
        aborted = [connection.is_aborted for connection, _ in started]
        self.assertEqual(aborted, [False, True, False])
        self.assertEqual(pool_buffers.total_bytes, 60_000)

    def test_stream_that_its_caller_does_not_take_is_not_read_and_not_stalled(self):
        attempt = self.start(build_assignment(True, is_resumable=True))
        attempt.handle_head(self.build_head())
        attempt.handle_data(b"id: 1\ndata: a\n\n")
        attempt.pause()
        self.assertTrue(self.connection.is_paused)
        self.clock.advance(5 * send_attempts.STREAM_STALL_TIMEOUT_S)
        self.assertIsNone(self.receiver.result)
        attempt.resume()
        self.assertFalse(self.connection.is_paused)
        self.clock.advance(2 * send_attempts.STREAM_STALL_TIMEOUT_S)
        self.assertIs(self.receiver.result.outcome, Outcome.TIMED_OUT)

    def test_complete_response(self):
        attempt = self.start(build_assignment(False))
        attempt.handle_head(self.build_head())
        attempt.handle_data(b"o")
        attempt.handle_data(b"k")
        attempt.handle_end()
        self.assertIs(self.receiver.result.outcome, Outcome.COMPLETE)
        self.assertEqual(self.receiver.result.body, b"ok")

    def test_not_executed_response_is_rejection(self):
        attempt = self.start(build_assignment(False))
        head = responses.Head(503, ((b"x-wasabiknot-not-executed", b"1"),))
        attempt.handle_head(head)
        attempt.handle_end()
        self.assertIs(self.receiver.result.outcome, Outcome.REJECTED)

    def test_error_without_not_executed_header_is_failure(self):
        attempt = self.start(build_assignment(False))
        attempt.handle_head(self.build_head(503))
        attempt.handle_end()
        self.assertIs(self.receiver.result.outcome, Outcome.FAILED)

    def test_refused_connection_is_unreachable(self):
        refused = defer.fail(error.ConnectionRefusedError())
        self.start(build_assignment(False), refused)
        self.assertIs(self.receiver.result.outcome, Outcome.UNREACHABLE)

    def test_stream_that_ends_within_event_is_lost(self):
        attempt = self.start(build_assignment(True))
        attempt.handle_head(self.build_head())
        attempt.handle_data(b"id: 1\ndata: a\n\nid: 2")
        attempt.handle_end()
        self.assertEqual(self.receiver.events, [1])
        self.assertIs(self.receiver.result.outcome, Outcome.RESPONSE_LOST)

    def test_missing_event_ends_attempt(self):
        attempt = self.start(build_assignment(True))
        self.receiver.accepts_events = False
        attempt.handle_head(self.build_head())
        attempt.handle_data(b"id: 3\ndata: a\n\n")
        self.assertIs(self.receiver.result.outcome, Outcome.RESPONSE_LOST)

    def test_timeout_ends_repeatable_attempt(self):
        self.start(build_assignment(True, is_resumable=True))
        self.clock.advance(10.0)
        self.assertIs(self.receiver.result.outcome, Outcome.TIMED_OUT)

    def test_silent_attempt_goes_on_while_no_other_server_can_take_it(self):
        attempt = self.start(build_assignment(True, is_resumable=True))
        self.receiver.has_other_server = False
        attempt.handle_head(self.build_head())
        attempt.handle_data(b"id: 1\ndata: a\n\n")
        for _ in range(40):
            self.clock.advance(0.05)
        self.assertGreater(len(self.receiver.silences_s), 1)
        self.assertAlmostEqual(
            self.receiver.silences_s[0], send_attempts.STREAM_STALL_TIMEOUT_S, 1
        )
        self.assertFalse(self.connection.is_aborted)
        attempt.handle_data(b"id: 2\ndata: b\n\n")
        attempt.handle_end()
        self.assertIs(self.receiver.result.outcome, Outcome.COMPLETE)

    def test_server_without_samples_is_not_silent_before_the_objective(self):
        idempotent = routes.RetryRule.IDEMPOTENT
        for is_measured, expected_s in ((False, 0.3), (True, 0.12)):
            assignment = build_assignment(False, retry_rule=idempotent)
            assignment = msgspec.structs.replace(assignment, is_measured=is_measured)
            self.start(assignment)
            self.clock.pump([0.01] * 40)
            (silent_s,) = self.receiver.silences_s
            self.assertAlmostEqual(silent_s, expected_s, 1)

    def test_answer_that_costs_more_than_its_bytes_is_ended(self):
        # Guards against an answer in chunks of a byte that keeps this entry busy.
        for is_stream, bound in (
            (False, send_attempts.MAX_BODY_BYTES),
            (True, send_attempts.MAX_EVENT_BYTES),
        ):
            with self.subTest(is_stream=is_stream):
                attempt = self.start(build_assignment(is_stream))
                attempt.handle_head(self.build_head())
                attempt.handle_data(b"x", bound)
                self.assertIsNone(self.receiver.result)
                attempt.handle_data(b"x", 32)
                self.assertIs(self.receiver.result.outcome, Outcome.ENDLESS)
                self.assertTrue(self.connection.is_aborted)

    def test_events_renew_what_a_stream_may_cost(self):
        attempt = self.start(build_assignment(True))
        attempt.handle_head(self.build_head())
        for _ in range(3):
            attempt.handle_data(b"data: a\n\n", send_attempts.MAX_EVENT_BYTES)
        self.assertIsNone(self.receiver.result)

    def test_server_is_not_silent_while_its_input_waits(self):
        # Guards against running work that is begun again as this entry is busy.
        idempotent = routes.RetryRule.IDEMPOTENT
        self.start(build_assignment(False, retry_rule=idempotent))
        self.connection.has_input = True
        self.clock.pump([0.01] * 200)
        self.assertEqual(self.receiver.silences_s, [])
        self.connection.has_input = False
        self.clock.pump([0.01] * 50)
        self.assertIs(self.receiver.result.outcome, Outcome.TIMED_OUT)

    def test_plain_response_that_has_begun_is_not_given_up(self):
        idempotent = routes.RetryRule.IDEMPOTENT
        attempt = self.start(build_assignment(False, retry_rule=idempotent))
        attempt.handle_head(self.build_head())
        self.clock.advance(10.0)
        self.assertEqual(self.receiver.silences_s, [])
        self.assertIsNone(self.receiver.result)

    def test_non_repeatable_attempt_has_no_timeout(self):
        self.start(build_assignment(False))
        self.clock.advance(10.0)
        self.assertIsNone(self.receiver.result)

    def test_cancelled_attempt_reports_no_result(self):
        attempt = self.start(build_assignment(False))
        attempt.cancel()
        attempt.handle_loss(connections.LossReason.RESET)
        self.assertIsNone(self.receiver.result)
        self.assertTrue(self.connection.is_aborted)

    def test_cancel_while_connecting_reports_no_result(self):
        opening = defer.Deferred()
        attempt = self.start(build_assignment(False), opening)
        attempt.cancel()
        self.assertIsNone(self.receiver.result)
