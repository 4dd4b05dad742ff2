"""Incoming requests and their scheduling state."""

import math
import typing

import msgspec

from wasabiknot_kernel import regions, routes

RequestId = typing.NewType("RequestId", str)


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt that engines can cache.

    :param name: id of the content.
    :param tokens: length in tokens.
    """

    name: str
    tokens: int


class ReportedLoad(msgspec.Struct, frozen=True):
    """The load that a backend server reports in a response.

    A figure that is missing or can't be read is ``None``.

    :param running: running requests.
    :param waiting: requests queued at the server.
    :param slots: number of requests that the server runs concurrently.
    :param pace: time that work takes on its machine now, in hundredths of the usual
        time.
    """

    running: int | None
    waiting: int | None
    slots: int | None
    pace: int | None = None


class Arrival(msgspec.Struct, frozen=True):
    """The scheduling data in the head of a request.

    :param request_id: id of the request.
    :param host: host name.
    :param path: path, including the query.
    :param key: API key, or empty.
    :param deadline_ms: milliseconds that the caller waits; ``None`` if not stated.
    :param prompt_tokens: length of the prompt, in tokens.
    :param output_tokens: maximum length of the response, in tokens.
    :param expected_output_tokens: response length that the caller expects, or ``None``.
    :param parts: parts of the prompt, in order.
    :param last_event_id: id of the last event that the caller received, from its
        ``Last-Event-ID`` header; 0 for none.
    :param states_token_counts: whether the request states its token counts.
    """

    request_id: RequestId
    host: str
    path: str
    key: str
    deadline_ms: float | None
    prompt_tokens: int = 0
    output_tokens: int = 0
    expected_output_tokens: float | None = None
    parts: tuple[PromptPart, ...] = ()
    last_event_id: int = 0
    states_token_counts: bool = False


class Ticket(msgspec.Struct, eq=False):
    """An admitted request with its scheduling state.

    :param arrival: scheduling data of the request.
    :param route: route that the request matches.
    :param service: service that the request is sent to.
    :param customer: customer that sent the request, or ``None``.
    :param rank: priority; 0 is the highest.
    :param arrived_s: time of arrival, in seconds.
    :param deadline_s: time by which the response must be complete, in seconds.
    :param version: configuration version under which it was admitted.
    :param fingerprint: hash of path, caller and body.
    :param sends: number of sends to backend servers.
    :param tried: ids of the backend servers that it was sent to.
    :param rejected_by: ids of those that have rejected it.
    :param may_have_run: whether a backend server may have run the request.
    :param is_begun: whether the caller has got a part of the response, which another
        server must complete.
    :param charge: tokens charged to the customer.
    :param is_canary: whether the request goes to the new version of a release;
        ``None`` before this is drawn.
    :param trial_key: fingerprint or key of a part that is refused, and for which the
        request is sent once all the same; empty for none.
    :param part_keys: keys of its shared parts; ``None`` before they are needed.
    :param is_taken_over: whether a peer has handed it over; it goes to no other one.
    :param unreached: number of connections to backend servers that failed for it.
    :param handovers: number of times that it was handed over to a peer.
    :param is_path_trial: whether it was sent to find out whether servers that didn't
        answer this entry answer again.
    :param allowed_regions: regions to which it may be sent; ``None`` for all.
    :param resend_s: time in seconds from which it may try servers again that are in a
        backoff, after a connection that failed for it.
    """

    arrival: Arrival
    route: routes.Route
    service: routes.ServiceName
    customer: routes.CustomerName | None
    rank: int
    arrived_s: float
    deadline_s: float
    version: int
    fingerprint: str = ""
    sends: int = 0
    tried: set[str] = msgspec.field(default_factory=set)
    rejected_by: set[str] = msgspec.field(default_factory=set)
    may_have_run: bool = False
    is_begun: bool = False
    charge: float = 0.0
    is_canary: bool | None = None
    trial_key: str = ""
    part_keys: tuple[str, ...] | None = None
    is_taken_over: bool = False
    unreached: int = 0
    handovers: int = 0
    is_path_trial: bool = False
    allowed_regions: frozenset[regions.Region] | None = None
    resend_s: float = -math.inf

    @property
    def request_id(self):
        """Id of the request."""
        return self.arrival.request_id

    @property
    def is_trial(self):
        """Whether it is sent once although it is refused."""
        return bool(self.trial_key)

    @property
    def returnable_to(self):
        """Ids of the backend servers that may complete the response it has begun.

        They are known, so the request reaches no further server.
        """
        return self.tried - self.rejected_by if self.is_begun else set()

    @property
    def prompt_tokens(self):
        """Length of the prompt, in tokens."""
        return self.arrival.prompt_tokens

    def estimate_output_tokens(self):
        """Estimates the length of the response.

        :return: tokens; the caller's estimate up to the maximum length, where stated.
        """
        longest = self.arrival.output_tokens
        hint = self.arrival.expected_output_tokens
        return min(hint, longest) if hint and longest else hint or longest

    def count_charged_tokens(self, plain_tokens):
        """Counts the tokens that are charged to the customer's allowance.

        :param plain_tokens: tokens charged for a request without token counts.
        :return: tokens.
        """
        if not self.arrival.states_token_counts:
            return plain_tokens
        return self.arrival.prompt_tokens + self.arrival.output_tokens
