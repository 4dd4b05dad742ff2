"""Publishes a configuration and waits until all entries have applied it."""

import enum
import uuid

import msgspec
from twisted.internet import task

from wasabiknot_kernel import records

POLL_INTERVAL_S = 0.2
# An entry whose last digest is older counts as lagging.
MAX_DIGEST_AGE_MS = 5_000
APPEND_ATTEMPTS = 5


class PublishState(enum.Enum):
    """Outcomes of a publication."""

    IN_FORCE = "in-force"
    LAGGING = "lagging"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


class PublishReport(msgspec.Struct, frozen=True):
    """The result of a publication.

    :param state: outcome of the publication.
    :param offset: its offset in the log; -1 if unknown.
    :param waited_s: time until it was in force or the wait timed out, in seconds; 0
        for a conflict.
    :param lagging: entries in which it is not in force.
    """

    state: PublishState
    offset: int
    waited_s: float
    lagging: tuple[str, ...] = ()


async def publish(client, configuration, timeout_s, reactor):
    """Publishes a configuration.

    :param client: ``systems.SystemClient``.
    :param configuration: ``services.Configuration``.
    :param timeout_s: timeout until the configuration is in force, in seconds.
    :param reactor: Twisted reactor.
    :return: ``PublishReport``.
    :raises systems.SystemUnreachableError: if no entry responds or the log service
        refuses the record.
    """
    previous_status = await client.fetch_status()
    record = records.Publication(
        record_id=f"publication/{uuid.uuid4()}",
        based_on=previous_status.publication,
        configuration=configuration,
    )
    start_s = reactor.seconds()
    # Appending the record again after a lost response is idempotent: the second copy
    # is based on an offset that the first copy has already replaced.
    for _ in range(APPEND_ATTEMPTS):
        if await client.append(record) is not None:
            break
    return await _wait_until_in_force(
        client, record, previous_status, start_s + timeout_s, reactor
    )


async def _wait_until_in_force(client, record, previous_status, deadline_s, reactor):
    start_s = reactor.seconds()
    lagging = ()
    offset = -1
    while reactor.seconds() < deadline_s:
        status = await client.fetch_status()
        if status.publication != previous_status.publication:
            offset = status.publication
            if status.publication_id != record.record_id:
                return PublishReport(PublishState.CONFLICT, offset, 0.0)
            lagging = _list_lagging(await client.fetch_vms(), offset)
            if not lagging:
                waited_s = round(reactor.seconds() - start_s, 3)
                return PublishReport(PublishState.IN_FORCE, offset, waited_s)
        await task.deferLater(reactor, POLL_INTERVAL_S)
    waited_s = round(reactor.seconds() - start_s, 3)
    state = PublishState.LAGGING if lagging else PublishState.UNKNOWN
    return PublishReport(state, offset, waited_s, lagging)


def _list_lagging(report, offset):
    return tuple(
        item.entry
        for item in report.entries
        if item.publication < offset
        or item.heard_ms_ago is None
        or item.heard_ms_ago > MAX_DIGEST_AGE_MS
    )
