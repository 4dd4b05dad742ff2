import unittest
from unittest import mock

import gatewaycases
from hypothesis import given, settings, strategies
from twisted.internet import defer, task

from wasabiknot_entry import buffers, connections, journal, responses, send_attempts
from wasabiknot_kernel import (
    budgets,
    events,
    registrations,
    routes,
)

STREAM_HEAD = (b"x-wasabiknot-server-stamp", b"stamp")
# Longer than the time after which a silent server is replaced if possible.
SILENCE_S = 1.6
ENGINE = routes.Engine(slots=4, kv_tokens=100_000, event_tokens=6)


class Connection:
    """A connection to a backend server whose response the test delivers."""

    def __init__(self, address):
        self.address = address
        self.earlier_requests = []
        self.handler = None
        self.is_responding = False
        self.request_id = b""
        self.is_aborted = False
        self.is_ended = False
        self.has_input = False
        self.is_lost = False
        self.next_event = 0

    def send(self, request, handler):
        headers = dict(request.headers)
        self.handler = handler
        self.request_id = headers[b"x-wasabiknot-attempt-id"]
        self.next_event = int(headers.get(b"last-event-id", b"0"))

    def reject(self):
        extra = ((b"x-wasabiknot-attempt-id", self.request_id),)
        head = (*extra, (b"x-wasabiknot-not-executed", b"1"))
        self.handler.handle_head(responses.Head(503, head))
        self.end()

    def step(self, event_count):
        """Delivers the head, one more event or the end."""
        if self.is_aborted or self.is_ended:
            return
        if not self.is_responding:
            self.respond()
        elif self.next_event < event_count:
            self.next_event += 1
            self.deliver(build_event(self.next_event))
        else:
            self.is_ended = True
            self.end()

    def respond(self):
        self.is_responding = True
        headers = ((b"x-wasabiknot-attempt-id", self.request_id), STREAM_HEAD)
        self.handler.handle_head(responses.Head(200, headers))

    def deliver(self, data):
        if not self.is_aborted:
            self.handler.handle_data(data, len(data))

    def end(self):
        if not self.is_aborted:
            self.handler.handle_end()

    def set_idle_timeout(self, idle_s):
        pass

    def pause(self):
        pass

    def resume(self):
        pass

    def abort(self):
        self.is_aborted = True


class Pool:
    """A pool that records the connections it opens."""

    def __init__(self):
        self.buffers = buffers.Budget()
        self.opened = []

    def acquire(self, address, max_idle_s, request_id):
        self.opened.append(Connection(address))
        return defer.succeed(self.opened[-1])

    def connect(self, address):
        # A check of a server, which goes on.
        return defer.Deferred()

    def has_idle(self, address):
        return False


def build_route(name, rule, service, timeout_ms, is_resumable=False):
    return routes.Route(
        name=name,
        host="a.example",
        prefix=f"/{name}/",
        retry_rule=rule,
        shares=(routes.TrafficShare(service, 1),),
        timeout_ms=timeout_ms,
        objective_ms=400,
        gap_ms=300,
        rank=1,
        attempts=2,
        is_public=True,
        is_resumable=is_resumable,
    )


def build_configuration():
    stream = routes.RetryRule.STREAM
    return routes.Configuration(
        version=1,
        routes=(
            build_route("summary", stream, "pool", 10_000, is_resumable=True),
            build_route("lookup", routes.RetryRule.IDEMPOTENT, "desk", 4_000),
        ),
        services=(
            routes.Service("pool", "/", 100, ENGINE),
            routes.Service("desk", "/", 100, None),
        ),
        customers=(),
        limits=routes.Limits(),
    )


def build_event(number):
    return b"id: %d\ndata: part-%d\n\n" % (number, number)


class SilentServerTests(unittest.TestCase):
    def setUp(self):
        self.clock = task.Clock()
        self.clock.advance(100.0)
        self.deployment = gatewaycases.build_deployment()
        table = routes.RouteTable(build_configuration())
        self.deployment.apply_configuration(table, 0.0)
        self.deployment.has_servers = True
        self.deployment.has_crashes = True
        self.gateway = gatewaycases.build_gateway(self.clock, self.deployment)
        self.pool = self.gateway.pool = Pool()

    def register(self, service, count, slots=4):
        for number in range(count):
            registration = registrations.Registration(
                server_id=f"{service}-{number}",
                service=service,
                address=f"10.0.1.{number}:80",
                domain="d",
                version="v1",
                slots=slots,
                state=registrations.ServerState.READY,
            )
            self.deployment.apply_registration(registration, 0.0)

    def allow_retries(self, service, count):
        budget = self.deployment.get_budget(service)
        budget.has_slack = True
        budget.set_bounds(0.0, 10.0, count / budgets.SAFETY_FACTOR + 0.01)

    def request(self, route, request_id=b"q1"):
        return gatewaycases.send_stream_request(
            self.gateway, self.clock, route, request_id
        )

    def wait(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)

    def start_stream(self, event_count=2):
        connection = self.pool.opened[-1]
        connection.respond()
        for number in range(1, event_count + 1):
            connection.deliver(build_event(number))
        return connection

    def finish_stream(self, connection, first=3):
        for number in range(first, 6):
            connection.deliver(build_event(number))
        connection.end()

    def check_whole_stream(self, transport, event_count=5):
        value = transport.value()
        for number in range(1, event_count + 1):
            self.assertEqual(value.count(b"data: part-%d\n" % number), 1)
        self.assertTrue(value.endswith(b"\r\n0\r\n\r\n"))
        self.assertEqual(value.count(b"HTTP/1.1 200 "), 1)

    def test_stream_of_a_silent_server_is_not_cut_without_retry_budget(self):
        self.register("pool", 2)
        self.allow_retries("pool", 0)
        transport = self.request(b"summary")
        connection = self.start_stream()
        self.wait(SILENCE_S)
        self.finish_stream(connection)
        self.check_whole_stream(transport)
        self.assertEqual(len(self.pool.opened), 1)

    def test_stream_of_a_silent_server_is_not_cut_after_its_last_attempt(self):
        self.register("pool", 2)
        self.allow_retries("pool", 5)
        transport = self.request(b"summary")
        self.start_stream()
        self.wait(SILENCE_S)
        self.assertEqual(len(self.pool.opened), 2)
        second = self.pool.opened[1]
        second.respond()
        second.deliver(build_event(3))
        self.wait(SILENCE_S)
        self.finish_stream(second, first=4)
        self.check_whole_stream(transport)

    def test_stream_of_the_only_server_goes_on_after_its_silence(self):
        self.register("pool", 1)
        self.allow_retries("pool", 5)
        transport = self.request(b"summary")
        connection = self.start_stream()
        self.wait(SILENCE_S)
        self.finish_stream(connection)
        self.check_whole_stream(transport)
        self.assertEqual(len(self.pool.opened), 1)

    def test_streams_go_on_after_all_servers_were_silent(self):
        self.register("pool", 3)
        self.allow_retries("pool", 100)
        started = []
        for number in range(9):
            transport = self.request(b"summary", b"q%d" % number)
            started.append((transport, self.start_stream()))
        self.wait(SILENCE_S)
        for transport, connection in started:
            if connection.is_aborted:
                connection = next(
                    item
                    for item in self.pool.opened
                    if item.request_id == connection.request_id and item != connection
                )
                connection.respond()
            self.finish_stream(connection)
            self.check_whole_stream(transport)

    def test_lookup_of_a_silent_server_is_answered_without_retry_budget(self):
        self.register("desk", 2)
        self.allow_retries("desk", 0)
        transport = self.request(b"lookup")
        (connection,) = self.pool.opened
        self.wait(SILENCE_S)
        self.assertEqual(transport.value(), b"")
        connection.respond()
        connection.deliver(b"paid")
        connection.end()
        self.assertTrue(transport.value().startswith(b"HTTP/1.1 200 "))

    def test_stream_moves_when_another_server_can_take_it(self):
        self.register("pool", 2)
        self.allow_retries("pool", 5)
        transport = self.request(b"summary")
        first = self.start_stream()
        self.wait(send_attempts.STREAM_STALL_TIMEOUT_S + 0.1)
        self.assertTrue(first.is_aborted)
        second = self.pool.opened[1]
        self.assertNotEqual(first.address, second.address)
        second.respond()
        self.finish_stream(second)
        self.check_whole_stream(transport)

    def test_silent_stream_moves_as_soon_as_another_server_has_room(self):
        self.register("pool", 1)
        self.allow_retries("pool", 5)
        self.request(b"summary")
        first = self.start_stream()
        self.wait(SILENCE_S)
        self.assertFalse(first.is_aborted)
        self.register("pool", 2)
        self.wait(0.3)
        self.assertTrue(first.is_aborted)

    def test_silence_beyond_the_deadline_is_answered_at_the_deadline(self):
        self.register("desk", 2)
        self.allow_retries("desk", 0)
        transport = self.request(b"lookup")
        self.wait(3.9)
        self.assertEqual(transport.value(), b"")
        self.wait(0.1)
        self.assertTrue(transport.value().startswith(b"HTTP/1.1 504 "))

    def test_silent_request_gets_a_place_before_those_that_wait(self):
        self.register("pool", 2)
        self.allow_retries("pool", 5)
        self.request(b"summary")
        first = self.start_stream()
        busy = []
        for number in range(20):
            self.request(b"summary", b"q1%d" % number)
            if len(self.pool.opened) > 1 + len(busy):
                busy.append(self.start_stream())
        elsewhere = next(item for item in busy if item.address != first.address)
        for step in range(32):
            self.clock.advance(0.05)
            for connection in busy:
                connection.deliver(build_event(3 + step))
        self.assertFalse(first.is_aborted)
        elsewhere.end()
        self.assertTrue(first.is_aborted)
        moved = [item for item in self.pool.opened if item.request_id == b"q1"]
        self.assertEqual(moved[-1].address, elsewhere.address)

    def move_stream(self):
        transport = self.request(b"summary")
        self.start_stream()
        self.wait(SILENCE_S)
        return transport, self.pool.opened[1]

    def test_moved_stream_is_cut_as_its_last_attempt_is_rejected(self):
        self.register("pool", 3)
        self.allow_retries("pool", 5)
        transport, second = self.move_stream()
        second.reject()
        self.wait(0.5)
        self.assertEqual(len(self.pool.opened), 3)
        first, _, third = self.pool.opened
        self.assertEqual(third.address, first.address)
        third.respond()
        self.finish_stream(third)
        self.check_whole_stream(transport)

    def test_moved_stream_is_cut_as_its_return_finds_no_retry_budget(self):
        self.register("pool", 3)
        self.allow_retries("pool", 1)
        transport, second = self.move_stream()
        second.reject()
        self.wait(0.5)
        self.assertEqual(len(self.pool.opened), 2)
        self.allow_retries("pool", 2)
        self.wait(0.25)
        first, _, third = self.pool.opened
        self.assertEqual(third.address, first.address)
        third.respond()
        self.finish_stream(third)
        self.check_whole_stream(transport)

    def test_wait_for_retry_budget_is_logged_once_and_ends_with_the_request(self):
        self.register("pool", 3)
        self.allow_retries("pool", 1)
        with mock.patch.object(journal, "write") as write:
            _, second = self.move_stream()
            second.reject()
            self.wait(1.0)
        steps = [item.kwargs.get("step") for item in write.call_args_list]
        self.assertEqual(steps.count("wait"), 1)
        (flow,) = self.gateway._flows.values()
        flow.handle_disconnect()
        self.assertEqual(self.clock.getDelayedCalls(), [])

    def test_request_without_retry_budget_waits_though_it_has_not_begun(self):
        self.register("desk", 3)
        self.allow_retries("desk", 0)
        transport = self.request(b"lookup")
        self.pool.opened[0].reject()
        self.assertTrue(transport.value().startswith(b"HTTP/1.1 503 "))

    def test_stream_that_was_broken_off_waits_for_retry_budget(self):
        self.register("pool", 3)
        self.allow_retries("pool", 0)
        transport = self.request(b"summary")
        connection = self.start_stream()
        connection.handler.handle_loss(connections.LossReason.MALFORMED)
        self.assertTrue(transport.disconnecting)

    def test_stream_that_gets_no_retry_budget_is_cut_at_its_deadline(self):
        self.register("pool", 3)
        self.allow_retries("pool", 1)
        transport, second = self.move_stream()
        second.reject()
        self.wait(8.2)
        self.assertFalse(transport.disconnecting)
        self.wait(0.3)
        self.assertTrue(transport.disconnecting)
        self.assertEqual(len(self.pool.opened), 2)
        self.assertEqual(len(self.gateway), 0)
        self.assertEqual(self.clock.getDelayedCalls(), [])

    def test_moved_stream_that_all_reject_asks_each_server_once(self):
        self.register("pool", 3)
        self.allow_retries("pool", 50)
        transport, second = self.move_stream()
        second.reject()
        self.wait(0.5)
        self.pool.opened[2].reject()
        self.wait(0.5)
        self.assertEqual(len(self.pool.opened), 3)
        self.assertTrue(transport.disconnecting)
        self.assertEqual(len(self.gateway), 0)

    def test_failed_check_of_a_silence_is_repeated_for_ever(self):
        self.register("pool", 2)
        self.allow_retries("pool", 5)
        transport = self.request(b"summary")
        self.start_stream()
        dispatcher = self.deployment.get_dispatcher("pool")
        failing = mock.Mock(side_effect=RuntimeError)
        with (
            mock.patch.object(dispatcher, "replace_silent_server", failing),
            mock.patch.object(journal, "write") as write,
        ):
            self.wait(5.0)
        logged = [item.args[0] for item in write.call_args_list]
        self.assertEqual(logged.count(events.Event.REQUEST_FAILED), 1)
        self.assertEqual(self.clock.getDelayedCalls(), [])
        self.assertTrue(transport.disconnecting)

    def test_failure_during_a_move_keeps_the_slot_of_the_other_server(self):
        for name in ("record_evidence", "record_result", "write"):
            with self.subTest(name=name):
                self.setUp()
                self.register("pool", 2)
                self.allow_retries("pool", 5)
                transport = self.request(b"summary")
                self.start_stream()
                owner = journal if name == "write" else self.gateway
                failing = mock.Mock(side_effect=[RuntimeError] + [None] * 9)
                with mock.patch.object(owner, name, failing):
                    self.wait(SILENCE_S)
                self.assertTrue(transport.disconnecting)
                servers = self.deployment.get_dispatcher("pool").servers.values()
                self.assertFalse(any(item.sends for item in servers))

    def test_server_is_not_seen_as_silent_as_time_passes_while_an_event_is_read(self):
        self.register("pool", 2)
        self.allow_retries("pool", 0)
        self.request(b"summary")
        now_s = self.clock.seconds()
        step_s = 1e-5

        def read_clock():
            nonlocal now_s
            now_s += step_s
            return now_s

        with mock.patch.object(self.clock, "seconds", read_clock):
            connection = self.start_stream()
            now_s += send_attempts.STREAM_STALL_TIMEOUT_S
            step_s = 1e-6
            connection.handler.check_silence()
            servers = self.deployment.get_dispatcher("pool").servers.values()
            (server,) = (item for item in servers if item.sends)
            self.assertTrue(server.is_avoided(now_s))
            connection.deliver(build_event(3))
            self.assertFalse(server.is_avoided(now_s))

    def test_silent_stream_takes_the_place_of_one_that_was_broken_off(self):
        self.register("pool", 2)
        self.allow_retries("pool", 50)
        started = {"10.0.1.0:80": [], "10.0.1.1:80": []}
        for number in range(8):
            self.request(b"summary", b"q%d" % number)
            connection = self.start_stream()
            started[connection.address].append(connection)
        silent, sound = started.values()
        for step in range(32):
            self.clock.advance(0.05)
            for connection in sound:
                connection.deliver(build_event(3 + step))
        broken = silent[-1]
        broken.handler.handle_loss(connections.LossReason.MALFORMED)
        sound[0].end()
        newest = self.pool.opened[-1]
        self.assertEqual(newest.request_id, broken.request_id)
        self.assertFalse(silent[0].is_aborted)

    def test_streams_are_cut_as_very_many_move_at_once(self):
        self.register("pool", 1, slots=200)
        self.allow_retries("pool", 300)
        started = []
        for number in range(200):
            transport = self.request(b"summary", b"q%d" % number)
            started.append((transport, self.start_stream()))
        self.wait(SILENCE_S)
        self.register("pool", 2, slots=200)
        self.gateway.dispatch_waiting("pool")
        self.assertEqual(len(self.pool.opened), 400)
        for transport, connection in started:
            self.assertFalse(transport.disconnecting)
            self.assertTrue(connection.is_aborted)

    def test_stream_that_goes_on_moves_as_a_server_gets_room(self):
        for step in ("head", "event"):
            with self.subTest(step=step):
                self.setUp()
                self.register("pool", 1)
                self.allow_retries("pool", 5)
                transport = self.request(b"summary")
                (first,) = self.pool.opened
                if step == "event":
                    self.start_stream()
                self.wait(SILENCE_S)
                self.assertEqual(len(self.gateway.silent_flows), 1)
                if step == "event":
                    first.deliver(build_event(3))
                else:
                    first.respond()
                self.register("pool", 2)
                self.gateway.dispatch_waiting("pool")
                self.assertFalse(first.is_aborted)
                self.finish_stream(first, first=4 if step == "event" else 1)
                self.check_whole_stream(transport)

    def test_request_that_ended_at_a_silent_server_is_asked_again(self):
        self.register("desk", 1)
        self.allow_retries("desk", 5)
        self.request(b"lookup")
        self.wait(4.1)
        self.assertEqual(len(self.gateway), 0)
        self.assertEqual(self.gateway.silent_flows, set())
        self.register("desk", 2)
        self.gateway.dispatch_waiting("desk")
        self.assertEqual(len(self.pool.opened), 1)

    def test_silent_request_is_moved_just_before_its_deadline(self):
        self.register("desk", 1)
        self.allow_retries("desk", 5)
        self.request(b"lookup")
        self.wait(3.95)
        self.clock.advance(0.03)
        self.register("desk", 2)
        self.gateway.dispatch_waiting("desk")
        self.assertEqual(len(self.pool.opened), 1)

    def test_most_urgent_of_the_silent_streams_moves_first(self):
        for urgent in range(8):
            self.setUp()
            self.register("pool", 1, slots=8)
            self.allow_retries("pool", 1)
            for number in range(8):
                self.request(b"summary", b"q%d" % number)
                self.start_stream()
            self.wait(SILENCE_S)
            for flow in self.gateway.silent_flows:
                if flow.ticket.request_id == f"q{urgent}":
                    flow.ticket.rank = 0
            self.register("pool", 2, slots=8)
            self.gateway.dispatch_waiting("pool")
            moved = [item.request_id for item in self.pool.opened[8:]]
            self.assertEqual(moved, [b"q%d" % urgent])

    def test_each_silence_is_logged_once(self):
        self.register("pool", 1)
        self.allow_retries("pool", 5)
        self.request(b"summary")
        connection = self.start_stream()
        with mock.patch.object(journal, "write") as write:
            self.wait(4.0)
            connection.deliver(build_event(3))
            self.wait(4.0)
        logged = [item.args[0] for item in write.call_args_list]
        self.assertEqual(logged.count(events.Event.SERVER_SILENT), 2)

    def test_server_that_answers_with_a_head_is_not_silent(self):
        self.register("pool", 1)
        self.allow_retries("pool", 0)
        self.request(b"summary", b"q1")
        self.start_stream()
        self.request(b"summary", b"q2")
        self.wait(SILENCE_S)
        server = self.deployment.find_server("pool-0")
        for send in server.sends.values():
            send.first_event_s = self.clock.seconds()
        self.assertTrue(server.is_avoided(self.clock.seconds()))
        self.pool.opened[1].respond()
        self.assertFalse(server.is_avoided(self.clock.seconds()))

    def test_begun_stream_is_refused_by_a_stopping_entry(self):
        self.register("pool", 2)
        self.allow_retries("pool", 5)
        transport = self.request(b"summary")
        first = self.start_stream()
        self.gateway.stop(2.7, 1.0)
        first.handler.handle_loss(connections.LossReason.MALFORMED)
        second = self.pool.opened[1]
        second.respond()
        self.finish_stream(second)
        self.check_whole_stream(transport)

    def test_begun_stream_waits_for_a_full_server_while_its_own_has_room(self):
        self.register("pool", 2)
        self.allow_retries("pool", 5)
        started = {"10.0.1.0:80": [], "10.0.1.1:80": []}
        for number in range(8):
            self.request(b"summary", b"q%d" % number)
            connection = self.start_stream()
            started[connection.address].append(connection)
        broken, ended = started["10.0.1.0:80"][:2]
        ended.end()
        broken.handler.handle_loss(connections.LossReason.MALFORMED)
        self.wait(0.1)
        newest = self.pool.opened[-1]
        self.assertIsNot(newest, broken)
        self.assertEqual(newest.request_id, broken.request_id)
        self.assertEqual(newest.address, broken.address)

    def fill_queue(self):
        for number in range(3):
            self.request(b"summary", b"other-%d" % number)
        for number in range(40):
            self.request(b"summary", b"waiting-%d" % number)

    def test_begun_stream_is_not_refused_for_a_long_queue(self):
        self.register("pool", 1)
        self.allow_retries("pool", 5)
        transport = self.request(b"summary")
        first = self.start_stream()
        self.fill_queue()
        first.handler.handle_loss(connections.LossReason.MALFORMED)
        newest = self.pool.opened[-1]
        self.assertEqual(newest.request_id, b"q1")
        newest.respond()
        self.finish_stream(newest)
        self.check_whole_stream(transport)

    def test_begun_stream_waits_for_a_server_while_there_is_none(self):
        self.register("pool", 1)
        self.allow_retries("pool", 5)
        transport = self.request(b"summary")
        first = self.start_stream()
        self.deployment.store_reads.record_read(100.0)
        self.assertTrue(self.deployment.apply_removal("pool-0", 100.0))
        first.handler.handle_loss(connections.LossReason.MALFORMED)
        # Longer than a request that has not begun may wait.
        self.wait(1.6)
        self.register("pool", 2)
        self.wait(0.1)
        newest = self.pool.opened[-1]
        self.assertIsNot(newest, first)
        newest.respond()
        self.finish_stream(newest)
        self.check_whole_stream(transport)

    @settings(max_examples=60)
    @given(
        server_count=strategies.integers(1, 4),
        retries=strategies.integers(0, 6),
        silences=strategies.lists(
            strategies.tuples(
                strategies.sets(strategies.integers(0, 3), min_size=1),
                strategies.integers(10, 32),
            ),
            max_size=3,
        ),
        gap=strategies.integers(5, 20),
    )
    def test_every_stream_of_sound_servers_is_whole(
        self, server_count, retries, silences, gap
    ):
        self.setUp()
        self.register("pool", server_count)
        self.allow_retries("pool", retries)
        steps = self.list_silent_steps(silences, gap)
        transports = []
        for number, silent in enumerate(steps):
            if number < 12:
                transports.append(self.request(b"summary", b"q%d" % number))
            for connection in list(self.pool.opened):
                if connection.address not in silent:
                    connection.step(8)
            self.clock.advance(0.05)
        requests = [item.request_id for item in self.pool.opened]
        self.assertLessEqual(len(requests) - len(set(requests)), retries)
        for transport in transports:
            if not transport.value().startswith(b"HTTP/1.1 503 "):
                self.check_whole_stream(transport, 8)

    @staticmethod
    def list_silent_steps(silences, gap):
        steps = [set()] * 4
        for servers, length in silences:
            silent = {f"10.0.1.{number}:80" for number in servers}
            steps += [silent] * length + [set()] * gap
        return steps + [set()] * 60


if __name__ == "__main__":
    unittest.main()
