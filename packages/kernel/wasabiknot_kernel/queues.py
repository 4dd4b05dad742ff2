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
    """The waiting requests of one service, by tier rank."""

    def __init__(self):
        self._tiers = {}

    def __len__(self):
        return sum(len(queue) for queue in self._tiers.values())

    def __iter__(self):
        for rank in sorted(self._tiers):
            yield from self._tiers[rank]

    def push(self, request, front=False):
        """Adds a request to its tier.

        :param request: the request.
        :param front: whether it goes before its customer's other requests.
        """
        self._tiers.setdefault(request.rank, FairQueue()).push(request, front)

    def remove(self, request):
        """Removes a request.

        :param request: the request.
        :return: whether it waited here.
        """
        queue = self._tiers.get(request.rank)
        return queue is not None and queue.remove(request)

    def serve(self, request, weight):
        """Removes a request that leaves for a backend server.

        :param request: the request.
        :param weight: weight of its customer.
        """
        self._tiers[request.rank].serve(request, weight)

    def tiers(self):
        """Lists the tiers in which requests wait, most urgent first.

        :return: list of ranks.
        """
        return sorted(rank for rank, queue in self._tiers.items() if queue)

    def heads(self, rank, limit):
        """Lists the next requests of a tier in fair order.

        :param rank: tier rank.
        :param limit: largest number of requests.
        :return: list of requests.
        """
        return self._tiers[rank].heads(limit)

    def count(self, rank):
        """Counts the waiting requests of a tier.

        :param rank: tier rank.
        :return: their number.
        """
        queue = self._tiers.get(rank)
        return len(queue) if queue is not None else 0

    def newest_below(self, rank):
        """Finds the request to drop first for a more urgent one.

        :param rank: tier rank of the more urgent request.
        :return: the newest request of the least urgent tier, or ``None``.
        """
        for lower in reversed(self.tiers()):
            if lower > rank:
                return self._tiers[lower].newest()
        return None
