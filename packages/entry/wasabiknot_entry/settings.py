"""Settings of an entry whose shared state is in the platform's log."""

import pathlib
import typing

import msgspec

from wasabiknot_entry import addresses
from wasabiknot_kernel import documents, node, placements, services

Url = typing.Annotated[str, msgspec.Meta(pattern=r"^http://[^/]+$")]
DEFAULT_MAX_BODY_BYTES = 1_048_576
DEFAULT_DRAIN_S = 60.0
DEFAULT_MAX_REQUESTS = 4_096


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one entry.

    :param name: entry name, as in the platform's list of VMs.
    :param region: region in which the entry runs.
    :param domain: failure domain in which the entry runs.
    :param caller_address: listen address for callers.
    :param control_address: listen address for peers and operators.
    :param datagram_address: listen address for datagrams from peers.
    :param log_url: base URL of the log service.
    :param vms_url: base URL of the service that provides the list of VMs.
    :param statsd_address: address of the statsd server; ``None`` to send no metrics.
    :param placement: name of the load-balancing policy, from ``placements``.
    :param queue_limit: maximum number of queued requests.
    :param max_requests: maximum number of open requests.
    :param max_body_bytes: maximum size of a request body, in bytes.
    :param drain_s: longest duration of a graceful shutdown, in seconds.
    :param log_level: lowest level of the log events that are written.
    """

    name: services.Name
    region: services.Name
    domain: services.Name
    caller_address: addresses.Address
    control_address: addresses.Address
    datagram_address: addresses.Address
    log_url: Url
    vms_url: Url
    statsd_address: addresses.Address | None = None
    placement: str = node.DEFAULT_PLACEMENT
    queue_limit: typing.Annotated[int, msgspec.Meta(ge=1)] = node.DEFAULT_QUEUE_LIMIT
    max_requests: typing.Annotated[int, msgspec.Meta(ge=1)] = DEFAULT_MAX_REQUESTS
    max_body_bytes: typing.Annotated[int, msgspec.Meta(ge=1)] = DEFAULT_MAX_BODY_BYTES
    drain_s: typing.Annotated[float, msgspec.Meta(gt=0)] = DEFAULT_DRAIN_S
    log_level: typing.Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


def load_settings(path):
    """Reads and validates a settings file.

    :param path: path of the YAML file.
    :return: ``Success(Settings)`` or ``Failure(DocumentError)``.
    :raises OSError: if the file cannot be read.
    """
    text = pathlib.Path(path).read_text(encoding="utf-8")
    return documents.read_document(text, Settings, str(path)).bind(_check_placement)


def _check_placement(document):
    return documents.check_choice(document, "placement", placements.list_names())
