"""Settings of an entry whose shared state is in the platform's store."""

import pathlib
import typing

import msgspec

from wasabiknot_entry import addresses, buffers
from wasabiknot_kernel import choosers, documents, warmups
from wasabiknot_platform import contracts as platform_contracts

Positive = typing.Annotated[float, msgspec.Meta(gt=0)]
Share = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]
# At least one response of the largest size fits.
BufferBytes = typing.Annotated[int, msgspec.Meta(ge=4 * 1024 * 1024)]

WarmupOverrun = typing.Annotated[float, msgspec.Meta(ge=1)]
WarmupSlack = typing.Annotated[float, msgspec.Meta(ge=0)]


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Service-level bounds of the deployment.

    :param configuration_ms: longest time until a published configuration is active.
    :param leaving_ms: time after which a leaving backend server gets no requests.
    :param grace_s: longest duration of a graceful shutdown.
    :param retry_ratio: retries allowed per request, over the retry window.
    :param retry_window_s: length of the retry window.
    :param retry_slack: retries allowed on top, over all entries together.
    :param allowance_window_s: window over which customers' token usage is counted.
    :param allowance_overrun: fraction by which usage may exceed a customer's limit.
    :param allowance_slack: tokens by which usage may exceed the limit on top of that.
    :param canary_share: fraction of the traffic that an unproven version may get.
    :param canary_slack: requests beyond that which such a version may get.
    :param rollback_ms: longest time until a bad version gets no more requests.
    :param warmup_overrun: factor on the limit of a cold backend server that the
        requests of one second may reach; ``None`` for the default.
    :param warmup_slack: requests that are allowed on top of that; ``None`` likewise.
    """

    configuration_ms: Positive
    leaving_ms: Positive
    grace_s: Positive
    retry_ratio: float
    retry_window_s: Positive
    retry_slack: float
    allowance_window_s: Positive
    allowance_overrun: float
    allowance_slack: float
    canary_share: float
    rollback_ms: Positive
    canary_slack: float = 0.0
    warmup_overrun: WarmupOverrun | None = None
    warmup_slack: WarmupSlack | None = None


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one entry.

    :param name: entry name.
    :param domain: failure domain in which the entry runs.
    :param host: IP address of the entry.
    :param caller_address: listen address for callers.
    :param ready_address: listen address for readiness checks.
    :param ports: first and last port for traffic between entries.
    :param store_address: address of the platform's store.
    :param link_mbps: bandwidth of the network link, in Mbit/s.
    :param cpu_cores: CPU limit, in cores.
    :param beat_ms: interval at which backend servers renew their registration.
    :param bounds: ``Bounds``.
    :param buffer_bytes: bound on the bodies that the entry holds in memory.
    :param placement: name of the load-balancing policy, from ``choosers``.
    :param fair_queueing: whether customers have shares in the engine time of a service.
    :param contracts: contracts that the platform names; one may ask for such shares.
    :param hedge_share: largest share of hedges in all sends; 0 for none.
    :param region: region in which the entry runs, or ``None``.
    :param domain_regions: region of each failure domain, or ``None``.
    """

    name: str
    domain: str
    host: str
    caller_address: addresses.Address
    ready_address: addresses.Address
    ports: tuple[int, int]
    store_address: addresses.Address
    link_mbps: Positive
    cpu_cores: Positive
    beat_ms: Positive
    bounds: Bounds
    buffer_bytes: BufferBytes = buffers.DEFAULT_MAX_BYTES
    placement: str = choosers.DEFAULT_NAME
    fair_queueing: bool = False
    contracts: tuple[str, ...] | None = None
    hedge_share: Share = 0.0
    region: str | None = None
    domain_regions: dict[str, str] | None = None

    @property
    def has_fair_queueing(self):
        """Whether the setting or a contract asks for shares of customers."""
        return self.fair_queueing or platform_contracts.has_fair_queueing(
            self.contracts
        )


def load_settings(path):
    """Reads and validates a settings file.

    :param path: path of the YAML file.
    :return: ``Success(Settings)`` or ``Failure(DocumentError)``.
    :raises OSError: if the file cannot be read.
    """
    text = pathlib.Path(path).read_text(encoding="utf-8")
    read = documents.read_document(text, Settings, str(path))
    return read.bind(_check_placement)


def find_warmup_tolerance(bounds):
    """Finds by how much cold backend servers may get more than their limit.

    :param bounds: ``Bounds``; those that the platform doesn't set have a default.
    :return: ``warmups.Tolerance``.
    """
    default = warmups.Tolerance()
    overrun, slack = bounds.warmup_overrun, bounds.warmup_slack
    return warmups.Tolerance(
        default.overrun if overrun is None else overrun,
        default.slack if slack is None else slack,
    )


def _check_placement(document):
    return documents.check_choice(document, "placement", choosers.list_names())
