"""Finds problems of a configuration before it is put in force."""

import collections
import enum

import msgspec


class ProblemKind(enum.Enum):
    """Kinds of problems. The values appear in reports.

    An error makes part of the configuration unusable. An entry that never matches and
    values that contradict each other are valid, but don't have the effect that their
    author expects.
    """

    ERROR = "error"
    NEVER_MATCHES = "never matches"
    CONTRADICTION = "contradiction"


class Problem(msgspec.Struct, frozen=True):
    """A problem of a configuration.

    :param kind: ``ProblemKind``.
    :param place: the entry and its field, such as ``route r-1: shares``.
    :param text: what is wrong.
    """

    kind: ProblemKind
    place: str
    text: str

    def __str__(self):
        return f"{self.place}: {self.kind.value}: {self.text}"


def list_problems(configuration):
    """Lists the problems of a configuration.

    :param configuration: ``routes.Configuration``.
    :return: list of ``Problem``, those of routes first.
    """
    return [
        *_check_names("route", configuration.routes),
        *_check_routes(configuration),
        *_check_names("service", configuration.services),
        *_check_services(configuration),
        *_check_names("customer", configuration.customers),
        *_check_customers(configuration.customers),
        *_check_limits(configuration.limits),
    ]


def _report_error(place, text):
    return Problem(ProblemKind.ERROR, place, text)


def _report_unmatched(place, text):
    return Problem(ProblemKind.NEVER_MATCHES, place, text)


def _report_contradiction(place, text):
    return Problem(ProblemKind.CONTRADICTION, place, text)


def _check_names(kind, entries):
    counts = collections.Counter(entry.name for entry in entries)
    for name, count in counts.items():
        if count > 1:
            yield _report_error(f"{kind} {name}: name", f"used {count} times")


def _check_routes(configuration):
    service_names = {service.name for service in configuration.services}
    first_routes = {}
    for route in configuration.routes:
        yield from _check_prefix(route, first_routes)
        yield from _check_shares(route, service_names)
        yield from _check_times(route)
        yield from _check_retries(route)


def _check_prefix(route, first_routes):
    place = f"route {route.name}: prefix"
    if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
        text = f"{route.prefix!r} doesn't begin and end with a slash"
        yield _report_error(place, text)
    # The table looks up the host without regard to case, and the first route wins.
    key = (route.host.lower(), route.prefix)
    first = first_routes.setdefault(key, route.name)
    if first != route.name:
        text = f"route {first} has the same host and prefix and comes first"
        yield _report_unmatched(place, text)


def _check_shares(route, service_names):
    place = f"route {route.name}: shares"
    for share in route.shares:
        if share.service not in service_names:
            yield _report_error(place, f"there is no service {share.service}")
        if share.weight < 0:
            text = f"the weight of {share.service} is {share.weight:g}"
            yield _report_error(place, text)
    if len(route.shares) < 2:
        return
    if sum(share.weight for share in route.shares) <= 0:
        first = route.shares[0].service
        text = f"no weight is above 0, so {first} gets all requests"
        yield _report_contradiction(place, text)
        return
    for share in route.shares:
        if share.weight == 0:
            yield _report_unmatched(place, f"the weight of {share.service} is 0")


def _check_times(route):
    place = f"route {route.name}"
    if route.timeout_ms <= 0:
        yield _report_error(f"{place}: timeout", f"{route.timeout_ms:g} ms")
        return
    for name, value_ms in (("objective", route.objective_ms), ("gap", route.gap_ms)):
        if value_ms < 0:
            yield _report_error(f"{place}: {name}", f"{value_ms:g} ms")
        if value_ms > route.timeout_ms:
            text = f"{value_ms:g} ms, but the timeout is {route.timeout_ms:g} ms"
            yield _report_contradiction(f"{place}: {name}", text)


def _check_retries(route):
    place = f"route {route.name}: resumable"
    if not route.is_resumable:
        return
    if not route.is_stream:
        yield _report_contradiction(place, "the route has no stream responses")
    if route.attempts < 2:
        text = f"resuming at another server takes 2 attempts, not {route.attempts}"
        yield _report_contradiction(place, text)


def _check_services(configuration):
    named = {share.service for route in configuration.routes for share in route.shares}
    for service in configuration.services:
        place = f"service {service.name}"
        if service.name not in named:
            yield _report_unmatched(place, "no route names it")
        if not service.health_path.startswith("/"):
            text = f"{service.health_path!r} doesn't begin with a slash"
            yield _report_error(f"{place}: health path", text)
        engine = service.engine
        if engine is not None and engine.slots < 1:
            yield _report_error(f"{place}: slots", f"{engine.slots}")


def _check_customers(customers):
    # The table keeps the last customer of a key.
    holders = {key: item.name for item in customers for key in item.keys}
    for customer in customers:
        place = f"customer {customer.name}"
        if not customer.keys:
            yield _report_unmatched(f"{place}: keys", "it has none")
        taken = {holders[key] for key in customer.keys} - {customer.name}
        for name in sorted(taken):
            text = f"a key also belongs to customer {name}, which comes later"
            yield _report_unmatched(f"{place}: keys", text)
        yield from _check_rate(customer, place)


def _check_rate(customer, place):
    for name, value in (
        ("rate", customer.tokens_per_s),
        ("burst", customer.burst_tokens),
        ("plain tokens", customer.plain_tokens),
    ):
        if value < 0:
            yield _report_error(f"{place}: {name}", f"{value:g}")
    rate = customer.tokens_per_s
    if rate <= 0:
        if customer.burst_tokens > 0:
            text = f"{customer.burst_tokens:g} tokens, but there is no rate limit"
            yield _report_contradiction(f"{place}: burst", text)
        return
    if 0 < customer.burst_tokens < rate:
        text = (
            f"{customer.burst_tokens:g} tokens have no effect: the burst is at least "
            f"one second of the rate, {rate:g} tokens"
        )
        yield _report_contradiction(f"{place}: burst", text)
    if customer.plain_tokens > max(customer.burst_tokens, rate):
        text = (
            f"{customer.plain_tokens} for one request, more than the burst and than "
            "one second of the rate"
        )
        yield _report_contradiction(f"{place}: plain tokens", text)


def _check_limits(limits):
    for name in limits.__struct_fields__:
        value = getattr(limits, name)
        if value <= 0:
            yield _report_error(f"limits: {name}", f"{value:g}")
    if 0 < limits.idle_ms < limits.header_ms:
        text = (
            f"{limits.idle_ms:g} ms, but a request head may take "
            f"{limits.header_ms:g} ms"
        )
        yield _report_contradiction("limits: idle_ms", text)
