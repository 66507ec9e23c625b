"""Links to all nodes of a small service, and to a subset of a large one."""

from collections import Counter
from unittest import mock

import trio
from testtools import TestCase

from fuchsiagap_node.core.mesh.link import FramedLink
from fuchsiagap_node.core.mesh.outbound_links import (
    LOCAL_LINKS,
    REMOTE_LINKS,
    WATCHER_LINKS,
)
from fuchsiagap_standins.mesh.deployment import a_deployment, a_route
from fuchsiagap_standins.mesh.virtual import run_in_memory

READ = a_route("read")


def linked(host):
    """Return the nodes that a host's node has links to."""
    return {link.member.node for link in host.node._links}


class TestLinks(TestCase):
    def test_small_services_are_linked_whole(self):
        async def main():
            async with a_deployment(READ) as deployment:
                near = deployment.add("bookings")
                for n in range(REMOTE_LINKS):
                    deployment.add("certs", "hall-b" if n % 2 else "hall-a")
                await deployment.settle()
                return linked(near)

        self.assertEqual(REMOTE_LINKS, len(run_in_memory(main)))

    def test_large_services_are_linked_in_part_and_each_server_is_reached(self):
        async def main():
            async with a_deployment(READ) as deployment:
                callers = [deployment.add("bookings", "hall-c") for _ in range(6)]
                for n in range(16):
                    deployment.add("certs", "hall-c" if n < 12 else "hall-b")
                await deployment.settle()
                certs = [
                    {node for node in linked(caller) if node.startswith("certs")}
                    for caller in callers
                ]
                answers = [
                    await c.send("/read/1", f"r{n}") for n, c in enumerate(callers)
                ]
                return certs, answers

        certs, answers = run_in_memory(main)
        linked_of_each = LOCAL_LINKS + min(4, REMOTE_LINKS)
        self.assertEqual({linked_of_each}, {len(nodes) for nodes in certs})
        self.assertEqual(16, len(set().union(*certs)))
        self.assertEqual([200] * 6, [answer.status for answer in answers])

    def test_each_other_data_centre_is_linked(self):
        async def main():
            async with a_deployment(READ) as deployment:
                callers = [deployment.add("bookings", "hall-c") for _ in range(8)]
                for n in range(24):
                    deployment.add("certs", "hall-b" if n % 2 else "hall-a")
                await deployment.settle()
                return [
                    {link.member.data_centre for link in caller.node._links}
                    for caller in callers
                ]

        for places in run_in_memory(main):
            self.assertLessEqual({"hall-a", "hall-b"}, places)

    def test_node_out_of_reach_is_replaced_and_taken_back(self):
        async def main():
            async with a_deployment(READ) as deployment:
                near = deployment.add("bookings", "hall-a")
                far = [deployment.add("certs", "hall-b") for _ in range(9)]
                await deployment.settle()
                before = linked(near)
                lost = [host for host in far if host.node.cfg.node in before][:2]
                for host in lost:
                    host.scope.cancel()
                await trio.sleep(8.0)
                names = {host.node.cfg.node for host in lost}
                up = {link.member.node for link in near.node._links if link.is_up()}
                return before, names, up

        before, names, up = run_in_memory(main)
        self.assertEqual(REMOTE_LINKS, len(before))
        self.assertEqual(REMOTE_LINKS, len(up))
        self.assertTrue(names.isdisjoint(up))

    def test_all_doors_share_the_retry_budget_linked_or_not(self):
        async def main():
            async with a_deployment(READ) as deployment:
                deployment.add("bookings")
                near, *_ = [deployment.add("certs") for _ in range(15)]
                await deployment.settle()
                beside = [node for node in linked(near) if node.startswith("certs")]
                return near.node.backend_queue.retry_admission.n_replicas(), len(beside)

        n_doors, n_linked = run_in_memory(main)
        self.assertEqual(15, n_doors)
        # The first nodes of the data centre by name may stand among these or beside.
        most = LOCAL_LINKS + WATCHER_LINKS
        self.assertIn(n_linked, range(LOCAL_LINKS, most + 1))

    def test_lines_of_a_start_do_not_grow_with_the_fleet(self):
        async def main():
            async with a_deployment(READ) as deployment:
                hosts = [deployment.add("certs") for _ in range(30)]
                await deployment.settle()
                late = deployment.add("certs")
                await deployment.settle()
                counts = [host.node.event_log.counts for host in (*hosts, late)]
                return [
                    (c["events", "nodes-known"], c["events", "node-known"])
                    for c in counts
                ]

        for together, alone in run_in_memory(main):
            self.assertLessEqual(together, 2)
            self.assertLessEqual(alone, 12)

    def test_of_many_services_those_are_linked_that_are_asked_for(self):
        names = [f"s{number:02}" for number in range(20)]
        routes = [a_route(name, name) for name in names]

        async def main():
            async with a_deployment(*routes) as deployment:
                near = deployment.add("pages")
                for name in names:
                    deployment.add(name, "hall-b")
                await deployment.settle()
                before = linked(near)
                answers = [await near.send(f"/{n}/1", n) for n in ("s03", "s11", "s03")]
                return before, [answer.status for answer in answers], linked(near)

        before, statuses, after = run_in_memory(main)
        self.assertEqual((set(), [200] * 3), (before, statuses))
        self.assertEqual({"s03-4", "s11-12"}, after)


class TestPings(TestCase):
    """Two nodes that are linked both ways hear of each other by one ping."""

    def pings(self, seconds):
        """Return the pings of two nodes at rest, and whether they hear each other."""

        async def main():
            async with a_deployment(a_route("read")) as deployment:
                hosts = [deployment.add(service) for service in ("certs", "bookings")]
                await deployment.settle()
                counted = Counter()
                post = FramedLink.post

                def count(link, message, call_id=0):
                    counted[type(message).__name__] += 1
                    post(link, message, call_id)

                with mock.patch.object(FramedLink, "post", count):
                    await trio.sleep(seconds)
                heard = [link.is_responsive() for h in hosts for link in h.node._links]
                return counted["Ping"], heard

        return run_in_memory(main)

    def test_one_of_two_nodes_at_rest_pings(self):
        n_pings, heard = self.pings(24.0)
        self.assertEqual([True, True], heard)
        # Each would ping some 15 to 20 times by itself.
        self.assertLessEqual(n_pings, 24.0 / 1.08 + 2)
        self.assertGreaterEqual(n_pings, 24.0 / 1.7)
