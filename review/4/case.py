"""Planned stop of a node whose clients pipeline and read slowly; see claim.txt."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from pipelining import PipeliningClient, Sent  # noqa: E402
from world import GRACE_S, World, run_case  # noqa: E402

SIZE = 30_000
WORK_S = 0.06
TIMEOUT_S = 0.8
N_CLIENTS = 8
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
    "services": {
        "results": {
            "healthPath": "/health",
            "maxConnections": 784,
            "protocol": "h1",
            "tls": False,
        }
    },
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeout": "3000ms",
        "idleTimeout": "15000ms",
    },
}


async def case(trouble: bool, holder: dict) -> list[str]:
    world = holder["world"] = World(CONFIG)
    for zone in ("hall-a", "hall-b", "hall-c"):
        world.add(f"node-{zone}", zone, "results")
    await world.start(lambda target: (WORK_S, SIZE))
    node = world.nodes[0]
    clients = [
        PipeliningClient(world, node, f"c{n}", "/panels/2f", SIZE)
        for n in range(N_CLIENTS)
    ]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(4.0)
    term = world.record.now()
    if trouble:
        # The zone's only node: fewer than half of its nodes are in, so that the
        # platform does not take its clients' work away.
        node.signal(signal.SIGTERM)
        await asyncio.to_thread(node.process.wait, GRACE_S + 1.0)
        world.record.note(f"{node.name} ended {node.process.returncode}")
        node.start(bootstrap=False)
    await asyncio.sleep(4.0)
    for task in tasks:
        task.cancel()
    ended = world.record.now()
    await asyncio.sleep(0.1)
    broken = [text for c in clients for text in judge(world, c.sent, term, ended)]
    return broken + [f"MIXED {rid}" for c in clients for rid in c.wrong]


def judge(world: World, sent: list[Sent], term: float, ended: float) -> list[str]:
    """Return the requests lost around the stop, by LOST with its excuses."""
    found = []
    for req in sent:
        began = world.began(req.rid)
        if req.lost is None or req.lost >= ended or began is None:
            continue  # answered, cut by the end of the test, or not passed on
        if req.lost - req.at >= TIMEOUT_S:
            continue  # the route's timeout was reached
        worked = any(req.rid in i.ended for i in world.instances)
        is_late = req.lost >= term + GRACE_S * 5 / 6 and req.at <= term + 3.0
        if not worked and is_late:
            continue  # still at work in the last sixth of grace
        if not term <= req.lost <= term + GRACE_S + 1.0:
            found.append(f"outside the stop: {req.rid}")
            continue
        state = "answered by its instance" if worked else "broken off at its instance"
        found.append(
            f"{req.rid} sent {req.at - term:.3f} s after SIGTERM, passed on, {state},"
            f" connection ended at {req.lost - term:.3f} s with {req.n_bytes} bytes"
        )
    return found


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
