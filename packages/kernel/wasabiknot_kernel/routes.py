"""Routes, services, customers and limits of a deployment."""

import enum
import typing

import msgspec

from wasabiknot_kernel import regions

RouteName = typing.NewType("RouteName", str)
ServiceName = typing.NewType("ServiceName", str)
CustomerName = typing.NewType("CustomerName", str)


class RetryRule(enum.Enum):
    """When requests of a route may be retried.

    Idempotent requests may run more than once, others at most once. Streams may be
    retried only on resumable routes.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class TrafficShare(msgspec.Struct, frozen=True):
    """The weight of one service in the traffic of a route.

    :param service: name of the service.
    :param weight: relative weight among the shares of the route.
    """

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """A route and the handling of its requests.

    :param name: name of the route.
    :param host: host name that requests must match.
    :param prefix: path prefix that requests must match.
    :param retry_rule: when requests may be retried.
    :param shares: services that requests are sent to, with their weights.
    :param timeout_ms: maximum milliseconds until the response is complete.
    :param objective_ms: milliseconds within which a response, or the first event of a
        stream, is due.
    :param gap_ms: maximum milliseconds between two events of a stream that meets its
        objective.
    :param rank: priority; 0 is the highest.
    :param attempts: maximum sends of one request, without those that did not reach a
        backend server.
    :param is_public: whether requests need no API key.
    :param is_resumable: whether a stream may continue at another backend server.
    :param allowed_regions: regions to which requests are sent; empty for all.
    """

    name: RouteName
    host: str
    prefix: str
    retry_rule: RetryRule
    shares: tuple[TrafficShare, ...]
    timeout_ms: float
    objective_ms: float
    gap_ms: float
    rank: int
    attempts: int
    is_public: bool
    is_resumable: bool
    allowed_regions: tuple[regions.Region, ...] = ()

    @property
    def is_stream(self):
        """Whether responses are streams of events."""
        return self.retry_rule is RetryRule.STREAM

    @property
    def is_repeatable(self):
        """Whether a request may run more than once."""
        return self.retry_rule is RetryRule.IDEMPOTENT or self.is_resumable


class Engine(msgspec.Struct, frozen=True):
    """Parameters that the model engines of a service share.

    :param slots: requests that an engine runs concurrently.
    :param kv_tokens: capacity of the KV cache for prompts and responses, in tokens.
    :param event_tokens: output tokens per stream event.
    """

    slots: int
    kv_tokens: int
    event_tokens: int = 1


class Service(msgspec.Struct, frozen=True):
    """A service and its backend servers.

    :param name: name of the service.
    :param health_path: path of the health check.
    :param max_connections: maximum connections to one backend server.
    :param engine: engine parameters; ``None`` for plain services.
    :param warmup_s: time in seconds for which a backend server is cold after its start.
    :param warmup_per_s: requests a second that a cold backend server bears from all
        entries together; 0 for no limit.
    """

    name: ServiceName
    health_path: str
    max_connections: int
    engine: Engine | None
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


class Customer(msgspec.Struct, frozen=True):
    """A customer with its API keys and rate limit.

    :param name: name of the customer.
    :param keys: API keys.
    :param rank: priority that overrides that of the route; ``None`` to keep it.
    :param tokens_per_s: rate limit in tokens per second; 0 for no limit.
    :param burst_tokens: burst allowed beyond the rate limit, in tokens.
    :param plain_tokens: tokens charged for a request without token counts.
    :param allowed_regions: regions to which its requests are sent; empty for all.
    """

    name: CustomerName
    keys: tuple[str, ...]
    rank: int | None
    tokens_per_s: float
    burst_tokens: float
    plain_tokens: int
    allowed_regions: tuple[regions.Region, ...] = ()


class Limits(msgspec.Struct, frozen=True):
    """Limits on the requests and connections of callers.

    :param header_bytes: maximum size of a request head, in bytes.
    :param body_bytes: maximum size of a request body, in bytes.
    :param header_ms: timeout for receiving a request head, in milliseconds.
    :param idle_ms: idle timeout between requests of a connection, in milliseconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_ms: float = 3_000
    idle_ms: float = 15_000


class Configuration(msgspec.Struct, frozen=True):
    """One complete version of the configuration.

    :param version: version number; higher versions replace lower ones.
    :param routes: all routes.
    :param services: all services.
    :param customers: all customers; empty if requests need no API key.
    :param limits: limits on callers.
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
        for host_routes in self._hosts.values():
            host_routes.sort(key=lambda route: len(route.prefix), reverse=True)
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
        host_name = host.lower()
        host_routes = self._hosts.get(host_name) or self._hosts.get(
            host_name.partition(":")[0], ()
        )
        bare_path = path.partition("?")[0]
        for route in host_routes:
            if bare_path.startswith(route.prefix):
                return route
        return None

    def find_service(self, name):
        """Finds a service by its name.

        :param name: service name.
        :return: ``Service`` or ``None``.
        """
        return self._services.get(name)

    @property
    def has_customers(self):
        """Whether requests need an API key, except on public routes."""
        return bool(self.customers)

    def find_customer(self, key):
        """Finds the customer that holds a key.

        :param key: API key.
        :return: ``Customer`` or ``None``.
        """
        return self._keys.get(key)


def choose_service(route, rng):
    """Chooses one of a route's services at random, by weight.

    :param route: ``Route``.
    :param rng: ``random.Random``.
    :return: ``ServiceName``.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    if sum(weights) <= 0:
        return route.shares[0].service
    return rng.choices(route.shares, weights)[0].service
