"""Formats reports as text for operators."""

import datetime
import functools

from wasabiknot_kernel import reports
from wasabiknot_operator import publications


def _format_time(time_ms):
    moment = datetime.datetime.fromtimestamp(time_ms / 1000, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")


@functools.singledispatch
def format_lines(report):
    """Formats a report as lines of text.

    :param report: report structure; each type has a formatter of its own.
    :return: list of lines.
    :raises TypeError: if the type has no formatter.
    """
    raise TypeError(f"no format for {type(report).__name__}")


@format_lines.register
def _(report: publications.PublishReport):
    state = publications.PublishState
    texts = {
        state.IN_FORCE: f"in force everywhere after {report.waited_s} s",
        state.LAGGING: f"not yet in force at: {', '.join(report.lagging)}",
        state.CONFLICT: "rejected: another operator published first",
        state.UNKNOWN: "outcome unknown: publish again to find out",
    }
    return [f"offset {report.offset}: {texts[report.state]}"]


@format_lines.register
def _(report: reports.Status):
    ready = "ready" if report.ready else "not ready"
    log = "never" if report.log_age_ms is None else f"{report.log_age_ms} ms ago"
    lines = [
        f"{report.entry}: {ready}, configuration {report.publication}, log read {log}"
    ]
    return lines + [_format_move(move) for move in report.moves]


def _format_move(move):
    due = _format_time(move.due_ms)
    if move.state == "running":
        late = "late" if move.late else "on time"
        return (
            f"{move.service}: moving to {move.target}, {move.share_percent:g}%,"
            f" {late} for {due} ({move.reason})"
        )
    ended = _format_time(move.ended_ms)
    late = ", late" if move.late and move.state == "finished" else ""
    return f"{move.service}: {move.target} {move.state} {ended}{late}: {move.reason}"


@format_lines.register
def _(report: reports.VmReport):
    lines = [_format_entry(entry) for entry in report.entries]
    for item in report.workers:
        state = "open" if item.open else "closed"
        lines.append(
            f"worker {item.worker}: {item.service} {item.version}, {state},"
            f" {item.running} of {item.slots} slots used by this entry"
        )
    return lines


def _format_entry(entry):
    last_digest = (
        "never" if entry.heard_ms_ago is None else f"{entry.heard_ms_ago} ms ago"
    )
    stopping = ", stopping" if entry.stopping else ""
    return (
        f"entry {entry.entry}: configuration {entry.publication},"
        f" offset {entry.offset}, last digest: {last_digest}{stopping}"
    )


@format_lines.register
def _(report: list):
    return [
        f"{_format_time(line.time_ms)} {line.step}: {line.detail}" for line in report
    ]
