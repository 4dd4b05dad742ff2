"""The entry program: tasks that own sockets around one scheduling node."""
