"""Writes the numbered log events."""

import logging

from wasabiknot_kernel import effects, events

FORMAT = "%(asctime)s %(levelname)s %(message)s"

_logger = logging.getLogger("wasabiknot")


def configure(level):
    """Sets logging up for the process.

    :param level: lowest level that is written.
    """
    logging.basicConfig(format=FORMAT, level=level)


def write(event, **fields):
    """Writes a log event.

    :param event: ``events.Event``.
    :param fields: values of its text.
    """
    if _logger.isEnabledFor(event.value.level):
        _logger.log(event.value.level, events.format_event(event, fields))


def write_notice(notice):
    """Writes the event that a node asked for.

    :param notice: ``effects.Notice``.
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
    post.subscribe(effects.Notice, write_notice)
