"""Tests of the backend server stand-in, without a transport."""

from __future__ import annotations

import random
from dataclasses import replace

import trio
from testtools import TestCase

from fuchsiagap_standins.answers import CallMark, answer_body, is_own_answer
from fuchsiagap_standins.backend import BackendStandIn
from fuchsiagap_standins.backend_types import (
    BackendCall,
    BackendFaults,
    BackendSettings,
    ChildOutcome,
    ChildResult,
    LoadReportMode,
)
from fuchsiagap_standins.graphs import load_graph
from fuchsiagap_standins.run_log import RunState, double_runs, false_refusals
from fuchsiagap_standins.testing import run_virtual

GRAPH = load_graph("queensland")
ISSUE = BackendCall("c1", "POST", "/certificates", CallMark("n1"))
SHOW = BackendCall("c1", "GET", "/bookings/7", CallMark("n1"))
START = BackendCall("c1", "POST", "/cycles", CallMark("n1"))


async def answer_all(child):
    body = answer_body(child.mark, child.route.name)
    return ChildResult(ChildOutcome.ANSWERED, 200, body)


def answer_with(**by_route):
    """Return a `CallOut` with an outcome for each given route; others are answered."""

    async def call_out(child):
        outcome = by_route.get(child.route.name.partition("/")[2])
        return ChildResult(outcome) if outcome else await answer_all(child)

    return call_out


class BackendTest(TestCase):
    def run_server(self, service, use, call_out=answer_all, **settings):
        async def main():
            cfg = BackendSettings(GRAPH, service, f"{service}-1", **settings)
            await use(BackendStandIn(cfg, call_out, random.Random(2)))

        run_virtual(main, limit_s=3600)

    def test_only_a_complete_answer_to_the_same_call_is_accepted(self):
        async def use(server):
            reply = await server.handle(ISSUE)
            self.assertTrue(is_own_answer(reply.body, ISSUE.mark, "certs/issue"))
            for body in (reply.body[:-1], reply.body.replace(b"n1", b"n2"), b""):
                self.assertFalse(is_own_answer(body, ISSUE.mark, "certs/issue"))
            self.assertIs(RunState.DONE, server.runs[0].state)

        self.run_server("certs", use)

    def test_child_calls_carry_parent_call_child_key_and_place(self):
        seen = []

        async def call_out(child):
            seen.append((child.parent_call, child.child_key, child.mark.place))
            return await answer_all(child)

        async def use(server):
            await server.handle(ISSUE)

        self.run_server("certs", use, call_out)
        self.assertEqual([("c1", "0", "0.0"), ("c1", "1", "0.1")], seen)

    def test_wrong_child_answer_is_recorded(self):
        async def call_out(child):
            other = answer_body(CallMark("other"), child.route.name)
            return ChildResult(ChildOutcome.ANSWERED, 200, other)

        async def use(server):
            reply = await server.handle(ISSUE)
            self.assertEqual((502, False), (reply.status, reply.not_run))
            self.assertEqual(1, len(server.wrong_answers))

        self.run_server("certs", use, call_out)

    def test_refused_child_call_without_effects_is_reported_as_not_run(self):
        async def use(server):
            reply = await server.handle(START)
            self.assertTrue(reply.not_run)
            self.assertEqual([], false_refusals(server.runs, ["n1"]))

        for route in ("access", "record"):
            call_out = answer_with(**{route: ChildOutcome.REFUSED})
            self.run_server("cycles", use, call_out)

    def test_refused_child_call_after_an_effect_is_a_failure(self):
        async def use(server):
            server.cfg = replace(server.cfg, graph=effect_before_refusal())
            server._routes = server.cfg.graph.routes
            reply = await server.handle(START)
            self.assertEqual((502, False), (reply.status, reply.not_run))
            self.assertEqual(["n1"], false_refusals(server.runs, ["n1"]))

        call_out = answer_with(access=ChildOutcome.REFUSED)
        self.run_server("cycles", use, call_out)

    def test_unknown_child_outcome_is_a_failure(self):
        async def use(server):
            reply = await server.handle(START)
            self.assertEqual((502, False), (reply.status, reply.not_run))

        call_out = answer_with(record=ChildOutcome.UNKNOWN)
        self.run_server("cycles", use, call_out)

    def test_calls_beyond_slots_and_queue_are_shed_as_not_run(self):
        async def use(server):
            replies = []

            async def call(number):
                replies.append(await server.handle(SHOW))

            async with trio.open_nursery() as nursery:
                for number in range(40):
                    nursery.start_soon(call, number)
            shed = [reply for reply in replies if reply.not_run]
            self.assertEqual(5, len(shed))
            self.assertEqual(35, len(server.runs))

        self.run_server("bookings", use, queue=5)

    def test_draining_and_shedding_refuse_as_not_run(self):
        async def use(server):
            server.draining = True
            self.assertTrue((await server.handle(SHOW)).not_run)
            self.assertTrue(server.load().draining)
            server.draining = False
            server.faults = BackendFaults(shedding=True)
            self.assertTrue((await server.handle(SHOW)).not_run)
            self.assertEqual([], server.runs)

        self.run_server("bookings", use)

    def test_cancelled_call_frees_its_slot_and_counts_as_run(self):
        async def use(server):
            server.faults = BackendFaults(hang=1.0)
            with trio.move_on_after(1):
                await server.handle(SHOW)
            self.assertIs(RunState.CANCELLED, server.runs[0].state)
            self.assertEqual(0, server.load().in_flight)
            self.assertEqual(["n1"], false_refusals(server.runs, ["n1"]))

        self.run_server("bookings", use)

    def test_lost_answer_comes_after_the_run(self):
        async def use(server):
            server.faults = BackendFaults(lose_answers=1.0)
            self.assertTrue((await server.handle(START)).lost)
            server.faults = BackendFaults()
            await server.handle(START)
            self.assertEqual([("n1", "0", "cycles/start")], double_runs(server.runs))

        self.run_server("cycles", use)

    def test_cold_and_slow_servers_take_longer(self):
        async def time_of(server):
            began = trio.current_time()
            await server.handle(SHOW)
            return trio.current_time() - began

        async def use(server):
            cold = await time_of(server)
            await trio.sleep(30)
            warm = await time_of(server)
            server.faults = BackendFaults(slow=10.0)
            self.assertGreater(cold, 2 * warm)
            self.assertGreater(await time_of(server), 4 * warm)

        self.run_server("bookings", use, cold_start=30_000.0)

    def test_load_report_can_be_stale_frozen_false_or_missing(self):
        async def use(server):
            async with trio.open_nursery() as nursery:
                server.faults = BackendFaults(load_lag=5_000.0)
                self.assertEqual(0, server.load().in_flight)
                hung = replace(server.faults, hang=1.0)
                server.faults = hung
                nursery.start_soon(server.handle, SHOW)
                await trio.sleep(4)
                self.assertEqual(0, server.load().in_flight)
                await trio.sleep(2)
                self.assertEqual(1, server.load().in_flight)
                nursery.start_soon(server.handle, SHOW)
                server.faults = replace(hung, load_word=LoadReportMode.FROZEN)
                await trio.sleep(60)
                self.assertEqual(1, server.load().in_flight)
                server.faults = replace(hung, load_word=LoadReportMode.LYING)
                self.assertEqual(
                    (0, 120), (server.load().in_flight, server.load().slots)
                )
                server.faults = replace(hung, load_word=LoadReportMode.SILENT)
                self.assertIsNone(server.load())
                nursery.cancel_scope.cancel()

        self.run_server("bookings", use)


def effect_before_refusal():
    """Return the Queensland graph with the two child calls of `cycles/start` swapped.

    The call that has an effect is then made before the one that the test refuses.
    """
    start = GRAPH.route("cycles/start")
    swapped = replace(start, calls=(("results/record",), ("bookings/access",)))
    others = tuple(route for route in GRAPH.routes if route != start)
    return replace(GRAPH, routes=(swapped, *others))
