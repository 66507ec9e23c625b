"""Measures the CPU time of a request through two nodes, on loopback in one process.

Run as ``python -m fuchsiagap_standins.mesh.bench_path [REQUESTS]``. Two nodes, a
backend server and callers with persistent connections share the process, so the result
includes both ends of the connections to callers and to the server.
"""

from __future__ import annotations

import resource
import sys
from dataclasses import dataclass

import trio

from fuchsiagap_node.core.mesh.stream import dial
from fuchsiagap_standins.mesh.deployment import (
    a_deployment,
    a_route,
    read_answer,
    request_bytes,
)

# Number of concurrent callers, each with one request at a time.
_CALLERS = 16
_US_PER_S = 1e6


@dataclass(frozen=True, slots=True)
class PathFigures:
    """Result of a measurement.

    Parameters
    ----------
    requests : int
        Number of requests sent.
    answered : int
        Number of requests answered with status 200.
    us_per_request : float
        CPU time of the whole process per request, in microseconds.
    """

    requests: int
    answered: int
    us_per_request: float


async def measure(requests: int) -> PathFigures:
    """Send `requests` requests through one node to the server of the other."""
    n_per_caller = max(requests // _CALLERS, 1)
    answered = 0
    async with a_deployment(a_route("read")) as deployment:
        entry_host = deployment.add("bookings")
        deployment.add("certs", slots=4 * _CALLERS)
        await trio.sleep(2.0)

        async def call(caller: int) -> None:
            nonlocal answered
            stream = await dial(entry_host.node.cfg.addresses.callers, 500.0)
            for number in range(n_per_caller):
                await stream.send(request_bytes("/read/1", f"{caller}-{number}"))
                answer = await read_answer(stream)
                answered += answer is not None and answer.status == 200
            stream.close()

        before = processor_s()
        async with trio.open_nursery() as nursery:
            for caller in range(_CALLERS):
                nursery.start_soon(call, caller)
        cpu_s = processor_s() - before
    total = n_per_caller * _CALLERS
    return PathFigures(total, answered, _US_PER_S * cpu_s / total)


def processor_s() -> float:
    """Return the CPU time that this process has used, in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def main() -> None:
    """Measure and print the result in one line."""
    requests = int(sys.argv[1]) if len(sys.argv) > 1 else 8_000
    figures = trio.run(measure, requests)
    sys.stdout.write(
        f"{figures.answered} of {figures.requests} answered,"
        f" {figures.us_per_request:.0f} us of CPU time per request\n"
    )


if __name__ == "__main__":
    main()
