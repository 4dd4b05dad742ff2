"""Command-line program that runs an entry."""

import argparse
import secrets
import sys

import klein
from returns import pipeline
from twisted.internet import reactor, task

from wasabiknot_entry import (
    addresses,
    backends,
    callers,
    clocks,
    controls,
    journal,
    loads,
    logs,
    mailboxes,
    metrics,
    peering,
    schedulers,
    settings as entry_settings,
    sites,
    vms,
)
from wasabiknot_kernel import events, homes, messages, node as nodes

EXIT_BAD_SETTINGS = 2
LISTEN_BACKLOG = 512
DRAIN_CHECK_INTERVAL_S = 0.1
FINAL_FLUSH_DELAY_S = 0.2


class Entry:
    """Creates, starts and shuts down the tasks of an entry.

    :param settings: ``settings.Settings``.
    """

    def __init__(self, settings):
        self._settings = settings
        self._bus = mailboxes.MessageBus()
        self._clock = clocks.Clock(reactor)
        self._incarnation = secrets.token_hex(8)
        node = nodes.create_node(
            nodes.NodeSettings(
                name=settings.name,
                incarnation=self._incarnation,
                placement=settings.placement,
                queue_limit=settings.queue_limit,
            )
        )
        journal.subscribe(self._bus)
        self._scheduler = schedulers.Scheduler(node, self._bus, self._clock, reactor)
        forwarder = peering.Forwarder(node, reactor)
        self._caller_api = callers.CallerApi(settings, self._bus, forwarder.forward)
        self._caller_api.is_ready = lambda: node.is_ready and not node.is_stopping
        self._metrics = metrics.Metrics(settings, self._bus)
        self._backend_client = backends.BackendClient(
            self._bus, reactor, self._caller_api.find_exchange
        )
        self._peer_protocol = peering.PeerProtocol(node, self._bus)
        self._log_client = logs.LogClient(
            settings.log_url, self._bus, reactor, lambda: node.replica.next_offset
        )
        self._tasks = [
            self._scheduler,
            self._caller_api,
            self._log_client,
            vms.VmListReader(settings.vms_url, self._bus, reactor),
            loads.LoadReader(node, self._bus, reactor, self._clock),
            peering.StateFetcher(node, self._bus, reactor),
        ]
        self._ports = []

    def start(self):
        """Opens the listening sockets and starts the tasks."""
        self._listen(self._settings.caller_address, self._create_caller_app())
        self._listen(self._settings.control_address, self._create_control_app())
        endpoint = addresses.parse_address(self._settings.datagram_address)
        reactor.listenUDP(endpoint.port, self._peer_protocol, interface=endpoint.host)
        for entry_task in self._tasks:
            entry_task.start()
        journal.write(
            events.Event.STARTED, entry=self._settings.name, run=self._incarnation
        )

    def _create_caller_app(self):
        app = klein.Klein()
        self._caller_api.add_routes(app)
        return app

    def _create_control_app(self):
        app = klein.Klein()
        self._caller_api.add_routes(app)
        controls.ControlApi(self._scheduler, self._metrics, self._clock).add_routes(app)
        return app

    def _listen(self, address, app):
        endpoint = addresses.parse_address(address)
        site = sites.create_site(app, self._settings.max_body_bytes)
        port = reactor.listenTCP(
            endpoint.port, site, backlog=LISTEN_BACKLOG, interface=endpoint.host
        )
        self._ports.append(port)

    def drain(self):
        """Shuts down gracefully.

        The node accepts no new requests, and the requests in flight are finished.

        :return: deferred that fires when no request is in flight and this entry no
            longer owns newly issued keys, or when the drain timeout expires.
        """
        self._bus.publish(messages.StopWanted())
        deadline_s = reactor.seconds() + self._settings.drain_s
        return self._wait_until_drained(deadline_s)

    def _wait_until_drained(self, deadline_s):
        is_busy = len(self._caller_api) or homes.is_home(self._scheduler.node)
        if not is_busy or reactor.seconds() >= deadline_s:
            self._log_client.stop()
            self._scheduler.stop()
            journal.write(events.Event.STOPPED, entry=self._settings.name)
            return task.deferLater(reactor, FINAL_FLUSH_DELAY_S)
        delayed = task.deferLater(reactor, DRAIN_CHECK_INTERVAL_S)
        return delayed.addCallback(lambda _: self._wait_until_drained(deadline_s))


def run(arguments=None):
    """Runs the entry program.

    :param arguments: command-line arguments; those of the process by default.
    :return: exit status.
    """
    parser = argparse.ArgumentParser(
        prog="wasabiknot-entry",
        description="Schedules requests between callers and backend servers.",
    )
    parser.add_argument(
        "--settings", required=True, metavar="FILE", help="YAML file with the settings"
    )
    options = parser.parse_args(arguments)
    loaded = entry_settings.load_settings(options.settings)
    if not pipeline.is_successful(loaded):
        print(loaded.failure(), file=sys.stderr)
        return EXIT_BAD_SETTINGS
    settings = loaded.unwrap()
    clocks.make_steady(reactor)
    journal.configure(settings.log_level)
    entry = Entry(settings)
    entry.start()
    reactor.addSystemEventTrigger("before", "shutdown", entry.drain)
    reactor.run()
    return 0


if __name__ == "__main__":
    sys.exit(run())
