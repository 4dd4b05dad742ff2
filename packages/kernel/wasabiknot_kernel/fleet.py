"""Availability, load and speed of the backend servers, as known to one entry."""

import collections

from wasabiknot_kernel import estimates, messages

UNREACHABLE_BACKOFF_MS = 1_000
LEAVING_TIMEOUT_MS = 30_000


class Worker:
    """A backend server.

    :param vm: its entry in the platform's list of VMs.
    """

    def __init__(self, vm):
        self.vm = vm
        self.running = {}
        self.speed = estimates.Speed()
        self.report = None
        self.unreachable_until_ms = 0
        self.leaving_until_ms = 0
        self.slot_share = None

    @property
    def id(self):
        """Id of the backend server."""
        return self.vm.id

    @property
    def boot(self):
        """Id of the server process; empty before the first load report."""
        return self.report.boot if self.report is not None else ""

    def is_in_service(self, now_ms):
        """Tells whether the server is listed as live and not leaving.

        A server in service may still be unreachable for a short time.

        :param now_ms: current time in milliseconds.
        :return: ``True`` if requests may wait for the server.
        """
        return (
            self.vm.state is messages.VmState.LIVE and now_ms >= self.leaving_until_ms
        )

    def is_available(self, now_ms):
        """Tells whether requests may be sent to the server now.

        :param now_ms: current time in milliseconds.
        :return: ``True`` if it is live, reachable and not leaving.
        """
        return self.is_in_service(now_ms) and now_ms >= self.unreachable_until_ms

    def count_running(self, max_rank=None):
        """Counts the in-flight requests of this entry.

        :param max_rank: rank of the least urgent tier to count; ``None`` for all.
        :return: number of requests.
        """
        if max_rank is None:
            return len(self.running)
        return sum(1 for item in self.running.values() if item.rank <= max_rank)


class Fleet:
    """The backend servers that this entry may use, by id and by service."""

    def __init__(self):
        self._workers = {}
        self._by_service = collections.defaultdict(dict)

    def __iter__(self):
        return iter(self._workers.values())

    def __len__(self):
        return len(self._workers)

    def find(self, worker_id):
        """Finds a backend server.

        :param worker_id: id of the backend server.
        :return: the ``Worker``, or ``None``.
        """
        return self._workers.get(worker_id)

    def list_workers(self, service):
        """Lists the backend servers of a service.

        :param service: service name.
        :return: view of ``Worker`` objects.
        """
        return self._by_service[service].values()

    def list_available_versions(self, service, now_ms):
        """Lists the versions that have an available backend server.

        :param service: service name.
        :param now_ms: current time in milliseconds.
        :return: set of version names.
        """
        workers = self.list_workers(service)
        return {item.vm.version for item in workers if item.is_available(now_ms)}

    def update(self, vms):
        """Replaces the list of backend servers.

        Servers that stay listed keep their state unless their service changes.

        :param vms: ``messages.Vm`` of all listed backend servers.
        """
        vms_by_id = {vm.id: vm for vm in vms}
        for worker_id in set(self._workers) - set(vms_by_id):
            worker = self._workers.pop(worker_id)
            del self._by_service[worker.vm.service][worker_id]
        for vm in vms:
            self._update_worker(vm)

    def _update_worker(self, vm):
        worker = self._workers.get(vm.id)
        if worker is not None and worker.vm.service != vm.service:
            del self._by_service[worker.vm.service][vm.id]
            worker = None
        if worker is None:
            worker = Worker(vm)
            self._workers[vm.id] = worker
        worker.vm = vm
        self._by_service[vm.service][vm.id] = worker

    def apply_report(self, report, now_ms):
        """Applies a load report if it is newer than the last one.

        :param report: the report.
        :param now_ms: current time in milliseconds.
        :return: whether the report was applied.
        """
        worker = self._workers.get(report.worker)
        if worker is None:
            return False
        if worker.report is not None and worker.report.taken_ms >= report.taken_ms:
            return False
        worker.report = report
        if report.leaving:
            worker.leaving_until_ms = now_ms + LEAVING_TIMEOUT_MS
        return True

    def mark_unreachable(self, worker_id, now_ms):
        """Takes a backend server out of use for ``UNREACHABLE_BACKOFF_MS``.

        :param worker_id: id of the backend server.
        :param now_ms: current time in milliseconds.
        """
        worker = self._workers.get(worker_id)
        if worker is not None:
            worker.unreachable_until_ms = now_ms + UNREACHABLE_BACKOFF_MS

    def mark_leaving(self, worker_id, now_ms):
        """Takes a backend server that rejected a request out of use.

        The server is used again after ``LEAVING_TIMEOUT_MS`` unless its load reports
        say that it is still leaving.

        :param worker_id: id of the backend server.
        :param now_ms: current time in milliseconds.
        """
        worker = self._workers.get(worker_id)
        if worker is not None:
            worker.leaving_until_ms = now_ms + LEAVING_TIMEOUT_MS
