"""Maps each message type to the function that handles it.

Modules of the kernel register their handlers here when they are imported.
"""

import functools


@functools.singledispatch
def handle(message, node):
    """Handles one message.

    :param message: a ``messages.Message``.
    :param node: the node that received it.
    :raises TypeError: if no handler is registered for its type.
    """
    raise TypeError(f"no handler for {type(message).__name__}")
