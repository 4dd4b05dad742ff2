"""Encodes the digests of this entry, and decodes those of its peers."""

import msgspec

from wasabiknot_kernel import (
    decoding,
    digest_datagrams,
    digest_receivers,
    digest_streams,
    members,
)


class PeerStreams:
    """The streams of digests that this entry sends and receives."""

    def __init__(self):
        # Senders by the group that their digests cover.
        self._senders = {}
        self._spacing = digest_streams.Spacing()
        self._receiver = digest_receivers.DigestReceiver()

    def encode(self, digests, now_s, omits_use):
        """Encodes a datagram for peers that understand changes.

        :param digests: list of ``members.Digest``.
        :param now_s: current time in seconds.
        :param omits_use: whether the tokens used may be left out.
        :return: bytes.
        """
        items = []
        for digest in digests:
            if digest.group not in self._senders:
                sender = digest_streams.DigestSender(self._spacing)
                self._senders[digest.group] = sender
            sender = self._senders[digest.group]
            items.append(sender.encode(digest, now_s, omits_use))
        return digest_datagrams.encode_datagram(items)

    def decode(self, data, now_s):
        """Decodes a datagram of a peer, of any format.

        :param data: bytes.
        :param now_s: current time in seconds.
        :return: list of ``members.Digest`` to apply, and the bytes to send back;
            ``None`` for nothing.
        :raises msgspec.MsgspecError: if it is malformed.
        """
        if not digest_datagrams.is_datagram(data):
            return decoding.decode_json(data, members.Bundle).digests, None
        digests, replies = [], []
        for item in digest_datagrams.decode_datagram(data):
            digest, reply = self._receive(item, now_s)
            if digest is not None:
                digests.append(digest)
            if reply is not None:
                replies.append(reply)
        return digests, digest_datagrams.encode_datagram(replies) if replies else None

    def _receive(self, item, now_s):
        if isinstance(item, digest_datagrams.FullDigest):
            return self._receiver.receive_full(item, now_s), None
        if isinstance(item, digest_datagrams.FullDigestRequest):
            return None, self._repeat_full(item)
        digest = self._receiver.receive_changes(item, now_s)
        if digest is not None:
            return digest, None
        return None, self._receiver.build_request(item, now_s)

    def _repeat_full(self, request):
        for sender in self._senders.values():
            full = sender.repeat(request.stream)
            if full is not None:
                return full
        return None


def leave_out_use(digest):
    """Leaves out what a digest between two regular ones doesn't tell.

    :param digest: ``members.Digest``.
    :return: ``members.Digest``, to compare with the one that was sent before.
    """
    return msgspec.structs.replace(
        digest, sequence=0, read_age_ms=0, used={}, paces=(), customer_work=()
    )
