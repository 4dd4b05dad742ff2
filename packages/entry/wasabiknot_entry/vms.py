"""The task that reads the platform's list of VMs."""

import msgspec
import treq
from treq import client as treq_client
from twisted.internet import task
from twisted.web import client

from wasabiknot_entry import journal
from wasabiknot_kernel import events, messages, wire

READ_INTERVAL_S = 1.0
READ_TIMEOUT_S = 0.9


class Vms:
    """Reads the list of VMs regularly; the last list stays in force.

    :param url: base URL of the list.
    :param post: message delivery.
    :param reactor: Twisted reactor.
    """

    def __init__(self, url, post, reactor):
        self._url = f"{url}/v1/vms"
        self._post = post
        agent = client.Agent(reactor, connectTimeout=READ_TIMEOUT_S)
        self._http = treq_client.HTTPClient(agent)
        self._reader = task.LoopingCall(self._read)
        self._reader.clock = reactor
        self._is_lost = False
        self._last = None

    def start(self):
        """Starts to read."""
        self._reader.start(READ_INTERVAL_S).addErrback(journal.log_failure, "vms")

    def _read(self):
        read = self._http.get(self._url, timeout=READ_TIMEOUT_S)
        read.addCallback(treq.content)
        read.addCallback(self._take)
        read.addErrback(self._lose)
        return read

    def _take(self, data):
        self._is_lost = False
        if data == self._last:
            return
        listed = msgspec.json.decode(data, type=wire.VmList)
        self._last = data
        self._post.send(messages.VmsListed(listed.workers, listed.entries))

    def _lose(self, failure):
        if not self._is_lost:
            self._is_lost = True
            journal.write(events.Event.VMS_LOST, error=failure.getErrorMessage())
