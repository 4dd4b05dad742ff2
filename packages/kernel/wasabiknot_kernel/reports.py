"""Reports of the control address: status, VMs and steps of a request."""

import msgspec

from wasabiknot_kernel import moves, peers


class Status(msgspec.Struct, frozen=True):
    """What an entry knows of the configuration and the moves.

    :param entry: name of the entry.
    :param ready: whether it takes requests.
    :param offset: last log offset in force.
    :param publication: offset of the configuration in force; -1 for none.
    :param publication_id: record id of that publication.
    :param log_age_ms: time since the log last answered; ``None`` if never.
    :param moves: all moves.
    """

    entry: str
    ready: bool
    offset: int
    publication: int
    publication_id: str
    log_age_ms: int | None
    moves: tuple[moves.MoveReport, ...]


class WorkerReport(msgspec.Struct, frozen=True):
    """A backend server as one entry sees it.

    :param worker: its id.
    :param service: service that it runs.
    :param version: version that it runs.
    :param open: whether it takes new work.
    :param running: requests of this entry in flight on it.
    :param slots: requests that it runs at once.
    """

    worker: str
    service: str
    version: str
    open: bool
    running: int
    slots: int


class VmReport(msgspec.Struct, frozen=True):
    """The entries and backend servers as one entry sees them.

    :param entries: this entry and its peers.
    :param workers: backend servers.
    """

    entries: tuple[peers.PeerStatus, ...]
    workers: tuple[WorkerReport, ...]


class TraceLine(msgspec.Struct, frozen=True):
    """One step of a request.

    :param time_ms: time of the step, in Unix milliseconds.
    :param step: name of the message or effect.
    :param detail: its fields, as text.
    """

    time_ms: int
    step: str
    detail: str
