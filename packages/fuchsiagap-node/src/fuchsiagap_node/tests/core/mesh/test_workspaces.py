"""API keys, revocations and quotas, by what callers get and backend servers see."""

from collections import Counter

import trio
from testtools import TestCase

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap_node.core.mesh.gauges import workspace_gauges
from fuchsiagap_node.tests.core.mesh.test_suspension import SuspendedClock
from fuchsiagap_standins.mesh.backend_server import Behaviour
from fuchsiagap_standins.mesh.deployment import a_deployment, a_route, a_workspace
from fuchsiagap_standins.mesh.virtual import run_in_memory

KEYED = a_route("read")
PUBLIC = a_route("open", public=True)
ONE = a_workspace("one", "key-of-one")
TWO = a_workspace("two", "key-of-two", "second-key-of-two")
BOUND_MS = 5_000.0


def with_key(key):
    """Return the headers of a caller with a key."""
    return {"Api-Key": key}


async def two_hosts(deployment, *workspaces, **settings):
    """Return a host without and one with the asked server, once they know the keys."""
    deployment.put_config(KEYED, PUBLIC, workspaces=workspaces)
    near = deployment.add("bookings", **settings)
    far = deployment.add("certs", **settings)
    await deployment.settle()
    return near, far


def header_lines(server):
    """Return the header lines of the last request at a server."""
    return server.heads[-1].headers.split(b"\r\n")


def everything_logged(deployment):
    """Return all log lines and metrics of all nodes."""
    parts = []
    for host in deployment.hosts:
        parts.extend(host.node.tell.lines())
        parts.append(host.node.tell.metrics().encode())
    return b"".join(parts)


class TestKeys(TestCase):
    def test_key_of_a_workspace_is_let_in_and_named_to_the_server_only(self):
        async def main():
            async with a_deployment() as deployment:
                near, far = await two_hosts(deployment, ONE, TWO)
                answer = await near.send(
                    "/read/1", "r1", headers=with_key("second-key-of-two")
                )
                await trio.sleep(0.1)
                lines = header_lines(far.server)
                return answer.status, lines, everything_logged(deployment)

        status, lines, logged = run_in_memory(main)
        self.assertEqual(200, status)
        self.assertIn(b"Workspace: two", lines)
        self.assertNotIn(b"second-key-of-two", b"".join(lines))
        self.assertNotIn(b"second-key-of-two", logged)

    def test_what_holds_no_key_of_a_workspace_reaches_no_server(self):
        async def main():
            async with a_deployment() as deployment:
                near, far = await two_hosts(deployment, ONE)
                statuses = []
                for number, headers in enumerate(
                    (
                        {},
                        with_key("nobodys-key"),
                        with_key(""),
                        with_key("key-of-one\xe9"),
                        with_key("key-of-one key-of-one"),
                        with_key("k" * 9_000),
                        {"Workspace": "one"},
                        {"Api-Key": "key-of-one", "api-key": "key-of-one"},
                    )
                ):
                    answer = await near.send("/read/1", f"r{number}", headers=headers)
                    statuses.append(answer.status)
                return statuses, len(far.server.heads), everything_logged(deployment)

        statuses, heads, logged = run_in_memory(main)
        self.assertEqual([401] * 8, statuses)
        self.assertEqual(0, heads)
        self.assertNotIn(b"nobodys-key", logged)

    def test_name_of_a_workspace_comes_from_the_key_whatever_the_caller_says(self):
        async def main():
            async with a_deployment() as deployment:
                near, far = await two_hosts(deployment, ONE, TWO)
                claim = {"Workspace": "two", "workspace": "two"}
                await near.send(
                    "/read/1", "r1", headers={**with_key("key-of-one"), **claim}
                )
                keyed = header_lines(far.server)
                answer = await near.send("/open/1", "r2", headers=claim)
                return keyed, answer.status, header_lines(far.server)

        keyed, status, public = run_in_memory(main)
        named = [line for line in keyed if line.lower().startswith(b"workspace:")]
        self.assertEqual([b"Workspace: one"], named)
        self.assertEqual(200, status)
        self.assertEqual([], [x for x in public if b"workspace" in x.lower()])

    def test_public_route_needs_no_key_and_passes_none_on(self):
        async def main():
            async with a_deployment() as deployment:
                near, far = await two_hosts(deployment, ONE)
                answer = await near.send(
                    "/open/1", "r1", headers=with_key("key-of-one")
                )
                return answer.status, b"".join(header_lines(far.server))

        status, lines = run_in_memory(main)
        self.assertEqual(200, status)
        self.assertNotIn(b"key-of-one", lines)

    def test_call_of_a_server_needs_no_key_on_a_public_route_only(self):
        async def main():
            async with a_deployment() as deployment:
                _, far = await two_hosts(deployment, ONE)
                found = []

                async def call(request_id):
                    if "." in request_id:
                        return
                    for number, path in enumerate(("/open/1", "/read/1")):
                        answer = await far.send(path, f"{request_id}.{number}")
                        found.append(answer.status)

                far.server.on_run = call
                await far.send("/read/1", "r1", headers=with_key("key-of-one"))
                return found

        self.assertEqual([200, 401], run_in_memory(main))

    def test_workspace_that_is_gone_is_refused_and_a_new_one_let_in(self):
        async def main():
            async with a_deployment() as deployment:
                near, _ = await two_hosts(deployment, ONE)
                deployment.put_config(KEYED, workspaces=(TWO,))
                await trio.sleep(2.0)
                statuses = []
                for number, key in enumerate(("key-of-one", "key-of-two")):
                    answer = await near.send(
                        "/read/1", f"r{number}", headers=with_key(key)
                    )
                    statuses.append(answer.status)
                return statuses

        self.assertEqual([401, 200], run_in_memory(main))

    def test_priority_of_a_workspace_goes_before_that_of_the_route(self):
        async def main():
            first = a_workspace("first", "key-first", priority=0)
            second = a_workspace("second", "key-second", priority=1)
            routes = a_route("late", priority=4), a_route("soon", priority=0)
            async with a_deployment() as deployment:
                deployment.put_config(*routes, workspaces=(first, second))
                host = deployment.add("certs")
                await deployment.settle()
                ranks = {}
                submit = host.node.door.submit

                def watch(job):
                    ranks[job.call.request_id] = job.call.rank
                    submit(job)

                host.node.door.submit = watch
                for request_id, path, key in (
                    ("first-late", "/late/1", "key-first"),
                    ("second-soon", "/soon/1", "key-second"),
                    ("second-late", "/late/1", "key-second"),
                ):
                    await host.send(path, request_id, headers=with_key(key))
                return sorted(ranks, key=ranks.get), len(set(ranks.values()))

        self.assertEqual(
            (["first-late", "second-soon", "second-late"], 3), run_in_memory(main)
        )

    def test_two_workspaces_with_one_request_are_two_callers(self):
        async def main():
            async with a_deployment() as deployment:
                _, far = await two_hosts(deployment, ONE, TWO)
                prints = []
                submit = far.node.door.submit

                def watch(job):
                    prints.append(job.call.fingerprint)
                    submit(job)

                far.node.door.submit = watch
                for number, key in enumerate(("key-of-one", "key-of-two")):
                    await far.send("/read/1", f"r{number}", headers=with_key(key))
                return prints

        one, two = run_in_memory(main)
        self.assertNotEqual(one, two)

    def test_without_workspaces_nobody_needs_a_key(self):
        async def main():
            async with a_deployment(KEYED) as deployment:
                near = deployment.add("bookings", revocation=BOUND_MS)
                deployment.add("certs", revocation=BOUND_MS)
                await deployment.settle()
                for host in deployment.hosts:
                    host.store.down = True
                await trio.sleep(10.0)
                return await near.send("/read/1", "r1")

        self.assertEqual(200, run_in_memory(main).status)


class TestRevocation(TestCase):
    """Nothing that is sent later than the bound after a key was taken away runs."""

    async def statuses(self, host, key="key-of-one", path="/read/1"):
        """Return the status of a request with a key."""
        answer = await host.send(path, f"r{trio.current_time()}", headers=with_key(key))
        return answer.status

    def test_key_that_was_taken_away_is_refused_everywhere_within_two_seconds(self):
        async def main():
            async with a_deployment() as deployment:
                deployment.put_config(KEYED, workspaces=(ONE,))
                for number in range(9):
                    deployment.add("certs", f"hall-{'abc'[number % 3]}")
                await deployment.settle()
                deployment.put_config(KEYED, workspaces=(a_workspace("one", "new"),))
                await trio.sleep(2.0)
                return [await self.statuses(host) for host in deployment.hosts]

        self.assertEqual([401] * 9, run_in_memory(main))

    def test_node_out_of_touch_refuses_keys_past_the_bound_and_serves_the_rest(self):
        async def main():
            async with a_deployment() as deployment:
                deployment.put_config(KEYED, PUBLIC, workspaces=(ONE,))
                host = deployment.add("certs", revocation=BOUND_MS)
                await deployment.settle()
                host.store.down = True
                cut_at = trio.current_time()
                found = {}
                for second in (3.0, BOUND_MS / MS_PER_S, 9.0):
                    await trio.sleep_until(cut_at + second)
                    found[second] = await self.statuses(host)
                public = await self.statuses(host, path="/open/1")
                unknown = await self.statuses(host, key="may-be-new")
                host.store.down = False
                await trio.sleep(1.5)
                return list(found.values()), public, unknown, await self.statuses(host)

        found, public, unknown, after = run_in_memory(main)
        self.assertEqual([200, 503, 503], found)
        self.assertEqual((200, 503, 200), (public, unknown, after))

    def test_nodes_cut_off_together_do_not_keep_each_other_young(self):
        async def main():
            async with a_deployment() as deployment:
                near, far = await two_hosts(deployment, ONE, revocation=BOUND_MS)
                for host in (near, far):
                    host.store.down = True
                await trio.sleep(BOUND_MS / MS_PER_S)
                return [await self.statuses(host) for host in (near, far)]

        self.assertEqual([503, 503], run_in_memory(main))

    def test_node_that_the_store_turns_away_serves_on_what_others_tell(self):
        async def main():
            async with a_deployment() as deployment:
                deployment.put_config(KEYED, workspaces=(ONE,))
                for _ in range(5):
                    deployment.add("certs", revocation=BOUND_MS)
                await deployment.settle()
                for host in deployment.hosts[:4]:
                    host.store.down = True
                found = Counter()
                for _ in range(40):
                    await trio.sleep(0.5)
                    for host in deployment.hosts:
                        found[await self.statuses(host)] += 1
                return found

        self.assertEqual({200: 200}, run_in_memory(main))

    def test_one_watcher_is_enough_and_calls_do_not_grow_with_nodes(self):
        async def main(n_nodes):
            async with a_deployment() as deployment:
                deployment.put_config(KEYED, workspaces=(ONE,))
                for number in range(n_nodes):
                    hall = f"hall-{'abc'[number % 3]}"
                    deployment.add("certs", hall, revocation=BOUND_MS)
                await trio.sleep(12.0)
                before = deployment.state.calls
                ages = []
                for _ in range(40):
                    await trio.sleep(0.5)
                    for host in deployment.hosts:
                        ages.append(host.node._config.knowledge_age)
                return max(ages), deployment.state.calls - before

        age, calls = run_in_memory(lambda: main(24))
        self.assertLess(age, BOUND_MS / 2)
        # Three data centres with a watch of 0.75 s each, and the lists of members.
        self.assertLess(calls, 3 * 20.0 / 0.7 + 24 * 20.0 / 8.0 * 0.2 + 5)

    def test_host_that_was_suspended_does_not_take_its_knowledge_for_young(self):
        async def main():
            async with a_deployment() as deployment:
                deployment.put_config(KEYED, workspaces=(ONE,))
                ahead = SuspendedClock()
                host = deployment.add("certs", clock=ahead.clock, revocation=BOUND_MS)
                await deployment.settle()
                host.store.down = True
                ahead.suspend(BOUND_MS)
                # Before any beat of the loop's own clock.
                return await self.statuses(host)

        self.assertEqual(503, run_in_memory(main))

    def test_node_that_starts_without_the_store_lets_no_key_in(self):
        async def main():
            async with a_deployment() as deployment:
                near, far = await two_hosts(deployment, ONE, revocation=BOUND_MS)
                for host in (near, far):
                    host.store.down = True
                await trio.sleep(6.0)
                again = deployment.restart(near)
                await trio.sleep(2.0)
                # It has the configuration from the other node, and no moment for it.
                return again.node.is_ready(), await self.statuses(again)

        self.assertEqual((True, 503), run_in_memory(main))

    def test_history_that_is_gone_and_two_versions_at_once(self):
        async def main():
            async with a_deployment() as deployment:
                near, far = await two_hosts(deployment, ONE, TWO, revocation=BOUND_MS)
                deployment.state.history_from = deployment.state.revision + 5
                deployment.put_config(KEYED, PUBLIC, workspaces=(TWO,))
                await trio.sleep(0.1)
                deployment.put_config(KEYED, PUBLIC, workspaces=())
                await trio.sleep(2.0)
                return [
                    await self.statuses(host, key)
                    for host in (near, far)
                    for key in ("key-of-one", "key-of-two")
                ]

        self.assertEqual([401] * 4, run_in_memory(main))

    def test_without_the_strict_bound_a_node_out_of_touch_serves_on(self):
        async def main():
            async with a_deployment() as deployment:
                near, far = await two_hosts(deployment, ONE)
                for host in (near, far):
                    host.store.down = True
                await trio.sleep(20.0)
                return await self.statuses(near)

        self.assertEqual(200, run_in_memory(main))


class TestQuotas(TestCase):
    async def ask_at(self, hosts, every_s, seconds, key="key-of-one"):
        """Send requests to each host at a pace; return statuses and waits told."""
        found = []

        async def ask(host, number):
            answer = await host.send(
                "/read/1", f"r{id(host)}-{number}-{key}", headers=with_key(key)
            )
            found.append((answer.status, answer.headers))

        async with trio.open_nursery() as nursery:
            for number in range(int(seconds / every_s)):
                for host in hosts:
                    nursery.start_soon(ask, host, number)
                await trio.sleep(every_s)
        return Counter(status for status, _ in found), found

    async def fleet(self, deployment, n_hosts, *workspaces, **settings):
        """Return hosts in three data centres."""
        deployment.put_config(KEYED, PUBLIC, workspaces=workspaces)
        for number in range(n_hosts):
            deployment.add("certs", f"hall-{'abc'[number % 3]}", slots=64, **settings)
        await trio.sleep(6.0)
        return deployment.hosts

    def test_all_nodes_together_keep_to_the_limit_and_say_when_to_come_back(self):
        async def main():
            async with a_deployment() as deployment:
                one = a_workspace("one", "key-of-one", rate=20.0, burst=10.0)
                hosts = await self.fleet(deployment, 9, one)
                return await self.ask_at(hosts, 0.1, 6.0)

        counted, found = run_in_memory(main)
        # Some 90 are asked for in each second.
        self.assertLessEqual(counted[200], 20 * 6.2 + 10)
        self.assertGreater(counted[200], 0.9 * 20 * 6)
        self.assertEqual({200, 429}, set(counted))
        refused = [headers for status, headers in found if status == 429]
        self.assertTrue(all(b"Retry-After" in headers for headers in refused))

    def test_nobody_is_refused_below_the_limit(self):
        async def main():
            async with a_deployment() as deployment:
                one = a_workspace("one", "key-of-one", rate=100.0, burst=20.0)
                few = a_workspace("few", "key-of-few", rate=2.0, burst=2.0)
                hosts = await self.fleet(deployment, 9, one, few, first_start=True)
                many, _ = await self.ask_at(hosts, 0.15, 6.0)
                seldom, _ = await self.ask_at(hosts[4:5], 0.8, 6.0, "key-of-few")
                moved, _ = await self.ask_at(hosts[2:3], 0.8, 6.0, "key-of-few")
                return many, seldom, moved

        many, seldom, moved = run_in_memory(main)
        self.assertEqual({200}, set(many))
        self.assertEqual({200}, set(seldom))
        self.assertEqual({200}, set(moved))

    def test_one_that_floods_takes_nothing_from_another(self):
        async def main():
            async with a_deployment() as deployment:
                one = a_workspace("one", "key-of-one", rate=10.0, burst=5.0)
                hosts = await self.fleet(deployment, 6, one, TWO)
                results = []

                async def flood():
                    results.append(await self.ask_at(hosts, 0.05, 5.0))

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(flood)
                    other, _ = await self.ask_at(hosts, 0.2, 5.0, "key-of-two")
                return results[0][0], other

        flooding, other = run_in_memory(main)
        self.assertEqual({200}, set(other))
        self.assertLessEqual(flooding[200], 10 * 5.5 + 5)

    def test_quota_holds_while_its_owner_is_killed(self):
        async def main():
            async with a_deployment() as deployment:
                one = a_workspace("one", "key-of-one", rate=20.0, burst=10.0)
                hosts = await self.fleet(deployment, 9, one)
                owners = hosts[0].node._workspaces.quotas._owners
                owner = owners.owner("one")
                rest = [host for host in hosts if host.node.cfg.node != owner]
                (killed,) = (host for host in hosts if host not in rest)

                async def kill():
                    await trio.sleep(2.0)
                    killed.kill()

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(kill)
                    return await self.ask_at(rest, 0.1, 6.0)

        counted, _ = run_in_memory(main)
        self.assertLessEqual(counted[200], (20 * 6.2 + 10) * 1.1)
        self.assertGreater(counted[200], 0.75 * 20 * 6)

    def test_lowered_limit_binds_within_two_seconds(self):
        async def main():
            async with a_deployment() as deployment:
                one = a_workspace("one", "key-of-one", rate=50.0, burst=10.0)
                hosts = await self.fleet(deployment, 6, one)
                await self.ask_at(hosts, 0.1, 2.0)
                lower = a_workspace("one", "key-of-one", rate=5.0, burst=5.0)
                deployment.put_config(KEYED, workspaces=(lower,))
                await trio.sleep(2.0)
                counted, _ = await self.ask_at(hosts, 0.1, 5.0)
                return counted

        self.assertLessEqual(run_in_memory(main)[200], 5 * 5.2 + 5 + 3)

    def test_request_that_was_refused_for_another_reason_costs_no_token(self):
        async def main():
            async with a_deployment() as deployment:
                one = a_workspace("one", "key-of-one", rate=1.0, burst=5.0)
                (host,) = await self.fleet(deployment, 1, one, first_start=True)
                host.server.is_up = False
                host.server.crash()
                await trio.sleep(5.0)
                down, _ = await self.ask_at([host], 0.2, 2.0)
                host.server.start_again("i-again")
                await trio.sleep(2.0)
                up, _ = await self.ask_at([host], 0.1, 0.5)
                return down, up

        down, up = run_in_memory(main)
        self.assertEqual({503}, set(down))
        self.assertEqual(5, up[200])

    def test_node_cut_off_by_itself_says_that_it_cannot_tell(self):
        async def main():
            async with a_deployment() as deployment:
                one = a_workspace("one", "key-of-one", rate=50.0, burst=50.0)
                here, *others = await self.fleet(deployment, 4, one, first_start=True)
                for other in others:
                    other.kill()
                with_store, _ = await self.ask_at([here], 0.2, 4.0)
                here.store.down = True
                await trio.sleep(6.0)
                without, _ = await self.ask_at([here], 0.5, 3.0)
                return with_store, without

        with_store, without = run_in_memory(main)
        self.assertGreaterEqual(with_store[200], 12)
        self.assertEqual({503}, set(without))

    def test_metrics_name_the_workspaces_asked_for_most_and_no_others(self):
        async def main():
            async with a_deployment() as deployment:
                many = [
                    a_workspace(f"w{n}", f"key-{n}", rate=9.0, burst=9.0)
                    for n in range(14)
                ]
                (host,) = await self.fleet(deployment, 1, *many, first_start=True)
                for number in range(14):
                    for again in range(1 + number // 4):
                        await host.send(
                            "/read/1",
                            f"r{number}-{again}",
                            headers=with_key(f"key-{number}"),
                        )
                quotas = host.node._workspaces.quotas
                return [
                    gauge.labels
                    for gauge in workspace_gauges(host.node._config, quotas)
                    if gauge.name == "workspace_quota_left"
                ]

        labels = run_in_memory(main)
        self.assertEqual(10, len(labels))
        self.assertIn('workspace="w13"', labels)
        self.assertNotIn('workspace="w0"', labels)

    def test_caller_that_leaves_while_it_waits_runs_nothing(self):
        async def main():
            async with a_deployment() as deployment:
                one = a_workspace("one", "key-of-one", rate=1.0, burst=1.0)
                hosts = await self.fleet(deployment, 3, one)
                for host in hosts:
                    host.server.behave = lambda _: Behaviour(work=500.0)
                with trio.move_on_after(0.001):
                    await hosts[0].send(
                        "/read/1", "left", headers=with_key("key-of-one")
                    )
                await trio.sleep(1.0)
                return [host.server.runs["left"] for host in hosts]

        self.assertLessEqual(sum(run_in_memory(main)), 1)
