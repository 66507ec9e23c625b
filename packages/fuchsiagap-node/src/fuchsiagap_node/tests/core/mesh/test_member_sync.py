"""Registration, discovery and removal of nodes through the store."""

import trio
from testtools import TestCase

from fuchsiagap.core.backend_queue.incarnation import BackendState
from fuchsiagap_node.core.mesh.outbound_link import Member
from fuchsiagap_standins.mesh.deployment import a_deployment, a_route
from fuchsiagap_standins.mesh.virtual import run_in_memory

READ = a_route("read")


class TestMemberSync(TestCase):
    def test_registered_node_writes_nothing_at_start(self):
        async def main():
            async with a_deployment(READ) as deployment:
                host = deployment.add("certs")
                cfg = host.node.cfg
                deployment.state.members[cfg.node] = Member(
                    cfg.node, "earlier", cfg.addresses.peers, "hall-a", "certs"
                )
                await deployment.settle()
                return deployment.state.writes

        self.assertEqual(0, run_in_memory(main))

    def test_departure_is_written_once_and_restored_without_a_write(self):
        async def main():
            async with a_deployment(READ) as deployment:
                host = deployment.add("certs")
                await deployment.settle()
                n_before = deployment.state.writes
                for state in (BackendState.DRAINING, BackendState.GONE):
                    host.report(state)
                    await trio.sleep(1.0)
                host = deployment.restart(host)
                await trio.sleep(3.0)
                departed = host.node.backend_queue.known_instance()
                host.node.backend_queue.handle_report(host.next_report())
                is_used = bool(host.node.backend_queue.instance())
                return deployment.state.writes - n_before, departed, is_used

        self.assertEqual((1, "", False), run_in_memory(main))

    def test_node_with_new_address_registers_again(self):
        async def main():
            async with a_deployment(READ) as deployment:
                host = deployment.add("certs")
                cfg = host.node.cfg
                deployment.state.members[cfg.node] = Member(
                    cfg.node, "earlier", "127.0.0.1:1", "hall-a", "certs"
                )
                await deployment.settle()
                return cfg, deployment.state.members[cfg.node]

        cfg, member = run_in_memory(main)
        self.assertEqual(cfg.addresses.peers, member.address)

    def test_node_whose_entry_was_removed_registers_again(self):
        async def main():
            async with a_deployment(READ) as deployment:
                host = deployment.add("certs")
                await deployment.settle()
                deployment.state.members.clear()
                await trio.sleep(14.0)
                return host.node.cfg.node in deployment.state.members

        self.assertTrue(run_in_memory(main))

    def test_reachable_node_missing_in_stale_list_stays_known(self):
        async def main():
            async with a_deployment(READ) as deployment:
                near = deployment.add("bookings")
                deployment.add("certs")
                await deployment.settle()
                deployment.state.missing_in_stale_list = frozenset({"certs-1"})
                answers = []
                for n in range(6):
                    await trio.sleep(5.0)
                    answers.append(await near.send("/read/1", f"r{n}"))
                return answers

        answers = run_in_memory(main)
        self.assertEqual([200] * 6, [answer.status for answer in answers])

    def test_unlisted_unreachable_node_is_forgotten(self):
        async def main():
            async with a_deployment(READ) as deployment:
                near = deployment.add("bookings")
                far = deployment.add("certs")
                await deployment.settle()
                far.scope.cancel()
                deployment.state.members.pop("certs-1")
                await trio.sleep(30.0)
                return near.node.event_log.counts["events", "node-gone"]

        self.assertEqual(1, run_in_memory(main))

    def test_dead_node_is_removed_from_store(self):
        async def main():
            async with a_deployment(READ) as deployment:
                near = deployment.add("bookings")
                far = deployment.add("certs")
                await deployment.settle()
                far.scope.cancel()
                await trio.sleep(40.0)
                early = set(deployment.state.members)
                await trio.sleep(60.0)
                counts = near.node.event_log.counts
                return early, set(deployment.state.members), counts

        early, late, counts = run_in_memory(main)
        self.assertEqual({"bookings-0", "certs-1"}, early)
        self.assertEqual({"bookings-0"}, late)
        self.assertEqual(1, counts["events", "node-gone"])

    def test_nodes_of_partitioned_data_centre_are_not_removed(self):
        async def main():
            async with a_deployment(READ) as deployment:
                deployment.add("bookings")
                far = [deployment.add("certs", "hall-b") for _ in range(2)]
                await deployment.settle()
                for host in far:
                    host.scope.cancel()
                await trio.sleep(100.0)
                return set(deployment.state.members)

        self.assertEqual({"bookings-0", "certs-1", "certs-2"}, run_in_memory(main))

    def test_node_that_registered_again_is_not_removed_again(self):
        async def main():
            async with a_deployment(READ) as deployment:
                deployment.add("bookings")
                far = deployment.add("certs")
                await deployment.settle()
                member = deployment.state.members["certs-1"]
                far.scope.cancel()
                # It counts as dead after 60 s and is removed at the next list call:
                # with fewer listed nodes than expected removers, each node that finds
                # it dead removes it.
                await trio.sleep(200.0)
                removed = "certs-1" not in deployment.state.members
                deployment.state.members["certs-1"] = member
                await trio.sleep(60.0)
                return removed, "certs-1" in deployment.state.members

        self.assertEqual((True, True), run_in_memory(main))
