"""Configurations that the operator publishes in a soak test, and requests to them."""

import itertools
import random

import msgspec
from twisted.internet import reactor

from wasabiknot_entry import connections
from wasabiknot_standins import platformworkers

HOST = "soak.example"
API_KEY = "soak-key"
# Time that callers give their requests, and that the first version does.
CALLER_TIMEOUT_MS = 4_000
# Name, path prefix, type, service, whether resumable, and attempts of each route.
ROUTES = (
    ("cash", "/cash/", "non_idempotent", "desk", False, 1),
    ("lookup", "/lookup/", "idempotent", "desk", False, 2),
    ("draft", "/draft/", "streaming", "pool", False, 1),
    ("summary", "/summary/", "streaming", "pool", True, 2),
)
# Routes that versions add and drop, by a route of the same kind.
OPTIONAL_ROUTES = {
    "lookup": ("visit", "/visit/", "idempotent", "desk", False, 2),
    "summary": ("recap", "/recap/", "streaming", "pool", True, 2),
}
# Services to which routes move; no route of the first version names the others.
SERVICES = {"desk": ("desk", "counter"), "pool": ("pool", "stage", "loft")}
# What versions change.
TIMEOUTS_MS = (3_500, 4_000, 6_000)
IDLE_TIMEOUTS_MS = (1_000, 3_000, 15_000)
MAX_CONNECTIONS = (2, 10, 100)
PRIORITIES = (0, 1, 2)
WEIGHTS = (0, 1, 3)
MAX_CHANGES = 3
# Time after which no entry follows a version that was replaced. The bound of the
# settings is 2 s; the rest is for overlapping faults.
MAX_REPLACEMENT_S = 6.0


class Version(msgspec.Struct, frozen=True):
    """What requests may expect of one version.

    :param published_s: time in seconds at which it was first written.
    :param timeouts_ms: timeout of each route, in milliseconds.
    :param services: services that may run the requests of each route.
    """

    published_s: float
    timeouts_ms: dict[str, float]
    services: dict[str, frozenset[str]]


class Configurations:
    """The configurations of one run, each with a key that the next one revokes.

    Each one after the first also changes something else, drawn by a generator of its
    own, so that a seed keeps its other draws.

    :param store: ``keyedlogs.Store``.
    :param rng: ``random.Random``.
    :param seed: seed of the changes.
    """

    def __init__(self, store, rng, seed):
        self._store = store
        self._rng = rng
        self._changes_rng = random.Random(f"configuration/{seed}")
        self._version = 0
        self._content = b""
        self._temporary_key = ""
        self._routes = {route[0]: _build_route(*route) for route in ROUTES}
        self._idle_ms = IDLE_TIMEOUTS_MS[-1]
        self._max_connections = MAX_CONNECTIONS[-1]
        self._has_second_customer = False
        self._priority = None
        self._versions = []
        # Times in seconds, by key.
        self.revoked_s = {}
        self.published_s = {}

    def publish(self, is_changing=True):
        """Writes a new configuration to the store.

        :param is_changing: whether it changes more than its key, if it isn't the first.
        """
        if self._temporary_key:
            self.revoked_s[self._temporary_key] = reactor.seconds()
            if is_changing:
                self._draw_changes()
        self._version += self._rng.randint(1, 3)
        self._temporary_key = f"key-{self._version}"
        self.published_s[self._temporary_key] = reactor.seconds()
        self._content = msgspec.json.encode(self._build_document())
        timeouts_ms = {name: item["timeoutMs"] for name, item in self._routes.items()}
        services = {name: _list_named(item) for name, item in self._routes.items()}
        self._versions.append(Version(reactor.seconds(), timeouts_ms, services))
        self.write()

    def write(self):
        """Writes the newest configuration to the store once more."""
        self._store.put("keyed.op", "config", self._content)

    def move_route(self, name, service):
        """Lets the next version send a route to one service.

        :param name: name of the route.
        :param service: name of the service.
        """
        self._routes[name].pop("split", None)
        self._routes[name]["service"] = service

    def find_timeout_s(self, route, at_s):
        """Finds the time that a request has, by all versions that may be in force.

        :param route: name of the route.
        :param at_s: time in seconds at which the request was sent.
        :return: shortest time in seconds.
        """
        timeouts_ms = [
            version.timeouts_ms[route]
            for version in self._list_in_force(at_s, at_s)
            if route in version.timeouts_ms
        ]
        return min([CALLER_TIMEOUT_MS, *timeouts_ms]) / 1_000

    def may_lack(self, route, start_s, end_s):
        """Tells whether a version that may be in force lacks a route.

        :param route: name of the route.
        :param start_s: start of a request in seconds.
        :param end_s: its end in seconds.
        :return: whether a request to it may be answered with 404.
        """
        versions = self._list_in_force(start_s, end_s)
        return any(route not in version.timeouts_ms for version in versions)

    def list_services(self, route, start_s, end_s):
        """Lists the services that may run a request, by all versions in force.

        :param route: name of the route.
        :param start_s: start of the request in seconds.
        :param end_s: its end in seconds.
        :return: frozen set of names; empty if its route was dropped.
        """
        versions = self._list_in_force(start_s, end_s)
        named = (version.services.get(route, ()) for version in versions)
        return frozenset(itertools.chain.from_iterable(named))

    def has_had(self, route):
        """Tells whether any version has had a route.

        :param route: name of the route.
        :return: whether it has.
        """
        return any(route in version.timeouts_ms for version in self._versions)

    def _list_in_force(self, start_s, end_s):
        replaced_s = [version.published_s for version in self._versions[1:]]
        return [
            version
            for version, until_s in zip(
                self._versions, [*replaced_s, end_s], strict=True
            )
            if version.published_s <= end_s and until_s + MAX_REPLACEMENT_S >= start_s
        ]

    def _draw_changes(self):
        changes = (
            self._change_timeout,
            self._draw_move,
            self._split_route,
            self._add_or_drop_route,
            self._change_idle_timeout,
            self._change_max_connections,
            self._change_customers,
        )
        count = self._changes_rng.randint(1, MAX_CHANGES)
        for change in self._changes_rng.sample(changes, count):
            change()

    def _choose_route(self):
        return self._routes[self._changes_rng.choice(sorted(self._routes))]

    def _change_timeout(self):
        self._choose_route()["timeoutMs"] = self._changes_rng.choice(TIMEOUTS_MS)

    def _draw_move(self):
        route = self._choose_route()
        service = self._changes_rng.choice(_list_services(route))
        self.move_route(route["name"], service)

    def _split_route(self):
        route = self._choose_route()
        services = self._changes_rng.sample(_list_services(route), 2)
        weights = (1, self._changes_rng.choice(WEIGHTS))
        route["split"] = [
            {"service": service, "weight": weight}
            for service, weight in zip(services, weights, strict=True)
        ]

    def _add_or_drop_route(self):
        route = self._changes_rng.choice(list(OPTIONAL_ROUTES.values()))
        if self._routes.pop(route[0], None) is None:
            self._routes[route[0]] = _build_route(*route)

    def _change_idle_timeout(self):
        self._idle_ms = self._changes_rng.choice(IDLE_TIMEOUTS_MS)

    def _change_max_connections(self):
        self._max_connections = self._changes_rng.choice(MAX_CONNECTIONS)

    def _change_customers(self):
        self._has_second_customer = not self._has_second_customer
        self._priority = self._changes_rng.choice(PRIORITIES)

    def _build_document(self):
        keys = [API_KEY, self._temporary_key]
        customers = [_build_customer("graz", keys, self._priority)]
        if self._has_second_customer:
            key = f"linz-{self._version}"
            customers.append(_build_customer("linz", [key], self._priority))
        return {
            "version": self._version,
            "routes": list(self._routes.values()),
            "services": [
                _build_service(service, self._max_connections, kind == "pool")
                for kind, services in SERVICES.items()
                for service in services
            ],
            "limits": {"idleTimeoutMs": self._idle_ms},
            "tenants": customers,
        }


def _list_services(route):
    kind = "pool" if route["type"] == "streaming" else "desk"
    return SERVICES[kind]


def _list_named(route):
    split = [item["service"] for item in route.get("split", ())]
    return frozenset(split or [route["service"]])


def _build_route(name, prefix, kind, service, resumable, attempts):
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "type": kind,
        "timeoutMs": CALLER_TIMEOUT_MS,
        "sloMs": 400,
        "gapSloMs": 300,
        "priority": 1,
        "service": service,
        "attempts": attempts,
        "resumable": resumable,
    }


def _build_service(name, max_connections, is_engine):
    service = {"name": name, "healthPath": "/healthz", "maxConns": max_connections}
    if is_engine:
        service["engine"] = {"slots": 4, "kvCapacity": 100_000, "stride": 6}
    return service


def _build_customer(name, keys, priority):
    return {
        "name": name,
        "apiKeys": keys,
        "priority": priority,
        "ratePerS": 0,
        "plainTokens": 10,
    }


def build_request(path, request_id, body, key=API_KEY, more_parts=()):
    """Builds a request of a caller.

    :param path: path of the request.
    :param request_id: id of the request.
    :param body: body bytes.
    :param key: API key of the caller.
    :param more_parts: parts of its prompt beside that which all requests share, and
        its own.
    :return: ``connections.Request``.
    """
    parts = platformworkers.build_parts(request_id, more_parts)
    headers = (
        (b"host", HOST.encode()),
        (b"x-wasabiknot-attempt-id", request_id.encode()),
        (b"x-wasabiknot-deadline-ms", str(CALLER_TIMEOUT_MS).encode()),
        (b"x-wasabiknot-token-count", b"200,132"),
        (platformworkers.PARTS_HEADER.encode(), parts.encode()),
        (b"x-api-key", key.encode()),
        (b"content-length", str(len(body)).encode()),
    )
    return connections.Request(b"POST", path.encode(), headers, body)
