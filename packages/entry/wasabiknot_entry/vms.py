"""Polls the platform's list of VMs."""

import msgspec
import treq
from twisted.internet import task

from wasabiknot_entry import agents, journal
from wasabiknot_kernel import events, messages, wire

POLL_INTERVAL_S = 1.0
POLL_TIMEOUT_S = 0.9


class VmListReader:
    """Polls the list of VMs; the last list stays in use while polls fail.

    :param url: base URL of the service that provides the list.
    :param bus: ``mailboxes.MessageBus``.
    :param reactor: Twisted reactor.
    """

    def __init__(self, url, bus, reactor):
        self._url = f"{url}/v1/vms"
        self._bus = bus
        self._http = agents.create_client(reactor, POLL_TIMEOUT_S)
        self._poll_loop = task.LoopingCall(self._poll)
        self._poll_loop.clock = reactor
        self._is_unavailable = False
        self._last_data = None

    def start(self):
        """Starts polling."""
        self._poll_loop.start(POLL_INTERVAL_S).addErrback(journal.log_failure, "vms")

    def _poll(self):
        read = self._http.get(self._url, timeout=POLL_TIMEOUT_S)
        read.addCallback(treq.content)
        read.addCallback(self._handle_list)
        read.addErrback(self._handle_failure)
        return read

    def _handle_list(self, data):
        self._is_unavailable = False
        if data == self._last_data:
            return
        listed = msgspec.json.decode(data, type=wire.VmList)
        self._last_data = data
        self._bus.publish(messages.VmsListed(listed.workers, listed.entries))

    def _handle_failure(self, failure):
        if not self._is_unavailable:
            self._is_unavailable = True
            journal.write(events.Event.VMS_LOST, error=failure.getErrorMessage())
