"""Requests that an entry hands over to a peer that reaches the backend servers.

The peer gets the caller's request with its headers, chooses the server and sends it.
The entry keeps the caller, the charge to the customer and the time; a request goes over
one peer at most.
"""

import msgspec
from twisted.web import http

from wasabiknot_entry import error_responses, send_attempts
from wasabiknot_kernel import arrivals, exceptions, members, outcomes

Kind = exceptions.ErrorKind
Outcome = outcomes.Outcome
Step = outcomes.Step

# Name and incarnation of the entry that hands a request over.
SENDER_HEADER = b"wasabiknot-relay-from"
# Version of the configuration under which it was admitted.
VERSION_HEADER = b"wasabiknot-relay-version"
# Number of backend servers that the request may still be sent to.
ATTEMPTS_HEADER = b"wasabiknot-relay-attempts"
# Sent if the caller has got a part of the response already.
BEGUN_HEADER = b"wasabiknot-relay-begun"
_HEADERS = (SENDER_HEADER, VERSION_HEADER, ATTEMPTS_HEADER, BEGUN_HEADER)
RETRY_AFTER = b"retry-after"
# Errors of a peer after which another one may take the request.
PASSING_KINDS = frozenset(
    (Kind.NOT_READY, Kind.NO_WORKER, Kind.STOPPING, Kind.INTERNAL_ERROR)
)
# Statuses that leave open whether a request has run.
UNKNOWN_STATUSES = frozenset((http.BAD_GATEWAY, http.GATEWAY_TIMEOUT))
MAX_ATTEMPTS = 100


class Handover(msgspec.Struct, frozen=True):
    """A request that was handed over to a peer.

    :param ticket: the request.
    :param helper: ``members.Member`` of the peer.
    :param granted: number of backend servers that the peer may send it to.
    """

    ticket: arrivals.Ticket
    helper: members.Member
    granted: int

    @property
    def address(self):
        """Host and port of the peer, separated by a colon."""
        return f"{self.helper.host}:{self.helper.relay_port}"


class TakeOver(msgspec.Struct, frozen=True):
    """What a peer says of a request that it hands over.

    :param name: name of the peer.
    :param run: id of the current run of the peer.
    :param version: version of its configuration.
    :param attempts: number of backend servers that the request may be sent to.
    :param is_begun: whether the caller has got a part of the response.
    """

    name: str
    run: str
    version: int
    attempts: int
    is_begun: bool = False

    def limit_attempts(self, route):
        """Limits the attempts of a route to those that are left.

        :param route: ``routes.Route``.
        :return: ``routes.Route``.
        """
        attempts = min(route.attempts, self.attempts)
        return msgspec.structs.replace(route, attempts=attempts)


class Result(send_attempts.Result, frozen=True):
    """The result of a handover.

    :param kind: error kind that the peer has answered with; ``None`` for none.
    :param retry_after_s: retry time in seconds that it has sent; ``None`` for none.
    """

    kind: Kind | None = None
    retry_after_s: float | None = None


class RelayAttempt(send_attempts.SendAttempt):
    """Hands a request over to a peer and relays the response.

    The peer looks after a backend server that is silent.
    """

    _error_kind = None
    _retry_after_s = None
    _status = 0

    def _is_withdrawn(self):
        # The peer checks for drains when it sends the request.
        return False

    def handle_head(self, head):
        """Handles the head of the response of a backend server, or of an error."""
        fields = dict(head.headers)
        kind = fields.get(error_responses.KIND_HEADER)
        if kind is None:
            super().handle_head(head)
            return
        self._error_kind = _decode_kind(kind)
        self._retry_after_s = _decode_seconds(fields.get(RETRY_AFTER))
        self._status = head.status
        self.phase = send_attempts.Phase.RESPONDING

    def _classify_response(self):
        if self._error_kind is None:
            return super()._classify_response()
        is_unknown = self._status in UNKNOWN_STATUSES
        outcome = Outcome.RESPONSE_LOST if is_unknown else Outcome.REJECTED
        return send_attempts.Result(outcome, detail=self._error_kind.value)

    def _finish(self, result):
        super()._finish(
            Result(
                result.outcome,
                result.head,
                result.body,
                result.detail,
                kind=self._error_kind,
                retry_after_s=self._retry_after_s,
            )
        )

    def _find_max_idle_s(self):
        # What is lost with a connection isn't sent again.
        return send_attempts.MAX_IDLE_NON_REPEATABLE_S

    def _start_timer(self, delay_s):
        pass

    def _start_first_event_timer(self):
        pass


def _decode_kind(value):
    try:
        return Kind(value.decode("latin-1"))
    except ValueError:
        return Kind.OUTCOME_UNKNOWN


def _decode_seconds(value):
    try:
        return float(value) if value else None
    except ValueError:
        return None


def decide_next_step(result, ticket):
    """Decides what becomes of a request that a peer has ended.

    :param result: ``Result``.
    :param ticket: ``arrivals.Ticket``.
    :return: ``outcomes.RetryDecision``.
    """
    if result.outcome in (Outcome.COMPLETE, Outcome.CANCELLED, Outcome.FAILED):
        return outcomes.RetryDecision(Step.FORWARD_RESPONSE)
    if result.outcome is Outcome.UNREACHABLE:
        return outcomes.RetryDecision(Step.RESEND, reason="not sent")
    if result.outcome is Outcome.REJECTED:
        # A refusal would break off a response, or leave open whether it has run.
        is_sent = ticket.is_begun or ticket.may_have_run
        if is_sent or result.kind in PASSING_KINDS:
            return outcomes.RetryDecision(Step.RESEND, reason=result.detail)
        return outcomes.RetryDecision(
            Step.REFUSE, result.kind or Kind.QUEUE_FULL, f"peer: {result.detail}"
        )
    return outcomes.RetryDecision(
        Step.REPORT_UNKNOWN, Kind.OUTCOME_UNKNOWN, f"peer: {result.detail}"
    )


def build_headers(member, handover):
    """Builds the headers that tell a peer of a handover.

    :param member: ``members.Member`` of this entry.
    :param handover: ``Handover``.
    :return: list of pairs of names and values.
    """
    ticket = handover.ticket
    headers = [
        (SENDER_HEADER, f"{member.name}/{member.run}".encode()),
        (VERSION_HEADER, str(ticket.version).encode()),
        (ATTEMPTS_HEADER, str(handover.granted).encode()),
    ]
    if ticket.is_begun:
        headers.append((BEGUN_HEADER, b"1"))
    return headers


def decode_headers(headers):
    """Decodes the headers of a handover.

    :param headers: pairs of lower-case names and values.
    :return: ``TakeOver``; ``None`` if they are missing or unreadable.
    """
    fields = dict(headers)
    name, _, run = fields.get(SENDER_HEADER, b"").decode("latin-1").rpartition("/")
    try:
        version = int(fields.get(VERSION_HEADER, b""))
        attempts = int(fields.get(ATTEMPTS_HEADER, b""))
    except ValueError:
        return None
    if not name or not 0 < attempts <= MAX_ATTEMPTS:
        return None
    return TakeOver(name, run, version, attempts, BEGUN_HEADER in fields)


def strip_headers(headers):
    """Removes the headers of a handover, which don't concern a backend server.

    :param headers: pairs of lower-case names and values.
    :return: tuple of pairs.
    """
    return tuple(field for field in headers if field[0] not in _HEADERS)


def find_obstacle(handover, host, deployment, is_stopping):
    """Finds out why a request of a peer can't be taken over.

    :param handover: ``TakeOver``; ``None`` if it is unreadable.
    :param host: IP address from which it came.
    :param deployment: ``deployment_views.DeploymentView``.
    :param is_stopping: whether this entry stops.
    :return: short text for the log; empty if nothing keeps it from being taken over.
    """
    if handover is None:
        return "unreadable"
    peer = deployment.find_peer(handover.name)
    if peer is None or peer.member.run != handover.run or peer.member.host != host:
        return "no peer"
    if is_stopping:
        return "stopping"
    if deployment.table is None or deployment.table.version < handover.version:
        return "older configuration"
    return ""
