"""Calls that an instance makes late in the planned stop of its node are cut off."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import (  # noqa: E402
    CONTACT_S,
    GRACE_S,
    Deployment,
    Message,
    Record,
    configuration,
    route,
    run_case,
)

# Machine 0 has the instance of `certs`; its node is stopped. The others stay.
SERVICES = ["certs", "results", "results", "results"]
# Seconds of work of a call: within the 900 ms of the slowest request of the small
# deployment. A request to `certs` makes this many calls, one after the other.
CALL_WORK_S = 0.8
N_CALLS = 6
# Deadlines of `panel-lookup` and `cert-fetch`.
DEADLINE_MS = 5_000
CALL_DEADLINE_MS = 2_500
# Seconds after the SIGTERM at which requests to `certs` are sent, on another machine;
# the stopped node takes them from there for 2 s.
SENT_AFTER_S = (0.9, 1.1, 1.3, 1.5)
SENT_LATE_S = 3.0


async def case(record: Record, trouble: bool) -> list[str]:
    deployment = Deployment(record, SERVICES)
    certs, entry = deployment.machines[0], deployment.machines[1]
    results = deployment.instances[1:]
    calls: list[tuple[float, float, str, Message | str]] = []
    term_at: list[float] = []

    async def run_certs(message: Message) -> tuple[int, bytes]:
        parent = message.get("Request-Id")
        until = record.now() + int(message.get("Deadline-Ms")) / 1_000.0
        for number in range(N_CALLS):
            ident = f"{parent}.{number}"
            left_ms = int(1_000.0 * (until - record.now()))
            sent = record.now()
            deadline_ms = min(left_ms, CALL_DEADLINE_MS)
            record.request(ident, f"{certs.name} sends it, waits {deadline_ms} ms")
            answer = await certs.call("GET", f"/results/{ident}", ident, deadline_ms)
            calls.append((sent, record.now(), ident, answer))
            shown = answer if isinstance(answer, str) else answer.status
            record.request(ident, f"{certs.name} gets: {shown}")
            if shown != "200":
                return 500, b"a call failed"
        return 200, b"all calls done"

    async def run_results(message: Message) -> tuple[int, bytes]:
        await asyncio.sleep(CALL_WORK_S)
        return 200, b"result " + message.get("Request-Id").encode()

    deployment.instances[0].run_request = run_certs
    # "Most instances drop a request when its connection closes": this one finishes it,
    # so that the node alone ends the connections of its calls.
    deployment.instances[0].drops = False
    for instance in results:
        instance.run_request = run_results
    config = configuration(
        {
            "r-certs": route("certs", "/certs/", "idempotent", DEADLINE_MS, 1),
            "r-results": route("results", "/results/", "idempotent", CALL_DEADLINE_MS, 2),
        }
    )

    async def send(after_s: float, number: int) -> None:
        await asyncio.sleep(after_s)
        ident = f"c0ffee{number:010x}"
        record.request(ident, f"sent to {entry.name}")
        answer = await entry.call("GET", f"/certs/{number}", ident, DEADLINE_MS)
        shown = answer if isinstance(answer, str) else answer.status
        record.request(ident, f"client gets {shown}")

    try:
        await deployment.start(config)
        # All machines are in touch.
        await asyncio.sleep(CONTACT_S + 1.0)
        assert certs.process is not None
        term_at.append(record.now())
        if trouble:
            record(f"SIGTERM to {certs.name}")
            certs.process.send_signal(signal.SIGTERM)
        await asyncio.gather(*(send(t, n) for n, t in enumerate(SENT_AFTER_S)))
        left = term_at[0] + GRACE_S - record.now()
        await asyncio.sleep(max(left, 0.0))
        code = certs.process.poll()
        record(f"at the end of grace: {certs.name} has exit code {code}")
    finally:
        await deployment.stop()
    if not calls:
        raise RuntimeError("no call was made")
    breaches = []
    for sent, ended, ident, answer in calls:
        at_work = any(ident in i.runs and ident not in i.answered for i in results)
        is_own = isinstance(answer, Message) and not answer.get("Server-Signature")
        is_cut = answer == "closed without an answer" or (is_own and answer.status == "502")
        after = sent - term_at[0]
        # Excused: the instance was at work in the last sixth of the grace on a request
        # that was sent no later than 3 s after the SIGTERM.
        if trouble and is_cut and at_work and after > SENT_LATE_S:
            shown = answer if isinstance(answer, str) else f"the node's own {answer.status}"
            breaches.append(
                f"LOST: {ident}, sent {after:.2f} s after the SIGTERM, was broken off at "
                f"{ended - term_at[0]:.2f} s with its instance at work: {shown}"
            )
    return breaches


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
