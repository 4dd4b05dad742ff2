"""Applies and logs the orders of operators to drain failure domains."""

from wasabiknot_entry import journal
from wasabiknot_kernel import domain_drains, events
from wasabiknot_platform import configurations

# Characters of the name of a failure domain that are logged.
MAX_LOGGED_DOMAIN = 200


def apply_record(deployment, fact, now_s, source):
    """Applies a record that drains a failure domain, or returns it to service.

    :param deployment: ``deployments.Deployment``.
    :param fact: ``facts.Fact``; without a value it ends the drain.
    :param now_s: current time in seconds.
    :param source: name of the source of the record, for the log.
    """
    if not fact.value:
        domain = fact.key.removeprefix(configurations.DRAIN_PREFIX)
        change = deployment.lift_drain(domain, now_s)
        if change is not None:
            _write(events.Event.DRAIN_LIFTED, change, source=source)
        return
    domain, problem = configurations.decode_drain(fact.key, fact.value)
    change = deployment.order_drain(domain)
    _write(events.Event.DRAIN_ORDERED, change, source=source)
    for text in _list_problems(deployment, change, problem):
        _write(events.Event.DRAIN_ODD, change, problem=text)


def _list_problems(deployment, change, problem):
    problems = [f"unreadable value: {problem}"] if problem else []
    if change.step is domain_drains.DrainStep.REPEATED:
        problems.append("ordered again")
    # Before the registrations are read, every failure domain is unknown.
    if deployment.has_servers and not change.servers:
        problems.append("no server is registered there")
    return problems


def _write(event, change, **fields):
    domain = change.domain[:MAX_LOGGED_DOMAIN]
    journal.write(event, domain=domain, servers=change.servers, **fields)
