"""Service to callers while the offered load exceeds the capacity of a service.

A service with four slots and 15 ms per request has a capacity of 266 requests a second;
390 a second arrive for six seconds. The shares are those of callers answered in time,
counted from their first attempt, among callers that begin after the first second.
"""

from collections import defaultdict
from dataclasses import dataclass, field

import trio
from testtools import TestCase

from fuchsiagap_node.core.mesh.stream import dial
from fuchsiagap_standins.mesh.backend_server import Behaviour
from fuchsiagap_standins.mesh.deployment import (
    a_deployment,
    a_route,
    read_answer,
    request_bytes,
)
from fuchsiagap_standins.mesh.virtual import run_in_memory

WORK_MS = 15.0
LENGTH_S = 6.0
# Requests a second and latency objective in milliseconds, by route.
KINDS = {"page": (300, 1_000.0), "reserve": (30, 150.0), "buy": (60, 1_000.0)}
ROUTES = (
    a_route("page", priority=2, objective=1_000.0, timeout=3_000.0),
    a_route("reserve", priority=2, objective=150.0, timeout=600.0),
    a_route("buy", priority=0, objective=1_000.0, timeout=3_000.0, idempotent=False),
)


@dataclass
class Callers:
    """Callers at two hosts, and their response times in milliseconds by kind."""

    hosts: list
    took: dict = field(default_factory=lambda: defaultdict(list))

    async def call(self, number, kind):
        """Send a request, and retry it once after the retry-after time if refused."""
        started = trio.current_time()
        host = self.hosts[number % len(self.hosts)]
        status, pause = await self._send(host, kind, f"{kind}-{number}-a")
        if status == 503:
            await trio.sleep(pause)
            status, _ = await self._send(host, kind, f"{kind}-{number}-b")
        took = (trio.current_time() - started) * 1_000.0
        self.took[kind].append(took if status == 200 else float("inf"))

    async def _send(self, host, kind, request_id):
        stream = await dial(host.node.cfg.addresses.callers, 500.0)
        wait = 3_000.0 if kind != "reserve" else 600.0
        await stream.send(request_bytes(f"/{kind}/1", request_id, wait))
        answer = await read_answer(stream)
        stream.close()
        head = answer.headers.partition(b"Retry-After: ")[2]
        return answer.status, float(head.partition(b"\r")[0] or 0.0)

    def in_time(self, kind):
        """Return the share of the callers of a kind that were answered in time."""
        objective = KINDS[kind][1]
        later = self.took[kind][len(self.took[kind]) // 6 :]
        return sum(took <= objective for took in later) / len(later)


async def surge():
    """Run the surge and return the callers."""
    async with a_deployment(*ROUTES) as deployment:
        hosts = [deployment.add("pages") for _ in range(2)]
        served = deployment.add("certs", slots=4)
        served.server.behave = lambda _: Behaviour(work=WORK_MS)
        await deployment.settle()
        callers = Callers(hosts)
        async with trio.open_nursery() as nursery:
            for kind, (per_second, _) in KINDS.items():
                nursery.start_soon(_arrive, nursery, callers, kind, per_second)
        return callers


async def _arrive(nursery, callers, kind, per_second):
    for number in range(int(per_second * LENGTH_S)):
        nursery.start_soon(callers.call, number, kind)
        await trio.sleep(1.0 / per_second)


class TestSurge(TestCase):
    def test_capacity_goes_to_high_priority_and_to_short_and_long_objectives(self):
        callers = run_in_memory(surge)
        shares = {kind: callers.in_time(kind) for kind in KINDS}
        # The capacity suffices for 0.62 of the page and reserve requests. The shares of
        # buy, reserve and page are 1.00, 0.53 and 0.56. With load shedding that follows
        # the number of running and waiting requests, retries refused three times as
        # often, late retry-after times and queues in order of arrival, they would be
        # 1.00, 0.37 and 0.43.
        self.assertGreater(shares["buy"], 0.97, shares)
        self.assertGreater(shares["reserve"], 0.45, shares)
        self.assertGreater(shares["page"], 0.5, shares)
