"""Passes messages between the tasks of one entry."""

import collections


class Post:
    """Delivers each message to the tasks that subscribed to its type.

    A message that is posted while another is delivered waits for its turn, so a
    task is never entered twice.
    """

    def __init__(self):
        self._subscribers = collections.defaultdict(list)
        self._waiting = collections.deque()
        self._is_delivering = False

    def subscribe(self, message_type, receive):
        """Subscribes a task to a type of message.

        :param message_type: exact type of the messages.
        :param receive: function that takes one message.
        """
        self._subscribers[message_type].append(receive)

    def send(self, message):
        """Sends a message to its subscribers.

        :param message: the message.
        """
        self._waiting.append(message)
        if self._is_delivering:
            return
        self._is_delivering = True
        try:
            while self._waiting:
                self._deliver(self._waiting.popleft())
        finally:
            self._is_delivering = False

    def _deliver(self, message):
        for receive in self._subscribers[type(message)]:
            receive(message)
