"""Dispatch of messages to their handlers by message type.

The modules of the kernel register their handlers when they are imported.
"""

import functools


@functools.singledispatch
def handle(message, node):
    """Handles one message.

    :param message: ``messages.Message``.
    :param node: ``node.Node`` that received the message.
    :raises TypeError: if no handler is registered for the type of the message.
    """
    raise TypeError(f"no handler for {type(message).__name__}")
