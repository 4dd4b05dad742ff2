"""Publish-subscribe message bus between the tasks of an entry."""

import collections


class MessageBus:
    """Delivers each message to the subscribers of its type, in order.

    A message that is published during a delivery is queued until that delivery is
    finished, so handlers are never re-entered.
    """

    def __init__(self):
        self._subscribers = collections.defaultdict(list)
        self._queue = collections.deque()
        self._is_delivering = False

    def subscribe(self, message_type, handler):
        """Subscribes a handler to a message type.

        :param message_type: exact type of the messages; subclasses are not included.
        :param handler: function of one message.
        """
        self._subscribers[message_type].append(handler)

    def publish(self, message):
        """Publishes a message to the subscribers of its type.

        :param message: the message.
        """
        self._queue.append(message)
        if self._is_delivering:
            return
        self._is_delivering = True
        try:
            while self._queue:
                self._deliver(self._queue.popleft())
        finally:
            self._is_delivering = False

    def _deliver(self, message):
        for handler in self._subscribers[type(message)]:
            handler(message)
