import random
import unittest

from twisted.internet import defer, error, task

from wasabiknot_entry import connections, sendings
from wasabiknot_kernel import arrivals, dispatch, outcomes, registrations, routes

Outcome = outcomes.Outcome


class Line:
    """A connection that the test answers on."""

    def __init__(self):
        self.request = None
        self.is_aborted = False

    def send(self, request, handler):
        self.request = request

    def state_idle_time(self, idle_s):
        pass

    def abort(self):
        self.is_aborted = True


class Pool:
    def __init__(self, opened):
        self.opened = opened

    def acquire(self, address, idle_s):
        return self.opened


class Receiver:
    def __init__(self):
        self.events = []
        self.result = None
        self.is_fitting = True

    def take_event(self, event, head):
        self.events.append(event.number)
        return self.is_fitting

    def take_result(self, result):
        self.result = result


def build_placed(is_stream, is_resumable=False, repetition=None, attempts=2):
    kind = routes.Repetition.STREAM if is_stream else routes.Repetition.ONCE
    route = routes.Route(
        name="r",
        host="h",
        prefix="/",
        repetition=repetition or kind,
        shares=(routes.TrafficShare("pool", 1),),
        timeout_ms=4_000,
        objective_ms=300,
        gap_ms=250,
        rank=0,
        attempts=attempts,
        is_public=True,
        is_resumable=is_resumable,
    )
    arrival = arrivals.Arrival("q1", "h", "/", "", 4_000)
    ticket = arrivals.Ticket(arrival, route, "pool", None, 0, 0.0, 4.0, 1, sends=1)
    dispatcher = dispatch.Dispatcher("pool", random.Random(1))
    state = registrations.ServerState.READY
    dispatcher.register(
        registrations.Registration("w1", "pool", "10.0.0.1:80", "d", "v1", 4, state)
    )
    (placed,) = dispatcher.submit(ticket, 0.0)
    return placed


class SendingTests(unittest.TestCase):
    def start(self, placed, opened=None):
        self.clock = task.Clock()
        self.line = Line()
        self.receiver = Receiver()
        request = connections.Request(b"GET", b"/", ())
        opened = opened or defer.succeed(self.line)
        return sendings.Sending(
            self.clock, Pool(opened), placed, request, self.receiver
        )

    def build_head(self, status=200, request_id=b"q1", **more):
        headers = {
            b"x-wasabiknot-attempt-id": request_id,
            b"x-wasabiknot-server-stamp": b"s1",
        }
        headers.update({name.replace("_", "-").encode(): v for name, v in more.items()})
        return connections.Head(status, tuple(headers.items()))

    def test_answer_of_another_request_is_lost(self):
        sending = self.start(build_placed(False))
        sending.take_head(self.build_head(request_id=b"q2"))
        self.assertIs(self.receiver.result.outcome, Outcome.CONNECTION_LOST)
        self.assertTrue(self.line.is_aborted)

    def test_success_without_a_stamp_is_lost(self):
        sending = self.start(build_placed(False))
        head = connections.Head(200, ((b"x-wasabiknot-attempt-id", b"q1"),))
        sending.take_head(head)
        self.assertIs(self.receiver.result.outcome, Outcome.CONNECTION_LOST)

    def test_recoded_success_is_lost(self):
        sending = self.start(build_placed(False))
        sending.take_head(self.build_head(content_encoding=b"gzip"))
        self.assertIs(self.receiver.result.outcome, Outcome.CONNECTION_LOST)

    def test_whole_answer(self):
        sending = self.start(build_placed(False))
        sending.take_head(self.build_head())
        sending.take_data(b"o")
        sending.take_data(b"k")
        sending.take_end()
        self.assertIs(self.receiver.result.outcome, Outcome.COMPLETE)
        self.assertEqual(self.receiver.result.body, b"ok")

    def test_rejection_has_not_run(self):
        sending = self.start(build_placed(False))
        head = connections.Head(503, ((b"x-wasabiknot-not-executed", b"1"),))
        sending.take_head(head)
        sending.take_end()
        self.assertIs(self.receiver.result.outcome, Outcome.REJECTED)

    def test_failure_without_that_statement_may_have_run(self):
        sending = self.start(build_placed(False))
        sending.take_head(self.build_head(503))
        sending.take_end()
        self.assertIs(self.receiver.result.outcome, Outcome.FAILED)

    def test_refused_connection_was_never_sent(self):
        refused = defer.fail(error.ConnectionRefusedError())
        self.start(build_placed(False), refused)
        self.assertIs(self.receiver.result.outcome, Outcome.UNREACHABLE)

    def test_stream_that_ends_within_an_event_is_lost(self):
        sending = self.start(build_placed(True))
        sending.take_head(self.build_head())
        sending.take_data(b"id: 1\ndata: a\n\nid: 2")
        sending.take_end()
        self.assertEqual(self.receiver.events, [1])
        self.assertIs(self.receiver.result.outcome, Outcome.CONNECTION_LOST)

    def test_missing_event_ends_the_send(self):
        sending = self.start(build_placed(True))
        self.receiver.is_fitting = False
        sending.take_head(self.build_head())
        sending.take_data(b"id: 3\ndata: a\n\n")
        self.assertIs(self.receiver.result.outcome, Outcome.CONNECTION_LOST)

    def test_silence_ends_a_send_that_may_be_repeated(self):
        self.start(build_placed(True, is_resumable=True))
        self.clock.advance(10.0)
        self.assertIs(self.receiver.result.outcome, Outcome.TIMED_OUT)

    def test_silence_is_no_reason_to_end_one_that_may_run_once(self):
        self.start(build_placed(False))
        self.clock.advance(10.0)
        self.assertIsNone(self.receiver.result)

    def test_cancelled_send_reports_nothing(self):
        sending = self.start(build_placed(False))
        sending.cancel()
        sending.take_loss(connections.Loss.RESET)
        self.assertIsNone(self.receiver.result)
        self.assertTrue(self.line.is_aborted)

    def test_cancel_while_connecting(self):
        opened = defer.Deferred()
        sending = self.start(build_placed(False), opened)
        sending.cancel()
        self.assertIsNone(self.receiver.result)
