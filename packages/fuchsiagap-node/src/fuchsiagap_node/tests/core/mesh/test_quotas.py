"""Distributed quotas of workspaces, as seen by callers."""

from collections import Counter

import trio
from testtools import TestCase

from fuchsiagap_node.core.mesh.gauges import workspace_gauges
from fuchsiagap_node.tests.core.mesh.test_workspaces import (
    KEYED,
    PUBLIC,
    TWO,
    with_key,
)
from fuchsiagap_standins.mesh.backend_server import Behaviour
from fuchsiagap_standins.mesh.deployment import a_deployment, a_workspace
from fuchsiagap_standins.mesh.virtual import run_in_memory


class TestQuotas(TestCase):
    async def send_at_rate(self, hosts, every_s, seconds, key="key-of-one"):
        """Send requests to each host at a fixed rate.

        Returns counts by status, and a list of the status and headers of each response.
        """
        responses = []

        async def send_one(host, number):
            answer = await host.send(
                "/read/1", f"r{id(host)}-{number}-{key}", headers=with_key(key)
            )
            responses.append((answer.status, answer.headers))

        async with trio.open_nursery() as nursery:
            for number in range(int(seconds / every_s)):
                for host in hosts:
                    nursery.start_soon(send_one, host, number)
                await trio.sleep(every_s)
        return Counter(status for status, _ in responses), responses

    async def add_fleet(self, deployment, n_hosts, *workspaces, **settings):
        """Add hosts in three data centres and return them."""
        deployment.put_config(KEYED, PUBLIC, workspaces=workspaces)
        for number in range(n_hosts):
            deployment.add("certs", f"hall-{'abc'[number % 3]}", slots=64, **settings)
        await trio.sleep(6.0)
        return deployment.hosts

    def test_all_nodes_together_keep_to_quota_and_send_retry_after(self):
        async def main():
            async with a_deployment() as deployment:
                one = a_workspace("one", "key-of-one", rate=20.0, burst=10.0)
                hosts = await self.add_fleet(deployment, 9, one)
                return await self.send_at_rate(hosts, 0.1, 6.0)

        counted, responses = run_in_memory(main)
        # The callers send about 90 requests per second.
        self.assertLessEqual(counted[200], 20 * 6.2 + 10)
        self.assertGreater(counted[200], 0.9 * 20 * 6)
        self.assertEqual({200, 429}, set(counted))
        refused = [headers for status, headers in responses if status == 429]
        self.assertTrue(all(b"Retry-After" in headers for headers in refused))

    def test_no_request_is_refused_below_quota(self):
        async def main():
            async with a_deployment() as deployment:
                one = a_workspace("one", "key-of-one", rate=100.0, burst=20.0)
                few = a_workspace("few", "key-of-few", rate=2.0, burst=2.0)
                hosts = await self.add_fleet(deployment, 9, one, few, first_start=True)
                many, _ = await self.send_at_rate(hosts, 0.15, 6.0)
                seldom, _ = await self.send_at_rate(hosts[4:5], 0.8, 6.0, "key-of-few")
                moved, _ = await self.send_at_rate(hosts[2:3], 0.8, 6.0, "key-of-few")
                return many, seldom, moved

        many, seldom, moved = run_in_memory(main)
        self.assertEqual({200}, set(many))
        self.assertEqual({200}, set(seldom))
        self.assertEqual({200}, set(moved))

    def test_workspace_over_quota_does_not_affect_another(self):
        async def main():
            async with a_deployment() as deployment:
                one = a_workspace("one", "key-of-one", rate=10.0, burst=5.0)
                hosts = await self.add_fleet(deployment, 6, one, TWO)
                results = []

                async def flood():
                    results.append(await self.send_at_rate(hosts, 0.05, 5.0))

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(flood)
                    other, _ = await self.send_at_rate(hosts, 0.2, 5.0, "key-of-two")
                return results[0][0], other

        flooding, other = run_in_memory(main)
        self.assertEqual({200}, set(other))
        self.assertLessEqual(flooding[200], 10 * 5.5 + 5)

    def test_quota_holds_when_its_owner_is_killed(self):
        async def main():
            async with a_deployment() as deployment:
                one = a_workspace("one", "key-of-one", rate=20.0, burst=10.0)
                hosts = await self.add_fleet(deployment, 9, one)
                owners = hosts[0].node._workspaces.quotas._owners
                owner = owners.owner("one")
                rest = [host for host in hosts if host.node.cfg.node != owner]
                (killed,) = (host for host in hosts if host not in rest)

                async def kill():
                    await trio.sleep(2.0)
                    killed.kill()

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(kill)
                    return await self.send_at_rate(rest, 0.1, 6.0)

        counted, _ = run_in_memory(main)
        self.assertLessEqual(counted[200], (20 * 6.2 + 10) * 1.1)
        self.assertGreater(counted[200], 0.75 * 20 * 6)

    def test_lowered_quota_applies_within_two_seconds(self):
        async def main():
            async with a_deployment() as deployment:
                one = a_workspace("one", "key-of-one", rate=50.0, burst=10.0)
                hosts = await self.add_fleet(deployment, 6, one)
                await self.send_at_rate(hosts, 0.1, 2.0)
                lower = a_workspace("one", "key-of-one", rate=5.0, burst=5.0)
                deployment.put_config(KEYED, workspaces=(lower,))
                await trio.sleep(2.0)
                counted, _ = await self.send_at_rate(hosts, 0.1, 5.0)
                return counted

        self.assertLessEqual(run_in_memory(main)[200], 5 * 5.2 + 5 + 3)

    def test_request_refused_for_another_reason_uses_no_token(self):
        async def main():
            async with a_deployment() as deployment:
                one = a_workspace("one", "key-of-one", rate=1.0, burst=5.0)
                (host,) = await self.add_fleet(deployment, 1, one, first_start=True)
                host.server.is_up = False
                host.server.crash()
                await trio.sleep(5.0)
                down, _ = await self.send_at_rate([host], 0.2, 2.0)
                host.server.start_new_incarnation("i-again")
                await trio.sleep(2.0)
                up, _ = await self.send_at_rate([host], 0.1, 0.5)
                return down, up

        down, up = run_in_memory(main)
        self.assertEqual({503}, set(down))
        self.assertEqual(5, up[200])

    def test_partitioned_node_refuses_requests_as_unknown(self):
        async def main():
            async with a_deployment() as deployment:
                one = a_workspace("one", "key-of-one", rate=50.0, burst=50.0)
                here, *others = await self.add_fleet(
                    deployment, 4, one, first_start=True
                )
                for other in others:
                    other.kill()
                with_store, _ = await self.send_at_rate([here], 0.2, 4.0)
                here.store.down = True
                await trio.sleep(6.0)
                without, _ = await self.send_at_rate([here], 0.5, 3.0)
                return with_store, without

        with_store, without = run_in_memory(main)
        self.assertGreaterEqual(with_store[200], 12)
        self.assertEqual({503}, set(without))

    def test_metrics_show_only_the_busiest_workspaces(self):
        async def main():
            async with a_deployment() as deployment:
                many = [
                    a_workspace(f"w{n}", f"key-{n}", rate=9.0, burst=9.0)
                    for n in range(14)
                ]
                (host,) = await self.add_fleet(deployment, 1, *many, first_start=True)
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

    def test_request_of_disconnected_caller_does_not_run(self):
        async def main():
            async with a_deployment() as deployment:
                one = a_workspace("one", "key-of-one", rate=1.0, burst=1.0)
                hosts = await self.add_fleet(deployment, 3, one)
                for host in hosts:
                    host.server.behave = lambda _: Behaviour(work=500.0)
                with trio.move_on_after(0.001):
                    await hosts[0].send(
                        "/read/1", "left", headers=with_key("key-of-one")
                    )
                await trio.sleep(1.0)
                return [host.server.runs["left"] for host in hosts]

        self.assertLessEqual(sum(run_in_memory(main)), 1)
