"""Requests with bodies of 4 MiB, one after the other, end nodes by their memory."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import (  # noqa: E402
    CONTACT_S,
    Deployment,
    Machine,
    Message,
    Record,
    configuration,
    route,
    run_case,
)

SERVICES = ["certs"] * 3 + ["results"] * 3
# Machines whose clients send large bodies: two, which is at least a tenth of six.
UPLOADERS = (3, 4)
# Bytes of a body: a sixteenth of `maxBodyBytes`; with TROUBLE=0 those of `cert-issue`.
LARGE_BYTES = 4 * 1024 * 1024
SMALL_BYTES = 300
# Seconds between an answer and the next upload of a machine's only uploading client.
PAUSE_S = 0.1
DEADLINE_MS = 5_000
WORK_S = 0.02
# Other traffic of each machine, in requests per second: lookups and small requests.
LOOKUPS_PER_S, ISSUES_PER_S = 8.0, 4.0
# The platform ends a process that exceeds `memoryMb` (300) and starts it again after a
# short delay.
MEMORY_BYTES = 300 * 1024 * 1024
MEMORY_CHECK_S = 0.01
RESTART_S = 0.5
LENGTH_S = 70.0
# Seconds since the start of the script after which no more requests are sent.
LATEST_S = 95.0
MAX_ENDS = 3


async def case(record: Record, trouble: bool) -> list[str]:
    deployment = Deployment(record, SERVICES)
    ends: Counter[str] = Counter()
    peaks: Counter[str] = Counter()
    outcomes: Counter[tuple[str, str]] = Counter()
    is_over = False

    async def run(message: Message) -> tuple[int, bytes]:
        await asyncio.sleep(WORK_S)
        return 200, b"done " + message.get("Request-Id").encode()

    for instance in deployment.instances:
        instance.run_request = run
    routes = {
        "r-certs": route("certs", "/certs/", "non_idempotent", DEADLINE_MS, 0),
        "r-results": route("results", "/results/", "idempotent", DEADLINE_MS, 2),
    }

    async def supervise(machine: Machine) -> None:
        """End the node if it exceeds its memory, as the platform does."""
        while not is_over:
            await asyncio.sleep(MEMORY_CHECK_S)
            rss = machine.resident_bytes()
            peaks[machine.name] = max(peaks[machine.name], rss)
            if rss <= MEMORY_BYTES:
                continue
            ends[machine.name] += 1
            record(f"{machine.name} holds {rss} bytes: end {ends[machine.name]}")
            machine.kill_node()
            await asyncio.sleep(RESTART_S)
            machine.start_node()

    async def send(machine: Machine, kind: str, method: str, path: str, size: int) -> str:
        ident = f"{random.getrandbits(64):016x}"
        record.request(ident, f"sent to {machine.name}, {size} bytes")
        answer = await machine.call(method, path + ident, ident, DEADLINE_MS, b"x" * size)
        shown = answer if isinstance(answer, str) else answer.status
        outcomes[kind, shown] += 1
        record.request(ident, f"client gets {shown}")
        return shown

    async def upload(machine: Machine) -> None:
        size = LARGE_BYTES if trouble else SMALL_BYTES
        while not is_over:
            shown = await send(machine, "upload", "POST", "/certs/", size)
            await asyncio.sleep(PAUSE_S if shown == "200" else 1.0)

    async def others(machine: Machine) -> None:
        sends = set()
        while not is_over:
            await asyncio.sleep(random.expovariate(LOOKUPS_PER_S + ISSUES_PER_S))
            if random.random() < LOOKUPS_PER_S / (LOOKUPS_PER_S + ISSUES_PER_S):
                work = send(machine, "lookup", "GET", "/results/", 0)
            else:
                work = send(machine, "issue", "POST", "/certs/", SMALL_BYTES)
            sends.add(asyncio.create_task(work))
        await asyncio.gather(*sends)

    try:
        await deployment.start(configuration(routes))
        await asyncio.sleep(CONTACT_S + 1.0)
        machines = deployment.machines
        tasks = [asyncio.create_task(supervise(machine)) for machine in machines]
        tasks += [asyncio.create_task(others(machine)) for machine in machines]
        tasks += [asyncio.create_task(upload(machines[n])) for n in UPLOADERS]
        until = min(record.now() + LENGTH_S, LATEST_S)
        while record.now() < until:
            await asyncio.sleep(0.2)
            if sum(n >= MAX_ENDS for n in ends.values()) >= len(UPLOADERS):
                break
        is_over = True
        await asyncio.wait(tasks, timeout=8.0)
    finally:
        await deployment.stop()
    for machine in machines:
        record(f"{machine.name}: {ends[machine.name]} ends, peak {peaks[machine.name]} bytes")
    for (kind, shown), number in sorted(outcomes.items()):
        record(f"{kind}: {number} times {shown}")
    if not outcomes["upload", "200"]:
        raise RuntimeError("no upload was answered")
    ended = [name for name, number in ends.items() if number >= MAX_ENDS]
    if len(ended) < max(2, len(machines) // 10):
        return []
    return [
        f"Fault: processes of {len(ended)} of {len(machines)} machines ended {MAX_ENDS} "
        f"times by their memory: {', '.join(sorted(ended))}"
    ]


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
