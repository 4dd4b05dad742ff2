"""Logs changes of what an entry knows of backend servers and services."""

from wasabiknot_entry import journal
from wasabiknot_kernel import events, statements


def log_statement(change):
    """Logs what a backend server has newly stated.

    :param change: ``statements.Change``.
    """
    source = change.source.value
    if change.kind is statements.ChangeKind.LIMITED:
        event = events.Event.LIMIT_STATED
        journal.write(
            event, server=change.server_id, rate_per_s=change.value, source=source
        )
    elif change.kind is statements.ChangeKind.UNLIMITED:
        event = events.Event.LIMIT_ENDED
        journal.write(event, server=change.server_id, source=source)
    elif change.kind is statements.ChangeKind.LEAVING:
        event = events.Event.LEAVING_STATED
        journal.write(event, server=change.server_id, source=source)
    elif change.kind is statements.ChangeKind.COLD:
        journal.write(
            events.Event.SERVER_COLD,
            server=change.server_id,
            seconds=change.value,
            reason=change.reason,
        )
    elif change.kind is statements.ChangeKind.WARM:
        journal.write(events.Event.SERVER_WARM, server=change.server_id)
    else:
        event = events.Event.DEFERRAL_STATED
        journal.write(event, server=change.server_id, seconds=change.value)


def log_path(change):
    """Logs that a service is no longer reached, or reached again.

    :param change: ``paths.PathChange``.
    """
    if change.is_reached:
        away_ms = round(change.away_s * 1_000)
        journal.write(
            events.Event.SERVICE_REACHED, service=change.service, away_ms=away_ms
        )
        return
    journal.write(
        events.Event.SERVICE_UNREACHED,
        service=change.service,
        failed=change.failed,
        open=change.open_count,
    )


def log_brittle(change):
    """Logs that servers of a service have become brittle, or are so no more.

    :param change: ``brittleness.BrittleChange``.
    """
    source = change.source.value
    if change.rejections_per_s is None:
        journal.write(events.Event.BRITTLE_ENDED, service=change.service, source=source)
        return
    journal.write(
        events.Event.BRITTLE_STATED,
        service=change.service,
        rejections_per_s=change.rejections_per_s,
        source=source,
    )


def log_share(change):
    """Logs that a customer has come above its share, or is within it again.

    :param change: ``share_changes.ShareChange``.
    """
    names = {"service": change.service, "customer": change.customer or "none"}
    if not change.is_above:
        journal.write(events.Event.CUSTOMER_WITHIN_SHARE, **names)
        return
    use_ms = round(change.use_s * 1_000)
    journal.write(events.Event.CUSTOMER_ABOVE_SHARE, use_ms=use_ms, **names)
