"""Servers that send responses without end."""

from functools import partial

import trio
from testtools import TestCase

from fuchsiagap.core.retries.backend_budget import ServiceRetryLimits
from fuchsiagap_standins.mesh.backend_server import (
    ENDLESS_RESPONSES,
    Behaviour,
    ResponseMode,
)
from fuchsiagap_standins.mesh.deployment import a_deployment, a_route
from fuchsiagap_standins.mesh.virtual import run_in_memory

READ = a_route("read", max_attempts=1)
AMPLE = ServiceRetryLimits(1.0, 100.0, 10_000.0)


async def send_during_endless_response(name):
    """Return the status, time taken and log of a request with an endless response."""
    async with a_deployment(READ) as deployment:
        host = deployment.add("certs", budget=AMPLE)
        host.node.body_memory.limit = 2_000_000
        endless = Behaviour(ResponseMode.ENDLESS, endless=name)
        host.server.behave = lambda req: (
            endless if req.target == b"/read/endless" else Behaviour()
        )
        await deployment.settle()
        started = trio.current_time()
        answer = await host.send("/read/endless", "r1")
        took_s = trio.current_time() - started
        after = await host.send("/read/1", "r2")
        await trio.sleep(0.1)
        node = host.node
        counts = {
            part: n
            for (metric, part), n in node.event_log.counts.items()
            if metric == "responses_too_long"
        }
        held = node.body_memory.held
        n_open = host.server.n_endless
        return answer.status, after.status, took_s, counts, held, n_open


class TestEndlessResponses(TestCase):
    def test_response_without_end_fails_at_once_and_is_closed(self):
        parts = {}
        for name in ENDLESS_RESPONSES:
            status, after, took_s, counts, held, n_open = run_in_memory(
                partial(send_during_endless_response, name)
            )
            self.assertEqual((502, 200), (status, after), name)
            self.assertLess(took_s, 0.5, name)
            self.assertEqual((0, 0), (held, n_open), name)
            (parts[name],) = counts
        self.assertEqual("headers", parts["headers"])
        self.assertEqual("body", parts["body"])
        self.assertEqual("informational", parts["informational responses"])
        self.assertEqual("skipped", parts["other responses"])
