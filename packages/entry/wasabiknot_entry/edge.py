"""Starts the entry of a deployment whose shared state is in the platform's store."""

import sys

from wasabiknot_entry import start_signals


def run():
    """Runs the entry process until it is stopped.

    :return: process exit code.
    """
    received = start_signals.StartSignals()
    received.install()
    # Imported late, as it takes long, and a signal may come meanwhile.
    from wasabiknot_entry import edge_entries

    return edge_entries.run(received)


if __name__ == "__main__":
    sys.exit(run())
