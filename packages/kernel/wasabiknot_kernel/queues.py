"""Queues with strict priority between tiers and fair queueing within a tier."""

import collections
import heapq
import itertools


class FairQueue:
    """Weighted fair queue of the customers of one tier.

    Each customer has a virtual time, which grows by the work served divided by the
    customer's weight; the customer with the smallest virtual time is served next.
    The cost is logarithmic in the number of waiting customers.
    """

    def __init__(self):
        self._waiting = {}
        self._virtual_times = {}
        self._heap = []
        self._virtual_now = 0.0
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
        :param front: whether to put it before the customer's other requests.
        """
        customer = request.message.customer
        requests = self._waiting.get(customer)
        if requests is None:
            requests = self._waiting[customer] = collections.deque()
            virtual_time = max(
                self._virtual_times.get(customer, 0.0), self._virtual_now
            )
            self._push_customer(customer, virtual_time)
        if front:
            requests.appendleft(request)
        else:
            requests.append(request)
        self._size += 1

    def remove(self, request):
        """Removes a request if it is in the queue.

        :param request: the request.
        :return: whether it was in the queue.
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

    def list_heads(self, limit):
        """Lists the next request of each customer, smallest virtual time first.

        :param limit: maximum number of customers.
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
        """Removes a request and adds its work to the virtual time of its customer.

        :param request: the request.
        :param weight: weight of the customer.
        """
        customer = request.message.customer
        start = self._virtual_times[customer]
        self._virtual_now = max(self._virtual_now, start)
        self.remove(request)
        self._virtual_times[customer] = start + request.work / weight
        if customer in self._waiting:
            self._push_customer(customer, self._virtual_times[customer])
        if not self._waiting:
            # No customer is waiting, so none can have received less than its share.
            self._virtual_times.clear()
            self._heap.clear()
            self._virtual_now = 0.0

    def find_newest(self):
        """Finds the request that arrived last.

        :return: the request, or ``None`` if the queue is empty.
        """
        return max(self, key=lambda request: request.arrived_ms, default=None)

    def _push_customer(self, customer, virtual_time):
        self._virtual_times[customer] = virtual_time
        heapq.heappush(self._heap, (virtual_time, next(self._sequence), customer))

    def _is_current(self, entry):
        virtual_time, _, customer = entry
        return (
            customer in self._waiting
            and self._virtual_times.get(customer) == virtual_time
        )


class TierQueue:
    """The waiting requests of one service, by tier rank.

    Paused requests are stored separately. They can resume only on the backend server
    that holds their stream, so they are not subject to fair queueing and don't block
    other requests of the same customer.
    """

    def __init__(self):
        self._tiers = {}
        self._paused = {}

    def __len__(self):
        waiting = sum(len(queue) for queue in self._tiers.values())
        return waiting + sum(len(paused) for paused in self._paused.values())

    def __iter__(self):
        for rank in self.list_ranks():
            yield from self.list_tier(rank)

    def push(self, request, front=False):
        """Adds a request to its tier.

        :param request: the request.
        :param front: whether to put it before the customer's other requests.
        """
        self._tiers.setdefault(request.rank, FairQueue()).push(request, front)

    def push_paused(self, request):
        """Adds a paused request to its tier.

        :param request: the request.
        """
        self._paused.setdefault(request.rank, []).append(request)

    def remove(self, request):
        """Removes a request if it is in the queue.

        :param request: the request.
        :return: whether it was in the queue.
        """
        paused = self._paused.get(request.rank, [])
        if request in paused:
            paused.remove(request)
            return True
        queue = self._tiers.get(request.rank)
        return queue is not None and queue.remove(request)

    def serve(self, request, weight):
        """Removes a request that is dispatched or resumed.

        :param request: the request.
        :param weight: weight of its customer.
        """
        if request.pauses:
            self.remove(request)
        else:
            self._tiers[request.rank].serve(request, weight)

    def list_ranks(self):
        """Lists the tiers with waiting requests, most urgent first.

        :return: list of ranks.
        """
        ranks = {rank for rank, queue in self._tiers.items() if queue}
        return sorted(ranks | {rank for rank, items in self._paused.items() if items})

    def list_heads(self, rank, limit):
        """Lists the next requests of a tier: paused ones, then those in fair order.

        :param rank: tier rank.
        :param limit: maximum number of requests that are not paused.
        :return: list of requests.
        """
        queue = self._tiers.get(rank)
        heads = queue.list_heads(limit) if queue is not None else []
        return [*self._paused.get(rank, ()), *heads]

    def list_tier(self, rank):
        """Lists all waiting requests of a tier, paused ones first.

        :param rank: tier rank.
        :return: list of requests.
        """
        return [*self._paused.get(rank, ()), *self._tiers.get(rank, ())]

    def count(self, rank):
        """Counts the waiting requests of a tier.

        :param rank: tier rank.
        :return: number of requests.
        """
        queue = self._tiers.get(rank)
        waiting = len(queue) if queue is not None else 0
        return waiting + len(self._paused.get(rank, ()))

    def find_least_urgent(self):
        """Finds the newest request of the least urgent tier, except paused ones.

        :return: the request, or ``None`` if there is none.
        """
        ranks = [rank for rank, queue in self._tiers.items() if queue]
        return self._tiers[max(ranks)].find_newest() if ranks else None
