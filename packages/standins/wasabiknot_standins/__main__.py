"""Command line of the simulated services, the demo, the drills and experiments."""

import sys

import defopt


def engine(
    *,
    port: int,
    slots: int = 4,
    prefill_ms: float = 0.2,
    decode_ms: float = 10.0,
    checks_fencing: bool = False,
):
    """Run a simulated model engine.

    :param port: TCP port on loopback
    :param slots: maximum number of concurrent streams
    :param prefill_ms: prefill time per prompt token in milliseconds
    :param decode_ms: decode time per output token in milliseconds
    :param checks_fencing: reject orders with a stale fencing token
    """
    from wasabiknot_standins import batching, engines

    speed = batching.Speed(slots=slots, prefill_ms=prefill_ms, decode_ms=decode_ms)
    engines.run(port, speed, checks_fencing)


def plain(*, port: int, service_ms: float = 20.0):
    """Run a simulated plain service.

    :param port: TCP port on loopback
    :param service_ms: service time of a call in milliseconds
    """
    from wasabiknot_standins import plains

    plains.run(port, service_ms)


def log(*, port: int):
    """Run a simulated log service.

    :param port: TCP port on loopback
    """
    from wasabiknot_standins import logs

    logs.run(port)


def vms(*, port: int, lag_ms: int = 1500):
    """Run a simulated VM list.

    :param port: TCP port on loopback
    :param lag_ms: time until an update becomes visible in milliseconds
    """
    from wasabiknot_standins import platforms

    platforms.run_vms(port, lag_ms)


def weights(*, port: int, loads_per_s: int = 2):
    """Run a simulated weight store.

    :param port: TCP port on loopback
    :param loads_per_s: rate limit in loads per second
    """
    from wasabiknot_standins import platforms

    platforms.run_weights(port, loads_per_s)


def demo(*, deployment: str = "marktgeld", seconds: float = 12.0):
    """Run a deployment, send calls of every tier and print a summary table.

    :param deployment: marktgeld or saddle-road
    :param seconds: duration of the load in seconds
    """
    from wasabiknot_standins import demos

    sys.exit(demos.run(deployment, seconds))


def drill(*names: str, deployment: str = "marktgeld"):
    """Inject faults into running processes and check the delivery guarantees.

    :param names: drills to run; all by default
    :param deployment: marktgeld or saddle-road
    """
    from wasabiknot_standins import drills

    reports = drills.run(names, deployment)
    sys.exit(1 if any(report.faults for report in reports) else 0)


def experiment(
    *scenarios: str,
    deployments: list[str] = ("marktgeld", "saddle-road"),
    placements: list[str] = ("finish-time",),
    seeds: list[int] = (1, 2, 3),
    parallel: int = 2,
    json: bool = False,
):
    """Measure goodput, wasted prefill, fairness and rollouts with real entries.

    :param scenarios: scenarios to run; burst-slow by default
    :param deployments: marktgeld and saddle-road, or one of them
    :param placements: finish-time, random, fewest-reported, tiered-round-robin
    :param seeds: random seeds for the arrivals
    :param parallel: maximum number of concurrent fleets
    :param json: print the results as JSON
    """
    import msgspec

    from wasabiknot_standins import experiments

    runs = [
        experiments.Run(deployment, scenario, placement, seed)
        for deployment in deployments
        for scenario in scenarios or ("burst-slow",)
        for placement in placements
        for seed in seeds
    ]

    def print_result(result):
        text = f"{result.run}: total {result.total:.1%} {result.move}"
        print(text, file=sys.stderr, flush=True)

    results = experiments.run_all(runs, parallel, print_result)
    if json:
        print(msgspec.json.encode(results).decode())
        return
    print(experiments.format_results(results))
    print(experiments.format_ratios(results, experiments.DEFAULT_PLACEMENT))


if __name__ == "__main__":
    defopt.run([engine, plain, log, vms, weights, demo, drill, experiment], short={})
