"""Behaviour of a node in the first second after its host was suspended.

The monotonic clock of the event loop stops during a suspension; the clock that the node
reads does not. The test clock therefore runs ahead of the event loop by the duration of
the suspension.
"""

import trio
from testtools import TestCase

from fuchsiagap.core.clock import MS_PER_S, Clock
from fuchsiagap_node.core.mesh.stream import dial
from fuchsiagap_standins.mesh.backend_server import Behaviour
from fuchsiagap_standins.mesh.deployment import (
    a_deployment,
    a_route,
    read_answer,
    request_bytes,
)
from fuchsiagap_standins.mesh.virtual import run_in_memory


class SuspendedClock:
    """A clock that the test advances by simulated suspensions."""

    def __init__(self):
        self._ahead = 0.0
        self._counted = 0.0
        self.clock = Clock(self._now, lambda: 0.0, self._catch_up)

    def suspend(self, duration):
        """Simulate a suspension of `duration` milliseconds that ends now."""
        self._ahead += duration

    def _now(self):
        return trio.current_time() * MS_PER_S + self._counted

    def _catch_up(self):
        suspended, self._counted = self._ahead - self._counted, self._ahead
        return suspended


def time_left(server):
    """Return the ``Time-Left`` of the last request at a server, in milliseconds."""
    for line in server.heads[-1].headers.split(b"\r\n"):
        if line.startswith(b"Time-Left: "):
            return int(line.removeprefix(b"Time-Left: "))
    raise AssertionError("no time left")


async def two_hosts(deployment):
    """Return a host with a simulated clock, a host with a server, and the clock."""
    ahead = SuspendedClock()
    near = deployment.add("bookings", clock=ahead.clock)
    far = deployment.add("certs")
    await deployment.settle()
    return near, far, ahead


class TestSuspension(TestCase):
    def test_request_unread_during_the_suspension_gets_its_remaining_time(self):
        async def main():
            async with a_deployment(a_route("read", timeout=9_000.0)) as deployment:
                near, far, ahead = await two_hosts(deployment)
                stream = await dial(near.node.cfg.addresses.callers, 500.0)
                await trio.sleep(0.1)
                ahead.suspend(2_000.0)
                await stream.send(request_bytes("/read/1", "r-1", 5_000.0))
                answer = await read_answer(stream)
                return answer.status, time_left(far.server)

        status, left = run_in_memory(main)
        self.assertEqual(200, status)
        self.assertLessEqual(left, 3_000)

    def test_request_that_expired_unread_reaches_no_server(self):
        async def main():
            async with a_deployment(a_route("read", timeout=9_000.0)) as deployment:
                near, far, ahead = await two_hosts(deployment)
                stream = await dial(near.node.cfg.addresses.callers, 500.0)
                await trio.sleep(0.1)
                ahead.suspend(10_000.0)
                await stream.send(request_bytes("/read/1", "r-1", 5_000.0))
                answer = await read_answer(stream)
                return answer.status, len(far.server.heads)

        self.assertEqual((503, 0), run_in_memory(main))

    def test_running_request_that_expired_during_the_suspension_is_ended(self):
        async def main():
            async with a_deployment(a_route("read", timeout=9_000.0)) as deployment:
                near, far, ahead = await two_hosts(deployment)
                far.server.behave = lambda _: Behaviour(work=4_000.0)
                status = []

                async def ask():
                    answer = await near.send("/read/1", "r-1", 5_000.0)
                    status.append((answer.status, trio.current_time()))

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(ask)
                    await trio.sleep(0.2)
                    ahead.suspend(6_000.0)
                    woke_at = trio.current_time()
                (found,) = status
                return found[0], found[1] - woke_at, far.server.cancelled

        status, took, cancelled = run_in_memory(main)
        self.assertIn(status, (502, 504))
        self.assertLess(took, 0.5)
        self.assertEqual(["r-1"], cancelled)

    def test_server_that_began_to_drain_during_the_suspension_gets_no_requests(self):
        async def main():
            async with a_deployment(a_route("read", timeout=9_000.0)) as deployment:
                near, far, ahead = await two_hosts(deployment)
                link = next(iter(near.node._links))
                # Its node reports the drain only at its next tick, or on a new link.
                far.node.backend_queue.leaving = True
                ahead.suspend(2_000.0)
                await trio.sleep(0.02)
                believed = link.target.instance
                answer = await near.send("/read/1", "r-1", 1_000.0)
                return believed, answer.status, len(far.server.heads)

        self.assertEqual(("", 503, 0), run_in_memory(main))

    def test_links_and_service_recover_within_a_second(self):
        for duration in (2_000.0, 10_000.0, 60_000.0):

            async def main(duration=duration):
                async with a_deployment(a_route("read", timeout=9_000.0)) as deployment:
                    near, far, ahead = await two_hosts(deployment)
                    ahead.suspend(duration)
                    await trio.sleep(1.0)
                    far.report()
                    answer = await near.send("/read/1", "r-1", 1_000.0)
                    woken = near.node.event_log.counts["events", "resumed"]
                    others = far.node.event_log.counts["events", "resumed"]
                    return answer.status, woken, others

            self.assertEqual((200, 1, 0), run_in_memory(main), duration)

    def test_heartbeat_from_before_the_suspension_is_outdated(self):
        async def main():
            async with a_deployment(a_route("read", timeout=9_000.0)) as deployment:
                ahead = SuspendedClock()
                host = deployment.add("certs", clock=ahead.clock)
                await deployment.settle()
                before = host.node.backend_queue.instance()
                ahead.suspend(10_000.0)
                await trio.sleep(0.06)
                return before, host.node.backend_queue.instance()

        self.assertEqual(("i-certs-0", ""), run_in_memory(main))
