"""Backend servers as one entry sees them."""

import collections

from wasabiknot_kernel import estimates, messages

UNREACHABLE_MS = 1_000
LEAVING_REPORT_MS = 30_000


class Worker:
    """A backend server.

    :param vm: its entry in the platform's list.
    """

    def __init__(self, vm):
        self.vm = vm
        self.running = {}
        self.speed = estimates.Speed()
        self.report = None
        self.unreachable_until_ms = 0
        self.leaving_until_ms = 0
        self.allowance = None

    @property
    def id(self):
        """Id of the backend server."""
        return self.vm.id

    @property
    def boot(self):
        """Id of its process, or an empty text while unknown."""
        return self.report.boot if self.report is not None else ""

    def is_staying(self, now_ms):
        """Whether it is on the list and not leaving; it may be unreachable.

        :param now_ms: present time.
        :return: ``True`` if requests may wait for it.
        """
        return (
            self.vm.state is messages.VmState.LIVE and now_ms >= self.leaving_until_ms
        )

    def is_available(self, now_ms):
        """Whether it takes new work.

        :param now_ms: present time.
        :return: ``True`` if it is live, reachable and not leaving.
        """
        return self.is_staying(now_ms) and now_ms >= self.unreachable_until_ms

    def count(self, worst_rank=None):
        """Counts own requests in flight.

        :param worst_rank: if given, only tiers up to this rank count.
        :return: their number.
        """
        if worst_rank is None:
            return len(self.running)
        return sum(1 for item in self.running.values() if item.rank <= worst_rank)


class Fleet:
    """All backend servers that this entry may use."""

    def __init__(self):
        self._workers = {}
        self._by_service = collections.defaultdict(dict)

    def __iter__(self):
        return iter(self._workers.values())

    def __len__(self):
        return len(self._workers)

    def find(self, worker_id):
        """Finds a backend server.

        :param worker_id: its id.
        :return: the ``Worker``, or ``None``.
        """
        return self._workers.get(worker_id)

    def list_workers(self, service):
        """Lists the backend servers of a service.

        :param service: service name.
        :return: view of ``Worker`` objects.
        """
        return self._by_service[service].values()

    def list_versions(self, service, now_ms):
        """Lists the versions that have an open backend server.

        :param service: service name.
        :param now_ms: present time.
        :return: set of version names.
        """
        workers = self.list_workers(service)
        return {item.vm.version for item in workers if item.is_available(now_ms)}

    def update(self, vms):
        """Takes a new list of VMs.

        :param vms: all listed backend servers.
        """
        listed = {vm.id: vm for vm in vms}
        for worker_id in set(self._workers) - set(listed):
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

    def take_report(self, report, now_ms):
        """Takes a load report unless a newer one is known.

        :param report: the report.
        :param now_ms: present time.
        :return: whether it was news.
        """
        worker = self._workers.get(report.worker)
        if worker is None:
            return False
        if worker.report is not None and worker.report.taken_ms >= report.taken_ms:
            return False
        worker.report = report
        if report.leaving:
            worker.leaving_until_ms = now_ms + LEAVING_REPORT_MS
        return True

    def mark_unreachable(self, worker_id, now_ms):
        """Keeps a backend server out of use for a short time.

        :param worker_id: its id.
        :param now_ms: present time.
        """
        worker = self._workers.get(worker_id)
        if worker is not None:
            worker.unreachable_until_ms = now_ms + UNREACHABLE_MS

    def mark_leaving(self, worker_id, now_ms):
        """Keeps a backend server out of use because it refused new work.

        :param worker_id: its id.
        :param now_ms: present time.
        """
        worker = self._workers.get(worker_id)
        if worker is not None:
            worker.leaving_until_ms = now_ms + LEAVING_REPORT_MS
