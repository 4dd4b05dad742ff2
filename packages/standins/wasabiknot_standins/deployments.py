"""Both of today's deployments: places, backend servers, calls and customers."""

import msgspec


class WorkerPlan(msgspec.Struct, frozen=True):
    """A backend server of a deployment.

    :param id: its id.
    :param service: service that it runs.
    :param version: version that it runs.
    :param domain: failure domain.
    :param slots: requests that it runs at once.
    :param is_engine: model engine or plain service.
    :param prefill_ms: time per prompt token.
    :param decode_ms: time per answer token, or the service time of a plain one.
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

    :param service: service name.
    :param call: call name.
    :param tier: tier name.
    :param deadline_ms: deadline of the service file.
    :param share: fraction of all calls.
    :param prompt_tokens: smallest and largest prompt.
    :param max_tokens: largest answer; 0 for a plain service.
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

    :param name: its name, also of its directory of examples.
    :param region: region.
    :param domains: failure domains.
    :param workers: backend servers.
    :param calls: kinds of calls.
    :param customers: customers; the first ones are large.
    :param rate_per_s: calls each second that use most of the capacity.
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


def _plan_engines(service, version, domains, speeds):
    return tuple(
        WorkerPlan(
            id=f"{service}-{version}-{index}",
            service=service,
            version=version,
            domain=domains[index % len(domains)],
            slots=4,
            is_engine=True,
            prefill_ms=0.1 * factor,
            decode_ms=10.0 * factor,
        )
        for index, factor in enumerate(speeds)
    )


def _plan_plains(service, version, domains, count):
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


_OST = ("graz", "linz", "wien")
_NORTH = ("tt-north-a", "tt-north-b", "tt-north-c")

MARKTGELD = Deployment(
    name="marktgeld",
    region="ost",
    domains=_OST,
    workers=(
        *_plan_engines("schreibstube", "v1", _OST, (1.0, 1.0, 1.5, 1.5, 2.5)),
        *_plan_plains("torwache", "v1", _OST, 3),
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
    domains=_NORTH,
    workers=(
        *_plan_engines("wasabi-pool", "v1", _NORTH, (1.0, 1.0, 1.2, 1.5, 2.0, 2.5)),
        *_plan_plains("desk-app", "v1", _NORTH, 3),
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
