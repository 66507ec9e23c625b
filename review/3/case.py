"""A restarted node sends requests to an instance whose departure was acknowledged."""

from __future__ import annotations

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import (  # noqa: E402
    CONTACT_S,
    Deployment,
    Message,
    Record,
    configuration,
    route,
    run_case,
)

SERVICES = ["certs"] * 3 + ["results"] * 2
PER_S = 60.0
WORK_S = 0.160
DEADLINE_MS = 5_000
DRAIN_S = 2.0
# Seconds after the departure: kill of the node, its restart ("after a short delay"),
# arrival of a heartbeat that was sent before the departure, and end of the instance,
# which serves for `drain` after the acknowledgement "and a little longer (at times many
# seconds)".
KILL_AFTER_S = 0.3
RESTART_AFTER_S = 0.8
LATE_BY_S = 2.5
SERVES_S = 10.0


async def case(record: Record, trouble: bool) -> list[str]:
    deployment = Deployment(record, SERVICES)
    leaving, machine = deployment.instances[0], deployment.machines[0]
    arrivals: list[tuple[float, str]] = []
    answers: dict[str, str] = {}
    is_over = False

    def make_run(instance):
        async def run(message: Message) -> tuple[int, bytes]:
            if instance is leaving:
                arrivals.append((record.now(), message.get("Request-Id")))
            await asyncio.sleep(WORK_S)
            return 200, b"done " + message.get("Request-Id").encode()

        return run

    for instance in deployment.instances:
        instance.run_request = make_run(instance)

    async def send(number: int) -> None:
        ident = f"{random.getrandbits(48):012x}{number:04x}"
        # The machine of the leaving instance is not asked: it isn't ready all the time.
        entry = random.choice(deployment.machines[1:])
        record.request(ident, f"sent to {entry.name}")
        answer = await entry.call("POST", f"/certs/{number}", ident, DEADLINE_MS)
        answers[ident] = answer if isinstance(answer, str) else answer.status
        record.request(ident, f"client gets {answers[ident]}")

    async def send_all() -> None:
        sends, number, started = set(), 0, record.now()
        while not is_over:
            while number < (record.now() - started) * PER_S:
                sends.add(asyncio.create_task(send(number)))
                number += 1
            await asyncio.sleep(0.01)
        await asyncio.gather(*sends)

    try:
        await deployment.start(
            configuration(
                {
                    "r-certs": route("certs", "/certs/", "non_idempotent", DEADLINE_MS, 0),
                    "r-results": route("results", "/results/", "idempotent", 5_000, 2),
                }
            )
        )
        clients = asyncio.create_task(send_all())
        await asyncio.sleep(CONTACT_S + 2.0)
        # The instance leaves without having said that it drains; its last heartbeat is
        # still on the way.
        leaving.stop_heartbeats()
        late = leaving.heartbeat()
        record(f"{leaving.id} sends a heartbeat, which arrives {LATE_BY_S} s late")
        if not await leaving.delete():
            raise RuntimeError("the departure was not acknowledged")
        left_at = record.now()
        record(f"{leaving.id} is gone: its DELETE was acknowledged")
        restarted_at = left_at
        if trouble:
            await asyncio.sleep(KILL_AFTER_S)
            machine.kill_node()
            await asyncio.sleep(RESTART_AFTER_S - KILL_AFTER_S)
            machine.start_node()
            restarted_at = record.now()
        await asyncio.sleep(left_at + LATE_BY_S - record.now())
        status = await leaving.send(late)
        record(f"the late heartbeat of {leaving.id} arrives: {status}")
        await asyncio.sleep(left_at + SERVES_S - record.now())
        record(f"{leaving.id} ends")
        await leaving.stop()
        await asyncio.sleep(1.0)
        is_over = True
        await clients
    finally:
        await deployment.stop()
    record(f"{len(answers)} requests: {dict(Counter(answers.values()))}")
    # In touch again `contact` after its start: until then nothing counts.
    counted_from = max(left_at + DRAIN_S, restarted_at + CONTACT_S)
    counted = [(at, ident) for at, ident in arrivals if at > counted_from]
    record(f"{len(counted)} requests reached it after {counted_from:.3f}")
    return [
        f"DRAIN: {ident} reached {leaving.id} {at - left_at:.2f} s after its DELETE was "
        f"acknowledged, and was answered {answers.get(ident)}"
        for at, ident in counted
    ]


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
