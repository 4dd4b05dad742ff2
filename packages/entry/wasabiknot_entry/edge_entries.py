"""The entry of a deployment whose shared state is in the platform's store."""

import gc
import os
import pathlib
import random
import secrets
import signal
import sys
import time

import msgspec
from returns import pipeline
from twisted.internet import error, reactor, task
from twisted.python import failure

from wasabiknot_entry import (
    addresses,
    calls,
    change_logs,
    clocks,
    crash_metrics,
    crash_writers,
    deployment_views,
    drain_orders,
    edge_settings,
    eventloops,
    followers,
    gateways,
    gossip,
    inputs,
    journal,
    malformed_responses,
    pages,
    peer_traffic,
    pools,
    release_writers,
    request_metrics,
    restorations,
    server_metrics,
    subscriptions,
)
from wasabiknot_kernel import (
    allowances,
    crash_records,
    decoding,
    deployments,
    events,
    members,
    regions,
    release_records,
    routes,
)
from wasabiknot_platform import configurations, servers as platform_servers, stores

SETTINGS_VARIABLE = "WASABIKNOT_SETTINGS"
EXIT_BAD_SETTINGS = 2
EXIT_NOT_LISTENING = 3
LISTEN_BACKLOG = 512
NOT_READY = 503
STORE_CONNECT_TIMEOUT_S = 0.6
TICK_INTERVAL_S = 0.1
# Delay of the event loop from which it is logged.
LONG_LAG_S = 0.25
MAX_EFFECTIVE_LINK_MBPS = 50.0
# Number of polls of the registrations within ``bounds.leaving_ms``, after which a
# leaving backend server must get no more requests.
POLLS_PER_LEAVING_BOUND = 4
# The settings file may change without a SIGHUP, so its mtime is polled.
SETTINGS_CHECK_INTERVAL_S = 1.0
# After SIGTERM the load balancer still routes connections here until its readiness
# check fails. Requests accepted later may not finish within the grace period.
BALANCER_DELAY_S = 2.7
DRAIN_CHECK_INTERVAL_S = 0.05
# Longest time in which the last responses are written. It is part of the margin that
# ``stops`` keeps at the end of the grace period.
MAX_FLUSH_S = 0.4
FINAL_FLUSH_DELAY_S = 0.05
PUBLISH_RETRY_S = 0.5
# Characters of the key of an unreadable record that are logged.
MAX_LOGGED_KEY = 200


class Entry:
    """One entry process: its sockets, periodic tasks and shutdown.

    :param settings: ``edge_settings.Settings``.
    :param path: path of the settings file, for reloads.
    :param received: ``start_signals.StartSignals`` that have come since the start.
    """

    def __init__(self, settings, path, received):
        self._received = received
        self._settings = settings
        self._path = pathlib.Path(path)
        self._settings_mtime_ns = self._read_settings_mtime_ns()
        self._run_id = secrets.token_hex(4)
        self._member = members.Member(
            settings.name,
            self._run_id,
            settings.host,
            settings.ports[0],
            settings.domain,
            _compute_capacity(settings),
            _find_relay_port(settings),
            members.CHANGES_FORMAT,
        )
        self._rng = rng = random.Random(secrets.randbits(64))
        policy = _create_policy(settings)
        self._deployment = deployments.Deployment(self._member, policy, rng)
        metrics = request_metrics.RequestMetrics()
        view = deployment_views.DeploymentView(self._deployment)
        self._loop_clock = eventloops.watch(reactor)
        input_scheduler = inputs.InputScheduler(reactor)
        self._gateway = gateways.Gateway(
            reactor, rng, view, metrics, self._loop_clock, input_scheduler
        )
        self._gateway.buffers.max_bytes = settings.buffer_bytes
        self._control_pool = pool = pools.Pool(
            reactor, STORE_CONNECT_TIMEOUT_S, input_scheduler=input_scheduler
        )
        self._store = followers.StoreClient(reactor, pool, settings.store_address)
        self._health = followers.StoreHealth(reactor, self._deployment)
        self._reader_role = followers.ReaderRole(
            lambda: self._deployment.should_read_store(reactor.seconds())
        )
        self._peer_traffic = peer_traffic.PeerTraffic(reactor)
        self._gossip = gossip.Gossip(
            reactor,
            self._deployment,
            pool,
            self._apply_facts,
            self._peer_traffic,
            settings.link_mbps,
        )
        self._crash_writer = crash_writers.CrashWriter(
            reactor, self._deployment, self._store
        )
        self._metrics = metrics
        self._server_metrics = server_metrics.ServerMetrics(
            reactor, self._deployment.eligibility, self._deployment.list_paces
        )
        metrics.add_collector(self._server_metrics)
        self._crash_metrics = crash_metrics.CrashMetrics()
        metrics.add_collector(self._crash_metrics)
        metrics.add_collector(self._peer_traffic)
        metrics.add_collector(input_scheduler)
        metrics.add_collector(malformed_responses.Collector())
        self._restorations = restorations.RestorationHandler(
            reactor, rng, self._deployment, self._apply_facts, self._publish_member
        )
        # Topics of which this entry knows what they held at its start.
        self._applied_topics = set()
        self._wall_clock = clocks.WallClockWatch(time.time, reactor.seconds)
        self._is_stopping = False
        self.exit_code = 0

    @property
    def name(self):
        """Name of the entry."""
        return self._settings.name

    @property
    def is_ready(self):
        """Whether the load balancer may route new connections here."""
        return self._deployment.is_ready and not self._is_stopping

    def _serve_readiness(self, request):
        if not self.is_ready:
            request.setResponseCode(NOT_READY)
        return b""

    def start(self):
        """Opens the sockets and starts the tasks; stops the reactor on failure."""
        try:
            self._start()
        except error.CannotListenError as failure:
            journal.write(events.Event.NOT_LISTENING, error=str(failure))
            self.exit_code = EXIT_NOT_LISTENING
            self._is_stopping = True
            reactor.stop()

    def _start(self):
        settings = self._settings
        self._listen(settings.caller_address, self._gateway.create_factory())
        ready = pages.create_factory(lambda path: self._serve_readiness)
        self._listen(settings.ready_address, ready)
        if self._member.relay_port:
            relay_address = f"{settings.host}:{self._member.relay_port}"
            self._listen(relay_address, self._gateway.create_factory(is_relay=True))
        port = settings.ports[0]
        self._listen(
            f"{settings.host}:{port}",
            gossip.create_factory(
                self._deployment, self._metrics.render, self._peer_traffic
            ),
        )
        reactor.listenUDP(port, self._gossip, interface=settings.host)
        followed = subscriptions.follow_topics(
            reactor,
            self._store,
            self._deployment,
            self._apply_facts,
            self._health,
            self._reader_role,
            self._rng,
            self._gossip.copy_from,
        )
        for topic, follower in followed.items():
            self._restorations.add_follower(topic, follower)
        self._publish_member()
        self._start_loop(self._check_connections, pools.CHECK_INTERVAL_S, "sweep")
        self._start_loop(self._tick, TICK_INTERVAL_S, "review")
        self._start_loop(self._gossip.send_digest, members.DIGEST_INTERVAL_S, "digest")
        release_writers.ReleaseWriter(
            reactor, self._deployment, self._store, self._apply_facts
        ).start()
        self._start_loop(self._check_settings, SETTINGS_CHECK_INTERVAL_S, "settings")
        signal.signal(signal.SIGHUP, self._handle_sighup)
        signal.signal(signal.SIGTERM, self._handle_sigterm)
        journal.write(events.Event.STARTED, entry=settings.name, run=self._run_id)
        self._act_on_received_signals()

    def _act_on_received_signals(self):
        if self._received.is_reload_due:
            self._reload()
        if self._received.is_stop_due:
            self._stop()

    def _listen(self, address, factory):
        endpoint = addresses.parse_address(address)
        factory.noisy = False
        reactor.listenTCP(
            endpoint.port, factory, backlog=LISTEN_BACKLOG, interface=endpoint.host
        )

    def _start_loop(self, function, interval_s, name):
        loop = task.LoopingCall(run_logged, function, name)
        loop.clock = reactor
        loop.start(interval_s, now=False).addErrback(journal.log_failure, name)

    def _publish_member(self):
        member = self._member
        call = stores.build_append_call(
            stores.MEMBER_TOPIC, member.name, msgspec.json.encode(member)
        )
        sent = self._store.call(call)
        sent.addCallback(self._check_published)
        sent.addErrback(self._retry_publish)

    def _retry_publish(self, failure):
        failure.trap(calls.CallError, followers.StoreError)
        error = failure.getErrorMessage()
        journal.write(events.Event.STORE_LOST, call="member", error=error)
        reactor.callLater(PUBLISH_RETRY_S, self._publish_member)

    def _check_published(self, response):
        if response.status != stores.OK:
            raise followers.StoreError(f"status {response.status}")

    def _tick(self):
        deployment_views.check_pause(self._deployment)
        self._check_wall_clock()
        self._observe_loop()
        self._peer_traffic.check()
        self._gateway.check_departures()
        self._deployment.tick(reactor.seconds())
        self._gateway.check_paths()
        for change in self._deployment.paths.pop_changes():
            change_logs.log_path(change)
        for change in self._deployment.brittleness.pop_changes():
            change_logs.log_brittle(change)
        for change in self._deployment.pop_share_changes(reactor.seconds()):
            change_logs.log_share(change)
            self._metrics.count_share_change(change)
        self._reader_role.update()
        self._crash_writer.check()
        crash_writers.log_observations(self._deployment.crashes, self._crash_metrics)
        self._restorations.check_era()
        for change in self._deployment.eligibility.pop_changes():
            change_logs.log_statement(change)
            self._server_metrics.count(change)

    def _check_connections(self):
        self._gateway.check_connections()
        self._control_pool.check()

    def _check_wall_clock(self):
        step_s = self._wall_clock.pop_step_s()
        if step_s:
            step_ms = round(step_s * 1_000)
            journal.write(events.Event.CLOCK_STEPPED, step_ms=step_ms)

    def _observe_loop(self):
        lag_s = self._loop_clock.pop_longest_delay_s()
        self._metrics.observe_loop_lag(lag_s)
        if lag_s >= LONG_LAG_S:
            journal.write(events.Event.LOOP_BEHIND, lag_ms=round(lag_s * 1_000))

    def _read_settings_mtime_ns(self):
        try:
            return self._path.stat().st_mtime_ns
        except OSError:
            return 0

    def _handle_sighup(self, number, frame):
        reactor.callFromThread(self._reload)

    def _handle_sigterm(self, number, frame):
        reactor.callFromThread(self._stop)

    def _stop(self):
        # Ignores further signals, also those of the turn in which the first one came.
        if not self._is_stopping:
            self._is_stopping = True
            reactor.stop()

    def _check_settings(self):
        mtime_ns = self._read_settings_mtime_ns()
        if mtime_ns != self._settings_mtime_ns:
            self._settings_mtime_ns = mtime_ns
            self._reload()

    def _reload(self):
        try:
            loaded = edge_settings.load_settings(self._path)
        except OSError as error:
            journal.write(events.Event.SETTINGS_BAD, error=str(error))
            return
        if not pipeline.is_successful(loaded):
            journal.write(events.Event.SETTINGS_BAD, error=str(loaded.failure()))
            return
        previous, self._settings = self._settings, loaded.unwrap()
        self._deployment.set_policy(_create_policy(self._settings))
        self._gateway.buffers.max_bytes = self._settings.buffer_bytes
        changed = [
            name
            for name in self._settings.__struct_fields__
            if getattr(previous, name) != getattr(self._settings, name)
        ]
        journal.write(events.Event.SETTINGS_READ, changed=", ".join(changed) or "none")

    def _apply_facts(self, topic, changed, source):
        if topic == stores.SERVER_TOPIC:
            self._deployment.has_servers = True
        elif topic == stores.CRASH_TOPIC:
            self._deployment.has_crashes = True
        elif topic == stores.MEMBER_TOPIC:
            self._deployment.has_members = True
        handlers = {
            stores.OPERATOR_TOPIC: self._apply_operator_fact,
            stores.SERVER_TOPIC: self._apply_server,
            stores.MEMBER_TOPIC: self._apply_member,
            stores.RELEASE_TOPIC: self._apply_release,
            stores.CRASH_TOPIC: self._apply_crash,
        }
        apply = handlers.get(topic)
        if apply is None:
            return
        for fact in changed:
            try:
                if apply(fact, source):
                    self._deployment.get_topic(topic).record_change(fact.offset)
            except Exception as error:
                # The other records hold, whatever is odd about this one.
                journal.write(
                    events.Event.FACT_UNREADABLE,
                    topic=topic,
                    key=fact.key[:MAX_LOGGED_KEY],
                    offset=fact.offset,
                    error=f"{type(error).__name__}: {error}",
                )
        self._applied_topics.add(topic)
        self._restorations.check_topic(topic)

    def _apply_operator_fact(self, fact, source):
        if fact.key.startswith(configurations.DRAIN_PREFIX):
            now_s = reactor.seconds()
            drain_orders.apply_record(self._deployment, fact, now_s, source)
            return True
        if fact.value is None:
            return True
        if fact.key.startswith(configurations.ORDER_PREFIX):
            return self._apply_release_order(fact)
        if fact.key != configurations.CONFIGURATION_KEY:
            return True
        configuration = configurations.decode_configuration(fact.value)
        table = routes.RouteTable(configuration)
        if self._deployment.apply_configuration(table, reactor.seconds()):
            journal.write(
                events.Event.TABLE_IN_FORCE, version=table.version, source=source
            )
        return True

    def _apply_release_order(self, fact):
        order = configurations.decode_order(fact.value, fact.offset)
        is_news = stores.OPERATOR_TOPIC in self._applied_topics
        now_s = reactor.seconds()
        if self._deployment.releases.apply_order(order, now_s, is_news):
            journal.write(
                events.Event.RELEASE_ORDERED,
                service=order.service,
                target=order.target,
                duration_s=order.duration_s,
                offset=order.offset,
            )
        return True

    def _apply_release(self, fact, source):
        if fact.value is None:
            return True
        release = decoding.decode_json(fact.value, release_records.Release)
        now_ms = time.time() * 1_000
        if not self._deployment.releases.apply_record(
            release, reactor.seconds(), now_ms
        ):
            return True
        journal.write(
            events.Event.RELEASE_PHASE,
            service=release.service,
            target=release.target,
            phase=release.phase.value,
            reason=release.reason,
            source=source,
        )
        return True

    def _apply_crash(self, fact, source):
        if fact.value is None:
            self._deployment.crashes.remove_stored(fact.key)
            return True
        crash = decoding.decode_json(fact.value, crash_records.Crash)
        self._deployment.crashes.add_stored(crash, reactor.seconds())
        return True

    def _apply_server(self, fact, source):
        now_s = reactor.seconds()
        if fact.value is None:
            if self._deployment.apply_removal(fact.key, now_s):
                self._log_server(fact.key, None, "removed", source)
            else:
                self._log_delayed_removal(fact.key, now_s)
            return True
        registration = platform_servers.decode_registration(fact.key, fact.value)
        previous = self._deployment.find_server(fact.key)
        is_known = previous is not None and not previous.is_gone
        is_new = not is_known or previous.registration.state is not registration.state
        is_changed = is_new or previous.registration != registration
        self._deployment.apply_registration(registration, now_s)
        if is_new:
            self._log_server(fact.key, registration, registration.state.value, source)
        return is_changed

    def _log_server(self, server_id, registration, state, source):
        journal.write(
            events.Event.SERVER_STATE,
            server=server_id,
            service=registration.service if registration else "",
            address=registration.address if registration else "",
            state=state,
            source=source,
        )

    def _log_delayed_removal(self, server_id, now_s):
        due_s = self._deployment.store_reads.find_removal_s(server_id)
        if due_s is not None:
            journal.write(
                events.Event.REMOVAL_DELAYED,
                server=server_id,
                delay_ms=round((due_s - now_s) * 1_000),
            )

    def _apply_member(self, fact, source):
        if fact.value is None:
            self._deployment.roster.remove(fact.key)
            journal.write(events.Event.MEMBER_GONE, peer=fact.key)
            return True
        member = members.decode_member(fact.value)
        self._deployment.roster.apply_member(member, reactor.seconds())
        address = f"{member.host}:{member.port}"
        journal.write(
            events.Event.MEMBER_FOUND, peer=member.name, address=address, run=member.run
        )
        return True

    def drain(self):
        """Shuts down gracefully: waits for the requests in flight.

        :return: deferred that fires when no request is in flight or the grace
            period ends; ``None`` if the sockets could not be opened.
        """
        if self.exit_code:
            return None
        self._is_stopping = True
        self._deployment.is_stopping = True
        self._gateway.stop(BALANCER_DELAY_S, self._settings.bounds.grace_s)
        journal.write(events.Event.STOPPING, running=len(self._gateway))
        return self._wait_until_drained()

    def _wait_until_drained(self):
        if self._gateway.is_drained:
            self._gateway.end_requests()
            return self._wait_until_flushed(reactor.seconds() + MAX_FLUSH_S)
        delayed = task.deferLater(reactor, DRAIN_CHECK_INTERVAL_S)
        return delayed.addCallback(lambda _: self._wait_until_drained())

    def _wait_until_flushed(self, deadline_s):
        delayed = task.deferLater(reactor, FINAL_FLUSH_DELAY_S)
        if not self._gateway.connection_count or reactor.seconds() >= deadline_s:
            journal.write(events.Event.STOPPED, entry=self._settings.name)
            return delayed
        return delayed.addCallback(lambda _: self._wait_until_flushed(deadline_s))


def run_logged(function, name):
    """Runs a periodic task; a failure is logged and doesn't end the task.

    :param function: function of the task.
    :param name: name of the task, for the log.
    :return: what the function returns; ``None`` if it has failed.
    """
    try:
        return function()
    except Exception:
        journal.log_failure(failure.Failure(), name)
        return None


def _find_relay_port(settings):
    # The first port is for digests, facts and metrics.
    first_port, last_port = settings.ports
    return first_port + 1 if last_port > first_port else 0


def _compute_capacity(settings):
    # Bandwidth above this limit does not make an entry a better group leader.
    return min(settings.link_mbps, MAX_EFFECTIVE_LINK_MBPS) * settings.cpu_cores


def _create_policy(settings):
    bounds = settings.bounds
    tolerance = allowances.Tolerance(
        bounds.allowance_window_s, bounds.allowance_overrun, bounds.allowance_slack
    )
    return deployments.Policy(
        bounds.retry_ratio,
        bounds.retry_window_s,
        bounds.retry_slack,
        tolerance,
        bounds.canary_share,
        settings.placement,
        bounds.leaving_ms / 1_000 / POLLS_PER_LEAVING_BOUND,
        bounds.canary_slack,
        settings.has_fair_queueing,
        settings.hedge_share,
        edge_settings.find_warmup_tolerance(bounds),
        regions.build_map(settings.region, settings.domain, settings.domain_regions),
    )


def run(received):
    """Runs the entry process until it is stopped.

    :param received: ``start_signals.StartSignals``.
    :return: process exit code.
    """
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        print(
            f"{SETTINGS_VARIABLE}: expected the path of a settings file",
            file=sys.stderr,
        )
        return EXIT_BAD_SETTINGS
    loaded = edge_settings.load_settings(path)
    if not pipeline.is_successful(loaded):
        print(loaded.failure(), file=sys.stderr)
        return EXIT_BAD_SETTINGS
    clocks.make_steady(reactor)
    journal.configure("INFO")
    journal.log_uncaught_failures()
    entry = Entry(loaded.unwrap(), path, received)
    if received.is_stop_due:
        journal.write(events.Event.STOPPED_EARLY, entry=entry.name)
        return 0
    # Objects created by imports live until exit; garbage collection skips them.
    gc.freeze()
    reactor.callWhenRunning(entry.start)
    reactor.addSystemEventTrigger("before", "shutdown", entry.drain)
    reactor.run()
    return entry.exit_code
