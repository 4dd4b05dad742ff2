"""Bodies of the control address: status, list of VMs and trace of a request."""

import msgspec

from wasabiknot_kernel import moves, peers


class Status(msgspec.Struct, frozen=True):
    """The configuration and the rollouts at one entry.

    :param entry: name of the entry.
    :param ready: whether it accepts requests.
    :param offset: last log offset that it has applied.
    :param publication: offset of the configuration in force; -1 if there is none.
    :param publication_id: record id of that publication.
    :param log_age_ms: milliseconds since the last successful read of the log; ``None``
        before the first.
    :param moves: latest rollout of each service.
    """

    entry: str
    ready: bool
    offset: int
    publication: int
    publication_id: str
    log_age_ms: int | None
    moves: tuple[moves.MoveReport, ...]


class WorkerReport(msgspec.Struct, frozen=True):
    """The status of a backend server at one entry.

    :param worker: id of the backend server.
    :param service: name of the service that it runs.
    :param version: name of the version that it runs.
    :param open: whether the entry sends new requests to it.
    :param running: number of requests in flight from the entry.
    :param slots: number of requests that it runs concurrently.
    """

    worker: str
    service: str
    version: str
    open: bool
    running: int
    slots: int


class VmReport(msgspec.Struct, frozen=True):
    """The status of all entries and backend servers at one entry.

    :param entries: the entry itself and its peers.
    :param workers: backend servers.
    """

    entries: tuple[peers.PeerStatus, ...]
    workers: tuple[WorkerReport, ...]


class TraceLine(msgspec.Struct, frozen=True):
    """A step in the trace of a request.

    :param time_ms: time of the step in Unix milliseconds.
    :param step: class name of the message or effect.
    :param detail: fields of the message or effect, as text.
    """

    time_ms: int
    step: str
    detail: str
