"""Revocation of API keys, at connected and partitioned nodes."""

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
    """No request with a revoked key runs later than the bound after the revocation."""

    async def status_of(self, host, key="key-of-one", path="/read/1"):
        """Send a request with a key; return the status of the response."""
        answer = await host.send(path, f"r{trio.current_time()}", headers=with_key(key))
        return answer.status

    def test_revoked_key_is_refused_by_all_nodes_within_two_seconds(self):
        async def main():
            async with a_deployment() as deployment:
                deployment.put_config(KEYED, workspaces=(ONE,))
                for number in range(9):
                    deployment.add("certs", f"hall-{'abc'[number % 3]}")
                await deployment.settle()
                deployment.put_config(KEYED, workspaces=(a_workspace("one", "new"),))
                await trio.sleep(2.0)
                return [await self.status_of(host) for host in deployment.hosts]

        self.assertEqual([401] * 9, run_in_memory(main))

    def test_partitioned_node_refuses_keys_past_the_bound_but_serves_public_routes(
        self,
    ):
        async def main():
            async with a_deployment() as deployment:
                deployment.put_config(KEYED, PUBLIC, workspaces=(ONE,))
                host = deployment.add("certs", revocation=BOUND_MS)
                await deployment.settle()
                host.store.down = True
                cut_at = trio.current_time()
                found = {}
                for at in (3.0, BOUND_MS / MS_PER_S, 9.0):
                    await trio.sleep_until(cut_at + at)
                    found[at] = await self.status_of(host)
                public = await self.status_of(host, path="/open/1")
                unknown = await self.status_of(host, key="may-be-new")
                host.store.down = False
                await trio.sleep(1.5)
                return list(found.values()), public, unknown, await self.status_of(host)

        found, public, unknown, after = run_in_memory(main)
        self.assertEqual([200, 503, 503], found)
        self.assertEqual((200, 503, 200), (public, unknown, after))

    def test_nodes_partitioned_together_do_not_confirm_each_other(self):
        async def main():
            async with a_deployment() as deployment:
                near, far = await two_hosts(deployment, ONE, revocation=BOUND_MS)
                for host in (near, far):
                    host.store.down = True
                await trio.sleep(BOUND_MS / MS_PER_S)
                return [await self.status_of(host) for host in (near, far)]

        self.assertEqual([503, 503], run_in_memory(main))

    def test_nodes_rejected_by_store_are_confirmed_by_others(self):
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
                        found[await self.status_of(host)] += 1
                return found

        self.assertEqual({200: 200}, run_in_memory(main))

    def test_one_watcher_per_data_centre_keeps_all_nodes_fresh(self):
        async def main(n_nodes):
            async with a_deployment() as deployment:
                deployment.put_config(KEYED, workspaces=(ONE,))
                for number in range(n_nodes):
                    data_centre = f"hall-{'abc'[number % 3]}"
                    deployment.add("certs", data_centre, revocation=BOUND_MS)
                await trio.sleep(12.0)
                before = deployment.state.call_cost
                ages = []
                for _ in range(40):
                    await trio.sleep(0.5)
                    for host in deployment.hosts:
                        ages.append(host.node._config.active.staleness)
                return max(ages), deployment.state.call_cost - before

        age, calls = run_in_memory(lambda: main(24))
        self.assertLess(age, BOUND_MS / 2)
        # Three data centres, each with one watch per 0.75 s, and the list calls.
        self.assertLess(calls, 3 * 20.0 / 0.7 + 24 * 20.0 / 8.0 * 0.2 + 5)

    def test_suspended_host_counts_the_suspension_as_staleness(self):
        async def main():
            async with a_deployment() as deployment:
                deployment.put_config(KEYED, workspaces=(ONE,))
                ahead = SuspendedClock()
                host = deployment.add("certs", clock=ahead.clock, revocation=BOUND_MS)
                await deployment.settle()
                host.store.down = True
                ahead.suspend(BOUND_MS)
                # Sent before the event loop runs any timer.
                return await self.status_of(host)

        self.assertEqual(503, run_in_memory(main))

    def test_node_started_without_store_refuses_all_keys(self):
        async def main():
            async with a_deployment() as deployment:
                near, far = await two_hosts(deployment, ONE, revocation=BOUND_MS)
                for host in (near, far):
                    host.store.down = True
                await trio.sleep(6.0)
                again = deployment.restart(near)
                await trio.sleep(2.0)
                # It gets the configuration from the other node, but no confirmation
                # that this is the newest version.
                return again.node.is_ready(), await self.status_of(again)

        self.assertEqual((True, 503), run_in_memory(main))

    def test_revocations_apply_after_compaction_and_two_quick_versions(self):
        async def main():
            async with a_deployment() as deployment:
                near, far = await two_hosts(deployment, ONE, TWO, revocation=BOUND_MS)
                deployment.state.history_from = deployment.state.revision + 5
                deployment.put_config(KEYED, PUBLIC, workspaces=(TWO,))
                await trio.sleep(0.1)
                deployment.put_config(KEYED, PUBLIC, workspaces=())
                await trio.sleep(2.0)
                return [
                    await self.status_of(host, key)
                    for host in (near, far)
                    for key in ("key-of-one", "key-of-two")
                ]

        self.assertEqual([401] * 4, run_in_memory(main))

    def test_without_revocation_bound_partitioned_node_keeps_serving(self):
        async def main():
            async with a_deployment() as deployment:
                near, far = await two_hosts(deployment, ONE)
                for host in (near, far):
                    host.store.down = True
                await trio.sleep(20.0)
                return await self.status_of(near)

        self.assertEqual(200, run_in_memory(main))


class TestRestoredStore(TestCase):
    """API keys after the store was restored from an older backup."""

    status_of = TestRevocation.status_of

    async def statuses_after_restore(self, rewritten_at_s, revoked_at_s, request_times):
        """Return the statuses of requests after a restore that lost a version.

        Parameters
        ----------
        rewritten_at_s : float
            Seconds after the restore at which the lost version is written again.
        revoked_at_s : float
            Seconds after the restore at which a version revokes the key.
        request_times : sequence of float
            Seconds after the restore at which requests with the key are sent.
        """
        async with a_deployment() as deployment:
            near, _ = await two_hosts(deployment, ONE, revocation=BOUND_MS)
            state = deployment.state
            copy = state.revision, state.config
            state.revision += 40
            deployment.put_config(KEYED, PUBLIC, workspaces=(ONE, TWO))
            lost = deployment.known[max(deployment.known)]
            await trio.sleep(2.0)
            state.restore(*copy, members=state.members)
            start = trio.current_time()
            found = []

            async def write():
                await trio.sleep_until(start + rewritten_at_s)
                state.put_config(lost)
                await trio.sleep_until(start + revoked_at_s)
                deployment.put_config(KEYED, PUBLIC, workspaces=(TWO,))

            deployment.nursery.start_soon(write)
            for at in request_times:
                await trio.sleep_until(start + at)
                found.append(await self.status_of(near))
            return found

    def test_key_revoked_in_new_epoch_is_refused_in_time(self):
        found = run_in_memory(
            partial(self.statuses_after_restore, 1.0, 3.0, (0.5, 2.5, 5.0))
        )
        self.assertEqual([200, 200, 401], found)

    def test_version_lost_by_store_does_not_confirm_keys(self):
        # The lost version is written again only after the bound.
        request_times = (1.0, 3.0, 5.5, 10.5)
        found = run_in_memory(
            partial(self.statuses_after_restore, 8.0, 60.0, request_times)
        )
        self.assertEqual([200, 200, 503, 200], found)

    def test_restore_without_loss_refuses_no_key(self):
        async def main():
            async with a_deployment() as deployment:
                near, _ = await two_hosts(deployment, ONE, revocation=BOUND_MS)
                state = deployment.state
                await trio.sleep(1.0)
                state.restore(state.revision, state.config, state.members)
                found = []
                for _ in range(40):
                    found.append(await self.status_of(near))
                    await trio.sleep(0.25)
                return found

        self.assertEqual([200] * 40, run_in_memory(main))
