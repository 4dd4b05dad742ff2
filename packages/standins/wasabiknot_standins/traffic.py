"""Generates and sends a reproducible load of calls."""

import random

import msgspec
from twisted.internet import defer, reactor, task

from wasabiknot_standins import clients, servers

LARGE_CUSTOMER_WEIGHT = 4
FILLER_WORDS = (
    "stand",
    "ledger",
    "receipt",
    "wall",
    "drain",
    "mango",
    "market",
    "notice",
)
PREFIX_COUNT = 6
PREFIX_BYTES = 1_024
BYTES_PER_TOKEN = 4


class Arrival(msgspec.Struct, frozen=True):
    """A call to be sent at a given time.

    :param at_s: time since the start of the load in seconds.
    :param plan: ``deployments.CallPlan``.
    :param customer: name of the customer.
    :param prompt: prompt to send.
    :param entry: index of the entry that receives the call.
    """

    at_s: float
    plan: object
    customer: str
    prompt: str
    entry: int


def plan_arrivals(plan, seconds, seed, rate_factor=1.0, bursts=()):
    """Plans the calls of a run as a Poisson process.

    :param plan: ``deployments.Deployment``.
    :param seconds: duration of the load in seconds.
    :param seed: random seed.
    :param rate_factor: factor by which the rate of the plan is multiplied.
    :param bursts: ``(start_s, end_s, factor)`` triples; within such a period the
        rate is multiplied by the factor.
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
        rate = plan.rate_per_s * rate_factor * _find_burst_factor(at_s, bursts)
        at_s += rng.expovariate(rate)
        if at_s >= seconds:
            return arrivals
        call = rng.choices(plan.calls, [call.share for call in plan.calls])[0]
        customer = rng.choices(plan.customers, weights)[0]
        prompt = _build_prompt(rng, call, customer, len(arrivals))
        entry = rng.randrange(plan.entries)
        arrivals.append(Arrival(at_s, call, customer, prompt, entry))


def _find_burst_factor(at_s, bursts):
    for start_s, end_s, factor in bursts:
        if start_s <= at_s < end_s:
            return factor
    return 1.0


def _build_prompt(rng, call, customer, number):
    low, high = call.prompt_tokens
    # A log-uniform distribution gives prompt lengths a long tail and a range of up
    # to a factor of a hundred.
    tokens = int(low * (high / low) ** rng.random())
    size = tokens * BYTES_PER_TOKEN
    prefix = f"{call.call} {customer} {rng.randrange(PREFIX_COUNT)} "
    filler = " ".join(rng.choices(FILLER_WORDS, k=3)) + " "
    head = (prefix * (PREFIX_BYTES // len(prefix) + 1))[:PREFIX_BYTES]
    text = f"#{number} " + filler * (size // len(filler) + 1)
    return (head + text if size > 2 * PREFIX_BYTES else text)[:size]


async def send_arrivals(
    arrivals, addresses, on_progress=lambda count: None, duplicate_delay_s=None
):
    """Sends calls at their planned times and waits for all responses.

    :param arrivals: list of ``Arrival``.
    :param addresses: caller addresses of the entries.
    :param on_progress: function that is called with the number of finished calls.
    :param duplicate_delay_s: time in seconds after which a duplicate of each call with
        an idempotency key is sent to the next entry; ``None`` for no duplicates.
    :return: list of ``clients.Response``, those to duplicates last.
    """
    caller = clients.Caller()
    start_s = reactor.seconds()
    finished = []

    def build_request(arrival, key, entry_offset):
        index = (arrival.entry + entry_offset) % len(addresses)
        return clients.CallRequest(
            address=addresses[index],
            plan=arrival.plan,
            customer=arrival.customer,
            prompt=arrival.prompt,
            key=key,
            is_duplicated=key is not None and duplicate_delay_s is not None,
        )

    async def send(at_s, request):
        await task.deferLater(reactor, max(0, start_s + at_s - reactor.seconds()))
        response = await caller.send(request)
        finished.append(response)
        on_progress(len(finished))
        return response

    originals = []
    duplicates = []
    for arrival in arrivals:
        key = clients.create_key() if arrival.plan.keyed else None
        originals.append(send(arrival.at_s, build_request(arrival, key, 0)))
        if key is not None and duplicate_delay_s is not None:
            duplicates.append(
                send(arrival.at_s + duplicate_delay_s, build_request(arrival, key, 1))
            )
    sent = [defer.ensureDeferred(call) for call in [*originals, *duplicates]]
    return await defer.gatherResults(sent)


def list_addresses(fleet):
    """Lists the caller addresses of a fleet.

    :param fleet: ``processes.Fleet``.
    :return: list of host and port of each entry.
    """
    return [f"{servers.HOST}:{fleet.ports.callers[name]}" for name in fleet.entries]
