"""Exchanges datagrams, state and forwarded requests with the other entries."""

import functools
import random

import msgspec
import treq
from twisted.internet import protocol, task
from twisted.web import client, http

from wasabiknot_entry import addresses, agents, headers, journal
from wasabiknot_kernel import digests, effects, events, exceptions, messages

STATE_FETCH_INTERVAL_S = 1.0
STATE_CONNECT_TIMEOUT_S = 1.0
FORWARD_CONNECT_TIMEOUT_S = 1.0


@functools.singledispatch
def _build_message(datagram):
    raise TypeError(f"no message for {type(datagram).__name__}")


@_build_message.register
def _(datagram: digests.Digest):
    return messages.DigestReceived(datagram)


@_build_message.register
def _(datagram: digests.PreemptionRequest):
    return messages.YieldReceived(datagram)


@_build_message.register
def _(datagram: digests.CrashNotice):
    return messages.CrashReceived(datagram.crash)


class PeerProtocol(protocol.DatagramProtocol):
    """Sends datagrams to the peers and publishes those received.

    :param node: scheduling node; only read.
    :param bus: ``mailboxes.MessageBus``.
    """

    def __init__(self, node, bus):
        self._node = node
        self._bus = bus
        bus.subscribe(effects.SendDigest, self._send_digest)
        bus.subscribe(effects.SendYield, self._send_preemption_request)
        bus.subscribe(effects.SendCrash, self._send_crash)

    def datagramReceived(self, datagram, addr):  # noqa: N802
        """Decodes a datagram from a peer and publishes its message."""
        try:
            message = _build_message(digests.decode_datagram(datagram))
        except msgspec.MsgspecError as error:
            journal.write(events.Event.DATAGRAM_BAD, peer=addr[0], error=str(error))
            return
        self._bus.publish(message)

    def _send_digest(self, effect):
        self._broadcast(effect.digest)

    def _send_crash(self, effect):
        self._broadcast(digests.CrashNotice(effect.crash))

    def _broadcast(self, datagram):
        data = digests.encode_datagram(datagram)
        for peer in self._node.roster:
            self._write(data, peer)

    def _send_preemption_request(self, effect):
        peer = self._node.roster.find(effect.entry)
        if peer is not None:
            self._write(digests.encode_datagram(effect.demand), peer)

    def _write(self, data, peer):
        if self.transport is not None:
            endpoint = addresses.parse_address(peer.vm.datagram_address)
            self.transport.write(data, (endpoint.host, endpoint.port))


class StateFetcher:
    """Fetches the folded state from a peer while this entry has no configuration.

    :param node: scheduling node; only read.
    :param bus: ``mailboxes.MessageBus``.
    :param reactor: Twisted reactor.
    """

    def __init__(self, node, bus, reactor):
        self._node = node
        self._bus = bus
        self._http = agents.create_client(reactor, STATE_CONNECT_TIMEOUT_S)
        self._fetch_loop = task.LoopingCall(self._fetch_state)
        self._fetch_loop.clock = reactor

    def start(self):
        """Starts fetching at regular intervals."""
        self._fetch_loop.start(STATE_FETCH_INTERVAL_S, now=False).addErrback(
            journal.log_failure, "catch-up"
        )

    def _fetch_state(self):
        peers = list(self._node.roster)
        if self._node.configuration is not None or not peers:
            return None
        address = random.choice(peers).vm.http_address
        fetched = self._http.get(f"http://{address}/peer/v1/state", timeout=1.0)
        fetched.addCallback(_read_state)
        fetched.addCallback(
            lambda text: self._bus.publish(messages.StateReceived(text))
        )
        return fetched.addErrback(lambda _: None)


def _read_state(response):
    if response.code != http.OK:
        raise ConnectionError(f"status {response.code}")
    return treq.text_content(response)


class Forwarder:
    """Forwards requests to the entries that own their idempotency keys.

    :param node: scheduling node; only read.
    :param reactor: Twisted reactor.
    """

    def __init__(self, node, reactor):
        self._node = node
        self._reactor = reactor
        self._http = agents.create_client(reactor, FORWARD_CONNECT_TIMEOUT_S)

    def forward(self, forwarded):
        """Sends a request to the owner of its key and relays the response.

        :param forwarded: ``handovers.ForwardedRequest``.
        """
        peer = self._node.roster.find(forwarded.entry)
        if peer is None:
            forwarded.fail(exceptions.ErrorKind.OWNER_GONE)
            return
        origin = forwarded.exchange.origin
        url = (
            f"http://{peer.vm.http_address}/v1/services/{origin.service}"
            f"/calls/{origin.call}"
        )
        fields = {
            headers.CUSTOMER: origin.customer,
            headers.KEY: origin.key,
            headers.FORWARDED: "1",
        }
        data = msgspec.json.encode(forwarded.exchange.body)
        sent = self._http.post(
            url,
            data=data,
            headers=fields,
            unbuffered=True,
            timeout=forwarded.timeout_s,
        )
        sent.addCallback(self._start_relay, forwarded)
        sent.addErrback(lambda _: forwarded.fail(exceptions.ErrorKind.KEY_ELSEWHERE))

    def _start_relay(self, response, forwarded):
        content_type = response.headers.getRawHeaders("content-type", [""])[0]
        retry_after = response.headers.getRawHeaders("retry-after", [None])[0]
        forwarded.start_response(response.code, content_type, retry_after)
        response.deliverBody(ResponseRelay(forwarded, self._reactor))


class ResponseRelay(protocol.Protocol):
    """Relays the body of a peer's response.

    :param forwarded: ``handovers.ForwardedRequest``.
    :param reactor: Twisted reactor.
    """

    def __init__(self, forwarded, reactor):
        self._forwarded = forwarded
        self._timer = reactor.callLater(forwarded.timeout_s, self._time_out)

    def _time_out(self):
        self._forwarded.fail(exceptions.ErrorKind.INCOMPLETE)
        self.transport.loseConnection()

    def dataReceived(self, data):  # noqa: N802
        """Relays received data."""
        self._forwarded.write(data)

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        """Finishes the response, or fails it as incomplete if it was truncated."""
        if self._timer.active():
            self._timer.cancel()
        if reason.check(client.ResponseDone):
            self._forwarded.finish()
        else:
            self._forwarded.fail(exceptions.ErrorKind.INCOMPLETE)
