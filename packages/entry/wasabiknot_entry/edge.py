"""The entry program on a platform with a store."""

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

from wasabiknot_entry import (
    addresses,
    connections,
    duties,
    edge_settings,
    followers,
    gateways,
    gauges,
    gossip,
    journal,
    pages,
)
from wasabiknot_kernel import allowances, deployments, events, members, releases, routes
from wasabiknot_platform import configurations, servers as platform_servers, stores

SETTINGS_VARIABLE = "WASABIKNOT_SETTINGS"
EXIT_BAD_SETTINGS = 2
EXIT_NOT_LISTENING = 3
BACKLOG = 512
NOT_READY = 503
CONNECT_TIMEOUT_S = 0.4
STORE_CONNECT_TIMEOUT_S = 0.6
# Time between looks for connections that have been idle for too long.
SWEEP_S = 0.2
REVIEW_S = 0.1
WIDE_LINK_MBPS = 50.0
# Time for which a read of configurations waits for the next one.
CONFIGURATION_WAIT_MS = 1_500
MEMBER_WAIT_MS = 5_000
# Polls of registrations within the time that a leaving server may get work.
POLLS_PER_BOUND = 4
# Interval at which the settings file is looked at, as it may change unannounced.
SETTINGS_CHECK_S = 1.0
# After SIGTERM callers still come until the balancer has noticed. What is taken
# later may not be finished in time.
NOTICE_S = 2.7
GRACE_MARGIN_S = 0.7
DRAIN_CHECK_S = 0.05
LAST_BYTES_S = 0.05


class Schedule:
    """What the gateway sees of the deployment.

    :param deployment: ``deployments.Deployment``.
    """

    connect_timeout_s = CONNECT_TIMEOUT_S

    def __init__(self, deployment):
        self._deployment = deployment
        self.find_dispatcher = deployment.find_dispatcher
        self.list_dispatchers = deployment.list_dispatchers
        self.find_budget = deployment.find_budget
        self.allowances = deployment.allowances
        self.crashes = deployment.crashes
        self.note_lost = deployment.note_lost
        self.note_unreached = deployment.note_unreached
        self.note_evidence = deployment.note_evidence

    @property
    def table(self):
        """The configuration in force, or ``None``."""
        return self._deployment.table

    @property
    def is_ready(self):
        """Whether requests can be decided on."""
        return self._deployment.is_ready

    def measure_age_ms(self):
        """Age of the newest read of the store, in milliseconds."""
        return self._deployment.measure_age_ms(reactor.seconds())


class Entry:
    """All tasks of one entry.

    :param settings: ``edge_settings.Settings``.
    :param path: path of the file that they were read from.
    """

    def __init__(self, settings, path):
        self._settings = settings
        self._path = pathlib.Path(path)
        self._changed_ns = self._find_change()
        self._run = secrets.token_hex(4)
        self._member = members.Member(
            settings.name,
            self._run,
            settings.host,
            settings.ports[0],
            settings.domain,
            _measure_capacity(settings),
        )
        rng = random.Random(secrets.randbits(64))
        policy = _create_policy(settings)
        self._deployment = deployments.Deployment(self._member, policy, rng)
        metrics = gauges.Gauges()
        schedule = Schedule(self._deployment)
        self._gateway = gateways.Gateway(reactor, rng, schedule, metrics)
        pool = connections.Pool(reactor, STORE_CONNECT_TIMEOUT_S)
        self._store = followers.Store(reactor, pool, settings.store_address)
        self._health = followers.Health(reactor, self._deployment)
        self._turn = followers.Turn(
            lambda: self._deployment.is_reader(reactor.seconds())
        )
        self._gossip = gossip.Gossip(reactor, self._deployment, pool, self._take_facts)
        self._metrics = metrics
        self._is_stopping = False
        self.exit_code = 0

    @property
    def is_ready(self):
        """Whether this entry takes new connections."""
        return self._deployment.is_ready and not self._is_stopping

    def _answer_ready(self, request):
        if not self.is_ready:
            request.setResponseCode(NOT_READY)
        return b""

    def start(self):
        """Opens the sockets and starts the tasks, or ends the program."""
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
        ready = pages.create_factory(lambda path: self._answer_ready)
        self._listen(settings.ready_address, ready)
        port = settings.ports[0]
        self._listen(
            f"{settings.host}:{port}",
            gossip.create_factory(self._deployment, self._metrics.render),
        )
        reactor.listenUDP(port, self._gossip, interface=settings.host)
        self._follow(stores.OPERATOR_TOPIC, CONFIGURATION_WAIT_MS, lambda: 0.0)
        self._follow(stores.SERVER_TOPIC, 0, self._find_poll_s)
        self._follow(stores.MEMBER_TOPIC, MEMBER_WAIT_MS, lambda: 0.0)
        self._follow(stores.RELEASE_TOPIC, MEMBER_WAIT_MS, lambda: 0.0)
        self._announce()
        self._loop(self._gateway.pool.sweep, SWEEP_S, "sweep")
        self._loop(self._review, REVIEW_S, "review")
        self._loop(self._gossip.send_digest, members.DIGEST_INTERVAL_S, "digest")
        duties.Duties(reactor, self._deployment, self._store, self._take_facts).start()
        self._loop(self._check_settings, SETTINGS_CHECK_S, "settings")
        signal.signal(signal.SIGHUP, self._note_hangup)
        signal.signal(signal.SIGTERM, self._note_stop)
        journal.write(events.Event.STARTED, entry=settings.name, run=self._run)

    def _listen(self, address, factory):
        endpoint = addresses.parse_address(address)
        factory.noisy = False
        reactor.listenTCP(
            endpoint.port, factory, backlog=BACKLOG, interface=endpoint.host
        )

    def _loop(self, function, interval_s, name):
        loop = task.LoopingCall(function)
        loop.clock = reactor
        loop.start(interval_s, now=False).addErrback(journal.log_failure, name)

    def _follow(self, topic, wait_ms, find_pause_s):
        follower = followers.Follower(
            reactor,
            self._store,
            self._deployment.find_topic(topic),
            lambda changed, source: self._take_facts(topic, changed, source),
            self._health,
            wait_ms,
            self._turn,
            find_pause_s,
        )
        follower.start()

    def _find_poll_s(self):
        return self._settings.bounds.leaving_ms / 1_000 / POLLS_PER_BOUND

    def _announce(self):
        member = self._member
        call = stores.build_append(
            stores.MEMBER_TOPIC, member.name, msgspec.json.encode(member)
        )
        sent = self._store.call(call)
        sent.addCallback(self._check_announced)
        sent.addErrback(lambda _: reactor.callLater(0.5, self._announce))

    def _check_announced(self, response):
        if response.status != stores.OK:
            raise followers.StoreError(f"status {response.status}")

    def _review(self):
        self._deployment.tick(reactor.seconds())
        self._turn.review()

    # Settings

    def _find_change(self):
        try:
            return self._path.stat().st_mtime_ns
        except OSError:
            return 0

    def _note_hangup(self, number, frame):
        reactor.callFromThread(self._reload)

    def _note_stop(self, number, frame):
        reactor.callFromThread(self._stop)

    def _stop(self):
        # A second signal finds the shutdown on its way.
        if not self._is_stopping:
            reactor.stop()

    def _check_settings(self):
        changed_ns = self._find_change()
        if changed_ns != self._changed_ns:
            self._changed_ns = changed_ns
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
        before, self._settings = self._settings, loaded.unwrap()
        self._deployment.set_policy(_create_policy(self._settings))
        changed = [
            name
            for name in self._settings.__struct_fields__
            if getattr(before, name) != getattr(self._settings, name)
        ]
        journal.write(events.Event.SETTINGS_READ, changed=", ".join(changed) or "none")

    # Facts

    def _take_facts(self, topic, changed, source):
        if topic == stores.SERVER_TOPIC:
            self._deployment.has_servers = True
        takers = {
            stores.OPERATOR_TOPIC: self._take_order,
            stores.SERVER_TOPIC: self._take_server,
            stores.MEMBER_TOPIC: self._take_member,
            stores.RELEASE_TOPIC: self._take_release,
        }
        take = takers.get(topic)
        if take is None:
            return
        for fact in changed:
            try:
                if take(fact, source):
                    self._deployment.find_topic(topic).note_news(fact.offset)
            except (msgspec.MsgspecError, ValueError) as error:
                journal.write(
                    events.Event.FACT_UNREADABLE,
                    topic=topic,
                    key=fact.key,
                    offset=fact.offset,
                    error=str(error),
                )

    def _take_order(self, fact, source):
        if fact.value is None:
            return True
        if fact.key.startswith(configurations.ORDER_PREFIX):
            return self._take_release_order(fact)
        if fact.key != configurations.CONFIGURATION_KEY:
            return True
        found = configurations.decode_configuration(fact.value)
        table = routes.RouteTable(found)
        if self._deployment.take_configuration(table, reactor.seconds()):
            journal.write(
                events.Event.TABLE_IN_FORCE, version=table.version, source=source
            )
        return True

    def _take_release_order(self, fact):
        order = configurations.decode_order(fact.value, fact.offset)
        if self._deployment.releases.apply_order(order, reactor.seconds()):
            journal.write(
                events.Event.RELEASE_ORDERED,
                service=order.service,
                target=order.target,
                duration_s=order.duration_s,
                offset=order.offset,
            )
        return True

    def _take_release(self, fact, source):
        if fact.value is None:
            return True
        release = msgspec.json.decode(fact.value, type=releases.Release)
        now_ms = time.time() * 1_000
        self._deployment.releases.apply_record(release, reactor.seconds(), now_ms)
        journal.write(
            events.Event.RELEASE_PHASE,
            service=release.service,
            target=release.target,
            phase=release.phase.value,
            reason=release.reason,
            source=source,
        )
        return True

    def _take_server(self, fact, source):
        now_s = reactor.seconds()
        if fact.value is None:
            if self._deployment.take_removal(fact.key, now_s):
                self._log_server(fact.key, None, "removed", source)
            return True
        found = platform_servers.decode_registration(fact.key, fact.value)
        before = self._deployment.find_server(fact.key)
        is_known = before is not None and not before.is_gone
        is_new = not is_known or before.registration.state is not found.state
        is_changed = is_new or before.registration != found
        self._deployment.take_registration(found, now_s)
        if is_new:
            self._log_server(fact.key, found, found.state.value, source)
        return is_changed

    def _log_server(self, server_id, found, state, source):
        journal.write(
            events.Event.SERVER_STATE,
            server=server_id,
            service=found.service if found else "",
            address=found.address if found else "",
            state=state,
            source=source,
        )

    def _take_member(self, fact, source):
        if fact.value is None:
            self._deployment.roster.remove(fact.key)
            journal.write(events.Event.MEMBER_GONE, peer=fact.key)
            return True
        member = msgspec.json.decode(fact.value, type=members.Member)
        self._deployment.roster.take_member(member, reactor.seconds())
        address = f"{member.host}:{member.port}"
        journal.write(
            events.Event.MEMBER_FOUND, peer=member.name, address=address, run=member.run
        )
        return True

    # Stop

    def drain(self):
        """Shuts down gracefully: finishes what runs, then ends.

        :return: deferred that fires when nothing is in flight, or when the time
            for it is over; ``None`` if the program never listened.
        """
        if self.exit_code:
            return None
        self._is_stopping = True
        self._deployment.is_stopping = True
        self._gateway.stop(NOTICE_S)
        journal.write(events.Event.STOPPING, running=len(self._gateway))
        now_s = reactor.seconds()
        end_s = now_s + self._settings.bounds.grace_s - GRACE_MARGIN_S
        return self._wait_until_empty(now_s + NOTICE_S, end_s)

    def _wait_until_empty(self, notice_s, end_s):
        now_s = reactor.seconds()
        is_done = now_s >= notice_s and not len(self._gateway)
        if is_done or now_s >= end_s:
            self._gateway.close_idle()
            journal.write(events.Event.STOPPED, entry=self._settings.name)
            return task.deferLater(reactor, LAST_BYTES_S)
        waited = task.deferLater(reactor, DRAIN_CHECK_S)
        return waited.addCallback(lambda _: self._wait_until_empty(notice_s, end_s))


def _measure_capacity(settings):
    # Beyond some width the link no longer matters to a leader.
    return min(settings.link_mbps, WIDE_LINK_MBPS) * settings.cpu_cores


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
    )


def run():
    """Runs the entry program.

    :return: exit code.
    """
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        print(f"{SETTINGS_VARIABLE}: expected the path of a file", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    loaded = edge_settings.load_settings(path)
    if not pipeline.is_successful(loaded):
        print(loaded.failure(), file=sys.stderr)
        return EXIT_BAD_SETTINGS
    journal.configure("INFO")
    journal.observe_failures()
    entry = Entry(loaded.unwrap(), path)
    # What the imports left behind stays; no collection needs to walk over it.
    gc.freeze()
    reactor.callWhenRunning(entry.start)
    reactor.addSystemEventTrigger("before", "shutdown", entry.drain)
    reactor.run()
    return entry.exit_code


if __name__ == "__main__":
    sys.exit(run())
