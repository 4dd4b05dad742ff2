"""Talks to the running system and to the platform's log."""

import msgspec
import treq
from twisted.internet import error
from twisted.web import http

from wasabiknot_kernel import exceptions, records, reports, wire

TIMEOUT_S = 2.0


class SystemUnreachableError(exceptions.WasabiknotError):
    """No entry, or not the log, could be reached."""


class System:
    """A running deployment.

    :param site: ``sites.Site``.
    """

    def __init__(self, site):
        self._site = site

    async def read_status(self):
        """Reads the status of the first entry that answers.

        :return: ``reports.Status``.
        """
        return await self._ask("/operator/v1/status", reports.Status)

    async def read_vms(self):
        """Reads the list of VMs of the first entry that answers.

        :return: ``reports.VmReport``.
        """
        return await self._ask("/operator/v1/vms", reports.VmReport)

    async def explain(self, request_id):
        """Asks all entries for the steps of a request.

        :param request_id: the request.
        :return: list of ``reports.TraceLine``; empty if nobody knows it.
        """
        path = f"/operator/v1/requests/{request_id}"
        for address in self._site.controls:
            try:
                lines = await _get(address, path, tuple[reports.TraceLine, ...])
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
        body = msgspec.json.encode(
            wire.LogAppend(records.encode_record(record).decode())
        )
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
        return msgspec.json.decode(data, type=wire.LogAppended).offset


async def _get(address, path, schema):
    try:
        response = await treq.get(f"http://{address}{path}", timeout=TIMEOUT_S)
        data = await treq.content(response)
        return msgspec.json.decode(data, type=schema)
    except Exception as failure:
        raise SystemUnreachableError(f"{address}: {failure}") from failure
