"""Builders of objects for the tests of the kernel."""

import random

from wasabiknot_kernel import (
    allowances,
    arrivals,
    deployments,
    dispatch,
    members,
    registrations,
    routes,
    summaries,
)

ALL_SUMMARIES = summaries.Due(group=True, remote=True)
TOLERANCE = allowances.Tolerance(window_s=8.0, ratio=0.1, slack_tokens=140_000)
POLICY = deployments.Policy(
    retry_ratio=0.2,
    retry_window_s=10.0,
    retry_slack=54.0,
    tolerance=TOLERANCE,
    canary_share=0.1,
    canary_slack=50.0,
)
ENGINE = routes.Engine(slots=4, kv_tokens=100_000, event_tokens=6)


def build_route(**changes):
    """Builds a route; by default a stream that is not repeatable."""
    fields = {
        "name": "draft",
        "host": "desk.example",
        "prefix": "/draft/",
        "retry_rule": routes.RetryRule.STREAM,
        "shares": (routes.TrafficShare("pool", 1.0),),
        "timeout_ms": 10_000.0,
        "objective_ms": 300.0,
        "gap_ms": 250.0,
        "rank": 1,
        "attempts": 2,
        "is_public": False,
        "is_resumable": False,
    }
    return routes.Route(**{**fields, **changes})


def build_ticket(
    request_id="q1",
    now_s=0.0,
    route=None,
    prompt=600,
    output=60,
    rank=1,
    parts=(),
):
    """Builds an admitted request; its parts are given by their names."""
    route = route or build_route()
    arrival = arrivals.Arrival(
        request_id=request_id,
        host=route.host,
        path=route.prefix,
        key="k1",
        deadline_ms=route.timeout_ms,
        prompt_tokens=prompt,
        output_tokens=output,
        states_token_counts=True,
        parts=tuple(arrivals.PromptPart(name, 100) for name in parts),
    )
    return arrivals.Ticket(
        arrival=arrival,
        route=route,
        service="pool",
        customer="graz",
        rank=rank,
        arrived_s=now_s,
        deadline_s=now_s + route.timeout_ms / 1_000,
        version=1,
        fingerprint=request_id,
    )


def build_registration(server_id="w1", **changes):
    """Builds the registration of a backend server."""
    fields = {
        "server_id": server_id,
        "service": "pool",
        "address": "10.0.0.1:80",
        "domain": "graz",
        "version": "v1",
        "slots": 4,
        "state": registrations.ServerState.READY,
        "started_ms": 1,
    }
    return registrations.Registration(**{**fields, **changes})


def build_dispatcher(servers=2, slots=4, seed=1):
    """Builds the dispatcher of a service of model engines."""
    dispatcher = dispatch.Dispatcher("pool", random.Random(seed))
    dispatcher.set_engine(ENGINE)
    for number in range(servers):
        dispatcher.register(build_registration(f"w{number}", slots=slots))
    return dispatcher


def build_configuration(version=1, rate=1_000.0, burst=1_000.0, customers=("graz",)):
    """Builds a configuration with one service of model engines."""
    return routes.Configuration(
        version=version,
        routes=(build_route(),),
        services=(routes.Service("pool", "/healthz", 100, ENGINE),),
        customers=tuple(
            routes.Customer(name, (f"key-{name}",), None, rate, burst, 200)
            for name in customers
        ),
        limits=routes.Limits(),
    )


def build_deployment(name="e1", seed=1, domain="graz", run=0):
    """Builds the state of a run of an entry."""
    member = members.Member(name, f"run-{name}-{run}", "10.0.0.1", 7000, domain)
    return deployments.Deployment(member, POLICY, random.Random(seed))


def connect_entries(entries, now_s):
    """Adds every entry to the rosters of all entries."""
    for entry in entries:
        for other in entries:
            entry.roster.apply_member(other.member, now_s)


def list_datagrams(entry, now_s, due=ALL_SUMMARIES):
    """Lists what an entry sends, as pairs of digests and peers that receive them."""
    roster = entry.roster
    digests = [entry.build_digest(now_s)]
    datagrams = []
    if roster.has_several_groups and roster.is_leader(now_s):
        if due.group:
            summary = [entry.build_group_summary(now_s)]
            for group in roster.list_other_groups():
                recipients = roster.list_summary_recipients(group, now_s)
                datagrams.append((summary, recipients))
        if due.remote:
            digests.append(entry.build_remote_summary(now_s))
    datagrams.append((digests, roster.list_group_peers()))
    return datagrams


def deliver(digests, peers, entries, now_s):
    """Delivers digests to peers that are among the entries, given by their names."""
    for peer in peers:
        entry = entries.get(peer.member.name)
        if entry is not None:
            for digest in digests:
                entry.apply_digest(digest, now_s)
