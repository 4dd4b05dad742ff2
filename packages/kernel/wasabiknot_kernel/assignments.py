"""Decisions of a dispatcher: a request is assigned, refused, or stays where it is."""

import msgspec

from wasabiknot_kernel import arrivals, exceptions, prompt_parts, servers

# Retry time of a request that crashes backend servers; it counts far longer.
HARMFUL_RETRY_AFTER_S = 10.0


class Assignment(msgspec.Struct, frozen=True):
    """A decision to send a request to a backend server now.

    :param ticket: the request.
    :param server: ``servers.Server``.
    :param waited_s: seconds that the request waited in the queue.
    :param score_ms: score of the server: the expected milliseconds to the first
        event, plus penalties.
    :param is_measured: whether the score follows from responses of the server.
    """

    ticket: arrivals.Ticket
    server: servers.Server
    waited_s: float
    score_ms: float
    is_measured: bool = True

    @property
    def address(self):
        """Host and port of the server, separated by a colon."""
        return self.server.registration.address


class Refusal(msgspec.Struct, frozen=True):
    """A decision to refuse a request without sending it.

    :param ticket: the request.
    :param kind: error kind of the response.
    :param retry_after_s: seconds after which a retry is likely to succeed.
    :param reason: short text for the log.
    """

    ticket: arrivals.Ticket
    kind: exceptions.ErrorKind
    retry_after_s: float
    reason: str


class Stay(msgspec.Struct, frozen=True):
    """A decision to leave a request at its backend server, silent or slow, alone.

    :param reason: what is missing for another send, for the log.
    """

    reason: str


def create_harmful_refusal(ticket, key):
    """Creates the refusal of a request that crashes backend servers.

    :param ticket: ``arrivals.Ticket``.
    :param key: its fingerprint, or the key of the harmful part of its prompt.
    :return: ``Refusal``.
    """
    kind = exceptions.ErrorKind.QUARANTINED
    reason = "crashes backend servers"
    if prompt_parts.is_key(key):
        name, _ = prompt_parts.split_key(key)
        reason = f"prompt part {name} crashes backend servers"
    return Refusal(ticket, kind, HARMFUL_RETRY_AFTER_S, reason)
