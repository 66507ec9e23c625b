"""What a fleet asks of the store, and that a change is in force whoever fails.

What users saw: the calls to the store were the largest price of a day with 195 nodes,
4,184 of them with 421 starts and three changes. The order of events: each node reads
the configuration and all members at its start and then watches, so a change wakes each
of them, and each that the store turns away asks on by itself. The cause: calls grew
with nodes times changes, and with starts. The evidence: `store_calls` by kind and
cause, and the counts below.
"""

import trio
from testtools import TestCase

from fuchsiagap_node.core.mesh.store import ConfigUpdate
from fuchsiagap_standins.mesh.deployment import a_deployment, a_route
from fuchsiagap_standins.mesh.virtual import run_in_memory

OLD = a_route("old")
NEW = a_route("new")
# Seconds within which an accepted configuration is to be in force everywhere, where it
# is told least time.
IN_FORCE_S = 2.0
PLACES = ("hall-a", "hall-b", "hall-c")


def add_hosts(deployment, n_hosts, places=PLACES):
    """Add hosts to data centres by turns."""
    return [deployment.add("certs", places[n % len(places)]) for n in range(n_hosts)]


def versions(hosts):
    """Return the versions in force."""
    return {host.node.version_in_force for host in hosts}


def watchers(hosts):
    """Return the hosts that are to watch the store."""
    return [host for host in hosts if host.node._config._role.now().should_watch]


class TestCalls(TestCase):
    def calls(self, n_hosts, do):
        """Return the priced calls of a fleet while something is done."""

        async def main():
            async with a_deployment(OLD) as deployment:
                hosts = add_hosts(deployment, n_hosts)
                await trio.sleep(12.0)
                before = deployment.state.calls
                await do(deployment, hosts)
                return deployment.state.calls - before

        return run_in_memory(main)

    def test_change_is_not_asked_for_by_each_node(self):
        async def change(deployment, hosts):
            deployment.put_config(OLD, NEW)
            await trio.sleep(IN_FORCE_S)
            self.assertEqual({2}, versions(hosts))

        self.assertLess(self.calls(36, change), 6.0)

    def test_fleet_at_rest_asks_as_much_whatever_its_size(self):
        async def rest(deployment, hosts):
            await trio.sleep(60.0)

        small, large = self.calls(12, rest), self.calls(60, rest)
        # Lists are a tenth of a call; they grow to 0.5 calls a second at 50 nodes.
        self.assertLess(large - small, 60.0 * 0.5)

    def test_store_that_turns_all_away_is_not_asked_by_all(self):
        async def lose(deployment, hosts):
            for host in hosts:
                host.store.down = True
            await trio.sleep(10.0)
            for host in hosts:
                host.store.down = False
            await trio.sleep(1.5)
            deployment.put_config(OLD, NEW)
            await trio.sleep(IN_FORCE_S)
            self.assertEqual({2}, versions(hosts))

        self.assertLess(self.calls(36, lose), 36 * 3.0)

    def test_those_that_are_turned_away_leave_it_to_one_that_is_not(self):
        async def turn_away(deployment, hosts):
            for host in hosts[:24]:
                host.store.down = True
            await trio.sleep(20.0)
            deployment.put_config(OLD, NEW)
            await trio.sleep(IN_FORCE_S)
            self.assertEqual({2}, versions(hosts))

        # Each is asked about once; the first of each data centre goes on, seldom.
        self.assertLess(self.calls(36, turn_away), 24 * 4.0)


class TestStarts(TestCase):
    def test_restart_that_changes_nothing_writes_nothing_and_reads_what_may_be_old(
        self,
    ):
        async def main():
            async with a_deployment(OLD) as deployment:
                hosts = add_hosts(deployment, 9)
                await trio.sleep(12.0)
                before = deployment.state.calls, deployment.state.writes
                again = deployment.restart(hosts[-1])
                await trio.sleep(5.0)
                state = deployment.state
                in_force = again.node.version_in_force
                return state.calls - before[0], state.writes - before[1], in_force

        calls, writes, in_force = run_in_memory(main)
        self.assertEqual((0, 1), (writes, in_force))
        # Its own two reads, and what the watchers and the lists of the others take.
        self.assertLess(calls, 0.2 + 3 * 1.0 + 9 * 0.1 + 0.01)

    def test_node_that_reads_an_older_configuration_follows_the_others(self):
        async def main():
            async with a_deployment(OLD) as deployment:
                hosts = add_hosts(deployment, 9)
                await trio.sleep(12.0)
                state = deployment.state
                state.older = ConfigUpdate(state.cursor, state.config)
                deployment.put_config(NEW)
                await trio.sleep(IN_FORCE_S)
                again = [deployment.restart(host) for host in hosts]
                await trio.sleep(3.0)
                return versions(again)

        self.assertEqual({2}, run_in_memory(main))


class TestInForce(TestCase):
    def in_force(self, fail, n_hosts=18, places=PLACES):
        """Return the versions of those that are left, after a change amid a failure."""

        async def main():
            async with a_deployment(OLD) as deployment:
                hosts = add_hosts(deployment, n_hosts, places)
                await trio.sleep(12.0)
                watching = watchers(hosts)
                left = [host for host in hosts if host not in watching]
                fail(deployment, watching)
                deployment.put_config(OLD, NEW)
                await trio.sleep(IN_FORCE_S)
                return len(watching), versions(left)

        return run_in_memory(main)

    def test_watchers_are_few(self):
        n_watching, found = self.in_force(lambda deployment, watching: None)
        self.assertEqual((len(PLACES), {2}), (n_watching, found))

    def test_changes_in_quick_succession_are_not_held_up_by_each_other(self):
        async def main():
            async with a_deployment(OLD) as deployment:
                hosts = add_hosts(deployment, 36)
                await trio.sleep(12.0)
                for _ in range(7):
                    deployment.put_config(OLD, NEW)
                    await trio.sleep(0.15)
                await trio.sleep(0.05)
                return versions(hosts)

        self.assertEqual({8}, run_in_memory(main))

    def test_watchers_are_killed_at_the_change(self):
        def kill(deployment, watching):
            for host in watching:
                host.scope.cancel()

        self.assertEqual({2}, self.in_force(kill)[1])

    def test_watchers_are_turned_away_at_the_change(self):
        def turn_away(deployment, watching):
            for host in watching:
                host.store.down = True

        self.assertEqual({2}, self.in_force(turn_away)[1])

    def test_watcher_of_one_data_centre_hears_nothing_any_more(self):
        def silence(deployment, watching):
            watching[0].store.silent = True

        self.assertEqual({2}, self.in_force(silence)[1])

    def test_one_of_two_watchers_of_a_lone_data_centre_hears_nothing_any_more(self):
        def silence(deployment, watching):
            watching[0].store.silent = True

        n_watching, found = self.in_force(silence, 8, ("hall-a",))
        self.assertEqual((2, {2}), (n_watching, found))
