"""The configuration of a deployment: routes, services, customers, limits."""

import enum
import typing

import msgspec

RouteName = typing.NewType("RouteName", str)
ServiceName = typing.NewType("ServiceName", str)
CustomerName = typing.NewType("CustomerName", str)


class Repetition(enum.Enum):
    """What may be done again with the requests of a route."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class TrafficShare(msgspec.Struct, frozen=True):
    """A service's part of a route's traffic.

    :param service: the service.
    :param weight: its weight among the shares of the route.
    """

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """A route.

    :param name: its name.
    :param host: host name of its requests.
    :param prefix: start of their paths.
    :param repetition: what may be done again.
    :param shares: services that answer, with their weights.
    :param timeout_ms: longest time that a caller is kept waiting.
    :param objective_ms: time within which an answer, or its first event, is due.
    :param gap_ms: longest pause between events of an answer that is in time.
    :param rank: urgency; 0 is the highest.
    :param attempts: backend servers to which one request may be sent.
    :param is_public: whether requests need no key.
    :param is_resumable: whether a stream may go on at another backend server.
    """

    name: RouteName
    host: str
    prefix: str
    repetition: Repetition
    shares: tuple[TrafficShare, ...]
    timeout_ms: float
    objective_ms: float
    gap_ms: float
    rank: int
    attempts: int
    is_public: bool
    is_resumable: bool

    @property
    def is_stream(self):
        """Whether answers are streams of events."""
        return self.repetition is Repetition.STREAM

    @property
    def is_repeatable(self):
        """Whether a request may run more than once."""
        return self.repetition is Repetition.IDEMPOTENT or self.is_resumable


class Engine(msgspec.Struct, frozen=True):
    """What the model engines of a service have in common.

    :param slots: requests that run at once.
    :param kv_tokens: memory for prompts and answers, in tokens.
    :param event_tokens: answer tokens that one event of a stream holds.
    """

    slots: int
    kv_tokens: int
    event_tokens: int = 1


class Service(msgspec.Struct, frozen=True):
    """A service.

    :param name: its name.
    :param health_path: path of its health check.
    :param max_connections: connections that one backend server accepts.
    :param engine: its engines; ``None`` for plain services.
    """

    name: ServiceName
    health_path: str
    max_connections: int
    engine: Engine | None


class Customer(msgspec.Struct, frozen=True):
    """A customer.

    :param name: its name.
    :param keys: its API keys.
    :param rank: urgency in place of that of the route; ``None`` to keep it.
    :param tokens_per_s: tokens a second that it may use; 0 for no limit.
    :param burst_tokens: tokens that it may use at once beyond that.
    :param plain_tokens: tokens that a request without a count stands for.
    """

    name: CustomerName
    keys: tuple[str, ...]
    rank: int | None
    tokens_per_s: float
    burst_tokens: float
    plain_tokens: int


class Limits(msgspec.Struct, frozen=True):
    """Bounds on what a caller may send and how long it may take.

    :param header_bytes: largest head of a request.
    :param body_bytes: largest body of a request.
    :param header_ms: longest time for a head.
    :param idle_ms: longest pause between requests of a connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_ms: float = 3_000
    idle_ms: float = 15_000


class Configuration(msgspec.Struct, frozen=True):
    """One version of the configuration, whole.

    :param version: its number; higher ones replace lower ones.
    :param routes: all routes.
    :param services: all services.
    :param customers: all customers; none if requests carry no keys.
    :param limits: bounds on callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    customers: tuple[Customer, ...]
    limits: Limits


class RouteTable:
    """Finds routes and customers of one configuration.

    :param configuration: ``Configuration``.
    """

    def __init__(self, configuration):
        self.configuration = configuration
        self.version = configuration.version
        self._hosts = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host.lower(), []).append(route)
        for found in self._hosts.values():
            found.sort(key=lambda route: len(route.prefix), reverse=True)
        self._services = {item.name: item for item in configuration.services}
        self._keys = {
            key: customer
            for customer in configuration.customers
            for key in customer.keys
        }
        self.customers = {item.name: item for item in configuration.customers}

    def find_route(self, host, path):
        """Finds the route with the longest matching prefix.

        :param host: host name, with or without a port.
        :param path: path, with or without a query.
        :return: ``Route`` or ``None``.
        """
        name = host.lower()
        found = self._hosts.get(name) or self._hosts.get(name.partition(":")[0], ())
        bare = path.partition("?")[0]
        for route in found:
            if bare.startswith(route.prefix):
                return route
        return None

    def find_service(self, name):
        """Finds a service.

        :param name: its name.
        :return: ``Service`` or ``None``.
        """
        return self._services.get(name)

    @property
    def has_customers(self):
        """Whether requests need a key."""
        return bool(self.customers)

    def find_customer(self, key):
        """Finds the customer that holds a key.

        :param key: API key.
        :return: ``Customer`` or ``None``.
        """
        return self._keys.get(key)


def choose_service(route, rng):
    """Draws one of a route's services by weight.

    :param route: ``Route``.
    :param rng: random numbers.
    :return: ``ServiceName``.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    if sum(weights) <= 0:
        return route.shares[0].service
    return rng.choices(route.shares, weights)[0].service
