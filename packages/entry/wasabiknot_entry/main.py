"""The entry program."""

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
BACKLOG = 512
DRAIN_CHECK_S = 0.1
LAST_BYTES_S = 0.2


class Entry:
    """All tasks of one entry.

    :param settings: checked settings.
    """

    def __init__(self, settings):
        self._settings = settings
        self._post = mailboxes.Post()
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
        journal.subscribe(self._post)
        self._scheduler = schedulers.Scheduler(node, self._post, self._clock, reactor)
        forwarder = peering.Forwarder(node, reactor)
        self._callers = callers.Callers(settings, self._post, forwarder.forward)
        self._callers.is_ready = lambda: node.is_ready and not node.is_stopping
        self._metrics = metrics.Metrics(settings, self._post)
        self._backends = backends.Backends(
            self._post, reactor, self._callers.find_exchange
        )
        self._peering = peering.Peering(node, self._post)
        self._log = logs.Log(
            settings.log_url, self._post, reactor, lambda: node.replica.next_offset
        )
        self._tasks = [
            self._scheduler,
            self._callers,
            self._log,
            vms.Vms(settings.vms_url, self._post, reactor),
            loads.Loads(node, self._post, reactor, self._clock),
            peering.CatchUp(node, self._post, reactor),
        ]
        self._ports = []

    def start(self):
        """Opens the sockets and starts the tasks."""
        self._listen(self._settings.caller_address, self._create_caller_app())
        self._listen(self._settings.control_address, self._create_control_app())
        endpoint = addresses.parse_address(self._settings.datagram_address)
        reactor.listenUDP(endpoint.port, self._peering, interface=endpoint.host)
        for item in self._tasks:
            item.start()
        journal.write(
            events.Event.STARTED, entry=self._settings.name, run=self._incarnation
        )

    def _create_caller_app(self):
        app = klein.Klein()
        self._callers.add_routes(app)
        return app

    def _create_control_app(self):
        app = klein.Klein()
        self._callers.add_routes(app)
        controls.Controls(self._scheduler, self._metrics, self._clock).add_routes(app)
        return app

    def _listen(self, address, app):
        endpoint = addresses.parse_address(address)
        site = sites.create_site(app, self._settings.max_body_bytes)
        port = reactor.listenTCP(
            endpoint.port, site, backlog=BACKLOG, interface=endpoint.host
        )
        self._ports.append(port)

    def drain(self):
        """Shuts down gracefully: finishes what runs, takes nothing new.

        :return: deferred that fires when nothing is in flight, or when the time
            for it is over.
        """
        self._post.send(messages.StopWanted())
        deadline_s = reactor.seconds() + self._settings.drain_s
        return self._wait_until_empty(deadline_s)

    def _wait_until_empty(self, deadline_s):
        is_needed = len(self._callers) or homes.is_home(self._scheduler.node)
        if not is_needed or reactor.seconds() >= deadline_s:
            self._log.stop()
            self._scheduler.stop()
            journal.write(events.Event.STOPPED, entry=self._settings.name)
            return task.deferLater(reactor, LAST_BYTES_S)
        waited = task.deferLater(reactor, DRAIN_CHECK_S)
        return waited.addCallback(lambda _: self._wait_until_empty(deadline_s))


def run(arguments=None):
    """Runs the entry program.

    :param arguments: command line; by default that of the process.
    :return: exit code.
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
    journal.configure(settings.log_level)
    entry = Entry(settings)
    entry.start()
    reactor.addSystemEventTrigger("before", "shutdown", entry.drain)
    reactor.run()
    return 0


if __name__ == "__main__":
    sys.exit(run())
