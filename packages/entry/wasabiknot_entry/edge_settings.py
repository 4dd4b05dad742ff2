"""Settings of an entry on a platform with a store."""

import pathlib
import typing

import msgspec

from wasabiknot_entry import addresses
from wasabiknot_kernel import choosers, documents

Positive = typing.Annotated[float, msgspec.Meta(gt=0)]


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds that the deployment promises.

    :param configuration_ms: time in which a configuration is in force.
    :param leaving_ms: time after which a leaving backend server gets no work.
    :param grace_s: time that a graceful shutdown may take.
    :param retry_ratio: repeats allowed for each request.
    :param retry_window_s: window of that ratio.
    :param retry_slack: repeats that all entries together may add.
    :param allowance_window_s: window in which customers' use is counted.
    :param allowance_overrun: part of a limit by which use may exceed it.
    :param allowance_slack: tokens beyond that.
    :param canary_share: part of the traffic that an unproven version may get.
    :param rollback_ms: time in which a bad version must be left.
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


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one entry.

    :param name: name of the entry.
    :param domain: failure domain in which it runs.
    :param host: its IP number.
    :param caller_address: address for callers.
    :param ready_address: address for readiness checks.
    :param ports: first and last port for use between entries.
    :param store_address: address of the platform's store.
    :param link_mbps: width of its link.
    :param cpu_cores: processor that it may use, in cores.
    :param beat_ms: interval at which backend servers renew their registration.
    :param bounds: ``Bounds``.
    :param placement: name of the way to choose backend servers.
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
    placement: str = choosers.DEFAULT_NAME


def load_settings(path):
    """Reads and checks a settings file.

    :param path: path of the YAML file.
    :return: ``Success(Settings)`` or ``Failure(DocumentError)``.
    """
    text = pathlib.Path(path).read_text(encoding="utf-8")
    read = documents.read_document(text, Settings, str(path))
    return read.bind(_check_placement)


def _check_placement(document):
    return documents.check_choice(document, "placement", choosers.list_names())
