"""A departure that all nodes forget while the store is down; see claim.txt."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from world import OUTBOUND, World, message, read_message, run_case  # noqa: E402

DRAIN_S, CONTACT_S = 2.0, 3.0
# Seconds, from the acknowledgement of the departure.
STORE_DOWN_FROM, STORE_BACK_AT = -1.0, 0.8
KILLED_AT, RESTARTED_AT = 0.2, 0.7
LATE_HEARTBEAT_AT, EXIT_AT = 4.2, 9.0
SERVICE = {"healthPath": "/health", "maxConnections": 784, "protocol": "h1", "tls": False}
CONFIG = {
    "version": 7,
    "routes": {
        "lookup": {
            "host": "results.example",
            "pathPrefix": "/panels/",
            "kind": "idempotent",
            "timeout": "800ms",
            "targetLatency": "1500ms",
            "priority": 2,
            "service": "results",
            "maxAttempts": 2,
        }
    },
    "services": {"results": SERVICE, "bookings": SERVICE},
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeout": "3000ms",
        "idleTimeout": "15000ms",
    },
}


@dataclass
class Lookup:
    """One client attempt."""

    rid: str
    at: float
    status: int = 0


async def send(world: World, node, req: Lookup) -> None:
    with contextlib.suppress(OSError, asyncio.TimeoutError):
        async with asyncio.timeout(5.0):
            reader, writer = await asyncio.open_connection(node.ip, OUTBOUND)
            try:
                head = {
                    "Host": "results.example",
                    "Request-Id": req.rid,
                    "Deadline-Ms": "5000",
                }
                writer.write(message("GET /panels/2f HTTP/1.1", head, b""))
                msg = await read_message(reader)
                req.status = int(msg[0].split()[1]) if msg else 0
            finally:
                writer.close()
    world.record.note(f"answer {req.rid} {req.status}")


async def drive(world: World, node, sent: list[Lookup]) -> None:
    tasks = set()
    while True:
        req = Lookup(f"r-{len(sent):04d}", world.record.now())
        sent.append(req)
        task = asyncio.create_task(send(world, node, req))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(0.04)


async def case(trouble: bool, holder: dict) -> list[str]:
    world = holder["world"] = World(CONFIG)
    world.add("sidecar-hall-a-1", "hall-a", "results")
    world.add("sidecar-hall-b-1", "hall-b", "results")
    world.add("sidecar-hall-c-1", "hall-c", "results")
    entry = world.add("sidecar-hall-a-2", "hall-a", "bookings")
    await world.start(lambda target: (0.05, 400))
    note, now = world.record.note, world.record.now
    sent: list[Lookup] = []
    driver = asyncio.create_task(drive(world, entry, sent))
    await asyncio.sleep(2.0)
    leaving = world.instances[0]
    if trouble:
        world.store.set_down(True)
        note("store down")
        await asyncio.sleep(-STORE_DOWN_FROM)
    # A heartbeat that is sent now and arrives seconds late.
    leaving._sequence += 1
    late = leaving.heartbeat()
    leaving._beats.cancel()
    note(f"heartbeat {leaving._sequence} of {leaving.id} sent, under way")
    status = await leaving.report("DELETE")
    acked = now()
    note(f"DELETE {leaving.id}: {status}")
    if status != 200:
        raise OSError(f"the departure was answered {status}")

    async def wait_until(after: float) -> None:
        await asyncio.sleep(max(acked + after - now(), 0.0))

    in_touch_from = acked
    if trouble:
        await wait_until(KILLED_AT)
        for node in world.nodes:
            node.signal(signal.SIGKILL)
        for node in world.nodes:
            await asyncio.to_thread(node.process.wait)
        await wait_until(RESTARTED_AT)
        for node in world.nodes:
            node.start(bootstrap=False)
        restarted = now()
        await wait_until(STORE_BACK_AT)
        world.store.set_down(False)
        note("store back")
        in_touch_from = max(restarted, now()) + CONTACT_S
    await wait_until(LATE_HEARTBEAT_AT)
    note(f"late heartbeat arrives: {await leaving.deliver('PUT', late)}")
    await wait_until(EXIT_AT)
    driver.cancel()
    await asyncio.sleep(0.2)
    if not any(r.status == 200 and r.at > in_touch_from for r in sent):
        raise OSError("nothing was served after the restart")
    return [
        f"{req.rid} sent {req.at - acked:.3f} s after the acknowledgement, reached the"
        f" instance {leaving.began[req.rid] - acked:.3f} s after it, answer {req.status}"
        for req in sent
        if req.rid in leaving.began
        and leaving.began[req.rid] - acked > DRAIN_S
        and req.at >= in_touch_from
    ]


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
