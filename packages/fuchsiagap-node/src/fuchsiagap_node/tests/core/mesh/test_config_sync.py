"""Configuration updates while the store fails, or has compacted its history."""

import trio
from testtools import TestCase

from fuchsiagap_standins.mesh.deployment import a_deployment, a_route
from fuchsiagap_standins.mesh.virtual import run_in_memory

OLD = a_route("old")
NEW = a_route("new")


class TestConfigSync(TestCase):
    def test_node_partitioned_from_store_gets_config_from_peers(self):
        async def main():
            async with a_deployment(OLD) as deployment:
                hosts = [deployment.add("certs") for _ in range(3)]
                await deployment.settle()
                hosts[0].store.down = True
                await trio.sleep(0.1)
                deployment.put_config(OLD, NEW)
                await trio.sleep(1.5)
                return await hosts[0].send("/new/1", "r1")

        self.assertEqual(200, run_in_memory(main).status)

    def test_nodes_keep_serving_while_store_is_unavailable(self):
        async def main():
            async with a_deployment(OLD) as deployment:
                hosts = [deployment.add("certs") for _ in range(2)]
                await deployment.settle()
                for host in hosts:
                    host.store.down = True
                await trio.sleep(5.0)
                answer = await hosts[0].send("/old/1", "r1")
                for host in hosts:
                    host.store.down = False
                deployment.put_config(NEW)
                await trio.sleep(1.8)
                return answer, await hosts[1].send("/new/1", "r2")

        during, after = run_in_memory(main)
        self.assertEqual((200, 200), (during.status, after.status))

    def test_compacted_history_leads_to_new_read(self):
        async def main():
            async with a_deployment(OLD) as deployment:
                host = deployment.add("certs")
                await deployment.settle()
                deployment.put_config(NEW)
                deployment.state.history_from = deployment.state.revision + 5
                await trio.sleep(8.0)
                deployment.state.history_from = 0
                deployment.put_config(OLD, NEW)
                await trio.sleep(1.0)
                return await host.send("/old/1", "r1")

        self.assertEqual(200, run_in_memory(main).status)

    def test_idle_store_gets_less_than_one_call_per_node_in_four_seconds(self):
        async def main():
            async with a_deployment(OLD) as deployment:
                for _ in range(2):
                    deployment.add("certs")
                await deployment.settle()
                before = deployment.state.call_cost
                await trio.sleep(24.0)
                return deployment.state.call_cost - before

        self.assertLess(run_in_memory(main), 2 * 24.0 / 4.0)

    def test_unconfirmed_version_is_logged_once_and_so_is_its_confirmation(self):
        async def main():
            async with a_deployment(OLD) as deployment:
                host = deployment.add("certs")
                await deployment.settle()
                deployment.put_config(NEW)
                await trio.sleep(1.0)
                requests = host.node._config._requests
                confirm = requests.on_confirmed
                requests.on_confirmed = lambda as_of: None
                await trio.sleep(4.0)
                counts = host.node.event_log.counts
                during = counts["events", "config-unconfirmed"]
                requests.on_confirmed = confirm
                await trio.sleep(2.0)
                return during, counts["events", "config-confirmed"]

        self.assertEqual((1, 1), run_in_memory(main))

    def test_only_few_nodes_of_a_data_centre_watch(self):
        async def main():
            async with a_deployment(OLD) as deployment:
                for _ in range(6):
                    deployment.add("certs")
                await deployment.settle()
                before = deployment.state.call_cost
                await trio.sleep(50.0)
                return deployment.state.call_cost - before

        # Up to 9 calls for each of the two nodes that watch and probe, 3 for each of
        # the other four, and per node 6 list calls at a tenth of a call each.
        self.assertLess(run_in_memory(main), 2 * 9 + 4 * 3 + 6 * 6 * 0.1 + 1)

    def test_last_remaining_node_follows_store(self):
        async def main():
            async with a_deployment(OLD) as deployment:
                hosts = [deployment.add("certs") for _ in range(4)]
                await deployment.settle()
                for host in hosts[:3]:
                    host.store.down = True
                    host.scope.cancel()
                await trio.sleep(5.0)
                deployment.put_config(OLD, NEW)
                await trio.sleep(0.5)
                return await hosts[3].send("/new/1", "r1")

        self.assertEqual(200, run_in_memory(main).status)
