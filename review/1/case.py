"""One engine whose answers go on without end, and the requests of another service."""

import asyncio
import contextlib
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import rig  # noqa: E402

PLAY_S = 10.0
# Longest time of a disruption of workers in the site files.
TROUBLE_S = 6.5
STABILITY_S = 3.0
# One machine's part of the traffic of marktgeld-ost, in a burst of 1.7 times.
STREAMS_PER_S = 8
EVENTS = 16
EVENT_INTERVAL_S = 0.03
PAYMENTS_PER_S = 10
TIMEOUT_S = 0.6
LATE_S = 0.5
MIN_COUNT = 8
# The caller waits longer than the operator wants it to.
DEADLINE_S = 4.0
CHUNK = b"1\r\nx\r\n"
CHUNKS = 4_000


class Engine(rig.Server):
    """Streams an answer; a broken engine sends bytes until the caller closes."""

    is_broken = False

    async def handle(self, head, reader, writer):
        """Answers a request with a stream."""
        await rig.read_body(reader, head)
        self.note_run(head)
        fields = {
            rig.STAMP: self.id,
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        await self.send(writer, 200, head, fields)
        if self.is_broken:
            await self._send_without_end(head, writer)
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: token\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def _send_without_end(self, head, writer):
        sent = 0
        try:
            while True:
                writer.write(CHUNK * CHUNKS)
                await writer.drain()
                sent += CHUNKS
        finally:
            request_id = head.get(rig.ATTEMPT_ID)
            self.record.write("closed by the entry", request=request_id, chunks=sent)


class Desk(rig.Server):
    """A sound plain server, which takes 20 ms for a request."""

    async def handle(self, head, reader, writer):
        """Runs a request and answers it."""
        await rig.read_body(reader, head)
        self.note_run(head)
        await asyncio.sleep(0.02)
        fields = {rig.STAMP: self.id, "Content-Length": 6}
        await self.send(writer, 200, head, fields, b"booked")


async def ask(entry, record, request_id, path, fields, took_s):
    """Sends one request on a channel of its own and notes how long it took."""
    fields = {rig.ATTEMPT_ID: request_id} | fields
    request = rig.build_request("POST", path, fields, b"stand 14")
    channel = rig.Channel(entry.caller_port)
    record.write("sent", request=request_id)
    began_s = time.monotonic()
    answer = await channel.ask(request, DEADLINE_S + 1)
    channel.close()
    took_s.append(time.monotonic() - began_s)
    record.write(
        "answered",
        request=request_id,
        status=answer.status,
        error=answer.error,
        took_s=round(took_s[-1], 3),
    )


async def send_streams(entry, record):
    """Sends streams at a steady rate."""
    fields = {
        "X-Wasabiknot-Deadline-Ms": int(DEADLINE_S * 1_000),
        "X-Wasabiknot-Token-Count": f"628,{6 * EVENTS}",
    }
    asked = []
    for number in range(int(PLAY_S * STREAMS_PER_S)):
        call = ask(entry, record, f"letter-{number}", "/mahnbrief/1", fields, [])
        asked.append(asyncio.create_task(call))
        await asyncio.sleep(1 / STREAMS_PER_S)
    await asyncio.gather(*asked)


async def send_payments(entry, record):
    """Sends payments at a steady rate; returns how long each took, in seconds."""
    fields = {"X-Wasabiknot-Deadline-Ms": int(DEADLINE_S * 1_000)}
    asked, took_s = [], []
    for number in range(int(PLAY_S * PAYMENTS_PER_S)):
        call = ask(entry, record, f"payment-{number}", "/kassa/1", fields, took_s)
        asked.append(asyncio.create_task(call))
        await asyncio.sleep(1 / PAYMENTS_PER_S)
    await asyncio.gather(*asked)
    return took_s


async def break_engine(engines, record):
    """Breaks one engine for a while, the one that is used most."""
    await asyncio.sleep(1.0)
    engine = max(engines, key=lambda item: len(item.runs))
    engine.is_broken = rig.is_trouble()
    record.write("disruption begins", trouble=rig.is_trouble(), server=engine.id)
    await asyncio.sleep(TROUBLE_S)
    engine.is_broken = False
    record.write("disruption ends")


async def play(record, directory):
    """Plays the case; tells whether the rule held."""
    store = rig.Store()
    await store.start()
    routes = [
        rig.build_route("mahnbrief", "streaming", "schreibstube", 12_000, gapSloMs=300),
        rig.build_route("kassa", "non_idempotent", "torwache", TIMEOUT_S * 1_000),
    ]
    services = [rig.build_service("schreibstube", 10), rig.build_service("torwache")]
    store.put("keyed.op", "config", rig.build_configuration(routes, services))
    engines = [Engine(store, record, "schreibstube", 10) for _ in range(5)]
    desks = [Desk(store, record, "torwache") for _ in range(3)]
    for server in engines + desks:
        await server.start()
    entry = rig.Entry("edge-graz-1", directory, store, record)
    with contextlib.closing(entry):
        entry.start()
        await entry.wait_until_ready()
        await asyncio.sleep(STABILITY_S + 0.5)
        _, took_s, _ = await asyncio.gather(
            send_streams(entry, record),
            send_payments(entry, record),
            break_engine(engines, record),
        )
    overdue = sum(item > TIMEOUT_S for item in took_s)
    late = sum(item > TIMEOUT_S + LATE_S for item in took_s)
    record.write("summary", payments=len(took_s), overdue=overdue, late=late)
    return not (overdue >= MIN_COUNT and late > overdue / 2)


if __name__ == "__main__":
    rig.run(__file__, play)
