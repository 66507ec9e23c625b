"""Number of store calls of a fleet, and adoption of changes despite failures.

Store calls are billed. If every node watches, each change ends all watches, each start
adds reads of the configuration and of all members, and each node that the store rejects
keeps querying it on its own. The number of calls then grows with nodes times changes,
and with starts: 195 nodes with 421 starts and three changes in a day made 4,184 calls,
the largest cost of that day. The counter `store_calls` shows the calls by kind and
cause.
"""

import trio
from testtools import TestCase

from fuchsiagap_node.core.mesh.store import ConfigUpdate
from fuchsiagap_standins.mesh.deployment import a_deployment, a_route
from fuchsiagap_standins.mesh.virtual import run_in_memory

OLD = a_route("old")
NEW = a_route("new")
# Seconds within which all nodes must adopt an accepted configuration, under the
# tightest setting of this bound.
ADOPTION_LIMIT_S = 2.0
DATA_CENTRES = ("hall-a", "hall-b", "hall-c")


def add_hosts(deployment, n_hosts, data_centres=DATA_CENTRES):
    """Add hosts to the data centres in rotation."""
    return [
        deployment.add("certs", data_centres[n % len(data_centres)])
        for n in range(n_hosts)
    ]


def active_versions(hosts):
    """Return the set of active versions."""
    return {host.node.version_in_force for host in hosts}


def watchers(hosts):
    """Return the hosts whose role is to watch the store."""
    return [
        host for host in hosts if host.node._config._role.current_rank().should_watch
    ]


class TestCalls(TestCase):
    def call_cost(self, n_hosts, do):
        """Return the cost of the store calls of a fleet while `do` runs."""

        async def main():
            async with a_deployment(OLD) as deployment:
                hosts = add_hosts(deployment, n_hosts)
                await trio.sleep(12.0)
                before = deployment.state.call_cost
                await do(deployment, hosts)
                return deployment.state.call_cost - before

        return run_in_memory(main)

    def test_change_is_not_fetched_by_each_node(self):
        async def change(deployment, hosts):
            deployment.put_config(OLD, NEW)
            await trio.sleep(ADOPTION_LIMIT_S)
            self.assertEqual({2}, active_versions(hosts))

        self.assertLess(self.call_cost(36, change), 6.0)

    def test_calls_of_idle_fleet_do_not_grow_with_its_size(self):
        async def stay_idle(deployment, hosts):
            await trio.sleep(60.0)

        small, large = self.call_cost(12, stay_idle), self.call_cost(60, stay_idle)
        # A list call costs a tenth of another call; the list calls of all nodes cost up
        # to 0.5 other calls per second, which 50 nodes reach.
        self.assertLess(large - small, 60.0 * 0.5)

    def test_store_that_rejects_all_nodes_is_not_asked_by_all(self):
        async def reject_for_a_while(deployment, hosts):
            for host in hosts:
                host.store.down = True
            await trio.sleep(10.0)
            for host in hosts:
                host.store.down = False
            await trio.sleep(1.5)
            deployment.put_config(OLD, NEW)
            await trio.sleep(ADOPTION_LIMIT_S)
            self.assertEqual({2}, active_versions(hosts))

        self.assertLess(self.call_cost(36, reject_for_a_while), 36 * 3.0)

    def test_rejected_nodes_leave_watching_to_an_accepted_one(self):
        async def reject(deployment, hosts):
            for host in hosts[:24]:
                host.store.down = True
            await trio.sleep(20.0)
            deployment.put_config(OLD, NEW)
            await trio.sleep(ADOPTION_LIMIT_S)
            self.assertEqual({2}, active_versions(hosts))

        # Each node queries the store about once; only the highest-ranked node of each
        # data centre retries, at long intervals.
        self.assertLess(self.call_cost(36, reject), 24 * 4.0)


class TestStarts(TestCase):
    def test_restart_without_changes_writes_nothing_and_uses_stale_reads(
        self,
    ):
        async def main():
            async with a_deployment(OLD) as deployment:
                hosts = add_hosts(deployment, 9)
                await trio.sleep(12.0)
                before = deployment.state.call_cost, deployment.state.writes
                again = deployment.restart(hosts[-1])
                await trio.sleep(5.0)
                state = deployment.state
                version = again.node.version_in_force
                return state.call_cost - before[0], state.writes - before[1], version

        calls, writes, version = run_in_memory(main)
        self.assertEqual((0, 1), (writes, version))
        # Two reads of its own, the watches, and the list calls of the other nodes.
        self.assertLess(calls, 0.2 + 3 * 1.0 + 9 * 0.1 + 0.01)

    def test_node_with_stale_read_gets_newer_config_from_peers(self):
        async def main():
            async with a_deployment(OLD) as deployment:
                hosts = add_hosts(deployment, 9)
                await trio.sleep(12.0)
                state = deployment.state
                state.stale_config = ConfigUpdate(state.cursor, state.config)
                deployment.put_config(NEW)
                await trio.sleep(ADOPTION_LIMIT_S)
                again = [deployment.restart(host) for host in hosts]
                await trio.sleep(3.0)
                return active_versions(again)

        self.assertEqual({2}, run_in_memory(main))


class TestAdoption(TestCase):
    def adopt_amid_failure(self, fail, n_hosts=18, data_centres=DATA_CENTRES):
        """Publish a change while `fail` acts on the watchers.

        Returns the number of watchers, and the active versions of the other hosts.
        """

        async def main():
            async with a_deployment(OLD) as deployment:
                hosts = add_hosts(deployment, n_hosts, data_centres)
                await trio.sleep(12.0)
                watching = watchers(hosts)
                remaining = [host for host in hosts if host not in watching]
                fail(deployment, watching)
                deployment.put_config(OLD, NEW)
                await trio.sleep(ADOPTION_LIMIT_S)
                return len(watching), active_versions(remaining)

        return run_in_memory(main)

    def test_each_data_centre_has_one_watcher(self):
        n_watching, found = self.adopt_amid_failure(lambda deployment, watching: None)
        self.assertEqual((len(DATA_CENTRES), {2}), (n_watching, found))

    def test_changes_in_quick_succession_do_not_delay_each_other(self):
        async def main():
            async with a_deployment(OLD) as deployment:
                hosts = add_hosts(deployment, 36)
                await trio.sleep(12.0)
                for _ in range(7):
                    deployment.put_config(OLD, NEW)
                    await trio.sleep(0.15)
                await trio.sleep(0.05)
                return active_versions(hosts)

        self.assertEqual({8}, run_in_memory(main))

    def test_change_is_adopted_when_watchers_are_killed(self):
        def kill(deployment, watching):
            for host in watching:
                host.scope.cancel()

        self.assertEqual({2}, self.adopt_amid_failure(kill)[1])

    def test_change_is_adopted_when_store_rejects_watchers(self):
        def reject(deployment, watching):
            for host in watching:
                host.store.down = True

        self.assertEqual({2}, self.adopt_amid_failure(reject)[1])

    def test_change_is_adopted_when_one_watcher_gets_no_events(self):
        def drop_events(deployment, watching):
            watching[0].store.watch_is_silent = True

        self.assertEqual({2}, self.adopt_amid_failure(drop_events)[1])

    def test_change_is_adopted_when_one_of_two_local_watchers_gets_no_events(self):
        def drop_events(deployment, watching):
            watching[0].store.watch_is_silent = True

        n_watching, found = self.adopt_amid_failure(drop_events, 8, ("hall-a",))
        self.assertEqual((2, {2}), (n_watching, found))
