"""The store executes a heartbeat late, when its worker has said that it leaves."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import deployment as deployments  # noqa: E402

SERVICE = "dele69a"
KEY = "i9n73hh2b9wu3fexd9dn"
ENTRIES = 3
WORKERS = 3
REQUESTS_PER_S = 60
DRAIN_S = 2.0
# The store executes a write without an answer 1 to 6 s later.
LATE_S = 6.0
# Time from that write to the one by which the worker leaves. The store has been without
# impairment for longer than ``stabilityMs``, 3 s, by then.
LEAVING_S = 3.4
# The leaving worker goes on for so long after the store has accepted that, ``drainMs``
# and a little longer.
SERVING_S = 3.6
AFTER_S = 2.0


def build_config():
    """Builds the only config of the case."""
    route = {
        "name": "r-1",
        "host": deployments.HOST,
        "pathPrefix": "/puxa403/",
        "type": "non_idempotent",
        "timeoutMs": 600,
        "sloMs": 125,
        "priority": 0,
        "service": SERVICE,
        "attempts": 1,
        "public": False,
    }
    tenant = {"name": "hule930", "apiKeys": [KEY], "ratePerS": 0, "burst": 0}
    return {
        "version": 7,
        "routes": [route],
        "services": [{"name": SERVICE, "healthPath": "/healthz", "maxConns": 100}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304},
        "tenants": [tenant],
    }


async def ask(deployment, entry, counts, sent):
    """Sends one request and counts its status."""
    channel = deployments.Channel(entry.address)
    request_id = deployment.create_id()
    fields = [
        ("X-Wasabiknot-Attempt-Id", request_id),
        ("X-Wasabiknot-Deadline-Ms", "600"),
        ("X-Api-Key", KEY),
    ]
    await channel.open()
    sent[request_id] = deployment.record.now_s()
    answer = await channel.send("POST", "/puxa403/2f", fields, b"pay 7")
    channel.close()
    deployment.record.write(
        f"requester: {request_id} to {entry.name}: status {answer.status}"
    )
    counts[answer.status] = counts.get(answer.status, 0) + 1


async def send_load(deployment, until, sent):
    """Sends requests to all entries in turn until an event is set."""
    counts = {}
    tasks = []
    while not until.is_set():
        entry = deployment.entries[len(tasks) % ENTRIES]
        tasks.append(asyncio.create_task(ask(deployment, entry, counts, sent)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)
    deployment.record.write(f"answers by status: {counts}")


async def play(deployment, is_troubled):
    """Plays the case; returns whether DRAIN was broken."""
    record = deployment.record
    await deployment.publish(build_config())
    for _ in range(WORKERS):
        worker = await deployment.add_worker(SERVICE, slots=6)
        worker.work_s = 0.1
    for number in range(1, ENTRIES + 1):
        await deployment.add_entry(f"edge-wien-{number}")
    for entry in deployment.entries:
        await entry.wait_until_ready()
    await asyncio.sleep(4.0)
    is_over = asyncio.Event()
    sent = {}
    load = asyncio.create_task(send_load(deployment, is_over, sent))
    await asyncio.sleep(2.0)
    leaving = max(deployment.workers, key=lambda worker: len(worker.runs))
    if is_troubled:
        leaving.find_delay_s = lambda number: LATE_S
        await leaving.send_heartbeat()
        leaving.find_delay_s = lambda number: None
    await asyncio.sleep(LEAVING_S)
    leaving.state = "draining"
    await leaving.send_heartbeat()
    left_s = record.now_s()
    await asyncio.sleep(SERVING_S)
    await leaving.exit()
    await asyncio.sleep(AFTER_S)
    is_over.set()
    await load
    late = [
        (at_s, request_id)
        for at_s, request_id, _ in leaving.runs
        if at_s > left_s + DRAIN_S and sent[request_id] > left_s + DRAIN_S
    ]
    for at_s, request_id in late:
        record.write(
            f"worker {leaving.server_id} got {request_id} {at_s - left_s:.2f} s after "
            "the store had accepted that it leaves"
        )
    record.write(f"{len(late)} requests reached a leaving worker too late")
    if len(leaving.runs) < 10:
        raise RuntimeError("the worker got nothing before")
    return bool(late)


if __name__ == "__main__":
    deployments.run(play, FOLDER)
