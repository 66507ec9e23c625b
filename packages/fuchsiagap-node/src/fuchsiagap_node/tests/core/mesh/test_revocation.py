"""Revocations, at nodes in touch and out of touch."""

from collections import Counter
from functools import partial

import trio
from testtools import TestCase

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap_node.tests.core.mesh.test_suspension import SuspendedClock
from fuchsiagap_node.tests.core.mesh.test_workspaces import (
    BOUND_MS,
    KEYED,
    ONE,
    PUBLIC,
    TWO,
    two_hosts,
    with_key,
)
from fuchsiagap_standins.mesh.deployment import a_deployment, a_workspace
from fuchsiagap_standins.mesh.virtual import run_in_memory


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
                        ages.append(host.node._config.active.staleness)
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


class TestStoreThatWentBack(TestCase):
    """Keys after the store has come back from an older copy."""

    statuses = TestRevocation.statuses

    async def statuses_after(self, rewritten_s, taken_away_s, seconds):
        """Return the statuses at some seconds after a return that lost a version.

        Parameters
        ----------
        rewritten_s : float
            Seconds until the lost version is written again.
        taken_away_s : float
            Seconds until a version takes the key away.
        seconds : sequence of float
            When requests with the key are sent.
        """
        async with a_deployment() as deployment:
            near, _ = await two_hosts(deployment, ONE, revocation=BOUND_MS)
            state = deployment.state
            copy = state.revision, state.config
            state.revision += 40
            deployment.put_config(KEYED, PUBLIC, workspaces=(ONE, TWO))
            lost = deployment.known[max(deployment.known)]
            await trio.sleep(2.0)
            state.come_back_from(*copy, members=state.members)
            start = trio.current_time()
            found = []

            async def write():
                await trio.sleep_until(start + rewritten_s)
                state.put_config(lost)
                await trio.sleep_until(start + taken_away_s)
                deployment.put_config(KEYED, PUBLIC, workspaces=(TWO,))

            deployment.nursery.start_soon(write)
            for second in seconds:
                await trio.sleep_until(start + second)
                found.append(await self.statuses(near))
            return found

    def test_key_that_is_taken_away_in_a_new_epoch_is_refused_in_time(self):
        found = run_in_memory(partial(self.statuses_after, 1.0, 3.0, (0.5, 2.5, 5.0)))
        self.assertEqual([200, 200, 401], found)

    def test_version_that_the_store_lost_is_no_proof_of_keys(self):
        # It is written again only after the bound.
        seconds = (1.0, 3.0, 5.5, 10.5)
        found = run_in_memory(partial(self.statuses_after, 8.0, 60.0, seconds))
        self.assertEqual([200, 200, 503, 200], found)

    def test_return_that_lost_no_version_refuses_no_key(self):
        async def main():
            async with a_deployment() as deployment:
                near, _ = await two_hosts(deployment, ONE, revocation=BOUND_MS)
                state = deployment.state
                await trio.sleep(1.0)
                state.come_back_from(state.revision, state.config, state.members)
                found = []
                for _ in range(40):
                    found.append(await self.statuses(near))
                    await trio.sleep(0.25)
                return found

        self.assertEqual([200] * 40, run_in_memory(main))
