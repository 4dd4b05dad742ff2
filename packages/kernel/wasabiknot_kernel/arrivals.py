"""Requests as the decisions see them."""

import typing

import msgspec

from wasabiknot_kernel import routes

RequestId = typing.NewType("RequestId", str)


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt that engines keep.

    :param name: id of its content.
    :param tokens: its length.
    """

    name: str
    tokens: int


class ReportedLoad(msgspec.Struct, frozen=True):
    """The load that a backend server states in an answer.

    :param running: requests that run.
    :param waiting: requests that wait there.
    :param slots: requests that it runs at once.
    """

    running: int
    waiting: int
    slots: int


class Arrival(msgspec.Struct, frozen=True):
    """What a request says of itself.

    :param request_id: its id.
    :param host: host name.
    :param path: path with its query.
    :param key: API key, or empty.
    :param deadline_ms: time that the caller waits; ``None`` if it is not stated.
    :param prompt_tokens: length of the prompt.
    :param output_tokens: longest answer.
    :param expected_output_tokens: answer length expected by the caller, or ``None``.
    :param parts: parts of the prompt, in order.
    :param last_event: last event of the stream that the caller has; 0 for none.
    :param states_token_counts: whether the request states its tokens.
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
    last_event: int = 0
    states_token_counts: bool = False


class Ticket(msgspec.Struct, eq=False):
    """A request that was let in, with what decides on its way.

    :param arrival: what it says of itself.
    :param route: its route.
    :param service: service that answers it.
    :param customer: its customer, or ``None``.
    :param rank: urgency; 0 is the highest.
    :param arrived_s: time of its arrival.
    :param deadline_s: time by which it must have its final answer.
    :param version: configuration version that let it in.
    :param fingerprint: hash of path, caller and body.
    :param sends: times that it was sent to a backend server.
    :param tried: backend servers that it was sent to.
    :param may_have_run: whether a send may have run.
    :param charge: tokens charged to its customer.
    :param is_canary: whether it tries a new version; ``None`` if not yet drawn.
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
    may_have_run: bool = False
    charge: float = 0.0
    is_canary: bool | None = None

    @property
    def request_id(self):
        """Its id."""
        return self.arrival.request_id

    @property
    def prompt_tokens(self):
        """Length of its prompt."""
        return self.arrival.prompt_tokens

    def estimate_output_tokens(self):
        """Estimates the length of its answer.

        :return: tokens.
        """
        longest = self.arrival.output_tokens
        hint = self.arrival.expected_output_tokens
        return min(hint, longest) if hint and longest else hint or longest

    def count_charged_tokens(self, plain_tokens):
        """Measures what it uses of its customer's allowance.

        :param plain_tokens: tokens of a request that states none.
        :return: tokens.
        """
        if not self.arrival.states_token_counts:
            return plain_tokens
        return self.arrival.prompt_tokens + self.arrival.output_tokens
