"""The experiment: real entries against stand-ins, by policy, scenario and seed."""

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
VERSION_FAILURES = {"worker-failed", "incomplete", "outcome-unknown"}


class Run(msgspec.Struct, frozen=True):
    """One run of the experiment.

    :param deployment: name of the deployment.
    :param scenario: name of the scenario.
    :param placement: placement policy.
    :param seed: seed of the arrivals.
    """

    deployment: str
    scenario: str
    placement: str
    seed: int


class Result(msgspec.Struct, frozen=True):
    """What one run gave.

    :param run: the run.
    :param sent: calls by tier.
    :param goodput: fraction of whole answers within their deadline, by tier.
    :param total: the same over all tiers.
    :param bound: upper bound of the total, from the stand-ins' capacity.
    :param wasted_prefill: fraction of prefill work that led to no good answer.
    :param fairness: Jain's index of the customers' goodput.
    :param unanswered: calls without an answer.
    :param endings: answers that are not good, by tier and reason.
    :param move: state of the move, or an empty text.
    :param late: whether the move was late.
    :param reason: reason of the move's end.
    :param hurt: calls that failed because of the new version.
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

    :param moves: moves.
    """

    moves: tuple[moves.MoveReport, ...]


def run_all(runs, parallel, note_result):
    """Runs an experiment.

    :param runs: list of ``Run``.
    :param parallel: fleets at the same time.
    :param note_result: function that takes each ``Result`` as it comes.
    :return: list of ``Result``.
    """
    results = []

    async def work(run):
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
        note_result(result)

    async def main(_):
        limit = defer.DeferredSemaphore(parallel)
        started = [
            limit.run(lambda run=run: defer.ensureDeferred(work(run))) for run in runs
        ]
        await defer.gatherResults(started, consumeErrors=True)

    try:
        task.react(lambda _: defer.ensureDeferred(main(_)))
    except SystemExit as error:
        if error.code:
            raise
    return results


async def _run_one(run, fleet):
    scenario = scenarios.SCENARIOS[run.scenario]
    await rigs.bring_up(fleet)
    arrivals = traffic.plan_arrivals(
        fleet.plan, scenario.seconds, run.seed, scenario.load, scenario.bursts
    )
    acting = defer.ensureDeferred(scenarios.act(scenario, fleet))
    answers = await traffic.send_arrivals(arrivals, traffic.list_addresses(fleet))
    await acting
    return await _measure(run, fleet, arrivals, answers, scenario)


async def _measure(run, fleet, arrivals, answers, scenario):
    groups = tables.group_by_tier(answers)
    move = await _read_move(fleet) if scenario.version is not None else None
    good = sum(answer.in_time for answer in answers)
    return Result(
        run=run,
        sent={tier: len(group) for tier, group in groups.items()},
        goodput={
            tier: sum(item.in_time for item in group) / len(group)
            for tier, group in groups.items()
        },
        total=good / len(answers),
        bound=bounds.find_bound(fleet.plan, arrivals, scenario.seconds),
        wasted_prefill=await _measure_waste(fleet, answers),
        fairness=_measure_fairness(answers),
        unanswered=sum(answer.status == 0 for answer in answers),
        endings=_count_endings(answers),
        move=move.state if move else "",
        late=move.late if move else False,
        reason=move.reason if move else "",
        hurt=sum(answer.kind in VERSION_FAILURES for answer in answers),
    )


async def _read_move(fleet):
    port = fleet.ports.controls[fleet.entries[0]]
    url = clients.build_url(port, "/operator/v1/status")
    status = await clients.get_json(url, Status)
    return status.moves[0] if status.moves else None


async def _measure_waste(fleet, answers):
    runs = collections.Counter()
    for worker in fleet.workers:
        if not worker.is_engine or fleet.processes[worker.id].poll() is not None:
            continue
        url = clients.build_url(fleet.ports.workers[worker.id], "/tally")
        runs.update((await clients.get_json(url, workers.RunStats)).runs)
    good = collections.Counter(item.prompt for item in answers if item.in_time)
    spent = sum(len(prompt) * count for prompt, count in runs.items())
    used = sum(len(p) * min(count, good[p]) for p, count in runs.items())
    return 1 - used / spent if spent else 0.0


def _count_endings(answers):
    return collections.Counter(
        f"{item.tier} {item.kind or ('late' if item.complete else 'cut')}"
        for item in answers
        if not item.in_time
    )


def _measure_fairness(answers):
    sent = collections.Counter(answer.customer for answer in answers)
    good = collections.Counter(item.customer for item in answers if item.in_time)
    shares = [good[customer] / count for customer, count in sent.items()]
    squares = sum(share * share for share in shares)
    return sum(shares) ** 2 / (len(shares) * squares) if squares else 0.0


def format_results(results):
    """Formats results: the mean over seeds, with the smallest and largest.

    :param results: list of ``Result``.
    :return: text.
    """
    groups = collections.defaultdict(list)
    for result in results:
        run = result.run
        groups[run.deployment, run.scenario, run.placement].append(result)
    lines = []
    for (deployment, scenario, placement), group in sorted(groups.items()):
        head = f"{deployment} / {scenario} / {placement} ({len(group)} seeds)"
        lines.append(head)
        for tier in group[0].goodput:
            values = [item.goodput.get(tier, 0.0) for item in group]
            lines.append(f"  {tier:<14}{_format_spread(values)}")
        lines.append(f"  {'total':<14}{_format_spread([r.total for r in group])}")
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
            lines.append(f"  not good: {listed}")
        lines.extend(_format_move(item) for item in group if item.move)
    return "\n".join(lines)


def _format_spread(values):
    mean = statistics.mean(values)
    return f"{mean:>7.1%}  ({min(values):.1%} to {max(values):.1%})"


def _format_move(result):
    late = ", late" if result.late else ""
    return (
        f"  seed {result.run.seed}: {result.move}{late}, {result.hurt} calls hurt"
        f" ({result.reason})"
    )


def format_ratios(results, shipped):
    """Formats the shipped policy's goodput against each baseline's, by seed.

    :param results: list of ``Result``.
    :param shipped: name of the shipped policy.
    :return: text.
    """
    by_run = {result.run: result for result in results}
    ratios = collections.defaultdict(list)
    for run, result in by_run.items():
        if run.placement == shipped:
            continue
        own = by_run.get(Run(run.deployment, run.scenario, shipped, run.seed))
        if own is None:
            continue
        key = (run.deployment, run.scenario, run.placement)
        urgent = deployments.DEPLOYMENTS[run.deployment].calls[0].tier
        ratios[key, urgent].append(
            _divide(own.goodput[urgent], result.goodput.get(urgent, 0.0))
        )
        ratios[key, "total"].append(_divide(own.total, result.total))
    lines = []
    for (key, tier), values in sorted(ratios.items()):
        low, high = min(values), max(values)
        lines.append(
            f"{' / '.join(key)}: {tier} {statistics.mean(values):.2f}"
            f" times ({low:.2f} to {high:.2f})"
        )
    return "\n".join(lines)


def _divide(value, other):
    return value / other if other else float("inf")
