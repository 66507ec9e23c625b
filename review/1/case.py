"""A late copy of a refusal is taken for the answer to the same request, sent again."""

from __future__ import annotations

import asyncio
import itertools
import random
import sys
from collections import Counter
from pathlib import Path
from typing import NamedTuple

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import (  # noqa: E402
    CONTACT_S,
    Deployment,
    Instance,
    Message,
    Record,
    configuration,
    route,
    run_case,
)

# Services of requests that may run once, three instances each, and one more service.
SERVICES = ["certs"] * 3 + ["cycles"] * 3 + ["results"] * 2


class Kind(NamedTuple):
    """A kind of request of the small deployment: rate, work and deadline."""

    service: str
    method: str
    per_s: float
    work_s: float
    deadline_ms: int


KINDS = (
    Kind("certs", "POST", 93.2, 0.160, 5_000),
    Kind("cycles", "PUT", 79.9, 0.084, 1_000),
)
# Doses: at most those of the small deployment's file. All servers of a service refuse
# a share of their requests (there 0.55 for 8.5 s); 0.6 of them add a late extra answer
# to 0.03 of their answers (for 5 s). Both come several times. The fault is in the
# servers' refusals: the copies are copies of refusals, and an instance sends no more of
# them than 0.03 of all its answers so far.
SHED_SHARE, SHED_S = 0.18, 8.5
N_EXTRA, EXTRA_SHARE, EXTRA_S = 2, 0.03, 5.0
COPIED_REFUSALS = 0.15
PAUSE_S = 0.5
LENGTH_S = 80.0
# Seconds since the start of the script after which no more requests are sent.
LATEST_S = 100.0
# A client retries once after a refusal, on a new connection with a new id.
RETRY_STATUSES = ("408", "421", "429", "503")


async def case(record: Record, trouble: bool) -> list[str]:
    deployment = Deployment(record, SERVICES, capacity=189)
    servers = [i for i in deployment.instances if i.machine.service != "results"]
    is_shedding = is_adding = False
    answers: dict[str, str] = {}
    n_answers: Counter[str] = Counter()
    n_extra: Counter[str] = Counter()
    ids = itertools.count()

    def make_run(work_s: float):
        async def run(message: Message) -> tuple[int, bytes]:
            await asyncio.sleep(work_s)
            return 200, b"done " + message.get("Request-Id").encode()

        return run

    def make_extra(instance: Instance):
        def extra(is_refusal: bool) -> bool:
            n_answers[instance.id] += 1
            allowed = EXTRA_SHARE * n_answers[instance.id] - n_extra[instance.id] >= 1.0
            chosen = is_adding and is_refusal and allowed
            chosen = chosen and random.random() < COPIED_REFUSALS
            n_extra[instance.id] += chosen
            return chosen

        return extra

    for kind in KINDS:
        own = [i for i in servers if i.machine.service == kind.service]
        for number, instance in enumerate(own):
            instance.run_request = make_run(kind.work_s)
            instance.sheds = lambda _: is_shedding and random.random() < SHED_SHARE
            if number < N_EXTRA:
                instance.extra = make_extra(instance)
    routes = {
        f"r-{kind.service}": route(
            kind.service, f"/{kind.service}/", "non_idempotent", kind.deadline_ms, 0
        )
        for kind in KINDS
    }
    routes["r-results"] = route("results", "/results/", "idempotent", 5_000, 2)

    async def attempt(kind: Kind, deadline_ms: int) -> Message | str:
        ident = f"{random.getrandbits(48):012x}{next(ids):04x}"
        machine = random.choice(deployment.machines)
        record.request(ident, f"sent to {machine.name}")
        answer = await machine.call(
            kind.method, f"/{kind.service}/{ident}", ident, deadline_ms, b"x" * 400
        )
        answers[ident] = answer if isinstance(answer, str) else answer.status
        record.request(ident, f"client gets {answers[ident]}")
        return answer

    async def send(kind: Kind) -> None:
        until = record.now() + kind.deadline_ms / 1_000.0
        answer = await attempt(kind, kind.deadline_ms)
        if isinstance(answer, str) or answer.status not in RETRY_STATUSES:
            return
        left_s = until - record.now()
        wait_s = float(answer.get("Retry-After") or 0.0)
        await asyncio.sleep(max(min(wait_s, left_s / 3.0), 0.0))
        left_ms = int(1_000.0 * (until - record.now()))
        if left_ms > 0:
            await attempt(kind, left_ms)

    async def shed() -> None:
        nonlocal is_shedding
        while True:
            is_shedding = True
            record(f"all servers refuse {SHED_SHARE} of their requests for {SHED_S} s")
            await asyncio.sleep(SHED_S)
            is_shedding = False
            await asyncio.sleep(PAUSE_S)

    async def add() -> None:
        nonlocal is_adding
        while True:
            is_adding = True
            record(f"{N_EXTRA} of 3 servers add late extra answers for {EXTRA_S} s")
            await asyncio.sleep(EXTRA_S)
            is_adding = False
            await asyncio.sleep(PAUSE_S)

    try:
        await deployment.start(configuration(routes))
        await asyncio.sleep(CONTACT_S + 1.0)
        started = record.now()
        disruptions = [asyncio.create_task(d()) for d in (shed, add)] if trouble else []
        sends = set()
        sent: Counter[Kind] = Counter()
        while (now := record.now() - started) < LENGTH_S and record.now() < LATEST_S:
            for kind in KINDS:
                while sent[kind] < now * kind.per_s:
                    sends.add(asyncio.create_task(send(kind)))
                    sent[kind] += 1
            await asyncio.sleep(0.005)
        await asyncio.gather(*sends)
        for disruption in disruptions:
            disruption.cancel()
        await asyncio.sleep(1.0)
    finally:
        await deployment.stop()
    runs: Counter[str] = Counter()
    for instance in servers:
        runs.update(instance.runs)
    record(
        f"{len(answers)} requests: {dict(Counter(answers.values()))}; answers and late "
        f"extra ones: {dict(n_answers)}, {dict(n_extra)}"
    )
    if not runs:
        raise RuntimeError("no request ran")
    for ident, status in answers.items():
        if status in RETRY_STATUSES and runs[ident]:
            record(f"also REFUSED: {ident} was answered {status} and ran")
    return [
        f"TWICE: {ident} ran {n} times and was answered {answers.get(ident)}"
        for ident, n in runs.items()
        if n > 1
    ]


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
