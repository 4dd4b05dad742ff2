"""Talks to the running system and to the platform's log."""

import msgspec
import treq
from twisted.internet import error
from twisted.web import http

from wasabiknot_kernel import exceptions, moves, peers, records

TIMEOUT_S = 2.0


class SystemUnreachableError(exceptions.WasabiknotError):
    """No entry, or not the log, could be reached."""


class Status(msgspec.Struct, frozen=True):
    """Status of one entry; see the control address of the entry program.

    :param entry: name of the entry.
    :param ready: whether it takes requests.
    :param offset: last log offset in force.
    :param publication: offset of the configuration in force.
    :param publication_id: record id of that publication.
    :param log_age_ms: time since the log last answered.
    :param moves: all moves.
    """

    entry: str
    ready: bool
    offset: int
    publication: int
    publication_id: str
    log_age_ms: int | None
    moves: tuple[moves.MoveReport, ...]


class Worker(msgspec.Struct, frozen=True):
    """A backend server as an entry sees it.

    :param worker: its id.
    :param service: service that it runs.
    :param version: version that it runs.
    :param open: whether it takes new work.
    :param running: requests of the entry in flight on it.
    :param slots: requests that it runs at once.
    """

    worker: str
    service: str
    version: str
    open: bool
    running: int
    slots: int


class VmReport(msgspec.Struct, frozen=True):
    """The VMs as an entry sees them.

    :param entries: the entries.
    :param workers: the backend servers.
    """

    entries: tuple[peers.PeerStatus, ...]
    workers: tuple[Worker, ...]


class TraceLine(msgspec.Struct, frozen=True):
    """One step of a request.

    :param time_ms: time of the step.
    :param step: what happened.
    :param detail: fields, as text.
    """

    time_ms: int
    step: str
    detail: str


class Appended(msgspec.Struct, frozen=True):
    """The log's answer to an append.

    :param offset: offset of the record.
    """

    offset: int


class NewRecord(msgspec.Struct, frozen=True):
    """Body of an append.

    :param data: text of the record.
    """

    data: str


class System:
    """A running deployment.

    :param site: ``sites.Site``.
    """

    def __init__(self, site):
        self._site = site

    async def read_status(self):
        """Reads the status of the first entry that answers.

        :return: ``Status``.
        """
        return await self._ask("/operator/v1/status", Status)

    async def read_vms(self):
        """Reads the list of VMs of the first entry that answers.

        :return: ``VmReport``.
        """
        return await self._ask("/operator/v1/vms", VmReport)

    async def explain(self, request_id):
        """Asks all entries for the steps of a request.

        :param request_id: the request.
        :return: list of ``TraceLine``; empty if nobody knows it.
        """
        path = f"/operator/v1/requests/{request_id}"
        for address in self._site.controls:
            try:
                lines = await _get(address, path, tuple[TraceLine, ...])
            except SystemUnreachableError:
                continue
            if lines:
                return list(lines)
        return []

    async def _ask(self, path, schema):
        for address in self._site.controls:
            try:
                return await _get(address, path, schema)
            except SystemUnreachableError:
                continue
        raise SystemUnreachableError("no entry answers at any control address")

    async def append(self, record):
        """Appends a record to the log.

        :param record: the record.
        :return: its offset, or ``None`` if the answer was lost.
        :raises SystemUnreachableError: if the log refuses it.
        """
        body = msgspec.json.encode(NewRecord(records.encode_record(record).decode()))
        try:
            response = await treq.post(
                f"{self._site.log_url}/v1/records",
                data=body,
                headers={"Content-Type": ["application/json"]},
                timeout=TIMEOUT_S,
            )
            data = await treq.content(response)
        except error.ConnectError as failure:
            raise SystemUnreachableError(f"log service: {failure}") from failure
        except Exception:
            return None
        if response.code == http.SERVICE_UNAVAILABLE:
            raise SystemUnreachableError("log service: unavailable")
        if response.code != http.OK:
            return None
        return msgspec.json.decode(data, type=Appended).offset


async def _get(address, path, schema):
    try:
        response = await treq.get(f"http://{address}{path}", timeout=TIMEOUT_S)
        data = await treq.content(response)
        return msgspec.json.decode(data, type=schema)
    except Exception as failure:
        raise SystemUnreachableError(f"{address}: {failure}") from failure
