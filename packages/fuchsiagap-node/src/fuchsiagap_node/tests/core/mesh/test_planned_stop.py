"""Work that begins while a node stops as planned."""

from functools import partial

import trio
from testtools import TestCase

from fuchsiagap_node.core.mesh.planned_stop import PlannedStop, RouteTimes, Work
from fuchsiagap_standins.mesh.backend_server import Behaviour, CallFailed
from fuchsiagap_standins.mesh.deployment import a_deployment, a_route
from fuchsiagap_standins.mesh.virtual import run_in_memory

PARENT = a_route("parent", "certs", timeout=5_000.0)
CHILD = a_route("child", "results", timeout=2_500.0)
SLOW = a_route("slow", "certs", idempotent=False, timeout=5_000.0)
SLOW_MS = 2_400.0
# Requests during the first three seconds of a stop.
N_SENT, SEND_INTERVAL_S = 100, 0.03
CALL_MS = 800.0
N_CALLS = 6


class ManualClock:
    """Clock that a test sets."""

    def __init__(self):
        self.time = 1_000.0

    def now(self):
        """Return the time that was set."""
        return self.time


class TestPlannedStop(TestCase):
    def test_each_kind_of_work_has_a_last_moment(self):
        clock = ManualClock()
        stop = PlannedStop(clock)
        stop.route_times.record("child", 800.0)
        stop.route_times.record("slow", 2_400.0)
        for _ in range(4):
            stop.route_times.record("mixed", 100.0)
            stop.route_times.record("mixed", 100.0)
            stop.route_times.record("mixed", 4_000.0)
        stop.server_times.record("child", 800.0)
        stop.server_times.record("slow", 3_000.0)

        def last_moment(work, route="", time_left=float("inf"), running=0.0):
            moments = []
            for ms in range(0, 6_000, 100):
                clock.time = 1_000.0 + ms
                if stop.may_begin(work, route, time_left, running):
                    moments.append(ms)
            return max(moments, default=None)

        self.assertEqual(5_900, last_moment(Work.NESTED_CALL, "child"))
        clock.time = 1_000.0
        stop.begin(6_000.0)
        self.assertEqual(2_900, last_moment(Work.CALLER_REQUEST))
        for work in (Work.CALLER_REQUEST, Work.NON_IDEMPOTENT_REQUEST):
            self.assertEqual(2_900, last_moment(work))
            self.assertEqual(2_900, last_moment(work, "child"))
            self.assertEqual(2_800, last_moment(work, "slow"))
            self.assertEqual(2_900, last_moment(work, "slow", 2_300.0))
            self.assertEqual(2_400, last_moment(work, "unknown", running=2_800.0))
        self.assertEqual(2_900, last_moment(Work.CALLER_REQUEST, "mixed"))
        self.assertEqual(1_200, last_moment(Work.NON_IDEMPOTENT_REQUEST, "mixed"))
        self.assertEqual(1_900, last_moment(Work.BACKEND_CALL, "child"))
        self.assertEqual(1_500, last_moment(Work.BACKEND_CALL, "slow"))
        self.assertEqual(1_900, last_moment(Work.BACKEND_CALL, "unknown"))
        for work in (Work.NESTED_CALL, Work.RETRY):
            self.assertEqual(4_300, last_moment(work, "child"))
            self.assertEqual(2_900, last_moment(work, "unknown"))
            self.assertEqual(5_000, last_moment(work, "unknown", 300.0))

    def test_expected_time_follows_the_longest_request_and_forgets_it(self):
        times = RouteTimes()
        self.assertIsNone(times.expected("read"))
        times.record("read", 2_000.0)
        times.record("read", 100.0)
        self.assertGreater(times.expected("read"), 2_000.0)
        for _ in range(500):
            times.record("read", 100.0)
        self.assertEqual(125.0, times.expected("read"))
        times.retain({"other"})
        self.assertIsNone(times.expected("read"))


class TestRequestsThatMakeCalls(TestCase):
    def run_stop(self, servers):
        """Return the statuses of four late requests, and the runs of the stopping one.

        A request of the route has taken 4.8 s before the stop.
        """

        async def main():
            async with a_deployment(PARENT, CHILD) as deployment:
                caller = deployment.add("bookings")
                stopping = deployment.add("certs", slots=16)
                served = deployment.add("results", slots=64)
                served.server.behave = lambda _: Behaviour(work=CALL_MS)
                hosts = [
                    stopping,
                    *(deployment.add("certs") for _ in range(servers - 1)),
                ]
                for host in hosts:
                    host.server.on_run = partial(call_in_turn, host, [])
                await deployment.settle()
                statuses = []

                async def send(after, request_id):
                    await trio.sleep(after)
                    answer = await caller.send("/parent/1", request_id, 5_000.0)
                    statuses.append(None if answer is None else answer.status)

                while not stopping.server.runs:
                    await send(0.0, "first")
                statuses.clear()
                await trio.sleep(5.0)
                n_runs = sum(stopping.server.runs.values())
                async with trio.open_nursery() as nursery:
                    for number, after in enumerate((0.9, 1.1, 1.3, 1.5)):
                        nursery.start_soon(send, after, f"r{number}")
                    await stopping.node.stop()
                    stopping.kill()
                return statuses, sum(stopping.server.runs.values()) - n_runs

        return run_in_memory(main)

    def test_request_that_cannot_finish_before_the_exit_is_refused_before_it_runs(self):
        self.assertEqual(([503] * 4, 0), self.run_stop(servers=1))

    def test_request_that_cannot_finish_before_the_exit_runs_at_another_server(self):
        self.assertEqual(([200] * 4, 0), self.run_stop(servers=2))


class TestCallerRequests(TestCase):
    def test_request_that_cannot_finish_before_the_exit_is_refused(self):
        async def main():
            async with a_deployment(SLOW) as deployment:
                stopping = deployment.add("bookings")
                served = deployment.add("certs", slots=2 * N_SENT)
                served.server.behave = lambda _: Behaviour(work=SLOW_MS)
                await deployment.settle()
                finals = {}

                async def send(number):
                    await trio.sleep(number * SEND_INTERVAL_S)
                    answer = await stopping.send(
                        "/slow/1", f"r{number}", 5_000.0, "POST"
                    )
                    finals[number] = None if answer is None else answer.status

                await send(0)
                async with trio.open_nursery() as nursery:
                    for number in range(1, N_SENT):
                        nursery.start_soon(send, number)
                    await stopping.node.stop()
                    stopping.kill()
                return finals, sum(served.server.runs.values())

        finals, n_runs = run_in_memory(main)
        self.assertEqual({200, 503}, set(finals.values()))
        self.assertEqual(list(finals.values()).count(200), n_runs)
        early = [finals[number] for number in range(N_SENT // 2)]
        self.assertEqual({200}, set(early))


class TestNestedCalls(TestCase):
    def test_no_nested_call_is_broken_off_by_the_exit_of_a_stopping_node(self):
        async def main():
            async with a_deployment(PARENT, CHILD) as deployment:
                caller = deployment.add("bookings")
                stopping = deployment.add("certs", slots=16)
                served = deployment.add("results", slots=64)
                served.server.behave = lambda _: Behaviour(work=CALL_MS)
                calls = []
                stopping.server.on_run = partial(call_in_turn, stopping, calls)
                await deployment.settle()
                start = trio.current_time()
                finals = []

                async def send(after, request_id):
                    await trio.sleep(after)
                    answer = await caller.send("/parent/1", request_id, 5_000.0)
                    finals.append(None if answer is None else answer.status)

                async with trio.open_nursery() as nursery:
                    for number, after in enumerate((0.9, 1.1, 1.3, 1.5)):
                        nursery.start_soon(send, after, f"r{number}")
                    await stopping.node.stop()
                    stopping.kill()
                calls = [(at - start, status) for at, status in calls]
                return calls, finals, served.server.runs

        calls, finals, runs = run_in_memory(main)
        late = [status for at, status in calls if at > 3.0]
        self.assertEqual({200, 503}, set(late))
        self.assertEqual([500] * 4, finals)
        n_answered = [status for _, status in calls].count(200)
        self.assertEqual(n_answered, sum(runs.values()))


async def call_in_turn(host, calls, request_id):
    """Make calls through the node of a host; append the time and status of each."""
    for number in range(N_CALLS):
        at = trio.current_time()
        answer = await host.send("/child/1", f"{request_id}.{number}", 2_500.0)
        calls.append((at, None if answer is None else answer.status))
        if answer is None or answer.status != 200:
            raise CallFailed
