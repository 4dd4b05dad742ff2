"""The configuration that operators publish: deployment and service files."""

import datetime
import enum
import typing

import msgspec

Name = typing.Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Milliseconds = typing.Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]
Percent = typing.Annotated[float, msgspec.Meta(ge=0, le=100)]
Weight = typing.Annotated[float, msgspec.Meta(gt=0, le=1000)]
DEFAULT_CLAIM_RETENTION_MS = 300_000


class ServiceKind(enum.Enum):
    """The kinds of service, by the backend servers that run it."""

    ENGINE = "engine"
    PLAIN = "plain"


class KeyRule(enum.Enum):
    """How the entry that owns an idempotency key is determined."""

    HOMES = "homes"
    CLAIMS = "claims"


class Call(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A call that a service offers.

    :param name: name of the call.
    :param tier: name of a tier in the deployment file.
    :param deadline_ms: time from arrival to the complete response, in milliseconds.
    :param repeatable: whether the call is idempotent, so that it may run twice.
    """

    name: Name
    tier: Name
    deadline_ms: Milliseconds
    repeatable: bool = False


class Version(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The target share of a backend server version.

    :param name: version name, as in the list of VMs.
    :param share_percent: share of the service's traffic, in percent.
    :param by: time by which the share must be reached; ``None`` for immediately.
    """

    name: Name
    share_percent: Percent
    by: datetime.datetime | None = None


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The configuration file of a service.

    :param service: name of the service.
    :param kind: model engine or plain service.
    :param calls: calls that the service offers.
    :param versions: target shares of its versions.
    :param checks_fencing: whether its backend servers reject requests with a stale
        fencing token.
    """

    service: Name
    kind: ServiceKind
    calls: tuple[Call, ...]
    versions: tuple[Version, ...]
    checks_fencing: bool = False

    def find_call(self, name):
        """Finds a call by its name.

        :param name: name of the call.
        :return: ``Call``, or ``None``.
        """
        return next((call for call in self.calls if call.name == name), None)


class Customer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A customer with a weight other than the default of 1.

    :param name: name of the customer.
    :param weight: share of a tier's capacity, relative to other customers.
    """

    name: Name
    weight: Weight = 1.0


class Deployment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The configuration file of a deployment.

    :param tiers: tier names, most urgent first.
    :param customers: customers with a weight other than the default.
    :param claim_retention_ms: age from which a caller's idempotency key is rejected,
        in milliseconds.
    :param key_rule: how the entry that owns an idempotency key is determined.
    """

    tiers: tuple[Name, ...]
    customers: tuple[Customer, ...] = ()
    claim_retention_ms: Milliseconds = DEFAULT_CLAIM_RETENTION_MS
    key_rule: KeyRule = KeyRule.HOMES

    def find_rank(self, tier):
        """Finds the rank of a tier.

        :param tier: tier name.
        :return: rank; 0 is the most urgent.
        :raises ValueError: if there is no such tier.
        """
        return self.tiers.index(tier)

    def find_weight(self, customer):
        """Finds the weight of a customer.

        :param customer: customer name.
        :return: weight, 1 by default.
        """
        for item in self.customers:
            if item.name == customer:
                return item.weight
        return 1.0


class Configuration(msgspec.Struct, frozen=True):
    """The files that one publication activates together.

    :param deployment: the deployment file.
    :param services: the service files.
    """

    deployment: Deployment
    services: tuple[Service, ...]

    def find_service(self, name):
        """Finds a service by its name.

        :param name: name of the service.
        :return: ``Service``, or ``None``.
        """
        return next((item for item in self.services if item.service == name), None)


def check_configuration(deployment, services):
    """Checks a deployment file and its service files for consistency.

    :param deployment: ``Document`` of the deployment.
    :param services: list of ``Document``, one for each service.
    :return: list of ``documents.Fault``; empty if the files are consistent.
    """
    faults = []
    if not deployment.value.tiers:
        faults.append(deployment.describe_fault("tiers", "expected at least one tier"))
    if len(set(deployment.value.tiers)) < len(deployment.value.tiers):
        faults.append(deployment.describe_fault("tiers", "expected different names"))
    seen = set()
    for document in services:
        faults.extend(_check_service(document, deployment.value.tiers))
        if document.value.service in seen:
            faults.append(
                document.describe_fault("service", "expected a name used once")
            )
        seen.add(document.value.service)
    return faults


def _check_service(document, tiers):
    service = document.value
    names = [call.name for call in service.calls]
    for index, call in enumerate(service.calls):
        if call.tier not in tiers:
            expected = f"expected one of: {', '.join(tiers)} (found {call.tier!r})"
            yield document.describe_fault(f"calls[{index}].tier", expected)
        if call.name in names[:index]:
            yield document.describe_fault(
                f"calls[{index}].name", "expected a name used once"
            )
    if not service.calls:
        yield document.describe_fault("calls", "expected at least one call")
    yield from _check_versions(document)


def _check_versions(document):
    versions = document.value.versions
    total = sum(version.share_percent for version in versions)
    if abs(total - 100) > 0.01:
        expected = f"expected shares that add up to 100 (found {total:g})"
        yield document.describe_fault("versions", expected)
    names = [version.name for version in versions]
    for index, version in enumerate(versions):
        if version.name in names[:index]:
            path = f"versions[{index}].name"
            yield document.describe_fault(path, "expected a name used once")
        if version.by is not None and version.by.tzinfo is None:
            path = f"versions[{index}].by"
            yield document.describe_fault(path, "expected a time with a time zone")
