"""Waiting requests: strict between tiers, fair between customers of a tier."""

import collections
import heapq
import itertools


class FairQueue:
    """Serves customers in proportion to their weights.

    Each customer has a virtual time that grows by the work served divided by the
    weight; the customer with the smallest one is next. Cost is logarithmic in the
    number of customers that wait.
    """

    def __init__(self):
        self._waiting = {}
        self._times = {}
        self._heap = []
        self._clock = 0.0
        self._sequence = itertools.count()
        self._size = 0

    def __len__(self):
        return self._size

    def __iter__(self):
        for requests in self._waiting.values():
            yield from requests

    def push(self, request, front=False):
        """Adds a request.

        :param request: the request.
        :param front: whether it goes before its customer's other requests.
        """
        customer = request.message.customer
        requests = self._waiting.get(customer)
        if requests is None:
            requests = self._waiting[customer] = collections.deque()
            time = max(self._times.get(customer, 0.0), self._clock)
            self._push_customer(customer, time)
        if front:
            requests.appendleft(request)
        else:
            requests.append(request)
        self._size += 1

    def remove(self, request):
        """Removes a request, if it waits here.

        :param request: the request.
        :return: whether it waited here.
        """
        customer = request.message.customer
        requests = self._waiting.get(customer)
        if requests is None or request not in requests:
            return False
        requests.remove(request)
        self._size -= 1
        if not requests:
            del self._waiting[customer]
        return True

    def heads(self, limit):
        """Lists the next request of each customer in fair order.

        :param limit: largest number of customers.
        :return: list of requests.
        """
        entries = []
        heads = []
        while self._heap and len(heads) < limit:
            entry = heapq.heappop(self._heap)
            if not self._is_current(entry):
                continue
            entries.append(entry)
            heads.append(self._waiting[entry[2]][0])
        for entry in entries:
            heapq.heappush(self._heap, entry)
        return heads

    def serve(self, request, weight):
        """Removes a request and charges its work to its customer.

        :param request: the request.
        :param weight: weight of the customer.
        """
        customer = request.message.customer
        start = self._times[customer]
        self._clock = max(self._clock, start)
        self.remove(request)
        self._times[customer] = start + request.work / weight
        if customer in self._waiting:
            self._push_customer(customer, self._times[customer])
        if not self._waiting:
            # Nobody waits, so nobody can have been treated unfairly.
            self._times.clear()
            self._heap.clear()
            self._clock = 0.0

    def newest(self):
        """Finds the request that arrived last.

        :return: the request, or ``None``.
        """
        return max(self, key=lambda request: request.arrived_ms, default=None)

    def _push_customer(self, customer, time):
        self._times[customer] = time
        heapq.heappush(self._heap, (time, next(self._sequence), customer))

    def _is_current(self, entry):
        time, _, customer = entry
        return customer in self._waiting and self._times.get(customer) == time


class TierQueue:
    """The waiting requests of one service, by tier rank.

    Paused requests are kept apart: they can only go on where they began, so they
    neither hold up their customer's other requests nor wait for their turn.
    """

    def __init__(self):
        self._tiers = {}
        self._paused = {}

    def __len__(self):
        waiting = sum(len(queue) for queue in self._tiers.values())
        return waiting + sum(len(paused) for paused in self._paused.values())

    def __iter__(self):
        for rank in self.tiers():
            yield from self.list_tier(rank)

    def push(self, request, front=False):
        """Adds a request to its tier.

        :param request: the request.
        :param front: whether it goes before its customer's other requests.
        """
        self._tiers.setdefault(request.rank, FairQueue()).push(request, front)

    def push_paused(self, request):
        """Adds a paused request to its tier.

        :param request: the request.
        """
        self._paused.setdefault(request.rank, []).append(request)

    def remove(self, request):
        """Removes a request.

        :param request: the request.
        :return: whether it waited here.
        """
        paused = self._paused.get(request.rank, [])
        if request in paused:
            paused.remove(request)
            return True
        queue = self._tiers.get(request.rank)
        return queue is not None and queue.remove(request)

    def serve(self, request, weight):
        """Removes a request that leaves for a backend server.

        :param request: the request.
        :param weight: weight of its customer.
        """
        if request.pauses:
            self.remove(request)
        else:
            self._tiers[request.rank].serve(request, weight)

    def tiers(self):
        """Lists the tiers in which requests wait, most urgent first.

        :return: list of ranks.
        """
        ranks = {rank for rank, queue in self._tiers.items() if queue}
        return sorted(ranks | {rank for rank, items in self._paused.items() if items})

    def heads(self, rank, limit):
        """Lists the next requests of a tier: paused ones, then in fair order.

        :param rank: tier rank.
        :param limit: largest number of requests that are not paused.
        :return: list of requests.
        """
        queue = self._tiers.get(rank)
        heads = queue.heads(limit) if queue is not None else []
        return [*self._paused.get(rank, ()), *heads]

    def list_tier(self, rank):
        """Lists all requests of a tier.

        :param rank: tier rank.
        :return: list of requests.
        """
        return [*self._paused.get(rank, ()), *self._tiers.get(rank, ())]

    def count(self, rank):
        """Counts the waiting requests of a tier.

        :param rank: tier rank.
        :return: their number.
        """
        queue = self._tiers.get(rank)
        waiting = len(queue) if queue is not None else 0
        return waiting + len(self._paused.get(rank, ()))

    def find_least_urgent(self):
        """Finds the newest request of the least urgent tier; paused ones stay.

        :return: the request, or ``None``.
        """
        ranks = [rank for rank, queue in self._tiers.items() if queue]
        return self._tiers[max(ranks)].newest() if ranks else None
