"""Calls of all tiers and customers at a given rate, with a fixed seed."""

import random

import msgspec
from twisted.internet import defer, reactor, task

from wasabiknot_standins import clients, servers

LARGE_CUSTOMER_WEIGHT = 4
WORDS = ("stand", "ledger", "receipt", "wall", "drain", "mango", "market", "notice")
PREFIX_COUNT = 6
PREFIX_BYTES = 1_024
BYTES_PER_TOKEN = 4


class Arrival(msgspec.Struct, frozen=True):
    """A call that will be sent.

    :param at_s: time since the start.
    :param plan: ``deployments.CallPlan``.
    :param customer: customer name.
    :param prompt: prompt.
    :param entry: index of the entry that takes it.
    """

    at_s: float
    plan: object
    customer: str
    prompt: str
    entry: int


def plan_arrivals(plan, seconds, seed, factor=1.0, bursts=()):
    """Plans the calls of a run.

    :param plan: ``deployments.Deployment``.
    :param seconds: duration.
    :param seed: seed of the random numbers.
    :param factor: factor on the rate of the plan.
    :param bursts: ``(start_s, end_s, factor)`` triples of higher rate.
    :return: list of ``Arrival`` in order of time.
    """
    rng = random.Random(seed)
    weights = [
        LARGE_CUSTOMER_WEIGHT if index < 2 else 1
        for index in range(len(plan.customers))
    ]
    arrivals = []
    at_s = 0.0
    while True:
        rate = plan.rate_per_s * factor * _find_burst(at_s, bursts)
        at_s += rng.expovariate(rate)
        if at_s >= seconds:
            return arrivals
        call = rng.choices(plan.calls, [call.share for call in plan.calls])[0]
        customer = rng.choices(plan.customers, weights)[0]
        prompt = _write_prompt(rng, call, customer, len(arrivals))
        entry = rng.randrange(plan.entries)
        arrivals.append(Arrival(at_s, call, customer, prompt, entry))


def _find_burst(at_s, bursts):
    for start_s, end_s, factor in bursts:
        if start_s <= at_s < end_s:
            return factor
    return 1.0


def _write_prompt(rng, call, customer, number):
    low, high = call.prompt_tokens
    # Log-uniform, so that lengths differ a hundredfold with a long tail.
    tokens = int(low * (high / low) ** rng.random())
    size = tokens * BYTES_PER_TOKEN
    prefix = f"{call.call} {customer} {rng.randrange(PREFIX_COUNT)} "
    filler = " ".join(rng.choices(WORDS, k=3)) + " "
    head = (prefix * (PREFIX_BYTES // len(prefix) + 1))[:PREFIX_BYTES]
    text = f"#{number} " + filler * (size // len(filler) + 1)
    return (head + text if size > 2 * PREFIX_BYTES else text)[:size]


async def send_arrivals(
    arrivals, addresses, note_progress=lambda count: None, copy_delay_s=None
):
    """Sends calls at their times.

    :param arrivals: list of ``Arrival``.
    :param addresses: addresses of the entries.
    :param note_progress: function that takes the number of finished calls.
    :param copy_delay_s: time after which a copy of each keyed call is sent to the
        next entry; ``None`` for no copies.
    :return: list of ``clients.Answer``; copies come last.
    """
    caller = clients.Caller()
    start_s = reactor.seconds()
    finished = []

    def ask(arrival, key, shift):
        index = (arrival.entry + shift) % len(addresses)
        return clients.CallRequest(
            address=addresses[index],
            plan=arrival.plan,
            customer=arrival.customer,
            prompt=arrival.prompt,
            key=key,
            copied=key is not None and copy_delay_s is not None,
        )

    async def send(at_s, request):
        await task.deferLater(reactor, max(0, start_s + at_s - reactor.seconds()))
        answer = await caller.send(request)
        finished.append(answer)
        note_progress(len(finished))
        return answer

    first = []
    copies = []
    for arrival in arrivals:
        key = clients.create_key() if arrival.plan.keyed else None
        first.append(send(arrival.at_s, ask(arrival, key, 0)))
        if key is not None and copy_delay_s is not None:
            copies.append(send(arrival.at_s + copy_delay_s, ask(arrival, key, 1)))
    sent = [defer.ensureDeferred(item) for item in [*first, *copies]]
    return await defer.gatherResults(sent)


def list_addresses(fleet):
    """Lists the caller addresses of a fleet.

    :param fleet: ``processes.Fleet``.
    :return: list of addresses.
    """
    return [f"{servers.HOST}:{fleet.ports.callers[name]}" for name in fleet.entries]
