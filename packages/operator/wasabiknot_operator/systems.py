"""HTTP client of the entries' control addresses and of the log service."""

import msgspec
import treq
from twisted.internet import error, reactor
from twisted.web import http

from wasabiknot_entry import agents
from wasabiknot_kernel import exceptions, records, reports, wire

TIMEOUT_S = 2.0


class SystemUnreachableError(exceptions.WasabiknotError):
    """No entry responded, or the log service could not be reached."""


class SystemClient:
    """Client of a running deployment.

    :param site: ``sites.Site``.
    """

    def __init__(self, site):
        self._site = site
        self._http = agents.create_client(reactor, TIMEOUT_S)

    async def fetch_status(self):
        """Fetches the status of the first entry that responds.

        :return: ``reports.Status``.
        :raises SystemUnreachableError: if no entry responds.
        """
        return await self._fetch_first("/operator/v1/status", reports.Status)

    async def fetch_vms(self):
        """Fetches the list of VMs from the first entry that responds.

        :return: ``reports.VmReport``.
        :raises SystemUnreachableError: if no entry responds.
        """
        return await self._fetch_first("/operator/v1/vms", reports.VmReport)

    async def fetch_trace(self, request_id):
        """Fetches the trace of a request from the first entry that has one.

        :param request_id: id of the request.
        :return: list of ``reports.TraceLine``; empty if no entry has a trace.
        """
        path = f"/operator/v1/requests/{request_id}"
        for address in self._site.controls:
            try:
                lines = await self._get(address, path, tuple[reports.TraceLine, ...])
            except SystemUnreachableError:
                continue
            if lines:
                return list(lines)
        return []

    async def _fetch_first(self, path, schema):
        for address in self._site.controls:
            try:
                return await self._get(address, path, schema)
            except SystemUnreachableError:
                continue
        raise SystemUnreachableError("no entry responds at any control address")

    async def append(self, record):
        """Appends a record to the log.

        :param record: ``records.Record``.
        :return: its offset, or ``None`` if the append may have failed and can be
            retried.
        :raises SystemUnreachableError: if the connection is refused or the log
            service is unavailable.
        """
        body = msgspec.json.encode(
            wire.LogAppend(records.encode_record(record).decode())
        )
        try:
            response = await self._http.post(
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

    async def _get(self, address, path, schema):
        try:
            response = await self._http.get(
                f"http://{address}{path}", timeout=TIMEOUT_S
            )
            data = await treq.content(response)
            return msgspec.json.decode(data, type=schema)
        except Exception as failure:
            raise SystemUnreachableError(f"{address}: {failure}") from failure
