"""Publishes a configuration and waits until it is in force everywhere."""

import enum
import uuid

import msgspec
from twisted.internet import task

from wasabiknot_kernel import records

POLL_S = 0.2
SILENT_MS = 5_000
APPEND_TRIES = 5


class PublishState(enum.Enum):
    """Results of a publication."""

    IN_FORCE = "in-force"
    LAGGING = "lagging"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


class PublishReport(msgspec.Struct, frozen=True):
    """The result of a publication.

    :param state: what became of it.
    :param offset: its offset in the log; -1 if unknown.
    :param waited_s: time until it was in force, in seconds.
    :param lagging: entries in which it is not in force.
    """

    state: PublishState
    offset: int
    waited_s: float
    lagging: tuple[str, ...] = ()


async def publish(system, configuration, timeout_s, reactor):
    """Publishes a configuration.

    :param system: ``systems.System``.
    :param configuration: the configuration.
    :param timeout_s: time to wait until it is in force.
    :param reactor: Twisted reactor.
    :return: ``PublishReport``.
    """
    before = await system.read_status()
    record = records.Publication(
        record_id=f"publication/{uuid.uuid4()}",
        based_on=before.publication,
        configuration=configuration,
    )
    start_s = reactor.seconds()
    # The same record is appended again after a lost answer: its second copy is
    # based on an offset that its first copy has already replaced.
    for _ in range(APPEND_TRIES):
        if await system.append(record) is not None:
            break
    return await _wait(system, record, before, start_s + timeout_s, reactor)


async def _wait(system, record, before, deadline_s, reactor):
    start_s = reactor.seconds()
    lagging = ()
    offset = -1
    while reactor.seconds() < deadline_s:
        status = await system.read_status()
        if status.publication != before.publication:
            offset = status.publication
            if status.publication_id != record.record_id:
                return PublishReport(PublishState.CONFLICT, offset, 0.0)
            lagging = _list_lagging(await system.read_vms(), offset)
            if not lagging:
                waited_s = round(reactor.seconds() - start_s, 3)
                return PublishReport(PublishState.IN_FORCE, offset, waited_s)
        await task.deferLater(reactor, POLL_S)
    waited_s = round(reactor.seconds() - start_s, 3)
    state = PublishState.LAGGING if lagging else PublishState.UNKNOWN
    return PublishReport(state, offset, waited_s, lagging)


def _list_lagging(report, offset):
    return tuple(
        item.entry
        for item in report.entries
        if item.publication < offset
        or item.heard_ms_ago is None
        or item.heard_ms_ago > SILENT_MS
    )
