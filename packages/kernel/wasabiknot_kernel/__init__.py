"""Pure scheduling decisions: typed messages in, typed effects out."""

from wasabiknot_kernel.node import Node, create_node

__all__ = ["Node", "create_node"]
