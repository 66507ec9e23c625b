"""Graceful shutdown of the nodes of a fleet, under load and with failed links."""

import random

import trio
from testtools import TestCase

from fuchsiagap.core.calls import call_headers
from fuchsiagap.core.calls.outcome import Answered, Reason, Refused
from fuchsiagap.core.membership.member import MemberState
from fuchsiagap_node.core.callpath.entry import enter
from fuchsiagap_node.core.callpath.home_tickets import issue_batch
from fuchsiagap_standins.graphs import load_graph
from fuchsiagap_standins.graphs.analysis import draw_root
from fuchsiagap_standins.node_fleet import open_node_fleet
from fuchsiagap_standins.platform import PlatformFaults
from fuchsiagap_standins.run_log import double_runs
from fuchsiagap_standins.testing import run_virtual

NO_NEW_WORK_MS = 2_000.0
QUEENSLAND = load_graph("queensland")
LOOKUP = QUEENSLAND.route("results/lookup")
ISSUE = QUEENSLAND.route("certs/issue")


class Load:
    """An open-loop load of requests that keeps their outcomes."""

    def __init__(self, fleet, per_s):
        self.fleet = fleet
        self.per_s = per_s
        self.outcomes = []
        self.on = True

    async def run(self):
        rng = random.Random(7)
        async with trio.open_nursery() as nursery:
            number = 0
            while self.on:
                nursery.start_soon(self.one, draw_root(QUEENSLAND, rng), number)
                number += 1
                await trio.sleep(rng.expovariate(self.per_s))

    async def one(self, route, number):
        self.outcomes.append(await self.fleet.request(route, number))


def run_fleet(test, seed=1):
    async def main():
        async with open_node_fleet(QUEENSLAND, seed) as fleet:
            await fleet.add_all()
            await fleet.until(fleet.agree, 5_000.0)
            await test(fleet)

    run_virtual(main)


def is_marked_leaving(fleet, name):
    def holds():
        views = (node.membership.instances() for node in fleet.nodes.values())
        return all(i.leaving for view in views for i in view if i.node == name)

    return holds


class TestDrain(TestCase):
    def test_a_rolling_restart_of_all_nodes_interrupts_no_request(self):
        async def test(fleet):
            load = Load(fleet, per_s=20)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load.run)
                await trio.sleep(1.0)
                for name in sorted(fleet.nodes):
                    await fleet.restart(name)
                load.on = False
            self.assertGreater(len(load.outcomes), 150)
            others = [o for o in load.outcomes if not isinstance(o, Answered)]
            self.assertEqual([], others)
            # Some requests reached leaving nodes, which refused them before any run.
            self.assertGreater(fleet.refusals[Reason.LEAVING], 0)
            # A run may be repeated if it had no effect, as a nested call was refused.
            self.assertEqual([], double_runs(fleet.runs()))

        run_fleet(test)

    def test_requests_in_progress_end_and_new_ones_are_refused(self):
        async def test(fleet):
            node = fleet.nodes["results-0"]
            outcomes = []

            async def ask():
                outcomes.append(await enter(node, fleet.call(LOOKUP, 1, None)))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(0.1)
                ended = fleet.request_drain("results-0")
                await trio.sleep(0.01)
                refused = await enter(node, fleet.call(LOOKUP, 2, None))
                self.assertIsInstance(refused, Refused)
                self.assertIs(refused.reason, Reason.LEAVING)
                self.assertGreater(refused.retry_after, 0)
                self.assertFalse(ended.is_set())
                await ended.wait()
            self.assertIsInstance(outcomes[0], Answered)

        run_fleet(test)

    def test_no_new_work_with_the_platform_down_and_a_link_cut(self):
        async def test(fleet):
            fleet.store.set_faults(PlatformFaults(outage=True))
            fleet.network.cut({"certs-0:7000"}, {"results-0:7000"})
            load = Load(fleet, per_s=20)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load.run)
                await trio.sleep(1.0)
                ended = fleet.request_drain("results-0")
                await fleet.until(is_marked_leaving(fleet, "results-0"), NO_NEW_WORK_MS)
                server = next(
                    b for b in fleet.backends if b.cfg.name.startswith("results-0.")
                )
                n_runs = len(server.runs)
                await trio.sleep(2.0)
                self.assertEqual(n_runs, len(server.runs))
                load.on = False
                await ended.wait()

        run_fleet(test)

    def test_the_successor_keeps_the_tickets_after_the_restart(self):
        async def test(fleet):
            home = fleet.nodes["certs-0"]
            (ticket,) = issue_batch(home, 1)
            req = fleet.call(ISSUE, 5, str(ticket))
            self.assertEqual(req.control_headers[call_headers.TICKET], str(ticket))
            first = await enter(fleet.nodes["bookings-1"], req)
            self.assertIsInstance(first, Answered)
            await fleet.restart("certs-0")
            again = await enter(fleet.nodes["cycles-1"], req)
            self.assertTrue(again.repeated)
            self.assertEqual(first.body, again.body)
            holder = fleet.nodes["cycles-1"].membership.successor_of(
                ticket.node, ticket.incarnation
            )
            await fleet.restart(holder)
            again = await enter(fleet.nodes["results-1"], req)
            self.assertTrue(again.repeated)

        run_fleet(test)

    def test_a_request_after_leaving_is_answered_before_the_exit(self):
        async def test(fleet):
            node = fleet.nodes["certs-0"]
            ended = fleet.request_drain("certs-0")
            left = MemberState.LEFT
            await fleet.until(lambda: node.membership.self_member.state is left)
            # Simulates a ticket settlement that another node is slow to answer.
            node.calls.n_responding += 1
            await trio.sleep(2.0)
            self.assertFalse(ended.is_set())
            node.calls.n_responding -= 1
            node.calls.notify_if_idle()
            await ended.wait()

        run_fleet(test)

    def test_a_node_leaves_if_no_peer_is_reachable(self):
        async def test(fleet):
            everyone = {node.cfg.peer_address for node in fleet.nodes.values()}
            fleet.network.cut({"certs-0:7000"}, everyone)
            fleet.store.set_faults(PlatformFaults(outage=True))
            ended = fleet.request_drain("certs-0")
            with trio.fail_after(60.0):
                await ended.wait()

        run_fleet(test)

    def test_a_node_whose_name_was_taken_over_leaves(self):
        async def test(fleet):
            view = fleet.nodes["certs-0"].membership
            old = fleet.ended["certs-0"]
            member = view.self_member
            newer = type(member)(
                member.node, member.incarnation + 9, "certs-9:7000", member.data_centre
            )
            view.apply(newer)
            with trio.fail_after(30.0):
                await old.wait()

        run_fleet(test)

    def test_a_node_that_left_is_not_marked_dead(self):
        async def test(fleet):
            await fleet.request_drain("cycles-1").wait()
            await trio.sleep(3.0)
            states = {
                node.membership.get("cycles-1").state for node in fleet.nodes.values()
            }
            self.assertEqual({MemberState.LEFT}, states)

        run_fleet(test)
