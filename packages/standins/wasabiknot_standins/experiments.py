"""Experiments that compare placement policies on real entries."""

import collections
import statistics
import sys

import msgspec
from twisted.internet import defer, task

from wasabiknot_kernel import moves
from wasabiknot_standins import (
    bounds,
    clients,
    deployments,
    processes,
    rigs,
    scenarios,
    tables,
    traffic,
    workers,
)

DEFAULT_PLACEMENT = "finish-time"
VERSION_FAILURE_KINDS = {"worker-failed", "incomplete", "outcome-unknown"}


class Run(msgspec.Struct, frozen=True):
    """One run of the experiment.

    :param deployment: name of the deployment.
    :param scenario: name of the scenario.
    :param placement: name of the placement policy.
    :param seed: random seed for the arrivals.
    """

    deployment: str
    scenario: str
    placement: str
    seed: int


class Result(msgspec.Struct, frozen=True):
    """Measurements of one run.

    :param run: ``Run``.
    :param sent: number of calls by tier.
    :param goodput: fraction of calls with a complete response in time, by tier.
    :param total: fraction of all calls with a complete response in time.
    :param bound: upper bound on ``total``, computed from the capacity of the
        simulated backend servers.
    :param wasted_prefill: fraction of prefill work, measured in prompt characters,
        that led to no complete response in time.
    :param fairness: Jain's fairness index over the customers' goodput.
    :param unanswered: number of calls without a response.
    :param endings: number of calls outside the goodput, by tier and reason.
    :param move: state of the rollout; empty without one.
    :param late: whether the rollout ended, or still ran, after its due time.
    :param reason: why the rollout ended or what it waits for; empty without one.
    :param hurt: number of calls with an error that a bad version can cause.
    """

    run: Run
    sent: dict[str, int]
    goodput: dict[str, float]
    total: float
    bound: float
    wasted_prefill: float
    fairness: float
    unanswered: int
    endings: dict[str, int] = {}
    move: str = ""
    late: bool = False
    reason: str = ""
    hurt: int = 0


class Status(msgspec.Struct, frozen=True):
    """The part of an entry's status that the experiment reads.

    :param moves: ``moves.MoveReport`` of each rollout.
    """

    moves: tuple[moves.MoveReport, ...]


def run_all(runs, parallel, on_result):
    """Runs an experiment.

    A run whose fleet does not start is reported on standard error as not run and left
    out of the results.

    :param runs: list of ``Run``.
    :param parallel: maximum number of concurrent fleets.
    :param on_result: function that is called with each ``Result``.
    :return: list of ``Result`` in the order in which the runs ended.
    """
    results = []

    async def run_and_report(run):
        plan = deployments.DEPLOYMENTS[run.deployment]
        fleet = processes.Fleet(plan, placement=run.placement)
        try:
            result = await _run_one(run, fleet)
        except (TimeoutError, RuntimeError) as error:
            print(f"{run}: not run: {error}", file=sys.stderr, flush=True)
            return
        finally:
            fleet.kill()
        results.append(result)
        on_result(result)

    async def run_concurrently(_):
        limit = defer.DeferredSemaphore(parallel)
        started = [
            limit.run(lambda run=run: defer.ensureDeferred(run_and_report(run)))
            for run in runs
        ]
        await defer.gatherResults(started, consumeErrors=True)

    try:
        task.react(lambda _: defer.ensureDeferred(run_concurrently(_)))
    except SystemExit as error:
        if error.code:
            raise
    return results


async def _run_one(run, fleet):
    scenario = scenarios.SCENARIOS[run.scenario]
    await rigs.start_fleet(fleet)
    arrivals = traffic.plan_arrivals(
        fleet.plan, scenario.seconds, run.seed, scenario.load, scenario.bursts
    )
    actions = defer.ensureDeferred(scenarios.run_actions(scenario, fleet))
    responses = await traffic.send_arrivals(arrivals, traffic.list_addresses(fleet))
    await actions
    return await _build_result(run, fleet, arrivals, responses, scenario)


async def _build_result(run, fleet, arrivals, responses, scenario):
    groups = tables.group_by_tier(responses)
    move = await _read_move(fleet) if scenario.version is not None else None
    in_time = sum(response.in_time for response in responses)
    return Result(
        run=run,
        sent={tier: len(group) for tier, group in groups.items()},
        goodput={
            tier: sum(item.in_time for item in group) / len(group)
            for tier, group in groups.items()
        },
        total=in_time / len(responses),
        bound=bounds.compute_goodput_bound(fleet.plan, arrivals, scenario.seconds),
        wasted_prefill=await _compute_wasted_prefill(fleet, responses),
        fairness=_compute_fairness(responses),
        unanswered=sum(response.status == 0 for response in responses),
        endings=_count_endings(responses),
        move=move.state if move else "",
        late=move.late if move else False,
        reason=move.reason if move else "",
        hurt=sum(response.kind in VERSION_FAILURE_KINDS for response in responses),
    )


async def _read_move(fleet):
    port = fleet.ports.controls[fleet.entries[0]]
    url = clients.build_url(port, "/operator/v1/status")
    status = await clients.get_json(url, Status)
    return status.moves[0] if status.moves else None


async def _compute_wasted_prefill(fleet, responses):
    runs = collections.Counter()
    for worker in fleet.workers:
        if not worker.is_engine or fleet.processes[worker.id].poll() is not None:
            continue
        url = clients.build_url(fleet.ports.workers[worker.id], "/tally")
        runs.update((await clients.get_json(url, workers.RunStats)).runs)
    in_time = collections.Counter(item.prompt for item in responses if item.in_time)
    total_work = sum(len(prompt) * count for prompt, count in runs.items())
    useful_work = sum(len(p) * min(count, in_time[p]) for p, count in runs.items())
    return 1 - useful_work / total_work if total_work else 0.0


def _count_endings(responses):
    return collections.Counter(
        f"{item.tier} {item.kind or ('late' if item.complete else 'cut')}"
        for item in responses
        if not item.in_time
    )


def _compute_fairness(responses):
    sent = collections.Counter(response.customer for response in responses)
    in_time = collections.Counter(item.customer for item in responses if item.in_time)
    goodputs = [in_time[customer] / count for customer, count in sent.items()]
    squares = sum(goodput * goodput for goodput in goodputs)
    return sum(goodputs) ** 2 / (len(goodputs) * squares) if squares else 0.0


def format_results(results):
    """Formats the mean, minimum and maximum over the seeds.

    :param results: list of ``Result``.
    :return: text.
    """
    groups = collections.defaultdict(list)
    for result in results:
        run = result.run
        groups[run.deployment, run.scenario, run.placement].append(result)
    lines = []
    for (deployment, scenario, placement), group in sorted(groups.items()):
        header = f"{deployment} / {scenario} / {placement} ({len(group)} seeds)"
        lines.append(header)
        for tier in group[0].goodput:
            values = [item.goodput.get(tier, 0.0) for item in group]
            lines.append(f"  {tier:<14}{_format_range(values)}")
        lines.append(f"  {'total':<14}{_format_range([r.total for r in group])}")
        bound = statistics.mean(item.bound for item in group)
        waste = statistics.mean(item.wasted_prefill for item in group)
        fairness = statistics.mean(item.fairness for item in group)
        unanswered = sum(item.unanswered for item in group)
        lines.append(
            f"  bound {bound:.1%}, wasted prefill {waste:.1%},"
            f" fairness {fairness:.3f}, unanswered {unanswered}"
        )
        endings = sum(
            (collections.Counter(item.endings) for item in group), collections.Counter()
        )
        if endings:
            listed = ", ".join(f"{n} {name}" for name, n in endings.most_common())
            lines.append(f"  not in goodput: {listed}")
        lines.extend(_format_move(item) for item in group if item.move)
    return "\n".join(lines)


def _format_range(values):
    mean = statistics.mean(values)
    return f"{mean:>7.1%}  ({min(values):.1%} to {max(values):.1%})"


def _format_move(result):
    late = ", late" if result.late else ""
    return (
        f"  seed {result.run.seed}: {result.move}{late}, {result.hurt} calls failed"
        f" ({result.reason})"
    )


def format_ratios(results, default):
    """Formats the ratio of the default policy's goodput to each other policy's.

    The ratios compare runs with the same seed.

    :param results: list of ``Result``.
    :param default: name of the default placement policy.
    :return: text.
    """
    by_run = {result.run: result for result in results}
    ratios = collections.defaultdict(list)
    for run, result in by_run.items():
        if run.placement == default:
            continue
        default_result = by_run.get(
            Run(run.deployment, run.scenario, default, run.seed)
        )
        if default_result is None:
            continue
        key = (run.deployment, run.scenario, run.placement)
        top_tier = deployments.DEPLOYMENTS[run.deployment].calls[0].tier
        ratios[key, top_tier].append(
            _divide(default_result.goodput[top_tier], result.goodput.get(top_tier, 0.0))
        )
        ratios[key, "total"].append(_divide(default_result.total, result.total))
    lines = []
    for (key, tier), values in sorted(ratios.items()):
        low, high = min(values), max(values)
        lines.append(
            f"{' / '.join(key)}: {tier} {statistics.mean(values):.2f}"
            f" times ({low:.2f} to {high:.2f})"
        )
    return "\n".join(lines)


def _divide(numerator, denominator):
    return numerator / denominator if denominator else float("inf")
