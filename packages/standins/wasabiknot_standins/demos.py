"""A demo that sends load to a deployment of separate processes on loopback."""

import collections

from twisted.internet import defer, task

from wasabiknot_standins import deployments, processes, rigs, tables, traffic

SEED = 7
DEMO_LOAD_FACTOR = 0.6


def run(name, seconds):
    """Runs the demo.

    :param name: name of the deployment.
    :param seconds: duration of the load in seconds.
    :return: exit code; 0 only if every response was complete.
    """
    exit_codes = []
    fleet = processes.Fleet(deployments.DEPLOYMENTS[name])
    try:
        task.react(
            lambda reactor: defer.ensureDeferred(_run(fleet, seconds, exit_codes))
        )
    except SystemExit as error:
        if error.code:
            return error.code
    finally:
        fleet.stop()
    return exit_codes[0]


async def _run(fleet, seconds, exit_codes):
    plan = fleet.plan
    print(f"{plan.name}: starting {len(plan.workers)} backend servers,", end=" ")
    print(f"{len(fleet.entries)} entries and the simulated platform services")
    await rigs.start_fleet(fleet)
    arrivals = traffic.plan_arrivals(plan, seconds, SEED, DEMO_LOAD_FACTOR)
    print(f"sending {len(arrivals)} calls in {seconds:g} s through all entries")
    responses = await traffic.send_arrivals(arrivals, traffic.list_addresses(fleet))
    tiers = list(dict.fromkeys(call.tier for call in plan.calls))
    print(tables.format_tiers(responses, tiers))
    incomplete = [response for response in responses if not response.complete]
    for (call, kind, ran), count in _count_reasons(incomplete).items():
        print(f"incomplete: {count} of {call}: {kind or 'no response'}, ran: {ran}")
    exit_codes.append(1 if incomplete else 0)


def _count_reasons(incomplete):
    return collections.Counter((item.call, item.kind, item.ran) for item in incomplete)
