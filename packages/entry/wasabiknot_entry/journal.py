"""Writes the numbered log events as JSON lines on standard output."""

import collections
import logging
import os
import time

import msgspec
from twisted import logger

from wasabiknot_kernel import effects, events

# Limit per event; further lines within the second are counted but not written.
MAX_LINES_PER_S = 200
STDOUT = 1

_logger = logging.getLogger("wasabiknot")


class NonBlockingHandler(logging.Handler):
    """Logging handler that drops lines instead of blocking on a slow reader.

    :param descriptor: file descriptor, which is set to non-blocking.
    """

    def __init__(self, descriptor=STDOUT):
        super().__init__()
        self._descriptor = descriptor
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record):
        """Writes one line, or counts it as dropped if nobody takes it.

        The pipe may be full, or its reader may have ended; requests go on without it.
        """
        line = self.format(record).encode() + b"\n"
        try:
            os.write(self._descriptor, line)
        except OSError:
            self.dropped += 1


class _RateLimiter:
    def __init__(self):
        self._second = 0
        self._counts = collections.Counter()

    def admit(self, event):
        second = int(time.monotonic())
        if second != self._second:
            self._report()
            self._second = second
            self._counts.clear()
        self._counts[event] += 1
        return self._counts[event] <= MAX_LINES_PER_S

    def _report(self):
        for event, count in self._counts.items():
            if count > MAX_LINES_PER_S:
                suppressed = count - MAX_LINES_PER_S
                _write(
                    events.Event.LINES_LEFT_OUT,
                    {"event": event.name, "count": suppressed},
                )


_limiter = _RateLimiter()


def configure(level):
    """Configures logging for the process.

    :param level: lowest level that is written.
    """
    handler = NonBlockingHandler()
    handler.setFormatter(logging.Formatter("%(message)s"))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


def log_uncaught_failures():
    """Logs the failures that Twisted catches."""
    logger.globalLogBeginner.beginLoggingTo(
        [_log_twisted_event], redirectStandardIO=False, discardBuffer=True
    )


def _log_twisted_event(event):
    failure = event.get("log_failure")
    if failure is not None:
        log_failure(failure, "twisted")


def write(event, **fields):
    """Writes a log event.

    :param event: ``events.Event``.
    :param fields: fields of the line, which also fill the event's text.
    """
    if _logger.isEnabledFor(event.value.level) and _limiter.admit(event):
        _write(event, fields)


def _write(event, fields):
    line = {
        "time": round(time.time(), 3),
        "event": f"WK{event.value.number}",
        "name": event.name.lower(),
        "text": event.value.text.format(**fields),
        **fields,
    }
    _logger.log(event.value.level, msgspec.json.encode(line).decode())


def write_log_event(effect):
    """Writes a log event that the node emitted.

    :param effect: ``effects.LogEvent``.
    """
    write(events.Event[effect.event], **effect.fields)


def log_failure(failure, task):
    """Logs the failure of a task; usable as an errback.

    :param failure: Twisted failure.
    :param task: name of the task.
    """
    traceback = failure.getTraceback()
    write(events.Event.TASK_FAILED, task=task, error=traceback)


def subscribe(post):
    """Logs the events that the node emits.

    :param post: message bus of the process.
    """
    post.subscribe(effects.LogEvent, write_log_event)
