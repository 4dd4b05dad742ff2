"""A late write of the store brings the record of a dead process back."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import deployment as deployments  # noqa: E402

SERVICE = "dele69a"
TENANT = "hule930"
KEY = "i9n73hh2b9wu3fexd9dn"
ENTRIES = 7
KILLED = 2
MEMBER_TOPIC = "keyed.wasabiknot-members"
# The store executes a write without an answer 1 to 6 s later.
LATE_S = 5.0
RESTART_S = 0.5
SECOND_KILL_S = 2.5
# Limit of the tenant, and the bounds of the sheet.
RATE_PER_S = 36_000
BURST = 36_000
WINDOW_S = 8.0
OVERRUN = 0.1
SLACK = 140_000
ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERRUN) + SLACK
TOKENS = (1_900, 100)
# Requests a second of each of the two requesters, and how long they go on.
REQUESTS_PER_S = 40
LOAD_S = 20.0


def build_config():
    """Builds the only config of the case."""
    route = {
        "name": "r-1",
        "host": deployments.HOST,
        "pathPrefix": "/cufi504/",
        "type": "idempotent",
        "timeoutMs": 1500,
        "sloMs": 300,
        "priority": 0,
        "service": SERVICE,
        "attempts": 2,
        "public": False,
    }
    tenant = {
        "name": TENANT,
        "apiKeys": [KEY],
        "unit": "tokens",
        "plainTokens": 200,
        "ratePerS": RATE_PER_S,
        "burst": BURST,
    }
    return {
        "version": 7,
        "routes": [route],
        "services": [{"name": SERVICE, "healthPath": "/healthz", "maxConns": 110}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304},
        "tenants": [tenant],
    }


async def ask(deployment, entry, counts):
    """Sends one request and counts its status."""
    channel = deployments.Channel(entry.address)
    request_id = deployment.create_id()
    fields = [
        ("X-Wasabiknot-Attempt-Id", request_id),
        ("X-Wasabiknot-Deadline-Ms", "1500"),
        ("X-Wasabiknot-Token-Count", f"{TOKENS[0]},{TOKENS[1]}"),
        ("X-Api-Key", KEY),
    ]
    try:
        await channel.open()
        answer = await channel.send("GET", "/cufi504/fi50/2f", fields)
        status = answer.status
    except OSError:
        status = 0
    channel.close()
    deployment.record.write(f"requester: {request_id} to {entry.name}: status {status}")
    counts[entry.name, status] = counts.get((entry.name, status), 0) + 1


async def send_load(deployment, entries):
    """Sends the tenant's requests to two entries, evenly."""
    counts = {}
    tasks = []
    for _ in range(int(LOAD_S * REQUESTS_PER_S)):
        tasks += [asyncio.create_task(ask(deployment, e, counts)) for e in entries]
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)
    deployment.record.write(f"answers by entry and status: {counts}")


async def kill_twice(deployment, entries):
    """Kills two processes, and once more; the first writes come late."""
    is_late = True
    delayed = set()

    def find_delay_s(machine, topic, key, value):
        if not is_late or topic != MEMBER_TOPIC or machine in delayed:
            return None
        delayed.add(machine)
        return LATE_S

    deployment.record.write("platform: kills two processes")
    for entry in entries:
        entry.kill()
    if os.environ.get("KILL_ONLY") != "1":
        deployment.store.find_delay_s = find_delay_s
    await asyncio.sleep(RESTART_S)
    for entry in entries:
        entry.start()
    await asyncio.sleep(SECOND_KILL_S)
    is_late = False
    deployment.record.write("platform: kills the same two processes")
    for entry in entries:
        entry.kill()
    await asyncio.sleep(RESTART_S)
    for entry in entries:
        entry.start()
    for entry in entries:
        await entry.wait_until_ready()
    deployment.record.write("both processes are ready again")
    await asyncio.sleep(LATE_S + 1.0)


def find_most(runs):
    """Finds the window in which most tokens ran; returns tokens and its start."""
    times = sorted(at_s for at_s, _, _ in runs)
    best = (0, 0.0)
    first = 0
    for last, at_s in enumerate(times):
        while times[first] < at_s - WINDOW_S:
            first += 1
        best = max(best, ((last + 1 - first) * sum(TOKENS), times[first]))
    return best


async def play(deployment, is_troubled):
    """Plays the case; returns whether QUOTA was broken."""
    record = deployment.record
    await deployment.publish(build_config())
    for _ in range(3):
        worker = await deployment.add_worker(SERVICE, slots=10)
        worker.work_s = 0.0225
    for number in range(1, ENTRIES + 1):
        await deployment.add_entry(f"edge-wien-{number}")
    for entry in deployment.entries:
        await entry.wait_until_ready()
    await asyncio.sleep(4.0)
    entries = deployment.entries[-KILLED:]
    if is_troubled:
        await kill_twice(deployment, entries)
    # All machines have been in touch for long then.
    await asyncio.sleep(5.0)
    await send_load(deployment, entries)
    runs = [run for worker in deployment.workers for run in worker.runs]
    tokens, start_s = find_most(runs)
    record.write(
        f"tenant {TENANT}: {tokens} tokens ran in {WINDOW_S} s from {start_s:.3f}; "
        f"allowed {ALLOWED:.0f}"
    )
    if not runs:
        raise RuntimeError("nothing ran")
    return tokens > ALLOWED


if __name__ == "__main__":
    deployments.run(play, FOLDER)
