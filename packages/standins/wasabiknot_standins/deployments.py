"""The example deployments: backend servers, calls and customers."""

import msgspec


class WorkerPlan(msgspec.Struct, frozen=True):
    """A backend server of a deployment.

    :param id: id of the backend server.
    :param service: name of the service that it runs.
    :param version: version that it runs.
    :param domain: failure domain.
    :param slots: maximum number of concurrent requests.
    :param is_engine: whether it is a model engine rather than a plain service.
    :param prefill_ms: prefill time per prompt token in milliseconds; 0 for a plain
        service.
    :param decode_ms: decode time per output token, or service time per call of a
        plain service, in milliseconds.
    """

    id: str
    service: str
    version: str
    domain: str
    slots: int
    is_engine: bool
    prefill_ms: float
    decode_ms: float


class CallPlan(msgspec.Struct, frozen=True):
    """A kind of call that callers send.

    :param service: name of the service.
    :param call: name of the call.
    :param tier: name of the tier.
    :param deadline_ms: deadline from the service's configuration in milliseconds.
    :param share: fraction of all calls, from 0 to 1.
    :param prompt_tokens: minimum and maximum number of prompt tokens.
    :param max_tokens: maximum number of output tokens; 0 for a plain service.
    :param keyed: whether callers send an idempotency key.
    """

    service: str
    call: str
    tier: str
    deadline_ms: int
    share: float
    prompt_tokens: tuple[int, int]
    max_tokens: int
    keyed: bool = False


class Deployment(msgspec.Struct, frozen=True):
    """A deployment.

    :param name: name of the deployment and of its directory in ``examples``.
    :param region: name of the region.
    :param domains: names of the failure domains.
    :param workers: ``WorkerPlan`` of each backend server.
    :param calls: ``CallPlan`` of each kind of call; the first is of the most urgent
        tier.
    :param customers: names of the customers; the first two send the most calls.
    :param rate_per_s: calls per second that use most of the capacity.
    :param entries: number of entries.
    """

    name: str
    region: str
    domains: tuple[str, ...]
    workers: tuple[WorkerPlan, ...]
    calls: tuple[CallPlan, ...]
    customers: tuple[str, ...]
    rate_per_s: float
    entries: int = 8


def _build_engines(service, version, domains, slowdowns):
    return tuple(
        WorkerPlan(
            id=f"{service}-{version}-{index}",
            service=service,
            version=version,
            domain=domains[index % len(domains)],
            slots=4,
            is_engine=True,
            prefill_ms=0.1 * slowdown,
            decode_ms=10.0 * slowdown,
        )
        for index, slowdown in enumerate(slowdowns)
    )


def _build_plain_servers(service, version, domains, count):
    return tuple(
        WorkerPlan(
            id=f"{service}-{version}-{index}",
            service=service,
            version=version,
            domain=domains[index % len(domains)],
            slots=8,
            is_engine=False,
            prefill_ms=0.0,
            decode_ms=20.0,
        )
        for index in range(count)
    )


_OST_DOMAINS = ("graz", "linz", "wien")
_NORTH_DOMAINS = ("tt-north-a", "tt-north-b", "tt-north-c")

MARKTGELD = Deployment(
    name="marktgeld",
    region="ost",
    domains=_OST_DOMAINS,
    workers=(
        *_build_engines("schreibstube", "v1", _OST_DOMAINS, (1.0, 1.0, 1.5, 1.5, 2.5)),
        *_build_plain_servers("torwache", "v1", _OST_DOMAINS, 3),
    ),
    calls=(
        CallPlan("schreibstube", "check-stand", "inspector", 2000, 0.2, (20, 60), 30),
        CallPlan("schreibstube", "tag-receipt", "clerk", 6000, 0.25, (20, 200), 20),
        CallPlan(
            "schreibstube",
            "draft-dunning-letter",
            "clerk",
            12000,
            0.15,
            (100, 800),
            150,
        ),
        CallPlan(
            "schreibstube",
            "reconcile-ledger",
            "batch",
            40000,
            0.1,
            (1000, 6000),
            400,
            True,
        ),
        CallPlan("torwache", "look-up-stand", "inspector", 1500, 0.15, (10, 20), 0),
        CallPlan("torwache", "record-cash", "inspector", 3000, 0.15, (10, 20), 0, True),
    ),
    customers=("graz-markt", "linz-markt", "wels-markt", "leoben-markt", "enns-markt"),
    rate_per_s=22.0,
)

SADDLE_ROAD = Deployment(
    name="saddle-road",
    region="tt-north",
    domains=_NORTH_DOMAINS,
    workers=(
        *_build_engines(
            "wasabi-pool", "v1", _NORTH_DOMAINS, (1.0, 1.0, 1.2, 1.5, 2.0, 2.5)
        ),
        *_build_plain_servers("desk-app", "v1", _NORTH_DOMAINS, 3),
    ),
    calls=(
        CallPlan(
            "wasabi-pool", "summarize-case", "in-session", 4000, 0.3, (200, 1500), 80
        ),
        CallPlan(
            "wasabi-pool",
            "draft-agreement",
            "draft",
            15000,
            0.2,
            (300, 2000),
            200,
            True,
        ),
        CallPlan(
            "wasabi-pool", "classify-complaint", "batch", 40000, 0.2, (50, 4000), 60
        ),
        CallPlan("desk-app", "show-calendar", "in-session", 1500, 0.15, (10, 20), 0),
        CallPlan(
            "desk-app", "send-hearing-notice", "draft", 5000, 0.15, (10, 20), 0, True
        ),
    ),
    customers=(
        "port-of-spain-board",
        "arima-board",
        "tunapuna-board",
        "maraval-board",
        "arouca-board",
    ),
    rate_per_s=22.0,
)

DEPLOYMENTS = {plan.name: plan for plan in (MARKTGELD, SADDLE_ROAD)}
