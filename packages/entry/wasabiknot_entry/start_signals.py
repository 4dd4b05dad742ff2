"""Signals that come while an entry starts.

By default, SIGHUP ends a process. Importing the program takes most of a start, so this
module imports nothing else.
"""

import signal


class StartSignals:
    """Remembers which signals have come before the entry can act on them."""

    def __init__(self):
        self.is_reload_due = False
        self.is_stop_due = False

    def install(self):
        """Handles SIGHUP and SIGTERM from now on, until others handle them."""
        signal.signal(signal.SIGHUP, self._handle_sighup)
        signal.signal(signal.SIGTERM, self._handle_sigterm)

    def _handle_sighup(self, number, frame):
        self.is_reload_due = True

    def _handle_sigterm(self, number, frame):
        self.is_stop_due = True
