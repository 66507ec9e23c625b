"""Bound on the memory for bodies: what is refused, and what callers get."""

import trio
from testtools import TestCase

from fuchsiagap.core.routes.model import CallerLimits
from fuchsiagap_node.core.mesh.body_memory import BodyMemory, body_limit
from fuchsiagap_node.core.mesh.large_frames import LARGE_BODY_BYTES
from fuchsiagap_node.core.mesh.stream import BrokenStream, dial
from fuchsiagap_standins.mesh.backend_server import Behaviour
from fuchsiagap_standins.mesh.deployment import (
    a_deployment,
    a_route,
    read_answer,
    request_bytes,
)
from fuchsiagap_standins.mesh.virtual import run_in_memory

BODY = b"x" * 300_000
WRITE = a_route("write", idempotent=False, timeout=2_000.0)
LOW = a_route("low", idempotent=False, timeout=2_000.0, priority=9)
LIMIT_BYTES = 1_500_000


async def send_at_once(host, n, path="/write/1", body=BODY):
    """Send requests at the same time; return their statuses and the peak of memory."""
    statuses, peak, is_over = [], 0, trio.Event()

    async def send(number):
        answer = await host.send(path, f"r{number}", 2_000.0, "POST", body)
        statuses.append(None if answer is None else answer.status)

    async def watch():
        nonlocal peak
        while not is_over.is_set():
            peak = max(peak, host.node.body_memory.held)
            await trio.sleep(0.001)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch)
        async with trio.open_nursery() as senders:
            for number in range(n):
                senders.start_soon(send, number)
        is_over.set()
    return sorted(statuses), peak


async def two_hosts(deployment, behave, limit_at="bookings"):
    """Return a host of callers, and one with the server, one of them with the limit."""
    caller = deployment.add("bookings")
    served = deployment.add("certs", slots=50)
    served.server.behave = behave
    for host in (caller, served):
        if host.node.cfg.service == limit_at:
            host.node.body_memory.limit = LIMIT_BYTES
    await deployment.settle()
    return caller, served


class TestBodyMemory(TestCase):
    def test_worse_ranks_are_refused_first(self):
        memory = BodyMemory(1_000_000.0)
        memory.hold(500_000)
        self.assertTrue(memory.admits(100_000, 0))
        self.assertFalse(memory.admits(100_000, 9))
        self.assertFalse(memory.admits(500_001, 0))
        memory.hold(300_000)
        self.assertFalse(memory.admits(LARGE_BODY_BYTES, 0))
        memory.release(800_000)
        self.assertTrue(memory.admits(1_000_000, 9))

    def test_small_bodies_have_a_reserve_that_worse_ranks_use_less_of(self):
        memory = BodyMemory(1_000_000.0)
        memory.hold(1_000_000)
        self.assertTrue(memory.admits(0, 9))
        for _ in range(40):
            memory.hold(50_000)
        self.assertFalse(memory.admits(0, 9))
        self.assertTrue(memory.admits(0, 0))
        for _ in range(30):
            memory.hold(50_000)
        self.assertFalse(memory.admits(0, 0))

    def test_small_bodies_of_worse_ranks_leave_memory_to_important_uploads(self):
        memory = BodyMemory(10_000_000.0)
        while memory.admits(50_000, 9):
            memory.hold(50_000)
        self.assertTrue(memory.admits(1_000_000, 0))

    def test_body_that_grows_large_no_longer_counts_as_small(self):
        memory = BodyMemory(1_000_000.0)
        for n_held in range(0, 100_000, 10_000):
            memory.grow(n_held, 10_000)
        self.assertEqual((100_000, 0), (memory.held, memory.held_small))
        memory.release(100_000)
        self.assertEqual((0, 0), (memory.held, memory.held_small))

    def test_request_is_not_refused_for_the_memory_of_its_own_body(self):
        memory = BodyMemory(body_limit(200e6))
        n_bytes = CallerLimits().body_bytes
        for rank in range(10):
            self.assertTrue(memory.admits(n_bytes, rank))
            memory.hold(n_bytes)
            self.assertTrue(memory.admits(0, rank, n_bytes))
            memory.release(n_bytes)

    def test_large_body_in_small_chunks_has_no_use_of_the_reserve(self):
        memory = BodyMemory(1_000_000.0)
        memory.hold(1_000_000)
        self.assertTrue(memory.admits(1_000, 0, 10_000))
        self.assertFalse(memory.admits(1_000, 0, LARGE_BODY_BYTES))

    def test_limit_holds_the_largest_body_on_a_host_with_200_mb(self):
        self.assertGreaterEqual(body_limit(200e6), CallerLimits().body_bytes)


class TestRequests(TestCase):
    def test_requests_without_body_are_served_while_uploads_use_all_memory(self):
        for limit_at in ("bookings", "certs"):

            async def main(limit_at=limit_at):
                async with a_deployment(WRITE, LOW) as deployment:
                    hosts = await two_hosts(deployment, lambda _: Behaviour(), limit_at)
                    for host in hosts:
                        if host.node.body_memory.limit == LIMIT_BYTES:
                            host.node.body_memory.hold(LIMIT_BYTES)
                    lookup = await hosts[0].send("/low/1", "lookup")
                    upload = await hosts[0].send(
                        "/write/1", "upload", 2_000.0, "POST", BODY
                    )
                    return lookup.status, upload.status

            self.assertEqual((200, 503), run_in_memory(main), limit_at)

    def test_request_whose_response_is_usually_large_is_refused_before_it_runs(self):
        for limit_at in ("bookings", "certs"):

            async def main(limit_at=limit_at):
                async with a_deployment(WRITE) as deployment:
                    hosts = await two_hosts(
                        deployment, lambda _: Behaviour(body=BODY), limit_at
                    )
                    await hosts[0].send("/write/1", "r1", 2_000.0, "POST")
                    for host in hosts:
                        if host.node.body_memory.limit == LIMIT_BYTES:
                            host.node.body_memory.hold(LIMIT_BYTES)
                    answer = await hosts[0].send("/write/2", "r2", 2_000.0, "POST")
                    return answer.status, dict(hosts[1].server.runs)

            self.assertEqual((503, {"r1": 1}), run_in_memory(main), limit_at)

    def test_uploads_that_do_not_fit_are_refused_and_do_not_run(self):
        for limit_at in ("bookings", "certs"):

            async def main(limit_at=limit_at):
                async with a_deployment(WRITE, LOW) as deployment:
                    caller, served = await two_hosts(
                        deployment, lambda _: Behaviour(work=300.0), limit_at
                    )
                    statuses, peak = await send_at_once(caller, 20)
                    low = await caller.send("/low/1", "low")
                    held = [
                        (host.node.body_memory.held, host.node.body_memory.held_small)
                        for host in (served, caller)
                    ]
                    return statuses, peak, sum(served.server.runs.values()), low, held

            statuses, peak, runs, low, held = run_in_memory(main)
            self.assertEqual({200, 503}, set(statuses), limit_at)
            self.assertEqual(runs, 1 + statuses.count(200))
            self.assertEqual(200, low.status)
            self.assertEqual([(0, 0)] * 2, held)
            if limit_at == "bookings":
                self.assertLessEqual(peak, LIMIT_BYTES)

    def test_upload_is_refused_before_its_body_is_read(self):
        async def main(headers, sends_rest):
            async with a_deployment(WRITE) as deployment:
                caller, served = await two_hosts(deployment, lambda _: Behaviour())
                caller.node.body_memory.hold(LIMIT_BYTES)
                stream = await dial(caller.node.cfg.addresses.callers, 500.0)
                data = request_bytes("/write/1", "r1", 2_000.0, "POST", BODY, headers)
                await stream.send(data[: len(data) - len(BODY)])
                refusal = await read_answer(stream)
                caller.node.body_memory.release(LIMIT_BYTES)
                answer = None
                if sends_rest:
                    await stream.send(BODY)
                    await stream.send(request_bytes("/write/2", "r2", method="POST"))
                    answer = await read_answer(stream)
                    stream.close()
                return refusal, answer, dict(served.server.runs)

        refusal, answer, runs = run_in_memory(lambda: main({}, True))
        self.assertEqual((503, True), (refusal.status, refusal.keep_alive))
        self.assertIn(b"Retry-After", refusal.headers)
        self.assertEqual((200, {"r2": 1}), (answer.status, runs))
        waits = {"Expect": "100-continue"}
        refusal, _, runs = run_in_memory(lambda: main(waits, False))
        self.assertEqual((503, False), (refusal.status, refusal.keep_alive))
        self.assertEqual({}, runs)

    def test_chunked_upload_that_does_not_fit_is_refused(self):
        async def main():
            async with a_deployment(WRITE) as deployment:
                caller, served = await two_hosts(deployment, lambda _: Behaviour())
                stream = await dial(caller.node.cfg.addresses.callers, 500.0)
                head = request_bytes("/write/1", "r1", method="POST")[:-2]
                await stream.send(head + b"Transfer-Encoding: chunked\r\n\r\n")
                for _ in range(LIMIT_BYTES // len(BODY) + 1):
                    await stream.send(b"%x\r\n%s\r\n" % (len(BODY), BODY))
                await stream.send(b"0\r\n\r\n")
                refusal = await read_answer(stream)
                await stream.send(request_bytes("/write/2", "r2", method="POST"))
                answer = await read_answer(stream)
                stream.close()
                held = caller.node.body_memory.held
                return refusal.status, answer.status, dict(served.server.runs), held

        self.assertEqual((503, 200, {"r2": 1}, 0), run_in_memory(main))

    def test_requests_that_are_never_started_are_not_counted(self):
        async def main(data):
            async with a_deployment(WRITE) as deployment:
                caller, _ = await two_hosts(deployment, lambda _: Behaviour())
                stream = await dial(caller.node.cfg.addresses.callers, 500.0)
                await stream.send(data)
                await trio.sleep(1.0)
                stream.close()
                await trio.sleep(0.1)
                return caller.node.body_memory.held

        small = request_bytes("/write/1", "r1", method="POST", body=b"x" * 1_000)
        closing = request_bytes(
            "/write/1", "r1", method="POST", headers={"Connection": "close"}
        )
        self.assertEqual(0, run_in_memory(lambda: main(closing + small)))
        self.assertEqual(0, run_in_memory(lambda: main(small + b"no request\r\n\r\n")))


class TestResponses(TestCase):
    def test_responses_that_do_not_fit_fail_and_the_link_stays_open(self):
        for limit_at in ("bookings", "certs"):

            async def main(limit_at=limit_at):
                async with a_deployment(WRITE) as deployment:
                    caller, served = await two_hosts(
                        deployment,
                        lambda req: Behaviour(
                            work=100.0,
                            body=BODY if req.target == b"/write/1" else b"small",
                        ),
                        limit_at,
                    )
                    statuses, peak = await send_at_once(caller, 20, body=b"")
                    after = await caller.send("/write/2", "after", method="POST")
                    links = caller.node.event_log.counts["events", "link-down"]
                    held = served.node.body_memory.held, caller.node.body_memory.held
                    return statuses, peak, after.status, links, held

            statuses, peak, after, links, held = run_in_memory(main)
            self.assertLessEqual(set(statuses), {200, 502, 503}, limit_at)
            self.assertIn(200, statuses)
            self.assertEqual((200, 0, (0, 0)), (after, links, held))
            self.assertLessEqual(peak, LIMIT_BYTES + len(BODY))

    def test_response_that_a_caller_does_not_read_is_given_up(self):
        async def main():
            async with a_deployment() as deployment:
                deployment.put_config(WRITE, limits=CallerLimits(idle_timeout=2_000.0))
                caller, _ = await two_hosts(
                    deployment, lambda _: Behaviour(body=4 * BODY)
                )
                stream = await dial(caller.node.cfg.addresses.callers, 500.0)
                await stream.send(request_bytes("/write/1", "r1", method="POST"))
                await trio.sleep(1.0)
                held = [caller.node.body_memory.held]
                await trio.sleep(3.0)
                held.append(caller.node.body_memory.held)
                try:
                    while await stream.receive():
                        pass
                except BrokenStream:
                    pass
                return held

        self.assertEqual([4 * len(BODY), 0], run_in_memory(main))
