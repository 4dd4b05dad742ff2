"""Writes the numbered log events as JSON lines on standard output."""

import collections
import logging
import os
import time

import msgspec
from twisted import logger

from wasabiknot_kernel import effects, events

# Lines of one event within one second; the rest is counted.
MAX_LINES_PER_S = 200
STDOUT = 1

_logger = logging.getLogger("wasabiknot")


class LineHandler(logging.Handler):
    """Writes lines without ever waiting for the reader.

    :param descriptor: file descriptor.
    """

    def __init__(self, descriptor=STDOUT):
        super().__init__()
        self._descriptor = descriptor
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record):
        """Writes one line, or counts it if the reader is too slow."""
        line = self.format(record).encode() + b"\n"
        try:
            os.write(self._descriptor, line)
        except BlockingIOError:
            self.dropped += 1


class _Limiter:
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
                left_out = count - MAX_LINES_PER_S
                _write(
                    events.Event.LINES_LEFT_OUT,
                    {"event": event.name, "count": left_out},
                )


_limiter = _Limiter()


def configure(level):
    """Sets logging up for the process.

    :param level: lowest level that is written.
    """
    handler = LineHandler()
    handler.setFormatter(logging.Formatter("%(message)s"))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


def observe_failures():
    """Logs the failures that Twisted catches."""
    logger.globalLogBeginner.beginLoggingTo(
        [_observe], redirectStandardIO=False, discardBuffer=True
    )


def _observe(entry):
    failure = entry.get("log_failure")
    if failure is not None:
        log_failure(failure, "twisted")


def write(event, **fields):
    """Writes a log event.

    :param event: ``events.Event``.
    :param fields: values of its text.
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


def write_notice(notice):
    """Writes the event that a node asked for.

    :param notice: ``effects.LogEvent``.
    """
    write(events.Event[notice.event], **notice.fields)


def log_failure(failure, task):
    """Logs the failure of a task; an errback for deferreds.

    :param failure: Twisted failure.
    :param task: name of the task.
    """
    text = failure.getTraceback()
    write(events.Event.TASK_FAILED, task=task, error=text)


def subscribe(post):
    """Subscribes the journal to the node's notices.

    :param post: message delivery.
    """
    post.subscribe(effects.LogEvent, write_notice)
