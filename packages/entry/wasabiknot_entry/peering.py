"""The task that exchanges datagrams and requests with other entries."""

import functools
import random

import msgspec
import treq
from treq import client as treq_client
from twisted.internet import protocol, task
from twisted.web import client, http

from wasabiknot_entry import addresses, headers, journal
from wasabiknot_kernel import digests, effects, events, exceptions, messages

CATCH_UP_INTERVAL_S = 1.0
FORWARD_TIMEOUT_S = 1.0


@functools.singledispatch
def _to_message(datagram):
    raise TypeError(f"no message for {type(datagram).__name__}")


@_to_message.register
def _(datagram: digests.Digest):
    return messages.DigestReceived(datagram)


@_to_message.register
def _(datagram: digests.PreemptionRequest):
    return messages.YieldReceived(datagram)


@_to_message.register
def _(datagram: digests.CrashNotice):
    return messages.CrashReceived(datagram.crash)


class Peering(protocol.DatagramProtocol):
    """Sends and receives the datagrams of this entry.

    :param node: the scheduling node; read only.
    :param post: message delivery.
    """

    def __init__(self, node, post):
        self._node = node
        self._post = post
        post.subscribe(effects.SendDigest, self._send_digest)
        post.subscribe(effects.SendYield, self._send_yield)
        post.subscribe(effects.SendCrash, self._send_crash)

    def datagramReceived(self, datagram, addr):  # noqa: N802
        """Takes a datagram from a peer."""
        try:
            message = _to_message(digests.decode_datagram(datagram))
        except msgspec.MsgspecError as error:
            journal.write(events.Event.DATAGRAM_BAD, peer=addr[0], error=str(error))
            return
        self._post.send(message)

    def _send_digest(self, effect):
        self._send_all(effect.digest)

    def _send_crash(self, effect):
        self._send_all(digests.CrashNotice(effect.crash))

    def _send_all(self, datagram):
        data = digests.encode_datagram(datagram)
        for peer in self._node.roster:
            self._write(data, peer)

    def _send_yield(self, effect):
        peer = self._node.roster.find(effect.entry)
        if peer is not None:
            self._write(digests.encode_datagram(effect.demand), peer)

    def _write(self, data, peer):
        if self.transport is not None:
            endpoint = addresses.parse_address(peer.vm.datagram_address)
            self.transport.write(data, (endpoint.host, endpoint.port))


class CatchUp:
    """Asks peers for the folded state while this entry has none.

    :param node: the scheduling node; read only.
    :param post: message delivery.
    :param reactor: Twisted reactor.
    """

    def __init__(self, node, post, reactor):
        self._node = node
        self._post = post
        agent = client.Agent(reactor, connectTimeout=1.0)
        self._http = treq_client.HTTPClient(agent)
        self._asker = task.LoopingCall(self._ask)
        self._asker.clock = reactor

    def start(self):
        """Starts to ask."""
        self._asker.start(CATCH_UP_INTERVAL_S, now=False).addErrback(
            journal.log_failure, "catch-up"
        )

    def _ask(self):
        peers = list(self._node.roster)
        if self._node.configuration is not None or not peers:
            return None
        address = random.choice(peers).vm.http_address
        asked = self._http.get(f"http://{address}/peer/v1/state", timeout=1.0)
        asked.addCallback(_read_state)
        asked.addCallback(lambda text: self._post.send(messages.StateReceived(text)))
        return asked.addErrback(lambda _: None)


def _read_state(response):
    if response.code != http.OK:
        raise ConnectionError(f"status {response.code}")
    return treq.text_content(response)


class Forwarder:
    """Hands requests over to the entry that holds their key.

    :param node: the scheduling node; read only.
    :param reactor: Twisted reactor.
    """

    def __init__(self, node, reactor):
        self._node = node
        self._reactor = reactor
        agent = client.Agent(reactor, connectTimeout=FORWARD_TIMEOUT_S)
        self._http = treq_client.HTTPClient(agent)

    def forward(self, handover):
        """Sends a request to a peer and relays the whole answer.

        :param handover: ``handovers.Handover``.
        """
        peer = self._node.roster.find(handover.entry)
        if peer is None:
            handover.fail(exceptions.ErrorKind.OWNER_GONE)
            return
        origin = handover.exchange.origin
        url = (
            f"http://{peer.vm.http_address}/v1/services/{origin.service}"
            f"/calls/{origin.call}"
        )
        fields = {
            headers.CUSTOMER: origin.customer,
            headers.KEY: origin.key,
            headers.FORWARDED: "1",
        }
        data = msgspec.json.encode(handover.exchange.body)
        sent = self._http.post(
            url,
            data=data,
            headers=fields,
            unbuffered=True,
            timeout=handover.timeout_s,
        )
        sent.addCallback(self._relay, handover)
        sent.addErrback(lambda _: handover.fail(exceptions.ErrorKind.KEY_ELSEWHERE))

    def _relay(self, response, handover):
        content_type = response.headers.getRawHeaders("content-type", [""])[0]
        retry_after = response.headers.getRawHeaders("retry-after", [None])[0]
        handover.begin(response.code, content_type, retry_after)
        response.deliverBody(RelayedBody(handover, self._reactor))


class RelayedBody(protocol.Protocol):
    """Relays the body of a peer's answer.

    :param handover: the request that was handed over.
    :param reactor: Twisted reactor.
    """

    def __init__(self, handover, reactor):
        self._handover = handover
        self._timer = reactor.callLater(handover.timeout_s, self._time_out)

    def _time_out(self):
        self._handover.fail(exceptions.ErrorKind.INCOMPLETE)
        self.transport.loseConnection()

    def dataReceived(self, data):  # noqa: N802
        """Relays bytes."""
        self._handover.write(data)

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        """Ends the answer; without its last byte it is marked as cut short."""
        if self._timer.active():
            self._timer.cancel()
        if reason.check(client.ResponseDone):
            self._handover.finish()
        else:
            self._handover.fail(exceptions.ErrorKind.INCOMPLETE)
